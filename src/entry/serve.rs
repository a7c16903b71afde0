//! Requests of other nodes to an entry, and of this node to its own partitions.

use crate::entry::Entry;
use crate::entry::owner::refuse_no_owner;
use crate::entry::route::{Source, Step, take_next};
use crate::protocol::link::{LinkProtocol, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::transport::handshake::Remote;
use crate::transport::link::{Gone, Responder, Serve};
use futures_lite::FutureExt;

impl<L: Log> Serve<LinkProtocol> for Entry<L> {
    async fn serve(&self, _from: Remote, request: Request, mut responder: Responder<LinkProtocol>) {
        if let Request::Probe(digest) = request {
            self.take_digest(&digest);
            return responder.reply(Reply::Probed(self.digest()));
        }
        if let Some(reply) = self.serve_operators(&request).await {
            return responder.reply(reply);
        }
        let sent = match self.serve_local(request).await {
            Source::Ready(reply) => Ok(reply),
            source => send_answer(source, &mut responder).await,
        };
        if let Ok(reply) = sent {
            responder.reply(reply);
        }
    }
}

impl<L: Log> Entry<L> {
    /// Serves a request to a partition of this node.
    pub(super) async fn serve_local(&self, request: Request) -> Source {
        match request {
            Request::Create(create) => ready(self.create(create).await),
            Request::Call(call) => match self.call(call).await {
                Ok((id, text)) => Source::Local {
                    accepted: Some(id),
                    follower: text.follow(0),
                },
                Err(refusal) => Source::Ready(Reply::Refused(refusal)),
            },
            Request::Attach {
                caller,
                program,
                call,
                from,
            } => match self.attach(&caller, program, call).await {
                Ok(text) => Source::Local {
                    accepted: None,
                    follower: text.follow(from),
                },
                Err(refusal) => Source::Ready(Reply::Refused(refusal)),
            },
            Request::History { caller, program } => ready(self.history(&caller, program).await),
            Request::End {
                caller,
                program,
                reason,
            } => ready(self.end_for(&caller, program, reason).await),
            Request::CommitPending { program, entry } => {
                ready(self.adopt_in_line(program, *entry).await)
            }
            _ => Source::Ready(Reply::Refused(Refusal::not_run(
                RefusalCode::Invalid,
                "An entry does not serve this request.",
            ))),
        }
    }
}

fn ready(result: Result<Reply, Refusal>) -> Source {
    Source::Ready(result.unwrap_or_else(Reply::Refused))
}

/// Sends what a source gives until its end.
async fn send_answer(
    mut source: Source,
    responder: &mut Responder<LinkProtocol>,
) -> Result<Reply, Gone> {
    loop {
        let next = async { Ok(take_next(&mut source).await) };
        let gone = async {
            responder.gone().await;
            Err(Gone)
        };
        match next.or(gone).await? {
            Some(Step::Event(event)) => responder.event(event).await?,
            Some(Step::Reply(reply)) => return Ok(*reply),
            None => return Ok(Reply::Refused(refuse_no_owner())),
        }
    }
}
