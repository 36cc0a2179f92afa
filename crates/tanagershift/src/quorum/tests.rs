//! Simulation tests of the replicated log.
//!
//! A group of members runs in simulated time under lost, duplicated, delayed and reordered
//! messages, partitions, crashes, frozen processes, clock drift, lost disks and membership changes.
//! The tests check that at most one member holds the leader's lease, that a term has one leader,
//! that a committed entry never changes, and that a healed group agrees on all committed entries.

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

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Steps during which faults are injected.
const FAULTY_STEPS: u32 = 3000;
/// Steps within which a healed group must have agreed: ten simulated seconds.
const HEALED_STEPS: u32 = 1000;

/// Content of a member's disk; it holds only what was synced.
#[derive(Clone)]
struct Disk {
    ballot: Ballot,
    log: Log,
}

/// A member: its disk, and its process while it runs.
struct Process {
    id: id::Member,
    disk: Disk,
    /// `None` while the process is down.
    node: Option<Node>,
    /// Remaining steps for which the process is frozen.
    frozen: u32,
    /// Host that holds the data folder.
    host: String,
    /// Whether the disk is lost permanently.
    lost: bool,
    /// Rate of the host's clock relative to simulated time.
    clock_rate: f64,
    applied: id::Index,
    /// Hash of all applied entries.
    state: u64,
}

