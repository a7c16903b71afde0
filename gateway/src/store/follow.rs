//! Readers of the store's topics: turns, gateways and endpoints.

use crate::choice::announced_ends::Announcement;
use crate::choice::endpoints::EndpointRecord;
use crate::dialect::{
    Dialect, KeyValue, NewestPage, Offset, PartId, PartitionNumber, ReadOutcome, StoreRecord, Topic,
};
use crate::fleet::crash_reports::quarantine_fingerprint;
use crate::node::Gateway;
use crate::store::link::StoreLink;
use crate::turns::partition::Partition;
use crate::turns::record::decode;
use galenapick::crashes::lifetime;
use smol::Timer;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between reads of an owned partition when no caller waits for one. Other gateways rarely
/// write to it, and it is read before any request is denied, so the interval only bounds the age of
/// their records.
const TURNS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks which partitions this gateway owns. Heartbeats of peers may be just as
/// old.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without use after which a partition that this gateway does not own is unloaded. A gateway
/// that left may be back from a restart by then.
const UNLOAD_AFTER: Duration = Duration::from_secs(30);

/// Interval between checks whether the peers' addresses are known.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Initial interval between reads of the gateways topic. Each further read doubles it, because
/// gateways that start together may miss each other's first record.
const MIN_GATEWAYS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum interval between reads of the gateways topic. A new gateway also announces itself by
/// datagrams.
const MAX_GATEWAYS_POLL_INTERVAL: Duration = Duration::from_secs(8);

/// Interval between reads of the endpoints topic, a fraction of the time within which a leaving
/// endpoint must stop receiving work.
const ENDPOINTS_POLL_INTERVAL: Duration = Duration::from_millis(350);

/// Time allowed for a read in addition to its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a page of newest records, which may contain a megabyte.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after the first failed call. Each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

impl<D: Dialect> Gateway<D> {
    /// Appends this gateway's records to a partition of the turns topic until the process ends.
    pub(crate) async fn commit_turns(self: Rc<Self>, number: PartitionNumber) {
        let partition = &self.partitions[number as usize];
        let producer = self.producer();
        let on_appended = |first_offset, records: Vec<KeyValue>| {
            self.apply_own_records(partition, first_offset, records)
        };
        let committer = &partition.committer;
        committer
            .run(self.store_link(), &producer, on_appended)
            .await;
    }

    /// Reads a partition of the turns topic while this gateway owns or uses it. Runs until the
    /// process ends.
    pub(crate) async fn follow_turns(self: Rc<Self>, number: PartitionNumber) {
        let partition = &self.partitions[number as usize];
        let mut link = self.store_link();
        self.wait_for_peers().await;
        loop {
            while !partition.is_read_requested() && !self.owns(number) {
                partition
                    .wait_for_read_request(OWNERSHIP_CHECK_INTERVAL)
                    .await;
            }
            let started_at = Instant::now();
            let read_number = partition.begin_read();
            let (next_offset, records) = self.load(&mut link, partition.topic()).await;
            self.apply_turns(partition, &records);
            partition.mark_loaded(next_offset);
            partition.end_read(Some(read_number));
            crate::event!("turns_loaded", "partition" => number,
                "turns" => partition.index.borrow().len(),
                "took_ms" => started_at.elapsed().as_millis());
            self.update_turns_loaded();
            let stop_reason = self.tail_turns(partition, &mut link).await;
            crate::event!("turns_not_followed", "partition" => number,
                "position" => partition.next_offset(), "reason" => stop_reason.to_string());
            if stop_reason == StopReason::Unused {
                partition.unload();
            }
        }
    }

    /// Waits until the peers that may own partitions are known. Without them, this gateway would
    /// load all partitions.
    async fn wait_for_peers(&self) {
        while !self.gateways_loaded.get() {
            Timer::after(STARTUP_CHECK_INTERVAL).await;
        }
        self.update_turns_loaded();
    }

    /// Sets `turns_loaded` once all owned partitions are loaded.
    pub(crate) fn update_turns_loaded(&self) {
        let mut partitions = self.partitions.iter();
        if partitions.all(|partition| partition.is_loaded() || !self.owns(partition.number)) {
            self.turns_loaded.set(true);
        }
    }

