//! Decides when a node claims a partition.

use crate::ids::{Epoch, Incarnation, NodeId};
use crate::protocol::record::{Claim, RESET_EPOCH};
use crate::state::partition::PartitionState;
use std::time::{Duration, Instant};

/// Minimum delay before a claim is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum jitter added to [`MIN_RETRY_DELAY`].
const RETRY_JITTER: Duration = Duration::from_millis(300);
/// Time after which a stream that has neither its first record nor a snapshot is claimed as empty.
const RESET_AFTER: Duration = Duration::from_secs(30);

/// Input of [`Claimant::poll`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimView<'a> {
    /// State folded from the whole stream.
    pub state: &'a PartitionState,
    /// Whether this node should own the partition.
    pub should_own: bool,
    /// Whether the current owner is believed to be alive.
    pub is_owner_alive: bool,
}

/// Decides when to claim a partition.
///
/// A claim is only a proposal: the order of the records in the stream decides. A wrong belief that
/// the owner is dead therefore costs time but never correctness.
///
/// ```
/// use galenapick::{ClaimView, Claimant, PartitionState};
/// use std::time::Instant;
///
/// let state = PartitionState::new();
/// let view = ClaimView { state: &state, should_own: true, is_owner_alive: false };
/// let mut claimant = Claimant::new("a".into(), 1);
/// let claim = claimant.poll(Instant::now(), view, &mut fastrand::Rng::with_seed(1));
/// assert_eq!(claim.unwrap().expects, 0);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimant {
    node: NodeId,
    incarnation: Incarnation,
    /// Whether a claim is in flight; no other is made meanwhile.
    is_claim_in_flight: bool,
    not_before: Option<Instant>,
    /// Time since which the state has had neither the first record nor a snapshot to start from.
    unrooted_since: Option<Instant>,
}

impl Claimant {
    /// Creates the claimant for one incarnation of a node.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            is_claim_in_flight: false,
            not_before: None,
            unrooted_since: None,
        }
    }

    /// Returns whether this incarnation of the node is the current owner.
    pub fn owns(&self, state: &PartitionState) -> bool {
        let owner = state.owner();
        !state.is_released()
            && owner.is_some_and(|o| o.node == self.node && o.incarnation == self.incarnation)
    }

    /// Returns a claim to append, if one is due. The stream must have been read to its end.
    pub fn poll(
        &mut self,
        now: Instant,
        view: ClaimView<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Claim> {
        let is_backing_off = self.not_before.is_some_and(|at| at > now);
        if self.is_claim_in_flight || is_backing_off || !self.may_claim(now, view) {
            return None;
        }
        self.is_claim_in_flight = true;
        let jitter = RETRY_JITTER.mul_f64(rng.f64());
        self.not_before = Some(now + MIN_RETRY_DELAY + jitter);
        Some(Claim {
            owner: self.node.clone(),
            incarnation: self.incarnation,
            expects: self.expected_epoch(view.state),
            root: view.state.root(),
        })
    }

    /// Records that the claim in flight got its result or timed out.
    pub fn on_claim_result(&mut self) {
        self.is_claim_in_flight = false;
    }

    fn expected_epoch(&self, state: &PartitionState) -> Epoch {
        if state.is_rooted() {
            state.epoch()
        } else {
            RESET_EPOCH
        }
    }

    fn may_claim(&mut self, now: Instant, view: ClaimView<'_>) -> bool {
        if !view.should_own || self.owns(view.state) {
            return false;
        }
        if !view.state.is_rooted() {
            let since = *self.unrooted_since.get_or_insert(now);
            return now >= since + RESET_AFTER;
        }
        self.unrooted_since = None;
        let Some(owner) = view.state.owner() else {
            return true;
        };
        view.state.is_released() || owner.node == self.node || !view.is_owner_alive
    }
}
