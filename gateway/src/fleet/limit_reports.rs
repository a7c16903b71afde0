//! Tells other gateways which endpoints limit the rate of their requests.
//!
//! A gateway that learns of a change from an answer tells the gateway that paces the endpoint, which
//! tells all and repeats it.

use crate::choice::endpoints::RateLimit;
use crate::dialect::Dialect;
use crate::fleet::gossip::report_delay;
use crate::fleet::owners::Location;
use crate::fleet::permits::{before, milliseconds, tagged};
use crate::node::Gateway;
use crate::turns::record::decode;
use event_listener::Event;
use galenapick::RequestRate;
use galenapick::crashes::Lifetime;
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::UdpSocket;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First byte of a datagram with limits. No heartbeat begins with it, as each is an array.
pub(crate) const LIMIT_REPORTS_TAG: u8 = b'L';

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

    /// Merges the limits in a datagram, without its tag.
    pub(crate) fn receive_limit_reports(&self, datagram: &[u8]) {
        let reports = match decode::<Vec<LimitReport>>(datagram) {
            Ok(reports) => reports,
            Err(error) => {
                crate::event!("datagram_unreadable", "error" => error);
                return;
            }
        };
        let now = Instant::now();
        for report in reports.iter().take(MAX_REPORTS) {
            self.merge_limit(before(now, report.age_ms), report.lifetime, report.rate);
        }
    }

    /// Sends reports of limits until the process ends.
    pub(crate) async fn send_limit_reports(self: Rc<Self>, socket: UdpSocket) {
        let mut repeated_at = Instant::now();
        loop {
            let changed = self.limit_sync.changed.listen();
            let now = Instant::now();
            let is_repeat = now.duration_since(repeated_at) >= REPEAT_INTERVAL;
            if is_repeat {
                repeated_at = now;
            }
            let peers = self.gossip.all_addresses();
            for (address, reports) in self.due_limit_reports(now, is_repeat, &peers) {
                for reports in reports.chunks(MAX_REPORTS) {
                    let datagram = tagged(LIMIT_REPORTS_TAG, &reports);
                    // A lost datagram needs no retry, because the limits are repeated.
                    let _ = socket.send_to(&datagram, address).await;
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
                Timer::after(report_delay(peers.len())).await;
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
