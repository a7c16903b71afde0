//! Requests to the gateway that serves a partition, normally its owner. If it is lost, the next owner is
//! asked, since an operation that reads the partition would make this gateway load it. Without a reply,
//! this gateway executes the operation itself.

use crate::dialect::{Dialect, PartitionNumber};
use crate::fleet::peers::PendingReply;
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::turns::ledger::{
    Denial, History, NewTurn, OwnerReply, OwnerRequest, PendingReservation, StartError, StartedTurn,
};
use crate::turns::partition::{PARTITION_COUNT, partition_of};
use crate::turns::record::CompletedTurn;
use crate::turns::reserved_turn::ReservedTurn;
use crate::turns::scope::client_id;
use futures_util::future::join_all;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between checks whether the owner is still healthy while its reply is outstanding.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of owners that are asked for one operation. It is rare that several gateways are
/// lost one after the other within one request.
const MAX_OWNERS_ASKED: usize = 3;

/// Maximum number of lookups in other partitions per history. Programs continue turns of other
/// programs a few times, but not in loops.
const MAX_HISTORY_PARTS: usize = 16;

/// Owners that were asked for one operation.
type AskedOwners = SmallVec<[SocketAddr; MAX_OWNERS_ASKED]>;

impl<D: Dialect> Gateway<D> {
    /// Looks up a turn's history in all partitions and reserves the turn's tokens.
    pub(crate) async fn start_turn(
        self: &Rc<Self>,
        reserved: &ReservedTurn<D>,
    ) -> Result<StartedTurn, Denial> {
        let new_turn = &reserved.new_turn;
        let newest = match self.try_start(new_turn, reserved).await {
            Ok(started) => return Ok(started),
            Err(StartError::Denied(denial)) => return Err(denial),
            Err(StartError::HistoryElsewhere(newest)) => newest,
        };
        let history = self
            .find_missing_history(partition_of(&new_turn.program), newest)
            .await?;
        let with_history = NewTurn {
            previous: None,
            ..new_turn.clone()
        };
        match self.try_start(&with_history, reserved).await {
            Ok(started) => Ok(StartedTurn { history, ..started }),
            Err(StartError::Denied(denial)) => Err(denial),
            Err(StartError::HistoryElsewhere(_)) => Err(Denial::ReadTimedOut),
        }
    }

    /// Requests a reservation from the owner, or writes it locally.
    async fn try_start(
        self: &Rc<Self>,
        new_turn: &NewTurn,
        reserved: &ReservedTurn<D>,
    ) -> Result<StartedTurn, StartError> {
        let mut attempt = new_turn.clone();
        let mut asked = AskedOwners::new();
        let partition = partition_of(&new_turn.program);
        while let Some(owner) = self.next_owner(partition, &mut asked).await {
            let sent_at = Instant::now();
            let pending = self.send_request(owner, &OwnerRequest::Reserve(attempt.clone()));
            let reply = self.wait_for_reply(owner, &pending).await;
            attempt.is_retry = true;
            attempt.time_left_ms = attempt
                .time_left_ms
                .saturating_sub(sent_at.elapsed().as_millis() as u64);
            match reply {
                Some(OwnerReply::Reserved {
                    history,
                    may_run_early,
                }) => {
                    return Ok(StartedTurn {
                        history,
                        may_run_early,
                        reservation: match new_turn.budget_tokens {
                            Some(_) => PendingReservation::Remote(owner, pending),
                            None => PendingReservation::NotNeeded,
                        },
                    });
                }
                Some(OwnerReply::PartialHistory(history)) => {
                    return Err(StartError::HistoryElsewhere(history));
                }
                Some(OwnerReply::Denied(Denial::StoreUnavailable)) if self.reaches_store() => {
                    self.log_owner_bypass(owner, "reserve", &new_turn.turn, None);
                    break;
                }
                Some(OwnerReply::Denied(denial)) => return Err(denial.into()),
                reply => {
                    reserved.note_lost_owner();
                    self.log_owner_bypass(owner, "reserve", &new_turn.turn, reply);
                }
            }
        }
        self.reserve_locally(&attempt).await
    }

    /// Returns the address to which the next request for a partition goes, or `None` if this gateway
    /// must execute the operation. An owner that was asked before has been lost meanwhile.
    async fn next_owner(
        &self,
        partition: PartitionNumber,
        asked: &mut AskedOwners,
    ) -> Option<SocketAddr> {
        if asked.len() == MAX_OWNERS_ASKED {
            return None;
        }
        let owner = self.remote_owner(partition).await?;
        if asked.contains(&owner) {
            return None;
        }
        asked.push(owner);
        Some(owner)
    }

    /// Looks up the missing part of a history in the other partitions.
    async fn find_missing_history(
        self: &Rc<Self>,
        own_partition: PartitionNumber,
        mut history: History,
    ) -> Result<History, Denial> {
        let mut searched = Some(own_partition);
        for _ in 0..MAX_HISTORY_PARTS {
            let Some(missing) = history.missing.clone() else {
                return Ok(history);
            };
            let others = (0..PARTITION_COUNT).filter(|partition| Some(*partition) != searched);
            let found =
                join_all(others.map(|partition| self.find_history(partition, &missing))).await;
            searched = None;
            let mut older = None;
            let mut last_denial = None;
            for found in found {
                match found {
                    Ok(found) if found.endpoint.is_some() => older = Some(found),
                    Ok(_) => {}
                    Err(denial) => last_denial = Some(denial),
                }
            }
            match (older, last_denial) {
                (Some(older), _) => history.prepend(older),
                (None, Some(denial)) => return Err(denial),
                (None, None) => return Err(Denial::NoSuchTurn),
            }
        }
        Err(Denial::ReadTimedOut)
    }

