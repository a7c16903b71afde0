//! Operators' changes: each is validated, appended to the stream, and decided by the fold that reads
//! the stream.

use super::{Configurator, lock, unix_ms};
use crate::environment::{Difference, Environment, differences};
use crate::ids::{EnvironmentId, Offset};
use crate::ini::Faults;
use crate::protocol::configuration::{AcceptedChange, Change, ChangeAction, ConfigurationRecord};
use crate::protocol::log::{Log, LogError};
use crate::state::configuration::Configuration;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time limit for the log to accept and return a change; afterwards its outcome is unknown.
const DECISION_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which a waiting change checks the fold and the peers.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for which the reply to an accepted change waits for another entry to hold it.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeRequest {
    /// The environment to change.
    pub(crate) environment: EnvironmentId,
    /// The version that it replaces; 0 for a new environment.
    pub(crate) expects: Offset,
    /// Name of the operator.
    pub(crate) operator: String,
    /// Idempotency key: a repeat by the same operator with the same key is the same change.
    pub(crate) key: String,
    /// The action.
    pub(crate) action: ChangeAction,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// The change is accepted and final.
    Accepted {
        /// The accepted change.
        accepted: AcceptedChange,
        /// Number of other entries that are known to hold the version.
        holders: usize,
    },
    /// Another change of the environment was accepted first; this one had no effect.
    Lost {
        /// The current version of the environment.
        version: Offset,
        /// The change that produced this version.
        winner: Option<AcceptedChange>,
        /// Differences from the rejected document to the one in force.
        difference: Vec<Difference>,
    },
    /// The document is invalid; the change had no effect.
    Faulty(Faults),
    /// The change is not possible in the current state, for the given reason; it had no effect.
    Refused(String),
    /// The outcome is not known, for the given reason. Repeat the change with the same key.
    Unknown(String),
}

impl<L: Log> Configurator<L> {
    /// Makes a change. A repeat by the same operator with the same key has the same outcome.
    ///
    /// `is_entry` tells whether a node is an entry; an accepted change waits for one to hold it.
    pub(crate) async fn change(
        &self,
        request: ChangeRequest,
        is_entry: impl Fn(&str) -> bool,
    ) -> ChangeOutcome {
        let outcome = self.decide(&request).await;
        let ChangeOutcome::Accepted { accepted, .. } = outcome else {
            return outcome;
        };
        let holders = self.wait_for_holder(accepted.version, is_entry).await;
        ChangeOutcome::Accepted { accepted, holders }
    }

