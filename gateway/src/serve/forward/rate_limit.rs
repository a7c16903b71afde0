//! Learns from answers how many requests their endpoints take.

use super::leaving::ObservedAnswer;
use crate::choice::endpoints::EndpointRecord;
use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::serve::call::Call;
use galenapick::crashes::lifetime;
use galenapick::{RequestRate, StatedLimit};

impl<D: Dialect> Gateway<D> {
    /// Records the limit that an answer states for the incarnation that sent it.
    ///
    /// Bytes of another origin state no limit either, so that only a signed answer, or a refusal in
    /// the endpoint's own words, ends one.
    pub(super) fn observe_rate_limit(
        &self,
        call: &Call,
        called: &EndpointRecord,
        answer: &ObservedAnswer<'_>,
    ) {
        let info = answer.info;
        let rate = match info.rate_limit {
            StatedLimit::Limited(rate) => Some(rate),
            StatedLimit::None if info.is_signed || info.has_not_run => None,
            StatedLimit::None => return,
            StatedLimit::Unreadable => {
                crate::event!("endpoint_limit_unreadable", "request" => call.id(),
                    "endpoint" => &*called.id, "status" => answer.status);
                return;
            }
        };
        let Some((id, started_unix_ms)) = self.sender(called, answer) else {
            return;
        };
        let lifetime = lifetime(&id, started_unix_ms);
        let before = self.endpoints.borrow().rate_limits().rate(lifetime);
        if self.record_limit(lifetime, rate) {
            crate::event!("endpoint_limit", "endpoint" => &*id, "request" => call.id(),
                "status" => answer.status, "per_s" => format_rate(rate),
                "before_per_s" => format_rate(before), "lifetime" => format!("{lifetime:016x}"));
        }
    }
}

/// Returns a limit as text, which is empty if there is none.
fn format_rate(rate: Option<RequestRate>) -> String {
    rate.map_or_else(String::new, |rate| rate.requests_per_s().to_string())
}
