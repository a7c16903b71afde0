//! Checks a request's account again before each attempt.

use super::{Execution, Failure, FailureCause};
use crate::admission::accounts::{Recheck, recheck};
use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::serve::admit::UNCONFIRMED_REASON;
use crate::serve::call::Call;

/// Reason given to a client whose key has moved to another account.
const MOVED_REASON: &str = "the API key now belongs to another account";

impl<D: Dialect> Gateway<D> {
    /// Returns the failure of a call that must not be sent, or not again, because a configuration
    /// that came into force while it waited has revoked its key or moved it to another account.
    pub(super) fn recheck_account(&self, call: &Call) -> Option<Failure> {
        if call.account.is_some() && self.has_unconfirmed_keys() {
            self.log_unconfirmed(call.id(), &call.route);
            return Some(Failure {
                execution: Execution::NotRun,
                reason: UNCONFIRMED_REASON,
                cause: FailureCause::KeyUncertain,
            });
        }
        let routes = self.routes.borrow();
        if routes.version() == call.admitted_version {
            return None;
        }
        let route = routes.find(&call.head.host, &call.head.target);
        let is_public = route.map_or(call.route.is_public, |route| route.is_public);
        let credential = call.info.credential;
        let account = call.account.as_deref();
        let mut counters = self.counters.accounts.borrow_mut();
        let (reason, cause) = match recheck(routes.accounts(), is_public, credential, account) {
            Recheck::Unchanged => return None,
            Recheck::Revoked(refusal) => {
                counters.record_key_refusal(refusal.into());
                (refusal.reason(), FailureCause::KeyRevoked)
            }
            Recheck::Moved => {
                counters.record_key_refusal("moved");
                (MOVED_REASON, FailureCause::KeyUncertain)
            }
        };
        crate::event!("key_refused", "request" => call.id(), "route" => call.route.name.as_str(),
            "account" => call.account_name(), "reason" => reason,
            "version" => routes.version().unwrap_or_default(),
            "age_ms" => self.configuration_age_ms(),
            "admitted_version" => call.admitted_version.unwrap_or_default(),
            "sent" => call.send_count.get(),
            "waited_ms" => call.received_at.elapsed().as_millis());
        Some(Failure {
            execution: Execution::NotRun,
            reason,
            cause,
        })
    }
}
