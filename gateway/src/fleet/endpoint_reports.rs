//! Tells other gateways which endpoints fail calls and how fast they are, and logs how endpoints are
//! judged.

use crate::choice::failing::EndpointReport;
use crate::choice::speed::SpeedReport;
use crate::dialect::Dialect;
use crate::fleet::carrier::Report;
use crate::node::Gateway;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Interval between reports of measured speeds, in which a busy service answers many calls.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);

/// What one gateway tells others about endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct EndpointReports {
    /// Incarnation of the gateway.
    #[serde(rename = "g")]
    incarnation: u64,
    /// Number of the report within the incarnation.
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "e")]
    endpoints: Vec<EndpointReport>,
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    speeds: Vec<SpeedReport>,
}

impl Report for EndpointReports {
    const TAG: u8 = b'S';
}

/// Progress of the reports that this gateway sends.
#[derive(Debug, Default)]
pub(crate) struct EndpointReportSync {
    number: Cell<u64>,
    sent_at: Cell<Option<Instant>>,
    /// When speeds were last sent.
    speeds_sent_at: Cell<Option<Instant>>,
}

impl<D: Dialect> Gateway<D> {
    /// Judges the endpoints anew and tells peers of those that fail calls, if a report is due.
    pub(crate) async fn report_failing_endpoints(&self, now: Instant) {
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
                "others_share" => format!("{:.3}", verdict.others_share),
                "evidence" => format!("{:.1}", verdict.evidence),
                "succeeded_trials" => verdict.succeeded_trials,
                "failing_ms" => verdict.failing_for.as_millis());
        }
        let sync = &self.endpoint_report_sync;
        let delay = self.carrier.report_delay();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= delay;
        if !sync.sent_at.get().is_none_or(is_due) {
            return;
        }
        let endpoints = self.endpoints.borrow().failure_report(now);
        let has_due_speeds = sync
            .speeds_sent_at
            .get()
            .is_none_or(|at| now.saturating_duration_since(at) >= SPEED_INTERVAL);
        if has_due_speeds {
            sync.speeds_sent_at.set(Some(now));
        }
        let speeds = self.due_speed_reports(now, has_due_speeds);
        if endpoints.is_empty() && speeds.is_empty() {
            return;
        }
        sync.sent_at.set(Some(now));
        sync.number.set(sync.number.get() + 1);
        let reports = EndpointReports {
            incarnation: self.incarnation,
            number: sync.number.get(),
            endpoints,
            speeds,
        };
        // A lost datagram needs no retry, because reports contain totals.
        self.carrier.send_to_all(&reports).await;
    }

    fn due_speed_reports(&self, now: Instant, with_measured: bool) -> Vec<SpeedReport> {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.take_speed_reports(now, with_measured)
    }

    /// Merges what a peer tells about endpoints.
    pub(super) fn receive_endpoint_reports(&self, reports: &EndpointReports) {
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
        endpoints.merge_speeds(Instant::now(), reports.incarnation, &reports.speeds);
    }
}