    /// Reads new records until the next ones have expired or the partition is no longer used.
    async fn tail_turns(&self, partition: &Partition<D>, link: &mut StoreLink) -> StopReason {
        let mut failures = Backoff::default();
        loop {
            let read_number = partition.begin_read();
            let from = partition.next_offset();
            match self
                .read(link, partition.topic(), from, Duration::ZERO)
                .await
            {
                Some(ReadOutcome::Records { records, end }) => {
                    failures.reset();
                    self.apply_turns(partition, &records);
                    let next_offset = from + records.len() as Offset;
                    partition.advance(next_offset);
                    let is_at_end = next_offset >= end;
                    partition.end_read(is_at_end.then_some(read_number));
                    if is_at_end && !self.wait_for_next_read(partition).await {
                        return StopReason::Unused;
                    }
                }
                Some(ReadOutcome::Expired) => return StopReason::Expired,
                Some(ReadOutcome::Failed) | None => failures.pause().await,
            }
        }
    }

    /// Waits until the partition must be read again. Returns false if it is no longer used.
    async fn wait_for_next_read(&self, partition: &Partition<D>) -> bool {
        let read_at = Instant::now();
        loop {
            partition
                .wait_for_read_request(OWNERSHIP_CHECK_INTERVAL)
                .await;
            if partition.is_read_requested() {
                return true;
            }
            let now = Instant::now();
            if self.owns(partition.number) {
                if now.duration_since(read_at) >= TURNS_POLL_INTERVAL {
                    return true;
                }
            } else if partition.idle_time(now) >= UNLOAD_AFTER && partition.committer.is_idle() {
                return false;
            }
        }
    }

    /// Applies this gateway's own records as soon as the store has acknowledged them.
    fn apply_own_records(
        &self,
        partition: &Partition<D>,
        first_offset: Offset,
        records: Vec<KeyValue>,
    ) {
        if !partition.is_loaded() {
            return;
        }
        let at_offsets = records.into_iter().zip(first_offset..);
        let records: Vec<StoreRecord> = at_offsets
            .map(|((key, value), offset)| StoreRecord { key, value, offset })
            .collect();
        self.apply_turns(partition, &records);
        partition.advance_past_own(first_offset, records.len());
    }

    fn apply_turns(&self, partition: &Partition<D>, records: &[StoreRecord]) {
        let now = Instant::now();
        let mut index = partition.index.borrow_mut();
        for record in records {
            match index.apply(now, record) {
                Ok(None) => {}
                Ok(Some(turn)) => self.record_prompt(&turn.endpoint, &turn.prompt_parts),
                Err(error) => {
                    crate::event!("record_unreadable",
                        "key" => record.key.as_str(), "error" => error);
                }
            }
        }
    }

    /// Reads the addresses of the peers until the process ends.
    pub(crate) async fn follow_gateways(self: Rc<Self>) {
        let mut link = self.store_link();
        loop {
            let (next_offset, records) = self.load(&mut link, Topic::Gateways).await;
            self.apply_gateways(&records);
            self.next_gateways_offset.set(next_offset);
            self.gateways_loaded.set(true);
            let mut pause = MIN_GATEWAYS_POLL_INTERVAL;
            loop {
                Timer::after(pause).await;
                pause = (pause * 2).min(MAX_GATEWAYS_POLL_INTERVAL);
                let from = self.next_gateways_offset.get();
                let read = self.read(&mut link, Topic::Gateways, from, Duration::ZERO);
                match read.await {
                    Some(ReadOutcome::Records { records, .. }) => {
                        self.apply_gateways(&records);
                        self.next_gateways_offset
                            .set(from + records.len() as Offset);
                    }
                    Some(ReadOutcome::Expired) => break,
                    Some(ReadOutcome::Failed) | None => {}
                }
            }
        }
    }

