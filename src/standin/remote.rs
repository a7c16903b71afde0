//! A client for stand-ins that run in other processes.

use crate::http::{HttpClient, HttpRequest, HttpResponse};
use anyhow::{Context, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use trillium_client::Method;

/// A client for a stand-in in another process.
#[derive(Clone, Debug)]
pub struct RemoteStandin {
    http: HttpClient,
}

impl RemoteStandin {
    /// Creates a client for the URL that the stand-in printed. `timeout` limits each request.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(url, timeout),
        }
    }

    /// Changes the stand-in's behaviour. `control` is the control type of its kind, such as
    /// [`LogControl`](super::LogControl).
    pub async fn control(&self, control: &impl Serialize) -> anyhow::Result<()> {
        let body = serde_json::to_vec(control)?;
        let request = HttpRequest::new(Method::Post, "/control").json(body);
        self.send(request).await.map(drop)
    }

    /// Returns the stand-in's counters. `T` is the counts type of its kind, such as
    /// [`LogCounts`](super::LogCounts).
    pub async fn counts<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        let request = HttpRequest::new(Method::Get, "/counts");
        let answer = self.send(request).await?;
        serde_json::from_slice(&answer.body)
            .context("the counters do not match the requested kind of stand-in")
    }

    async fn send(&self, request: HttpRequest) -> anyhow::Result<HttpResponse> {
        let sent = self.http.send(request).await;
        let answer =
            sent.map_err(|error| anyhow::anyhow!("the request to the stand-in failed: {error}"))?;
        ensure!(
            answer.status == 200,
            "the stand-in answered with status {}",
            answer.status
        );
        Ok(answer)
    }
}
