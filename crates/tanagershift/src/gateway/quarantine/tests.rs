//! Tests of the evidence against prompt parts, and of the load patterns that it answers: requests
//! that crash replicas in bursts, beside sound ones and crashes with another cause.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use super::{Config, Ledger, Register, Ruling, Standing, shareable_parts};
use crate::{
    gateway::{
        limit::Limits,
        message::{Accusation, SoundPart},
        scheduler::{self, Candidate, Decision, Job, Pauses, Scheduler},
    },
    id,
    testing::{cases, for_seeds},
    voter::command::Mark,
};

const POISON: id::PromptPart = 0xbad;
const SHARED: id::PromptPart = 1;

fn accusation(replica: &str, parts: &[id::PromptPart]) -> Accusation {
    Accusation {
        request: "r".to_owned(),
        upstream: replica.to_owned(),
        service: "llm".to_owned(),
        silent_ms: 0,
        parts: parts.to_vec(),
    }
}

fn sound(part: id::PromptPart, service: &str, age_ms: u64) -> SoundPart {
    SoundPart {
        part,
        service: service.to_owned(),
        age_ms,
    }
}

/// What happens at a time in milliseconds.
enum Step {
    /// A replica crashes when it has just begun a request with these parts.
    Crash(u64, &'static str, &'static [id::PromptPart]),
    /// A sound answer with a part of a service is reported, which began some milliseconds before.
    Sound(u64, id::PromptPart, &'static str, u64),
}

fn check_ruling(steps: &[Step], parts: &[id::PromptPart], expected: Ruling) {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    let mut now = began;
    for step in steps {
        match step {
            Step::Crash(at, replica, parts) => {
                now = began + Duration::from_millis(*at);
                ledger.accuse(&accusation(replica, parts), now);
            }
            Step::Sound(at, part, service, age) => {
                now = began + Duration::from_millis(*at);
                ledger.clear(&sound(*part, service, *age), now);
            }
        }
    }
    assert_eq!(ledger.ruling(parts, now), expected);
}

use Step::{Crash, Sound};

cases! { check_ruling {
    an_unknown_part_is_free: (&[], &[POISON], Ruling::Free);
    one_crash_makes_a_part_suspected: (&[Crash(0, "a", &[POISON])], &[POISON], Ruling::Trial);
    three_crashes_convict_a_part: (
        &[Crash(0, "a", &[POISON]), Crash(500, "b", &[POISON]), Crash(900, "c", &[POISON])],
        &[POISON], Ruling::Barred
    );
    one_crash_counts_once_however_many_gateways_report_it: (
        &[Crash(0, "a", &[POISON]), Crash(300, "a", &[POISON]), Crash(900, "a", &[POISON])],
        &[POISON], Ruling::Trial
    );
    replicas_that_lose_power_together_crash_once: (
        &[
            Crash(0, "a", &[7]), Crash(30, "b", &[7]), Crash(60, "c", &[7]), Crash(90, "d", &[7]),
        ],
        &[7], Ruling::Trial
    );
    a_sound_answer_clears_a_part: (
        &[Crash(0, "a", &[SHARED]), Sound(200, SHARED, "llm", 100)], &[SHARED], Ruling::Free
    );
    an_answer_that_began_shortly_before_the_crash_clears_a_part: (
        &[Crash(0, "a", &[SHARED]), Sound(200, SHARED, "llm", 1500)], &[SHARED], Ruling::Free
    );
    an_answer_that_began_long_before_the_crash_clears_nothing: (
        &[Crash(0, "a", &[POISON]), Sound(200, POISON, "llm", 5000)], &[POISON], Ruling::Trial
    );
    an_answer_of_another_service_clears_nothing: (
        &[Crash(0, "a", &[POISON]), Sound(200, POISON, "other", 0)], &[POISON], Ruling::Trial
    );
    crashes_before_a_sound_answer_no_longer_count: (
        &[
            Crash(0, "a", &[7]), Crash(500, "b", &[7]), Sound(900, 7, "llm", 100),
            Crash(3000, "c", &[7]),
        ],
        &[7], Ruling::Trial
    );
    a_conviction_ends_with_a_sound_answer: (
        &[
            Crash(0, "a", &[7]), Crash(500, "b", &[7]), Crash(900, "c", &[7]),
            Sound(1500, 7, "llm", 100),
        ],
        &[7], Ruling::Free
    );
    a_conviction_clears_parts_that_came_only_with_the_convicted_one: (
        &[
            Crash(0, "a", &[POISON, 7]), Crash(500, "b", &[POISON]), Crash(900, "c", &[POISON]),
        ],
        &[7], Ruling::Free
    );
    a_part_that_was_accused_without_the_convicted_one_stays_suspected: (
        &[
            Crash(0, "a", &[POISON, 7]), Crash(200, "d", &[7]), Crash(500, "b", &[POISON]),
            Crash(900, "c", &[POISON]),
        ],
        &[7], Ruling::Trial
    );
    a_part_that_was_sound_before_is_not_convicted: (
        &[
            Crash(0, "a", &[SHARED]), Sound(100, SHARED, "llm", 0), Crash(3000, "b", &[SHARED]),
            Crash(4000, "c", &[SHARED]), Crash(5000, "d", &[SHARED]),
        ],
        &[SHARED], Ruling::Trial
    );
    a_part_beside_a_sound_one_is_convicted: (
        &[
            Crash(0, "a", &[SHARED, POISON]), Sound(100, SHARED, "llm", 0),
            Crash(3000, "b", &[SHARED, POISON]), Crash(4000, "c", &[SHARED, POISON]),
        ],
        &[POISON], Ruling::Barred
    );
    three_crashes_on_two_unknown_parts_convict_neither: (
        &[
            Crash(0, "a", &[8, POISON]), Crash(500, "b", &[8, POISON]),
            Crash(900, "c", &[8, POISON]),
        ],
        &[8, POISON], Ruling::Trial
    );
    six_crashes_on_two_unknown_parts_convict_both: (
        &[
            Crash(0, "a", &[8, POISON]), Crash(500, "b", &[8, POISON]),
            Crash(900, "c", &[8, POISON]), Crash(1300, "d", &[8, POISON]),
            Crash(1700, "e", &[8, POISON]), Crash(2100, "f", &[8, POISON]),
        ],
        &[8, POISON], Ruling::Barred
    );
    a_convicted_part_explains_later_crashes: (
        &[
            Crash(0, "a", &[POISON]), Crash(500, "b", &[POISON]), Crash(900, "c", &[POISON]),
            Crash(2000, "d", &[POISON, 7]),
        ],
        &[7], Ruling::Free
    );
}}

#[test]
fn the_last_part_of_a_prompt_is_its_own() {
    assert_eq!(shareable_parts(&[(1, 10), (2, 10), (3, 10)]), [1, 2]);
    assert!(shareable_parts(&[(3, 10)]).is_empty());
    assert!(shareable_parts(&[]).is_empty());
}

/// Guards against: trials follow each other before the outcome of the last one is known.
#[test]
fn a_trial_waits_for_the_outcome_of_the_last_one() {
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[POISON]), began);
    ledger.begin_trial(&[POISON], 1, "b");
    assert_eq!(ledger.ruling(&[POISON], at(100)), Ruling::Wait);
    ledger.end_trial(1, at(200));
    assert_eq!(ledger.ruling(&[POISON], at(400)), Ruling::Wait);
    assert_eq!(ledger.ruling(&[POISON], at(500)), Ruling::Trial);
    // The first showed nothing, so the second is waited for longer.
    ledger.begin_trial(&[POISON], 2, "b");
    ledger.end_trial(2, at(600));
    assert_eq!(ledger.ruling(&[POISON], at(1100)), Ruling::Wait);
    assert_eq!(ledger.ruling(&[POISON], at(1200)), Ruling::Trial);
}