struct Group {
    random: SmallRng,
    start: Instant,
    elapsed: Duration,
    processes: Vec<Process>,
    /// Messages in flight, with the step at which they arrive.
    network: Vec<(u32, Envelope)>,
    step: u32,
    /// Probability that a message is lost.
    loss: f64,
    /// Whether processes may crash while they handle a message.
    faulty: bool,
    /// Side of the network partition that each member is on; zero if absent.
    partition_sides: BTreeMap<id::Member, u8>,
    /// Leader seen in each term.
    leaders: BTreeMap<id::Term, id::Member>,
    /// Term and command of each entry that some member has applied.
    committed: BTreeMap<id::Index, (id::Term, Bytes)>,
    /// Number of accepted proposals.
    proposals: u64,
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

fn new_disk(members: Vec<Member>) -> Disk {
    let snapshot = Snapshot {
        members: Members { members },
        ..Snapshot::default()
    };
    Disk {
        ballot: Ballot::default(),
        log: Log::new(snapshot, (0, 0), Vec::new()),
    }
}

fn fold_entry(state: u64, entry: &Entry) -> u64 {
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
            processes: Vec::new(),
            network: Vec::new(),
            step: 0,
            loss: random.random_range(0.0..0.2),
            faulty: true,
            partition_sides: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposals: 0,
            next_id: voters + 1,
            random,
        };
        for member in &members {
            group.add_process(member.id, &member.host, new_disk(members.clone()));
        }
        group
    }

    fn add_process(&mut self, id: id::Member, host: &str, disk: Disk) {
        let clock_rate = self.random.random_range(0.957..1.043);
        self.processes.push(Process {
            id,
            disk,
            node: None,
            frozen: 0,
            host: host.to_owned(),
            lost: false,
            clock_rate,
            applied: 0,
            state: 0,
        });
        let index = self.processes.len() - 1;
        self.restart(index);
    }

    /// Current time on a member's own clock.
    fn now(&self, index: usize) -> Instant {
        self.start + self.elapsed.mul_f64(self.processes[index].clock_rate)
    }

    fn restart(&mut self, index: usize) {
        let seed = self.random.random();
        self.restart_as(index, seed % 3 == 0, seed);
    }

    /// Restarts a process; in a cold start, `preferred` gives it a lead over the others.
    fn restart_as(&mut self, index: usize, preferred: bool, seed: u64) {
        let now = self.now(index);
        let process = &mut self.processes[index];
        let disk = process.disk.clone();
        let snapshot = disk.log.snapshot();
        process.applied = snapshot.index;
        process.state = state_of(snapshot);
        let config = Config::default();
        let mut node = Node::new(process.id, 9, config, disk.ballot, disk.log, seed, now);
        node.begin_cold_start(preferred, now);
        process.node = Some(node);
        process.frozen = 0;
    }

    /// Stores, sends and applies what `Node::ready` returns, as `voter::driver` does.
    ///
    /// With `crash`, the process crashes before storing, sending or applying, chosen at random.
    fn carry_out(&mut self, index: usize, crash: bool) {
        // The crash points are 0 to 2; 9 stands for none.
        let crash_point = if crash {
            self.random.random_range(0..3)
        } else {
            9
        };
        loop {
            let process = &mut self.processes[index];
            let Some(node) = &mut process.node else {
                return;
            };
            let ready = node.ready();
            if ready.is_empty() {
                return;
            }
            if crash_point == 0 {
                process.node = None;
                return;
            }
            if let Some(snapshot) = &ready.snapshot {
                process.disk.log = node.log().clone();
                process.disk.ballot = node.ballot();
                process.applied = snapshot.index;
                process.state = state_of(snapshot);
            }
            if let Some(ballot) = ready.ballot {
                process.disk.ballot = ballot;
            }
            for entry in &ready.entries {
                process.disk.log.push(entry.clone());
            }
            if let Some(last) = ready.entries.last() {
                node.mark_synced(last.index, last.term);
            }
            if crash_point == 1 {
                process.node = None;
                return;
            }
            for envelope in ready.messages {
                let delay = self.random.random_range(0..4);
                self.network.push((self.step + delay, envelope));
            }
            if crash_point == 2 {
                self.processes[index].node = None;
                return;
            }
            for entry in ready.committed {
                self.apply(index, &entry);
            }
        }
    }

    fn apply(&mut self, index: usize, entry: &Entry) {
        let process = &mut self.processes[index];
        assert_eq!(
            entry.index,
            process.applied + 1,
            "entries are applied in order"
        );
        process.applied = entry.index;
        process.state = fold_entry(process.state, entry);
        let applied = (entry.term, entry.data.clone());
        let committed = self.committed.entry(entry.index).or_insert(applied.clone());
        assert_eq!(
            *committed, applied,
            "entry {} changed after it was committed",
            entry.index
        );
    }

    /// Checks that each term has one leader, and that no two leases overlap.
    fn check_leaders(&mut self) {
        let mut lease_holders = Vec::new();
        for index in 0..self.processes.len() {
            let now = self.now(index);
            let Some(node) = &self.processes[index].node else {
                continue;
            };
            if node.leads() {
                let known = *self.leaders.entry(node.term()).or_insert(node.id());
                assert_eq!(known, node.id(), "two leaders in term {}", node.term());
            }
            if node.holds_lease(now) {
                lease_holders.push(node.id());
            }
        }
        assert!(
            lease_holders.len() <= 1,
            "leases of {lease_holders:?} overlap"
        );
    }

    fn connected(&self, left: id::Member, right: id::Member) -> bool {
        let side = |member| self.partition_sides.get(&member).copied().unwrap_or(0);
        side(left) == side(right)
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due: Vec<Envelope> = self
            .network
            .extract_if(.., |(due_step, _)| *due_step <= step)
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
            let Some(index) = self
                .processes
                .iter()
                .position(|process| process.id == envelope.to)
            else {
                continue;
            };
            if self.processes[index].frozen > 0 {
                // The operating system holds the message until the process continues.
                let resume_step = step + self.processes[index].frozen;
                self.network.push((resume_step, envelope));
                continue;
            }
            let now = self.now(index);
            if let Some(node) = &mut self.processes[index].node {
                node.receive(envelope, now);
                let crash = self.faulty && self.random.random_bool(0.0005);
                self.carry_out(index, crash);
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..self.processes.len() {
            let now = self.now(index);
            let process = &mut self.processes[index];
            if process.frozen > 0 {
                process.frozen -= 1;
                continue;
            }
            let Some(node) = &mut process.node else {
                continue;
            };
            if now >= node.next_tick() {
                node.tick(now);
            }
            self.carry_out(index, false);
        }
    }

    fn propose(&mut self) {
        for index in 0..self.processes.len() {
            if self.processes[index].frozen > 0 {
                continue;
            }
            let Some(node) = &mut self.processes[index].node else {
                continue;
            };
            let data = Bytes::from(format!("c{}", self.proposals));
            if node.leads() && node.propose(data).is_ok() {
                self.proposals += 1;
                self.carry_out(index, false);
            }
        }
    }

    fn compact(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(node) = &mut process.node else {
            return;
        };
        let data = Bytes::from(process.state.to_le_bytes().to_vec());
        if process.applied > node.log().snapshot().index {
            node.compact(process.applied, data)
                .expect("applied entries are known");
            process.disk.log = node.log().clone();
            process.disk.ballot = node.ballot();
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..self.processes.len());
        match self.random.random_range(0..1000) {
            0..4 if !self.processes[index].lost => self.processes[index].node = None,
            4..30 if !self.processes[index].lost && self.processes[index].node.is_none() => {
                self.restart(index)
            }
            30..34 => self.processes[index].frozen = self.random.random_range(1..600),
            34..38 => {
                let ids: Vec<id::Member> =
                    self.processes.iter().map(|process| process.id).collect();
                for id in ids {
                    self.partition_sides
                        .insert(id, self.random.random_range(0..2));
                }
            }
            38..44 => self.partition_sides.clear(),
            44..50 => self.compact(index),
            50..60 => {
                let now = self.now(index);
                if let Some(node) = &mut self.processes[index].node {
                    node.transfer_leadership(|_| true, now);
                    self.carry_out(index, false);
                }
            }
            60..63 => {
                // All hosts lose power; each is back a little later, or at once.
                let at_once = self.random.random_bool(0.5);
                for index in 0..self.processes.len() {
                    self.processes[index].node = None;
                    if at_once && !self.processes[index].lost {
                        self.restart(index);
                    }
                }
            }
            _ => {}
        }
    }

    /// Loses the disk of a random member, and starts a new identity on the same host.
    fn replace_disk(&mut self) {
        let members = self.leader_membership();
        let Some(lost_member) = members.choose(&mut self.random).cloned() else {
            return;
        };
        let Some(index) = self
            .processes
            .iter()
            .position(|process| process.id == lost_member.id)
        else {
            return;
        };
        self.processes[index].lost = true;
        self.processes[index].node = None;
        let id = self.next_id;
        self.next_id += 1;
        let host = self.processes[index].host.clone();
        self.add_process(id, &host, new_disk(Vec::new()));
    }

    /// Membership as the leader of the highest term has it.
    fn leader_membership(&self) -> Vec<Member> {
        let nodes = self
            .processes
            .iter()
            .filter_map(|process| process.node.as_ref());
        let leader = nodes
            .filter(|node| node.leads())
            .max_by_key(|node| node.term());
        leader.map_or(Vec::new(), |node| node.members().members.clone())
    }

    /// Asks the leader to add the identities that are not members yet, as an operator does.
    fn add_members(&mut self) {
        let candidates: Vec<Member> = self
            .processes
            .iter()
            .filter(|process| !process.lost)
            .map(|process| member(process.id, &process.host, false))
            .collect();
        for index in 0..self.processes.len() {
            let Some(node) = &mut self.processes[index].node else {
                continue;
            };
            for candidate in &candidates {
                if node.leads()
                    && node
                        .members()
                        .members
                        .iter()
                        .all(|known| known.id != candidate.id)
                {
                    // Refused while the previous change is not committed; repeated later.
                    let _ = node.add_member(candidate.clone());
                }
            }
            self.carry_out(index, false);
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        self.elapsed += STEP;
        self.deliver();
        self.tick();
        self.check_leaders();
    }

    /// Ends all faults, restarts all processes, and lets the group run until it must have agreed.
    fn heal(&mut self) {
        self.faulty = false;
        self.loss = 0.0;
        self.partition_sides.clear();
        for index in 0..self.processes.len() {
            self.processes[index].frozen = 0;
            if self.processes[index].node.is_none() && !self.processes[index].lost {
                self.restart(index);
            }
        }
        for step in 0..HEALED_STEPS {
            self.advance();
            if step % 50 == 0 {
                self.add_members();
            }
        }
    }

    /// Checks that a healed group commits new entries, and that every voter has applied all
    /// committed entries with the same result.
    fn check_agreed(&mut self) {
        let before = self.committed.len();
        self.propose();
        for _ in 0..100 {
            self.advance();
        }
        assert!(
            self.committed.len() > before,
            "a healed group commits nothing"
        );
        let last = *self
            .committed
            .keys()
            .last()
            .expect("something was committed");
        let members = self.leader_membership();
        for process in &self.processes {
            let is_voter = members
                .iter()
                .any(|member| member.id == process.id && member.voter);
            if process.node.is_some() && is_voter {
                assert_eq!(process.applied, last, "member {} lags", process.id);
            }
        }
        let states: Vec<u64> = self
            .processes
            .iter()
            .filter(|process| process.node.is_some() && process.applied == last)
            .map(|process| process.state)
            .collect();
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "states differ"
        );
    }
}

