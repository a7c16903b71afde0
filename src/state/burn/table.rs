//! Table of cells by client account and by minute or hour.

use super::rates::BurnWindow;
use crate::ids::{ClientAccountId, EnvironmentId};
use crate::protocol::operations::{Cell, SlotCell};
use std::collections::BTreeMap;

/// Minutes in an hour.
const HOUR_MINUTES: u64 = 60;

/// Number of minutes for which cells are retained.
const RETAINED_MINUTES: u64 = 6 * HOUR_MINUTES + 5;

/// Number of hours for which cells are retained.
const RETAINED_HOURS: u64 = 3 * 24 + 1;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// Measurement of a program that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramSample {
    /// Duration from its start to its end, in milliseconds.
    pub latency_ms: u64,
    /// Latency objective of its environment, in milliseconds.
    pub objective_ms: u64,
    /// Whether it succeeded.
    pub succeeded: bool,
}

/// Measurement of a first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSample {
    /// Time since the call's arrival, in milliseconds.
    pub latency_ms: u64,
    /// First-token objective of its environment, in milliseconds.
    pub objective_ms: u64,
}

type Key = (EnvironmentId, ClientAccountId);
type Slots = BTreeMap<u64, BTreeMap<Key, Cell>>;

/// Measurements of the last three days. Tables can be merged in any order.
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
    /// Counts a program that ended at `at_ms`, in Unix milliseconds.
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

    /// Counts a first token received at `at_ms`, in Unix milliseconds.
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

    /// Merges the cells of a window that ends at `now_ms`. Without a client account, it merges
    /// those of all client accounts.
    pub fn sum(
        &self,
        now_ms: u64,
        window: BurnWindow,
        environment: &str,
        client_account: Option<&str>,
    ) -> Cell {
        let current_minute = now_ms / MINUTE_MS;
        let (slots, last, length) = if window == BurnWindow::Days3 {
            (
                &self.hours,
                current_minute / HOUR_MINUTES,
                window.minutes() / HOUR_MINUTES,
            )
        } else {
            (&self.minutes, current_minute, window.minutes())
        };
        let first = (last + 1).saturating_sub(length);
        let mut sum = Cell::default();
        for cells in slots.range(first..=last).map(|(_, cells)| cells) {
            let matching = cells
                .iter()
                .filter(|((cell_environment, cell_account), _)| {
                    cell_environment == environment
                        && client_account
                            .is_none_or(|client_account| client_account == cell_account)
                });
            matching.for_each(|(_, cell)| sum.merge(cell));
        }
        sum
    }

    /// Lists the environments and client accounts with measurements, sorted.
    pub fn client_accounts(&self) -> Vec<(EnvironmentId, ClientAccountId)> {
        let all = self.hours.values().chain(self.minutes.values());
        let mut keys: Vec<_> = all.flat_map(|cells| cells.keys().cloned()).collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// Returns the start of the oldest retained minute, in Unix milliseconds.
    pub(crate) fn oldest_ms(&self) -> Option<u64> {
        let oldest = self.minutes.first_key_value();
        oldest.map(|(minute, _)| minute * MINUTE_MS)
    }

    /// Returns whether the table has no measurements.
    pub fn is_empty(&self) -> bool {
        self.minutes.is_empty() && self.hours.is_empty()
    }

    /// Adds the measurements of another table.
    pub fn merge(&mut self, other: &BurnTable) {
        merge_slots(&mut self.minutes, &other.minutes);
        merge_slots(&mut self.hours, &other.hours);
        self.prune();
    }

    /// Adds cells by minute to both the minutes and the hours.
    pub(crate) fn add_minutes(&mut self, cells: &[SlotCell]) {
        for slot_cell in cells {
            add_cell(&mut self.minutes, slot_cell.slot, slot_cell);
            add_cell(&mut self.hours, slot_cell.slot / HOUR_MINUTES, slot_cell);
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

    /// Builds a table from listed cells.
    pub(crate) fn from_cells(minutes: &[SlotCell], hours: &[SlotCell]) -> Self {
        let mut table = Self::default();
        minutes
            .iter()
            .for_each(|slot_cell| add_cell(&mut table.minutes, slot_cell.slot, slot_cell));
        hours
            .iter()
            .for_each(|slot_cell| add_cell(&mut table.hours, slot_cell.slot, slot_cell));
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

    /// Drops slots that no window covers any more, counted back from the newest slot.
    fn prune(&mut self) {
        prune_slots(&mut self.minutes, RETAINED_MINUTES);
        prune_slots(&mut self.hours, RETAINED_HOURS);
    }
}

fn prune_slots(slots: &mut Slots, retained: u64) {
    let newest = slots.last_key_value().map_or(0, |(slot, _)| *slot);
    let first = (newest + 1).saturating_sub(retained);
    while slots
        .first_key_value()
        .is_some_and(|(slot, _)| *slot < first)
    {
        slots.pop_first();
    }
}

fn merge_slots(slots: &mut Slots, other: &Slots) {
    for (slot, cells) in other {
        let target = slots.entry(*slot).or_default();
        for (key, cell) in cells {
            target.entry(key.clone()).or_default().merge(cell);
        }
    }
}

fn add_cell(slots: &mut Slots, slot: u64, slot_cell: &SlotCell) {
    let key = (
        slot_cell.environment.clone(),
        slot_cell.client_account.clone(),
    );
    let cells = slots.entry(slot).or_default();
    cells.entry(key).or_default().merge(&slot_cell.cell);
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
