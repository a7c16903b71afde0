//! Decides on whose account a request runs, when it arrives and again before each attempt.

#[cfg(test)]
mod tests;

use crate::dialect::Credential;
use crate::routes::{Account, AccountTable, UnknownKey};
use std::rc::Rc;

/// Reason why a request's credential does not let it run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum KeyRefusal {
    /// It has no key.
    Missing,
    /// Its credential is no key.
    Malformed,
    /// No account has its key.
    Unknown,
    /// Several accounts have its key.
    Ambiguous,
}

impl KeyRefusal {
    /// Returns the reason given to the client.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Missing => "the request has no API key",
            Self::Malformed => "the API key is malformed",
            Self::Unknown => "the API key is not known",
            Self::Ambiguous => "the API key belongs to several accounts",
        }
    }
}

/// Returns the account of a request; `None` if it runs without one.
///
/// A request of a public route needs no key, but one that has a key is only served if it is known.
pub(crate) fn find_account(
    accounts: &AccountTable,
    is_public: bool,
    credential: Credential,
) -> Result<Option<&Rc<Account>>, KeyRefusal> {
    if !accounts.is_key_required() {
        return Ok(None);
    }
    match credential {
        Credential::Absent if is_public => Ok(None),
        Credential::Absent => Err(KeyRefusal::Missing),
        Credential::Malformed => Err(KeyRefusal::Malformed),
        Credential::Key(key) => match accounts.find(key) {
            Ok(account) => Ok(Some(account)),
            Err(UnknownKey::NoAccount) => Err(KeyRefusal::Unknown),
            Err(UnknownKey::SeveralAccounts) => Err(KeyRefusal::Ambiguous),
        },
    }
}

/// Whether a request that was admitted may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recheck {
    /// It still runs on the account on which it was admitted.
    Unchanged,
    /// Its key is no longer known.
    Revoked(KeyRefusal),
    /// It would now run on another account, whose turns and limits are others.
    Moved,
}

/// Checks an admitted request against the accounts now in force.
pub(crate) fn recheck(
    accounts: &AccountTable,
    is_public: bool,
    credential: Credential,
    admitted: Option<&Account>,
) -> Recheck {
    match find_account(accounts, is_public, credential) {
        Err(refusal) => Recheck::Revoked(refusal),
        Ok(account) => {
            let name = account.map(|account| &account.name);
            if name == admitted.map(|account| &account.name) {
                Recheck::Unchanged
            } else {
                Recheck::Moved
            }
        }
    }
}
