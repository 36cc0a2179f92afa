//! Which adapter is loaded on which replica.
//!
//! The leader decides for all replicas, from the requests that the gateways count. An adapter that
//! requests wait for is loaded at once where the least work is expected; one with many requests gets
//! more replicas; places are kept free by retiring what is asked for least. Nothing here does input
//! or output: the caller hands events in with the time and carries out the actions.
//!
//! * `replica`: one replica's places.
//! * `plan`: which loads are decided, and which places are given up.
//! * `carry`: orders, and what their answers mean.
//! * `wants`: adapters that no replica has, or too few.

mod carry;
mod plan;
mod replica;
#[cfg(test)]
mod store_tests;
#[cfg(test)]
mod tests;
mod wants;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use carry::{ask_again, place};
pub use replica::{Adapter, Pending, Replica, Slot, State, is_model, model_of};

use super::{
    configuration::Configuration,
    dialect::Operation,
    message::{Residency, Upstream},
};
use crate::{heat::Heat, id};

/// Limits and times of the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Adapters on their way to one replica at once; the engines' published limit.
    pub replica_transit: usize,
    /// Adapters on their way from the store to all replicas at once, at first; more or fewer follow as
    /// loads are fast or slow.
    pub store_transit: usize,
    /// The fewest to which that number falls.
    pub store_transit_least: usize,
    /// Places of each replica that are kept free; over all replicas about as many as the store fills in
    /// the time that one is given up in.
    pub spare: usize,
    /// Part of a replica's slots that one adapter's requests should fill before it gets another.
    pub home_share: f64,
    /// Time in which gateways learn that a place is no longer to be used.
    pub retire_delay: Duration,
    /// Expected time of a load from the store, until one was seen.
    pub load_time: Duration,
    /// Pause before an order that is still being carried out is asked for again.
    pub check_interval: Duration,
    /// Age that a report may have, so long after an order it is not believed.
    pub report_lag: Duration,
    /// Time after an announcement at which requests may still go to the older version.
    pub version_grace: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            replica_transit: 4,
            store_transit: 20,
            store_transit_least: 8,
            spare: 1,
            home_share: 0.1,
            retire_delay: Duration::from_millis(250),
            load_time: Duration::from_millis(250),
            check_interval: Duration::from_millis(40),
            report_lag: Duration::from_millis(600),
            version_grace: Duration::from_millis(1500),
        }
    }
}

/// Time after which a request counts half for the number of an adapter's replicas.
const HOT_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Time after which a request counts half when a place to give up is chosen.
const KEEP_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time after which a want that no gateway repeats is dropped.
const WANT_LIFE: Duration = Duration::from_millis(300);
/// Version of an adapter for which none was announced.
pub const FIRST_VERSION: u64 = 1;
/// Shortest time for which a loaded adapter is kept.
const MIN_STAY: Duration = Duration::from_millis(1500);
/// Shortest time between two decisions on loads; small beside the time of a load.
const PLAN_PAUSE: Duration = Duration::from_millis(15);
/// Loads at once for each replica at first, where that is more than the setting: a store is sized to
/// the fleet that it feeds.
const STORE_SHARE: f64 = 0.66;
/// Time between two decisions on loads when no request waits.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order, and tell its outcome with `ordered`.
    Order {
        /// Replica.
        replica: id::Upstream,
        /// Number of the order, for the outcome.
        number: u64,
        /// What it does.
        operation: Operation,
        /// Adapter.
        adapter: Adapter,
        /// Version to load.
        version: Option<u64>,
        /// Orders that the replica must have accepted.
        expect: u64,
    },
    /// Ask a replica for a report, and tell it with `reported`.
    Report {
        /// Replica.
        replica: id::Upstream,
    },
}

/// Places by state, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Replicas known.
    pub replicas: usize,
    /// Replicas that can be given orders.
    pub usable: usize,
    /// Places that are free.
    pub free: usize,
    /// Loads that are decided and not ordered.
    pub planned: usize,
    /// Loads under way.
    pub loading: usize,
    /// Loaded adapters on which requests run.
    pub used: usize,
    /// Loaded adapters on which none runs.
    pub idle: usize,
    /// Adapters that gateways are told to avoid.
    pub retiring: usize,
    /// Unloads that wait for requests to end.
    pub unloading: usize,
    /// Adapters that requests wait for.
    pub wanted: usize,
    /// Loads from the store at once.
    pub limit: usize,
    /// Time of a load after which it is asked for, in milliseconds.
    pub load_ms: u128,
}

/// An adapter that requests wait for.
#[derive(Clone, Debug)]
struct Want {
    since: Instant,
    heard: Instant,
    jobs: u32,
}

