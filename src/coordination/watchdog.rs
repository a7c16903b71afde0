//! Progress deadlines of a token stream. They are needed because a connection can stop delivering
//! without an error.

use std::time::{Duration, Instant};

/// Settings of a [`Watchdog`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchdogConfig {
    /// Maximum time to the first token.
    pub first_token_timeout: Duration,
    /// Maximum time between two tokens.
    pub token_gap_timeout: Duration,
    /// Maximum number of successive new connections without progress.
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

/// Decision on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchdogVerdict {
    /// Poll again at this time.
    Wait(Instant),
    /// Close the connection and resume the stream on a new one.
    Resume {
        /// Index of the first token to request.
        from: u32,
    },
    /// Stop using the endpoint for this call.
    GiveUp,
}

/// Monitors the progress of one stream.
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
    /// Number of tokens received.
    tokens: u32,
    /// Time of the last progress or of the last new connection.
    deadline_start: Instant,
    /// New connections since the last progress.
    resumes: u32,
}

impl Watchdog {
    /// Creates a watchdog for a stream that is opened now.
    pub fn new(cfg: WatchdogConfig, now: Instant) -> Self {
        Self {
            cfg,
            tokens: 0,
            deadline_start: now,
            resumes: 0,
        }
    }

    /// Records that the first `tokens` tokens have been received.
    pub fn record_progress(&mut self, now: Instant, tokens: u32) {
        if tokens > self.tokens {
            self.tokens = tokens;
            self.deadline_start = now;
            self.resumes = 0;
        }
    }

    /// Returns the decision for now. A decision to resume starts the next deadline.
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
