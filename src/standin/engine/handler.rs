//! Answers the requests to the engine stand-in.

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

/// The engine behind its server.
pub(crate) struct EngineHandler {
    core: Arc<Core>,
    /// Wakes the stepper.
    wake_tx: Sender<()>,
    server: ServerRef<EngineHandler>,
}

impl EngineHandler {
    /// Makes an engine, and the end by which its stepper is woken.
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

    /// Names the server, which a control can stop.
    pub(crate) fn attach(&self, server: &Arc<Server<EngineHandler>>) {
        self.server.attach(server);
    }

    /// Returns what the stepper needs.
    pub(crate) fn core(&self) -> Arc<Core> {
        self.core.clone()
    }

    /// Takes over a change.
    pub(crate) async fn control(&self, control: EngineControl) {
        self.core.apply(&control);
        self.wake_stepper();
        self.server.set_down(control.down).await;
    }

    /// Returns what was counted.
    pub(crate) fn counts(&self) -> EngineCounts {
        let inner = self.core.lock();
        EngineCounts {
            orders: inner.orders.executed().to_vec(),
            ..inner.batch.counts()
        }
    }

    /// Returns what each program holds.
    pub(crate) fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        self.core.lock().batch.cached_programs()
    }

    /// Tells the stepper that there may be something to do.
    fn wake_stepper(&self) {
        // A full channel already wakes it.
        let _ = self.wake_tx.try_send(());
    }

    /// Begins a generation.
    fn start_generation(&self, request: &Request) -> Response {
        let generate = match request
            .json::<CompletionRequest>()
            .and_then(CompletionRequest::into_generate_request)
        {
            Ok(generate) => generate,
            Err(response) => return response,
        };
        let mut inner = self.core.lock();
        if inner.refuse {
            return Response::error(503, "busy", "The engine takes no more streams.");
        }
        if !inner.batch.serves_model(&generate.model) {
            return Response::error(404, "no_model", "The model is not loaded.");
        }
        let body = inner.batch.start(&generate, Instant::now());
        drop(inner);
        self.wake_stepper();
        Response::Events(body)
    }

    /// Answers a request about one stream.
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

    /// Answers a request about a program's cache.
    async fn cache(&self, request: Request, program: ProgramId, action: &str) -> Response {
        match (request.method, action) {
            (Method::Get, "") => held_response(self.core.lock().batch.cache.held_tokens(program)),
            (Method::Delete, "") => {
                let left = self.core.lock().batch.release(program, Instant::now());
                self.wake_stepper();
                held_response(left)
            }
            (Method::Get, "export") => self.export(program).await,
            (Method::Put, "import") => self.import(program, &request.body).await,
            _ => Response::not_found(),
        }
    }

    /// Takes a cache out.
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

    /// Puts a cache in.
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

    /// Waits as long as it takes to move a cache.
    async fn simulate_transfer(&self, tokens: u64) {
        let time_s = tokens as f64 / self.core.config.transfer_tokens_per_s.max(1.0);
        Timer::after(self.core.scale(Duration::from_secs_f64(time_s))).await;
    }

    /// Takes an order; loading goes on after the answer.
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

    /// Returns the load report.
    fn load(&self) -> Response {
        Response::json(200, &self.core.lock().batch.load(Instant::now()))
    }

    /// Returns cache events.
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

    /// Answers a request whose path has ids in it.
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
