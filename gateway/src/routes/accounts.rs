//! Client accounts of a configuration, and the API keys that identify their requests.
//!
//! Keys are secret. They are hashed where they are parsed, and only hashes are kept.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt::{self, Debug, Display, Formatter};
use std::rc::Rc;
use std::sync::OnceLock;

/// Name of a client account.
pub type AccountName = Rc<str>;

/// Length of a key's hash, in bytes; two keys never share a hash by chance.
const KEY_HASH_BYTES: usize = 16;

/// Number of bytes of a hash that are shown in the log, enough to tell the keys of a few refusals
/// apart.
const SHOWN_BYTES: usize = 3;

/// Hash of an API key.
///
/// The hash function has a random secret of this process, so that neither the log nor a dump of
/// hashes lets anyone test guesses of keys elsewhere.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; KEY_HASH_BYTES]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::keyed_hash(secret(), key);
        let mut short = [0; KEY_HASH_BYTES];
        short.copy_from_slice(&hash.as_bytes()[..KEY_HASH_BYTES]);
        Self(short)
    }
}

/// Shows the first digits of the hash, which identify the key within the log of one process.
impl Display for KeyHash {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut shown = self.0[..SHOWN_BYTES].iter();
        shown.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Debug for KeyHash {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}

/// Returns the secret of this process's hashes.
fn secret() -> &'static [u8; blake3::KEY_LEN] {
    static SECRET: OnceLock<[u8; blake3::KEY_LEN]> = OnceLock::new();
    SECRET.get_or_init(|| {
        let mut secret = [0; blake3::KEY_LEN];
        let read = rustix::rand::getrandom(&mut secret, rustix::rand::GetRandomFlags::empty());
        // The kernel returns up to 256 bytes at once.
        read.expect("the kernel supplies random bytes");
        secret
    })
}

/// Rate to which a client account's requests are limited, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests beyond the rate in a burst.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name under which endpoints know it.
    pub name: AccountName,
    /// Hashes of its keys; an account without any sends no requests.
    pub keys: Vec<KeyHash>,
    /// Priority that goes before the routes' one; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit of its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Account that a key identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// Index of the only account with the key.
    Account(u32),
    /// Several accounts have the key, so that it identifies none.
    Several,
}

/// Accounts of the active configuration by their keys.
#[derive(Debug, Default)]
pub(crate) struct AccountTable {
    /// Accounts with distinct names.
    accounts: Vec<Rc<Account>>,
    by_key: HashMap<KeyHash, Holder>,
    is_key_required: bool,
    /// Whether an account has a quota.
    has_quotas: bool,
}

impl AccountTable {
    /// Builds the table of a configuration's accounts. Entries with the same name are one account,
    /// which has the priority and the quota of the first.
    pub(crate) fn new(accounts: Vec<Account>, is_key_required: bool) -> Self {
        let accounts = merge_by_name(accounts);
        let key_count = accounts.iter().map(|account| account.keys.len()).sum();
        let mut by_key = HashMap::with_capacity(key_count);
        for (account, number) in accounts.iter().zip(0..) {
            for key in &account.keys {
                let holder = Holder::Account(number);
                match by_key.entry(*key) {
                    Entry::Vacant(entry) => {
                        entry.insert(holder);
                    }
                    Entry::Occupied(mut entry) if *entry.get() != holder => {
                        entry.insert(Holder::Several);
                    }
                    Entry::Occupied(_) => {}
                }
            }
        }
        let has_quotas = accounts.iter().any(|account| account.quota.is_some());
        Self {
            accounts: accounts.into_iter().map(Rc::new).collect(),
            by_key,
            is_key_required,
            has_quotas,
        }
    }

    /// Whether an account has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Whether requests of routes that are not public need a key.
    pub(crate) fn is_key_required(&self) -> bool {
        self.is_key_required
    }

    /// Returns the account that a key identifies, or the reason why it identifies none.
    pub(crate) fn find(&self, key: KeyHash) -> Result<&Rc<Account>, UnknownKey> {
        match self.by_key.get(&key) {
            Some(Holder::Account(number)) => Ok(&self.accounts[*number as usize]),
            Some(Holder::Several) => Err(UnknownKey::SeveralAccounts),
            None => Err(UnknownKey::NoAccount),
        }
    }

    /// Returns all accounts.
    pub(crate) fn accounts(&self) -> &[Rc<Account>] {
        &self.accounts
    }

    /// Number of keys.
    pub(crate) fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Number of keys that several accounts have.
    pub(crate) fn shared_key_count(&self) -> usize {
        let mut holders = self.by_key.values();
        let shared = holders
            .by_ref()
            .filter(|holder| **holder == Holder::Several);
        shared.count()
    }
}

/// Reason why a key identifies no account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownKey {
    /// No account has it.
    NoAccount,
    /// More than one account has it.
    SeveralAccounts,
}

fn merge_by_name(accounts: Vec<Account>) -> Vec<Account> {
    let mut by_name: HashMap<AccountName, usize> = HashMap::new();
    let mut merged: Vec<Account> = Vec::with_capacity(accounts.len());
    for account in accounts {
        match by_name.entry(account.name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(merged.len());
                merged.push(account);
            }
            Entry::Occupied(entry) => merged[*entry.get()].keys.extend(account.keys),
        }
    }
    merged
}
