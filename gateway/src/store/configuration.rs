//! Reads the operators' configuration, and reads it again at once when a peer has a newer one.

use crate::dialect::{Dialect, Offset, ReadOutcome, StoreRecord, Topic};
use crate::node::Gateway;
use crate::routes::ConfigurationVersion;
use crate::store::follow::Backoff;
use crate::store::link::StoreLink;
use futures_lite::future;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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
            self.apply_configuration(&records);
            self.version_watch.borrow_mut().confirm(Instant::now());
            let mut failures = Backoff::default();
            loop {
                match self.read_configuration(&mut link, from).await {
                    Some(ReadOutcome::Records { records, end }) => {
                        failures.reset();
                        self.apply_configuration(&records);
                        from += records.len() as Offset;
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

    /// Waits for the next records. Once a peer has a newer version that does not arrive, the read is
    /// given up, since its connection may be dead, and made again without waiting.
    async fn read_configuration(&self, link: &mut StoreLink, from: Offset) -> Option<ReadOutcome> {
        let waiting_read = async {
            let read = self.read(link, Topic::Configuration, from, LONG_POLL);
            Some(read.await)
        };
        let missed = async {
            self.wait_for_missed_version().await;
            None
        };
        if let Some(read) = future::or(waiting_read, missed).await {
            return read;
        }
        let read = self.read(link, Topic::Configuration, from, Duration::ZERO);
        read.await
    }

    /// Returns once the configuration must be read because a peer has a newer version.
    async fn wait_for_missed_version(&self) {
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
                    return;
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

    /// Processes the version of a peer's configuration; 0 if it has none.
    pub(crate) fn hear_version(
        &self,
        from: SocketAddr,
        version: ConfigurationVersion,
        reaches_store: bool,
    ) {
        let now = Instant::now();
        let jitter = self.rng.borrow_mut().f64();
        let mut watch = self.version_watch.borrow_mut();
        if watch.hear(now, version, reaches_store, jitter) {
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

    fn apply_configuration(&self, records: &[StoreRecord]) {
        let documents = records
            .iter()
            .filter(|record| record.key == D::configuration_key());
        for value in documents.filter_map(|record| record.value.as_ref()) {
            match D::parse_configuration(value) {
                Ok(configuration) => {
                    let version = configuration.version;
                    if self.routes.borrow_mut().apply(configuration) {
                        let mut watch = self.version_watch.borrow_mut();
                        watch.apply(Instant::now(), version);
                        self.log_configuration(version);
                    } else if version < self.configuration_version() {
                        crate::event!("configuration_older", "ignored_version" => version,
                            "version" => self.configuration_version());
                    }
                }
                Err(error) => crate::event!("configuration_unreadable", "error" => error),
            }
        }
    }

    fn log_configuration(&self, version: ConfigurationVersion) {
        let routes = self.routes.borrow();
        let accounts = routes.accounts();
        crate::event!("configuration_in_force", "version" => version,
            "accounts" => accounts.accounts().len(), "keys" => accounts.key_count(),
            "keys_of_several_accounts" => accounts.shared_key_count());
    }
}
