//! Placement of adapters on replicas.
//!
//! The leader decides for all replicas, based on the request counts that the gateways report. An
//! adapter that requests wait for is loaded at once, on the replica with the least expected work.
//! An adapter with many requests gets more replicas. Adapter slots are kept free by evicting the
//! adapters with the fewest requests. This module does no input or output: the caller passes in
//! events together with the current time and executes the returned actions.
//!
//! * `replica`: the adapter slots of one replica.
//! * `plan`: decides which adapters to load and which to evict.
//! * `orders`: chooses the next order for each replica and applies answers and reports.
//! * `store`: finds how many concurrent loads the weight store bears.
//! * `permit`: counts the loads from the store that are known to be in progress.
//! * `summary`: counts for the log and the metrics.
//! * `demand`: records request counts and requests for loads, and estimates the wait for a load.

mod demand;
pub mod message;
mod orders;
mod permit;
#[cfg(test)]
mod permit_tests;
mod plan;
mod replica;
mod store;
#[cfg(test)]
mod store_tests;
mod summary;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use orders::{residency, schedule_report};
pub use permit::Permits;
pub use replica::{Adapter, PendingOrder, Replica, Slot, State, is_model, model_of};
pub use store::Finding;
use store::Store;
pub use summary::Summary;

use super::{
    configuration::Configuration,
    dialect::Operation,
    message::{Residency, Upstream},
};
use crate::{decaying_counts::DecayingCounts, id};

/// Limits and times of the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Maximum number of concurrent loads on one replica, as documented for the engines.
    pub max_loads_per_replica: usize,
    /// Initial limit on concurrent loads from the weight store, over all replicas. The limit adapts
    /// to the observed load times.
    pub initial_load_limit: usize,
    /// Lower bound of that limit.
    pub min_load_limit: usize,
    /// Adapter slots that are kept free on each replica, so that a load can begin without waiting
    /// for an eviction. All replicas together keep about as many free as the store fills during one
    /// eviction.
    pub min_free_slots: usize,
    /// Share of a replica's request slots that one adapter's requests should fill before the
    /// adapter gets another replica.
    pub scale_out_share: f64,
    /// Delay between retiring an adapter and ordering its unload, in which all gateways learn to
    /// stop sending requests to it.
    pub retire_delay: Duration,
    /// Expected duration of a load from the store until one has been observed.
    pub initial_load_time: Duration,
    /// Interval at which an order that a replica is still executing is repeated to poll its
    /// outcome.
    pub check_interval: Duration,
    /// Maximum age of a report. When the state of a replica has become unclear, the next report is
    /// requested only after this time, so that it reflects all earlier orders.
    pub report_lag: Duration,
    /// Time after an announcement during which requests may still go to the older version.
    pub version_grace: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_loads_per_replica: 4,
            initial_load_limit: 20,
            min_load_limit: 8,
            min_free_slots: 1,
            scale_out_share: 0.1,
            retire_delay: Duration::from_millis(250),
            initial_load_time: Duration::from_millis(250),
            check_interval: Duration::from_millis(40),
            report_lag: Duration::from_millis(600),
            version_grace: Duration::from_millis(1500),
        }
    }
}

/// Half-life of the request counts that determine how many replicas an adapter gets.
const RATE_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Half-life of the request counts that determine which adapter is evicted.
const RETENTION_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time after which a load request that no gateway repeats is dropped.
const LOAD_REQUEST_TTL: Duration = Duration::from_millis(300);
/// Version of an adapter for which no version has been announced.
pub const FIRST_VERSION: u64 = 1;
/// Time after a load during which the adapter is neither evicted for other adapters nor considered
/// missing.
const MIN_RESIDENCY: Duration = Duration::from_millis(1500);
/// Minimum time between two planning passes. Small compared with the duration of a load.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// Initial limit on concurrent loads from the store, divided by the number of replicas. Used if the
/// resulting limit exceeds `Config::initial_load_limit`: a store is sized for the fleet that it
/// serves.
const INITIAL_LOADS_PER_REPLICA: f64 = 0.66;
/// Time between two planning passes while no new load request arrives.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// An action that the caller must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order and pass its outcome to `handle_order_outcome`.
    Order {
        /// Replica that the order is sent to.
        replica: id::Upstream,
        /// Number of the order, which `handle_order_outcome` takes with the outcome.
        number: u64,
        /// Whether to load or to unload.
        operation: Operation,
        /// Adapter or base model to load or unload.
        adapter: Adapter,
        /// Version to load; `None` for an unload and for the first version.
        version: Option<u64>,
        /// Number of orders that the replica must have accepted before this one.
        expect: u64,
    },
    /// Request a report from a replica and pass it to `handle_report`.
    Report {
        /// Replica that the report is requested from.
        replica: id::Upstream,
    },
}

