//! Index of non-repeatable calls (actions), as recorded in the log.

use crate::ids::{CallId, Offset};
use crate::protocol::image::{Action, ActionPhase, Program};
use crate::protocol::record::{ActionResult, Intent, Outcome};
use crate::state::program::{EntryError, key_fingerprint};

impl ActionPhase {
    /// Returns whether the call has no outcome yet.
    pub fn is_open(self) -> bool {
        self == Self::Open
    }

    /// Returns whether an operator must resolve the call.
    pub fn is_unknown(self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Returns the offset of the outcome; `None` while the call is open.
    pub fn outcome(self) -> Option<Offset> {
        match self {
            Self::Open => None,
            Self::Done(offset) | Self::NotRun(offset) | Self::Unknown(offset) => Some(offset),
        }
    }

    /// Returns the same phase with its outcome at a new offset. An open phase is unchanged.
    fn with_offset(self, offset: Offset) -> Self {
        match self {
            Self::Open => Self::Open,
            Self::Done(_) => Self::Done(offset),
            Self::NotRun(_) => Self::NotRun(offset),
            Self::Unknown(_) => Self::Unknown(offset),
        }
    }
}

impl Program {
    /// Finds an action by its call.
    pub fn action(&self, call: CallId) -> Option<&Action> {
        self.actions.iter().find(|action| action.call == call)
    }

    /// Finds an action by the caller's idempotency key.
    pub fn action_by_key(&self, key: &str) -> Option<&Action> {
        let fingerprint = key_fingerprint(Some(key));
        self.actions.iter().find(|action| action.key == fingerprint)
    }

    /// Returns the actions without an outcome.
    pub fn open_actions(&self) -> impl Iterator<Item = &Action> {
        self.actions.iter().filter(|action| action.state.is_open())
    }

    /// Returns whether an operator must resolve one of the actions.
    pub fn has_unknown_action(&self) -> bool {
        self.actions.iter().any(|action| action.state.is_unknown())
    }

    /// Adds an open action for an intent.
    pub(crate) fn add_intent(&mut self, offset: Offset, intent: &Intent) -> Result<(), EntryError> {
        if self.action(intent.call).is_some() {
            return Err(EntryError::IntentTwice);
        }
        self.actions.push(Action {
            call: intent.call,
            branch: intent.branch,
            key: key_fingerprint(intent.key.as_deref()),
            intent: offset,
            offset,
            service: intent.service.clone(),
            endpoint: intent.endpoint.clone(),
            incarnation: intent.incarnation,
            reserved: intent.reserved,
            state: ActionPhase::Open,
        });
        Ok(())
    }

    /// Adds the outcome of an intent. An operator can resolve an unknown outcome later.
    pub(crate) fn add_outcome(
        &mut self,
        offset: Offset,
        outcome: &Outcome,
    ) -> Result<(), EntryError> {
        let action = self
            .actions
            .iter_mut()
            .find(|action| action.call == outcome.call)
            .ok_or(EntryError::OutcomeWithoutIntent)?;
        let resolves = action.state.is_unknown() && outcome.resolved_by.is_some();
        if !action.state.is_open() && !resolves {
            return Err(EntryError::OutcomeTwice);
        }
        action.state = match outcome.result {
            ActionResult::Done(_) => ActionPhase::Done(offset),
            ActionResult::NotRun(_) => ActionPhase::NotRun(offset),
            ActionResult::Unknown(_) => ActionPhase::Unknown(offset),
        };
        self.spent += outcome.spent;
        Ok(())
    }

    /// Updates the offset of an intent's body after a copy was appended.
    pub(crate) fn relocate_intent(&mut self, offset: Offset, call: CallId) {
        if let Some(action) = self.actions.iter_mut().find(|action| action.call == call) {
            action.offset = offset;
        }
    }

    /// Updates the offset of an outcome after a copy was appended.
    pub(crate) fn relocate_outcome(&mut self, offset: Offset, call: CallId) {
        if let Some(action) = self.actions.iter_mut().find(|action| action.call == call) {
            action.state = action.state.with_offset(offset);
        }
    }
}
