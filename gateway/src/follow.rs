//! Follows the topics of the store: turns, configuration and endpoints.

use crate::dialect::{
    Dialect, KeyValue, NewestPage, Offset, PartId, PartitionNumber, ReadOutcome, StoreRecord, Topic,
};
use crate::node::Gateway;
use crate::partition::Partition;
use crate::record::decode;
use crate::store::StoreLink;
use smol::Timer;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause between two reads of a partition that is served here when nobody waits for it. Records of
/// others are rare there and are read before anything is denied, so this only bounds their age.
const TURNS_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two looks at which partitions are served here; as old as what others say may be.
const OWNER_LOOK: Duration = Duration::from_millis(200);

/// How long a partition that is not served here stays loaded without use: as a gateway that left
/// may be back after a restart.
const UNUSED_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at whether the others' addresses are known.
const SETTLE_LOOK: Duration = Duration::from_millis(20);

/// First pause between two reads of the gateways' addresses; doubled by each further one, since
/// those who start together may miss each other's first record.
const FIRST_GATEWAYS_PAUSE: Duration = Duration::from_millis(250);

/// Longest such pause; one that starts also makes itself known by datagrams.
const GATEWAYS_PAUSE: Duration = Duration::from_secs(8);

/// Pause between two reads of the endpoints' topic: a fraction of the time in which a leaving
/// endpoint must get no more work.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(350);

/// How long the store holds a read of the configuration that has nothing new; well below the time
/// in which a configuration must be in force, since a silent connection is noticed only then.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(900);

/// Longest time of a read beyond its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time of a page of newest records, which may have a megabyte.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed call at first; doubled by each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause after a failed call.
const MOST_PAUSE: Duration = Duration::from_millis(250);

impl<D: Dialect> Gateway<D> {
    /// Appends this gateway's records to a partition of the turns' topic, for ever.
    pub(crate) async fn commit_turns(self: Rc<Self>, number: PartitionNumber) {
        let partition = &self.partitions[number as usize];
        let producer = self.producer();
        let on_appended = |first, records: Vec<KeyValue>| self.fold_own(partition, first, records);
        let committer = &partition.committer;
        committer
            .run(self.store_link(), &producer, on_appended)
            .await;
    }

    /// Follows a partition of the turns' topic while it is served or asked for here, for ever.
    pub(crate) async fn follow_turns(self: Rc<Self>, number: PartitionNumber) {
        let partition = &self.partitions[number as usize];
        let mut link = self.store_link();
        self.settled().await;
        loop {
            while !partition.is_wanted() && !self.owns(number) {
                partition.pause(OWNER_LOOK).await;
            }
            let started_at = Instant::now();
            let read = partition.begin_read();
            let (first, pages) = self.load(&mut link, partition.topic()).await;
            self.fold_turns(partition, &pages);
            partition.load(first);
            partition.end_read(Some(read));
            crate::event!("turns_loaded", "partition" => number,
                "turns" => partition.index.borrow().len(),
                "took_ms" => started_at.elapsed().as_millis());
            self.note_loaded();
            let end = self.tail_turns(partition, &mut link).await;
            crate::event!("turns_not_followed", "partition" => number,
                "position" => partition.position(), "reason" => end.to_string());
            if end == TailEnd::Unused {
                partition.unload();
            }
        }
    }

    /// Waits until the gateways that may serve partitions are known; without them this one would
    /// load all.
    async fn settled(&self) {
        while !self.gateways_loaded.get() {
            Timer::after(SETTLE_LOOK).await;
        }
        self.note_loaded();
    }

    /// Notes it once all partitions that are served here have been loaded.
    pub(crate) fn note_loaded(&self) {
        let mut partitions = self.partitions.iter();
        if partitions.all(|partition| partition.is_loaded() || !self.owns(partition.number)) {
            self.turns_loaded.set(true);
        }
    }

    /// Reads new records until those that are due have expired or nobody needs them.
    async fn tail_turns(&self, partition: &Partition<D>, link: &mut StoreLink) -> TailEnd {
        let mut failures = Backoff::default();
        loop {
            let read = partition.begin_read();
            let from = partition.position();
            match self
                .read(link, partition.topic(), from, Duration::ZERO)
                .await
            {
                Some(ReadOutcome::Records { records, end }) => {
                    failures.reset();
                    self.fold_turns(partition, &records);
                    let position = from + records.len() as Offset;
                    partition.advance(position);
                    let is_at_end = position >= end;
                    partition.end_read(is_at_end.then_some(read));
                    if is_at_end && !self.wait_for_turns(partition).await {
                        return TailEnd::Unused;
                    }
                }
                Some(ReadOutcome::Expired) => return TailEnd::Expired,
                Some(ReadOutcome::Refused) | None => failures.pause().await,
            }
        }
    }

