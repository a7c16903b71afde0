//! Reads the operators' configuration, and takes it from a peer that has a newer one.
//!
//! The store accepts a version once, and only accepted versions come into force, so that equal versions
//! are equal documents and any gateway may pass on what it has in force.

use crate::dialect::{Dialect, Offset, ReadOutcome, StoreCall, StoreRecord, Topic};
use crate::net::{io_with_timeout, with_timeout};
use crate::node::{Gateway, InFlightGuard};
use crate::routes::ConfigurationVersion;
use crate::serve::reply::Reply;
use crate::store::follow::Backoff;
use crate::store::link::{StoreLink, exchange};
use futures_lite::future;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Target of a peer's call for the configuration in force here; the number after it is the version
/// that the peer has. Gateways of earlier versions pass the call on to the store, which has no such
/// target.
const HANDOVER_TARGET: &str = "/configuration?newer_than=";

/// Time allowed for taking over a configuration, which may have some megabytes.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of peers that are asked for a configuration one after the other.
const MAX_HOLDERS_ASKED: usize = 3;

/// Maximum number of configurations that are handed over at the same time, so that documents of some
/// megabytes neither fill the memory nor all time out on the link of a small VM.
const MAX_HANDOVERS: usize = 4;

/// Time after which the store is read as well while a peer has not answered.
const STORE_READ_DELAY: Duration = Duration::from_millis(250);

/// Time for which the store holds a read of the configuration that has no new records. A silent
/// connection is noticed only afterwards, so this is well below the time within which a
/// configuration must take effect.
const LONG_POLL: Duration = Duration::from_millis(900);

impl<D: Dialect> Gateway<D> {
    /// Reads the configuration until the process ends.
    pub(crate) async fn follow_configuration(self: Rc<Self>) {
        let mut link = self.store_link();
        loop {
            let (mut from, records) = self.load(&mut link, Topic::Configuration).await;
            self.confirmations.set_next_offset(from);
            self.apply_configuration(&records);
            self.version_watch.borrow_mut().confirm(Instant::now());
            let mut failures = Backoff::default();
            loop {
                match self.read_configuration(&mut link, from).await {
                    Some(ReadOutcome::Records { records, end }) => {
                        failures.reset();
                        self.apply_configuration(&records);
                        from += records.len() as Offset;
                        self.confirmations.set_next_offset(from);
                        if from >= end {
                            self.version_watch.borrow_mut().confirm(Instant::now());
                        }
                    }
                    Some(ReadOutcome::Expired) => break,
                    Some(ReadOutcome::Failed) | None => failures.pause().await,
                }
            }
        }
    }

    /// Waits for the next records. Once a newer version could not be had from a peer, the read is given
    /// up, since its connection may be dead, and made again without waiting.
    async fn read_configuration(&self, link: &mut StoreLink, from: Offset) -> Option<ReadOutcome> {
        let waiting_read = async {
            let read = self.read(link, Topic::Configuration, from, LONG_POLL);
            Some(read.await)
        };
        let due = async {
            self.configuration_read_due.listen().await;
            None
        };
        if let Some(read) = future::or(waiting_read, due).await {
            return read;
        }
        let read = self.read(link, Topic::Configuration, from, Duration::ZERO);
        read.await
    }

    /// Takes newer configurations from peers until the process ends.
    pub(crate) async fn take_missed_configurations(self: Rc<Self>) {
        loop {
            let version = self.wait_for_missed_version().await;
            let read_store = async {
                Timer::after(STORE_READ_DELAY).await;
                self.configuration_read_due.notify(usize::MAX);
                future::pending().await
            };
            let is_taken = future::or(self.take_from_peers(version), read_store).await;
            if !is_taken {
                self.configuration_read_due.notify(usize::MAX);
            }
        }
    }

    /// Takes the configuration of a peer that has at least the given version, from the first few of them
    /// that hand one over. Returns whether a newer one is in force afterwards.
    async fn take_from_peers(&self, version: ConfigurationVersion) -> bool {
        let holders = self.gossip.configuration_holders(version, Instant::now());
        for address in holders.into_iter().take(MAX_HOLDERS_ASKED) {
            let error = match self.take_from_peer(address).await {
                Ok(is_newer) => return is_newer,
                Err(error) => error,
            };
            crate::event!("configuration_not_taken", "peers_version" => version,
                "from" => address.to_string(), "error" => error);
        }
        false
    }

