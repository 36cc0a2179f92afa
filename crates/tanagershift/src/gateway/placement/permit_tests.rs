//! Tests of the permits of the weight store while orders get no answer, when the number of loads that
//! it bears is unknown, and while a fleet is cold.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Action, Config, Finding, State, Summary,
    tests::{LOAD_TIME, STEP, Simulation},
};
use crate::{gateway::dialect::Operation, testing::cases};

/// Replicas of the simulated deployment.
const REPLICAS: usize = 60;
/// Adapter slots of each replica.
const SLOTS_PER_REPLICA: usize = 15;
/// Requests that wait for adapters above which permits must not lie idle.
const MANY_WAITING: f64 = 100.0;
/// Share of the permits that must then be used.
const MIN_USED_SHARE: f64 = 0.8;

/// Whether, on average over a second, many requests wait while slots are free and permits unused.
fn wastes_permits(second: &[Summary]) -> bool {
    let mean = |value: fn(&Summary) -> usize| {
        second.iter().map(value).sum::<usize>() as f64 / second.len() as f64
    };
    let used = mean(|one| one.permits.in_use()) / mean(|one| one.limit);
    mean(|one| one.waiting as usize) >= MANY_WAITING
        && mean(|one| one.free) > REPLICAS as f64
        && used < MIN_USED_SHARE
}

/// Requests the adapters that no replica has, with as many waiting requests each as given.
fn request_missing(sim: &mut Simulation, wanted: &BTreeMap<String, u32>) {
    for (adapter, waiting) in wanted {
        if sim.replica_count(adapter) == 0 {
            sim.placement.request_load(adapter, *waiting, sim.now);
        }
    }
}

/// Adapters that a number of requests each wait for.
fn wanted(adapters: usize, waiting: impl Fn(usize) -> u32) -> BTreeMap<String, u32> {
    let entry = |number| (format!("base/n{number:04}"), waiting(number));
    (0..adapters).map(entry).collect()
}

/// Runs for a time while callers wait for the adapters, and returns the summary of each step.
fn run_waiting(
    sim: &mut Simulation,
    wanted: &BTreeMap<String, u32>,
    time: Duration,
) -> Vec<Summary> {
    let until = sim.now + time;
    let mut summaries = Vec::new();
    while sim.now < until {
        request_missing(sim, wanted);
        sim.now += STEP;
        sim.step();
        summaries.push(sim.placement.summary(sim.now));
    }
    summaries
}

/// A third to a half of all orders get no answer and are carried out 2 to 12 s later, while 700
/// adapters are asked for and every slot is empty. Loads must go on at the rate of the store.
fn check_unanswered(percent: usize) {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 48;
    sim.run(Duration::from_millis(100));
    sim.engines.unanswered_percent = percent;
    let wanted = wanted(700, |_| 2);
    let summaries = run_waiting(&mut sim, &wanted, Duration::from_secs(10));
    let mut seconds = summaries.chunks(100);
    let wasted = seconds.find(|second| wastes_permits(second));
    assert!(wasted.is_none(), "{:#?}", wasted.and_then(|one| one.last()));
    let loaded = wanted.keys().filter(|one| sim.replica_count(one) > 0);
    let loaded = loaded.count();
    assert!(loaded >= 680, "{loaded} loaded");
    for name in sim.placement.replicas().keys() {
        let held = sim.engines.loaded.keys().filter(|(one, _)| one == name);
        let coming = sim.engines.loading.keys().filter(|(one, _)| one == name);
        assert!(held.count() + coming.count() <= SLOTS_PER_REPLICA);
    }
}

cases! {
    check_unanswered {
        a_third_of_orders_without_an_answer_holds_no_permits: (35);
        half_of_orders_without_an_answer_holds_no_permits: (50);
    }
}

/// No order is answered for a while, and all are carried out late. They must not begin more than one
/// load on each replica, however many orders were sent.
#[test]
fn late_orders_all_at_once_are_bounded() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.run(Duration::from_millis(100));
    sim.engines.unanswered_percent = 100;
    let wanted = wanted(800, |_| 2);
    run_waiting(&mut sim, &wanted, Duration::from_millis(1900));
    let orders = sim.engines.orders.len();
    assert!(orders > REPLICAS, "{orders} orders");
    for (at, _) in &mut sim.engines.late {
        *at = sim.now;
    }
    sim.now += STEP;
    sim.step();
    let begun = sim.engines.late_loads;
    assert!(begun <= REPLICAS, "{begun} begun late");
}

/// A replica answers no orders. Adapters that requests wait for must be loaded on others.
#[test]
fn adapters_planned_on_a_stuck_replica_are_loaded_elsewhere() {
    let mut sim = Simulation::new(2, SLOTS_PER_REPLICA);
    sim.run(Duration::from_millis(100));
    sim.engines.silent = Some("r00".to_owned());
    let wanted = wanted(8, |_| 1);
    run_waiting(&mut sim, &wanted, Duration::from_millis(1500));
    for adapter in wanted.keys() {
        assert_eq!(sim.replica_count(adapter), 1, "{adapter}");
    }
}

