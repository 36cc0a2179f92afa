//! What a gateway knows: configuration, upstreams, where adapters are, and how busy replicas are.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    configuration::Configuration,
    message::{Counts, Demand, List, Notice, Residency, Upstream},
    placement::FIRST_VERSION,
};
use crate::id;

/// Time after an announcement in which requests may still be sent to the older version, as a share of
/// the platform's bound on their beginning. The rest is for the time that a request waits in its
/// replica's queue: up to three objectives, after which callers give up.
const VERSION_SHARE: f64 = 0.4;
/// First time for which an upstream that failed is avoided.
const EJECT_MIN: Duration = Duration::from_millis(500);
/// Longest time for which an upstream that fails is avoided.
const EJECT_MAX: Duration = Duration::from_secs(4);
/// Failures in a row after which an upstream is avoided.
const EJECT_AFTER: u32 = 2;
/// Time for which a place that a replica denied is not believed, while the leader is told.
const DENIED: Duration = Duration::from_millis(1500);
/// Load reports of answers older than this are ignored.
const LOAD_AGE: Duration = Duration::from_millis(500);

/// Local statistics of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests that this gateway has open there.
    pub open: u32,
    /// Open requests in the last tally that was sent.
    told: u32,
    /// Failures in a row.
    failures: u32,
    /// Avoided until this time.
    ejected: Option<Instant>,
    /// Requests running and waiting there, as its last answer said.
    load: Option<(u32, Instant)>,
}

/// An upstream and what is known of it.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// Entry of the list.
    pub upstream: Arc<Upstream>,
    /// Open requests of all gateways, as the leader last told.
    total: u32,
    /// Local statistics.
    pub stats: Stats,
}

impl KnownUpstream {
    /// Requests that are open there, as far as this gateway can tell.
    pub fn open_requests(&self, now: Instant) -> u32 {
        let others = self.total.saturating_sub(self.stats.told);
        let counted = others + self.stats.open;
        let fresh = |at: Instant| now.saturating_duration_since(at) < LOAD_AGE;
        match self.stats.load {
            Some((load, at)) if fresh(at) => counted.max(load),
            _ => counted,
        }
    }

    /// Whether requests avoid it after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.stats.ejected.is_some_and(|until| now < until)
    }
}

/// A version that requests of an adapter must run on.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    at: Instant,
}

/// What a gateway knows.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// Hosts that the leader has heard from lately.
    pub hosts: u32,
    list: u64,
    /// Names in the order of the list.
    order: Vec<id::Upstream>,
    upstreams: BTreeMap<id::Upstream, KnownUpstream>,
    /// Versions by replica, by adapter.
    places: HashMap<String, BTreeMap<id::Upstream, u64>>,
    denied: HashMap<(id::Upstream, String), Instant>,
    announced: HashMap<String, Announced>,
    demand: BTreeMap<String, Demand>,
    missing: Vec<Residency>,
    version_bound: Duration,
}

impl View {
    /// Starts with nothing known; `version_bound` is the time after an announcement in which no
    /// request may begin on an older version any more.
    pub fn new(version_bound: Duration) -> Self {
        Self {
            version_bound,
            ..Self::default()
        }
    }

    /// Takes what the leader tells, except the configuration.
    pub fn apply(&mut self, notice: &Notice, now: Instant) {
        if let Some(list) = &notice.list {
            self.apply_list(list);
        }
        if notice.is_snapshot {
            self.places.clear();
        }
        for one in &notice.announced {
            self.announce(&one.adapter, one.version, now);
        }
        for place in &notice.residencies {
            self.take_place(place);
        }
        if let Some(open) = &notice.open {
            self.take_open(open);
        }
        if notice.hosts > 0 {
            self.hosts = notice.hosts;
        }
    }

    fn announce(&mut self, adapter: &str, version: u64, now: Instant) {
        let known = self.announced.get(adapter);
        if known.is_none_or(|known| known.version < version) {
            let announced = Announced { version, at: now };
            self.announced.insert(adapter.to_owned(), announced);
        }
    }

    /// Takes a list; an upstream that is in it no more is forgotten with its places.
    pub fn apply_list(&mut self, list: &List) {
        let mut known = std::mem::take(&mut self.upstreams);
        for upstream in &list.upstreams {
            let mut entry = known
                .remove(&upstream.name)
                .unwrap_or_else(|| KnownUpstream {
                    upstream: Arc::new(upstream.clone()),
                    total: 0,
                    stats: Stats::default(),
                });
            if *entry.upstream != *upstream {
                entry.upstream = Arc::new(upstream.clone());
            }
            self.upstreams.insert(upstream.name.clone(), entry);
        }
        self.list = list.number;
        self.order = list.upstreams.iter().map(|one| one.name.clone()).collect();
        let listed = &self.upstreams;
        for places in self.places.values_mut() {
            places.retain(|name, _| listed.contains_key(name));
        }
        self.places.retain(|_, places| !places.is_empty());
    }

    fn take_place(&mut self, place: &Residency) {
        let places = self.places.entry(place.adapter.clone()).or_default();
        if place.version == 0 {
            places.remove(&place.replica);
        } else {
            places.insert(place.replica.clone(), place.version);
            self.denied
                .remove(&(place.replica.clone(), place.adapter.clone()));
        }
    }

