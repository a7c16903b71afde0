//! A small deployment: a store, gateways and servers.

use crate::gateway::Gateway;
use crate::record::Record;
use crate::server::{Runs, SERVICE, Server, TOKENS_PER_EVENT};
use crate::store::Store;
use std::path::PathBuf;
use std::time::Duration;
use std::{env, fs, process};

/// Failure domains.
pub const ZONES: [&str; 3] = ["pnw-a", "pnw-b", "pnw-c"];

/// Path of turns.
pub const TURNS: &str = "/lohu930/4b";

/// Path of turns on a route that only later manifests have.
pub const NEW_TURNS: &str = "/pufi791/4b";

/// Time for which a turn can be continued, in seconds.
pub const RETENTION_S: u64 = 60;

pub struct World {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub engines: Vec<Server>,
    pub runs: Runs,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        if env::var_os("KEEP_LOGS").is_none() {
            // What is left in the temporary folder does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// Sizes of a world.
#[derive(Clone, Copy)]
pub struct Sizes {
    pub gateways: usize,
    pub engines: usize,
    /// Pause before each event of a stream.
    pub event_pause: Duration,
}

impl World {
    /// Starts all parts; `None` if a gateway does not become ready.
    pub fn start(case: &str, record: &Record, sizes: Sizes) -> Option<Self> {
        let folder = env::temp_dir().join(format!("galenapick-{case}-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::default();
        store.put("keyed.op", "config", manifest(1, &[TURNS]).as_bytes());
        let address = store.listen();
        let runs = Runs::default();
        let engines = (0..sizes.engines).map(|index| {
            let zone = ZONES[index % ZONES.len()];
            Server::start(index, zone, sizes.event_pause, &store, &runs, record)
        });
        let engines = engines.collect();
        let gateways = (0..sizes.gateways).map(|index| {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
            Gateway::new(&folder, &name, zone, address)
        });
        let mut world = Self {
            gateways: gateways.collect(),
            store,
            engines,
            runs,
            folder,
        };
        for gateway in &mut world.gateways {
            gateway.start();
        }
        let is_ready = world.gateways.iter().all(Gateway::wait_until_ready);
        if !is_ready {
            for gateway in &world.gateways {
                record.add(format!("end of a gateway's log: {}", gateway.log_end()));
            }
        }
        is_ready.then_some(world)
    }
}

/// Returns the manifest of a version with a route for each of these paths.
pub fn manifest(version: u64, paths: &[&str]) -> String {
    let routes = paths.iter().enumerate().map(|(index, path)| {
        let prefix = &path[..=path.rfind('/').unwrap_or_default()];
        format!(
            r#"{{"Name":"r-{index}","Host":"ficu95.example","PathPrefix":"{prefix}","Kind":"streaming","TimeoutMs":4000,
"TargetLatencyMs":250,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"RetainHistory":true,
"RetentionS":{RETENTION_S}.0,"SessionAffinity":true,"Resumable":false,"GapAimMs":200}}"#
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],
"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":160,"Protocol":"h1","Tls":false,
"Engine":{{"Slots":16,"KvCapacityTokens":119499,"KvTokenBytes":18432,"TokensPerEvent":{TOKENS_PER_EVENT}}}}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}
