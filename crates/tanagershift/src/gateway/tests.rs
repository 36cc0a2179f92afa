//! Unit tests of bodies that arrive, event splitting, compression and patches of configurations, routes, the retry
//! budget and the selection of upstreams.

use std::time::Duration;

use bytes::Bytes;
use tokio::{runtime, time::Instant};

use super::{
    body_buffer::Buffer,
    budget::{self, Holder},
    choose::{Choice, Requirements, choose},
    configuration::{Configuration, ConfigurationError, Limits, Route, RouteKind, Service, Target},
    event_stream::EventSplitter,
    forward::find_route,
    message::{Announcement, Baseline, Counts, List, Notice, Residency, Upstream},
    patch::Patch,
    retry_budget::{self, RetryBudget},
    view::View,
};
use crate::{admission::Origin, testing::cases};

fn check_body(pieces: &[usize], held_elsewhere: usize, is_taken: bool) {
    let runtime = runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(receive_body(pieces, held_elsewhere, is_taken));
}

async fn receive_body(pieces: &[usize], held_elsewhere: usize, is_taken: bool) {
    let memory = budget::Shared::new(32 << 20);
    // Beyond the budget itself, only small bodies are held.
    let mut elsewhere = Vec::new();
    let mut held = 0;
    while held < held_elsewhere {
        let bytes = match held < 32 << 20 {
            true => held_elsewhere.min(32 << 20),
            false => 64 << 10,
        };
        let mut lease = memory.open(Holder::Response, None);
        lease.grow(bytes).await.unwrap();
        elsewhere.push(lease);
        held += bytes;
    }
    let mut buffer = Buffer::new(memory.open(Holder::Response, None));
    let mut expected = Vec::new();
    let mut taken = true;
    for (number, length) in pieces.iter().enumerate() {
        let piece = vec![number as u8; *length];
        taken &= buffer.push(&piece).await.is_ok();
        expected.extend(piece);
    }
    assert_eq!(taken, is_taken);
    if taken {
        assert_eq!(buffer.into_bytes().unwrap(), expected);
    } else {
        drop(buffer);
    }
    assert_eq!(memory.held(Holder::Response), held_elsewhere);
}

cases! { check_body {
    no_piece_is_an_empty_body: (&[], 0, true);
    a_piece_is_kept_whole: (&[800], 0, true);
    pieces_of_all_sizes_are_kept_in_order: (&[1, 0, 70_000, 3, 65_536, 200_000], 0, true);
    a_body_of_the_largest_size_is_kept: (&[16 << 20, 16 << 20], 0, true);
    a_larger_body_is_refused: (&[32 << 20, 1], 0, false);
    a_body_for_which_others_leave_no_room_is_refused: (&[70_000], 32 << 20, false);
    a_small_body_takes_what_is_kept_for_it: (&[800], 32 << 20, true);
    a_small_body_for_which_others_leave_no_room_is_refused: (&[800], 36 << 20, false);
}}

fn check_continued(after: u64, events: &str, is_continued: bool) {
    let mut splitter = EventSplitter::continuing(Some(after));
    let pushed = splitter.push(Bytes::copy_from_slice(events.as_bytes()));
    assert_eq!(pushed.is_ok(), is_continued);
}

cases! { check_continued {
    the_next_event_continues: (2, "id: 3\ndata: a\n\n", true);
    a_later_event_continues: (2, "id: 9\ndata: a\n\n", true);
    the_same_event_does_not_continue: (2, "id: 2\ndata: a\n\n", false);
    an_event_without_id_does_not_continue: (2, "data: a\n\nid: 3\ndata: b\n\n", false);
    an_event_whose_id_is_no_number_does_not_continue: (2, "id: x\ndata: a\n\n", false);
    comments_say_nothing: (2, ": a\n\n", true);
    an_id_after_the_data_counts: (2, "data: a\nid: 3\n\n", true);
    the_first_event_decides: (2, "id: 1\r\ndata: a\r\n\r\nid: 3\r\ndata: b\r\n\r\n", false);
}}

