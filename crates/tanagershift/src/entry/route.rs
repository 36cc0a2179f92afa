//! Ranks the replicas of a base model, or the upstreams of a plain service, for a request.
//!
//! Replicas are ranked by rendezvous hashing ("Using Name-Based Mappings to Increase Hit Rates",
//! Thaler and Ravishankar, 1998), so that all entries compute the same order without shared state.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{
    admission::{Access, Admission},
    holder::engine::DEPARTURE_TTL,
    id,
    platform::{Kind, Standing, Upstream},
};

/// Age from which a reported load is ignored.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Load, in batches, from which a preferred replica counts as overloaded.
const OVERLOAD_BATCHES: u32 = 4;
/// Steps per batch into which the load of preferred replicas is rounded for comparison.
const LOAD_STEPS_PER_BATCH: u32 = 4;
/// Ejection time after the first connection failure of an upstream.
const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Maximum ejection time.
const EJECTION_MAX: Duration = Duration::from_secs(10);
/// Maximum number of times that consecutive failures double the ejection time.
const EJECTION_DOUBLINGS: u32 = 5;

/// Parameters for spreading the requests of an adapter over replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadParams {
    /// Batch size of a replica: requests that it runs at once.
    pub batch: u32,
    /// Number of entries among which callers' requests are distributed.
    pub entries: u32,
}

/// Load and failures of one upstream as observed by this entry.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamStats {
    /// Load that the upstream last reported, with the time of the report.
    reported_load: Option<(u32, Instant)>,
    /// Open requests of this entry at the upstream.
    open_requests: u32,
    /// Consecutive failures to reach the upstream.
    failures: u32,
    /// End of the current ejection.
    ejected_until: Option<Instant>,
}

/// Load and failures of all upstreams as observed by this entry.
#[derive(Debug)]
pub struct LoadTracker {
    /// Upstreams that leave or have asked this entry for a pause.
    pub admission: Admission,
    upstreams: BTreeMap<id::Upstream, UpstreamStats>,
    /// Open requests by adapter.
    open_by_adapter: BTreeMap<String, u32>,
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self {
            admission: Admission::with_departure_ttl(DEPARTURE_TTL),
            upstreams: BTreeMap::new(),
            open_by_adapter: BTreeMap::new(),
        }
    }
}

impl LoadTracker {
    /// Records that a request was sent to an upstream.
    pub fn request_started(&mut self, upstream: &str) {
        self.upstreams
            .entry(upstream.to_owned())
            .or_default()
            .open_requests += 1;
    }

    /// Records the end of a request, with the load that the upstream reported in its response.
    ///
    /// A reported load proves that the upstream is reachable and ends its ejection.
    pub fn request_ended(&mut self, upstream: &str, load: Option<u32>, now: Instant) {
        let stats = self.upstreams.entry(upstream.to_owned()).or_default();
        stats.open_requests = stats.open_requests.saturating_sub(1);
        if let Some(load) = load {
            stats.reported_load = Some((load, now));
            stats.failures = 0;
            stats.ejected_until = None;
        }
    }

    /// Records that an upstream could not be reached, and ejects it for a time that doubles with
    /// each consecutive failure.
    pub fn record_failure(&mut self, upstream: &str, now: Instant) {
        let stats = self.upstreams.entry(upstream.to_owned()).or_default();
        let ejection = EJECTION_MIN * 2u32.pow(stats.failures.min(EJECTION_DOUBLINGS));
        stats.failures += 1;
        stats.ejected_until = Some(now + ejection.min(EJECTION_MAX));
    }

    /// Drops the state of upstreams that are no longer listed and have no open requests.
    pub fn retain_listed(&mut self, listed: &[Upstream]) {
        self.upstreams.retain(|name, stats| {
            let position = listed.binary_search_by(|upstream| upstream.name.as_str().cmp(name));
            stats.open_requests > 0 || position.is_ok()
        });
    }

    /// Returns the best estimate of an upstream's load.
    ///
    /// A recent report is used unless this entry alone has more requests open there.
    fn estimated_load(&self, upstream: &str, now: Instant) -> u32 {
        let Some(stats) = self.upstreams.get(upstream) else {
            return 0;
        };
        match stats.reported_load {
            Some((load, at)) if now.duration_since(at) < LOAD_REPORT_MAX_AGE => {
                load.max(stats.open_requests)
            }
            _ => stats.open_requests,
        }
    }

    fn is_ejected(&self, upstream: &str, now: Instant) -> bool {
        let ejected_until = self
            .upstreams
            .get(upstream)
            .and_then(|stats| stats.ejected_until);
        ejected_until.is_some_and(|until| now < until)
    }

