//! Tests of the evidence against prompt parts and requests, and of the load patterns that it answers:
//! requests that crash replicas in bursts, beside sound ones and crashes with another cause.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use super::{Config, Ledger, Register, Ruling, Standing, digest::request_digest, shareable_parts};
use crate::{
    gateway::{
        dialect::Identity,
        limit::Limits,
        message::{Accusation, SoundKey, split_keys},
        scheduler::{self, Candidate, Decision, Job, Pauses, Scheduler},
    },
    id,
    testing::{cases, for_seeds},
    voter::command::{Key, Mark},
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
        digest: None,
    }
}

/// An accusation of a request with a digest.
fn accusation_of(replica: &str, digest: u64, parts: &[id::PromptPart]) -> Accusation {
    Accusation {
        digest: Some(digest),
        ..accusation(replica, parts)
    }
}

fn sound(key: Key, service: &str, age_ms: u64) -> SoundKey {
    SoundKey {
        value: key.value(),
        is_request: key.is_request(),
        service: service.to_owned(),
        age_ms,
    }
}

fn accusation_of_keys(replica: &str, keys: &[Key]) -> Accusation {
    let (parts, digest) = split_keys(keys);
    Accusation {
        digest,
        ..accusation(replica, &parts)
    }
}

fn parts(ids: &[id::PromptPart]) -> Vec<Key> {
    ids.iter().copied().map(Key::Part).collect()
}

/// What happens at a time in milliseconds.
enum Step {
    /// A replica crashes when it has just begun a request with these parts.
    Crash(u64, &'static str, &'static [id::PromptPart]),
    /// The same of a request with this digest.
    CrashOf(u64, &'static str, u64, &'static [id::PromptPart]),
    /// A sound answer with a part of a service is reported, which began some milliseconds before.
    Sound(u64, id::PromptPart, &'static str, u64),
    /// The same of a request with this digest.
    SoundOf(u64, u64, &'static str, u64),
    /// Time passes.
    Pass(u64),
}

fn check_ruling(steps: &[Step], ids: &[id::PromptPart], expected: Ruling) {
    check_key_ruling(steps, &parts(ids), expected);
}

fn check_key_ruling(steps: &[Step], keys: &[Key], expected: Ruling) {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    let mut now = began;
    for step in steps {
        match step {
            Step::Crash(at, replica, parts) => {
                now = began + Duration::from_millis(*at);
                ledger.accuse(&accusation(replica, parts), now);
            }
            Step::CrashOf(at, replica, digest, parts) => {
                now = began + Duration::from_millis(*at);
                ledger.accuse(&accusation_of(replica, *digest, parts), now);
            }
            Step::Sound(at, part, service, age) => {
                now = began + Duration::from_millis(*at);
                ledger.clear(&sound(Key::Part(*part), service, *age), now);
            }
            Step::SoundOf(at, digest, service, age) => {
                now = began + Duration::from_millis(*at);
                ledger.clear(&sound(Key::Request(*digest), service, *age), now);
            }
            Step::Pass(at) => now = began + Duration::from_millis(*at),
        }
    }
    assert_eq!(ledger.ruling(keys, now), expected);
}

use Step::{Crash, CrashOf, Pass, Sound, SoundOf};

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
    ledger.begin_trial(&parts(&[POISON]), 1, "b");
    assert_eq!(ledger.ruling(&parts(&[POISON]), at(100)), Ruling::Wait);
    ledger.end_trial(1, at(200));
    assert_eq!(ledger.ruling(&parts(&[POISON]), at(400)), Ruling::Wait);
    assert_eq!(ledger.ruling(&parts(&[POISON]), at(500)), Ruling::Trial);
    // The first showed nothing, so the second is waited for longer.
    ledger.begin_trial(&parts(&[POISON]), 2, "b");
    ledger.end_trial(2, at(600));
    assert_eq!(ledger.ruling(&parts(&[POISON]), at(1100)), Ruling::Wait);
    assert_eq!(ledger.ruling(&parts(&[POISON]), at(1200)), Ruling::Trial);
}

/// Guards against: the host of a trial is lost with its report, so that the crash counts for nothing.
#[test]
fn a_crash_that_another_host_reports_counts_against_the_trial_there() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[POISON]), began);
    for (number, replica) in [(1, "b"), (2, "c")] {
        let now = began + Duration::from_secs(number);
        ledger.begin_trial(&parts(&[POISON]), number, replica);
        ledger.accuse(&accusation(replica, &[SHARED]), now);
        ledger.end_trial(number, now);
    }
    let now = began + Duration::from_secs(3);
    assert_eq!(ledger.ruling(&parts(&[POISON]), now), Ruling::Barred);
}

