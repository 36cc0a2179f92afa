//! Request rates that upstreams in need have named.
//!
//! An upstream names in its answers how many requests a second it takes from all hosts together. The
//! leader spends them: on requests that it assigns itself, and on permits for gateways, which select
//! upstreams of plain services by themselves. A permit is good for one request and a short time, so
//! that the sum stays within the limit however many gateways there are.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use super::message::{LimitReport, Permit};
use crate::{emit, id};

/// Time for which the room of an upstream that gets no requests is saved up.
const SAVING_TIME: Duration = Duration::from_millis(250);
/// Time for which a permit is good.
pub const PERMIT_TIME: Duration = Duration::from_millis(1000);
/// Time after which a gateway's demand counts half.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);
/// Longest time that a rejected request is told to wait for room.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Shortest time that a rejected request is told to wait for room.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Parses a rate in requests a second. `None` if it is not a number of at least zero.
pub fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Requests that one upstream still takes.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    per_second: f64,
    /// Requests that could be sent at `updated_at`; negative if it got more than it takes.
    room: f64,
    updated_at: Instant,
}

impl Bucket {
    fn room_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at);
        let saved = (self.per_second * SAVING_TIME.as_secs_f64()).max(1.0);
        (self.room + passed.as_secs_f64() * self.per_second).min(saved)
    }

    fn set(&mut self, per_second: f64, now: Instant) {
        self.room = self.room_at(now);
        self.updated_at = now;
        self.per_second = per_second;
    }

    fn spend(&mut self, now: Instant) {
        self.room = self.room_at(now) - 1.0;
        self.updated_at = now;
    }
}

/// Demand of one gateway for the upstreams of a service that has one at its limit.
#[derive(Clone, Copy, Debug)]
struct Demand {
    requests: f64,
    updated_at: Instant,
    /// What the gateway is owed, in permits.
    credit: f64,
}

impl Demand {
    fn requests_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let half_lives = age.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.requests * 0.5_f64.powf(half_lives)
    }
}

/// The leader's limits of all upstreams.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: BTreeMap<id::Upstream, Bucket>,
    /// When each upstream last named a limit, or named none any more.
    observed_at: BTreeMap<id::Upstream, Instant>,
    demand: BTreeMap<(String, id::Host), Demand>,
    /// Upstreams whose limit has changed since the last [`Limits::take_changes`].
    changed: BTreeSet<id::Upstream>,
}

impl Limits {
    /// Records a limit that a gateway has learnt; the last answer of the upstream counts.
    pub fn observe(&mut self, report: &LimitReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        let upstream = &report.upstream;
        if self
            .observed_at
            .get(upstream)
            .is_some_and(|known| at < *known)
        {
            return;
        }
        self.observed_at.insert(upstream.clone(), at);
        let known = self.buckets.get(upstream).map(|bucket| bucket.per_second);
        if known == report.per_second {
            return;
        }
        self.changed.insert(upstream.clone());
        let Some(per_second) = report.per_second else {
            self.buckets.remove(upstream);
            return;
        };
        let bucket = self.buckets.entry(upstream.clone()).or_insert(Bucket {
            per_second,
            room: 0.0,
            updated_at: now,
        });
        bucket.set(per_second, now);
    }

    /// Whether any upstream has named a limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Whether an upstream takes another request now.
    pub fn has_room(&self, upstream: &str, now: Instant) -> bool {
        let bucket = self.buckets.get(upstream);
        bucket.is_none_or(|bucket| bucket.room_at(now) >= 1.0)
    }

    /// Upstreams that take no further request now.
    pub fn full(&self, now: Instant) -> BTreeSet<id::Upstream> {
        let full = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.room_at(now) < 1.0);
        full.map(|(name, _)| name.clone()).collect()
    }

    /// Whether an upstream has named a limit.
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.buckets.contains_key(upstream)
    }

    /// Counts a request or an order that is sent to an upstream.
    pub fn spend(&mut self, upstream: &str, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(upstream) {
            bucket.spend(now);
        }
    }

    /// Records that a gateway had requests for a service that has an upstream at its limit.
    pub fn record_demand(&mut self, service: &str, host: &str, requests: u32, now: Instant) {
        let key = (service.to_owned(), host.to_owned());
        let demand = self.demand.entry(key).or_insert(Demand {
            requests: 0.0,
            updated_at: now,
            credit: 0.0,
        });
        demand.requests = demand.requests_at(now) + f64::from(requests);
        demand.updated_at = now;
    }

    /// Gives the room that an upstream of a plain service has to a gateway, by demand in turn.
    pub fn issue_permit(
        &mut self,
        upstream: &str,
        service: &str,
        now: Instant,
    ) -> Option<id::Host> {
        if !self.buckets.contains_key(upstream) || !self.has_room(upstream, now) {
            return None;
        }
        let wanting = self.demand.iter_mut().filter(|((of, _), _)| of == service);
        let (mut total, mut best) = (0.0, None);
        for ((_, host), demand) in wanting {
            let weight = demand.requests_at(now);
            demand.credit += weight;
            total += weight;
            if weight > f64::EPSILON
                && best
                    .as_ref()
                    .is_none_or(|(credit, _)| demand.credit > *credit)
            {
                best = Some((demand.credit, host.clone()));
            }
        }
        let (_, host) = best?;
        if let Some(demand) = self.demand.get_mut(&(service.to_owned(), host.clone())) {
            demand.credit -= total;
        }
        self.spend(upstream, now);
        Some(host)
    }

    /// Limits of all upstreams, as a newly subscribed gateway is told them.
    pub fn reports(&self) -> Vec<LimitReport> {
        let names = self.buckets.keys();
        names.map(|name| self.report(name)).collect()
    }

    /// Limits that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitReport> {
        let changed = std::mem::take(&mut self.changed);
        changed.iter().map(|name| self.report(name)).collect()
    }

    fn report(&self, upstream: &str) -> LimitReport {
        LimitReport {
            upstream: upstream.to_owned(),
            per_second: self.buckets.get(upstream).map(|bucket| bucket.per_second),
            age_ms: 0,
        }
    }

    /// Drops upstreams that are no longer listed, and gateways without demand.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>, now: Instant) {
        self.buckets
            .retain(|name, _| listed.contains(name.as_str()));
        self.observed_at
            .retain(|name, _| listed.contains(name.as_str()));
        self.demand
            .retain(|_, demand| demand.requests_at(now) > 0.01);
    }
}