fn check_split(pieces: &[&str], expected: &[&str], last_id: Option<u64>, partial: &str) {
    let mut splitter = EventSplitter::default();
    let events: Vec<Bytes> = pieces
        .iter()
        .map(|piece| {
            splitter
                .push(Bytes::copy_from_slice(piece.as_bytes()))
                .unwrap()
        })
        .collect();
    assert_eq!(events, expected);
    assert_eq!(splitter.last_id(), last_id);
    assert_eq!(splitter.take_partial(), partial);
}

cases! { check_split {
    complete_events_pass_unchanged: (&["id: 1\ndata: a\n\n"], &["id: 1\ndata: a\n\n"], Some(1), "");
    a_partial_event_is_held_back: (
        &["id: 1\nda", "ta: a\n\nid: 2\n"], &["", "id: 1\ndata: a\n\n"], Some(1), "id: 2\n"
    );
    the_last_of_several_ids_is_kept: (
        &["id: 1\n\nid: 2\n\n"], &["id: 1\n\nid: 2\n\n"], Some(2), ""
    );
    an_event_without_id_keeps_the_last_id: (
        &["id: 3\n\n", "data: x\n\n"], &["id: 3\n\n", "data: x\n\n"], Some(3), ""
    );
    crlf_line_ends_are_accepted: (
        &["id: 4\r\ndata: a\r\n\r\nid: 5"], &["id: 4\r\ndata: a\r\n\r\n"], Some(4), "id: 5"
    );
}}

/// A configuration with many routes goes to every gateway at once, so it must be small on the wire.
#[test]
fn a_large_configuration_compresses_well_and_decompresses_unchanged() {
    let route = |n: u32| {
        format!(
            r#"{{"name":"r{n}","host":"h{}.example","kind":"safe"}}"#,
            n * 7
        )
    };
    let text: Vec<String> = (0..350).map(route).collect();
    let text = text.join(",");
    let compressed = super::compression::compress(text.as_bytes()).unwrap();
    assert!(
        compressed.len() * 5 < text.len(),
        "{} of {}",
        compressed.len(),
        text.len()
    );
    assert_eq!(super::compression::decompress(&compressed).unwrap(), text);
    assert!(super::compression::decompress(b"not packed").is_err());
}

fn check_patch(old: &str, new: &str, max_bytes: usize) {
    let patch = Patch::make(1, old.as_bytes(), 2, new.as_bytes()).unwrap();
    assert_eq!(patch.apply(old.as_bytes()).unwrap(), new.as_bytes());
    let size = prost::Message::encoded_len(&patch);
    assert!(size <= max_bytes, "{size} of at most {max_bytes}");
}