    /// Waits until a partition is to be read again; false if it is no longer needed here.
    async fn wait_for_turns(&self, partition: &Partition<D>) -> bool {
        let read_at = Instant::now();
        loop {
            partition.pause(OWNER_LOOK).await;
            if partition.is_wanted() {
                return true;
            }
            let now = Instant::now();
            if self.owns(partition.number) {
                if now.duration_since(read_at) >= TURNS_PAUSE {
                    return true;
                }
            } else if partition.unused_for(now) >= UNUSED_LIMIT && partition.committer.is_idle() {
                return false;
            }
        }
    }

    /// Folds records of this gateway as soon as they stand in their partition.
    fn fold_own(&self, partition: &Partition<D>, first: Offset, records: Vec<KeyValue>) {
        if !partition.is_loaded() {
            return;
        }
        let at_offsets = records.into_iter().zip(first..);
        let records: Vec<StoreRecord> = at_offsets
            .map(|((key, value), offset)| StoreRecord { key, value, offset })
            .collect();
        self.fold_turns(partition, &records);
        partition.advance_over(first, records.len());
    }

    fn fold_turns(&self, partition: &Partition<D>, records: &[StoreRecord]) {
        let now = Instant::now();
        let mut index = partition.index.borrow_mut();
        for record in records {
            match index.apply(now, record) {
                Ok(None) => {}
                Ok(Some(turn)) => self.remember_prompt(&turn.endpoint, &turn.prompt_parts),
                Err(error) => {
                    crate::event!("record_unreadable",
                        "key" => record.key.as_str(), "error" => error);
                }
            }
        }
    }

    /// Follows where the other gateways listen, for ever.
    pub(crate) async fn follow_gateways(self: Rc<Self>) {
        let mut link = self.store_link();
        loop {
            let (first, records) = self.load(&mut link, Topic::Gateways).await;
            self.meet_gateways(&records);
            self.gateways_position.set(first);
            self.gateways_loaded.set(true);
            let mut pause = FIRST_GATEWAYS_PAUSE;
            loop {
                Timer::after(pause).await;
                pause = (pause * 2).min(GATEWAYS_PAUSE);
                let from = self.gateways_position.get();
                let read = self.read(&mut link, Topic::Gateways, from, Duration::ZERO);
                match read.await {
                    Some(ReadOutcome::Records { records, .. }) => {
                        self.meet_gateways(&records);
                        self.gateways_position.set(from + records.len() as Offset);
                    }
                    Some(ReadOutcome::Expired) => break,
                    Some(ReadOutcome::Refused) | None => {}
                }
            }
        }
    }

