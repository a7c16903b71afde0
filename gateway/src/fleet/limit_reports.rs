//! Tells other gateways which endpoints limit the rate of their requests.
//!
//! A gateway that learns of a change from an answer tells the gateway that paces the endpoint, which
//! tells all and repeats it.

use crate::choice::endpoints::RateLimit;
use crate::dialect::Dialect;
use crate::fleet::carrier::{Report, before, milliseconds};
use crate::fleet::owners::Location;
use crate::node::Gateway;
use event_listener::Event;
use galenapick::RequestRate;
use galenapick::crashes::Lifetime;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of limits in a datagram; together they take at most 4 KB.
const MAX_REPORTS: usize = 128;

/// Interval between reports of limits that have not changed, for gateways that missed one or have
/// started since.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// What one gateway tells others about the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct LimitReport {
    /// The endpoint's incarnation.
    #[serde(rename = "e")]
    lifetime: Lifetime,
    /// Its limit; `None` once it has ended.
    #[serde(rename = "r")]
    rate: Option<RequestRate>,
    /// Age of the statement, in milliseconds.
    #[serde(rename = "a")]
    age_ms: u64,
}

/// Limits, as they are sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct LimitReports(Vec<LimitReport>);

impl Report for LimitReports {
    const TAG: u8 = b'L';
}

impl LimitReport {
    fn new(now: Instant, lifetime: Lifetime, limit: RateLimit) -> Self {
        let age = now.saturating_duration_since(limit.observed_at);
        Self {
            lifetime,
            rate: limit.rate,
            age_ms: milliseconds(age),
        }
    }
}

/// Wakes the task that sends reports.
#[derive(Debug, Default)]
pub(crate) struct LimitSync {
    changed: Event,
}

impl<D: Dialect> Gateway<D> {
    /// Records what an answer to this gateway stated, and has others told of a change. Returns whether
    /// it is one.
    pub(crate) fn record_limit(&self, lifetime: Lifetime, rate: Option<RequestRate>) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let limits = endpoints.rate_limits_mut();
        let is_changed = limits.observe(Instant::now(), lifetime, rate);
        if is_changed {
            limits.mark_unreported(lifetime);
            self.limit_sync.changed.notify(usize::MAX);
        }
        is_changed
    }

    /// Merges a limit that a peer knows. The gateway that paces the endpoint tells all of a change.
    pub(crate) fn merge_limit(
        &self,
        observed_at: Instant,
        lifetime: Lifetime,
        rate: Option<RequestRate>,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let limits = endpoints.rate_limits_mut();
        if !limits.observe(observed_at, lifetime, rate) {
            let known = limits.limit(lifetime);
            if known.is_some_and(|known| known.observed_at > observed_at && known.rate != rate) {
                // The peer has missed the report of the change.
                limits.mark_unreported(lifetime);
                self.limit_sync.changed.notify(usize::MAX);
            }
            return;
        }
        crate::event!("limit_report_merged", "lifetime" => format!("{lifetime:016x}"),
            "per_s" => rate.map_or_else(String::new, |rate| rate.requests_per_s().to_string()),
            "age_ms" => observed_at.elapsed().as_millis());
        if self.pacing_gateway(lifetime) == Some(Location::Local) {
            limits.mark_unreported(lifetime);
            self.limit_sync.changed.notify(usize::MAX);
        }
    }

    /// Merges the limits that a peer reports.
    pub(super) fn receive_limit_reports(&self, reports: &LimitReports) {
        let now = Instant::now();
        for report in reports.0.iter().take(MAX_REPORTS) {
            self.merge_limit(before(now, report.age_ms), report.lifetime, report.rate);
        }
    }

    /// Sends reports of limits until the process ends.
    pub(crate) async fn send_limit_reports(self: Rc<Self>) {
        let mut repeated_at = Instant::now();
        loop {
            let changed = self.limit_sync.changed.listen();
            let now = Instant::now();
            let is_repeat = now.duration_since(repeated_at) >= REPEAT_INTERVAL;
            if is_repeat {
                repeated_at = now;
            }
            let peers = self.carrier.peers();
            for (address, reports) in self.due_limit_reports(now, is_repeat, &peers) {
                for reports in reports.chunks(MAX_REPORTS) {
                    // A lost datagram needs no retry, because the limits are repeated.
                    let reports = LimitReports(reports.to_vec());
                    self.carrier.send(address, &reports).await;
                }
            }
            if self.endpoints.borrow().rate_limits().is_empty() {
                changed.await;
            } else {
                let repeat = async {
                    Timer::after(REPEAT_INTERVAL).await;
                };
                futures_lite::future::or(changed, repeat).await;
                // Changes that come together share a datagram.
                Timer::after(self.carrier.report_delay()).await;
            }
        }
    }

    /// Returns the reports that are due, by receiver.
    fn due_limit_reports(
        &self,
        now: Instant,
        is_repeat: bool,
        peers: &[SocketAddr],
    ) -> HashMap<SocketAddr, Vec<LimitReport>> {
        let mut endpoints = self.endpoints.borrow_mut();
        let limits = endpoints.rate_limits_mut();
        let changed = limits.take_unreported();
        let repeated = if is_repeat { limits.all() } else { Vec::new() };
        drop(endpoints);
        let mut due: HashMap<SocketAddr, Vec<LimitReport>> = HashMap::new();
        for (lifetime, limit) in changed {
            let report = LimitReport::new(now, lifetime, limit);
            match self.pacing_gateway(lifetime) {
                Some(Location::Remote(address)) => due.entry(address).or_default().push(report),
                _ => push_to_all(&mut due, peers, report),
            }
        }
        for (lifetime, limit) in repeated {
            if self.pacing_gateway(lifetime) == Some(Location::Local) {
                push_to_all(&mut due, peers, LimitReport::new(now, lifetime, limit));
            }
        }
        due
    }
}

fn push_to_all(
    due: &mut HashMap<SocketAddr, Vec<LimitReport>>,
    peers: &[SocketAddr],
    report: LimitReport,
) {
    for peer in peers {
        due.entry(*peer).or_default().push(report);
    }
}
