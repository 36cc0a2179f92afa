//! Tests of the replica state machine under random events, and of the answer checks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    Config,
    answer::{Check, Stream},
    replica::{Action, LoadFailure, Reason, Replica, Request, Target, Ticket, parse_name},
};
use crate::testing::{cases, for_seeds};

fn config() -> Config {
    Config {
        slots: 3,
        batch: 4,
        queue: 40,
        ..Config::default()
    }
}

fn target(number: u64) -> Target {
    Target {
        adapter: format!("a{number}"),
        version: 1,
    }
}

fn request(ticket: Ticket, adapter: u64, deadline: Instant) -> Request {
    Request {
        ticket,
        target: target(adapter),
        deadline,
        priority: 0,
    }
}

/// Simulates the engine, the leader's permits and the callers, and checks every action of the
/// replica against their state.
struct Simulation {
    random: SmallRng,
    now: Instant,
    replica: Replica,
    lease_end: Instant,
    loaded: BTreeSet<String>,
    /// Loads in progress by adapter name, with the time when they end.
    loading: BTreeMap<String, (Target, Instant)>,
    /// Requests on the engine with their adapter name and the time when they end.
    running: BTreeMap<Ticket, (String, Instant)>,
    waiting: BTreeMap<Ticket, Target>,
    answered: BTreeSet<Ticket>,
    /// Permit requests without an answer yet.
    permit_requests: usize,
    /// Number of the last permit that was granted.
    last_permit: u64,
    /// Granted permits that are neither released nor used up.
    open_permits: usize,
    next_ticket: Ticket,
    dispatched: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let lease_end = now + Duration::from_secs(5);
        Self {
            random: SmallRng::seed_from_u64(seed),
            now,
            replica: Replica::new(config(), 7, lease_end, seed),
            lease_end,
            loaded: BTreeSet::new(),
            loading: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            answered: BTreeSet::new(),
            permit_requests: 0,
            last_permit: 0,
            open_permits: 0,
            next_ticket: 1,
            dispatched: 0,
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, name, .. } => self.dispatch(ticket, name),
                Action::Load {
                    target,
                    name,
                    evict,
                    ..
                } => self.load(target, name, evict),
                Action::AskPermit { .. } => self.permit_requests += 1,
                Action::ReleasePermit { .. } => self.open_permits -= 1,
                Action::Refuse { ticket, .. } => {
                    assert!(
                        self.waiting.remove(&ticket).is_some(),
                        "{ticket} was not waiting"
                    );
                    assert!(self.answered.insert(ticket), "{ticket} is answered twice");
                }
            }
        }
    }

    fn dispatch(&mut self, ticket: Ticket, name: String) {
        assert!(
            self.now < self.lease_end,
            "a request is sent without a lease"
        );
        assert!(self.loaded.contains(&name), "{name} is not loaded");
        let target = self
            .waiting
            .remove(&ticket)
            .expect("only queued requests are dispatched");
        assert_eq!(
            parse_name(&name),
            Some(target),
            "another adapter or version"
        );
        let time = Duration::from_millis(self.random.random_range(50..1500));
        self.running.insert(ticket, (name, self.now + time));
        assert!(
            self.running.len() <= config().batch,
            "the batch size is exceeded"
        );
        self.dispatched += 1;
    }

    fn load(&mut self, target: Target, name: String, evict: Option<String>) {
        assert!(
            self.now < self.lease_end,
            "an order is sent without a lease"
        );
        if let Some(evicted) = evict {
            let in_use = self.running.values().any(|(name, _)| *name == evicted);
            assert!(!in_use, "{evicted} is unloaded while it is in use");
            assert!(self.loaded.remove(&evicted), "{evicted} was not loaded");
        }
        let count = self.loaded.len() + self.loading.len();
        assert!(count < config().slots, "no slot is free");
        let time = Duration::from_millis(self.random.random_range(100..900));
        self.loading.insert(name, (target, self.now + time));
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(20);
        if self.now < self.lease_end && self.random.random_bool(0.2) {
            self.lease_end = self.now + Duration::from_millis(self.random.random_range(400..3000));
            self.replica.renew(self.lease_end);
            // A renewal never shortens the lease, so the end may differ from the one just drawn.
            self.lease_end = self.replica.lease_end();
        }
        if self.random.random_bool(0.3) {
            self.submit();
        }
        self.end_requests();
        self.end_loads();
        self.answer_permit_request();
        if self.random.random_bool(0.02) {
            self.cancel();
        }
        if self.random.random_bool(0.004) {
            self.restart_engine();
        }
        let actions = self.replica.tick(self.now);
        self.execute(actions);
    }

    fn submit(&mut self) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        // The product of two draws makes a few adapters far more frequent than the others.
        let adapter = self.random.random_range(0..3) * self.random.random_range(0..4);
        let deadline = self.now + Duration::from_millis(self.random.random_range(10..8000));
        let priority = self.random.random_range(-1..2);
        self.waiting.insert(ticket, target(adapter));
        let request = Request {
            priority,
            ..request(ticket, adapter, deadline)
        };
        let actions = self.replica.submit(request, self.now);
        self.execute(actions);
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let due: Vec<Ticket> = self
            .running
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let (name, _) = self.running.remove(&ticket).unwrap();
            let lost = !self.loaded.contains(&name);
            assert!(self.answered.insert(ticket), "{ticket} is answered twice");
            let actions = self.replica.request_finished(ticket, lost, now);
            self.execute(actions);
        }
    }

    fn end_loads(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .loading
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let (target, _) = self.loading.remove(&name).unwrap();
            self.open_permits -= 1;
            let outcome = match self.random.random_range(0..20) {
                0 => Err(LoadFailure::Refused),
                1 => Err(LoadFailure::Unreachable),
                _ => {
                    self.loaded.insert(name);
                    Ok(Duration::from_millis(300))
                }
            };
            let actions = self.replica.load_finished(&target, outcome, now);
            self.execute(actions);
        }
    }

    /// Answers a pending permit request in some of the steps, usually with a permit.
    fn answer_permit_request(&mut self) {
        if self.permit_requests == 0 || !self.random.random_bool(0.3) {
            return;
        }
        self.permit_requests -= 1;
        let permit = self.random.random_bool(0.9).then(|| {
            self.last_permit += 1;
            self.open_permits += 1;
            self.last_permit
        });
        let actions = self.replica.permit_answered(permit, self.now);
        self.execute(actions);
    }

    fn cancel(&mut self) {
        let Some(ticket) = self.waiting.keys().next().copied() else {
            return;
        };
        assert!(
            self.replica.cancel(ticket),
            "a queued request can be cancelled"
        );
        self.waiting.remove(&ticket);
        self.answered.insert(ticket);
    }

    /// Restarts the engine: it loses its adapters, and the running requests fail.
    fn restart_engine(&mut self) {
        self.loaded.clear();
        let tickets: Vec<Ticket> = self.running.keys().copied().collect();
        for ticket in tickets {
            self.running.remove(&ticket);
            self.answered.insert(ticket);
            let actions = self.replica.request_finished(ticket, true, self.now);
            // The restarted engine does not know the adapters of newly dispatched requests.
            self.fail_dispatches(actions);
        }
        let names: Vec<String> = self.loaded.iter().cloned().collect();
        self.replica.reconcile(&names, self.now);
    }

    /// Carries out actions, except that each dispatched request ends at once because the engine has
    /// lost its adapter.
    fn fail_dispatches(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, .. } => {
                    self.waiting.remove(&ticket);
                    self.answered.insert(ticket);
                    let more = self.replica.request_finished(ticket, true, self.now);
                    self.fail_dispatches(more);
                }
                other => self.execute(vec![other]),
            }
        }
    }
}

