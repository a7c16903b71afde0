//! The gateway's process: what its tasks share, its start and its end.

use crate::counters::Counters;
use crate::dialect::{Dialect, Offset};
use crate::endpoints::Endpoints;
use crate::events;
use crate::gossip::Gossip;
use crate::net::with_timeout;
use crate::partition::{PARTITIONS, Partition, PartitionSet};
use crate::peers::PeerLinks;
use crate::pool::Pool;
use crate::routes::Routes;
use crate::store::{StoreLink, StoreWays};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::net::{TcpListener, UdpSocket};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections that may wait to be accepted: more than a burst brings between two turns of this
/// process on a slow VM.
const LISTEN_BACKLOG: i32 = 1_024;

/// How long a stopping gateway takes new connections: two readiness probes a second apart must
/// have missed before callers are sent elsewhere.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_800);

/// Part of the grace that is left for the end of the process itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two looks at what a stopping gateway still has to do.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two rounds of housekeeping.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two announcements to other gateways; they also learn of each other by datagrams.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(20);

/// Pause between two looks at the settings, which may change without a signal.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);

/// What a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// Where other gateways send their datagrams, and their calls of the store if they do not
    /// reach it themselves.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Part of a core that its VM may use.
    pub processor_share: f64,
}

/// Counts one thing that a process still has to do before it may end.
pub(crate) struct Busy(Rc<Cell<usize>>);

impl Busy {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads the settings again; errors are lines that say what is wrong.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, Vec<String>>>;

/// What the tasks of a gateway share. All run on one thread.
pub(crate) struct Gateway<D: Dialect> {
    pub(crate) settings: GatewaySettings,
    /// Differs between two lifetimes of the process.
    pub(crate) incarnation: u64,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) routes: RefCell<Routes>,
    pub(crate) endpoints: RefCell<Endpoints>,
    pub(crate) endpoints_loaded: Cell<bool>,
    pub(crate) partitions: Vec<Partition<D>>,
    /// Whether the partitions that are served here have been loaded once.
    pub(crate) turns_loaded: Cell<bool>,
    /// Whether the other gateways are known.
    pub(crate) gateways_loaded: Cell<bool>,
    /// Offset of the next record of the gateways' topic.
    pub(crate) gateways_position: Cell<Offset>,
    pub(crate) gossip: Gossip,
    pub(crate) peer_links: PeerLinks,
    /// Announcements of this gateway that stand in the store.
    pub(crate) announcements: Cell<u64>,
    /// Settlements under way.
    pub(crate) settling: Rc<Cell<usize>>,
    pub(crate) pool: Pool,
    pub(crate) store_ways: Rc<StoreWays>,
    pub(crate) counters: Counters,
    /// Requests under way.
    pub(crate) busy: Rc<Cell<usize>>,
    stopping_since: Cell<Option<Instant>>,
    is_ending: Cell<bool>,
    ended: event_listener::Event,
}

impl<D: Dialect> Gateway<D> {
    fn new(settings: GatewaySettings, executor: Rc<LocalExecutor<'static>>) -> Self {
        let mut rng = fastrand::Rng::new();
        Self {
            incarnation: rng.u64(..),
            executor,
            rng: RefCell::new(rng),
            routes: RefCell::default(),
            endpoints: RefCell::default(),
            endpoints_loaded: Cell::new(false),
            partitions: (0..PARTITIONS).map(Partition::new).collect(),
            turns_loaded: Cell::new(false),
            gateways_loaded: Cell::new(false),
            gateways_position: Cell::new(0),
            gossip: Gossip::new(&settings.name),
            peer_links: PeerLinks::default(),
            announcements: Cell::new(0),
            settling: Rc::default(),
            pool: Pool::default(),
            store_ways: Rc::new(StoreWays::new(settings.store)),
            counters: Counters::default(),
            busy: Rc::default(),
            stopping_since: Cell::new(None),
            is_ending: Cell::new(false),
            ended: event_listener::Event::new(),
            settings,
        }
    }

