//! Tests of concurrent changes, lost append responses and log outages, against the log stand-in.

use super::{ChangeOutcome, ChangeRequest, Configurator, Peers};
use crate::adapter::HttpLog;
use crate::configuration::ConfigurationCell;
use crate::ids::{NodeId, Offset};
use crate::protocol::configuration::{ChangeAction, ConfigurationImage};
use crate::protocol::link::ConfigurationOffer;
use crate::standin::{LogConfig, LogControl, LogStandin, Outage};
use futures_lite::future::block_on;
use googletest::prelude::*;
use smol::{Task, Timer};
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type Node = Configurator<HttpLog>;

const RETENTION_MS: u64 = 3_600_000;

/// Time limit for a condition that a test waits for.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Entries and sidecars that call each other directly.
#[derive(Clone, Default)]
struct Cluster {
    entries: Arc<Mutex<BTreeMap<NodeId, Node>>>,
    sidecars: Arc<Mutex<BTreeMap<NodeId, ConfigurationCell>>>,
    tasks: Arc<Mutex<Vec<Task<()>>>>,
}

impl Cluster {
    fn start(log: &LogStandin, entries: usize, sidecars: usize) -> Self {
        let cluster = Self::default();
        for number in 0..sidecars {
            let cell = ConfigurationCell::default();
            cluster
                .sidecars
                .lock()
                .unwrap()
                .insert(format!("s{number}"), cell);
        }
        for number in 0..entries {
            cluster.add_entry(log, &format!("e{number}"));
        }
        cluster
    }

    fn add_entry(&self, log: &LogStandin, name: &str) -> Node {
        let client = HttpLog::new(&log.url(), Duration::from_secs(2));
        let node = Configurator::new(name, client, RETENTION_MS);
        self.entries
            .lock()
            .unwrap()
            .insert(name.to_string(), node.clone());
        let mut tasks = self.tasks.lock().unwrap();
        tasks.push(smol::spawn(node.clone().follow()));
        tasks.push(smol::spawn(node.clone().propagate(self.clone())));
        tasks.push(smol::spawn(self.clone().exchange_versions(node.clone())));
        node
    }

