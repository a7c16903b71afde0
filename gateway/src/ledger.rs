//! Turns and budgets, as the gateway that serves their partition keeps them.
//!
//! Everything here also works at a gateway that does not own the partition: it then reads what it
//! needs first.

use crate::commit::Ticket;
use crate::dialect::{Dialect, PartId, PartitionNumber};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::partition::{Partition, partition_of};
use crate::peers::Asked;
use crate::record::{KeptTurn, TurnRecord, encode};
use crate::stable_hash::stable_hash;
use crate::turns::{Chain, WriterTag, kept_key, reservation_key};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Part of a client's patience for which a turn waits for the store to come back before it is
/// refused: a turn that may yet be served is worth a wait, most of its time is left for the run.
const STORE_WAIT_SHARE: f64 = 0.25;

/// How long a turn waits for what has to be read first.
const LOOKUP_LIMIT: Duration = Duration::from_millis(900);

/// Turns that a budget must hold beyond this one for it to run before its reservation is read
/// back: so many may be under way elsewhere without being known here.
const AMPLE_TURNS: u64 = 2;

/// How long the reservation of a turn that runs meanwhile may wait for other records: an engine's
/// first token takes 20 ms and more, an append 6.
const RUN_DELAY: Duration = Duration::from_millis(10);

/// A turn that is about to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NewTurn {
    pub(crate) turn: String,
    pub(crate) program: String,
    /// The turn that it continues.
    pub(crate) previous: Option<String>,
    /// Tokens that it generates at most.
    pub(crate) max_tokens: u64,
    /// Tokens that all turns of its program may generate.
    pub(crate) budget_tokens: Option<u64>,
    /// How long its client waits, in milliseconds.
    pub(crate) patience_ms: u64,
    /// Whether another gateway may have been asked already, so that its own record may be known.
    pub(crate) is_asked_again: bool,
}

impl NewTurn {
    /// How long it waits for the store to come back.
    fn store_wait(&self) -> Duration {
        Duration::from_millis(self.patience_ms).mul_f64(STORE_WAIT_SHARE)
    }
}

/// What gateways ask of the one that serves a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Finds a turn's history and puts its tokens aside. The answer is [`Answer::Reserved`],
    /// followed by [`Answer::Holds`] if it has a budget; or [`Answer::Begins`] if a part of the
    /// history stands elsewhere; or [`Answer::Denied`].
    Reserve(NewTurn),
    /// Keeps a turn that ended whole. The answer is [`Answer::Stands`].
    Keep {
        /// Its id.
        turn: String,
        /// What is kept.
        kept: KeptTurn,
    },
    /// Settles a turn that did not end whole. The answer is [`Answer::Stands`].
    Settle {
        /// Its id.
        turn: String,
        /// Its program.
        program: String,
        /// Tokens that clients were given.
        spent_tokens: u64,
    },
    /// Looks for a turn in a partition. The answer is [`Answer::Begins`] or [`Answer::Denied`].
    Find {
        /// The partition.
        partition: PartitionNumber,
        /// The turn's id.
        turn: String,
    },
}

/// What a gateway that serves a partition answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The tokens are being put aside.
    Reserved {
        /// The whole history.
        history: History,
        /// Whether the budget holds so much that the turn may run before it is known whether the
        /// reservation holds.
        is_ample: bool,
    },
    /// Whether the reservation holds.
    Holds(bool),
    /// The record stands in the store.
    Stands,
    /// The newest part of a history, as far as it is known in the partition.
    Begins(History),
    /// It can't be done.
    Denied(Denial),
}

/// Why a turn may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Denial {
    /// The turn that it continues does not exist.
    NoSuchTurn,
    /// The program's budget does not cover it.
    Spent,
    /// A turn with this id is known.
    UsedBefore,
    /// The store does not answer.
    StoreLost,
    /// Too much waits for the store.
    StoreBehind,
    /// The records have not been read in time.
    NotRead,
}

/// The history of a turn, as an endpoint is to receive it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    /// Inputs and outputs, oldest first.
    #[serde(with = "serde_bytes")]
    pub(crate) text: Vec<u8>,
    /// The endpoint that ran its last turn; `None` if no turn is known.
    pub(crate) endpoint: Option<String>,
    /// Parts of the last turn's prompt with their tokens.
    pub(crate) prompt_parts: SmallVec<[(PartId, u32); 4]>,
    /// The turn before these, if it is not known.
    pub(crate) missing: Option<String>,
}

