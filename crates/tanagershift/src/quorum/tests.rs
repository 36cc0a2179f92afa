//! Properties of the replicated log under lost, doubled, late and reordered messages, crashes,
//! freezes, clocks that run apart, lost disks and changes of membership.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use tokio::time::Instant;

use super::{
    Config, Node,
    log::Log,
    message::{Ballot, Entry, Envelope, Member, Members, Snapshot},
};
use crate::{
    id,
    testing::{cases, for_seeds},
};

/// One step of time.
const STEP: Duration = Duration::from_millis(10);
/// Steps with faults.
const FAULTY_STEPS: u32 = 3000;
/// Steps in which a healed group must have agreed: ten seconds.
const HEALED_STEPS: u32 = 1000;

/// What a member's disk holds: only what was synced.
#[derive(Clone)]
struct Disk {
    ballot: Ballot,
    log: Log,
}

struct Host {
    id: id::Member,
    disk: Disk,
    /// `None` while the process is down.
    node: Option<Node>,
    /// Steps for which the process is frozen.
    frozen: u32,
    /// Host that the data folder is on.
    host: String,
    /// Whether the disk is lost for good.
    lost: bool,
    clock: f64,
    applied: id::Index,
    /// Digest of all applied entries.
    state: u64,
}

struct Group {
    random: SmallRng,
    start: Instant,
    elapsed: Duration,
    hosts: Vec<Host>,
    network: Vec<(u32, Envelope)>,
    step: u32,
    loss: f64,
    /// Whether processes may crash while they handle a message.
    faulty: bool,
    /// Which side of a partition each member is on.
    sides: BTreeMap<id::Member, u8>,
    leaders: BTreeMap<id::Term, id::Member>,
    committed: BTreeMap<id::Index, (id::Term, Bytes)>,
    proposed: u64,
    next_id: id::Member,
}

fn member(id: id::Member, host: &str, voter: bool) -> Member {
    Member {
        id,
        host: host.to_owned(),
        address: format!("{host}:1"),
        voter,
    }
}

fn empty_disk(members: Vec<Member>) -> Disk {
    let snapshot = Snapshot {
        members: Members { members },
        ..Snapshot::default()
    };
    Disk {
        ballot: Ballot::default(),
        log: Log::new(snapshot, (0, 0), Vec::new()),
    }
}