    fn meet_gateways(&self, records: &[StoreRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                continue;
            };
            match decode(value) {
                Ok(gateway) => self.gossip.learn(&record.key, &gateway),
                Err(error) => crate::event!("record_unreadable",
                    "key" => record.key.as_str(), "error" => error),
            }
        }
    }

    /// Notes that an engine holds a prompt in memory.
    pub(crate) fn remember_prompt(&self, endpoint: &str, prompt_parts: &[(PartId, u32)]) {
        let mut endpoints = self.endpoints.borrow_mut();
        let service = endpoints.record(endpoint).map(|record| &record.service);
        let routes = self.routes.borrow();
        let service = service.and_then(|service| routes.service(service));
        if let Some(engine) = service.and_then(|service| service.engine) {
            endpoints.record_prompt(endpoint, prompt_parts, engine.memory_tokens);
        }
    }

    /// Follows the configuration, for ever.
    pub(crate) async fn follow_configuration(self: Rc<Self>) {
        let mut link = self.store_link();
        loop {
            let (mut from, records) = self.load(&mut link, Topic::Configuration).await;
            self.apply_configuration(&records);
            let mut failures = Backoff::default();
            loop {
                let wait = CONFIGURATION_WAIT;
                match self.read(&mut link, Topic::Configuration, from, wait).await {
                    Some(ReadOutcome::Records { records, .. }) => {
                        failures.reset();
                        self.apply_configuration(&records);
                        from += records.len() as Offset;
                    }
                    Some(ReadOutcome::Expired) => break,
                    Some(ReadOutcome::Refused) | None => failures.pause().await,
                }
            }
        }
    }

    fn apply_configuration(&self, records: &[StoreRecord]) {
        let documents = records
            .iter()
            .filter(|record| record.key == D::configuration_key());
        for value in documents.filter_map(|record| record.value.as_ref()) {
            match D::read_configuration(value) {
                Ok(configuration) => {
                    let version = configuration.version;
                    if self.routes.borrow_mut().apply(configuration) {
                        crate::event!("configuration_in_force", "version" => version);
                    }
                }
                Err(error) => crate::event!("configuration_unreadable", "error" => error),
            }
        }
    }

    /// Follows the list of endpoints, for ever.
    pub(crate) async fn follow_endpoints(self: Rc<Self>) {
        let mut link = self.store_link();
        let mut vanished: HashMap<String, Instant> = HashMap::new();
        loop {
            let (mut from, records) = self.load(&mut link, Topic::Endpoints).await;
            let listed: HashSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
            let known = self.endpoints.borrow().ids();
            for id in known.iter().filter(|id| !listed.contains(&***id)) {
                self.forget_endpoint(id, &mut vanished);
            }
            self.apply_endpoints(&records, &mut vanished);
            self.endpoints_loaded.set(true);
            let mut failures = Backoff::default();
            loop {
                match self
                    .read(&mut link, Topic::Endpoints, from, Duration::ZERO)
                    .await
                {
                    Some(ReadOutcome::Records { records, .. }) => {
                        failures.reset();
                        from += records.len() as Offset;
                        self.apply_endpoints(&records, &mut vanished);
                        self.drop_vanished(&mut vanished);
                        Timer::after(ENDPOINTS_PAUSE).await;
                    }
                    Some(ReadOutcome::Expired) => break,
                    Some(ReadOutcome::Refused) | None => failures.pause().await,
                }
            }
        }
    }

    fn apply_endpoints(&self, records: &[StoreRecord], vanished: &mut HashMap<String, Instant>) {
        for record in records {
            let Some(value) = &record.value else {
                self.forget_endpoint(&record.key, vanished);
                continue;
            };
            vanished.remove(&record.key);
            match D::read_endpoint(&record.key, value) {
                Ok(endpoint) => self.put_endpoint(endpoint),
                Err(error) => {
                    self.forget_endpoint(&record.key, vanished);
                    crate::event!("endpoint_unreadable",
                        "endpoint" => record.key.as_str(), "error" => error);
                }
            }
        }
    }

    fn put_endpoint(&self, endpoint: crate::endpoints::EndpointRecord) {
        let id = endpoint.id.clone();
        let is_draining = endpoint.is_draining;
        let before = self.endpoints.borrow().record(&id).cloned();
        let is_reborn = before
            .as_ref()
            .is_some_and(|before| before.started_unix_ms != endpoint.started_unix_ms);
        if is_reborn {
            self.pool.close(&id);
        }
        let changed = self.endpoints.borrow_mut().upsert(endpoint);
        if changed && (before.is_none() || is_draining || is_reborn) {
            crate::event!("endpoint_listed", "endpoint" => &*id,
                "draining" => is_draining, "reborn" => is_reborn);
        }
    }

    /// Takes it that an entry has vanished: at once, or after a grace where the store was away.
    fn forget_endpoint(&self, id: &str, vanished: &mut HashMap<String, Instant>) {
        if self.endpoints.borrow().record(id).is_none() {
            return;
        }
        if let Some(until) = self.store_ways.health().doubtful_until(Instant::now()) {
            vanished.entry(id.to_owned()).or_insert(until);
            return;
        }
        self.remove_endpoint(id);
    }

    fn drop_vanished(&self, vanished: &mut HashMap<String, Instant>) {
        let now = Instant::now();
        vanished.retain(|id, until| {
            if *until > now {
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

    /// Loads the newest records of a topic; returns where to read on, and the records.
    ///
    /// Pages are no snapshot: reading on from the first page's end makes up for what changed.
    async fn load(&self, link: &mut StoreLink, topic: Topic) -> (Offset, Vec<StoreRecord>) {
        let mut first = None;
        let mut records: Vec<StoreRecord> = Vec::new();
        loop {
            let after = records.last().map(|record| record.key.clone());
            let page = self.load_page(link, topic, after.as_deref()).await;
            let end = *first.get_or_insert(page.end);
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
        let call = D::newest(topic, after);
        let mut failures = Backoff::default();
        loop {
            if let Ok((status, body)) = link.call(&call, PAGE_TIMEOUT).await
                && let Some(page) = D::read_newest(status, &body)
            {
                return page;
            }
            failures.pause().await;
        }
    }

    async fn read(
        &self,
        link: &mut StoreLink,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Option<ReadOutcome> {
        let call = D::read(topic, from, wait);
        let (status, body) = link.call(&call, wait + READ_TIMEOUT).await.ok()?;
        Some(D::read_records(from, status, &body))
    }
}

/// Why a partition is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum TailEnd {
    /// The records that were due are gone; it has to be loaded again.
    Expired,
    /// It is served elsewhere and nobody asked for it here of late.
    Unused,
}

/// Pauses after failures in a row.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn reset(&mut self) {
        self.failures = 0;
    }

    async fn pause(&mut self) {
        let doubled = FIRST_PAUSE * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let most = doubled.min(MOST_PAUSE);
        let jitter = 0.5 + fastrand::f64() * 0.5;
        Timer::after(most.mul_f64(jitter)).await;
    }
}
