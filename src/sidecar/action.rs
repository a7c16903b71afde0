//! Service calls at a sidecar: repeatable ones, and actions that run at most once.

use crate::coordination::crashes::Lifetime;
use crate::coordination::dispatch::{Dispatch, DispatchError, DispatchOutcome, SettleOutcome};
use crate::coordination::pacing::Urgency;
use crate::ids::{CallId, Epoch, Partition, format_id};
use crate::protocol::engine::Engine;
use crate::protocol::failure::{Connection, LostAnswer};
use crate::protocol::link::{ActionReply, ActionState, AtMostOnce, Invoke, Reply};
use crate::protocol::record::ActionResult;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::{Service, ServiceError, ServiceRequest};
use crate::sidecar::lifetime::LifetimeNumber;
use crate::sidecar::pace::longest_wait;
use crate::sidecar::{Endpoint, Sidecar, lock};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Runs a service call, at most once if the request carries an at-most-once binding.
    pub(crate) async fn invoke(&self, invoke: Invoke) -> Reply {
        let Endpoint::Service(service) = &self.0.endpoint else {
            let message = "The endpoint is no service.";
            return Reply::Refused(Refusal::not_run(RefusalCode::NoEndpoint, message));
        };
        let service = service.clone();
        match invoke.once {
            Some(once) => self.invoke_once(service, invoke, once).await,
            None => self.invoke_repeatable(service, invoke).await,
        }
    }

    /// Runs a repeatable call.
    async fn invoke_repeatable(&self, service: S, invoke: Invoke) -> Reply {
        if let Err(refusal) = self.check_fence(invoke.partition, invoke.epoch) {
            return Reply::Refused(refusal);
        }
        if self.is_leaving() {
            return self.action_reply(ActionState::Finished(not_run("the endpoint is leaving")), 0);
        }
        let _guard = self.0.queue.count_service_call();
        let started = Instant::now();
        let limit = self.service_limit(&invoke);
        let (result, crashed) = self.send(service, invoke.request, limit).await;
        Reply::Action(ActionReply {
            crashed,
            ..self.action_state(ActionState::Finished(result), elapsed_ms(started))
        })
    }

    /// Runs an action at most once in this incarnation of the sidecar.
    ///
    /// A repeated request waits for the first run and gets its result.
    async fn invoke_once(&self, service: S, invoke: Invoke, once: AtMostOnce) -> Reply {
        let dispatch = build_dispatch(invoke.partition, invoke.epoch, invoke.request.call, once);
        let started = Instant::now();
        loop {
            let finished = self.0.action_finished.listen();
            // During shutdown the sidecar reports earlier results but starts nothing.
            let dispatched = match self.is_leaving() {
                true => self.query_dispatch(&dispatch),
                false => lock(&self.0.dispatches).dispatch(&dispatch),
            };
            match dispatched {
                DispatchOutcome::Run => {
                    let limit = self.service_limit(&invoke);
                    self.spawn_invocation(service.clone(), invoke.request.clone(), limit);
                }
                DispatchOutcome::Running => {}
                DispatchOutcome::Finished(result) => {
                    let ran_ms = elapsed_ms(started);
                    return Reply::Action(ActionReply {
                        crashed: lock(&self.0.crashed_actions).get(dispatch.call),
                        ..self.action_state(ActionState::Finished(result), ran_ms)
                    });
                }
                DispatchOutcome::Refused(reason) => return self.refuse_dispatch(reason),
            }
            finished.await;
        }
    }

    /// Returns the state of an action without starting it.
    fn query_dispatch(&self, dispatch: &Dispatch) -> DispatchOutcome {
        match lock(&self.0.dispatches).settle(dispatch) {
            SettleOutcome::Running => DispatchOutcome::Running,
            SettleOutcome::Finished(result) => DispatchOutcome::Finished(result),
            SettleOutcome::Voided => DispatchOutcome::Finished(not_run("the endpoint is leaving")),
            SettleOutcome::Unknown => DispatchOutcome::Refused(DispatchError::TooOld),
            SettleOutcome::OldEpoch => DispatchOutcome::Refused(DispatchError::OldEpoch),
        }
    }

    /// Sends an action to the service in a task that continues if the requester disconnects.
    fn spawn_invocation(&self, service: S, request: ServiceRequest, limit: Duration) {
        let sidecar = self.clone();
        self.0.spawner.spawn(async move {
            let _guard = sidecar.0.queue.count_service_call();
            let call = request.call;
            let (result, crashed) = sidecar.send(service, request, limit).await;
            if let Some(lifetime) = crashed {
                lock(&sidecar.0.crashed_actions).insert(call, lifetime);
            }
            lock(&sidecar.0.dispatches).finish(call, result);
            sidecar.0.action_finished.notify(usize::MAX);
        });
    }

    /// Reports the state of an action. Voids one that never arrived, so that it cannot run later.
    pub(crate) fn settle(
        &self,
        partition: Partition,
        epoch: Epoch,
        call: CallId,
        once: AtMostOnce,
    ) -> Reply {
        let dispatch = build_dispatch(partition, epoch, call, once);
        let settled = lock(&self.0.dispatches).settle(&dispatch);
        let state = match settled {
            SettleOutcome::Running => ActionState::Running,
            SettleOutcome::Finished(result) => ActionState::Finished(result),
            SettleOutcome::Voided => ActionState::Voided,
            SettleOutcome::Unknown => ActionState::Unknown,
            SettleOutcome::OldEpoch => return self.refuse_dispatch(DispatchError::OldEpoch),
        };
        self.action_reply(state, 0)
    }

    fn service_limit(&self, invoke: &Invoke) -> Duration {
        let limit = Duration::from_millis(invoke.limit_ms);
        limit.min(self.0.config.service_timeout)
    }

    fn action_reply(&self, state: ActionState, ran_ms: u64) -> Reply {
        Reply::Action(self.action_state(state, ran_ms))
    }

    fn action_state(&self, state: ActionState, ran_ms: u64) -> ActionReply {
        ActionReply {
            state,
            ran_ms,
            load: self.load(),
            crashed: None,
        }
    }

    /// Sends one request to the service on a new connection, without a retry. Returns the lifetime of
    /// the service if it ended meanwhile.
    async fn send(
        &self,
        service: S,
        request: ServiceRequest,
        limit: Duration,
    ) -> (ActionResult, Option<Lifetime>) {
        let asked_at = Instant::now();
        let paced = self.wait_for_service(&service, limit).await;
        if let Err(wait) = paced {
            log::info!(
                target: "sidecar",
                "sidecar: call {} not sent, the service takes the next one in {} ms",
                format_id(request.call), wait.as_millis()
            );
            return (not_run("the service takes no more requests now"), None);
        }
        let limit = limit.saturating_sub(asked_at.elapsed());
        let number = self.0.lifetimes.current();
        let call = request.call;
        let timeout = async {
            Timer::after(limit).await;
            Err(ServiceError::Unknown(LostAnswer::other(
                "no answer in time",
            )))
        };
        match service.invoke(request).or(timeout).await {
            Ok(reply) => (ActionResult::Done(reply), None),
            Err(ServiceError::NotSent(reason)) => (ActionResult::NotRun(reason), None),
            Err(ServiceError::Unknown(lost)) => {
                let crashed = (lost.connection == Connection::Ended)
                    .then(|| self.record_service_crash(call, number));
                (ActionResult::Unknown(lost.reason), crashed)
            }
        }
    }

    /// Waits until the service takes another request. Returns the time until it might, if a call that
    /// must end within `limit` would wait for too long. Calls belong to programs that have begun.
    async fn wait_for_service(&self, service: &S, limit: Duration) -> Result<(), Duration> {
        let urgency = Urgency {
            is_under_way: true,
            priority: 0,
        };
        let rate = || service.rate_limit();
        self.0.pace.wait(rate, urgency, longest_wait(limit)).await
    }

    fn record_service_crash(&self, call: CallId, number: LifetimeNumber) -> Lifetime {
        self.0.lifetimes.end(number);
        let lifetime = self.0.lifetimes.tag(number);
        log::info!(
            target: "sidecar",
            "sidecar: service ended the connection of call {} (lifetime {number}, {lifetime:016x})",
            format_id(call)
        );
        lifetime
    }

    fn refuse_dispatch(&self, reason: DispatchError) -> Reply {
        match reason {
            DispatchError::OldEpoch => {
                let message = "A newer owner has the partition.";
                Reply::Refused(Refusal::not_run(RefusalCode::NoOwner, message))
            }
            DispatchError::Full => {
                self.action_reply(ActionState::Finished(not_run("the table is full")), 0)
            }
            DispatchError::OtherIncarnation | DispatchError::TooOld => {
                self.action_reply(ActionState::Unknown, 0)
            }
        }
    }
}

fn build_dispatch(partition: Partition, epoch: Epoch, call: CallId, once: AtMostOnce) -> Dispatch {
    Dispatch {
        partition,
        epoch,
        intent: once.intent,
        call,
        incarnation: once.incarnation,
    }
}

fn not_run(reason: &str) -> ActionResult {
    ActionResult::NotRun(reason.to_string())
}

fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}
