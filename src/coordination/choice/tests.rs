use super::*;
use googletest::prelude::*;
use std::collections::BTreeMap;

fn engine(domain: &str) -> EndpointInfo {
    EndpointInfo {
        kind: EndpointKind::Engine,
        models: vec![("m".into(), 1)],
        failure_domain: domain.into(),
    }
}

fn load(wait_ms: u64) -> SidecarLoad {
    SidecarLoad {
        cap: 8,
        running: 8,
        wait_ms,
        call_ms: 1_000.0,
        prefill_tokens_per_s: 8_000.0,
        token_gap_ms: 20.0,
        ..SidecarLoad::default()
    }
}

fn chooser(now: Instant, count: usize) -> Chooser {
    let mut chooser = Chooser::new(ChoiceConfig::default());
    for i in 0..count {
        chooser.upsert(now, &format!("e{i}"), engine("a"));
        chooser.update_load(now, &format!("e{i}"), &load(0));
    }
    chooser
}

fn requirements(cached: &[(EndpointId, u32)]) -> EndpointRequirements<'_> {
    EndpointRequirements {
        target: Target::Model {
            model: "m",
            version: 1,
        },
        prompt_tokens: 4_000,
        answer_tokens: 100,
        cache_holders: cached,
        local_domain: "a",
        exclude: &[],
    }
}

#[gtest]
fn the_cache_holder_is_chosen_until_its_wait_costs_more() {
    let now = Instant::now();
    let mut chooser = chooser(now, 4);
    let mut rng = Rng::with_seed(1);
    let cached = [("e1".to_owned(), 3_900)];
    let first = chooser
        .choose(now, &requirements(&cached), &mut rng)
        .unwrap();
    expect_that!(first.endpoint, eq("e1"));
    expect_that!(first.expected_cached_tokens, eq(3_900));
    chooser.update_load(now, "e1", &load(30_000));
    let second = chooser
        .choose(now, &requirements(&cached), &mut rng)
        .unwrap();
    expect_that!(second.endpoint, not(eq("e1")));
}

#[gtest]
fn a_leaving_endpoint_gets_no_calls() {
    let now = Instant::now();
    for sign in 0..2 {
        let mut chooser = chooser(now, 3);
        if sign == 0 {
            let leaving = SidecarLoad {
                leaving: true,
                ..load(0)
            };
            chooser.update_load(now, "e0", &leaving);
        } else {
            chooser.set_state("e0", EndpointState::Leaving);
            chooser.update_load(now, "e0", &load(0));
        }
        let mut rng = Rng::with_seed(2);
        let cached = [("e0".to_owned(), 4_000)];
        for _ in 0..1_000 {
            let choice = chooser
                .choose(now, &requirements(&cached), &mut rng)
                .unwrap();
            expect_that!(choice.endpoint, not(eq("e0")));
        }
    }
}

#[gtest]
fn failures_stop_new_calls_until_a_probe_succeeds() {
    let now = Instant::now();
    let mut chooser = chooser(now, 1);
    let mut rng = Rng::with_seed(3);
    for call in 0..3 {
        chooser.begin_call(now, "e0", call, CallWork::default());
        chooser.finish_call(now, "e0", call, CallOutcome::Failed);
    }
    expect_that!(chooser.choose(now, &requirements(&[]), &mut rng), none());
    let later = now + Duration::from_secs(2);
    expect_that!(
        chooser.choose(later, &requirements(&[]), &mut rng),
        some(anything())
    );
    expect_that!(chooser.choose(later, &requirements(&[]), &mut rng), none());
    chooser.finish_call(later, "e0", 9, CallOutcome::Answered);
    expect_that!(
        chooser.choose(later, &requirements(&[]), &mut rng),
        some(anything())
    );
}

