//! Operator services of an entry: configuration, reports, placement and the HTTP interface.

mod environments;
mod events;
mod http;
mod placement;
mod promotion;
mod query;
mod status;

pub(crate) use http::operator_handler;

use crate::configuration::{Configurator, Peers};
use crate::entry::environments::ServedEnvironment;
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

/// Interval between writes of service-level records to the log.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);

/// State of an entry's operator services.
pub(super) struct OperatorServices<L> {
    /// Follows and changes the deployment's configuration.
    pub(super) configurator: Configurator<L>,
    /// Records service levels and events.
    pub(super) operations: Operations<L>,
}

impl<L: Log> OperatorServices<L> {
    /// Creates the services. They are idle until [`Entry::watch_configuration`].
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
    /// Starts the tasks that follow the configuration and record service levels and events.
    pub(super) fn watch_configuration(&self) {
        let configurator = &self.0.operator_services.configurator;
        let spawner = &self.0.spawner;
        spawner.spawn(configurator.clone().follow());
        spawner.spawn(configurator.clone().propagate(self.clone()));
        spawner.spawn(self.clone().apply_configurations());
        spawner.spawn(self.0.operator_services.operations.clone().run());
        self.watch_events();
    }

    /// Returns the recorder of service levels and events.
    pub(super) fn operations(&self) -> &Operations<L> {
        &self.0.operator_services.operations
    }

    /// Returns the highest version of the configuration that a peer has reported; 0 if none has.
    pub(super) fn newest_configuration(&self) -> Offset {
        (self.0.operator_services.configurator).newest_peer_version()
    }

    /// Serves configuration and operator requests of other entries. Returns `None` for any other
    /// request.
    pub(super) async fn serve_operator_request(&self, request: &Request) -> Option<Reply> {
        let configurator = &self.0.operator_services.configurator;
        match request {
            Request::OfferConfiguration(offer) => {
                let version = configurator.adopt(offer);
                Some(Reply::Configured { version })
            }
            Request::FetchConfiguration => Some(Reply::Configuration(configurator.offer())),
            Request::Operate(query) => {
                Some(Reply::Operated(self.answer_query(query.clone()).await))
            }
            _ => None,
        }
    }

    /// Applies each new configuration version to the served environments.
    async fn apply_configurations(self) {
        let changes = self.0.operator_services.configurator.cell().watch();
        while changes.recv().await.is_ok() {
            let current = self.0.operator_services.configurator.current();
            self.0
                .environments
                .update(current.version(), served_environments(&current));
        }
    }
}

fn served_environments(configuration: &Configuration) -> Vec<ServedEnvironment> {
    let environments = configuration.environments().values();
    environments
        .map(|view| ServedEnvironment {
            document: view.environment.clone(),
            production: view.stage == Stage::Production,
        })
        .collect()
}

impl<L: Log> Peers for Entry<L> {
    fn entries(&self) -> Vec<NodeId> {
        let membership = lock(&self.0.membership);
        let mut entries = membership.candidates(Instant::now(), NodeRole::Entry);
        entries.push(self.0.config.node.clone());
        entries
    }

    async fn offer(&self, node: &str, offer: ConfigurationOffer) -> Option<Offset> {
        let reply = self.0.links.ask(node, Request::OfferConfiguration(offer));
        match reply.await.ok()? {
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
