//! Which replica comes first, and whether a request may be repeated.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    retry::{Budget, may_repeat},
    route::{LoadTracker, SpreadParams},
};
use crate::{
    platform::{Kind, Standing, Upstream},
    testing::cases,
    verdict::Verdict,
};

/// One entry before engines that run eight requests at once.
const ALONE: SpreadParams = SpreadParams {
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

fn home(table: &LoadTracker, listed: &[Upstream], adapter: &str, now: Instant) -> String {
    table.rank_replicas(listed, "base", adapter, ALONE, now)[0]
        .name
        .clone()
}

#[test]
fn adapters_spread_evenly_over_the_replicas() {
    let (table, listed, now) = (LoadTracker::default(), engines(18), Instant::now());
    let mut homes: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..3000 {
        let adapter = format!("student-{number:06}");
        *homes
            .entry(home(&table, &listed, &adapter, now))
            .or_default() += 1;
    }
    assert_eq!(homes.len(), 18);
    let most = homes.values().max().unwrap();
    assert!(*most < 3000 / 18 * 3 / 2, "one replica is home of {most}");
}

#[test]
fn a_replica_that_leaves_moves_only_its_own_adapters() {
    let (table, now) = (LoadTracker::default(), Instant::now());
    let all = engines(18);
    let mut fewer = all.clone();
    fewer[4].state = Standing::Leaving;
    for number in 0..500 {
        let adapter = format!("student-{number:06}");
        let before = home(&table, &all, &adapter, now);
        let after = home(&table, &fewer, &adapter, now);
        assert!(
            before == after || before == "engine-04",
            "{adapter}: {before} to {after}"
        );
        assert_ne!(after, "engine-04", "a leaving replica gets new work");
    }
}

#[test]
fn another_base_model_is_never_a_candidate() {
    let mut listed = engines(4);
    listed[2].serves = "other".to_owned();
    let table = LoadTracker::default();
    let ranked = table.rank_replicas(&listed, "base", "a", ALONE, Instant::now());
    assert_eq!(ranked.len(), 3);
    assert!(ranked.iter().all(|one| one.serves == "base"));
}

#[test]
fn a_busy_home_comes_after_the_next_until_its_report_is_old() {
    let (mut table, listed, now) = (LoadTracker::default(), engines(4), Instant::now());
    let first = home(&table, &listed, "a", now);
    table.request_started(&first);
    table.request_ended(&first, Some(99), now);
    assert_ne!(home(&table, &listed, "a", now), first);
    let later = now + Duration::from_secs(3);
    assert_eq!(home(&table, &listed, "a", later), first);
}

#[test]
fn ejected_replicas_come_last_but_never_more_than_half() {
    let (mut table, listed, now) = (LoadTracker::default(), engines(4), Instant::now());
    for upstream in &listed {
        table.fail(&upstream.name, now);
    }
    let ranked = table.rank_replicas(&listed, "base", "a", ALONE, now);
    assert_eq!(ranked.len(), 4, "each stays a candidate");
    let mut one = LoadTracker::default();
    let first = home(&one, &listed, "a", now);
    one.fail(&first, now);
    let ranked = one.rank_replicas(&listed, "base", "a", ALONE, now);
    assert_eq!(ranked[3].name, first);
    let later = now + Duration::from_millis(600);
    assert_eq!(home(&one, &listed, "a", later), first);
}

#[test]
fn a_plain_call_goes_to_the_least_loaded_in_its_own_zone() {
    let mut listed = engines(6);
    for upstream in &mut listed {
        upstream.kind = Kind::Service;
    }
    let (mut table, now) = (LoadTracker::default(), Instant::now());
    let first = table.services(&listed, "base", "b", now)[0].name.clone();
    assert_eq!(first, "engine-01");
    table.request_started(&first);
    assert_eq!(
        table.services(&listed, "base", "b", now)[0].name,
        "engine-04"
    );
}

fn check_repeat(verdict: Verdict, idempotent: bool, begun: bool, expected: bool) {
    assert_eq!(may_repeat(verdict, idempotent, begun), expected);
}

cases! {
    check_repeat {
        not_run_is_repeated: (Verdict::NotRun, false, false, true);
        idempotent_not_run_is_repeated: (Verdict::NotRun, true, false, true);
        may_have_run_is_not: (Verdict::MayHaveRun, false, false, false);
        idempotent_may_have_run_is_repeated: (Verdict::MayHaveRun, true, false, true);
        what_ran_is_not: (Verdict::Ran, true, false, false);
        begun_is_never_repeated: (Verdict::MayHaveRun, true, true, false);
        begun_and_not_run_is_never_repeated: (Verdict::NotRun, true, true, false);
    }
}

#[test]
fn retries_stay_a_share_of_the_requests() {
    let mut budget = Budget::new(20);
    while budget.spend() {}
    let mut spent = 0;
    for _ in 0..1000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!(
        (195..=200).contains(&spent),
        "{spent} retries for 1000 requests"
    );
}

/// Homes of an adapter of which an entry has some requests open.
fn check_homes(open: u32, entries: u32, expected: usize) {
    let (mut table, listed, now) = (LoadTracker::default(), engines(6), Instant::now());
    for _ in 0..open {
        table.adapter_request_started("a");
    }
    let spread = SpreadParams { entries, ..ALONE };
    // Each home in turn is the busiest, and the request goes to the next.
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let first = table.rank_replicas(&listed, "base", "a", spread, now)[0];
        used.insert(first.name.clone());
        let load = 4 * u32::try_from(used.len()).unwrap();
        table.request_started(&first.name);
        table.request_ended(&first.name, Some(load.min(7 * 4)), now);
    }
    assert_eq!(used.len(), expected);
    for _ in 0..open {
        table.adapter_request_ended("a");
    }
    assert_eq!(
        home(&table, &listed, "b", now),
        home(&LoadTracker::default(), &listed, "b", now)
    );
}

cases! {
    check_homes {
        a_cold_adapter_has_one_home: (1, 1, 1);
        a_warm_adapter_has_one_home: (5, 1, 1);
        a_hot_adapter_has_two: (6, 1, 2);
        a_hotter_one_has_three: (12, 1, 3);
        one_request_among_many_entries_is_no_sign: (1, 11, 1);
        two_requests_among_many_entries_are: (2, 11, 2);
    }
}