    /// This gateway's name as a writer, new in each lifetime of its process.
    pub(crate) fn producer(&self) -> String {
        format!("{}-{:x}", self.settings.name, self.incarnation)
    }

    /// Tells whether all records of this gateway stand in the store.
    fn has_committed(&self) -> bool {
        let mut partitions = self.partitions.iter();
        self.settling.get() == 0 && partitions.all(|partition| partition.committer.is_idle())
    }

    /// Tells whether the store answers this gateway at its own address.
    pub(crate) fn reaches_store(&self) -> bool {
        let health = self.store_ways.health();
        self.store_ways.is_direct() && !health.is_lost(Instant::now())
    }

    /// Makes a connection to the store for one task.
    pub(crate) fn store_link(&self) -> StoreLink {
        StoreLink::new(self.store_ways.clone())
    }

    /// Tells whether the process has been asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns once idle connections are to be closed.
    pub(crate) async fn ending(&self) {
        while !self.is_ending.get() {
            let listener = self.ended.listen();
            if self.is_ending.get() {
                return;
            }
            listener.await;
        }
    }

    /// Tells whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.routes.borrow().version().is_some()
            && self.endpoints_loaded.get()
            && self.turns_loaded.get()
            && !self.store_ways.health().is_lost(Instant::now())
    }

    /// All counters and gauges as text.
    pub(crate) fn metrics(&self) -> String {
        let health = self.store_ways.health();
        self.counters.render(&[
            ("requests_open", self.busy.get() as u64),
            ("turns_known", self.turns_known() as u64),
            ("partitions_loaded", self.loaded_partitions().len()),
            (
                "endpoints_known",
                self.endpoints.borrow().ids().len() as u64,
            ),
            (
                "configuration_version",
                self.routes.borrow().version().unwrap_or_default(),
            ),
            ("store_lost", u64::from(health.is_lost(Instant::now()))),
            ("store_direct", u64::from(self.store_ways.is_direct())),
        ])
    }

    /// Turns in the partitions that are loaded here.
    fn turns_known(&self) -> usize {
        let partitions = self.partitions.iter();
        partitions
            .map(|partition| partition.index.borrow().len())
            .sum()
    }

    /// The partitions that are loaded here.
    pub(crate) fn loaded_partitions(&self) -> PartitionSet {
        let partitions = self.partitions.iter();
        let loaded = partitions.filter(|partition| partition.is_loaded());
        loaded.map(|partition| partition.number).collect()
    }

    /// Takes changed settings, for ever: after a signal, and by itself after a while.
    async fn follow_settings(
        self: Rc<Self>,
        read_settings: ReadSettings,
        asked: async_channel::Receiver<()>,
    ) {
        let mut known = self.settings.clone();
        loop {
            let asked = with_timeout(SETTINGS_PAUSE, asked.recv()).await;
            let was_asked = asked.is_some_and(|asked| asked.is_ok());
            match read_settings() {
                Ok(settings) => {
                    if settings != known || was_asked {
                        self.take_settings(&known, &settings);
                        known = settings;
                    }
                }
                // A file that is being written is read again soon.
                Err(faults) => crate::event!("settings_unreadable", "faults" => faults.join("; ")),
            }
        }
    }

    /// Adopts what can change while the process runs.
    fn take_settings(&self, before: &GatewaySettings, settings: &GatewaySettings) {
        self.store_ways.set_store(settings.store);
        let adopted = GatewaySettings {
            store: settings.store,
            ..before.clone()
        };
        crate::event!("settings_reloaded", "store" => settings.store.to_string(),
            "needs_restart" => adopted != *settings);
    }

    async fn keep_house(self: Rc<Self>) {
        let mut announced_at: Option<Instant> = None;
        loop {
            let now = Instant::now();
            self.pool.close_expired(now);
            let is_due = announced_at.is_none_or(|at| now.duration_since(at) > ANNOUNCE_PAUSE);
            if is_due && self.announce().await {
                announced_at = Some(now);
            }
            self.drop_outdated(now);
            // Ownership may change hands without a load here.
            self.note_loaded();
            Timer::after(SWEEP_PAUSE).await;
        }
    }

    /// Drops the records of turns that nobody can continue any more.
    fn drop_outdated(&self, now: Instant) {
        if !self.has_committed() {
            return;
        }
        for partition in &self.partitions {
            if partition.is_loaded() && self.owns(partition.number) {
                for key in partition.index.borrow().outdated(now) {
                    partition.committer.add(key, None);
                }
            }
        }
    }

    /// Takes the gateway out of rotation, lets it finish its requests and returns.
    async fn stop(&self) {
        let started_at = Instant::now();
        self.stopping_since.set(Some(started_at));
        crate::event!("stopping", "requests" => self.busy.get());
        Timer::after(LEAVE_NOTICE).await;
        self.is_ending.set(true);
        self.ended.notify(usize::MAX);
        let limit = self.settings.stop_grace.saturating_sub(GRACE_MARGIN);
        while started_at.elapsed() < limit {
            if self.busy.get() == 0 && self.has_committed() {
                break;
            }
            Timer::after(STOP_PAUSE).await;
        }
        crate::event!("stopped", "requests" => self.busy.get(),
            "took_ms" => started_at.elapsed().as_millis());
    }
}

