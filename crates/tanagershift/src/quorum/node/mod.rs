//! Decisions of one member of the group.
//!
//! * `election`: who leads.
//! * `membership`: who votes.
//! * `transfer`: snapshots for members that lack too much.

mod election;
mod membership;
mod transfer;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    log::Log,
    message::{Append, Appended, Ballot, Body, Entry, Envelope, Member, Members, Snapshot},
};
use crate::id;

/// Most bytes of entries in one message.
const APPEND_LIMIT: usize = 1 << 20;
/// Most entries sent to a member ahead of its answers.
const WINDOW: u64 = 4096;
/// Heartbeat rounds whose start is remembered.
const ROUNDS: usize = 64;

/// Times that all members share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Shortest silence before a member starts an election.
    pub election_timeout: Duration,
    /// Percent by which two hosts' clocks may run apart.
    pub drift_percent: u32,
    /// Responsive voters that must remain when a silent one is dropped; zero keeps silent voters.
    pub min_voters: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(1000),
            drift_percent: 10,
            min_voters: 0,
        }
    }
}

impl Config {
    /// Length of the leader's lease, counted from the start of a round.
    pub fn lease(&self) -> Duration {
        self.election_timeout * (100 - self.drift_percent) / 100
    }
}

/// Why a proposal is refused; it is certain that it will not be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This member does not lead.
    NotLeader,
    /// The leader has not committed an entry of its own term yet.
    NotReady,
    /// Another change of membership is under way.
    Busy,
    /// The change names an unknown member, or the last voter.
    Invalid(&'static str),
}

/// What a member must do after its decisions, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Snapshot from the leader, to be stored and restored.
    pub snapshot: Option<Snapshot>,
    /// Ballot to be stored.
    pub ballot: Option<Ballot>,
    /// Entries to be stored; the first may replace a stored one and all behind it.
    pub entries: Vec<Entry>,
    /// Messages to be sent once everything above is synced.
    pub messages: Vec<Envelope>,
    /// Entries to be applied, in order.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.ballot.is_none()
            && self.entries.is_empty()
            && self.messages.is_empty()
            && self.committed.is_empty()
    }

    /// Whether something must be stored before the messages may go out.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.ballot.is_some() || !self.entries.is_empty()
    }
}

/// What the leader knows about another member.
#[derive(Clone, Debug)]
struct Progress {
    matched: id::Index,
    next: id::Index,
    /// When this leader began to replicate to it.
    tracked: Instant,
    /// When the round of the newest answer began.
    acked: Option<Instant>,
    /// Newest round that it answered.
    round: u64,
    /// Offset of the snapshot part under way.
    installing: Option<usize>,
}

#[derive(Clone, Debug)]
struct Leadership {
    progress: BTreeMap<id::Member, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    next_heartbeat: Instant,
    began: Instant,
    /// Index of the first entry of this term.
    first: id::Index,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Probes, or asks for votes in earnest.
    Candidate {
        probe: bool,
        votes: BTreeSet<id::Member>,
    },
    Leader(Box<Leadership>),
}

/// One member of the group.
#[derive(Clone, Debug)]
pub struct Node {
    id: id::Member,
    group: u64,
    config: Config,
    random: SmallRng,
    ballot: Ballot,
    stored_ballot: Ballot,
    log: Log,
    members: Members,
    members_index: id::Index,
    role: Role,
    leader: Option<id::Member>,
    heard: Instant,
    campaign_at: Instant,
    commit: id::Index,
    applied: id::Index,
    synced: id::Index,
    unsynced: Vec<Entry>,
    incoming: Option<(Snapshot, BytesMut)>,
    installed: Option<Snapshot>,
    outbox: Vec<Envelope>,
}

impl Node {
    /// Makes a member from what its disk holds.
    pub fn new(
        id: id::Member,
        group: u64,
        config: Config,
        ballot: Ballot,
        log: Log,
        seed: u64,
        now: Instant,
    ) -> Self {
        let (members, members_index) = log.members(u64::MAX);
        let mut node = Self {
            id,
            group,
            random: SmallRng::seed_from_u64(seed),
            ballot,
            stored_ballot: ballot,
            members,
            members_index,
            role: Role::Follower,
            leader: None,
            // A vote before the crash may have gone to a leader whose lease still runs.
            heard: now,
            campaign_at: now,
            commit: log.snapshot().index,
            applied: log.snapshot().index,
            synced: log.last_index(),
            unsynced: Vec::new(),
            incoming: None,
            installed: None,
            outbox: Vec::new(),
            config,
            log,
        };
        node.delay_campaign(now);
        node
    }