/// The placement of all adapters on all replicas.
#[derive(Debug)]
pub struct Placement {
    config: Config,
    replicas: BTreeMap<id::Upstream, Replica>,
    /// Replicas that have each adapter ready; some may be gone.
    index: HashMap<Adapter, Vec<id::Upstream>>,
    listed: Vec<Upstream>,
    capacities: BTreeMap<String, super::configuration::Engine>,
    wants: BTreeMap<Adapter, Want>,
    announced: BTreeMap<Adapter, (u64, Instant)>,
    hot: Heat<Adapter>,
    keep: Heat<Adapter>,
    total: Heat<()>,
    models: Heat<String>,
    changes: Vec<Residency>,
    next_order: u64,
    /// Time after which about half of the loads from the store have ended.
    load_time: Duration,
    /// Shortest time of a load from the store that was seen.
    best_load_time: Option<Duration>,
    /// Adapters on their way from the store to all replicas at once.
    transit_limit: f64,
    /// When a base model may be loaded from the store next.
    next_model_load: Option<Instant>,
    /// When loads are decided next.
    plan_at: Option<Instant>,
    /// When loads were decided last.
    planned_at: Option<Instant>,
}

impl Placement {
    /// Starts with no replica known.
    pub fn new(config: Config) -> Self {
        Self {
            load_time: config.load_time,
            best_load_time: None,
            transit_limit: config.store_transit as f64,
            config,
            replicas: BTreeMap::new(),
            index: HashMap::new(),
            listed: Vec::new(),
            next_model_load: None,
            capacities: BTreeMap::new(),
            wants: BTreeMap::new(),
            announced: BTreeMap::new(),
            hot: Heat::new(HOT_HALF_LIFE),
            keep: Heat::new(KEEP_HALF_LIFE),
            total: Heat::new(HOT_HALF_LIFE),
            models: Heat::new(KEEP_HALF_LIFE),
            plan_at: None,
            planned_at: None,
            changes: Vec::new(),
            next_order: 1,
        }
    }

    /// Takes the sizes of the engines from the configuration.
    pub fn configure(&mut self, configuration: &Configuration, now: Instant) {
        let engines = configuration.services.values();
        self.capacities = engines
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect();
        let listed = std::mem::take(&mut self.listed);
        self.list(&listed, now);
    }

    fn size_replicas(&mut self) {
        for replica in self.replicas.values_mut() {
            let engine = self.capacities.get(&replica.upstream.service);
            replica.capacity = engine.map_or(0, |engine| {
                engine.adapter_capacity(|model| replica.slots.contains_key(model))
            });
        }
    }

    /// Takes the platform's list.
    pub fn list(&mut self, upstreams: &[Upstream], now: Instant) {
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        self.replicas
            .retain(|name, _| listed.contains(name.as_str()));
        self.index.retain(|_, holders| {
            holders.retain(|name| listed.contains(name.as_str()));
            !holders.is_empty()
        });
        for upstream in upstreams {
            if !self.capacities.contains_key(&upstream.service) {
                continue;
            }
            if let Some(known) = self.replicas.get_mut(&upstream.name) {
                known.upstream.draining = upstream.draining;
                continue;
            }
            let replica = Replica::new(upstream.clone(), now);
            for (adapter, slot) in &replica.slots {
                self.change(place(&upstream.name, adapter, slot.version));
            }
            self.replicas.insert(upstream.name.clone(), replica);
        }
        if self.listed.is_empty() {
            let fleet = self.replicas.len() as f64 * STORE_SHARE;
            self.transit_limit = self.transit_limit.max(fleet);
        }
        self.listed = upstreams.to_vec();
        self.size_replicas();
    }