/// Guards against: the host of a trial is lost with its report, so that the crash counts for nothing.
#[test]
fn a_crash_that_another_host_reports_counts_against_the_trial_there() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[POISON]), began);
    for (number, replica) in [(1, "b"), (2, "c")] {
        let now = began + Duration::from_secs(number);
        ledger.begin_trial(&[POISON], number, replica);
        ledger.accuse(&accusation(replica, &[SHARED]), now);
        ledger.end_trial(number, now);
    }
    let now = began + Duration::from_secs(3);
    assert_eq!(ledger.ruling(&[POISON], now), Ruling::Barred);
}

/// Guards against: a replica that crashes long after a trial is held against the trial's part.
#[test]
fn a_crash_after_a_trial_does_not_count_against_it() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[7]), began);
    for (number, replica) in [(1, "b"), (2, "c")] {
        let now = began + Duration::from_secs(10 * number);
        ledger.begin_trial(&[7], number, replica);
        ledger.end_trial(number, now);
        ledger.accuse(&accusation(replica, &[9]), now + Duration::from_secs(5));
    }
    let now = began + Duration::from_secs(60);
    assert_eq!(ledger.ruling(&[7], now), Ruling::Trial);
}

/// A million different parts: the memory stays bounded, and a part with two crashes is not displaced
/// by those with one.
#[test]
fn a_million_different_parts_displace_no_evidence() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    for number in 0..1000_u64 {
        let now = began + Duration::from_millis(number * 200);
        let parts: Vec<u64> = (0..1000)
            .map(|part| (1 << 32) + number * 1000 + part)
            .collect();
        ledger.accuse(&accusation(&format!("r{number}"), &parts), now);
        if number == 10 || number == 11 {
            ledger.accuse(&accusation(&format!("p{number}"), &[POISON]), now);
        }
    }
    assert!(ledger.marks().count() <= 4096);
    let now = began + Duration::from_secs(201);
    ledger.accuse(&accusation("last", &[POISON]), now);
    assert_eq!(ledger.ruling(&[POISON], now), Ruling::Barred);
}

