//! A buffer for an answer that is still being produced. Several readers can follow it, each from its
//! own position.

#[cfg(test)]
mod tests;

use event_listener::Event;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A part of an answer, with its position in the answer.
pub(crate) trait Part: Clone + Send + 'static {
    /// Position of its first token.
    fn index(&self) -> u32;

    /// Position after its last token.
    fn end(&self) -> u32;
}

/// Error for a part that leaves a gap after the last part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap;

/// One attempt to produce an answer. A new run starts the answer over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Run {
    /// Id of the run; 0 before the first run.
    pub(crate) id: u64,
    /// Name of the sidecar node that produces the answer.
    pub(crate) node: String,
}

/// An event that a follower receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FollowEvent<P, R> {
    /// The following parts belong to this run; the reader must discard parts of an earlier run.
    Started(Run),
    /// The next part.
    Part(P),
    /// The result; no parts follow.
    End(R),
}

/// What runs have put into a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Delivered {
    /// Number of tokens.
    pub(crate) tokens: u64,
    /// Time from the first part to the last one of each run.
    pub(crate) time: Duration,
}

impl Delivered {
    fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            time: self.time + other.time,
        }
    }

    /// Returns what came after `earlier`.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(earlier.tokens),
            time: self.time.saturating_sub(earlier.time),
        }
    }
}

/// Invariants: `parts` are contiguous and belong to `run`; neither changes after `result` is set.
/// `dropped` counts the runs before `run`, each of them once.
struct State<P, R> {
    run: Run,
    parts: Vec<P>,
    dropped: Delivered,
    first_part_at: Instant,
    last_part_at: Instant,
    result: Option<R>,
    followers: usize,
    /// Time at which the last follower left or the answer ended, whichever is later.
    idle_since: Instant,
}

impl<P: Part, R> State<P, R> {
    fn delivered(&self) -> Delivered {
        let Some(last) = self.parts.last() else {
            return self.dropped;
        };
        self.dropped.plus(Delivered {
            tokens: u64::from(last.end()),
            time: self.last_part_at - self.first_part_at,
        })
    }
}

struct Shared<P, R> {
    state: Mutex<State<P, R>>,
    changed: Event,
}

/// An answer that is still being produced. Clones share the answer.
pub(crate) struct ReplayBuffer<P, R>(Arc<Shared<P, R>>);

impl<P, R> Clone for ReplayBuffer<P, R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Part, R: Clone> ReplayBuffer<P, R> {
    /// Creates an answer without parts.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                run: Run::default(),
                parts: Vec::new(),
                dropped: Delivered::default(),
                first_part_at: Instant::now(),
                last_part_at: Instant::now(),
                result: None,
                followers: 0,
                idle_since: Instant::now(),
            }),
            changed: Event::new(),
        }))
    }

    /// Creates an answer that has already ended.
    pub(crate) fn finished(result: R) -> Self {
        let replay = Self::new();
        replay.finish(result);
        replay
    }

    /// Starts a run. If it is another run, the parts of the previous one are dropped. No effect after
    /// the end.
    pub(crate) fn start(&self, run: Run) {
        let mut state = self.state();
        if state.run.id != run.id && state.result.is_none() {
            state.dropped = state.delivered();
            state.run = run;
            state.parts.clear();
        }
        drop(state);
        self.0.changed.notify(usize::MAX);
    }

    /// Appends a part. A part that is already there, or that comes after the end, is ignored.
    pub(crate) fn push(&self, part: P) -> Result<(), Gap> {
        let mut state = self.state();
        let next = state.parts.last().map_or(0, Part::end);
        if state.result.is_some() || part.end() <= next {
            return Ok(());
        }
        if part.index() != next {
            return Err(Gap);
        }
        state.last_part_at = Instant::now();
        if state.parts.is_empty() {
            state.first_part_at = state.last_part_at;
        }
        state.parts.push(part);
        drop(state);
        self.0.changed.notify(usize::MAX);
        Ok(())
    }

    /// Ends the answer. Only the first call sets the result.
    pub(crate) fn finish(&self, result: R) {
        let mut state = self.state();
        state.result.get_or_insert(result);
        state.idle_since = Instant::now();
        drop(state);
        self.0.changed.notify(usize::MAX);
    }

    /// Returns the result; `None` while the answer is being produced.
    pub(crate) fn result(&self) -> Option<R> {
        self.state().result.clone()
    }

    /// Returns the time without followers; zero while there are any.
    pub(crate) fn idle_time(&self) -> Duration {
        let state = self.state();
        match state.followers {
            0 => state.idle_since.elapsed(),
            _ => Duration::ZERO,
        }
    }

    /// Returns the position after the last part.
    pub(crate) fn next_index(&self) -> u32 {
        self.state().parts.last().map_or(0, Part::end)
    }

    /// Returns the current run, and what it and all runs before it have delivered.
    pub(crate) fn delivered(&self) -> (Run, Delivered) {
        let state = self.state();
        (state.run.clone(), state.delivered())
    }

    /// Returns what the runs before the current one have delivered.
    pub(crate) fn delivered_before(&self) -> Delivered {
        self.state().dropped
    }

    /// Calls `read` with the parts received so far.
    pub(crate) fn with_parts<T>(&self, read: impl FnOnce(&[P]) -> T) -> T {
        read(&self.state().parts)
    }

    /// Returns a reader that starts at a position.
    ///
    /// If the position is inside a part, the reader receives the whole part.
    pub(crate) fn follow(&self, from: u32) -> Follower<P, R> {
        self.state().followers += 1;
        Follower {
            replay: self.clone(),
            run: 0,
            from,
            next: from,
        }
    }

    fn state(&self) -> MutexGuard<'_, State<P, R>> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a [`ReplayBuffer`] part by part.
pub(crate) struct Follower<P: Part, R: Clone> {
    replay: ReplayBuffer<P, R>,
    run: u64,
    from: u32,
    next: u32,
}

impl<P: Part, R: Clone> Follower<P, R> {
    /// Waits for the next event.
    pub(crate) async fn next(&mut self) -> FollowEvent<P, R> {
        loop {
            let listener = self.replay.0.changed.listen();
            if let Some(event) = self.poll() {
                return event;
            }
            listener.await;
        }
    }

    fn poll(&mut self) -> Option<FollowEvent<P, R>> {
        let state = self.replay.state();
        if state.run.id != self.run {
            // A reader that has parts of an earlier run must read the new run from the beginning.
            self.next = if self.run == 0 { self.from } else { 0 };
            self.run = state.run.id;
            return Some(FollowEvent::Started(state.run.clone()));
        }
        let at = state.parts.partition_point(|part| part.end() <= self.next);
        if let Some(part) = state.parts.get(at) {
            self.next = part.end();
            return Some(FollowEvent::Part(part.clone()));
        }
        state.result.clone().map(FollowEvent::End)
    }
}

impl<P: Part, R: Clone> Drop for Follower<P, R> {
    fn drop(&mut self) {
        let mut state = self.replay.state();
        state.followers -= 1;
        state.idle_since = Instant::now();
    }
}
