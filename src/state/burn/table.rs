//! Cells by client account and by minute or hour.

use super::rates::BurnWindow;
use crate::ids::{ClientAccountId, EnvironmentId};
use crate::protocol::operations::{Cell, SlotCell};
use std::collections::BTreeMap;

/// Minutes in an hour.
const HOUR_MINUTES: u64 = 60;

/// Minutes that are kept.
const RETAINED_MINUTES: u64 = 6 * HOUR_MINUTES + 5;

/// Hours that are kept.
const RETAINED_HOURS: u64 = 3 * 24 + 1;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// A program that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramSample {
    /// From its beginning to its end.
    pub latency_ms: u64,
    /// What its environment promises.
    pub objective_ms: u64,
    /// Whether it did what it should.
    pub succeeded: bool,
}

/// A first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSample {
    /// From the call's arrival.
    pub latency_ms: u64,
    /// What its environment promises.
    pub objective_ms: u64,
}

type Key = (EnvironmentId, ClientAccountId);
type Slots = BTreeMap<u64, BTreeMap<Key, Cell>>;

/// Measurements of the last three days. Tables can be merged, in any order.
///
/// ```
/// use galenapick::{BurnTable, BurnWindow, ProgramSample};
///
/// let mut table = BurnTable::default();
/// let sample = ProgramSample { latency_ms: 900, objective_ms: 500, succeeded: true };
/// table.add_program(120_000, "shop", "one", sample);
/// let cell = table.sum(120_000, BurnWindow::Minutes5, "shop", Some("one"));
/// assert_eq!((cell.programs, cell.late), (1, 1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BurnTable {
    minutes: Slots,
    hours: Slots,
}

impl BurnTable {
    /// Counts a program that ended at a time.
    pub fn add_program(
        &mut self,
        at_ms: u64,
        environment: &str,
        client_account: &str,
        sample: ProgramSample,
    ) {
        let ProgramSample {
            latency_ms,
            objective_ms,
            succeeded,
        } = sample;
        self.update(at_ms, environment, client_account, |cell| {
            cell.add_program(latency_ms, objective_ms, succeeded);
        });
    }

    /// Counts a first token that came at a time.
    pub fn add_first_token(
        &mut self,
        at_ms: u64,
        environment: &str,
        client_account: &str,
        sample: TokenSample,
    ) {
        self.update(at_ms, environment, client_account, |cell| {
            cell.add_first_token(sample.latency_ms, sample.objective_ms);
        });
    }

    /// Adds up the cells of a window that ends now; of all client accounts if none is named.
    pub fn sum(
        &self,
        now_ms: u64,
        window: BurnWindow,
        environment: &str,
        client_account: Option<&str>,
    ) -> Cell {
        let now = now_ms / MINUTE_MS;
        let (slots, last, length) = if window == BurnWindow::Days3 {
            (
                &self.hours,
                now / HOUR_MINUTES,
                window.minutes() / HOUR_MINUTES,
            )
        } else {
            (&self.minutes, now, window.minutes())
        };
        let first = (last + 1).saturating_sub(length);
        let mut sum = Cell::default();
        for cells in slots.range(first..=last).map(|(_, cells)| cells) {
            let wanted = cells.iter().filter(|((of, who), _)| {
                of == environment
                    && client_account.is_none_or(|client_account| client_account == who)
            });
            wanted.for_each(|(_, cell)| sum.merge(cell));
        }
        sum
    }

    /// Lists the environments and client accounts that anything was counted for.
    pub fn client_accounts(&self) -> Vec<(EnvironmentId, ClientAccountId)> {
        let all = self.hours.values().chain(self.minutes.values());
        let mut keys: Vec<_> = all.flat_map(|cells| cells.keys().cloned()).collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// Returns the oldest minute that is kept, in Unix milliseconds.
    pub(crate) fn oldest_ms(&self) -> Option<u64> {
        let oldest = self.minutes.first_key_value();
        oldest.map(|(minute, _)| minute * MINUTE_MS)
    }

    /// Tells whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.minutes.is_empty() && self.hours.is_empty()
    }

    /// Adds another table.
    pub fn merge(&mut self, other: &BurnTable) {
        merge_slots(&mut self.minutes, &other.minutes);
        merge_slots(&mut self.hours, &other.hours);
        self.prune();
    }

    /// Adds cells by minute.
    pub(crate) fn add_minutes(&mut self, cells: &[SlotCell]) {
        for at in cells {
            add_cell(&mut self.minutes, at.slot, at);
            add_cell(&mut self.hours, at.slot / HOUR_MINUTES, at);
        }
        self.prune();
    }

    /// Lists the cells by minute.
    pub(crate) fn minutes(&self) -> Vec<SlotCell> {
        list(&self.minutes)
    }

    /// Lists the cells by hour.
    pub(crate) fn hours(&self) -> Vec<SlotCell> {
        list(&self.hours)
    }

    /// Makes a table of listed cells.
    pub(crate) fn from_cells(minutes: &[SlotCell], hours: &[SlotCell]) -> Self {
        let mut table = Self::default();
        minutes
            .iter()
            .for_each(|at| add_cell(&mut table.minutes, at.slot, at));
        hours
            .iter()
            .for_each(|at| add_cell(&mut table.hours, at.slot, at));
        table
    }

    fn update(
        &mut self,
        at_ms: u64,
        environment: &str,
        client_account: &str,
        change: impl Fn(&mut Cell),
    ) {
        let minute = at_ms / MINUTE_MS;
        let key = (environment.to_string(), client_account.to_string());
        for (slots, slot) in [
            (&mut self.minutes, minute),
            (&mut self.hours, minute / HOUR_MINUTES),
        ] {
            change(
                slots
                    .entry(slot)
                    .or_default()
                    .entry(key.clone())
                    .or_default(),
            );
        }
        self.prune();
    }

    /// Forgets what no window reaches any more, counted from the newest slot.
    fn prune(&mut self) {
        prune_slots(&mut self.minutes, RETAINED_MINUTES);
        prune_slots(&mut self.hours, RETAINED_HOURS);
    }
}

fn prune_slots(slots: &mut Slots, kept: u64) {
    let newest = slots.last_key_value().map_or(0, |(slot, _)| *slot);
    let first = (newest + 1).saturating_sub(kept);
    while slots
        .first_key_value()
        .is_some_and(|(slot, _)| *slot < first)
    {
        slots.pop_first();
    }
}

fn merge_slots(slots: &mut Slots, other: &Slots) {
    for (slot, cells) in other {
        let own = slots.entry(*slot).or_default();
        for (key, cell) in cells {
            own.entry(key.clone()).or_default().merge(cell);
        }
    }
}

fn add_cell(slots: &mut Slots, slot: u64, at: &SlotCell) {
    let key = (at.environment.clone(), at.client_account.clone());
    let cells = slots.entry(slot).or_default();
    cells.entry(key).or_default().merge(&at.cell);
}

fn list(slots: &Slots) -> Vec<SlotCell> {
    let all = slots.iter().flat_map(|(slot, cells)| {
        cells
            .iter()
            .map(|((environment, client_account), cell)| SlotCell {
                slot: *slot,
                environment: environment.clone(),
                client_account: client_account.clone(),
                cell: cell.clone(),
            })
    });
    all.collect()
}
