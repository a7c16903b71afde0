//! Progress deadlines of a stream, since a connection can go silent without an error.

use std::time::{Duration, Instant};

/// Settings of a [`Watchdog`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchdogConfig {
    /// Longest time to the first token.
    pub first_token_timeout: Duration,
    /// Longest time between two tokens.
    pub token_gap_timeout: Duration,
    /// Fresh connections that are tried without progress.
    pub max_resumes: u32,
}

impl Default for WatchdogConfig {
    fn default() -> Self {
        Self {
            first_token_timeout: Duration::from_secs(20),
            token_gap_timeout: Duration::from_secs(3),
            max_resumes: 3,
        }
    }
}

/// What to do with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchdogVerdict {
    /// Nothing until this time.
    Wait(Instant),
    /// Drop the connection and resume at this token on a fresh one.
    Resume {
        /// The first token wanted.
        from: u32,
    },
    /// Give the endpoint up for this call.
    GiveUp,
}

/// Watches one stream for progress.
///
/// ```
/// use galenapick::{Watchdog, WatchdogConfig, WatchdogVerdict};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut watchdog = Watchdog::new(WatchdogConfig::default(), now);
/// watchdog.record_progress(now, 5);
/// let later = now + Duration::from_secs(3);
/// assert_eq!(watchdog.poll(later), WatchdogVerdict::Resume { from: 5 });
/// ```
#[derive(Clone, Debug)]
pub struct Watchdog {
    cfg: WatchdogConfig,
    /// Tokens that have come.
    tokens: u32,
    /// Last progress or last fresh connection.
    deadline_start: Instant,
    /// Fresh connections since the last progress.
    resumes: u32,
}

impl Watchdog {
    /// Watches a stream that is opened now.
    pub fn new(cfg: WatchdogConfig, now: Instant) -> Self {
        Self {
            cfg,
            tokens: 0,
            deadline_start: now,
            resumes: 0,
        }
    }

    /// Notes that all tokens before `tokens` have come.
    pub fn record_progress(&mut self, now: Instant, tokens: u32) {
        if tokens > self.tokens {
            self.tokens = tokens;
            self.deadline_start = now;
            self.resumes = 0;
        }
    }

    /// Judges the stream; a verdict to resume starts the next deadline.
    pub fn poll(&mut self, now: Instant) -> WatchdogVerdict {
        let deadline = self.deadline();
        if now < deadline {
            return WatchdogVerdict::Wait(deadline);
        }
        if self.resumes >= self.cfg.max_resumes {
            return WatchdogVerdict::GiveUp;
        }
        self.resumes += 1;
        self.deadline_start = now;
        WatchdogVerdict::Resume { from: self.tokens }
    }

    fn deadline(&self) -> Instant {
        if self.tokens == 0 && self.resumes == 0 {
            self.deadline_start + self.cfg.first_token_timeout
        } else {
            self.deadline_start + self.cfg.token_gap_timeout
        }
    }
}