/// Guards against: a replica that crashes long after a trial is held against the trial's part.
#[test]
fn a_crash_after_a_trial_does_not_count_against_it() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[7]), began);
    for (number, replica) in [(1, "b"), (2, "c")] {
        let now = began + Duration::from_secs(10 * number);
        ledger.begin_trial(&parts(&[7]), number, replica);
        ledger.end_trial(number, now);
        ledger.accuse(&accusation(replica, &[9]), now + Duration::from_secs(5));
    }
    let now = began + Duration::from_secs(60);
    assert_eq!(ledger.ruling(&parts(&[7]), now), Ruling::Trial);
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
    assert_eq!(ledger.ruling(&parts(&[POISON]), now), Ruling::Barred);
}

/// Guards against: a new leader forgets what an earlier one has replicated.
#[test]
fn a_new_leader_goes_on_from_the_replicated_marks() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation("a", &[POISON]), began);
    ledger.accuse(&accusation("b", &[POISON]), began + Duration::from_secs(1));
    let marks: BTreeMap<_, Mark> = ledger.marks().map(|mark| (mark.key(), mark)).collect();
    assert!(ledger.unreplicated(&marks).is_empty());
    let later = began + Duration::from_secs(20);
    let mut next = Ledger::new(Config::default(), &marks, later);
    assert_eq!(next.ruling(&parts(&[POISON]), later), Ruling::Trial);
    next.accuse(&accusation("c", &[POISON]), later + Duration::from_secs(1));
    assert_eq!(next.ruling(&parts(&[POISON]), later), Ruling::Barred);
    assert!(!next.unreplicated(&marks).is_empty());
    // An operator lifts it.
    next.lift(Key::Part(POISON));
    assert_eq!(next.ruling(&parts(&[POISON]), later), Ruling::Free);
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
        let marks = ledger.marks().map(|mark| (mark.key(), mark)).collect();
        ledger = Ledger::new(Config::default(), &marks, now);
        let again = Accusation {
            silent_ms: change * 1000,
            ..accusation("a", &[7])
        };
        ledger.accuse(&again, now);
        assert_eq!(ledger.ruling(&parts(&[7]), now), Ruling::Trial);
    }
}

