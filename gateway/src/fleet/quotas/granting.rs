//! Grants tokens of the accounts for which this gateway is the granting one.

use super::{FORGET_AFTER, GrantedQuota, NumberedQuotaAnswer, QuotaAnswer, QuotaRequest, ask_of};
use crate::admission::quota::{Ask, QuotaBucket};
use crate::dialect::Dialect;
use crate::fleet::owners::{Location, choose_owner};
use crate::node::Gateway;
use crate::routes::{AccountName, ConfigurationVersion, Quota};
use galenapick::stable_hash;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between looks at the peers and the configuration.
const INTERVAL: Duration = Duration::from_millis(100);

/// The same while no account has a quota.
const UNUSED_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait that a peer may ask for, so that one message cannot use up a quota for long.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Most tokens that a peer may ask for ahead of need.
const MAX_SPARE: u32 = 64;

/// First word of what the granting gateway is chosen by, so that accounts and partitions differ.
const KEY_SPACE: &str = "quota";

impl<D: Dialect> Gateway<D> {
    /// Returns the gateway that grants the requests of an account; `None` before this one knows its
    /// peers.
    pub(super) fn granting_gateway(&self, account: &AccountName) -> Option<Location> {
        self.note_quota_tenure();
        let mut granting = self.quotas.granting.borrow_mut();
        if let Some(location) = granting.get(account) {
            return *location;
        }
        // Before it has read of its peers, every gateway would take itself for the only one.
        let location = if self.gateways_loaded.get() {
            let candidates = self.candidates();
            choose_owner(account_key(account), &candidates).map(|it| it.location)
        } else {
            None
        };
        granting.insert(account.clone(), location);
        location
    }

    /// Forgets the buckets after a pause in which another gateway may have granted.
    fn note_quota_tenure(&self) {
        let mut tenure = self.quotas.tenure.get();
        if tenure.resume(Instant::now()) {
            crate::event!("quotas_void_after_pause",
                "buckets" => self.quotas.buckets.borrow().len());
            self.quotas.buckets.borrow_mut().clear();
        }
        self.quotas.tenure.set(tenure);
    }

    /// Decides on a request for tokens of an account for which this gateway grants.
    pub(super) fn grant(
        &self,
        account: &AccountName,
        (version, quota): (ConfigurationVersion, Quota),
        ask: &Ask,
    ) -> QuotaAnswer {
        let now = Instant::now();
        let share = self.gossip.reachable_share(now);
        let mut buckets = self.quotas.buckets.borrow_mut();
        if !buckets.contains_key(account) {
            let since = self.quotas.tenure.get().since();
            let start_tokens = self.quotas.start_tokens;
            let bucket = QuotaBucket::new(now, since, quota, share, start_tokens);
            crate::event!("quota_granting_begun", "account" => &**account,
                "per_s" => quota.rate_per_s.to_string(), "share" => format!("{share:.3}"),
                "level" => format!("{:.1}", bucket.level()),
                "since_ms" => now.duration_since(since).as_millis());
            let granted = GrantedQuota {
                bucket,
                version,
                quota,
                used_at: now,
            };
            buckets.insert(account.clone(), granted);
        }
        let Some(granted) = buckets.get_mut(account) else {
            return QuotaAnswer::NotGranting;
        };
        granted.used_at = now;
        // A peer may know a later configuration than this gateway.
        if version > granted.version {
            granted.version = version;
            granted.quota = quota;
        }
        granted.bucket.set_quota(now, granted.quota, share);
        let verdict = granted.bucket.decide(now, ask);
        QuotaAnswer::new(verdict, granted.bucket.level())
    }

