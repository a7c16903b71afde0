//! Turns and budgets, as served by the owner of their partition.
//!
//! All functions here also work on a gateway that does not own the partition; it then reads the
//! required records first.

use crate::dialect::{Dialect, PartId, PartitionNumber};
use crate::fleet::peers::PendingReply;
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::turns::commit::PendingCommit;
use crate::turns::index::{Chain, WriterTag, completed_key, reservation_key};
use crate::turns::outage::max_wait;
use crate::turns::partition::{Partition, partition_of};
use crate::turns::record::{CompletedTurn, TurnRecord, encode};
use crate::turns::scope::client_id;
use galenapick::stable_hash;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum wait for the records that must be read before a turn can start.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of further turns that the budget must cover for a turn to run before its reservation is
/// confirmed. This allows for turns that other gateways started and that are not known here yet.
const HEADROOM_TURNS: u64 = 2;

/// Maximum delay for batching the reservation of a turn that already runs. An engine takes at least
/// 20 ms to its first token, and an append takes 6 ms.
const RESERVATION_BATCH_DELAY: Duration = Duration::from_millis(10);

/// A turn that is about to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NewTurn {
    /// Id of the turn: the request id of the client's request, scoped to its account.
    pub(crate) turn: String,
    /// Program of the turn, scoped to the account.
    pub(crate) program: String,
    /// Id of the turn that it continues.
    pub(crate) previous: Option<String>,
    /// Maximum number of tokens that count for it: the most that it generates, in whole events.
    pub(crate) max_tokens: u64,
    /// Number of tokens that may count for its program with this turn: the program's budget and what
    /// `max_tokens` is rounded up by; `None` means no limit.
    pub(crate) budget_tokens: Option<u64>,
    /// Time until the client gives up, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub(crate) time_left_ms: u64,
    /// Whether an earlier attempt may have reached another gateway. In that case a record of the
    /// turn itself may already exist.
    #[serde(rename = "is_asked_again")]
    pub(crate) is_retry: bool,
}

/// A request to the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerRequest {
    /// Looks up a turn's history and reserves its tokens. The reply is [`OwnerReply::Reserved`],
    /// followed by [`OwnerReply::Confirmed`] if the program has a budget. It is
    /// [`OwnerReply::PartialHistory`] if a part of the history is in another partition, and
    /// [`OwnerReply::Denied`] if the turn must not run.
    Reserve(NewTurn),
    /// Stores a completed turn. The reply is [`OwnerReply::Committed`].
    #[serde(rename = "Keep")]
    Complete {
        /// Id of the turn.
        turn: String,
        /// Record to store.
        #[serde(rename = "kept")]
        completed: CompletedTurn,
    },
    /// Settles a turn that did not complete. The reply is [`OwnerReply::Committed`].
    Settle {
        /// Id of the turn.
        turn: String,
        /// Program that the turn belongs to.
        program: String,
        /// Number of tokens delivered to clients.
        spent_tokens: u64,
    },
    /// Looks up a turn in a partition. The reply is [`OwnerReply::PartialHistory`] or
    /// [`OwnerReply::Denied`].
    Find {
        /// Partition to search.
        partition: PartitionNumber,
        /// Id of the turn.
        turn: String,
    },
}

/// A reply from the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerReply {
    /// The history is known, and the reservation is being written.
    Reserved {
        /// Complete history of the turn.
        history: History,
        /// Whether the budget has enough headroom for the turn to run before its reservation is
        /// confirmed.
        #[serde(rename = "is_ample")]
        may_run_early: bool,
    },
    /// Whether the budget covers the reservation.
    #[serde(rename = "Holds")]
    Confirmed(bool),
    /// The store has acknowledged the record.
    #[serde(rename = "Stands")]
    Committed,
    /// The most recent part of a history, as far as the partition contains it.
    #[serde(rename = "Begins")]
    PartialHistory(History),
    /// The request was denied.
    Denied(Denial),
}

