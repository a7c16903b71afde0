//! Quotas of client accounts, over all gateways.
//!
//! For each account one gateway grants tokens, which all gateways compute from those that they hear
//! of. The others hold a few tokens for their next requests and ask for more by datagram. If two take
//! themselves for the granting one, each grants only the share of the quota that corresponds to the
//! share of the gateways that it reaches.

mod granting;
#[cfg(test)]
mod tests;

use crate::admission::lease::{Lease, lease_time};
use crate::admission::quota::{Ask, Demand, QuotaBucket, Verdict};
use crate::admission::tenure::Tenure;
use crate::dialect::Dialect;
use crate::fleet::carrier::{Report, milliseconds};
use crate::fleet::owners::Location;
use crate::net::with_timeout;
use crate::node::{Gateway, Terms};
use crate::routes::{AccountName, ConfigurationVersion, Quota};
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum wait for an answer. It covers the scheduling delay of a busy VM.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Fraction of the tolerance in requests with which a gateway begins to grant.
const START_SHARE: f64 = 0.1;

/// Time after which the state of an unused account is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A request for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct QuotaRequest(
    /// Identifies the request at its sender.
    u64,
    /// Name of the account.
    String,
    /// Version of the configuration of which the quota is, its rate a second and its burst.
    (ConfigurationVersion, f64, f64),
    /// What is asked for: the demand, tokens ahead of need, the longest wait in milliseconds, and
    /// requests sent since.
    (u8, u32, u64, u32),
);

impl Report for QuotaRequest {
    const TAG: u8 = b'Q';
}

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuotaAnswer {
    /// The request may be sent after a delay in milliseconds; further tokens are for others.
    #[serde(rename = "g")]
    Granted(u64, u32),
    /// Time until a token accrues, time after which the request should come back, both in
    /// milliseconds, and the bucket's level in thousandths of a token.
    #[serde(rename = "r")]
    Refused(u64, u64, i64),
    /// Another gateway grants.
    #[serde(rename = "o")]
    NotGranting,
}

impl QuotaAnswer {
    fn new(verdict: Verdict, level: f64) -> Self {
        match verdict {
            Verdict::Granted { delay, spare } => Self::Granted(milliseconds_up(delay), spare),
            Verdict::Refused { wait, retry_after } => Self::Refused(
                milliseconds_up(wait),
                milliseconds_up(retry_after),
                (level * 1_000.0) as i64,
            ),
        }
    }
}

/// Number of a request, and the answer to it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct NumberedQuotaAnswer(u64, QuotaAnswer);

impl Report for NumberedQuotaAnswer {
    const TAG: u8 = b'A';
}

/// A request for tokens that has not been answered yet.
#[derive(Debug)]
struct PendingRequest {
    account: AccountName,
    asked_at: Instant,
    /// Whether a token for a request was asked for, besides those ahead of need.
    is_for_request: bool,
    /// `None` if no request waits for the answer, or none waits any more.
    waiter: Option<Sender<QuotaAnswer>>,
}

/// Quotas at this gateway: as one that needs tokens, and as one that grants them.
#[derive(Debug)]
pub(crate) struct Quotas {
    leases: RefCell<HashMap<AccountName, Lease>>,
    buckets: RefCell<HashMap<AccountName, GrantedQuota>>,
    pending: RefCell<HashMap<u64, PendingRequest>>,
    next_number: Cell<u64>,
    tenure: Cell<Tenure>,
    /// Granting gateways in the present view.
    granting: RefCell<HashMap<AccountName, Option<Location>>>,
    /// Version of the configuration from which the buckets have their quotas.
    version: Cell<Option<ConfigurationVersion>>,
    lease: Duration,
    start_tokens: f64,
}

/// The bucket of an account, with the version of the configuration of which its quota is.
#[derive(Debug)]
struct GrantedQuota {
    bucket: QuotaBucket,
    version: ConfigurationVersion,
    quota: Quota,
    used_at: Instant,
}

impl Quotas {
    /// Creates an instance whose request numbers differ from those of earlier incarnations.
    pub(crate) fn new(incarnation: u64, terms: &Terms) -> Self {
        Self {
            leases: RefCell::default(),
            buckets: RefCell::default(),
            pending: RefCell::default(),
            next_number: Cell::new(incarnation),
            tenure: Cell::new(Tenure::new(Instant::now())),
            granting: RefCell::default(),
            version: Cell::new(None),
            lease: lease_time(terms.quota_window, terms.quota_overage),
            start_tokens: terms.quota_slack * START_SHARE,
        }
    }

    /// Returns the life of a token.
    pub(crate) fn lease(&self) -> Duration {
        self.lease
    }

    /// Calls a function with the lease of an account.
    pub(crate) fn with_lease<T>(
        &self,
        now: Instant,
        account: &AccountName,
        apply: impl FnOnce(&mut Lease) -> T,
    ) -> T {
        let mut leases = self.leases.borrow_mut();
        if let Some(lease) = leases.get_mut(account) {
            return apply(lease);
        }
        apply(
            leases
                .entry(account.clone())
                .or_insert_with(|| Lease::new(now)),
        )
    }

