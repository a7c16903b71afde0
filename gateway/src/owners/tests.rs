use super::{Candidate, choose};
use crate::partition::PARTITIONS;
use googletest::prelude::*;
use std::collections::HashSet;

fn gateways(count: usize) -> Vec<Candidate> {
    let all = (0..count).map(|number| Candidate {
        name: format!("gateway-{number}"),
        address: None,
        has_loaded: true,
    });
    all.collect()
}

fn owners(candidates: &[Candidate]) -> Vec<String> {
    let partitions = 0..PARTITIONS;
    let owners = partitions.map(|number| choose(number, candidates).expect("some").name.clone());
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
        let left: Vec<Candidate> = all.iter().filter(|one| *one != leaving).cloned().collect();
        for (before, after) in before.iter().zip(owners(&left)) {
            if *before != leaving.name {
                expect_that!(after, eq(before));
            }
        }
    }
}

#[googletest::test]
fn partitions_are_spread_over_gateways() {
    // By chance alone, eight partitions meet five or six of nine gateways.
    let owners: HashSet<String> = owners(&gateways(9)).into_iter().collect();
    expect_that!(owners.len(), ge(4));
}

#[googletest::test]
fn nobody_is_chosen_of_none() {
    expect_that!(choose(0, &[]), none());
}
