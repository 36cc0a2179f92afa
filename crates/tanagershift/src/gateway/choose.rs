//! Selects the upstream for a request.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    message::Upstream,
    spread::{Place, draw},
    view::{KnownUpstream, View},
};
use crate::admission::Access;

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
    /// Software version that the upstream must have; `None` if any will do.
    pub software: Option<&'a str>,
    /// Names of upstreams that were tried already.
    pub tried: &'a [String],
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Whether this gateway's turn at brittle upstreams has come, so that its share does not count.
    pub has_turn: bool,
}

/// Outcome of a selection.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send the request to this upstream, to be served with this version of the adapter; `None` if
    /// the request names no model.
    Send(Arc<Upstream>, Option<u64>),
    /// Every upstream that could take the request has asked this host for a pause. The first pause
    /// ends at this time.
    Paused(Instant),
    /// Every open upstream of the service has named a limit, and this gateway has no permit. Room is
    /// expected after this time.
    Limited(Duration),
    /// Every open upstream of the service is brittle, and this gateway's share of their places is taken.
    Full,
    /// No replica has the adapter or base model that the request needs, or only ejected ones have
    /// it.
    NoReplica,
    /// No upstream of the service can take the request.
    NoUpstream,
}

/// Selects the least busy upstream that meets the requirements of a request.
pub fn choose(view: &View, requirements: &Requirements<'_>, now: Instant) -> Choice {
    let access = |known: &KnownUpstream| view.admission.access(&known.upstream.name, now);
    let live: Vec<&KnownUpstream> = view
        .upstreams_of(requirements.service)
        .filter(|known| !known.upstream.draining)
        .filter(|known| {
            let needed = requirements.software;
            needed.is_none_or(|one| one == known.upstream.software)
        })
        .filter(|known| !requirements.tried.contains(&known.upstream.name))
        .filter(|known| !matches!(access(known), Access::Leaving { .. }))
        .collect();
    if live.is_empty() {
        return Choice::NoUpstream;
    }
    let open: Vec<&KnownUpstream> = live
        .iter()
        .filter(|known| access(known) == Access::Open)
        .copied()
        .collect();
    if open.is_empty() {
        return choose_paused(view, requirements, &live, now);
    }
    let permitted = |known: &&KnownUpstream| view.limits.permits(&known.upstream.name, now);
    let live: Vec<&KnownUpstream> = open.iter().copied().filter(permitted).collect();
    if live.is_empty() {
        let names = open.iter().map(|known| known.upstream.name.as_str());
        return Choice::Limited(view.limits.retry_after(names, view.hosts));
    }
    let is_bounded = view.shares.is_bounded(requirements.service);
    let has_place =
        |known: &&KnownUpstream| !is_bounded || requirements.has_turn || known.has_share_left();
    let mut live: Vec<&KnownUpstream> = live.into_iter().filter(has_place).collect();
    if live.is_empty() {
        return Choice::Full;
    }
    if requirements.has_turn {
        // Gateways that know nothing of each other must not agree on one upstream.
        let first = rand::random_range(0..live.len());
        live.rotate_left(first);
    }
    let Some(wanted) = requirements.adapter.or(requirements.model) else {
        if view.paces.is_uneven(requirements.service, now) && !requirements.has_turn {
            return draw_upstream(view, &live, requirements.zone, now);
        }
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

/// Selects among upstreams that have all asked for a pause: the one whose pause ends first, as long
/// as it may be sent a request.
fn choose_paused(
    view: &View,
    requirements: &Requirements<'_>,
    live: &[&KnownUpstream],
    now: Instant,
) -> Choice {
    let wanted = requirements.adapter.or(requirements.model);
    let mut first_end: Option<Instant> = None;
    let mut best: Option<(Instant, &KnownUpstream, Option<u64>)> = None;
    for known in live {
        let name = &known.upstream.name;
        let Access::Paused {
            until, sends_left, ..
        } = view.admission.access(name, now)
        else {
            continue;
        };
        first_end = Some(first_end.map_or(until, |first| first.min(until)));
        let version = wanted.map(|wanted| view.usable_version(wanted, name, now));
        let suits = sends_left > 0 && version != Some(None);
        if suits && best.is_none_or(|(first, _, _)| until < first) {
            best = Some((until, known, version.flatten()));
        }
    }
    match (best, first_end) {
        (Some((_, known, version)), _) => Choice::Send(known.upstream.clone(), version),
        (None, Some(end)) => Choice::Paused(end),
        (None, None) => Choice::NoUpstream,
    }
}

/// Draws an upstream of an uneven plain service.
fn draw_upstream(view: &View, live: &[&KnownUpstream], zone: &str, now: Instant) -> Choice {
    let place = |known: &&KnownUpstream| Place {
        slots: known.upstream.slots,
        open: known.open_requests(now),
        pace: view.paces.estimate(&known.upstream.name, now).now,
        is_near: known.upstream.zone == zone,
        is_ejected: known.is_ejected(now),
    };
    let places: Vec<Place> = live.iter().map(place).collect();
    let drawn = draw(&places, rand::random()).and_then(|position| live.get(position));
    drawn.map_or(Choice::NoUpstream, |known| {
        Choice::Send(known.upstream.clone(), None)
    })
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