    /// Takes the open requests of all gateways at a replica.
    pub fn set_open(&mut self, replica: &str, open: u32) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.open = open;
        }
    }

    /// Counts a request that begins on an adapter at a replica, or ends.
    pub fn count_use(&mut self, replica: &str, adapter: &str, begins: bool) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.count_use(adapter, begins);
        }
    }

    /// Takes a newly announced version of an adapter.
    pub fn announce(&mut self, adapter: &str, version: u64, now: Instant) {
        let known = self.announced.get(adapter);
        if known.is_none_or(|(known, _)| *known < version) {
            self.announced.insert(adapter.to_owned(), (version, now));
        }
    }

    /// Takes note that a replica says it does not have an adapter.
    pub fn missing(&mut self, replica: &str, adapter: &str, now: Instant) {
        let Some(known) = self.replicas.get_mut(replica) else {
            return;
        };
        let ready = |slot: &Slot| slot.state == State::Ready && now > slot.since + MIN_STAY;
        if known.slots.get(adapter).is_some_and(ready) {
            known.slots.remove(adapter);
            ask_again(known, self.config.report_lag, now);
            self.change(place(replica, adapter, 0));
        }
    }

    /// Places that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Residency> {
        std::mem::take(&mut self.changes)
    }

    /// Every place that requests may be sent to.
    pub fn places(&self) -> Vec<Residency> {
        let ready = |(name, replica): (&String, &Replica)| -> Vec<Residency> {
            let slots = replica.slots.iter();
            slots
                .filter(|(_, slot)| slot.state == State::Ready)
                .map(|(adapter, slot)| place(name, adapter, slot.version))
                .collect()
        };
        self.replicas.iter().flat_map(ready).collect()
    }

    /// Takes note of a place that requests may be sent to from now on, or may no more.
    fn change(&mut self, change: Residency) {
        let holders = self.index.entry(change.adapter.clone()).or_default();
        let known = holders.iter().position(|name| *name == change.replica);
        match (known, change.version > 0) {
            (None, true) => holders.push(change.replica.clone()),
            (Some(at), false) => {
                holders.swap_remove(at);
            }
            (Some(_), true) | (None, false) => {}
        }
        if holders.is_empty() {
            self.index.remove(&change.adapter);
        }
        self.changes.push(change);
    }

    /// Replicas that a request for an adapter may be sent to now, with the version there.
    ///
    /// An older version than the announced one counts only while no replica has the newest and the
    /// grace period lasts.
    pub fn usable(&self, adapter: &str, now: Instant) -> Vec<(&Replica, u64)> {
        let ready = |replica: &Replica| {
            let slot = replica.slots.get(adapter)?;
            let usable = slot.state == State::Ready && !replica.upstream.draining;
            usable.then_some(slot.version)
        };
        let holders = self.index.get(adapter).map_or(&[][..], Vec::as_slice);
        let found = holders.iter().filter_map(|name| self.replicas.get(name));
        let found = found.filter_map(|replica| Some((replica, ready(replica)?)));
        let mut found: Vec<(&Replica, u64)> = found.collect();
        if let Some((newest, at)) = self.announced.get(adapter) {
            let fresh = found.iter().any(|(_, version)| version >= newest);
            if fresh || now > *at + self.config.version_grace {
                found.retain(|(_, version)| version >= newest);
            }
        }
        found
    }

    /// Replicas that hold a base model and take requests.
    pub fn holders<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Replica> {
        let replicas = self.replicas.values();
        replicas.filter(move |one| !one.upstream.draining && one.holds(model))
    }

    /// How many places are in which state, over all replicas.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            wanted: self.wants.len(),
            limit: self.transit_limit as usize,
            load_ms: self.load_time.as_millis(),
            ..Summary::default()
        };
        for replica in self.replicas.values() {
            summary.replicas += 1;
            summary.usable += usize::from(replica.is_usable());
            summary.free += replica.free();
            for (adapter, slot) in replica.adapters() {
                match slot.state {
                    State::Planned => summary.planned += 1,
                    State::Loading { .. } => summary.loading += 1,
                    State::Ready if replica.is_used(adapter) => summary.used += 1,
                    State::Ready => summary.idle += 1,
                    State::Retiring { .. } => summary.retiring += 1,
                    State::Unloading { .. } => summary.unloading += 1,
                }
            }
        }
        summary
    }

    /// Replicas, for figures and tests.
    pub fn replicas(&self) -> &BTreeMap<id::Upstream, Replica> {
        &self.replicas
    }

    /// When `tick` has something to do next, if that is known.
    pub fn next_due(&self, may_order: bool) -> Option<Instant> {
        let due = |replica: &Replica| -> Option<Instant> {
            if replica.pending.is_some() || replica.reporting || replica.upstream.draining {
                return None;
            }
            if replica.accepted.is_none() {
                return Some(replica.report_at);
            }
            if !may_order {
                return None;
            }
            replica.next_due()
        };
        let due = self.replicas.values().filter_map(due).min();
        let plan = self.plan_at.filter(|_| may_order);
        due.into_iter().chain(plan).min()
    }

    /// Lets time pass and says what must be done now. Without `may_order`, replicas are only asked
    /// for reports.
    pub fn tick(&mut self, may_order: bool, now: Instant) -> Vec<Action> {
        if may_order && self.plan_at.is_none_or(|at| now >= at) {
            self.plan_at = Some(now + PLAN_INTERVAL);
            self.planned_at = Some(now);
            self.wants.retain(|_, want| now < want.heard + WANT_LIFE);
            self.plan_models(now);
            let mut homes = self.homes();
            self.plan_wanted(&mut homes, now);
            self.plan_hot(&homes, now);
            self.retire_stale(now);
            self.retire_cold(&homes, now);
        }
        let mut actions = Vec::new();
        let mut transit = self.store_transit();
        let due = |replica: &&Replica| replica.needs_attention(now);
        let due = self.replicas.values().filter(due);
        let names: Vec<_> = due.map(|replica| replica.upstream.name.clone()).collect();
        for name in names {
            actions.extend(self.act(&name, may_order, &mut transit, now));
        }
        actions
    }

    fn store_transit(&self) -> usize {
        let from_store = |slot: &Slot| matches!(slot.state, State::Loading { .. }) && !slot.recent;
        let slots = self.replicas.values().flat_map(Replica::adapters);
        slots.filter(|(_, slot)| from_store(slot)).count()
    }

    fn newest(&self, adapter: &str) -> u64 {
        let announced = self.announced.get(adapter);
        announced.map_or(FIRST_VERSION, |(version, _)| *version)
    }
}
