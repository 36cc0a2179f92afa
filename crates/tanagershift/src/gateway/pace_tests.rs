//! Tests of the paces of upstreams.

use std::time::Duration;

use tokio::time::Instant;

use super::pace::Paces;
use crate::testing::cases;

/// Time between two events at an empty replica of usual pace.
const EVENT_MS: f64 = 40.0;

/// What one replica states and shows, ten times a second; the other ones state the truth.
fn observe(stated: Option<u32>, shown: f64, now: &mut Instant, paces: &mut Paces, seconds: u64) {
    for _ in 0..seconds * 10 {
        *now += Duration::from_millis(100);
        for upstream in ["b", "c", "d", "e"] {
            paces.record_stated("llm", upstream, 100, *now);
            paces.record_shown("llm", upstream, EVENT_MS, 0.0, *now);
        }
        if let Some(percent) = stated {
            paces.record_stated("llm", "a", percent, *now);
        }
        paces.record_shown("llm", "a", EVENT_MS * shown, 0.0, *now);
    }
}

fn check_belief(stated: Option<u32>, shown: f64, low: f64, high: f64) {
    let (mut now, mut paces) = (Instant::now(), Paces::default());
    observe(Some(100), 1.0, &mut now, &mut paces, 3);
    observe(stated, shown, &mut now, &mut paces, 10);
    let pace = paces.estimate("a", now).now;
    assert!((low..=high).contains(&pace), "{pace}");
}

cases! { check_belief {
    a_slow_replica_that_says_so_is_believed: (Some(400), 4.0, 3.2, 4.8);
    a_fast_replica_that_says_so_is_believed: (Some(60), 0.6, 0.5, 0.75);
    a_slow_replica_that_says_it_is_usual_is_not_believed: (Some(100), 4.0, 3.0, 5.0);
    a_fast_replica_that_says_it_is_slow_is_not_believed: (Some(1000), 0.6, 0.2, 2.0);
    a_slow_replica_whose_figures_stop_is_known_by_its_answers: (None, 4.0, 3.0, 5.0);
    a_silly_figure_is_bounded: (Some(u32::MAX), 10.0, 5.0, 10.0);
    no_pace_is_zero: (Some(1), 0.01, 0.09, 0.2);
}}

/// A slow replica raises the usual time of the others by little, and a fast one lowers it by little.
#[test]
fn one_replica_does_not_change_the_others() {
    for shown in [0.05, 20.0] {
        let (mut now, mut paces) = (Instant::now(), Paces::default());
        observe(Some(100), 1.0, &mut now, &mut paces, 2);
        observe(Some(100), shown, &mut now, &mut paces, 20);
        let pace = paces.estimate("b", now).now;
        assert!((0.8..1.25).contains(&pace), "{pace} beside {shown}");
        let event_ms = paces.event_ms("llm", 0.0).unwrap();
        assert!((0.7..1.4).contains(&(event_ms / EVENT_MS)), "{event_ms}");
    }
}

/// A machine that is slow for 600 ms: its figure says less the older it is, and after seconds without
/// news it counts as usual again, so that it is tried.
#[test]
fn a_figure_says_less_the_older_it_is() {
    let (mut now, mut paces) = (Instant::now(), Paces::default());
    observe(Some(100), 1.0, &mut now, &mut paces, 5);
    paces.record_stated("llm", "a", 250, now + Duration::from_millis(10));
    let at = |ms| paces.estimate("a", now + Duration::from_millis(ms));
    assert!(at(10).now > 2.4);
    assert!((1.3..1.9).contains(&at(600).now), "{:?}", at(600));
    assert!(at(2000).now < 1.2 && at(2000).uncertainty > 0.9);
    assert!(at(10).over(Duration::from_secs(5)) < 1.3, "for long work");
    assert!((at(60_000).now - 1.0).abs() < 0.01);
}

#[test]
fn services_that_state_no_pace_are_even() {
    let (now, mut paces) = (Instant::now(), Paces::default());
    paces.record_shown("llm", "a", 400.0, 0.5, now);
    paces.record_stated("llm", "a", 0, now);
    assert!(!paces.is_uneven("llm", now));
    assert_eq!(paces.estimate("a", now).now, 1.0);
    assert!(!paces.was_slow("a", now) && paces.take_reports(now).is_empty());
}

/// Sixty replicas that change twice a second, seen by 82 hosts: each host reports a figure when it
/// has changed, and a leader that applies it does not report it on.
#[test]
fn a_figure_is_reported_once_until_it_changes() {
    let (mut now, mut host, mut leader) = (Instant::now(), Paces::default(), Paces::default());
    let mut reported = Vec::new();
    for percent in [100, 102, 250, 250, 100] {
        now += Duration::from_millis(100);
        host.record_stated("llm", "a", percent, now);
        for report in host.take_reports(now) {
            leader.apply("llm", &report, now);
            reported.push(report.percent);
        }
    }
    assert_eq!(reported, [100, 250, 100]);
    assert!(leader.take_reports(now).is_empty());
    let (seen, told) = (host.estimate("a", now), leader.estimate("a", now));
    assert_eq!(seen.now, told.now);
    assert!((seen.lasting - told.lasting).abs() < 0.02, "{told:?}");
}

/// Drops what is unlisted, so that replicas that come and go leave nothing.
#[test]
fn unlisted_upstreams_are_forgotten() {
    let (now, mut paces) = (Instant::now(), Paces::default());
    paces.record_stated("llm", "a", 400, now);
    paces.retain(|_| false);
    assert_eq!(paces.estimate("a", now).now, 1.0);
    assert!(paces.take_reports(now).is_empty());
}
