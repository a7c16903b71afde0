//! Admits requests on the client accounts of their keys.

use crate::admission::accounts::find_account;
use crate::dialect::{CallInfo, Credential, Dialect};
use crate::node::Gateway;
use crate::routes::{Account, Route};
use crate::serve::front::loggable_target;
use crate::serve::http::RequestHead;
use crate::serve::reply::Refusal;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// `Retry-After` delay of a request with a key while keys may have been revoked without word here.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` delay while a newer configuration is being read, which mostly takes less.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Mean `Retry-After` delay while a newer configuration cannot be ruled out, which mostly takes
/// seconds.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason given to clients whose keys cannot be relied on.
pub(crate) const UNCONFIRMED_REASON: &str = "the gateway cannot confirm that the API key is valid";

impl<D: Dialect> Gateway<D> {
    /// Returns the account on which a request runs, or the refusal of one without a valid key.
    pub(crate) fn admit(
        &self,
        route: &Route,
        info: &CallInfo,
    ) -> Result<Option<Rc<Account>>, Refusal> {
        let routes = self.routes.borrow();
        let found = find_account(routes.accounts(), route.is_public, info.credential);
        let account =
            found.map_err(|refusal| self.unless_outdated(Refusal::new(401, refusal.reason())))?;
        if account.is_some() && self.has_unconfirmed_keys() {
            self.log_unconfirmed(info.request_id.as_deref().unwrap_or_default(), route);
            let delay = UNCONFIRMED_RETRY_AFTER.mul_f64(0.5 + fastrand::f64());
            return Err(Refusal::retry_later(delay, UNCONFIRMED_REASON));
        }
        Ok(account.cloned())
    }

    /// Returns a final refusal of what the configuration in force does not allow, or one that asks to
    /// come back if a newer one may allow it.
    pub(crate) fn unless_outdated(&self, refusal: Refusal) -> Refusal {
        let now = Instant::now();
        let watch = self.version_watch.borrow();
        if watch.is_behind(now) {
            Refusal::retry_later(BEHIND_RETRY_AFTER, "a newer configuration is being read")
        } else if !watch.is_confirmed(now) {
            self.refuse_unconfirmed()
        } else {
            refusal
        }
    }

    /// Returns the refusal of a request that a newer configuration may allow.
    pub(crate) fn refuse_unconfirmed(&self) -> Refusal {
        let delay = OUTDATED_RETRY_AFTER.mul_f64(0.5 + fastrand::f64());
        Refusal::retry_later(delay, "a newer configuration cannot be ruled out")
    }

    /// Returns whether keys may have been revoked without word here for longer than the deployment
    /// allows.
    pub(crate) fn has_unconfirmed_keys(&self) -> bool {
        let limit = self.settings.terms.strict_revocation;
        let watch = self.version_watch.borrow();
        watch.is_unconfirmed(Instant::now(), limit)
    }

    /// Logs and counts a request without a valid key, with the digits that identify its key in the log
    /// of this process.
    pub(crate) fn log_key_refusal(&self, route: &Route, info: &CallInfo) {
        let routes = self.routes.borrow();
        let found = find_account(routes.accounts(), route.is_public, info.credential);
        let Err(refusal) = found else {
            return;
        };
        let request_id = info.request_id.as_deref().unwrap_or_default();
        let key = match info.credential {
            Credential::Key(key) => key.to_string(),
            Credential::Absent | Credential::Malformed => String::new(),
        };
        let mut counters = self.counters.accounts.borrow_mut();
        counters.record_key_refusal(refusal.into());
        crate::event!("key_refused", "request" => request_id, "route" => route.name.as_str(),
            "reason" => refusal.to_string(), "key" => key,
            "version" => self.configuration_version(), "age_ms" => self.configuration_age_ms(),
            "confirmed_ms" => self.confirmation_age_ms(),
            "behind" => self.version_watch.borrow().is_behind(Instant::now()));
    }

    /// Logs a request that the configuration in force has no route for, with what is known of newer
    /// ones.
    pub(crate) fn log_not_routed(&self, head: &RequestHead, status: u16) {
        let info = D::parse_call(&head.headers);
        let watch = self.version_watch.borrow();
        let now = Instant::now();
        crate::event!("not_routed", "request" => info.request_id.unwrap_or_default(),
            "host" => head.host.as_str(), "target" => loggable_target(&head.target),
            "status" => status, "version" => self.configuration_version(),
            "age_ms" => watch.age(now).as_millis(),
            "confirmed_ms" => self.confirmation_age_ms(),
            "newest_version" => watch.newest_version(), "behind" => watch.is_behind(now),
            "direct" => self.store_paths.is_direct(), "relays" => self.store_paths.relay_count());
    }

    /// Logs a refusal because the configuration is not confirmed.
    pub(crate) fn log_unconfirmed(&self, request_id: &str, route: &Route) {
        let mut counters = self.counters.accounts.borrow_mut();
        counters.record_key_refusal("unconfirmed");
        crate::event!("key_refused", "request" => request_id, "route" => route.name.as_str(),
            "reason" => "unconfirmed", "version" => self.configuration_version(),
            "age_ms" => self.configuration_age_ms(), "direct" => self.store_paths.is_direct());
    }

    /// Returns the time since the configuration came into force.
    pub(crate) fn configuration_age_ms(&self) -> u128 {
        let watch = self.version_watch.borrow();
        watch.age(Instant::now()).as_millis()
    }

    /// Returns the time since the configuration in force was last confirmed.
    fn confirmation_age_ms(&self) -> u128 {
        let watch = self.version_watch.borrow();
        watch.confirmation_age(Instant::now()).as_millis()
    }

    /// Returns the refusal of a request that exceeds a limit. A newer configuration may allow more.
    pub(crate) async fn refuse_by_limits(&self, refusal: Refusal) -> Refusal {
        let version = self.configuration_version();
        let refuse = || -> Result<Infallible, Refusal> {
            if self.configuration_version() == version {
                Err(self.unless_outdated(refusal))
            } else {
                Err(self.refuse_unconfirmed())
            }
        };
        let Err(outcome) = self.by_newest_configuration(refuse).await;
        crate::event!("limit_exceeded", "reason" => refusal.reason, "status" => outcome.status,
            "version" => self.configuration_version(),
            "confirmed_ms" => self.confirmation_age_ms());
        outcome
    }

    /// Removes the headers that may hold an API key, so that nothing later passes them on.
    pub(crate) fn remove_credentials(&self, head: &mut RequestHead) {
        let has_accounts = self.routes.borrow().accounts().is_key_required();
        head.headers
            .retain(|header| !D::is_credential(header, has_accounts));
    }
}
