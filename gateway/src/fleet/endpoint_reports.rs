//! Tells other gateways which endpoints fail calls, and logs how endpoints are judged.

use crate::choice::failing::EndpointReport;
use crate::dialect::Dialect;
use crate::fleet::gossip::report_delay;
use crate::fleet::permits::tagged;
use crate::node::Gateway;
use crate::turns::record::decode;
use serde::{Deserialize, Serialize};
use smol::net::UdpSocket;
use std::cell::Cell;
use std::time::Instant;

/// First byte of a datagram about endpoints. No heartbeat begins with it, as each is an array.
pub(crate) const ENDPOINT_REPORTS_TAG: u8 = b'S';

/// What one gateway tells others about endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EndpointReports {
    /// Incarnation of the gateway.
    #[serde(rename = "g")]
    incarnation: u64,
    /// Number of the report within the incarnation.
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "e")]
    endpoints: Vec<EndpointReport>,
}

/// Progress of the reports that this gateway sends.
#[derive(Debug, Default)]
pub(crate) struct EndpointReportSync {
    number: Cell<u64>,
    sent_at: Cell<Option<Instant>>,
}

impl<D: Dialect> Gateway<D> {
    /// Judges the endpoints anew and tells peers of those that fail calls, if a report is due.
    pub(crate) async fn report_failing_endpoints(&self, now: Instant, socket: &UdpSocket) {
        let verdicts = self.endpoints.borrow_mut().judge_failures(now);
        for (id, verdict) in verdicts {
            let event = if verdict.is_failing {
                self.counters.record_failing_endpoint();
                "endpoint_failing"
            } else {
                "endpoint_recovered"
            };
            crate::event!(event, "endpoint" => &*id,
                "answers" => format!("{:.1}", verdict.answers),
                "failures" => format!("{:.1}", verdict.failures),
                "service_share" => format!("{:.3}", verdict.service_share),
                "succeeded_trials" => verdict.succeeded_trials,
                "failing_ms" => verdict.failing_for.as_millis());
        }
        let peers = self.gossip.all_addresses();
        let sync = &self.endpoint_report_sync;
        let delay = report_delay(peers.len());
        let is_due = |at: Instant| now.saturating_duration_since(at) >= delay;
        if !sync.sent_at.get().is_none_or(is_due) {
            return;
        }
        let endpoints = self.endpoints.borrow().failure_report(now);
        if endpoints.is_empty() {
            return;
        }
        sync.sent_at.set(Some(now));
        sync.number.set(sync.number.get() + 1);
        let reports = EndpointReports {
            incarnation: self.incarnation,
            number: sync.number.get(),
            endpoints,
        };
        let datagram = tagged(ENDPOINT_REPORTS_TAG, &reports);
        for peer in peers {
            // A lost datagram needs no retry, because reports contain totals.
            let _ = socket.send_to(&datagram, peer).await;
        }
    }

    /// Merges a datagram about endpoints, without its tag.
    pub(crate) fn receive_endpoint_reports(&self, datagram: &[u8]) {
        let reports = match decode::<EndpointReports>(datagram) {
            Ok(reports) => reports,
            Err(error) => {
                crate::event!("datagram_unreadable", "error" => error);
                return;
            }
        };
        if reports.incarnation == self.incarnation {
            return;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.merge_failures(
            Instant::now(),
            reports.incarnation,
            reports.number,
            &reports.endpoints,
        );
    }
}
