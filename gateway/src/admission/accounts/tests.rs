use super::{KeyRefusal, Recheck, find_account, recheck};
use crate::dialect::Credential;
use crate::routes::{Account, AccountTable, KeyHash};
use googletest::prelude::*;

fn key(text: &str) -> Credential {
    Credential::Key(KeyHash::of(text.as_bytes()))
}

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
    }
}

fn admitted(
    accounts: &AccountTable,
    is_public: bool,
    credential: Credential,
) -> std::result::Result<Option<String>, KeyRefusal> {
    let account = find_account(accounts, is_public, credential)?;
    Ok(account.map(|account| account.name.to_string()))
}

#[googletest::test]
fn a_route_that_is_not_public_needs_a_known_key() {
    let accounts = AccountTable::new(vec![account("a", &["k"])], true);
    expect_that!(admitted(&accounts, false, key("k")), ok(some(eq("a"))));
    for (credential, refusal) in [
        (Credential::Absent, KeyRefusal::Missing),
        (Credential::Malformed, KeyRefusal::Malformed),
        (key("other"), KeyRefusal::Unknown),
    ] {
        expect_that!(admitted(&accounts, false, credential), err(eq(&refusal)));
    }
}

// Guards against a request that runs with a key that no configuration ever held.
#[googletest::test]
fn a_public_route_needs_no_key_but_takes_no_unknown_one() {
    let accounts = AccountTable::new(vec![account("a", &["k"])], true);
    expect_that!(admitted(&accounts, true, key("k")), ok(some(eq("a"))));
    expect_that!(admitted(&accounts, true, Credential::Absent), ok(none()));
    for (credential, refusal) in [
        (Credential::Malformed, KeyRefusal::Malformed),
        (key("other"), KeyRefusal::Unknown),
    ] {
        expect_that!(admitted(&accounts, true, credential), err(eq(&refusal)));
    }
}

#[googletest::test]
fn a_deployment_without_accounts_reads_no_keys() {
    let accounts = AccountTable::default();
    for credential in [Credential::Absent, Credential::Malformed, key("k")] {
        expect_that!(admitted(&accounts, false, credential), ok(none()));
    }
}

// Guards against a configuration without its last account that opens all routes to everyone.
#[googletest::test]
fn a_configuration_whose_accounts_are_all_gone_still_needs_keys() {
    let accounts = AccountTable::new(Vec::new(), true);
    expect_that!(
        admitted(&accounts, false, Credential::Absent),
        err(eq(&KeyRefusal::Missing))
    );
    expect_that!(
        admitted(&accounts, false, key("k")),
        err(eq(&KeyRefusal::Unknown))
    );
}

// Guards against requests that wait while their key is revoked or moved, and then run.
#[googletest::test]
fn a_request_that_waited_is_checked_against_the_accounts_in_force() {
    let [a, b] = [account("a", &["k"]), account("b", &[])];
    let check = |accounts: Vec<Account>| {
        recheck(
            &AccountTable::new(accounts, true),
            false,
            key("k"),
            Some(&a),
        )
    };
    expect_that!(check(vec![a.clone(), b.clone()]), eq(Recheck::Unchanged));
    let gone = Recheck::Revoked(KeyRefusal::Unknown);
    expect_that!(check(vec![account("a", &["l"])]), eq(gone));
    expect_that!(check(vec![account("a", &[])]), eq(gone));
    expect_that!(check(Vec::new()), eq(gone));
    expect_that!(check(vec![account("b", &["k"])]), eq(Recheck::Moved));
    let both = vec![account("a", &["k"]), account("b", &["k"])];
    expect_that!(check(both), eq(Recheck::Revoked(KeyRefusal::Ambiguous)));
}

#[googletest::test]
fn a_request_without_a_key_stops_once_its_route_is_no_longer_public() {
    let accounts = AccountTable::new(vec![account("a", &["k"])], true);
    let check = |is_public| recheck(&accounts, is_public, Credential::Absent, None);
    expect_that!(check(true), eq(Recheck::Unchanged));
    expect_that!(check(false), eq(Recheck::Revoked(KeyRefusal::Missing)));
}
