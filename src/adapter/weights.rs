//! HTTP client for the weight store.

use crate::http::{HttpClient, HttpRequest, retry_after};
use crate::ids::ModelId;
use crate::protocol::weights::{WeightGrant, WeightStore};
use serde::Deserialize;
use std::time::Duration;
use trillium_client::Method;

/// HTTP client of the weight store: `POST /v1/grants` returns 200 with `granted`, or 429 with
/// `retry_after_ms`.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client for a base URL such as `http://127.0.0.1:80`. `timeout` limits a whole
    /// response.
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
        let response = self.http.send(request).await.ok()?;
        match response.status {
            200 => {
                let grant: GrantBody = serde_json::from_slice(&response.body).ok()?;
                grant.granted.then_some(WeightGrant::Granted)
            }
            429 => {
                let wait: WaitBody = serde_json::from_slice(&response.body).ok()?;
                Some(WeightGrant::Wait(retry_after(wait.retry_after_ms)))
            }
            _ => None,
        }
    }
}

/// The body of a response with status 200.
#[derive(Deserialize)]
struct GrantBody {
    granted: bool,
}

/// The body of a response with status 429.
#[derive(Deserialize)]
struct WaitBody {
    retry_after_ms: u64,
}
