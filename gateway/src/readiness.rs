//! Tells the platform whether callers should be sent here, and monitors what was counted.

use crate::dialect::Dialect;
use crate::http::{Connection, Framing};
use crate::net::{self, with_timeout};
use crate::node::Gateway;
use crate::reply::{Refusal, Reply};
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a connection of the platform may be idle; it asks every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Where the counters are read.
const METRICS_TARGET: &str = "/metrics";

/// Longest request; it has a few headers and no body.
const MAX_HEAD_BYTES: usize = 8 * 1024;

impl<D: Dialect> Gateway<D> {
    /// Answers readiness probes, for ever.
    pub(crate) async fn serve_readiness(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = net::accept(&listener).await;
            let gateway = self.clone();
            let task = async move { gateway.serve_probes(stream).await };
            self.executor.spawn(task).detach();
        }
    }

    async fn serve_probes(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            let Some(target) = with_timeout(IDLE_TIMEOUT, read_probe(&mut connection))
                .await
                .flatten()
            else {
                return;
            };
            let reply = Reply::new(connection.stream(), false);
            if target == METRICS_TARGET {
                let metrics = self.metrics();
                reply.write_answer(200, "", &[], metrics.as_bytes()).await;
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
async fn read_probe(connection: &mut Connection) -> Option<String> {
    let head = connection.read_request(MAX_HEAD_BYTES).await?;
    let has_no_body = matches!(head.framing, Framing::Empty | Framing::Length(0));
    has_no_body.then_some(head.target)
}
