//! End of programs: on request, at the deadline, or after inactivity.

use crate::coordination::partition::PartitionHandle;
use crate::entry::owner::program::{LiveProgram, OwnedProgram};
use crate::entry::{Entry, lock, unix_ms};
use crate::ids::{EndpointId, ProgramId, issued_ms};
use crate::protocol::link::{Caller, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::record::{EndReason, Ended};
use crate::protocol::refusal::Refusal;
use smol::Timer;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between sweeps over the programs in memory.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between confirmations of running programs to sidecars that cache them.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which a finished answer can be read again after its last read.
const ANSWER_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a call stops if nobody follows its answer.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time after which a fully committed program is evicted from memory.
const IDLE_RETENTION: Duration = Duration::from_secs(120);

/// Number of attempts to release a program's cache at a sidecar.
///
/// After that, the sidecar releases the cache on its own, because confirmations stop.
const RELEASE_ATTEMPTS_MAX: u32 = 8;

impl<L: Log> Entry<L> {
    /// Ends a program at its caller's request. It is no error if the program has already ended.
    pub(in crate::entry) async fn end_for_caller(
        &self,
        caller: &Caller,
        program: ProgramId,
        reason: EndReason,
    ) -> Result<Reply, Refusal> {
        let owned = self.owned_program(caller, program)?;
        self.end_program(&owned, reason).await;
        Ok(Reply::Done)
    }

    /// Ends a program: stops its calls, writes the end to the log and releases its cache.
    async fn end_program(&self, owned: &OwnedProgram<L>, reason: EndReason) {
        let last_endpoint = owned.handle.with_state(|state| {
            let program = state.program(owned.live.id);
            program.and_then(|program| program.endpoint.clone())
        });
        if !owned.live.end(reason) {
            return;
        }
        self.record_program_end(owned, reason);
        let entry = Ended {
            program: owned.live.id,
            reason,
            at_ms: unix_ms(),
        };
        if let Err(error) = self.commit(&owned.handle, vec![entry.into()]).await {
            log::info!(
                target: "owner",
                "owner: end of a program was not committed; leaving it to the next owner: {error}"
            );
        }
        self.release_cache(owned.live.id, last_endpoint);
    }

    /// Records the program in the service-level report. Cancelled programs are not counted.
    fn record_program_end(&self, owned: &OwnedProgram<L>, reason: EndReason) {
        if reason == EndReason::Cancelled {
            return;
        }
        let account = owned.handle.with_state(|state| {
            let program = state.program(owned.live.id)?;
            Some((program.environment.clone(), program.client_account.clone()))
        });
        let Some((environment, client_account)) = account else {
            return;
        };
        let latency_ms = unix_ms().saturating_sub(issued_ms(owned.live.id));
        let latency = Duration::from_millis(latency_ms);
        let succeeded = reason == EndReason::Finished;
        self.operations()
            .record_program_end(&environment, &client_account, latency, succeeded);
    }

    /// Releases a program's cache at every endpoint that may hold it.
    fn release_cache(&self, program: ProgramId, last_endpoint: Option<EndpointId>) {
        let mut holders = lock(&self.0.cache).remove_program(program).into_vec();
        if let Some(last_endpoint) =
            last_endpoint.filter(|last_endpoint| !holders.contains(last_endpoint))
        {
            holders.push(last_endpoint);
        }
        for endpoint in holders {
            let entry = self.clone();
            self.0.spawner.spawn(async move {
                entry.release_cache_at(program, endpoint).await;
            });
        }
    }

    async fn release_cache_at(&self, program: ProgramId, endpoint: EndpointId) {
        for _ in 0..RELEASE_ATTEMPTS_MAX {
            let acknowledged = self
                .0
                .links
                .ask(&endpoint, Request::Release { program })
                .await;
            // From here on, the sidecar retries until the engine has released the cache.
            if acknowledged.is_ok() {
                return;
            }
            Timer::after(SWEEP_INTERVAL).await;
        }
        log::info!(
            target: "owner",
            "owner: {endpoint} did not acknowledge a cache release; leaving it to the sidecar"
        );
    }

    /// Starts the periodic task that ends programs, expires answers and confirms running programs.
    pub(in crate::entry) fn watch_programs(&self) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            let mut last_confirmation = Instant::now();
            loop {
                Timer::after(SWEEP_INTERVAL).await;
                entry.sweep_programs().await;
                if last_confirmation.elapsed() >= CONFIRM_INTERVAL {
                    last_confirmation = Instant::now();
                    entry.confirm_running_programs();
                }
            }
        });
    }

    async fn sweep_programs(&self) {
        for live in self.0.programs.all() {
            live.expire_calls(ANSWER_RETENTION, ORPHAN_TIMEOUT);
            if let Some(idle) = live.idle_time() {
                self.end_lapsed(&live, idle).await;
                self.evict_idle(&live, idle);
            }
        }
        for handle in &self.0.partitions {
            self.end_overdue(handle).await;
        }
    }

    /// Evicts an idle program from memory if all its turns are committed.
    fn evict_idle(&self, live: &Arc<LiveProgram>, idle: Duration) {
        if idle >= IDLE_RETENTION && live.try_close() {
            self.0.programs.remove(live.id);
        }
    }

    /// Ends a program that had no calls for the idle timeout.
    async fn end_lapsed(&self, live: &LiveProgram, idle: Duration) {
        let owned = self.partition(live.id).epoch() == Some(live.epoch);
        if owned && idle >= self.0.config.idle_timeout && live.end_reason().is_none() {
            let caller = Caller {
                environment: live.environment.clone(),
                client_account: live.client_account.clone(),
            };
            self.end_if_owned(&caller, live.id, EndReason::Lapsed).await;
        }
    }

    /// Ends the programs of a partition whose deadline has passed.
    async fn end_overdue(&self, handle: &PartitionHandle<L>) {
        if handle.epoch().is_none() {
            return;
        }
        let now_ms = unix_ms();
        let overdue: Vec<(Caller, ProgramId)> = handle.with_state(|state| {
            let running = state.programs().filter(|program| program.ended.is_none());
            let overdue = running.filter(|program| program.deadline_ms <= now_ms);
            overdue
                .map(|program| {
                    let caller = Caller {
                        environment: program.environment.clone(),
                        client_account: program.client_account.clone(),
                    };
                    (caller, program.program)
                })
                .collect()
        });
        for (caller, program) in overdue {
            self.end_if_owned(&caller, program, EndReason::Deadline)
                .await;
        }
    }

    async fn end_if_owned(&self, caller: &Caller, program: ProgramId, reason: EndReason) {
        if let Ok(owned) = self.owned_program(caller, program) {
            self.end_program(&owned, reason).await;
        }
    }

    /// Tells sidecars which programs have not ended, so that they keep those programs' caches.
    fn confirm_running_programs(&self) {
        let now = Instant::now();
        let mut alive: HashMap<EndpointId, Vec<ProgramId>> = HashMap::new();
        for handle in self.0.partitions.iter().filter(|h| h.epoch().is_some()) {
            let running: Vec<ProgramId> = handle.with_state(|state| {
                let running = state.programs().filter(|program| program.ended.is_none());
                running.map(|program| program.program).collect()
            });
            let cache = lock(&self.0.cache);
            for program in running {
                for (endpoint, _) in cache.holders(now, program) {
                    alive.entry(endpoint).or_default().push(program);
                }
            }
        }
        for (endpoint, programs) in alive {
            let links = self.0.links.clone();
            self.0.spawner.spawn(async move {
                // A lost confirmation is repaired by the next one.
                let _ = links.ask(&endpoint, Request::Confirm { programs }).await;
            });
        }
    }
}
