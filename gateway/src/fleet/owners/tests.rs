use super::{Candidate, Location, choose_owner, choose_server};
use crate::turns::partition::{PARTITION_COUNT, PartitionSet};
use googletest::prelude::*;

fn gateways(count: usize) -> Vec<Candidate> {
    let all = (0..count).map(|number| Candidate {
        name: format!("gateway-{number}"),
        location: Location::Remote(([10, 0, 0, number as u8], 1).into()),
        loaded: (0..PARTITION_COUNT).collect(),
        processor_permille: 500,
    });
    all.collect()
}

fn owners(candidates: &[Candidate]) -> Vec<String> {
    let partitions = 0..PARTITION_COUNT;
    let owners =
        partitions.map(|number| choose_owner(number, candidates).expect("some").name.clone());
    owners.collect()
}

#[googletest::test]
fn the_owner_does_not_depend_on_the_order_of_candidates() {
    let known = gateways(9);
    let mut reordered = known.clone();
    reordered.reverse();
    reordered.swap(2, 5);
    expect_that!(owners(&known), eq(&owners(&reordered)));
}

#[googletest::test]
fn a_leaving_gateway_moves_only_its_own_partitions() {
    let all = gateways(9);
    let before = owners(&all);
    for leaving in &all {
        let remaining: Vec<Candidate> = all
            .iter()
            .filter(|candidate| *candidate != leaving)
            .cloned()
            .collect();
        for (before, after) in before.iter().zip(owners(&remaining)) {
            if *before != leaving.name {
                expect_that!(after, eq(before));
            }
        }
    }
}

#[googletest::test]
fn partitions_are_spread_evenly_over_the_gateways_of_many_sites() {
    const SITES: usize = 500;
    let mut owned_counts = [0; 9];
    for site in 0..SITES {
        let mut all = gateways(9);
        for candidate in &mut all {
            candidate.name = format!("{}-of-site-{site}", candidate.name);
        }
        for owner in owners(&all) {
            let index = all.iter().position(|candidate| candidate.name == owner);
            owned_counts[index.expect("one of them")] += 1;
        }
    }
    // Each gateway owns 222 partitions on average. A deviation of 40 is three standard deviations.
    for count in owned_counts {
        expect_that!(count, all![ge(180), le(265)]);
    }
}

#[googletest::test]
fn no_candidates_give_no_owner() {
    expect_that!(choose_owner(0, &[]), none());
}

#[googletest::test]
fn small_vms_own_no_partitions_beside_large_ones() {
    let mut mixed = gateways(9);
    for small in mixed.iter_mut().skip(2) {
        small.processor_permille = 90;
    }
    let eligible = ["gateway-0", "gateway-1"];
    for owner in owners(&mixed) {
        expect_that!(eligible, contains(eq(owner.as_str())));
    }
    // Small VMs own partitions if there are no large ones.
    expect_that!(owners(&mixed[2..]).len(), eq(PARTITION_COUNT as usize));
}

#[googletest::test]
fn requests_go_to_a_loaded_gateway_until_the_owner_has_loaded() {
    let mut all = gateways(9);
    let owner = choose_owner(3, &all).expect("some").clone();
    expect_that!(choose_server(3, &all), some(eq(owner.location)));
    for candidate in &mut all {
        if candidate.name == owner.name {
            candidate.loaded = [0, 1].into_iter().collect();
        }
    }
    expect_that!(choose_server(3, &all), some(not(eq(owner.location))));
    // After a loss of all gateways none has loaded the partition. Requests go to its owner, so that
    // it is loaded only once.
    for candidate in &mut all {
        candidate.loaded = PartitionSet::default();
    }
    expect_that!(choose_server(3, &all), some(eq(owner.location)));
}

#[googletest::test]
fn an_owner_without_heartbeat_is_pending() {
    let mut all = gateways(9);
    let owner = choose_owner(3, &all).expect("some").name.clone();
    for candidate in &mut all {
        candidate.loaded = PartitionSet::default();
        if candidate.name == owner {
            candidate.location = Location::Pending;
        }
    }
    expect_that!(choose_server(3, &all), some(eq(Location::Pending)));
}
