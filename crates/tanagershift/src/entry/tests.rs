//! Tests of the ranking of replicas, the rules for retries and the retry budget.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    retry::{RetryBudget, may_repeat},
    route::{LoadTracker, SpreadParams},
};
use crate::{
    platform::{Kind, Standing, Upstream},
    testing::cases,
    verdict::Verdict,
};

/// A single entry in front of engines with a batch size of eight.
const SINGLE_ENTRY: SpreadParams = SpreadParams {
    batch: 8,
    entries: 1,
};

fn engines(count: usize) -> Vec<Upstream> {
    let engine = |number: usize| Upstream {
        name: format!("engine-{number:02}"),
        kind: Kind::Engine,
        serves: "base".to_owned(),
        zone: ["a", "b", "c"][number % 3].to_owned(),
        address: format!("127.0.0.1:{}", 1000 + number),
        state: Standing::Live,
    };
    (0..count).map(engine).collect()
}

fn first_choice(
    load_tracker: &LoadTracker,
    listed: &[Upstream],
    adapter: &str,
    now: Instant,
) -> String {
    load_tracker.rank_replicas(listed, "base", adapter, SINGLE_ENTRY, now)[0]
        .name
        .clone()
}

#[test]
fn adapters_spread_evenly_over_the_replicas() {
    let (load_tracker, listed, now) = (LoadTracker::default(), engines(18), Instant::now());
    let mut adapters_by_replica: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..3000 {
        let adapter = format!("student-{number:06}");
        *adapters_by_replica
            .entry(first_choice(&load_tracker, &listed, &adapter, now))
            .or_default() += 1;
    }
    assert_eq!(adapters_by_replica.len(), 18);
    let most = adapters_by_replica.values().max().unwrap();
    assert!(
        *most < 3000 / 18 * 3 / 2,
        "one replica is the first choice of {most} adapters"
    );
}

#[test]
fn a_leaving_replica_moves_only_its_own_adapters() {
    let (load_tracker, now) = (LoadTracker::default(), Instant::now());
    let all = engines(18);
    let mut fewer = all.clone();
    fewer[4].state = Standing::Leaving;
    for number in 0..500 {
        let adapter = format!("student-{number:06}");
        let before = first_choice(&load_tracker, &all, &adapter, now);
        let after = first_choice(&load_tracker, &fewer, &adapter, now);
        assert!(
            before == after || before == "engine-04",
            "{adapter}: {before} to {after}"
        );
        assert_ne!(after, "engine-04", "a leaving replica gets new requests");
    }
}

#[test]
fn another_base_model_is_never_a_candidate() {
    let mut listed = engines(4);
    listed[2].serves = "other".to_owned();
    let load_tracker = LoadTracker::default();
    let ranked = load_tracker.rank_replicas(&listed, "base", "a", SINGLE_ENTRY, Instant::now());
    assert_eq!(ranked.len(), 3);
    assert!(ranked.iter().all(|replica| replica.serves == "base"));
}

#[test]
fn an_overloaded_preferred_replica_is_passed_over_until_its_load_report_expires() {
    let (mut load_tracker, listed, now) = (LoadTracker::default(), engines(4), Instant::now());
    let first = first_choice(&load_tracker, &listed, "a", now);
    load_tracker.request_started(&first);
    load_tracker.request_ended(&first, Some(99), now);
    assert_ne!(first_choice(&load_tracker, &listed, "a", now), first);
    let later = now + Duration::from_secs(3);
    assert_eq!(first_choice(&load_tracker, &listed, "a", later), first);
}

#[test]
fn ejected_replicas_stay_candidates_and_rank_last_until_the_ejection_ends() {
    let (mut load_tracker, listed, now) = (LoadTracker::default(), engines(4), Instant::now());
    for upstream in &listed {
        load_tracker.record_failure(&upstream.name, now);
    }
    let ranked = load_tracker.rank_replicas(&listed, "base", "a", SINGLE_ENTRY, now);
    assert_eq!(ranked.len(), 4, "ejected replicas stay candidates");
    let mut one_failure = LoadTracker::default();
    let first = first_choice(&one_failure, &listed, "a", now);
    one_failure.record_failure(&first, now);
    let ranked = one_failure.rank_replicas(&listed, "base", "a", SINGLE_ENTRY, now);
    assert_eq!(ranked[3].name, first);
    let later = now + Duration::from_millis(600);
    assert_eq!(first_choice(&one_failure, &listed, "a", later), first);
}

#[test]
fn a_plain_call_goes_to_the_least_loaded_upstream_of_its_own_zone() {
    let mut listed = engines(6);
    for upstream in &mut listed {
        upstream.kind = Kind::Service;
    }
    let (mut load_tracker, now) = (LoadTracker::default(), Instant::now());
    let first = load_tracker.rank_upstreams(&listed, "base", "b", now)[0]
        .name
        .clone();
    assert_eq!(first, "engine-01");
    load_tracker.request_started(&first);
    assert_eq!(
        load_tracker.rank_upstreams(&listed, "base", "b", now)[0].name,
        "engine-04"
    );
}

fn check_repeat(verdict: Verdict, idempotent: bool, response_started: bool, expected: bool) {
    assert_eq!(may_repeat(verdict, idempotent, response_started), expected);
}

cases! {
    check_repeat {
        not_run_is_repeated: (Verdict::NotRun, false, false, true);
        idempotent_not_run_is_repeated: (Verdict::NotRun, true, false, true);
        may_have_run_is_not: (Verdict::MayHaveRun, false, false, false);
        idempotent_may_have_run_is_repeated: (Verdict::MayHaveRun, true, false, true);
        ran_is_not_repeated: (Verdict::Ran, true, false, false);
        started_response_is_never_repeated: (Verdict::MayHaveRun, true, true, false);
        started_response_and_not_run_is_never_repeated: (Verdict::NotRun, true, true, false);
    }
}

#[test]
fn retries_stay_a_share_of_the_requests() {
    let mut budget = RetryBudget::new(20);
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!(
        (195..=200).contains(&retries),
        "{retries} retries for 1000 requests"
    );
}

/// Checks the number of preferred replicas of an adapter that has `open` requests at this entry.
fn check_preferred_replicas(open: u32, entries: u32, expected: usize) {
    let (mut load_tracker, listed, now) = (LoadTracker::default(), engines(6), Instant::now());
    for _ in 0..open {
        load_tracker.adapter_request_started("a");
    }
    let spread = SpreadParams {
        entries,
        ..SINGLE_ENTRY
    };
    // Each chosen replica reports the highest load so far, so the next request goes to another
    // preferred replica.
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let first = load_tracker.rank_replicas(&listed, "base", "a", spread, now)[0];
        used.insert(first.name.clone());
        let load = 4 * u32::try_from(used.len()).unwrap();
        load_tracker.request_started(&first.name);
        load_tracker.request_ended(&first.name, Some(load.min(7 * 4)), now);
    }
    assert_eq!(used.len(), expected);
    for _ in 0..open {
        load_tracker.adapter_request_ended("a");
    }
    assert_eq!(
        first_choice(&load_tracker, &listed, "b", now),
        first_choice(&LoadTracker::default(), &listed, "b", now)
    );
}

cases! {
    check_preferred_replicas {
        an_adapter_with_one_request_has_one: (1, 1, 1);
        a_warm_adapter_has_one: (5, 1, 1);
        a_hot_adapter_has_two: (6, 1, 2);
        a_hotter_adapter_has_three: (12, 1, 3);
        one_request_is_not_extrapolated_over_many_entries: (1, 11, 1);
        two_requests_are_extrapolated_over_many_entries: (2, 11, 2);
    }
}
