use super::{Account, AccountTable, KeyHash, UnknownKey};
use googletest::prelude::*;

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
    }
}

fn holder(table: &AccountTable, key: &str) -> std::result::Result<String, UnknownKey> {
    let found = table.find(KeyHash::of(key.as_bytes()));
    found.map(|account| account.name.to_string())
}

#[googletest::test]
fn a_key_identifies_the_account_that_has_it() {
    let table = AccountTable::new(
        vec![
            account("a", &["k1", "k2", "k2"]),
            account("b", &["k3"]),
            account("c", &[]),
        ],
        true,
    );
    expect_that!(holder(&table, "k2"), ok(eq("a")));
    expect_that!(holder(&table, "k3"), ok(eq("b")));
    expect_that!(holder(&table, "K3"), err(eq(&UnknownKey::NoAccount)));
    expect_that!(holder(&table, ""), err(eq(&UnknownKey::NoAccount)));
    expect_that!(table.key_count(), eq(3));
}

// Guards against a key that acts for whichever of its accounts is listed first.
#[googletest::test]
fn a_key_of_two_accounts_identifies_neither() {
    let table = AccountTable::new(vec![account("a", &["k", "x"]), account("b", &["k"])], true);
    expect_that!(holder(&table, "k"), err(eq(&UnknownKey::SeveralAccounts)));
    expect_that!(holder(&table, "x"), ok(eq("a")));
    expect_that!(table.shared_key_count(), eq(1));
}

#[googletest::test]
fn entries_of_one_name_are_one_account() {
    let table = AccountTable::new(vec![account("a", &["k"]), account("a", &["k", "l"])], true);
    expect_that!(holder(&table, "k"), ok(eq("a")));
    expect_that!(holder(&table, "l"), ok(eq("a")));
    expect_that!(table.accounts().len(), eq(1));
}

// Guards against keys in the log or in a panic's message.
#[googletest::test]
fn a_hash_shows_neither_the_key_nor_the_whole_hash() {
    let hash = KeyHash::of(b"secret-key");
    expect_that!(hash.to_string().len(), eq(6));
    expect_that!(
        format!("{:?}", account("a", &["secret-key"])),
        not(contains_substring("secret"))
    );
}

// Guards against tables that take much of a small VM's memory.
#[googletest::test]
fn a_key_takes_few_bytes() {
    expect_that!(size_of::<(KeyHash, super::Holder)>(), le(24));
    let keys: Vec<String> = (0..5_000).map(|number| format!("key-{number}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let accounts = keys
        .chunks(50)
        .enumerate()
        .map(|(number, keys)| account(&number.to_string(), keys));
    let table = AccountTable::new(accounts.collect(), true);
    expect_that!(table.key_count(), eq(5_000));
    expect_that!(holder(&table, "key-4999"), ok(eq("99")));
}
