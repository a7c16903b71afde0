//! Control of stand-ins that run as processes of their own.

use crate::adapter::http::{HttpClient, HttpRequest, HttpResponse};
use anyhow::{Context, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use trillium_client::Method;

/// A stand-in in another process.
#[derive(Clone, Debug)]
pub struct RemoteStandin {
    http: HttpClient,
}

impl RemoteStandin {
    /// Makes a client for the URL that the stand-in has printed.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(url, timeout),
        }
    }

    /// Changes how it behaves; `control` is its kind's control type, such as
    /// [`LogControl`](super::LogControl).
    pub async fn control(&self, control: &impl Serialize) -> anyhow::Result<()> {
        let body = serde_json::to_vec(control)?;
        let request = HttpRequest::new(Method::Post, "/control").json(body);
        self.send(request).await.map(drop)
    }

    /// Returns what it has counted; `T` is its kind's counts type, such as
    /// [`LogCounts`](super::LogCounts).
    pub async fn counts<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        let request = HttpRequest::new(Method::Get, "/counts");
        let answer = self.send(request).await?;
        serde_json::from_slice(&answer.body).context("the counts are of another kind")
    }

    async fn send(&self, request: HttpRequest) -> anyhow::Result<HttpResponse> {
        let sent = self.http.send(request).await;
        let answer = sent.map_err(|error| anyhow::anyhow!("the stand-in: {error}"))?;
        ensure!(
            answer.status == 200,
            "the stand-in answered {}",
            answer.status
        );
        Ok(answer)
    }
}
