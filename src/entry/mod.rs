//! The entry process: accepts callers' requests, owns partitions and dispatches calls to sidecars.

mod crashes;
mod dispatch;
mod environments;
mod hedging;
mod http;
mod members;
mod operator;
mod owner;
mod route;
mod serve;

pub(crate) use environments::{Environments, ServedEnvironment};
pub(crate) use http::{caller_handler, refuse_path};
pub(crate) use operator::operator_handler;

use crate::coordination::cache::{CacheTable, CacheTableConfig};
use crate::coordination::choice::{ChoiceConfig, Chooser};
use crate::coordination::crashes::Crashes;
use crate::coordination::hedge::RunTimes;
use crate::coordination::limits::Limits;
use crate::coordination::membership::{Membership, MembershipConfig};
use crate::coordination::partition::{PartitionConfig, PartitionHandle, PartitionIdentity};
use crate::coordination::retry::{RetryConfig, RetryPolicy};
use crate::ids::{FailureDomain, Incarnation, NodeId, Partition};
use crate::protocol::link::{LinkProtocol, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::partition::Owner;
use crate::transport::handshake::{Identity, Remote};
use crate::transport::link::{Context, LinkTiming, RequestHandler, Responder, Traffic};
use crate::transport::pool::LinkPool;
use crate::transport::spawn::Spawner;
use async_channel::{Receiver, Sender};
use owner::Programs;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// An endpoint with an unanswered call and no sign of life for this long gets no new calls.
const ENDPOINT_SILENCE_LIMIT: Duration = Duration::from_secs(120);

/// Configuration of an entry process.
#[derive(Clone)]
pub(crate) struct EntryConfig {
    /// Unique name of the node.
    pub(crate) node: NodeId,
    /// Number of this run of the process.
    pub(crate) incarnation: Incarnation,
    /// Failure domain of the node.
    pub(crate) failure_domain: FailureDomain,
    /// Secret shared by all nodes of the deployment.
    pub(crate) secret: Arc<[u8]>,
    /// Byte counters over all links.
    pub(crate) traffic: Arc<Traffic>,
    /// Number of partitions of the deployment.
    pub(crate) partitions: Partition,
    /// Configuration of each partition.
    pub(crate) partition: PartitionConfig,
    /// Heartbeat interval and timeouts of links.
    pub(crate) link: LinkTiming,
    /// Timeouts and limits of the membership view.
    pub(crate) membership: MembershipConfig,
    /// Interval between probe rounds, before jitter.
    pub(crate) probe_interval: Duration,
    /// Maximum number of nodes of each role that one round probes.
    pub(crate) probes_per_round: usize,
    /// Interval between reads of the VM list.
    pub(crate) vms_interval: Duration,
    /// Maximum duration of one call.
    pub(crate) call_timeout: Duration,
    /// Maximum wait for a commit before the answer is returned as pending.
    pub(crate) commit_timeout: Duration,
    /// Time without calls after which a program ends as lapsed.
    pub(crate) idle_timeout: Duration,
    /// Maximum number of callers' requests in progress.
    pub(crate) open_calls_max: usize,
}

/// Outgoing links to other nodes. Peers cannot send requests to this node over them.
pub(crate) type Links = LinkPool<LinkProtocol, NoRequests>;

/// Refuses requests that a peer sends over a link that this node dialled.
#[derive(Clone, Copy)]
pub(crate) struct NoRequests;

impl RequestHandler<LinkProtocol> for NoRequests {
    async fn handle(&self, _from: Remote, _request: Request, responder: Responder<LinkProtocol>) {
        let message = "This end of the link serves no requests.";
        responder.reply(Reply::Refused(Refusal::not_run(
            RefusalCode::Invalid,
            message,
        )));
    }
}

/// Handle of an entry process. Clones share the same state.
pub(crate) struct Entry<L>(Arc<Inner<L>>);

impl<L> Clone for Entry<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Invariant: the channel `abort` is closed once the callers' open requests are to be refused.
struct Inner<L> {
    config: EntryConfig,
    spawner: Spawner,
    links: Links,
    partitions: Vec<PartitionHandle<L>>,
    membership: Arc<Mutex<Membership>>,
    environments: Environments,
    chooser: Mutex<Chooser>,
    cache: Mutex<CacheTable>,
    retries: Mutex<RetryPolicy>,
    /// Calls under which endpoints crashed.
    crashes: Mutex<Crashes>,
    run_times: Mutex<RunTimes>,
    limits: Mutex<Limits>,
    programs: Programs,
    open_requests: AtomicUsize,
    leaving: AtomicBool,
    abort: (Sender<Infallible>, Receiver<Infallible>),
    operator_services: operator::OperatorServices<L>,
}

/// Reason why an entry cannot serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub(crate) enum Unreadiness {
    /// The node is shutting down.
    #[strum(to_string = "the node is leaving")]
    Leaving,
    /// No environment has been read yet.
    #[strum(to_string = "no environment is known")]
    NoEnvironment,
    /// The view of the other nodes is not settled.
    #[strum(to_string = "the membership is not settled")]
    MembershipUnsettled,
    /// No live owner of this partition is known.
    #[strum(to_string = "no owner of partition {0} is known")]
    NoOwner(Partition),
}

