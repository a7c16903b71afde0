//! Passes reports that arrive from peers to what they are about.

use crate::dialect::Dialect;
use crate::fleet::carrier::{Incoming, MAX_REPORT_DELAY, Report};
use crate::fleet::crash_reports::CrashReports;
use crate::fleet::endpoint_reports::EndpointReports;
use crate::fleet::gossip::Heartbeat;
use crate::fleet::limit_reports::LimitReports;
use crate::fleet::permits::{NumberedPermitReply, PermitRequest};
use crate::fleet::quotas::{NumberedQuotaAnswer, QuotaRequest};
use crate::node::Gateway;
use smol::Timer;
use std::rc::Rc;

impl<D: Dialect> Gateway<D> {
    /// Receives the peers' reports until the process ends.
    pub(crate) async fn receive_reports(self: Rc<Self>) {
        loop {
            let error = self.carrier.receive_each(|it| self.receive_report(it));
            crate::event!("datagrams_failed", "error" => error.await.to_string());
            Timer::after(MAX_REPORT_DELAY).await;
        }
    }

    fn receive_report(self: &Rc<Self>, incoming: Incoming<'_>) {
        match incoming.tag() {
            Some(CrashReports::TAG) => {
                if let Some(reports) = incoming.read() {
                    self.receive_crash_reports(&reports, incoming.from);
                }
            }
            Some(LimitReports::TAG) => {
                if let Some(reports) = incoming.read() {
                    self.receive_limit_reports(&reports);
                }
            }
            Some(EndpointReports::TAG) => {
                if let Some(reports) = incoming.read() {
                    self.receive_endpoint_reports(&reports);
                }
            }
            Some(PermitRequest::TAG) => {
                if let Some(request) = incoming.read() {
                    let decide = self.clone().receive_permit_request(request, incoming.from);
                    self.executor.spawn(decide).detach();
                }
            }
            Some(NumberedPermitReply::TAG) => {
                if let Some(reply) = incoming.read() {
                    self.receive_permit_reply(&reply);
                }
            }
            Some(QuotaRequest::TAG) => {
                if let Some(request) = incoming.read() {
                    let decide = self.clone().receive_quota_request(request, incoming.from);
                    self.executor.spawn(decide).detach();
                }
            }
            Some(NumberedQuotaAnswer::TAG) => {
                if let Some(answer) = incoming.read() {
                    self.receive_quota_answer(&answer);
                }
            }
            // What no other kind takes is read as a heartbeat, so that what is unreadable is logged.
            _ => {
                if let Some(heartbeat) = incoming.read::<Heartbeat>() {
                    self.receive_heartbeat(heartbeat, incoming.from);
                }
            }
        }
    }
}