#[test]
fn no_unload_under_use_no_order_without_a_lease_and_one_answer_each() {
    for_seeds(250, |seed| {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1500 {
            simulation.step();
        }
        assert!(
            simulation.dispatched > 5,
            "{} requests ran",
            simulation.dispatched
        );
        // Without new requests every request and load ends, with or without a lease.
        simulation.now += Duration::from_secs(20);
        for _ in 0..200 {
            simulation.now += Duration::from_millis(100);
            simulation.end_requests();
            simulation.end_loads();
            let actions = simulation.replica.tick(simulation.now);
            simulation.execute(actions);
        }
        assert!(
            simulation.waiting.is_empty(),
            "{} requests are never answered",
            simulation.waiting.len()
        );
        assert_eq!(
            simulation.answered.len() as u64,
            simulation.next_ticket - 1,
            "each request is answered once"
        );
        assert!(
            simulation.replica.is_idle(),
            "a request or a load order is left open"
        );
    });
}

struct Fixture {
    now: Instant,
    replica: Replica,
}

fn fixture() -> Fixture {
    let now = Instant::now();
    let lease_end = now + Duration::from_secs(3600);
    Fixture {
        now,
        replica: Replica::new(config(), 7, lease_end, 1),
    }
}

impl Fixture {
    fn submit(&mut self, ticket: Ticket, adapter: u64) -> Vec<Action> {
        let deadline = self.now + Duration::from_secs(60);
        self.replica
            .submit(request(ticket, adapter, deadline), self.now)
    }

    /// Submits a request for an adapter that is not loaded, and loads the adapter.
    fn load(&mut self, ticket: Ticket, adapter: u64) -> Vec<Action> {
        self.submit(ticket, adapter);
        let actions = self.replica.permit_answered(Some(ticket), self.now);
        assert!(
            matches!(&actions[0], Action::Load { target: loaded, .. } if *loaded == target(adapter))
        );
        self.replica
            .load_finished(&target(adapter), Ok(Duration::from_millis(250)), self.now)
    }
}

