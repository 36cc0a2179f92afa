//! What requests want: adapters that no replica has, or too few.

use std::time::Duration;

use tokio::time::Instant;

use super::{PLAN_PAUSE, Placement, Replica, State, Want, is_model, model_of};
use crate::gateway::message::Demand;

impl Placement {
    /// Takes what one gateway has counted.
    pub fn demand(&mut self, demand: &[Demand], now: Instant) {
        for one in demand {
            if one.requests > 0 {
                self.models
                    .add(&model_of(&one.adapter).to_owned(), one.requests, now);
                if is_model(&one.adapter) {
                    continue;
                }
                self.hot.add(&one.adapter, one.requests, now);
                self.keep.add(&one.adapter, one.requests, now);
                self.total.add(&(), one.requests, now);
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
        self.plan_soon();
    }

    /// Lets loads be decided as soon as the last decision is old enough; deciding looks at every
    /// place, and many at once cost the leader less than each by itself.
    pub(super) fn plan_soon(&mut self) {
        self.plan_at = self.planned_at.map(|last| last + PLAN_PAUSE);
    }

    /// Time after which an adapter would be loaded that is on no replica and on its way to none; `None`
    /// for any other. Orders are given from `orders_from`.
    ///
    /// Loads end at the rate at which the store carries them out, those wanted before come first.
    pub fn load_wait(&self, adapter: &str, orders_from: Instant, now: Instant) -> Option<Duration> {
        let coming = |one: &Replica| one.slots.contains_key(adapter);
        let held = self.index.contains_key(adapter) || self.replicas.values().any(coming);
        if is_model(adapter) || held {
            return None;
        }
        let ahead = match self.wants.contains_key(adapter) {
            true => 0,
            false => self.wants.len() + self.store_transit(),
        };
        let rounds = ahead as f64 / self.transit_limit.max(1.0);
        let silence = orders_from.saturating_duration_since(now);
        Some(silence + self.load_time.mul_f64(rounds + 1.0))
    }

    /// Takes note that requests wait for an adapter although some replicas have it, since these
    /// are busy; one more replica gets it unless one is on its way.
    pub fn press(&mut self, adapter: &str, now: Instant) {
        let coming = |replica: &Replica| {
            let slot = replica.slots.get(adapter);
            slot.is_some_and(|slot| matches!(slot.state, State::Planned | State::Loading { .. }))
        };
        let (transit, limit) = (self.store_transit(), self.transit_limit as usize);
        // Adapters that no replica has come first.
        let busy = match self.wants.is_empty() {
            true => transit >= limit,
            false => transit * 2 > limit,
        };
        if !busy && !self.replicas.values().any(coming) {
            let mut expected = self.expected_work(now);
            self.plan(adapter, &mut expected, now);
        }
    }
}
