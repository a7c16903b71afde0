//! Random subset of the endpoints that a call is compared for.
//!
//! Counts of peers are as old as their heartbeats. If many gateways compare all endpoints by the
//! same counts, they all choose the one that looks least loaded until the next heartbeats show
//! otherwise. The subset gets smaller as the number of gateways grows.

use super::Endpoint;

/// Number of gateways up to which all endpoints are compared, since the counts of so few peers are
/// fresh and few calls arrive between them.
const FULL_VIEW_GATEWAYS: usize = 8;

/// Minimum number of endpoints in the subset, from the local failure domain and from the others
/// each.
const MIN_SAMPLE: usize = 2;

/// Returns the endpoints to compare, out of the usable ones.
///
/// The endpoint that caches most of the prompt is always included, since a call may cost less there
/// than at any idle one.
pub(super) fn sample<'a>(
    mut usable: Vec<&'a Endpoint>,
    local_domain: &str,
    gateways: usize,
    cached_tokens: impl Fn(&Endpoint) -> u32,
    speed: Option<impl Fn(&Endpoint) -> f64>,
    rng: &mut fastrand::Rng,
) -> Vec<&'a Endpoint> {
    if gateways <= FULL_VIEW_GATEWAYS {
        return usable;
    }
    let cached = usable
        .iter()
        .map(|endpoint| (cached_tokens(endpoint), *endpoint));
    let best_cached = cached.max_by_key(|(tokens, _)| *tokens);
    match speed {
        None => rng.shuffle(&mut usable),
        // A fast endpoint ends more calls and is compared as much more often.
        Some(speed) => usable.sort_by_cached_key(|endpoint| {
            let rank = -rng.f64().max(f64::MIN_POSITIVE).ln() / speed(endpoint);
            (rank * 1_000_000.0) as u64
        }),
    }
    let (mut sampled, mut remote): (Vec<_>, Vec<_>) = usable
        .into_iter()
        .partition(|endpoint| endpoint.record.failure_domain == local_domain);
    let share = |count: usize| count * FULL_VIEW_GATEWAYS / gateways;
    sampled.truncate(share(sampled.len()).max(MIN_SAMPLE));
    // Counts from other failure domains are older, so their endpoints are compared more rarely.
    remote.truncate(share(share(remote.len())).max(MIN_SAMPLE));
    sampled.append(&mut remote);
    sampled.extend(best_cached.and_then(|(tokens, endpoint)| (tokens > 0).then_some(endpoint)));
    sampled
}
