//! Tests of loads from the store when many rare adapters are requested, and of unloads of adapters
//! in use.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    Action, Config, State,
    tests::{LOAD_TIME, STEP, Simulation},
};
use crate::gateway::dialect::Operation;

/// Replicas of the simulated deployment.
const REPLICAS: usize = 60;
/// Adapter slots of each replica.
const SLOTS_PER_REPLICA: usize = 14;

/// Requests a new adapter after each `interval` for the given time, and waits for each adapter
/// until it is loaded or `give_up_after` has passed. Returns the time until each load, and the
/// number of adapters that were given up.
fn request_new_adapters(
    sim: &mut Simulation,
    interval: Duration,
    time: Duration,
    give_up_after: Duration,
) -> (Vec<Duration>, usize) {
    let mut waiting: BTreeMap<String, Instant> = BTreeMap::new();
    let (mut waited, mut gave_up) = (Vec::new(), 0);
    let until = sim.now + time;
    let (mut next, mut number) = (sim.now, 0);
    while sim.now < until {
        while sim.now >= next {
            next += interval;
            number += 1;
            let adapter = format!("base/n{number}");
            sim.record_requests(&adapter, 1);
            waiting.insert(adapter, sim.now);
        }
        for adapter in waiting.keys() {
            sim.placement.request_load(adapter, 1, sim.now);
        }
        sim.now += STEP;
        sim.step();
        let now = sim.now;
        let adapters: Vec<String> = waiting.keys().cloned().collect();
        for adapter in adapters {
            let requested_at = waiting[&adapter];
            if sim.replica_count(&adapter) > 0 {
                waited.push(now - requested_at);
                waiting.remove(&adapter);
            } else if now > requested_at + give_up_after {
                gave_up += 1;
                waiting.remove(&adapter);
            }
        }
    }
    (waited, gave_up)
}

fn mean(times: &[Duration]) -> Duration {
    times.iter().sum::<Duration>() / times.len().max(1) as u32
}

/// New adapters are requested at a steady rate. The end of a load must be noticed within two check
/// intervals, no matter how many loads there were before.
#[test]
fn the_estimated_load_time_does_not_grow_over_time() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.answer_delay = Duration::from_millis(30);
    sim.run(Duration::from_millis(100));
    let interval = Duration::from_millis(20);
    request_new_adapters(
        &mut sim,
        interval,
        Duration::from_secs(20),
        Duration::from_secs(2),
    );
    let second = Duration::from_secs(1);
    let (waited, gave_up) = request_new_adapters(&mut sim, interval, second * 3, second * 2);
    assert_eq!(gave_up, 0);
    // Both answers are delayed: the answer to the order, and the answer to the poll that finds the
    // load ended.
    let bound = LOAD_TIME + Config::default().check_interval * 2 + sim.answer_delay * 2;
    assert!(
        mean(&waited) <= bound,
        "mean {:?}, bound {bound:?}",
        mean(&waited)
    );
}

/// New adapters are requested at a rate that uses most of a fast store, while the leader is short
/// of CPU time. The late notice that loads have ended must not count as congestion of the store.
#[test]
fn a_busy_leader_does_not_treat_the_store_as_congested() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 40;
    sim.answer_delay = Duration::from_millis(100);
    sim.run(Duration::from_millis(300));
    let interval = Duration::from_millis(10);
    let second = Duration::from_secs(1);
    request_new_adapters(&mut sim, interval, second * 10, second * 2);
    let (waited, gave_up) = request_new_adapters(&mut sim, interval, second * 5, second * 2);
    assert!(
        gave_up * 20 <= waited.len(),
        "{gave_up} given up, {} loaded",
        waited.len()
    );
    assert!(mean(&waited) < second, "{:?}", mean(&waited));
}

/// Replicas have many adapters in memory that a new leader doesn't know about. Those fast loads
/// must not make the normal loads from the store count as congestion.
#[test]
fn fast_loads_from_replica_memory_do_not_mark_the_store_as_congested() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 40;
    sim.run(Duration::from_millis(100));
    let second = Duration::from_secs(1);
    sim.engines.cached = (0..400).map(|number| format!("base/n{number}")).collect();
    request_new_adapters(&mut sim, second / 100, second * 4, second * 2);
    sim.engines.cached.clear();
    for number in 0..1000 {
        sim.record_requests(&format!("base/m{number}"), 1);
    }
    // Requests far more adapters than the store loads at a time, so that the limit is reached.
    let mut peak_loads = 0;
    for _ in 0..200 {
        for number in 0..1000 {
            let adapter = format!("base/m{number}");
            if sim.replica_count(&adapter) == 0 {
                sim.placement.request_load(&adapter, 1, sim.now);
            }
        }
        sim.now += STEP;
        sim.step();
        peak_loads = peak_loads.max(sim.engines.loading.len());
    }
    assert!(peak_loads >= 30, "{peak_loads} at once");
}

