//! Serves readiness probes to the platform and metrics to monitoring.

use crate::dialect::Dialect;
use crate::net::{self, with_timeout};
use crate::node::Gateway;
use crate::serve::http::{Connection, Framing};
use crate::serve::reply::{Refusal, Reply};
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum idle time of a probe connection; the platform probes every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Request target of the metrics.
const METRICS_TARGET: &str = "/metrics";

/// Maximum size of a request; probes have a few headers and no body.
const MAX_HEAD_BYTES: usize = 8 * 1024;

impl<D: Dialect> Gateway<D> {
    /// Accepts connections and answers readiness probes; never returns.
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
            let reply = Reply::new(connection.stream());
            if target == METRICS_TARGET {
                let metrics = self.metrics();
                reply.write_answer(200, "", &[], metrics.as_bytes()).await;
                continue;
            }
            // `Refusal` also fits the positive answer: a status with a short text.
            let answer = if self.is_ready() {
                Refusal::new(200, "ready")
            } else {
                Refusal::new(503, "not ready")
            };
            reply.refuse(&answer).await;
            if !reply.keeps_connection() {
                return;
            }
        }
    }
}

/// Reads a probe and returns its target; `None` at the end of the connection or if the request is
/// invalid or has a body.
async fn read_probe(connection: &mut Connection) -> Option<String> {
    let head = connection.read_request(MAX_HEAD_BYTES).await?;
    let has_no_body = matches!(head.framing, Framing::Empty | Framing::Length(0));
    has_no_body.then_some(head.target)
}
