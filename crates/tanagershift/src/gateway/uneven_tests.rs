//! Tests of the scheduler on replicas of unlike pace, which changes twice a second, in virtual time.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use super::{
    limit::Limits,
    message::{PaceReport, Streams},
    quarantine::Ledger,
    scheduler::{self, Candidate, Decision, Job, Pauses, Scheduler},
    scheduler_tests::job,
};
use crate::testing::cases;

const BASE_PACES: [f64; 3] = [0.6, 1.0, 1.6];
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Time for which a replica stays slow or not, and of one step of the test, in milliseconds.
const CHANGE_MS: u64 = 600;
const STEP_MS: u64 = 10;
/// Prompt tokens read in a millisecond and milliseconds between two events, at the usual pace.
const TOKENS_PER_MS: f64 = 25.8;
const EVENT_MS: f64 = 35.0;
const EVENTS: f64 = 43.0;
const AIM_MS: f64 = 600.0;
const GAP_MS: f64 = 300.0;
/// Replicas that have the adapter of a request.
const HOLDERS: usize = 6;

/// What the leader is told of the paces.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    /// Nothing, as if the replicas were alike.
    Nothing,
    /// The true pace of each replica at each moment.
    Truth,
    /// What answers state, this many milliseconds later.
    After(u64),
    /// The same, but every tenth replica lies: it says 100 and is four times slower, or says 1,000.
    WithLiars,
    /// Figures stop after ten seconds.
    Stopping,
}

/// A replica of the test.
struct Replica {
    pace: f64,
    base: f64,
    /// Prompt tokens to read, by job; read one after another.
    reading: Vec<(u64, f64)>,
    /// Events left and the time since the last one, by job.
    writing: BTreeMap<u64, (f64, f64)>,
}

/// A caller's request: when it came, and what its answer has shown.
#[derive(Clone, Copy)]
struct Caller {
    replica: usize,
    came: u64,
    first: u64,
    longest_gap: f64,
}