/// Runs a gateway until it is asked to stop.
///
/// # Errors
///
/// Fails if one of its addresses can't be bound or signals can't be received.
pub fn run_gateway<D: Dialect>(
    settings: GatewaySettings,
    read_settings: ReadSettings,
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let gateway = Rc::new(Gateway::<D>::new(settings, executor.clone()));
    smol::block_on(executor.run(run(gateway, read_settings)))
}

async fn run<D: Dialect>(gateway: Rc<Gateway<D>>, read_settings: ReadSettings) -> io::Result<()> {
    let settings = &gateway.settings;
    crate::event!("started", "gateway" => settings.name.as_str(),
        "version" => env!("CARGO_PKG_VERSION"), "incarnation" => gateway.incarnation);
    let clients = listen(settings.clients).await?;
    let readiness = listen(settings.readiness).await?;
    let peers = listen(settings.peers).await?;
    let gossip = UdpSocket::bind(settings.peers).await?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        gateway.executor.spawn(task).detach();
    };
    for number in 0..PARTITIONS {
        spawn(Box::pin(gateway.clone().commit_turns(number)));
        spawn(Box::pin(gateway.clone().follow_turns(number)));
    }
    spawn(Box::pin(events::write_lines()));
    spawn(Box::pin(gateway.clone().follow_configuration()));
    spawn(Box::pin(gateway.clone().follow_endpoints()));
    spawn(Box::pin(gateway.clone().tell_counts(gossip.clone())));
    spawn(Box::pin(gateway.clone().hear_counts(gossip)));
    spawn(Box::pin(gateway.clone().accept_peers(peers)));
    spawn(Box::pin(gateway.clone().follow_gateways()));
    spawn(Box::pin(gateway.clone().probe_store()));
    spawn(Box::pin(gateway.clone().keep_house()));
    spawn(Box::pin(gateway.clone().serve_readiness(readiness)));
    spawn(Box::pin(gateway.clone().accept_clients(clients)));
    let (ask, asked) = async_channel::bounded(1);
    spawn(Box::pin(
        gateway.clone().follow_settings(read_settings, asked),
    ));
    while let Some(signal) = signals.next().await {
        if !matches!(signal, Ok(Signal::Hup)) {
            break;
        }
        // A full channel means that the settings are about to be read anyway.
        let _ = ask.try_send(());
    }
    gateway.stop().await;
    events::flush_now();
    Ok(())
}

async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}
