use super::{MAX_PREFIX_BYTES, client_id, scoped_id};
use crate::routes::Account;
use googletest::prelude::*;
use std::collections::HashSet;

fn account(name: &str) -> Account {
    Account {
        name: name.into(),
        keys: Vec::new(),
        priority: None,
        quota: None,
    }
}

// Guards against an account that continues another account's turns or spends its budgets.
#[googletest::test]
fn ids_of_different_accounts_and_of_none_differ() {
    let [a, b] = [account("a"), account("b")];
    let of_a = scoped_id(Some(&a), "t");
    let ids = [
        of_a.clone(),
        scoped_id(Some(&b), "t"),
        scoped_id(None, "t"),
        // A client without account writes the scoped id of one.
        scoped_id(None, &of_a),
        scoped_id(None, &format!("~{of_a}")),
        scoped_id(Some(&b), &of_a),
        scoped_id(Some(&a), &of_a),
        scoped_id(None, "~t"),
    ];
    let distinct: HashSet<&String> = ids.iter().collect();
    expect_that!(distinct.len(), eq(ids.len()));
    expect_that!(scoped_id(Some(&account("a")), "t"), eq(&of_a));
}

#[googletest::test]
fn an_id_without_account_is_that_of_records_of_before() {
    expect_that!(scoped_id(None, "9c41d07be2a35f68"), eq("9c41d07be2a35f68"));
    expect_that!(scoped_id(Some(&account("a")), ""), eq(""));
}

// The hash must not change between versions, since the store keeps it.
#[googletest::test]
fn a_scoped_id_is_stable_and_short() {
    let id = scoped_id(Some(&account("a")), "t");
    expect_that!(id, eq("~17762fddd969a453:t"));
    expect_that!(id.len(), eq("t".len() + MAX_PREFIX_BYTES));
}

#[googletest::test]
fn the_clients_id_is_shown_in_the_log() {
    for (account, id) in [(Some(account("a")), "t:~u"), (None, "t"), (None, "~t")] {
        expect_that!(client_id(&scoped_id(account.as_ref(), id)), eq(id));
    }
}
