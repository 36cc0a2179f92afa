//! Leases of hosts on replicas, granted by the leader.
//!
//! A host counts its lease from the moment it sent the heartbeat, the leader from the moment it
//! received it, and both allow for clock drift. A new leader assigns nothing until every lease that
//! its predecessor may have granted has expired.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    command::{Assignment, Move},
    state::State,
};
use crate::{
    id,
    platform::{Kind, Upstream},
    wire::{Grant, Heartbeat, Lease},
};

/// Timing of the leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Duration of a lease, measured by the host from sending its heartbeat.
    pub length: Duration,
    /// Largest drift between the clocks of two hosts, in percent.
    pub drift_percent: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            length: Duration::from_millis(2000),
            drift_percent: 10,
        }
    }
}

impl Config {
    /// Time since a heartbeat after which the leader may treat the lease as expired.
    pub fn leader_expiry(&self) -> Duration {
        self.length * (100 + self.drift_percent) / 100
    }
}

/// State of one host, as of its last heartbeat to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostInfo {
    /// Availability zone.
    pub zone: id::Zone,
    /// Peer address.
    pub address: String,
    /// Random number that the host's process chose when it started.
    pub session: u64,
    /// Revision in force on the host.
    pub revision: id::Revision,
    /// Whether the host accepts no new replicas.
    pub draining: bool,
    /// Whether the host can hold replicas.
    pub holds: bool,
    /// Time after which no lease of the host can still run, clock drift included.
    pub expires_at: Instant,
}

/// The leader's view of the hosts and their leases.
#[derive(Clone, Debug)]
pub struct Leases {
    config: Config,
    hosts: BTreeMap<id::Host, HostInfo>,
    /// Earlier sessions of hosts, each with the time at which its last lease expires.
    ended_sessions: BTreeMap<(id::Host, u64), Instant>,
    /// Epochs of leases that their holders returned before they expired.
    returned_epochs: BTreeSet<id::Epoch>,
    /// Time until which leases granted by an earlier leader may run.
    inherited_until: Instant,
}

impl Leases {
    /// Creates a view without hosts; leases of an earlier leader may run until `inherited_until`.
    pub fn new(config: Config, inherited_until: Instant) -> Self {
        Self {
            config,
            hosts: BTreeMap::new(),
            ended_sessions: BTreeMap::new(),
            returned_epochs: BTreeSet::new(),
            inherited_until,
        }
    }

    /// Hosts that have sent a heartbeat to this leader, including those whose leases have expired.
    pub fn hosts(&self) -> &BTreeMap<id::Host, HostInfo> {
        &self.hosts
    }

