//! Tables of what upstreams announce: `Retry-After` values, and which requests may be sent after which
//! answers.

use std::{collections::BTreeSet, time::Duration};

use hyper::{HeaderMap, StatusCode, header::RETRY_AFTER};
use tokio::time::Instant;

use crate::{
    admission::{Access, Admission, Fault, Origin, RetryAfter, Signal},
    testing::cases,
};

fn check_retry_after(text: &str, pause_ms: u64, fault: Option<Fault>) {
    let pause = Duration::from_millis(pause_ms);
    assert_eq!(RetryAfter::parse(text), RetryAfter { pause, fault });
}

cases! { check_retry_after {
    whole_seconds: ("2", 2_000, None);
    a_fraction: ("0.35", 350, None);
    zero: ("0", 0, None);
    spaces_around: (" 1.5 ", 1_500, None);
    minutes: ("240", 240_000, None);
    a_negative_value: ("-3", 1_000, Some(Fault::Negative));
    a_huge_value: ("1e300", 3_600_000, Some(Fault::TooLong));
    infinity: ("inf", 3_600_000, Some(Fault::TooLong));
    minus_infinity: ("-inf", 1_000, Some(Fault::Negative));
    no_number: ("NaN", 1_000, Some(Fault::Unreadable));
    a_date: ("Fri, 04 Dec 2026 11:00:00 GMT", 1_000, Some(Fault::Unreadable));
    a_word: ("soon", 1_000, Some(Fault::Unreadable));
    nothing: ("", 1_000, Some(Fault::Unreadable));
}}

fn check_signal(status: u16, leaving: bool, retry_after: Option<&'static str>, pauses: bool) {
    let mut headers = HeaderMap::new();
    if let Some(text) = retry_after {
        headers.insert(RETRY_AFTER, text.parse().unwrap());
    }
    let status = StatusCode::from_u16(status).unwrap();
    let signal = Signal::from_head(status, &headers, leaving);
    assert_eq!(signal.leaving, leaving);
    assert_eq!(signal.retry_after.is_some(), pauses);
}

cases! { check_signal {
    a_success_that_leaves: (200, true, None, false);
    a_failure_that_leaves: (500, true, None, false);
    a_refusal_that_leaves_and_asks_for_a_pause: (503, true, Some("1"), true);
    a_refusal_without_a_time: (503, false, None, false);
    a_time_without_a_refusal: (429, false, Some("1"), false);
}}

/// One step of a table: what happens to upstream `u`, at which time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It answers 503 with a `Retry-After` in milliseconds.
    Pause(u64),
    /// It announces that it leaves.
    Leave,
    /// A request is about to be sent; whether it may be.
    Send(bool),
    /// The list is read; whether `u` is on it.
    List(bool),
}

fn play(mut admission: Admission, steps: &[(u64, Step)]) {
    let start = Instant::now();
    for (at, step) in steps {
        let now = start + Duration::from_millis(*at);
        match step {
            Step::Pause(pause) => {
                admission.record_pause("u", Duration::from_millis(*pause), now);
            }
            Step::Leave => {
                admission.record_leaving("u", Origin::Answer, now);
            }
            Step::Send(expected) => {
                let admitted = admission.admit("u", now).is_ok();
                assert_eq!(admitted, *expected, "at {at} ms of {steps:?}");
            }
            Step::List(listed) => {
                let names: BTreeSet<&str> = listed.then_some("u").into_iter().collect();
                admission.retain_listed(&names, now);
            }
        }
    }
}

fn check_admission(steps: &[(u64, Step)]) {
    play(Admission::default(), steps);
}

use Step::{Leave, List, Pause, Send};

cases! { check_admission {
    an_unknown_upstream_is_open: (&[(0, Send(true))]);
    two_requests_in_a_pause: (
        &[(0, Pause(5_000)), (10, Send(true)), (600, Send(true)), (700, Send(false)), (4_999, Send(false))]
    );
    all_requests_after_a_pause: (
        &[(0, Pause(1_000)), (1, Send(true)), (2, Send(true)), (1_000, Send(true)), (1_001, Send(true)),
          (1_002, Send(true))]
    );
    a_further_refusal_grants_no_further_requests: (
        &[(0, Pause(3_000)), (1, Send(true)), (2, Pause(3_000)), (3, Send(true)), (4, Pause(3_000)),
          (5, Send(false)), (3_003, Send(false)), (3_004, Send(true))]
    );
    a_shorter_pause_does_not_end_a_longer_one: (
        &[(0, Pause(9_000)), (1, Send(true)), (2, Send(true)), (3, Pause(100)), (500, Send(false)),
          (8_999, Send(false)), (9_000, Send(true))]
    );
    a_second_pause_has_its_own_two_requests: (
        &[(0, Pause(1_000)), (1, Send(true)), (2, Send(true)), (1_500, Pause(1_000)), (1_501, Send(true)),
          (1_502, Send(true)), (1_503, Send(false))]
    );
    no_pause_of_zero: (&[(0, Pause(0)), (1, Send(true)), (2, Send(true)), (3, Send(true))]);
    nothing_to_one_that_leaves: (&[(0, Leave), (0, Send(false)), (3_600_000, Send(false))]);
    leaving_outranks_a_pause: (&[(0, Pause(1_000)), (1, Leave), (2, Send(false)), (2_000, Send(false))]);
    a_departure_outlasts_a_gap_in_the_list: (
        &[(0, Leave), (100, List(false)), (200, List(true)), (300, Send(false))]
    );
    a_departure_is_kept_while_listed: (
        &[(0, Leave), (3_600_000, List(true)), (3_600_001, Send(false))]
    );
    a_departure_is_dropped_long_after_the_upstream_is_gone: (
        &[(0, Leave), (600_000, List(false)), (600_001, Send(true))]
    );
}}

/// An upstream that keeps its name over a restart is tried again after the time in which the old run
/// must have ended.
#[test]
fn a_departure_of_an_upstream_with_a_lasting_name_expires() {
    let admission = Admission::with_departure_ttl(Duration::from_secs(30));
    play(
        admission,
        &[
            (0, Leave),
            (29_999, Send(false)),
            (30_000, Send(true)),
            (30_001, Leave),
            (30_002, Send(false)),
        ],
    );
}

#[test]
fn a_service_is_paused_while_no_upstream_of_it_is_open() {
    let mut admission = Admission::default();
    let now = Instant::now();
    let names = ["a", "b", "c"];
    let until = |admission: &Admission| admission.paused_until(names.into_iter(), now);
    assert_eq!(until(&admission), None);
    admission.record_pause("a", Duration::from_secs(300), now);
    admission.record_leaving("b", Origin::Leader, now);
    assert_eq!(until(&admission), None, "one is open");
    admission.record_pause("c", Duration::from_secs(2), now);
    assert_eq!(until(&admission), Some(now + Duration::from_secs(2)));
    let access = admission.access("b", now + Duration::from_secs(1));
    let expected = Access::Leaving {
        since: now,
        origin: Origin::Leader,
    };
    assert_eq!(access, expected);
}

/// A new leader is told the departures that the one before it had.
#[test]
fn departures_are_told_to_each_leader_until_it_has_them() {
    let mut admission = Admission::default();
    let now = Instant::now();
    assert!(admission.record_leaving("a", Origin::Answer, now));
    assert!(!admission.record_leaving("a", Origin::Leader, now));
    assert_eq!(admission.unconfirmed().count(), 1);
    admission.confirm("a");
    assert_eq!(admission.unconfirmed().count(), 0);
    admission.forget_confirmations();
    assert_eq!(admission.unconfirmed().count(), 1);
}
