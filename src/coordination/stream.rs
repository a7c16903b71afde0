//! Following a log stream, also one whose beginning is trimmed.

use crate::ids::Offset;
use crate::protocol::log::{LogError, LogPage};
use crate::state::stream::StreamFold;
use std::time::Duration;

/// Offsets before the stream's end that a first search for a root covers.
const SEARCH_SPAN: Offset = 64;

/// By how much a search grows that found no root.
const SEARCH_GROWTH: Offset = 8;

/// How long a read at the end of the stream waits for a record.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Pause after a search that found no root in the whole stream.
const LOST_PAUSE: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const ERROR_PAUSE: Duration = Duration::from_millis(250);

/// The next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TailRead {
    /// Pause before it.
    pub(crate) pause: Duration,
    /// The first offset.
    pub(crate) from: Offset,
    /// How long it waits for a first record.
    pub(crate) wait: Duration,
}

/// What the tail is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Folding record after record.
    Following,
    /// Asking where the stream, trimmed before `first`, ends.
    Measuring { first: Offset },
    /// Reading for records that name a root.
    Searching(Search),
}

/// A search for the newest root that a record names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Search {
    /// The first offset that the stream keeps.
    first: Offset,
    /// Where the search began.
    begin: Offset,
    /// The next offset to read.
    from: Offset,
    /// Where the stream ended.
    end: Offset,
    /// The newest root so far; 0 for none.
    root: Offset,
}

/// Follows a stream.
///
/// A reader that meets a trimmed offset starts at the newest root that a record near the end of
/// the stream names; if there is none, it looks again until there is one.
#[derive(Debug)]
pub(crate) struct Tail<F> {
    /// What the records are folded into.
    pub(crate) fold: F,
    phase: Phase,
    pause: Duration,
    caught_up: bool,
}

impl<F: StreamFold> Tail<F> {
    /// Starts at the stream's beginning.
    pub(crate) fn new(fold: F) -> Self {
        Self {
            fold,
            phase: Phase::Following,
            pause: Duration::ZERO,
            caught_up: false,
        }
    }

    /// Tells whether the stream has been read to its end at least once.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Tells whether records are being folded, and have been up to the end once.
    pub(crate) fn is_following(&self) -> bool {
        self.caught_up && self.phase == Phase::Following
    }

    /// Goes on where the fold is now, as after it took a state from elsewhere.
    pub(crate) fn resume(&mut self) {
        self.phase = Phase::Following;
        self.pause = Duration::ZERO;
    }

    /// Returns the next read.
    pub(crate) fn next_read(&self) -> TailRead {
        let (from, wait) = match self.phase {
            Phase::Following => (self.fold.next(), FOLLOW_WAIT),
            Phase::Measuring { first } => (first, Duration::ZERO),
            Phase::Searching(search) => (search.from, Duration::ZERO),
        };
        TailRead {
            pause: self.pause,
            from,
            wait,
        }
    }

    /// Takes what a read returned.
    pub(crate) fn on_page(&mut self, page: &LogPage) {
        self.pause = Duration::ZERO;
        match self.phase {
            Phase::Following => self.follow(page),
            Phase::Measuring { first } => self.search(first, page.next, SEARCH_SPAN),
            Phase::Searching(search) => self.search_page(search, page),
        }
    }

    /// Takes a failed read.
    pub(crate) fn on_error(&mut self, error: &LogError) {
        self.pause = match error {
            LogError::Trimmed { first } => {
                self.phase = Phase::Measuring { first: *first };
                Duration::ZERO
            }
            LogError::Throttled { retry_after } => *retry_after,
            LogError::Unavailable(_) => ERROR_PAUSE,
        };
    }

    fn follow(&mut self, page: &LogPage) {
        for record in &page.records {
            self.fold.apply(record);
        }
        self.caught_up |= self.fold.next() >= page.next;
    }

    fn search(&mut self, first: Offset, end: Offset, span: Offset) {
        let begin = end.saturating_sub(span).max(first);
        self.phase = Phase::Searching(Search {
            first,
            begin,
            from: begin,
            end,
            root: 0,
        });
    }

    fn search_page(&mut self, search: Search, page: &LogPage) {
        let named = page
            .records
            .iter()
            .filter_map(|record| F::root_of(&record.data));
        let root = named.fold(search.root, Offset::max);
        let search = Search { root, ..search };
        let last = page.records.last().map(|record| record.offset);
        match last {
            Some(last) if last + 1 < search.end => {
                self.phase = Phase::Searching(Search {
                    from: last + 1,
                    ..search
                });
            }
            _ => self.end_search(search),
        }
    }

    fn end_search(&mut self, search: Search) {
        let Search {
            first,
            begin,
            end,
            root,
            ..
        } = search;
        if root >= first && root > 0 {
            self.fold.restart_at(root);
            self.phase = Phase::Following;
        } else if begin > first {
            self.search(first, end, (end - begin).saturating_mul(SEARCH_GROWTH));
        } else {
            log::warn!(target: "log", "log: stream {} holds no root; waiting", F::STREAM);
            self.phase = Phase::Measuring { first };
            self.pause = LOST_PAUSE;
        }
    }
}
