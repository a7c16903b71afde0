//! Table of non-repeatable calls in a sidecar, which ensures that each runs at most once.

use crate::ids::{CallId, Epoch, Incarnation, Offset, Partition};
use crate::protocol::record::ActionResult;
use std::collections::{BTreeMap, VecDeque};

/// Estimated bytes of a call in the table without its result.
const CALL_BYTES: usize = 160;

/// Limits of a [`DispatchTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchLimits {
    /// Maximum number of calls in the table.
    pub max_calls: usize,
    /// Maximum estimated bytes of the calls and their results.
    pub max_bytes: usize,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            max_calls: 100_000,
            max_bytes: 16 << 20,
        }
    }
}

/// A dispatch of a call, or a query about one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dispatch {
    /// Partition whose owner sends this.
    pub partition: Partition,
    /// Epoch of that owner.
    pub epoch: Epoch,
    /// Offset of the first record that contains the call's intent.
    pub intent: Offset,
    /// Id of the call.
    pub call: CallId,
    /// Incarnation of the sidecar that the intent refers to.
    pub incarnation: Incarnation,
}

/// Result of [`DispatchTable::dispatch`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DispatchOutcome {
    /// The caller must run it now. This is returned at most once per call.
    Run,
    /// It was dispatched earlier and is still running.
    Running,
    /// It was dispatched or voided earlier; this is its result.
    Finished(ActionResult),
    /// This dispatch does not run it.
    Refused(DispatchError),
}

/// Reason why a dispatch is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DispatchError {
    /// It is meant for another incarnation of this sidecar.
    OtherIncarnation,
    /// A newer owner of the partition is known.
    OldEpoch,
    /// Its intent is so old that its record may have been evicted from the table.
    TooOld,
    /// The table is full and all calls in it are running.
    Full,
}

/// Result of [`DispatchTable::settle`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettleOutcome {
    /// The call is running.
    Running,
    /// The call has finished.
    Finished(ActionResult),
    /// The call was never dispatched, and will be refused from now on.
    Voided,
    /// This incarnation of the sidecar cannot know.
    Unknown,
    /// A newer owner of the partition is known, so the sender must not settle the call.
    OldEpoch,
}

/// State of a call in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallState {
    Running,
    Finished(ActionResult),
    Voided,
}

/// What the table knows of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Fence {
    /// Highest epoch seen.
    epoch: Epoch,
    /// Calls with intents up to this offset may have been evicted.
    evicted_up_to: Offset,
}

/// The calls of one incarnation of a sidecar.
///
/// Invariants: [`DispatchOutcome::Run`] is returned at most once per call. A call reported as
/// [`SettleOutcome::Voided`] never runs. The table reads no clock: evicted calls are fenced by the
/// offsets of their intents.
///
/// ```
/// use galenapick::{Dispatch, DispatchLimits, DispatchTable, DispatchOutcome, SettleOutcome};
///
/// let mut table = DispatchTable::new(5, DispatchLimits::default());
/// let call = Dispatch { partition: 0, epoch: 3, intent: 9, call: 77, incarnation: 5 };
/// assert_eq!(table.dispatch(&call), DispatchOutcome::Run);
/// assert_eq!(table.dispatch(&call), DispatchOutcome::Running);
///
/// let late = Dispatch { call: 78, ..call };
/// assert_eq!(table.settle(&late), SettleOutcome::Voided);
/// assert!(!matches!(table.dispatch(&late), DispatchOutcome::Run));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DispatchTable {
    incarnation: Incarnation,
    limits: DispatchLimits,
    fences: BTreeMap<Partition, Fence>,
    calls: BTreeMap<CallId, CallState>,
    /// Calls in the order in which they were added.
    order: VecDeque<(CallId, Partition, Offset)>,
    bytes: usize,
}