#[test]
fn with_every_slot_pinned_nothing_is_unloaded() {
    let mut fixture = fixture();
    for adapter in 0..3 {
        let actions = fixture.load(adapter, adapter);
        assert!(matches!(actions[0], Action::Dispatch { .. }));
    }
    assert_eq!(
        fixture.submit(9, 9),
        [],
        "no permit is requested while nothing can be evicted"
    );
    let actions = fixture.replica.request_finished(1, false, fixture.now);
    assert!(
        matches!(actions[..], [Action::AskPermit { .. }]),
        "{actions:?}"
    );
    let actions = fixture.replica.permit_answered(Some(50), fixture.now);
    let Action::Load { evict, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!(
        evict.as_deref(),
        Some("a1@1#7.2"),
        "the adapter that is not in use is evicted"
    );
}

#[test]
fn a_request_that_races_an_unload_waits_for_a_new_load() {
    let mut fixture = fixture();
    for adapter in 0..3 {
        fixture.load(adapter, adapter);
    }
    fixture.replica.request_finished(1, false, fixture.now);
    fixture.submit(9, 9);
    fixture.replica.permit_answered(Some(50), fixture.now);
    // The unload of a1 is in flight; a new request for a1 must not run on the old copy.
    let actions = fixture.submit(10, 1);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Dispatch { .. })),
        "{actions:?}"
    );
}

#[test]
fn a_version_that_does_not_load_is_refused_for_a_while_and_stalls_nobody() {
    let mut fixture = fixture();
    fixture.load(1, 1);
    fixture.replica.request_finished(1, false, fixture.now);
    fixture.submit(2, 2);
    let mut refused = Vec::new();
    for attempt in 0..3 {
        let actions = fixture.replica.permit_answered(Some(attempt), fixture.now);
        assert!(matches!(actions[0], Action::Load { .. }), "{actions:?}");
        refused = fixture
            .replica
            .load_finished(&target(2), Err(LoadFailure::Refused), fixture.now);
        fixture.now += Duration::from_secs(2);
        fixture.replica.tick(fixture.now);
    }
    assert!(
        matches!(
            refused[0],
            Action::Refuse {
                reason: Reason::Unloadable,
                ..
            }
        ),
        "{refused:?}"
    );
    let actions = fixture.submit(3, 2);
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: Reason::Unloadable,
            ..
        }]
    ));
    let actions = fixture.submit(4, 1);
    assert!(
        matches!(actions[..], [Action::Dispatch { ticket: 4, .. }]),
        "requests for another adapter still run"
    );
    fixture.now += Duration::from_secs(60);
    fixture.replica.tick(fixture.now);
    let actions = fixture.submit(5, 2);
    assert!(
        matches!(actions[..], [Action::AskPermit { .. }]),
        "the load is tried again: {actions:?}"
    );
}

#[test]
fn two_versions_of_one_adapter_are_two_things() {
    let mut fixture = fixture();
    fixture.load(1, 1);
    let other = Target {
        version: 2,
        ..target(1)
    };
    let request = Request {
        target: other.clone(),
        ..request(2, 1, fixture.now + Duration::from_secs(9))
    };
    let actions = fixture.replica.submit(request, fixture.now);
    assert!(
        matches!(actions[..], [Action::AskPermit { .. }]),
        "{actions:?}"
    );
    fixture.replica.permit_answered(Some(1), fixture.now);
    let actions = fixture
        .replica
        .load_finished(&other, Ok(Duration::ZERO), fixture.now);
    let Action::Dispatch { name, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!(name, "a1@2#7.2");
}

/// Checks what a new holder does with adapters that the engine already has: whether requests use
/// them, and whether they are evicted at once to make room.
fn check_existing_adapters(usable: bool, idle: bool, is_used: bool, makes_room: bool) {
    let mut fixture = fixture();
    for adapter in 0..3 {
        fixture
            .replica
            .register_existing(&format!("a{adapter}@1#3.1"), usable, idle, fixture.now);
    }
    let actions = fixture.submit(1, 1);
    let uses = matches!(&actions[..], [Action::Dispatch { name, .. }] if name == "a1@1#3.1");
    assert_eq!(uses, is_used, "{actions:?}");
    fixture.submit(2, 9);
    let actions = fixture.replica.permit_answered(Some(1), fixture.now);
    let evicts = matches!(&actions[..], [Action::Load { evict: Some(_), .. }, ..]);
    assert_eq!(evicts, makes_room, "{actions:?}");
    fixture.now += Duration::from_secs(61);
    fixture.submit(3, 8);
    let later = fixture.replica.permit_answered(Some(2), fixture.now);
    assert!(
        matches!(&later[..], [Action::Load { evict: Some(_), .. }, ..]),
        "no request of the old holder can run any more: {later:?}"
    );
}

cases! {
    check_existing_adapters {
        given_back_copies_are_used_and_make_room: (true, true, true, true);
        copies_on_a_fencing_engine_are_used_and_kept: (true, false, true, false);
        copies_on_an_engine_without_fencing_are_neither_used_nor_evicted: (false, false, false, false);
    }
}

#[test]
fn a_load_report_frees_idle_copies_of_the_old_holder() {
    let mut fixture = fixture();
    for adapter in 0..3 {
        fixture
            .replica
            .register_existing(&format!("a{adapter}@1#3.1"), false, false, fixture.now);
    }
    fixture.submit(1, 9);
    assert!(fixture.replica.has_earlier_requests(fixture.now));
    fixture
        .replica
        .apply_load_report(&["a0@1#3.1".to_owned()], fixture.now);
    fixture.replica.tick(fixture.now);
    let actions = fixture.replica.permit_answered(Some(1), fixture.now);
    let Action::Load { evict, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!(evict.as_deref(), Some("a1@1#3.1"), "a0 is busy and stays");
}

#[test]
fn without_a_lease_everything_that_waits_is_refused() {
    let now = Instant::now();
    let mut replica = Replica::new(config(), 7, now + Duration::from_secs(1), 1);
    replica.submit(request(1, 1, now + Duration::from_secs(60)), now);
    let later = now + Duration::from_secs(1);
    let actions = replica.tick(later);
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            ticket: 1,
            reason: Reason::LeaseEnded,
            ..
        }]
    ));
    assert_eq!(
        replica.permit_answered(Some(1), later),
        [Action::ReleasePermit { permit: 1 }]
    );
}