fn mix(state: u64, entry: &Entry) -> u64 {
    let bytes = entry.data.iter().chain(b"|");
    bytes.fold(state.wrapping_add(entry.index), |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Group {
    fn new(seed: u64, voters: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let members: Vec<Member> = (1..=voters)
            .map(|id| member(id, &format!("h{id}"), true))
            .collect();
        let mut group = Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            hosts: Vec::new(),
            network: Vec::new(),
            step: 0,
            loss: random.random_range(0.0..0.2),
            faulty: true,
            sides: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposed: 0,
            next_id: voters + 1,
            random,
        };
        for one in &members {
            group.add_host(one.id, &one.host, empty_disk(members.clone()));
        }
        group
    }

    fn add_host(&mut self, id: id::Member, host: &str, disk: Disk) {
        let clock = self.random.random_range(0.957..1.043);
        self.hosts.push(Host {
            id,
            disk,
            node: None,
            frozen: 0,
            host: host.to_owned(),
            lost: false,
            clock,
            applied: 0,
            state: 0,
        });
        let at = self.hosts.len() - 1;
        self.restart(at);
    }

    /// A member's own clock.
    fn now(&self, at: usize) -> Instant {
        self.start + self.elapsed.mul_f64(self.hosts[at].clock)
    }

    fn restart(&mut self, at: usize) {
        let now = self.now(at);
        let seed = self.random.random();
        let host = &mut self.hosts[at];
        let disk = host.disk.clone();
        let snapshot = disk.log.snapshot();
        host.applied = snapshot.index;
        host.state = state_of(snapshot);
        let config = Config::default();
        let node = Node::new(host.id, 9, config, disk.ballot, disk.log, seed, now);
        host.node = Some(node);
        host.frozen = 0;
    }

    /// Carries out what a member must do, as the driver does, with a crash at any point.
    fn settle(&mut self, at: usize, crash: bool) {
        let stop = if crash {
            self.random.random_range(0..3)
        } else {
            9
        };
        loop {
            let host = &mut self.hosts[at];
            let Some(node) = &mut host.node else {
                return;
            };
            let ready = node.ready();
            if ready.is_empty() {
                return;
            }
            if stop == 0 {
                host.node = None;
                return;
            }
            if let Some(snapshot) = &ready.snapshot {
                host.disk.log = node.log().clone();
                host.disk.ballot = node.ballot();
                host.applied = snapshot.index;
                host.state = state_of(snapshot);
            }
            if let Some(ballot) = ready.ballot {
                host.disk.ballot = ballot;
            }
            for entry in &ready.entries {
                host.disk.log.push(entry.clone());
            }
            if let Some(last) = ready.entries.last() {
                node.mark_synced(last.index, last.term);
            }
            if stop == 1 {
                host.node = None;
                return;
            }
            for envelope in ready.messages {
                let delay = self.random.random_range(0..4);
                self.network.push((self.step + delay, envelope));
            }
            if stop == 2 {
                self.hosts[at].node = None;
                return;
            }
            for entry in ready.committed {
                self.apply(at, &entry);
            }
        }
    }

    fn apply(&mut self, at: usize, entry: &Entry) {
        let host = &mut self.hosts[at];
        assert_eq!(
            entry.index,
            host.applied + 1,
            "entries are applied in order"
        );
        host.applied = entry.index;
        host.state = mix(host.state, entry);
        let ours = (entry.term, entry.data.clone());
        let agreed = self.committed.entry(entry.index).or_insert(ours.clone());
        assert_eq!(
            *agreed, ours,
            "entry {} changed after it was committed",
            entry.index
        );
    }

    fn check(&mut self) {
        let mut serving = Vec::new();
        for at in 0..self.hosts.len() {
            let now = self.now(at);
            let Some(node) = &self.hosts[at].node else {
                continue;
            };
            if node.leads() {
                let known = *self.leaders.entry(node.term()).or_insert(node.id());
                assert_eq!(known, node.id(), "two leaders in term {}", node.term());
            }
            if node.holds_lease(now) {
                serving.push(node.id());
            }
        }
        assert!(serving.len() <= 1, "leases of {serving:?} overlap");
    }

    fn connected(&self, left: id::Member, right: id::Member) -> bool {
        let side = |member| self.sides.get(&member).copied().unwrap_or(0);
        side(left) == side(right)
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due: Vec<Envelope> = self
            .network
            .extract_if(.., |(at, _)| *at <= step)
            .map(|(_, envelope)| envelope)
            .collect();
        for envelope in due {
            if !self.connected(envelope.from, envelope.to) || self.random.random_bool(self.loss) {
                continue;
            }
            if self.random.random_bool(0.03) {
                let delay = self.random.random_range(1..200);
                self.network.push((step + delay, envelope.clone()));
            }
            let Some(at) = self.hosts.iter().position(|host| host.id == envelope.to) else {
                continue;
            };
            if self.hosts[at].frozen > 0 {
                // The system keeps it until the process goes on.
                let again = step + self.hosts[at].frozen;
                self.network.push((again, envelope));
                continue;
            }
            let now = self.now(at);
            if let Some(node) = &mut self.hosts[at].node {
                node.receive(envelope, now);
                let crash = self.faulty && self.random.random_bool(0.0005);
                self.settle(at, crash);
            }
        }
    }

    fn tick(&mut self) {
        for at in 0..self.hosts.len() {
            let now = self.now(at);
            let host = &mut self.hosts[at];
            if host.frozen > 0 {
                host.frozen -= 1;
                continue;
            }
            let Some(node) = &mut host.node else {
                continue;
            };
            if now >= node.next_tick() {
                node.tick(now);
            }
            self.settle(at, false);
        }
    }

    fn propose(&mut self) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].frozen > 0 {
                continue;
            }
            let Some(node) = &mut self.hosts[at].node else {
                continue;
            };
            let data = Bytes::from(format!("c{}", self.proposed));
            if node.leads() && node.propose(data).is_ok() {
                self.proposed += 1;
                self.settle(at, false);
            }
        }
    }

    fn compact(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let Some(node) = &mut host.node else {
            return;
        };
        let data = Bytes::from(host.state.to_le_bytes().to_vec());
        if host.applied > node.log().snapshot().index {
            node.compact(host.applied, data)
                .expect("applied entries are known");
            host.disk.log = node.log().clone();
            host.disk.ballot = node.ballot();
        }
    }

    fn fault(&mut self) {
        let at = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..1000) {
            0..4 if !self.hosts[at].lost => self.hosts[at].node = None,
            4..30 if !self.hosts[at].lost && self.hosts[at].node.is_none() => self.restart(at),
            30..34 => self.hosts[at].frozen = self.random.random_range(1..600),
            34..38 => {
                let ids: Vec<id::Member> = self.hosts.iter().map(|host| host.id).collect();
                for id in ids {
                    self.sides.insert(id, self.random.random_range(0..2));
                }
            }
            38..44 => self.sides.clear(),
            44..50 => self.compact(at),
            50..60 => {
                let now = self.now(at);
                if let Some(node) = &mut self.hosts[at].node {
                    node.hand_over(now);
                    self.settle(at, false);
                }
            }
            _ => {}
        }
    }

    /// Loses one disk for good, and adds a new identity on the same host.
    fn replace_disk(&mut self) {
        let voters = self.leader_members();
        let Some(member_lost) = voters.choose(&mut self.random).cloned() else {
            return;
        };
        let Some(at) = self.hosts.iter().position(|host| host.id == member_lost.id) else {
            return;
        };
        self.hosts[at].lost = true;
        self.hosts[at].node = None;
        let id = self.next_id;
        self.next_id += 1;
        let host = self.hosts[at].host.clone();
        self.add_host(id, &host, empty_disk(Vec::new()));
    }

    fn leader_members(&self) -> Vec<Member> {
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref());
        let leader = nodes
            .filter(|node| node.leads())
            .max_by_key(|node| node.term());
        leader.map_or(Vec::new(), |node| node.members().members.clone())
    }

    /// Asks the leader to add identities that are not members yet, as an operator would.
    fn add_members(&mut self) {
        let wanted: Vec<Member> = self
            .hosts
            .iter()
            .filter(|host| !host.lost)
            .map(|host| member(host.id, &host.host, false))
            .collect();
        for at in 0..self.hosts.len() {
            let Some(node) = &mut self.hosts[at].node else {
                continue;
            };
            for one in &wanted {
                if node.leads()
                    && node
                        .members()
                        .members
                        .iter()
                        .all(|known| known.id != one.id)
                {
                    // Refused while another change is under way; asked again later.
                    let _ = node.add_member(one.clone());
                }
            }
            self.settle(at, false);
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        self.elapsed += STEP;
        self.deliver();
        self.tick();
        self.check();
    }

    fn heal(&mut self) {
        self.faulty = false;
        self.loss = 0.0;
        self.sides.clear();
        for at in 0..self.hosts.len() {
            self.hosts[at].frozen = 0;
            if self.hosts[at].node.is_none() && !self.hosts[at].lost {
                self.restart(at);
            }
        }
        for step in 0..HEALED_STEPS {
            self.advance();
            if step % 50 == 0 {
                self.add_members();
            }
        }
    }

    /// After healing, every member has applied all that was ever committed, and more still comes.
    fn check_agreed(&mut self) {
        let before = self.committed.len();
        self.propose();
        for _ in 0..100 {
            self.advance();
        }
        assert!(
            self.committed.len() > before,
            "a healed group accepts nothing"
        );
        let last = *self
            .committed
            .keys()
            .last()
            .expect("something was committed");
        let members = self.leader_members();
        for host in &self.hosts {
            let counts = members
                .iter()
                .any(|member| member.id == host.id && member.voter);
            if host.node.is_some() && counts {
                assert_eq!(host.applied, last, "member {} lags", host.id);
            }
        }
        let states: Vec<u64> = self
            .hosts
            .iter()
            .filter(|host| host.node.is_some() && host.applied == last)
            .map(|host| host.state)
            .collect();
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "states differ"
        );
    }
}

