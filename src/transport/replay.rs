//! An answer that is still growing and that several readers follow, also from the middle.

use event_listener::Event;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Part of an answer that has a position.
pub(crate) trait Part: Clone + Send + 'static {
    /// Position of its first unit.
    fn index(&self) -> u32;

    /// Position after its last unit.
    fn end(&self) -> u32;
}

/// A part that does not continue the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap;

/// One run of what makes an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Run {
    /// Names it; 0 before the first.
    pub(crate) id: u64,
    /// Where it runs.
    pub(crate) place: String,
}

/// What a reader gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Followed<P, R> {
    /// Parts that follow belong to this run and replace those of another.
    Started(Run),
    /// A part.
    Part(P),
    /// The end.
    End(R),
}

/// Invariants: `parts` are contiguous and belong to `run`; neither changes after `end` is set.
struct State<P, R> {
    run: Run,
    parts: Vec<P>,
    end: Option<R>,
    followers: usize,
    /// When the last follower left or the end came, whichever is later.
    idle_since: Instant,
}

struct Shared<P, R> {
    state: Mutex<State<P, R>>,
    changed: Event,
}

/// An answer that is still growing. Clones are the same answer.
pub(crate) struct Replay<P, R>(Arc<Shared<P, R>>);

impl<P, R> Clone for Replay<P, R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Part, R: Clone> Replay<P, R> {
    /// Makes an answer without parts.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                run: Run::default(),
                parts: Vec::new(),
                end: None,
                followers: 0,
                idle_since: Instant::now(),
            }),
            changed: Event::new(),
        }))
    }

    /// Makes an answer that is over.
    pub(crate) fn ended(end: R) -> Self {
        let replay = Self::new();
        replay.finish(end);
        replay
    }

    /// Says which run the next parts belong to; another run's parts are dropped.
    pub(crate) fn start(&self, run: Run) {
        let mut state = self.state();
        if state.run.id != run.id && state.end.is_none() {
            state.run = run;
            state.parts.clear();
        }
        drop(state);
        self.0.changed.notify(usize::MAX);
    }

    /// Adds a part; one that is there already is passed over.
    pub(crate) fn push(&self, part: P) -> Result<(), Gap> {
        let mut state = self.state();
        let next = state.parts.last().map_or(0, Part::end);
        if state.end.is_some() || part.end() <= next {
            return Ok(());
        }
        if part.index() != next {
            return Err(Gap);
        }
        state.parts.push(part);
        drop(state);
        self.0.changed.notify(usize::MAX);
        Ok(())
    }

    /// Ends the answer; the first end stands.
    pub(crate) fn finish(&self, end: R) {
        let mut state = self.state();
        state.end.get_or_insert(end);
        state.idle_since = Instant::now();
        drop(state);
        self.0.changed.notify(usize::MAX);
    }

    /// Returns the end if it is there.
    pub(crate) fn end(&self) -> Option<R> {
        self.state().end.clone()
    }

    /// Returns for how long nobody has followed.
    pub(crate) fn idle(&self) -> Duration {
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

    /// Reads the parts with `read`.
    pub(crate) fn with_parts<T>(&self, read: impl FnOnce(&[P]) -> T) -> T {
        read(&self.state().parts)
    }

    /// Follows the answer from a position on.
    ///
    /// The first part may begin before it if the position is inside a part.
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

/// Reads a [`Replay`] part by part.
pub(crate) struct Follower<P: Part, R: Clone> {
    replay: Replay<P, R>,
    run: u64,
    from: u32,
    next: u32,
}

impl<P: Part, R: Clone> Follower<P, R> {
    /// Waits for what comes next.
    pub(crate) async fn next(&mut self) -> Followed<P, R> {
        loop {
            let listener = self.replay.0.changed.listen();
            if let Some(followed) = self.poll() {
                return followed;
            }
            listener.await;
        }
    }

    fn poll(&mut self) -> Option<Followed<P, R>> {
        let state = self.replay.state();
        if state.run.id != self.run {
            // Another run's parts are of no use to a reader that has some of this one's.
            self.next = if self.run == 0 { self.from } else { 0 };
            self.run = state.run.id;
            return Some(Followed::Started(state.run.clone()));
        }
        let at = state.parts.partition_point(|part| part.end() <= self.next);
        if let Some(part) = state.parts.get(at) {
            self.next = part.end();
            return Some(Followed::Part(part.clone()));
        }
        state.end.clone().map(Followed::End)
    }
}

impl<P: Part, R: Clone> Drop for Follower<P, R> {
    fn drop(&mut self) {
        let mut state = self.replay.state();
        state.followers -= 1;
        state.idle_since = Instant::now();
    }
}
