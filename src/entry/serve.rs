//! Requests of other nodes to an entry, and of this node to its own partitions.

use crate::entry::Entry;
use crate::entry::owner::refuse_no_owner;
use crate::entry::route::Source;
use crate::protocol::link::{Event, Messages, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::transport::handshake::Remote;
use crate::transport::link::{Gone, Responder, Serve};
use crate::transport::replay::Followed;
use futures_lite::FutureExt;

impl<L: Log> Serve<Messages> for Entry<L> {
    async fn serve(&self, _from: Remote, request: Request, mut responder: Responder<Messages>) {
        if let Request::Probe(digest) = request {
            self.take_digest(&digest);
            return responder.reply(Reply::Probed(self.digest()));
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
                Ok(text) => Source::Local(text.follow(0)),
                Err(refusal) => Source::Ready(Reply::Refused(refusal)),
            },
            Request::Attach {
                caller,
                program,
                call,
                from,
            } => match self.attach(&caller, program, call).await {
                Ok(text) => Source::Local(text.follow(from)),
                Err(refusal) => Source::Ready(Reply::Refused(refusal)),
            },
            Request::History { caller, program } => ready(self.history(&caller, program).await),
            Request::End {
                caller,
                program,
                reason,
            } => ready(self.end_for(&caller, program, reason).await),
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

async fn send_answer(source: Source, responder: &mut Responder<Messages>) -> Result<Reply, Gone> {
    let Source::Local(mut follower) = source else {
        return Ok(Reply::Refused(refuse_no_owner()));
    };
    loop {
        let next = async { Ok(follower.next().await) };
        let gone = async {
            responder.gone().await;
            Err(Gone)
        };
        let event = match next.or(gone).await? {
            Followed::Started(run) => Event::Started { run },
            Followed::Part(tokens) => Event::Tokens(tokens),
            Followed::End(Ok(answer)) => return Ok(Reply::Answer(answer)),
            Followed::End(Err(refusal)) => return Ok(Reply::Refused(refusal)),
        };
        responder.event(event).await?;
    }
}
