//! Planning: decides which adapters and base models to load and which adapters to evict.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    Adapter, FIRST_VERSION, LoadRequest, MIN_RESIDENCY, Placement, Replica, Slot, State, model_of,
    orders::residency,
};
use crate::id;

/// Loads of base models from the store per second if the configuration sets no rate.
const DEFAULT_MODEL_LOADS_PER_SECOND: f64 = 1.0;
/// Replicas that the loads of one planning pass compare, over all loads. In a large fleet further loads are
/// planned by the next passes, so that the leader's heartbeats and grants go out in between.
const MAX_COMPARISONS: usize = 60_000;
/// Assumed mean run time of a request until enough requests have been observed.
const INITIAL_RUN_TIME_SECONDS: f64 = 2.0;
/// Time that an eviction takes after the delay in which gateways learn of it.
const EVICTION_MARGIN: Duration = Duration::from_millis(150);
/// Requests that were expected since the last one above which a rate is not plausible.
const MAX_SILENT_REQUESTS: f64 = 2.5;
/// Weight of the observed rate among adapters whose rates are not plausible any more.
const OBSERVED_RATE_WEIGHT: f64 = 0.01;
/// Penalty for each load that a replica already has before it, as a share of its slots.
const LOADING_PENALTY: f64 = 0.05;
/// Penalty of a replica where a further load would have to wait for the earlier ones.
const QUEUE_PENALTY: f64 = 1.0;

impl Placement {
    /// For each adapter, the number of replicas on which its newest version is loaded, loading or
    /// planned. Draining and gone replicas and adapters that are being evicted don't count.
    pub(super) fn replica_counts(&self, now: Instant) -> HashMap<Adapter, usize> {
        let mut replica_counts = HashMap::new();
        for replica in self
            .replicas
            .values()
            .filter(|one| !one.upstream.draining && !one.is_gone(now))
        {
            for (adapter, slot) in &replica.slots {
                let staying = match slot.state {
                    State::Planned => !replica.is_stuck(),
                    State::Loading { .. } | State::Ready => true,
                    State::Retiring { .. } | State::Unloading { .. } => false,
                };
                if !staying || slot.version < self.newest(adapter) {
                    continue;
                }
                match replica_counts.get_mut(adapter) {
                    Some(count) => *count += 1,
                    None => {
                        replica_counts.insert(adapter.clone(), 1);
                    }
                }
            }
        }
        replica_counts
    }

    /// Plans the load of a base model on each replica that has none. Chooses the model with the
    /// most requests relative to the number of replicas that have it.
    pub(super) fn plan_models(&mut self, now: Instant) {
        let empty = |replica: &&Replica| replica.is_usable() && replica.models().next().is_none();
        let empty = self.replicas.values().filter(empty);
        let names: Vec<id::Upstream> = empty.map(|one| one.upstream.name.clone()).collect();
        for name in names {
            let Some(replica) = self.replicas.get(&name) else {
                continue;
            };
            let Some(engine) = self.engines.get(&replica.upstream.service) else {
                continue;
            };
            let demand_per_replica = |model: &str| {
                let holders = self.replicas.values();
                let holders = holders.filter(|one| one.slots.contains_key(model)).count();
                (self.model_requests.value(&model.to_owned(), now) + 1.0) / (holders + 1) as f64
            };
            let fits = engine
                .models
                .iter()
                .filter(|one| one.weights_mb <= engine.weight_memory_mb);
            let best = fits.max_by(|left, right| {
                demand_per_replica(&left.name).total_cmp(&demand_per_replica(&right.name))
            });
            let Some(model) = best.map(|model| model.name.clone()) else {
                continue;
            };
            if let Some(replica) = self.replicas.get_mut(&name) {
                let slot = Slot::new(FIRST_VERSION, State::Planned, now);
                replica.slots.insert(model, slot);
            }
        }
        self.update_capacities();
    }

    /// Whether the rate limit of the weight store allows the load of a base model now. If it does,
    /// the load counts against the limit.
    pub(super) fn acquire_model_load(&mut self, service: &str, now: Instant) -> bool {
        if self.next_model_load.is_some_and(|next| now < next) {
            return false;
        }
        let engine = self.engines.get(service);
        let rate = engine.map_or(0.0, |engine| engine.loads_per_second);
        let rate = if rate > 0.0 {
            rate
        } else {
            DEFAULT_MODEL_LOADS_PER_SECOND
        };
        self.next_model_load = Some(now + Duration::from_secs_f64(1.0 / rate));
        true
    }

