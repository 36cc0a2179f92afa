//! Which upstream gets a request.

use std::sync::Arc;

use tokio::time::Instant;

use super::{
    message::Upstream,
    view::{KnownUpstream, View},
};

/// Requests by which another availability zone must be less busy, as a share of the slots: bytes
/// between zones are dear, but waiting is dearer.
const ZONE_SHARE: f64 = 0.05;

/// What a request needs of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a str,
    /// Base model.
    pub model: Option<&'a str>,
    /// Adapter.
    pub adapter: Option<&'a str>,
    /// Upstreams that were tried already.
    pub tried: &'a [String],
    /// Availability zone of this host.
    pub zone: &'a str,
}

/// What was found.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send it there, on this version of the adapter.
    Send(Arc<Upstream>, Option<u64>),
    /// No replica has the adapter that the request needs.
    Absent,
    /// No upstream of the service can take it.
    Nobody,
}

/// Chooses the least busy upstream that has what a request needs.
pub fn choose(view: &View, need: &Need<'_>, now: Instant) -> Choice {
    let live: Vec<&KnownUpstream> = view
        .upstreams_of(need.service)
        .filter(|known| !known.upstream.draining)
        .filter(|known| !need.tried.contains(&known.upstream.name))
        .collect();
    if live.is_empty() {
        return Choice::Nobody;
    }
    let Some(adapter) = need.adapter.or(need.model) else {
        let best = least_busy(live.into_iter().map(|known| (known, None)), need.zone, now);
        return best.map_or(Choice::Nobody, |(known, version)| {
            Choice::Send(known.upstream.clone(), version)
        });
    };
    let newest = view.newest_version(adapter);
    let found: Vec<(&KnownUpstream, Option<u64>)> = live
        .into_iter()
        .filter_map(|known| {
            let version = view.usable_version(adapter, &known.upstream.name, now)?;
            Some((known, Some(version)))
        })
        .collect();
    // The newest version, where any replica that answers has it.
    let fresh = |(known, version): &&(&KnownUpstream, Option<u64>)| {
        *version >= Some(newest) && !known.is_ejected(now)
    };
    let fresh: Vec<_> = found.iter().filter(fresh).copied().collect();
    let candidates = if fresh.is_empty() { found } else { fresh };
    match least_busy(candidates.into_iter(), need.zone, now) {
        // An adapter that only failing replicas have is loaded elsewhere.
        Some((known, version)) if !known.is_ejected(now) => {
            Choice::Send(known.upstream.clone(), version)
        }
        _ => Choice::Absent,
    }
}

/// The least busy candidate; those that fail come last.
fn least_busy<'a>(
    candidates: impl Iterator<Item = (&'a KnownUpstream, Option<u64>)>,
    zone: &str,
    now: Instant,
) -> Option<(&'a KnownUpstream, Option<u64>)> {
    let rank = |known: &KnownUpstream| {
        let slots = f64::from(known.upstream.slots.max(1));
        let busy = f64::from(known.open_requests(now)) / slots;
        let far = if known.upstream.zone == zone {
            0.0
        } else {
            ZONE_SHARE
        };
        busy + far
    };
    candidates.min_by(|(left, _), (right, _)| {
        let failing = left.is_ejected(now).cmp(&right.is_ejected(now));
        failing.then(rank(left).total_cmp(&rank(right)))
    })
}
