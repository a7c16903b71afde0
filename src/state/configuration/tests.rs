use super::fold::FoldOutcome;
use super::{Configuration, ConfigurationFold};
use crate::ids::Offset;
use crate::protocol::configuration::{Change, ChangeAction, ConfigurationRecord, Promotion, Stage};
use crate::protocol::log::LogRecord;
use googletest::prelude::*;
use proptest::prelude::*;
use std::sync::Arc;

fn record(offset: Offset, record: &ConfigurationRecord) -> LogRecord {
    let mut data = Vec::new();
    ciborium::into_writer(record, &mut data).unwrap();
    LogRecord {
        offset,
        at_ms: offset * 1_000,
        data,
    }
}

fn change(
    environment: &str,
    expects: Offset,
    key: &str,
    action: ChangeAction,
) -> ConfigurationRecord {
    ConfigurationRecord::Change(Change {
        environment: environment.to_string(),
        expects,
        operator: "ops".to_string(),
        key: key.to_string(),
        at_ms: 0,
        root: 0,
        action,
    })
}

fn document(environment: &str, version: u32) -> String {
    format!(
        "[environment]\nname = {environment}\n[model m]\nversion = {version}\n\
         [member one]\ntoken_hash = {}\n",
        "1".repeat(64)
    )
}

fn apply(environment: &str, expects: Offset, version: u32) -> ConfigurationRecord {
    let document = document(environment, version);
    let key = format!("{expects}-{version}");
    change(environment, expects, &key, ChangeAction::Apply { document })
}

fn promote(environment: &str, expects: Offset) -> ConfigurationRecord {
    let promotion = Promotion {
        evidence: Vec::new(),
        override_reason: None,
    };
    change(environment, expects, "p", ChangeAction::Promote(promotion))
}

fn retire(environment: &str, expects: Offset) -> ConfigurationRecord {
    let reason = "over".to_string();
    change(environment, expects, "r", ChangeAction::Retire { reason })
}

fn fold_records(records: &[ConfigurationRecord]) -> (ConfigurationFold, Vec<FoldOutcome>) {
    let mut fold = ConfigurationFold::default();
    let numbered = records.iter().zip(1..);
    let outcomes = numbered
        .map(|(r, offset)| fold.fold(&record(offset, r)))
        .collect();
    (fold, outcomes)
}

#[gtest]
fn the_first_change_that_expects_the_version_wins() {
    let (fold, outcomes) = fold_records(&[apply("a", 0, 1), apply("a", 0, 2), apply("a", 1, 3)]);
    expect_that!(
        outcomes,
        eq(&vec![
            FoldOutcome::Accepted,
            FoldOutcome::Stale,
            FoldOutcome::Accepted
        ])
    );
    let current = fold.current();
    expect_that!(current.version(), eq(3));
    expect_that!(
        current.environment("a").unwrap().environment.models["m"].version,
        eq(3)
    );
}

#[gtest]
fn a_repeated_record_is_accepted_once() {
    let (fold, outcomes) = fold_records(&[apply("a", 0, 1), apply("a", 0, 1)]);
    expect_that!(
        outcomes,
        eq(&vec![FoldOutcome::Accepted, FoldOutcome::Stale])
    );
    let accepted = fold.current().accepted_change("a", "ops", "0-1").cloned();
    expect_that!(accepted.map(|accepted| accepted.version), some(eq(1)));
}

#[gtest]
fn a_reapplied_retired_environment_returns_to_trial() {
    let steps = [
        apply("a", 0, 1),
        promote("a", 1),
        retire("a", 2),
        promote("a", 3),
        apply("a", 3, 2),
    ];
    let (after_promotion, _) = fold_records(&steps[..2]);
    let view = after_promotion.current().environment("a").cloned();
    expect_that!(view.map(|view| view.stage), some(eq(Stage::Production)));
    let (after_retirement, outcomes) = fold_records(&steps[..4]);
    expect_that!(
        after_retirement.current().environment("a").is_none(),
        eq(true)
    );
    expect_that!(outcomes[3], eq(&FoldOutcome::Stale));
    let (returned, _) = fold_records(&steps);
    let view = returned.current().environment("a").cloned();
    expect_that!(view.map(|view| view.stage), some(eq(Stage::Trial)));
}

#[gtest]
fn a_lower_version_is_never_adopted() {
    let (newer, _) = fold_records(&[apply("a", 0, 1), apply("a", 1, 2)]);
    let (mut older, _) = fold_records(&[apply("a", 0, 1)]);
    let (newer_image, older_image) = (
        newer.current().image().clone(),
        older.current().image().clone(),
    );
    expect_that!(older.adopt(&newer_image, newer.next()), eq(true));
    expect_that!(older.next(), eq(3));
    expect_that!(older.adopt(&older_image, 2), eq(false));
    expect_that!(older.current().version(), eq(2));
}

