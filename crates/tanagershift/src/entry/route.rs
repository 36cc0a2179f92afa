//! Which replica, or which host of a plain service, a request is sent to first.
//!
//! Replicas are ranked by rendezvous hashing ("Using Name-Based Mappings to Increase Hit Rates",
//! Thaler and Ravishankar, 1998), so that every entry ranks them alike without a shared table.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{
    id,
    platform::{Kind, Standing, Upstream},
};

/// Age at which a reported load says nothing any more.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// Batches of load at which an adapter leaves its homes.
const SPILL: u32 = 4;
/// Steps of load within one batch that count as different.
const LOAD_STEPS: u32 = 4;
/// First pause after an upstream could not be reached.
const EJECT_MIN: Duration = Duration::from_millis(500);
/// Longest pause after an upstream could not be reached.
const EJECT_MAX: Duration = Duration::from_secs(10);
/// Doublings of the pause.
const EJECT_DOUBLINGS: u32 = 5;

/// What the spreading of adapters over replicas goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadParams {
    /// Requests that a replica runs at once.
    pub batch: u32,
    /// Entries that share the requests.
    pub entries: u32,
}

/// What this entry has seen of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Load that it last reported, and when.
    load: Option<(u32, Instant)>,
    /// Requests of this entry that are open there.
    open: u32,
    /// Failures in a row.
    failures: u32,
    /// Until when it is left alone.
    ejected: Option<Instant>,
}

/// What this entry has seen of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTracker {
    seen: BTreeMap<id::Upstream, Seen>,
    /// Open requests by adapter.
    adapters: BTreeMap<String, u32>,
}

impl LoadTracker {
    /// Takes note of a request that was sent to an upstream.
    pub fn request_started(&mut self, upstream: &str) {
        self.seen.entry(upstream.to_owned()).or_default().open += 1;
    }

    /// Takes note of a request that ended, with the load that the upstream reported.
    pub fn request_ended(&mut self, upstream: &str, load: Option<u32>, now: Instant) {
        let seen = self.seen.entry(upstream.to_owned()).or_default();
        seen.open = seen.open.saturating_sub(1);
        if let Some(load) = load {
            seen.load = Some((load, now));
            seen.failures = 0;
            seen.ejected = None;
        }
    }

    /// Takes note that an upstream could not be reached.
    pub fn fail(&mut self, upstream: &str, now: Instant) {
        let seen = self.seen.entry(upstream.to_owned()).or_default();
        let pause = EJECT_MIN * 2u32.pow(seen.failures.min(EJECT_DOUBLINGS));
        seen.failures += 1;
        seen.ejected = Some(now + pause.min(EJECT_MAX));
    }

    /// Forgets upstreams that are no longer listed.
    pub fn prune(&mut self, listed: &[Upstream]) {
        self.seen.retain(|name, seen| {
            let known = listed.binary_search_by(|upstream| upstream.name.as_str().cmp(name));
            seen.open > 0 || known.is_ok()
        });
    }

    /// Load of an upstream as far as it can be told.
    fn load(&self, upstream: &str, now: Instant) -> u32 {
        let Some(seen) = self.seen.get(upstream) else {
            return 0;
        };
        match seen.load {
            Some((load, at)) if now.duration_since(at) < LOAD_AGE => load.max(seen.open),
            _ => seen.open,
        }
    }

    fn is_ejected(&self, upstream: &str, now: Instant) -> bool {
        let ejected = self.seen.get(upstream).and_then(|seen| seen.ejected);
        ejected.is_some_and(|until| now < until)
    }

    /// Puts ejected upstreams last, but leaves at least half of all in their place.
    fn demote_ejected<'a>(&self, ranked: Vec<&'a Upstream>, now: Instant) -> Vec<&'a Upstream> {
        let most = ranked.len() / 2;
        let mut kept = Vec::with_capacity(ranked.len());
        let mut last = Vec::new();
        for upstream in ranked {
            if last.len() < most && self.is_ejected(&upstream.name, now) {
                last.push(upstream);
            } else {
                kept.push(upstream);
            }
        }
        kept.extend(last);
        kept
    }

    /// Replicas of a base model for an adapter, the best first.
    ///
    /// An adapter has one home, and more as more of its requests are open. Its homes come first,
    /// the least busy before the others; when they are far too busy, replicas with room follow.
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
            .filter(|one| one.kind == Kind::Engine && one.state == Standing::Live)
            .filter(|one| one.serves == base)
            .map(|one| (weight(adapter, &one.name), one))
            .collect();
        ranked.sort_by_key(|(weight, _)| Reverse(*weight));
        let ranked: Vec<_> = ranked.into_iter().map(|(_, one)| one).collect();
        let homes = self.homes(adapter, spread);
        let is_home: BTreeSet<&str> = ranked.iter().take(homes).map(|one| &*one.name).collect();
        let mut ranked = self.demote_ejected(ranked, now);
        let batch = spread.batch.max(1);
        ranked.sort_by_key(|one| {
            let load = self.load(&one.name, now);
            let ejected = self.is_ejected(&one.name, now);
            match is_home.contains(&*one.name) {
                // Among homes, small differences in load say nothing.
                true if load < batch * SPILL && !ejected => (0, load * LOAD_STEPS / batch),
                false if load < batch && !ejected => (1, 0),
                true => (2, load),
                false => (3, load),
            }
        });
        ranked
    }

    /// Replicas that an adapter is spread over: one, and one more for each three quarters of a
    /// batch that all entries together have open.
    ///
    /// This entry sees its own share only; one open request is no sign of more elsewhere.
    fn homes(&self, adapter: &str, spread: SpreadParams) -> usize {
        let open = self.adapters.get(adapter).copied().unwrap_or(0);
        let open = if spread.entries > 1 {
            open.saturating_sub(1) * spread.entries
        } else {
            open
        };
        1 + (open / (spread.batch * 3 / 4).max(1)) as usize
    }

    /// Takes note of a request for an adapter.
    pub fn adapter_request_started(&mut self, adapter: &str) {
        *self.adapters.entry(adapter.to_owned()).or_default() += 1;
    }

    /// Takes note of a request for an adapter that ended.
    pub fn adapter_request_ended(&mut self, adapter: &str) {
        if let Some(open) = self.adapters.get_mut(adapter) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.adapters.remove(adapter);
            }
        }
    }

    /// Hosts of a plain service, the best first: least load, own zone, then by name.
    pub fn services<'a>(
        &self,
        listed: &'a [Upstream],
        service: &str,
        zone: &str,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        let mut ranked: Vec<_> = listed
            .iter()
            .filter(|one| one.kind == Kind::Service && one.state == Standing::Live)
            .filter(|one| one.serves == service)
            .collect();
        ranked.sort_by_key(|one| (self.load(&one.name, now), one.zone != zone));
        self.demote_ejected(ranked, now)
    }
}

/// Weight of a replica for an adapter; the heaviest is the adapter's home.
fn weight(adapter: &str, replica: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((adapter.len() as u64).to_le_bytes());
    hash.update(adapter);
    hash.update(replica);
    let digest = hash.finalize();
    let mut start = [0; 8];
    start.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(start)
}
