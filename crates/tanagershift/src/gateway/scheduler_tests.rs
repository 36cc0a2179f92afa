//! Tests of the scheduler and the prompt rate under different request patterns.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    limit::Limits,
    message::{LimitReport, RateReport, Streams},
    prompt_rate::PromptRate,
    quarantine::Ledger,
    scheduler::{self, Candidate, Decision, Job, Pauses, PromptPart, Scheduler},
};

pub(super) fn job(number: u64, now: Instant) -> Job {
    Job {
        number,
        service: "llm".to_owned(),
        model: "base".to_owned(),
        adapter: Some("base/a".to_owned()),
        zone: "a".to_owned(),
        host: "host1".to_owned(),
        prompt_tokens: 1400,
        max_output_tokens: 200,
        output_tokens: 200,
        deadline: None,
        max_gap: None,
        parts: Vec::new(),
        priority: 1,
        received_at: now,
        objective: now + Duration::from_millis(750),
        refuse_at: now + Duration::from_millis(2800),
        tried: Vec::new(),
        account: String::new(),
        software: None,
        is_resumable: false,
        keys: Vec::new(),
    }
}

fn candidate(name: &str, zone: &str) -> Candidate {
    Candidate {
        name: name.to_owned(),
        zone: zone.to_owned(),
        slots: 64,
        ceiling: None,
        token_capacity: 120_000,
        unscheduled_requests: 0,
        version: Some(1),
    }
}

fn decide(scheduler: &mut Scheduler, found: &[Candidate], now: Instant) -> Vec<(u64, String)> {
    let found: Rc<[Candidate]> = found.into();
    let decisions = scheduler.decide(
        &Pauses::default(),
        &Ledger::default(),
        &mut Limits::default(),
        now,
        |_, _, _| found.clone(),
    );
    decisions
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Send {
                number, replica, ..
            } => Some((number, replica)),
            Decision::Refuse { .. } | Decision::Bar { .. } => None,
        })
        .collect()
}

