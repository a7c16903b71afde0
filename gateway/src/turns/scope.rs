//! Ids of turns and programs that keep the client accounts apart.
//!
//! A scoped id is all that the ledger, its messages and its records know, so that the turn of another
//! account is looked up and missed in the same way as one that never existed.

#[cfg(test)]
mod tests;

use crate::routes::Account;

/// First character of a scoped id.
const MARK: char = '~';

/// Ends the hash of the account's name.
const SEPARATOR: char = ':';

/// Number of hexadecimal digits that name the account.
const DIGITS: usize = 16;

/// Number of bytes by which a scoped id may be longer than the id of the client.
pub(crate) const MAX_PREFIX_BYTES: usize = DIGITS + 2;

/// Returns the id by which the ledger knows the turn or program `id` of an account; the id itself if
/// the request has none. An empty id stays empty.
pub(crate) fn scoped_id(account: Option<&Account>, id: &str) -> String {
    match account {
        Some(account) if !id.is_empty() => {
            let hash = blake3::hash(account.name.as_bytes()).to_hex();
            format!("{MARK}{}{SEPARATOR}{id}", &hash[..DIGITS])
        }
        // No client can write an id that is taken for one of an account.
        None if id.starts_with(MARK) => format!("{MARK}{id}"),
        _ => id.to_owned(),
    }
}

/// Returns the id that the client gave, for the log.
pub(crate) fn client_id(scoped: &str) -> &str {
    let Some(rest) = scoped.strip_prefix(MARK) else {
        return scoped;
    };
    if rest.starts_with(MARK) {
        return rest;
    }
    let id = rest.split_once(SEPARATOR).map(|(_, id)| id);
    id.unwrap_or(scoped)
}
