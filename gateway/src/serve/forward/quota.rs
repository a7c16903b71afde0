//! Takes a token of the account's quota for each attempt before it is sent.

use super::permit::longest_wait;
use super::{Execution, Failure, FailureCause};
use crate::admission::lease::{Closed, Lease};
use crate::admission::quota::{Ask, Demand};
use crate::dialect::Dialect;
use crate::fleet::quotas::QuotaAnswer;
use crate::node::Gateway;
use crate::routes::{AccountName, ConfigurationVersion, Quota, RouteKind};
use crate::serve::call::Call;
use smol::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait of what begins anew for its token. Who waits longer is told to come back.
const MAX_NEW_WAIT: Duration = Duration::from_millis(100);

/// Pause before the granting gateway is asked again, if it has not answered or is about to change.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(40);

/// Minimum `Retry-After` delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Reason given to clients whose account has no tokens.
const USED_UP: &str = "the account's quota is used up";

/// Reason given to clients while no gateway can tell whether it has.
const UNCHECKED: &str = "the account's quota can't be checked now";

/// One attempt's need for a token.
struct Need<'a> {
    call: &'a Call,
    account: &'a AccountName,
    quota: (ConfigurationVersion, Quota),
    demand: Demand,
    begun_at: Instant,
    deadline: Instant,
}

