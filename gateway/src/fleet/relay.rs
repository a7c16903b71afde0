//! Relays calls to the store for peers that the store refuses or that cannot reach it, and hands the
//! configuration in force over to those that lack it.
//!
//! All paths to the store are equivalent. Appends carry their producer's name and sequence number,
//! so a call that arrives over two paths is executed once.

use crate::counters::RelayOutcome;
use crate::dialect::{Dialect, StoreCall, Topic};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::serve::http::{BodyDecoder, Connection, Framing};
use crate::serve::reply::Reply;
use crate::store::link::{StoreLink, is_refusal};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Maximum idle time of a peer's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a relayed call, slightly longer than a waiting read.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of a call's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum size of a call's body, slightly more than the largest append of a gateway.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Interval between probes of the store's own address while it fails.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a probe.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<D: Dialect> Gateway<D> {
    /// Relays the calls of a peer until its connection ends.
    pub(crate) async fn relay_calls(&self, mut connection: Connection) {
        let mut link = StoreLink::direct(self.store_paths.clone());
        loop {
            let Some(call) = with_timeout(IDLE_TIMEOUT, read_call(&mut connection))
                .await
                .flatten()
            else {
                return;
            };
            let reply = Reply::new(connection.stream());
            if self.hand_over_configuration(&call.target, &reply).await {
                if !reply.keeps_connection() {
                    return;
                }
                continue;
            }
            // Without an answer from the store, the connection is closed so that the peer tries
            // another path.
            let Ok((status, body)) = link.call(&call, CALL_TIMEOUT).await else {
                self.counters.record_relayed_call(RelayOutcome::Unanswered);
                return;
            };
            self.counters.record_relayed_call(if is_refusal(status) {
                RelayOutcome::Refused
            } else {
                RelayOutcome::Answered
            });
            reply.write_answer(status, "", &[], &body).await;
            if !reply.keeps_connection() {
                return;
            }
        }
    }

    /// Detects when the store's own address answers again. Runs until the process ends.
    pub(crate) async fn probe_store(self: Rc<Self>) {
        let mut link = StoreLink::direct(self.store_paths.clone());
        loop {
            Timer::after(DIRECT_PROBE_INTERVAL).await;
            if self.store_paths.is_direct() {
                continue;
            }
            let from = self.next_gateways_offset.get();
            let call = D::build_read(Topic::Gateways, from, Duration::ZERO);
            // The link records the outcome.
            let _ = link.call(&call, DIRECT_PROBE_TIMEOUT).await;
        }
    }
}

/// Reads a call from a peer. Returns `None` at the end of the connection or if the call is invalid.
async fn read_call(connection: &mut Connection) -> Option<StoreCall> {
    let head = connection.read_request(MAX_HEAD_BYTES).await?;
    let method = match head.method.as_str() {
        "GET" => "GET",
        "POST" => "POST",
        _ => return None,
    };
    if matches!(head.framing, Framing::Length(length) if length > MAX_BODY_BYTES as u64) {
        return None;
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    while !decoder.is_done() {
        connection.read_body(&mut decoder, &mut body).await.ok()?;
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(StoreCall {
        method,
        target: head.target,
        body,
    })
}
