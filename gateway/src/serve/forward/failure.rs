//! Failed attempts to get an answer from an endpoint, and the replies to their clients.

use crate::choice::endpoints::CallOutcome;
use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::serve::call::Call;
use crate::serve::reply::Refusal;
use std::time::Duration;

/// Mean `Retry-After` delay when no endpoint takes a request, for instance because all are full; a
/// fraction of the usual call duration.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` delay of a request whose key has moved to another account, which is in force here
/// already.
const KEY_MOVED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Whether a request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Execution {
    /// No endpoint has executed it, and none will.
    NotRun,
    /// An endpoint may have executed it, or may still do so.
    MayHaveRun,
}

/// A failed attempt to get an answer from an endpoint, with the reason given to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) execution: Execution,
    pub(crate) reason: &'static str,
    pub(super) cause: FailureCause,
}

/// Cause of a failed attempt, as far as it decides what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureCause {
    Other,
    /// No endpoint of the service takes calls, so that an early retry would fail as well.
    NoEndpoint,
    /// The connection ended after the request was sent.
    Disconnected,
    /// The request is quarantined for this long.
    Quarantined(Duration),
    /// The endpoints take no more requests for this long.
    RateLimited(Duration),
    /// No account has the request's key any more.
    KeyRevoked,
    /// The request's key now belongs to another account, or may have been revoked.
    KeyUncertain,
    /// The account may send no more requests for this long.
    QuotaUsedUp(Duration),
}

impl Failure {
    pub(super) const fn not_run(reason: &'static str) -> Self {
        Self {
            execution: Execution::NotRun,
            reason,
            cause: FailureCause::Other,
        }
    }

    pub(super) const fn may_have_run(reason: &'static str) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            reason,
            cause: FailureCause::Other,
        }
    }

    pub(super) const fn disconnected(reason: &'static str) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            reason,
            cause: FailureCause::Disconnected,
        }
    }

    /// Returns whether the request must not be sent because of its account.
    pub(super) fn is_account_refused(&self) -> bool {
        matches!(
            self.cause,
            FailureCause::KeyRevoked | FailureCause::KeyUncertain
        )
    }

    /// Returns what the failure of a request that was sent says of the endpoint.
    pub(super) fn outcome(&self) -> CallOutcome {
        match self.cause {
            FailureCause::Disconnected => CallOutcome::Disconnected,
            _ => CallOutcome::Failed,
        }
    }

    /// Returns the reply to send to the client.
    pub(crate) fn refusal(&self, call: &Call) -> Refusal {
        match (self.execution, self.cause) {
            (Execution::NotRun, FailureCause::KeyRevoked) => Refusal::new(401, self.reason),
            (Execution::NotRun, FailureCause::KeyUncertain) => {
                Refusal::retry_later(KEY_MOVED_RETRY_AFTER, self.reason)
            }
            (Execution::NotRun, FailureCause::NoEndpoint) => call.refuse_during_outage(self.reason),
            (
                Execution::NotRun,
                FailureCause::Quarantined(left) | FailureCause::RateLimited(left),
            ) => Refusal::retry_later(left, self.reason),
            (Execution::NotRun, FailureCause::QuotaUsedUp(left)) => Refusal {
                status: 429,
                ..Refusal::retry_later(left, self.reason)
            },
            (Execution::NotRun, _) => {
                let delay = RETRY_AFTER.mul_f64(0.5 + fastrand::f64());
                Refusal::retry_later(delay, self.reason)
            }
            (Execution::MayHaveRun, _) => Refusal::new(502, self.reason),
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns the failure of a call to a service without an endpoint that takes calls.
    pub(crate) fn no_endpoint(&self) -> Failure {
        Failure {
            execution: Execution::NotRun,
            reason: "no endpoint of the service takes calls",
            // Before the list of endpoints has been read, an early retry may succeed.
            cause: if self.endpoints_loaded.get() {
                FailureCause::NoEndpoint
            } else {
                FailureCause::Other
            },
        }
    }
}