    /// Number of loads that may be planned now: enough to reach the limit on concurrent loads from
    /// the store, plus a quarter of the limit that can begin as soon as others end.
    ///
    /// Planning more would take slots from loaded adapters for requests that time out before their
    /// load begins.
    pub(super) fn load_budget(&self, now: Instant) -> usize {
        let permits = self.permits(now);
        let limit = self.store.limit(now);
        let budget = (limit + limit / 4).saturating_sub(permits.in_use() + permits.planned);
        budget.min((MAX_COMPARISONS / self.replicas.len().max(1)).max(1))
    }

    /// Plans the requested loads: the adapters with the most waiting requests first, then those
    /// requested the longest ago.
    pub(super) fn plan_load_requests(
        &mut self,
        replica_counts: &mut HashMap<Adapter, usize>,
        now: Instant,
    ) {
        let usable = self.replicas.values().filter(|one| one.is_usable());
        let free: usize = usable.map(Replica::free_slots).sum();
        let budget = self.load_budget(now).min(free);
        if budget == 0 {
            return;
        }
        let requested = self.load_requests.iter();
        let requested = requested.filter(|(adapter, _)| !replica_counts.contains_key(*adapter));
        let rank = |(adapter, request): (&Adapter, &LoadRequest)| {
            let LoadRequest {
                waiting,
                first_requested,
                ..
            } = *request;
            (Reverse(waiting), first_requested, adapter.clone())
        };
        let mut requested: Vec<(Reverse<u32>, Instant, Adapter)> = requested.map(rank).collect();
        if requested.is_empty() {
            return;
        }
        requested.sort();
        let mut expected = self.expected_work(now);
        for (_, _, adapter) in requested.into_iter().take(budget) {
            if self.plan_load(&adapter, &mut expected, now) {
                *replica_counts.entry(adapter).or_default() += 1;
            }
        }
        let is_coming = |adapter: &Adapter| replica_counts.contains_key(adapter);
        self.load_requests.retain(|adapter, _| !is_coming(adapter));
    }

    /// Plans loads of adapters with many requests on more replicas, unless load requests are
    /// pending or the store is at its limit.
    pub(super) fn plan_scale_out(
        &mut self,
        replica_counts: &HashMap<Adapter, usize>,
        now: Instant,
    ) {
        let budget = self.load_budget(now);
        if budget == 0 || !self.load_requests.is_empty() {
            return;
        }
        let run_time = self.mean_run_time(now);
        let slots = self.replicas.values().map(|one| one.upstream.slots).max();
        let requests_per_replica =
            (f64::from(slots.unwrap_or(0)) * self.config.scale_out_share).max(1.0);
        let mut missing = Vec::new();
        for (adapter, rate) in self.request_rates.rates(now) {
            let wanted = (rate * run_time / requests_per_replica).ceil() as usize;
            if wanted == 0 {
                continue;
            }
            let have = replica_counts.get(adapter).copied().unwrap_or(0);
            if wanted > have && (have > 0 || self.is_outdated(adapter)) {
                missing.push((adapter.clone(), wanted - have, rate));
            }
        }
        if missing.is_empty() {
            return;
        }
        missing.sort_by(|left, right| right.2.total_cmp(&left.2));
        let repeat =
            |(adapter, count, _): (Adapter, usize, f64)| std::iter::repeat_n(adapter, count);
        let missing: Vec<Adapter> = missing.into_iter().flat_map(repeat).take(budget).collect();
        let mut expected = self.expected_work(now);
        for adapter in missing {
            self.plan_load(&adapter, &mut expected, now);
        }
    }

    /// Whether any replica has an older version of an adapter ready than the announced one.
    pub(super) fn is_outdated(&self, adapter: &str) -> bool {
        let newest = self.newest(adapter);
        let outdated = |slot: &Slot| slot.state == State::Ready && slot.version < newest;
        let mut slots = self
            .replicas
            .values()
            .filter_map(|one| one.slots.get(adapter));
        slots.any(outdated)
    }

