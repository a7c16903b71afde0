//! HTTP request handler of the weight store stand-in.

use crate::ids::ModelId;
use crate::standin::bucket::{TokenBucket, retry_after_ms};
use crate::standin::server::{Handler, Request, Response, Server, ServerRef};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use trillium_http::Method;

/// Settings of a weight store stand-in.
#[derive(Clone, Debug)]
pub struct WeightsConfig {
    /// Maximum rate of granted model loads, per second.
    pub grants_per_s: f64,
    /// Maximum number of model loads granted in a burst.
    pub burst: f64,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self {
            grants_per_s: 0.5,
            burst: 2.0,
        }
    }
}

/// A change of the store's behaviour. Omitted fields keep their values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsControl {
    /// Maximum rate of granted model loads, per second.
    pub grants_per_s: Option<f64>,
    /// With `true`, stops listening and closes every connection. With `false`, resumes listening.
    pub down: Option<bool>,
}

/// Counters of a weight store stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsCounts {
    /// Number of model loads granted.
    pub granted: u64,
    /// Number of requests refused by the rate limit.
    pub waits: u64,
}

/// Handles the requests to a weight store.
pub(crate) struct WeightsHandler {
    inner: Mutex<(TokenBucket, WeightsCounts)>,
    server: ServerRef<WeightsHandler>,
}

impl WeightsHandler {
    /// Creates a store without grants.
    pub(crate) fn new(config: &WeightsConfig) -> Self {
        let bucket = TokenBucket::new(config.grants_per_s, config.burst, Instant::now());
        Self {
            inner: Mutex::new((bucket, WeightsCounts::default())),
            server: ServerRef::default(),
        }
    }

    /// Sets the server, which a control request can stop.
    pub(crate) fn attach(&self, server: &Arc<Server<WeightsHandler>>) {
        self.server.attach(server);
    }

    /// Applies a change of the store's behaviour.
    pub(crate) async fn control(&self, control: &WeightsControl) {
        if let Some(grants_per_s) = control.grants_per_s {
            self.lock().0.set_rate(grants_per_s);
        }
        self.server.set_down(control.down).await;
    }

    /// Returns the counters.
    pub(crate) fn counts(&self) -> WeightsCounts {
        self.lock().1
    }

    /// Grants a model load, or returns the time until the request can be retried.
    fn grant(&self, request: &Request) -> Response {
        if let Err(response) = request.json::<GrantRequest>() {
            return response;
        }
        let mut inner = self.lock();
        let (bucket, counts) = &mut *inner;
        match bucket.take(Instant::now()) {
            Ok(()) => {
                counts.granted += 1;
                Response::json(200, &serde_json::json!({"granted": true}))
            }
            Err(wait) => {
                counts.waits += 1;
                Response::json(
                    429,
                    &serde_json::json!({"retry_after_ms": retry_after_ms(wait)}),
                )
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, (TokenBucket, WeightsCounts)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of a request for a grant.
#[derive(Deserialize)]
struct GrantRequest {
    #[serde(rename = "model")]
    _model: ModelId,
    #[serde(rename = "version")]
    _version: u32,
}

impl Handler for WeightsHandler {
    async fn handle(&self, request: Request) -> Response {
        match (request.method, request.path.as_str()) {
            (Method::Post, "/v1/grants") => self.grant(&request),
            (Method::Get, "/counts") => Response::json(200, &self.counts()),
            (Method::Post, "/control") => match request.json() {
                Ok(control) => {
                    self.control(&control).await;
                    Response::json(200, &())
                }
                Err(response) => response,
            },
            _ => Response::not_found(),
        }
    }
}
