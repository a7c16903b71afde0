//! The configuration in force: routes, services and limits.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Version of a configuration.
pub type ConfigurationVersion = u64;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Answers are streams of events; requests run at most once.
    Streaming,
}

/// How a route's turns are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// How long a turn can be continued after its end.
    pub keep: Duration,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it serves, in lowercase.
    pub host: String,
    /// Prefix of the paths that it serves.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Endpoints that one attempt may be sent to.
    pub max_attempts: u32,
    /// Set if the system keeps what was said.
    pub retention: Option<Retention>,
    /// Services that may run its requests, with their shares; never empty.
    pub services: Vec<(Rc<str>, u32)>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineLimits>,
}

/// What a model engine holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens in memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head of a request.
    pub head_bytes: usize,
    /// Longest body of a request.
    pub body_bytes: usize,
    /// Longest time that a head may take.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// What holds until a configuration says otherwise: the usual figures of HTTP servers.
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
    /// Its version; a higher one replaces a lower one.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<Rc<Route>>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on clients.
    pub limits: ClientLimits,
}

/// The configuration in force; never goes back to an older version.
#[derive(Debug, Default)]
pub struct Routes {
    version: Option<ConfigurationVersion>,
    /// Routes of a host, longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<Rc<str>, Service>,
    limits: ClientLimits,
}

impl Routes {
    /// Takes a configuration; returns whether it is newer than the one in force.
    pub fn apply(&mut self, configuration: Configuration) -> bool {
        if self
            .version
            .is_some_and(|current| current >= configuration.version)
        {
            return false;
        }
        self.version = Some(configuration.version);
        self.limits = configuration.limits;
        self.by_host.clear();
        for route in configuration.routes {
            let host_routes = self.by_host.entry(route.host.clone()).or_default();
            host_routes.push(route);
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = configuration.services.into_iter();
        self.services = services
            .map(|service| (service.name.clone(), service))
            .collect();
        true
    }

    /// Version in force; `None` before the first configuration.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.version
    }

    /// Bounds on clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Finds the route of a request: the longest prefix among those of its host.
    pub fn find(&self, host: &str, target: &str) -> Option<Rc<Route>> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = self.by_host.get(host)?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix));
        found.cloned()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

impl Route {
    /// Picks one of its services by their shares.
    pub fn pick_service(&self, rng: &mut fastrand::Rng) -> Rc<str> {
        let total: u32 = self.services.iter().map(|(_, share)| share).sum();
        let mut remaining = if total > 0 { rng.u32(0..total) } else { 0 };
        for (service, share) in &self.services {
            if remaining < *share {
                return service.clone();
            }
            remaining -= share;
        }
        self.services[0].0.clone()
    }
}
