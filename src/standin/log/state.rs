//! The streams of the log stand-in, independent of sockets and faults.

use super::control::LogControl;
use crate::ids::Offset;
use crate::protocol::log::{LogPage, LogRecord};
use crate::standin::bucket::TokenBucket;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Settings of a log stand-in.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// Maximum append rate over all streams, in appends per second.
    pub appends_per_s: f64,
    /// Maximum number of appends accepted in a burst.
    pub burst: f64,
    /// Retention time of records. Older records are removed.
    pub retention: Duration,
    /// Maximum number of records per stream. The oldest are removed first.
    pub retention_records: usize,
    /// Latency added to every answer.
    pub latency: Duration,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            appends_per_s: 400.0,
            burst: 100.0,
            retention: Duration::from_secs(24 * 3600),
            retention_records: usize::MAX,
            latency: Duration::ZERO,
            seed: 0,
        }
    }
}

/// Counters of a log stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LogCounts {
    /// Number of records appended.
    pub appends: u64,
    /// Number of data bytes appended.
    pub append_bytes: u64,
    /// Number of appends refused by the rate limit.
    pub throttled: u64,
    /// Number of reads answered.
    pub reads: u64,
    /// Number of data bytes read.
    pub read_bytes: u64,
    /// Number of appends whose answer was lost, including delayed ones.
    pub lost_answers: u64,
}

/// The streams of a log, with its limits and counters.
pub(crate) struct LogState {
    config: LogConfig,
    streams: BTreeMap<String, Stream>,
    append_rate: TokenBucket,
    /// The counters.
    pub(crate) counts: LogCounts,
}

/// An append-only stream.
///
/// Invariant: the records' offsets are `first`, `first + 1` and so on.
struct Stream {
    first: Offset,
    records: VecDeque<LogRecord>,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            first: 1,
            records: VecDeque::new(),
        }
    }
}

impl Stream {
    /// Returns the offset of the next append.
    fn next_offset(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    /// Removes the oldest record.
    fn remove_oldest(&mut self) {
        self.records.pop_front();
        self.first += 1;
    }
}

impl LogState {
    /// Creates a log without streams.
    pub(crate) fn new(config: LogConfig, now: Instant) -> Self {
        Self {
            append_rate: TokenBucket::new(config.appends_per_s, config.burst, now),
            config,
            streams: BTreeMap::new(),
            counts: LogCounts::default(),
        }
    }

    /// Applies a change of the append rate and the retention time.
    pub(crate) fn apply(&mut self, control: &LogControl) {
        if let Some(appends_per_s) = control.appends_per_s {
            self.append_rate.set_rate(appends_per_s);
        }
        if let Some(retention_ms) = control.retention_ms {
            self.config.retention = Duration::from_millis(retention_ms);
        }
    }

    /// Admits one append, or returns the time until it can be retried.
    pub(crate) fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let admitted = self.append_rate.take(now);
        if admitted.is_err() {
            self.counts.throttled += 1;
        }
        admitted
    }

    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, name: &str, data: Vec<u8>, now_ms: u64) -> Offset {
        self.counts.appends += 1;
        self.counts.append_bytes += data.len() as u64;
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back(LogRecord {
            offset,
            at_ms: now_ms,
            data,
        });
        self.apply_retention(name, now_ms);
        offset
    }

    /// Reads records from offset `from` on. If that offset is no longer retained, the error is the first
    /// retained offset.
    pub(crate) fn read(
        &mut self,
        name: &str,
        from: Offset,
        max_bytes: usize,
        now_ms: u64,
    ) -> Result<LogPage, Offset> {
        self.apply_retention(name, now_ms);
        let Some(stream) = self.streams.get(name) else {
            return Ok(LogPage {
                records: Vec::new(),
                first: 1,
                next: 1,
            });
        };
        let from = from.max(1);
        if from < stream.first {
            return Err(stream.first);
        }
        let skip = (from - stream.first) as usize;
        let records = take_page(stream.records.iter().skip(skip), max_bytes);
        let bytes: usize = records.iter().map(|record| record.data.len()).sum();
        self.counts.reads += 1;
        self.counts.read_bytes += bytes as u64;
        Ok(LogPage {
            records,
            first: stream.first,
            next: stream.next_offset(),
        })
    }

    /// Removes the records of a stream before `first`.
    pub(crate) fn trim(&mut self, name: &str, first: Offset) {
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        while stream.first < first && !stream.records.is_empty() {
            stream.remove_oldest();
        }
    }

    /// Returns all records of a stream.
    pub(crate) fn records(&self, name: &str) -> Vec<LogRecord> {
        let stream = self.streams.get(name);
        stream.map_or_else(Vec::new, |stream| stream.records.iter().cloned().collect())
    }

    /// Returns the names of the streams.
    pub(crate) fn stream_names(&self) -> Vec<String> {
        self.streams.keys().cloned().collect()
    }

    /// Removes the records of a stream that exceed the retention limits.
    fn apply_retention(&mut self, name: &str, now_ms: u64) {
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        let retention_ms = self.config.retention.as_millis() as u64;
        let min_time_ms = now_ms.saturating_sub(retention_ms);
        while stream.records.len() > self.config.retention_records {
            stream.remove_oldest();
        }
        while stream
            .records
            .front()
            .is_some_and(|record| record.at_ms < min_time_ms)
        {
            stream.remove_oldest();
        }
    }
}

/// Returns the first records with up to `max_bytes` bytes in total, but at least one record.
fn take_page<'a>(records: impl Iterator<Item = &'a LogRecord>, max_bytes: usize) -> Vec<LogRecord> {
    let mut taken = Vec::new();
    let mut bytes = 0;
    for record in records {
        bytes += record.data.len();
        if bytes > max_bytes && !taken.is_empty() {
            break;
        }
        taken.push(record.clone());
    }
    taken
}
