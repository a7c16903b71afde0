//! Asks the gateway that serves a partition, and does without it where it does not answer.

use crate::dialect::{Dialect, PartitionNumber};
use crate::ledger::{Answer, Ask, Begun, Denial, History, NewTurn, NotBegun, Reservation};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::partition::{PARTITIONS, partition_of};
use crate::peers::Asked;
use crate::record::KeptTurn;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause between two looks at whether a gateway that has been asked is still heard of.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Parts of a history that are looked for in other partitions, at most; programs go on from turns
/// of other programs a few times, not in loops.
const MAX_PARTS: usize = 16;

impl<D: Dialect> Gateway<D> {
    /// Finds a turn's history, wherever it stands, and puts its tokens aside.
    pub(crate) async fn begin_turn(self: &Rc<Self>, new: &NewTurn) -> Result<Begun, Denial> {
        let newest = match self.try_begin(new).await {
            Ok(begun) => return Ok(begun),
            Err(NotBegun::Denied(denial)) => return Err(denial),
            Err(NotBegun::BeginsElsewhere(newest)) => newest,
        };
        let history = self.find_rest(partition_of(&new.program), newest).await?;
        let with_history = NewTurn {
            previous: None,
            ..new.clone()
        };
        match self.try_begin(&with_history).await {
            Ok(begun) => Ok(Begun { history, ..begun }),
            Err(NotBegun::Denied(denial)) => Err(denial),
            Err(NotBegun::BeginsElsewhere(_)) => Err(Denial::NotRead),
        }
    }

    /// Asks for a reservation, or writes it here.
    async fn try_begin(self: &Rc<Self>, new: &NewTurn) -> Result<Begun, NotBegun> {
        let Some(owner) = self.owner_of(partition_of(&new.program)).await else {
            return self.reserve_here(new).await;
        };
        let asked = self.ask_peer(owner, &Ask::Reserve(new.clone()));
        match self.answer_of(owner, &asked).await {
            Some(Answer::Reserved { history, is_ample }) => {
                return Ok(Begun {
                    history,
                    is_ample,
                    reservation: match new.budget_tokens {
                        Some(_) => Reservation::There(owner, asked),
                        None => Reservation::Free,
                    },
                });
            }
            Some(Answer::Begins(history)) => return Err(NotBegun::BeginsElsewhere(history)),
            Some(Answer::Denied(Denial::StoreLost)) if self.reaches_store() => {
                self.do_without(owner, "reserve", &new.turn, None);
            }
            Some(Answer::Denied(denial)) => return Err(denial.into()),
            answer => self.do_without(owner, "reserve", &new.turn, answer),
        }
        let again = NewTurn {
            is_asked_again: true,
            ..new.clone()
        };
        self.reserve_here(&again).await
    }

    /// Finds the part of a history that is missing, in the other partitions.
    async fn find_rest(
        self: &Rc<Self>,
        own_partition: PartitionNumber,
        mut history: History,
    ) -> Result<History, Denial> {
        let mut searched = Some(own_partition);
        for _ in 0..MAX_PARTS {
            let Some(missing) = history.missing.clone() else {
                return Ok(history);
            };
            let others = (0..PARTITIONS).filter(|partition| Some(*partition) != searched);
            let found = join_all(others.map(|partition| self.find(partition, &missing))).await;
            searched = None;
            let mut older = None;
            let mut unread = None;
            for found in found {
                match found {
                    Ok(found) if found.endpoint.is_some() => older = Some(found),
                    Ok(_) => {}
                    Err(denial) => unread = Some(denial),
                }
            }
            match (older, unread) {
                (Some(older), _) => history.prepend(older),
                (None, Some(denial)) => return Err(denial),
                (None, None) => return Err(Denial::NoSuchTurn),
            }
        }
        Err(Denial::NotRead)
    }

    /// Looks for a turn in a partition.
    async fn find(
        self: &Rc<Self>,
        partition: PartitionNumber,
        turn: &str,
    ) -> Result<History, Denial> {
        if let Some(owner) = self.owner_of(partition).await {
            let ask = Ask::Find {
                partition,
                turn: turn.to_owned(),
            };
            let asked = self.ask_peer(owner, &ask);
            match self.answer_of(owner, &asked).await {
                Some(Answer::Begins(history)) => return Ok(history),
                Some(Answer::Denied(denial)) => return Err(denial),
                answer => self.do_without(owner, "find", turn, answer),
            }
        }
        self.find_here(partition, turn).await
    }

    /// Waits until it is known whether a reservation holds.
    pub(crate) async fn holds(self: &Rc<Self>, new: &NewTurn, reservation: &Reservation) -> bool {
        match reservation {
            Reservation::Free => return true,
            Reservation::Here(ticket) => return self.holds_here(new, ticket).await,
            Reservation::There(owner, asked) => match self.answer_of(*owner, asked).await {
                Some(Answer::Holds(holds)) => return holds,
                answer => self.do_without(*owner, "holds", &new.turn, answer),
            },
        }
        // A second record of the same reservation counts once.
        let ticket = self.put_aside(new, Duration::ZERO);
        self.holds_here(new, &ticket).await
    }

    /// Keeps a turn that ended whole; returns once it stands in the store.
    pub(crate) async fn keep_turn(self: &Rc<Self>, turn: &str, kept: KeptTurn) {
        if let Some(owner) = self.owner_of(partition_of(&kept.program)).await {
            let ask = Ask::Keep {
                turn: turn.to_owned(),
                kept: kept.clone(),
            };
            let asked = self.ask_peer(owner, &ask);
            match self.answer_of(owner, &asked).await {
                Some(Answer::Stands) => return,
                answer => self.do_without(owner, "keep", turn, answer),
            }
        }
        self.keep_here(turn, kept).await;
    }

    /// Settles a turn that did not end whole.
    pub(crate) async fn settle_turn(
        self: &Rc<Self>,
        turn: &str,
        program: String,
        spent_tokens: u64,
    ) {
        if let Some(owner) = self.owner_of(partition_of(&program)).await {
            let ask = Ask::Settle {
                turn: turn.to_owned(),
                program: program.clone(),
                spent_tokens,
            };
            let asked = self.ask_peer(owner, &ask);
            match self.answer_of(owner, &asked).await {
                Some(Answer::Stands) => return,
                answer => self.do_without(owner, "settle", turn, answer),
            }
        }
        self.settle_here(turn, program, spent_tokens).await;
    }

    /// Waits for the answer of a gateway; `None` if it is not heard of any more.
    ///
    /// One that is heard of is waited for, however long the store takes: what it waits for would
    /// take as long here, and in an outage each gateway would load all partitions.
    async fn answer_of(&self, owner: SocketAddr, asked: &Asked) -> Option<Answer> {
        loop {
            if let Some(answer) = with_timeout(LOOK_PAUSE, asked.next()).await {
                if answer.is_none() {
                    self.gossip.suspect(owner);
                }
                return answer;
            }
            if !self.gossip.is_well(owner, Instant::now()) {
                return None;
            }
        }
    }

    /// Notes that another gateway's part is done here.
    fn do_without(&self, owner: SocketAddr, part: &str, turn: &str, answer: Option<Answer>) {
        crate::event!("owner_missed", "request" => turn, "part" => part,
            "owner" => owner.to_string(), "has_answered" => answer.is_some());
    }
}