    /// Takes the configuration of a peer. Returns whether it is newer, or the reason why the peer did
    /// not hand it over.
    async fn take_from_peer(&self, address: SocketAddr) -> Result<bool, String> {
        let call = StoreCall {
            method: "GET",
            target: format!("{HANDOVER_TARGET}{}", self.configuration_version()),
            body: Vec::new(),
        };
        let answer = io_with_timeout(HANDOVER_TIMEOUT, exchange(address, None, &call)).await;
        match answer {
            Ok((200, document, _)) => Ok(self.apply_document(&document, Source::Peer(address))),
            Ok((status, ..)) => Err(format!("status {status}")),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Answers a peer's call for the configuration in force here. Returns false if the call is for the
    /// store.
    pub(crate) async fn hand_over_configuration(&self, target: &str, reply: &Reply) -> bool {
        let Some(peers_version) = target.strip_prefix(HANDOVER_TARGET) else {
            return false;
        };
        let is_newer = peers_version
            .parse::<ConfigurationVersion>()
            .is_ok_and(|version| version < self.configuration_version());
        if !is_newer {
            reply.write_answer(404, "", &[], b"").await;
        } else if self.handovers.get() >= MAX_HANDOVERS {
            reply.write_answer(503, "", &[], b"").await;
        } else {
            let _guard = InFlightGuard::new(&self.handovers);
            let document = self.configuration_document.borrow().clone();
            // A peer that does not read must not keep others waiting.
            let write = reply.write_answer(200, "", &[], &document);
            with_timeout(HANDOVER_TIMEOUT, write).await;
        }
        true
    }

    /// Returns the version of a peer once it must be read because it has not arrived.
    async fn wait_for_missed_version(&self) -> ConfigurationVersion {
        loop {
            let heard = self.version_heard.listen();
            let read_at = self.version_watch.borrow().read_at();
            let now = Instant::now();
            match read_at {
                Some(at) if at <= now => {
                    let mut watch = self.version_watch.borrow_mut();
                    let version = watch.begin_read(now).unwrap_or_default();
                    crate::event!("configuration_missed", "peers_version" => version,
                        "version" => self.configuration_version(),
                        "age_ms" => watch.age(now).as_millis(),
                        "direct" => self.store_paths.is_direct());
                    return version;
                }
                Some(at) => {
                    let due = async {
                        Timer::at(at).await;
                    };
                    future::or(due, heard).await;
                }
                None => heard.await,
            }
        }
    }

    /// Processes the version of a peer's configuration; 0 if it has none. `is_from_store` is whether the
    /// peer has itself recently read the store.
    pub(crate) fn hear_version(
        &self,
        from: SocketAddr,
        version: ConfigurationVersion,
        is_from_store: bool,
    ) {
        let now = Instant::now();
        let jitter = self.rng.borrow_mut().f64();
        let mut watch = self.version_watch.borrow_mut();
        if watch.hear(now, version, is_from_store, jitter) {
            crate::event!("configuration_heard", "peers_version" => version,
                "from" => from.to_string(), "version" => self.configuration_version(),
                "age_ms" => watch.age(now).as_millis());
            self.version_heard.notify(usize::MAX);
        }
    }

    /// Returns the version in force; 0 before the first configuration.
    pub(crate) fn configuration_version(&self) -> ConfigurationVersion {
        self.routes.borrow().version().unwrap_or_default()
    }

    pub(super) fn apply_configuration(&self, records: &[StoreRecord]) {
        let documents = records
            .iter()
            .filter(|record| record.key == D::configuration_key());
        for document in documents.filter_map(|record| record.value.as_ref()) {
            self.apply_document(document, Source::Store);
        }
    }

    /// Puts a document in force if it is newer than the one in force, and returns whether it is.
    fn apply_document(&self, document: &[u8], source: Source) -> bool {
        let configuration = match D::parse_configuration(document) {
            Ok(configuration) => configuration,
            Err(error) => {
                crate::event!("configuration_unreadable", "source" => source.to_string(),
                    "error" => error);
                return false;
            }
        };
        let version = configuration.version;
        if self.routes.borrow_mut().apply(configuration) {
            let document = Rc::new(document.to_vec());
            self.configuration_document.replace(document);
            let mut watch = self.version_watch.borrow_mut();
            watch.apply(Instant::now(), version);
            self.log_configuration(version, source);
            return true;
        }
        if version < self.configuration_version() {
            crate::event!("configuration_older", "ignored_version" => version,
                "version" => self.configuration_version());
        }
        false
    }

    fn log_configuration(&self, version: ConfigurationVersion, source: Source) {
        let routes = self.routes.borrow();
        let accounts = routes.accounts();
        crate::event!("configuration_in_force", "version" => version,
            "source" => source.to_string(),
            "accounts" => accounts.accounts().len(), "keys" => accounts.key_count(),
            "keys_of_several_accounts" => accounts.shared_key_count());
    }
}

/// Where a configuration was read.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Source {
    Store,
    #[strum(to_string = "peer {0}")]
    Peer(SocketAddr),
}
