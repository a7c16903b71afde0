//! Lifetimes of endpoints whose end was announced.
//!
//! An endpoint announces its end by its entry's state, by the removal of its entry or in an answer.
//! What still runs on it when it ends has not crashed it.

#[cfg(test)]
mod tests;

use galenapick::crashes::Lifetime;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Minimum time from the removal of an entry to the end of an endpoint that leaves as planned. A crash
/// may remove the entry too, but not before.
const MIN_NOTICE: Duration = Duration::from_millis(500);

/// Age from which on the list of endpoints is out of date. A removal that is read then may have
/// preceded the end by any time.
const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// Maximum time from an end to the read of an outdated list that explains it.
const MAX_READ_DELAY: Duration = Duration::from_secs(1);

/// Time for which ends and announcements are remembered; longer than any call lasts.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Maximum number of lifetimes.
const MAX_LIFETIMES: usize = 4_096;

/// How an end was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Announcement {
    /// The endpoint stated it, while it ran.
    Stated,
    /// Its entry was removed, which happens after a crash as well.
    Removed,
}

/// The end of a connection that may be the end of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ObservedEnd {
    at: Instant,
    /// Whether the list of endpoints was out of date.
    is_list_old: bool,
}

#[derive(Clone, Copy, Debug)]
enum Announced {
    Stated,
    Removed { read_at: Instant, is_list_old: bool },
}

impl Announced {
    fn covers(self, end: ObservedEnd) -> bool {
        match self {
            Self::Stated => true,
            Self::Removed {
                read_at,
                is_list_old,
            } => {
                let may_be_late = is_list_old || end.is_list_old;
                read_at + MIN_NOTICE <= end.at
                    || (may_be_late && read_at <= end.at + MAX_READ_DELAY)
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct End {
    announced: Option<Announced>,
    /// The last end of the endpoint's process that was observed.
    observed: Option<ObservedEnd>,
    noted_at: Instant,
}

/// Announced and observed ends of lifetimes.
#[derive(Debug, Default)]
pub(crate) struct AnnouncedEnds {
    /// At most [`MAX_LIFETIMES`].
    ends: HashMap<Lifetime, End>,
    /// When the list of endpoints was last read.
    list_read_at: Option<Instant>,
    /// Whether the list was out of date before that.
    was_list_old: bool,
}

impl AnnouncedEnds {
    /// Records that the list of endpoints has been read, before its changes are announced.
    pub(crate) fn record_read(&mut self, now: Instant) {
        self.was_list_old = self.is_list_old(now);
        self.list_read_at = Some(now);
    }

    /// Describes the end of a connection at this moment.
    pub(crate) fn end(&self, now: Instant) -> ObservedEnd {
        ObservedEnd {
            at: now,
            is_list_old: self.is_list_old(now),
        }
    }

    fn is_list_old(&self, now: Instant) -> bool {
        let read_at = self.list_read_at;
        read_at.is_none_or(|at| now.saturating_duration_since(at) >= MAX_LIST_AGE)
    }

    /// Records an announcement. Returns whether it explains an end that was observed before.
    pub(crate) fn announce(
        &mut self,
        now: Instant,
        lifetime: Lifetime,
        announcement: Announcement,
    ) -> bool {
        let is_list_old = self.was_list_old;
        let Some(end) = self.entry(now, lifetime) else {
            return false;
        };
        let was_covered = end.is_covered();
        let announced = match (announcement, end.announced) {
            (Announcement::Stated, _) => Announced::Stated,
            // Of several removals, the first counts.
            (Announcement::Removed, Some(announced)) => announced,
            (Announcement::Removed, None) => Announced::Removed {
                read_at: now,
                is_list_old,
            },
        };
        end.announced = Some(announced);
        !was_covered && end.is_covered()
    }

    /// Forgets the removal of an entry that is listed again.
    pub(crate) fn relist(&mut self, lifetime: Lifetime) {
        if let Some(end) = self.ends.get_mut(&lifetime) {
            let announced = end.announced;
            end.announced = announced.filter(|it| matches!(it, Announced::Stated));
        }
    }

    /// Returns whether an end was announced.
    pub(crate) fn covers(&self, lifetime: Lifetime, end: ObservedEnd) -> bool {
        let announced = self.ends.get(&lifetime).and_then(|known| known.announced);
        announced.is_some_and(|announced| announced.covers(end))
    }

    /// Records that the process of an endpoint has ended. Returns whether that was announced.
    pub(crate) fn observe_end(&mut self, observed: ObservedEnd, lifetime: Lifetime) -> bool {
        if let Some(end) = self.entry(observed.at, lifetime) {
            end.observed = Some(observed);
        }
        self.covers(lifetime, observed)
    }

    /// Returns the entry of a lifetime; `None` if there is no room for another one.
    fn entry(&mut self, now: Instant, lifetime: Lifetime) -> Option<&mut End> {
        if self.ends.len() >= MAX_LIFETIMES && !self.ends.contains_key(&lifetime) {
            self.ends
                .retain(|_, end| now.saturating_duration_since(end.noted_at) < REMEMBERED);
            if self.ends.len() >= MAX_LIFETIMES {
                return None;
            }
        }
        Some(self.ends.entry(lifetime).or_insert(End {
            announced: None,
            observed: None,
            noted_at: now,
        }))
    }
}

impl End {
    /// Returns whether an end was observed and announced.
    fn is_covered(&self) -> bool {
        let observed = self.announced.zip(self.observed);
        observed.is_some_and(|(announced, observed)| announced.covers(observed))
    }
}
