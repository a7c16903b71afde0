//! Cost of a call at an endpoint in ms: its own duration and the delay that it adds to other calls.
//!
//! The model is made for bursts in which all engines are busy. Prefill of an uncached prompt then
//! blocks all requests of the batch, so a turn stays with the engine that caches its prompt until
//! the longer steps of a full batch cost more than the prefill.

/// Prefill rate in tokens per ms; typical of current accelerators.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 75.0;

/// Duration of a decoding step of a batch with one request, in ms; typical of current accelerators.
pub(super) const STEP_MS: f64 = 2.3;

/// Relative increase of the step duration for each further request in the batch, on current
/// engines.
pub(super) const STEP_GROWTH: f64 = 0.033;

/// Share of the other requests' answers that remains to be generated when a call begins; half on
/// average.
const REMAINING_SHARE: f64 = 0.5;

/// Cost of a call at a service whose slots are all taken, relative to the average call duration.
/// The cost is proportional to the share of taken slots, because services slow down before they
/// are full.
const CONTENTION_SHARE: f64 = 0.2;

/// Load of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointLoad {
    /// Calls in flight.
    pub(super) calls: f64,
    /// Maximum number of concurrent calls.
    pub(super) slots: f64,
    /// Average duration of a call, in ms.
    pub(super) average_ms: f64,
}

impl EndpointLoad {
    /// Returns the expected time until a slot is free, in ms.
    pub(super) fn wait_ms(&self) -> f64 {
        self.average_ms * (self.calls + 1.0 - self.slots).max(0.0) / self.slots
    }
}

/// Returns the cost of a turn at an engine, given the prompt tokens that it must prefill.
pub(super) fn engine_cost_ms(load: &EndpointLoad, uncached_tokens: f64, answer_tokens: f64) -> f64 {
    let running = load.calls.min(load.slots);
    let prefill_ms = uncached_tokens / PREFILL_TOKENS_PER_MS * (1.0 + running);
    let growth_ms = STEP_MS * STEP_GROWTH * running * answer_tokens;
    load.wait_ms() + prefill_ms + growth_ms * (1.0 + REMAINING_SHARE)
}

/// Returns the time in which an engine generates an answer alone.
pub(super) fn generation_ms(answer_tokens: f64) -> f64 {
    STEP_MS * answer_tokens
}

/// Returns the cost of a call without a prompt.
pub(super) fn service_cost_ms(load: &EndpointLoad) -> f64 {
    load.wait_ms() + load.average_ms * CONTENTION_SHARE * load.calls / load.slots
}
