//! The leader's bound on the requests that are open at each upstream of a brittle service.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    gateway::message::{BrittleReport, Upstream},
    id,
};

/// Time over which a brittle upstream counts the requests that it rejects.
const REJECTION_SPAN: Duration = Duration::from_millis(1100);
/// Time after a rejection in which the ceiling of its upstream is not raised.
const RAISE_DELAY: Duration = Duration::from_secs(5);
/// Time between two steps by which a ceiling rises up to the slots of its upstream.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two steps above the slots, over all upstreams of a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a rejection in which the number of open requests that caused it is not tried again.
const PROBE_DELAY: Duration = Duration::from_secs(60);
/// Share of its slots by which the ceiling of an upstream may exceed them: it lets a few requests wait, and
/// others are on their way between hosts.
const MAX_EXCESS_SHARE: f64 = 0.5;
/// Time for which a service stays brittle after the last upstream that said so has left the list.
const LINGER: Duration = Duration::from_secs(10);
/// Longest time for which a new leader waits until all gateways have told it their open requests.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What an upstream has said of itself.
#[derive(Clone, Debug)]
struct Mark {
    service: String,
    /// Rejections within a second that it bears; `None` if it is not brittle.
    allowance: Option<u32>,
    observed_at: Instant,
    /// Since when the upstream is not listed.
    unlisted_at: Option<Instant>,
}

/// Room of one upstream.
#[derive(Clone, Debug)]
struct Room {
    slots: u32,
    ceiling: u32,
    raised_at: Instant,
    rejections: VecDeque<Instant>,
    /// Lowest number of open requests above the slots at which it rejected one, and when.
    rejected_above: Option<(u32, Instant)>,
}

impl Room {
    fn new(slots: u32, now: Instant) -> Self {
        Self {
            slots,
            ceiling: slots.max(1),
            raised_at: now,
            rejections: VecDeque::new(),
            rejected_above: None,
        }
    }

    fn recent_rejections(&self, now: Instant) -> usize {
        let recent = self.rejections.iter();
        recent.filter(|at| now < **at + REJECTION_SPAN).count()
    }

    fn may_probe(&self, now: Instant) -> bool {
        let most = f64::from(self.slots) * MAX_EXCESS_SHARE;
        let next = self.ceiling + 1;
        let is_known_full =
            |(ceiling, at): (u32, Instant)| next >= ceiling && now < at + PROBE_DELAY;
        f64::from(next) <= f64::from(self.slots) + most.max(1.0)
            && !self.rejected_above.is_some_and(is_known_full)
    }

    fn has_rejected_within(&self, time: Duration, now: Instant) -> bool {
        self.rejections.back().is_some_and(|at| now < *at + time)
    }
}

/// The leader's bounds of all upstreams of brittle services.
#[derive(Debug)]
pub struct Ceilings {
    marks: BTreeMap<id::Upstream, Mark>,
    rooms: BTreeMap<id::Upstream, Room>,
    probed_at: BTreeMap<String, Instant>,
    /// Upstreams whose mark has changed since the last [`Ceilings::take_changes`].
    changed: BTreeSet<id::Upstream>,
    /// Gateways that have told this leader their open requests.
    heard: BTreeSet<id::Host>,
    /// Gateways that the leader before knew, less the one that may have been lost with it.
    expected: usize,
    settles_at: Instant,
}

impl Ceilings {
    /// Creates the bounds of a leader whose predecessor knew this many gateways.
    pub fn new(gateways: u32, now: Instant) -> Self {
        Self {
            marks: BTreeMap::new(),
            rooms: BTreeMap::new(),
            probed_at: BTreeMap::new(),
            changed: BTreeSet::new(),
            heard: BTreeSet::new(),
            expected: gateways.saturating_sub(1) as usize,
            settles_at: now + SETTLE_TIME,
        }
    }

    /// Records what an upstream of a service has said of itself; its last answer counts.
    pub fn observe(&mut self, report: &BrittleReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        let known = self.marks.get(&report.upstream);
        if known.is_some_and(|known| at < known.observed_at) {
            return;
        }
        let is_new = known.and_then(|known| known.allowance) != report.allowance;
        let mark = Mark {
            service: report.service.clone(),
            allowance: report.allowance,
            observed_at: at,
            unlisted_at: None,
        };
        self.marks.insert(report.upstream.clone(), mark);
        if is_new {
            self.changed.insert(report.upstream.clone());
        }
    }

    /// Whether no service is brittle.
    pub fn is_empty(&self) -> bool {
        self.marks.values().all(|mark| mark.allowance.is_none())
    }

    /// Whether the upstreams of a service are brittle.
    pub fn is_bounded(&self, service: &str) -> bool {
        self.allowance(service).is_some()
    }