#[gtest]
fn a_checkpoint_of_an_old_version_is_rejected() {
    let (first, _) = fold_records(&[apply("a", 0, 1)]);
    let stale = ConfigurationRecord::Checkpoint {
        root: 0,
        image: first.current().image().clone(),
    };
    let (after, outcomes) = fold_records(&[apply("a", 0, 1), apply("a", 1, 2), stale]);
    expect_that!(outcomes[2], eq(&FoldOutcome::Stale));
    expect_that!(after.root(), eq(0));
}

#[gtest]
fn undecodable_records_are_skipped() {
    let mut fold = ConfigurationFold::default();
    let junk = LogRecord {
        offset: 1,
        at_ms: 0,
        data: b"junk".to_vec(),
    };
    expect_that!(fold.fold(&junk), eq(&FoldOutcome::Ignored));
    expect_that!(
        fold.fold(&record(2, &apply("a", 0, 1))),
        eq(&FoldOutcome::Accepted)
    );
}

#[gtest]
fn tokens_identify_client_account_and_environment() {
    let (fold, _) = fold_records(&[apply("a", 0, 1)]);
    let hash = crate::ini::parse_hash(&"1".repeat(64)).unwrap();
    let found = fold.current().client_account_by_token(&hash).cloned();
    expect_that!(found, some(eq(&("a".to_string(), "one".to_string()))));
    expect_that!(
        Configuration::default().client_account_by_token(&hash),
        none()
    );
}

/// A writer's step: environment, number of records that the writer lags behind, and action.
type Step = (u8, u8, u8);

/// Builds a stream as concurrent writers would, each of which has folded only a prefix of it.
fn write(steps: &[Step]) -> Vec<LogRecord> {
    let mut stream: Vec<LogRecord> = Vec::new();
    for (offset, (environment, lag, action)) in (1..).zip(steps) {
        let seen = stream.len().saturating_sub(usize::from(*lag));
        let mut writer = ConfigurationFold::default();
        for record in &stream[..seen] {
            writer.fold(record);
        }
        let name = ["a", "b"][usize::from(environment % 2)];
        let expects = writer.current().environment_version(name);
        let mut written = match action % 5 {
            0 | 1 => apply(name, expects, u32::from(*action) + 1),
            2 => promote(name, expects),
            3 => retire(name, expects),
            _ => ConfigurationRecord::Checkpoint {
                root: 0,
                image: writer.current().image().clone(),
            },
        };
        match &mut written {
            ConfigurationRecord::Change(change) => change.root = writer.root(),
            ConfigurationRecord::Checkpoint { root, .. } => *root = writer.root(),
        }
        stream.push(record(offset, &written));
    }
    stream
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec((any::<u8>(), 0u8..4, any::<u8>()), 1..40)
}

proptest! {
    #[test]
    fn versions_increase_and_each_is_replaced_once(steps in steps()) {
        let mut fold = ConfigurationFold::default();
        let mut replaced = std::collections::HashSet::new();
        for record in write(&steps) {
            let before = fold.current().version();
            if fold.fold(&record) == FoldOutcome::Accepted {
                prop_assert!(fold.current().version() > before);
                let environments = &fold.current().image().environments;
                let changed = environments.iter().find(|e| e.version == record.offset).unwrap();
                let accepted = changed.changes.last().unwrap();
                prop_assert!(replaced.insert((changed.name.clone(), accepted.replaced)));
            } else {
                prop_assert_eq!(fold.current().version(), before);
            }
        }
    }

    #[test]
    fn a_reader_that_starts_at_a_named_root_reaches_the_same_state(steps in steps()) {
        let stream = write(&steps);
        let mut whole = ConfigurationFold::default();
        for record in &stream {
            whole.fold(record);
        }
        for record in &stream {
            let written: ConfigurationRecord = ciborium::from_reader(record.data.as_slice()).unwrap();
            if written.root() == 0 {
                continue;
            }
            let mut late = ConfigurationFold::default();
            late.restart_at(written.root());
            for record in &stream[written.root() as usize - 1..] {
                late.fold(record);
            }
            prop_assert_eq!(late.current().image(), whole.current().image());
            prop_assert_eq!(late.root(), whole.root());
        }
    }

    #[test]
    fn adopting_a_configuration_at_any_point_reaches_the_same_state(steps in steps(), at in 0usize..40) {
        let stream = write(&steps);
        let mut peer = ConfigurationFold::default();
        for record in stream.iter().take(at) {
            peer.fold(record);
        }
        let mut late = ConfigurationFold::default();
        late.adopt(peer.current().image(), peer.next());
        for record in &stream {
            late.fold(record);
            peer.fold(record);
        }
        prop_assert_eq!(late.current().image(), peer.current().image());
    }
}

#[gtest]
fn unchanged_documents_are_not_parsed_again() {
    let (mut fold, _) = fold_records(&[apply("a", 0, 1)]);
    let before = fold.current().environment("a").unwrap().environment.clone();
    fold.fold(&record(2, &promote("a", 1)));
    let after = fold.current().environment("a").unwrap().environment.clone();
    expect_that!(Arc::ptr_eq(&before, &after), eq(true));
}