    /// Mean time that a request spends at a replica, in seconds, by Little's law.
    pub(super) fn mean_run_time(&self, now: Instant) -> f64 {
        let open: u32 = self.replicas.values().map(|one| one.open_requests).sum();
        let rate = self.total_rate.rate(&(), now);
        if open == 0 || rate < 1.0 {
            return INITIAL_RUN_TIME_SECONDS;
        }
        (f64::from(open) / rate).clamp(0.5, 10.0)
    }

    /// Plans a load on the replica with the least expected work among those with a free slot.
    /// Returns whether there was one.
    pub(super) fn plan_load(
        &mut self,
        adapter: &str,
        expected: &mut BTreeMap<id::Upstream, f64>,
        now: Instant,
    ) -> bool {
        self.plan_load_at(adapter, None, expected, now)
    }

    /// The same, only on replicas of a software version if there is one.
    pub(super) fn plan_load_at(
        &mut self,
        adapter: &str,
        software: Option<&str>,
        expected: &mut BTreeMap<id::Upstream, f64>,
        now: Instant,
    ) -> bool {
        let model = model_of(adapter);
        let max_loads = self.config.max_loads_per_replica;
        let rank = |replica: &Replica| {
            let work = expected.get(&replica.upstream.name).copied();
            let slots = f64::from(replica.upstream.slots.max(1));
            let open = f64::from(replica.open_requests) / slots;
            let coming = replica.coming_count();
            let loading_penalty = coming as f64 * LOADING_PENALTY;
            let queue_penalty = match coming >= max_loads || replica.unanswered_orders > 0 {
                true => QUEUE_PENALTY,
                false => 0.0,
            };
            let fast_load_bonus = if replica.held_recently(adapter) {
                0.4
            } else {
                0.0
            };
            let busy = work.unwrap_or(0.0) / slots + open;
            busy * replica.pace + loading_penalty + queue_penalty - fast_load_bonus
        };
        let fits = |replica: &&Replica| {
            replica.is_usable()
                && !replica.is_paused(now)
                && !replica.is_gone(now)
                && !replica.is_stuck()
                && software.is_none_or(|one| one == replica.upstream.software)
                && replica.holds(model)
                && !replica.slots.contains_key(adapter)
                && replica.free_slots() > 0
        };
        let best = self
            .replicas
            .values()
            .filter(fits)
            .map(|replica| (rank(replica), replica))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, replica)| replica.upstream.name.clone());
        let Some(name) = best else {
            return false;
        };
        *expected.entry(name.clone()).or_default() += 1.0;
        let version = self.newest(adapter);
        if let Some(replica) = self.replicas.get_mut(&name) {
            let mut slot = Slot::new(version, State::Planned, now);
            slot.recently_held = replica.held_recently(adapter);
            self.last_permits.planned += usize::from(!slot.recently_held);
            replica.slots.insert(adapter.to_owned(), slot);
        }
        true
    }

    /// Expected number of open requests at each replica, from the request rates of its adapters.
    pub(super) fn expected_work(&self, now: Instant) -> BTreeMap<String, f64> {
        let run_time = self.mean_run_time(now);
        // Replicas of each adapter at first, then its request rate per replica.
        let mut shares: HashMap<&str, f64> = HashMap::new();
        for adapter in self.replicas.values().flat_map(|one| one.slots.keys()) {
            *shares.entry(adapter).or_default() += 1.0;
        }
        for (adapter, share) in &mut shares {
            *share = self.request_rates.rate(*adapter, now) / *share;
        }
        let work = |replica: &Replica| {
            let share = |adapter: &Adapter| shares[adapter.as_str()];
            replica.slots.keys().map(share).sum::<f64>() * run_time
        };
        let entry = |replica: &Replica| (replica.upstream.name.clone(), work(replica));
        self.replicas.values().map(entry).collect()
    }

    /// Retires outdated versions of announced adapters once enough replicas have the newest
    /// version, or once the grace period has passed.
    pub(super) fn retire_outdated(&mut self, now: Instant) {
        let mut retired = Vec::new();
        for (adapter, (version, announced_at)) in &self.announced {
            let mut outdated = Vec::new();
            let (mut updated, mut updating) = (0, 0);
            for (name, replica) in &self.replicas {
                match replica.slots.get(adapter) {
                    Some(slot) if slot.version >= *version => match slot.state {
                        State::Ready => updated += 1,
                        _ => updating += 1,
                    },
                    Some(slot) if slot.state == State::Ready => outdated.push(name.clone()),
                    _ => {}
                }
            }
            let grace_passed = now > *announced_at + self.config.version_grace;
            let enough_updated = updated > 0 && (updating == 0 || updated >= outdated.len());
            // A replica can have only one version of an adapter. If no load of the newest version
            // is planned, perhaps because every replica has an old one, a replica must unload that
            // first.
            let none_updating =
                updated + updating == 0 && now > *announced_at + self.config.retire_delay;
            if enough_updated || grace_passed {
                retired.extend(outdated.into_iter().map(|name| (name, adapter.clone())));
            } else if none_updating && let Some(name) = outdated.into_iter().next() {
                retired.push((name, adapter.clone()));
            }
        }
        for (name, adapter) in retired {
            self.retire(&name, &adapter, now);
        }
    }

    /// Slots to keep free on each replica: `Config::min_free_slots`, or, while requests wait for
    /// adapters, as many as the store fills during one eviction.
    fn min_free_slots(&self) -> usize {
        let least = self.config.min_free_slots;
        if self.load_requests.is_empty() {
            return least;
        }
        let usable = self.replicas.values().filter(|one| one.is_usable());
        let free: usize = usable.map(Replica::free_slots).sum();
        let eviction = self.config.retire_delay + EVICTION_MARGIN;
        let load_time = self.store.shortest().unwrap_or(self.load_time);
        let filled = self.store.finding().limit * eviction.div_duration_f64(load_time);
        if free as f64 >= filled {
            return least;
        }
        let replicas = self.replicas.len().max(1) as f64;
        least.max((filled / replicas).ceil() as usize)
    }

    /// Expected rate of requests for an adapter, by which adapters are kept: the observed one, but no
    /// more than the time since the last request allows for. The demand for an adapter that has been
    /// silent for longer has moved on.
    fn retention_score(&self, adapter: &str, now: Instant) -> f64 {
        let rate = self.retention_scores.rate(adapter, now);
        let silence = self.retention_scores.age(adapter, now).as_secs_f64();
        rate.min(MAX_SILENT_REQUESTS / silence.max(0.001)) + rate * OBSERVED_RATE_WEIGHT
    }

    /// Keeps slots free on each replica by retiring its adapters with the fewest recent requests per
    /// replica that has them. Adapters without running requests are retired first.
    pub(super) fn retire_least_requested(
        &mut self,
        replica_counts: &HashMap<Adapter, usize>,
        now: Instant,
    ) {
        let mut retired = Vec::new();
        let free_slots = self.min_free_slots();
        for (name, replica) in self.replicas.iter().filter(|(_, one)| one.is_usable()) {
            let leaving = |slot: &&Slot| {
                matches!(slot.state, State::Retiring { .. } | State::Unloading { .. })
            };
            let free = replica.free_slots() + replica.slots.values().filter(leaving).count();
            let min_free_slots = free_slots.min(replica.capacity / 2);
            let count = min_free_slots.saturating_sub(free);
            if count == 0 {
                continue;
            }
            let demand_per_replica = |adapter: &Adapter| {
                let replicas = replica_counts.get(adapter).copied().unwrap_or(1).max(1);
                self.retention_score(adapter, now) / replicas as f64
            };
            let evictable = |(_, slot): &(&Adapter, &Slot)| {
                slot.state == State::Ready && now > slot.since + MIN_RESIDENCY
            };
            let evictable = replica.adapters().filter(evictable);
            let rank = |adapter: &Adapter| (replica.is_used(adapter), demand_per_replica(adapter));
            let mut ranked: Vec<_> = evictable.map(|(one, _)| (rank(one), one)).collect();
            ranked.sort_by(|(left, _), (right, _)| {
                left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
            });
            let least_requested = ranked.into_iter().take(count);
            retired.extend(least_requested.map(|(_, adapter)| (name.clone(), adapter.clone())));
        }
        for (name, adapter) in retired {
            self.retire(&name, &adapter, now);
        }
    }

    /// Stops sending requests to an adapter on a replica and schedules its unload.
    pub(super) fn retire(&mut self, name: &str, adapter: &str, now: Instant) {
        let unload_at = now + self.config.retire_delay;
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.set_state(adapter, State::Retiring { unload_at }, now);
            self.record_change(residency(name, adapter, 0));
        }
    }
}
