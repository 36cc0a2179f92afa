//! Tests of the placement under different request patterns, with fake replicas and a simulated
//! clock.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use super::{Action, Config, FIRST_VERSION, LOAD_REQUEST_TTL, MIN_PLAN_INTERVAL, Placement, State};
use crate::gateway::{
    configuration::{Configuration, Engine, Limits, Model, Service},
    dialect::{Operation, OrderOutcome, Report},
    message::{self, Announcement, Demand, Upstream},
};

/// Step of the simulated clock.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// Duration of a load from the fake store while it is not congested.
pub(super) const LOAD_TIME: Duration = Duration::from_millis(250);

/// Replicas that execute orders as the interface of the engines specifies.
#[derive(Debug, Default)]
pub(super) struct FakeEngines {
    /// Accepted orders by replica.
    accepted: BTreeMap<String, u64>,
    /// Loads in progress by replica and adapter, with the remaining time.
    pub(super) loading: BTreeMap<(String, String), Duration>,
    /// Versions of the loaded adapters by replica and adapter.
    pub(super) loaded: BTreeMap<(String, String), u64>,
    /// Replicas and adapters on which requests run.
    pub(super) in_use: Vec<(String, String)>,
    /// By replica, the adapter whose unload was accepted and waits for running requests to end.
    pub(super) blocked_unloads: BTreeMap<String, String>,
    pub(super) orders: Vec<Action>,
    peak_loading: usize,
    /// Adapters that load ten times as fast because the replicas still have them in memory.
    pub(super) cached: Vec<String>,
    /// Number of concurrent loads up to which the store is not congested; zero for no limit.
    pub(super) uncongested_loads: usize,
    /// Orders of a hundred that get no answer and are carried out seconds later.
    pub(super) unanswered_percent: usize,
    /// A replica that answers no order.
    pub(super) silent: Option<String>,
    /// Orders that are carried out late, with the time.
    pub(super) late: Vec<(Instant, Action)>,
    /// Loads that late orders have begun.
    pub(super) late_loads: usize,
}

/// Time after which an order without an answer is given up, as on the leader's host.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// Times after which orders without an answer are carried out, in turn.
const LATE_SECONDS: [u64; 5] = [2, 7, 4, 12, 9];

pub(super) struct Simulation {
    pub(super) placement: Placement,
    pub(super) engines: FakeEngines,
    pub(super) now: Instant,
    /// Delay before the leader handles the answer to an order, as on a busy leader.
    pub(super) answer_delay: Duration,
    delayed_answers: VecDeque<(Instant, String, u64, OrderOutcome)>,
}

fn upstream(name: &str, models: &[&str]) -> Upstream {
    Upstream {
        name: name.to_owned(),
        instance: name.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "a".to_owned(),
        slots: 64,
        models: models
            .iter()
            .map(|name| message::Model {
                name: (*name).to_owned(),
                ..message::Model::default()
            })
            .collect(),
        ..Upstream::default()
    }
}

fn configuration(slots_per_replica: usize) -> Configuration {
    let model = Model {
        name: "base".to_owned(),
        weights_mb: 1000.0,
        adapter_mb: 10.0,
    };
    let engine = Engine {
        slots: 64,
        kv_tokens: 100_000,
        adapter_slots: slots_per_replica,
        weight_memory_mb: 5000.0,
        models: vec![model],
        loads_per_second: 4.0,
    };
    let service = Service {
        name: "llm".to_owned(),
        connections: 100,
        engine: Some(engine),
        health_path: None,
    };
    Configuration::new(1, Vec::new(), vec![service], Limits::default()).unwrap()
}

impl Simulation {
    pub(super) fn new(replicas: usize, slots_per_replica: usize) -> Self {
        let now = Instant::now();
        let mut placement = Placement::new(Config::default());
        placement.configure(&configuration(slots_per_replica), now);
        let list: Vec<Upstream> = (0..replicas)
            .map(|number| upstream(&format!("r{number:02}"), &["base"]))
            .collect();
        placement.set_upstreams(&list, now);
        Self {
            placement,
            engines: FakeEngines::default(),
            now,
            answer_delay: Duration::ZERO,
            delayed_answers: VecDeque::new(),
        }
    }

    pub(super) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    pub(super) fn step(&mut self) {
        let now = self.now;
        self.engines.advance_loads();
        let answers = std::mem::take(&mut self.delayed_answers);
        let (due, later): (VecDeque<_>, _) = answers.into_iter().partition(|(at, ..)| now >= *at);
        self.delayed_answers = later;
        for (_, replica, number, outcome) in due {
            self.placement
                .handle_order_outcome(&replica, number, outcome, now);
        }
        self.execute_late();
        for action in self.placement.tick(true, now) {
            self.execute(action);
        }
    }

