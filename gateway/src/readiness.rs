//! Tells the platform whether callers should be sent here, and monitors what was counted.

use crate::dialect::Dialect;
use crate::http::{Framing, Wire};
use crate::net::{self, in_time};
use crate::node::Gateway;
use crate::reply::{Refusal, Reply};
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a connection of the platform may be idle; it asks every second.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Where the counters are read.
const METRICS_TARGET: &str = "/metrics";

/// Longest request; it has a few headers and no body.
const MAX_HEAD_BYTES: usize = 8 * 1024;

impl<D: Dialect> Gateway<D> {
    /// Answers readiness probes, for ever.
    pub(crate) async fn answer_readiness(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = net::accept(&listener).await;
            let gateway = self.clone();
            let task = async move { gateway.answer_probes(stream).await };
            self.executor.spawn(task).detach();
        }
    }

    async fn answer_probes(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        loop {
            let Some(target) = in_time(IDLE_LIMIT, read_probe(&mut wire)).await.flatten() else {
                return;
            };
            let reply = Reply::new(wire.stream(), false);
            if target == METRICS_TARGET {
                let metrics = self.metrics();
                reply.pass_whole(200, "", &[], metrics.as_bytes()).await;
                continue;
            }
            let refusal = if self.is_ready() {
                Refusal::new(200, "ready")
            } else {
                Refusal::new(503, "not ready")
            };
            reply.refuse(&refusal).await;
            if !reply.keeps_connection() {
                return;
            }
        }
    }
}

/// Reads a probe and returns its target; `None` at the connection's end or if it is none.
async fn read_probe(wire: &mut Wire) -> Option<String> {
    let head = wire.read_request(MAX_HEAD_BYTES).await?;
    let has_no_body = matches!(head.framing, Framing::Empty | Framing::Length(0));
    has_no_body.then_some(head.target)
}
