//! The entry: takes callers' requests, owns partitions and routes calls to sidecars.

mod dispatch;
mod environments;
mod http;
mod members;
mod operator;
mod owner;
mod route;
mod serve;

pub(crate) use environments::{Environments, Served};
pub(crate) use http::{handler, refuse_path};
pub(crate) use operator::operator_handler;

use crate::coordination::cache::{CacheTable, CacheTableConfig};
use crate::coordination::choice::{ChoiceConfig, Chooser};
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
use crate::transport::link::{Context, Responder, Serve, Timing, Traffic};
use crate::transport::pool::Pool;
use crate::transport::spawn::Spawner;
use owner::Programs;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// An endpoint that nothing was heard of for so long gets no work, whatever probes say.
const SILENT_AFTER: Duration = Duration::from_secs(120);

/// Settings of an entry.
#[derive(Clone)]
pub(crate) struct EntryConfig {
    /// Its name.
    pub(crate) node: NodeId,
    /// This run of it.
    pub(crate) incarnation: Incarnation,
    /// Its failure domain.
    pub(crate) failure_domain: FailureDomain,
    /// The secret that all nodes of the deployment share.
    pub(crate) secret: Arc<[u8]>,
    /// Counts the bytes of all links.
    pub(crate) traffic: Arc<Traffic>,
    /// Number of partitions of the deployment.
    pub(crate) partitions: Partition,
    /// Settings of each partition.
    pub(crate) partition: PartitionConfig,
    /// Heartbeats and deadlines of links.
    pub(crate) link: Timing,
    /// Bounds of the view of other nodes.
    pub(crate) membership: MembershipConfig,
    /// Time between two rounds of probes.
    pub(crate) probe_interval: Duration,
    /// Nodes of each role that are probed in one round at most.
    pub(crate) probes: usize,
    /// Time between two reads of the VM list.
    pub(crate) vms_interval: Duration,
    /// Longest time that one call may take.
    pub(crate) call_limit: Duration,
    /// Longest wait for a commit before a turn is answered as pending.
    pub(crate) commit_patience: Duration,
    /// A program without calls lapses after this time.
    pub(crate) idle_limit: Duration,
    /// Callers' requests at once.
    pub(crate) open_calls: usize,
}

/// Links to other nodes; this node's own requests alone travel on them.
pub(crate) type Links = Pool<LinkProtocol, NoRequests>;

/// Refuses requests on links that this node has dialled.
#[derive(Clone, Copy)]
pub(crate) struct NoRequests;

impl Serve<LinkProtocol> for NoRequests {
    async fn serve(&self, _from: Remote, _request: Request, responder: Responder<LinkProtocol>) {
        let message = "This end of the link serves no requests.";
        responder.reply(Reply::Refused(Refusal::not_run(
            RefusalCode::Invalid,
            message,
        )));
    }
}

/// An entry. Clones are the same one.
pub(crate) struct Entry<L>(Arc<Inner<L>>);

impl<L> Clone for Entry<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

struct Inner<L> {
    config: EntryConfig,
    spawner: Spawner,
    links: Links,
    partitions: Vec<PartitionHandle<L>>,
    members: Arc<Mutex<Membership>>,
    environments: Environments,
    chooser: Mutex<Chooser>,
    cache: Mutex<CacheTable>,
    retries: Mutex<RetryPolicy>,
    limits: Mutex<Limits>,
    programs: Programs,
    open_calls: AtomicUsize,
    leaving: AtomicBool,
    operating: operator::Operating<L>,
}

impl<L: Log> Entry<L> {
    /// Makes an entry and starts its background tasks.
    pub(crate) fn start(
        config: EntryConfig,
        log: L,
        environments: Environments,
        spawner: Spawner,
    ) -> Self {
        let members = Membership::new(&config.node, config.incarnation, config.membership);
        let members = Arc::new(Mutex::new(members));
        let partitions = (0..config.partitions)
            .map(|partition| start_partition(&config, partition, &log, &members, &spawner))
            .collect();
        let now = Instant::now();
        let entry = Self(Arc::new(Inner {
            links: Pool::new(link_context(&config, &spawner, NoRequests)),
            spawner,
            partitions,
            members,
            environments,
            chooser: Mutex::new(Chooser::new(choice_config())),
            cache: Mutex::new(CacheTable::new(CacheTableConfig::default(), now)),
            retries: Mutex::new(RetryPolicy::new(RetryConfig::default())),
            limits: Mutex::default(),
            programs: Programs::default(),
            open_calls: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            operating: operator::Operating::new(&config, &log),
            config,
        }));
        entry.watch_members();
        entry.watch_partitions();
        entry.watch_programs();
        entry.watch_configuration();
        entry
    }

    /// Returns the environments that this entry serves.
    pub(crate) fn environments(&self) -> &Environments {
        &self.0.environments
    }

    /// Takes no new programs from now on and hands the partitions over when their calls are done.
    pub(crate) fn leave(&self) {
        self.0.leaving.store(true, Ordering::Relaxed);
    }

    /// Counts callers' requests and own calls under way.
    pub(crate) fn open_calls(&self) -> usize {
        self.0.open_calls.load(Ordering::Relaxed) + self.0.programs.running()
    }

    /// Counts partitions that this node owns.
    pub(crate) fn owned(&self) -> usize {
        let owned = |handle: &&PartitionHandle<L>| handle.epoch().is_some();
        self.0.partitions.iter().filter(owned).count()
    }

    /// Tells whether callers may be sent here: environments, other nodes and owners are known.
    pub(crate) fn is_ready(&self) -> bool {
        let served = !self.0.environments.is_empty();
        let settled = lock(&self.0.members).is_settled(Instant::now());
        let owner = |p: Partition| self.owner_of(p).is_some();
        served && settled && !self.is_leaving() && (0..self.0.config.partitions).all(owner)
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
    members: &Arc<Mutex<Membership>>,
    spawner: &Spawner,
) -> PartitionHandle<L> {
    let identity = PartitionIdentity {
        node: config.node.clone(),
        incarnation: config.incarnation,
        partition,
    };
    let members = members.clone();
    let alive = move |owner: &Owner| {
        lock(&members).is_alive(Instant::now(), &owner.node, owner.incarnation)
    };
    let (handle, driver) =
        PartitionHandle::with_driver(log.clone(), identity, config.partition, alive);
    spawner.spawn(driver);
    handle
}

/// Silence is judged by unanswered probes, since with many endpoints each is probed rarely.
fn choice_config() -> ChoiceConfig {
    ChoiceConfig {
        silent_after: SILENT_AFTER,
        ..ChoiceConfig::default()
    }
}

fn link_context<S>(config: &EntryConfig, spawner: &Spawner, server: S) -> Context<S> {
    Context {
        identity: Identity {
            node: config.node.clone(),
            incarnation: config.incarnation,
            secret: config.secret.clone(),
        },
        timing: config.link,
        spawner: spawner.clone(),
        server,
        traffic: config.traffic.clone(),
    }
}

/// Locks a mutex; a panic elsewhere does not spread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds since the Unix epoch by this machine's clock.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