    /// Carries out the orders that are due late. Their answers are lost.
    fn execute_late(&mut self) {
        let late = std::mem::take(&mut self.engines.late);
        let now = self.now;
        let (due, later): (Vec<_>, _) = late.into_iter().partition(|(at, _)| now >= *at);
        self.engines.late = later;
        for (_, action) in due {
            if let Action::Order {
                replica,
                operation,
                adapter,
                expect,
                ..
            } = action
            {
                let before = self.engines.loading.len();
                self.engines.order(&replica, operation, &adapter, expect);
                self.engines.late_loads += self.engines.loading.len() - before;
            }
        }
    }

    /// Whether an order gets no answer. If so, it is carried out late.
    fn delays(&mut self, action: &Action) -> bool {
        let Action::Order {
            replica, number, ..
        } = action
        else {
            return false;
        };
        let count = self.engines.orders.len();
        let is_late = scatter(count) % 100 < self.engines.unanswered_percent;
        if !is_late && self.engines.silent.as_ref() != Some(replica) {
            return false;
        }
        let delay = Duration::from_secs(LATE_SECONDS[scatter(count) / 100 % LATE_SECONDS.len()]);
        self.engines.late.push((self.now + delay, action.clone()));
        let answer = (
            self.now + ORDER_TIMEOUT,
            replica.clone(),
            *number,
            OrderOutcome::Unknown,
        );
        self.delayed_answers.push_back(answer);
        true
    }

    fn execute(&mut self, action: Action) {
        let now = self.now;
        if self.delays(&action) {
            self.engines.orders.push(action);
            return;
        }
        match &action {
            Action::Report { replica } => {
                let report = self.engines.report(replica);
                self.placement.handle_report(replica, Some(&report), now);
            }
            Action::Order {
                replica,
                number,
                operation,
                adapter,
                expect,
                ..
            } => {
                let outcome = self.engines.order(replica, *operation, adapter, *expect);
                self.engines.orders.push(action.clone());
                match self.answer_delay.is_zero() {
                    true => self
                        .placement
                        .handle_order_outcome(replica, *number, outcome, now),
                    false => {
                        let answer = (now + self.answer_delay, replica.clone(), *number, outcome);
                        self.delayed_answers.push_back(answer);
                    }
                }
            }
        }
    }

    pub(super) fn record_requests(&mut self, adapter: &str, requests: u32) {
        let demand = Demand {
            adapter: adapter.to_owned(),
            requests,
            waiting: 0,
        };
        self.placement.record_demand(&[demand], self.now);
    }

    pub(super) fn replica_count(&self, adapter: &str) -> usize {
        self.placement.usable(adapter, self.now).len()
    }
}

/// Number that looks random, the same for each count.
fn scatter(count: usize) -> usize {
    count.wrapping_mul(2_654_435_761) % 1_000_003
}

impl FakeEngines {
    /// Advances all loads by one step. A congested store divides its throughput among the loads.
    fn advance_loads(&mut self) {
        self.peak_loading = self.peak_loading.max(self.loading.len());
        let slowdown = match self.uncongested_loads {
            0 => 1.0,
            limit => (self.loading.len() as f64 / limit as f64).max(1.0),
        };
        for remaining in self.loading.values_mut() {
            *remaining = remaining.saturating_sub(STEP.div_f64(slowdown));
        }
        let done = self
            .loading
            .iter()
            .filter(|(_, remaining)| remaining.is_zero());
        let done: Vec<_> = done.map(|(key, _)| key.clone()).collect();
        for key in done {
            self.loading.remove(&key);
            self.loaded.insert(key, FIRST_VERSION);
        }
    }