/// Hash of the applied entries that a snapshot covers.
fn state_of(snapshot: &Snapshot) -> u64 {
    let bytes: [u8; 8] = snapshot.data[..].try_into().unwrap_or_default();
    u64::from_le_bytes(bytes)
}

/// Runs a group with `lost_disks` lost disks, spread evenly over the run.
fn run(seed: u64, voters: u64, lost_disks: u32) {
    let mut group = Group::new(seed, voters);
    for step in 0..FAULTY_STEPS {
        group.advance();
        if step % 7 == 0 {
            group.propose();
        }
        group.inject_fault();
        if lost_disks > 0 && step > 0 && step % (FAULTY_STEPS / (lost_disks + 1)) == 0 {
            // Healing first ensures that the other disks hold everything that was committed.
            group.heal();
            group.replace_disk();
            group.faulty = true;
        }
        if lost_disks > 0 && step % 100 == 0 {
            group.add_members();
        }
    }
    group.heal();
    group.check_agreed();
}

fn check_seeds(count: u32, voters: u64, lost_disks: u32) {
    for_seeds(count, |seed| run(seed, voters, lost_disks));
}

cases! {
    check_seeds {
        one_voter_survives_crashes: (40, 1, 0);
        three_voters_agree_under_faults: (120, 3, 0);
        five_voters_agree_under_faults: (60, 5, 0);
        three_voters_survive_lost_disks: (60, 3, 2);
        five_voters_survive_lost_disks: (30, 5, 3);
    }
}

