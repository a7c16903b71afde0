//! Calls of the store on behalf of gateways that it turns away or that are cut off from it.
//!
//! Any way to the store is as good as another: appends carry their writer's name and number, so a
//! call that arrives on two ways is executed once.

use crate::dialect::{Dialect, StoreCall, Topic};
use crate::http::{BodyDecoder, Connection, Framing};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::reply::Reply;
use crate::store::StoreLink;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection of another gateway may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Longest time of a relayed call: that of a read that waits, and some.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest head of a call.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Longest body of a call: an append of the most bytes that a gateway sends at once, and some.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Pause between two tries of the store's own address while it fails.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Longest time of such a try.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<D: Dialect> Gateway<D> {
    /// Makes the calls of another gateway until its connection ends.
    pub(crate) async fn relay_calls(&self, mut connection: Connection) {
        let mut link = StoreLink::direct(self.store_ways.clone());
        loop {
            let Some(call) = with_timeout(IDLE_LIMIT, read_call(&mut connection))
                .await
                .flatten()
            else {
                return;
            };
            // Without an answer of the store there is none to give: the other gateway tries
            // another way.
            let Ok((status, body)) = link.call(&call, CALL_TIMEOUT).await else {
                return;
            };
            let reply = Reply::new(connection.stream(), false);
            reply.write_answer(status, "", &[], &body).await;
            if !reply.keeps_connection() {
                return;
            }
        }
    }

    /// Finds out when the store's own address answers again, for ever.
    pub(crate) async fn probe_store(self: Rc<Self>) {
        let mut link = StoreLink::direct(self.store_ways.clone());
        loop {
            Timer::after(PROBE_PAUSE).await;
            if self.store_ways.is_direct() {
                continue;
            }
            let from = self.gateways_position.get();
            let call = D::read(Topic::Gateways, from, Duration::ZERO);
            // The link notes the outcome.
            let _ = link.call(&call, PROBE_TIMEOUT).await;
        }
    }
}

/// Reads a call as another gateway sends it; `None` at the connection's end.
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
    }
    Some(StoreCall {
        method,
        target: head.target,
        body,
    })
}