#[gtest]
fn an_endpoint_silent_for_three_seconds_gets_no_new_calls() {
    let now = Instant::now();
    let mut chooser = chooser(now, 2);
    chooser.begin_call(now, "e0", 1, CallWork::default());
    let later = now + Duration::from_secs(3);
    expect_that!(chooser.is_usable(later, "e0"), eq(false));
    expect_that!(chooser.is_usable(later, "e1"), eq(true));
    chooser.record_activity(later, "e0");
    expect_that!(chooser.is_usable(later, "e0"), eq(true));
}

#[gtest]
fn model_version_service_and_exclusions_are_respected() {
    let now = Instant::now();
    let mut chooser = chooser(now, 3);
    let mut newer = engine("a");
    newer.models = vec![("m".into(), 2)];
    chooser.upsert(now, "e2", newer);
    let mut rng = Rng::with_seed(4);
    let mut required = requirements(&[]);
    required.target = Target::Model {
        model: "m",
        version: 2,
    };
    for _ in 0..50 {
        let choice = chooser.choose(now, &required, &mut rng).unwrap();
        expect_that!(choice.endpoint, eq("e2"));
    }
    let exclude = ["e2".to_owned()];
    required.exclude = &exclude;
    expect_that!(chooser.choose(now, &required, &mut rng), none());
    required.target = Target::Service("bank");
    expect_that!(chooser.choose(now, &required, &mut rng), none());
}

#[gtest]
fn entries_with_the_same_old_report_do_not_all_choose_one_endpoint() {
    let now = Instant::now();
    let mut counts = [0_u32; 10];
    for entry in 0..20 {
        let mut chooser = chooser(now, 10);
        let mut rng = Rng::with_seed(entry);
        for call in 0..10 {
            let choice = chooser.choose(now, &requirements(&[]), &mut rng).unwrap();
            let work = CallWork {
                uncached_tokens: 4_000,
                answer_tokens: 100,
            };
            chooser.begin_call(now, &choice.endpoint, call, work);
            let index: usize = choice.endpoint[1..].parse().unwrap();
            counts[index] += 1;
        }
    }
    let max = counts.iter().max().unwrap();
    expect_that!(*max, le(30));
}

#[gtest]
fn a_removed_endpoint_is_never_chosen() {
    let now = Instant::now();
    let mut chooser = chooser(now, 3);
    chooser.remove("e0");
    let mut rng = Rng::with_seed(5);
    for _ in 0..100 {
        let choice = chooser.choose(now, &requirements(&[]), &mut rng).unwrap();
        expect_that!(choice.endpoint, not(eq("e0")));
    }
}

#[gtest]
fn obstacles_say_why_no_endpoint_gets_a_call() {
    let now = Instant::now();
    let mut chooser = chooser(now, 6);
    expect_that!(chooser.obstacles(now, &requirements(&[])), is_empty());
    chooser.set_state("e0", EndpointState::Leaving);
    chooser.set_state("e1", EndpointState::Suspect);
    chooser.set_state("e2", EndpointState::Suspect);
    for call in 0..3 {
        chooser.begin_call(now, "e3", call, CallWork::default());
        chooser.finish_call(now, "e3", call, CallOutcome::Failed);
    }
    let exclude = ["e4".to_owned()];
    let newer = EndpointRequirements {
        exclude: &exclude,
        ..requirements(&[])
    };
    let mut expected = BTreeMap::from([
        (Obstacle::Leaving, 1),
        (Obstacle::Suspect, 2),
        (Obstacle::BreakerOpen, 1),
        (Obstacle::Excluded, 1),
    ]);
    expect_that!(chooser.obstacles(now, &newer), eq(&expected));
    chooser.begin_call(now, "e5", 9, CallWork::default());
    let later = now + ChoiceConfig::default().silent_after;
    expected.insert(Obstacle::Silent, 1);
    expected.remove(&Obstacle::BreakerOpen);
    expect_that!(chooser.obstacles(later, &newer), eq(&expected));
    expect_that!(
        chooser.choose(later, &newer, &mut Rng::with_seed(3)),
        some(anything())
    );
}
