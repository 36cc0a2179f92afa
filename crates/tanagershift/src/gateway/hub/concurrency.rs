//! Bounds the open requests at brittle upstreams.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::LeaderState;
use crate::{
    gateway::message::{Counts, List, Notice, SparseCounts, Tally, Upstream},
    id,
};

impl LeaderState {
    /// Records what a gateway has learnt of brittle upstreams.
    pub(super) fn record_brittle(&mut self, tally: &Tally, now: Instant) {
        for report in &tally.brittle {
            self.ceilings.observe(report, now);
        }
        for rejections in &tally.rejections {
            let mut listed = self.list.upstreams.iter();
            let Some(upstream) = listed.find(|one| one.name == rejections.upstream) else {
                continue;
            };
            self.ceilings
                .record_rejections(upstream, rejections.count, now);
        }
    }

    /// Tells all gateways which upstreams are brittle, and raises the ceilings of services whose requests
    /// wait.
    pub(super) fn spread_brittle(&mut self, now: Instant) {
        let brittle = self.ceilings.take_changes();
        if !brittle.is_empty() {
            self.broadcast(&Notice {
                brittle,
                ..Notice::default()
            });
        }
        if self.ceilings.is_empty() {
            return;
        }
        for service in self.scheduler.services_waiting() {
            if self.ceilings.is_bounded(&service) {
                let listed = self.list.upstreams.iter();
                let live = listed.filter(|one| one.service == service && !one.draining);
                self.ceilings.raise(&service, live, now);
            }
        }
    }

    /// Estimate of the open requests at each upstream that this leader has not assigned, from all that were
    /// open when the gateways last told it. Those that ended since do not keep others waiting.
    pub(super) fn estimate_unscheduled(&self, open: &Counts) -> BTreeMap<id::Upstream, u32> {
        let upstreams = self.list.upstreams.iter().zip(&open.counts);
        let unscheduled = upstreams.map(|(upstream, count)| {
            let scheduled = self.scheduler.running_on(&upstream.name);
            (upstream.name.clone(), count.saturating_sub(scheduled))
        });
        unscheduled.collect()
    }

    /// Open requests at each upstream that this leader has not assigned.
    pub(super) fn count_unscheduled(&self) -> BTreeMap<id::Upstream, u32> {
        let mut sums = vec![0_u32; self.list.upstreams.len()];
        for (host, gateway) in &self.gateways {
            let told = gateway.unassigned.as_ref();
            let counts = told.unwrap_or(&gateway.open);
            if counts.list != self.list.number {
                continue;
            }
            for (at, count) in counts.iter() {
                let (Some(sum), Some(upstream)) = (sums.get_mut(at), self.list.upstreams.get(at))
                else {
                    continue;
                };
                // An older host tells all of its open requests.
                let assigned = match told {
                    None => self.scheduler.running_of(host, &upstream.name),
                    Some(_) => 0,
                };
                *sum += count.saturating_sub(assigned);
            }
        }
        let names = self.list.upstreams.iter().map(|one| one.name.clone());
        names.zip(sums).collect()
    }

    /// Moves what the gateways have told of their open requests to a new list.
    pub(super) fn move_counts(&mut self, list: &List) {
        let places: BTreeMap<&str, usize> = names(&list.upstreams).collect();
        let old_number = self.list.number;
        let moved = |counts: &SparseCounts| {
            if counts.list != old_number {
                return counts.clone();
            }
            let place = |(at, count): (usize, u32)| {
                let name = self.list.upstreams.get(at)?.name.as_str();
                Some((*places.get(name)?, count))
            };
            SparseCounts::new(list.number, counts.iter().filter_map(place))
        };
        for gateway in self.gateways.values_mut() {
            gateway.open = moved(&gateway.open);
            gateway.unassigned = gateway.unassigned.as_ref().map(moved);
        }
    }
}

fn names(upstreams: &[Upstream]) -> impl Iterator<Item = (&str, usize)> {
    let names = upstreams.iter().map(|one| one.name.as_str());
    names.enumerate().map(|(at, name)| (name, at))
}
