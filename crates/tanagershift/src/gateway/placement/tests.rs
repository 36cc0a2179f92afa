//! Load patterns that the placement answers, under a clock that the tests move.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use super::{Action, Config, FIRST_VERSION, PLAN_PAUSE, Placement, State, WANT_LIFE};
use crate::gateway::{
    configuration::{Configuration, Engine, Limits, Model, Service},
    dialect::{Operation, Ordered, Report},
    message::{self, Announcement, Demand, Upstream},
};

/// One step of time.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// Time of a load from the store of the fake replicas, while the store is at full speed.
pub(super) const LOAD: Duration = Duration::from_millis(250);

/// A replica that carries out orders as the published interface says.
#[derive(Debug, Default)]
pub(super) struct Engines {
    accepted: BTreeMap<String, u64>,
    /// Adapters on their way, with the part of the load that is left.
    pub(super) loading: BTreeMap<(String, String), Duration>,
    pub(super) loaded: BTreeMap<(String, String), u64>,
    /// Adapters on which requests run.
    pub(super) used: Vec<(String, String)>,
    /// Adapter whose unload a replica has accepted and that requests still use.
    pub(super) waits: BTreeMap<String, String>,
    pub(super) orders: Vec<Action>,
    most_in_transit: usize,
    /// Adapters that load ten times as fast, since the replicas still have them.
    pub(super) kept: Vec<String>,
    /// Loads at once up to which the store is at full speed; zero for any number.
    pub(super) full_speed: usize,
}

pub(super) struct World {
    pub(super) placement: Placement,
    pub(super) engines: Engines,
    pub(super) now: Instant,
    /// Time by which a busy leader takes an answer up late.
    pub(super) lag: Duration,
    answers: VecDeque<(Instant, String, u64, Ordered)>,
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

fn configuration(places: usize) -> Configuration {
    let model = Model {
        name: "base".to_owned(),
        weights_mb: 1000.0,
        adapter_mb: 10.0,
    };
    let engine = Engine {
        slots: 64,
        kv_tokens: 100_000,
        adapter_slots: places,
        weight_memory_mb: 5000.0,
        models: vec![model],
        loads_per_second: 4.0,
    };
    let service = Service {
        name: "llm".to_owned(),
        connections: 100,
        engine: Some(engine),
    };
    Configuration::new(1, Vec::new(), vec![service], Limits::default()).unwrap()
}

impl World {
    pub(super) fn new(replicas: usize, places: usize) -> Self {
        let now = Instant::now();
        let mut placement = Placement::new(Config::default());
        placement.configure(&configuration(places), now);
        let list: Vec<Upstream> = (0..replicas)
            .map(|number| upstream(&format!("r{number:02}"), &["base"]))
            .collect();
        placement.list(&list, now);
        Self {
            placement,
            engines: Engines::default(),
            now,
            lag: Duration::ZERO,
            answers: VecDeque::new(),
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
        self.engines.load();
        while let Some((at, ..)) = self.answers.front()
            && now >= *at
            && let Some((_, replica, number, outcome)) = self.answers.pop_front()
        {
            self.placement.ordered(&replica, number, outcome, now);
        }
        for action in self.placement.tick(true, now) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.now;
        match &action {
            Action::Report { replica } => {
                let report = self.engines.report(replica);
                self.placement.reported(replica, Some(&report), now);
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
                match self.lag.is_zero() {
                    true => self.placement.ordered(replica, *number, outcome, now),
                    false => {
                        let answer = (now + self.lag, replica.clone(), *number, outcome);
                        self.answers.push_back(answer);
                    }
                }
            }
        }
    }

    pub(super) fn ask(&mut self, adapter: &str, came: u32) {
        let demand = Demand {
            adapter: adapter.to_owned(),
            requests: came,
            waiting: 0,
        };
        self.placement.demand(&[demand], self.now);
    }

    pub(super) fn homes(&self, adapter: &str) -> usize {
        self.placement.usable(adapter, self.now).len()
    }
}

impl Engines {
    /// Lets one step pass; beyond its full speed the store shares what it carries.
    fn load(&mut self) {
        self.most_in_transit = self.most_in_transit.max(self.loading.len());
        let crowd = match self.full_speed {
            0 => 1.0,
            full => (self.loading.len() as f64 / full as f64).max(1.0),
        };
        for left in self.loading.values_mut() {
            *left = left.saturating_sub(STEP.div_f64(crowd));
        }
        let done = self.loading.iter().filter(|(_, left)| left.is_zero());
        let done: Vec<_> = done.map(|(key, _)| key.clone()).collect();
        for key in done {
            self.loading.remove(&key);
            self.loaded.insert(key, FIRST_VERSION);
        }
    }

