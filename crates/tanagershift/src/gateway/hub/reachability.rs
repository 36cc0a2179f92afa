//! Finds replicas that are gone before the platform's list shows it.
//!
//! Gateways name replicas that accept no connections. The leader tries by itself, so that a link that
//! only one gateway lacks excludes nothing, and tries again until the replica is listed no more.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{sync::mpsc, time::Instant};

use super::{Input, LeaderState};
use crate::{
    gateway::{Gateway, message::Upstream},
    id,
};

/// Time after a check that found a replica gone until the next one.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which such a check is believed.
const GONE_TTL: Duration = Duration::from_millis(1500);

/// Checks of replicas that gateways could not reach.
#[derive(Debug, Default)]
pub(super) struct Checks {
    /// When each replica is checked next.
    due: BTreeMap<id::Upstream, Instant>,
    running: BTreeSet<id::Upstream>,
    /// Until when each upstream of a plain service counts as gone.
    gone_until: BTreeMap<id::Upstream, Instant>,
}

impl Checks {
    /// Asks for a check of a replica, unless one is due.
    pub(super) fn request(&mut self, replica: &str, now: Instant) {
        self.due.entry(replica.to_owned()).or_insert(now);
    }

    /// Whether an upstream of a plain service is gone.
    pub(super) fn is_gone(&self, upstream: &str, now: Instant) -> bool {
        let until = self.gone_until.get(upstream);
        until.is_some_and(|until| now < *until)
    }

    /// When the next check is due; `None` if there is none.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let waiting = self
            .due
            .iter()
            .filter(|(name, _)| !self.running.contains(*name));
        waiting.map(|(_, due)| *due).min()
    }
}

impl LeaderState {
    /// Starts the checks that are due.
    pub(super) fn start_checks(
        &mut self,
        gateway: &Arc<Gateway>,
        inputs: &mpsc::Sender<Input>,
        now: Instant,
    ) {
        let due = self.checks.due.iter().filter(|(_, due)| now >= **due);
        let due: Vec<id::Upstream> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some(upstream) = self.checkable(&name) else {
                self.checks.due.remove(&name);
                self.checks.gone_until.remove(&name);
                continue;
            };
            if !self.checks.running.insert(name.clone()) {
                continue;
            }
            let term = self.term;
            let (inputs, gateway) = (inputs.clone(), gateway.clone());
            tokio::spawn(async move {
                let gone = gateway.is_gone(&upstream).await;
                gateway.metrics.replica_checks.inc();
                // Fails only while the process ends, since the hub runs until then.
                let _ = inputs.send(Input::Checked(term, name, gone)).await;
            });
        }
    }

    /// A replica, or an upstream of a plain service to which this leader assigns requests.
    fn checkable(&self, name: &str) -> Option<Upstream> {
        if let Some(replica) = self.placement.replicas().get(name) {
            return Some(replica.upstream.clone());
        }
        let upstream = self.list.upstreams.iter().find(|one| one.name == name)?;
        let is_assigned = self.ceilings.is_bounded(&upstream.service);
        is_assigned.then(|| upstream.clone())
    }

    /// Applies the outcome of a check.
    pub(super) fn apply_check(&mut self, replica: &str, gone: bool, now: Instant) {
        self.checks.running.remove(replica);
        log::info!("event=hub.checked replica={replica} gone={gone}");
        match gone {
            true => {
                self.checks
                    .due
                    .insert(replica.to_owned(), now + CHECK_INTERVAL);
                self.placement.set_gone(replica, Some(now + GONE_TTL));
                let until = now + GONE_TTL;
                self.checks.gone_until.insert(replica.to_owned(), until);
            }
            false => {
                self.checks.due.remove(replica);
                self.checks.gone_until.remove(replica);
                self.placement.set_gone(replica, None);
            }
        }
    }
}
