//! The active configuration: routes, services and limits.

mod accounts;
#[cfg(test)]
mod tests;

pub use accounts::{Account, AccountName, KeyHash, Quota};
pub(crate) use accounts::{AccountTable, UnknownKey};

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Version of a configuration; a higher version is newer.
pub type ConfigurationVersion = u64;

/// Whether requests of a route may be retried, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Answers are event streams; requests run at most once unless the route is resumable.
    Streaming,
}

/// Retention of a route's turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// How long after its end a turn can be continued.
    pub duration: Duration,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, used in the log.
    pub name: String,
    /// Host in lowercase, without port.
    pub host: String,
    /// Prefix of the request paths that it matches.
    pub path_prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Duration within which an answer has its full value to the client.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of endpoints to which a request is sent.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another endpoint after its last event.
    pub is_resumable: bool,
    /// Longest pause between two events of a stream that its client accepts.
    pub longest_pause: Duration,
    /// Retention of the route's turns; `None` if they are not stored.
    pub retention: Option<Retention>,
    /// Whether its requests need no API key.
    pub is_public: bool,
    /// Services that run its requests, each with its weight; never empty.
    pub services: Vec<(Rc<str>, u32)>,
}

/// A service provided by endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: Rc<str>,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Path of a request that an endpoint answers with its status and does not execute; `None` if there
    /// is none.
    pub status_path: Option<Rc<str>>,
    /// Limits of a model engine; `None` for other services.
    pub engine: Option<EngineLimits>,
}

/// Limits of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of its KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits that apply unless a configuration sets others; usual values of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; a configuration replaces only those with a lower version.
    pub version: ConfigurationVersion,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// All client accounts; always empty unless `requires_keys`.
    pub accounts: Vec<Account>,
    /// Whether requests need an API key of an account, except on public routes. It stays true while
    /// the configuration lists accounts but has none left.
    pub requires_keys: bool,
}

/// Services by name.
pub(crate) type ServiceTable = HashMap<Rc<str>, Service>;

/// The active configuration. Its version never decreases.
#[derive(Debug, Default)]
pub struct Routes {
    version: Option<ConfigurationVersion>,
    /// Routes by host, longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
    services: Rc<ServiceTable>,
    limits: ClientLimits,
    accounts: AccountTable,
}

impl Routes {
    /// Activates a configuration if it is newer than the active one, and returns whether it is.
    pub fn apply(&mut self, configuration: Configuration) -> bool {
        if self
            .version
            .is_some_and(|current| current >= configuration.version)
        {
            return false;
        }
        self.version = Some(configuration.version);
        self.limits = configuration.limits;
        self.accounts = AccountTable::new(configuration.accounts, configuration.requires_keys);
        self.by_host.clear();
        for route in configuration.routes {
            let host_routes = self.by_host.entry(route.host.clone()).or_default();
            host_routes.push(route);
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = configuration.services.into_iter();
        let services = services.map(|service| (service.name.clone(), service));
        self.services = Rc::new(services.collect());
        true
    }

    /// Returns the active version; `None` before the first configuration.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.version
    }

    /// Returns the active limits on clients; the defaults before the first configuration.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the route of a request: the one with the longest matching prefix of the host.
    ///
    /// `host` must be in lowercase and without port. A query or fragment in `target` is ignored.
    pub fn find(&self, host: &str, target: &str) -> Option<Rc<Route>> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = self.by_host.get(host)?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix));
        found.cloned()
    }

    /// Returns the active client accounts; none before the first configuration.
    pub(crate) fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Returns the active services, which a later configuration does not change.
    pub(crate) fn services(&self) -> Rc<ServiceTable> {
        self.services.clone()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

impl Route {
    /// Returns whether a request that may have run may be sent to another endpoint.
    pub fn is_retryable(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.kind == RouteKind::Streaming && self.is_resumable
    }

    /// Picks one of the route's services at random, in proportion to their weights.
    pub fn pick_service(&self, rng: &mut fastrand::Rng) -> Rc<str> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut remaining = if total > 0 { rng.u32(0..total) } else { 0 };
        for (service, weight) in &self.services {
            if remaining < *weight {
                return service.clone();
            }
            remaining -= weight;
        }
        self.services[0].0.clone()
    }
}
