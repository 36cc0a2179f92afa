//! Rare adapters that keep coming from the store, on many replicas.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    Action, Config, State,
    tests::{LOAD, STEP, World},
};
use crate::gateway::dialect::Operation;

/// Replicas and places of the larger deployment.
const REPLICAS: usize = 60;
const PLACES: usize = 14;

/// Asks for a new adapter at a steady pace, each until it is there or its caller gives up; returns
/// the time that each waited, and how many gave up.
fn ask_steadily(
    world: &mut World,
    each: Duration,
    time: Duration,
    give_up: Duration,
) -> (Vec<Duration>, usize) {
    let mut waiting: BTreeMap<String, Instant> = BTreeMap::new();
    let (mut waited, mut gave_up) = (Vec::new(), 0);
    let until = world.now + time;
    let (mut next, mut number) = (world.now, 0);
    while world.now < until {
        while world.now >= next {
            next += each;
            number += 1;
            let adapter = format!("base/n{number}");
            world.ask(&adapter, 1);
            waiting.insert(adapter, world.now);
        }
        for adapter in waiting.keys() {
            world.placement.request_load(adapter, 1, world.now);
        }
        world.now += STEP;
        world.step();
        let now = world.now;
        let homes: Vec<String> = waiting.keys().cloned().collect();
        for adapter in homes {
            let came = waiting[&adapter];
            if world.homes(&adapter) > 0 {
                waited.push(now - came);
                waiting.remove(&adapter);
            } else if now > came + give_up {
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

/// Pattern: rare adapters at a steady pace. Loads are found to have ended within two checks of their
/// end, however many there were before.
#[test]
fn the_time_of_a_load_does_not_creep_up() {
    let mut world = World::new(REPLICAS, PLACES);
    world.lag = Duration::from_millis(30);
    world.run(Duration::from_millis(100));
    let each = Duration::from_millis(20);
    ask_steadily(
        &mut world,
        each,
        Duration::from_secs(20),
        Duration::from_secs(2),
    );
    let second = Duration::from_secs(1);
    let (waited, gave_up) = ask_steadily(&mut world, each, second * 3, second * 2);
    assert_eq!(gave_up, 0);
    // The answers that a load begins and that it has ended are both late.
    let bound = LOAD + Config::default().check_interval * 2 + world.lag * 2;
    assert!(mean(&waited) <= bound, "{:?} of {bound:?}", mean(&waited));
}

/// Pattern: rare adapters at a pace that needs most of a fast store, and a leader whose processor is
/// busy. Late news of loads are not taken for a slow store.
#[test]
fn a_busy_leader_does_not_take_the_store_for_slow() {
    let mut world = World::new(REPLICAS, PLACES);
    world.engines.full_speed = 40;
    world.lag = Duration::from_millis(100);
    world.run(Duration::from_millis(300));
    let each = Duration::from_millis(10);
    let second = Duration::from_secs(1);
    ask_steadily(&mut world, each, second * 10, second * 2);
    let (waited, gave_up) = ask_steadily(&mut world, each, second * 5, second * 2);
    assert!(
        gave_up * 20 <= waited.len(),
        "{gave_up} beside {}",
        waited.len()
    );
    assert!(mean(&waited) < second, "{:?}", mean(&waited));
}

/// Pattern: a new leader, and replicas that still keep many adapters of before, which it cannot know.
/// Their fast loads do not make those from the store look slow.
#[test]
fn fast_loads_of_kept_adapters_do_not_make_the_store_look_slow() {
    let mut world = World::new(REPLICAS, PLACES);
    world.engines.full_speed = 40;
    world.run(Duration::from_millis(100));
    let second = Duration::from_secs(1);
    world.engines.kept = (0..400).map(|number| format!("base/n{number}")).collect();
    ask_steadily(&mut world, second / 100, second * 4, second * 2);
    world.engines.kept.clear();
    for number in 0..1000 {
        world.ask(&format!("base/m{number}"), 1);
    }
    // Far more than the store takes at once, so that all its room is used.
    let mut most = 0;
    for _ in 0..200 {
        for number in 0..1000 {
            let adapter = format!("base/m{number}");
            if world.homes(&adapter) == 0 {
                world.placement.request_load(&adapter, 1, world.now);
            }
        }
        world.now += STEP;
        world.step();
        most = most.max(world.engines.loading.len());
    }
    assert!(most >= 30, "{most} at once");
}

/// Pattern: many rare adapters at once. Who would have to wait for longer than a caller does is known
/// at once; who is known already, or asks while the store has room, is not turned away.
#[test]
fn a_queue_for_the_store_that_is_too_long_is_known() {
    let mut world = World::new(REPLICAS, PLACES);
    world.run(Duration::from_millis(100));
    let patience = Duration::from_millis(2800);
    let wait = |world: &World| world.placement.load_wait("base/new", world.now, world.now);
    assert!(wait(&world).unwrap() < patience / 4);
    for number in 0..600 {
        world
            .placement
            .request_load(&format!("base/n{number}"), 1, world.now);
    }
    assert!(wait(&world).unwrap() > patience);
    let known = world.placement.load_wait("base/n7", world.now, world.now);
    assert!(known.unwrap() < patience / 4);
    world.run(Duration::from_millis(200));
    let loading = world.engines.loading.keys().next().unwrap().1.clone();
    assert_eq!(
        world.placement.load_wait(&loading, world.now, world.now),
        None
    );
}

/// Pattern: a new leader that may give no orders yet. Who would have to wait for longer than a caller
/// does is known at once, also where the adapter is wanted already.
#[test]
fn the_silence_before_orders_counts_as_waiting() {
    let mut world = World::new(REPLICAS, PLACES);
    world.run(Duration::from_millis(100));
    let silence = Duration::from_secs(3);
    world.placement.request_load("base/a", 1, world.now);
    for adapter in ["base/a", "base/b"] {
        let from = world.now + silence;
        let wait = world.placement.load_wait(adapter, from, world.now);
        assert!(wait.unwrap() > silence);
    }
}

/// Pattern: more rare adapters than the store carries. What is on its way stays near the number at
/// which the store is at full speed, so that each load is short.
#[test]
fn a_crowded_store_is_not_given_more() {
    let mut world = World::new(REPLICAS, PLACES);
    world.engines.full_speed = 30;
    world.run(Duration::from_millis(100));
    let second = Duration::from_secs(1);
    ask_steadily(&mut world, second / 400, second * 10, second * 2);
    let mut most = 0;
    for _ in 0..100 {
        world.step();
        world.now += STEP;
        most = most.max(world.engines.loading.len());
    }
    assert!(most <= 60, "{most} at once");
    let loading = |state: &State| matches!(state, State::Loading { .. });
    let replicas = world.placement.replicas().values();
    let slots = replicas.flat_map(|one| one.slots.values());
    assert!(slots.filter(|slot| loading(&slot.state)).count() <= 60);
}

/// Pattern: a new leader, which does not know on which adapters requests run. An unload that waits for
/// them keeps the replica from other orders; none is wasted on it, and none is refused.
#[test]
fn a_replica_whose_unload_waits_is_left_alone() {
    let mut world = World::new(1, 2);
    world.run(Duration::from_millis(100));
    let used = ("r00".to_owned(), "base/used".to_owned());
    world.placement.request_load(&used.1, 1, world.now);
    world.engines.used.push(used.clone());
    world.run(Duration::from_secs(3));
    world.placement.request_load("base/a", 1, world.now);
    world.ask("base/a", 50);
    world.run(Duration::from_secs(3));
    let before = world.engines.orders.len();
    world.placement.request_load("base/b", 1, world.now);
    world.run(Duration::from_millis(250));
    let waits = world.engines.waits.contains_key("r00");
    assert!(waits, "{:?}", world.placement.summary());
    let orders = &world.engines.orders[before..];
    let others = orders.iter().filter(|order| match order {
        Action::Order { adapter, .. } => *adapter != used.1,
        Action::Report { .. } => true,
    });
    assert_eq!(others.count(), 0, "{orders:?}");
    world.engines.used.clear();
    world.placement.request_load("base/b", 1, world.now);
    world.run(Duration::from_millis(600));
    assert_eq!(world.homes("base/b"), 1);
}

/// Pattern: more adapters in use than there are places. One that is given up is unloaded when its last
/// request has ended, not before.
#[test]
fn an_adapter_in_use_is_not_unloaded() {
    let mut world = World::new(1, 2);
    world.run(Duration::from_millis(100));
    for adapter in ["base/a", "base/b"] {
        world.placement.request_load(adapter, 1, world.now);
        world.run(Duration::from_millis(600));
        world.placement.count_use("r00", adapter, true);
    }
    world.run(Duration::from_secs(3));
    let unload = |order: &Action| match order {
        Action::Order { operation, .. } => *operation == Operation::Unload,
        Action::Report { .. } => false,
    };
    assert!(!world.engines.orders.iter().any(unload));
    world.placement.count_use("r00", "base/a", false);
    world.placement.count_use("r00", "base/b", false);
    world.run(Duration::from_secs(1));
    assert!(world.engines.orders.iter().any(unload));
}
