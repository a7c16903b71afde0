//! Service calls at a sidecar: those that may be repeated, and those that run at most once.

use crate::coordination::dispatch::{Dispatch, DispatchError, DispatchOutcome, SettleOutcome};
use crate::ids::{CallId, Epoch, Partition};
use crate::protocol::engine::Engine;
use crate::protocol::link::{ActionReply, ActionState, AtMostOnce, Invoke, Reply};
use crate::protocol::record::ActionResult;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::{Service, ServiceError, ServiceRequest};
use crate::sidecar::{Endpoint, Sidecar, lock};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Runs a service call.
    pub(crate) async fn invoke(&self, invoke: Invoke) -> Reply {
        let Endpoint::Service(service) = &self.0.endpoint else {
            let message = "The endpoint is no service.";
            return Reply::Refused(Refusal::not_run(RefusalCode::NoEndpoint, message));
        };
        let service = service.clone();
        match invoke.once {
            Some(once) => self.invoke_once(service, invoke, once).await,
            None => self.invoke_again(service, invoke).await,
        }
    }

    /// Runs a call that may be repeated.
    async fn invoke_again(&self, service: S, invoke: Invoke) -> Reply {
        if let Err(refusal) = self.check_fence(invoke.partition, invoke.epoch) {
            return Reply::Refused(refusal);
        }
        if self.is_leaving() {
            return self.action(ActionState::Over(not_run("the endpoint is leaving")), 0);
        }
        let _open = self.0.queue.count_action();
        let started = Instant::now();
        let limit = self.service_limit(&invoke);
        let result = send(service, invoke.request, limit).await;
        self.action(ActionState::Over(result), millis(started))
    }

    /// Runs a call at most once in this run of the sidecar.
    async fn invoke_once(&self, service: S, invoke: Invoke, once: AtMostOnce) -> Reply {
        let dispatch = dispatch_of(invoke.partition, invoke.epoch, invoke.request.call, once);
        let started = Instant::now();
        loop {
            let over = self.0.action_over.listen();
            // A leaving sidecar may still tell what it ran, but starts nothing.
            let dispatched = match self.is_leaving() {
                true => self.look(&dispatch),
                false => lock(&self.0.dispatches).dispatch(&dispatch),
            };
            match dispatched {
                DispatchOutcome::Run => {
                    let limit = self.service_limit(&invoke);
                    self.start_once(service.clone(), invoke.request.clone(), limit);
                }
                DispatchOutcome::Running => {}
                DispatchOutcome::Finished(result) => {
                    return self.action(ActionState::Over(result), millis(started));
                }
                DispatchOutcome::Refused(why) => return self.refuse_dispatch(why),
            }
            over.await;
        }
    }

    /// Looks for a call without starting it.
    fn look(&self, dispatch: &Dispatch) -> DispatchOutcome {
        match lock(&self.0.dispatches).settle(dispatch) {
            SettleOutcome::Running => DispatchOutcome::Running,
            SettleOutcome::Finished(result) => DispatchOutcome::Finished(result),
            SettleOutcome::Voided => DispatchOutcome::Finished(not_run("the endpoint is leaving")),
            SettleOutcome::Unknown => DispatchOutcome::Refused(DispatchError::TooOld),
            SettleOutcome::OldEpoch => DispatchOutcome::Refused(DispatchError::OldEpoch),
        }
    }

    /// Sends a call to the service; it goes on when the asker does not wait any more.
    fn start_once(&self, service: S, request: ServiceRequest, limit: Duration) {
        let sidecar = self.clone();
        self.0.spawner.spawn(async move {
            let _open = sidecar.0.queue.count_action();
            let call = request.call;
            let result = send(service, request, limit).await;
            lock(&sidecar.0.dispatches).finish(call, result);
            sidecar.0.action_over.notify(usize::MAX);
        });
    }

    /// Says what became of a call, and voids it if it never came.
    pub(crate) fn settle(
        &self,
        partition: Partition,
        epoch: Epoch,
        call: CallId,
        once: AtMostOnce,
    ) -> Reply {
        let dispatch = dispatch_of(partition, epoch, call, once);
        let settled = lock(&self.0.dispatches).settle(&dispatch);
        let state = match settled {
            SettleOutcome::Running => ActionState::Running,
            SettleOutcome::Finished(result) => ActionState::Over(result),
            SettleOutcome::Voided => ActionState::Voided,
            SettleOutcome::Unknown => ActionState::Unknown,
            SettleOutcome::OldEpoch => return self.refuse_dispatch(DispatchError::OldEpoch),
        };
        self.action(state, 0)
    }

    fn service_limit(&self, invoke: &Invoke) -> Duration {
        let limit = Duration::from_millis(invoke.limit_ms);
        limit.min(self.0.config.service_timeout)
    }

    fn action(&self, state: ActionState, ran_ms: u64) -> Reply {
        Reply::Action(ActionReply {
            state,
            ran_ms,
            load: self.load(),
        })
    }

    fn refuse_dispatch(&self, why: DispatchError) -> Reply {
        match why {
            DispatchError::OldEpoch => {
                let message = "A newer owner has the partition.";
                Reply::Refused(Refusal::not_run(RefusalCode::NoOwner, message))
            }
            DispatchError::Full => self.action(ActionState::Over(not_run("the table is full")), 0),
            DispatchError::OtherIncarnation | DispatchError::TooOld => {
                self.action(ActionState::Unknown, 0)
            }
        }
    }
}

fn dispatch_of(partition: Partition, epoch: Epoch, call: CallId, once: AtMostOnce) -> Dispatch {
    Dispatch {
        partition,
        epoch,
        intent: once.intent,
        call,
        incarnation: once.incarnation,
    }
}

/// Sends one request on a fresh connection, once.
async fn send<S: Service>(service: S, request: ServiceRequest, limit: Duration) -> ActionResult {
    let late = async {
        Timer::after(limit).await;
        Err(ServiceError::Unknown("no answer in time".to_string()))
    };
    match service.invoke(request).or(late).await {
        Ok(reply) => ActionResult::Done(reply),
        Err(ServiceError::NotSent(why)) => ActionResult::NotRun(why),
        Err(ServiceError::Unknown(why)) => ActionResult::Unknown(why),
    }
}

fn not_run(why: &str) -> ActionResult {
    ActionResult::NotRun(why.to_string())
}

fn millis(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}
