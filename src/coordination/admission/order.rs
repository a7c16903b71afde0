//! Ranking of queued calls by program rather than by call, with fair shares for client accounts.

use super::Cost;
use crate::ids::ClientAccountId;
use crate::protocol::link::Priority;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weights of the terms of a call's rank. A weight of 0 disables the term.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankWeights {
    /// Rank in milliseconds for each doubling of the program's attained service.
    pub attained_ms: f64,
    /// Rank in milliseconds, subtracted, for each millisecond that the call has waited.
    pub age: f64,
    /// Rank in milliseconds for each millisecond left until the deadline.
    pub slack: f64,
    /// Rank in milliseconds for each thousand tokens that the client account has used beyond its
    /// share.
    pub share_ms: f64,
}

impl Default for RankWeights {
    fn default() -> Self {
        Self {
            attained_ms: 100.0,
            age: 1.0,
            slack: 0.05,
            share_ms: 20.0,
        }
    }
}

/// Maximum slack that affects the rank, in milliseconds.
const MAX_SLACK_MS: u64 = 120_000;

/// Minimum share of a client account.
const MIN_SHARE: f64 = 1e-3;

/// Attained service below which the rank does not change, in tokens.
const MIN_ATTAINED_TOKENS: f64 = 256.0;

impl RankWeights {
    /// Returns the rank of a call in milliseconds. The call with the lowest rank is released first.
    pub(super) fn rank(
        &self,
        priority: &Priority,
        cost: Cost,
        waited: Duration,
        excess_tokens: f64,
    ) -> f64 {
        let attained = priority.attained_tokens as f64 + f64::from(cost.uncached_tokens);
        let attained_level = (attained / MIN_ATTAINED_TOKENS).max(1.0).log2();
        let slack_ms = priority.slack_ms.min(MAX_SLACK_MS) as f64;
        let waited_ms = waited.as_secs_f64() * 1e3;
        let left_ms = (slack_ms - waited_ms).max(0.0);
        self.attained_ms * attained_level + self.slack * left_ms - self.age * waited_ms
            + self.share_ms * excess_tokens / 1e3
    }
}

/// Recent service of one client account.
#[derive(Debug, Default)]
struct ClientAccount {
    name: ClientAccountId,
    share: f64,
    /// Tokens served divided by the share. The value decays by half every [`HALF_LIFE`].
    used_tokens: f64,
    /// Number of queued and running calls.
    calls: u32,
}

/// Time after which service counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Minimum time between two updates of the decay.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of client accounts from which on a new one replaces one without calls.
const REUSE_THRESHOLD: usize = 1_024;

/// Recent service of all client accounts, used to give each its share.
///
/// Invariant: `by_name` and `accounts` contain the same client accounts.
#[derive(Debug, Default)]
pub(super) struct ClientAccounts {
    by_name: HashMap<ClientAccountId, usize>,
    accounts: Vec<ClientAccount>,
    last_decay: Option<Instant>,
}

impl ClientAccounts {
    /// Adds a call of a client account and returns the index of the client account.
    pub(super) fn add_call(&mut self, name: &str, share: f64) -> usize {
        let index = self.index_of(name);
        let client_account = &mut self.accounts[index];
        client_account.share = share.max(MIN_SHARE);
        client_account.calls += 1;
        index
    }

    /// Removes a call that has ended.
    pub(super) fn remove_call(&mut self, index: usize) {
        self.accounts[index].calls -= 1;
    }

    /// Charges tokens to a client account.
    pub(super) fn charge(&mut self, index: usize, tokens: u64) {
        let client_account = &mut self.accounts[index];
        client_account.used_tokens += tokens as f64 / client_account.share;
    }

    /// Replaces an estimated charge by the actual number of tokens.
    pub(super) fn correct(&mut self, index: usize, charged: u64, actual: u64) {
        let client_account = &mut self.accounts[index];
        let change = (actual as f64 - charged as f64) / client_account.share;
        client_account.used_tokens = (client_account.used_tokens + change).max(0.0);
    }

    /// Decays the service of all client accounts.
    pub(super) fn decay(&mut self, now: Instant) {
        let last = *self.last_decay.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        let halvings = elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-halvings).exp2();
        for client_account in &mut self.accounts {
            client_account.used_tokens *= factor;
        }
        self.last_decay = Some(now);
    }

    /// Returns the lowest service of the client accounts with calls.
    pub(super) fn min_used_tokens(&self) -> f64 {
        let active = self.accounts.iter().filter(|account| account.calls > 0);
        let lowest = active
            .map(|account| account.used_tokens)
            .min_by(f64::total_cmp);
        lowest.unwrap_or(0.0)
    }

    /// Returns by how much a client account's service exceeds the lowest, in tokens divided by the
    /// share.
    pub(super) fn excess_tokens(&self, index: usize, min_used_tokens: f64) -> f64 {
        (self.accounts[index].used_tokens - min_used_tokens).max(0.0)
    }

    /// Returns the index of a client account, adding it if needed.
    fn index_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = self.allocate();
        self.accounts[index].name = name.to_owned();
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Allocates an index. A large table reuses that of a client account without calls.
    fn allocate(&mut self) -> usize {
        if self.accounts.len() >= REUSE_THRESHOLD
            && let Some(index) = self.accounts.iter().position(|account| account.calls == 0)
        {
            self.by_name.remove(&self.accounts[index].name);
            self.accounts[index] = ClientAccount::default();
            return index;
        }
        self.accounts.push(ClientAccount::default());
        self.accounts.len() - 1
    }
}
