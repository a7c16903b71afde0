//! The gateway process: state shared by its tasks, start and shutdown.

use crate::admission::version_watch::VersionWatch;
use crate::choice::announced_ends::AnnouncedEnds;
use crate::choice::endpoint_heartbeats::EndpointHeartbeats;
use crate::choice::endpoints::Endpoints;
use crate::counters::Counters;
use crate::dialect::{Dialect, Offset};
use crate::events;
use crate::fleet::carrier::Carrier;
use crate::fleet::crash_reports::CrashSync;
use crate::fleet::endpoint_reports::EndpointReportSync;
use crate::fleet::gossip::Gossip;
use crate::fleet::limit_reports::LimitSync;
use crate::fleet::peers::PeerLinks;
use crate::fleet::permits::Permits;
use crate::fleet::quotas::Quotas;
use crate::limits::BufferGauge;
use crate::net::with_timeout;
use crate::routes::Routes;
use crate::serve::forward::SurvivalChecks;
use crate::serve::pool::Pool;
use crate::serve::scarcity::Scarcity;
use crate::serve::shutdown::Shutdown;
use crate::store::confirmation::Confirmations;
use crate::store::link::{StoreLink, StorePaths};
use crate::turns::partition::{PARTITION_COUNT, Partition, PartitionSet};
use crate::turns::programs::BegunPrograms;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use galenapick::crashes::Crashes;
use smol::net::{TcpListener, UdpSocket};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Length of the accept queue. A burst on a slow VM brings fewer connections between two polls of
/// the listener.
const LISTEN_BACKLOG: i32 = 1_024;

/// Interval between rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between announcements in the gateways topic. Gateways also discover each other by
/// heartbeats.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between reads of the settings, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Terms of a deployment that not every deployment has; by default there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Length of the windows in which quotas are checked.
    pub quota_window: Duration,
    /// Share of a quota by which it may be exceeded in a window.
    pub quota_overage: f64,
    /// Number of requests by which a quota may be exceeded in a window, besides.
    pub quota_slack: f64,
    /// Time without confirmation of its configuration after which a gateway refuses requests with
    /// keys; `None` if it never does.
    pub strict_revocation: Option<Duration>,
    /// Whether endpoints may have less room than callers ask for.
    pub has_scarce_room: bool,
    /// Whether endpoints may fail requests while they report to be healthy.
    pub has_unreliable_health: bool,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Unique name of the gateway.
    pub name: String,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Listen address for clients.
    pub client_address: SocketAddr,
    /// Listen address for readiness probes.
    pub readiness_address: SocketAddr,
    /// Listen address for peers. It receives their datagrams, their requests about turns, and the
    /// calls to the store that they cannot make directly.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Time between the stop signal and the forced end of the process.
    pub stop_grace: Duration,
    /// Processor share available to its VM, as a fraction of a core.
    pub processor_share: f64,
    /// Memory available to the process; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Further terms of the deployment.
    pub terms: Terms,
}

/// Counts one task that must finish before the process may end. Dropping the guard ends the count.
pub(crate) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Function that reads the settings again; returns all errors, one line each.
pub type SettingsReader = Box<dyn Fn() -> Result<GatewaySettings, Vec<String>>>;

