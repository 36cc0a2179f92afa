//! Decisions of the gateway in their smallest cases.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    budget::{self, Budget},
    choose::{Choice, Need, choose},
    configuration::{Configuration, ConfigurationError, Limits, Route, RouteKind, Service, Target},
    event_stream::Splitter,
    forward::find_route,
    message::{Announcement, Counts, List, Notice, Residency, Upstream},
    patch::Patch,
    view::View,
};
use crate::testing::cases;

fn split(pieces: &[&str], expected: &[&str], last: Option<u64>, rest: &str) {
    let mut splitter = Splitter::default();
    let events: Vec<Bytes> = pieces
        .iter()
        .map(|piece| splitter.push(Bytes::copy_from_slice(piece.as_bytes())))
        .collect();
    assert_eq!(events, expected);
    assert_eq!(splitter.last(), last);
    assert_eq!(splitter.rest(), rest);
}

cases! { split {
    whole_events_pass_as_they_are: (&["id: 1\ndata: a\n\n"], &["id: 1\ndata: a\n\n"], Some(1), "");
    an_event_in_two_pieces_waits: (
        &["id: 1\nda", "ta: a\n\nid: 2\n"], &["", "id: 1\ndata: a\n\n"], Some(1), "id: 2\n"
    );
    the_last_of_several_ids_counts: (
        &["id: 1\n\nid: 2\n\n"], &["id: 1\n\nid: 2\n\n"], Some(2), ""
    );
    an_event_without_id_keeps_the_last: (
        &["id: 3\n\n", "data: x\n\n"], &["id: 3\n\n", "data: x\n\n"], Some(3), ""
    );
    carriage_returns_end_events_too: (
        &["id: 4\r\ndata: a\r\n\r\nid: 5"], &["id: 4\r\ndata: a\r\n\r\n"], Some(4), "id: 5"
    );
}}

/// Pattern: a configuration with many routes goes to every gateway at once.
#[test]
fn a_large_configuration_is_sent_small_and_comes_back_whole() {
    let route = |n: u32| {
        format!(
            r#"{{"name":"r{n}","host":"h{}.example","kind":"safe"}}"#,
            n * 7
        )
    };
    let text: Vec<String> = (0..350).map(route).collect();
    let text = text.join(",");
    let packed = super::document::pack(text.as_bytes()).unwrap();
    assert!(
        packed.len() * 5 < text.len(),
        "{} of {}",
        packed.len(),
        text.len()
    );
    assert_eq!(super::document::unpack(&packed).unwrap(), text);
    assert!(super::document::unpack(b"not packed").is_err());
}

fn patched(old: &str, new: &str, most: usize) {
    let patch = Patch::make(1, old.as_bytes(), 2, new.as_bytes()).unwrap();
    assert_eq!(patch.apply(old.as_bytes()).unwrap(), new.as_bytes());
    let size = prost::Message::encoded_len(&patch);
    assert!(size <= most, "{size} of at most {most}");
}

