//! Set-up of logging: format, and levels by log target.

use crate::settings::{LogFormat, LogSettings};
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::FilterResult;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{FilterCriteria, Level, LevelFilter};
use logforth::{Diagnostic, Filter};
use std::collections::BTreeMap;

/// Starts logging to standard error. Has no effect if a logger is already installed.
pub(crate) fn start(settings: &LogSettings) {
    let filter = TargetFilter::new(settings);
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

/// Returns the most verbose level of any target. The `log` macros skip records below it.
fn most_verbose(settings: &LogSettings) -> log::LevelFilter {
    let levels = settings.target_levels.values().copied();
    levels.fold(settings.level, Ord::max)
}

/// Filters records by the level of their target, up to its first `::`.
#[derive(Debug)]
struct TargetFilter {
    level: LevelFilter,
    target_levels: BTreeMap<String, LevelFilter>,
}

impl TargetFilter {
    fn new(settings: &LogSettings) -> Self {
        let levels = settings.target_levels.iter();
        Self {
            level: level_filter(settings.level),
            target_levels: levels
                .map(|(target, level)| (target.clone(), level_filter(*level)))
                .collect(),
        }
    }

    fn level_of(&self, target: &str) -> LevelFilter {
        let name = target.split("::").next().unwrap_or_default();
        self.target_levels.get(name).copied().unwrap_or(self.level)
    }
}

impl Filter for TargetFilter {
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