/// An overload of one replica as one gateway sees it: the replica has asked that gateway for a pause,
/// and goes on to serve the others.
#[test]
fn a_replica_is_assigned_no_job_of_a_host_that_it_asked_for_a_pause() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let mut pauses = Pauses::default();
    let until = now + Duration::from_secs(2);
    pauses.set("host1", [("r1".to_owned(), until)].into());
    let found: Rc<[Candidate]> = Rc::new([candidate("r1", "a"), candidate("r2", "b")]);
    let mut assigned = |job: Job, pauses: &Pauses, now: Instant| {
        scheduler.add(job);
        let decisions = scheduler.decide(
            pauses,
            &Ledger::default(),
            &mut Limits::default(),
            now,
            |_, _, _| found.clone(),
        );
        match decisions.as_slice() {
            [Decision::Send { replica, .. }] => replica.clone(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(assigned(job(1, now), &pauses, now), "r2");
    let of_another_host = Job {
        host: "host2".to_owned(),
        ..job(2, now)
    };
    assert_eq!(assigned(of_another_host, &pauses, now), "r1");
    assert_eq!(assigned(job(3, until), &pauses, until), "r1");
}

/// A burst of requests of one class. Prompts that a replica processes between tokens lengthen the
/// pauses in its running streams. The prompts that are sent to a replica within the time of three
/// tokens must fit the objective for pauses.
#[test]
fn a_burst_of_one_class_is_paced_on_each_replica() {
    let mut now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    for number in 0..40 {
        scheduler.add(job(number, now));
    }
    let found = [candidate("r1", "a"), candidate("r2", "a")];
    let mut sent: Vec<(Instant, String)> = Vec::new();
    for _ in 0..60 {
        for (_, replica) in decide(&mut scheduler, &found, now) {
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

/// Engines are slower than expected, and streams pause: the rate must fall. When few streams pause
/// and requests are late instead, it must rise again.
#[test]
fn the_prompt_rate_follows_pauses_and_late_requests() {
    let mut now = Instant::now();
    let mut rate = PromptRate::new(now);
    let start = rate.tokens_per_ms();
    for _ in 0..10 {
        now += Duration::from_millis(500);
        rate.count_streams(100, 30);
        rate.adapt(now);
    }
    let slow = rate.tokens_per_ms();
    assert!(slow < start * 0.75, "{slow}");
    for _ in 0..10 {
        now += Duration::from_millis(500);
        rate.count_streams(100, 1);
        (0..30).for_each(|_| rate.count_late_request());
        rate.adapt(now);
    }
    assert!(
        rate.tokens_per_ms() > slow * 1.2,
        "{}",
        rate.tokens_per_ms()
    );
    // The rate stays the same if few streams pause, or if fewer than `MIN_SAMPLES` have ended.
    let kept = rate.tokens_per_ms();
    for (ended, paused) in [(100, 2), (5, 5)] {
        now += Duration::from_millis(500);
        rate.count_streams(ended, paused);
        rate.adapt(now);
    }
    assert_eq!(rate.tokens_per_ms(), kept);
}

/// An adapter takes long to load. A job that has waited only for this load is sent once the adapter
/// is loaded, and must not cause a load on one more replica. Waiting at a busy replica must.
#[test]
fn only_a_busy_replica_presses_for_another() {
    let mut now = Instant::now();
    let limit = Duration::from_millis(400);
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    scheduler.add(job(1, now));
    assert!(decide(&mut scheduler, &[], now).is_empty());
    now += limit * 2;
    assert_eq!(scheduler.saturated_groups(limit, now).count(), 0);
    let found = [candidate("r1", "a")];
    assert_eq!(decide(&mut scheduler, &found, now).len(), 1);
    assert_eq!(scheduler.saturated_groups(limit, now).count(), 0);
    // The replica still has a prompt to process, so that this job must wait.
    let mut long = job(2, now);
    long.prompt_tokens = 20_000;
    scheduler.add(long);
    assert!(decide(&mut scheduler, &found, now).is_empty());
    assert_eq!(scheduler.saturated_groups(limit, now + limit).count(), 0);
    now += limit + Duration::from_millis(1);
    assert_eq!(scheduler.saturated_groups(limit, now).count(), 1);
}

/// More requests arrive than the replicas can begin. Urgent requests that are on time go first;
/// late ones go last and are refused before their callers give up.
#[test]
fn urgent_jobs_go_first_and_late_ones_are_refused() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let mut late = job(1, now);
    late.priority = 0;
    late.objective = now - Duration::from_millis(1);
    late.refuse_at = now + Duration::from_millis(5);
    let mut ordinary = job(2, now);
    ordinary.priority = 2;
    let mut urgent = job(3, now);
    urgent.priority = 0;
    for job in [late, ordinary, urgent] {
        scheduler.add(job);
    }
    let found = [candidate("r1", "a")];
    assert_eq!(decide(&mut scheduler, &found, now), [(3, "r1".to_owned())]);
    let found: Rc<[Candidate]> = found.as_slice().into();
    let later = now + Duration::from_millis(10);
    let decisions = scheduler.decide(
        &Pauses::default(),
        &Ledger::default(),
        &mut Limits::default(),
        later,
        |_, _, _| found.clone(),
    );
    assert_eq!(
        decisions,
        [Decision::Refuse {
            retry_after: None,
            number: 1,
            holders: 1
        }]
    );
}

/// No replica has the adapter, and its load takes longer than the caller waits.
#[test]
fn a_job_without_holders_is_refused_when_it_expires() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    scheduler.add(job(1, now));
    assert!(
        scheduler
            .decide(
                &Pauses::default(),
                &Ledger::default(),
                &mut Limits::default(),
                now,
                |_, _, _| { Rc::new([]) }
            )
            .is_empty()
    );
    let later = now + Duration::from_millis(2800);
    let decisions = scheduler.decide(
        &Pauses::default(),
        &Ledger::default(),
        &mut Limits::default(),
        later,
        |_, _, _| Rc::new([]),
    );
    assert_eq!(
        decisions,
        [Decision::Refuse {
            retry_after: None,
            number: 1,
            holders: 0
        }]
    );
    assert_eq!(scheduler.waiting(), 0);
}

/// The replica in the zone of the gateway is preferred until it is busier by more than the cost of
/// another zone.
#[test]
fn the_own_zone_is_preferred_unless_it_is_busier() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    scheduler.add(job(1, now));
    scheduler.add(job(2, now));
    let found = [candidate("far", "b"), candidate("near", "a")];
    let sent = decide(&mut scheduler, &found, now);
    assert_eq!(sent, [(1, "near".to_owned()), (2, "far".to_owned())]);
}

/// Requests with a common prompt prefix go to the replica that has it cached.
#[test]
fn a_replica_that_has_the_prefix_cached_comes_first() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let parts = vec![PromptPart {
        digest: 7,
        tokens: 1000,
    }];
    let with_parts = |number, now| Job {
        parts: parts.clone(),
        ..job(number, now)
    };
    scheduler.add(with_parts(1, now));
    let warm = [candidate("warm", "a")];
    assert_eq!(decide(&mut scheduler, &warm, now).len(), 1);
    let later = now + Duration::from_secs(1);
    scheduler.add(with_parts(2, later));
    let found = [candidate("cold", "a"), candidate("warm", "a")];
    assert_eq!(
        decide(&mut scheduler, &found, later),
        [(2, "warm".to_owned())]
    );
}

/// Reserved KV cache capacity is not assigned twice, and is free again when a caller gives up.
#[test]
fn token_capacity_is_reserved_once_and_released() {
    let mut now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let mut small = candidate("r", "a");
    small.token_capacity = 4000;
    for number in 1..=3 {
        scheduler.add(job(number, now));
    }
    let mut sent = Vec::new();
    for _ in 0..50 {
        sent.extend(decide(&mut scheduler, &[small.clone()], now));
        now += Duration::from_millis(10);
    }
    assert_eq!(sent.len(), 2, "3,200 of 3,600 tokens");
    scheduler.end_job(1);
    assert_eq!(decide(&mut scheduler, &[small], now).len(), 1);
}

#[test]
fn a_replica_that_was_tried_is_not_tried_again() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let mut again = job(1, now);
    again.tried = vec!["r1".to_owned()];
    scheduler.add(again);
    let found = [candidate("r1", "a"), candidate("r2", "b")];
    assert_eq!(decide(&mut scheduler, &found, now), [(1, "r2".to_owned())]);
}

