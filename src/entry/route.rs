//! Routing of requests to the owner of their program's partition, across changes of owner.

use crate::coordination::membership::NodeState;
use crate::entry::owner::AnswerResult;
use crate::entry::{Entry, lock};
use crate::ids::{CallId, NodeId, Partition, ProgramId, partition_of};
use crate::protocol::link::{Event, LinkProtocol, Reply, Request, Tokens};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::transport::link::{Exchange, Inbound};
use crate::transport::replay::{FollowEvent, Follower};
use crate::transport::spawn::Spawner;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum time without an answering owner, for example during a takeover.
const OWNER_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause before the request is sent to the owner again.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Retry delay sent to the caller if no owner was found, in milliseconds.
const OWNER_RETRY_MS: u64 = 1_000;

/// Retry delay sent to the caller if the node stops, in milliseconds.
const SHUTDOWN_RETRY_MS: u64 = 100;

/// Next item of a routed answer.
pub(crate) enum Step {
    /// An intermediate event, such as tokens.
    Event(Event),
    /// The final reply.
    Reply(Box<Reply>),
}

impl Step {
    fn reply(reply: Reply) -> Self {
        Self::Reply(Box::new(reply))
    }
}

/// Origin of an answer: a partition of this node or another node.
pub(super) enum AnswerSource {
    /// Stream from a partition of this node.
    Local {
        /// Id of the call until the caller has received it.
        accepted: Option<CallId>,
        /// Reader of the answer stream.
        follower: Follower<Tokens, AnswerResult>,
    },
    /// Complete reply from a partition of this node.
    Ready(Reply),
    /// Exchange with another node.
    Remote(Exchange<LinkProtocol>),
}

/// A request routed to the owner of its partition.
///
/// If the owner is lost, the request is sent again with the same ids. Owners treat it as a repeat
/// of the first one.
pub(crate) struct Route<L> {
    entry: Entry<L>,
    partition: Partition,
    request: Request,
    source: Option<AnswerSource>,
    deadline: Instant,
}

impl<L: Log> Entry<L> {
    /// Creates a route to the owner of a program. It connects on the first [`Route::next`].
    pub(crate) fn route(&self, program: ProgramId, request: Request) -> Route<L> {
        Route {
            partition: partition_of(program, self.0.config.partitions),
            entry: self.clone(),
            request,
            source: None,
            deadline: Instant::now() + OWNER_TIMEOUT,
        }
    }

    /// Returns the known live owner of a partition, or else the node that should own it.
    pub(super) fn owner_of(&self, partition: Partition) -> Option<NodeId> {
        let handle = &self.0.partitions[usize::from(partition)];
        if handle.epoch().is_some() {
            return Some(self.0.config.node.clone());
        }
        let membership = lock(&self.0.membership);
        let known = membership.owner(partition).cloned();
        let now = Instant::now();
        let alive = known.filter(|node| {
            let state = membership.state(now, node);
            state.is_some_and(|s| s != NodeState::Failed)
        });
        drop(membership);
        alive.or_else(|| self.preferred_owner(partition))
    }
}

impl<L: Log> Route<L> {
    /// Returns the spawner of the entry that serves this route.
    pub(crate) fn spawner(&self) -> Spawner {
        self.entry.0.spawner.clone()
    }

    /// Waits for the next event or the final reply.
    ///
    /// Reconnects if the owner is lost or refuses with `NoOwner`. Every received step restarts the
    /// owner timeout. When it expires, the reply is a `NoOwner` refusal.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            if self.source.is_none() {
                self.source = self.connect().await;
            }
            let step = match &mut self.source {
                Some(source) => next_step(source).await,
                None => None,
            };
            match step {
                Some(step) if !is_no_owner(&step) => {
                    self.deadline = Instant::now() + OWNER_TIMEOUT;
                    self.record_endpoint(&step);
                    return step;
                }
                _ if Instant::now() >= self.deadline => return Step::reply(no_owner_reply()),
                _ => {
                    self.source = None;
                    Timer::after(OWNER_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Stores the endpoint that runs the call, so that a new owner can resume it there.
    fn record_endpoint(&mut self, step: &Step) {
        if let Step::Event(Event::Started { endpoint, .. }) = step
            && let Request::Call(call) = &mut self.request
        {
            call.seen_at = Some(endpoint.clone());
        }
    }

    /// Waits for the final reply and discards all events before it. The reply is a refusal if the
    /// entry aborts its requests.
    pub(crate) async fn reply(&mut self) -> Reply {
        let aborted = self.aborted();
        let reply = async {
            loop {
                if let Step::Reply(reply) = self.next().await {
                    return *reply;
                }
            }
        };
        reply.or(aborted).await
    }

    /// Returns a future that ends with a refusal once the entry aborts its requests.
    pub(crate) fn aborted(&self) -> impl Future<Output = Reply> + Send + use<L> {
        let abort = self.entry.0.abort.1.clone();
        async move {
            // The channel carries no messages; it is closed.
            let _ = abort.recv().await;
            Reply::Refused(refuse_shutting_down())
        }
    }

    async fn connect(&self) -> Option<AnswerSource> {
        let owner = self.entry.owner_of(self.partition)?;
        if owner == self.entry.0.config.node {
            return Some(self.entry.serve_local(self.request.clone()).await);
        }
        let opened = self.entry.0.links.open(&owner, self.request.clone()).await;
        opened.ok().map(AnswerSource::Remote)
    }
}

/// Waits for the next step of a source. Returns `None` if the connection is lost.
pub(super) async fn next_step(source: &mut AnswerSource) -> Option<Step> {
    match source {
        AnswerSource::Ready(reply) => Some(Step::reply(reply.clone())),
        AnswerSource::Local { accepted, follower } => {
            if let Some(call) = accepted.take() {
                return Some(Step::Event(Event::Accepted { call }));
            }
            Some(match follower.next().await {
                FollowEvent::Started(run) => Step::Event(Event::started(run)),
                FollowEvent::Part(tokens) => Step::Event(Event::Tokens(tokens)),
                FollowEvent::End(Ok(answer)) => Step::reply(Reply::Answer(answer)),
                FollowEvent::End(Err(refusal)) => Step::reply(Reply::Refused(refusal)),
            })
        }
        AnswerSource::Remote(exchange) => match exchange.next().await {
            Ok(Inbound::Event(event)) => Some(Step::Event(event)),
            Ok(Inbound::Reply(reply)) => Some(Step::reply(reply)),
            Err(_) => None,
        },
    }
}

fn is_no_owner(step: &Step) -> bool {
    let Step::Reply(reply) = step else {
        return false;
    };
    let Reply::Refused(refusal) = &**reply else {
        return false;
    };
    refusal.code == RefusalCode::NoOwner && refusal.ran == Ran::No
}

/// Refusal of a request that did not finish before the node stopped.
///
/// A retry with the same key at another entry returns the answer.
fn refuse_shutting_down() -> Refusal {
    let message = "The node stopped before the request finished.";
    Refusal::unknown(RefusalCode::ShuttingDown, message).retry_after_ms(SHUTDOWN_RETRY_MS)
}

fn no_owner_reply() -> Reply {
    let refusal = Refusal::not_run(RefusalCode::NoOwner, "No node answers for the program.");
    Reply::Refused(refusal.retry_after_ms(OWNER_RETRY_MS))
}