fn check_rewrite(json: &str, expected: Result<&str, &str>) {
    let mut check = Check::new("a@1#7.1".to_owned(), "plan \"x\"".to_owned());
    check.rewrite(br#"{"id":"c1","model":"a@1#7.1"}"#).unwrap();
    match (check.rewrite(json.as_bytes()), expected) {
        (Ok(bytes), Ok(text)) => assert_eq!(bytes, text.as_bytes()),
        (Err(error), Err(text)) => assert!(error.to_string().contains(text), "{error}"),
        (got, _) => panic!("{got:?}"),
    }
}

cases! {
    check_rewrite {
        own_answer_passes_with_the_callers_name: (
            r#"{"id":"c1", "model" : "a@1#7.1" ,"x":[{"model":"y"}]}"#,
            Ok(r#"{"id":"c1", "model" : "plan \"x\"" ,"x":[{"model":"y"}]}"#));
        other_model_is_stopped: (r#"{"id":"c1","model":"b@1#7.1"}"#, Err("answered in place of"));
        other_version_is_stopped: (r#"{"id":"c1","model":"a@2#7.1"}"#, Err("answered in place of"));
        other_completion_is_stopped: (r#"{"id":"c2","model":"a@1#7.1"}"#, Err("is mixed into"));
        missing_model_is_stopped: (r#"{"id":"c1"}"#, Err("`model` is missing"));
        doubled_model_is_stopped: (
            r#"{"id":"c1","model":"a@1#7.1","model":"b"}"#, Err("given twice"));
        half_an_answer_is_stopped: (r#"{"id":"c1","model":"a@1#"#, Err("not an answer"));
    }
}

#[test]
fn a_stream_is_checked_however_it_is_split() {
    let whole = "data: {\"id\":\"c\",\"model\":\"n\",\"t\":1}\n\n\
                 data: {\"id\":\"c\",\"model\":\"n\",\"t\":2}\r\n\r\ndata: [DONE]\n\n";
    let expected = "data: {\"id\":\"c\",\"model\":\"m\",\"t\":1}\n\n\
                    data: {\"id\":\"c\",\"model\":\"m\",\"t\":2}\n\ndata: [DONE]\n\n";
    for split in 0..whole.len() {
        let mut stream = Stream::new(Check::new("n".to_owned(), "m".to_owned()));
        let (first, second) = whole.as_bytes().split_at(split);
        let mut got = stream.push(first).unwrap().to_vec();
        got.extend_from_slice(&stream.push(second).unwrap());
        stream.finish().unwrap();
        assert_eq!(got, expected.as_bytes(), "split at {split}");
    }
}

#[test]
fn a_cut_stream_is_never_whole() {
    let whole = "data: {\"id\":\"c\",\"model\":\"n\"}\n\ndata: [DONE]\n\n";
    for length in 0..whole.len() {
        let mut stream = Stream::new(Check::new("n".to_owned(), "m".to_owned()));
        stream.push(&whole.as_bytes()[..length]).unwrap();
        assert!(stream.finish().is_err(), "cut at {length}");
    }
}