    /// Moves ejected upstreams to the end, but at most half of all upstreams.
    fn demote_ejected<'a>(&self, ranked: Vec<&'a Upstream>, now: Instant) -> Vec<&'a Upstream> {
        let max_demoted = ranked.len() / 2;
        let mut kept = Vec::with_capacity(ranked.len());
        let mut demoted = Vec::new();
        for upstream in ranked {
            if demoted.len() < max_demoted && self.is_ejected(&upstream.name, now) {
                demoted.push(upstream);
            } else {
                kept.push(upstream);
            }
        }
        kept.extend(demoted);
        kept
    }

    /// Ranks the live replicas of a base model for an adapter, best first.
    ///
    /// The number of preferred replicas of an adapter grows with its open requests. The order is:
    ///
    /// 1. preferred replicas that are neither overloaded nor ejected, the least loaded first,
    /// 2. other replicas with room in their batch that are not ejected,
    /// 3. the remaining preferred replicas,
    /// 4. all others.
    ///
    /// Preferred replicas come first so that the adapter is loaded on few replicas.
    pub fn rank_replicas<'a>(
        &self,
        listed: &'a [Upstream],
        base: &str,
        adapter: &str,
        spread: SpreadParams,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        let mut ranked: Vec<_> = listed
            .iter()
            .filter(|replica| replica.kind == Kind::Engine && replica.state == Standing::Live)
            .filter(|replica| replica.serves == base)
            .map(|replica| (rendezvous_weight(adapter, &replica.name), replica))
            .collect();
        ranked.sort_by_key(|(weight, _)| Reverse(*weight));
        let ranked: Vec<_> = ranked.into_iter().map(|(_, replica)| replica).collect();
        let preferred_count = self.preferred_count(adapter, spread);
        let preferred: BTreeSet<&str> = ranked
            .iter()
            .take(preferred_count)
            .map(|replica| &*replica.name)
            .collect();
        let mut ranked = self.demote_ejected(ranked, now);
        let batch = spread.batch.max(1);
        ranked.sort_by_key(|replica| {
            let load = self.estimated_load(&replica.name, now);
            let ejected = self.is_ejected(&replica.name, now);
            match preferred.contains(&*replica.name) {
                // The load is rounded to steps, so that small differences keep the hash order.
                true if load < batch * OVERLOAD_BATCHES && !ejected => {
                    (0, load * LOAD_STEPS_PER_BATCH / batch)
                }
                false if load < batch && !ejected => (1, 0),
                true => (2, load),
                false => (3, load),
            }
        });
        ranked
    }

    /// Returns the number of preferred replicas of an adapter: one, plus one each time that the open
    /// requests for it at all entries fill three quarters of a batch.
    ///
    /// The total is extrapolated from this entry's share, without its first open request: a single
    /// request here doesn't imply that other entries have some too.
    fn preferred_count(&self, adapter: &str, spread: SpreadParams) -> usize {
        let open = self.open_by_adapter.get(adapter).copied().unwrap_or(0);
        let open = if spread.entries > 1 {
            open.saturating_sub(1) * spread.entries
        } else {
            open
        };
        1 + (open / (spread.batch * 3 / 4).max(1)) as usize
    }

    /// Records the start of a request for an adapter.
    pub fn adapter_request_started(&mut self, adapter: &str) {
        *self.open_by_adapter.entry(adapter.to_owned()).or_default() += 1;
    }

    /// Records the end of a request for an adapter.
    pub fn adapter_request_ended(&mut self, adapter: &str) {
        if let Some(open) = self.open_by_adapter.get_mut(adapter) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.open_by_adapter.remove(adapter);
            }
        }
    }

    /// End of the first pause to end, if every live upstream of a plain service that does not leave
    /// has asked for one.
    pub fn paused_until(
        &self,
        listed: &[Upstream],
        service: &str,
        now: Instant,
    ) -> Option<Instant> {
        let names = live_upstreams(listed, service).map(|upstream| upstream.name.as_str());
        self.admission.paused_until(names, now)
    }

    /// Ranks the live upstreams of a plain service that may be sent requests, best first: by load,
    /// then own availability zone, then name.
    ///
    /// Ejected upstreams come last, but at most half of all are moved there. If all upstreams have
    /// asked for a pause, the one whose pause ends first is the only one.
    pub fn rank_upstreams<'a>(
        &self,
        listed: &'a [Upstream],
        service: &'a str,
        zone: &str,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        let access = |upstream: &Upstream| self.admission.access(&upstream.name, now);
        let mut ranked: Vec<_> = live_upstreams(listed, service)
            .filter(|upstream| access(upstream) == Access::Open)
            .collect();
        if ranked.is_empty() {
            let paused =
                live_upstreams(listed, service).filter(|upstream| access(upstream).is_permitted());
            return paused
                .min_by_key(|upstream| access(upstream).time_left(now))
                .into_iter()
                .collect();
        }
        ranked.sort_by_key(|upstream| {
            (
                self.estimated_load(&upstream.name, now),
                upstream.zone != zone,
            )
        });
        self.demote_ejected(ranked, now)
    }
}

/// Returns the live upstreams of a plain service.
fn live_upstreams<'a>(
    listed: &'a [Upstream],
    service: &'a str,
) -> impl Iterator<Item = &'a Upstream> {
    listed.iter().filter(move |upstream| {
        upstream.kind == Kind::Service
            && upstream.state == Standing::Live
            && upstream.serves == service
    })
}

/// Returns the rendezvous hash of an adapter and a replica; the replicas with the largest values
/// are preferred.
fn rendezvous_weight(adapter: &str, replica: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((adapter.len() as u64).to_le_bytes());
    hash.update(adapter);
    hash.update(replica);
    let digest = hash.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(prefix)
}
