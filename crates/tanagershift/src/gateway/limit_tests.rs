//! Tests of upstreams' limits under the load patterns that they answer: an upstream in need, few and
//! many gateways, shifting demand, changes of the leader.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    limit::{Limits, PERMIT_TIME, Permits, parse_rate},
    message::{LimitReport, Permit},
};
use crate::testing::cases;

fn check_rate(text: &str, expected: Option<f64>) {
    assert_eq!(parse_rate(text), expected);
}

cases! { check_rate {
    a_fraction_is_a_rate: (" 1.4", Some(1.4));
    zero_is_a_rate: ("0", Some(0.0));
    a_negative_number_is_no_rate: ("-2", None);
    infinity_is_no_rate: ("inf", None);
    a_word_is_no_rate: ("few", None);
}}

fn report(upstream: &str, per_second: Option<f64>, age_ms: u64) -> LimitReport {
    LimitReport {
        upstream: upstream.to_owned(),
        per_second,
        age_ms,
    }
}

/// Sends whatever is permitted for 20 s, from many gateways with the given demand a second, and
/// returns when each request was sent. The leader changes after 10 s and knows nothing before.
fn send_permitted(per_second: f64, demand: &[u32]) -> Vec<(u64, usize)> {
    let began = Instant::now();
    let mut limits = Limits::default();
    let mut gateways: Vec<Permits> = Vec::new();
    for _ in demand {
        let mut permits = Permits::default();
        permits.set("d", Some(per_second));
        gateways.push(permits);
    }
    limits.observe(&report("d", Some(per_second), 0), began);
    let mut sent = Vec::new();
    for ms in (0..20_000_u64).step_by(10) {
        let now = began + Duration::from_millis(ms);
        if ms == 10_000 {
            limits = Limits::default();
            limits.observe(&report("d", Some(per_second), 0), now);
        }
        if ms % 100 == 0 {
            for (host, requests) in demand.iter().enumerate() {
                limits.record_demand("desk", &host.to_string(), requests / 10, now);
            }
        }
        if ms % 50 == 0 {
            while let Some(host) = limits.issue_permit("d", "desk", now) {
                let upstream = "d".to_owned();
                let host: usize = host.parse().unwrap();
                gateways[host].add(&Permit { upstream }, now);
            }
        }
        for (host, permits) in gateways.iter_mut().enumerate() {
            // Gateways with little demand have a request only now and then.
            let wants = demand[host] > 0 && ms % (1000 / u64::from(demand[host])).max(10) == 0;
            if wants && permits.take("d", now) {
                sent.push((ms, host));
            }
        }
    }
    sent
}

fn check_sum(per_second: f64, demand: &[u32]) {
    let sent = send_permitted(per_second, demand);
    let allowed = 1.5 * per_second * 4.0 + 5.0;
    for (first, _) in &sent {
        let count = sent
            .iter()
            .filter(|(ms, _)| (*first..first + 4000).contains(ms))
            .count();
        assert!(
            count as f64 <= allowed,
            "{count} in 4 s from {first} ms; allowed {allowed}"
        );
    }
    let whole = per_second * 20.0;
    assert!(
        sent.len() as f64 >= whole * 0.7,
        "{} of {whole}",
        sent.len()
    );
}

cases! { check_sum {
    three_gateways_share_a_limit: (12.0, &[100, 100, 100]);
    a_limit_below_one_request_a_second: (0.4, &[10, 10, 10]);
    two_hundred_gateways_share_a_fraction_of_a_request: (1.4, &[10; 200]);
    one_gateway_uses_the_whole_limit: (5.0, &[0, 100, 0]);
}}

/// Guards against: equal shares for all gateways, most of which go unused.
#[test]
fn permits_follow_demand() {
    let sent = send_permitted(5.0, &[100, 10]);
    let busy = sent.iter().filter(|(_, host)| *host == 0).count();
    let share = busy as f64 / sent.len() as f64;
    assert!((0.8..0.99).contains(&share), "{share}");
}

/// Guards against: permits of a gateway that does not need them, or is cut off, are used in a burst.
#[test]
fn a_permit_is_good_for_a_short_time_and_one_request() {
    let now = Instant::now();
    let mut permits = Permits::default();
    assert!(
        permits.permits("d", now) && permits.take("d", now),
        "no limit is named"
    );
    permits.observe("d", Some(2.0), now);
    assert!(!permits.permits("d", now));
    let permit = Permit {
        upstream: "d".to_owned(),
    };
    permits.add(&permit, now);
    permits.add(&permit, now);
    assert!(permits.take("d", now));
    assert!(!permits.take("d", now + PERMIT_TIME));
    let names = ["d"];
    assert_eq!(
        permits.retry_after(names.into_iter(), 4),
        Duration::from_secs(2)
    );
}

/// Guards against: an older answer, told later, ends or changes a newer limit.
#[test]
fn the_last_answer_of_an_upstream_counts() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut limits = Limits::default();
    limits.observe(&report("d", Some(2.0), 0), now);
    limits.observe(&report("d", None, 500), now);
    limits.observe(&report("d", Some(9.0), 200), now);
    assert_eq!(limits.reports(), [report("d", Some(2.0), 0)]);
    assert_eq!(limits.take_changes().len(), 1);
    limits.observe(&report("d", None, 0), now + Duration::from_millis(1));
    assert!(limits.is_empty() && limits.has_room("d", now));
    assert_eq!(limits.take_changes(), [report("d", None, 0)]);
}

/// Guards against: a new leader is not told of limits that gateways have reported before.
#[test]
fn limits_are_reported_again_to_a_new_leader() {
    let now = Instant::now();
    let mut permits = Permits::default();
    assert!(permits.observe("d", Some(2.0), now));
    assert!(!permits.observe("d", Some(2.0), now));
    assert_eq!(permits.take_reports(now), [report("d", Some(2.0), 0)]);
    assert!(permits.take_reports(now).is_empty());
    permits.report_again(now);
    assert_eq!(permits.take_reports(now), [report("d", Some(2.0), 0)]);
    permits.retain_listed(&["d"].into());
    assert!(permits.observe("d", None, now));
    assert_eq!(permits.take_reports(now), [report("d", None, 0)]);
}

/// A burst of orders to a replica in need: what is sent besides them yields.
#[test]
fn orders_count_against_the_limit() {
    let mut now = Instant::now();
    let mut limits = Limits::default();
    limits.observe(&report("i", Some(2.0), 0), now);
    let mut sent = BTreeMap::from([("order", 0), ("request", 0)]);
    for turn in 0..400 {
        now += Duration::from_millis(10);
        if turn % 100 < 2 {
            limits.spend("i", now);
            sent.entry("order").and_modify(|count| *count += 1);
        }
        if limits.has_room("i", now) {
            limits.spend("i", now);
            sent.entry("request").and_modify(|count| *count += 1);
        }
    }
    assert_eq!(sent["order"], 8);
    assert!(sent["request"] <= 2, "{sent:?}");
}