/// Many rare adapters are requested at once. The estimated wait for one more adapter must then
/// exceed the patience of its caller. The estimate must be short while the store is idle, and for
/// an adapter that is already requested.
#[test]
fn a_queue_for_the_store_that_is_too_long_is_known() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.run(Duration::from_millis(100));
    let patience = Duration::from_millis(2800);
    let wait = |sim: &Simulation| sim.placement.load_wait("base/new", sim.now, sim.now);
    assert!(wait(&sim).unwrap() < patience / 4);
    for number in 0..600 {
        sim.placement
            .request_load(&format!("base/n{number}"), 1, sim.now);
    }
    assert!(wait(&sim).unwrap() > patience);
    let requested = sim.placement.load_wait("base/n7", sim.now, sim.now);
    assert!(requested.unwrap() < patience / 4);
    sim.run(Duration::from_millis(200));
    let loading = sim.engines.loading.keys().next().unwrap().1.clone();
    assert_eq!(sim.placement.load_wait(&loading, sim.now, sim.now), None);
}

/// A new leader must not send orders yet. The estimated wait includes the time until it may, also
/// for an adapter that is already requested.
#[test]
fn the_wait_before_the_first_order_counts_towards_the_load_wait() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.run(Duration::from_millis(100));
    let until_orders = Duration::from_secs(3);
    sim.placement.request_load("base/a", 1, sim.now);
    for adapter in ["base/a", "base/b"] {
        let from = sim.now + until_orders;
        let wait = sim.placement.load_wait(adapter, from, sim.now);
        assert!(wait.unwrap() > until_orders);
    }
}

/// More adapters are requested than the store can load. The number of concurrent loads must stay
/// near the number at which the store becomes congested, so that each load is short.
#[test]
fn a_crowded_store_is_not_given_more() {
    let mut sim = Simulation::new(REPLICAS, SLOTS_PER_REPLICA);
    sim.engines.uncongested_loads = 30;
    sim.run(Duration::from_millis(100));
    let second = Duration::from_secs(1);
    request_new_adapters(&mut sim, second / 400, second * 10, second * 2);
    let mut peak_loads = 0;
    for _ in 0..100 {
        sim.step();
        sim.now += STEP;
        peak_loads = peak_loads.max(sim.engines.loading.len());
    }
    assert!(peak_loads <= 60, "{peak_loads} at once");
    let loading = |state: &State| matches!(state, State::Loading { .. });
    let replicas = sim.placement.replicas().values();
    let slots = replicas.flat_map(|one| one.slots.values());
    assert!(slots.filter(|slot| loading(&slot.state)).count() <= 60);
}

/// A new leader doesn't know on which adapters requests run, and orders the unload of one in use.
/// While that unload waits, the replica refuses other orders, so none may be sent to it.
#[test]
fn a_replica_whose_unload_waits_is_left_alone() {
    let mut sim = Simulation::new(1, 2);
    sim.run(Duration::from_millis(100));
    let used = ("r00".to_owned(), "base/used".to_owned());
    sim.placement.request_load(&used.1, 1, sim.now);
    sim.engines.in_use.push(used.clone());
    sim.run(Duration::from_secs(3));
    sim.placement.request_load("base/a", 1, sim.now);
    sim.record_requests("base/a", 50);
    sim.run(Duration::from_secs(3));
    let before = sim.engines.orders.len();
    sim.placement.request_load("base/b", 1, sim.now);
    sim.run(Duration::from_millis(250));
    let unload_waits = sim.engines.blocked_unloads.contains_key("r00");
    assert!(unload_waits, "{:?}", sim.placement.summary(sim.now));
    let orders = &sim.engines.orders[before..];
    let others = orders.iter().filter(|order| match order {
        Action::Order { adapter, .. } => *adapter != used.1,
        Action::Report { .. } => true,
    });
    assert_eq!(others.count(), 0, "{orders:?}");
    sim.engines.in_use.clear();
    sim.placement.request_load("base/b", 1, sim.now);
    sim.run(Duration::from_millis(600));
    assert_eq!(sim.replica_count("base/b"), 1);
}

/// All adapters on a replica are in use and one is to be evicted. It must be unloaded only after
/// its last request has ended.
#[test]
fn an_adapter_in_use_is_not_unloaded() {
    let mut sim = Simulation::new(1, 2);
    sim.run(Duration::from_millis(100));
    for adapter in ["base/a", "base/b"] {
        sim.placement.request_load(adapter, 1, sim.now);
        sim.run(Duration::from_millis(600));
        sim.placement.count_use("r00", adapter, true);
    }
    sim.run(Duration::from_secs(3));
    let unload = |order: &Action| match order {
        Action::Order { operation, .. } => *operation == Operation::Unload,
        Action::Report { .. } => false,
    };
    assert!(!sim.engines.orders.iter().any(unload));
    sim.placement.count_use("r00", "base/a", false);
    sim.placement.count_use("r00", "base/b", false);
    sim.run(Duration::from_secs(1));
    assert!(sim.engines.orders.iter().any(unload));
}
