//! HTTP request handler of the VM list stand-in.

use super::state::{VmsConfig, VmsControl, VmsState};
use crate::protocol::vms::Vm;
use crate::standin::server::{Handler, Request, Response, Server, ServerRef};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use trillium_http::Method;

/// Handles the requests to a VM list.
pub(crate) struct VmsHandler {
    state: Mutex<VmsState>,
    server: ServerRef<VmsHandler>,
}

impl VmsHandler {
    /// Creates a list that is visible immediately.
    pub(crate) fn new(config: VmsConfig) -> Self {
        Self {
            state: Mutex::new(VmsState::new(config, Instant::now())),
            server: ServerRef::default(),
        }
    }

    /// Sets the server, which a control request can stop.
    pub(crate) fn attach(&self, server: &Arc<Server<VmsHandler>>) {
        self.server.attach(server);
    }

    /// Replaces the list. The change becomes visible after the lag.
    pub(crate) fn set(&self, vms: Vec<Vm>) {
        self.lock().set(vms, Instant::now());
    }

    /// Applies a change of the list or its behaviour.
    pub(crate) async fn control(&self, control: VmsControl) {
        if let Some(lag_ms) = control.lag_ms {
            self.lock().set_lag(Duration::from_millis(lag_ms));
        }
        if let Some(vms) = control.vms {
            self.set(vms);
        }
        self.server.set_down(control.down).await;
    }

    fn lock(&self) -> MutexGuard<'_, VmsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for VmsHandler {
    async fn handle(&self, request: Request) -> Response {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/v1/vms") => {
                Response::json(200, &self.lock().visible_list(Instant::now()))
            }
            (Method::Post, "/control") => match request.json() {
                Ok(control) => {
                    self.control(control).await;
                    Response::json(200, &())
                }
                Err(response) => response,
            },
            _ => Response::not_found(),
        }
    }
}
