//! Shares the requests that crash endpoints between gateways: at once by datagrams, and in the
//! gateways topic for the time after all of them have restarted.

#[cfg(test)]
mod tests;

use crate::dialect::{Append, AppendOutcome, Dialect, KeyValue, Topic};
use crate::fleet::carrier::Report;
use crate::node::Gateway;
use crate::turns::record::{QuarantineRecord, decode, encode};
use event_listener::Event;
use galenapick::crashes::{Claimant, CrashReport, Fingerprint};
use galenapick::stable_hash;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reports of requests that crash endpoints, as they are sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct CrashReports(Vec<CrashReport>);

impl Report for CrashReports {
    const TAG: u8 = b'C';
}

/// Maximum number of reports in a datagram; together they take at most 4 KB.
pub(crate) const MAX_REPORTS: usize = 24;

/// Maximum number of reports that are read from a datagram; an earlier version sends more.
const MAX_REPORTS_READ: usize = 32;

/// Prefix of the keys of quarantined requests in the gateways topic. Names of VMs contain no colon.
const KEY_PREFIX: &str = "quarantine:";

/// Maximum number of quarantined requests that wait to be written to the store.
const MAX_WAITING: usize = 256;

/// Time that two datagrams between gateways take, with some delay in busy processes.
const MAX_REPORT_TRANSIT: Duration = Duration::from_millis(100);

/// Timeout of a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What is still to be told to others.
#[derive(Debug)]
pub(crate) struct CrashSync {
    changed: Event,
    /// Requests whose record in the store is to be written or deleted.
    sender: async_channel::Sender<Fingerprint>,
    receiver: async_channel::Receiver<Fingerprint>,
}

impl Default for CrashSync {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_WAITING);
        Self {
            changed: Event::new(),
            sender,
            receiver,
        }
    }
}

impl CrashSync {
    /// Wakes the task that sends reports.
    pub(crate) fn notify_changed(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Has the record of a request written, or deleted if it is no longer quarantined.
    pub(crate) fn enqueue(&self, fingerprint: Fingerprint) {
        if self.sender.try_send(fingerprint).is_err() {
            crate::event!("quarantine_not_stored", "fingerprint" => fingerprint.to_string());
        }
    }

    /// Waits for requests whose records must change.
    async fn next_batch(&self) -> BTreeSet<Fingerprint> {
        let mut batch = BTreeSet::new();
        // The sender lives as long as the receiver, so the channel is never closed.
        batch.extend(self.receiver.recv().await);
        while let Ok(fingerprint) = self.receiver.try_recv() {
            batch.insert(fingerprint);
        }
        batch
    }
}

/// Returns the fingerprint that a key of the gateways topic names, if it is that of a quarantined
/// request.
pub(crate) fn quarantine_fingerprint(key: &str) -> Option<Fingerprint> {
    key.strip_prefix(KEY_PREFIX)?.parse().ok()
}

impl<D: Dialect> Gateway<D> {
    /// Has all entries reported, for a new peer.
    pub(crate) fn report_all_crashes(&self) {
        let mut crashes = self.crashes.borrow_mut();
        crashes.report_all();
        if crashes.has_reports() {
            self.crash_sync.notify_changed();
        }
    }

    /// Sends crash reports to all peers until the process ends.
    pub(crate) async fn send_crash_reports(self: Rc<Self>) {
        loop {
            let changed = self.crash_sync.changed.listen();
            let reports = self
                .crashes
                .borrow_mut()
                .due_reports(Instant::now(), MAX_REPORTS);
            if !reports.is_empty() {
                // A lost datagram needs no retry here, because reports are repeated.
                self.carrier.send_to_all(&CrashReports(reports)).await;
            }
            if self.crashes.borrow().has_reports() {
                Timer::after(self.carrier.report_delay()).await;
            } else {
                changed.await;
            }
        }
    }

    /// Returns the name under which this gateway claims trials.
    pub(crate) fn claimant(&self) -> Claimant {
        stable_hash(&self.settings.name)
    }

    /// Returns the time in which peers that claim a trial at the same time report it here: each
    /// report waits for the previous one, and a claim may come just before that of this gateway
    /// arrives.
    pub(crate) fn claim_time(&self) -> Duration {
        if self.carrier.peers().is_empty() {
            return Duration::ZERO;
        }
        self.carrier.report_delay() * 2 + MAX_REPORT_TRANSIT
    }

