//! Statistics of one run.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Program counts of one client account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientAccountStats {
    /// Programs counted.
    pub(crate) programs: u32,
    /// Programs that finished before their deadline.
    pub(crate) met: u32,
}

/// Highest value that a histogram records; greater values are clamped to it.
const MAX_VALUE: u64 = 100_000_000;

/// Statistics of one run.
pub(crate) struct Stats {
    /// Program latency, in milliseconds. A program that missed its deadline counts with its time
    /// limit.
    pub(crate) latency_ms: Histogram<u64>,
    /// Time from a model call's submission to its first token, in milliseconds.
    pub(crate) first_token_ms: Histogram<u64>,
    /// Time between tokens of a stream, in microseconds.
    pub(crate) gap_us: Histogram<u64>,
    /// Program counts by client account.
    pub(crate) client_accounts: BTreeMap<&'static str, ClientAccountStats>,
    /// Calls made by callers.
    pub(crate) calls: u64,
    /// Calls sent to endpoints, including retries.
    pub(crate) sent: u64,
    /// Calls refused by sidecars.
    pub(crate) refused: u64,
    /// Prompt tokens of all model calls.
    pub(crate) prompt_tokens: u64,
    /// Prompt tokens computed more than once.
    pub(crate) recomputed_tokens: u64,
    /// Cached tokens that were not used again, multiplied by the seconds they were held.
    pub(crate) unused_token_s: f64,
}

impl Stats {
    /// Creates empty statistics.
    pub(crate) fn new() -> Self {
        let histogram = || {
            let bounds = Histogram::new_with_bounds(1, MAX_VALUE, 3);
            bounds.expect("valid histogram bounds")
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

    /// Records a program that finished or missed its deadline.
    pub(crate) fn record_program(
        &mut self,
        client_account: &'static str,
        latency: Duration,
        is_met: bool,
    ) {
        self.latency_ms
            .saturating_record(latency.as_millis() as u64);
        let stats = self.client_accounts.entry(client_account).or_default();
        stats.programs += 1;
        stats.met += u32::from(is_met);
    }

    /// Returns the share of programs that met their deadline, from 0 to 1.
    pub(crate) fn met_share(&self) -> f64 {
        let programs: u32 = self
            .client_accounts
            .values()
            .map(|stats| stats.programs)
            .sum();
        let met: u32 = self.client_accounts.values().map(|stats| stats.met).sum();
        f64::from(met) / f64::from(programs.max(1))
    }

    /// Returns the lowest share of programs that met their deadline in any client account, from 0
    /// to 1.
    pub(crate) fn worst_client_account_share(&self) -> f64 {
        let share =
            |stats: &ClientAccountStats| f64::from(stats.met) / f64::from(stats.programs.max(1));
        self.client_accounts.values().map(share).fold(1.0, f64::min)
    }
}
