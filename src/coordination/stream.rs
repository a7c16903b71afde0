//! Follows a log stream, including one whose first records have been trimmed.
//!
//! A root is the offset of a checkpoint from which a fold can start instead of the first record.

use crate::ids::Offset;
use crate::protocol::log::{LogError, LogPage};
use crate::state::stream::StreamFold;
use std::time::Duration;

/// Number of offsets before the end of the stream that the first search for a root covers.
const FIRST_SEARCH_SPAN: Offset = 64;

/// Factor by which the next search covers more offsets if no root was found.
const SEARCH_GROWTH: Offset = 8;

/// Time for which a read at the end of the stream waits for a record.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Delay before the next search if the whole stream refers to no root.
const NO_ROOT_PAUSE: Duration = Duration::from_secs(1);

/// Delay before the next read after a failed one.
const ERROR_PAUSE: Duration = Duration::from_millis(250);

/// Parameters of the next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TailRead {
    /// Delay before the read.
    pub(crate) pause: Duration,
    /// First offset to read.
    pub(crate) from: Offset,
    /// Time for which the read waits for a first record.
    pub(crate) wait: Duration,
}

/// Phase of a [`Tail`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Applies each record to the fold.
    Following,
    /// Reads from `first`, before which the stream is trimmed, to learn the end of the stream.
    FindingEnd { first: Offset },
    /// Searches for records that refer to a root.
    Searching(Search),
}

/// Search for the newest root that a record refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Search {
    /// First offset that is not trimmed.
    first: Offset,
    /// First offset of the searched window.
    window_start: Offset,
    /// Next offset to read.
    from: Offset,
    /// End of the stream when the search started.
    end: Offset,
    /// Newest root found so far; 0 if none.
    root: Offset,
}

/// Follows a stream and applies its records to a fold.
///
/// If the next offset has been trimmed, the tail continues at the newest root that a record near
/// the end of the stream refers to. If there is none, it repeats the search until there is one.
#[derive(Debug)]
pub(crate) struct Tail<F> {
    /// Fold to which the records are applied.
    pub(crate) fold: F,
    phase: Phase,
    pause: Duration,
    caught_up: bool,
}

impl<F: StreamFold> Tail<F> {
    /// Creates a tail that starts at the beginning of the stream.
    pub(crate) fn new(fold: F) -> Self {
        Self {
            fold,
            phase: Phase::Following,
            pause: Duration::ZERO,
            caught_up: false,
        }
    }

    /// Returns whether the stream has been read to its end at least once.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns whether the tail is applying records and has reached the end of the stream at least
    /// once.
    pub(crate) fn is_following(&self) -> bool {
        self.caught_up && self.phase == Phase::Following
    }

    /// Continues at the fold's next offset, for example after the fold adopted a state from
    /// elsewhere.
    pub(crate) fn resume(&mut self) {
        self.phase = Phase::Following;
        self.pause = Duration::ZERO;
    }

    /// Returns the parameters of the next read.
    pub(crate) fn next_read(&self) -> TailRead {
        let (from, wait) = match self.phase {
            Phase::Following => (self.fold.next(), FOLLOW_WAIT),
            Phase::FindingEnd { first } => (first, Duration::ZERO),
            Phase::Searching(search) => (search.from, Duration::ZERO),
        };
        TailRead {
            pause: self.pause,
            from,
            wait,
        }
    }

    /// Handles the page that a read returned.
    pub(crate) fn on_page(&mut self, page: &LogPage) {
        self.pause = Duration::ZERO;
        match self.phase {
            Phase::Following => self.follow(page),
            Phase::FindingEnd { first } => self.start_search(first, page.next, FIRST_SEARCH_SPAN),
            Phase::Searching(search) => self.on_search_page(search, page),
        }
    }

    /// Handles a failed read.
    pub(crate) fn on_error(&mut self, error: &LogError) {
        self.pause = match error {
            LogError::Trimmed { first } => {
                self.phase = Phase::FindingEnd { first: *first };
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

    fn start_search(&mut self, first: Offset, end: Offset, span: Offset) {
        let begin = end.saturating_sub(span).max(first);
        self.phase = Phase::Searching(Search {
            first,
            window_start: begin,
            from: begin,
            end,
            root: 0,
        });
    }

    fn on_search_page(&mut self, search: Search, page: &LogPage) {
        let roots = page
            .records
            .iter()
            .filter_map(|record| F::root_of(&record.data));
        let root = roots.fold(search.root, Offset::max);
        let search = Search { root, ..search };
        let last = page.records.last().map(|record| record.offset);
        match last {
            Some(last) if last + 1 < search.end => {
                self.phase = Phase::Searching(Search {
                    from: last + 1,
                    ..search
                });
            }
            _ => self.finish_search(search),
        }
    }

    fn finish_search(&mut self, search: Search) {
        let Search {
            first,
            window_start: begin,
            end,
            root,
            ..
        } = search;
        if root >= first && root > 0 {
            self.fold.restart_at(root);
            self.phase = Phase::Following;
        } else if begin > first {
            self.start_search(first, end, (end - begin).saturating_mul(SEARCH_GROWTH));
        } else {
            log::warn!(target: "log", "log: stream {} is trimmed and refers to no root; searching again later", F::STREAM);
            self.phase = Phase::FindingEnd { first };
            self.pause = NO_ROOT_PAUSE;
        }
    }
}
