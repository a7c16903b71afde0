//! HTTP request handler of the service stand-in.

use super::state::{
    ServiceAction, ServiceConfig, ServiceControl, ServiceCounts, ServiceFault, ServiceState,
    expected_result,
};
use crate::ids::{CallId, parse_id};
use crate::standin::server::{Handler, Request, Response, Server, ServerRef};
use smol::Timer;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use trillium_http::Method;

/// Prefix of the path of every operation.
const OPERATION_PATH_PREFIX: &str = "/v1/operations/";

/// Handles the requests to a service.
pub(crate) struct ServiceHandler {
    state: Mutex<ServiceState>,
    server: ServerRef<ServiceHandler>,
}

impl ServiceHandler {
    /// Creates a service without actions.
    pub(crate) fn new(config: ServiceConfig) -> Self {
        Self {
            state: Mutex::new(ServiceState::new(&config)),
            server: ServerRef::default(),
        }
    }

    /// Sets the server, which a control request can stop.
    pub(crate) fn attach(&self, server: &Arc<Server<ServiceHandler>>) {
        self.server.attach(server);
    }

    /// Applies a change of the service's behaviour.
    pub(crate) async fn control(&self, control: ServiceControl) {
        let down = control.down;
        self.lock().apply(control);
        self.server.set_down(down).await;
    }

    /// Returns the counters.
    pub(crate) fn counts(&self) -> ServiceCounts {
        self.lock().counts.clone()
    }

    /// Returns how often the action of a call took effect.
    pub(crate) fn run_count(&self, call: CallId) -> u32 {
        self.lock().run_count(call)
    }

    /// Returns the actions that took effect, in order.
    pub(crate) fn actions(&self) -> Vec<ServiceAction> {
        self.lock().actions()
    }

    /// Runs an operation, subject to the active faults.
    async fn run_operation(&self, operation: &str, request: Request) -> Response {
        let key = request.idempotency_key.unwrap_or_default();
        let Some(call) = parse_id(&key) else {
            return Response::error(400, "invalid", "The idempotency key is no id.");
        };
        let Ok(body) = String::from_utf8(request.body) else {
            return Response::error(400, "invalid", "The body is not text.");
        };
        let (fault, work) = self.lock().draw_request();
        match fault {
            ServiceFault::HangBefore => return Response::Hang,
            ServiceFault::CutBefore => return Response::Disconnect,
            ServiceFault::Fail => return Response::error(500, "failed", "It has not run."),
            ServiceFault::None | ServiceFault::HangAfter | ServiceFault::LostAnswer => {}
        }
        if !work.is_zero() {
            Timer::after(work).await;
        }
        let result = expected_result(operation, &key, &body);
        self.record_action(call, key, operation, body);
        match fault {
            ServiceFault::HangAfter => Response::Hang,
            ServiceFault::LostAnswer => {
                self.lock().counts.lost_answers += 1;
                Response::Disconnect
            }
            _ => Response::Full {
                status: 200,
                media_type: "application/json",
                body: result.into_bytes(),
            },
        }
    }

    /// Records an action that takes effect.
    fn record_action(&self, call: CallId, key: String, operation: &str, body: String) {
        let action = ServiceAction {
            call: key,
            operation: operation.to_owned(),
            body,
        };
        self.lock().record_action(call, action);
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request) -> Response {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/counts") => Response::json(200, &self.counts()),
            (Method::Get, "/actions") => Response::json(200, &self.actions()),
            (Method::Post, "/control") => match request.json() {
                Ok(control) => {
                    self.control(control).await;
                    Response::json(200, &())
                }
                Err(response) => response,
            },
            (Method::Post, path) => {
                match path.strip_prefix(OPERATION_PATH_PREFIX).map(str::to_owned) {
                    Some(operation) => self.run_operation(&operation, request).await,
                    None => Response::not_found(),
                }
            }
            _ => Response::not_found(),
        }
    }
}