    fn report(&self, replica: &str) -> Report {
        let on_replica = self.loaded.iter().filter(|((name, _), _)| name == replica);
        let announcement = |((_, adapter), version): (&(String, String), &u64)| Announcement {
            adapter: adapter.clone(),
            version: *version,
        };
        let all: Vec<Announcement> = on_replica.map(announcement).collect();
        let (adapters, mut models): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|one| one.adapter.contains('/'));
        // Replicas start with the base model, except those whose name begins with `empty`.
        if models.is_empty() && !replica.starts_with("empty") {
            models.push(Announcement {
                adapter: "base".to_owned(),
                version: FIRST_VERSION,
            });
        }
        Report {
            accepted: self.accepted.get(replica).copied().unwrap_or(0),
            adapters,
            models: models.into_iter().map(|one| one.adapter).collect(),
            ..Report::default()
        }
    }

    fn order(
        &mut self,
        replica: &str,
        operation: Operation,
        adapter: &str,
        expect: u64,
    ) -> OrderOutcome {
        let accepted = self.accepted.entry(replica.to_owned()).or_default();
        let key = (replica.to_owned(), adapter.to_owned());
        match operation {
            Operation::Load if self.loaded.contains_key(&key) => OrderOutcome::Holds,
            Operation::Load if self.loading.contains_key(&key) => OrderOutcome::Accepted,
            Operation::Unload if self.blocked_unloads.get(replica) == Some(&key.1) => {
                if !self.in_use.contains(&key) {
                    self.blocked_unloads.remove(replica);
                    self.loaded.remove(&key);
                    return OrderOutcome::Holds;
                }
                OrderOutcome::Accepted
            }
            _ if expect != *accepted => OrderOutcome::Conflict,
            Operation::Load if self.blocked_unloads.contains_key(replica) => OrderOutcome::Conflict,
            Operation::Load => {
                *accepted += 1;
                let fast = self.cached.contains(&key.1);
                let time = if fast { LOAD_TIME / 10 } else { LOAD_TIME };
                self.loading.insert(key, time);
                OrderOutcome::Accepted
            }
            Operation::Unload if self.blocked_unloads.contains_key(replica) => {
                OrderOutcome::Conflict
            }
            Operation::Unload if self.in_use.contains(&key) => {
                self.blocked_unloads.insert(replica.to_owned(), key.1);
                *accepted += 1;
                OrderOutcome::Accepted
            }
            Operation::Unload => {
                *accepted += 1;
                self.loaded.remove(&key);
                OrderOutcome::Holds
            }
        }
    }
}

/// One request asks for an adapter that no replica has.
#[test]
fn a_requested_adapter_is_loaded_once_without_delay() {
    let mut sim = Simulation::new(6, 8);
    sim.run(Duration::from_millis(100));
    sim.record_requests("base/a1", 1);
    sim.placement.request_load("base/a1", 1, sim.now);
    sim.run(Duration::from_millis(400));
    assert_eq!(sim.replica_count("base/a1"), 1);
    let loads = sim
        .engines
        .loaded
        .keys()
        .filter(|(_, one)| one == "base/a1");
    assert_eq!(loads.count(), 1);
}

/// Requests for many rare adapters arrive at once, and their callers give up before most of the
/// adapters could be loaded. No more loads may be planned than the store handles.
#[test]
fn rare_adapters_at_once_take_no_more_than_the_store_carries() {
    let mut sim = Simulation::new(6, 8);
    sim.run(Duration::from_millis(100));
    for number in 0..200 {
        sim.placement
            .request_load(&format!("base/rare{number}"), 1, sim.now);
    }
    sim.run(Duration::from_millis(250));
    let summary = sim.placement.summary(sim.now);
    let limit = Config::default().initial_load_limit;
    assert!(summary.loading <= limit + 1, "{summary:?}");
    assert!(summary.planned <= limit / 2, "{summary:?}");
    // The load requests are not repeated. The only loads are those planned before the requests
    // expire: as many as the store handles in that time, and the few that are planned ahead.
    sim.run(Duration::from_millis(1500));
    assert_eq!(sim.placement.summary(sim.now).wanted, 0);
    let rounds = LOAD_REQUEST_TTL.as_millis().div_ceil(LOAD_TIME.as_millis()) as usize;
    let most = rounds * (limit + limit / 4);
    let loaded = sim.engines.loaded.len();
    assert!(loaded <= most, "{loaded} of at most {most}");
}

/// An adapter with a steady high request rate must be loaded on several replicas.
#[test]
fn a_hot_adapter_gets_more_replicas() {
    let mut sim = Simulation::new(6, 8);
    sim.run(Duration::from_millis(100));
    sim.placement.request_load("base/hot", 1, sim.now);
    for _ in 0..300 {
        sim.record_requests("base/hot", 1);
        sim.run(STEP);
    }
    assert!(
        sim.replica_count("base/hot") >= 3,
        "{}",
        sim.replica_count("base/hot")
    );
}

