//! Requests of owners and other nodes to a sidecar.

use crate::ids::Partition;
use crate::protocol::engine::Engine;
use crate::protocol::link::{Event, Generated, LinkProtocol, Reply, Request};
use crate::protocol::operator::{OperatorQuery, OperatorReply};
use crate::protocol::record::Entry;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::generation::{Generation, Whole};
use crate::sidecar::{Sidecar, lock};
use crate::state::kept::CapacityExceeded;
use crate::transport::handshake::Remote;
use crate::transport::link::{Gone, Responder, Serve};
use crate::transport::replay::Followed;
use futures_lite::FutureExt;

impl<E: Engine, S: Service> Serve<LinkProtocol> for Sidecar<E, S> {
    async fn serve(&self, _from: Remote, request: Request, mut responder: Responder<LinkProtocol>) {
        match request {
            Request::Generate(generate) => match self.generation(generate) {
                Ok(generation) => self.follow(generation, responder).await,
                Err(refusal) => responder.reply(Reply::Refused(refusal)),
            },
            other => {
                let answer = self.answer(other);
                let gone = async {
                    responder.gone().await;
                    None
                };
                if let Some(reply) = async { Some(answer.await) }.or(gone).await {
                    responder.reply(reply);
                }
            }
        }
    }
}

impl<E: Engine, S: Service> Sidecar<E, S> {
    async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Cancel { call } => {
                if let Some(generation) = lock(&self.0.generations).remove(&call) {
                    generation.stop();
                }
                Reply::Done
            }
            Request::Invoke(invoke) => self.invoke(invoke).await,
            Request::Settle {
                partition,
                epoch,
                call,
                once,
            } => self.settle(partition, epoch, call, once),
            Request::Release { program } => self.release(program).await,
            Request::Confirm { programs } => {
                self.confirm(&programs);
                Reply::Done
            }
            Request::ReplicateEntries { partition, entries } => self.keep(partition, entries),
            Request::FetchReplicas { partition } => {
                Reply::Replicas(lock(&self.0.kept).entries(partition))
            }
            Request::DropReplicas {
                partition,
                program,
                calls,
            } => {
                lock(&self.0.kept).remove_committed(partition, program, &calls);
                Reply::Done
            }
            Request::Order {
                order,
                fence,
                sequence,
            } => self.order(order, fence, sequence).await,
            Request::OfferConfiguration(offer) => Reply::Configured {
                version: self.0.configuration.adopt(&offer.image),
            },
            Request::Operate(OperatorQuery::Drain) => {
                self.leave();
                Reply::Operated(OperatorReply::Done)
            }
            Request::Probe(digest) => Reply::Probed(self.probe(&digest)),
            _ => Reply::Refused(Refusal::not_run(
                RefusalCode::Invalid,
                "A sidecar does not serve this request.",
            )),
        }
    }

    fn keep(&self, partition: Partition, entries: Vec<Entry>) -> Reply {
        match lock(&self.0.kept).insert(partition, entries) {
            Ok(()) => Reply::Done,
            Err(CapacityExceeded) => Reply::Refused(Refusal::not_run(
                RefusalCode::Overloaded,
                "No room for entries that the log has not taken.",
            )),
        }
    }

    /// Sends a generation's text.
    async fn follow(&self, generation: Generation, mut responder: Responder<LinkProtocol>) {
        let sent = self.send_text(&generation, &mut responder).await;
        if let Ok(reply) = sent {
            responder.reply(reply);
        }
    }

    async fn send_text(
        &self,
        generation: &Generation,
        responder: &mut Responder<LinkProtocol>,
    ) -> Result<Reply, Gone> {
        let mut follower = generation.text.follow(0);
        loop {
            let next = async { Ok(follower.next().await) };
            let gone = async {
                responder.gone().await;
                Err(Gone)
            };
            let event = match next.or(gone).await? {
                Followed::Started(run) => Event::started(run),
                Followed::Part(tokens) => Event::Tokens(tokens),
                Followed::End(Ok(whole)) => return Ok(Reply::Generated(self.generated(whole))),
                Followed::End(Err(refusal)) => return Ok(Reply::Refused(refusal)),
            };
            responder.event(event).await?;
        }
    }

    fn generated(&self, whole: Whole) -> Generated {
        Generated {
            usage: whole.usage,
            load: self.load(),
            queued_ms: whole.queued.as_millis() as u64,
            ran_ms: whole.ran.as_millis() as u64,
        }
    }
}
