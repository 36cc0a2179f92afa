//! Decisions of one member of the group.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    log::Log,
    message::{
        Append, Appended, Ask, Ballot, Body, Campaign, Entry, Envelope, Install, Installed, Member,
        Members, Snapshot, Vote,
    },
};
use crate::id;

/// Most bytes of entries in one message.
const APPEND_LIMIT: usize = 1 << 20;
/// Most entries sent to a member ahead of its answers.
const WINDOW: u64 = 4096;
/// Bytes of a snapshot in one message.
const PART_LEN: usize = 1 << 20;
/// Entries that a member may lack when it is made a voter.
const PROMOTE_LAG: u64 = 16;
/// Election times of silence after which a voter with a twin on its host is taken for replaced.
const SILENT_ELECTIONS: u32 = 3;
/// Heartbeat rounds whose start is remembered.
const ROUNDS: usize = 64;

/// Times that all members share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Shortest silence before a member starts an election.
    pub election: Duration,
    /// Percent by which two hosts' clocks may run apart.
    pub drift_percent: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(1000),
            drift_percent: 10,
        }
    }
}

impl Config {
    /// Length of the leader's lease, counted from the start of a round.
    pub fn lease(&self) -> Duration {
        self.election * (100 - self.drift_percent) / 100
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
    /// Round of the newest answer, and when that round began.
    acked: Option<Instant>,
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
    pub fn commit(&self) -> id::Index {
        self.commit
    }

    /// The log in memory.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Until when this member, and no other, may serve as leader.
    ///
    /// `None` while it does not lead, or has not committed an entry of its own term.
    pub fn lease(&self) -> Option<Instant> {
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
        self.lease().is_some_and(|until| now < until)
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
            if now >= contact.max(leadership.began) + self.config.election * 2 {
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

    fn delay_campaign(&mut self, now: Instant) {
        let extra = self.config.election.as_micros() as u64;
        let extra = Duration::from_micros(self.random.random_range(0..=extra));
        self.campaign_at = now + self.config.election + extra;
    }

    fn campaign(&mut self, probe: bool, handover: bool, now: Instant) {
        self.leader = None;
        let mut term = self.ballot.term + 1;
        if !probe {
            self.ballot = Ballot {
                term,
                vote: self.id,
            };
            term = self.ballot.term;
        }
        let votes = BTreeSet::from([self.id]);
        self.role = Role::Candidate { probe, votes };
        let ask = Ask {
            probe,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handover,
        };
        let others: Vec<_> = self.voters().filter(|member| *member != self.id).collect();
        for member in others {
            self.send_in(member, term, Body::Ask(ask));
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Instant) {
        let Role::Candidate { probe, votes } = &self.role else {
            return;
        };
        if !self.is_majority(|member| votes.contains(&member)) {
            return;
        }
        if *probe {
            self.campaign(false, false, now);
        } else {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Instant) {
        let first = self.log.last_index() + 1;
        self.role = Role::Leader(Box::new(Leadership {
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: now,
            began: now,
            first,
        }));
        self.leader = Some(self.id);
        self.track_members();
        self.push(Bytes::new(), None);
        self.heartbeat(now);
    }

    /// Becomes a follower, of a leader or of nobody yet.
    fn follow(&mut self, leader: Option<id::Member>, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.delay_campaign(now);
        }
        self.leader = leader;
    }

    fn track_members(&mut self) {
        let next = self.log.last_index() + 1;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let known = &self.members.members;
        leadership
            .progress
            .retain(|id, _| known.iter().any(|member| member.id == *id));
        for member in known.iter().filter(|member| member.id != self.id) {
            leadership.progress.entry(member.id).or_insert(Progress {
                matched: 0,
                next,
                acked: None,
                installing: None,
            });
        }
    }

    fn heartbeat(&mut self, now: Instant) {
        let heartbeat = self.config.heartbeat;
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

    fn send_part(&mut self, member: id::Member, offset: usize, round: u64) {
        let snapshot = self.log.snapshot();
        let offset = offset.min(snapshot.data.len());
        let end = snapshot.data.len().min(offset + PART_LEN);
        let install = Install {
            part: Snapshot {
                data: snapshot.data.slice(offset..end),
                ..snapshot.clone()
            },
            offset: offset as u64,
            last: end == snapshot.data.len(),
            round,
        };
        self.send(member, Body::Install(install));
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

    fn replicate_all(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let others: Vec<_> = leadership.progress.keys().copied().collect();
        for member in others {
            self.replicate(member, false);
        }
    }

    /// Adds a member that follows first and votes once it has caught up.
    ///
    /// # Errors
    ///
    /// Not the leader, or another change is under way, or the member is known.
    pub fn add_member(&mut self, member: Member) -> Result<(id::Index, id::Term), Refusal> {
        if self
            .members
            .members
            .iter()
            .any(|known| known.id == member.id)
        {
            return Err(Refusal::Invalid("the member is known already"));
        }
        let mut members = self.members.clone();
        members.members.push(Member {
            voter: false,
            ..member
        });
        self.change_members(members)
    }

    /// Removes a member.
    ///
    /// # Errors
    ///
    /// Not the leader, another change is under way, or the member may not be removed.
    pub fn remove_member(&mut self, id: id::Member) -> Result<(id::Index, id::Term), Refusal> {
        if id == self.id {
            return Err(Refusal::Invalid("the leader cannot remove itself"));
        }
        if self.members.members.iter().all(|member| member.id != id) {
            return Err(Refusal::Invalid("the member is unknown"));
        }
        let mut members = self.members.clone();
        members.members.retain(|member| member.id != id);
        self.change_members(members)
    }

    fn change_members(&mut self, mut members: Members) -> Result<(id::Index, id::Term), Refusal> {
        self.check_leader()?;
        if self.members_index > self.commit {
            return Err(Refusal::Busy);
        }
        members.members.sort_by_key(|member| member.id);
        let index = self.push(Bytes::new(), Some(members.clone()));
        self.members = members;
        self.members_index = index;
        self.track_members();
        self.replicate_all();
        Ok((index, self.ballot.term))
    }

    /// Makes a member that has caught up a voter, and drops the identity that it replaces.
    fn promote(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let recent = now.checked_sub(self.config.election).unwrap_or(now);
        let caught_up = |member: &&Member| {
            let progress = leadership.progress.get(&member.id);
            !member.voter
                && progress.is_some_and(|progress| {
                    progress.matched + PROMOTE_LAG >= last
                        && progress.acked.is_some_and(|acked| acked >= recent)
                })
        };
        let mut members = self.members.clone();
        if let Some(ready) = self.members.members.iter().find(caught_up) {
            let id = ready.id;
            for member in &mut members.members {
                member.voter |= member.id == id;
            }
        } else if let Some(replaced) = self.replaced(now) {
            members.members.retain(|member| member.id != replaced);
        } else {
            return;
        }
        // Refused while another change is under way; the next heartbeat tries again.
        let _ = self.change_members(members);
    }

    /// A silent voter whose host has another voter: its data folder was lost and replaced.
    fn replaced(&self, now: Instant) -> Option<id::Member> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let voters = || self.members.members.iter().filter(|member| member.voter);
        let silence = self.config.election * SILENT_ELECTIONS;
        let is_silent = |member: id::Member| {
            let progress = leadership.progress.get(&member);
            let heard = progress.map(|progress| progress.acked.unwrap_or(leadership.began));
            heard.is_some_and(|heard| now.saturating_duration_since(heard) > silence)
        };
        let has_twin = |member: &&Member| {
            voters().any(|other| other.host == member.host && other.id != member.id)
        };
        let replaced = voters().find(|member| has_twin(member) && is_silent(member.id));
        replaced.map(|member| member.id)
    }

    /// Gives the leadership to the voter that lacks least, for a graceful shutdown.
    ///
    /// This member serves nothing more in this term, so its lease ends before the other's begins.
    pub fn hand_over(&mut self, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let best = self
            .voters()
            .filter_map(|member| Some((leadership.progress.get(&member)?.matched, member)))
            .max();
        let Some((_, member)) = best else {
            return false;
        };
        self.replicate(member, false);
        self.send(member, Body::Campaign(Campaign {}));
        self.follow(None, now);
        true
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

    fn adopt_term(&mut self, term: id::Term, now: Instant) {
        self.ballot = Ballot { term, vote: 0 };
        self.follow(None, now);
    }

    /// Tells a deposed leader of the newer term.
    fn answer_stale(&mut self, from: id::Member, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Install(_)) {
            let answer = Appended {
                ok: false,
                index: 0,
                round: 0,
            };
            self.send(from, Body::Appended(answer));
        }
    }

    fn hear(&mut self, leader: id::Member, now: Instant) {
        self.follow(Some(leader), now);
        self.heard = now;
        self.delay_campaign(now);
    }

    fn answer_ask(&mut self, from: id::Member, term: id::Term, ask: Ask, now: Instant) {
        let leads = self.holds_lease(now) || now < self.heard + self.config.election;
        if leads && !ask.handover {
            return;
        }
        if term < self.ballot.term {
            let vote = Vote {
                probe: ask.probe,
                granted: false,
            };
            self.send(from, Body::Vote(vote));
            return;
        }
        let ours = (self.log.last_term(), self.log.last_index());
        let current = (ask.last_term, ask.last_index) >= ours;
        if ask.probe {
            let granted = current && term > self.ballot.term;
            let answer = if granted { term } else { self.ballot.term };
            let vote = Vote {
                probe: true,
                granted,
            };
            self.send_in(from, answer, Body::Vote(vote));
            return;
        }
        if term > self.ballot.term {
            self.adopt_term(term, now);
        }
        let free = self.ballot.vote == 0 || self.ballot.vote == from;
        let granted = free && current && matches!(self.role, Role::Follower);
        if granted {
            self.ballot.vote = from;
            self.delay_campaign(now);
        }
        let vote = Vote {
            probe: false,
            granted,
        };
        self.send(from, Body::Vote(vote));
    }

    fn take_vote(&mut self, from: id::Member, term: id::Term, vote: Vote, now: Instant) {
        let asked = self.ballot.term + u64::from(vote.probe);
        let Role::Candidate { probe, votes } = &mut self.role else {
            return;
        };
        if vote.granted && *probe == vote.probe && term == asked {
            votes.insert(from);
            self.count_votes(now);
        } else if vote.probe && !vote.granted && term > self.ballot.term {
            self.adopt_term(term, now);
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

    fn take_part(&mut self, from: id::Member, install: Install) {
        let part = install.part;
        let index = part.index;
        let mut answer = Installed {
            index,
            offset: 0,
            complete: index <= self.commit,
            round: install.round,
        };
        if !answer.complete {
            let fresh = !matches!(&self.incoming, Some((known, _))
                if (known.index, known.term) == (index, part.term));
            if fresh {
                let head = Snapshot {
                    data: Bytes::new(),
                    ..part.clone()
                };
                self.incoming = Some((head, BytesMut::new()));
            }
            if let Some((_, data)) = &mut self.incoming {
                let expected = data.len() as u64 == install.offset;
                if expected {
                    data.extend_from_slice(&part.data);
                }
                answer.offset = data.len() as u64;
                answer.complete = expected && install.last;
            }
            if answer.complete {
                self.install();
            }
        }
        self.send(from, Body::Installed(answer));
    }

    fn install(&mut self) {
        let Some((mut snapshot, data)) = self.incoming.take() else {
            return;
        };
        snapshot.data = data.freeze();
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.unsynced.retain(|entry| entry.index > snapshot.index);
        self.log.install(snapshot.clone());
        if self.log.last_index() == snapshot.index {
            self.unsynced.clear();
        }
        self.synced = self.synced.clamp(snapshot.index, self.log.last_index());
        (self.members, self.members_index) = self.log.members(u64::MAX);
        self.installed = Some(snapshot);
    }

    fn take_installed(&mut self, from: id::Member, installed: Installed) {
        let current = self.log.snapshot().index;
        let Some(progress) = self.note_contact(from, installed.round) else {
            return;
        };
        let Some(offset) = progress.installing else {
            return;
        };
        if installed.complete {
            progress.installing = None;
            progress.matched = progress.matched.max(installed.index);
            progress.next = progress.matched + 1;
            self.advance_commit();
            self.replicate(from, false);
            return;
        }
        let received = usize::try_from(installed.offset).unwrap_or(0);
        if installed.index != current {
            // A newer snapshot replaced the one under way.
            progress.installing = Some(0);
        } else if received != offset {
            progress.installing = Some(received);
        } else {
            return;
        }
        let next = progress.installing.unwrap_or(0);
        if let Role::Leader(leadership) = &self.role {
            let round = leadership.round;
            self.send_part(from, next, round);
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
    pub fn synced(&mut self, index: id::Index, term: id::Term) {
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