/// What a gateway does without a leader, with the marks that it last heard of.
#[test]
fn a_gateway_without_a_leader_keeps_to_its_marks_and_its_own_accusations() {
    let now = Instant::now();
    let mark = |part, convicted| Mark {
        crashes: 1,
        convicted,
        ..Mark::cleared(Key::Part(part))
    };
    let mut register = Register::default();
    register.replace(&[mark(POISON, true), mark(7, false), mark(SHARED, false)]);
    register.record_sound(&parts(&[SHARED]), "llm", now, now);
    register.accuse(accusation("a", &[SHARED, 9]), now);
    for (part, expected) in [
        (POISON, Standing::Convicted),
        (7, Standing::Suspected),
        (9, Standing::Suspected),
        (SHARED, Standing::Clear),
        (4, Standing::Clear),
    ] {
        let standing = register.standing_alone(&parts(&[part]), now);
        assert_eq!(standing, expected, "{part}");
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
    register.apply(&[Mark::cleared(Key::Part(POISON))]);
    assert_eq!(register.standing(&parts(&[POISON])), Standing::Clear);
}

/// Replicas of the pattern below; as many as cumbre-lessons has.
const REPLICAS: u32 = 18;
/// Time from the assignment of a request until its replica begins to answer it.
const BEGIN_MS: u64 = 400;
/// Time from a crash until the leader hears of it.
const REPORT_MS: u64 = 15;
/// Time for which a crashed replica is gone.
const DOWN_MS: u64 = 3000;

/// Length of the pattern in milliseconds.
const PATTERN_MS: u64 = 20_000;

/// The leader's decisions in virtual time.
struct Pattern {
    began: Instant,
    ms: u64,
    ledger: Ledger,
    scheduler: Scheduler,
    /// What crashes replicas.
    poison: Key,
    /// Assigned requests: when they begin, replica, keys.
    assigned: BTreeMap<u64, (u64, String, Vec<Key>)>,
    down_until: BTreeMap<String, u64>,
    /// When requests that crash replicas were assigned.
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

    fn add(&mut self, number: u64, keys: &[Key]) {
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
            keys: keys.to_vec(),
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
        for (number, (_, replica, keys)) in beginning.collect::<Vec<_>>() {
            self.scheduler.end_job(number);
            self.ledger.end_trial(number, now);
            if !keys.contains(&self.poison) {
                for key in keys {
                    self.ledger.clear(&sound(key, "llm", 0), now);
                }
                continue;
            }
            self.crashes.push(ms);
            self.down_until.insert(replica.clone(), ms + DOWN_MS);
            self.reports
                .push((ms + REPORT_MS, accusation_of_keys(&replica, &keys)));
        }
        let candidate = |number: u32| Candidate {
            name: format!("r{number}"),
            zone: "a".to_owned(),
            slots: 64,
            ceiling: None,
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
            let keys = self.scheduler.running_keys(number).unwrap().to_vec();
            if is_trial {
                self.ledger.begin_trial(&keys, number, &replica);
            }
            match keys.contains(&self.poison) {
                true => self.sick.push(ms),
                false => self.waits.push(ms - number / 1000),
            }
            self.assigned.insert(number, (ms + BEGIN_MS, replica, keys));
        }
        self.ms += 1;
    }
}

/// Requests that crash replicas come in bursts from several hosts, beside sound requests with the same
/// first part, while replicas also lose power and the leader changes. `crashes_before` is the number of
/// crashes after which few more requests may arrive.
fn check_pattern(poison: Key, crashes_before: usize) {
    for_seeds(40, |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let began = Instant::now();
        let mut pattern = Pattern {
            began,
            ms: 0,
            ledger: Ledger::default(),
            scheduler: Scheduler::new(scheduler::Config::default()),
            poison,
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
        for ms in 0..PATTERN_MS {
            let mut add = |pattern: &mut Pattern, ids: &[id::PromptPart], digest: Option<u64>| {
                let mut number = ms * 1000;
                while !numbers.insert(number) {
                    number += 1;
                }
                let mut keys = parts(ids);
                keys.push(Key::Request(digest.unwrap_or((1 << 40) + number)));
                pattern.add(number, &keys);
            };
            if ms % 20 == 0 {
                add(&mut pattern, &[SHARED, 100 + ms / 20 % 50], None);
            }
            if ms >= 1000 && ms % (burst * 70) == 0 {
                for _ in 0..burst {
                    match poison {
                        Key::Part(poison) => {
                            let own = 100 + random.random_range(0..50);
                            add(&mut pattern, &[SHARED, poison, own], None);
                        }
                        Key::Request(poison) => add(&mut pattern, &[SHARED, 120], Some(poison)),
                    }
                }
            }
            if ms == power_loss {
                for number in 0..REPLICAS / 3 {
                    let replica = format!("r{number}");
                    pattern.down_until.insert(replica.clone(), ms + DOWN_MS);
                    let open = pattern
                        .assigned
                        .extract_if(.., |_, (_, at, _)| *at == replica);
                    for (number, (_, replica, keys)) in open.collect::<Vec<_>>() {
                        pattern.scheduler.end_job(number);
                        pattern
                            .ledger
                            .end_trial(number, began + Duration::from_millis(ms));
                        pattern
                            .reports
                            .push((ms + REPORT_MS, accusation_of_keys(&replica, &keys)));
                    }
                }
            }
            if ms == leader_change {
                let replicated = pattern.ledger.unreplicated(&BTreeMap::new());
                let marks = replicated.into_iter().map(|mark| (mark.key(), mark));
                let now = pattern.now();
                pattern.ledger = Ledger::new(Config::default(), &marks.collect(), now);
            }
            pattern.step();
        }
        let crashes = &pattern.crashes;
        let last = crashes.get(crashes_before - 1).or(crashes.last());
        let bound = last.expect("crashes") + 3000;
        let late = pattern.sick.iter().filter(|at| **at > bound).count();
        assert!(
            late <= 3,
            "{late} after {bound} ms, {} crashes",
            pattern.crashes.len()
        );
        let mut waits = pattern.waits.clone();
        waits.sort_unstable();
        let sent = PATTERN_MS as usize / 20;
        assert!(
            waits.len() >= sent - sent / 30,
            "{} of {sent} sound requests ran",
            waits.len()
        );
        let slow = waits[waits.len() * 98 / 100];
        assert!(slow <= 1000, "a sound request in fifty waited {slow} ms");
    });
}

#[test]
fn a_part_that_crashes_replicas_is_found_in_few_crashes() {
    check_pattern(Key::Part(POISON), 5);
}

/// Guards against: a request that comes again and again goes on crashing replicas (BUDGET), or sound
/// requests with the same parts are held back for it.
#[test]
fn a_request_that_crashes_replicas_is_found_in_few_crashes() {
    check_pattern(Key::Request(POISON), 3);
}

fn check_request_ruling(steps: &[Step], digest: u64, expected: Ruling) {
    check_key_ruling(steps, &[Key::Request(digest)], expected);
}

cases! { check_request_ruling {
    an_unknown_request_is_free: (&[], POISON, Ruling::Free);
    a_request_that_alone_was_accused_waits_until_its_replica_is_back: (
        &[CrashOf(0, "a", POISON, &[]), Pass(3900)], POISON, Ruling::Wait
    );
    a_request_that_alone_was_accused_is_tried_once_its_replica_is_back: (
        &[CrashOf(0, "a", POISON, &[]), Pass(4000)], POISON, Ruling::Trial
    );
    a_request_that_was_accused_with_others_is_tried_at_once: (
        &[CrashOf(0, "a", POISON, &[]), CrashOf(10, "a", 7, &[]), Pass(20)], POISON, Ruling::Trial
    );
    three_crashes_convict_a_request: (
        &[
            CrashOf(0, "a", POISON, &[]), CrashOf(500, "b", POISON, &[]),
            CrashOf(900, "c", POISON, &[]),
        ],
        POISON, Ruling::Barred
    );
    three_crashes_at_two_times_convict_a_request: (
        &[
            CrashOf(0, "a", POISON, &[]), CrashOf(10, "b", POISON, &[]),
            CrashOf(900, "c", POISON, &[]),
        ],
        POISON, Ruling::Barred
    );
    replicas_that_lose_power_together_convict_no_request: (
        &[
            CrashOf(0, "a", 7, &[]), CrashOf(10, "b", 7, &[]), CrashOf(20, "c", 7, &[]),
            CrashOf(20, "c", 8, &[]), Pass(30),
        ],
        7, Ruling::Trial
    );
    a_sound_answer_clears_a_request: (
        &[CrashOf(0, "a", 7, &[]), CrashOf(500, "b", 7, &[]), SoundOf(900, 7, "llm", 100)],
        7, Ruling::Free
    );
    a_request_that_was_sound_shortly_before_the_crash_is_cleared: (
        &[CrashOf(0, "a", 7, &[]), SoundOf(100, 7, "llm", 1500)], 7, Ruling::Free
    );
    crashes_of_a_request_before_a_sound_answer_no_longer_count: (
        &[
            CrashOf(0, "a", 7, &[]), CrashOf(500, "b", 7, &[]), SoundOf(900, 7, "llm", 100),
            CrashOf(3000, "c", 7, &[]), CrashOf(3000, "c", 8, &[]),
        ],
        7, Ruling::Trial
    );
    a_convicted_request_is_not_held_against_another_one: (
        &[
            CrashOf(0, "a", POISON, &[]), CrashOf(500, "b", POISON, &[]),
            CrashOf(900, "c", POISON, &[]), CrashOf(1500, "d", POISON, &[]),
        ],
        7, Ruling::Free
    );
}}

cases! { check_ruling {
    the_crashes_of_one_request_convict_none_of_its_parts: (
        &[
            CrashOf(0, "a", POISON, &[SHARED, 7]), Sound(50, SHARED, "llm", 0),
            CrashOf(500, "b", POISON, &[SHARED, 7]), CrashOf(900, "c", POISON, &[SHARED, 7]),
        ],
        &[7], Ruling::Free
    );
    the_crashes_of_one_request_and_another_one_convict_no_part: (
        &[
            CrashOf(0, "a", POISON, &[SHARED, 7]), Sound(50, SHARED, "llm", 0),
            CrashOf(500, "b", POISON, &[SHARED, 7]), CrashOf(900, "c", 8, &[SHARED, 7]),
        ],
        &[7], Ruling::Trial
    );
    a_part_of_different_requests_is_convicted: (
        &[
            CrashOf(0, "a", 6, &[SHARED, POISON]), Sound(50, SHARED, "llm", 0),
            CrashOf(500, "b", 7, &[SHARED, POISON]), CrashOf(900, "c", 8, &[SHARED, POISON]),
        ],
        &[POISON], Ruling::Barred
    );
    a_convicted_request_explains_later_crashes: (
        &[
            CrashOf(0, "a", POISON, &[]), CrashOf(500, "b", POISON, &[]),
            CrashOf(900, "c", POISON, &[]), CrashOf(1500, "d", POISON, &[7]),
        ],
        &[7], Ruling::Free
    );
}}

/// Guards against: a request with one crash is forgotten by a new leader and by the voters, and with
/// two as well.
#[test]
fn a_request_is_replicated_from_its_second_crash_on() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    ledger.accuse(&accusation_of("a", POISON, &[]), began);
    assert!(ledger.unreplicated(&BTreeMap::new()).is_empty());
    assert_eq!(ledger.marks().count(), 1, "gateways are told at once");
    let now = began + Duration::from_secs(5);
    ledger.accuse(&accusation_of("b", POISON, &[]), now);
    let marks = ledger.unreplicated(&BTreeMap::new());
    let marks = marks.into_iter().map(|mark| (mark.key(), mark)).collect();
    let mut next = Ledger::new(Config::default(), &marks, now);
    let now = now + Duration::from_secs(5);
    next.accuse(&accusation_of("c", POISON, &[]), now);
    assert_eq!(next.ruling(&[Key::Request(POISON)], now), Ruling::Barred);
}

