//! Following the configuration stream, also one whose beginning is trimmed.

use crate::ids::Offset;
use crate::protocol::configuration::{ConfigurationImage, ConfigurationRecord};
use crate::protocol::log::{LogError, LogPage};
use crate::state::configuration::{ConfigurationFold, Folded};
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

/// Parts of the retention after which the configuration is carried over again.
const CARRY_RETENTION_PARTS: u64 = 4;

/// One node of so many carries over at each look, so that they rarely do it together.
const CARRY_ODDS: usize = 8;

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
    /// Reading from `from` to `end` for records that name a root, first read at `begin`.
    Searching {
        first: Offset,
        begin: Offset,
        from: Offset,
        end: Offset,
        root: Offset,
    },
}

/// Follows the stream.
///
/// A reader that meets a trimmed offset starts at the newest root that a record near the end of
/// the stream names; if there is none, it waits for one or for another node's configuration.
#[derive(Debug)]
pub(crate) struct Tail {
    fold: ConfigurationFold,
    phase: Phase,
    pause: Duration,
    caught_up: bool,
    rng: fastrand::Rng,
}

impl Tail {
    /// Starts at the stream's beginning.
    pub(crate) fn new(rng: fastrand::Rng) -> Self {
        Self {
            fold: ConfigurationFold::default(),
            phase: Phase::Following,
            pause: Duration::ZERO,
            caught_up: false,
            rng,
        }
    }

    /// Returns the fold.
    pub(crate) fn fold(&self) -> &ConfigurationFold {
        &self.fold
    }

    /// Tells whether the stream has been read to its end at least once, or a node's configuration
    /// was taken over.
    pub(crate) fn is_ready(&self) -> bool {
        self.caught_up || self.fold.current().version() > 0
    }

    /// Returns the next read.
    pub(crate) fn next_read(&self) -> TailRead {
        let (from, wait) = match self.phase {
            Phase::Following => (self.fold.next(), FOLLOW_WAIT),
            Phase::Measuring { first } => (first, Duration::ZERO),
            Phase::Searching { from, .. } => (from, Duration::ZERO),
        };
        TailRead {
            pause: self.pause,
            from,
            wait,
        }
    }

    /// Takes what a read returned; tells whether the configuration changed.
    pub(crate) fn on_page(&mut self, page: &LogPage) -> bool {
        self.pause = Duration::ZERO;
        match self.phase {
            Phase::Following => self.follow(page),
            Phase::Measuring { first } => {
                self.search(first, page.next, SEARCH_SPAN);
                false
            }
            Phase::Searching { .. } => {
                self.search_page(page);
                false
            }
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

    /// Takes another node's configuration, folded up to `next`; tells whether it was newer.
    pub(crate) fn on_image(&mut self, image: &ConfigurationImage, next: Offset) -> bool {
        let newer = self.fold.adopt(image, next);
        if self.fold.next() == next {
            self.phase = Phase::Following;
            self.pause = Duration::ZERO;
        }
        newer
    }

    /// Returns a record that carries the configuration over, if one is due.
    pub(crate) fn carry(&mut self, now_ms: u64, retention_ms: u64) -> Option<ConfigurationRecord> {
        let image = self.fold.current().image();
        let following = self.caught_up && self.phase == Phase::Following;
        if !following || image.version == 0 {
            return None;
        }
        let oldest = image.environments.iter().flat_map(|e| &e.changes);
        let since_ms = match self.fold.named() {
            Some(named) => named.at_ms,
            None => oldest.map(|note| note.at_ms).min().unwrap_or(0),
        };
        let due = now_ms.saturating_sub(since_ms) > retention_ms / CARRY_RETENTION_PARTS;
        if !due || self.rng.usize(..CARRY_ODDS) != 0 {
            return None;
        }
        Some(ConfigurationRecord::Carried {
            root: self.fold.root(),
            image: image.clone(),
        })
    }

    fn follow(&mut self, page: &LogPage) -> bool {
        let mut changed = false;
        for record in &page.records {
            changed |= self.fold.fold(record) == Folded::Accepted;
        }
        self.caught_up |= self.fold.next() >= page.next;
        changed
    }

    fn search(&mut self, first: Offset, end: Offset, span: Offset) {
        let begin = end.saturating_sub(span).max(first);
        self.phase = Phase::Searching {
            first,
            begin,
            from: begin,
            end,
            root: 0,
        };
    }

    fn search_page(&mut self, page: &LogPage) {
        let Phase::Searching {
            first,
            begin,
            end,
            root,
            ..
        } = self.phase
        else {
            return;
        };
        let named = page
            .records
            .iter()
            .filter_map(|record| named_root(&record.data));
        let root = named.fold(root, Offset::max);
        let last = page.records.last().map(|record| record.offset);
        match last {
            Some(last) if last + 1 < end => {
                self.phase = Phase::Searching {
                    first,
                    begin,
                    from: last + 1,
                    end,
                    root,
                };
            }
            _ => self.end_search(first, begin, end, root),
        }
    }

    fn end_search(&mut self, first: Offset, begin: Offset, end: Offset, root: Offset) {
        if root >= first && root > 0 {
            self.fold.restart(root);
            self.phase = Phase::Following;
        } else if begin > first {
            self.search(first, end, (end - begin).saturating_mul(SEARCH_GROWTH));
        } else {
            log::warn!(target: "configuration", "configuration: the log holds no root; waiting");
            self.phase = Phase::Measuring { first };
            self.pause = LOST_PAUSE;
        }
    }
}

fn named_root(data: &[u8]) -> Option<Offset> {
    let record: ConfigurationRecord = ciborium::from_reader(data).ok()?;
    Some(record.root())
}
