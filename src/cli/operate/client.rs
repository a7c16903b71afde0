//! A client of the operators' HTTP interface.

use crate::adapter::http::{build_client, open, with_timeout};
use anyhow::{Context, anyhow};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use trillium_client::{Client, Conn, Method};
use trillium_smol::ClientConfig;

/// Longest wait for an answer; a change waits for the log.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Talks to one entry.
#[derive(Clone, Debug)]
pub(super) struct OperatorClient {
    client: Client,
    base: String,
    authorization: String,
}

/// An answer with its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl OperatorClient {
    /// Makes a client of the entry at `IP:port`.
    pub(super) fn new(entry: &str, token: &str) -> Self {
        let address = entry.trim_start_matches("http://").trim_end_matches('/');
        Self {
            client: build_client(ClientConfig::new().with_nodelay(true)),
            base: format!("http://{address}/operator/v1"),
            authorization: format!("Bearer {token}"),
        }
    }

    /// Reads something.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let conn = self.client.build_conn(Method::Get, self.url(path));
        self.send(conn)?.expect_ok()
    }

    /// Asks for something and returns the answer whatever its status is.
    pub(super) fn post(&self, path: &str, body: &impl Serialize) -> anyhow::Result<Answer> {
        let body = serde_json::to_vec(body)?;
        let conn = self.client.build_conn(Method::Post, self.url(path));
        let conn = conn.with_request_header("content-type", "application/json");
        self.send(conn.with_body(body))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn send(&self, conn: Conn) -> anyhow::Result<Answer> {
        let conn = conn.with_request_header("authorization", self.authorization.clone());
        let answer = smol::block_on(with_timeout(ANSWER_LIMIT, async {
            open(conn).await?.read_whole().await
        }));
        let answer = answer.map_err(|e| anyhow!("{}: {e}", self.base))?;
        Ok(Answer {
            status: answer.status,
            body: answer.body,
        })
    }
}

impl Answer {
    /// Reads the body whatever the status is, if it is one of these things.
    pub(super) fn read<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body).with_context(|| self.complaint())
    }

    /// Reads the body of a good answer.
    pub(super) fn expect_ok<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        if self.status == 200 {
            return self.read();
        }
        Err(anyhow!(self.complaint()))
    }

    /// Returns what a bad answer says.
    fn complaint(&self) -> String {
        let parsed: Option<serde_json::Value> = serde_json::from_slice(&self.body).ok();
        let error = parsed.and_then(|value| Some(value.get("error")?.as_str()?.to_string()));
        error.unwrap_or_else(|| format!("the entry answered with status {}", self.status))
    }

    /// Returns the status.
    pub(super) fn status(&self) -> u16 {
        self.status
    }
}
