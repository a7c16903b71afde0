//! Asks an endpoint whether it still runs after a connection to it has ended. The network and
//! intermediaries end connections too, so an end alone does not show a crash.

use super::quarantine::Attempt;
use crate::choice::announced_ends::ObservedEnd;
use crate::choice::endpoints::{EndpointRecord, InstanceId};
use crate::dialect::{Dialect, Dispatch};
use crate::net::{connect, with_timeout};
use crate::node::Gateway;
use crate::serve::call::Call;
use crate::serve::http::{BodyDecoder, Connection};
use galenapick::crashes::Lifetime;
use smol::Timer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time until an endpoint has answered. One that has crashed refuses connections at once.
pub(super) const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to connect; long enough for one retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of connections for one check.
const MAX_CONNECTIONS: u32 = 4;

/// Delay before the second connection. Each further one doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum size of a status document that is read.
const MAX_STATUS_BYTES: usize = 64 * 1024;

/// Whether the incarnation that had a request still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Survival {
    /// It answered.
    Survived,
    /// It refuses connections, or another incarnation answered in its place.
    Ended,
    /// It gave no answer; counts as ended.
    Unknown,
}

/// How an incarnation of an endpoint is asked whether it runs.
#[derive(Clone, Debug)]
pub(super) struct StatusAddress {
    id: InstanceId,
    started_unix_ms: Option<u64>,
    address: SocketAddr,
    path: Rc<str>,
}

impl StatusAddress {
    /// Returns how an endpoint that gets a call is asked; `None` if its service has no status request.
    pub(super) fn of(call: &Call, endpoint: &EndpointRecord) -> Option<Self> {
        let service = call.services.get(&endpoint.service)?;
        Some(Self {
            id: endpoint.id.clone(),
            started_unix_ms: endpoint.started_unix_ms,
            address: endpoint.address,
            path: service.status_path.clone()?,
        })
    }
}

/// An attempt with the end of its connection.
type EndedAttempt = (Attempt, ObservedEnd);

/// Attempts whose connections ended, by the incarnation that is being asked. An incarnation is asked
/// once at a time; the list is empty if no attempt was added since the question.
#[derive(Debug, Default)]
pub(crate) struct SurvivalChecks(RefCell<HashMap<Lifetime, Vec<EndedAttempt>>>);

impl SurvivalChecks {
    /// Adds an attempt. Returns whether its endpoint is not being asked yet.
    fn push(&self, attempt: Attempt, end: ObservedEnd) -> bool {
        let mut checks = self.0.borrow_mut();
        let attempts = checks.entry(attempt.lifetime);
        let mut is_first = false;
        let attempts = attempts.or_insert_with(|| {
            is_first = true;
            Vec::new()
        });
        attempts.push((attempt, end));
        is_first
    }

    /// Takes the attempts that were added since the last call; `None` ends the checks.
    fn take(&self, lifetime: Lifetime) -> Option<Vec<EndedAttempt>> {
        let mut checks = self.0.borrow_mut();
        let attempts = checks.get_mut(&lifetime).map(std::mem::take);
        let attempts = attempts.filter(|attempts| !attempts.is_empty());
        if attempts.is_none() {
            checks.remove(&lifetime);
        }
        attempts
    }
}

impl<D: Dialect> Gateway<D> {
    /// Has an attempt judged once it is known whether its endpoint still runs.
    pub(super) fn judge_after_check(
        self: &Rc<Self>,
        status: &StatusAddress,
        attempt: &Attempt,
        end: ObservedEnd,
    ) {
        if !self.survival_checks.push(attempt.clone(), end) {
            return;
        }
        let (gateway, status, lifetime) = (self.clone(), status.clone(), attempt.lifetime);
        let check = async move {
            while let Some(attempts) = gateway.survival_checks.take(lifetime) {
                let asked_at = Instant::now();
                let (survival, reason) = gateway.ask_survival(&status).await;
                gateway.counters.record_survival(survival);
                crate::event!("endpoint_checked", "endpoint" => &*status.id,
                    "survival" => survival.to_string(), "reason" => reason,
                    "attempts" => attempts.len() as u64,
                    "took_ms" => asked_at.elapsed().as_millis());
                for (attempt, end) in &attempts {
                    gateway.judge_ended_connection(&status.id, attempt, *end, survival);
                }
            }
        };
        self.executor.spawn(check).detach();
    }

    async fn ask_survival(&self, status: &StatusAddress) -> (Survival, &'static str) {
        let ask = async {
            let mut backoff = INITIAL_BACKOFF;
            for _ in 1..MAX_CONNECTIONS {
                match self.ask_once(status).await {
                    Ok(answer) => return answer,
                    // A busy endpoint and a disturbed network also reset connections.
                    Err(_) => Timer::after(backoff).await,
                };
                backoff *= 2;
            }
            let unknown = (Survival::Unknown, "the connections broke");
            self.ask_once(status).await.unwrap_or(unknown)
        };
        let timeout = (Survival::Unknown, "no answer in time");
        with_timeout(CHECK_TIMEOUT, ask).await.unwrap_or(timeout)
    }

    /// Sends one status request. An error says nothing of the endpoint.
    async fn ask_once(&self, status: &StatusAddress) -> io::Result<(Survival, &'static str)> {
        let stream = match with_timeout(CONNECT_TIMEOUT, connect(status.address)).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Ok((Survival::Ended, "it refuses connections"));
            }
            Some(Err(error)) => return Err(error),
            None => return Err(io::ErrorKind::TimedOut.into()),
        };
        let mut connection = Connection::new(stream);
        let mut request = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\n",
            status.path, status.address
        )
        .into_bytes();
        let dispatch = Dispatch {
            time_left: CHECK_TIMEOUT,
            instance: &status.id,
            account: None,
        };
        D::write_dispatch(&dispatch, &mut request);
        request.extend_from_slice(b"Connection: close\r\n\r\n");
        connection.write_all(&request).await?;
        let head = connection.read_response().await?;
        let info = D::parse_answer(&head.headers);
        let is_other = info.instance.is_some_and(|named| *named != *status.id);
        if head.status == 421 || is_other {
            return Ok((Survival::Ended, "another instance answered"));
        }
        let mut body = Vec::new();
        let mut decoder = BodyDecoder::new(head.framing);
        while !decoder.is_done() && body.len() < MAX_STATUS_BYTES {
            // The head alone shows that the instance runs.
            if connection.read_body(&mut decoder, &mut body).await.is_err() {
                break;
            }
        }
        let started_unix_ms = D::parse_status(&body).or(status.started_unix_ms);
        if status.started_unix_ms.is_some() && started_unix_ms != status.started_unix_ms {
            return Ok((Survival::Ended, "it has started again"));
        }
        Ok((Survival::Survived, "it answered"))
    }
}
