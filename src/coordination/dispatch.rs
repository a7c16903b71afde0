//! What a sidecar remembers of calls that may not be repeated, so that each runs at most once.

use crate::ids::{CallId, Epoch, Incarnation, Offset, Partition};
use crate::protocol::record::ActionResult;
use std::collections::{BTreeMap, VecDeque};

/// Memory of a remembered call besides its result.
const CALL_BYTES: usize = 160;

/// Bounds of a [`DispatchTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchLimits {
    /// Calls remembered.
    pub max_calls: usize,
    /// Memory for calls and their results.
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

/// A dispatch, or a question about one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dispatch {
    /// The partition whose owner speaks.
    pub partition: Partition,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Offset of the intent's first record.
    pub intent: Offset,
    /// The call.
    pub call: CallId,
    /// The run of the sidecar that the intent names.
    pub incarnation: Incarnation,
}

/// The answer to a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DispatchOutcome {
    /// Run it now; this is said once for a call.
    Run,
    /// It was dispatched before and is running.
    Running,
    /// It was dispatched or voided_result before; this is its result.
    Finished(ActionResult),
    /// It is not run because of this dispatch.
    Refused(DispatchError),
}

/// Why a dispatch is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DispatchError {
    /// It is for another run of this sidecar.
    OtherIncarnation,
    /// A newer owner of the partition has spoken.
    OldEpoch,
    /// It is older than what is remembered.
    TooOld,
    /// Too many calls are running.
    Full,
}

/// The answer to a question about a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettleOutcome {
    /// It is running.
    Running,
    /// It is over.
    Finished(ActionResult),
    /// It was never seen, and will be refused from now on.
    Voided,
    /// This run of the sidecar cannot know.
    Unknown,
    /// A newer owner of the partition has spoken; the asker has no say.
    OldEpoch,
}

/// State of a remembered call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallState {
    Running,
    Finished(ActionResult),
    Voided,
}

/// What is remembered of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Fence {
    /// The highest epoch heard of.
    epoch: Epoch,
    /// Calls with intents up to this offset may have been forgotten.
    evicted_up_to: Offset,
}

/// The calls of one run of a sidecar.
///
/// Invariants: [`DispatchOutcome::Run`] is returned at most once for a call; a call answered as
/// [`SettleOutcome::Voided`] is never run; no clock is read: what is forgotten is fenced by the offsets
/// of the intents.
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
    /// Calls in the order in which they were met.
    order: VecDeque<(CallId, Partition, Offset)>,
    bytes: usize,
}

impl DispatchTable {
    /// Makes the table of one run of a sidecar.
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

    /// Takes a dispatch.
    pub fn dispatch(&mut self, dispatch: &Dispatch) -> DispatchOutcome {
        match self.calls.get(&dispatch.call) {
            Some(CallState::Running) => return DispatchOutcome::Running,
            Some(CallState::Finished(result)) => return DispatchOutcome::Finished(result.clone()),
            Some(CallState::Voided) => return DispatchOutcome::Finished(voided_result()),
            None => {}
        }
        if let Err(why) = self.admit(dispatch) {
            return DispatchOutcome::Refused(why);
        }
        self.insert(dispatch, CallState::Running);
        DispatchOutcome::Run
    }

    /// Learns the result of a running call.
    pub fn finish(&mut self, call: CallId, result: ActionResult) {
        if let Some(state) = self.calls.get_mut(&call)
            && *state == CallState::Running
        {
            self.bytes += result_bytes(&result);
            *state = CallState::Finished(result);
            self.evict_to_limits();
        }
    }

    /// Says what became of a dispatch, and voids it if it never came.
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

    /// Calls remembered.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Tells whether a call that is not remembered may run.
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
            // A repeated frame must not run what was refused.
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

    /// Forgets the oldest call that is not running, and fences it; `false` if there is none.
    fn evict_oldest_finished(&mut self) -> bool {
        let over = |item: &(CallId, Partition, Offset)| {
            self.calls.get(&item.0) != Some(&CallState::Running)
        };
        let Some(index) = self.order.iter().position(over) else {
            return false;
        };
        let Some((call, partition, intent)) = self.order.remove(index) else {
            return false;
        };
        self.fence_up_to(partition, intent);
        let result = match self.calls.remove(&call) {
            Some(CallState::Finished(result)) => result_bytes(&result),
            _ => 0,
        };
        self.bytes = self.bytes.saturating_sub(CALL_BYTES + result);
        true
    }
}

/// The result of a call that was voided_result.
fn voided_result() -> ActionResult {
    ActionResult::NotRun("voided_result before it was dispatched".to_owned())
}

fn result_bytes(result: &ActionResult) -> usize {
    match result {
        ActionResult::Done(reply) => reply.body.len(),
        ActionResult::NotRun(why) | ActionResult::Unknown(why) => why.len(),
    }
}