/// Advances until a member holds the lease; returns its index, and how long that took.
fn await_leader(group: &mut Group) -> (usize, Duration) {
    let began = group.elapsed;
    loop {
        group.advance();
        let holds = |index: &usize| {
            let node = &group.processes[*index].node;
            let now = group.now(*index);
            node.as_ref().is_some_and(|node| node.holds_lease(now))
        };
        if let Some(index) = (0..group.processes.len()).find(holds) {
            return (index, group.elapsed - began);
        }
        let took = group.elapsed - began;
        assert!(took < Config::default().election_timeout * 10, "no leader");
    }
}

/// A group of three without faults that has a leader.
fn healthy_group(seed: u64) -> Group {
    let mut group = Group::new(seed, 3);
    (group.faulty, group.loss) = (false, 0.0);
    await_leader(&mut group);
    group.propose();
    for _ in 0..20 {
        group.advance();
    }
    group
}

/// All hosts lose power and are back together: the group need not wait until leases have expired.
#[test]
fn voters_that_have_all_restarted_elect_the_preferred_one_at_once() {
    for_seeds(40, |seed| {
        let mut group = healthy_group(seed);
        let preferred = (seed % 3) as usize;
        // What is on its way is lost with the hosts.
        group.network.clear();
        for index in 0..3 {
            group.processes[index].node = None;
        }
        for index in 0..3 {
            group.restart_as(index, index == preferred, seed + index as u64);
        }
        let (leader, took) = await_leader(&mut group);
        let limit = Config::default().election_timeout / 2;
        assert!(took < limit, "{took:?}");
        assert_eq!(leader, preferred);
        let node = group.processes[leader].node.as_ref();
        assert_eq!(node.unwrap().order_age(), Duration::ZERO);
    });
}

/// A leader that still runs keeps its lease, whoever restarts around it.
#[test]
fn voters_that_restart_beside_a_leader_elect_nobody() {
    for_seeds(40, |seed| {
        let mut group = healthy_group(seed);
        let (leader, _) = await_leader(&mut group);
        let term = group.processes[leader].node.as_ref().unwrap().term();
        // The leader is cut off, so the others hear nothing from it.
        let id = group.processes[leader].id;
        group.partition_sides.insert(id, 1);
        for index in (0..3).filter(|index| *index != leader) {
            group.processes[index].node = None;
            group.restart_as(index, true, seed);
        }
        let lease = Config::default().lease_duration();
        let until = group.elapsed + lease;
        while group.elapsed < until {
            group.advance();
            let terms = group.processes.iter().filter_map(|one| one.node.as_ref());
            assert!(terms.clone().all(|node| node.term() == term));
        }
    });
}

/// The next leader may count the time since the last order from its election on: it is at least as
/// long as the configuration says, also when clocks run apart.
#[test]
fn orders_of_a_lost_leader_end_well_before_the_next_election() {
    for_seeds(60, |seed| {
        let mut group = healthy_group(seed);
        let (leader, _) = await_leader(&mut group);
        let id = group.processes[leader].id;
        group.partition_sides.insert(id, 1);
        let mut last_order = group.elapsed;
        let elected = loop {
            group.advance();
            let now = group.now(leader);
            let old = group.processes[leader].node.as_ref().unwrap();
            if old.orders_until().is_some_and(|until| now < until) {
                last_order = group.elapsed;
            }
            let mut others = (0..3).filter(|index| *index != leader);
            let leads = |index: usize| group.processes[index].node.as_ref().unwrap().leads();
            if let Some(next) = others.find(|index| leads(*index)) {
                break next;
            }
        };
        let age = group.processes[elected].node.as_ref().unwrap().order_age();
        assert!(!age.is_zero());
        assert!(
            group.elapsed - last_order >= age,
            "{:?}",
            group.elapsed - last_order
        );
    });
}

/// Leaders are lost one after the other, each soon after the one before is back.
#[test]
fn a_leader_lost_right_after_the_restart_of_the_one_before_is_replaced() {
    for_seeds(40, |seed| {
        let mut group = healthy_group(seed);
        let (first, _) = await_leader(&mut group);
        group.processes[first].node = None;
        let (second, _) = await_leader(&mut group);
        group.restart_as(first, seed % 2 == 0, seed);
        group.processes[second].node = None;
        let (_, took) = await_leader(&mut group);
        assert!(took < Config::default().election_timeout * 5, "{took:?}");
    });
}
