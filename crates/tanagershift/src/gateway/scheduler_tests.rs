//! Patterns of load that the schedule answers.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    prompt_rate::Pace,
    scheduler::{self, Candidate, Decision, Job, Part, Schedule},
};

fn job(number: u64, now: Instant) -> Job {
    Job {
        number,
        service: "llm".to_owned(),
        model: "base".to_owned(),
        adapter: Some("base/a".to_owned()),
        zone: "a".to_owned(),
        prompt: 1400,
        output: 200,
        parts: Vec::new(),
        priority: 1,
        came: now,
        objective: now + Duration::from_millis(750),
        give_up: now + Duration::from_millis(2800),
        tried: Vec::new(),
    }
}

fn candidate(name: &str, zone: &str) -> Candidate {
    Candidate {
        name: name.to_owned(),
        zone: zone.to_owned(),
        slots: 64,
        memory: 120_000,
        others: 0,
        version: Some(1),
    }
}

fn decide(schedule: &mut Schedule, found: &[Candidate], now: Instant) -> Vec<(u64, String)> {
    let found: Rc<[Candidate]> = found.into();
    let decisions = schedule.decide(now, |_, _, _| found.clone());
    decisions
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Send {
                number, replica, ..
            } => Some((number, replica)),
            Decision::Refuse { .. } => None,
        })
        .collect()
}

/// Pattern: a burst of one class. Pauses in running streams stay short only if the prompts that
/// a replica reads in the time of three tokens fit the objective.
#[test]
fn a_burst_of_one_class_is_paced_on_each_replica() {
    let mut now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    for number in 0..40 {
        schedule.add(job(number, now));
    }
    let found = [candidate("r1", "a"), candidate("r2", "a")];
    let mut sent: Vec<(Instant, String)> = Vec::new();
    for _ in 0..60 {
        for (_, replica) in decide(&mut schedule, &found, now) {
            sent.push((now, replica));
        }
        now += Duration::from_millis(10);
    }
    assert!(sent.len() >= 12, "{}", sent.len());
    for (at, replica) in &sent {
        let window = |(other, name): &&(Instant, String)| {
            name == replica && *other >= *at && *other < *at + Duration::from_millis(240)
        };
        let prompts = sent.iter().filter(window).count();
        assert!(prompts * 1400 <= 4600, "{prompts} prompts within 240 ms");
    }
}

/// Pattern: a burst on engines that read slower than expected. Streams pause, and fewer prompts are
/// given at once; when none pause and requests wait instead, more are given again.
#[test]
fn the_pace_follows_what_callers_see() {
    let mut now = Instant::now();
    let mut pace = Pace::new(now);
    let start = pace.rate();
    for _ in 0..10 {
        now += Duration::from_millis(500);
        pace.streams(100, 30);
        pace.adapt(now);
    }
    let slow = pace.rate();
    assert!(slow < start * 0.75, "{slow}");
    for _ in 0..10 {
        now += Duration::from_millis(500);
        pace.streams(100, 1);
        (0..30).for_each(|_| pace.late());
        pace.adapt(now);
    }
    assert!(pace.rate() > slow * 1.2, "{}", pace.rate());
    // A few of either change nothing, and neither does too little to tell.
    let kept = pace.rate();
    for (ended, paused) in [(100, 2), (5, 5)] {
        now += Duration::from_millis(500);
        pace.streams(ended, paused);
        pace.adapt(now);
    }
    assert_eq!(pace.rate(), kept);
}

/// Pattern: rare adapters whose loads take long. A job that has waited for its adapter alone is
/// sent when that has come; it does not ask for one more replica.
#[test]
fn only_a_busy_replica_presses_for_another() {
    let mut now = Instant::now();
    let after = Duration::from_millis(400);
    let mut schedule = Schedule::new(scheduler::Config::default());
    schedule.add(job(1, now));
    assert!(decide(&mut schedule, &[], now).is_empty());
    now += after * 2;
    assert_eq!(schedule.pressed(after, now).count(), 0);
    let found = [candidate("r1", "a")];
    assert_eq!(decide(&mut schedule, &found, now).len(), 1);
    assert_eq!(schedule.pressed(after, now).count(), 0);
    // The replica has a prompt to read, and this job must wait for it.
    let mut long = job(2, now);
    long.prompt = 20_000;
    schedule.add(long);
    assert!(decide(&mut schedule, &found, now).is_empty());
    assert_eq!(schedule.pressed(after, now + after).count(), 0);
    now += after + Duration::from_millis(1);
    assert_eq!(schedule.pressed(after, now).count(), 1);
}

