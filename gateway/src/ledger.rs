//! Turns and budgets, as the gateway that serves their partition keeps them.
//!
//! Everything here also works at a gateway that does not own the partition: it then reads what it
//! needs first.

use crate::commit::PendingCommit;
use crate::dialect::{Dialect, PartId, PartitionNumber};
use crate::net::in_time;
use crate::node::Gateway;
use crate::partition::{Partition, partition_of};
use crate::peers::PendingReply;
use crate::record::{CompletedTurn, TurnRecord, encode};
use crate::stable_hash::stable_hash;
use crate::turn_index::{Chain, WriterTag, completed_key, reservation_key};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Part of a client's patience for which a turn waits for the store to come back before it is
/// refused: a turn that may yet be served is worth a wait, most of its time is left for the run.
const STORE_WAIT_SHARE: f64 = 0.25;

/// How long a turn waits for what has to be read first.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(900);

/// Turns that a budget must hold beyond this one for it to run before its reservation is read
/// back: so many may be under way elsewhere without being known here.
const HEADROOM_TURNS: u64 = 2;

/// How long the reservation of a turn that runs meanwhile may wait for other records: an engine's
/// first token takes 20 ms and more, an append 6.
const RESERVATION_BATCH_DELAY: Duration = Duration::from_millis(10);

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
    #[serde(rename = "patience_ms")]
    pub(crate) time_left_ms: u64,
    /// Whether another gateway may have been asked already, so that its own record may be known.
    #[serde(rename = "is_asked_again")]
    pub(crate) is_retry: bool,
}

impl NewTurn {
    /// How long it waits for the store to come back.
    fn store_wait(&self) -> Duration {
        Duration::from_millis(self.time_left_ms).mul_f64(STORE_WAIT_SHARE)
    }
}

/// What gateways ask of the one that serves a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerRequest {
    /// Finds a turn's history and puts its tokens aside. The answer is [`OwnerReply::Reserved`],
    /// followed by [`OwnerReply::Confirmed`] if it has a budget; or [`OwnerReply::PartialHistory`] if a part of the
    /// history stands elsewhere; or [`OwnerReply::Denied`].
    Reserve(NewTurn),
    /// Keeps a turn that ended whole. The answer is [`OwnerReply::Committed`].
    #[serde(rename = "Keep")]
    Complete {
        /// Its id.
        turn: String,
        /// What is kept.
        #[serde(rename = "kept")]
        completed: CompletedTurn,
    },
    /// Settles a turn that did not end whole. The answer is [`OwnerReply::Committed`].
    Settle {
        /// Its id.
        turn: String,
        /// Its program.
        program: String,
        /// Tokens that clients were given.
        spent_tokens: u64,
    },
    /// Looks for a turn in a partition. The answer is [`OwnerReply::PartialHistory`] or [`OwnerReply::Denied`].
    Find {
        /// The partition.
        partition: PartitionNumber,
        /// The turn's id.
        turn: String,
    },
}

/// What a gateway that serves a partition answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerReply {
    /// The tokens are being put aside.
    Reserved {
        /// The whole history.
        history: History,
        /// Whether the budget holds so much that the turn may run before it is known whether the
        /// reservation holds.
        #[serde(rename = "is_ample")]
        may_run_early: bool,
    },
    /// Whether the reservation holds.
    #[serde(rename = "Holds")]
    Confirmed(bool),
    /// The record stands in the store.
    #[serde(rename = "Stands")]
    Committed,
    /// The newest part of a history, as far as it is known in the partition.
    #[serde(rename = "Begins")]
    PartialHistory(History),
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
    #[strum(serialize = "spent")]
    #[serde(rename = "Spent")]
    BudgetExhausted,
    /// A turn with this id is known.
    #[strum(serialize = "used-before")]
    #[serde(rename = "UsedBefore")]
    DuplicateTurn,
    /// The store does not answer.
    #[strum(serialize = "store-lost")]
    #[serde(rename = "StoreLost")]
    StoreUnavailable,
    /// Too much waits for the store.
    #[strum(serialize = "store-behind")]
    #[serde(rename = "StoreBehind")]
    StoreBacklogged,
    /// The records have not been read in time.
    #[strum(serialize = "not-read")]
    #[serde(rename = "NotRead")]
    ReadTimedOut,
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
pub(crate) enum PendingReservation {
    /// None is needed.
    NotNeeded,
    /// Written by this gateway.
    Local(PendingCommit),
    /// Asked of another gateway, at this address.
    Remote(SocketAddr, PendingReply),
}