/// Demand moves to another adapter while every slot but those kept free is taken.
#[test]
fn a_shift_of_demand_evicts_the_least_requested_adapters() {
    let mut sim = Simulation::new(1, 8);
    sim.run(Duration::from_millis(100));
    // Fills all slots except those that are kept free.
    let full = 8 - Config::default().min_free_slots as u32;
    for number in 0..full {
        let adapter = format!("base/a{number}");
        sim.record_requests(&adapter, 10 - number);
        sim.placement.request_load(&adapter, 1, sim.now);
        sim.run(Duration::from_millis(400));
    }
    sim.run(Duration::from_secs(2));
    sim.record_requests("base/new", 5);
    sim.placement.request_load("base/new", 1, sim.now);
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.replica_count("base/new"), 1);
    assert_eq!(
        sim.replica_count("base/a0"),
        1,
        "the adapter with the most requests stays"
    );
    let least_requested =
        [full - 2, full - 1].map(|number| sim.replica_count(&format!("base/a{number}")));
    assert!(least_requested.iter().sum::<usize>() < 2);
}

/// The adapter with the fewest requests has one running, while another adapter has none running.
#[test]
fn an_idle_adapter_is_evicted_before_one_in_use() {
    let mut sim = Simulation::new(1, 4);
    sim.run(Duration::from_millis(100));
    for (adapter, requests) in [("base/used", 1), ("base/idle", 5)] {
        sim.record_requests(adapter, requests);
        sim.placement.request_load(adapter, 1, sim.now);
        sim.run(Duration::from_millis(400));
    }
    sim.placement.count_use("r00", "base/used", true);
    sim.engines
        .in_use
        .push(("r00".to_owned(), "base/used".to_owned()));
    sim.run(Duration::from_secs(2));
    for adapter in ["base/x", "base/y"] {
        sim.record_requests(adapter, 20);
        sim.placement.request_load(adapter, 1, sim.now);
        sim.run(Duration::from_secs(2));
    }
    assert_eq!(sim.replica_count("base/used"), 1);
    assert_eq!(sim.replica_count("base/idle"), 0);
}

/// A replica crashes and restarts without a base model.
#[test]
fn a_replica_that_restarts_empty_gets_its_base_model_again() {
    let mut sim = Simulation::new(2, 8);
    let mut list: Vec<Upstream> = (0..2)
        .map(|number| upstream(&format!("r{number:02}"), &["base"]))
        .collect();
    list.push(upstream("empty", &[]));
    sim.placement.set_upstreams(&list, sim.now);
    sim.run(Duration::from_secs(3));
    let replica = &sim.placement.replicas()["empty"];
    assert!(replica.holds("base"), "{:?}", replica.slots);
    assert_eq!(replica.capacity, 8);
}

/// A replica unloads an idle adapter before it answers. The answer is `Holds`, but the order counts
/// as accepted.
#[test]
fn an_unload_that_completes_at_once_counts_as_an_accepted_order() {
    let mut sim = Simulation::new(1, 4);
    sim.run(Duration::from_millis(100));
    for number in 0..12 {
        let adapter = format!("base/a{number}");
        sim.record_requests(&adapter, 1);
        sim.placement.request_load(&adapter, 1, sim.now);
        sim.run(Duration::from_secs(3));
    }
    let accepted = sim.engines.accepted["r00"];
    let replica = &sim.placement.replicas()["r00"];
    assert_eq!(replica.accepted_orders, Some(accepted));
}

/// A new version of a loaded adapter is announced. It must replace the older one on every replica
/// within the grace period.
#[test]
fn an_announced_version_replaces_the_older_one_within_its_bound() {
    let mut sim = Simulation::new(3, 8);
    sim.run(Duration::from_millis(100));
    sim.placement.request_load("base/a1", 1, sim.now);
    sim.run(Duration::from_millis(500));
    sim.placement.announce("base/a1", 2, sim.now);
    assert_eq!(
        sim.replica_count("base/a1"),
        1,
        "the older version serves until the new one is loaded"
    );
    for _ in 0..300 {
        sim.record_requests("base/a1", 1);
        if sim.replica_count("base/a1") == 0 {
            sim.placement.request_load("base/a1", 1, sim.now);
        }
        sim.run(STEP);
    }
    let now = sim.now + Config::default().version_grace;
    for (_, version) in sim.placement.usable("base/a1", now) {
        assert!(version >= 2);
    }
    let loads = sim.engines.orders.iter().filter(|order| {
        matches!(order, Action::Order { operation: Operation::Load, adapter, version: Some(2), .. }
            if adapter == "base/a1")
    });
    assert!(
        loads.count() > 0,
        "the new version is ordered by its number"
    );
}

