//! Membership probes reach all nodes, even if some nodes never answer.

use galenapick::protocol::link::Digest;
use galenapick::protocol::vms::NodeRole;
use galenapick::{Membership, MembershipConfig};
use googletest::prelude::*;
use std::time::{Duration, Instant};

#[googletest::test]
fn unreachable_nodes_do_not_delay_probes_of_other_nodes() {
    let started_at = Instant::now();
    let mut members = Membership::new("entry-1", 1, MembershipConfig::default());
    for index in 0..8 {
        let name = format!("engine-{index}");
        members.add(started_at, &name, NodeRole::Sidecar, "127.0.0.1:1", "a");
    }
    let mut answered_probes = 0;
    for round in 0..100 {
        let now = started_at + Duration::from_millis(500) * round;
        for name in members.pick_probe_targets(now, NodeRole::Sidecar, 3) {
            if ["engine-0", "engine-1", "engine-2"].contains(&name.as_str()) {
                continue;
            }
            answered_probes += 1;
            let digest = Digest {
                node: name,
                incarnation: 1,
                ..Digest::default()
            };
            members.apply_digest(now, &digest);
        }
    }
    expect_that!(answered_probes, gt(100));
}