impl DispatchTable {
    /// Creates the empty table of one incarnation of a sidecar.
    pub fn new(incarnation: Incarnation, limits: DispatchLimits) -> Self {
        Self {
            incarnation,
            limits,
            fences: BTreeMap::new(),
            calls: BTreeMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Handles a dispatch and returns whether to run the call.
    pub fn dispatch(&mut self, dispatch: &Dispatch) -> DispatchOutcome {
        match self.calls.get(&dispatch.call) {
            Some(CallState::Running) => return DispatchOutcome::Running,
            Some(CallState::Finished(result)) => return DispatchOutcome::Finished(result.clone()),
            Some(CallState::Voided) => return DispatchOutcome::Finished(voided_result()),
            None => {}
        }
        if let Err(error) = self.admit(dispatch) {
            return DispatchOutcome::Refused(error);
        }
        self.insert(dispatch, CallState::Running);
        DispatchOutcome::Run
    }

    /// Records the result of a running call.
    pub fn finish(&mut self, call: CallId, result: ActionResult) {
        if let Some(state) = self.calls.get_mut(&call)
            && *state == CallState::Running
        {
            self.bytes += result_bytes(&result);
            *state = CallState::Finished(result);
            self.evict_to_limits();
        }
    }

    /// Returns the fate of a dispatch, and voids it if it never arrived.
    pub fn settle(&mut self, dispatch: &Dispatch) -> SettleOutcome {
        if dispatch.incarnation != self.incarnation {
            return SettleOutcome::Unknown;
        }
        if dispatch.epoch < self.fence(dispatch.partition).epoch {
            return SettleOutcome::OldEpoch;
        }
        self.raise_epoch(dispatch);
        match self.calls.get(&dispatch.call) {
            Some(CallState::Running) => SettleOutcome::Running,
            Some(CallState::Finished(result)) => SettleOutcome::Finished(result.clone()),
            Some(CallState::Voided) => SettleOutcome::Voided,
            None if dispatch.intent <= self.fence(dispatch.partition).evicted_up_to => {
                SettleOutcome::Unknown
            }
            None => {
                self.insert(dispatch, CallState::Voided);
                SettleOutcome::Voided
            }
        }
    }

    /// Returns the number of calls in the table.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Checks whether a call that is not in the table may run.
    fn admit(&mut self, dispatch: &Dispatch) -> Result<(), DispatchError> {
        if dispatch.incarnation != self.incarnation {
            return Err(DispatchError::OtherIncarnation);
        }
        let fence = self.fence(dispatch.partition);
        if dispatch.epoch < fence.epoch {
            return Err(DispatchError::OldEpoch);
        }
        if dispatch.intent <= fence.evicted_up_to {
            return Err(DispatchError::TooOld);
        }
        self.raise_epoch(dispatch);
        if self.is_full() && !self.evict_oldest_finished() {
            // Raise the fence so that a repeated frame cannot run the refused call later.
            self.fence_up_to(dispatch.partition, dispatch.intent);
            return Err(DispatchError::Full);
        }
        Ok(())
    }

    fn fence_up_to(&mut self, partition: Partition, intent: Offset) {
        let fence = self.fences.entry(partition).or_default();
        fence.evicted_up_to = fence.evicted_up_to.max(intent);
    }

    fn fence(&self, partition: Partition) -> Fence {
        self.fences.get(&partition).copied().unwrap_or_default()
    }

    fn raise_epoch(&mut self, dispatch: &Dispatch) {
        let fence = self.fences.entry(dispatch.partition).or_default();
        fence.epoch = fence.epoch.max(dispatch.epoch);
    }

    fn insert(&mut self, dispatch: &Dispatch, state: CallState) {
        self.calls.insert(dispatch.call, state);
        self.order
            .push_back((dispatch.call, dispatch.partition, dispatch.intent));
        self.bytes += CALL_BYTES;
        self.evict_to_limits();
    }

    fn is_full(&self) -> bool {
        self.calls.len() >= self.limits.max_calls || self.bytes >= self.limits.max_bytes
    }

    fn evict_to_limits(&mut self) {
        while self.calls.len() > self.limits.max_calls || self.bytes > self.limits.max_bytes {
            if !self.evict_oldest_finished() {
                return;
            }
        }
    }

    /// Evicts the oldest call that is not running and fences it. Returns false if there is none.
    fn evict_oldest_finished(&mut self) -> bool {
        let is_finished = |item: &(CallId, Partition, Offset)| {
            self.calls.get(&item.0) != Some(&CallState::Running)
        };
        let Some(index) = self.order.iter().position(is_finished) else {
            return false;
        };
        let Some((call, partition, intent)) = self.order.remove(index) else {
            return false;
        };
        self.fence_up_to(partition, intent);
        let result_size = match self.calls.remove(&call) {
            Some(CallState::Finished(result)) => result_bytes(&result),
            _ => 0,
        };
        self.bytes = self.bytes.saturating_sub(CALL_BYTES + result_size);
        true
    }
}

/// Result of a call that was voided before it was dispatched.
fn voided_result() -> ActionResult {
    ActionResult::NotRun("voided before it was dispatched".to_owned())
}

fn result_bytes(result: &ActionResult) -> usize {
    match result {
        ActionResult::Done(reply) => reply.body.len(),
        ActionResult::NotRun(reason) | ActionResult::Unknown(reason) => reason.len(),
    }
}