    /// Looks up a turn in a partition.
    async fn find_history(
        self: &Rc<Self>,
        partition: PartitionNumber,
        turn: &str,
    ) -> Result<History, Denial> {
        let mut asked = AskedOwners::new();
        while let Some(owner) = self.next_owner(partition, &mut asked).await {
            let request = OwnerRequest::Find {
                partition,
                turn: turn.to_owned(),
            };
            let pending = self.send_request(owner, &request);
            match self.wait_for_reply(owner, &pending).await {
                Some(OwnerReply::PartialHistory(history)) => return Ok(history),
                Some(OwnerReply::Denied(denial)) => return Err(denial),
                reply => self.log_owner_bypass(owner, "find", turn, reply),
            }
        }
        self.find_locally(partition, turn).await
    }

    /// Waits until a reservation is confirmed or rejected.
    pub(crate) async fn confirm_reservation(
        self: &Rc<Self>,
        new_turn: &NewTurn,
        reservation: &PendingReservation,
    ) -> bool {
        match reservation {
            PendingReservation::NotNeeded => return true,
            PendingReservation::Local(commit) => {
                return self.confirm_locally(new_turn, commit).await;
            }
            PendingReservation::Remote(owner, pending) => {
                match self.wait_for_reply(*owner, pending).await {
                    Some(OwnerReply::Confirmed(is_confirmed)) => return is_confirmed,
                    reply => self.log_owner_bypass(*owner, "holds", &new_turn.turn, reply),
                }
                if let Some(is_confirmed) = self.confirm_at_next_owner(new_turn, *owner).await {
                    return is_confirmed;
                }
            }
        }
        // Two reservations of the same turn by different gateways count once.
        let commit = self.write_reservation(new_turn, Duration::ZERO);
        self.confirm_locally(new_turn, &commit).await
    }

    /// Reserves a turn's tokens again at the owner after the lost one, which may not have written the
    /// reservation. Returns whether the reservation is confirmed; `None` if this gateway must decide.
    async fn confirm_at_next_owner(
        self: &Rc<Self>,
        new_turn: &NewTurn,
        lost_owner: SocketAddr,
    ) -> Option<bool> {
        let attempt = NewTurn {
            previous: None,
            is_retry: true,
            ..new_turn.clone()
        };
        let partition = partition_of(&new_turn.program);
        let mut asked = AskedOwners::from_slice(&[lost_owner]);
        while let Some(owner) = self.next_owner(partition, &mut asked).await {
            let pending = self.send_request(owner, &OwnerRequest::Reserve(attempt.clone()));
            loop {
                match self.wait_for_reply(owner, &pending).await {
                    Some(OwnerReply::Reserved { .. }) => {}
                    Some(OwnerReply::Confirmed(is_confirmed)) => return Some(is_confirmed),
                    // The lost owner's reservation may already count, so this is no decision.
                    Some(OwnerReply::Denied(_)) => return None,
                    reply => {
                        self.log_owner_bypass(owner, "holds", &new_turn.turn, reply);
                        break;
                    }
                }
            }
        }
        None
    }

    /// Stores a completed turn. Returns once the store has acknowledged it.
    pub(crate) async fn complete_turn(self: &Rc<Self>, turn: &str, completed: CompletedTurn) {
        if let Some(owner) = self.remote_owner(partition_of(&completed.program)).await {
            let request = OwnerRequest::Complete {
                turn: turn.to_owned(),
                completed: completed.clone(),
            };
            let pending = self.send_request(owner, &request);
            match self.wait_for_reply(owner, &pending).await {
                Some(OwnerReply::Committed) => return,
                reply => self.log_owner_bypass(owner, "keep", turn, reply),
            }
        }
        self.complete_locally(turn, completed).await;
    }

    /// Settles a turn that did not complete.
    pub(crate) async fn settle_turn(
        self: &Rc<Self>,
        turn: &str,
        program: String,
        spent_tokens: u64,
    ) {
        if let Some(owner) = self.remote_owner(partition_of(&program)).await {
            let request = OwnerRequest::Settle {
                turn: turn.to_owned(),
                program: program.clone(),
                spent_tokens,
            };
            let pending = self.send_request(owner, &request);
            match self.wait_for_reply(owner, &pending).await {
                Some(OwnerReply::Committed) => return,
                reply => self.log_owner_bypass(owner, "settle", turn, reply),
            }
        }
        self.settle_locally(turn, program, spent_tokens).await;
    }

    /// Waits for a reply from the owner. Returns `None` if the owner is no longer healthy.
    ///
    /// The wait for a healthy owner is not limited, however long the store takes. Local execution
    /// would take as long, and in an outage every gateway would load all partitions.
    async fn wait_for_reply(
        &self,
        owner: SocketAddr,
        pending: &PendingReply,
    ) -> Option<OwnerReply> {
        loop {
            if let Some(reply) = with_timeout(HEALTH_CHECK_INTERVAL, pending.next()).await {
                if reply.is_none() {
                    self.gossip.suspect(owner);
                }
                return reply;
            }
            if !self.gossip.is_healthy(owner, Instant::now()) {
                return None;
            }
        }
    }

    /// Logs that this gateway executes an operation in place of the owner.
    fn log_owner_bypass(
        &self,
        owner: SocketAddr,
        operation: &str,
        turn: &str,
        reply: Option<OwnerReply>,
    ) {
        crate::event!("owner_missed", "request" => client_id(turn), "part" => operation,
            "owner" => owner.to_string(), "has_answered" => reply.is_some());
    }
}
