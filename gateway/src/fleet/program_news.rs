//! Tells other gateways which programs have begun and which were refused, while room is scarce.
//!
//! Clients whose request failed come back on a new connection, and with it to another gateway. That
//! gateway must not take a program under way for one that has just come, nor one that comes back for
//! a newcomer.

#[cfg(test)]
mod tests;

use crate::admission::programs::ProgramHash;
use crate::dialect::Dialect;
use crate::fleet::carrier::Report;
use crate::node::Gateway;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which news is kept until room is scarce. Programs that began before it have mostly ended.
const KEEP_FOR: Duration = Duration::from_secs(3);

/// Maximum number of programs in a report; together they take at most 6 KB.
const MAX_REPORTED: usize = 512;

/// Number of reports in which each program is told, so that a lost datagram does no harm.
const REPEATS: u8 = 2;

/// Programs that have begun or were refused at the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProgramNews {
    /// Programs that began, each with the time to its finish at its start, in ms; 0 if unknown.
    #[serde(rename = "b")]
    pub(crate) begun: Vec<(ProgramHash, u32)>,
    /// Programs that were refused.
    #[serde(rename = "r")]
    pub(crate) refused: Vec<ProgramHash>,
}

impl Report for ProgramNews {
    const TAG: u8 = b'W';
}

#[derive(Clone, Copy, Debug)]
struct Item {
    program: ProgramHash,
    /// Time to its finish; `None` if it was refused.
    finish_ms: Option<u32>,
    at: Instant,
    reports: u8,
}

/// News that is not told yet.
#[derive(Debug, Default)]
pub(crate) struct Unreported {
    items: VecDeque<Item>,
}

impl Unreported {
    /// Adds a program that began, with the time to its finish in ms.
    pub(crate) fn add_begun(&mut self, now: Instant, program: ProgramHash, finish_ms: u32) {
        self.add(now, program, Some(finish_ms));
    }

    /// Adds a program that was refused.
    pub(crate) fn add_refused(&mut self, now: Instant, program: ProgramHash) {
        self.add(now, program, None);
    }

    fn add(&mut self, now: Instant, program: ProgramHash, finish_ms: Option<u32>) {
        let is_old = |item: &Item| now.saturating_duration_since(item.at) >= KEEP_FOR;
        while self.items.front().is_some_and(is_old) || self.items.len() >= MAX_REPORTED {
            self.items.pop_front();
        }
        self.items.push_back(Item {
            program,
            finish_ms,
            at: now,
            reports: 0,
        });
    }

    /// Returns the next report; `None` if there is nothing to tell.
    pub(crate) fn next_report(&mut self, now: Instant) -> Option<ProgramNews> {
        self.items.retain(|item| {
            item.reports < REPEATS && now.saturating_duration_since(item.at) < KEEP_FOR
        });
        let mut news = ProgramNews::default();
        for item in &mut self.items {
            item.reports += 1;
            match item.finish_ms {
                Some(finish_ms) => news.begun.push((item.program, finish_ms)),
                None => news.refused.push(item.program),
            }
        }
        (!self.items.is_empty()).then_some(news)
    }
}

impl<D: Dialect> Gateway<D> {
    /// Sends news of programs while room is scarce, until the process ends.
    pub(crate) async fn send_program_news(self: Rc<Self>) {
        if !self.settings.terms.has_scarce_room {
            return;
        }
        loop {
            Timer::after(self.carrier.report_delay()).await;
            let news = self.next_program_news(Instant::now());
            if let Some(news) = news {
                self.carrier.send_to_all(&news).await;
            }
        }
    }
}