/// State shared by the tasks of a gateway. All tasks run on one thread.
pub(crate) struct Gateway<D: Dialect> {
    pub(crate) settings: GatewaySettings,
    /// Random number that identifies this run of the process.
    pub(crate) incarnation: u64,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) routes: RefCell<Routes>,
    pub(crate) version_watch: RefCell<VersionWatch>,
    /// Notified when a peer has a newer configuration.
    pub(crate) version_heard: event_listener::Event,
    /// Notified when the configuration must be read from the store without waiting.
    pub(crate) configuration_read_due: event_listener::Event,
    /// Reads of the configuration before requests are refused for good.
    pub(crate) confirmations: Confirmations,
    /// The document of the configuration in force, for peers; empty before the first one.
    pub(crate) configuration_document: RefCell<Rc<Vec<u8>>>,
    /// Configurations that are being handed over to peers.
    pub(crate) handovers: Rc<Cell<usize>>,
    pub(crate) endpoints: RefCell<Endpoints>,
    /// Endpoints that announced their end, listed or not.
    pub(crate) announced_ends: RefCell<AnnouncedEnds>,
    /// Heartbeats of endpoints that count as crashed.
    pub(crate) endpoint_heartbeats: RefCell<EndpointHeartbeats>,
    pub(crate) endpoints_loaded: Cell<bool>,
    /// When the list of endpoints was last read from the store.
    pub(crate) endpoints_read_at: Cell<Option<Instant>>,
    pub(crate) partitions: Vec<Partition<D>>,
    /// Whether all owned partitions have been loaded at least once.
    pub(crate) turns_loaded: Cell<bool>,
    /// Whether the gateways topic has been read.
    pub(crate) gateways_loaded: Cell<bool>,
    /// Offset of the next record to read from the gateways topic.
    pub(crate) next_gateways_offset: Cell<Offset>,
    pub(crate) carrier: Carrier,
    pub(crate) gossip: Gossip,
    pub(crate) peer_links: PeerLinks,
    /// Number of announcements that the store has acknowledged.
    pub(crate) announcements: Cell<u64>,
    /// Number of settlements in flight.
    pub(crate) settlements_in_flight: Rc<Cell<usize>>,
    /// Memory taken by messages that are being received.
    pub(crate) buffers: Rc<BufferGauge>,
    pub(crate) pool: Pool,
    pub(crate) store_paths: Rc<StorePaths>,
    pub(crate) counters: Counters,
    /// Requests under which endpoints crashed.
    pub(crate) crashes: RefCell<Crashes>,
    pub(crate) crash_sync: CrashSync,
    /// Endpoints that are asked whether they still run.
    pub(crate) survival_checks: SurvivalChecks,
    pub(crate) permits: Permits,
    pub(crate) quotas: Quotas,
    pub(crate) begun_programs: RefCell<BegunPrograms>,
    pub(crate) limit_sync: LimitSync,
    pub(crate) endpoint_report_sync: EndpointReportSync,
    /// Requests that wait for room, and what decides on those that come.
    pub(crate) scarcity: RefCell<Scarcity>,
    /// Number of requests in flight.
    pub(crate) requests_in_flight: Rc<Cell<usize>>,
    pub(crate) shutdown: Shutdown,
}

impl<D: Dialect> Gateway<D> {
    fn new(settings: GatewaySettings, executor: Rc<LocalExecutor<'static>>) -> Self {
        let mut endpoints = Endpoints::default();
        endpoints.set_judges_failures(settings.terms.has_unreliable_health);
        let mut rng = fastrand::Rng::new();
        let incarnation = rng.u64(..);
        Self {
            incarnation,
            executor,
            rng: RefCell::new(rng),
            routes: RefCell::default(),
            version_watch: RefCell::default(),
            version_heard: event_listener::Event::new(),
            configuration_read_due: event_listener::Event::new(),
            confirmations: Confirmations::default(),
            configuration_document: RefCell::default(),
            handovers: Rc::default(),
            endpoints: RefCell::new(endpoints),
            announced_ends: RefCell::default(),
            endpoint_heartbeats: RefCell::default(),
            endpoints_loaded: Cell::new(false),
            endpoints_read_at: Cell::new(None),
            partitions: (0..PARTITION_COUNT).map(Partition::new).collect(),
            turns_loaded: Cell::new(false),
            gateways_loaded: Cell::new(false),
            next_gateways_offset: Cell::new(0),
            carrier: Carrier::default(),
            gossip: Gossip::new(&settings.name, &settings.failure_domain),
            peer_links: PeerLinks::default(),
            announcements: Cell::new(0),
            settlements_in_flight: Rc::default(),
            pool: Pool::default(),
            buffers: BufferGauge::new(settings.memory_bytes),
            store_paths: Rc::new(StorePaths::new(settings.store_address)),
            counters: Counters::default(),
            crashes: RefCell::default(),
            crash_sync: CrashSync::default(),
            survival_checks: SurvivalChecks::default(),
            permits: Permits::new(incarnation),
            quotas: Quotas::new(incarnation, &settings.terms),
            begun_programs: RefCell::default(),
            limit_sync: LimitSync::default(),
            endpoint_report_sync: EndpointReportSync::default(),
            scarcity: RefCell::default(),
            requests_in_flight: Rc::default(),
            shutdown: Shutdown::default(),
            settings,
        }
    }

    /// Producer name of this gateway in the store, unique to each incarnation.
    pub(crate) fn producer(&self) -> String {
        format!("{}-{:x}", self.settings.name, self.incarnation)
    }

    /// Returns whether the store has acknowledged all records of this gateway.
    pub(crate) fn has_committed_all(&self) -> bool {
        let mut partitions = self.partitions.iter();
        self.settlements_in_flight.get() == 0
            && partitions.all(|partition| partition.committer.is_idle())
    }

