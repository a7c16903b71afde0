use super::{Candidate, Location, choose_owner, choose_server};
use crate::partition::{PARTITION_COUNT, PartitionSet};
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
fn all_gateways_choose_alike_whatever_order_they_know_each_other_in() {
    let known = gateways(9);
    let mut otherwise = known.clone();
    otherwise.reverse();
    otherwise.swap(2, 5);
    expect_that!(owners(&known), eq(&owners(&otherwise)));
}

#[googletest::test]
fn a_gateway_that_leaves_moves_only_its_own_partitions() {
    let all = gateways(9);
    let before = owners(&all);
    for leaving in &all {
        let left: Vec<Candidate> = all
            .iter()
            .filter(|candidate| *candidate != leaving)
            .cloned()
            .collect();
        for (before, after) in before.iter().zip(owners(&left)) {
            if *before != leaving.name {
                expect_that!(after, eq(before));
            }
        }
    }
}

#[googletest::test]
fn partitions_are_spread_evenly_over_the_gateways_of_many_sites() {
    const SITES: usize = 500;
    let mut served = [0; 9];
    for site in 0..SITES {
        let mut all = gateways(9);
        for candidate in &mut all {
            candidate.name = format!("{}-of-site-{site}", candidate.name);
        }
        for owner in owners(&all) {
            let at = all.iter().position(|candidate| candidate.name == owner);
            served[at.expect("one of them")] += 1;
        }
    }
    // Each serves 222 on average, and 40 more or less are three deviations by chance.
    for count in served {
        expect_that!(count, all![ge(180), le(265)]);
    }
}

#[googletest::test]
fn nobody_is_chosen_of_none() {
    expect_that!(choose_owner(0, &[]), none());
}

#[googletest::test]
fn small_vms_serve_no_partitions_beside_large_ones() {
    let mut mixed = gateways(9);
    for small in mixed.iter_mut().skip(2) {
        small.processor_permille = 90;
    }
    let eligible = ["gateway-0", "gateway-1"];
    for owner in owners(&mixed) {
        expect_that!(eligible, contains(eq(owner.as_str())));
    }
    // Among themselves they do.
    expect_that!(owners(&mixed[2..]).len(), eq(PARTITION_COUNT as usize));
}

#[googletest::test]
fn a_partition_is_asked_where_it_is_loaded_until_its_owner_has_loaded_it() {
    let mut all = gateways(9);
    let owner = choose_owner(3, &all).expect("some").clone();
    expect_that!(choose_server(3, &all), some(eq(owner.location)));
    for candidate in &mut all {
        if candidate.name == owner.name {
            candidate.loaded = [0, 1].into_iter().collect();
        }
    }
    expect_that!(choose_server(3, &all), some(not(eq(owner.location))));
    // After a loss of all nobody has it: its owner is asked, so that it is loaded once.
    for candidate in &mut all {
        candidate.loaded = PartitionSet::default();
    }
    expect_that!(choose_server(3, &all), some(eq(owner.location)));
}

#[googletest::test]
fn an_owner_that_is_not_heard_yet_is_awaited() {
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
