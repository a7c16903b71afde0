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

/// Independent record of a program, used to recount the figures.
#[derive(Clone, Copy, Debug)]
struct RecordedProgram {
    ago_ms: u64,
    client_account: u8,
    latency_ms: u64,
    succeeded: bool,
}

fn recorded_programs() -> impl Strategy<Value = Vec<RecordedProgram>> {
    let program = (
        0..4 * 24 * 60 * MINUTE_MS,
        0u8..3,
        1u64..3_000,
        proptest::bool::weighted(0.9),
    );
    let program =
        program.prop_map(
            |(ago_ms, client_account, latency_ms, succeeded)| RecordedProgram {
                ago_ms,
                client_account,
                latency_ms,
                succeeded,
            },
        );
    proptest::collection::vec(program, 0..200)
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
    /// Merging the tables of several entries must give the same figures as an independent recount.
    #[test]
    fn merged_burn_equals_a_recount(recorded in recorded_programs(), entries in 1usize..5) {
        let mut tables = vec![BurnTable::default(); entries];
        let mut oldest_first = recorded.clone();
        oldest_first.sort_by_key(|ended| std::cmp::Reverse(ended.ago_ms));
        for (index, ended) in oldest_first.iter().enumerate() {
            let client_account = format!("m{}", ended.client_account);
            let sample = program(ended.latency_ms, ended.succeeded);
            tables[index % entries].add_program(NOW_MS - ended.ago_ms, "shop", &client_account, sample);
        }
        let mut merged = BurnTable::default();
        tables.iter().for_each(|table| merged.merge(table));
        for line in report_environment(&merged, NOW_MS, "shop", &OBJECTIVES) {
            for count in &line.windows {
                let seen: Vec<_> = recorded
                    .iter()
                    .filter(|ended| slot_is_in(count.window, NOW_MS - ended.ago_ms))
                    .filter(|ended| line.client_account.as_ref().is_none_or(|m| *m == format!("m{}", ended.client_account)))
                    .collect();
                let ok = seen.iter().filter(|ended| ended.succeeded);
                let (bad, total) = match line.measure {
                    Measure::ProgramLatency => (
                        ok.clone().filter(|ended| ended.latency_ms > 1_000).count(),
                        ok.count(),
                    ),
                    Measure::FirstToken => (0, 0),
                    Measure::Success => (seen.iter().filter(|ended| !ended.succeeded).count(), seen.len()),
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

    /// Quantiles must match the sorted values within the histogram's resolution.
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
fn alerts_require_both_windows() {
    let all: Vec<u64> = (0..60).rev().collect();
    expect_that!(alert_of(&all, 2), eq(Alert::Page));
    // Errors for most of an hour, but none in the last five minutes.
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
fn old_slots_are_dropped() {
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

fn update(sequence: u64, root: Offset, minute: u64) -> OperationsRecord {
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
    fold.apply(&record(1, &update(1, 0, 5)));
    fold.apply(&record(2, &update(1, 0, 5)));
    expect_that!(fold.events().len(), eq(1));
    expect_that!(fold.table().minutes()[0].cell.programs, eq(1));
}

#[gtest]
fn a_reader_that_starts_at_a_checkpoint_reaches_the_same_state() {
    let mut whole = OperationsFold::default();
    let mut stream = vec![record(1, &update(1, 0, 5)), record(2, &update(2, 0, 6))];
    stream.iter().for_each(|r| whole.apply(r));
    let checkpoint = OperationsRecord::Checkpoint {
        root: 0,
        image: whole.image(),
    };
    stream.push(record(3, &checkpoint));
    stream.push(record(4, &update(3, 3, 7)));
    // A stale checkpoint must not restore old counts.
    stream.push(record(5, &checkpoint));
    stream.push(record(6, &update(3, 3, 7)));
    stream[2..].iter().for_each(|r| whole.apply(r));
    let mut late = OperationsFold::default();
    late.restart_at(3);
    stream[2..].iter().for_each(|r| late.apply(r));
    expect_that!(late.image(), eq(&whole.image()));
    expect_that!(late.root(), eq(3));
    expect_that!(whole.table().hours()[0].cell.programs, eq(3));
}