/// A turn's history, and its reservation.
pub(crate) struct StartedTurn {
    pub(crate) history: History,
    /// Whether it may run before the reservation is known to hold.
    pub(crate) may_run_early: bool,
    pub(crate) reservation: PendingReservation,
}

/// Why a turn has not begun in its partition.
pub(crate) enum StartError {
    /// A part of its history stands in another partition; nothing was put aside.
    HistoryElsewhere(History),
    Denied(Denial),
}

impl From<Denial> for StartError {
    fn from(denial: Denial) -> Self {
        Self::Denied(denial)
    }
}

impl<D: Dialect> Gateway<D> {
    /// Answers a question of another gateway, in one answer or two.
    pub(crate) async fn handle_request(&self, request: OwnerRequest, reply: impl Fn(&OwnerReply)) {
        match request {
            OwnerRequest::Reserve(new_turn) => match self.reserve_locally(&new_turn).await {
                Ok(started) => {
                    let (history, may_run_early) = (started.history, started.may_run_early);
                    reply(&OwnerReply::Reserved {
                        history,
                        may_run_early,
                    });
                    if let PendingReservation::Local(commit) = started.reservation {
                        reply(&OwnerReply::Confirmed(
                            self.confirm_locally(&new_turn, &commit).await,
                        ));
                    }
                }
                Err(StartError::HistoryElsewhere(history)) => {
                    reply(&OwnerReply::PartialHistory(history))
                }
                Err(StartError::Denied(denial)) => reply(&OwnerReply::Denied(denial)),
            },
            OwnerRequest::Complete { turn, completed } => {
                self.complete_locally(&turn, completed).await;
                reply(&OwnerReply::Committed);
            }
            OwnerRequest::Settle {
                turn,
                program,
                spent_tokens,
            } => {
                self.settle_locally(&turn, program, spent_tokens).await;
                reply(&OwnerReply::Committed);
            }
            OwnerRequest::Find { partition, turn } => {
                let history = self.find_locally(partition, &turn).await;
                reply(&history.map_or_else(OwnerReply::Denied, OwnerReply::PartialHistory));
            }
        }
    }

    /// Finds a turn's history and puts its tokens aside.
    pub(crate) async fn reserve_locally(
        &self,
        new_turn: &NewTurn,
    ) -> Result<StartedTurn, StartError> {
        let partition = self.partition_of(&new_turn.program);
        self.check_store(partition, new_turn.store_wait()).await?;
        within_lookup_timeout(partition.wait_until_loaded()).await?;
        if !new_turn.is_retry && partition.index.borrow().contains(&new_turn.turn) {
            return Err(Denial::DuplicateTurn.into());
        }
        let history = match &new_turn.previous {
            Some(previous) => self.find_in_partition(partition, previous).await?,
            None => History::default(),
        };
        if history.missing.is_some() {
            return Err(StartError::HistoryElsewhere(history));
        }
        let Some(budget_tokens) = new_turn.budget_tokens else {
            return Ok(StartedTurn {
                history,
                may_run_early: true,
                reservation: PendingReservation::NotNeeded,
            });
        };
        let mut committed = partition.index.borrow().committed_tokens(&new_turn.program);
        if committed + new_turn.max_tokens > budget_tokens {
            // What is known here may be old: turns may have ended for less since.
            within_lookup_timeout(partition.read_to_end()).await?;
            committed = partition.index.borrow().committed_tokens(&new_turn.program);
            if committed + new_turn.max_tokens > budget_tokens {
                return Err(Denial::BudgetExhausted.into());
            }
        }
        let may_run_early = committed + new_turn.max_tokens * (1 + HEADROOM_TURNS) <= budget_tokens;
        let delay = if may_run_early {
            RESERVATION_BATCH_DELAY
        } else {
            Duration::ZERO
        };
        Ok(StartedTurn {
            history,
            may_run_early,
            reservation: PendingReservation::Local(self.write_reservation(new_turn, delay)),
        })
    }

