//! Client of the operator HTTP interface.

use crate::http::{build_client, open, with_timeout};
use crate::limits::MAX_ENTRY_ANSWER_BYTES;
use anyhow::{Context, anyhow};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use trillium_client::{Client, Conn, Method};
use trillium_smol::ClientConfig;

/// Timeout for an answer. It is long because a change waits for the log to commit it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of the operator interface of one entry.
#[derive(Clone, Debug)]
pub(super) struct OperatorClient {
    client: Client,
    base: String,
    authorization: String,
}

/// HTTP status and body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl OperatorClient {
    /// Creates a client of the entry at `IP:port`.
    pub(super) fn new(entry: &str, token: &str) -> Self {
        let address = entry.trim_start_matches("http://").trim_end_matches('/');
        Self {
            client: build_client(
                ClientConfig::new().with_nodelay(true),
                MAX_ENTRY_ANSWER_BYTES,
            ),
            base: format!("http://{address}/operator/v1"),
            authorization: format!("Bearer {token}"),
        }
    }

    /// Sends a GET request and deserializes the JSON answer. Any status but 200 is an error.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let conn = self.client.build_conn(Method::Get, self.url(path));
        self.send(conn)?.expect_ok()
    }

    /// Sends a POST request with a JSON body and returns the answer with any status.
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
        let answer = smol::block_on(with_timeout(ANSWER_TIMEOUT, async {
            open(conn).await?.read_whole(MAX_ENTRY_ANSWER_BYTES).await
        }));
        let answer = answer.map_err(|e| anyhow!("{}: {e}", self.base))?;
        Ok(Answer {
            status: answer.status,
            body: answer.body,
        })
    }
}

impl Answer {
    /// Deserializes the JSON body, regardless of the status.
    pub(super) fn read<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body).with_context(|| self.error_message())
    }

    /// Deserializes the JSON body if the status is 200; otherwise returns the reported error.
    pub(super) fn expect_ok<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        if self.status == 200 {
            return self.read();
        }
        Err(anyhow!(self.error_message()))
    }

    /// Returns the `error` field of the body, or a message with the status if there is none.
    fn error_message(&self) -> String {
        let parsed: Option<serde_json::Value> = serde_json::from_slice(&self.body).ok();
        let error = parsed.and_then(|value| Some(value.get("error")?.as_str()?.to_string()));
        error.unwrap_or_else(|| format!("the entry answered with status {}", self.status))
    }

    /// Returns the HTTP status code.
    pub(super) fn status(&self) -> u16 {
        self.status
    }
}
