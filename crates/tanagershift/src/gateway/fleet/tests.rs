//! Tests of what gateways are sent. The load that they answer: hundreds of hosts before thousands of
//! replicas, which subscribe all at once, read slowly, or change their leader.

use std::time::Duration;

use prost::Message;
use tokio::time::Instant;

use super::{
    backlog::Backlog,
    counts::ToldCounts,
    list::digest,
    message::{ListChanges, SparseCounts},
    receiver::{Bulk, KnownList, ListUpdate, Pacer, Receiver},
};
use crate::{
    gateway::{
        message::{Counts, List, Notice, Residency, Upstream, Watch},
        view::View,
    },
    testing::cases,
};

const REPLICAS: usize = 3000;

fn upstream(name: &str) -> Upstream {
    Upstream {
        name: name.to_owned(),
        instance: name.to_owned(),
        service: "llm".to_owned(),
        address: "10.20.30.40:8000".to_owned(),
        zone: "zone-a".to_owned(),
        slots: 48,
        ..Upstream::default()
    }
}

fn list(number: u64, names: &[&str]) -> List {
    List {
        number,
        upstreams: names.iter().map(|name| upstream(name)).collect(),
    }
}

fn large_list(number: u64) -> List {
    let names = (0..REPLICAS).map(|at| format!("llm-{at:04}-{:08x}", at * 2_654_435));
    List {
        number,
        upstreams: names.map(|name| upstream(&name)).collect(),
    }
}

fn known(list: &List) -> KnownList {
    KnownList {
        number: list.number,
        digest: digest(list.upstreams.iter()),
    }
}

fn watch(list: &List, takes_changes: bool) -> Watch {
    let known = known(list);
    Watch {
        list: known.number,
        list_digest: known.digest,
        takes_changes,
        ..Watch::default()
    }
}

/// A gateway's view after its first notice and a whole list.
fn view_of(list: &List) -> View {
    let mut view = View::new(Duration::from_secs(5));
    view.apply(
        &Notice {
            list: Some(list.clone()),
            hosts: 300,
            is_whole: true,
            list_number: list.number,
            ..Notice::default()
        },
        Instant::now(),
    );
    view
}

fn listed(view: &View) -> Vec<String> {
    let upstreams = view.upstreams_of("llm");
    upstreams.map(|known| known.upstream.name.clone()).collect()
}

fn check_changes(before: &[&str], after: &[&str], changed: usize, removed: usize) {
    let (before, after) = (list(1, before), list(2, after));
    let changes = ListChanges::between(&before, &after);
    assert_eq!(
        (changes.changed.len(), changes.removed.len()),
        (changed, removed)
    );
    let mut view = view_of(&before);
    let notice = Notice {
        list_changes: Some(changes),
        list_number: 2,
        ..Notice::default()
    };
    view.apply(&notice, Instant::now());
    assert_eq!(view.known_list(), known(&after));
    let names = after.upstreams.iter().map(|one| one.name.clone());
    assert_eq!(listed(&view), names.collect::<Vec<_>>());
}

cases! { check_changes {
    nothing_changes: (&["a", "b"], &["a", "b"], 0, 0);
    one_is_added_in_between: (&["a", "c"], &["a", "b", "c"], 1, 0);
    the_first_and_the_last_go: (&["a", "b", "c"], &["b"], 0, 2);
    all_are_replaced: (&["a", "b"], &["c", "d"], 2, 2);
    the_last_one_goes: (&["a"], &[], 0, 1);
}}

fn check_update(
    known_before: Option<&List>,
    before: u64,
    new: &List,
    takes_changes: bool,
    expected: ListUpdate,
) {
    let none = List::default();
    let watch = watch(known_before.unwrap_or(&none), takes_changes);
    let mut receiver = Receiver::new(&watch);
    assert_eq!(receiver.update_list(before, known(new)), expected);
    let waits = expected == ListUpdate::WholeLater;
    assert_eq!(receiver.has_list(new.number), !waits);
    assert_eq!(receiver.due(new.number) == Some(Bulk::List), waits);
}

cases! { check_update {
    the_list_before_is_changed: (
        Some(&list(7, &["a"])), 7, &list(8, &["a", "b"]), true, ListUpdate::Changes
    );
    a_gap_needs_the_whole_list: (
        Some(&list(6, &["a"])), 7, &list(8, &["a", "b"]), true, ListUpdate::WholeLater
    );
    a_new_host_needs_the_whole_list: (
        None, 0, &list(8, &["a"]), true, ListUpdate::WholeLater
    );
    a_new_leader_with_the_same_list_sends_its_number: (
        Some(&list(7, &["a"])), 0, &list(1 << 32, &["a"]), true, ListUpdate::Number { from: 7 }
    );
    a_new_leader_with_another_list_sends_it_whole: (
        Some(&list(7, &["a"])), 0, &list(1 << 32, &["b"]), true, ListUpdate::WholeLater
    );
    an_old_host_gets_every_list_whole: (
        Some(&list(7, &["a"])), 7, &list(8, &["a", "b"]), false, ListUpdate::WholeNow
    );
}}

/// A host on a slow link, or one that stands still, for a minute of changes.
#[test]
fn a_slow_receiver_misses_changes_and_then_gets_the_newest_state_once() {
    let first = list(1, &["a"]);
    let mut receiver = Receiver::new(&watch(&first, true));
    receiver.record_sent(Bulk::Residencies, known(&first));
    receiver.fall_behind();
    for number in 2..100 {
        let update = receiver.update_list(number - 1, known(&list(number, &["a", "b"])));
        assert_eq!(update, ListUpdate::WholeLater);
        assert_eq!(receiver.due(number), None);
    }
    receiver.catch_up();
    let newest = list(99, &["a", "b"]);
    assert_eq!(receiver.due(99), Some(Bulk::List));
    receiver.record_sent(Bulk::List, known(&newest));
    assert_eq!(receiver.due(99), Some(Bulk::Residencies));
    receiver.record_sent(Bulk::Residencies, known(&newest));
    assert_eq!(receiver.due(99), None);
    let update = receiver.update_list(99, known(&list(100, &["b"])));
    assert_eq!(update, ListUpdate::Changes);
}

