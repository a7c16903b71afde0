//! Calls of the store on behalf of gateways that it turns away or that are cut off from it.
//!
//! Any way to the store is as good as another: appends carry their writer's name and number, so a
//! call that arrives on two ways is executed once.

use crate::dialect::{Dialect, StoreCall, Topic};
use crate::http::{BodyDecoder, Framing, Wire};
use crate::net::in_time;
use crate::node::Gateway;
use crate::reply::Reply;
use crate::store::StoreLink;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection of another gateway may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time of a relayed call: that of a read that waits, and some.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest head of a call.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Longest body of a call: an append of the most bytes that a gateway sends at once, and some.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Pause between two tries of the store's own address while it fails.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time of such a try.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<D: Dialect> Gateway<D> {
    /// Makes the calls of another gateway until its connection ends.
    pub(crate) async fn relay_calls(&self, mut wire: Wire) {
        let mut link = StoreLink::direct(self.store_paths.clone());
        loop {
            let Some(call) = in_time(IDLE_TIMEOUT, read_call(&mut wire)).await.flatten() else {
                return;
            };
            // Without an answer of the store there is none to give: the other gateway tries
            // another way.
            let Ok((status, body)) = link.call(&call, CALL_TIMEOUT).await else {
                return;
            };
            let reply = Reply::new(wire.stream(), false);
            reply.pass_whole(status, "", &[], &body).await;
            if !reply.keeps_connection() {
                return;
            }
        }
    }

    /// Finds out when the store's own address answers again, for ever.
    pub(crate) async fn probe_store(self: Rc<Self>) {
        let mut link = StoreLink::direct(self.store_paths.clone());
        loop {
            Timer::after(DIRECT_PROBE_INTERVAL).await;
            if self.store_paths.is_direct() {
                continue;
            }
            let from = self.next_gateways_offset.get();
            let call = D::read(Topic::Gateways, from, Duration::ZERO);
            // The link notes the outcome.
            let _ = link.call(&call, DIRECT_PROBE_TIMEOUT).await;
        }
    }
}

/// Reads a call as another gateway sends it; `None` at the connection's end.
async fn read_call(wire: &mut Wire) -> Option<StoreCall> {
    let head = wire.read_request(MAX_HEAD_BYTES).await?;
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
        wire.read_body(&mut decoder, &mut body).await.ok()?;
    }
    Some(StoreCall {
        method,
        target: head.target,
        body,
    })
}
