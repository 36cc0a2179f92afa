//! Tells gateways through which hosts they can reach upstreams, and hands over leadership while this host
//! is cut off from the upstreams.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::LeaderState;
use crate::{
    gateway::{
        Gateway,
        helpers::{Candidate, select},
        message::{Notice, ReachReport},
    },
    voter::driver,
};

/// Shortest time between two selections, since each looks at all pairs of hosts.
const SELECT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a leader is cut off from the upstreams before it hands over. Shorter cuts are left to
/// pass, since orders pause after each change of the leader.
const HAND_OVER_DELAY: Duration = Duration::from_millis(500);
/// Time between two attempts to hand over.
const HAND_OVER_INTERVAL: Duration = Duration::from_secs(2);

/// When helpers are selected, and when leadership may be handed over.
#[derive(Debug)]
pub(super) struct State {
    /// Whether the hosts that can help others have changed.
    pub(super) differ: bool,
    /// Earliest time at which helpers are selected again.
    next_selection: Instant,
    /// Earliest time at which leadership is handed over again.
    next_hand_over: Instant,
}

impl State {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            differ: false,
            next_selection: now,
            next_hand_over: now,
        }
    }

    /// When helpers are selected next; `None` if none need to be.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.differ.then_some(self.next_selection)
    }
}

impl LeaderState {
    /// Records whether a gateway can help others.
    pub(super) fn record_reach(&mut self, host: &str, reach: &ReachReport) {
        if let Some(gateway) = self.gateways.get_mut(host)
            && gateway.reach != *reach
        {
            gateway.reach = reach.clone();
            self.helpers.differ = true;
        }
    }

    /// Sends the gateways whose helpers have changed the new ones.
    pub(super) fn spread_helpers(&mut self, now: Instant) {
        if !self.helpers.differ || now < self.helpers.next_selection {
            return;
        }
        self.helpers.differ = false;
        self.helpers.next_selection = now + SELECT_INTERVAL;
        let able = self.gateways.iter().filter(|(_, gateway)| {
            let reach = &gateway.reach;
            !gateway.address.is_empty() && !reach.is_cut_off && !reach.is_draining
        });
        let candidates: Vec<Candidate<'_>> = able
            .map(|(host, gateway)| Candidate {
                host,
                zone: &gateway.zone,
                address: &gateway.address,
            })
            .collect();
        for at in 0..self.watchers.len() {
            let watcher = &self.watchers[at];
            let zone = self.gateways.get(&watcher.host).map(|one| &one.zone);
            let helpers = select(&watcher.host, zone.map_or("", |zone| zone), &candidates);
            if helpers.is_empty() || helpers == watcher.helpers {
                continue;
            }
            let notice = self.encode(Notice {
                helpers: helpers.clone(),
                ..Notice::default()
            });
            // A gateway that is behind is sent its helpers again when it has caught up.
            let watcher = &mut self.watchers[at];
            watcher.send(notice);
            watcher.helpers = helpers;
        }
    }

    /// Peer addresses of voters whose hosts reach the upstreams.
    fn reaching_voters(&self, own_host: &str) -> Vec<String> {
        let gateways = self.gateways.iter().filter(|(host, gateway)| {
            let reach = &gateway.reach;
            let is_voter = self.voters.contains(&gateway.address);
            *host != own_host && is_voter && !reach.is_cut_off && !reach.is_draining
        });
        gateways.map(|(_, one)| one.address.clone()).collect()
    }
}

/// Hands leadership over to a voter that reaches the upstreams if this host does not: the leader's orders
/// must come from its own host.
pub(super) fn hand_over_if_cut_off(
    gateway: &Arc<Gateway>,
    voter: &driver::Handle,
    state: &mut LeaderState,
    now: Instant,
) {
    let cut_off_for = gateway.reach.lock().cut_off_for(now);
    if cut_off_for.is_none_or(|time| time < HAND_OVER_DELAY) || now < state.helpers.next_hand_over {
        return;
    }
    let successors = state.reaching_voters(&gateway.host);
    if successors.is_empty() {
        return;
    }
    state.helpers.next_hand_over = now + HAND_OVER_INTERVAL;
    log::info!(
        "event=hub.hand_over reason=cut_off successors={}",
        successors.join(",")
    );
    let voter = voter.clone();
    tokio::spawn(async move { voter.transfer_leadership_to(successors).await });
}