impl Need<'_> {
    fn max_wait(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

impl<D: Dialect> Gateway<D> {
    /// Makes sure that the call has a token for its next attempt, if its account has a quota.
    pub(crate) async fn obtain_token(self: &Rc<Self>, call: &Call) -> Result<(), Failure> {
        let Some(account) = call.account.as_ref() else {
            return Ok(());
        };
        let Some(quota) = account.quota else {
            return Ok(());
        };
        let now = Instant::now();
        if call.token_expires_at.get().is_some_and(|at| at > now) {
            return Ok(());
        }
        let demand = self.demand(call);
        let longest_wait = longest_wait(call, self.urgency(call));
        let need = Need {
            call,
            account: &account.name,
            quota: (call.admitted_version.unwrap_or_default(), quota),
            demand,
            begun_at: now,
            deadline: now
                + match demand {
                    Demand::UnderWay => longest_wait,
                    _ => longest_wait.min(MAX_NEW_WAIT),
                },
        };
        let expires_at = self.wait_for_token(&need).await?;
        call.token_expires_at.set(Some(expires_at));
        Ok(())
    }

    /// Waits for a token and returns when it expires.
    async fn wait_for_token(self: &Rc<Self>, need: &Need<'_>) -> Result<Instant, Failure> {
        let mut is_first = true;
        loop {
            let now = Instant::now();
            if let Some(expires_at) = self.take_held_token(need, now) {
                self.record_quota(need.account, QuotaOutcome::Held);
                return Ok(expires_at);
            }
            let closed = self.quotas.with_lease(now, need.account, |lease| {
                lease.closed(now, need.demand, need.max_wait(now))
            });
            if let Some(closed) = closed {
                return Err(self.quota_used_up(need, closed, None));
            }
            let ask = self.ask(need, now);
            match self.ask_for_token(need.account, need.quota, &ask).await {
                Some((QuotaAnswer::Granted(delay_ms, spare), asked_at)) => {
                    let delay = Duration::from_millis(delay_ms);
                    self.add_tokens(need.account, asked_at, spare);
                    self.quotas
                        .with_lease(now, need.account, Lease::end_fallback);
                    let expires_at = asked_at + delay + self.quotas.lease();
                    let outcome = if delay.is_zero() {
                        QuotaOutcome::Granted
                    } else {
                        Timer::after(delay).await;
                        QuotaOutcome::Waited
                    };
                    if expires_at > Instant::now() {
                        self.record_quota(need.account, outcome);
                        return Ok(expires_at);
                    }
                }
                Some((QuotaAnswer::Refused(wait_ms, retry_after_ms, level), _)) => {
                    let wait = Duration::from_millis(wait_ms);
                    let retry_after = Duration::from_millis(retry_after_ms);
                    let closed = Closed::new(Instant::now(), wait, retry_after);
                    self.quotas.with_lease(now, need.account, |lease| {
                        lease.end_fallback();
                        lease.close(need.demand, closed);
                    });
                    return Err(self.quota_used_up(need, closed, Some(level)));
                }
                Some((QuotaAnswer::NotGranting, _)) | None => {
                    if let Some(expires_at) = self.take_fallback_token(need) {
                        let outcome = QuotaOutcome::Fallback;
                        self.record_quota(need.account, outcome);
                        return Ok(expires_at);
                    }
                }
            }
            // Each request asks at least twice, as a datagram may be lost.
            if !is_first && Instant::now() + ASK_AGAIN_DELAY > need.deadline {
                return Err(self.quota_unchecked(need));
            }
            is_first = false;
            Timer::after(ASK_AGAIN_DELAY).await;
        }
    }

    /// Takes a token that this gateway holds, and asks for further ones ahead of need. Each program
    /// that begins is asked for, as the granting gateway limits their number.
    fn take_held_token(self: &Rc<Self>, need: &Need<'_>, now: Instant) -> Option<Instant> {
        if need.demand == Demand::Begin {
            return None;
        }
        let (taken, ask) = self.quotas.with_lease(now, need.account, |lease| {
            let taken = lease.take(now)?;
            let ask = lease.should_ask_ahead(now).then(|| Ask {
                demand: Demand::Ahead,
                spare: lease.spare(now),
                max_wait: Duration::ZERO,
                used: lease.take_unreported(),
            });
            Some((taken, ask))
        })?;
        if let Some(ask) = ask {
            let gateway = self.clone();
            let account = need.account.clone();
            let quota = need.quota;
            let task = async move { gateway.ask_ahead(&account, quota, &ask).await };
            self.executor.spawn(task).detach();
        }
        Some(taken)
    }

    fn ask(&self, need: &Need<'_>, now: Instant) -> Ask {
        self.quotas.with_lease(now, need.account, |lease| Ask {
            demand: need.demand,
            spare: lease.spare(now),
            max_wait: need.max_wait(now),
            used: lease.take_unreported(),
        })
    }

    /// Takes a token of this gateway's own part of the quota. No program begins so.
    fn take_fallback_token(&self, need: &Need<'_>) -> Option<Instant> {
        if need.demand == Demand::Begin || !self.gateways_loaded.get() {
            return None;
        }
        let now = Instant::now();
        let gateways = self.gossip.known_count() + 1;
        let lease_time = self.quotas.lease();
        self.quotas.with_lease(now, need.account, |lease| {
            lease.take_fallback(now, need.quota.1, gateways, lease_time)
        })
    }

    /// Returns whether the token of a call has expired while the call waited for something else.
    pub(super) fn has_expired_token(&self, call: &Call) -> bool {
        let expires_at = call.token_expires_at.get();
        expires_at.is_some_and(|expires_at| expires_at <= Instant::now())
    }

    /// Uses up the token of an attempt that is being sent.
    pub(super) fn use_token(&self, call: &Call) {
        let (Some(account), Some(_)) = (&call.account, call.token_expires_at.take()) else {
            return;
        };
        let now = Instant::now();
        let demand = self.demand(call);
        self.quotas.with_lease(now, &account.name, |lease| {
            lease.record_use(now, demand);
        });
    }

    /// Returns the token of a call that is not sent any more to the others of its account.
    pub(crate) fn return_token(&self, call: &Call) {
        if let (Some(account), Some(expires_at)) = (&call.account, call.token_expires_at.take()) {
            let now = Instant::now();
            self.quotas.with_lease(now, &account.name, |lease| {
                lease.put(now, expires_at, 1);
            });
        }
    }

    fn record_quota(&self, account: &AccountName, outcome: QuotaOutcome) {
        let mut accounts = self.counters.accounts.borrow_mut();
        accounts.record_quota(account, outcome);
    }

    fn demand(&self, call: &Call) -> Demand {
        match (self.urgency(call).is_under_way, &call.info.program) {
            (true, _) => Demand::UnderWay,
            (false, Some(_)) if call.route.kind == RouteKind::Streaming => Demand::Begin,
            (false, _) => Demand::Single,
        }
    }

    /// Returns the failure of a request beyond the quota. `level` is that of the bucket, in thousandths
    /// of a token, if the granting gateway was asked now.
    fn quota_used_up(&self, need: &Need<'_>, closed: Closed, level: Option<i64>) -> Failure {
        let now = Instant::now();
        let random = self.rng.borrow_mut().f64();
        let retry_after = closed.retry_after(now, random).max(MIN_RETRY_AFTER);
        self.record_quota(need.account, QuotaOutcome::Refused);
        crate::event!("quota_refused", "request" => need.call.id(), "account" => &**need.account,
            "demand" => need.demand.to_string(),
            "per_s" => need.quota.1.rate_per_s.to_string(),
            "version" => need.quota.0,
            "granting" => self.granting_name(need.account),
            "level" => level.map_or_else(String::new, |level| format!("{:.1}", level as f64 / 1e3)),
            "told_ms_ago" => now.saturating_duration_since(closed.told_at).as_millis(),
            "retry_after_ms" => retry_after.as_millis(),
            "waited_ms" => now.duration_since(need.begun_at).as_millis());
        Failure {
            execution: Execution::NotRun,
            reason: USED_UP,
            cause: FailureCause::QuotaUsedUp(retry_after),
        }
    }

    fn quota_unchecked(&self, need: &Need<'_>) -> Failure {
        self.record_quota(need.account, QuotaOutcome::Unchecked);
        crate::event!("quota_unchecked", "request" => need.call.id(),
            "account" => &**need.account, "demand" => need.demand.to_string(),
            "granting" => self.granting_name(need.account),
            "waited_ms" => need.begun_at.elapsed().as_millis());
        Failure::not_run(UNCHECKED)
    }
}

/// What became of a request's need for a token, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum QuotaOutcome {
    /// This gateway held a token.
    Held,
    /// The granting gateway granted one at once.
    Granted,
    /// It granted one that accrued later.
    Waited,
    /// Without its answer, one of this gateway's own part was taken.
    Fallback,
    /// The quota is used up.
    Refused,
    /// The granting gateway did not answer.
    Unchecked,
}
