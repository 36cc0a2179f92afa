//! Which loads are decided, and which places are given up.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    Adapter, FIRST_VERSION, MIN_STAY, Placement, Replica, Slot, State, carry::place, model_of,
};
use crate::id;

/// Loads of base models a second where the configuration names no rate.
const MODEL_LOADS_DEFAULT: f64 = 1.0;
/// Time that a request is taken to run before any was seen.
const FIRST_RUN_TIME: f64 = 2.0;

impl Placement {
    /// Replicas by adapter that have its newest version, or will.
    pub(super) fn homes(&self) -> HashMap<Adapter, usize> {
        let mut homes = HashMap::new();
        for replica in self.replicas.values().filter(|one| !one.upstream.draining) {
            for (adapter, slot) in &replica.slots {
                let staying = match slot.state {
                    State::Planned | State::Loading { .. } | State::Ready => true,
                    State::Retiring { .. } | State::Unloading { .. } => false,
                };
                if !staying || slot.version < self.newest(adapter) {
                    continue;
                }
                match homes.get_mut(adapter) {
                    Some(count) => *count += 1,
                    None => {
                        homes.insert(adapter.clone(), 1);
                    }
                }
            }
        }
        homes
    }

    /// Decides which base model a replica without any gets: the one with most requests for each
    /// replica that has it.
    pub(super) fn plan_models(&mut self, now: Instant) {
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
                .filter(|one| one.weights_mb <= engine.weight_memory_mb);
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
    pub(super) fn take_model_load(&mut self, service: &str, now: Instant) -> bool {
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
    pub(super) fn allowance(&self) -> usize {
        let planned = |slot: &Slot| slot.state == State::Planned && !slot.recent;
        let usable = self.replicas.values().filter(|one| one.is_usable());
        let slots = usable.flat_map(Replica::adapters);
        let planned = slots.filter(|(_, slot)| planned(slot)).count();
        let limit = self.transit_limit as usize;
        (limit + limit / 4).saturating_sub(self.store_transit() + planned)
    }

    /// Decides loads of adapters that requests wait for: those with most requests first, then those
    /// that wait longest.
    pub(super) fn plan_wanted(&mut self, homes: &mut HashMap<Adapter, usize>, now: Instant) {
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
    pub(super) fn plan_hot(&mut self, homes: &HashMap<Adapter, usize>, now: Instant) {
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
    pub(super) fn is_outdated(&self, adapter: &str) -> bool {
        let newest = self.newest(adapter);
        let old = |slot: &Slot| slot.state == State::Ready && slot.version < newest;
        let mut slots = self
            .replicas
            .values()
            .filter_map(|one| one.slots.get(adapter));
        slots.any(old)
    }

    /// Mean time that a request stays at a replica, in seconds (Little's law).
    pub(super) fn run_time(&self, now: Instant) -> f64 {
        let open: u32 = self.replicas.values().map(|one| one.open).sum();
        let rate = self.total.rate(&(), now);
        if open == 0 || rate < 1.0 {
            return FIRST_RUN_TIME;
        }
        (f64::from(open) / rate).clamp(0.5, 10.0)
    }

    /// Decides a load on the replica that expects least work, if any has room.
    pub(super) fn plan(
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
    pub(super) fn expected_work(&self, now: Instant) -> BTreeMap<String, f64> {
        let run_time = self.run_time(now);
        let mut shares: HashMap<&str, f64> = HashMap::new();
        for adapter in self.replicas.values().flat_map(|one| one.slots.keys()) {
            *shares.entry(adapter).or_default() += 1.0;
        }
        for (adapter, share) in &mut shares {
            *share = self.hot.rate(*adapter, now) / *share;
        }
        let work = |replica: &Replica| {
            let share = |adapter: &Adapter| shares[adapter.as_str()];
            replica.slots.keys().map(share).sum::<f64>() * run_time
        };
        let entry = |replica: &Replica| (replica.upstream.name.clone(), work(replica));
        self.replicas.values().map(entry).collect()
    }

    /// Retires places whose version was replaced once enough replicas have the new one.
    pub(super) fn retire_stale(&mut self, now: Instant) {
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
    pub(super) fn retire_cold(&mut self, homes: &HashMap<Adapter, usize>, now: Instant) {
        let mut retired = Vec::new();
        for (name, replica) in self.replicas.iter().filter(|(_, one)| one.is_usable()) {
            let leaving = |slot: &&Slot| {
                matches!(slot.state, State::Retiring { .. } | State::Unloading { .. })
            };
            let free = replica.free() + replica.slots.values().filter(leaving).count();
            let spare = self.config.spare.min(replica.capacity / 2);
            let count = spare.saturating_sub(free);
            if count == 0 {
                continue;
            }
            let worth = |adapter: &Adapter| {
                let homes = homes.get(adapter).copied().unwrap_or(1).max(1);
                self.keep.value(adapter, now) / homes as f64
            };
            let settled = |(_, slot): &(&Adapter, &Slot)| {
                slot.state == State::Ready && now > slot.since + MIN_STAY
            };
            let settled = replica.adapters().filter(settled);
            let rank = |adapter: &Adapter| (replica.is_used(adapter), worth(adapter));
            let mut ready: Vec<_> = settled.map(|(one, _)| (rank(one), one)).collect();
            ready.sort_by(|(left, _), (right, _)| {
                left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
            });
            let coldest = ready.into_iter().take(count);
            retired.extend(coldest.map(|(_, adapter)| (name.clone(), adapter.clone())));
        }
        for (name, adapter) in retired {
            self.retire(&name, &adapter, now);
        }
    }

    pub(super) fn retire(&mut self, name: &str, adapter: &str, now: Instant) {
        let unload = now + self.config.retire_delay;
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.set(adapter, State::Retiring { unload }, now);
            self.change(place(name, adapter, 0));
        }
    }
}