/// A new leader requests reports from the replicas at once, but sends orders only when it is
/// allowed to.
#[test]
fn reports_are_asked_for_before_orders_are_allowed() {
    let now = Instant::now();
    let mut placement = Placement::new(Config::default());
    placement.configure(&configuration(4), now);
    placement.set_upstreams(&[upstream("r", &["base"])], now);
    placement.request_load("base/a1", 1, now);
    let actions = placement.tick(false, now);
    assert!(
        matches!(&actions[..], [Action::Report { .. }]),
        "{actions:?}"
    );
    let report = Report {
        models: vec!["base".to_owned()],
        adapters: vec![Announcement {
            adapter: "base/a2".to_owned(),
            version: 1,
        }],
        ..Report::default()
    };
    placement.handle_report("r", Some(&report), now);
    assert_eq!(placement.usable("base/a2", now).len(), 1);
    assert!(placement.tick(false, now).is_empty());
    assert_eq!(placement.tick(true, now).len(), 1);
}

/// Many adapters are requested one after another. No replica may get a load without a free slot,
/// nor more concurrent loads than the limit.
#[test]
fn places_are_never_exceeded() {
    let mut sim = Simulation::new(2, 5);
    sim.run(Duration::from_millis(100));
    for number in 0..60 {
        sim.placement
            .request_load(&format!("base/a{number}"), 1, sim.now);
        sim.record_requests(&format!("base/a{number}"), 1);
        sim.run(Duration::from_millis(70));
        for name in ["r00", "r01"] {
            let on_replica = |(replica, _): &&(String, String)| replica == name;
            let loaded = sim.engines.loaded.keys().filter(on_replica).count();
            let loading = sim.engines.loading.keys().filter(on_replica).count();
            assert!(loaded + loading <= 5, "{loaded} {loading}");
        }
    }
    assert!(sim.engines.peak_loading <= 2 * Config::default().max_loads_per_replica);
}

/// If a replica doesn't answer an order, the slot stays taken and the order is repeated with the
/// same expected count of accepted orders.
#[test]
fn an_unanswered_order_is_repeated_and_its_place_stays_taken() {
    let now = Instant::now();
    let mut placement = Placement::new(Config::default());
    placement.configure(&configuration(2), now);
    placement.set_upstreams(&[upstream("r", &["base"])], now);
    let report = Report {
        models: vec!["base".to_owned()],
        ..Report::default()
    };
    placement.tick(true, now);
    placement.handle_report("r", Some(&report), now);
    // A planning pass has just run, and the next one is delayed by the minimum interval.
    let now = now + MIN_PLAN_INTERVAL;
    placement.request_load("base/a1", 1, now);
    let first = order(&mut placement, now);
    placement.handle_order_outcome("r", first.0, OrderOutcome::Unknown, now);
    assert_eq!(placement.replicas()["r"].free_slots(), 1);
    let second = order(&mut placement, now + STEP);
    assert_eq!(
        (first.1, second.1),
        (0, 0),
        "expected count of accepted orders"
    );
    assert_eq!(
        placement.replicas()["r"].slots["base/a1"].state,
        State::Planned
    );
}

/// Returns the number of the only action, which must be an order, and its expected count of
/// accepted orders.
fn order(placement: &mut Placement, now: Instant) -> (u64, u64) {
    let actions = placement.tick(true, now);
    match &actions[..] {
        [Action::Order { number, expect, .. }] => (*number, *expect),
        other => panic!("{other:?}"),
    }
}

/// Crash of a share of the replicas: the platform's list shows them for seconds, but a check has found
/// that they accept no connections.
#[test]
fn adapters_of_gone_replicas_are_loaded_elsewhere_at_once() {
    let mut simulation = Simulation::new(4, 8);
    let adapters: Vec<String> = (0..12).map(|number| format!("base/a{number}")).collect();
    let request = |simulation: &mut Simulation| {
        for adapter in &adapters {
            let now = simulation.now;
            simulation.placement.request_load(adapter, 1, now);
        }
    };
    for _ in 0..200 {
        request(&mut simulation);
        simulation.step();
        simulation.now += STEP;
    }
    let gone = simulation.placement.usable(&adapters[0], simulation.now)[0].0;
    let gone = gone.upstream.name.clone();
    let crashed_at = simulation.now;
    let until = crashed_at + Duration::from_secs(10);
    simulation.placement.set_gone(&gone, Some(until));
    for _ in 0..100 {
        request(&mut simulation);
        simulation.step();
        simulation.now += STEP;
    }
    for adapter in &adapters {
        let usable = simulation.placement.usable(adapter, simulation.now);
        assert!(!usable.is_empty(), "{adapter} after one second");
        assert!(
            usable
                .iter()
                .all(|(replica, _)| replica.upstream.name != gone)
        );
    }
    simulation.placement.set_gone(&gone, None);
    let holders = simulation.placement.holders("base", simulation.now);
    assert_eq!(holders.count(), 4, "it was only out of reach");
}