/// Text of a configuration with one record for each name. Every record is longer than an encoded
/// `Piece`, so a patch that copies it is smaller than one that inserts it.
fn routes_text(names: &[u32]) -> String {
    let record =
        |name: &u32| format!(r#"{{"name":"r{name}","host":"host{name}.example","kind":"safe"}}"#);
    let records: Vec<String> = names.iter().map(record).collect();
    format!(r#"{{"version":1,"routes":[{}]}}"#, records.join(","))
}

cases! { check_patch {
    an_unchanged_text_is_one_piece: (&routes_text(&[1, 2, 3]), &routes_text(&[1, 2, 3]), 40);
    a_record_is_added_at_the_end: (&routes_text(&[1, 2, 3]), &routes_text(&[1, 2, 3, 4]), 140);
    records_are_removed_and_reordered: (&routes_text(&[1, 2, 3, 4]), &routes_text(&[4, 1, 3]), 140);
    records_are_repeated: (&routes_text(&[1, 1, 2]), &routes_text(&[2, 1, 1, 1, 2, 2]), 140);
    an_empty_text_is_replaced: ("", &routes_text(&[1]), 200);
    a_text_is_emptied: (&routes_text(&[1]), "", 40);
    a_text_without_records_is_replaced: ("abc", "abd", 40);
}}

#[test]
fn a_patch_of_another_text_is_refused() {
    let (old, new) = (routes_text(&[1, 2, 3]), routes_text(&[1, 3]));
    let patch = Patch::make(1, old.as_bytes(), 2, new.as_bytes()).unwrap();
    for other in [routes_text(&[2, 1, 3]), routes_text(&[1, 3]), String::new()] {
        assert!(patch.apply(other.as_bytes()).is_err(), "{other}");
    }
}

/// A change of one route out of 1,500 is sent to 85 gateways over one link, so its patch must be
/// small.
#[test]
fn a_small_change_of_a_large_configuration_is_small_on_the_wire() {
    let mut names: Vec<u32> = (0..1500).collect();
    let old = routes_text(&names);
    names[700] = 9000;
    check_patch(&old, &routes_text(&names), 200);
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
        allows_anonymous: false,
    }
}

fn configuration_of(routes: Vec<Route>) -> Result<Configuration, ConfigurationError> {
    let service = Service {
        name: "desk".to_owned(),
        connections: 10,
        engine: None,
        health_path: None,
    };
    Configuration::new(1, routes, vec![service], Limits::default())
}

#[test]
fn the_longest_prefix_of_the_host_selects_the_route() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let configuration = configuration_of(routes).unwrap();
    let find = |host: &str, path: &str| {
        let route = configuration.route(host, path);
        route.map(|route| route.name.clone())
    };
    assert_eq!(find("host.example", "/a/b/c"), Some("long".to_owned()));
    assert_eq!(find("HOST.example:80", "/a/c"), Some("short".to_owned()));
    assert_eq!(find("host.example", "/a"), None);
    assert_eq!(find("other.example", "/a/b/c"), None);
}

/// A gateway that may not have the newest configuration must not answer 404 for a route that may have
/// been added since.
#[test]
fn an_unknown_route_is_denied_only_by_the_newest_configuration() {
    let configuration = configuration_of(vec![route("a", "/a/")]).unwrap();
    let request = hyper::Request::get("http://host.example/b/x").body(());
    let (head, ()) = request.unwrap().into_parts();
    let status = |is_current| {
        find_route(&configuration, &head, is_current)
            .unwrap_err()
            .status
    };
    assert_eq!(status(true), hyper::StatusCode::NOT_FOUND);
    assert_eq!(status(false), hyper::StatusCode::SERVICE_UNAVAILABLE);
}

fn check_refused(routes: Vec<Route>, expected: &str) {
    let error = configuration_of(routes).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
}