    fn take_open(&mut self, open: &Counts) {
        if open.list != self.list {
            return;
        }
        for (name, total) in self.order.iter().zip(&open.counts) {
            if let Some(known) = self.upstreams.get_mut(name) {
                known.total = *total;
            }
        }
    }

    /// An upstream of the list.
    pub fn upstream(&self, name: &str) -> Option<Arc<Upstream>> {
        let known = self.upstreams.get(name)?;
        Some(known.upstream.clone())
    }

    /// Every upstream of a service.
    pub fn upstreams_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownUpstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |known| known.upstream.service == service)
    }

    /// Version of an adapter on a replica that a request may be sent to now.
    pub fn usable_version(&self, adapter: &str, replica: &str, now: Instant) -> Option<u64> {
        let version = *self.places.get(adapter)?.get(replica)?;
        let denied = self.denied.get(&(replica.to_owned(), adapter.to_owned()));
        if denied.is_some_and(|until| now < *until) {
            return None;
        }
        let newest = self.announced.get(adapter);
        match newest {
            Some(newest) if version < newest.version => {
                let grace = self.version_bound.mul_f64(VERSION_SHARE);
                (now < newest.at + grace).then_some(version)
            }
            _ => Some(version),
        }
    }

    /// Newest version of an adapter.
    pub fn newest_version(&self, adapter: &str) -> u64 {
        let announced = self.announced.get(adapter);
        announced.map_or(FIRST_VERSION, |announced| announced.version)
    }

    /// Counts a request for an adapter.
    pub fn count_request(&mut self, adapter: &str) {
        self.demand_of(adapter).requests += 1;
    }

    /// Counts a request that begins to wait for an adapter, or ends to.
    pub fn count_waiting(&mut self, adapter: &str, begins: bool) {
        let demand = self.demand_of(adapter);
        demand.waiting = match begins {
            true => demand.waiting + 1,
            false => demand.waiting.saturating_sub(1),
        };
    }

    fn demand_of(&mut self, adapter: &str) -> &mut Demand {
        let demand = self.demand.entry(adapter.to_owned());
        demand.or_insert_with(|| Demand {
            adapter: adapter.to_owned(),
            ..Demand::default()
        })
    }

    /// Takes the demand since the last tally out; requests that wait are told again.
    pub fn take_demand(&mut self) -> Vec<Demand> {
        let demand: Vec<Demand> = self.demand.values().cloned().collect();
        self.demand.retain(|_, one| one.waiting > 0);
        for one in self.demand.values_mut() {
            one.requests = 0;
        }
        demand
    }

    /// Takes the places out that replicas have denied since the last tally.
    pub fn take_missing(&mut self) -> Vec<Residency> {
        std::mem::take(&mut self.missing)
    }

    /// Takes note that a replica says it does not have an adapter.
    pub fn record_missing(&mut self, replica: &str, adapter: &str, now: Instant) {
        self.denied.retain(|_, until| now < *until);
        let key = (replica.to_owned(), adapter.to_owned());
        if self.denied.insert(key, now + DENIED).is_none() {
            self.missing.push(Residency {
                replica: replica.to_owned(),
                adapter: adapter.to_owned(),
                version: 0,
            });
        }
    }

    /// Open requests at each replica, for the leader.
    pub fn report_open(&mut self) -> Counts {
        let mut counts = Vec::with_capacity(self.order.len());
        for name in &self.order {
            let known = self.upstreams.get_mut(name);
            counts.push(known.map_or(0, |known| {
                known.stats.told = known.stats.open;
                known.stats.open
            }));
        }
        Counts {
            list: self.list,
            counts,
        }
    }

    /// Counts a request that is sent to an upstream.
    pub fn count_opened(&mut self, upstream: &str) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.open += 1;
        }
    }

    /// Counts a request that has ended at an upstream.
    pub fn count_closed(&mut self, upstream: &str) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.open = known.stats.open.saturating_sub(1);
        }
    }

    /// Takes the load that an answer named.
    pub fn record_load(&mut self, upstream: &str, running: u32, waiting: u32, now: Instant) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.load = Some((running + waiting, now));
        }
    }

    /// Takes note of a good answer.
    pub fn record_success(&mut self, upstream: &str) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.failures = 0;
            known.stats.ejected = None;
        }
    }

    /// Takes note of a failure; several in a row make requests avoid the upstream.
    pub fn record_failure(&mut self, upstream: &str, now: Instant) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            let stats = &mut known.stats;
            stats.failures += 1;
            if let Some(over) = stats.failures.checked_sub(EJECT_AFTER) {
                let pause = EJECT_MIN * 2_u32.saturating_pow(over.min(4));
                stats.ejected = Some(now + pause.min(EJECT_MAX));
            }
        }
    }

    /// Takes note that an upstream cannot be reached at all.
    pub fn record_unreachable(&mut self, upstream: &str, now: Instant) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.failures = known.stats.failures.max(EJECT_AFTER - 1);
        }
        self.record_failure(upstream, now);
    }
}
