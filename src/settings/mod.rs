//! Settings of the daemon, read from an INI file. The whole file is validated before anything starts.
//! The environments are not part of it; they are in the configuration ([`crate::configuration`]).

mod parts;
mod read;
mod secret;
#[cfg(test)]
mod tests;

use crate::ids::NodeId;
use crate::ini::{Fault, FaultKind, Faults};
pub(crate) use parts::{
    EndpointKind, EndpointSettings, LimitSettings, ListenSettings, LogFormat, LogSettings,
    NodeSettings, OperatorKey, PartitionSettings, PlatformSettings, TimingSettings,
};
pub(crate) use secret::Secret;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// All faults found in a settings file.
pub type SettingErrors = Faults;

/// Exit code for success.
pub const EXIT_OK: u8 = 0;
/// Exit code for a failure at run time.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings or an invalid environment document.
pub const EXIT_SETTINGS: u8 = 3;

/// Validated settings of a daemon.
///
/// ```
/// use galenapick::Settings;
///
/// let text = "[node]\nname = e1\nrole = entry\n[kyes]\nsecret = s\n";
/// let faults = Settings::parse(text, "node.ini", |_| None).unwrap_err();
/// assert!(faults.to_string().contains("nearest known: \"keys\""));
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of this process.
    pub(crate) node: NodeSettings,
    /// Listen addresses.
    pub(crate) listen: ListenSettings,
    /// URLs of the platform services.
    pub(crate) platform: PlatformSettings,
    /// Section `entries`: link addresses of entries, in addition to the list of VMs.
    pub(crate) entries: BTreeMap<NodeId, SocketAddr>,
    /// Section `peers`: link addresses of sidecars, in addition to the list of VMs.
    pub(crate) sidecars: BTreeMap<NodeId, SocketAddr>,
    /// The endpoint that this sidecar serves.
    ///
    /// Invariant: set if and only if the role is sidecar.
    pub(crate) endpoint: Option<EndpointSettings>,
    /// The secret that all processes of the deployment share.
    pub(crate) secret: Secret,
    /// Operators that may use the operator interface.
    pub(crate) operators: Vec<OperatorKey>,
    /// Resource limits of the process.
    pub(crate) limits: LimitSettings,
    /// Log levels and format.
    pub(crate) log: LogSettings,
    /// Partitions and their log streams.
    pub(crate) partition: PartitionSettings,
    /// Intervals and timeouts.
    pub(crate) timing: TimingSettings,
}

impl Settings {
    /// Reads and validates a settings file. Secrets may come from environment variables that the file
    /// names.
    pub fn read(path: &Path) -> Result<Self, SettingErrors> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, &file, |name| std::env::var(name).ok()),
            Err(error) => Err(Faults(vec![Fault {
                file,
                line: None,
                section: String::new(),
                key: String::new(),
                kind: FaultKind::Unreadable(error.to_string()),
            }])),
        }
    }

    /// Parses and validates the text of a settings file. `file` is the name used in messages; `variable` looks up
    /// environment variables.
    pub fn parse(
        text: &str,
        file: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingErrors> {
        read::read(text, file, &variable)
    }
}
