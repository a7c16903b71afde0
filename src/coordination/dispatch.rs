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
    pub calls: usize,
    /// Memory for calls and their results.
    pub bytes: usize,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            calls: 100_000,
            bytes: 16 << 20,
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
pub enum Dispatched {
    /// Run it now; this is said once for a call.
    Run,
    /// It was dispatched before and is running.
    Running,
    /// It was dispatched or voided before; this is its result.
    Over(ActionResult),
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
pub enum Settled {
    /// It is running.
    Running,
    /// It is over.
    Over(ActionResult),
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
    Over(ActionResult),
    Voided,
}

/// What is remembered of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Fence {
    /// The highest epoch heard of.
    epoch: Epoch,
    /// Calls with intents up to this offset may have been forgotten.
    forgotten: Offset,
}

/// The calls of one run of a sidecar.
///
/// Invariants: [`Dispatched::Run`] is returned at most once for a call; a call answered as
/// [`Settled::Voided`] is never run; no clock is read: what is forgotten is fenced by the offsets
/// of the intents.
///
/// ```
/// use galenapick::{Dispatch, DispatchLimits, DispatchTable, Dispatched, Settled};
///
/// let mut table = DispatchTable::new(5, DispatchLimits::default());
/// let call = Dispatch { partition: 0, epoch: 3, intent: 9, call: 77, incarnation: 5 };
/// assert_eq!(table.dispatch(&call), Dispatched::Run);
/// assert_eq!(table.dispatch(&call), Dispatched::Running);
///
/// let late = Dispatch { call: 78, ..call };
/// assert_eq!(table.settle(&late), Settled::Voided);
/// assert!(!matches!(table.dispatch(&late), Dispatched::Run));
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
    pub fn dispatch(&mut self, dispatch: &Dispatch) -> Dispatched {
        match self.calls.get(&dispatch.call) {
            Some(CallState::Running) => return Dispatched::Running,
            Some(CallState::Over(result)) => return Dispatched::Over(result.clone()),
            Some(CallState::Voided) => return Dispatched::Over(voided()),
            None => {}
        }
        if let Err(why) = self.admit(dispatch) {
            return Dispatched::Refused(why);
        }
        self.remember(dispatch, CallState::Running);
        Dispatched::Run
    }

    /// Learns the result of a running call.
    pub fn finish(&mut self, call: CallId, result: ActionResult) {
        if let Some(state) = self.calls.get_mut(&call)
            && *state == CallState::Running
        {
            self.bytes += result_bytes(&result);
            *state = CallState::Over(result);
            self.shrink();
        }
    }

    /// Says what became of a dispatch, and voids it if it never came.
    pub fn settle(&mut self, dispatch: &Dispatch) -> Settled {
        if dispatch.incarnation != self.incarnation {
            return Settled::Unknown;
        }
        if dispatch.epoch < self.fence(dispatch.partition).epoch {
            return Settled::OldEpoch;
        }
        self.raise(dispatch);
        match self.calls.get(&dispatch.call) {
            Some(CallState::Running) => Settled::Running,
            Some(CallState::Over(result)) => Settled::Over(result.clone()),
            Some(CallState::Voided) => Settled::Voided,
            None if dispatch.intent <= self.fence(dispatch.partition).forgotten => Settled::Unknown,
            None => {
                self.remember(dispatch, CallState::Voided);
                Settled::Voided
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
        if dispatch.intent <= fence.forgotten {
            return Err(DispatchError::TooOld);
        }
        self.raise(dispatch);
        if self.is_full() && !self.forget_one() {
            // A repeated frame must not run what was refused.
            self.forget_up_to(dispatch.partition, dispatch.intent);
            return Err(DispatchError::Full);
        }
        Ok(())
    }

    fn forget_up_to(&mut self, partition: Partition, intent: Offset) {
        let fence = self.fences.entry(partition).or_default();
        fence.forgotten = fence.forgotten.max(intent);
    }

    fn fence(&self, partition: Partition) -> Fence {
        self.fences.get(&partition).copied().unwrap_or_default()
    }

    fn raise(&mut self, dispatch: &Dispatch) {
        let fence = self.fences.entry(dispatch.partition).or_default();
        fence.epoch = fence.epoch.max(dispatch.epoch);
    }

    fn remember(&mut self, dispatch: &Dispatch, state: CallState) {
        self.calls.insert(dispatch.call, state);
        self.order
            .push_back((dispatch.call, dispatch.partition, dispatch.intent));
        self.bytes += CALL_BYTES;
        self.shrink();
    }

    fn is_full(&self) -> bool {
        self.calls.len() >= self.limits.calls || self.bytes >= self.limits.bytes
    }

    fn shrink(&mut self) {
        while self.calls.len() > self.limits.calls || self.bytes > self.limits.bytes {
            if !self.forget_one() {
                return;
            }
        }
    }

    /// Forgets the oldest call that is not running, and fences it; `false` if there is none.
    fn forget_one(&mut self) -> bool {
        let over = |item: &(CallId, Partition, Offset)| {
            self.calls.get(&item.0) != Some(&CallState::Running)
        };
        let Some(index) = self.order.iter().position(over) else {
            return false;
        };
        let Some((call, partition, intent)) = self.order.remove(index) else {
            return false;
        };
        self.forget_up_to(partition, intent);
        let result = match self.calls.remove(&call) {
            Some(CallState::Over(result)) => result_bytes(&result),
            _ => 0,
        };
        self.bytes = self.bytes.saturating_sub(CALL_BYTES + result);
        true
    }
}

/// The result of a call that was voided.
fn voided() -> ActionResult {
    ActionResult::NotRun("voided before it was dispatched".to_owned())
}

fn result_bytes(result: &ActionResult) -> usize {
    match result {
        ActionResult::Done(reply) => reply.body.len(),
        ActionResult::NotRun(why) | ActionResult::Unknown(why) => why.len(),
    }
}
