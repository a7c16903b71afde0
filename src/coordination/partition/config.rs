//! Settings of a partition driver.

use crate::coordination::commit::CommitLimits;
use crate::ids::{Incarnation, NodeId, Partition};
use std::time::Duration;

/// A partition together with the node, and the incarnation of it, that drives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionIdentity {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Number of the partition.
    pub partition: Partition,
}

impl PartitionIdentity {
    /// Returns the name of the partition's log stream.
    pub fn stream(&self) -> String {
        format!("partition-{}", self.partition)
    }
}

/// Settings of a partition driver. All partitions of a deployment must use the same settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionConfig {
    /// Whether to follow the stream even while this node should not own the partition.
    pub always_follow: bool,
    /// Limits of the group commit.
    pub commit: CommitLimits,
    /// Time for which the log keeps records.
    pub retention: Duration,
    /// Number of snapshots per retention time: the next one starts when the newest is older than
    /// the retention divided by this.
    pub snapshots_per_retention: u32,
    /// Bytes written since the newest snapshot after which the next one starts early.
    pub snapshot_after_bytes: u64,
    /// Maximum bytes of snapshot images in one batch.
    pub snapshot_batch_bytes: usize,
    /// Time after which ended programs are dropped from the state.
    pub ended_retention: Duration,
    /// Maximum bytes of cached turn bodies.
    pub cache_bytes: usize,
    /// Time for which a read waits for new records at the end of the stream.
    pub read_wait: Duration,
    /// Maximum bytes of one read.
    pub read_bytes: usize,
    /// Timeout of a log call.
    pub log_timeout: Duration,
    /// Longest time between two checks of whether the owner is alive.
    pub tick: Duration,
}

impl Default for PartitionConfig {
    fn default() -> Self {
        Self {
            always_follow: false,
            commit: CommitLimits::default(),
            retention: Duration::from_secs(24 * 3600),
            snapshots_per_retention: 4,
            snapshot_after_bytes: 64 << 20,
            snapshot_batch_bytes: 256 << 10,
            ended_retention: Duration::from_secs(6 * 3600),
            cache_bytes: 32 << 20,
            read_wait: Duration::from_secs(1),
            read_bytes: 1 << 20,
            log_timeout: Duration::from_secs(3),
            tick: Duration::from_millis(200),
        }
    }
}
