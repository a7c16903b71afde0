//! Release of engine caches that no program needs any more.

use crate::ids::ProgramId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of [`CacheReleases`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseConfig {
    /// Time without confirmation by the owner after which a program's cache is released.
    pub unconfirmed_timeout: Duration,
    /// Delay before a release is repeated for the first time; doubled for each further repetition.
    pub initial_backoff: Duration,
    /// Maximum delay between repetitions.
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

/// State of a program whose tokens the engine may cache.
#[derive(Clone, Copy, Debug)]
enum CacheState {
    /// The program is believed to be running.
    Active {
        /// Time of the last use or confirmation.
        confirmed_at: Instant,
        /// Number of its calls that run at the engine.
        running: u32,
    },
    /// The program has ended and its cache is being released.
    Releasing {
        /// Time of the next release request to the engine.
        due_at: Instant,
        /// Delay between that request and the one after it.
        backoff: Duration,
    },
}

/// Tracks the programs that an engine may cache, and repeats each release until the engine confirms
/// it.
///
/// Invariant: a program is removed only after the engine has confirmed that it caches no tokens of
/// it.
#[derive(Debug)]
pub struct CacheReleases {
    cfg: ReleaseConfig,
    programs: HashMap<ProgramId, CacheState>,
}

impl CacheReleases {
    /// Creates an empty table.
    pub fn new(cfg: ReleaseConfig) -> Self {
        Self {
            cfg,
            programs: HashMap::new(),
        }
    }

    /// Records that a call of a program is sent to the engine. This cancels a pending release.
    pub fn begin_call(&mut self, now: Instant, program: ProgramId) {
        let running = match self.programs.get(&program) {
            Some(CacheState::Active { running, .. }) => *running,
            _ => 0,
        };
        let active = CacheState::Active {
            confirmed_at: now,
            running: running + 1,
        };
        self.programs.insert(program, active);
    }

    /// Records that a call of a program has ended.
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

    /// Adds a program for which the engine reports cached tokens, if the program is unknown.
    pub fn add_reported(&mut self, now: Instant, program: ProgramId) {
        let active = CacheState::Active {
            confirmed_at: now,
            running: 0,
        };
        self.programs.entry(program).or_insert(active);
    }

    /// Records that the owner has confirmed that a program is running.
    pub fn confirm(&mut self, now: Instant, program: ProgramId) {
        if let Some(CacheState::Active { confirmed_at, .. }) = self.programs.get_mut(&program) {
            *confirmed_at = now;
        }
    }

    /// Starts the release of a program that has ended.
    pub fn release(&mut self, now: Instant, program: ProgramId) {
        let releasing = CacheState::Releasing {
            due_at: now,
            backoff: self.cfg.initial_backoff,
        };
        self.programs.insert(program, releasing);
    }

    /// Returns the programs whose release to request from the engine now, and schedules the
    /// repetitions.
    pub fn take_due(&mut self, now: Instant) -> Vec<ProgramId> {
        self.release_unconfirmed(now);
        let mut due = Vec::new();
        for (program, state) in &mut self.programs {
            if let CacheState::Releasing { due_at, backoff } = state
                && *due_at <= now
            {
                due.push(*program);
                *due_at = now + *backoff;
                *backoff = (*backoff * 2).min(self.cfg.max_backoff);
            }
        }
        due
    }

    /// Handles the engine's answer to a release, which contains the number of tokens still cached.
    pub fn on_release_answer(&mut self, program: ProgramId, held_tokens: u64) {
        let is_releasing = matches!(
            self.programs.get(&program),
            Some(CacheState::Releasing { .. })
        );
        if is_releasing && held_tokens == 0 {
            self.programs.remove(&program);
        }
    }

    /// Returns the time at which [`CacheReleases::take_due`] has work next.
    pub fn next_due(&self) -> Option<Instant> {
        let due_at_of = |state: &CacheState| match state {
            CacheState::Releasing { due_at, .. } => Some(*due_at),
            CacheState::Active {
                confirmed_at,
                running: 0,
            } => Some(*confirmed_at + self.cfg.unconfirmed_timeout),
            CacheState::Active { .. } => None,
        };
        self.programs.values().filter_map(due_at_of).min()
    }

    /// Returns the number of programs that the engine may cache.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether no program is tracked.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Starts the release of idle programs that were not confirmed in time.
    fn release_unconfirmed(&mut self, now: Instant) {
        for state in self.programs.values_mut() {
            if let CacheState::Active {
                confirmed_at,
                running: 0,
            } = state
                && *confirmed_at + self.cfg.unconfirmed_timeout <= now
            {
                *state = CacheState::Releasing {
                    due_at: now,
                    backoff: self.cfg.initial_backoff,
                };
            }
        }
    }
}