cases! { check_refused {
    two_routes_with_the_same_host_and_prefix: (
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

/// In every time window of the configured length, the retries stay within what the platform allows,
/// even during bursts of requests that all need a retry.
#[test]
fn repeats_stay_within_the_budget_of_every_window() {
    let config = retry_budget::Config {
        ratio: 0.2,
        slack: 12.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(config.clone());
    let start = Instant::now();
    let mut spent: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for step in 0..6000_u64 {
        let at = Duration::from_millis(step * 10);
        // Bursts of requests, each of which needs a retry.
        if step % 1500 < 300 {
            budget.count_request("desk", start + at);
            requests.push(at);
        }
        if budget.try_spend("desk", 3, start + at) {
            spent.push(at);
        }
    }
    for at in &spent {
        let within = |time: &&Duration| **time >= *at && **time < *at + config.window;
        let counted =
            |time: &&Duration| **time + config.window >= *at && **time < *at + config.window;
        let retries = spent.iter().filter(within).count() as f64;
        let requested = requests.iter().filter(counted).count() as f64;
        let allowed = requested * config.ratio + config.slack / 3.0;
        assert!(retries <= allowed, "{retries} of {allowed} at {at:?}");
    }
    assert!(!spent.is_empty());
}

mod upstream_selection {
    //! Selection of upstreams by a gateway without a leader.

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
                residencies: vec![residency("r1", 1), residency("r2", 1)],
                is_snapshot: true,
                ..Notice::default()
            },
            Instant::now(),
        );
        view
    }

    fn residency(replica: &str, version: u64) -> Residency {
        Residency {
            replica: replica.to_owned(),
            adapter: "base/a".to_owned(),
            version,
        }
    }

    fn selected(view: &View, tried: &[String], now: Instant) -> Option<(String, Option<u64>)> {
        let requirements = Requirements {
            software: None,
            service: "llm",
            model: Some("base"),
            adapter: Some("base/a"),
            tried,
            zone: "a",
            has_turn: false,
        };
        match choose(view, &requirements, now) {
            Choice::Send(upstream, version) => Some((upstream.name.clone(), version)),
            Choice::NoReplica
            | Choice::NoUpstream
            | Choice::Paused(_)
            | Choice::Limited(_)
            | Choice::Full => None,
        }
    }

    /// A release: the replica that has announced its leaving in an answer gets nothing new.
    #[test]
    fn a_replica_that_leaves_is_not_selected() {
        let mut view = view();
        let now = Instant::now();
        view.admission.record_leaving("r1", Origin::Answer, now);
        assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
        view.admission.record_leaving("r2", Origin::Answer, now);
        assert_eq!(selected(&view, &[], now), None);
    }

    /// An overload of one replica: the others take its requests during its pause.
    #[test]
    fn a_replica_that_asked_for_a_pause_is_passed_over_until_its_end() {
        let mut view = view();
        let now = Instant::now();
        view.admission
            .record_pause("r1", Duration::from_secs(2), now);
        assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
        let later = now + Duration::from_secs(2);
        assert_eq!(selected(&view, &[], later).unwrap().0, "r1");
    }

    /// An overload of a whole service: the replica whose pause ends first gets the two requests
    /// that it may be sent, and further ones are refused until then.
    #[test]
    fn only_two_requests_go_to_a_service_whose_replicas_all_asked_for_a_pause() {
        let mut view = view();
        let now = Instant::now();
        view.admission
            .record_pause("r1", Duration::from_secs(90), now);
        view.admission
            .record_pause("r2", Duration::from_secs(2), now);
        for _ in 0..2 {
            assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
            view.admission.admit("r2", now).unwrap();
        }
        // The other one, whose pause lasts longer, is next.
        for _ in 0..2 {
            assert_eq!(selected(&view, &[], now).unwrap().0, "r1");
            view.admission.admit("r1", now).unwrap();
        }
        let requirements = Requirements {
            software: None,
            service: "llm",
            model: Some("base"),
            adapter: Some("base/a"),
            tried: &[],
            zone: "a",
            has_turn: false,
        };
        let choice = choose(&view, &requirements, now);
        let end = now + Duration::from_secs(2);
        assert!(
            matches!(choice, Choice::Paused(until) if until == end),
            "{choice:?}"
        );
        assert_eq!(selected(&view, &[], end).unwrap().0, "r2");
    }

    /// An unreadable entry hides a leaving replica from one reading of the list.
    #[test]
    fn a_departure_outlasts_a_gap_in_the_list() {
        let mut view = view();
        let now = Instant::now();
        view.admission.record_leaving("r1", Origin::Answer, now);
        for (number, names) in [(2, &["r2"][..]), (3, &["r1", "r2"])] {
            let upstreams = names.iter().map(|name| upstream(name, "a")).collect();
            view.apply_list(&List { number, upstreams }, now, now);
        }
        let residencies = vec![residency("r1", 1)];
        view.apply(
            &Notice {
                residencies,
                ..Notice::default()
            },
            now,
        );
        assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
    }

    #[test]
    fn a_replica_in_the_gateways_zone_is_preferred_unless_it_is_busier() {
        let mut view = view();
        let now = Instant::now();
        assert_eq!(selected(&view, &[], now), Some(("r1".to_owned(), Some(1))));
        view.count_opened("r1", false);
        assert_eq!(selected(&view, &[], now), Some(("r2".to_owned(), Some(1))));
    }

    #[test]
    fn a_replica_is_avoided_for_a_while_after_two_failures() {
        let mut view = view();
        let now = Instant::now();
        view.record_failure("r1", now);
        assert_eq!(selected(&view, &[], now).unwrap().0, "r1");
        view.record_failure("r1", now);
        assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
        let later = now + Duration::from_secs(5);
        assert_eq!(selected(&view, &[], later).unwrap().0, "r1");
    }

    #[test]
    fn an_adapter_missing_on_a_replica_is_reported_and_the_replica_avoided() {
        let mut view = view();
        let now = Instant::now();
        view.record_missing("r1", "base/a", now);
        assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
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
        assert_eq!(selected(&view, &[], now).unwrap().1, Some(1));
        // A request may wait in its replica's queue for up to three latency objectives of one second
        // each. One that is sent after 2.5 seconds might begin to run only after the bound of five.
        assert_eq!(
            selected(&view, &[], now + Duration::from_millis(2500)),
            None
        );
        let notice = Notice {
            residencies: vec![residency("r2", 2)],
            ..Notice::default()
        };
        view.apply(&notice, now);
        assert_eq!(selected(&view, &[], now), Some(("r2".to_owned(), Some(2))));
    }

    #[test]
    fn open_requests_of_other_gateways_count_as_load() {
        let mut view = view();
        let now = Instant::now();
        view.count_opened("r2", false);
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
        assert_eq!(selected(&view, &[], now).unwrap().0, "r2");
    }

    fn check_software(
        listed: &[&str],
        baseline: Option<&str>,
        begins: Option<&str>,
        taken_up: Option<&str>,
        may_be_recorded: bool,
    ) {
        let entry = |(number, software): (usize, &&str)| Upstream {
            software: (*software).to_owned(),
            ..upstream(&format!("r{number}"), "a")
        };
        let list = List {
            number: 1,
            upstreams: listed.iter().enumerate().map(entry).collect(),
        };
        let baselines = baseline.into_iter().map(|software| Baseline {
            service: "llm".to_owned(),
            software: software.to_owned(),
        });
        let mut view = View::new(Duration::from_secs(5));
        let notice = Notice {
            list: Some(list),
            baselines: baselines.collect(),
            ..Notice::default()
        };
        view.apply(&notice, Instant::now());
        assert_eq!(view.begin_software("llm").as_deref(), begins);
        assert_eq!(view.take_up_software("llm").as_deref(), taken_up);
        assert_eq!(view.has_other_software("llm"), may_be_recorded);
    }

    // What a gateway may do with a stream without a leader.
    cases! { check_software {
        one_version_serves: (&["v1", "v1"], Some("v1"), Some("v1"), Some("v1"), false);
        two_versions_serve: (&["v1", "v2"], Some("v1"), Some("v1"), None, true);
        the_baseline_has_left: (&["v2"], Some("v1"), Some("v2"), None, true);
        two_versions_serve_after_the_baseline: (&["v2", "v3"], Some("v1"), None, None, true);
        no_baseline_is_known: (&["v1"], None, Some("v1"), None, true);
        no_replica_is_listed: (&[], Some("v1"), None, Some("v1"), false);
    }}

    fn check_run(list_at_ms: Option<u64>, opened_at_ms: u64, expected: bool) {
        let began = Instant::now();
        let mut view = View::new(Duration::from_secs(5));
        if let Some(at) = list_at_ms {
            let list = List {
                number: 1,
                upstreams: Vec::new(),
            };
            view.apply_list(&list, began, began);
            view.apply(&Notice::default(), began + Duration::from_millis(at));
        }
        let opened_at = began + Duration::from_millis(opened_at_ms);
        assert_eq!(view.confirms_run(opened_at), expected);
    }

    cases! { check_run {
        a_connection_from_before_the_last_notice_leads_to_the_listed_run: (Some(2000), 500, true);
        a_connection_from_shortly_after_it_does_too: (Some(2000), 2900, true);
        a_later_one_may_lead_to_a_run_that_is_not_listed_yet: (Some(2000), 3100, false);
        without_a_list_no_run_is_known: (None, 0, false);
    }}
}