    /// Identity of this member.
    pub fn id(&self) -> id::Member {
        self.id
    }

    /// Number of the group.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Term of this member.
    pub fn term(&self) -> id::Term {
        self.ballot.term
    }

    /// Ballot of this member.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Leader of the term, as far as this member knows.
    pub fn leader(&self) -> Option<&Member> {
        let leader = self.leader?;
        self.members
            .members
            .iter()
            .find(|member| member.id == leader)
    }

    /// Whether this member leads; its lease may have run out all the same.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Newest membership.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> id::Index {
        self.commit
    }

    /// The log in memory.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Until when this member, and no other, may serve as leader.
    ///
    /// `None` while it does not lead, or has not committed an entry of its own term.
    pub fn lease_until(&self) -> Option<Instant> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if self.commit < leadership.first {
            return None;
        }
        let until = self.quorum_contact(leadership)? + self.config.lease();
        Some(until)
    }

    /// Whether the leader's lease holds at a time.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Start of the newest round that a majority, with this member, has answered.
    fn quorum_contact(&self, leadership: &Leadership) -> Option<Instant> {
        let mut contacts: Vec<Instant> = Vec::new();
        let mut voters = 0;
        let mut alone = false;
        for member in self.voters() {
            voters += 1;
            if member == self.id {
                alone = true;
                continue;
            }
            let progress = leadership.progress.get(&member);
            contacts.extend(progress.and_then(|progress| progress.acked));
        }
        let needed = (voters / 2 + 1) - usize::from(alone);
        if needed == 0 {
            return leadership.rounds.back().map(|(_, began)| *began);
        }
        contacts.sort_unstable_by(|left, right| right.cmp(left));
        contacts.get(needed - 1).copied()
    }

    fn voters(&self) -> impl Iterator<Item = id::Member> + '_ {
        let voters = self.members.members.iter().filter(|member| member.voter);
        voters.map(|member| member.id)
    }

    fn is_voter(&self) -> bool {
        self.voters().any(|member| member == self.id)
    }

    fn is_majority(&self, yes: impl Fn(id::Member) -> bool) -> bool {
        let all = self.voters().count();
        self.voters().filter(|member| yes(*member)).count() > all / 2
    }

    /// When `tick` must be called next.
    pub fn next_tick(&self) -> Instant {
        match &self.role {
            Role::Leader(leadership) => leadership.next_heartbeat,
            _ => self.campaign_at,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        if let Role::Leader(leadership) = &self.role {
            let contact = self.quorum_contact(leadership).unwrap_or(leadership.began);
            if now >= contact.max(leadership.began) + self.config.election_timeout * 2 {
                self.follow(None, now);
                return;
            }
            if now >= leadership.next_heartbeat {
                self.heartbeat(now);
                self.promote(now);
            }
            return;
        }
        if now >= self.campaign_at {
            self.delay_campaign(now);
            if self.is_voter() {
                self.campaign(true, false, now);
            }
        }
    }

    fn heartbeat(&mut self, now: Instant) {
        let heartbeat = self.config.heartbeat_interval;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.next_heartbeat = now + heartbeat;
        leadership.round += 1;
        leadership.rounds.push_back((leadership.round, now));
        if leadership.rounds.len() > ROUNDS {
            leadership.rounds.pop_front();
        }
        let others: Vec<_> = leadership.progress.keys().copied().collect();
        for member in others {
            self.replicate(member, true);
        }
    }

    /// Sends a member what it lacks; with `always`, at least a heartbeat.
    fn replicate(&mut self, member: id::Member, always: bool) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&member) else {
            return;
        };
        let prev_index = progress.next - 1;
        let prev_term = self.log.term(prev_index);
        let (Some(prev_term), None) = (prev_term, progress.installing) else {
            if progress.installing.is_none() || always {
                let offset = *progress.installing.get_or_insert(0);
                self.send_part(member, offset, round);
            }
            return;
        };
        let mut entries = Vec::new();
        if progress.next <= progress.matched + WINDOW {
            entries = self.log.slice(progress.next, APPEND_LIMIT);
        }
        if entries.is_empty() && !always {
            return;
        }
        progress.next += entries.len() as u64;
        let append = Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(member, Body::Append(append));
    }

    fn send(&mut self, to: id::Member, body: Body) {
        self.send_in(to, self.ballot.term, body);
    }

    fn send_in(&mut self, to: id::Member, term: id::Term, body: Body) {
        self.outbox.push(Envelope {
            group: self.group,
            from: self.id,
            to,
            term,
            body: Some(body),
            address: String::new(),
        });
    }

    fn push(&mut self, data: Bytes, members: Option<Members>) -> id::Index {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.ballot.term,
            data,
            members,
        };
        let index = entry.index;
        self.unsynced.push(entry.clone());
        self.log.push(entry);
        index
    }

    /// Adds a command to the log; it is committed once `Ready` hands it back.
    ///
    /// # Errors
    ///
    /// This member does not lead, or cannot serve yet.
    pub fn propose(&mut self, data: Bytes) -> Result<(id::Index, id::Term), Refusal> {
        self.check_leader()?;
        let index = self.push(data, None);
        self.replicate_all();
        Ok((index, self.ballot.term))
    }

    fn check_leader(&self) -> Result<(), Refusal> {
        let Role::Leader(leadership) = &self.role else {
            return Err(Refusal::NotLeader);
        };
        if self.commit < leadership.first {
            return Err(Refusal::NotReady);
        }
        Ok(())
    }

    /// Starts a heartbeat round and returns its number.
    ///
    /// Once `is_confirmed` holds for the round, this member was still the leader when it began, so
    /// the state committed by then is the newest.
    ///
    /// # Errors
    ///
    /// This member does not lead, or cannot serve yet.
    pub fn begin_confirmation(&mut self, now: Instant) -> Result<u64, Refusal> {
        self.check_leader()?;
        self.heartbeat(now);
        match &self.role {
            Role::Leader(leadership) => Ok(leadership.round),
            _ => Err(Refusal::NotLeader),
        }
    }

    /// Whether a majority of the voters has answered a round of this leader.
    pub fn is_confirmed(&self, round: u64) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let answered = |member: id::Member| {
            let progress = leadership.progress.get(&member);
            member == self.id || progress.is_some_and(|progress| progress.round >= round)
        };
        self.is_majority(answered)
    }

    /// When this member last heard from a leader.
    pub fn leader_heard_at(&self) -> Instant {
        self.heard
    }

    fn replicate_all(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let others: Vec<_> = leadership.progress.keys().copied().collect();
        for member in others {
            self.replicate(member, false);
        }
    }

    /// Takes a message from another member.
    pub fn receive(&mut self, envelope: Envelope, now: Instant) {
        if envelope.group != self.group || envelope.to != self.id {
            return;
        }
        let Some(body) = envelope.body else {
            return;
        };
        let from = envelope.from;
        if let Body::Ask(ask) = body {
            self.answer_ask(from, envelope.term, ask, now);
            return;
        }
        let probing = matches!(body, Body::Vote(vote) if vote.probe);
        if envelope.term > self.ballot.term && !probing {
            self.adopt_term(envelope.term, now);
        }
        if envelope.term < self.ballot.term {
            self.answer_stale(from, &body);
            return;
        }
        match body {
            Body::Append(append) => {
                self.hear(from, now);
                self.take_entries(from, append);
            }
            Body::Install(install) => {
                self.hear(from, now);
                self.take_part(from, install);
            }
            Body::Appended(appended) => self.take_appended(from, appended),
            Body::Installed(installed) => self.take_installed(from, installed),
            Body::Vote(vote) => self.take_vote(from, envelope.term, vote, now),
            Body::Campaign(_) if self.is_voter() => self.campaign(false, true, now),
            Body::Campaign(_) | Body::Ask(_) => {}
        }
    }

    fn take_entries(&mut self, from: id::Member, append: Append) {
        let Append {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        } = append;
        let matches = self.log.term(prev_index) == Some(prev_term);
        // What is committed here matches every leader's log.
        if !matches && prev_index >= self.commit {
            let index = self.conflict_hint(prev_index);
            let answer = Appended {
                ok: false,
                index,
                round,
            };
            self.send(from, Body::Appended(answer));
            return;
        }
        let last = prev_index + entries.len() as u64;
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        let answer = Appended {
            ok: true,
            index: last,
            round,
        };
        self.send(from, Body::Appended(answer));
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        let replaces = entry.index <= self.log.last_index();
        if replaces {
            self.unsynced.retain(|known| known.index < entry.index);
            self.synced = self.synced.min(entry.index - 1);
        }
        let states_members = entry.members.is_some();
        self.unsynced.push(entry.clone());
        self.log.push(entry);
        if replaces || states_members {
            (self.members, self.members_index) = self.log.members(u64::MAX);
        }
    }

    /// Where the leader should try next: before the whole term that does not match.
    fn conflict_hint(&self, prev_index: id::Index) -> id::Index {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let term = self.log.term(prev_index);
        let mut index = prev_index;
        while index > self.commit && self.log.term(index) == term {
            index -= 1;
        }
        index
    }

    fn note_contact(&mut self, from: id::Member, round: u64) -> Option<&mut Progress> {
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let began = leadership
            .rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, began)| *began);
        let progress = leadership.progress.get_mut(&from)?;
        progress.acked = progress.acked.max(began);
        progress.round = progress.round.max(round);
        Some(progress)
    }

    fn take_appended(&mut self, from: id::Member, appended: Appended) {
        let Some(progress) = self.note_contact(from, appended.round) else {
            return;
        };
        if appended.ok {
            progress.matched = progress.matched.max(appended.index);
            progress.next = progress.next.max(progress.matched + 1);
            self.advance_commit();
        } else if appended.index >= progress.matched {
            progress.next = appended.index + 1;
        }
        self.replicate(from, false);
    }

    fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let mut matched: Vec<id::Index> = self
            .voters()
            .map(|member| match leadership.progress.get(&member) {
                Some(progress) => progress.matched,
                None if member == self.id => self.synced,
                None => 0,
            })
            .collect();
        matched.sort_unstable();
        let Some(index) = matched.len().checked_sub(matched.len() / 2 + 1) else {
            return;
        };
        let index = matched[index];
        // Only an entry of the own term is committed by counting (section 5.4.2).
        if index > self.commit && self.log.term(index) == Some(self.ballot.term) {
            self.commit = index;
            let others: Vec<_> = leadership.progress.keys().copied().collect();
            for member in others {
                self.replicate(member, true);
            }
        }
    }

    /// Takes out what must be done now.
    pub fn ready(&mut self) -> Ready {
        let mut ready = Ready {
            snapshot: self.installed.take(),
            entries: mem::take(&mut self.unsynced),
            messages: mem::take(&mut self.outbox),
            ..Ready::default()
        };
        if self.ballot != self.stored_ballot {
            self.stored_ballot = self.ballot;
            ready.ballot = Some(self.ballot);
        }
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            ready.committed.push(entry.clone());
            self.applied += 1;
        }
        ready
    }

    /// Takes note that everything handed out by `ready` up to an index is synced.
    pub fn mark_synced(&mut self, index: id::Index, term: id::Term) {
        if self.log.term(index) == Some(term) {
            self.synced = self.synced.max(index);
        }
        self.advance_commit();
    }

    /// Takes a snapshot of the applied state and forgets most of the entries behind it.
    pub fn compact(&mut self, index: id::Index, data: Bytes) -> Option<Snapshot> {
        let term = self.log.term(index)?;
        let (members, _) = self.log.members(index);
        let snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.log.compact(snapshot.clone());
        if let Role::Leader(leadership) = &mut self.role {
            for progress in leadership.progress.values_mut() {
                if progress.installing.is_some() {
                    progress.installing = Some(0);
                }
            }
        }
        Some(snapshot)
    }
}