    /// Returns whether the store answers at its own address.
    pub(crate) fn reaches_store(&self) -> bool {
        let health = self.store_paths.health();
        self.store_paths.has_reached_store() && !health.is_lost(Instant::now())
    }

    /// Creates a connection to the store for one task.
    pub(crate) fn store_link(&self) -> StoreLink {
        StoreLink::new(self.store_paths.clone())
    }

    /// Returns whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Returns whether this gateway should receive requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.routes.borrow().version().is_some()
            && self.endpoints_loaded.get()
            && self.turns_loaded.get()
            && !self.store_paths.health().is_lost(Instant::now())
    }

    /// Returns all counters and gauges in text format.
    pub(crate) fn metrics(&self) -> String {
        let health = self.store_paths.health();
        let mut metrics = self.counters.render(&[
            ("requests_open", self.requests_in_flight.get() as u64),
            ("turns_known", self.turns_known() as u64),
            ("partitions_loaded", self.loaded_partitions().len()),
            (
                "endpoints_known",
                self.endpoints.borrow().ids().len() as u64,
            ),
            (
                "endpoints_limited",
                self.endpoints.borrow().rate_limits().limited_count() as u64,
            ),
            ("configuration_version", self.configuration_version()),
            (
                "configuration_age_s",
                self.version_watch.borrow().age(Instant::now()).as_secs(),
            ),
            (
                "accounts_known",
                self.routes.borrow().accounts().accounts().len() as u64,
            ),
            (
                "keys_known",
                self.routes.borrow().accounts().key_count() as u64,
            ),
            (
                "endpoints_failing",
                self.endpoints.borrow().failing_count() as u64,
            ),
            (
                "requests_quarantined",
                self.crashes.borrow().quarantined_count() as u64,
            ),
            ("store_lost", u64::from(health.is_lost(Instant::now()))),
            ("store_direct", u64::from(self.store_paths.is_direct())),
            ("store_relays", self.store_paths.relay_count() as u64),
            (
                "configuration_newest_version",
                self.version_watch.borrow().newest_version(),
            ),
            (
                "configuration_confirmed_age_ms",
                self.version_watch
                    .borrow()
                    .confirmation_age(Instant::now())
                    .as_millis() as u64,
            ),
        ]);
        metrics.push_str(&self.carrier.render());
        metrics.push_str(&self.endpoints.borrow().render_speeds(Instant::now()));
        metrics.push_str(&self.render_scarcity());
        metrics
    }

    /// Number of turns in the partitions loaded here.
    fn turns_known(&self) -> usize {
        let partitions = self.partitions.iter();
        partitions
            .map(|partition| partition.index.borrow().len())
            .sum()
    }

    /// Returns the partitions loaded here.
    pub(crate) fn loaded_partitions(&self) -> PartitionSet {
        let partitions = self.partitions.iter();
        let loaded = partitions.filter(|partition| partition.is_loaded());
        loaded.map(|partition| partition.number).collect()
    }

    /// Reloads the settings after each signal and at regular intervals, until the process ends.
    async fn follow_settings(
        self: Rc<Self>,
        read_settings: SettingsReader,
        reload_receiver: async_channel::Receiver<()>,
    ) {
        let mut current = self.settings.clone();
        loop {
            let signal = with_timeout(SETTINGS_CHECK_INTERVAL, reload_receiver.recv()).await;
            let was_signalled = signal.is_some_and(|signal| signal.is_ok());
            match read_settings() {
                Ok(settings) => {
                    if settings != current || was_signalled {
                        self.apply_settings(&current, &settings);
                        current = settings;
                    }
                }
                // The file may be in the middle of a write; it is read again soon.
                Err(errors) => crate::event!("settings_unreadable", "faults" => errors.join("; ")),
            }
        }
    }

    /// Applies the settings that can change without a restart.
    fn apply_settings(&self, before: &GatewaySettings, settings: &GatewaySettings) {
        self.store_paths.set_store(settings.store_address);
        let applied = GatewaySettings {
            store_address: settings.store_address,
            ..before.clone()
        };
        crate::event!("settings_reloaded", "store" => settings.store_address.to_string(),
            "needs_restart" => applied != *settings);
    }

    async fn run_housekeeping(self: Rc<Self>) {
        let mut announced_at: Option<Instant> = None;
        loop {
            let now = Instant::now();
            self.pool.close_expired(now);
            let is_due = announced_at.is_none_or(|at| now.duration_since(at) > ANNOUNCE_INTERVAL);
            if is_due && self.announce().await {
                announced_at = Some(now);
            }
            self.delete_expired_turns(now);
            self.forget_expired_crashes(now);
            self.endpoints.borrow_mut().forget_old_rate_limits(now);
            self.endpoints.borrow_mut().forget_old_failures(now);
            self.endpoints.borrow_mut().refresh_speeds();
            self.forget_pacers();
            // Ownership may change without a load on this gateway.
            self.update_turns_loaded();
            Timer::after(HOUSEKEEPING_INTERVAL).await;
        }
    }

    /// Deletes the records of turns that can no longer be continued.
    fn delete_expired_turns(&self, now: Instant) {
        if !self.has_committed_all() {
            return;
        }
        for partition in &self.partitions {
            partition.forget_applied_reservations();
            if partition.is_loaded() && self.owns(partition.number) {
                for key in partition.index.borrow().expired_keys(now) {
                    partition.committer.enqueue(key, None);
                }
            }
        }
    }
}

