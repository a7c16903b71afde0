//! Release of engine memory that no program needs any more.

use crate::ids::ProgramId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of [`CacheReleases`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseConfig {
    /// Time without confirmation by an owner after which a program's cache is released.
    pub unconfirmed_timeout: Duration,
    /// Time before the first repetition of a release; doubled by each further one.
    pub initial_backoff: Duration,
    /// Longest time between repetitions.
    pub max_backoff: Duration,
}

impl Default for ReleaseConfig {
    fn default() -> Self {
        Self {
            unconfirmed_timeout: Duration::from_secs(120),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(10),
        }
    }
}

/// A program that the engine may hold tokens of.
#[derive(Clone, Copy, Debug)]
enum CacheState {
    /// It is alive as far as known.
    Active {
        /// Last use or confirmation.
        confirmed_at: Instant,
        /// Calls of it that the engine runs.
        running: u32,
    },
    /// It is over.
    Releasing {
        /// When to tell the engine next.
        due_at: Instant,
        /// The wait after that.
        wait: Duration,
    },
}

/// Tracks whose cache an engine holds, and repeats each release until the engine agrees.
///
/// Invariant: a program leaves the table only when the engine has said that it holds nothing.
#[derive(Debug)]
pub struct CacheReleases {
    cfg: ReleaseConfig,
    programs: HashMap<ProgramId, CacheState>,
}

impl CacheReleases {
    /// Makes an empty table.
    pub fn new(cfg: ReleaseConfig) -> Self {
        Self {
            cfg,
            programs: HashMap::new(),
        }
    }

    /// Notes that a call of a program goes to the engine; it ends a release under way.
    pub fn begin_call(&mut self, now: Instant, program: ProgramId) {
        let running = match self.programs.get(&program) {
            Some(CacheState::Active { running, .. }) => *running,
            _ => 0,
        };
        let alive = CacheState::Active {
            confirmed_at: now,
            running: running + 1,
        };
        self.programs.insert(program, alive);
    }

    /// Notes that a call of a program has left the engine.
    pub fn finish_call(&mut self, now: Instant, program: ProgramId) {
        if let Some(CacheState::Active {
            confirmed_at,
            running,
        }) = self.programs.get_mut(&program)
        {
            *confirmed_at = now;
            *running = running.saturating_sub(1);
        }
    }

    /// Notes tokens that the engine reports to hold for a program not known here.
    pub fn add_reported(&mut self, now: Instant, program: ProgramId) {
        let alive = CacheState::Active {
            confirmed_at: now,
            running: 0,
        };
        self.programs.entry(program).or_insert(alive);
    }

    /// Notes that an owner has said that a program is alive.
    pub fn confirm(&mut self, now: Instant, program: ProgramId) {
        if let Some(CacheState::Active { confirmed_at, .. }) = self.programs.get_mut(&program) {
            *confirmed_at = now;
        }
    }

    /// Starts to release a program that is over.
    pub fn release(&mut self, now: Instant, program: ProgramId) {
        let releasing = CacheState::Releasing {
            due_at: now,
            wait: self.cfg.initial_backoff,
        };
        self.programs.insert(program, releasing);
    }

    /// Returns the programs whose release the engine must be told now.
    pub fn take_due(&mut self, now: Instant) -> Vec<ProgramId> {
        self.release_unconfirmed(now);
        let mut due = Vec::new();
        for (program, holding) in &mut self.programs {
            if let CacheState::Releasing { due_at, wait } = holding
                && *due_at <= now
            {
                due.push(*program);
                *due_at = now + *wait;
                *wait = (*wait * 2).min(self.cfg.max_backoff);
            }
        }
        due
    }

    /// Takes the engine's answer to a release: the tokens still held.
    pub fn on_release_answer(&mut self, program: ProgramId, held_tokens: u64) {
        let releasing = matches!(
            self.programs.get(&program),
            Some(CacheState::Releasing { .. })
        );
        if releasing && held_tokens == 0 {
            self.programs.remove(&program);
        }
    }

    /// Returns when [`CacheReleases::due`] has something to do next.
    pub fn next_due(&self) -> Option<Instant> {
        let at = |holding: &CacheState| match holding {
            CacheState::Releasing { due_at, .. } => Some(*due_at),
            CacheState::Active {
                confirmed_at,
                running: 0,
            } => Some(*confirmed_at + self.cfg.unconfirmed_timeout),
            CacheState::Active { .. } => None,
        };
        self.programs.values().filter_map(at).min()
    }

    /// Returns how many programs the engine may hold tokens of.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Tells whether the engine holds nothing as far as known.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Releases what no owner has confirmed for long.
    fn release_unconfirmed(&mut self, now: Instant) {
        for holding in self.programs.values_mut() {
            if let CacheState::Active {
                confirmed_at,
                running: 0,
            } = holding
                && *confirmed_at + self.cfg.unconfirmed_timeout <= now
            {
                *holding = CacheState::Releasing {
                    due_at: now,
                    wait: self.cfg.initial_backoff,
                };
            }
        }
    }
}
