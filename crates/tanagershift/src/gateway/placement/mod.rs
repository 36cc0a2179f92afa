//! Which adapter is loaded on which replica.
//!
//! The leader decides for all replicas, from the requests that the gateways count. An adapter that
//! requests wait for is loaded at once where the least work is expected; one with many requests gets
//! more replicas; places are kept free by retiring what is asked for least. Nothing here does input
//! or output: the caller hands events in with the time and carries out the actions.

mod replica;
#[cfg(test)]
mod tests;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::Instant;

pub use replica::{Adapter, Pending, Replica, Slot, State, is_model, model_of};

use super::{
    configuration::Configuration,
    dialect::{Operation, Ordered, Report},
    feed::{Demand, Place, Upstream},
};
use crate::{heat::Heat, id};

/// Limits and times of the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Adapters on their way to one replica at once; the engines' published limit.
    pub replica_transit: usize,
    /// Adapters on their way from the store to all replicas at once, at least. Where the store is
    /// at full speed with fewer, each load takes longer and as many end in a second.
    pub store_transit: usize,
    /// Places of each replica that are kept free.
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
            spare: 2,
            home_share: 0.1,
            retire_delay: Duration::from_millis(250),
            load_time: Duration::from_millis(250),
            check_interval: Duration::from_millis(40),
            report_lag: Duration::from_millis(600),
            version_grace: Duration::from_millis(3000),
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
/// Load time against the shortest one seen up to which the store counts as not crowded.
const FULL_SPEED: f64 = 1.5;
/// Change of the number of loads at once after one load.
const TRANSIT_STEP: f64 = 0.5;
/// Loads of base models a second where the configuration names no rate.
const MODEL_LOADS_DEFAULT: f64 = 1.0;
/// Time after which a load of a base model is asked for the first time.
const MODEL_CHECK: Duration = Duration::from_millis(500);
/// Time between two decisions on loads when no request waits.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of the newest load time in the mean.
const MEAN_WEIGHT: u32 = 32;
/// Time that a request is taken to run before any was seen.
const FIRST_RUN_TIME: f64 = 2.0;

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
    /// Replicas by loaded adapter, as of the last refresh.
    index: HashMap<Adapter, Vec<id::Upstream>>,
    listed: Vec<Upstream>,
    capacities: BTreeMap<String, super::configuration::Engine>,
    wants: BTreeMap<Adapter, Want>,
    announced: BTreeMap<Adapter, (u64, Instant)>,
    hot: Heat<Adapter>,
    keep: Heat<Adapter>,
    total: Heat<()>,
    models: Heat<String>,
    changes: Vec<Place>,
    next_order: u64,
    /// Shortest time of a load from the store that was seen lately.
    load_time: Duration,
    best_load_time: Duration,
    /// Adapters on their way from the store to all replicas at once.
    transit_limit: f64,
    /// When a base model may be loaded from the store next.
    next_model_load: Option<Instant>,
    /// When loads are decided next.
    plan_at: Option<Instant>,
}