/// Pattern: more requests than the replicas can begin; what is urgent and still on time goes
/// first, what is late goes last and is refused before its caller gives up.
#[test]
fn the_urgent_and_timely_go_first_and_the_late_are_refused() {
    let now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    let mut late = job(1, now);
    late.priority = 0;
    late.objective = now - Duration::from_millis(1);
    late.give_up = now + Duration::from_millis(5);
    let mut ordinary = job(2, now);
    ordinary.priority = 2;
    let mut urgent = job(3, now);
    urgent.priority = 0;
    for job in [late, ordinary, urgent] {
        schedule.add(job);
    }
    let found = [candidate("r1", "a")];
    assert_eq!(decide(&mut schedule, &found, now), [(3, "r1".to_owned())]);
    let found: Rc<[Candidate]> = found.as_slice().into();
    let later = now + Duration::from_millis(10);
    let decisions = schedule.decide(later, |_, _, _| found.clone());
    assert_eq!(
        decisions,
        [Decision::Refuse {
            number: 1,
            holders: 1
        }]
    );
}

/// Pattern: nobody has the adapter, and its load takes longer than the caller waits.
#[test]
fn a_job_without_holders_is_refused_when_its_time_is_up() {
    let now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    schedule.add(job(1, now));
    assert!(schedule.decide(now, |_, _, _| Rc::new([])).is_empty());
    let later = now + Duration::from_millis(2800);
    let decisions = schedule.decide(later, |_, _, _| Rc::new([]));
    assert_eq!(
        decisions,
        [Decision::Refuse {
            number: 1,
            holders: 0
        }]
    );
    assert_eq!(schedule.waiting(), 0);
}

/// Pattern: one zone pressed. Its own replica is preferred until it is busier by more than the
/// way to the other zone costs.
#[test]
fn the_own_zone_is_preferred_while_it_is_as_free() {
    let now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    schedule.add(job(1, now));
    schedule.add(job(2, now));
    let found = [candidate("far", "b"), candidate("near", "a")];
    let sent = decide(&mut schedule, &found, now);
    assert_eq!(sent, [(1, "near".to_owned()), (2, "far".to_owned())]);
}

/// Pattern: requests that share the start of their prompts.
#[test]
fn a_replica_that_has_read_the_prefix_comes_first() {
    let now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    let parts = vec![Part {
        digest: 7,
        tokens: 1000,
    }];
    let with_parts = |number, now| Job {
        parts: parts.clone(),
        ..job(number, now)
    };
    schedule.add(with_parts(1, now));
    let warm = [candidate("warm", "a")];
    assert_eq!(decide(&mut schedule, &warm, now).len(), 1);
    let later = now + Duration::from_secs(1);
    schedule.add(with_parts(2, later));
    let found = [candidate("cold", "a"), candidate("warm", "a")];
    assert_eq!(
        decide(&mut schedule, &found, later),
        [(2, "warm".to_owned())]
    );
}

/// Pattern: callers who give up; what they held is free again.
#[test]
fn memory_is_given_out_only_once_and_comes_back() {
    let mut now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    let mut small = candidate("r", "a");
    small.memory = 4000;
    for number in 1..=3 {
        schedule.add(job(number, now));
    }
    let mut sent = Vec::new();
    for _ in 0..50 {
        sent.extend(decide(&mut schedule, &[small.clone()], now));
        now += Duration::from_millis(10);
    }
    assert_eq!(sent.len(), 2, "3,200 of 3,600 tokens");
    schedule.end(1);
    assert_eq!(decide(&mut schedule, &[small], now).len(), 1);
}

#[test]
fn a_replica_that_was_tried_is_not_tried_again() {
    let now = Instant::now();
    let mut schedule = Schedule::new(scheduler::Config::default());
    let mut again = job(1, now);
    again.tried = vec!["r1".to_owned()];
    schedule.add(again);
    let found = [candidate("r1", "a"), candidate("r2", "b")];
    assert_eq!(decide(&mut schedule, &found, now), [(1, "r2".to_owned())]);
}
