//! A gateway's share of the places at brittle upstreams, for as long as no leader assigns them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use crate::{emit, gateway::message::BrittleReport, id};

/// Time for which a service stays brittle after the last upstream that said so has left the list.
const LINGER: Duration = Duration::from_secs(10);
/// Part of the places of a service that all gateways together use in turn if there are fewer places than
/// gateways.
const TURN_SHARE: f64 = 0.15;
/// Time that a request is assumed to take until one has ended.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);
/// Weight of the last request in the mean time of requests.
const RUN_TIME_WEIGHT: f64 = 0.2;
/// Most doublings of the time between turns after rejections.
const MAX_BACKOFF: u32 = 6;

/// What an upstream has said of itself.
#[derive(Clone, Debug)]
struct Mark {
    service: String,
    allowance: u32,
    unlisted_at: Option<Instant>,
}

/// Turns of a gateway at a service with fewer places than gateways.
#[derive(Clone, Debug, Default)]
struct Turns {
    next_at: Option<Instant>,
    run_time: Option<Duration>,
    /// Doublings of the time between two turns.
    backoff: u32,
}

/// Whether a request may be sent without a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It may be sent now.
    Now,
    /// This gateway's next turn comes at this time.
    At(Instant),
}

/// Brittle upstreams as one gateway knows them.
#[derive(Debug, Default)]
pub struct Shares {
    marks: BTreeMap<id::Upstream, Mark>,
    turns: BTreeMap<String, Turns>,
    /// What the leader must be told: what answers said of their upstreams, and when.
    unreported: BTreeMap<id::Upstream, (String, Option<u32>, Instant)>,
    /// Requests that each upstream has rejected for want of room since the previous tally.
    rejections: BTreeMap<id::Upstream, u32>,
}

impl Shares {
    /// Records what an answer of an upstream of a service says. Returns whether that is new.
    pub fn observe(
        &mut self,
        upstream: &str,
        service: &str,
        allowance: Option<u32>,
        now: Instant,
    ) -> bool {
        if !self.set(upstream, service, allowance) {
            return false;
        }
        match allowance {
            Some(allowance) => emit!(
                BRITTLE_NAMED,
                "upstream={upstream} service={service} rejections_per_s={allowance}"
            ),
            None => emit!(BRITTLE_ENDED, "upstream={upstream} service={service}"),
        }
        let report = (service.to_owned(), allowance, now);
        self.unreported.insert(upstream.to_owned(), report);
        true
    }

    /// Applies a mark that the leader tells. Returns whether it is new.
    pub fn set(&mut self, upstream: &str, service: &str, allowance: Option<u32>) -> bool {
        let known = self.marks.get(upstream).map(|mark| mark.allowance);
        if known == allowance {
            return false;
        }
        match allowance {
            None => {
                self.marks.remove(upstream);
            }
            Some(allowance) => {
                let mark = Mark {
                    service: service.to_owned(),
                    allowance,
                    unlisted_at: None,
                };
                self.marks.insert(upstream.to_owned(), mark);
            }
        }
        true
    }

    /// Whether the upstreams of a service are brittle.
    pub fn is_bounded(&self, service: &str) -> bool {
        self.marks.values().any(|mark| mark.service == service)
    }

    /// Records that an upstream of a service has rejected a request for want of room.
    pub fn record_rejection(&mut self, upstream: &str, service: &str) {
        if !self.is_bounded(service) {
            return;
        }
        *self.rejections.entry(upstream.to_owned()).or_default() += 1;
        let turns = self.turns.entry(service.to_owned()).or_default();
        turns.backoff = (turns.backoff + 1).min(MAX_BACKOFF);
    }

    /// Records that a request has run at an upstream of a service for a time.
    pub fn record_run(&mut self, service: &str, time: Duration) {
        if !self.is_bounded(service) {
            return;
        }
        let turns = self.turns.entry(service.to_owned()).or_default();
        let mean = turns.run_time.map_or(time, |mean| {
            mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + time.mul_f64(RUN_TIME_WEIGHT)
        });
        turns.run_time = Some(mean);
        turns.backoff = turns.backoff.saturating_sub(1);
    }

    /// Takes this gateway's turn at a service with fewer places than gateways, if it has come. All
    /// gateways together fill a small part of the places, at random times: `draw` is a random number from
    /// zero to one.
    pub fn take_turn(
        &mut self,
        service: &str,
        places: u32,
        hosts: u32,
        draw: f64,
        now: Instant,
    ) -> Start {
        let turns = self.turns.entry(service.to_owned()).or_default();
        let run_time = turns.run_time.unwrap_or(DEFAULT_RUN_TIME);
        let places = (f64::from(places) * TURN_SHARE).max(f64::EPSILON);
        let doubled = f64::from(1_u32 << turns.backoff);
        let interval = run_time.as_secs_f64() * f64::from(hosts.max(1)) / places * doubled;
        let wait = Duration::from_secs_f64(interval * 2.0 * draw);
        // The turns of gateways that lose their leader together begin apart.
        let next_at = *turns.next_at.get_or_insert_with(|| now + wait);
        if now < next_at {
            return Start::At(next_at);
        }
        turns.next_at = Some(now + wait);
        Start::Now
    }

    /// Marks all known brittle upstreams as unreported, since another leader is watched from now on.
    pub fn report_again(&mut self, now: Instant) {
        for (name, mark) in &self.marks {
            let report = (mark.service.clone(), Some(mark.allowance), now);
            self.unreported.entry(name.clone()).or_insert(report);
        }
    }

    /// Takes what the leader must be told of upstreams.
    pub fn take_reports(&mut self, now: Instant) -> Vec<BrittleReport> {
        self.expire(now);
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let report = |(upstream, (service, allowance, at))| BrittleReport {
            upstream,
            service,
            allowance,
            age_ms: now.saturating_duration_since(at).as_millis() as u64,
        };
        unreported.map(report).collect()
    }

    /// Takes the numbers of requests that upstreams have rejected since the last call.
    pub fn take_rejections(&mut self) -> BTreeMap<id::Upstream, u32> {
        std::mem::take(&mut self.rejections)
    }

    /// Drops upstreams that are no longer listed; what they said of their service lingers.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>, now: Instant) {
        for (name, mark) in &mut self.marks {
            mark.unlisted_at = match listed.contains(name.as_str()) {
                true => None,
                false => mark.unlisted_at.or(Some(now)),
            };
        }
        self.expire(now);
    }

    /// Drops marks that have lingered for long enough.
    fn expire(&mut self, now: Instant) {
        let lingers = |mark: &Mark| mark.unlisted_at.is_none_or(|at| now < at + LINGER);
        self.marks.retain(|_, mark| lingers(mark));
    }
}