/// A million different requests: the memory stays bounded, and one with two crashes is not displaced by
/// those with one.
#[test]
fn a_million_different_requests_displace_no_evidence() {
    let began = Instant::now();
    let mut ledger = Ledger::default();
    for number in 0..1_000_000_u64 {
        let now = began + Duration::from_micros(number * 200);
        let replica = format!("r{}", number / 1000);
        ledger.accuse(&accusation_of(&replica, (1 << 32) + number, &[]), now);
        if number == 10_000 || number == 11_000 {
            let replica = format!("p{number}");
            ledger.accuse(&accusation_of(&replica, POISON, &[]), now);
        }
    }
    assert!(ledger.marks().count() <= 4096);
    let now = began + Duration::from_secs(201);
    ledger.accuse(&accusation_of("last", POISON, &[]), now);
    assert_eq!(ledger.ruling(&[Key::Request(POISON)], now), Ruling::Barred);
}

/// What tells a request that comes again from another one.
#[test]
fn a_digest_covers_method_host_path_caller_and_body() {
    let digest = |method: &str, host: &str, path: &str, caller: &str, body: &str| {
        let mut headers = hyper::HeaderMap::new();
        headers.insert("host", host.parse().unwrap());
        headers.insert("authorization", caller.parse().unwrap());
        headers.insert("x-request-id", body.len().to_string().parse().unwrap());
        let method = method.parse().unwrap();
        request_digest(
            &method,
            &path.parse().unwrap(),
            &headers,
            &Identity::Forwarded,
            body.as_bytes(),
        )
    };
    let one = digest("POST", "h", "/a?b=1", "ana", "body");
    assert_eq!(one, digest("POST", "h", "/a?b=1", "ana", "body"));
    let others = [
        digest("PUT", "h", "/a?b=1", "ana", "body"),
        digest("POST", "i", "/a?b=1", "ana", "body"),
        digest("POST", "h", "/a?b=2", "ana", "body"),
        digest("POST", "h", "/a?b=1", "ben", "body"),
        digest("POST", "h", "/a?b=1", "ana", "else"),
        digest("POST", "h", "/a?b=1", "anab", "ody"),
    ];
    assert!(!others.contains(&one));
}
