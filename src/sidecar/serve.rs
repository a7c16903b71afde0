//! Server side of a sidecar: requests from partition owners and other nodes.

use crate::ids::Partition;
use crate::protocol::engine::Engine;
use crate::protocol::link::{Event, Generated, LinkProtocol, Reply, Request};
use crate::protocol::operator::{OperatorQuery, OperatorReply};
use crate::protocol::record::Entry;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::generation::{Generation, GenerationSummary};
use crate::sidecar::{Sidecar, lock};
use crate::state::kept::CapacityExceeded;
use crate::transport::handshake::Remote;
use crate::transport::link::{RequestHandler, RequesterGone, Responder};
use crate::transport::replay::FollowEvent;
use futures_lite::FutureExt;

impl<E: Engine, S: Service> RequestHandler<LinkProtocol> for Sidecar<E, S> {
    async fn handle(
        &self,
        _from: Remote,
        request: Request,
        mut responder: Responder<LinkProtocol>,
    ) {
        match request {
            Request::Generate(generate) => match self.get_or_start(generate) {
                Ok(generation) => self.stream_generation(generation, responder).await,
                Err(refusal) => responder.reply(Reply::Refused(refusal)),
            },
            other => {
                let handling = self.answer_request(other);
                let disconnected = async {
                    responder.requester_gone().await;
                    None
                };
                if let Some(reply) = async { Some(handling.await) }.or(disconnected).await {
                    responder.reply(reply);
                }
            }
        }
    }
}

impl<E: Engine, S: Service> Sidecar<E, S> {
    async fn answer_request(&self, request: Request) -> Reply {
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
            Request::Release { program } => self.release_cache(program).await,
            Request::Confirm { programs } => {
                self.confirm(&programs);
                Reply::Done
            }
            Request::ReplicateEntries { partition, entries } => {
                self.store_pending(partition, entries)
            }
            Request::FetchReplicas { partition } => {
                Reply::Replicas(lock(&self.0.pending).entries(partition))
            }
            Request::DropReplicas {
                partition,
                program,
                calls,
            } => {
                lock(&self.0.pending).remove_committed(partition, program, &calls);
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
            Request::Probe(digest) => Reply::Probed(self.answer_probe(&digest)),
            _ => Reply::Refused(Refusal::not_run(
                RefusalCode::Invalid,
                "A sidecar does not serve this request.",
            )),
        }
    }

    fn store_pending(&self, partition: Partition, entries: Vec<Entry>) -> Reply {
        match lock(&self.0.pending).insert(partition, entries) {
            Ok(()) => Reply::Done,
            Err(CapacityExceeded) => Reply::Refused(Refusal::not_run(
                RefusalCode::Overloaded,
                "No room for entries that the log has not taken.",
            )),
        }
    }

    /// Streams a generation's tokens and then its result, until the requester disconnects.
    async fn stream_generation(
        &self,
        generation: Generation,
        mut responder: Responder<LinkProtocol>,
    ) {
        let result = self.send_output(&generation, &mut responder).await;
        if let Ok(reply) = result {
            responder.reply(reply);
        }
    }

    async fn send_output(
        &self,
        generation: &Generation,
        responder: &mut Responder<LinkProtocol>,
    ) -> Result<Reply, RequesterGone> {
        let mut follower = generation.output.follow(0);
        loop {
            let next = async { Ok(follower.next().await) };
            let disconnected = async {
                responder.requester_gone().await;
                Err(RequesterGone)
            };
            let event = match next.or(disconnected).await? {
                FollowEvent::Started(run) => Event::started(run),
                FollowEvent::Part(tokens) => Event::Tokens(tokens),
                FollowEvent::End(Ok(summary)) => {
                    return Ok(Reply::Generated(self.generation_reply(summary)));
                }
                FollowEvent::End(Err(refusal)) => return Ok(Reply::Refused(refusal)),
            };
            responder.send_event(event).await?;
        }
    }

    fn generation_reply(&self, summary: GenerationSummary) -> Generated {
        Generated {
            usage: summary.usage,
            load: self.load(),
            queued_ms: summary.queued.as_millis() as u64,
            ran_ms: summary.ran.as_millis() as u64,
        }
    }
}