fn state_of(snapshot: &Snapshot) -> u64 {
    let bytes: [u8; 8] = snapshot.data[..].try_into().unwrap_or_default();
    u64::from_le_bytes(bytes)
}

fn run(seed: u64, voters: u64, disks: u32) {
    let mut group = Group::new(seed, voters);
    for step in 0..FAULTY_STEPS {
        group.advance();
        if step % 7 == 0 {
            group.propose();
        }
        group.fault();
        if disks > 0 && step > 0 && step % (FAULTY_STEPS / (disks + 1)) == 0 {
            // A disk is only lost by itself: the others have what was accepted.
            group.heal();
            group.replace_disk();
            group.faulty = true;
        }
        if disks > 0 && step % 100 == 0 {
            group.add_members();
        }
    }
    group.heal();
    group.check_agreed();
}

fn holds_for(count: u32, voters: u64, disks: u32) {
    for_seeds(count, |seed| run(seed, voters, disks));
}

cases! {
    holds_for {
        one_voter_survives_crashes: (40, 1, 0);
        three_voters_agree_under_faults: (120, 3, 0);
        five_voters_agree_under_faults: (60, 5, 0);
        three_voters_survive_lost_disks: (60, 3, 2);
        five_voters_survive_lost_disks: (30, 5, 3);
    }
}
