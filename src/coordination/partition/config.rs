//! Settings of a partition's driver.

use crate::coordination::commit::CommitLimits;
use crate::ids::{Incarnation, NodeId, Partition};
use std::time::Duration;

/// Which partition, at which run of which node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionIdentity {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The partition.
    pub partition: Partition,
}

impl PartitionIdentity {
    /// The partition's stream.
    pub fn stream(&self) -> String {
        format!("partition-{}", self.partition)
    }
}

/// Settings of a partition's driver; the same for all partitions of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionConfig {
    /// Follow the stream also when the partition is not wanted.
    pub always_follow: bool,
    /// Bounds of the group commit.
    pub commit: CommitLimits,
    /// How long the log keeps records.
    pub retention: Duration,
    /// A snapshot is begun when the newest one is so many times younger than the retention.
    pub snapshots_per_retention: u32,
    /// A snapshot is also begun when so much was written since the newest one.
    pub snapshot_after_bytes: u64,
    /// A batch carries so much of a snapshot.
    pub snapshot_batch_bytes: usize,
    /// Ended programs are forgotten after this time.
    pub ended_retention: Duration,
    /// Memory for turn bodies.
    pub cache_bytes: usize,
    /// How long a read waits at the stream's end.
    pub read_wait: Duration,
    /// Data of one read.
    pub read_bytes: usize,
    /// A log call without an answer is given up after this time.
    pub log_timeout: Duration,
    /// How often beliefs about the owner are looked at.
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