/// Guards against: a new leader forgets what an earlier one has replicated.
#[test]
fn a_new_leader_goes_on_from_the_replicated_marks() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[POISON]), began);
    ledger.accuse(&accusation("b", &[POISON]), began + Duration::from_secs(1));
    let marks: BTreeMap<_, Mark> = ledger.marks().map(|mark| (mark.part, mark)).collect();
    assert!(ledger.unreplicated(&marks).is_empty());
    let later = began + Duration::from_secs(20);
    let mut next = Ledger::new(Config::default(), &marks, later);
    assert_eq!(next.ruling(&[POISON], later), Ruling::Trial);
    next.accuse(&accusation("c", &[POISON]), later + Duration::from_secs(1));
    assert_eq!(next.ruling(&[POISON], later), Ruling::Barred);
    assert!(!next.unreplicated(&marks).is_empty());
    // An operator lifts it.
    next.lift(POISON);
    assert_eq!(next.ruling(&[POISON], later), Ruling::Free);
}

/// Guards against: crashes that an earlier leader has counted are counted again when gateways report
/// them to each new leader, so that a part with one crash is convicted.
#[test]
fn a_crash_counts_once_however_often_the_leader_changes() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[7]), began);
    for change in 1..5 {
        let now = began + Duration::from_secs(change);
        let marks = ledger.marks().map(|mark| (mark.part, mark)).collect();
        ledger = Ledger::new(Config::default(), &marks, now);
        let again = Accusation {
            silent_ms: change * 1000,
            ..accusation("a", &[7])
        };
        ledger.accuse(&again, now);
        assert_eq!(ledger.ruling(&[7], now), Ruling::Trial);
    }
}

