//! HTTP request handler of the engine stand-in.

use super::config::{EngineConfig, EngineControl, EngineCounts};
use super::core::Core;
use super::ledger::TokenLedger;
use super::wire::{CompletionRequest, OrderRequest, held_response, unknown_response};
use crate::ids::{CallId, ProgramId, format_id, parse_id};
use crate::protocol::engine::EngineOrder;
use crate::standin::server::{Handler, Request, Response, Server, ServerRef};
use async_channel::{Receiver, Sender};
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium_http::Method;
use trillium_smol::async_global_executor::spawn;

/// Handles the requests to an engine.
pub(crate) struct EngineHandler {
    core: Arc<Core>,
    /// Wakes the stepper.
    wake_tx: Sender<()>,
    server: ServerRef<EngineHandler>,
}

impl EngineHandler {
    /// Creates an engine and the receiver that wakes its stepper.
    pub(crate) fn new(config: EngineConfig, ledger: TokenLedger) -> (Self, Receiver<()>) {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let core = Arc::new(Core::new(config, ledger));
        let handler = Self {
            core,
            wake_tx,
            server: ServerRef::default(),
        };
        (handler, wake_rx)
    }

    /// Sets the server, which a control request can stop.
    pub(crate) fn attach(&self, server: &Arc<Server<EngineHandler>>) {
        self.server.attach(server);
    }

    /// Returns the state that the stepper shares with the handler.
    pub(crate) fn core(&self) -> Arc<Core> {
        self.core.clone()
    }

    /// Applies a change of the engine's behaviour.
    pub(crate) async fn control(&self, control: EngineControl) {
        self.core.apply(&control);
        self.wake_stepper();
        self.server.set_down(control.down).await;
    }

    /// Returns the counters.
    pub(crate) fn counts(&self) -> EngineCounts {
        let inner = self.core.lock();
        EngineCounts {
            orders: inner.orders.executed().to_vec(),
            ..inner.batch.counts()
        }
    }