/// Reason why a turn must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Denial {
    /// The turn to continue does not exist.
    NoSuchTurn,
    /// The program's budget does not cover the turn.
    #[strum(serialize = "spent")]
    #[serde(rename = "Spent")]
    BudgetExhausted,
    /// A turn with this id already exists.
    #[strum(serialize = "used-before")]
    #[serde(rename = "UsedBefore")]
    DuplicateTurn,
    /// The store does not answer.
    #[strum(serialize = "store-lost")]
    #[serde(rename = "StoreLost")]
    StoreUnavailable,
    /// Too many records wait for the store.
    #[strum(serialize = "store-behind")]
    #[serde(rename = "StoreBehind")]
    StoreBacklogged,
    /// The required records could not be read in time.
    #[strum(serialize = "not-read")]
    #[serde(rename = "NotRead")]
    ReadTimedOut,
}

/// History of a turn in the form that endpoints receive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    /// Inputs and outputs, oldest first.
    #[serde(with = "serde_bytes")]
    pub(crate) text: Vec<u8>,
    /// Endpoint that ran the last turn; `None` if no turn is known.
    pub(crate) endpoint: Option<String>,
    /// Parts of the last turn's prompt with their token counts.
    pub(crate) prompt_parts: SmallVec<[(PartId, u32); 4]>,
    /// Id of the turn that precedes the known ones, if the history is incomplete.
    pub(crate) missing: Option<String>,
}

impl History {
    fn from_chain(chain: &Chain) -> Self {
        let last = chain.turns.last();
        let texts: Vec<&[u8]> = chain.turns.iter().map(|turn| &*turn.text).collect();
        Self {
            text: texts.concat(),
            endpoint: last.map(|turn| turn.endpoint.clone()),
            prompt_parts: last.map_or(SmallVec::new(), |turn| turn.prompt_parts.clone()),
            missing: chain.missing.clone(),
        }
    }

    /// Inserts an older part of the history before the known part.
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

/// A reservation that is not confirmed yet.
pub(crate) enum PendingReservation {
    /// The program has no budget, so no reservation is needed.
    NotNeeded,
    /// Written by this gateway.
    Local(PendingCommit),
    /// Requested from the owner at this address.
    Remote(SocketAddr, PendingReply),
}

/// A turn that may run, or may run once its reservation is confirmed.
pub(crate) struct StartedTurn {
    pub(crate) history: History,
    /// Whether it may run before the reservation is confirmed.
    pub(crate) may_run_early: bool,
    pub(crate) reservation: PendingReservation,
}

/// Reason why a turn could not start in its partition.
pub(crate) enum StartError {
    /// Part of the history is in another partition. No tokens were reserved.
    HistoryElsewhere(History),
    Denied(Denial),
}

impl From<Denial> for StartError {
    fn from(denial: Denial) -> Self {
        Self::Denied(denial)
    }
}

impl<D: Dialect> Gateway<D> {
    /// Handles a request from a peer, which gets one or two replies.
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