    /// Decides on a request of a peer and answers it.
    pub(in crate::fleet) async fn receive_quota_request(
        self: Rc<Self>,
        request: QuotaRequest,
        from: SocketAddr,
    ) {
        let QuotaRequest(number, account, (version, rate_per_s, burst), _) = &request;
        let Some(ask) = ask_of(&request) else {
            crate::event!("quota_request_unknown", "from" => from.to_string());
            return;
        };
        let ask = Ask {
            max_wait: ask.max_wait.min(MAX_WAIT),
            spare: ask.spare.min(MAX_SPARE),
            ..ask
        };
        let quota = Quota {
            rate_per_s: *rate_per_s,
            burst: *burst,
        };
        let is_valid = rate_per_s.is_finite() && *rate_per_s > 0.0 && burst.is_finite();
        let account = AccountName::from(account.as_str());
        let grants = is_valid && self.granting_gateway(&account) == Some(Location::Local);
        let answer = if grants {
            self.grant(&account, (*version, quota), &ask)
        } else {
            self.end_granting(&account);
            QuotaAnswer::NotGranting
        };
        // The peer asks again if the answer is lost; the tokens in it are lost.
        let answer = NumberedQuotaAnswer(*number, answer);
        self.carrier.send(from, &answer).await;
    }

    /// Follows the peers and the configuration until the process ends.
    pub(crate) async fn follow_quotas(self: Rc<Self>) {
        loop {
            let is_used = self.routes.borrow().accounts().has_quotas();
            if is_used {
                self.review_quotas();
            }
            Timer::after(if is_used { INTERVAL } else { UNUSED_INTERVAL }).await;
        }
    }

    fn review_quotas(&self) {
        let now = Instant::now();
        self.note_quota_tenure();
        let mut tenure = self.quotas.tenure.get();
        let view = stable_hash((
            self.gossip.view_hash(now),
            self.is_stopping(),
            self.gateways_loaded.get(),
        ));
        if tenure.set_view(now, view) {
            self.quotas.tenure.set(tenure);
            self.quotas.granting.borrow_mut().clear();
            let accounts: Vec<AccountName> = {
                let buckets = self.quotas.buckets.borrow();
                buckets.keys().cloned().collect()
            };
            for account in accounts {
                if self.granting_gateway(&account) != Some(Location::Local) {
                    self.end_granting(&account);
                }
            }
        }
        self.apply_configured_quotas(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FORGET_AFTER;
        let mut leases = self.quotas.leases.borrow_mut();
        leases.retain(|_, lease| is_recent(lease.used_at()));
        let mut buckets = self.quotas.buckets.borrow_mut();
        buckets.retain(|_, granted| is_recent(granted.used_at));
        let mut pending = self.quotas.pending.borrow_mut();
        pending.retain(|_, request| {
            now.saturating_duration_since(request.asked_at) < self.quotas.lease
        });
    }

    /// Forgets the bucket of an account for which another gateway grants.
    fn end_granting(&self, account: &AccountName) {
        if let Some(granted) = self.quotas.buckets.borrow_mut().remove(account) {
            crate::event!("quota_granting_ended", "account" => &**account,
                "level" => format!("{:.1}", granted.bucket.level()),
                "program_requests" => format!("{:.1}", granted.bucket.program_requests()));
        }
    }

    /// Takes the quotas of a new configuration into the buckets.
    fn apply_configured_quotas(&self, now: Instant) {
        let routes = self.routes.borrow();
        let Some(version) = routes.version() else {
            return;
        };
        if self.quotas.version.replace(Some(version)) == Some(version) {
            return;
        }
        let share = self.gossip.reachable_share(now);
        let mut buckets = self.quotas.buckets.borrow_mut();
        buckets.retain(|name, granted| {
            if granted.version >= version {
                return true;
            }
            let mut accounts = routes.accounts().accounts().iter();
            let account = accounts.find(|account| account.name == *name);
            let Some(quota) = account.and_then(|account| account.quota) else {
                return false;
            };
            granted.version = version;
            granted.quota = quota;
            granted.bucket.set_quota(now, quota, share);
            true
        });
    }
}

fn account_key(account: &AccountName) -> u64 {
    stable_hash((KEY_SPACE, &**account))
}
