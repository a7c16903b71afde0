//! Set-up of the process's log: layout and levels by part.

use crate::settings::{LogFormat, LogSettings};
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::FilterResult;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{FilterCriteria, Level, LevelFilter};
use logforth::{Diagnostic, Filter};
use std::collections::BTreeMap;

/// Starts logging to standard error. Does nothing if the process already logs.
pub(crate) fn start(settings: &LogSettings) {
    let filter = PartFilter::new(settings);
    let stderr = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .build();
    let bridge = LogBridge::new(logger);
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(most_verbose(settings));
    }
}

/// The most verbose level of any part, below which records are not even made.
fn most_verbose(settings: &LogSettings) -> log::LevelFilter {
    let parts = settings.part_levels.values().copied();
    parts.fold(settings.level, Ord::max)
}

/// Keeps records by the level of their part, which is the first word of the target.
#[derive(Debug)]
struct PartFilter {
    level: LevelFilter,
    part_levels: BTreeMap<String, LevelFilter>,
}

impl PartFilter {
    fn new(settings: &LogSettings) -> Self {
        let levels = settings.part_levels.iter();
        Self {
            level: level_filter(settings.level),
            part_levels: levels
                .map(|(part, level)| (part.clone(), level_filter(*level)))
                .collect(),
        }
    }

    fn level_of(&self, target: &str) -> LevelFilter {
        let part = target.split("::").next().unwrap_or_default();
        self.part_levels.get(part).copied().unwrap_or(self.level)
    }
}

impl Filter for PartFilter {
    fn enabled(&self, criteria: &FilterCriteria<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if self.level_of(criteria.target()).test(criteria.level()) {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}

fn level_filter(level: log::LevelFilter) -> LevelFilter {
    match level {
        log::LevelFilter::Off => LevelFilter::Off,
        log::LevelFilter::Error => LevelFilter::MoreSevereEqual(Level::Error),
        log::LevelFilter::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        log::LevelFilter::Info => LevelFilter::MoreSevereEqual(Level::Info),
        log::LevelFilter::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        log::LevelFilter::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}