/// A replica in need: it is assigned what it takes, and the rest goes to the others.
#[test]
fn a_replica_at_its_limit_is_assigned_no_more_than_it_takes() {
    let began = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let mut limits = Limits::default();
    let limit = LimitReport {
        upstream: "r1".to_owned(),
        per_second: Some(2.0),
        age_ms: 0,
    };
    limits.observe(&limit, began);
    let found: Rc<[Candidate]> = Rc::new([candidate("r1", "a"), candidate("r2", "a")]);
    let mut assigned: Vec<String> = Vec::new();
    for number in 0..100 {
        let now = began + Duration::from_millis(number * 100);
        scheduler.add(job(number, now));
        let (pauses, ledger) = (Pauses::default(), Ledger::default());
        let decisions =
            scheduler.decide(&pauses, &ledger, &mut limits, now, |_, _, _| found.clone());
        for decision in decisions {
            if let Decision::Send {
                number, replica, ..
            } = decision
            {
                scheduler.end_job(number);
                assigned.push(replica);
            }
        }
    }
    let limited = assigned.iter().filter(|replica| *replica == "r1").count();
    assert!((10..=21).contains(&limited), "{limited} in 10 s");
    assert!(assigned.len() >= 95, "{} of 100", assigned.len());
}

// A leader is lost under load: the next one admits prompts at the rate that was found, not at the initial one.
#[test]
fn a_new_leader_continues_with_the_rates_of_the_last() {
    let now = Instant::now();
    let mut last = Scheduler::new(scheduler::Config::default());
    let mut later = now;
    for _ in 0..20 {
        later += Duration::from_millis(600);
        let streams = Streams {
            service: "llm".to_owned(),
            ended: 30,
            gap_exceeded: 15,
            ..Streams::default()
        };
        last.count_streams(&streams, later);
        last.adapt(later);
    }
    let reports = last.rate_reports();
    assert!(reports[0].tokens_per_ms < 8.0, "{reports:?}");
    let mut next = Scheduler::new(scheduler::Config::default());
    assert_eq!(next.rate_reports(), []);
    next.resume_rates(&reports, later);
    assert_eq!(next.rate_reports(), reports);
    // What this leader has found out itself is not replaced.
    let older = RateReport {
        tokens_per_ms: 40.0,
        ..reports[0].clone()
    };
    next.resume_rates(&[older], later);
    assert_eq!(next.rate_reports(), reports);
}