    /// Writes a reservation, which may wait for other records for so long.
    pub(crate) fn write_reservation(&self, new_turn: &NewTurn, delay: Duration) -> PendingCommit {
        let record = TurnRecord::Reserved {
            program: new_turn.program.clone(),
            max_tokens: new_turn.max_tokens,
        };
        let committer = &self.partition_of(&new_turn.program).committer;
        let key = reservation_key(&new_turn.turn, self.writer_tag());
        committer.submit(key, encode(&record), delay)
    }

    /// Waits until the partition's order says whether a reservation holds.
    pub(crate) async fn confirm_locally(&self, new_turn: &NewTurn, commit: &PendingCommit) -> bool {
        let Some(budget_tokens) = new_turn.budget_tokens else {
            return true;
        };
        let offset = commit.offset().await;
        let partition = self.partition_of(&new_turn.program);
        partition.wait_for_offset(offset).await;
        let index = partition.index.borrow();
        let is_confirmed = index.is_within_budget(&new_turn.turn, budget_tokens);
        if !is_confirmed {
            crate::event!("reservation_denied", "request" => new_turn.turn.as_str(),
                "program" => new_turn.program.as_str(), "offset" => offset,
                "committed_tokens" => index.committed_tokens(&new_turn.program),
                "budget_tokens" => budget_tokens);
        }
        is_confirmed
    }

    /// Keeps a turn that ended whole; returns once it stands in the store.
    pub(crate) async fn complete_locally(&self, turn: &str, completed: CompletedTurn) {
        let committer = &self.partition_of(&completed.program).committer;
        let record = encode(&TurnRecord::Completed(completed));
        let commit = committer.submit(completed_key(turn), record, Duration::ZERO);
        // What was put aside is of no use any more.
        committer.enqueue(reservation_key(turn, self.writer_tag()), None);
        commit.offset().await;
    }

    /// Settles a turn that did not end whole; returns once that stands in the store.
    pub(crate) async fn settle_locally(&self, turn: &str, program: String, spent_tokens: u64) {
        let committer = &self.partition_of(&program).committer;
        let record = encode(&TurnRecord::Settled {
            program,
            spent_tokens,
        });
        let key = reservation_key(turn, self.writer_tag());
        committer.submit(key, record, Duration::ZERO).offset().await;
    }

    /// Looks for a turn in a partition, in all that stood there when this was called.
    pub(crate) async fn find_locally(
        &self,
        partition: PartitionNumber,
        turn: &str,
    ) -> Result<History, Denial> {
        let partition = self.partitions.get(partition as usize);
        let partition = partition.ok_or(Denial::ReadTimedOut)?;
        within_lookup_timeout(partition.wait_until_loaded()).await?;
        self.find_in_partition(partition, turn).await
    }

    /// Returns a history; what is not known is looked for in what others have written since.
    async fn find_in_partition(
        &self,
        partition: &Partition<D>,
        last: &str,
    ) -> Result<History, Denial> {
        let chain = partition.index.borrow().chain(last);
        if chain.missing.is_none() {
            return Ok(History::of(&chain));
        }
        within_lookup_timeout(partition.read_to_end()).await?;
        let chain = partition.index.borrow().chain(last);
        Ok(History::of(&chain))
    }

    /// Denies turns while their end could not be kept; waits a little for the store to return.
    async fn check_store(&self, partition: &Partition<D>, wait: Duration) -> Result<(), Denial> {
        if partition.committer.is_full() {
            return Err(Denial::StoreBacklogged);
        }
        let health = self.store_paths.health();
        if !health.is_lost(Instant::now()) {
            return Ok(());
        }
        in_time(wait, self.store_paths.recovered()).await;
        if health.is_lost(Instant::now()) {
            return Err(Denial::StoreUnavailable);
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

async fn within_lookup_timeout(read: impl Future<Output = ()>) -> Result<(), Denial> {
    in_time(LOOKUP_TIMEOUT, read)
        .await
        .ok_or(Denial::ReadTimedOut)
}
