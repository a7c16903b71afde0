//! HTTP client for the platform's list of VMs.

use crate::http::{HttpClient, HttpRequest};
use crate::protocol::vms::{Vm, VmList};
use std::time::Duration;
use trillium_client::Method;

/// HTTP client of the platform's list of VMs: `GET /v1/vms` returns a JSON array.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    http: HttpClient,
}

impl HttpVmList {
    /// Creates a client for a base URL such as `http://127.0.0.1:80`. `timeout` limits a whole
    /// response.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(base, timeout),
        }
    }
}

impl VmList for HttpVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        let request = HttpRequest::new(Method::Get, "/v1/vms");
        let response = self.http.send(request).await.ok()?;
        if response.status != 200 {
            return None;
        }
        serde_json::from_slice(&response.body).ok()
    }
}
