//! The daemon's settings, read from an INI file and checked whole before anything starts.

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

/// All faults of a settings file.
pub type SettingErrors = Faults;

/// Exit code of a process that did what it was asked.
pub const EXIT_OK: u8 = 0;
/// Exit code of a process that failed while it ran.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for a command line that cannot be understood.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for settings or an environment document with faults.
pub const EXIT_SETTINGS: u8 = 3;

/// Settings of a daemon.
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
    /// Who this process is.
    pub(crate) node: NodeSettings,
    /// Where it listens.
    pub(crate) listen: ListenSettings,
    /// Where the platform is.
    pub(crate) platform: PlatformSettings,
    /// Link addresses of entries that are known besides the list of VMs.
    pub(crate) entries: BTreeMap<NodeId, SocketAddr>,
    /// Link addresses of sidecars that are known besides the list of VMs.
    pub(crate) peers: BTreeMap<NodeId, SocketAddr>,
    /// The endpoint beside a sidecar.
    ///
    /// Invariant: set if and only if the role is sidecar.
    pub(crate) endpoint: Option<EndpointSettings>,
    /// The secret that all processes of the deployment share.
    pub(crate) secret: Secret,
    /// Who may use the operator interface.
    pub(crate) operators: Vec<OperatorKey>,
    /// Bounds of what the process takes on.
    pub(crate) limits: LimitSettings,
    /// What is logged, and how.
    pub(crate) log: LogSettings,
    /// Partitions and their streams.
    pub(crate) partition: PartitionSettings,
    /// Probes, pings and time limits.
    pub(crate) timing: TimingSettings,
}

impl Settings {
    /// Reads a file. Secrets may be taken from environment variables.
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

    /// Parses a text; `variable` looks up environment variables.
    pub fn parse(
        text: &str,
        file: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingErrors> {
        read::read(text, file, &variable)
    }
}