    /// Replaces the probes, which report the version of each node.
    async fn exchange_versions(self, node: Node) {
        loop {
            for (name, version) in self.versions() {
                node.record_peer_version(&name, version);
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    fn versions(&self) -> Vec<(NodeId, Offset)> {
        let entries = self.entries.lock().unwrap();
        let entries = entries
            .iter()
            .map(|(n, node)| (n.clone(), node.current().version()));
        let sidecars = self.sidecars.lock().unwrap();
        let sidecars = sidecars.iter().map(|(n, cell)| (n.clone(), cell.version()));
        entries.chain(sidecars).collect()
    }

    fn entry(&self, name: &str) -> Node {
        self.entries.lock().unwrap()[name].clone()
    }

    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = Instant::now() + WAIT_LIMIT;
        while Instant::now() < deadline {
            if condition(self) {
                return true;
            }
            Timer::after(Duration::from_millis(5)).await;
        }
        false
    }

    async fn wait_for_version(&self, version: Offset) -> bool {
        self.wait_until(|cluster| cluster.versions().iter().all(|(_, v)| *v == version))
            .await
    }

    async fn wait_ready(&self) -> bool {
        self.wait_until(|c| {
            c.entries
                .lock()
                .unwrap()
                .values()
                .all(|node| node.is_ready())
        })
        .await
    }
}

impl Peers for Cluster {
    fn entries(&self) -> Vec<NodeId> {
        self.entries.lock().unwrap().keys().cloned().collect()
    }

    async fn offer(&self, node: &str, offer: ConfigurationOffer) -> Option<Offset> {
        let entry = self.entries.lock().unwrap().get(node).cloned();
        let sidecar = self.sidecars.lock().unwrap().get(node).cloned();
        match (entry, sidecar) {
            (Some(entry), _) => Some(entry.adopt(&offer)),
            (None, Some(cell)) => Some(cell.adopt(&offer.image)),
            (None, None) => None,
        }
    }

    async fn fetch(&self, node: &str) -> Option<ConfigurationOffer> {
        let entry = self.entries.lock().unwrap().get(node).cloned();
        entry.map(|entry| entry.offer())
    }

    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        smol::spawn(future).detach();
    }
}

fn request(expects: Offset, operator: &str, key: &str) -> ChangeRequest {
    let document = format!(
        "[environment]\nname = shop\n[model m]\nversion = {}\n[member one]\ntoken_hash = {}\n\
         [limits]\nopen_calls = {}\n",
        expects + 1,
        "1".repeat(64),
        1 + key.len()
    );
    ChangeRequest {
        environment: "shop".to_string(),
        expects,
        operator: operator.to_string(),
        key: key.to_string(),
        action: ChangeAction::Apply { document },
    }
}

fn is_entry(node: &str) -> bool {
    node.starts_with('e')
}

async fn start_log(config: LogConfig) -> LogStandin {
    LogStandin::start(config).await.unwrap()
}

fn accepted_version(outcome: &ChangeOutcome) -> Option<Offset> {
    match outcome {
        ChangeOutcome::Accepted { accepted, .. } => Some(accepted.version),
        _ => None,
    }
}

/// Lets eight operators make concurrent changes through four entries; returns their outcomes.
async fn make_concurrent_changes(
    cluster: &Cluster,
    expects: Offset,
    round: usize,
) -> Vec<ChangeOutcome> {
    let operators: Vec<_> = (0..8)
        .map(|number| {
            let entry = cluster.entry(&format!("e{}", number % 4));
            let operator = format!("op{number}");
            let key = format!("{operator}-{round}");
            smol::spawn(async move {
                entry
                    .change(request(expects, &operator, &key), is_entry)
                    .await
            })
        })
        .collect();
    let mut outcomes = Vec::new();
    for operator in operators {
        outcomes.push(operator.await);
    }
    outcomes
}

/// Guards against two accepted changes, or none, when operators change one environment at the same
/// time through different entries. Each loser must learn the accepted change.
#[gtest]
fn exactly_one_of_eight_concurrent_changes_is_accepted() {
    block_on(async {
        let log = start_log(LogConfig::default()).await;
        let cluster = Cluster::start(&log, 4, 4);
        expect_that!(cluster.wait_ready().await, eq(true));
        let mut version = 0;
        for round in 0..20 {
            let outcomes = make_concurrent_changes(&cluster, version, round).await;
            let winners: Vec<_> = outcomes.iter().filter_map(accepted_version).collect();
            expect_that!(winners.len(), eq(1), "round {round}: {outcomes:?}");
            for outcome in outcomes
                .iter()
                .filter(|outcome| accepted_version(outcome).is_none())
            {
                let ChangeOutcome::Lost {
                    winner, version, ..
                } = outcome
                else {
                    panic!("neither accepted nor lost: {outcome:?}");
                };
                expect_that!(*version, eq(winners[0]));
                expect_that!(
                    winner.as_ref().map(|change| change.version),
                    some(eq(winners[0]))
                );
            }
            version = winners[0];
        }
        expect_that!(cluster.wait_for_version(version).await, eq(true));
    });
}

/// The log stores the change but its response is lost. Guards against a change that is reported as
/// failed, or applied twice, in this case.
#[gtest]
fn a_change_with_a_lost_append_response_is_decided_by_reading_the_log() {
    block_on(async {
        let log = start_log(LogConfig::default()).await;
        let cluster = Cluster::start(&log, 2, 0);
        expect_that!(cluster.wait_ready().await, eq(true));
        log.control(LogControl {
            lose_answers: Some(1),
            ..LogControl::default()
        })
        .await;
        let first = cluster
            .entry("e0")
            .change(request(0, "ops", "k"), is_entry)
            .await;
        let version = accepted_version(&first);
        expect_that!(version, some(anything()));
        let repeat = cluster
            .entry("e1")
            .change(request(0, "ops", "k"), is_entry)
            .await;
        expect_that!(accepted_version(&repeat), eq(version));
    });
}

/// Guards against nodes that depend on the log for a change that is already accepted. Entries that
/// start during the outage must get it from their peers.
#[gtest]
fn an_accepted_change_reaches_all_nodes_during_a_log_outage() {
    block_on(async {
        let log = start_log(LogConfig::default()).await;
        let cluster = Cluster::start(&log, 4, 40);
        expect_that!(cluster.wait_ready().await, eq(true));
        let outcome = cluster
            .entry("e0")
            .change(request(0, "ops", "k"), is_entry)
            .await;
        log.control(LogControl {
            outage: Some(Outage::Refuse),
            ..LogControl::default()
        })
        .await;
        let version = accepted_version(&outcome).unwrap();
        expect_that!(cluster.wait_for_version(version).await, eq(true));
        let new_entry = cluster.add_entry(&log, "e9");
        let is_current = cluster
            .wait_until(|_| new_entry.current().version() == version)
            .await;
        expect_that!(is_current, eq(true));
        expect_that!(new_entry.is_ready(), eq(true));
    });
}

/// The log stores the change after a delay. Guards against a repeat with the same key that makes a
/// second version.
#[gtest]
fn a_repeat_of_a_change_with_a_delayed_append_is_the_same_change() {
    block_on(async {
        let log = start_log(LogConfig::default()).await;
        let cluster = Cluster::start(&log, 1, 0);
        expect_that!(cluster.wait_ready().await, eq(true));
        log.control(LogControl {
            delay_appends: Some(1),
            delay_ms: Some(300),
            ..LogControl::default()
        })
        .await;
        let entry = cluster.entry("e0");
        let outcome = entry.change(request(0, "ops", "k"), is_entry).await;
        let version = accepted_version(&outcome);
        expect_that!(version, some(anything()));
        Timer::after(Duration::from_millis(500)).await;
        let repeat = entry.change(request(0, "ops", "k"), is_entry).await;
        expect_that!(accepted_version(&repeat), eq(version));
        expect_that!(entry.current().version(), eq(version.unwrap()));
    });
}

#[gtest]
fn invalid_documents_are_not_appended() {
    block_on(async {
        let log = start_log(LogConfig::default()).await;
        let cluster = Cluster::start(&log, 1, 0);
        expect_that!(cluster.wait_ready().await, eq(true));
        let entry = cluster.entry("e0");
        let mut faulty = request(0, "ops", "k");
        faulty.action = ChangeAction::Apply {
            document: "[environment]\nname = shop\n".to_string(),
        };
        let outcome = entry.change(faulty, is_entry).await;
        expect_that!(matches!(outcome, ChangeOutcome::Faulty(_)), eq(true));
        let mut renamed = request(0, "ops", "k");
        renamed.environment = "other".to_string();
        let outcome = entry.change(renamed, is_entry).await;
        expect_that!(matches!(outcome, ChangeOutcome::Refused(_)), eq(true));
        expect_that!(log.records("configuration"), is_empty());
    });
}

#[gtest]
fn watchers_receive_only_the_newest_version() {
    let cell = ConfigurationCell::default();
    let watch = cell.watch();
    let image = |version| crate::protocol::configuration::ConfigurationImage {
        version,
        environments: Vec::new(),
    };
    cell.adopt(&image(3));
    cell.adopt(&image(7));
    cell.adopt(&image(5));
    expect_that!(watch.try_recv().ok(), some(eq(7)));
    expect_that!(watch.try_recv().is_err(), eq(true));
    expect_that!(cell.version(), eq(7));
}

// Guards against an entry that serves no environment because its configuration came before its watch.
#[gtest]
fn a_watch_that_begins_after_a_change_receives_its_version() {
    let cell = ConfigurationCell::default();
    let early = cell.watch();
    expect_that!(early.try_recv().ok(), none());
    let image = ConfigurationImage {
        version: 4,
        ..ConfigurationImage::default()
    };
    cell.adopt(&image);
    let late = cell.watch();
    expect_that!(early.try_recv().ok(), some(eq(4)));
    expect_that!(late.try_recv().ok(), some(eq(4)));
    expect_that!(late.try_recv().ok(), none());
}