impl<L: Log> Entry<L> {
    /// Creates an entry and starts its background tasks.
    pub(crate) fn start(
        config: EntryConfig,
        log: L,
        environments: Environments,
        spawner: Spawner,
    ) -> Self {
        let membership = Membership::new(&config.node, config.incarnation, config.membership);
        let membership = Arc::new(Mutex::new(membership));
        let partitions = (0..config.partitions)
            .map(|partition| start_partition(&config, partition, &log, &membership, &spawner))
            .collect();
        let now = Instant::now();
        let entry = Self(Arc::new(Inner {
            links: LinkPool::new(link_context(&config, &spawner, NoRequests)),
            spawner,
            partitions,
            membership,
            environments,
            chooser: Mutex::new(Chooser::new(choice_config())),
            cache: Mutex::new(CacheTable::new(CacheTableConfig::default(), now)),
            retries: Mutex::new(RetryPolicy::new(RetryConfig::default())),
            crashes: Mutex::default(),
            run_times: Mutex::default(),
            limits: Mutex::default(),
            programs: Programs::default(),
            open_requests: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            abort: async_channel::bounded(1),
            operator_services: operator::OperatorServices::new(&config, &log),
            config,
        }));
        // No partition is claimed before the membership is watched, so no event is missed.
        entry.watch_partitions();
        entry.watch_programs();
        entry.watch_configuration();
        entry.watch_membership();
        entry
    }

    /// Returns the environments that this entry currently serves.
    pub(crate) fn environments(&self) -> &Environments {
        &self.0.environments
    }

    /// Starts shutdown: refuses new programs and gives up its partitions once their calls end.
    ///
    /// A last remaining entry keeps its partitions until its open calls end.
    pub(crate) fn leave(&self) {
        self.0.leaving.store(true, Ordering::Relaxed);
    }

    /// Ends all open callers' requests with a refusal, because the node stops before they finish.
    pub(crate) fn abort_requests(&self) {
        self.0.abort.0.close();
    }

    /// Returns the number of open callers' requests plus that of the queued and running calls in
    /// own partitions.
    pub(crate) fn open_calls(&self) -> usize {
        self.0.open_requests.load(Ordering::Relaxed) + self.0.programs.open_calls()
    }

    /// Returns the number of partitions that this node owns.
    pub(crate) fn owned_partitions(&self) -> usize {
        let owned_partitions = |handle: &&PartitionHandle<L>| handle.epoch().is_some();
        self.0.partitions.iter().filter(owned_partitions).count()
    }

    /// Returns why this entry cannot serve callers, or `None` if it can.
    pub(crate) fn unreadiness(&self) -> Option<Unreadiness> {
        if self.is_leaving() {
            return Some(Unreadiness::Leaving);
        }
        if self.0.environments.is_empty() {
            return Some(Unreadiness::NoEnvironment);
        }
        if !lock(&self.0.membership).is_settled(Instant::now()) {
            return Some(Unreadiness::MembershipUnsettled);
        }
        let mut partitions = 0..self.0.config.partitions;
        partitions
            .find(|partition| self.owner_of(*partition).is_none())
            .map(Unreadiness::NoOwner)
    }

    fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    fn partition(&self, program: crate::ids::ProgramId) -> &PartitionHandle<L> {
        let partition = crate::ids::partition_of(program, self.0.config.partitions);
        &self.0.partitions[usize::from(partition)]
    }
}

fn start_partition<L: Log>(
    config: &EntryConfig,
    partition: Partition,
    log: &L,
    membership: &Arc<Mutex<Membership>>,
    spawner: &Spawner,
) -> PartitionHandle<L> {
    let identity = PartitionIdentity {
        node: config.node.clone(),
        incarnation: config.incarnation,
        partition,
    };
    let membership = membership.clone();
    let alive = move |owner: &Owner| {
        lock(&membership).is_alive(Instant::now(), &owner.node, owner.incarnation)
    };
    let (handle, driver) =
        PartitionHandle::with_driver(log.clone(), identity, config.partition, alive);
    spawner.spawn(driver);
    handle
}

/// Raises the silence limit, because in a large deployment each endpoint is probed rarely.
///
/// Unanswered probes mark an endpoint as suspect earlier.
fn choice_config() -> ChoiceConfig {
    ChoiceConfig {
        silent_after: ENDPOINT_SILENCE_LIMIT,
        ..ChoiceConfig::default()
    }
}

fn link_context<H>(config: &EntryConfig, spawner: &Spawner, handler: H) -> Context<H> {
    Context {
        identity: Identity {
            node: config.node.clone(),
            incarnation: config.incarnation,
            secret: config.secret.clone(),
        },
        timing: config.link,
        spawner: spawner.clone(),
        handler,
        traffic: config.traffic.clone(),
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one task does not spread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