/// A pending request to load an adapter that no replica has.
#[derive(Clone, Debug)]
struct LoadRequest {
    first_requested: Instant,
    last_requested: Instant,
    /// Requests that wait for the adapter.
    waiting: u32,
}

/// State of the placement of all adapters on all replicas, kept by the leader.
#[derive(Debug)]
pub struct Placement {
    config: Config,
    replicas: BTreeMap<id::Upstream, Replica>,
    /// Names of the replicas that have an adapter or base model ready, by its name.
    index: HashMap<Adapter, Vec<id::Upstream>>,
    /// Upstreams on the platform's list, including those of services without an engine.
    listed: Vec<Upstream>,
    /// Engine settings by service.
    engines: BTreeMap<String, super::configuration::Engine>,
    load_requests: BTreeMap<Adapter, LoadRequest>,
    /// Newest announced version of each adapter and when it was announced.
    announced: BTreeMap<Adapter, (u64, Instant)>,
    /// Recent requests by adapter, which determine its number of replicas.
    request_rates: DecayingCounts<Adapter>,
    /// Requests by adapter over a longer time. Adapters with the lowest counts are evicted first.
    retention_scores: DecayingCounts<Adapter>,
    /// Recent requests for all adapters together.
    total_rate: DecayingCounts<()>,
    /// Requests by base model, including requests for its adapters.
    model_requests: DecayingCounts<String>,
    /// Residencies that changed since the last `take_changes`.
    changes: Vec<Residency>,
    next_order_number: u64,
    /// Time after which about half of the loads from the store have ended. Loads are polled for the
    /// first time after it.
    load_time: Duration,
    /// Limit on concurrent loads from the store, over all replicas.
    store: Store,
    /// Loads from the store at the last tick.
    last_permits: Permits,
    /// When the next base model may be loaded from the store.
    next_model_load: Option<Instant>,
    /// When the next planning pass is due.
    next_plan_at: Option<Instant>,
    /// When the last planning pass ran.
    last_planned_at: Option<Instant>,
}

impl Placement {
    /// Creates a placement without replicas.
    pub fn new(config: Config) -> Self {
        Self {
            load_time: config.initial_load_time,
            last_permits: Permits::default(),
            store: Store::new(config.initial_load_limit, config.min_load_limit),
            config,
            replicas: BTreeMap::new(),
            index: HashMap::new(),
            listed: Vec::new(),
            next_model_load: None,
            engines: BTreeMap::new(),
            load_requests: BTreeMap::new(),
            announced: BTreeMap::new(),
            request_rates: DecayingCounts::new(RATE_HALF_LIFE),
            retention_scores: DecayingCounts::new(RETENTION_HALF_LIFE),
            total_rate: DecayingCounts::new(RATE_HALF_LIFE),
            model_requests: DecayingCounts::new(RETENTION_HALF_LIFE),
            next_plan_at: None,
            last_planned_at: None,
            changes: Vec::new(),
            next_order_number: 1,
        }
    }

