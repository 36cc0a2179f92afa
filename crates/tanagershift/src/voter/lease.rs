//! Leases of hosts on replicas, as the leader of the group gives them.
//!
//! A host counts its lease from the moment it sent the heartbeat, the leader from the moment it
//! received it, and both allow for clocks that run apart. A new leader waits out every lease that
//! its predecessor may have given.

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

/// Times of the leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Length of a lease as the host counts it.
    pub length: Duration,
    /// Percent by which two hosts' clocks may run apart.
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
    /// Time after which the leader may take a lease for ended.
    pub fn wait(&self) -> Duration {
        self.length * (100 + self.drift_percent) / 100
    }
}

/// What the leader knows about one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// Availability zone.
    pub zone: id::Zone,
    /// Peer address.
    pub address: String,
    /// Number drawn when the process started.
    pub session: u64,
    /// Revision in force on the host.
    pub revision: id::Revision,
    /// Whether it takes no new replicas.
    pub draining: bool,
    /// Whether it can hold replicas.
    pub holds: bool,
    /// When its leases have ended for certain.
    pub until: Instant,
}

/// The leader's view of hosts and their leases.
#[derive(Clone, Debug)]
pub struct Leases {
    config: Config,
    hosts: BTreeMap<id::Host, Live>,
    /// Sessions that ended with leases, and when those leases have ended.
    ended: BTreeMap<(id::Host, u64), Instant>,
    returned: BTreeSet<id::Epoch>,
    /// Until when leases of an earlier leader may run.
    inherited: Instant,
}

impl Leases {
    /// Starts with nothing known but that leases of an earlier leader may run until `inherited`.
    pub fn new(config: Config, inherited: Instant) -> Self {
        Self {
            config,
            hosts: BTreeMap::new(),
            ended: BTreeMap::new(),
            returned: BTreeSet::new(),
            inherited,
        }
    }

    /// Hosts that the leader has heard of.
    pub fn hosts(&self) -> &BTreeMap<id::Host, Live> {
        &self.hosts
    }

    /// Hosts whose leases run.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&id::Host, &Live)> {
        self.hosts.iter().filter(move |(_, live)| now < live.until)
    }

    /// Takes a heartbeat and renews the host's leases.
    pub fn beat(&mut self, beat: Heartbeat, state: &State, now: Instant) -> Lease {
        let until = now + self.config.wait();
        if let Some(known) = self.hosts.get(&beat.host)
            && known.session != beat.session
        {
            self.ended
                .insert((beat.host.clone(), known.session), known.until);
        }
        if self.ended.contains_key(&(beat.host.clone(), beat.session)) {
            // The process of an ended session must not renew; only the newest session counts.
            return Lease::default();
        }
        self.returned.extend(&beat.returned);
        let draining = beat.draining || state.drained().contains(&beat.host);
        let live = Live {
            zone: beat.zone,
            address: beat.address,
            session: beat.session,
            revision: beat.revision,
            draining,
            holds: beat.holds,
            until,
        };
        let session = live.session;
        self.hosts.insert(beat.host.clone(), live);
        let moving = self.surplus(&beat.host, state, now);
        let mine = |assignment: &&Assignment| {
            assignment.host == beat.host
                && assignment.session == session
                && !self.returned.contains(&assignment.epoch)
        };
        let grant = |assignment: &Assignment| Grant {
            replica: assignment.replica.clone(),
            epoch: assignment.epoch,
            clean: assignment.clean,
            release: draining || moving.contains(&assignment.replica),
        };
        Lease {
            millis: self.config.length.as_millis() as u64,
            grants: state
                .assignments()
                .values()
                .filter(mine)
                .map(grant)
                .collect(),
            revision: state.catalog().revision(),
            holders: self.holders(now).count() as u32,
        }
    }

    fn holders(&self, now: Instant) -> impl Iterator<Item = (&id::Host, &Live)> {
        self.live(now)
            .filter(|(_, live)| live.holds && !live.draining)
    }

    /// Replicas that a host should give back because others hold far fewer.
    fn surplus(&self, host: &str, state: &State, now: Instant) -> BTreeSet<id::Upstream> {
        let count = self.holders(now).count().max(1);
        let fair = state.assignments().len().div_ceil(count);
        let held = state.assignments().values();
        let held = held.filter(|assignment| assignment.host == host);
        held.skip(fair)
            .map(|assignment| assignment.replica.clone())
            .collect()
    }

    /// Whether nobody can act under an assignment any more.
    fn is_free(&self, assignment: &Assignment, now: Instant) -> bool {
        if self.returned.contains(&assignment.epoch) {
            return true;
        }
        let ended = (assignment.host.clone(), assignment.session);
        if let Some(until) = self.ended.get(&ended) {
            return now >= *until;
        }
        match self.hosts.get(&assignment.host) {
            Some(live) if live.session == assignment.session => now >= live.until,
            // Leases of an earlier leader were waited out before the first assignment.
            _ => true,
        }
    }

    /// Decides which replicas get a new holder now.
    pub fn assign(&mut self, upstreams: &[Upstream], state: &State, now: Instant) -> Vec<Move> {
        if now < self.inherited {
            return Vec::new();
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (host, _) in self.holders(now) {
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
        for upstream in upstreams.iter().filter(|one| one.kind == Kind::Engine) {
            let known = state.assignments().get(&upstream.name);
            if known.is_some_and(|assignment| !self.is_free(assignment, now)) {
                continue;
            }
            let Some(host) = self.choose(&counts, upstream) else {
                continue;
            };
            *counts.entry(host).or_default() += 1;
            let clean = known.is_some_and(|known| self.returned.contains(&known.epoch));
            moves.push(Move {
                replica: upstream.name.clone(),
                host: host.to_owned(),
                session: self.hosts[host].session,
                clean,
                address: self.hosts[host].address.clone(),
            });
        }
        moves.extend(self.gone(upstreams, state, now));
        moves
    }

    /// The host with the fewest replicas, in the replica's zone if that costs no balance.
    fn choose<'a>(
        &self,
        counts: &BTreeMap<&'a str, usize>,
        upstream: &Upstream,
    ) -> Option<&'a str> {
        let rank = |host: &str, count: usize| {
            let near = self.hosts[host].zone == upstream.zone;
            (count, !near)
        };
        let best = counts
            .iter()
            .min_by_key(|(host, count)| rank(host, **count));
        best.map(|(host, _)| *host)
    }

    fn gone(&self, upstreams: &[Upstream], state: &State, now: Instant) -> Vec<Move> {
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        if listed.is_empty() {
            return Vec::new();
        }
        let unlisted = |assignment: &&Assignment| !listed.contains(assignment.replica.as_str());
        state
            .assignments()
            .values()
            .filter(unlisted)
            .filter(|assignment| self.is_free(assignment, now))
            .map(|assignment| Move {
                replica: assignment.replica.clone(),
                ..Move::default()
            })
            .collect()
    }

    /// Forgets what no assignment refers to any more.
    pub fn prune(&mut self, state: &State, now: Instant) {
        let epochs: BTreeSet<id::Epoch> =
            state.assignments().values().map(|one| one.epoch).collect();
        self.returned.retain(|epoch| epochs.contains(epoch));
        let assigned = |host: &str, session: u64| {
            let mut all = state.assignments().values();
            all.any(|one| one.host == host && one.session == session)
        };
        self.ended
            .retain(|(host, session), until| now < *until || assigned(host, *session));
        let day = Duration::from_secs(24 * 3600);
        self.hosts.retain(|_, live| now < live.until + day);
    }
}
