//! The end of programs: by their callers, by deadline, or for want of calls.

use crate::coordination::partition::PartitionHandle;
use crate::entry::owner::program::{LiveProgram, Owned};
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

/// Time between two sweeps over the programs in memory.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two confirmations to the sidecars that hold cache.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(5);

/// How long an answer can be read again after its end.
const KEEP_ANSWERS: Duration = Duration::from_secs(60);

/// How long a call runs on when nobody waits for its answer.
const ORPHAN_AFTER: Duration = Duration::from_secs(30);

/// Programs are written out of memory after so much idle time.
const KEEP_IDLE: Duration = Duration::from_secs(120);

/// How often a release is tried before the sidecar is left to find out by itself.
const RELEASES_MAX: u32 = 8;

impl<L: Log> Entry<L> {
    /// Ends a program for its caller. Ending one that has ended is no error.
    pub(in crate::entry) async fn end_for(
        &self,
        caller: &Caller,
        program: ProgramId,
        reason: EndReason,
    ) -> Result<Reply, Refusal> {
        let owned = self.owned_program(caller, program)?;
        self.end(&owned, reason).await;
        Ok(Reply::Done)
    }

    /// Ends a program: its calls stop, the log hears of it, its cache is freed.
    async fn end(&self, owned: &Owned<L>, reason: EndReason) {
        let last = owned.handle.with_state(|state| {
            let program = state.program(owned.live.id);
            program.and_then(|program| program.endpoint.clone())
        });
        if !owned.live.end(reason) {
            return;
        }
        self.note_end(owned, reason);
        let entry = Ended {
            program: owned.live.id,
            reason,
            at_ms: unix_ms(),
        };
        if let Err(error) = self.commit(&owned.handle, vec![entry.into()]).await {
            log::info!(target: "owner", "owner: end left to the next owner: {error}");
        }
        self.release(owned.live.id, last);
    }

    /// Counts the program for the report on service levels; a cancelled one counts for nothing.
    fn note_end(&self, owned: &Owned<L>, reason: EndReason) {
        if reason == EndReason::Cancelled {
            return;
        }
        let whose = owned.handle.with_state(|state| {
            let program = state.program(owned.live.id)?;
            Some((program.environment.clone(), program.client_account.clone()))
        });
        let Some((environment, client_account)) = whose else {
            return;
        };
        let latency_ms = unix_ms().saturating_sub(issued_ms(owned.live.id));
        let latency = Duration::from_millis(latency_ms);
        let succeeded = reason == EndReason::Finished;
        self.operations()
            .program_ended(&environment, &client_account, latency, succeeded);
    }

    /// Frees a program's cache wherever it may be.
    fn release(&self, program: ProgramId, last: Option<EndpointId>) {
        let mut holders = lock(&self.0.cache).remove_program(program).into_vec();
        if let Some(last) = last.filter(|last| !holders.contains(last)) {
            holders.push(last);
        }
        for endpoint in holders {
            let entry = self.clone();
            self.0.spawner.spawn(async move {
                entry.release_at(program, endpoint).await;
            });
        }
    }

    async fn release_at(&self, program: ProgramId, endpoint: EndpointId) {
        for _ in 0..RELEASES_MAX {
            let asked = self
                .0
                .links
                .ask(&endpoint, Request::Release { program })
                .await;
            // The sidecar goes on by itself until the engine agrees.
            if asked.is_ok() {
                return;
            }
            Timer::after(SWEEP_INTERVAL).await;
        }
        log::info!(target: "owner", "owner: release left to the sidecar of {endpoint}");
    }

    /// Ends programs that are over, forgets old answers and confirms caches, round by round.
    pub(in crate::entry) fn watch_programs(&self) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            let mut confirmed = Instant::now();
            loop {
                Timer::after(SWEEP_INTERVAL).await;
                entry.sweep().await;
                if confirmed.elapsed() >= CONFIRM_INTERVAL {
                    confirmed = Instant::now();
                    entry.confirm();
                }
            }
        });
    }

    async fn sweep(&self) {
        for live in self.0.programs.all() {
            live.sweep(KEEP_ANSWERS, ORPHAN_AFTER);
            if let Some(idle) = live.idle() {
                self.end_lapsed(&live, idle).await;
                self.forget_idle(&live, idle);
            }
        }
        for handle in &self.0.partitions {
            self.end_overdue(handle).await;
        }
    }

    /// Drops a program from memory that the log has whole.
    fn forget_idle(&self, live: &Arc<LiveProgram>, idle: Duration) {
        if idle >= KEEP_IDLE && live.close() {
            self.0.programs.remove(live.id);
        }
    }

    /// Ends a program that has had no calls for too long.
    async fn end_lapsed(&self, live: &LiveProgram, idle: Duration) {
        let owned = self.partition(live.id).epoch() == Some(live.epoch);
        if owned && idle >= self.0.config.idle_limit && live.ended().is_none() {
            let caller = Caller {
                environment: live.environment.clone(),
                client_account: live.client_account.clone(),
            };
            self.end_quietly(&caller, live.id, EndReason::Lapsed).await;
        }
    }

    /// Ends the programs of a partition whose deadline has passed.
    async fn end_overdue(&self, handle: &PartitionHandle<L>) {
        if handle.epoch().is_none() {
            return;
        }
        let now_ms = unix_ms();
        let overdue: Vec<(Caller, ProgramId)> = handle.with_state(|state| {
            let open = state.programs().filter(|program| program.ended.is_none());
            let overdue = open.filter(|program| program.deadline_ms <= now_ms);
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
            self.end_quietly(&caller, program, EndReason::Deadline)
                .await;
        }
    }

    async fn end_quietly(&self, caller: &Caller, program: ProgramId, reason: EndReason) {
        if let Ok(owned) = self.owned_program(caller, program) {
            self.end(&owned, reason).await;
        }
    }

    /// Tells sidecars which programs are alive, so that they keep their caches.
    fn confirm(&self) {
        let now = Instant::now();
        let mut alive: HashMap<EndpointId, Vec<ProgramId>> = HashMap::new();
        for handle in self.0.partitions.iter().filter(|h| h.epoch().is_some()) {
            let open: Vec<ProgramId> = handle.with_state(|state| {
                let open = state.programs().filter(|program| program.ended.is_none());
                open.map(|program| program.program).collect()
            });
            let cache = lock(&self.0.cache);
            for program in open {
                for (endpoint, _) in cache.holders(now, program) {
                    alive.entry(endpoint).or_default().push(program);
                }
            }
        }
        for (endpoint, programs) in alive {
            let links = self.0.links.clone();
            self.0.spawner.spawn(async move {
                // A sidecar that misses one hears the next.
                let _ = links.ask(&endpoint, Request::Confirm { programs }).await;
            });
        }
    }
}
