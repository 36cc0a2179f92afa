//! Selects the upstream for a request.

use std::sync::Arc;

use tokio::time::Instant;

use super::{
    message::Upstream,
    view::{KnownUpstream, View},
};

/// Share of its slots by which an upstream in another availability zone must be less busy to be
/// preferred: traffic between zones is expensive, but waiting costs more.
const CROSS_ZONE_PENALTY: f64 = 0.05;

/// What a request needs of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the upstream must belong to.
    pub service: &'a str,
    /// Base model that the request names.
    pub model: Option<&'a str>,
    /// Adapter that the request names, as MODEL/NAME.
    pub adapter: Option<&'a str>,
    /// Names of upstreams that were tried already.
    pub tried: &'a [String],
    /// Availability zone of this host.
    pub zone: &'a str,
}

/// Outcome of a selection.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send the request to this upstream, to be served with this version of the adapter; `None` if
    /// the request names no model.
    Send(Arc<Upstream>, Option<u64>),
    /// No replica has the adapter or base model that the request needs, or only ejected ones have
    /// it.
    NoReplica,
    /// No upstream of the service can take the request.
    NoUpstream,
}

/// Selects the least busy upstream that meets the requirements of a request.
pub fn choose(view: &View, requirements: &Requirements<'_>, now: Instant) -> Choice {
    let live: Vec<&KnownUpstream> = view
        .upstreams_of(requirements.service)
        .filter(|known| !known.upstream.draining)
        .filter(|known| !requirements.tried.contains(&known.upstream.name))
        .collect();
    if live.is_empty() {
        return Choice::NoUpstream;
    }
    let Some(wanted) = requirements.adapter.or(requirements.model) else {
        let best = least_busy(
            live.into_iter().map(|known| (known, None)),
            requirements.zone,
            now,
        );
        return best.map_or(Choice::NoUpstream, |(known, version)| {
            Choice::Send(known.upstream.clone(), version)
        });
    };
    let newest = view.newest_version(wanted);
    let holders: Vec<(&KnownUpstream, Option<u64>)> = live
        .into_iter()
        .filter_map(|known| {
            let version = view.usable_version(wanted, &known.upstream.name, now)?;
            Some((known, Some(version)))
        })
        .collect();
    // Prefer the newest version if any replica that is not ejected has it.
    let current = |(known, version): &&(&KnownUpstream, Option<u64>)| {
        *version >= Some(newest) && !known.is_ejected(now)
    };
    let current: Vec<_> = holders.iter().filter(current).copied().collect();
    let candidates = if current.is_empty() { holders } else { current };
    match least_busy(candidates.into_iter(), requirements.zone, now) {
        // An adapter that only ejected replicas have is loaded on another one.
        Some((known, version)) if !known.is_ejected(now) => {
            Choice::Send(known.upstream.clone(), version)
        }
        _ => Choice::NoReplica,
    }
}

/// The least busy candidate; ejected ones come last.
fn least_busy<'a>(
    candidates: impl Iterator<Item = (&'a KnownUpstream, Option<u64>)>,
    zone: &str,
    now: Instant,
) -> Option<(&'a KnownUpstream, Option<u64>)> {
    let rank = |known: &KnownUpstream| {
        let slots = f64::from(known.upstream.slots.max(1));
        let busy = f64::from(known.open_requests(now)) / slots;
        let zone_penalty = if known.upstream.zone == zone {
            0.0
        } else {
            CROSS_ZONE_PENALTY
        };
        busy + zone_penalty
    };
    candidates.min_by(|(left, _), (right, _)| {
        let ejected = left.is_ejected(now).cmp(&right.is_ejected(now));
        ejected.then(rank(left).total_cmp(&rank(right)))
    })
}
