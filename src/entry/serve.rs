//! Server side of an entry: requests from other nodes, and from this node to its own partitions.

use crate::entry::Entry;
use crate::entry::owner::refuse_no_owner;
use crate::entry::route::{AnswerSource, Step, next_step};
use crate::protocol::link::{LinkProtocol, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::transport::handshake::Remote;
use crate::transport::link::{RequestHandler, RequesterGone, Responder};
use futures_lite::FutureExt;

impl<L: Log> RequestHandler<LinkProtocol> for Entry<L> {
    async fn handle(&self, from: Remote, request: Request, mut responder: Responder<LinkProtocol>) {
        if let Request::Probe(digest) = request {
            self.apply_digest(&digest);
            return responder.reply(Reply::Probed(self.digest()));
        }
        if let Some(reply) = self.serve_crash_request(&from, &request) {
            return responder.reply(reply);
        }
        if let Some(reply) = self.serve_operator_request(&request).await {
            return responder.reply(reply);
        }
        let result = match self.serve_local(request).await {
            AnswerSource::Ready(reply) => Ok(reply),
            source => send_answer(source, &mut responder).await,
        };
        if let Ok(reply) = result {
            responder.reply(reply);
        }
    }
}

impl<L: Log> Entry<L> {
    /// Executes a request against a partition of this node.
    pub(super) async fn serve_local(&self, request: Request) -> AnswerSource {
        match request {
            Request::Create(create) => reply_source(self.create(create).await),
            Request::Call(call) => match self.call(call).await {
                Ok((id, answer)) => AnswerSource::Local {
                    accepted: Some(id),
                    follower: answer.follow(0),
                },
                Err(refusal) => AnswerSource::Ready(Reply::Refused(refusal)),
            },
            Request::Attach {
                caller,
                program,
                call,
                from,
            } => match self.attach(&caller, program, call).await {
                Ok(answer) => AnswerSource::Local {
                    accepted: None,
                    follower: answer.follow(from),
                },
                Err(refusal) => AnswerSource::Ready(Reply::Refused(refusal)),
            },
            Request::History { caller, program } => {
                reply_source(self.history(&caller, program).await)
            }
            Request::End {
                caller,
                program,
                reason,
            } => reply_source(self.end_for_caller(&caller, program, reason).await),
            Request::CommitPending { program, entry } => {
                reply_source(self.commit_pending_in_order(program, *entry).await)
            }
            _ => AnswerSource::Ready(Reply::Refused(Refusal::not_run(
                RefusalCode::Invalid,
                "An entry does not serve this request.",
            ))),
        }
    }
}

fn reply_source(result: Result<Reply, Refusal>) -> AnswerSource {
    AnswerSource::Ready(result.unwrap_or_else(Reply::Refused))
}

/// Sends a source's events and returns its final reply, or [`RequesterGone`] if the requester
/// disconnects.
async fn send_answer(
    mut source: AnswerSource,
    responder: &mut Responder<LinkProtocol>,
) -> Result<Reply, RequesterGone> {
    loop {
        let next = async { Ok(next_step(&mut source).await) };
        let disconnected = async {
            responder.requester_gone().await;
            Err(RequesterGone)
        };
        match next.or(disconnected).await? {
            Some(Step::Event(event)) => responder.send_event(event).await?,
            Some(Step::Reply(reply)) => return Ok(*reply),
            None => return Ok(Reply::Refused(refuse_no_owner())),
        }
    }
}