    /// Hosts whose leases have not expired.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&id::Host, &HostInfo)> {
        self.hosts
            .iter()
            .filter(move |(_, info)| now < info.expires_at)
    }

    /// Handles a heartbeat and renews the leases of its host.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, state: &State, now: Instant) -> Lease {
        let expires_at = now + self.config.leader_expiry();
        if let Some(known) = self.hosts.get(&heartbeat.host)
            && known.session != heartbeat.session
        {
            self.ended_sessions
                .insert((heartbeat.host.clone(), known.session), known.expires_at);
        }
        if self
            .ended_sessions
            .contains_key(&(heartbeat.host.clone(), heartbeat.session))
        {
            // Only the newest session of a host may renew leases; a late heartbeat of an earlier
            // session must not.
            return Lease::default();
        }
        self.returned_epochs.extend(&heartbeat.returned);
        let draining = heartbeat.draining || state.drained().contains(&heartbeat.host);
        let info = HostInfo {
            zone: heartbeat.zone,
            address: heartbeat.address,
            session: heartbeat.session,
            revision: heartbeat.revision,
            draining,
            holds: heartbeat.holds,
            expires_at,
        };
        let session = info.session;
        self.hosts.insert(heartbeat.host.clone(), info);
        let to_release = self.excess_replicas(&heartbeat.host, state, now);
        let is_own = |assignment: &&Assignment| {
            assignment.host == heartbeat.host
                && assignment.session == session
                && !self.returned_epochs.contains(&assignment.epoch)
        };
        let grant = |assignment: &Assignment| Grant {
            replica: assignment.replica.clone(),
            epoch: assignment.epoch,
            clean: assignment.clean,
            release: draining || to_release.contains(&assignment.replica),
        };
        Lease {
            millis: self.config.length.as_millis() as u64,
            grants: state
                .assignments()
                .values()
                .filter(is_own)
                .map(grant)
                .collect(),
            revision: state.catalog().revision(),
            holders: self.eligible_hosts(now).count() as u32,
        }
    }

    /// Live hosts that may be assigned replicas.
    fn eligible_hosts(&self, now: Instant) -> impl Iterator<Item = (&id::Host, &HostInfo)> {
        self.live(now)
            .filter(|(_, info)| info.holds && !info.draining)
    }

    /// Replicas that a host holds beyond its fair share and should release.
    fn excess_replicas(&self, host: &str, state: &State, now: Instant) -> BTreeSet<id::Upstream> {
        let count = self.eligible_hosts(now).count().max(1);
        let fair_share = state.assignments().len().div_ceil(count);
        let held = state.assignments().values();
        let held = held.filter(|assignment| assignment.host == host);
        held.skip(fair_share)
            .map(|assignment| assignment.replica.clone())
            .collect()
    }

    /// Whether no host can act under an assignment any more.
    fn is_free(&self, assignment: &Assignment, now: Instant) -> bool {
        if self.returned_epochs.contains(&assignment.epoch) {
            return true;
        }
        let session = (assignment.host.clone(), assignment.session);
        if let Some(expires_at) = self.ended_sessions.get(&session) {
            return now >= *expires_at;
        }
        match self.hosts.get(&assignment.host) {
            Some(info) if info.session == assignment.session => now >= info.expires_at,
            // The lease was granted by an earlier leader, and `assign` waits until those have
            // expired.
            _ => true,
        }
    }

    /// Chooses holders for free replicas, and removes assignments of replicas that are not listed.
    pub fn assign(&mut self, upstreams: &[Upstream], state: &State, now: Instant) -> Vec<Move> {
        if now < self.inherited_until {
            return Vec::new();
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (host, _) in self.eligible_hosts(now) {
            counts.insert(host, 0);
        }
        for assignment in state.assignments().values() {
            if !self.is_free(assignment, now)
                && let Some(count) = counts.get_mut(assignment.host.as_str())
            {
                *count += 1;
            }
        }
        let mut moves = Vec::new();
        for upstream in upstreams
            .iter()
            .filter(|upstream| upstream.kind == Kind::Engine)
        {
            let known = state.assignments().get(&upstream.name);
            if known.is_some_and(|assignment| !self.is_free(assignment, now)) {
                continue;
            }
            let Some(host) = self.choose_holder(&counts, upstream) else {
                continue;
            };
            *counts.entry(host).or_default() += 1;
            let clean = known.is_some_and(|known| self.returned_epochs.contains(&known.epoch));
            moves.push(Move {
                replica: upstream.name.clone(),
                host: host.to_owned(),
                session: self.hosts[host].session,
                clean,
                address: self.hosts[host].address.clone(),
            });
        }
        moves.extend(self.unassign_unlisted(upstreams, state, now));
        moves
    }

    /// The host with the fewest replicas; among equals, one in the replica's availability zone.
    fn choose_holder<'a>(
        &self,
        counts: &BTreeMap<&'a str, usize>,
        upstream: &Upstream,
    ) -> Option<&'a str> {
        let rank = |host: &str, count: usize| {
            let same_zone = self.hosts[host].zone == upstream.zone;
            (count, !same_zone)
        };
        let best = counts
            .iter()
            .min_by_key(|(host, count)| rank(host, **count));
        best.map(|(host, _)| *host)
    }

    /// Moves that remove the free assignments of unlisted replicas. An empty list removes none.
    fn unassign_unlisted(&self, upstreams: &[Upstream], state: &State, now: Instant) -> Vec<Move> {
        let listed: BTreeSet<&str> = upstreams
            .iter()
            .map(|upstream| upstream.name.as_str())
            .collect();
        if listed.is_empty() {
            return Vec::new();
        }
        let is_unlisted = |assignment: &&Assignment| !listed.contains(assignment.replica.as_str());
        state
            .assignments()
            .values()
            .filter(is_unlisted)
            .filter(|assignment| self.is_free(assignment, now))
            .map(|assignment| Move {
                replica: assignment.replica.clone(),
                ..Move::default()
            })
            .collect()
    }

    /// Drops sessions and epochs that no assignment refers to, and hosts whose leases expired more
    /// than a day ago.
    pub fn prune(&mut self, state: &State, now: Instant) {
        let epochs: BTreeSet<id::Epoch> = state
            .assignments()
            .values()
            .map(|assignment| assignment.epoch)
            .collect();
        self.returned_epochs.retain(|epoch| epochs.contains(epoch));
        let assigned = |host: &str, session: u64| {
            let mut all = state.assignments().values();
            all.any(|assignment| assignment.host == host && assignment.session == session)
        };
        self.ended_sessions
            .retain(|(host, session), expires_at| now < *expires_at || assigned(host, *session));
        let host_retention = Duration::from_secs(24 * 3600);
        self.hosts
            .retain(|_, info| now < info.expires_at + host_retention);
    }
}