    /// Merges the reports of a peer. The gateway that owns the first partition
    /// has quarantines stored that only the reports of several gateways together cause.
    pub(super) fn receive_crash_reports(&self, reports: &CrashReports, from: SocketAddr) {
        for report in reports.0.iter().take(MAX_REPORTS_READ) {
            let is_quarantined = self.merge_crash_report(report, &from.to_string());
            // Gateways that saw crashes at the same time all learn of the last one so.
            if is_quarantined && self.owns(0) {
                self.crash_sync.enqueue(report.fingerprint);
            }
        }
    }

    /// Merges a report and returns whether that changed the state of a request that is quarantined
    /// then.
    fn merge_crash_report(&self, report: &CrashReport, from: &str) -> bool {
        let merged = self.crashes.borrow_mut().merge(Instant::now(), report);
        let Some(suspicion) = merged else {
            return false;
        };
        crate::event!("crash_report_merged", "from" => from,
            "fingerprint" => report.fingerprint.to_string(), "age_ms" => report.age_ms,
            "lifetimes" => suspicion.lifetimes, "quarantined" => suspicion.is_quarantined);
        self.crash_sync.notify_changed();
        suspicion.is_quarantined
    }

    /// Merges the record of a quarantined request, or has it deleted if it has expired.
    pub(crate) fn apply_quarantine(&self, fingerprint: Fingerprint, value: &[u8]) {
        let record: QuarantineRecord = match decode(value) {
            Ok(record) => record,
            Err(error) => {
                crate::event!("record_unreadable",
                    "key" => quarantine_key(fingerprint), "error" => error);
                return;
            }
        };
        // A clock that was set back makes the crash recent, which only prolongs the quarantine.
        let age_ms = crate::events::unix_ms().saturating_sub(record.last_crash_unix_ms);
        let report = CrashReport {
            fingerprint,
            age_ms,
            lifetimes: record.lifetimes,
            prefix: record.prefix,
            unrepeated: record.unrepeated,
            trial: None,
        };
        self.merge_crash_report(&report, "store");
        if !self.crashes.borrow().is_quarantined(fingerprint) {
            self.crash_sync.enqueue(fingerprint);
        }
    }

    /// Forgets expired requests. The gateway that owns the first partition deletes their records.
    pub(crate) fn forget_expired_crashes(&self, now: Instant) {
        let expired = self.crashes.borrow_mut().forget_expired(now);
        if !expired.is_empty() && self.owns(0) {
            for fingerprint in expired {
                self.crash_sync.enqueue(fingerprint);
            }
        }
    }

    /// Writes the records of quarantined requests until the process ends.
    pub(crate) async fn store_quarantines(self: Rc<Self>) {
        let mut link = self.store_link();
        let producer = format!("{}-quarantine", self.producer());
        let mut sequence = 0;
        loop {
            let batch = self.crash_sync.next_batch().await;
            let records: Vec<KeyValue> = batch
                .into_iter()
                .map(|fingerprint| self.quarantine_record(fingerprint))
                .collect();
            let append = Append {
                topic: Topic::Gateways,
                producer: &producer,
                sequence,
                records: &records,
            };
            let call = D::build_append(&append);
            // A failed write is repeated with the same sequence number and the same records.
            loop {
                let answer = link.call(&call, WRITE_TIMEOUT).await;
                let outcome = answer.map(|(status, body)| D::parse_appended(status, &body));
                if outcome.is_ok_and(|outcome| !matches!(outcome, AppendOutcome::Failed)) {
                    break;
                }
                Timer::after(WRITE_RETRY_DELAY).await;
            }
            sequence += 1;
            crate::event!("quarantines_stored", "records" => records.len());
        }
    }

    /// Returns the record of a request with its key; without a value if it is not quarantined.
    fn quarantine_record(&self, fingerprint: Fingerprint) -> KeyValue {
        let crashes = self.crashes.borrow();
        let report = crashes.report(Instant::now(), fingerprint);
        let quarantined = report.filter(|_| crashes.is_quarantined(fingerprint));
        let value = quarantined.map(|report| {
            encode(&QuarantineRecord {
                last_crash_unix_ms: crate::events::unix_ms().saturating_sub(report.age_ms),
                lifetimes: report.lifetimes,
                prefix: report.prefix,
                unrepeated: report.unrepeated,
            })
        });
        (quarantine_key(fingerprint), value)
    }
}

fn quarantine_key(fingerprint: Fingerprint) -> String {
    format!("{KEY_PREFIX}{fingerprint}")
}
