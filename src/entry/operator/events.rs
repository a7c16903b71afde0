//! What happened, as this entry sees it: takeovers, failed nodes, unknown actions, changes.

use crate::coordination::membership::NodeState;
use crate::coordination::partition::{PartitionEvent, PartitionHandle};
use crate::entry::{Entry, lock};
use crate::ids::{NodeId, Partition, format_id};
use crate::protocol::configuration::AcceptedChange;
use crate::protocol::log::Log;
use crate::protocol::operations::EventKind;
use crate::protocol::record::{ActionResult, Outcome, Record};
use crate::state::partition::Applied;
use smol::Timer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between two looks at the nodes' states.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

impl<L: Log> Entry<L> {
    /// Starts recording events.
    pub(super) fn watch_events(&self) {
        let subject = self.0.config.node.clone();
        self.operations().event(EventKind::Started { subject });
        for (handle, partition) in self.0.partitions.iter().zip(0..) {
            let watch = self.clone().watch_partition(handle.clone(), partition);
            self.0.spawner.spawn(watch);
        }
        self.0.spawner.spawn(self.clone().watch_nodes());
        self.0.spawner.spawn(self.clone().watch_changes());
    }

    async fn watch_partition(self, handle: PartitionHandle<L>, partition: Partition) {
        let changes = handle.subscribe();
        drop(handle);
        let mut owner: Option<NodeId> = None;
        while let Ok(change) = changes.recv().await {
            match change {
                PartitionEvent::OwnershipGained(epoch) => {
                    let to = self.0.config.node.clone();
                    let from = owner.take().filter(|owner| *owner != to);
                    self.operations().event(EventKind::Takeover {
                        partition,
                        epoch,
                        from,
                        to,
                    });
                }
                PartitionEvent::Applied {
                    record, applied, ..
                } => {
                    self.note_record(partition, &record, &applied, &mut owner);
                }
                PartitionEvent::OwnershipLost(_) => {}
            }
        }
    }

    fn note_record(
        &self,
        partition: Partition,
        record: &Record,
        applied: &Applied,
        owner: &mut Option<NodeId>,
    ) {
        match (record, applied) {
            (Record::Claim(claim), Applied::Claimed) if claim.owner != self.0.config.node => {
                *owner = Some(claim.owner.clone());
            }
            (Record::Batch(batch), Applied::Accepted(_)) => {
                let owned = self.0.partitions[usize::from(partition)].epoch() == Some(batch.epoch);
                for entry in batch.entries.iter().filter(|_| owned) {
                    if let crate::protocol::record::Entry::Outcome(outcome) = entry {
                        self.note_outcome(partition, outcome);
                    }
                }
            }
            _ => {}
        }
    }

    fn note_outcome(&self, partition: Partition, outcome: &Outcome) {
        if !matches!(outcome.result, ActionResult::Unknown(_)) {
            return;
        }
        let handle = &self.0.partitions[usize::from(partition)];
        let whose = handle.with_state(|state| {
            let program = state.program(outcome.program)?;
            Some((program.environment.clone(), program.client_account.clone()))
        });
        if let Some((environment, client_account)) = whose {
            self.operations().event(EventKind::UnknownAction {
                environment,
                client_account,
                program: format_id(outcome.program),
                call: format_id(outcome.call),
            });
        }
    }

    /// Records nodes that fail after they were live.
    async fn watch_nodes(self) {
        let mut known: BTreeMap<NodeId, NodeState> = BTreeMap::new();
        loop {
            Timer::after(LOOK_INTERVAL).await;
            let states = self.node_states();
            for (node, state) in &states {
                let was_live = known.get(node).is_some_and(|s| *s != NodeState::Failed);
                if was_live && *state == NodeState::Failed {
                    let subject = node.clone();
                    self.operations().event(EventKind::NodeFailed { subject });
                }
            }
            known = states;
        }
    }

    /// States of the nodes that were heard of.
    fn node_states(&self) -> BTreeMap<NodeId, NodeState> {
        let now = Instant::now();
        let members = lock(&self.0.members);
        let heard = members.nodes().filter(|(_, node)| node.incarnation != 0);
        heard
            .filter_map(|(name, _)| Some((name.clone(), members.state(now, name)?)))
            .collect()
    }

    /// Records changes of environments that this entry hears of first hand.
    async fn watch_changes(self) {
        let changes = self.0.operating.configurator.cell().watch();
        let mut seen = self.0.operating.configurator.current().version();
        while changes.recv().await.is_ok() {
            let current = self.0.operating.configurator.current();
            for image in &current.image().environments {
                for note in image.changes.iter().filter(|note| note.version > seen) {
                    self.note_change(&image.name, note);
                }
            }
            seen = current.version();
        }
    }

    /// The owner of partition 0 records changes, so that each is recorded about once.
    fn note_change(&self, environment: &str, note: &AcceptedChange) {
        let records = self
            .0
            .partitions
            .first()
            .is_some_and(|p| p.epoch().is_some());
        if records {
            self.operations().event(EventKind::Configured {
                environment: environment.to_string(),
                version: note.version,
                operator: note.operator.clone(),
            });
        }
    }
}