/// Twenty seconds; returns the share of the requests within their aims.
fn play(told: Told, replicas: usize, has_liars: bool, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let lies = |at: usize| has_liars && at % 10 == 5;
    let mut fleet: Vec<Replica> = (0..replicas)
        .map(|at| Replica {
            pace: 1.0,
            base: BASE_PACES[at % 3] * if lies(at) && at % 20 == 5 { 4.0 } else { 1.0 },
            reading: Vec::new(),
            writing: BTreeMap::new(),
        })
        .collect();
    let name = |at: usize| format!("r{at:03}");
    let mut callers: BTreeMap<u64, Caller> = BTreeMap::new();
    let mut holders: BTreeMap<u64, Rc<[Candidate]>> = BTreeMap::new();
    let mut pending: Vec<(u64, usize, f64)> = Vec::new();
    let (mut number, mut good, mut asked) = (0, 0, 0);
    for now_ms in (0..20_000_u64).step_by(STEP_MS as usize) {
        let now = began + Duration::from_millis(now_ms);
        if now_ms % CHANGE_MS == 0 {
            for replica in &mut fleet {
                let is_slow = random.random::<f64>() < SLOW_SHARE;
                replica.pace = replica.base * if is_slow { SLOW_FACTOR } else { 1.0 };
            }
        }
        // Each replica answers some seven requests a second, and each answer states a pace.
        for (at, replica) in fleet.iter().enumerate() {
            let states = match told {
                Told::Nothing => false,
                Told::Truth => true,
                Told::Stopping if now_ms > 10_000 => false,
                Told::After(_) | Told::WithLiars | Told::Stopping => random.random::<f64>() < 0.07,
            };
            let stated = match lies(at) && told != Told::Truth {
                true if at % 20 == 5 => 1.0,
                true => 10.0,
                false => replica.pace,
            };
            if states {
                let delay = match told {
                    Told::Truth => 0,
                    Told::After(delay) => delay,
                    _ => 200,
                };
                pending.push((now_ms + delay, at, stated));
            }
        }
        pending.retain(|(due, at, pace)| {
            let report = PaceReport {
                upstream: name(*at),
                percent: (pace * 100.0) as u32,
                age_ms: match told {
                    Told::Truth => 0,
                    Told::After(delay) => delay as u32,
                    _ => 200,
                },
            };
            if *due <= now_ms {
                scheduler.paces.apply("llm", &report, now);
            }
            *due > now_ms
        });
        // Arrivals.
        let rate = replicas as f64 * 6.5 / 1000.0 * STEP_MS as f64;
        let mut arrivals = rate as u64 + u64::from(random.random::<f64>() < rate.fract());
        while arrivals > 0 && now_ms < 17_000 {
            arrivals -= 1;
            (number, asked) = (number + 1, asked + 1);
            let caller = Caller {
                replica: 0,
                came: now_ms,
                first: 0,
                longest_gap: 0.0,
            };
            callers.insert(number, caller);
            let found = (0..HOLDERS.min(replicas)).map(|_| random.random_range(0..replicas));
            let found = found.map(|at| Candidate {
                name: name(at),
                zone: "a".to_owned(),
                slots: 48,
                ceiling: None,
                token_capacity: 130_000,
                unscheduled_requests: 0,
                version: Some(1),
            });
            holders.insert(number, found.collect());
            scheduler.add(Job {
                adapter: Some(format!("base/{number}")),
                objective: now + Duration::from_millis(450),
                refuse_at: now + Duration::from_millis(1680),
                deadline: Some(now + Duration::from_secs(15)),
                max_gap: Some(Duration::from_millis(GAP_MS as u64)),
                ..job(number, now)
            });
        }
        let decisions = scheduler.decide(
            &Pauses::default(),
            &Ledger::default(),
            &mut Limits::default(),
            now,
            |_, oldest, _| holders[&oldest.number].clone(),
        );
        for decision in decisions {
            if let Decision::Send {
                number, replica, ..
            } = decision
            {
                let at: usize = replica[1..].parse().unwrap();
                fleet[at].reading.push((number, 1400.0));
                if let Some(caller) = callers.get_mut(&number) {
                    caller.replica = at;
                }
            }
        }
        // A replica divides its time between reading and the events of its streams.
        for (at, replica) in fleet.iter_mut().enumerate() {
            let mut time = STEP_MS as f64 / replica.pace;
            let is_reading = !replica.reading.is_empty();
            while let Some((number, left)) = replica.reading.first_mut() {
                let read = (time * TOKENS_PER_MS).min(*left);
                *left -= read;
                time -= read / TOKENS_PER_MS;
                if *left > 0.0 {
                    break;
                }
                let number = *number;
                replica.reading.remove(0);
                replica.writing.insert(number, (EVENTS, 0.0));
                if let Some(caller) = callers.get_mut(&number) {
                    caller.first = now_ms;
                }
            }
            // Prompts are read in pieces: events go on at a fifth of their speed beside them.
            let speed = if is_reading { 0.2 } else { 1.0 } / replica.pace;
            let mut ended = Vec::new();
            for (number, (events, since)) in &mut replica.writing {
                let before = *events;
                *events -= STEP_MS as f64 * speed / EVENT_MS;
                *since += STEP_MS as f64;
                if before.ceil() != events.ceil() {
                    if let Some(caller) = callers.get_mut(number) {
                        caller.longest_gap = caller.longest_gap.max(*since);
                    }
                    *since = 0.0;
                }
                if *events <= 0.0 {
                    ended.push(*number);
                }
            }
            for number in ended {
                replica.writing.remove(&number);
                scheduler.end_job(number);
                let Some(caller) = callers.remove(&number) else {
                    continue;
                };
                let is_paused = caller.longest_gap > GAP_MS;
                let in_aim = (caller.first - caller.came) as f64 <= AIM_MS;
                good += u32::from(in_aim && !is_paused);
                let streams = Streams {
                    service: "llm".to_owned(),
                    ended: 1,
                    gap_exceeded: u32::from(is_paused),
                    upstream: name(at),
                    span_ms: now_ms - caller.first,
                    events: EVENTS as u32,
                    output_tokens: 200,
                };
                scheduler.count_streams(&streams, now);
            }
        }
        scheduler.adapt(now);
    }
    f64::from(good) / f64::from(asked)
}

/// Streams on 3, 60 and 220 replicas: what 3, 82 and 300 hosts bring.
fn check_uneven(told: Told, replicas: usize) {
    for seed in 1..=2 {
        let has_liars = told == Told::WithLiars;
        let reached = play(told, replicas, has_liars, seed);
        let known = play(Told::Truth, replicas, has_liars, seed);
        let alike = play(Told::Nothing, replicas, has_liars, seed);
        println!("{told:?} {replicas}: {reached:.3}, {known:.3} with the truth, {alike:.3} alike");
        assert!(reached >= 0.9 * known, "{reached:.3} of {known:.3}");
        assert!(
            reached >= alike,
            "{reached:.3}, {alike:.3} if they were alike"
        );
    }
}

cases! { check_uneven {
    few_uneven_replicas: (Told::After(200), 3);
    many_uneven_replicas: (Told::After(200), 60);
    a_fleet_of_uneven_replicas: (Told::After(200), 220);
    many_replicas_whose_figures_are_two_seconds_old: (Told::After(2000), 60);
    many_replicas_some_of_which_lie: (Told::WithLiars, 60);
    many_replicas_whose_figures_stop: (Told::Stopping, 60);
}}