impl History {
    fn of(chain: &Chain) -> Self {
        let last = chain.turns.last();
        let texts: Vec<&[u8]> = chain.turns.iter().map(|turn| &*turn.text).collect();
        Self {
            text: texts.concat(),
            endpoint: last.map(|turn| turn.endpoint.clone()),
            prompt_parts: last.map_or(SmallVec::new(), |turn| turn.prompt_parts.clone()),
            missing: chain.missing.clone(),
        }
    }

    /// Puts an older part in front of what is known.
    pub(crate) fn prepend(&mut self, older: Self) {
        let newer = std::mem::replace(&mut self.text, older.text);
        self.text.extend(newer);
        self.missing = older.missing;
        if self.endpoint.is_none() {
            self.endpoint = older.endpoint;
            self.prompt_parts = older.prompt_parts;
        }
    }
}

/// A reservation that is on its way.
pub(crate) enum Reservation {
    /// None is needed.
    Free,
    /// Written by this gateway.
    Here(Ticket),
    /// Asked of another gateway, at this address.
    There(SocketAddr, Asked),
}

/// A turn's history, and its reservation.
pub(crate) struct Begun {
    pub(crate) history: History,
    /// Whether it may run before the reservation is known to hold.
    pub(crate) is_ample: bool,
    pub(crate) reservation: Reservation,
}

/// Why a turn has not begun in its partition.
pub(crate) enum NotBegun {
    /// A part of its history stands in another partition; nothing was put aside.
    BeginsElsewhere(History),
    Denied(Denial),
}

impl From<Denial> for NotBegun {
    fn from(denial: Denial) -> Self {
        Self::Denied(denial)
    }
}

impl<D: Dialect> Gateway<D> {
    /// Answers a question of another gateway, in one answer or two.
    pub(crate) async fn answer_ask(&self, ask: Ask, answer: impl Fn(&Answer)) {
        match ask {
            Ask::Reserve(new) => match self.reserve_here(&new).await {
                Ok(begun) => {
                    let (history, is_ample) = (begun.history, begun.is_ample);
                    answer(&Answer::Reserved { history, is_ample });
                    if let Reservation::Here(ticket) = begun.reservation {
                        answer(&Answer::Holds(self.holds_here(&new, &ticket).await));
                    }
                }
                Err(NotBegun::BeginsElsewhere(history)) => answer(&Answer::Begins(history)),
                Err(NotBegun::Denied(denial)) => answer(&Answer::Denied(denial)),
            },
            Ask::Keep { turn, kept } => {
                self.keep_here(&turn, kept).await;
                answer(&Answer::Stands);
            }
            Ask::Settle {
                turn,
                program,
                spent_tokens,
            } => {
                self.settle_here(&turn, program, spent_tokens).await;
                answer(&Answer::Stands);
            }
            Ask::Find { partition, turn } => {
                let history = self.find_here(partition, &turn).await;
                answer(&history.map_or_else(Answer::Denied, Answer::Begins));
            }
        }
    }

    /// Finds a turn's history and puts its tokens aside.
    pub(crate) async fn reserve_here(&self, new: &NewTurn) -> Result<Begun, NotBegun> {
        let partition = self.partition_of(&new.program);
        self.check_store(partition, new.store_wait()).await?;
        within_limit(partition.loaded()).await?;
        if !new.is_asked_again && partition.index.borrow().knows(&new.turn) {
            return Err(Denial::UsedBefore.into());
        }
        let history = match &new.previous {
            Some(previous) => self.find_fresh(partition, previous).await?,
            None => History::default(),
        };
        if history.missing.is_some() {
            return Err(NotBegun::BeginsElsewhere(history));
        }
        let Some(budget_tokens) = new.budget_tokens else {
            return Ok(Begun {
                history,
                is_ample: true,
                reservation: Reservation::Free,
            });
        };
        let mut committed = partition.index.borrow().committed_tokens(&new.program);
        if committed + new.max_tokens > budget_tokens {
            // What is known here may be old: turns may have ended for less since.
            within_limit(partition.read_to_end()).await?;
            committed = partition.index.borrow().committed_tokens(&new.program);
            if committed + new.max_tokens > budget_tokens {
                return Err(Denial::Spent.into());
            }
        }
        let is_ample = committed + new.max_tokens * (1 + AMPLE_TURNS) <= budget_tokens;
        let delay = if is_ample { RUN_DELAY } else { Duration::ZERO };
        Ok(Begun {
            history,
            is_ample,
            reservation: Reservation::Here(self.put_aside(new, delay)),
        })
    }