    /// Applies the engine settings of the configuration, such as the adapter slots of a replica.
    pub fn configure(&mut self, configuration: &Configuration, now: Instant) {
        let services = configuration.services.values();
        self.engines = services
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)))
            .collect();
        let listed = std::mem::take(&mut self.listed);
        self.set_upstreams(&listed, now);
    }

    /// Recomputes the number of adapter slots of each replica.
    fn update_capacities(&mut self) {
        for replica in self.replicas.values_mut() {
            let engine = self.engines.get(&replica.upstream.service);
            replica.capacity = engine.map_or(0, |engine| {
                engine.adapter_capacity(|model| replica.slots.contains_key(model))
            });
        }
    }

    /// Replaces the known replicas by those on the platform's list.
    ///
    /// State of a replica that stays on the list is kept. Upstreams of services without an engine
    /// are ignored.
    pub fn set_upstreams(&mut self, upstreams: &[Upstream], now: Instant) {
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        self.replicas
            .retain(|name, _| listed.contains(name.as_str()));
        self.index.retain(|_, holders| {
            holders.retain(|name| listed.contains(name.as_str()));
            !holders.is_empty()
        });
        for upstream in upstreams {
            if !self.engines.contains_key(&upstream.service) {
                continue;
            }
            if let Some(known) = self.replicas.get_mut(&upstream.name) {
                known.upstream.draining = upstream.draining;
                continue;
            }
            let replica = Replica::new(upstream.clone(), now);
            for (adapter, slot) in &replica.slots {
                self.record_change(residency(&upstream.name, adapter, slot.version));
            }
            self.replicas.insert(upstream.name.clone(), replica);
        }
        let fleet_limit = self.replicas.len() as f64 * INITIAL_LOADS_PER_REPLICA;
        self.store.raise(fleet_limit);
        self.listed = upstreams.to_vec();
        self.update_capacities();
    }

    /// Sets the number of requests that all gateways together have open at a replica.
    pub fn set_open_requests(&mut self, replica: &str, open_requests: u32) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.open_requests = open_requests;
        }
    }

    /// Sets how long work takes at a replica, compared with the usual.
    pub fn set_pace(&mut self, replica: &str, pace: f64) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.pace = pace;
        }
    }

    /// Records that a replica has announced that it leaves. It gets no more orders and no requests.
    pub fn set_leaving(&mut self, replica: &str) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.upstream.draining = true;
        }
    }

    /// Sets until when a replica is taken for gone. It gets no requests until then, and adapters that
    /// only it has are loaded elsewhere.
    pub fn set_gone(&mut self, replica: &str, until: Option<Instant>) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.gone_until = until;
        }
    }

    /// Sets the pauses that replicas have asked this leader's own host for, each with its end. A
    /// replica gets no orders before, and loads that were planned there are planned elsewhere.
    pub fn set_order_pauses(&mut self, pauses: &BTreeMap<id::Upstream, Instant>, now: Instant) {
        for (name, until) in pauses.iter().filter(|(_, until)| now < **until) {
            let Some(replica) = self.replicas.get_mut(name) else {
                continue;
            };
            replica.orders_from = Some(*until);
            replica.slots.retain(|_, slot| slot.state != State::Planned);
        }
    }

    /// Updates the number of requests that run on an adapter of a replica: one begins or, if
    /// `begins` is false, ends.
    pub fn count_use(&mut self, replica: &str, adapter: &str, begins: bool) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.count_use(adapter, begins);
        }
    }

    /// Records an announced version of an adapter. Versions older than the newest are ignored.
    pub fn announce(&mut self, adapter: &str, version: u64, now: Instant) {
        let known = self.announced.get(adapter);
        if known.is_none_or(|(known, _)| *known < version) {
            self.announced.insert(adapter.to_owned(), (version, now));
        }
    }

    /// Records that a replica answered a request with an error saying that it does not have the
    /// adapter.
    ///
    /// The adapter is removed from the state of the replica, and a new report is requested. An
    /// error within `MIN_RESIDENCY` after the adapter became ready is ignored.
    pub fn mark_missing(&mut self, replica: &str, adapter: &str, now: Instant) {
        let Some(known) = self.replicas.get_mut(replica) else {
            return;
        };
        let ready = |slot: &Slot| slot.state == State::Ready && now > slot.since + MIN_RESIDENCY;
        if known.slots.get(adapter).is_some_and(ready) {
            known.slots.remove(adapter);
            schedule_report(known, self.config.report_lag, now);
            self.record_change(residency(replica, adapter, 0));
        }
    }

    /// Returns the residencies that changed since the last call and clears them.
    pub fn take_changes(&mut self) -> Vec<Residency> {
        std::mem::take(&mut self.changes)
    }

    /// Every adapter and base model that requests may be sent to, with its replica and version.
    pub fn residencies(&self) -> Vec<Residency> {
        let ready = |(name, replica): (&String, &Replica)| -> Vec<Residency> {
            let slots = replica.slots.iter();
            slots
                .filter(|(_, slot)| slot.state == State::Ready)
                .map(|(adapter, slot)| residency(name, adapter, slot.version))
                .collect()
        };
        self.replicas.iter().flat_map(ready).collect()
    }

    /// Updates the index and the list of changes. If the version of the change is zero, no more
    /// requests may be sent to the adapter on that replica.
    fn record_change(&mut self, change: Residency) {
        let holders = self.index.entry(change.adapter.clone()).or_default();
        let known = holders.iter().position(|name| *name == change.replica);
        match (known, change.version > 0) {
            (None, true) => holders.push(change.replica.clone()),
            (Some(position), false) => {
                holders.swap_remove(position);
            }
            (Some(_), true) | (None, false) => {}
        }
        if holders.is_empty() {
            self.index.remove(&change.adapter);
        }
        self.changes.push(change);
    }

    /// Replicas that a request for an adapter may be sent to now, each with the version it has
    /// loaded.
    ///
    /// Replicas with an older version than the announced one are returned only while no replica has
    /// the newest version and `Config::version_grace` has not passed.
    pub fn usable(&self, adapter: &str, now: Instant) -> Vec<(&Replica, u64)> {
        let ready = |replica: &Replica| {
            let slot = replica.slots.get(adapter)?;
            let usable =
                slot.state == State::Ready && !replica.upstream.draining && !replica.is_gone(now);
            usable.then_some(slot.version)
        };
        let holders = self.index.get(adapter).map_or(&[][..], Vec::as_slice);
        let found = holders.iter().filter_map(|name| self.replicas.get(name));
        let found = found.filter_map(|replica| Some((replica, ready(replica)?)));
        let mut found: Vec<(&Replica, u64)> = found.collect();
        if let Some((newest, announced_at)) = self.announced.get(adapter) {
            let has_newest = found.iter().any(|(_, version)| version >= newest);
            if has_newest || now > *announced_at + self.config.version_grace {
                found.retain(|(_, version)| version >= newest);
            }
        }
        found
    }

    /// Replicas that have a base model loaded and are not draining.
    pub fn holders<'a>(
        &'a self,
        model: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Replica> {
        let replicas = self.replicas.values();
        let lives = move |one: &&Replica| !one.upstream.draining && !one.is_gone(now);
        replicas.filter(lives).filter(move |one| one.holds(model))
    }

    /// All known replicas by name.
    pub fn replicas(&self) -> &BTreeMap<id::Upstream, Replica> {
        &self.replicas
    }

    /// When `tick` must be called next; `None` if nothing is scheduled.
    pub fn next_due(&self, may_order: bool) -> Option<Instant> {
        let due = |replica: &Replica| -> Option<Instant> {
            if replica.pending.is_some() || replica.report_pending || replica.upstream.draining {
                return None;
            }
            let due = match replica.accepted_orders {
                None => Some(replica.report_at),
                Some(_) if may_order => replica.next_due(),
                Some(_) => None,
            };
            due.max(due.and(replica.orders_from))
        };
        let due = self.replicas.values().filter_map(due).min();
        let plan = self.next_plan_at.filter(|_| may_order);
        due.into_iter().chain(plan).min()
    }

    /// Advances to the given time and returns the actions that are due. Without `may_order`, the
    /// only actions are requests for reports.
    pub fn tick(&mut self, may_order: bool, now: Instant) -> Vec<Action> {
        if may_order && self.next_plan_at.is_none_or(|at| now >= at) {
            self.next_plan_at = Some(now + IDLE_PLAN_INTERVAL);
            self.last_planned_at = Some(now);
            self.load_requests
                .retain(|_, request| now < request.last_requested + LOAD_REQUEST_TTL);
            self.drop_stale_plans(now);
            self.plan_models(now);
            let mut replica_counts = self.replica_counts(now);
            self.plan_load_requests(&mut replica_counts, now);
            self.plan_scale_out(&replica_counts, now);
            self.retire_outdated(now);
            self.retire_least_requested(&replica_counts, now);
        }
        let mut actions = Vec::new();
        self.last_permits = self.permits(now);
        let mut store_loads = self.last_permits.in_use();
        self.store.observe(store_loads, now);
        let due = |replica: &&Replica| replica.needs_attention(now);
        let due = self.replicas.values().filter(due);
        let names: Vec<_> = due.map(|replica| replica.upstream.name.clone()).collect();
        for name in names {
            actions.extend(self.next_action(&name, may_order, &mut store_loads, now));
        }
        actions
    }

    /// Newest announced version of an adapter; `FIRST_VERSION` if none has been announced.
    fn newest(&self, adapter: &str) -> u64 {
        let announced = self.announced.get(adapter);
        announced.map_or(FIRST_VERSION, |(version, _)| *version)
    }
}
