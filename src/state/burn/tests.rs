use super::{
    Alert, BurnTable, BurnWindow, Measure, ProgramSample, TokenSample, report_environment,
};
use crate::environment::Objectives;
use crate::ids::Offset;
use crate::protocol::log::LogRecord;
use crate::protocol::operations::{EventKind, OperationEvent, OperationsRecord, OperationsUpdate};
use crate::state::operations::OperationsFold;
use crate::state::stream::StreamFold;
use googletest::prelude::*;
use proptest::prelude::*;

const OBJECTIVES: Objectives = Objectives {
    program_latency_ms: 1_000,
    program_latency_share: 0.95,
    first_token_ms: 200,
    first_token_share: 0.9,
    success_share: 0.99,
};

const MINUTE_MS: u64 = 60_000;
const NOW_MS: u64 = 100 * 24 * 60 * MINUTE_MS;

fn program(latency_ms: u64, succeeded: bool) -> ProgramSample {
    ProgramSample {
        latency_ms,
        objective_ms: OBJECTIVES.program_latency_ms,
        succeeded,
    }
}

/// A program as a load tool would write it down.
#[derive(Clone, Copy, Debug)]
struct Written {
    ago_ms: u64,
    client_account: u8,
    latency_ms: u64,
    succeeded: bool,
}

fn written() -> impl Strategy<Value = Vec<Written>> {
    let one = (
        0..4 * 24 * 60 * MINUTE_MS,
        0u8..3,
        1u64..3_000,
        proptest::bool::weighted(0.9),
    );
    let one = one.prop_map(|(ago_ms, client_account, latency_ms, succeeded)| Written {
        ago_ms,
        client_account,
        latency_ms,
        succeeded,
    });
    proptest::collection::vec(one, 0..200)
}

fn slot_is_in(window: BurnWindow, at_ms: u64) -> bool {
    let slot_ms = if window == BurnWindow::Days3 {
        60 * MINUTE_MS
    } else {
        MINUTE_MS
    };
    let age_slots = NOW_MS / slot_ms - at_ms / slot_ms;
    age_slots < window.minutes() * MINUTE_MS / slot_ms
}

proptest! {
    /// The figures of tables that several entries kept and merged are those of a recount.
    #[test]
    fn burn_equals_a_recount(written in written(), entries in 1usize..5) {
        let mut tables = vec![BurnTable::default(); entries];
        let mut oldest_first = written.clone();
        oldest_first.sort_by_key(|w| std::cmp::Reverse(w.ago_ms));
        for (index, w) in oldest_first.iter().enumerate() {
            let client_account = format!("m{}", w.client_account);
            let sample = program(w.latency_ms, w.succeeded);
            tables[index % entries].add_program(NOW_MS - w.ago_ms, "shop", &client_account, sample);
        }
        let mut merged = BurnTable::default();
        tables.iter().for_each(|table| merged.merge(table));
        for line in report_environment(&merged, NOW_MS, "shop", &OBJECTIVES) {
            for count in &line.windows {
                let seen: Vec<_> = written
                    .iter()
                    .filter(|w| slot_is_in(count.window, NOW_MS - w.ago_ms))
                    .filter(|w| line.client_account.as_ref().is_none_or(|m| *m == format!("m{}", w.client_account)))
                    .collect();
                let ok = seen.iter().filter(|w| w.succeeded);
                let (bad, total) = match line.measure {
                    Measure::ProgramLatency => (
                        ok.clone().filter(|w| w.latency_ms > 1_000).count(),
                        ok.count(),
                    ),
                    Measure::FirstToken => (0, 0),
                    Measure::Success => (seen.iter().filter(|w| !w.succeeded).count(), seen.len()),
                };
                prop_assert_eq!((count.bad, count.total), (bad as u64, total as u64));
                let share = match line.measure {
                    Measure::ProgramLatency => 0.95,
                    Measure::FirstToken => 0.9,
                    Measure::Success => 0.99,
                };
                let rate = if total == 0 { 0.0 } else { bad as f64 / total as f64 / (1.0 - share) };
                prop_assert!((count.burn_rate - rate).abs() < 1e-9);
            }
        }
    }

    /// Quantiles are within the histogram's resolution of the sorted values.
    #[test]
    fn quantiles_are_near_the_sorted_values(latencies in proptest::collection::vec(1u64..50_000, 1..200)) {
        let mut table = BurnTable::default();
        for latency_ms in &latencies {
            table.add_program(NOW_MS, "shop", "m", program(*latency_ms, true));
        }
        let lines = report_environment(&table, NOW_MS, "shop", &OBJECTIVES);
        let mut sorted = latencies.clone();
        sorted.sort_unstable();
        for (quantile, found) in [(0.5, lines[0].p50_ms), (0.95, lines[0].p95_ms), (0.99, lines[0].p99_ms)] {
            let rank = ((quantile * sorted.len() as f64).ceil() as usize).max(1);
            let exact = sorted[rank - 1] as f64;
            prop_assert!((found as f64 - exact).abs() <= 1.0 + 0.02 * exact, "{found} {exact}");
        }
    }
}