    fn apply_gateways(&self, records: &[StoreRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                continue;
            };
            if let Some(fingerprint) = quarantine_fingerprint(&record.key) {
                self.apply_quarantine(fingerprint, value);
                continue;
            }
            match decode(value) {
                Ok(gateway) => self.gossip.add_from_record(&record.key, &gateway),
                Err(error) => crate::event!("record_unreadable",
                    "key" => record.key.as_str(), "error" => error),
            }
        }
        self.update_carrier_peers();
    }

    /// Records that an engine has a prompt in its cache.
    pub(crate) fn record_prompt(&self, endpoint: &str, prompt_parts: &[(PartId, u32)]) {
        let mut endpoints = self.endpoints.borrow_mut();
        let service = endpoints.record(endpoint).map(|record| &record.service);
        let routes = self.routes.borrow();
        let service = service.and_then(|service| routes.service(service));
        if let Some(engine) = service.and_then(|service| service.engine) {
            endpoints.record_prompt(endpoint, prompt_parts, engine.kv_cache_tokens);
        }
    }

    /// Reads the list of endpoints until the process ends.
    pub(crate) async fn follow_endpoints(self: Rc<Self>) {
        let mut link = self.store_link();
        let mut removal_deadlines: HashMap<String, Instant> = HashMap::new();
        loop {
            let started_at = Instant::now();
            let (mut from, records) = self.load(&mut link, Topic::Endpoints).await;
            self.record_endpoints_read();
            let listed: HashSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
            let known = self.endpoints.borrow().ids();
            for id in known.iter().filter(|id| !listed.contains(&***id)) {
                self.remove_endpoint_after_grace(id, &mut removal_deadlines);
            }
            self.apply_endpoints(&records, &mut removal_deadlines);
            self.endpoint_heartbeats.borrow_mut().reach_end(started_at);
            self.endpoints_loaded.set(true);
            let mut failures = Backoff::default();
            loop {
                let started_at = Instant::now();
                match self
                    .read(&mut link, Topic::Endpoints, from, Duration::ZERO)
                    .await
                {
                    Some(ReadOutcome::Records { records, end }) => {
                        failures.reset();
                        from += records.len() as Offset;
                        self.record_endpoints_read();
                        self.apply_endpoints(&records, &mut removal_deadlines);
                        self.observe_endpoint_heartbeats(&records);
                        if from >= end {
                            self.endpoint_heartbeats.borrow_mut().reach_end(started_at);
                        }
                        self.remove_overdue_endpoints(&mut removal_deadlines);
                        Timer::after(ENDPOINTS_POLL_INTERVAL).await;
                    }
                    Some(ReadOutcome::Expired) => break,
                    Some(ReadOutcome::Failed) | None => failures.pause().await,
                }
            }
        }
    }

    fn record_endpoints_read(&self) {
        let now = Instant::now();
        self.endpoints_read_at.set(Some(now));
        self.announced_ends.borrow_mut().record_read(now);
    }

    fn apply_endpoints(
        &self,
        records: &[StoreRecord],
        removal_deadlines: &mut HashMap<String, Instant>,
    ) {
        for record in records {
            let Some(value) = &record.value else {
                self.remove_endpoint_after_grace(&record.key, removal_deadlines);
                continue;
            };
            removal_deadlines.remove(&record.key);
            match D::parse_endpoint(&record.key, value) {
                Ok(endpoint) => self.upsert_endpoint(endpoint),
                Err(error) => {
                    self.remove_endpoint_after_grace(&record.key, removal_deadlines);
                    crate::event!("endpoint_unreadable",
                        "endpoint" => record.key.as_str(), "error" => error);
                }
            }
        }
    }

    /// Looks for heartbeats of endpoints that count as crashed.
    fn observe_endpoint_heartbeats(&self, records: &[StoreRecord]) {
        let crashed = self.crashes.borrow().crashed_lifetimes();
        self.endpoint_heartbeats
            .borrow_mut()
            .watch(Instant::now(), &crashed);
        if crashed.is_empty() {
            return;
        }
        for record in records {
            let value = record.value.as_deref().unwrap_or_default();
            if let Ok(endpoint) = D::parse_endpoint(&record.key, value) {
                self.observe_endpoint_heartbeat(&endpoint);
            }
        }
    }

    fn upsert_endpoint(&self, endpoint: EndpointRecord) {
        let id = endpoint.id.clone();
        let is_draining = endpoint.is_draining;
        let lifetime = lifetime(&id, endpoint.started_unix_ms);
        let before = self.endpoints.borrow().record(&id).cloned();
        let has_restarted = before
            .as_ref()
            .is_some_and(|before| before.started_unix_ms != endpoint.started_unix_ms);
        if has_restarted {
            self.pool.close(&id);
        }
        let changed = self.endpoints.borrow_mut().upsert(endpoint);
        if self.endpoints.borrow().is_leaving(&id) {
            self.announce_end(&id, lifetime, Announcement::Stated);
        } else {
            self.announced_ends.borrow_mut().relist(lifetime);
        }
        if changed && (before.is_none() || is_draining || has_restarted) {
            crate::event!("endpoint_listed", "endpoint" => &*id,
                "draining" => is_draining, "reborn" => has_restarted);
        }
    }

    /// Removes an endpoint that is no longer listed. After a store outage, removal waits for a
    /// grace period in which the endpoint may register again.
    fn remove_endpoint_after_grace(
        &self,
        id: &str,
        removal_deadlines: &mut HashMap<String, Instant>,
    ) {
        let Some(started_unix_ms) = self.start_of(id) else {
            return;
        };
        self.announce_end(id, lifetime(id, started_unix_ms), Announcement::Removed);
        if let Some(deadline) = self.store_paths.health().grace_until(Instant::now()) {
            removal_deadlines.entry(id.to_owned()).or_insert(deadline);
            return;
        }
        self.remove_endpoint(id);
    }

    /// Returns the start time of an endpoint's listed incarnation; `None` if it is not listed.
    fn start_of(&self, id: &str) -> Option<Option<u64>> {
        let endpoints = self.endpoints.borrow();
        endpoints.record(id).map(|record| record.started_unix_ms)
    }

    fn remove_overdue_endpoints(&self, removal_deadlines: &mut HashMap<String, Instant>) {
        let now = Instant::now();
        removal_deadlines.retain(|id, deadline| {
            if *deadline > now {
                return true;
            }
            self.remove_endpoint(id);
            false
        });
    }

    fn remove_endpoint(&self, id: &str) {
        if self.endpoints.borrow_mut().remove(id) {
            self.pool.close(id);
            crate::event!("endpoint_gone", "endpoint" => id);
        }
    }

    /// Loads the newest records of a topic. Returns them and the offset at which to continue.
    ///
    /// The pages are not a snapshot. Reading continues at the end that the first page reported,
    /// which covers all changes since.
    pub(super) async fn load(
        &self,
        link: &mut StoreLink,
        topic: Topic,
    ) -> (Offset, Vec<StoreRecord>) {
        let mut next_offset = None;
        let mut records: Vec<StoreRecord> = Vec::new();
        loop {
            let after = records.last().map(|record| record.key.clone());
            let page = self.load_page(link, topic, after.as_deref()).await;
            let end = *next_offset.get_or_insert(page.end);
            records.extend(page.records);
            if !page.more {
                return (end, records);
            }
        }
    }

    async fn load_page(
        &self,
        link: &mut StoreLink,
        topic: Topic,
        after: Option<&str>,
    ) -> NewestPage {
        let call = D::build_newest(topic, after);
        let mut failures = Backoff::default();
        loop {
            if let Ok((status, body)) = link.call(&call, PAGE_TIMEOUT).await
                && let Some(page) = D::parse_newest(status, &body)
            {
                return page;
            }
            failures.pause().await;
        }
    }

    pub(super) async fn read(
        &self,
        link: &mut StoreLink,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Option<ReadOutcome> {
        let call = D::build_read(topic, from, wait);
        let (status, body) = link.call(&call, wait + READ_TIMEOUT).await.ok()?;
        Some(D::parse_records(from, status, &body))
    }
}

/// Reason why reading a partition stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum StopReason {
    /// The next records have expired, so the partition must be loaded again.
    Expired,
    /// This gateway neither owns the partition nor used it recently.
    Unused,
}

/// Exponential back-off with jitter for consecutive failures.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(super) async fn pause(&mut self) {
        let doubled = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let max_pause = doubled.min(MAX_BACKOFF);
        let jitter = 0.5 + fastrand::f64() * 0.5;
        Timer::after(max_pause.mul_f64(jitter)).await;
    }
}