impl Placement {
    /// Starts with no replica known.
    pub fn new(config: Config) -> Self {
        Self {
            load_time: config.load_time,
            best_load_time: Duration::MAX,
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
                engine.capacity(|model| replica.slots.contains_key(model))
            });
        }
    }

    /// Takes the platform's list.
    pub fn list(&mut self, upstreams: &[Upstream], now: Instant) {
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        self.replicas
            .retain(|name, _| listed.contains(name.as_str()));
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
                self.changes
                    .push(place(&upstream.name, adapter, slot.version));
            }
            self.replicas.insert(upstream.name.clone(), replica);
        }
        self.listed = upstreams.to_vec();
        self.size_replicas();
    }

    /// Takes what one gateway has counted.
    pub fn demand(&mut self, demand: &[Demand], now: Instant) {
        for one in demand {
            if one.came > 0 {
                self.models
                    .add(&model_of(&one.adapter).to_owned(), one.came, now);
                if is_model(&one.adapter) {
                    continue;
                }
                self.hot.add(&one.adapter, one.came, now);
                self.keep.add(&one.adapter, one.came, now);
                self.total.add(&(), one.came, now);
            }
            if one.waiting > 0 {
                self.want(&one.adapter, one.waiting, now);
            }
        }
    }

    /// Takes note that requests wait for an adapter that no replica has.
    pub fn want(&mut self, adapter: &str, jobs: u32, now: Instant) {
        if is_model(adapter) {
            return;
        }
        if let Some(want) = self.wants.get_mut(adapter) {
            want.heard = now;
            want.jobs = jobs;
            return;
        }
        let want = Want {
            since: now,
            heard: now,
            jobs,
        };
        self.wants.insert(adapter.to_owned(), want);
        self.plan_at = None;
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
            self.changes.push(place(replica, adapter, 0));
            ask_again(known, self.config.report_lag, now);
        }
    }

    /// Places that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Place> {
        std::mem::take(&mut self.changes)
    }

    /// Every place that requests may be sent to.
    pub fn places(&self) -> Vec<Place> {
        let ready = |(name, replica): (&String, &Replica)| -> Vec<Place> {
            let slots = replica.slots.iter();
            slots
                .filter(|(_, slot)| slot.state == State::Ready)
                .map(|(adapter, slot)| place(name, adapter, slot.version))
                .collect()
        };
        self.replicas.iter().flat_map(ready).collect()
    }

    /// Brings the index of `usable` up to date.
    pub fn refresh(&mut self) {
        self.index.clear();
        for (name, replica) in &self.replicas {
            for (adapter, slot) in replica.adapters() {
                if slot.state == State::Ready {
                    let holders = self.index.entry(adapter.clone()).or_default();
                    holders.push(name.clone());
                }
            }
        }
    }

    /// Replicas that a request for an adapter may be sent to now, with the version there.
    ///
    /// Needs an index that is up to date. An older version than the announced one counts only while no replica has the newest and the
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

    /// Takes note that requests wait for an adapter although some replicas have it, since these
    /// are busy; one more replica gets it unless one is on its way.
    pub fn press(&mut self, adapter: &str, now: Instant) {
        let coming = |replica: &Replica| {
            let slot = replica.slots.get(adapter);
            slot.is_some_and(|slot| matches!(slot.state, State::Planned | State::Loading { .. }))
        };
        let busy = self.store_transit() * 2 > self.transit_limit as usize;
        if !busy && !self.replicas.values().any(coming) {
            let mut expected = self.expected_work(now);
            self.plan(adapter, &mut expected, now);
        }
    }

    /// How many places are in which state, over all replicas.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            wanted: self.wants.len(),
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
            let slots = replica.slots.values();
            let times = slots.filter_map(|slot| match slot.state {
                State::Loading { check } | State::Unloading { check } => Some(check),
                State::Retiring { unload } => Some(unload),
                State::Planned | State::Ready => None,
            });
            times.min()
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
            self.wants.retain(|_, want| now < want.heard + WANT_LIFE);
            self.plan_models(now);
            let mut homes = self.homes();
            self.plan_wanted(&mut homes, now);
            self.plan_hot(&homes, now);
            self.retire_stale(now);
            self.retire_cold(now);
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

    /// Replicas by adapter that have its newest version, or will.
    fn homes(&self) -> BTreeMap<Adapter, usize> {
        let mut homes = BTreeMap::new();
        for replica in self.replicas.values().filter(|one| !one.upstream.draining) {
            for (adapter, slot) in &replica.slots {
                let staying = match slot.state {
                    State::Planned | State::Loading { .. } | State::Ready => true,
                    State::Retiring { .. } | State::Unloading { .. } => false,
                };
                if staying && slot.version >= self.newest(adapter) {
                    *homes.entry(adapter.clone()).or_default() += 1;
                }
            }
        }
        homes
    }

    /// Decides which base model a replica without any gets: the one with most requests for each
    /// replica that has it.
    fn plan_models(&mut self, now: Instant) {
        let empty = |replica: &&Replica| replica.is_usable() && replica.models().next().is_none();
        let empty = self.replicas.values().filter(empty);
        let names: Vec<id::Upstream> = empty.map(|one| one.upstream.name.clone()).collect();
        for name in names {
            let Some(replica) = self.replicas.get(&name) else {
                continue;
            };
            let Some(engine) = self.capacities.get(&replica.upstream.service) else {
                continue;
            };
            let need = |model: &str| {
                let holders = self.replicas.values();
                let holders = holders.filter(|one| one.slots.contains_key(model)).count();
                (self.models.value(&model.to_owned(), now) + 1.0) / (holders + 1) as f64
            };
            let fits = engine
                .models
                .iter()
                .filter(|one| one.weights_mb <= engine.weights_mb);
            let best = fits.max_by(|left, right| need(&left.name).total_cmp(&need(&right.name)));
            let Some(model) = best.map(|model| model.name.clone()) else {
                continue;
            };
            if let Some(replica) = self.replicas.get_mut(&name) {
                let slot = Slot::new(FIRST_VERSION, State::Planned, now);
                replica.slots.insert(model, slot);
            }
        }
        self.size_replicas();
    }

    /// Whether the weight store's rate allows one more base model now; takes the allowance.
    fn take_model_load(&mut self, service: &str, now: Instant) -> bool {
        if self.next_model_load.is_some_and(|next| now < next) {
            return false;
        }
        let engine = self.capacities.get(service);
        let rate = engine.map_or(0.0, |engine| engine.loads_per_second);
        let rate = if rate > 0.0 {
            rate
        } else {
            MODEL_LOADS_DEFAULT
        };
        self.next_model_load = Some(now + Duration::from_secs_f64(1.0 / rate));
        true
    }

    /// Loads that may be decided now: what the store takes, and a few that follow at once.
    ///
    /// More would only keep places from adapters that are loaded, for requests that have given up
    /// by the time their load begins.
    fn allowance(&self) -> usize {
        let planned = |slot: &Slot| slot.state == State::Planned && !slot.recent;
        let usable = self.replicas.values().filter(|one| one.is_usable());
        let slots = usable.flat_map(Replica::adapters);
        let planned = slots.filter(|(_, slot)| planned(slot)).count();
        let limit = self.transit_limit as usize;
        (limit + limit / 4).saturating_sub(self.store_transit() + planned)
    }

    /// Decides loads of adapters that requests wait for: those with most requests first, then those
    /// that wait longest.
    fn plan_wanted(&mut self, homes: &mut BTreeMap<Adapter, usize>, now: Instant) {
        let mut wanted: Vec<(Reverse<u32>, Instant, Adapter)> = self
            .wants
            .iter()
            .filter(|(adapter, _)| !homes.contains_key(*adapter))
            .map(|(adapter, want)| (Reverse(want.jobs), want.since, adapter.clone()))
            .collect();
        if wanted.is_empty() {
            return;
        }
        wanted.sort();
        let mut expected = self.expected_work(now);
        let allowance = self.allowance();
        for (_, _, adapter) in wanted.into_iter().take(allowance) {
            if self.plan(&adapter, &mut expected, now) {
                *homes.entry(adapter).or_default() += 1;
            }
        }
        self.wants.retain(|adapter, _| !homes.contains_key(adapter));
    }

    /// Gives adapters with many requests more replicas, once nothing else waits for the store.
    fn plan_hot(&mut self, homes: &BTreeMap<Adapter, usize>, now: Instant) {
        let allowance = self.allowance();
        if allowance == 0 || !self.wants.is_empty() {
            return;
        }
        let run_time = self.run_time(now);
        let slots = self.replicas.values().map(|one| one.upstream.slots).max();
        let share = (f64::from(slots.unwrap_or(0)) * self.config.home_share).max(1.0);
        let mut growing = Vec::new();
        for (adapter, rate) in self.hot.rates(now) {
            let wanted = (rate * run_time / share).ceil() as usize;
            if wanted == 0 {
                continue;
            }
            let have = homes.get(adapter).copied().unwrap_or(0);
            if wanted > have && (have > 0 || self.is_outdated(adapter)) {
                growing.push((adapter.clone(), wanted - have, rate));
            }
        }
        if growing.is_empty() {
            return;
        }
        growing.sort_by(|left, right| right.2.total_cmp(&left.2));
        let each = |(adapter, count, _): (Adapter, usize, f64)| std::iter::repeat_n(adapter, count);
        let growing: Vec<Adapter> = growing.into_iter().flat_map(each).take(allowance).collect();
        let mut expected = self.expected_work(now);
        for adapter in growing {
            self.plan(&adapter, &mut expected, now);
        }
    }

    /// Whether requests use an older version of an adapter than the announced one.
    fn is_outdated(&self, adapter: &str) -> bool {
        let newest = self.newest(adapter);
        let old = |slot: &Slot| slot.state == State::Ready && slot.version < newest;
        let mut slots = self
            .replicas
            .values()
            .filter_map(|one| one.slots.get(adapter));
        slots.any(old)
    }

    /// Mean time that a request stays at a replica, in seconds (Little's law).
    fn run_time(&self, now: Instant) -> f64 {
        let open: u32 = self.replicas.values().map(|one| one.open).sum();
        let rate = self.total.rate(&(), now);
        if open == 0 || rate < 1.0 {
            return FIRST_RUN_TIME;
        }
        (f64::from(open) / rate).clamp(0.5, 10.0)
    }

    /// Decides a load on the replica that expects least work, if any has room.
    fn plan(
        &mut self,
        adapter: &str,
        expected: &mut BTreeMap<id::Upstream, f64>,
        now: Instant,
    ) -> bool {
        let model = model_of(adapter);
        let rank = |replica: &Replica| {
            let load = expected.get(&replica.upstream.name).copied();
            let slots = f64::from(replica.upstream.slots.max(1));
            let open = f64::from(replica.open) / slots;
            let transit = replica.in_transit() as f64 * 0.05;
            let recent = if replica.held_recently(adapter) {
                0.4
            } else {
                0.0
            };
            load.unwrap_or(0.0) / slots + open + transit - recent
        };
        let fits = |replica: &&Replica| {
            replica.free() > 0
                && replica.is_usable()
                && replica.holds(model)
                && !replica.slots.contains_key(adapter)
        };
        let best = self
            .replicas
            .values()
            .filter(fits)
            .min_by(|left, right| rank(left).total_cmp(&rank(right)))
            .map(|replica| replica.upstream.name.clone());
        let Some(name) = best else {
            return false;
        };
        *expected.entry(name.clone()).or_default() += 1.0;
        let version = self.newest(adapter);
        if let Some(replica) = self.replicas.get_mut(&name) {
            let mut slot = Slot::new(version, State::Planned, now);
            slot.recent = replica.held_recently(adapter);
            replica.slots.insert(adapter.to_owned(), slot);
        }
        true
    }

    /// Requests that the demand should keep open at each replica.
    fn expected_work(&self, now: Instant) -> BTreeMap<String, f64> {
        let run_time = self.run_time(now);
        let mut counts: BTreeMap<&str, f64> = BTreeMap::new();
        for replica in self.replicas.values() {
            for adapter in replica.slots.keys() {
                *counts.entry(adapter).or_default() += 1.0;
            }
        }
        let work = |replica: &Replica| {
            let share = |adapter: &Adapter| self.hot.rate(adapter, now) / counts[adapter.as_str()];
            replica.slots.keys().map(share).sum::<f64>() * run_time
        };
        let entry = |replica: &Replica| (replica.upstream.name.clone(), work(replica));
        self.replicas.values().map(entry).collect()
    }

    /// Retires places whose version was replaced once enough replicas have the new one.
    fn retire_stale(&mut self, now: Instant) {
        let mut retired = Vec::new();
        for (adapter, (version, at)) in &self.announced {
            let mut stale = Vec::new();
            let (mut fresh, mut coming) = (0, 0);
            for (name, replica) in &self.replicas {
                match replica.slots.get(adapter) {
                    Some(slot) if slot.version >= *version => match slot.state {
                        State::Ready => fresh += 1,
                        _ => coming += 1,
                    },
                    Some(slot) if slot.state == State::Ready => stale.push(name.clone()),
                    _ => {}
                }
            }
            let late = now > *at + self.config.version_grace;
            let settled = fresh > 0 && (coming == 0 || fresh >= stale.len());
            // Where every replica has the old version, one must give it up first.
            let stuck = fresh + coming == 0 && now > *at + self.config.retire_delay;
            if settled || late {
                retired.extend(stale.into_iter().map(|name| (name, adapter.clone())));
            } else if stuck && let Some(name) = stale.into_iter().next() {
                retired.push((name, adapter.clone()));
            }
        }
        for (name, adapter) in retired {
            self.retire(&name, &adapter, now);
        }
    }

    /// Keeps places free by retiring what is asked for least.
    fn retire_cold(&mut self, now: Instant) {
        let homes = self.homes();
        let mut retired = Vec::new();
        for (name, replica) in self.replicas.iter().filter(|(_, one)| one.is_usable()) {
            let leaving = |slot: &&Slot| {
                matches!(slot.state, State::Retiring { .. } | State::Unloading { .. })
            };
            let free = replica.free() + replica.slots.values().filter(leaving).count();
            let spare = self.config.spare.min(replica.capacity / 2);
            let worth = |adapter: &Adapter| {
                let homes = homes.get(adapter).copied().unwrap_or(1).max(1);
                self.keep.value(adapter, now) / homes as f64
            };
            let settled = |(_, slot): &(&Adapter, &Slot)| {
                slot.state == State::Ready && now > slot.since + MIN_STAY
            };
            let mut ready: Vec<_> = replica.adapters().filter(settled).collect();
            ready.sort_by(|(left, _), (right, _)| {
                let used = replica.is_used(left).cmp(&replica.is_used(right));
                used.then(worth(left).total_cmp(&worth(right)))
            });
            let count = spare.saturating_sub(free);
            let coldest = ready.into_iter().take(count);
            retired.extend(coldest.map(|(adapter, _)| (name.clone(), adapter.clone())));
        }
        for (name, adapter) in retired {
            self.retire(&name, &adapter, now);
        }
    }

    fn retire(&mut self, name: &str, adapter: &str, now: Instant) {
        let unload = now + self.config.retire_delay;
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.set(adapter, State::Retiring { unload }, now);
            self.changes.push(place(name, adapter, 0));
        }
    }

    /// The next step at one replica.
    fn act(
        &mut self,
        name: &str,
        may_order: bool,
        transit: &mut usize,
        now: Instant,
    ) -> Option<Action> {
        let config = &self.config;
        let replica = self.replicas.get_mut(name)?;
        if replica.upstream.draining || replica.pending.is_some() || replica.reporting {
            return None;
        }
        let Some(expect) = replica.accepted else {
            if now < replica.report_at {
                return None;
            }
            replica.reporting = true;
            return Some(Action::Report {
                replica: name.to_owned(),
            });
        };
        if !may_order {
            return None;
        }
        let (operation, adapter) =
            next_order(replica, config, *transit < self.transit_limit as usize, now)?;
        let slot = replica.slots.get(&adapter)?;
        let planned = slot.state == State::Planned;
        if planned && is_model(&adapter) {
            let service = replica.upstream.service.clone();
            if !self.take_model_load(&service, now) {
                return None;
            }
        } else if planned && !slot.recent {
            *transit += 1;
        }
        let replica = self.replicas.get_mut(name)?;
        let slot = replica.slots.get(&adapter)?;
        let named = operation == Operation::Load && slot.version > FIRST_VERSION;
        let version = named.then_some(slot.version);
        let number = self.next_order;
        self.next_order += 1;
        replica.pending = Some(Pending {
            number,
            operation,
            adapter: adapter.clone(),
        });
        Some(Action::Order {
            replica: name.to_owned(),
            number,
            operation,
            adapter,
            version,
            expect,
        })
    }

    /// Takes the outcome of an order.
    pub fn ordered(&mut self, name: &str, number: u64, outcome: Ordered, now: Instant) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(pending) = replica.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        match outcome {
            Ordered::Accepted | Ordered::Holds => self.carried_out(name, &pending, outcome, now),
            Ordered::Conflict => ask_again(replica, self.config.report_lag, now),
            // The order may still be carried out, so its place stays taken and it is repeated.
            Ordered::Unknown | Ordered::Fenced => {}
            Ordered::Gone => {
                // What was decided for it is decided again, elsewhere.
                replica.slots.retain(|_, slot| slot.state != State::Planned);
                ask_again(replica, self.config.report_lag, now);
            }
            Ordered::Invalid => {
                replica.remove(&pending.adapter);
                self.changes.push(place(name, &pending.adapter, 0));
            }
        }
    }

    fn carried_out(&mut self, name: &str, pending: &Pending, outcome: Ordered, now: Instant) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let check = now + self.config.check_interval;
        let Some(slot) = replica.slots.get(&pending.adapter).cloned() else {
            return;
        };
        let first = matches!(slot.state, State::Planned | State::Retiring { .. });
        // An idle adapter is unloaded before the answer, which says that it holds and counts.
        let unloaded = pending.operation == Operation::Unload && outcome == Ordered::Holds;
        if first && (outcome == Ordered::Accepted || unloaded) {
            replica.accepted = replica.accepted.map(|accepted| accepted + 1);
        }
        match (pending.operation, outcome) {
            (Operation::Load, Ordered::Holds) => {
                let loading = matches!(slot.state, State::Loading { .. });
                replica.set(&pending.adapter, State::Ready, now);
                self.changes
                    .push(place(name, &pending.adapter, slot.version));
                if !self.wants.is_empty() {
                    self.plan_at = None;
                }
                if is_model(&pending.adapter) {
                    self.size_replicas();
                } else if loading && !slot.recent {
                    self.note_load_time(now.duration_since(slot.since));
                }
            }
            (Operation::Load, _) if first => {
                let wait = match (is_model(&pending.adapter), slot.recent) {
                    (true, _) => MODEL_CHECK,
                    (false, true) => self.load_time / 10,
                    (false, false) => self.load_time,
                };
                let check = now + wait;
                replica.set(&pending.adapter, State::Loading { check }, now);
            }
            (Operation::Load, _) => {
                if let Some(slot) = replica.slots.get_mut(&pending.adapter) {
                    slot.state = State::Loading { check };
                }
            }
            (Operation::Unload, Ordered::Holds) => {
                replica.remove(&pending.adapter);
                if !self.wants.is_empty() {
                    self.plan_at = None;
                }
            }
            (Operation::Unload, _) => {
                replica.set(&pending.adapter, State::Unloading { check }, now);
            }
        }
    }

    /// Learns when a load can be asked for at the earliest, a mean that falls fast and rises slowly,
    /// and how many loads at once the store carries out at full speed.
    fn note_load_time(&mut self, time: Duration) {
        let weight = if time < self.load_time {
            2
        } else {
            MEAN_WEIGHT
        };
        self.load_time = (self.load_time * (weight - 1) + time) / weight;
        self.best_load_time = self.best_load_time.min(time);
        let least = self.config.store_transit as f64;
        let crowded = self.best_load_time.mul_f64(FULL_SPEED) + self.config.check_interval;
        let binding = self.store_transit() + 2 >= self.transit_limit as usize;
        if time > crowded {
            self.transit_limit = (self.transit_limit - TRANSIT_STEP).max(least);
        } else if binding && !self.wants.is_empty() {
            self.transit_limit += TRANSIT_STEP;
        }
    }

    /// Takes a report, or that there was none.
    pub fn reported(&mut self, name: &str, report: Option<&Report>, now: Instant) {
        let config = self.config.clone();
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(report) = report else {
            replica.reporting = false;
            replica.report_at = now + config.report_lag;
            return;
        };
        let before = ready_places(name, replica);
        replica.take_report(report, config.check_interval, now);
        let after = ready_places(name, replica);
        let gone = before.iter().filter(|one| !after.contains(one));
        let gone = gone.filter(|one| after.iter().all(|other| other.adapter != one.adapter));
        let mut changes: Vec<Place> = gone.map(|one| place(name, &one.adapter, 0)).collect();
        changes.extend(after.iter().filter(|one| !before.contains(one)).cloned());
        self.changes.extend(changes);
    }
}

