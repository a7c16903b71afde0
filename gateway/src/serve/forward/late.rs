//! Keeps calls from endpoints when the gateway stops before they are expected to end.

use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::serve::call::Call;
use crate::serve::forward::Failure;

impl<D: Dialect> Gateway<D> {
    /// Returns the failure of a call that has not run and comes too late in a shutdown.
    pub(crate) fn check_lateness(&self, call: &Call) -> Option<Failure> {
        if !call.is_too_late() {
            return None;
        }
        crate::event!("too_late_while_stopping", "request" => call.id(),
            "route" => call.route.name.as_str(), "left_ms" => call.time_left().as_millis(),
            "usual_ms" => call.route.target_latency.as_millis());
        Some(Failure::not_run("the gateway is stopping"))
    }
}