    /// Looks up a turn's history and reserves its tokens.
    pub(crate) async fn reserve_locally(
        &self,
        new_turn: &NewTurn,
    ) -> Result<StartedTurn, StartError> {
        let partition = self.program_partition(&new_turn.program);
        let time_left = Duration::from_millis(new_turn.time_left_ms);
        self.check_store(partition, max_wait(time_left)).await?;
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
        let charged_tokens = || {
            let charged = partition.charged_tokens(&new_turn.program);
            // A reservation of this turn that a lost owner has written is replaced, not added to.
            let reserved = match new_turn.is_retry {
                true => partition.index.borrow().reserved_tokens(&new_turn.turn),
                false => 0,
            };
            charged.saturating_sub(reserved)
        };
        let mut charged = charged_tokens();
        if charged + new_turn.max_tokens > budget_tokens {
            // The local state may be stale: turns may have settled for fewer tokens since.
            within_lookup_timeout(partition.read_to_end()).await?;
            charged = charged_tokens();
            if charged + new_turn.max_tokens > budget_tokens {
                return Err(Denial::BudgetExhausted.into());
            }
        }
        // The client may have left while this waited.
        if partition.has_ended(&new_turn.turn) {
            crate::event!("reservation_abandoned", "request" => client_id(&new_turn.turn),
                "program" => client_id(&new_turn.program), "max_tokens" => new_turn.max_tokens);
            return Err(Denial::DuplicateTurn.into());
        }
        let may_run_early = charged + new_turn.max_tokens * (1 + HEADROOM_TURNS) <= budget_tokens;
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

    /// Writes a reservation, delayed by at most `delay` for batching with other records.
    pub(crate) fn write_reservation(&self, new_turn: &NewTurn, delay: Duration) -> PendingCommit {
        let record = TurnRecord::Reserved {
            program: new_turn.program.clone(),
            max_tokens: new_turn.max_tokens,
        };
        let partition = self.program_partition(&new_turn.program);
        partition.queue_reservation(&new_turn.turn, &new_turn.program, new_turn.max_tokens);
        let key = reservation_key(&new_turn.turn, self.writer_tag());
        partition.committer.submit(key, encode(&record), delay)
    }

    /// Waits until the reservation can be checked against the records before it. Returns whether
    /// the budget covers it.
    pub(crate) async fn confirm_locally(&self, new_turn: &NewTurn, commit: &PendingCommit) -> bool {
        let Some(budget_tokens) = new_turn.budget_tokens else {
            return true;
        };
        let offset = commit.offset().await;
        let partition = self.program_partition(&new_turn.program);
        partition.wait_for_offset(offset).await;
        let index = partition.index.borrow();
        let is_confirmed = index.is_within_budget(&new_turn.turn, budget_tokens);
        if !is_confirmed {
            crate::event!("reservation_denied", "request" => client_id(&new_turn.turn),
                "program" => client_id(&new_turn.program), "offset" => offset,
                "committed_tokens" => index.charged_tokens(&new_turn.program),
                "budget_tokens" => budget_tokens);
        }
        is_confirmed
    }

    /// Stores a completed turn. Returns once the store has acknowledged it.
    pub(crate) async fn complete_locally(&self, turn: &str, completed: CompletedTurn) {
        let partition = self.program_partition(&completed.program);
        partition.mark_ended(turn);
        let committer = &partition.committer;
        let record = encode(&TurnRecord::Completed(completed));
        let commit = committer.submit(completed_key(turn), record, Duration::ZERO);
        // The completed record supersedes the reservation.
        committer.enqueue(reservation_key(turn, self.writer_tag()), None);
        commit.offset().await;
    }

    /// Settles a turn that did not complete. Returns once the store has acknowledged it.
    pub(crate) async fn settle_locally(&self, turn: &str, program: String, spent_tokens: u64) {
        let partition = self.program_partition(&program);
        partition.mark_ended(turn);
        let record = encode(&TurnRecord::Settled {
            program,
            spent_tokens,
        });
        let key = reservation_key(turn, self.writer_tag());
        let commit = partition.committer.submit(key, record, Duration::ZERO);
        commit.offset().await;
    }

    /// Looks up a turn among all records that the partition contained at the time of this call.
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

    /// Returns a history, and first reads the partition to its end if a part of it is missing.
    async fn find_in_partition(
        &self,
        partition: &Partition<D>,
        last: &str,
    ) -> Result<History, Denial> {
        let chain = partition.index.borrow().chain(last);
        if chain.missing.is_none() {
            return Ok(History::from_chain(&chain));
        }
        within_lookup_timeout(partition.read_to_end()).await?;
        let chain = partition.index.borrow().chain(last);
        Ok(History::from_chain(&chain))
    }

    /// Denies new turns while their outcome could not be stored. Waits up to `wait` for the store
    /// to recover.
    async fn check_store(&self, partition: &Partition<D>, wait: Duration) -> Result<(), Denial> {
        if partition.committer.is_full() {
            return Err(Denial::StoreBacklogged);
        }
        let health = self.store_paths.health();
        if !health.is_lost(Instant::now()) {
            return Ok(());
        }
        with_timeout(wait, self.store_paths.recovered()).await;
        if health.is_lost(Instant::now()) {
            return Err(Denial::StoreUnavailable);
        }
        Ok(())
    }

    /// Distinguishes this gateway's reservations from those of its peers.
    fn writer_tag(&self) -> WriterTag {
        stable_hash(&self.settings.name) as WriterTag
    }

    /// Returns the partition that contains a program's records.
    pub(crate) fn program_partition(&self, program: &str) -> &Partition<D> {
        &self.partitions[partition_of(program) as usize]
    }
}

async fn within_lookup_timeout(read: impl Future<Output = ()>) -> Result<(), Denial> {
    with_timeout(LOOKUP_TIMEOUT, read)
        .await
        .ok_or(Denial::ReadTimedOut)
}
