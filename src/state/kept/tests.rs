//! Tests of the table of pending entries.

use super::{CapacityExceeded, PendingEntries};
use crate::protocol::message::{Message, Role, Usage};
use crate::protocol::record::{Created, Entry, Turn};
use googletest::prelude::*;

fn created(program: u128) -> Entry {
    Entry::Created(Created {
        program,
        client_account: "saa".to_owned(),
        environment: "tn-north".to_owned(),
        key: None,
        budget: Usage::default(),
        deadline_ms: 0,
        reserved: Usage::default(),
    })
}

fn turn(program: u128, call: u128, bytes: usize) -> Entry {
    Entry::Turn(Turn {
        program,
        client_account: "saa".to_owned(),
        branch: 0,
        number: 1,
        previous: [0; 32],
        call,
        key: None,
        messages: vec![Message::new(Role::User, "x".repeat(bytes))],
        spent: Usage::default(),
        reserved: Usage::default(),
        endpoint: "e1".to_owned(),
    })
}

#[gtest]
fn entries_are_stored_once_and_in_order_until_committed() {
    let mut pending = PendingEntries::new(10_000);
    let entries = vec![created(7), turn(7, 1, 10), turn(7, 2, 10)];
    expect_that!(pending.insert(3, entries.clone()), ok(anything()));
    expect_that!(pending.insert(3, entries.clone()), ok(anything()));
    expect_that!(pending.entries(3), eq(&entries));
    expect_that!(pending.entries(4), is_empty());
    pending.remove_committed(3, 7, &[1]);
    expect_that!(pending.entries(3), eq(&entries[2..]));
    pending.remove_committed(3, 8, &[2]);
    expect_that!(pending.entries(3).len(), eq(1));
}

#[gtest]
fn insertion_is_all_or_nothing_and_removal_frees_capacity() {
    let mut pending = PendingEntries::new(1_000);
    expect_that!(pending.insert(0, vec![turn(1, 1, 500)]), ok(anything()));
    let more = vec![turn(1, 2, 10), turn(1, 3, 10)];
    expect_that!(pending.insert(0, more.clone()), err(eq(CapacityExceeded)));
    expect_that!(pending.entries(0).len(), eq(1));
    pending.remove_committed(0, 1, &[1]);
    expect_that!(pending.insert(0, more), ok(anything()));
}
