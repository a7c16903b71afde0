//! The weight store over HTTP.

use crate::adapter::http::{HttpClient, HttpRequest, retry_after};
use crate::ids::ModelId;
use crate::protocol::weights::{WeightGrant, WeightStore};
use serde::Deserialize;
use std::time::Duration;
use trillium_client::Method;

/// A client of the weight store: `POST /v1/grants` answers 200 with `granted`, or 429 with a
/// time to wait.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: HttpClient,
}

impl HttpWeightStore {
    /// Makes a client for a base URL such as `http://127.0.0.1:80`.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(base, timeout),
        }
    }
}

impl WeightStore for HttpWeightStore {
    async fn request(&self, model: &ModelId, version: u32) -> Option<WeightGrant> {
        let body = serde_json::json!({"model": model, "version": version});
        let body = serde_json::to_vec(&body).ok()?;
        let request = HttpRequest::new(Method::Post, "/v1/grants").json(body);
        let answer = self.http.send(request).await.ok()?;
        match answer.status {
            200 => {
                let grant: Grant = serde_json::from_slice(&answer.body).ok()?;
                grant.granted.then_some(WeightGrant::Granted)
            }
            429 => {
                let wait: Wait = serde_json::from_slice(&answer.body).ok()?;
                Some(WeightGrant::Wait(retry_after(wait.retry_after_ms)))
            }
            _ => None,
        }
    }
}

/// The body of an answer that grants a load.
#[derive(Deserialize)]
struct Grant {
    granted: bool,
}

/// The body of an answer that says to wait.
#[derive(Deserialize)]
struct Wait {
    retry_after_ms: u64,
}