    /// Returns the programs that have tokens in the cache, with the number of these tokens.
    pub(crate) fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        self.core.lock().batch.cached_programs()
    }

    /// Signals the stepper that there may be work.
    fn wake_stepper(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake_tx.try_send(());
    }

    /// Starts a generation and returns its event stream.
    fn start_generation(&self, request: &Request) -> Response {
        let generation = match request
            .json::<CompletionRequest>()
            .and_then(CompletionRequest::into_generate_request)
        {
            Ok(generation) => generation,
            Err(response) => return response,
        };
        let mut inner = self.core.lock();
        if inner.refuse {
            return Response::error(503, "busy", "The engine takes no more streams.");
        }
        if !inner.batch.serves_model(&generation.model) {
            return Response::error(404, "no_model", "The model is not loaded.");
        }
        if inner.crashes_on(&generation) {
            inner.batch.crash(Instant::now());
            drop(inner);
            if let Some(server) = self.server.get() {
                server.close_connections();
            }
            return Response::Disconnect;
        }
        let body = inner.batch.start(&generation, Instant::now());
        drop(inner);
        self.wake_stepper();
        Response::Events(body)
    }

    /// Resumes reading a stream, or cancels it.
    fn stream(&self, method: Method, call: CallId, request: &Request) -> Response {
        let mut inner = self.core.lock();
        match method {
            Method::Get => {
                let from = request.query_number("from").unwrap_or(0);
                let body = inner
                    .batch
                    .resume(call, u32::try_from(from).unwrap_or(u32::MAX));
                body.map_or_else(unknown_response, Response::Events)
            }
            Method::Delete => {
                if inner.batch.cancel(call, Instant::now()) {
                    Response::json(200, &serde_json::json!({}))
                } else {
                    unknown_response()
                }
            }
            _ => Response::not_found(),
        }
    }

    /// Handles a request for a program's cache: query, release, export or import.
    async fn cache(&self, request: Request, program: ProgramId, action: &str) -> Response {
        match (request.method, action) {
            (Method::Get, "") => held_response(self.core.lock().batch.cache.held_tokens(program)),
            (Method::Delete, "") => {
                let held_tokens = self.core.lock().batch.release(program, Instant::now());
                self.wake_stepper();
                held_response(held_tokens)
            }
            (Method::Get, "export") => self.export(program).await,
            (Method::Put, "import") => self.import(program, &request.body).await,
            _ => Response::not_found(),
        }
    }

    /// Exports a program's cache.
    async fn export(&self, program: ProgramId) -> Response {
        let (bytes, tokens) = {
            let inner = self.core.lock();
            let cache = &inner.batch.cache;
            (cache.export(program), cache.held_tokens(program))
        };
        self.simulate_transfer(tokens).await;
        match bytes {
            Some(body) => Response::Full {
                status: 200,
                media_type: "application/octet-stream",
                body,
            },
            None => unknown_response(),
        }
    }

    /// Imports a program's cache.
    async fn import(&self, program: ProgramId, bytes: &[u8]) -> Response {
        if !self
            .core
            .lock()
            .batch
            .import(program, bytes, Instant::now())
        {
            return Response::error(409, "import", "The cache is malformed or does not fit.");
        }
        let tokens = self.core.lock().batch.cache.held_tokens(program);
        self.simulate_transfer(tokens).await;
        held_response(tokens)
    }

    /// Waits for the duration of a cache transfer.
    async fn simulate_transfer(&self, tokens: u64) {
        let time_s = tokens as f64 / self.core.config.transfer_tokens_per_s.max(1.0);
        Timer::after(self.core.scale(Duration::from_secs_f64(time_s))).await;
    }

    /// Executes an order. A model finishes loading after the response.
    fn order(&self, request: &Request) -> Response {
        let order: OrderRequest = match request.json() {
            Ok(order) => order,
            Err(response) => return response,
        };
        if !self.core.lock().orders.accept(order.fence, &order.order) {
            return Response::error(409, "fenced", "The fencing number is old.");
        }
        match order.order {
            EngineOrder::Unload { model } => {
                self.core.lock().batch.unload_model(&model, Instant::now())
            }
            EngineOrder::Load { model, version } => {
                let core = self.core.clone();
                let load = async move {
                    Timer::after(core.scale(core.config.load_time)).await;
                    core.lock().batch.load_model(model, version, Instant::now());
                };
                spawn(load).detach();
            }
        }
        Response::json(200, &serde_json::json!({}))
    }

    /// Returns the newest visible load report.
    fn load(&self) -> Response {
        Response::json(200, &self.core.lock().batch.load(Instant::now()))
    }

    /// Returns the visible cache events after a sequence number.
    fn events(&self, request: &Request) -> Response {
        let after = request.query_number("after").unwrap_or(0);
        let events = self.core.lock().batch.events(after, Instant::now());
        let events = events.into_iter().map(|event| {
            serde_json::json!({
                "sequence": event.sequence,
                "program": format_id(event.program),
                "held_tokens": event.held_tokens,
            })
        });
        Response::json(200, &events.collect::<Vec<_>>())
    }

    /// Routes a request whose path contains ids.
    async fn route_ids(&self, request: Request) -> Response {
        let path = request.path.clone();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match parts.as_slice() {
            ["v1", "streams", call] => match parse_id(call) {
                Some(call) => self.stream(request.method, call, &request),
                None => unknown_response(),
            },
            ["v1", "cache", program] | ["v1", "cache", program, ""] => match parse_id(program) {
                Some(program) => self.cache(request, program, "").await,
                None => unknown_response(),
            },
            ["v1", "cache", program, action] => match parse_id(program) {
                Some(program) => self.cache(request, program, action).await,
                None => unknown_response(),
            },
            _ => Response::not_found(),
        }
    }
}

impl Handler for EngineHandler {
    async fn handle(&self, request: Request) -> Response {
        match (request.method, request.path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.start_generation(&request),
            (Method::Get, "/v1/load") => self.load(),
            (Method::Get, "/v1/cache/events") => self.events(&request),
            (Method::Post, "/v1/orders") => self.order(&request),
            (Method::Get, "/counts") => Response::json(200, &self.counts()),
            (Method::Post, "/control") => match request.json() {
                Ok(control) => {
                    self.control(control).await;
                    Response::json(200, &())
                }
                Err(response) => response,
            },
            _ => self.route_ids(request).await,
        }
    }
}
