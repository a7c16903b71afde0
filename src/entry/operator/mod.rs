//! The operators' part of an entry: configuration, reports, placement, and the HTTP interface.

mod environments;
mod events;
mod http;
mod placement;
mod promotion;
mod query;
mod status;

pub(crate) use http::operator_handler;

use crate::configuration::{Configurator, Peers};
use crate::entry::environments::Served;
use crate::entry::{Entry, lock};
use crate::ids::{NodeId, Offset};
use crate::operations::{Operations, OperationsConfig};
use crate::protocol::configuration::Stage;
use crate::protocol::link::{ConfigurationOffer, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::vms::NodeRole;
use crate::state::configuration::Configuration;
use std::future::Future;
use std::time::{Duration, Instant};

/// Time between two appends of what callers got.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);

/// What an entry keeps for its operators.
pub(super) struct Operating<L> {
    /// Follows and changes the configuration.
    pub(super) configurator: Configurator<L>,
    /// Records what callers get and what happens.
    pub(super) operations: Operations<L>,
}

impl<L: Log> Operating<L> {
    /// Makes the parts; they do nothing until [`Entry::watch_configuration`].
    pub(super) fn new(config: &super::EntryConfig, log: &L) -> Self {
        let retention_ms = config.partition.retention.as_millis() as u64;
        let configurator = Configurator::new(&config.node, log.clone(), retention_ms);
        let operations = OperationsConfig {
            node: config.node.clone(),
            incarnation: config.incarnation,
            flush_interval: FLUSH_INTERVAL,
            retention_ms,
        };
        let cell = configurator.cell().clone();
        Self {
            operations: Operations::new(operations, log.clone(), cell),
            configurator,
        }
    }
}

impl<L: Log> Entry<L> {
    /// Starts following the configuration and recording what happens.
    pub(super) fn watch_configuration(&self) {
        let configurator = &self.0.operating.configurator;
        let spawner = &self.0.spawner;
        spawner.spawn(configurator.clone().follow());
        spawner.spawn(configurator.clone().propagate(self.clone()));
        spawner.spawn(self.clone().put_in_force());
        spawner.spawn(self.0.operating.operations.clone().run());
        self.watch_events();
    }

    /// Returns the recorder of what callers get.
    pub(super) fn operations(&self) -> &Operations<L> {
        &self.0.operating.operations
    }

    /// Serves what other entries ask for the operators' sake.
    pub(super) async fn serve_operators(&self, request: &Request) -> Option<Reply> {
        let configurator = &self.0.operating.configurator;
        match request {
            Request::OfferConfiguration(offer) => {
                let version = configurator.adopt(offer);
                Some(Reply::Configured { version })
            }
            Request::FetchConfiguration => Some(Reply::Configuration(configurator.offer())),
            Request::Operate(query) => Some(Reply::Operated(self.operate(query.clone()).await)),
            _ => None,
        }
    }

    /// Puts each new version in force.
    async fn put_in_force(self) {
        let changes = self.0.operating.configurator.cell().watch();
        while changes.recv().await.is_ok() {
            let current = self.0.operating.configurator.current();
            self.0
                .environments
                .adopt(current.version(), served(&current));
        }
    }
}

fn served(configuration: &Configuration) -> Vec<Served> {
    let environments = configuration.environments().values();
    environments
        .map(|view| Served {
            document: view.environment.clone(),
            production: view.stage == Stage::Production,
        })
        .collect()
}

impl<L: Log> Peers for Entry<L> {
    fn entries(&self) -> Vec<NodeId> {
        let members = lock(&self.0.members);
        let mut entries = members.candidates(Instant::now(), NodeRole::Entry);
        entries.push(self.0.config.node.clone());
        entries
    }

    async fn offer(&self, node: &str, offer: ConfigurationOffer) -> Option<Offset> {
        let asked = self.0.links.ask(node, Request::OfferConfiguration(offer));
        match asked.await.ok()? {
            Reply::Configured { version } => Some(version),
            _ => None,
        }
    }

    async fn fetch(&self, node: &str) -> Option<ConfigurationOffer> {
        match self
            .0
            .links
            .ask(node, Request::FetchConfiguration)
            .await
            .ok()?
        {
            Reply::Configuration(offer) => Some(offer),
            _ => None,
        }
    }

    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.0.spawner.spawn(future);
    }
}
