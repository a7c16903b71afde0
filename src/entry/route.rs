//! Routing a request to the owner of its program's partition, also when the owner changes.

use crate::coordination::membership::NodeState;
use crate::entry::owner::AnswerEnd;
use crate::entry::{Entry, lock};
use crate::ids::{CallId, NodeId, Partition, ProgramId, partition_of};
use crate::protocol::link::{Event, LinkProtocol, Reply, Request, Tokens};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::transport::link::{Exchange, Inbound};
use crate::transport::replay::{Followed, Follower};
use crate::transport::spawn::Spawner;
use smol::Timer;
use std::time::{Duration, Instant};

/// How long a request waits for an owner, such as during a takeover.
const OWNER_PATIENCE: Duration = Duration::from_secs(8);

/// Pause before the owner is asked again.
const OWNER_PAUSE: Duration = Duration::from_millis(100);

/// When a caller should come back after no owner was found.
const OWNER_RETRY_MS: u64 = 1_000;

/// What comes next on a route.
pub(crate) enum Step {
    /// Part of the answer.
    Event(Event),
    /// The end.
    Reply(Box<Reply>),
}

impl Step {
    fn reply(reply: Reply) -> Self {
        Self::Reply(Box::new(reply))
    }
}

/// An answer on its way from this node's own partition or from another node.
pub(super) enum Source {
    /// From a partition of this node: events, then an answer.
    Local {
        /// The call, until it has been told.
        accepted: Option<CallId>,
        /// What follows.
        follower: Follower<Tokens, AnswerEnd>,
    },
    /// From a partition of this node: an answer at once.
    Ready(Reply),
    /// From another node.
    Remote(Exchange<LinkProtocol>),
}

/// A request on its way to the owner of its partition.
///
/// A request is sent again, with the same ids, when its owner is lost; owners take the second one
/// for the first.
pub(crate) struct Route<L> {
    entry: Entry<L>,
    partition: Partition,
    request: Request,
    source: Option<Source>,
    give_up: Instant,
}

impl<L: Log> Entry<L> {
    /// Sends a request to the owner of a program.
    pub(crate) fn route(&self, program: ProgramId, request: Request) -> Route<L> {
        Route {
            partition: partition_of(program, self.0.config.partitions),
            entry: self.clone(),
            request,
            source: None,
            give_up: Instant::now() + OWNER_PATIENCE,
        }
    }

    /// Returns the node that owns a partition, or that should.
    pub(super) fn owner_of(&self, partition: Partition) -> Option<NodeId> {
        let handle = &self.0.partitions[usize::from(partition)];
        if handle.epoch().is_some() {
            return Some(self.0.config.node.clone());
        }
        let members = lock(&self.0.members);
        let known = members.owner(partition).cloned();
        let now = Instant::now();
        let alive = known.filter(|node| {
            let state = members.state(now, node);
            state.is_some_and(|s| s != NodeState::Failed)
        });
        drop(members);
        alive.or_else(|| self.proposed_owner(partition))
    }
}

impl<L: Log> Route<L> {
    /// Returns where the work on this route's answer runs.
    pub(crate) fn spawner(&self) -> Spawner {
        self.entry.0.spawner.clone()
    }

    /// Waits for what comes next.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            if self.source.is_none() {
                self.source = self.connect().await;
            }
            let step = match &mut self.source {
                Some(source) => take_next(source).await,
                None => None,
            };
            match step {
                Some(step) if !is_no_owner(&step) => {
                    self.give_up = Instant::now() + OWNER_PATIENCE;
                    self.note_run(&step);
                    return step;
                }
                _ if Instant::now() >= self.give_up => return Step::reply(no_owner()),
                _ => {
                    self.source = None;
                    Timer::after(OWNER_PAUSE).await;
                }
            }
        }
    }

    /// Remembers where a call runs, so that the next owner goes on there.
    fn note_run(&mut self, step: &Step) {
        if let Step::Event(Event::Started { endpoint, .. }) = step
            && let Request::Call(call) = &mut self.request
        {
            call.seen_at = Some(endpoint.clone());
        }
    }

    /// Waits for the end.
    pub(crate) async fn reply(&mut self) -> Reply {
        loop {
            if let Step::Reply(reply) = self.next().await {
                return *reply;
            }
        }
    }

    async fn connect(&self) -> Option<Source> {
        let owner = self.entry.owner_of(self.partition)?;
        if owner == self.entry.0.config.node {
            return Some(self.entry.serve_local(self.request.clone()).await);
        }
        let opened = self.entry.0.links.open(&owner, self.request.clone()).await;
        opened.ok().map(Source::Remote)
    }
}

/// Waits for the next step of a source; `None` if the source is lost.
pub(super) async fn take_next(source: &mut Source) -> Option<Step> {
    match source {
        Source::Ready(reply) => Some(Step::reply(reply.clone())),
        Source::Local { accepted, follower } => {
            if let Some(call) = accepted.take() {
                return Some(Step::Event(Event::Accepted { call }));
            }
            Some(match follower.next().await {
                Followed::Started(run) => Step::Event(Event::started(run)),
                Followed::Part(tokens) => Step::Event(Event::Tokens(tokens)),
                Followed::End(Ok(answer)) => Step::reply(Reply::Answer(answer)),
                Followed::End(Err(refusal)) => Step::reply(Reply::Refused(refusal)),
            })
        }
        Source::Remote(exchange) => match exchange.next().await {
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

fn no_owner() -> Reply {
    let refusal = Refusal::not_run(RefusalCode::NoOwner, "No node answers for the program.");
    Reply::Refused(refusal.retry_after_ms(OWNER_RETRY_MS))
}