/// Runs a gateway until it receives a stop signal.
///
/// # Errors
///
/// Fails if one of its addresses cannot be bound or signals cannot be received.
pub fn run_gateway<D: Dialect>(
    settings: GatewaySettings,
    read_settings: SettingsReader,
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let gateway = Rc::new(Gateway::<D>::new(settings, executor.clone()));
    smol::block_on(executor.run(run(gateway, read_settings)))
}

async fn run<D: Dialect>(gateway: Rc<Gateway<D>>, read_settings: SettingsReader) -> io::Result<()> {
    let settings = &gateway.settings;
    crate::event!("started", "gateway" => settings.name.as_str(),
        "version" => env!("CARGO_PKG_VERSION"), "incarnation" => gateway.incarnation);
    let clients = listen(settings.client_address).await?;
    let readiness = listen(settings.readiness_address).await?;
    let peers = listen(settings.peer_address).await?;
    let socket = UdpSocket::bind(settings.peer_address).await?;
    gateway.carrier.open(socket);
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        gateway.executor.spawn(task).detach();
    };
    for number in 0..PARTITION_COUNT {
        spawn(Box::pin(gateway.clone().commit_turns(number)));
        spawn(Box::pin(gateway.clone().follow_turns(number)));
    }
    spawn(Box::pin(events::write_lines()));
    spawn(Box::pin(gateway.clone().follow_configuration()));
    spawn(Box::pin(gateway.clone().take_missed_configurations()));
    spawn(Box::pin(gateway.clone().confirm_configuration()));
    spawn(Box::pin(gateway.clone().follow_endpoints()));
    spawn(Box::pin(gateway.clone().send_heartbeats()));
    spawn(Box::pin(gateway.clone().send_crash_reports()));
    spawn(Box::pin(gateway.clone().send_limit_reports()));
    spawn(Box::pin(gateway.clone().receive_reports()));
    spawn(Box::pin(gateway.clone().follow_quotas()));
    spawn(Box::pin(gateway.clone().store_quarantines()));
    spawn(Box::pin(gateway.clone().release_waiting()));
    spawn(Box::pin(gateway.clone().send_program_news()));
    spawn(Box::pin(gateway.clone().accept_peers(peers)));
    spawn(Box::pin(gateway.clone().follow_gateways()));
    spawn(Box::pin(gateway.clone().probe_store()));
    spawn(Box::pin(gateway.clone().run_housekeeping()));
    spawn(Box::pin(gateway.clone().serve_readiness(readiness)));
    spawn(Box::pin(gateway.clone().accept_clients(clients)));
    let (reload_sender, reload_receiver) = async_channel::bounded(1);
    spawn(Box::pin(
        gateway
            .clone()
            .follow_settings(read_settings, reload_receiver),
    ));
    let (signal_sender, signal_receiver) = async_channel::unbounded();
    spawn(Box::pin(forward_signals(signals, signal_sender)));
    while let Ok(signal) = signal_receiver.recv().await {
        if !matches!(signal, Ok(Signal::Hup)) {
            break;
        }
        // A full channel means that a reload is already pending.
        let _ = reload_sender.try_send(());
    }
    gateway.stop().await;
    events::flush_now();
    Ok(())
}

/// Passes signals on. Its task alone reads them: the one that `run` is part of is polled whenever any
/// task is.
async fn forward_signals(mut signals: Signals, sender: Sender<io::Result<Signal>>) {
    while let Some(signal) = signals.next().await {
        if sender.send(signal).await.is_err() {
            return;
        }
    }
}

async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}
