//! Tests of what replicas of unlike pace cost a request.

use std::time::Duration;

use super::{
    cost::{Lengths, Need, Offer},
    pace::Estimate,
};
use crate::testing::cases;

fn offer(pace: f64) -> Offer {
    Offer {
        wait_ms: 0.0,
        read_ms: 60.0,
        event_ms: 35.0,
        fill: 0.25,
        pace: Estimate {
            now: pace,
            lasting: pace,
            uncertainty: 0.0,
            age: Some(Duration::ZERO),
        },
        is_near: true,
    }
}

fn need() -> Need {
    Need {
        objective_ms: 450.0,
        deadline_ms: Some(8000.0),
        gap_ms: Some(300.0),
        events: 43.0,
    }
}

fn check_prefers(better: Offer, worse: Offer, need: Need) {
    let (better, worse) = (better.cost(&need), worse.cost(&need));
    assert!(better.total() < worse.total(), "{better} {worse}");
}

cases! { check_prefers {
    a_fast_replica_is_preferred: (offer(0.6), offer(1.6), need());
    a_fast_replica_in_another_zone_is_preferred: (
        Offer { is_near: false, ..offer(0.6) }, offer(1.6), need()
    );
    a_near_replica_of_the_same_pace_is_preferred: (
        offer(1.0), Offer { is_near: false, ..offer(1.0) }, need()
    );
    a_kept_prompt_outweighs_a_faster_replica: (
        Offer { read_ms: 5.0, ..offer(1.0) }, Offer { wait_ms: 120.0, ..offer(0.6) }, need()
    );
    a_long_wait_outweighs_a_kept_prompt: (
        offer(1.0), Offer { read_ms: 5.0, wait_ms: 200.0, ..offer(1.0) }, need()
    );
    a_full_replica_of_usual_pace_is_worse_than_an_idle_one: (
        Offer { fill: 0.0, ..offer(1.0) }, Offer { fill: 0.9, ..offer(1.0) }, need()
    );
    a_prompt_that_stops_the_streams_beside_it_goes_elsewhere: (
        Offer { wait_ms: 100.0, ..offer(1.0) }, offer(4.0), need()
    );
    a_caller_that_is_late_already_gets_the_soonest: (
        offer(0.6), offer(1.0), Need { objective_ms: -50.0, ..need() }
    );
}}

fn check_fits(pace: f64, need: Need, expected: bool) {
    assert_eq!(offer(pace).fits(&need), expected);
}

cases! { check_fits {
    a_long_answer_fits_at_a_fast_replica: (0.6, Need { events: 150.0, ..need() }, true);
    a_long_answer_does_not_fit_at_a_slow_one: (4.0, Need { events: 150.0, ..need() }, false);
    a_short_answer_fits_at_a_slow_one: (4.0, Need { events: 17.0, ..need() }, true);
    without_a_deadline_all_fits: (
        10.0, Need { events: 1e6, deadline_ms: None, ..need() }, true
    );
}}

/// What can wait weighs a short way less than what cannot.
#[test]
fn a_request_with_time_leaves_the_soonest_place() {
    let patient = Need {
        objective_ms: 5000.0,
        ..need()
    };
    let gain = |need: &Need| offer(1.0).cost(need).first - offer(0.6).cost(need).first;
    assert!(gain(&patient) < gain(&need()));
}

#[test]
fn lengths_follow_what_ended_streams_show() {
    let mut lengths = Lengths::default();
    assert_eq!(lengths.events("llm", 100), 0.0);
    lengths.record("llm", 0, 100);
    lengths.record("llm", 10, 0);
    for _ in 0..50 {
        lengths.record("llm", 25, 100);
    }
    assert_eq!(lengths.events("llm", 200), 50.0);
}
