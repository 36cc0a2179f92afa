//! Load patterns in which streams of a software version that few replicas still have are taken up.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    limit::Limits,
    quarantine::Ledger,
    scheduler::{self, Candidate, Decision, Job, JobNumber, Pauses, Scheduler},
    scheduler_tests::job,
};
use crate::testing::cases;

/// Replicas of a service; the first ones have the older version.
const REPLICAS: usize = 18;
/// Replicas of the older version.
const OLD_REPLICAS: usize = 2;
const STEP: Duration = Duration::from_millis(10);
/// Time in which requests are sent.
const TIME: Duration = Duration::from_secs(6);
/// Time that a stream takes from its assignment on.
const RUN_TIME: Duration = Duration::from_secs(3);
/// The platform's bound: share of the streams taken up that go on, against the share of the new ones
/// that begin.
const GO_ON_SHARE: f64 = 0.5;

/// Requests of one kind, and how many of them were assigned.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    assigned: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.assigned) / f64::from(self.sent)
    }
}

fn replica(number: usize) -> Candidate {
    Candidate {
        name: format!("r{number}"),
        zone: "a".to_owned(),
        slots: 64,
        ceiling: None,
        token_capacity: 120_000,
        unscheduled_requests: 0,
        version: None,
    }
}

/// Sends new streams and streams that are taken up, each so many a second.
fn play(new_per_second: u32, taken_up_per_second: u32) -> (Tally, Tally) {
    let began = Instant::now();
    let mut scheduler = Scheduler::new(scheduler::Config::default());
    let all: Rc<[Candidate]> = (0..REPLICAS).map(replica).collect();
    let old: Rc<[Candidate]> = (0..OLD_REPLICAS).map(replica).collect();
    let (mut new, mut taken_up) = (Tally::default(), Tally::default());
    let mut ends: BTreeSet<(Instant, JobNumber)> = BTreeSet::new();
    let mut continuing: BTreeSet<JobNumber> = BTreeSet::new();
    let mut number = 0;
    let mut now = began;
    while now < began + TIME {
        now += STEP;
        let passed = (now - began).as_secs_f64();
        let kinds = [
            (&mut new, new_per_second, None),
            (&mut taken_up, taken_up_per_second, Some("v1")),
        ];
        for (tally, per_second, software) in kinds {
            while f64::from(tally.sent) < passed * f64::from(per_second) {
                tally.sent += 1;
                number += 1;
                if software.is_some() {
                    continuing.insert(number);
                }
                scheduler.add(Job {
                    adapter: None,
                    prompt_tokens: 1460,
                    software: software.map(str::to_owned),
                    is_resumable: true,
                    ..job(number, now)
                });
            }
        }
        while let Some((at, number)) = ends.first().copied()
            && at <= now
        {
            ends.remove(&(at, number));
            scheduler.end_job(number);
        }
        let (pauses, ledger, mut limits) =
            (Pauses::default(), Ledger::default(), Limits::default());
        let decisions =
            scheduler.decide(
                &pauses,
                &ledger,
                &mut limits,
                now,
                |group, _, _| match &group.software {
                    Some(_) => old.clone(),
                    None => all.clone(),
                },
            );
        for decision in decisions {
            if let Decision::Send { number, .. } = decision {
                ends.insert((now + RUN_TIME, number));
                match continuing.contains(&number) {
                    true => taken_up.assigned += 1,
                    false => new.assigned += 1,
                }
            }
        }
    }
    (new, taken_up)
}

fn check_shares(new_per_second: u32, taken_up_per_second: u32) {
    let (new, taken_up) = play(new_per_second, taken_up_per_second);
    let (begin, go_on) = (new.share(), taken_up.share());
    println!("{begin:.2} begin, {go_on:.2} go on");
    assert!(go_on >= GO_ON_SHARE * begin, "{begin} begin, {go_on} go on");
}

// Guards against: new streams, which any replica may begin, leave no room at the last replicas of a
// version for the streams that only these may go on with (LOST).
cases! { check_shares {
    streams_taken_up_at_the_last_replicas_go_on_beside_new_ones: (200, 10);
    streams_taken_up_at_the_last_replicas_go_on_in_an_overload: (400, 10);
    many_streams_taken_up_at_the_last_replicas_go_on_in_an_overload: (400, 30);
    streams_taken_up_at_the_last_replicas_go_on_in_a_large_overload: (800, 30);
}}