/// What a gateway does without a leader, with the marks that it last heard of.
#[test]
fn a_gateway_without_a_leader_keeps_to_its_marks_and_its_own_accusations() {
    let now = Instant::now();
    let mark = |part, convicted| Mark {
        part,
        crashes: 1,
        convicted,
        services: Vec::new(),
    };
    let mut register = Register::default();
    register.replace(&[mark(POISON, true), mark(7, false), mark(SHARED, false)]);
    register.record_sound(&[SHARED], "llm", now, now);
    register.accuse(accusation("a", &[SHARED, 9]), now);
    for (part, expected) in [
        (POISON, Standing::Convicted),
        (7, Standing::Suspected),
        (9, Standing::Suspected),
        (SHARED, Standing::Clear),
        (4, Standing::Clear),
    ] {
        assert_eq!(register.standing_alone(&[part], now), expected, "{part}");
    }
    assert_eq!(
        register.take_sound(now).len(),
        1,
        "the shared part is reported"
    );
    let later = now + Duration::from_secs(2);
    assert_eq!(register.accusations(later)[0].silent_ms, 2000);
    assert!(
        register
            .accusations(now + Duration::from_secs(31))
            .is_empty()
    );
    register.apply(&[Mark {
        part: POISON,
        ..Mark::default()
    }]);
    assert_eq!(register.standing(&[POISON]), Standing::Clear);
}

/// Replicas of the pattern below; as many as cumbre-lessons has.
const REPLICAS: u32 = 18;
/// Time from the assignment of a request until its replica begins to answer it.
const BEGIN_MS: u64 = 400;
/// Time from a crash until the leader hears of it.
const REPORT_MS: u64 = 15;
/// Time for which a crashed replica is gone.
const DOWN_MS: u64 = 3000;

/// The leader's decisions in virtual time.
struct Pattern {
    began: Instant,
    ms: u64,
    ledger: Ledger,
    scheduler: Scheduler,
    /// Assigned requests: when they begin, replica, parts.
    assigned: BTreeMap<u64, (u64, String, Vec<id::PromptPart>)>,
    down_until: BTreeMap<String, u64>,
    /// When requests with the part that crashes replicas were assigned.
    sick: Vec<u64>,
    crashes: Vec<u64>,
    /// Reports on the way to the leader.
    reports: Vec<(u64, Accusation)>,
    /// Sound requests: time from their arrival to their assignment.
    waits: Vec<u64>,
}

impl Pattern {
    fn now(&self) -> Instant {
        self.began + Duration::from_millis(self.ms)
    }

    fn add(&mut self, number: u64, parts: &[id::PromptPart]) {
        let now = self.now();
        self.scheduler.add(Job {
            number,
            service: "llm".to_owned(),
            model: "base".to_owned(),
            adapter: None,
            zone: "a".to_owned(),
            host: format!("host{}", number % 12),
            prompt_tokens: 500,
            max_output_tokens: 100,
            parts: Vec::new(),
            priority: 1,
            received_at: now,
            objective: now + Duration::from_millis(750),
            refuse_at: now + Duration::from_millis(2800),
            tried: Vec::new(),
            part_ids: parts.to_vec(),
        });
    }

    fn step(&mut self) {
        let now = self.now();
        let due = |(at, _): &mut (u64, Accusation)| *at <= self.ms;
        for (_, accusation) in self.reports.extract_if(.., due).collect::<Vec<_>>() {
            self.ledger.accuse(&accusation, now);
        }
        let ms = self.ms;
        let beginning = self
            .assigned
            .extract_if(.., |_, (begins, ..)| *begins <= ms);
        for (number, (_, replica, parts)) in beginning.collect::<Vec<_>>() {
            self.scheduler.end_job(number);
            self.ledger.end_trial(number, now);
            if !parts.contains(&POISON) {
                for part in parts {
                    self.ledger.clear(&sound(part, "llm", 0), now);
                }
                continue;
            }
            self.crashes.push(ms);
            self.down_until.insert(replica.clone(), ms + DOWN_MS);
            self.reports
                .push((ms + REPORT_MS, accusation(&replica, &parts)));
        }
        let candidate = |number: u32| Candidate {
            name: format!("r{number}"),
            zone: "a".to_owned(),
            slots: 64,
            token_capacity: 120_000,
            unscheduled_requests: 0,
            version: None,
        };
        let down_until = &self.down_until;
        let up = |one: &Candidate| down_until.get(&one.name).is_none_or(|until| *until <= ms);
        let found: Rc<[Candidate]> = (0..REPLICAS).map(candidate).filter(up).collect();
        let decisions = self.scheduler.decide(
            &Pauses::default(),
            &self.ledger,
            &mut Limits::default(),
            now,
            |_, _, _| found.clone(),
        );
        for decision in decisions {
            let Decision::Send {
                number,
                replica,
                is_trial,
                ..
            } = decision
            else {
                continue;
            };
            let parts = self.scheduler.running_parts(number).unwrap().to_vec();
            if is_trial {
                self.ledger.begin_trial(&parts, number, &replica);
            }
            match parts.contains(&POISON) {
                true => self.sick.push(ms),
                false => self.waits.push(ms - number / 1000),
            }
            self.assigned
                .insert(number, (ms + BEGIN_MS, replica, parts));
        }
        self.ms += 1;
    }
}