    /// Records a request for tokens and returns its number.
    fn begin_request(
        &self,
        account: &AccountName,
        asked_at: Instant,
        waiter: Option<Sender<QuotaAnswer>>,
    ) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let request = PendingRequest {
            account: account.clone(),
            asked_at,
            is_for_request: waiter.is_some(),
            waiter,
        };
        self.pending.borrow_mut().insert(number, request);
        number
    }
}

/// Lets the tokens of a late answer go to other requests once nobody waits for it.
struct WaiterGuard<'a> {
    quotas: &'a Quotas,
    number: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut pending = self.quotas.pending.borrow_mut();
        if let Some(request) = pending.get_mut(&self.number) {
            request.waiter = None;
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Asks the granting gateway of an account for a token. Returns its answer, and when its tokens
    /// expire; `None` if it does not answer.
    pub(crate) async fn ask_for_token(
        &self,
        account: &AccountName,
        quota: (ConfigurationVersion, Quota),
        ask: &Ask,
    ) -> Option<(QuotaAnswer, Instant)> {
        let asked_at = Instant::now();
        let answer = match self.granting_gateway(account)? {
            Location::Local => self.grant(account, quota, ask),
            Location::Remote(address) => {
                let (sender, answers) = async_channel::bounded(1);
                let number = self.quotas.begin_request(account, asked_at, Some(sender));
                let _guard = WaiterGuard {
                    quotas: &self.quotas,
                    number,
                };
                self.send_quota_request(address, number, account, quota, ask)
                    .await;
                with_timeout(ANSWER_TIMEOUT, answers.recv()).await?.ok()?
            }
            Location::Pending => return None,
        };
        Some((answer, asked_at))
    }

    /// Asks for tokens ahead of need, without a wait for the answer.
    pub(crate) async fn ask_ahead(
        &self,
        account: &AccountName,
        quota: (ConfigurationVersion, Quota),
        ask: &Ask,
    ) {
        let asked_at = Instant::now();
        match self.granting_gateway(account) {
            Some(Location::Local) => {
                if let QuotaAnswer::Granted(_, spare) = self.grant(account, quota, ask) {
                    self.add_tokens(account, asked_at, spare);
                }
            }
            Some(Location::Remote(address)) => {
                let number = self.quotas.begin_request(account, asked_at, None);
                self.send_quota_request(address, number, account, quota, ask)
                    .await;
            }
            Some(Location::Pending) | None => {}
        }
    }

    async fn send_quota_request(
        &self,
        address: SocketAddr,
        number: u64,
        account: &AccountName,
        (version, quota): (ConfigurationVersion, Quota),
        ask: &Ask,
    ) {
        let request = QuotaRequest(
            number,
            account.to_string(),
            (version, quota.rate_per_s, quota.burst),
            (
                ask.demand as u8,
                ask.spare,
                milliseconds(ask.max_wait),
                ask.used,
            ),
        );
        self.carrier.send(address, &request).await;
    }

    /// Adds tokens that were asked for at a time to the lease of an account.
    pub(crate) fn add_tokens(&self, account: &AccountName, asked_at: Instant, tokens: u32) {
        let now = Instant::now();
        let expires_at = asked_at + self.quotas.lease;
        self.quotas
            .with_lease(now, account, |lease| lease.put(now, expires_at, tokens));
    }

    /// Passes the answer of the granting gateway to the request that waits for it. If none does any
    /// more, its token is for another one.
    pub(super) fn receive_quota_answer(&self, answer: &NumberedQuotaAnswer) {
        let NumberedQuotaAnswer(number, answer) = *answer;
        let request = self.quotas.pending.borrow_mut().remove(&number);
        // An answer that comes twice counts once.
        let Some(request) = request else {
            return;
        };
        let is_taken = request
            .waiter
            .as_ref()
            .is_some_and(|waiter| waiter.try_send(answer).is_ok());
        if let (false, QuotaAnswer::Granted(0, spare)) = (is_taken, answer) {
            let tokens = spare + u32::from(request.is_for_request);
            self.add_tokens(&request.account, request.asked_at, tokens);
        }
    }

    /// Returns the granting gateway of an account, for the log.
    pub(crate) fn granting_name(&self, account: &AccountName) -> String {
        match self.granting_gateway(account) {
            Some(Location::Remote(address)) => address.to_string(),
            Some(Location::Local) => "local".to_owned(),
            Some(Location::Pending) | None => String::new(),
        }
    }
}

fn milliseconds_up(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Returns what a peer asks for; `None` if it is of a later version.
fn ask_of(request: &QuotaRequest) -> Option<Ask> {
    let QuotaRequest(_, _, _, (demand, spare, max_wait_ms, used)) = *request;
    Some(Ask {
        demand: Demand::from_repr(demand)?,
        spare,
        max_wait: Duration::from_millis(max_wait_ms),
        used,
    })
}