/// One gateway's knowledge of an upstream's limit.
#[derive(Clone, Debug)]
struct Known {
    per_second: f64,
    /// Until when each permit is good.
    permits: VecDeque<Instant>,
}

/// Limits as one gateway knows them, and its permits.
#[derive(Debug, Default)]
pub struct Permits {
    known: BTreeMap<id::Upstream, Known>,
    /// What the leader must be told: limits that answers named or no longer named, and when.
    unreported: BTreeMap<id::Upstream, (Option<f64>, Instant)>,
}

impl Permits {
    /// Whether any upstream has named a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records the limit that an answer names, or that it names none. Returns whether that is new.
    pub fn observe(&mut self, upstream: &str, per_second: Option<f64>, now: Instant) -> bool {
        if !self.set(upstream, per_second) {
            return false;
        }
        match per_second {
            Some(rate) => emit!(LIMIT_NAMED, "upstream={upstream} per_second={rate}"),
            None => emit!(LIMIT_ENDED, "upstream={upstream}"),
        }
        self.unreported
            .insert(upstream.to_owned(), (per_second, now));
        true
    }

    /// Applies a limit that the leader tells. Returns whether it is new.
    pub fn set(&mut self, upstream: &str, per_second: Option<f64>) -> bool {
        let known = self.known.get(upstream).map(|known| known.per_second);
        if known == per_second {
            return false;
        }
        match per_second {
            None => {
                self.known.remove(upstream);
            }
            Some(per_second) => {
                let new = || Known {
                    per_second,
                    permits: VecDeque::new(),
                };
                let known = self.known.entry(upstream.to_owned()).or_insert_with(new);
                known.per_second = per_second;
            }
        }
        true
    }

    /// Marks all known limits as unreported, since another leader is watched from now on.
    pub fn report_again(&mut self, now: Instant) {
        for (name, known) in &self.known {
            let report = (Some(known.per_second), now);
            self.unreported.entry(name.clone()).or_insert(report);
        }
    }

    /// Takes the limits that the leader must be told.
    pub fn take_reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let unreported = std::mem::take(&mut self.unreported);
        let report =
            |(upstream, (per_second, at)): (id::Upstream, (Option<f64>, Instant))| LimitReport {
                upstream,
                per_second,
                age_ms: now.saturating_duration_since(at).as_millis() as u64,
            };
        unreported.into_iter().map(report).collect()
    }

    /// Adds a permit of the leader.
    pub fn add(&mut self, permit: &Permit, now: Instant) {
        if let Some(known) = self.known.get_mut(&permit.upstream) {
            known.permits.push_back(now + PERMIT_TIME);
        }
    }

    /// Whether a request may be sent to an upstream now.
    pub fn permits(&self, upstream: &str, now: Instant) -> bool {
        let known = self.known.get(upstream);
        known.is_none_or(|known| known.permits.iter().any(|until| now < *until))
    }

    /// Takes a permit for a request that is about to be sent; false if there is none and the
    /// upstream has named a limit.
    pub fn take(&mut self, upstream: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(upstream) else {
            return true;
        };
        known.permits.retain(|until| now < *until);
        known.permits.pop_front().is_some()
    }

    /// Time after which some of these upstreams will have room for one of `hosts` gateways.
    pub fn retry_after<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a str>,
        hosts: u32,
    ) -> Duration {
        let known = upstreams.filter_map(|upstream| self.known.get(upstream));
        let per_second: f64 = known.map(|known| known.per_second).sum();
        let share = per_second / f64::from(hosts.max(1));
        let wait = Duration::try_from_secs_f64(1.0 / share).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Drops upstreams that are no longer listed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>) {
        self.known.retain(|name, _| listed.contains(name.as_str()));
    }
}
