//! Rendezvous hashing: all nodes that know the same candidates rank them in the same order.

/// Ranks candidates for a key, best first. Adding or removing a candidate reassigns only the keys
/// that it gains or had.
///
/// ```
/// use galenapick::rendezvous;
///
/// let ranked = rendezvous("partition/3", ["a", "b", "c"]);
/// let without = rendezvous("partition/3", ranked[1..].iter().copied());
/// assert_eq!(without, ranked[1..]);
/// ```
pub fn rendezvous<'a, I>(key: &str, candidates: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|candidate| (score(key, candidate), candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Returns the score of a candidate for a key.
fn score(key: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
