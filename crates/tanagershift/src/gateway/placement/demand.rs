//! Demand for adapters: request counts, and adapters that no replica has or too few replicas have.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    Adapter, LoadRequest, MIN_PLAN_INTERVAL, Placement, Replica, State, is_model, model_of,
};
use crate::gateway::message::Demand;

impl Placement {
    /// Records the requests per adapter or base model that one gateway has counted.
    pub fn record_demand(&mut self, demand: &[Demand], now: Instant) {
        for one in demand {
            if one.requests > 0 {
                self.model_requests
                    .add(&model_of(&one.adapter).to_owned(), one.requests, now);
                if is_model(&one.adapter) {
                    continue;
                }
                self.request_rates.add(&one.adapter, one.requests, now);
                self.retention_scores.add(&one.adapter, one.requests, now);
                self.total_rate.add(&(), one.requests, now);
            }
            if one.waiting > 0 {
                self.request_load(&one.adapter, one.waiting, now);
            }
        }
    }

    /// Requests the load of an adapter that no replica has; `waiting` is the number of requests
    /// that wait for it.
    ///
    /// Must be repeated within `LOAD_REQUEST_TTL` as long as requests wait. Ignored for base
    /// models.
    pub fn request_load(&mut self, adapter: &str, waiting: u32, now: Instant) {
        if is_model(adapter) {
            return;
        }
        if let Some(request) = self.load_requests.get_mut(adapter) {
            request.last_requested = now;
            request.waiting = waiting;
            return;
        }
        let request = LoadRequest {
            first_requested: now,
            last_requested: now,
            waiting,
        };
        self.load_requests.insert(adapter.to_owned(), request);
        self.plan_soon();
    }

    /// Schedules a planning pass as soon as `MIN_PLAN_INTERVAL` allows it. A pass visits every
    /// adapter slot, so planning many loads in one pass costs the leader less than a pass for each.
    pub(super) fn plan_soon(&mut self) {
        self.next_plan_at = self.last_planned_at.map(|last| last + MIN_PLAN_INTERVAL);
    }

    /// Estimated time until an adapter is loaded that is neither loaded nor planned on any replica;
    /// `None` for all other adapters and for base models. No orders are sent before `orders_from`.
    ///
    /// The estimate assumes that the store runs as many loads at a time as the limit allows. An
    /// adapter that is already requested is taken to be loaded next, and any other one after all
    /// pending load requests and loads in progress.
    pub fn load_wait(&self, adapter: &str, orders_from: Instant, now: Instant) -> Option<Duration> {
        let has_slot = |one: &Replica| one.slots.contains_key(adapter);
        let placed = self.index.contains_key(adapter) || self.replicas.values().any(has_slot);
        if is_model(adapter) || placed {
            return None;
        }
        let ahead = match self.load_requests.contains_key(adapter) {
            true => 0,
            false => self.load_requests.len() + self.last_permits.in_use(),
        };
        let rounds = ahead as f64 / self.store.limit(now).max(1) as f64;
        let until_orders = orders_from.saturating_duration_since(now);
        Some(until_orders + self.load_time.mul_f64(rounds + 1.0))
    }

    /// Plans a load of an adapter on a replica of a software version, since streams that began at that
    /// version need it there. Does nothing while a load of it there is planned or in progress.
    pub fn load_at(&mut self, adapter: &str, software: &str, now: Instant) {
        let loading = |replica: &Replica| {
            let slot = replica.slots.get(adapter);
            replica.upstream.software == software
                && slot.is_some_and(|slot| {
                    matches!(slot.state, State::Planned | State::Loading { .. })
                })
        };
        if is_model(adapter) || self.load_budget(now) == 0 || self.replicas.values().any(loading) {
            return;
        }
        let mut expected = self.expected_work(now);
        self.plan_load_at(adapter, Some(software), &mut expected, now);
    }

    /// Whether a replica of a service takes requests for a base model at a software version.
    pub fn serves_at(&self, service: &str, model: &str, software: &str, now: Instant) -> bool {
        let mut holders = self.holders(model, now);
        holders.any(|one| one.upstream.service == service && one.upstream.software == software)
    }

    /// Plans loads of adapters on one more replica each because requests wait at the busy replicas
    /// that have them. Skips those of which a load is planned or in progress, and stops when the store
    /// is busy: adapters that no replica has take precedence.
    pub fn scale_out<'a>(&mut self, adapters: impl Iterator<Item = &'a Adapter>, now: Instant) {
        let loading = |replica: &Replica, adapter: &Adapter| {
            let slot = replica.slots.get(adapter);
            slot.is_some_and(|slot| matches!(slot.state, State::Planned | State::Loading { .. }))
        };
        let limit = match self.load_requests.is_empty() {
            true => self.store.limit(now),
            false => self.store.limit(now) / 2,
        };
        let mut expected = None;
        for adapter in adapters {
            if self.last_permits.in_use() + self.last_permits.planned >= limit {
                return;
            }
            if self.replicas.values().any(|one| loading(one, adapter)) {
                continue;
            }
            let mut work = expected.take().unwrap_or_else(|| self.expected_work(now));
            self.plan_load(adapter, &mut work, now);
            expected = Some(work);
        }
    }
}