    fn report(&self, replica: &str) -> Report {
        let mine = self.loaded.iter().filter(|((name, _), _)| name == replica);
        let announcement = |((_, adapter), version): (&(String, String), &u64)| Announcement {
            adapter: adapter.clone(),
            version: *version,
        };
        let all: Vec<Announcement> = mine.map(announcement).collect();
        let (adapters, mut models): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|one| one.adapter.contains('/'));
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
    ) -> Ordered {
        let accepted = self.accepted.entry(replica.to_owned()).or_default();
        let key = (replica.to_owned(), adapter.to_owned());
        match operation {
            Operation::Load if self.loaded.contains_key(&key) => Ordered::Holds,
            Operation::Load if self.loading.contains_key(&key) => Ordered::Accepted,
            Operation::Unload if self.waits.get(replica) == Some(&key.1) => {
                if !self.used.contains(&key) {
                    self.waits.remove(replica);
                    self.loaded.remove(&key);
                    return Ordered::Holds;
                }
                Ordered::Accepted
            }
            _ if expect != *accepted => Ordered::Conflict,
            Operation::Load if self.waits.contains_key(replica) => Ordered::Conflict,
            Operation::Load => {
                *accepted += 1;
                let fast = self.kept.contains(&key.1);
                let time = if fast { LOAD / 10 } else { LOAD };
                self.loading.insert(key, time);
                Ordered::Accepted
            }
            Operation::Unload if self.waits.contains_key(replica) => Ordered::Conflict,
            Operation::Unload if self.used.contains(&key) => {
                self.waits.insert(replica.to_owned(), key.1);
                *accepted += 1;
                Ordered::Accepted
            }
            Operation::Unload => {
                *accepted += 1;
                self.loaded.remove(&key);
                Ordered::Holds
            }
        }
    }
}

/// Pattern: one request for an adapter that no replica has.
#[test]
fn a_wanted_adapter_is_loaded_once_and_at_once() {
    let mut world = World::new(6, 8);
    world.run(Duration::from_millis(100));
    world.ask("base/a1", 1);
    world.placement.want("base/a1", 1, world.now);
    world.run(Duration::from_millis(400));
    assert_eq!(world.homes("base/a1"), 1);
    let loads = world
        .engines
        .loaded
        .keys()
        .filter(|(_, one)| one == "base/a1");
    assert_eq!(loads.count(), 1);
}

/// Pattern: rare adapters asked for at once, whose callers give up before their turn comes.
#[test]
fn rare_adapters_at_once_take_no_more_than_the_store_carries() {
    let mut world = World::new(6, 8);
    world.run(Duration::from_millis(100));
    for number in 0..200 {
        world
            .placement
            .want(&format!("base/rare{number}"), 1, world.now);
    }
    world.run(Duration::from_millis(250));
    let summary = world.placement.summary();
    let limit = Config::default().store_transit;
    assert!(summary.loading <= limit + 1, "{summary:?}");
    assert!(summary.planned <= limit / 2, "{summary:?}");
    // Nobody repeats the wants, so no more is loaded for them than is decided before they lapse: what
    // the store takes in that time, and the few that follow at once.
    world.run(Duration::from_millis(1500));
    assert_eq!(world.placement.summary().wanted, 0);
    let rounds = WANT_LIFE.as_millis().div_ceil(LOAD.as_millis()) as usize;
    let most = rounds * (limit + limit / 4);
    let loaded = world.engines.loaded.len();
    assert!(loaded <= most, "{loaded} of at most {most}");
}

/// Pattern: an adapter with many requests beside many with few.
#[test]
fn a_hot_adapter_gets_more_replicas() {
    let mut world = World::new(6, 8);
    world.run(Duration::from_millis(100));
    world.placement.want("base/hot", 1, world.now);
    for _ in 0..300 {
        world.ask("base/hot", 1);
        world.run(STEP);
    }
    assert!(world.homes("base/hot") >= 3, "{}", world.homes("base/hot"));
}

/// Pattern: demand moves on to other adapters, and every place is taken.
#[test]
fn a_shift_of_demand_gives_up_what_is_asked_for_least() {
    let mut world = World::new(1, 8);
    world.run(Duration::from_millis(100));
    // As many as there is room for beside the places that are kept free.
    let full = 8 - Config::default().spare as u32;
    for number in 0..full {
        let adapter = format!("base/a{number}");
        world.ask(&adapter, 10 - number);
        world.placement.want(&adapter, 1, world.now);
        world.run(Duration::from_millis(400));
    }
    world.run(Duration::from_secs(2));
    world.ask("base/new", 5);
    world.placement.want("base/new", 1, world.now);
    world.run(Duration::from_secs(3));
    assert_eq!(world.homes("base/new"), 1);
    assert_eq!(world.homes("base/a0"), 1, "the hottest stays");
    let coldest = [full - 2, full - 1].map(|number| world.homes(&format!("base/a{number}")));
    assert!(coldest.iter().sum::<usize>() < 2);
}

/// Pattern: the least wanted adapter has requests running, another has none.
#[test]
fn an_unused_adapter_is_given_up_before_a_used_one() {
    let mut world = World::new(1, 4);
    world.run(Duration::from_millis(100));
    for (adapter, came) in [("base/used", 1), ("base/idle", 5)] {
        world.ask(adapter, came);
        world.placement.want(adapter, 1, world.now);
        world.run(Duration::from_millis(400));
    }
    world.placement.count_use("r00", "base/used", true);
    world
        .engines
        .used
        .push(("r00".to_owned(), "base/used".to_owned()));
    world.run(Duration::from_secs(2));
    for adapter in ["base/x", "base/y"] {
        world.ask(adapter, 20);
        world.placement.want(adapter, 1, world.now);
        world.run(Duration::from_secs(2));
    }
    assert_eq!(world.homes("base/used"), 1);
    assert_eq!(world.homes("base/idle"), 0);
}

/// Pattern: replicas crash and restart empty.
#[test]
fn a_replica_that_restarts_empty_gets_its_base_model_again() {
    let mut world = World::new(2, 8);
    let mut list: Vec<Upstream> = (0..2)
        .map(|number| upstream(&format!("r{number:02}"), &["base"]))
        .collect();
    list.push(upstream("empty", &[]));
    world.placement.list(&list, world.now);
    world.run(Duration::from_secs(3));
    let replica = &world.placement.replicas()["empty"];
    assert!(replica.holds("base"), "{:?}", replica.slots);
    assert_eq!(replica.capacity, 8);
}

/// An idle adapter is unloaded before the answer, which says 'holds' and still counts.
#[test]
fn an_unload_that_holds_at_once_counts_as_an_order() {
    let mut world = World::new(1, 4);
    world.run(Duration::from_millis(100));
    for number in 0..12 {
        let adapter = format!("base/a{number}");
        world.ask(&adapter, 1);
        world.placement.want(&adapter, 1, world.now);
        world.run(Duration::from_secs(3));
    }
    let reports = world.engines.accepted["r00"];
    let replica = &world.placement.replicas()["r00"];
    assert_eq!(replica.accepted, Some(reports));
}

/// Pattern: a new version of a loaded adapter is announced.
#[test]
fn an_announced_version_replaces_the_older_one_within_its_bound() {
    let mut world = World::new(3, 8);
    world.run(Duration::from_millis(100));
    world.placement.want("base/a1", 1, world.now);
    world.run(Duration::from_millis(500));
    world.placement.announce("base/a1", 2, world.now);
    assert_eq!(
        world.homes("base/a1"),
        1,
        "the older version serves meanwhile"
    );
    for _ in 0..300 {
        world.ask("base/a1", 1);
        if world.homes("base/a1") == 0 {
            world.placement.want("base/a1", 1, world.now);
        }
        world.run(STEP);
    }
    let now = world.now + Config::default().version_grace;
    for (_, version) in world.placement.usable("base/a1", now) {
        assert!(version >= 2);
    }
    let loads = world.engines.orders.iter().filter(|order| {
        matches!(order, Action::Order { operation: Operation::Load, adapter, version: Some(2), .. }
            if adapter == "base/a1")
    });
    assert!(
        loads.count() > 0,
        "the new version is ordered by its number"
    );
}

/// A new leader learns at once what replicas hold, and orders only when it may.
#[test]
fn reports_are_asked_for_before_orders_are_allowed() {
    let now = Instant::now();
    let mut placement = Placement::new(Config::default());
    placement.configure(&configuration(4), now);
    placement.list(&[upstream("r", &["base"])], now);
    placement.want("base/a1", 1, now);
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
    placement.reported("r", Some(&report), now);
    assert_eq!(placement.usable("base/a2", now).len(), 1);
    assert!(placement.tick(false, now).is_empty());
    assert_eq!(placement.tick(true, now).len(), 1);
}

/// No order is given while one is unanswered, and none beyond the places.
#[test]
fn places_are_never_exceeded() {
    let mut world = World::new(2, 5);
    world.run(Duration::from_millis(100));
    for number in 0..60 {
        world
            .placement
            .want(&format!("base/a{number}"), 1, world.now);
        world.ask(&format!("base/a{number}"), 1);
        world.run(Duration::from_millis(70));
        for name in ["r00", "r01"] {
            let mine = |(replica, _): &&(String, String)| replica == name;
            let loaded = world.engines.loaded.keys().filter(mine).count();
            let loading = world.engines.loading.keys().filter(mine).count();
            assert!(loaded + loading <= 5, "{loaded} {loading}");
        }
    }
    assert!(world.engines.most_in_transit <= 2 * Config::default().replica_transit);
}

/// A replica whose order got no answer keeps the place and is asked again with the same count.
#[test]
fn an_unanswered_order_is_repeated_and_its_place_stays_taken() {
    let now = Instant::now();
    let mut placement = Placement::new(Config::default());
    placement.configure(&configuration(2), now);
    placement.list(&[upstream("r", &["base"])], now);
    let report = Report {
        models: vec!["base".to_owned()],
        ..Report::default()
    };
    placement.tick(true, now);
    placement.reported("r", Some(&report), now);
    // Loads were decided just now; the next decision follows after a short pause.
    let now = now + PLAN_PAUSE;
    placement.want("base/a1", 1, now);
    let first = order(&mut placement, now);
    placement.ordered("r", first.0, Ordered::Unknown, now);
    assert_eq!(placement.replicas()["r"].free(), 1);
    let second = order(&mut placement, now + STEP);
    assert_eq!((first.1, second.1), (0, 0), "the count that is expected");
    assert_eq!(
        placement.replicas()["r"].slots["base/a1"].state,
        State::Planned
    );
}

fn order(placement: &mut Placement, now: Instant) -> (u64, u64) {
    let actions = placement.tick(true, now);
    match &actions[..] {
        [Action::Order { number, expect, .. }] => (*number, *expect),
        other => panic!("{other:?}"),
    }
}
