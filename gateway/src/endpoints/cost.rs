//! What a call costs at an endpoint, in ms: its own time there and what it adds to that of others.
//!
//! Load that this answers: bursts in which every engine is busy. There a prompt that is read again
//! stops all requests of the batch for its time, so a turn stays with its cache until the longer
//! steps of a full batch cost more than that.

/// Prompt tokens that an engine reads in a ms; of the order of today's accelerators.
const PREFILL_TOKENS_PER_MS: f64 = 75.0;

/// Time of a step of a batch with one request; of the order of today's accelerators.
const STEP_MS: f64 = 2.3;

/// Part by which each further request makes a step longer, on today's engines.
const STEP_GROWTH: f64 = 0.033;

/// Part of the others' answers that is still to come when a call begins: half, on average.
const REMAINING_SHARE: f64 = 0.5;

/// Part of a service's usual time that a call costs there for each place that is taken: services
/// slow down before they are full.
const CONTENTION_SHARE: f64 = 0.2;

/// How busy an endpoint is.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointLoad {
    /// Calls under way.
    pub(super) calls: f64,
    /// Calls that run at once.
    pub(super) slots: f64,
    /// Usual time of a call, in ms.
    pub(super) average_ms: f64,
}

impl EndpointLoad {
    /// Time until a place is free.
    fn wait_ms(&self) -> f64 {
        self.average_ms * (self.calls + 1.0 - self.slots).max(0.0) / self.slots
    }
}

/// Cost of a turn at an engine that has to read some of its prompt.
pub(super) fn engine_cost_ms(load: &EndpointLoad, uncached_tokens: f64, answer_tokens: f64) -> f64 {
    let running = load.calls.min(load.slots);
    let prefill_ms = uncached_tokens / PREFILL_TOKENS_PER_MS * (1.0 + running);
    let growth_ms = STEP_MS * STEP_GROWTH * running * answer_tokens;
    load.wait_ms() + prefill_ms + growth_ms * (1.0 + REMAINING_SHARE)
}

/// Cost of a plain call.
pub(super) fn service_cost_ms(load: &EndpointLoad) -> f64 {
    load.wait_ms() + load.average_ms * CONTENTION_SHARE * load.calls / load.slots
}