fn alert_of(minutes_ago: &[u64], bad_of_ten: u64) -> Alert {
    let mut table = BurnTable::default();
    for ago in minutes_ago {
        for number in 0..10 {
            let at_ms = NOW_MS - ago * MINUTE_MS;
            table.add_program(at_ms, "shop", "m", program(1, number >= bad_of_ten));
        }
    }
    let lines = report_environment(&table, NOW_MS, "shop", &OBJECTIVES);
    let success = lines.iter().find(|line| line.measure == Measure::Success);
    success.unwrap().alert
}

#[gtest]
fn alerts_need_both_windows() {
    let all: Vec<u64> = (0..60).rev().collect();
    expect_that!(alert_of(&all, 2), eq(Alert::Page));
    // Bad for an hour, but over five minutes ago.
    expect_that!(alert_of(&all[..54], 2), eq(Alert::Ticket));
    let old: Vec<u64> = (400..460).rev().collect();
    expect_that!(alert_of(&old, 2), eq(Alert::Watch));
    expect_that!(alert_of(&all, 0), eq(Alert::Ok));
}

#[gtest]
fn first_tokens_are_counted_by_their_own_objective() {
    let mut table = BurnTable::default();
    for latency_ms in [100, 200, 201] {
        let sample = TokenSample {
            latency_ms,
            objective_ms: OBJECTIVES.first_token_ms,
        };
        table.add_first_token(NOW_MS, "shop", "m", sample);
    }
    let lines = report_environment(&table, NOW_MS, "shop", &OBJECTIVES);
    let line = lines
        .iter()
        .find(|line| line.measure == Measure::FirstToken)
        .unwrap();
    let count = line.window(BurnWindow::Minutes5);
    expect_that!((count.bad, count.total), eq((1, 3)));
}

#[gtest]
fn old_slots_are_forgotten() {
    let mut table = BurnTable::default();
    table.add_program(
        NOW_MS - 4 * 24 * 60 * MINUTE_MS,
        "shop",
        "m",
        program(1, true),
    );
    table.add_program(NOW_MS, "shop", "m", program(1, true));
    expect_that!(table.minutes().len(), eq(1));
    expect_that!(table.hours().len(), eq(1));
}

fn news(sequence: u64, root: Offset, minute: u64) -> OperationsRecord {
    let mut table = BurnTable::default();
    table.add_program(minute * MINUTE_MS, "shop", "m", program(10, true));
    OperationsRecord::Update(OperationsUpdate {
        node: "e1".to_string(),
        incarnation: 1,
        sequence,
        root,
        minutes: table.minutes(),
        events: vec![OperationEvent {
            at_ms: minute * MINUTE_MS,
            node: "e1".to_string(),
            kind: EventKind::LogDown,
        }],
    })
}

fn record(offset: Offset, record: &OperationsRecord) -> LogRecord {
    let mut data = Vec::new();
    ciborium::into_writer(record, &mut data).unwrap();
    LogRecord {
        offset,
        at_ms: NOW_MS,
        data,
    }
}

#[gtest]
fn a_repeated_record_counts_once() {
    let mut fold = OperationsFold::default();
    fold.apply(&record(1, &news(1, 0, 5)));
    fold.apply(&record(2, &news(1, 0, 5)));
    expect_that!(fold.events().len(), eq(1));
    expect_that!(fold.table().minutes()[0].cell.programs, eq(1));
}

#[gtest]
fn a_reader_that_starts_at_a_carry_over_ends_alike() {
    let mut whole = OperationsFold::default();
    let mut stream = vec![record(1, &news(1, 0, 5)), record(2, &news(2, 0, 6))];
    stream.iter().for_each(|r| whole.apply(r));
    let carried = OperationsRecord::Checkpoint {
        root: 0,
        image: whole.image(),
    };
    stream.push(record(3, &carried));
    stream.push(record(4, &news(3, 3, 7)));
    // A stale one must not bring old counts back.
    stream.push(record(5, &carried));
    stream.push(record(6, &news(3, 3, 7)));
    stream[2..].iter().for_each(|r| whole.apply(r));
    let mut late = OperationsFold::default();
    late.restart_at(3);
    stream[2..].iter().for_each(|r| late.apply(r));
    expect_that!(late.image(), eq(&whole.image()));
    expect_that!(late.root(), eq(3));
    expect_that!(whole.table().hours()[0].cell.programs, eq(3));
}