fn ready_places(name: &str, replica: &Replica) -> Vec<Place> {
    let ready = replica.slots.iter();
    ready
        .filter(|(_, slot)| slot.state == State::Ready)
        .map(|(adapter, slot)| place(name, adapter, slot.version))
        .collect()
}

fn ask_again(replica: &mut Replica, lag: Duration, now: Instant) {
    replica.accepted = None;
    replica.report_at = now + lag;
}

fn place(replica: &str, adapter: &str, version: u64) -> Place {
    Place {
        replica: replica.to_owned(),
        adapter: adapter.to_owned(),
        version,
    }
}

/// The order that a replica needs next: checks that are due, then loads, then unloads.
fn next_order(
    replica: &Replica,
    config: &Config,
    store_free: bool,
    now: Instant,
) -> Option<(Operation, Adapter)> {
    let due = |slot: &Slot| match slot.state {
        State::Loading { check } if now >= check => Some(Operation::Load),
        State::Unloading { check } if now >= check => Some(Operation::Unload),
        _ => None,
    };
    let mut slots = replica.slots.iter();
    if let Some((adapter, operation)) = slots.find_map(|(name, slot)| Some((name, due(slot)?))) {
        return Some((operation, adapter.clone()));
    }
    let planned = |slot: &Slot| slot.state == State::Planned;
    let model = replica
        .models()
        .find(|model| planned(&replica.slots[*model]));
    if let Some(model) = model {
        return Some((Operation::Load, model.clone()));
    }
    let present = replica
        .adapters()
        .filter(|(_, slot)| !planned(slot))
        .count();
    if present < replica.capacity && replica.in_transit() < config.replica_transit {
        let may_load = |slot: &Slot| planned(slot) && (slot.recent || store_free);
        let loads = replica.adapters().filter(|(_, slot)| may_load(slot));
        if let Some((adapter, _)) = loads.min_by_key(|(_, slot)| slot.since) {
            return Some((Operation::Load, adapter.clone()));
        }
    }
    let retired = |slot: &Slot| matches!(slot.state, State::Retiring { unload } if now >= unload);
    let mut slots = replica.slots.iter();
    let (adapter, _) = slots.find(|(_, slot)| retired(slot))?;
    Some((Operation::Unload, adapter.clone()))
}
