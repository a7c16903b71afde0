//! Recognises endpoints that state in an answer that they are leaving.

use crate::choice::announced_ends::Announcement;
use crate::choice::endpoints::{EndpointRecord, InstanceId};
use crate::dialect::{AnswerInfo, Dialect};
use crate::node::Gateway;
use crate::serve::call::Call;
use galenapick::crashes::lifetime;
use std::time::Instant;

/// Head of an answer that arrived from an endpoint, whatever becomes of it.
pub(super) struct ObservedAnswer<'a> {
    pub(super) status: u16,
    pub(super) info: &'a AnswerInfo,
    /// Whether it answers another request.
    pub(super) is_stray: bool,
}

impl<D: Dialect> Gateway<D> {
    /// Marks the incarnation that sent an answer if the answer states that it is leaving.
    pub(super) fn observe_leaving(
        &self,
        call: &Call,
        called: &EndpointRecord,
        answer: &ObservedAnswer<'_>,
    ) {
        if !answer.info.is_leaving {
            return;
        }
        let Some((id, started_unix_ms)) = self.sender(called, answer) else {
            crate::event!("endpoint_leaving_ignored", "request" => call.id(),
                "called" => &*called.id, "status" => answer.status,
                "named" => answer.info.instance.as_deref().unwrap_or_default());
            return;
        };
        let mut endpoints = self.endpoints.borrow_mut();
        if !endpoints.mark_leaving(crate::events::unix_ms(), &id, started_unix_ms) {
            return;
        }
        let entry = match endpoints.record(&id) {
            Some(record) if record.is_draining => "draining",
            Some(_) => "ready",
            None => "gone",
        };
        drop(endpoints);
        let read_at = self.endpoints_read_at.get();
        self.pool.close(&id);
        self.announce_end(&id, lifetime(&id, started_unix_ms), Announcement::Stated);
        self.counters.record_leaving_endpoint();
        crate::event!("endpoint_leaving", "endpoint" => &*id,
            "started_unix_ms" => started_unix_ms.unwrap_or_default(), "request" => call.id(),
            "status" => answer.status, "entry" => entry,
            "entry_age_ms" => read_at.map_or(0, |at| at.elapsed().as_millis()));
    }

    /// Records the slowness that an answer states for the called endpoint.
    pub(super) fn observe_slowdown(&self, called: &EndpointRecord, answer: &ObservedAnswer<'_>) {
        let slowdown = answer.info.load.and_then(|load| load.slowdown);
        let Some(slowdown) = slowdown else {
            return;
        };
        let sender = self.sender(called, answer);
        if sender.is_some_and(|sender| sender == (called.id.clone(), called.started_unix_ms)) {
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.observe_slowdown(Instant::now(), &called.id, slowdown);
        }
    }

    /// Returns the id and start time of the incarnation that sent an answer, if that is certain.
    ///
    /// Status 421 comes from another incarnation than the called one, and so may an answer to another
    /// request; they must name their sender.
    pub(super) fn sender(
        &self,
        called: &EndpointRecord,
        answer: &ObservedAnswer<'_>,
    ) -> Option<(InstanceId, Option<u64>)> {
        match &answer.info.instance {
            None if answer.status == 421 || answer.is_stray => None,
            Some(named) if **named != *called.id => {
                let endpoints = self.endpoints.borrow();
                let record = endpoints.record(named)?;
                Some((record.id.clone(), record.started_unix_ms))
            }
            _ => Some((called.id.clone(), called.started_unix_ms)),
        }
    }
}
