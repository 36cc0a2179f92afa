//! Which connections a host trusts while links to upstreams fail, without network. The pattern: a host
//! loses its links to all, to some or to one of the upstreams; or the upstreams are gone.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    helpers::{Candidate, select},
    message::Helper,
    reach::{Change, Reach, SILENCE_LIMIT, Shared},
};
use crate::testing::cases;

const SERVICE: &str = "s";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What happens to a host, each at a time in milliseconds.
enum Event {
    /// An own connection was made to an upstream.
    Connected(u64, &'static str),
    /// An upstream was reached through another host only.
    Detour(u64, &'static str),
    /// Bytes arrived over an own connection.
    Heard(u64),
}

use Event::{Connected, Detour, Heard};

fn replay(events: &[Event], start: Instant) -> Reach {
    let mut reach = Reach::default();
    for event in events {
        match event {
            Connected(at, address) => {
                reach.record_connected(SERVICE, address, start + ms(*at));
            }
            Detour(at, address) => {
                reach.record_detour(SERVICE, address, start + ms(*at));
            }
            Heard(at) => reach.record_heard(SERVICE, start + ms(*at)),
        }
    }
    reach
}

/// Checks at 1000 ms whether the host is cut off, and which upstreams are distrusted.
fn check_reach(events: &[Event], is_cut_off: bool, distrusted: &[&str]) {
    let start = Instant::now();
    let reach = replay(events, start);
    let now = start + ms(1000);
    assert_eq!(reach.is_cut_off(), is_cut_off);
    for address in ["a", "b", "c"] {
        let since = reach.distrusted_since(SERVICE, address, now);
        assert_eq!(since.is_some(), distrusted.contains(&address), "{address}");
    }
}

cases! {
    check_reach {
        a_host_trusts_its_links_at_first: (&[], false, &[]);
        one_failed_link_is_avoided_alone: (&[Detour(500, "a")], false, &["a"]);
        one_link_that_fails_again_cuts_off_no_host:
            (&[Detour(500, "a"), Detour(600, "a"), Detour(700, "a")], false, &["a"]);
        two_failed_links_cut_off_the_host:
            (&[Detour(500, "a"), Detour(600, "b")], true, &["a", "b", "c"]);
        links_that_fail_while_others_carry_bytes_cut_off_no_host:
            (&[Detour(500, "a"), Heard(550), Detour(600, "b")], false, &["a", "b"]);
        links_that_fail_after_the_last_bytes_cut_off_the_host:
            (&[Heard(100), Detour(500, "a"), Detour(600, "b")], true, &["a", "b", "c"]);
        one_own_connection_restores_all_but_the_failed_links:
            (&[Detour(500, "a"), Detour(600, "b"), Connected(900, "c")], false, &["a", "b"]);
        an_own_connection_restores_its_link:
            (&[Detour(500, "a"), Detour(600, "b"), Connected(900, "a")], false, &["b"]);
        a_connection_to_another_upstream_clears_no_single_link:
            (&[Detour(500, "a"), Connected(600, "b")], false, &["a"]);
        bytes_over_a_kept_connection_restore_nothing:
            (&[Detour(500, "a"), Detour(600, "b"), Heard(900)], true, &["a", "b", "c"]);
    }
}

#[test]
fn a_failed_link_is_tried_again_later() {
    let start = Instant::now();
    let reach = replay(&[Detour(0, "a")], start);
    assert!(
        reach
            .distrusted_since(SERVICE, "a", start + ms(1900))
            .is_some()
    );
    assert!(
        reach
            .distrusted_since(SERVICE, "a", start + ms(2100))
            .is_none()
    );
}

#[test]
fn changes_tell_how_long_the_host_was_cut_off() {
    let start = Instant::now();
    let mut reach = replay(&[Heard(100), Detour(500, "a")], start);
    let cut_off = Change::CutOff {
        links: 2,
        silence: ms(500),
    };
    assert_eq!(
        reach.record_detour(SERVICE, "b", start + ms(600)),
        Some(cut_off)
    );
    assert_eq!(reach.record_detour(SERVICE, "c", start + ms(700)), None);
    let restored = Change::Restored { after: ms(8000) };
    let connected = reach.record_connected(SERVICE, "a", start + ms(8600));
    assert_eq!(connected, Some(restored));
}

#[test]
fn links_are_checked_while_connections_in_use_are_silent() {
    let start = Instant::now();
    let shared = Shared::default();
    let checks = |at: u64| shared.lock().due_checks(start + ms(at)).len();
    assert_eq!(checks(5000), 0, "no connection is in use");
    let first = shared.begin_use(SERVICE, "a", start + ms(5000));
    let second = shared.begin_use(SERVICE, "b", start + ms(5050));
    let third = shared.begin_use(SERVICE, "c", start + ms(5050));
    assert_eq!(checks(5000 + SILENCE_LIMIT.as_millis() as u64 - 1), 0);
    assert_eq!(
        checks(5300),
        2,
        "two links tell a cut from one lost upstream"
    );
    assert_eq!(checks(5400), 0);
    assert_eq!(checks(5600), 2);
    assert_eq!(checks(6100), 0, "checks become rarer");
    first.record_heard(start + ms(6200));
    assert_eq!(checks(6400), 0);
    assert_eq!(
        checks(6500),
        2,
        "a new silence is noticed as soon as the first"
    );
    drop((first, second, third));
    assert_eq!(checks(9000), 0);
}

fn is_dead(shared: &Shared, now: Instant) -> bool {
    shared.lock().dead_services(now).contains(SERVICE)
}

/// Pattern: the host loses its links to the upstreams of one service only.
#[test]
fn links_to_the_upstreams_of_one_service_say_nothing_about_another() {
    let start = Instant::now();
    let mut reach = replay(&[Detour(500, "a"), Detour(600, "b")], start);
    let now = start + ms(700);
    assert!(reach.is_cut_off_from(SERVICE) && !reach.is_cut_off_from("other"));
    assert_eq!(reach.distrusted_since("other", "x", now), None);
    reach.record_connected("other", "x", now);
    reach.record_heard("other", now);
    assert_eq!(reach.lost_services(), [SERVICE]);
    assert!(reach.distrusted_since(SERVICE, "c", now).is_some());
}

#[test]
fn kept_connections_are_dead_only_at_a_host_that_is_cut_off() {
    let start = Instant::now();
    let shared = Shared::default();
    let usage = shared.begin_use(SERVICE, "a", start);
    assert!(!is_dead(&shared, start + ms(400)));
    shared.lock().record_detour(SERVICE, "a", start + ms(400));
    shared.lock().record_detour(SERVICE, "b", start + ms(400));
    assert!(is_dead(&shared, start + ms(400)));
    usage.record_heard(start + ms(500));
    assert!(!is_dead(&shared, start + ms(600)), "they live on");
}

#[test]
fn helpers_are_used_in_turn_and_the_failed_ones_last() {
    let start = Instant::now();
    let shared = Shared::default();
    let helper = |name: &str| Helper {
        host: name.to_owned(),
        address: name.to_owned(),
    };
    let all = ["h1", "h2", "h3"].map(helper);
    shared.lock().set_helpers(&all);
    let first = |at: u64| shared.lock().helpers(start + ms(at))[0].clone();
    assert_eq!(first(0), "h1");
    let _one = shared.begin_detour("h1");
    assert_eq!(first(0), "h2", "h1 has a connection already");
    shared.lock().record_helper_failed("h2", start);
    assert_eq!(first(100), "h3");
    assert_eq!(first(1100), "h2");
    shared.lock().set_helpers(&all[..1]);
    assert_eq!(shared.lock().helpers(start), ["h1"]);
}

/// Hosts of two availability zones.
fn hosts(count: usize) -> Vec<(String, &'static str)> {
    let zones = ["a", "b"].into_iter().cycle();
    let hosts = (0..count).map(|at| format!("host{at}"));
    hosts.zip(zones).collect()
}

fn candidates<'a>(hosts: &'a [(String, &'static str)]) -> Vec<Candidate<'a>> {
    let candidate = |(host, zone): &'a (String, &'static str)| Candidate {
        host,
        zone,
        address: host,
    };
    hosts.iter().map(candidate).collect()
}

#[test]
fn helpers_come_from_both_zones_and_never_are_the_host_itself() {
    let hosts = hosts(12);
    let candidates = candidates(&hosts);
    for (host, zone) in &hosts {
        let helpers = select(host, zone, &candidates);
        assert_eq!(helpers.len(), 4);
        assert!(helpers.iter().all(|helper| helper.host != *host));
        let is_near = |helper: &Helper| {
            let found = hosts.iter().find(|(name, _)| *name == helper.host);
            found.is_some_and(|(_, near)| near == zone)
        };
        let near: Vec<bool> = helpers.iter().map(is_near).collect();
        assert_eq!(near, [true, false, true, false]);
    }
}

/// Pattern: 60 of 100 hosts are cut off together, and each of the other 40 helps a few of them.
#[test]
fn hosts_that_are_cut_off_together_spread_over_the_helpers() {
    let hosts = hosts(100);
    let (cut, able) = hosts.split_at(60);
    let candidates = candidates(able);
    let mut first = std::collections::BTreeMap::new();
    for (host, zone) in cut {
        let helpers = select(host, zone, &candidates);
        *first.entry(helpers[0].host.clone()).or_insert(0) += 1;
    }
    let most = first.values().max().copied();
    assert!(most <= Some(6), "60 hosts over 40 helpers: {first:?}");
}