    /// Least number of rejections within a second that an upstream of a service says it bears.
    fn allowance(&self, service: &str) -> Option<u32> {
        let marks = self.marks.values();
        let marks = marks.filter(|mark| mark.service == service);
        marks.filter_map(|mark| mark.allowance).min()
    }

    /// Records that a gateway has told its open requests for the current list.
    pub fn record_heard(&mut self, host: &str) {
        if !self.heard.contains(host) {
            self.heard.insert(host.to_owned());
        }
    }

    /// Whether the open requests of all gateways are known.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settles_at || self.heard.len() >= self.expected.max(1)
    }

    /// Requests that may be open at an upstream at once; `None` if its service is not brittle.
    pub fn ceiling(&self, upstream: &Upstream, now: Instant) -> Option<u32> {
        let allowance = self.allowance(&upstream.service)?;
        if !self.is_settled(now) {
            return Some(0);
        }
        let Some(room) = self.rooms.get(&upstream.name) else {
            return Some(upstream.slots.max(1));
        };
        let rejections = room.recent_rejections(now) as u32;
        if rejections >= allowance {
            return Some(0);
        }
        // So few cannot be too many, unless others send there that this leader does not count.
        let is_near = rejections > allowance / 2;
        let most = if is_near {
            room.slots / 2
        } else {
            room.ceiling
        };
        Some(most.clamp(1, room.ceiling))
    }

    /// Records requests that an upstream has rejected for want of room.
    pub fn record_rejections(&mut self, upstream: &Upstream, count: u32, now: Instant) {
        let new = || Room::new(upstream.slots, now);
        let room = self.rooms.entry(upstream.name.clone()).or_insert_with(new);
        room.rejections.retain(|at| now < *at + REJECTION_SPAN);
        room.rejections.extend((0..count).map(|_| now));
        if room.ceiling > room.slots {
            room.rejected_above = Some((room.ceiling, now));
        }
        let fits = room.ceiling.saturating_sub(count);
        room.ceiling = fits.max(room.slots / 2).max(1);
        room.raised_at = now;
    }

    /// Raises the ceilings of a service whose requests wait: up to the slots after a while without a
    /// rejection, then above them at one upstream at a time.
    pub fn raise<'a>(
        &mut self,
        service: &str,
        upstreams: impl Iterator<Item = &'a Upstream>,
        now: Instant,
    ) {
        let mut lowest: Option<(u32, id::Upstream)> = None;
        for upstream in upstreams {
            let new = || Room::new(upstream.slots, now);
            let room = self.rooms.entry(upstream.name.clone()).or_insert_with(new);
            let is_due = now >= room.raised_at + RAISE_INTERVAL;
            if !is_due || room.has_rejected_within(RAISE_DELAY, now) {
                continue;
            }
            if room.ceiling < room.slots {
                room.ceiling += 1;
                room.raised_at = now;
                continue;
            }
            let above = room.ceiling - room.slots;
            if room.may_probe(now) && lowest.as_ref().is_none_or(|(least, _)| above < *least) {
                lowest = Some((above, upstream.name.clone()));
            }
        }
        let probed_at = self.probed_at.get(service);
        if probed_at.is_some_and(|at| now < *at + PROBE_INTERVAL) {
            return;
        }
        if let Some((_, name)) = lowest
            && let Some(room) = self.rooms.get_mut(&name)
        {
            room.ceiling += 1;
            room.raised_at = now;
            self.probed_at.insert(service.to_owned(), now);
        }
    }

    /// Marks of all brittle upstreams, as a newly subscribed gateway is told them.
    pub fn reports(&self) -> Vec<BrittleReport> {
        let brittle = self.marks.iter();
        let brittle = brittle.filter(|(_, mark)| mark.allowance.is_some());
        brittle.map(|(name, mark)| report(name, mark)).collect()
    }

    /// Marks that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<BrittleReport> {
        let changed = std::mem::take(&mut self.changed);
        let marks = changed
            .iter()
            .filter_map(|name| self.marks.get_key_value(name));
        marks.map(|(name, mark)| report(name, mark)).collect()
    }

    /// Drops upstreams that are no longer listed; what they said of their service lingers.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>, now: Instant) {
        self.rooms.retain(|name, _| listed.contains(name.as_str()));
        for (name, mark) in &mut self.marks {
            mark.unlisted_at = match listed.contains(name.as_str()) {
                true => None,
                false => mark.unlisted_at.or(Some(now)),
            };
        }
        self.expire(now);
    }

    /// Drops marks that have lingered for long enough.
    pub fn expire(&mut self, now: Instant) {
        let lingers = |mark: &Mark| mark.unlisted_at.is_none_or(|at| now < at + LINGER);
        self.marks.retain(|_, mark| lingers(mark));
    }
}

fn report(upstream: &str, mark: &Mark) -> BrittleReport {
    BrittleReport {
        upstream: upstream.to_owned(),
        service: mark.service.clone(),
        allowance: mark.allowance,
        age_ms: 0,
    }
}
