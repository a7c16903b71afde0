//! What one run has shown.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Programs of one client account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientAccountStats {
    /// Programs counted.
    pub(crate) programs: u32,
    /// Programs that were done before their deadline.
    pub(crate) met: u32,
}

/// Greatest value that a histogram holds.
const MAX_VALUE: u64 = 100_000_000;

/// Counts of one run.
pub(crate) struct Stats {
    /// Latency of programs in milliseconds; one past its deadline counts with its patience.
    pub(crate) latency_ms: Histogram<u64>,
    /// Time from a model call's submission to its first token, in milliseconds.
    pub(crate) first_token_ms: Histogram<u64>,
    /// Time between tokens of a stream, in microseconds.
    pub(crate) gap_us: Histogram<u64>,
    /// Programs by client account.
    pub(crate) client_accounts: BTreeMap<&'static str, ClientAccountStats>,
    /// Calls that callers made.
    pub(crate) calls: u64,
    /// Calls sent to endpoints, repeated ones included.
    pub(crate) sent: u64,
    /// Calls that sidecars refused.
    pub(crate) refused: u64,
    /// Prompt tokens of all generations.
    pub(crate) prompt_tokens: u64,
    /// Prompt tokens computed again.
    pub(crate) recomputed_tokens: u64,
    /// Token-seconds of cache held and not used again.
    pub(crate) unused_token_s: f64,
}

impl Stats {
    /// Makes empty counts.
    pub(crate) fn new() -> Self {
        let histogram = || {
            let bounds = Histogram::new_with_bounds(1, MAX_VALUE, 3);
            bounds.expect("the bounds are in order")
        };
        Self {
            latency_ms: histogram(),
            first_token_ms: histogram(),
            gap_us: histogram(),
            client_accounts: BTreeMap::new(),
            calls: 0,
            sent: 0,
            refused: 0,
            prompt_tokens: 0,
            recomputed_tokens: 0,
            unused_token_s: 0.0,
        }
    }

    /// Counts a program.
    pub(crate) fn program(&mut self, client_account: &'static str, latency: Duration, met: bool) {
        self.latency_ms
            .saturating_record(latency.as_millis() as u64);
        let stats = self.client_accounts.entry(client_account).or_default();
        stats.programs += 1;
        stats.met += u32::from(met);
    }

    /// Returns the part of the programs that met their deadline.
    pub(crate) fn met_share(&self) -> f64 {
        let programs: u32 = self.client_accounts.values().map(|m| m.programs).sum();
        let met: u32 = self.client_accounts.values().map(|m| m.met).sum();
        f64::from(met) / f64::from(programs.max(1))
    }

    /// Returns the least part of any client account's programs that met their deadline.
    pub(crate) fn worst_client_account_share(&self) -> f64 {
        let share = |m: &ClientAccountStats| f64::from(m.met) / f64::from(m.programs.max(1));
        self.client_accounts.values().map(share).fold(1.0, f64::min)
    }
}
