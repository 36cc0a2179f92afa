//! Tests of client accounts that compete for too little room: a hot account, one that returns after a pause,
//! and an overload that lasts.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    account::{Account, Accounts, Quota, Unit},
    limit::Limits,
    quarantine::Ledger,
    scheduler::{Candidate, Config, Decision, Job, Pauses, Scheduler},
    scheduler_tests,
};

/// Time between two decisions.
const TICK: Duration = Duration::from_millis(10);
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(400);
/// Requests that run at once; 20 requests a second each.
const SLOTS: u32 = 8;

fn accounts(rates: &[(&str, f64)]) -> Accounts {
    let account = |(name, per_second): &(&str, f64)| Account {
        name: (*name).into(),
        keys: Vec::new(),
        priority: None,
        quota: Some(Quota {
            unit: Unit::Requests,
            per_second: *per_second,
            burst: *per_second,
        }),
    };
    Accounts::new(rates.iter().map(account).collect()).unwrap()
}

/// What became of the requests of each account.
#[derive(Debug, Default)]
struct Outcome {
    sent: u32,
    begun: u32,
    /// Time for which refused requests waited.
    held: Duration,
}

/// Runs a service with one replica for `time`. `rate` gives the requests a second of an account at a time
/// since the start.
fn run(
    accounts: &Accounts,
    names: &[&str],
    time: Duration,
    rate: impl Fn(&str, Duration) -> f64,
) -> BTreeMap<String, Outcome> {
    let start = Instant::now();
    let mut scheduler = Scheduler::new(Config::default());
    scheduler.configure(accounts);
    let found: Rc<[Candidate]> = Rc::new([Candidate {
        name: "r1".to_owned(),
        zone: "a".to_owned(),
        slots: SLOTS,
        ceiling: None,
        token_capacity: 0,
        unscheduled_requests: 0,
        version: Some(1),
    }]);
    let mut outcomes: BTreeMap<String, Outcome> = BTreeMap::new();
    let mut arrived: BTreeMap<u64, (String, Instant)> = BTreeMap::new();
    let mut ends: Vec<(Instant, u64)> = Vec::new();
    let mut owed: BTreeMap<&str, f64> = BTreeMap::new();
    let mut next = 0;
    for tick in 0..time.as_millis() / TICK.as_millis() {
        let passed = TICK * tick as u32;
        let now = start + passed;
        ends.retain(|(at, number)| {
            let runs = now < *at;
            if !runs {
                scheduler.end_job(*number);
            }
            runs
        });
        for name in names {
            let due = owed.entry(name).or_default();
            // The last requests have time to begin.
            if passed + Duration::from_secs(1) < time {
                *due += rate(name, passed) * TICK.as_secs_f64();
            }
            while *due >= 1.0 {
                *due -= 1.0;
                next += 1;
                arrived.insert(next, ((*name).to_owned(), now));
                outcomes.entry((*name).to_owned()).or_default().sent += 1;
                scheduler.add(Job {
                    account: (*name).to_owned(),
                    prompt_tokens: 20,
                    max_output_tokens: 20,
                    ..scheduler_tests::job(next, now)
                });
            }
        }
        let (pauses, ledger, mut limits) =
            (Pauses::default(), Ledger::default(), Limits::default());
        let decided = scheduler.decide(&pauses, &ledger, &mut limits, now, |_, _, _| found.clone());
        for decision in decided {
            match decision {
                Decision::Send { number, .. } => {
                    let (name, _) = &arrived[&number];
                    outcomes.entry(name.clone()).or_default().begun += 1;
                    ends.push((now + RUN, number));
                }
                Decision::Refuse { number, .. } => {
                    let (name, since) = &arrived[&number];
                    outcomes.entry(name.clone()).or_default().held += now - *since;
                }
                Decision::Bar { .. } => {}
            }
        }
    }
    outcomes
}

const NAMES: [&str; 4] = ["hot", "one", "two", "three"];

/// Room for 17 requests a second; four accounts that send 4 a second each, one of them 24.
fn hot_account(accounts: &Accounts) -> BTreeMap<String, Outcome> {
    let rate = |name: &str, _: Duration| if name == "hot" { 24.0 } else { 4.0 };
    run(accounts, &NAMES, Duration::from_secs(12), rate)
}

fn least_served(outcomes: &BTreeMap<String, Outcome>) -> f64 {
    let calm = outcomes.iter().filter(|(name, _)| *name != "hot");
    let shares = calm.map(|(_, one)| f64::from(one.begun) / f64::from(one.sent));
    shares.fold(1.0, f64::min)
}

// An account at six times its usual takes from itself. First come, first served is what remains without
// accounts.
#[test]
fn a_hot_account_takes_from_itself() {
    let equal = accounts(&NAMES.map(|name| (name, 10.0)));
    let fair = least_served(&hot_account(&equal));
    let unfair = least_served(&hot_account(&Accounts::default()));
    assert!(fair > 0.9, "least served {fair}");
    assert!(unfair < 0.7, "first come, first served: {unfair}");
}

// What the quiet accounts leave is used by the hot one.
#[test]
fn the_share_of_an_idle_account_is_lent() {
    let equal = accounts(&NAMES.map(|name| (name, 10.0)));
    let rate = |name: &str, _: Duration| if name == "hot" { 24.0 } else { 0.5 };
    let outcomes = run(&equal, &NAMES, Duration::from_secs(12), rate);
    let begun: u32 = outcomes.values().map(|one| one.begun).sum();
    assert!(begun > 190, "{outcomes:?}");
    assert!(least_served(&outcomes) > 0.9, "{outcomes:?}");
}

// The account that was idle is served like the others within a second of its return.
#[test]
fn a_lent_share_is_taken_back_within_a_second() {
    let equal = accounts(&NAMES.map(|name| (name, 10.0)));
    let back = Duration::from_secs(6);
    let rate = |name: &str, passed: Duration| match name {
        "hot" => 24.0,
        "one" if passed >= back => 4.0,
        "one" => 0.0,
        _ => 4.0,
    };
    let outcomes = run(&equal, &NAMES, back + Duration::from_secs(3), rate);
    assert!(outcomes["one"].begun >= 6, "{outcomes:?}");
}

// An account with three times the quota gets three times as much of too little room.
#[test]
fn shares_follow_quotas() {
    let weighted = accounts(&[("large", 30.0), ("small", 10.0)]);
    let rate = |_: &str, _: Duration| 30.0;
    let outcomes = run(
        &weighted,
        &["large", "small"],
        Duration::from_secs(20),
        rate,
    );
    let (large, small) = (outcomes["large"].begun, outcomes["small"].begun);
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.2..3.8).contains(&ratio), "{large} to {small}");
}

// An overload that lasts: what is late and will find no place is refused before its time is up.
#[test]
fn hopeless_requests_are_not_held_to_the_end() {
    let equal = accounts(&NAMES.map(|name| (name, 10.0)));
    let held = |outcomes: BTreeMap<String, Outcome>| {
        let sum: Duration = outcomes.values().map(|one| one.held).sum();
        let refused: u32 = outcomes.values().map(|one| one.sent - one.begun).sum();
        sum / refused.max(1)
    };
    let early = held(hot_account(&equal));
    let late = held(hot_account(&Accounts::default()));
    assert!(early < late.mul_f64(0.75), "{early:?} instead of {late:?}");
}
