//! Recording of events: takeovers, failed nodes, unknown actions and configuration changes.

use crate::coordination::membership::NodeState;
use crate::coordination::partition::PartitionEvent;
use crate::entry::{Entry, lock};
use crate::ids::{NodeId, Partition, format_id};
use crate::protocol::configuration::AcceptedChange;
use crate::protocol::log::Log;
use crate::protocol::operations::EventKind;
use crate::protocol::record::{ActionResult, Outcome, Record};
use crate::state::partition::Applied;
use async_channel::Receiver;
use smol::Timer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Polling interval for the states of nodes.
const NODE_POLL_INTERVAL: Duration = Duration::from_millis(500);

impl<L: Log> Entry<L> {
    /// Records the start of this node and starts the tasks that record later events.
    pub(super) fn watch_events(&self) {
        let subject = self.0.config.node.clone();
        self.operations()
            .record_event(EventKind::Started { subject });
        for (handle, partition) in self.0.partitions.iter().zip(0..) {
            let watch = self.clone().watch_partition(handle.subscribe(), partition);
            self.0.spawner.spawn(watch);
        }
        self.0.spawner.spawn(self.clone().watch_nodes());
        self.0.spawner.spawn(self.clone().watch_changes());
    }

    async fn watch_partition(self, events: Receiver<PartitionEvent>, partition: Partition) {
        let mut owner: Option<NodeId> = None;
        while let Ok(event) = events.recv().await {
            match event {
                PartitionEvent::OwnershipGained(epoch) => {
                    let to = self.0.config.node.clone();
                    let from = owner.take().filter(|owner| *owner != to);
                    self.operations().record_event(EventKind::Takeover {
                        partition,
                        epoch,
                        from,
                        to,
                    });
                }
                PartitionEvent::Applied {
                    record, applied, ..
                } => {
                    self.handle_record(partition, &record, &applied, &mut owner);
                }
                PartitionEvent::OwnershipLost(_) => {}
            }
        }
    }

    fn handle_record(
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
                        self.record_unknown_action(partition, outcome);
                    }
                }
            }
            _ => {}
        }
    }

    fn record_unknown_action(&self, partition: Partition, outcome: &Outcome) {
        if !matches!(outcome.result, ActionResult::Unknown(_)) {
            return;
        }
        let handle = &self.0.partitions[usize::from(partition)];
        let account = handle.with_state(|state| {
            let program = state.program(outcome.program)?;
            Some((program.environment.clone(), program.client_account.clone()))
        });
        if let Some((environment, client_account)) = account {
            self.operations().record_event(EventKind::UnknownAction {
                environment,
                client_account,
                program: format_id(outcome.program),
                call: format_id(outcome.call),
            });
        }
    }

    /// Records nodes that change to the failed state from any other state.
    async fn watch_nodes(self) {
        let mut previous_states: BTreeMap<NodeId, NodeState> = BTreeMap::new();
        loop {
            Timer::after(NODE_POLL_INTERVAL).await;
            let states = self.node_states();
            for (node, state) in &states {
                let was_not_failed = previous_states
                    .get(node)
                    .is_some_and(|s| *s != NodeState::Failed);
                if was_not_failed && *state == NodeState::Failed {
                    let subject = node.clone();
                    self.operations()
                        .record_event(EventKind::NodeFailed { subject });
                }
            }
            previous_states = states;
        }
    }

    /// Returns the states of the nodes whose incarnation is known.
    fn node_states(&self) -> BTreeMap<NodeId, NodeState> {
        let now = Instant::now();
        let membership = lock(&self.0.membership);
        let known_nodes = membership.nodes().filter(|(_, node)| node.incarnation != 0);
        known_nodes
            .filter_map(|(name, _)| Some((name.clone(), membership.state(now, name)?)))
            .collect()
    }

    /// Records the environment changes in each new configuration version.
    async fn watch_changes(self) {
        let changes = self.0.operator_services.configurator.cell().watch();
        let mut seen = self.0.operator_services.configurator.current().version();
        while changes.recv().await.is_ok() {
            let current = self.0.operator_services.configurator.current();
            for image in &current.image().environments {
                for change in image.changes.iter().filter(|change| change.version > seen) {
                    self.record_configuration_change(&image.name, change);
                }
            }
            seen = current.version();
        }
    }

    /// Records a change if this node owns partition 0, so that each change is recorded about once.
    fn record_configuration_change(&self, environment: &str, change: &AcceptedChange) {
        let is_recorder = self
            .0
            .partitions
            .first()
            .is_some_and(|p| p.epoch().is_some());
        if is_recorder {
            self.operations().record_event(EventKind::Configured {
                environment: environment.to_string(),
                version: change.version,
                operator: change.operator.clone(),
            });
        }
    }
}