/// The number of loads that the store bears is not known. Many more adapters are asked for than it
/// can deliver. The limit must come near that number soon and stay there, from either side.
fn check_knee(replicas: usize, uncongested: usize, known: Option<Finding>, seconds: u64) {
    let mut sim = Simulation::new(replicas, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = uncongested;
    if let Some(known) = known {
        sim.placement.resume(known);
    }
    sim.run(Duration::from_millis(100));
    let wanted = wanted(5000, |_| 1);
    let first = run_waiting(&mut sim, &wanted, Duration::from_secs(seconds));
    let first: Vec<_> = first
        .iter()
        .step_by(25)
        .map(|one| {
            (
                one.limit,
                one.permits.in_use(),
                one.load_ms,
                one.shortest_ms,
            )
        })
        .collect();
    let later = run_waiting(&mut sim, &wanted, Duration::from_secs(3));
    let limits = later.iter().map(|one| one.limit).collect::<Vec<_>>();
    let mean = limits.iter().sum::<usize>() / limits.len();
    let (low, high) = (uncongested * 85 / 100, uncongested * 140 / 100);
    let last = later.last();
    assert!(
        low <= mean && mean <= high,
        "mean limit {mean} after {first:?}, {last:#?}"
    );
}

fn finding(limit: u32) -> Option<Finding> {
    Some(Finding {
        limit: limit.into(),
        shortest: Some(LOAD_TIME),
    })
}

cases! {
    check_knee {
        the_knee_of_a_large_store_is_found_from_below: (60, 64, None, 2);
        the_knee_of_a_store_is_found_from_a_little_below: (60, 48, None, 2);
        the_knee_of_a_store_is_found_from_above: (60, 48, finding(90), 2);
        a_new_leader_begins_with_the_last_finding: (60, 64, finding(64), 0);
        the_knee_of_a_small_store_is_found: (18, 12, None, 8);
    }
}

/// Every slot of the fleet is empty when the demand is at its peak. The first loads must be those of
/// the adapters with the most waiting requests, one copy each, spread over all replicas.
#[test]
fn the_first_loads_of_a_cold_fleet_go_where_the_most_requests_wait() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 48;
    sim.run(Duration::from_millis(100));
    let wanted = wanted(400, |number| 1 + 300 / (number as u32 + 1));
    run_waiting(&mut sim, &wanted, Duration::from_millis(300));
    let ordered = sim.engines.orders.iter().filter_map(|order| match order {
        Action::Order {
            operation: Operation::Load,
            adapter,
            replica,
            ..
        } => Some((adapter.clone(), replica.clone())),
        Action::Order { .. } | Action::Report { .. } => None,
    });
    let first: BTreeMap<String, String> = ordered.collect();
    let first_wanted: Vec<&String> = wanted.keys().take(30).collect();
    assert!(first_wanted.iter().all(|one| first.contains_key(*one)));
    for adapter in &first_wanted {
        let coming = sim.placement.replicas().values();
        let copies = coming.filter(|one| one.slots.contains_key(*adapter));
        assert_eq!(copies.count(), 1, "{adapter}");
    }
    let replicas = sim.placement.replicas().values();
    let most = replicas.map(|one| one.coming_count()).max().unwrap();
    assert!(most <= Config::default().max_loads_per_replica, "{most}");
}

/// Callers ask for many adapters and leave before most of them can be loaded. What was planned for
/// them must not be loaded.
#[test]
fn nothing_is_loaded_long_after_its_callers_have_left() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 4;
    sim.run(Duration::from_millis(100));
    run_waiting(&mut sim, &wanted(400, |_| 1), Duration::from_millis(500));
    sim.run(Duration::from_millis(1500));
    let replicas = sim.placement.replicas().values();
    let slots = replicas.flat_map(|one| one.slots.values());
    let planned = slots.filter(|slot| slot.state == State::Planned);
    assert_eq!(planned.count(), 0);
}

/// Demand moves to other adapters while every slot is taken. Those whose requests have stopped must
/// give way within a second or two, not those that were loaded for the new demand.
#[test]
fn demand_that_moves_on_evicts_what_it_left() {
    let mut sim = Simulation::new(10, 8);
    sim.run(Duration::from_millis(100));
    let request = |sim: &mut Simulation, adapters: std::ops::Range<usize>, seconds: usize| {
        let names: Vec<String> = adapters.map(|number| format!("base/n{number}")).collect();
        for step in 0..seconds * 100 {
            for name in names.iter().skip(step % 25).step_by(25) {
                sim.record_requests(name, 1);
            }
            for name in &names {
                if sim.replica_count(name) == 0 {
                    sim.placement.request_load(name, 1, sim.now);
                }
            }
            sim.now += STEP;
            sim.step();
        }
        let held = names.iter().filter(|name| sim.replica_count(name) > 0);
        (held.count(), names.len())
    };
    assert_eq!(request(&mut sim, 0..60, 6), (60, 60));
    let before = sim.engines.orders.len();
    let (held, wanted) = request(&mut sim, 100..160, 3);
    assert!(held * 10 >= wanted * 9, "{held} of {wanted}");
    let loads = sim.engines.orders[before..].iter();
    let loads = loads.filter_map(|order| match order {
        Action::Order {
            operation: Operation::Load,
            replica,
            adapter,
            ..
        } => Some((replica, adapter)),
        Action::Order { .. } | Action::Report { .. } => None,
    });
    // The rate of each adapter asks for two copies.
    let loads = loads.collect::<BTreeSet<_>>().len();
    assert!(loads <= wanted * 2, "{loads} loads");
}

/// Requests wait at the replicas of hundreds of adapters and for as many that no replica has. The
/// adapters without a copy take precedence, and further copies are planned only as far as the store has
/// permits: a pass over all of them must stay cheap for the leader.
#[test]
fn further_copies_take_no_more_than_their_share_of_permits() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 48;
    sim.run(Duration::from_millis(100));
    let held = wanted(300, |_| 1);
    run_waiting(&mut sim, &held, Duration::from_secs(4));
    for adapter in (0..300).map(|number| format!("base/m{number}")) {
        sim.placement.request_load(&adapter, 1, sim.now);
    }
    sim.placement.scale_out(held.keys(), sim.now);
    let summary = sim.placement.summary(sim.now);
    assert!(summary.planned * 2 <= summary.limit, "{summary:?}");
}
