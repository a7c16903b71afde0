//! Environments that an entry serves, and authentication of callers.

use crate::coordination::limits::Limit;
use crate::environment::{Environment, RateLimit};
use crate::ids::{ClientAccountId, EnvironmentId, Offset};
use crate::protocol::link::Caller;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

/// An environment that this entry serves.
#[derive(Clone)]
pub(crate) struct ServedEnvironment {
    /// Environment document.
    pub(crate) document: Arc<Environment>,
    /// Whether the environment is in production, rather than on trial.
    pub(crate) production: bool,
}

/// All environments of one configuration version.
///
/// Invariant: `tokens` has one entry for each client account of each environment.
#[derive(Default)]
struct Snapshot {
    version: Offset,
    environments: HashMap<EnvironmentId, ServedEnvironment>,
    tokens: HashMap<[u8; 32], Caller>,
}

/// The environments that are currently served. Clones share the same state.
#[derive(Clone, Default)]
pub(crate) struct Environments(Arc<RwLock<Arc<Snapshot>>>);

impl Environments {
    /// Replaces all environments. Returns false and changes nothing if `version` is older than the
    /// current one.
    pub(crate) fn update(&self, version: Offset, environments: Vec<ServedEnvironment>) -> bool {
        let mut snapshot = Snapshot {
            version,
            ..Snapshot::default()
        };
        for served in environments {
            for (client_account, rules) in &served.document.client_accounts {
                let caller = Caller {
                    environment: served.document.name.clone(),
                    client_account: client_account.clone(),
                };
                snapshot.tokens.insert(rules.token_hash, caller);
            }
            let name = served.document.name.clone();
            snapshot.environments.insert(name, served);
        }
        let mut current = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if version < current.version {
            return false;
        }
        *current = Arc::new(snapshot);
        true
    }

    /// Returns the current configuration version.
    pub(crate) fn version(&self) -> Offset {
        self.snapshot().version
    }

    /// Returns whether no environment is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.snapshot().environments.is_empty()
    }

    /// Returns an environment by name.
    pub(crate) fn get(&self, environment: &EnvironmentId) -> Option<ServedEnvironment> {
        self.snapshot().environments.get(environment).cloned()
    }

    /// Returns the caller that a bearer token belongs to.
    pub(crate) fn find_caller(&self, token: &str) -> Option<Caller> {
        let hash = blake3::hash(token.as_bytes());
        self.snapshot().tokens.get(hash.as_bytes()).cloned()
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl ServedEnvironment {
    /// Returns a client account's scheduling weight. The default for an unknown account is 1.
    pub(crate) fn share(&self, client_account: &ClientAccountId) -> f64 {
        let rules = self.document.client_accounts.get(client_account);
        rules.map_or(1.0, |rules| rules.share)
    }

    /// Returns the limits of the environment and of a client account, in this order.
    ///
    /// An unknown account gets the limits of the environment.
    pub(crate) fn limits(&self, client_account: &ClientAccountId) -> (Limit, Limit) {
        let environment = to_limit(self.document.limits.rate);
        let rules = self.document.client_accounts.get(client_account);
        (
            environment,
            rules.map_or(environment, |r| to_limit(r.limits)),
        )
    }
}

fn to_limit(rate: RateLimit) -> Limit {
    Limit {
        open_calls: rate.open_calls,
        calls_per_s: rate.calls_per_s,
        burst_calls: f64::from(rate.burst_calls),
    }
}