/// A list of records; every one is longer than a patch's piece.
fn listed(names: &[u32]) -> String {
    let record =
        |name: &u32| format!(r#"{{"name":"r{name}","host":"host{name}.example","kind":"safe"}}"#);
    let records: Vec<String> = names.iter().map(record).collect();
    format!(r#"{{"version":1,"routes":[{}]}}"#, records.join(","))
}

cases! { patched {
    the_same_text_is_one_piece: (&listed(&[1, 2, 3]), &listed(&[1, 2, 3]), 40);
    a_record_may_be_added_at_the_end: (&listed(&[1, 2, 3]), &listed(&[1, 2, 3, 4]), 140);
    records_may_go_and_change_places: (&listed(&[1, 2, 3, 4]), &listed(&[4, 1, 3]), 140);
    records_may_repeat: (&listed(&[1, 1, 2]), &listed(&[2, 1, 1, 1, 2, 2]), 140);
    a_first_text_is_inserted_whole: ("", &listed(&[1]), 200);
    a_text_may_be_emptied: (&listed(&[1]), "", 40);
    a_text_without_records_is_inserted: ("abc", "abd", 40);
}}

#[test]
fn a_patch_is_refused_by_another_text() {
    let (old, new) = (listed(&[1, 2, 3]), listed(&[1, 3]));
    let patch = Patch::make(1, old.as_bytes(), 2, new.as_bytes()).unwrap();
    for other in [listed(&[2, 1, 3]), listed(&[1, 3]), String::new()] {
        assert!(patch.apply(other.as_bytes()).is_err(), "{other}");
    }
}

/// Pattern: a configuration of 1,500 routes changes in one of them, and again, while 85 gateways are
/// told over one link.
#[test]
fn a_small_change_of_a_large_configuration_is_small_on_the_wire() {
    let mut names: Vec<u32> = (0..1500).collect();
    let old = listed(&names);
    names[700] = 9000;
    patched(&old, &listed(&names), 200);
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        targets: vec![Target {
            service: "desk".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        resumable: false,
        max_event_gap: None,
    }
}

fn configure(routes: Vec<Route>) -> Result<Configuration, ConfigurationError> {
    let service = Service {
        name: "desk".to_owned(),
        connections: 10,
        engine: None,
    };
    Configuration::new(1, routes, vec![service], Limits::default())
}

#[test]
fn the_longest_prefix_of_the_host_selects_the_route() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let configuration = configure(routes).unwrap();
    let find = |host: &str, path: &str| {
        let route = configuration.route(host, path);
        route.map(|route| route.name.clone())
    };
    assert_eq!(find("host.example", "/a/b/c"), Some("long".to_owned()));
    assert_eq!(find("HOST.example:80", "/a/c"), Some("short".to_owned()));
    assert_eq!(find("host.example", "/a"), None);
    assert_eq!(find("other.example", "/a/b/c"), None);
}

/// A gateway that has not heard of the newest configuration must not deny that a route is there.
#[test]
fn an_unknown_route_is_denied_only_by_the_newest_configuration() {
    let configuration = configure(vec![route("a", "/a/")]).unwrap();
    let request = hyper::Request::get("http://host.example/b/x").body(());
    let (head, ()) = request.unwrap().into_parts();
    let status = |current| {
        find_route(&configuration, &head, current)
            .unwrap_err()
            .status
    };
    assert_eq!(status(true), hyper::StatusCode::NOT_FOUND);
    assert_eq!(status(false), hyper::StatusCode::SERVICE_UNAVAILABLE);
}

fn refused(routes: Vec<Route>, expected: &str) {
    let error = configure(routes).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
}

cases! { refused {
    two_routes_at_one_place: (
        vec![route("one", "/a/"), route("two", "/a/")], "same host and prefix"
    );
    an_unknown_service: (
        vec![Route { targets: vec![Target { service: "none".to_owned(), weight: 1 }],
            ..route("one", "/a/") }],
        "unknown service"
    );
    weights_that_add_up_to_zero: (
        vec![Route { targets: vec![Target { service: "desk".to_owned(), weight: 0 }],
            ..route("one", "/a/") }],
        "add up to zero"
    );
    a_timeout_of_zero: (
        vec![Route { timeout: Duration::ZERO, ..route("one", "/a/") }], "timeout"
    );
    a_prefix_without_slashes: (vec![route("one", "a")], "slash");
}}

/// No window of the platform's length sees more repeats than it allows, whatever the requests do.
#[test]
fn repeats_stay_within_the_budget_of_every_window() {
    let config = budget::Config {
        ratio: 0.2,
        slack: 12.0,
        window: Duration::from_secs(10),
    };
    let mut budget = Budget::new(config.clone());
    let start = Instant::now();
    let mut spent: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for step in 0..6000_u64 {
        let at = Duration::from_millis(step * 10);
        // Retry abuse: bursts of requests of which each wants to be repeated.
        if step % 1500 < 300 {
            budget.request("desk", start + at);
            requests.push(at);
        }
        if budget.spend("desk", 3, start + at) {
            spent.push(at);
        }
    }
    for at in &spent {
        let within = |time: &&Duration| **time >= *at && **time < *at + config.window;
        let before =
            |time: &&Duration| **time + config.window >= *at && **time < *at + config.window;
        let repeats = spent.iter().filter(within).count() as f64;
        let asked = requests.iter().filter(before).count() as f64;
        let allowed = asked * config.ratio + config.slack / 3.0;
        assert!(repeats <= allowed, "{repeats} of {allowed} at {at:?}");
    }
    assert!(!spent.is_empty());
}

mod choosing {
    //! What a gateway decides by itself while there is no leader.

    use super::*;

    fn upstream(name: &str, zone: &str) -> Upstream {
        Upstream {
            name: name.to_owned(),
            instance: name.to_owned(),
            service: "llm".to_owned(),
            zone: zone.to_owned(),
            slots: 10,
            ..Upstream::default()
        }
    }

    fn view() -> View {
        let mut view = View::new(Duration::from_secs(5));
        let list = List {
            number: 1,
            upstreams: vec![upstream("r1", "a"), upstream("r2", "b")],
        };
        view.apply(
            &Notice {
                list: Some(list),
                residencies: vec![place("r1", 1), place("r2", 1)],
                is_snapshot: true,
                ..Notice::default()
            },
            Instant::now(),
        );
        view
    }

    fn place(replica: &str, version: u64) -> Residency {
        Residency {
            replica: replica.to_owned(),
            adapter: "base/a".to_owned(),
            version,
        }
    }

    fn pick(view: &View, tried: &[String], now: Instant) -> Option<(String, Option<u64>)> {
        let need = Need {
            service: "llm",
            model: Some("base"),
            adapter: Some("base/a"),
            tried,
            zone: "a",
        };
        match choose(view, &need, now) {
            Choice::Send(upstream, version) => Some((upstream.name.clone(), version)),
            Choice::Absent | Choice::Nobody => None,
        }
    }

    #[test]
    fn the_least_busy_replica_of_the_own_zone_comes_first() {
        let mut view = view();
        let now = Instant::now();
        assert_eq!(pick(&view, &[], now), Some(("r1".to_owned(), Some(1))));
        view.count_opened("r1");
        assert_eq!(pick(&view, &[], now), Some(("r2".to_owned(), Some(1))));
    }

    #[test]
    fn a_replica_that_fails_again_and_again_is_avoided_for_a_while() {
        let mut view = view();
        let now = Instant::now();
        view.record_failure("r1", now);
        assert_eq!(pick(&view, &[], now).unwrap().0, "r1");
        view.record_failure("r1", now);
        assert_eq!(pick(&view, &[], now).unwrap().0, "r2");
        let later = now + Duration::from_secs(5);
        assert_eq!(pick(&view, &[], later).unwrap().0, "r1");
    }

    #[test]
    fn a_place_that_a_replica_denied_is_told_and_avoided() {
        let mut view = view();
        let now = Instant::now();
        view.record_missing("r1", "base/a", now);
        assert_eq!(pick(&view, &[], now).unwrap().0, "r2");
        assert_eq!(view.take_missing().len(), 1);
    }

    #[test]
    fn an_older_version_serves_only_until_the_bound_nears() {
        let mut view = view();
        let now = Instant::now();
        let notice = Notice {
            announced: vec![Announcement {
                adapter: "base/a".to_owned(),
                version: 2,
            }],
            ..Notice::default()
        };
        view.apply(&notice, now);
        assert_eq!(pick(&view, &[], now).unwrap().1, Some(1));
        // A request that is sent may wait at its replica for most of three objectives of a second.
        assert_eq!(pick(&view, &[], now + Duration::from_millis(2500)), None);
        let notice = Notice {
            residencies: vec![place("r2", 2)],
            ..Notice::default()
        };
        view.apply(&notice, now);
        assert_eq!(pick(&view, &[], now), Some(("r2".to_owned(), Some(2))));
    }

    #[test]
    fn open_requests_of_other_gateways_count() {
        let mut view = view();
        let now = Instant::now();
        view.count_opened("r2");
        view.report_open();
        let open = Counts {
            list: 1,
            counts: vec![5, 1],
        };
        let notice = Notice {
            open: Some(open),
            ..Notice::default()
        };
        view.apply(&notice, now);
        assert_eq!(pick(&view, &[], now).unwrap().0, "r2");
    }
}