/// After all hosts were killed, 300 subscribe at once.
#[test]
fn lists_for_hosts_that_subscribe_at_once_are_sent_at_the_bounded_rate() {
    let start = Instant::now();
    let (size, rate) = (100_000, 6e6);
    let mut pacer = Pacer::new(rate, Duration::from_millis(50), start);
    let mut now = start;
    let mut sent = 0;
    while sent < 300 {
        while pacer.is_open(now) && sent < 300 {
            pacer.spend(size, now);
            sent += 1;
        }
        let allowed = rate * (now - start).as_secs_f64() + rate * 0.05;
        assert!((sent * size) as f64 <= allowed + size as f64);
        now = pacer.next.max(now);
    }
    assert!(
        now - start <= Duration::from_millis(5100),
        "{:?}",
        now - start
    );
}

fn counts(list: u64, counts: &[u32]) -> Counts {
    Counts {
        list,
        counts: counts.to_vec(),
    }
}

#[test]
fn gateways_that_subscribe_at_different_times_know_the_same_counts() {
    let list = list(3, &["a", "b", "c", "d"]);
    let mut told = ToldCounts::default();
    told.set_list(&List::default(), &list);
    let (mut early, mut late) = (view_of(&list), view_of(&list));
    let apply = |view: &mut View, open: SparseCounts| {
        let notice = Notice {
            open_changes: Some(open),
            list_number: 3,
            ..Notice::default()
        };
        view.apply(&notice, Instant::now());
    };
    let open = counts(3, &[4, 0, 2, 1]);
    // Room for one change only: the others wait.
    let changes = told.take_changes(&open, |at| at == 2, 4);
    assert_eq!(changes.iter().collect::<Vec<_>>(), [(2, 2)]);
    apply(&mut early, changes);
    apply(&mut late, told.all());
    for open in [open, counts(3, &[0, 0, 9, 1]), counts(3, &[0, 0, 0, 1])] {
        for _ in 0..4 {
            let changes = told.take_changes(&open, |at| at == 2, 4);
            apply(&mut early, changes.clone());
            apply(&mut late, changes);
        }
        let now = Instant::now();
        for (name, count) in ["a", "b", "c", "d"].into_iter().zip(&open.counts) {
            assert_eq!(early.open_requests(name, now).1, *count, "{name}");
            assert_eq!(late.open_requests(name, now).1, *count, "{name}");
        }
    }
}

#[test]
fn counts_for_another_list_are_ignored() {
    let mut view = view_of(&list(3, &["a"]));
    let notice = Notice {
        open_changes: Some(SparseCounts::from(&counts(2, &[5]))),
        ..Notice::default()
    };
    view.apply(&notice, Instant::now());
    assert_eq!(view.open_requests("a", Instant::now()).1, 0);
}

/// While a host waits for the newest list, notices must not confirm the list that it has.
#[test]
fn only_a_notice_that_names_the_list_confirms_it() {
    let mut view = view_of(&list(3, &["a"]));
    let later = crate::clock::now() + Duration::from_secs(10);
    let confirmed_by = |view: &mut View, list_number: u64| {
        let notice = Notice {
            list_number,
            ..Notice::default()
        };
        view.apply(&notice, Instant::now() + Duration::from_secs(20));
        view.has_list_since(later)
    };
    assert!(!confirmed_by(&mut view, 4));
    assert!(!confirmed_by(&mut view, 0));
    assert!(confirmed_by(&mut view, 3));
}

/// Adapters move between replicas faster than hundreds of hosts can be told.
#[test]
fn the_backlog_of_residencies_holds_the_newest_version_of_each_once() {
    let mut backlog = Backlog::default();
    for version in 1..=50 {
        for adapter in 0..10 {
            backlog.add(Residency {
                replica: "llm-1".to_owned(),
                adapter: format!("base/{adapter}"),
                version,
            });
        }
    }
    let first = backlog.take(1);
    assert_eq!(first.len(), 1);
    let rest = backlog.take(usize::MAX);
    assert_eq!(rest.len(), 9);
    assert!(first.iter().chain(&rest).all(|one| one.version == 50));
    assert!(backlog.take(usize::MAX).is_empty());
}

/// The messages of a second at 300 hosts and 3,000 replicas, in the order of docs/design/fleet-messages.md.
#[test]
fn changes_at_the_largest_size_are_small() {
    let before = large_list(1);
    let mut after = before.clone();
    after.number = 2;
    after.upstreams.remove(17);
    after.upstreams[900].draining = true;
    let changes = ListChanges::between(&before, &after);
    assert!(changes.encoded_len() < 250, "{}", changes.encoded_len());
    let whole = Notice {
        list: Some(after),
        ..Notice::default()
    };
    let whole = whole.encode_to_vec();
    let packed = crate::gateway::compression::compress(&whole).unwrap();
    assert!(
        whole.len() > 200_000 && packed.len() < 50_000,
        "{} {}",
        whole.len(),
        packed.len()
    );
    let mut open = vec![0; REPLICAS];
    for at in 0..40 {
        open[at * 70] = 2;
    }
    let tally = SparseCounts::from(&counts(1, &open));
    assert!(tally.encoded_len() < 100, "{}", tally.encoded_len());
    let dense = counts(1, &open).encoded_len();
    assert!(dense > REPLICAS);
}