/// Requests that crash replicas come in bursts from several hosts, beside sound requests with the same
/// first part, while replicas also lose power and the leader changes.
#[test]
fn a_part_that_crashes_replicas_is_found_in_few_crashes() {
    for_seeds(40, |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let began = Instant::now();
        let mut pattern = Pattern {
            began,
            ms: 0,
            ledger: Ledger::default(),
            scheduler: Scheduler::new(scheduler::Config::default()),
            assigned: BTreeMap::new(),
            down_until: BTreeMap::new(),
            sick: Vec::new(),
            crashes: Vec::new(),
            reports: Vec::new(),
            waits: Vec::new(),
        };
        let leader_change = random.random_range(2000..6000);
        let power_loss = random.random_range(1000..6000);
        let burst = random.random_range(1..8);
        let mut numbers = BTreeSet::new();
        for ms in 0..12_000_u64 {
            let mut add = |pattern: &mut Pattern, parts: &[id::PromptPart]| {
                let mut number = ms * 1000;
                while !numbers.insert(number) {
                    number += 1;
                }
                pattern.add(number, parts);
            };
            if ms % 20 == 0 {
                add(&mut pattern, &[SHARED, 100 + ms / 20 % 50]);
            }
            if ms >= 1000 && ms % (burst * 70) == 0 {
                for _ in 0..burst {
                    add(
                        &mut pattern,
                        &[SHARED, POISON, 100 + random.random_range(0..50)],
                    );
                }
            }
            if ms == power_loss {
                for number in 0..REPLICAS / 3 {
                    let replica = format!("r{number}");
                    pattern.down_until.insert(replica.clone(), ms + DOWN_MS);
                    let open = pattern
                        .assigned
                        .extract_if(.., |_, (_, at, _)| *at == replica);
                    for (number, (_, replica, parts)) in open.collect::<Vec<_>>() {
                        pattern.scheduler.end_job(number);
                        pattern
                            .ledger
                            .end_trial(number, began + Duration::from_millis(ms));
                        pattern
                            .reports
                            .push((ms + REPORT_MS, accusation(&replica, &parts)));
                    }
                }
            }
            if ms == leader_change {
                let marks = pattern.ledger.marks().map(|mark| (mark.part, mark));
                let now = pattern.now();
                pattern.ledger = Ledger::new(Config::default(), &marks.collect(), now);
            }
            pattern.step();
        }
        let last = pattern.crashes.get(4).or(pattern.crashes.last());
        let bound = last.expect("crashes") + 3000;
        let late = pattern.sick.iter().filter(|at| **at > bound).count();
        assert!(
            late <= 3,
            "{late} after {bound} ms, {} crashes",
            pattern.crashes.len()
        );
        let mut waits = pattern.waits.clone();
        waits.sort_unstable();
        assert!(
            waits.len() >= 580,
            "{} of 600 sound requests ran",
            waits.len()
        );
        let slow = waits[waits.len() * 98 / 100];
        assert!(slow <= 1000, "a sound request in fifty waited {slow} ms");
    });
}
