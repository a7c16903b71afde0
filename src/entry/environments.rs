//! The environments that an entry serves, and who its callers are.

use crate::coordination::limits::Limit;
use crate::environment::{Environment, RateLimit};
use crate::ids::{ClientAccountId, EnvironmentId, Offset};
use crate::protocol::link::Caller;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

/// One environment in force.
#[derive(Clone)]
pub(crate) struct ServedEnvironment {
    /// Its document.
    pub(crate) document: Arc<Environment>,
    /// Whether it is in production.
    pub(crate) production: bool,
}

/// All environments in force at one version.
///
/// Invariant: `tokens` has each client account of each environment once.
#[derive(Default)]
struct View {
    version: Offset,
    environments: HashMap<EnvironmentId, ServedEnvironment>,
    tokens: HashMap<[u8; 32], Caller>,
}

/// The environments in force. Clones are the same ones.
#[derive(Clone, Default)]
pub(crate) struct Environments(Arc<RwLock<Arc<View>>>);

impl Environments {
    /// Puts a version in force unless it is older than the one in force.
    pub(crate) fn adopt(&self, version: Offset, environments: Vec<ServedEnvironment>) -> bool {
        let mut view = View {
            version,
            ..View::default()
        };
        for served in environments {
            for (client_account, rules) in &served.document.client_accounts {
                let caller = Caller {
                    environment: served.document.name.clone(),
                    client_account: client_account.clone(),
                };
                view.tokens.insert(rules.token_hash, caller);
            }
            let name = served.document.name.clone();
            view.environments.insert(name, served);
        }
        let mut current = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if version < current.version {
            return false;
        }
        *current = Arc::new(view);
        true
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Offset {
        self.view().version
    }

    /// Tells whether there is no environment.
    pub(crate) fn is_empty(&self) -> bool {
        self.view().environments.is_empty()
    }

    /// Finds an environment.
    pub(crate) fn get(&self, environment: &EnvironmentId) -> Option<ServedEnvironment> {
        self.view().environments.get(environment).cloned()
    }

    /// Finds the caller that a bearer token names.
    pub(crate) fn caller(&self, token: &str) -> Option<Caller> {
        let hash = blake3::hash(token.as_bytes());
        self.view().tokens.get(hash.as_bytes()).cloned()
    }

    fn view(&self) -> Arc<View> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl ServedEnvironment {
    /// Returns a client account's weight among the client accounts.
    pub(crate) fn share(&self, client_account: &ClientAccountId) -> f64 {
        let rules = self.document.client_accounts.get(client_account);
        rules.map_or(1.0, |rules| rules.share)
    }

    /// Returns the limits of the environment and of a client account.
    pub(crate) fn limits(&self, client_account: &ClientAccountId) -> (Limit, Limit) {
        let environment = limit(self.document.limits.rate);
        let rules = self.document.client_accounts.get(client_account);
        (environment, rules.map_or(environment, |r| limit(r.limits)))
    }
}

fn limit(rate: RateLimit) -> Limit {
    Limit {
        open_calls: rate.open_calls,
        calls_per_s: rate.calls_per_s,
        burst_calls: f64::from(rate.burst_calls),
    }
}