    /// Writes a reservation, which may wait for other records for so long.
    pub(crate) fn put_aside(&self, new: &NewTurn, delay: Duration) -> Ticket {
        let record = TurnRecord::Reserved {
            program: new.program.clone(),
            max_tokens: new.max_tokens,
        };
        let committer = &self.partition_of(&new.program).committer;
        let key = reservation_key(&new.turn, self.writer_tag());
        committer.submit(key, encode(&record), delay)
    }

    /// Waits until the partition's order says whether a reservation holds.
    pub(crate) async fn holds_here(&self, new: &NewTurn, ticket: &Ticket) -> bool {
        let Some(budget_tokens) = new.budget_tokens else {
            return true;
        };
        let offset = ticket.offset().await;
        let partition = self.partition_of(&new.program);
        partition.read_through(offset).await;
        let index = partition.index.borrow();
        let holds = index.holds(&new.turn, budget_tokens);
        if !holds {
            crate::event!("reservation_denied", "request" => new.turn.as_str(),
                "program" => new.program.as_str(), "offset" => offset,
                "committed_tokens" => index.committed_tokens(&new.program),
                "budget_tokens" => budget_tokens);
        }
        holds
    }

    /// Keeps a turn that ended whole; returns once it stands in the store.
    pub(crate) async fn keep_here(&self, turn: &str, kept: KeptTurn) {
        let committer = &self.partition_of(&kept.program).committer;
        let record = encode(&TurnRecord::Kept(kept));
        let ticket = committer.submit(kept_key(turn), record, Duration::ZERO);
        // What was put aside is of no use any more.
        committer.add(reservation_key(turn, self.writer_tag()), None);
        ticket.offset().await;
    }

    /// Settles a turn that did not end whole; returns once that stands in the store.
    pub(crate) async fn settle_here(&self, turn: &str, program: String, spent_tokens: u64) {
        let committer = &self.partition_of(&program).committer;
        let record = encode(&TurnRecord::Settled {
            program,
            spent_tokens,
        });
        let key = reservation_key(turn, self.writer_tag());
        committer.submit(key, record, Duration::ZERO).offset().await;
    }

    /// Looks for a turn in a partition, in all that stood there when this was called.
    pub(crate) async fn find_here(
        &self,
        partition: PartitionNumber,
        turn: &str,
    ) -> Result<History, Denial> {
        let partition = self.partitions.get(partition as usize);
        let partition = partition.ok_or(Denial::NotRead)?;
        within_limit(partition.loaded()).await?;
        self.find_fresh(partition, turn).await
    }

    /// Returns a history; what is not known is looked for in what others have written since.
    async fn find_fresh(&self, partition: &Partition<D>, last: &str) -> Result<History, Denial> {
        let chain = partition.index.borrow().chain(last);
        if chain.missing.is_none() {
            return Ok(History::of(&chain));
        }
        within_limit(partition.read_to_end()).await?;
        let chain = partition.index.borrow().chain(last);
        Ok(History::of(&chain))
    }

    /// Denies turns while their end could not be kept; waits a little for the store to return.
    async fn check_store(&self, partition: &Partition<D>, wait: Duration) -> Result<(), Denial> {
        if partition.committer.is_full() {
            return Err(Denial::StoreBehind);
        }
        let health = self.store_ways.health();
        if !health.is_lost(Instant::now()) {
            return Ok(());
        }
        with_timeout(wait, self.store_ways.regained()).await;
        if health.is_lost(Instant::now()) {
            return Err(Denial::StoreLost);
        }
        Ok(())
    }

    /// Tells this gateway's reservations from those of others.
    fn writer_tag(&self) -> WriterTag {
        stable_hash(&self.settings.name) as WriterTag
    }

    /// Returns the partition of a program's records.
    pub(crate) fn partition_of(&self, program: &str) -> &Partition<D> {
        &self.partitions[partition_of(program) as usize]
    }
}

async fn within_limit(read: impl Future<Output = ()>) -> Result<(), Denial> {
    with_timeout(LOOKUP_LIMIT, read)
        .await
        .ok_or(Denial::NotRead)
}
