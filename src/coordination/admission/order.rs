//! The order of waiting calls: by program, not by call, with fair shares of client accounts.

use super::Cost;
use crate::ids::ClientAccountId;
use crate::protocol::link::Priority;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weights of the parts of a call's rank. A weight of zero switches the part off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderWeights {
    /// Milliseconds of rank for each doubling of the program's attained service.
    pub attained_ms: f64,
    /// Milliseconds of rank for each millisecond that the call has waited.
    pub age: f64,
    /// Milliseconds of rank for each millisecond left until the deadline.
    pub slack: f64,
    /// Milliseconds of rank for each thousand tokens that the client account is ahead of its share.
    pub share_ms: f64,
}

impl Default for OrderWeights {
    fn default() -> Self {
        Self {
            attained_ms: 100.0,
            age: 1.0,
            slack: 0.05,
            share_ms: 20.0,
        }
    }
}

/// Slack beyond this makes no further difference, in milliseconds.
const MAX_SLACK_MS: u64 = 120_000;

/// Least share of a client account.
const MIN_SHARE: f64 = 1e-3;

/// Attained service below this makes no difference, in tokens.
const MIN_ATTAINED_TOKENS: f64 = 256.0;

impl OrderWeights {
    /// Returns the rank of a call; the least comes first.
    pub(super) fn rank(
        &self,
        priority: &Priority,
        cost: Cost,
        waited: Duration,
        excess_tokens: f64,
    ) -> f64 {
        let attained = priority.attained_tokens as f64 + f64::from(cost.uncached_tokens);
        let level = (attained / MIN_ATTAINED_TOKENS).max(1.0).log2();
        let slack_ms = priority.slack_ms.min(MAX_SLACK_MS) as f64;
        let waited_ms = waited.as_secs_f64() * 1e3;
        let left_ms = (slack_ms - waited_ms).max(0.0);
        self.attained_ms * level + self.slack * left_ms - self.age * waited_ms
            + self.share_ms * excess_tokens / 1e3
    }
}

/// Service that one client account has had lately.
#[derive(Debug, Default)]
struct ClientAccount {
    name: ClientAccountId,
    share: f64,
    /// Tokens served divided by the share, halved every [`HALF_LIFE`].
    used_tokens: f64,
    /// Calls waiting or running.
    calls: u32,
}

/// Time in which used service counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Time between two decays of the table.
const DECAY_EVERY: Duration = Duration::from_secs(1);

/// Places of client accounts without calls are used again when the table has this many.
const IDLE_CLIENT_ACCOUNTS: usize = 1_024;

/// Service of all client accounts lately, so that each gets its share.
///
/// Invariant: `by_name` and `table` hold the same client accounts.
#[derive(Debug, Default)]
pub(super) struct ClientAccounts {
    by_name: HashMap<ClientAccountId, usize>,
    table: Vec<ClientAccount>,
    decayed: Option<Instant>,
}

impl ClientAccounts {
    /// Counts a call of a client account and returns the client account's index.
    pub(super) fn enter(&mut self, name: &str, share: f64) -> usize {
        let index = self.index(name);
        let client_account = &mut self.table[index];
        client_account.share = share.max(MIN_SHARE);
        client_account.calls += 1;
        index
    }

    /// Counts a call as over.
    pub(super) fn leave(&mut self, index: usize) {
        self.table[index].calls -= 1;
    }

    /// Charges service to a client account.
    pub(super) fn charge(&mut self, index: usize, tokens: u64) {
        let client_account = &mut self.table[index];
        client_account.used_tokens += tokens as f64 / client_account.share;
    }

    /// Replaces a charge by the service that was had.
    pub(super) fn correct(&mut self, index: usize, charged: u64, actual: u64) {
        let client_account = &mut self.table[index];
        let change = (actual as f64 - charged as f64) / client_account.share;
        client_account.used_tokens = (client_account.used_tokens + change).max(0.0);
    }

    /// Lets old service count less.
    pub(super) fn decay(&mut self, now: Instant) {
        let last = *self.decayed.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed < DECAY_EVERY {
            return;
        }
        let halvings = elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-halvings).exp2();
        for client_account in &mut self.table {
            client_account.used_tokens *= factor;
        }
        self.decayed = Some(now);
    }

    /// Returns the least service among client accounts with calls.
    pub(super) fn floor(&self) -> f64 {
        let active = self.table.iter().filter(|m| m.calls > 0);
        let least = active.map(|m| m.used_tokens).min_by(f64::total_cmp);
        least.unwrap_or(0.0)
    }

    /// Returns how far a client account is ahead of the floor, in tokens by share.
    pub(super) fn excess(&self, index: usize, floor: f64) -> f64 {
        (self.table[index].used_tokens - floor).max(0.0)
    }

    /// Finds a client account's index, making one if needed.
    fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = self.vacant();
        self.table[index].name = name.to_owned();
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Makes a place for a client account, in a large table that of an idle one.
    fn vacant(&mut self) -> usize {
        if self.table.len() >= IDLE_CLIENT_ACCOUNTS
            && let Some(index) = self.table.iter().position(|m| m.calls == 0)
        {
            self.by_name.remove(&self.table[index].name);
            self.table[index] = ClientAccount::default();
            return index;
        }
        self.table.push(ClientAccount::default());
        self.table.len() - 1
    }
}