    async fn decide(&self, request: &ChangeRequest) -> ChangeOutcome {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() >= deadline {
                return ChangeOutcome::Unknown("the configuration is not known yet".to_string());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        if let Some(outcome) = existing_outcome(request, &self.current()) {
            return outcome;
        }
        if let Some(outcome) = validate(request, &self.current()) {
            return outcome;
        }
        // Appending again is safe: a change that is in the log twice is accepted once.
        loop {
            let appended = self.append_change(request).await;
            if let Some(outcome) = self.wait_for_fold(request, &appended, deadline).await {
                return outcome;
            }
            if Instant::now() >= deadline {
                return ChangeOutcome::Unknown("the log does not answer".to_string());
            }
        }
    }

    async fn append_change(&self, request: &ChangeRequest) -> Result<Offset, LogError> {
        let root = lock(&self.0.tail).fold().root();
        let change = Change {
            environment: request.environment.clone(),
            expects: request.expects,
            operator: request.operator.clone(),
            key: request.key.clone(),
            at_ms: unix_ms(),
            root,
            action: request.action.clone(),
        };
        self.append(&ConfigurationRecord::Change(change)).await
    }

    /// Waits until the fold has processed the change. After a failed append it waits only briefly,
    /// because the record may or may not be in the log, and returns `None`.
    async fn wait_for_fold(
        &self,
        request: &ChangeRequest,
        appended: &Result<Offset, LogError>,
        deadline: Instant,
    ) -> Option<ChangeOutcome> {
        let wait_until = match appended {
            Ok(_) => deadline,
            Err(LogError::Throttled { retry_after }) => Instant::now() + *retry_after,
            Err(_) => Instant::now() + 10 * POLL_INTERVAL,
        };
        loop {
            // Read this before the configuration: processed records are in force by then.
            let is_processed =
                matches!(appended, Ok(offset) if *offset < lock(&self.0.tail).fold().next());
            if let Some(outcome) = existing_outcome(request, &self.current()) {
                return Some(outcome);
            }
            if is_processed {
                return Some(refused_outcome(request, &self.current()));
            }
            if Instant::now() >= wait_until.min(deadline) {
                return None;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until another entry holds a version, at most [`REPLICATION_TIMEOUT`]. Returns the number
    /// of entries that hold it.
    async fn wait_for_holder(&self, version: Offset, is_entry: impl Fn(&str) -> bool) -> usize {
        let deadline = Instant::now() + REPLICATION_TIMEOUT;
        loop {
            let (holders, others) = self.count_holders(version, &is_entry);
            if holders > 0 || others == 0 || Instant::now() >= deadline {
                return holders;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of other entries that hold a version, and the number of all other entries.
    fn count_holders(&self, version: Offset, is_entry: impl Fn(&str) -> bool) -> (usize, usize) {
        let propagation = lock(&self.0.propagation);
        let holders = propagation.count_at_version(version, &is_entry);
        (holders, propagation.count_at_version(0, is_entry))
    }
}

/// Returns the outcome that the current configuration already determines: the change was accepted
/// earlier, or lost because the environment has a newer version than the change expects. Returns
/// `None` if neither is so.
fn existing_outcome(request: &ChangeRequest, current: &Configuration) -> Option<ChangeOutcome> {
    let name = &request.environment;
    if let Some(accepted) = current.accepted_change(name, &request.operator, &request.key) {
        let accepted = accepted.clone();
        return Some(ChangeOutcome::Accepted {
            accepted,
            holders: 0,
        });
    }
    (current.environment_version(name) > request.expects).then(|| lost_outcome(request, current))
}

/// Returns the outcome of a change that is not possible although the environment has no newer version
/// than the change expects.
fn refused_outcome(request: &ChangeRequest, current: &Configuration) -> ChangeOutcome {
    let version = current.environment_version(&request.environment);
    ChangeOutcome::Refused(format!(
        "{} is at version {version} and cannot change so from {}",
        request.environment, request.expects
    ))
}

fn lost_outcome(request: &ChangeRequest, current: &Configuration) -> ChangeOutcome {
    let image = current.environment_image(&request.environment);
    let difference = match (&request.action, image) {
        (ChangeAction::Apply { document }, Some(image)) => differences(document, &image.document),
        _ => Vec::new(),
    };
    ChangeOutcome::Lost {
        version: image.map_or(0, |image| image.version),
        winner: image.and_then(|image| image.changes.last().cloned()),
        difference,
    }
}

/// Returns the outcome of a change that is not valid in the current configuration; `None` if it is.
fn validate(request: &ChangeRequest, current: &Configuration) -> Option<ChangeOutcome> {
    let version = current.environment_version(&request.environment);
    if request.expects > version {
        return Some(refused_outcome(request, current));
    }
    match &request.action {
        ChangeAction::Apply { document } => validate_document(request, document, current),
        ChangeAction::Promote(_) | ChangeAction::Retire { .. } => {
            let is_in_service = current.environment(&request.environment).is_some();
            (!is_in_service).then(|| ChangeOutcome::Refused("it is not in service".to_string()))
        }
    }
}

fn validate_document(
    request: &ChangeRequest,
    document: &str,
    current: &Configuration,
) -> Option<ChangeOutcome> {
    let environment = match Environment::parse(document, &request.environment) {
        Ok(environment) => environment,
        Err(faults) => return Some(ChangeOutcome::Faulty(faults)),
    };
    if environment.name != request.environment {
        let reason = format!("the document describes {}", environment.name);
        return Some(ChangeOutcome::Refused(reason));
    }
    let conflict = environment
        .client_accounts
        .iter()
        .find(|(_, client_account)| {
            let existing = current.client_account_by_token(&client_account.token_hash);
            existing.is_some_and(|(name, _)| *name != request.environment)
        });
    conflict.map(|(name, _)| {
        let reason = format!("the token of member {name} is in use in another environment");
        ChangeOutcome::Refused(reason)
    })
}
