//! The state machine of one Raft member, without input or output.
//!
//! The caller passes in messages and the time, and carries out what `Node::ready` returns. This
//! file holds the state, heartbeats, log replication and the leader's lease.
//!
//! * `cold_start`: the first election after all voters have restarted.
//! * `election`: elections, vote requests and the transfer of leadership.
//! * `membership`: adding, promoting and removing members.
//! * `snapshot`: sending snapshots to members that lag behind the start of the log.

mod cold_start;
mod election;
mod membership;
mod snapshot;

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
    message::{
        AppendEntries, AppendResponse, Ballot, Body, Entry, Envelope, Member, Members, Snapshot,
    },
};
use crate::id;
use cold_start::ColdStart;
use election::Election;

/// Part of the election timeout for which a heartbeat round lets the leader send orders, in percent.
const ORDER_PERCENT: u32 = 45;
/// Limit on the command bytes of one message; a single larger entry is still sent.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// A member with at least this many unacknowledged entries is sent no more until it answers.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4096;
/// Number of heartbeat rounds whose start time is kept.
///
/// An answer to an older round does not extend the lease.
const MAX_TRACKED_ROUNDS: usize = 64;

/// Settings of the group, the same on all members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Interval between the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest time without contact from a leader after which a member starts an election.
    ///
    /// Each member waits up to twice as long, at random.
    pub election_timeout: Duration,
    /// Maximum difference between the rates of two hosts' clocks, in percent.
    pub drift_percent: u32,
    /// Number of voters that the group must keep; zero sets no minimum.
    ///
    /// A voter process accepts no commands while the group has fewer. A silent voter is removed if
    /// another voter on its host replaces it, or while at least this many voters respond. With
    /// zero, a silent member that is not replaced is never removed.
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
    /// Duration of the leader's lease, counted from the start of a heartbeat round.
    ///
    /// It is shorter than the election timeout by the allowed clock drift, so that it ends on the
    /// leader's clock before any other member may vote.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout * (100 - self.drift_percent) / 100
    }

    /// Time from the start of a heartbeat round for which the leader may send orders to replicas. It
    /// is shorter than the lease, so that the next leader need not wait as long before its own.
    pub fn order_duration(&self) -> Duration {
        self.election_timeout * ORDER_PERCENT / 100
    }

    /// Time that has passed since the last order of an earlier leader when a member is elected, at
    /// the least.
    ///
    /// A voter grants its vote a whole election timeout after it answered that leader, on a clock
    /// that may be fast; the leader stopped earlier, on a clock that may be slow.
    pub fn order_age_at_election(&self) -> Duration {
        let slowest = self.order_duration() * (100 + self.drift_percent) / 100;
        self.lease_duration().saturating_sub(slowest)
    }
}

/// Why a proposal is refused. A refused proposal is certain not to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This member is not the leader.
    NotLeader,
    /// The leader has not committed an entry of its own term yet.
    NotReady,
    /// The previous membership change is not committed yet.
    Busy,
    /// The membership change names an existing member, an unknown one, or the leader itself.
    Invalid(&'static str),
}

/// What the caller must carry out for a member, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Snapshot received from the leader, to be stored and loaded as the applied state.
    pub snapshot: Option<Snapshot>,
    /// Ballot to be stored; `None` if it did not change.
    pub ballot: Option<Ballot>,
    /// Entries to be stored; the first may replace a stored entry and all entries after it.
    pub entries: Vec<Entry>,
    /// Messages to be sent once all of the above is synced to disk.
    pub messages: Vec<Envelope>,
    /// Committed entries to be applied, in order.
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

    /// Whether something must be stored and synced before the messages may be sent.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.ballot.is_some() || !self.entries.is_empty()
    }
}

/// Replication state that the leader keeps for another member.
#[derive(Clone, Debug)]
struct Progress {
    /// Last entry that is known to be in the member's log and synced.
    match_index: id::Index,
    /// Next entry to be sent.
    next_index: id::Index,
    /// When this leader began to replicate to the member.
    tracked_since: Instant,
    /// Start time of the newest round that the member answered.
    acked_round_start: Option<Instant>,
    /// Newest round that the member answered.
    acked_round: u64,
    /// Offset of the snapshot chunk sent last; `None` while no snapshot is being sent.
    snapshot_offset: Option<usize>,
}

/// State that a member keeps only while it is the leader.
#[derive(Clone, Debug)]
struct Leadership {
    /// Replication state of every other member.
    progress: BTreeMap<id::Member, Progress>,
    /// Number of the newest heartbeat round.
    newest_round: u64,
    /// Numbers and start times of the newest rounds.
    rounds: VecDeque<(u64, Instant)>,
    next_heartbeat: Instant,
    elected_at: Instant,
    /// Index of the first entry of this term.
    first_index: id::Index,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Requests votes, or first pre-votes, which do not raise the term.
    Candidate {
        pre_vote: bool,
        /// Whether the votes of all voters are needed.
        unanimous: bool,
        votes: BTreeSet<id::Member>,
    },
    Leader(Box<Leadership>),
}

/// The Raft state machine of one member of the group.
#[derive(Clone, Debug)]
pub struct Node {
    id: id::Member,
    group: u64,
    config: Config,
    random: SmallRng,
    ballot: Ballot,
    /// Ballot last returned by `ready`, to tell whether it must be stored again.
    stored_ballot: Ballot,
    log: Log,
    /// Newest membership in the log, in force even before its entry is committed.
    members: Members,
    /// Index of the entry that holds the newest membership.
    members_index: id::Index,
    role: Role,
    leader: Option<id::Member>,
    leader_heard_at: Instant,
    /// What this member knows of a cold start; `None` once it takes no part in one any more.
    cold_start: Option<ColdStart>,
    /// Least age of an earlier leader's last order if this member wins the election that it has
    /// started.
    order_age: Duration,
    /// When this member starts an election unless it hears from a leader before.
    campaign_at: Instant,
    commit_index: id::Index,
    applied_index: id::Index,
    synced_index: id::Index,
    /// Entries that `ready` has not returned for storage yet.
    unsynced: Vec<Entry>,
    /// Snapshot that is being received, and its data so far.
    incoming_snapshot: Option<(Snapshot, BytesMut)>,
    /// Received snapshot that `ready` has not returned for storage yet.
    installed_snapshot: Option<Snapshot>,
    outbox: Vec<Envelope>,
}

impl Node {
    /// Restores a member from its stored ballot and log.
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
            // A vote cast before a crash may have elected a leader whose lease still runs, so a
            // restarted member grants no vote for a whole election timeout.
            leader_heard_at: now,
            cold_start: None,
            order_age: Duration::ZERO,
            campaign_at: now,
            commit_index: log.snapshot().index,
            applied_index: log.snapshot().index,
            synced_index: log.last_index(),
            unsynced: Vec::new(),
            incoming_snapshot: None,
            installed_snapshot: None,
            outbox: Vec::new(),
            config,
            log,
        };
        node.delay_campaign(now);
        node
    }

    /// Identity of this member, which belongs to its data folder.
    pub fn id(&self) -> id::Member {
        self.id
    }

    /// Number of the group; messages of other groups are dropped.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Highest term that this member has adopted.
    pub fn term(&self) -> id::Term {
        self.ballot.term
    }

    /// Current ballot, which may not be stored yet.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Leader of the current term; `None` if it is unknown or not in the membership.
    pub fn leader(&self) -> Option<&Member> {
        let leader = self.leader?;
        self.members
            .members
            .iter()
            .find(|member| member.id == leader)
    }

    /// Whether this member is the leader of its term; its lease may have expired nevertheless.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Newest membership in the log, which may not be committed yet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> id::Index {
        self.commit_index
    }

    /// The part of the log that is kept in memory.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Time until which this member, and no other, may serve as the leader.
    ///
    /// `None` while it is not the leader, or has not committed an entry of its own term.
    pub fn lease_until(&self) -> Option<Instant> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if self.commit_index < leadership.first_index {
            return None;
        }
        let until = self.quorum_contact(leadership)? + self.config.lease_duration();
        Some(until)
    }

    /// Time that had passed since the last order of an earlier leader when this one was elected, at
    /// the least.
    pub fn order_age(&self) -> Duration {
        self.order_age
    }

    /// Time until which this member may send orders to replicas as the leader; `None` while it may
    /// not serve as the leader.
    pub fn orders_until(&self) -> Option<Instant> {
        let shorter = self.config.lease_duration() - self.config.order_duration();
        let until = self.lease_until()?;
        // A lease that began less than this after the clock's zero has no earlier end.
        until.checked_sub(shorter)
    }

    /// Whether this member is the leader and its lease runs at the given time.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Start time of the newest round that a majority of the voters has answered.
    ///
    /// This member counts as having answered if it is a voter.
    fn quorum_contact(&self, leadership: &Leadership) -> Option<Instant> {
        let mut contacts: Vec<Instant> = Vec::new();
        let mut voters = 0;
        let mut self_votes = false;
        for member in self.voters() {
            voters += 1;
            if member == self.id {
                self_votes = true;
                continue;
            }
            let progress = leadership.progress.get(&member);
            contacts.extend(progress.and_then(|progress| progress.acked_round_start));
        }
        let needed = (voters / 2 + 1) - usize::from(self_votes);
        if needed == 0 {
            return leadership.rounds.back().map(|(_, started_at)| *started_at);
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

    /// Whether the predicate holds for a majority of the voters.
    fn is_majority(&self, predicate: impl Fn(id::Member) -> bool) -> bool {
        let all = self.voters().count();
        self.voters().filter(|member| predicate(*member)).count() > all / 2
    }

    /// Time at which `tick` must be called next.
    pub fn next_tick(&self) -> Instant {
        match &self.role {
            Role::Leader(leadership) => leadership.next_heartbeat,
            _ => self.next_cold_start_step().min(self.campaign_at),
        }
    }

    /// Runs what is due: heartbeats and membership changes of the leader, elections of the others.
    pub fn tick(&mut self, now: Instant) {
        if let Role::Leader(leadership) = &self.role {
            let contact = self
                .quorum_contact(leadership)
                .unwrap_or(leadership.elected_at);
            // A leader that reaches no majority for two election timeouts steps down.
            if now >= contact.max(leadership.elected_at) + self.config.election_timeout * 2 {
                self.become_follower(None, now);
                return;
            }
            if now >= leadership.next_heartbeat {
                self.heartbeat(now);
                self.adjust_membership(now);
            }
            return;
        }
        if now >= self.campaign_at {
            self.delay_campaign(now);
            if self.is_voter() {
                self.campaign(Election::PreVote, now);
            }
        }
        self.step_cold_start(now);
    }

    /// Starts a heartbeat round.
    fn heartbeat(&mut self, now: Instant) {
        let interval = self.config.heartbeat_interval;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.next_heartbeat = now + interval;
        leadership.newest_round += 1;
        leadership.rounds.push_back((leadership.newest_round, now));
        if leadership.rounds.len() > MAX_TRACKED_ROUNDS {
            leadership.rounds.pop_front();
        }
        let others: Vec<_> = leadership.progress.keys().copied().collect();
        for member in others {
            self.replicate(member, true);
        }
    }

    /// Sends a member the entries, or the snapshot chunk, that it needs next.
    ///
    /// With `always`, it sends the current chunk again, or a message without entries if there is
    /// nothing else.
    fn replicate(&mut self, member: id::Member, always: bool) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.newest_round;
        let Some(progress) = leadership.progress.get_mut(&member) else {
            return;
        };
        let prev_index = progress.next_index - 1;
        let prev_term = self.log.term(prev_index);
        let (Some(prev_term), None) = (prev_term, progress.snapshot_offset) else {
            if progress.snapshot_offset.is_none() || always {
                let offset = *progress.snapshot_offset.get_or_insert(0);
                self.send_snapshot_chunk(member, offset, round);
            }
            return;
        };
        let mut entries = Vec::new();
        if progress.next_index <= progress.match_index + MAX_IN_FLIGHT_ENTRIES {
            entries = self.log.slice(progress.next_index, MAX_APPEND_BYTES);
        }
        if entries.is_empty() && !always {
            return;
        }
        progress.next_index += entries.len() as u64;
        let append = AppendEntries {
            prev_index,
            prev_term,
            entries,
            leader_commit: self.commit_index,
            round,
        };
        self.send(member, Body::AppendEntries(append));
    }

    fn send(&mut self, to: id::Member, body: Body) {
        self.send_with_term(to, self.ballot.term, body);
    }

    fn send_with_term(&mut self, to: id::Member, term: id::Term, body: Body) {
        self.outbox.push(Envelope {
            group: self.group,
            from: self.id,
            to,
            term,
            body: Some(body),
            address: String::new(),
        });
    }

    /// Appends an entry of the current term to the leader's own log.
    fn append_entry(&mut self, data: Bytes, members: Option<Members>) -> id::Index {
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

    /// Appends a command to the log and returns its index and term.
    ///
    /// It is committed once `Ready::committed` holds it under the same index and term.
    ///
    /// # Errors
    ///
    /// This member is not the leader, or has not committed an entry of its own term yet.
    pub fn propose(&mut self, data: Bytes) -> Result<(id::Index, id::Term), Refusal> {
        self.check_leader()?;
        let index = self.append_entry(data, None);
        self.replicate_all();
        Ok((index, self.ballot.term))
    }

    /// Checks that this member may accept proposals.
    fn check_leader(&self) -> Result<(), Refusal> {
        let Role::Leader(leadership) = &self.role else {
            return Err(Refusal::NotLeader);
        };
        if self.commit_index < leadership.first_index {
            return Err(Refusal::NotReady);
        }
        Ok(())
    }

    /// Starts a heartbeat round for a linearizable read and returns its number.
    ///
    /// Once `is_confirmed` holds for the round, this member was still the leader when the round
    /// started, so no other leader had committed anything newer by then.
    ///
    /// # Errors
    ///
    /// This member is not the leader, or has not committed an entry of its own term yet.
    pub fn begin_confirmation(&mut self, now: Instant) -> Result<u64, Refusal> {
        self.check_leader()?;
        self.heartbeat(now);
        match &self.role {
            Role::Leader(leadership) => Ok(leadership.newest_round),
            _ => Err(Refusal::NotLeader),
        }
    }

    /// Whether a majority of the voters has answered a heartbeat round of this leader.
    pub fn is_confirmed(&self, round: u64) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let answered = |member: id::Member| {
            let progress = leadership.progress.get(&member);
            member == self.id || progress.is_some_and(|progress| progress.acked_round >= round)
        };
        self.is_majority(answered)
    }

    /// When this member last heard from a leader; its start time if it never has.
    pub fn leader_heard_at(&self) -> Instant {
        self.leader_heard_at
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

    /// Handles a message from another member.
    ///
    /// A message for another group or another identity is dropped.
    pub fn receive(&mut self, envelope: Envelope, now: Instant) {
        if envelope.group != self.group || envelope.to != self.id {
            return;
        }
        let Some(body) = envelope.body else {
            return;
        };
        let from = envelope.from;
        if let Body::VoteRequest(request) = body {
            self.handle_vote_request(from, envelope.term, request, now);
            return;
        }
        // A granted pre-vote carries the proposed term, which the candidate has not adopted yet.
        let is_pre_vote = matches!(body, Body::VoteResponse(response) if response.pre_vote);
        if envelope.term > self.ballot.term && !is_pre_vote {
            self.adopt_term(envelope.term, now);
        }
        if envelope.term < self.ballot.term {
            self.reject_stale_sender(from, &body);
            return;
        }
        match body {
            Body::AppendEntries(append) => {
                self.record_leader_contact(from, now);
                self.handle_append(from, append);
            }
            Body::InstallSnapshot(install) => {
                self.record_leader_contact(from, now);
                self.handle_install(from, install);
            }
            Body::AppendResponse(response) => self.handle_append_response(from, response),
            Body::InstallResponse(response) => self.handle_install_response(from, response),
            Body::VoteResponse(response) => {
                self.handle_vote_response(from, envelope.term, response, now)
            }
            Body::Campaign(_) if self.is_voter() => self.campaign(Election::Handover, now),
            Body::Campaign(_) | Body::VoteRequest(_) => {}
        }
    }

    fn handle_append(&mut self, from: id::Member, append: AppendEntries) {
        let AppendEntries {
            prev_index,
            prev_term,
            entries,
            leader_commit,
            round,
        } = append;
        let matches = self.log.term(prev_index) == Some(prev_term);
        // Committed entries match the log of every leader, so a previous entry before the commit
        // index is accepted even if its term is no longer known.
        if !matches && prev_index >= self.commit_index {
            let index = self.conflict_hint(prev_index);
            let answer = AppendResponse {
                ok: false,
                index,
                round,
            };
            self.send(from, Body::AppendResponse(answer));
            return;
        }
        let last = prev_index + entries.len() as u64;
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit_index = self.commit_index.max(leader_commit.min(last));
        let answer = AppendResponse {
            ok: true,
            index: last,
            round,
        };
        self.send(from, Body::AppendResponse(answer));
    }

    /// Adds an entry from the leader; a conflicting entry and all after it are replaced.
    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit_index || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        let replaces = entry.index <= self.log.last_index();
        if replaces {
            self.unsynced.retain(|known| known.index < entry.index);
            self.synced_index = self.synced_index.min(entry.index - 1);
        }
        let changes_members = entry.members.is_some();
        self.unsynced.push(entry.clone());
        self.log.push(entry);
        if replaces || changes_members {
            (self.members, self.members_index) = self.log.members(u64::MAX);
        }
    }

    /// `prev_index` that the leader should try next, after one at which the logs do not match.
    ///
    /// It is the last index if the log is shorter, or else the index before the uncommitted entries
    /// of the term that does not match. Skipping a whole term takes fewer round trips than one
    /// entry at a time.
    fn conflict_hint(&self, prev_index: id::Index) -> id::Index {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let term = self.log.term(prev_index);
        let mut index = prev_index;
        while index > self.commit_index && self.log.term(index) == term {
            index -= 1;
        }
        index
    }

    /// Records that a member answered a heartbeat round of this leader; returns its progress.
    ///
    /// `None` if this member is not the leader, or the other is not in the membership.
    fn record_member_contact(&mut self, from: id::Member, round: u64) -> Option<&mut Progress> {
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let started_at = leadership
            .rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, started_at)| *started_at);
        let progress = leadership.progress.get_mut(&from)?;
        progress.acked_round_start = progress.acked_round_start.max(started_at);
        progress.acked_round = progress.acked_round.max(round);
        Some(progress)
    }

    fn handle_append_response(&mut self, from: id::Member, response: AppendResponse) {
        let Some(progress) = self.record_member_contact(from, response.round) else {
            return;
        };
        if response.ok {
            progress.match_index = progress.match_index.max(response.index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            self.advance_commit();
        } else if response.index >= progress.match_index {
            progress.next_index = response.index + 1;
        }
        self.replicate(from, false);
    }

    /// Commits the entries that a majority of the voters has synced.
    fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let mut match_indexes: Vec<id::Index> = self
            .voters()
            .map(|member| match leadership.progress.get(&member) {
                Some(progress) => progress.match_index,
                None if member == self.id => self.synced_index,
                None => 0,
            })
            .collect();
        match_indexes.sort_unstable();
        let Some(position) = match_indexes.len().checked_sub(match_indexes.len() / 2 + 1) else {
            return;
        };
        let index = match_indexes[position];
        // Only an entry of the current term is committed by counting replicas: a later leader may
        // still replace one of an earlier term (section 5.4.2 of the Raft paper).
        if index > self.commit_index && self.log.term(index) == Some(self.ballot.term) {
            self.commit_index = index;
            let others: Vec<_> = leadership.progress.keys().copied().collect();
            for member in others {
                self.replicate(member, true);
            }
        }
    }

    /// Returns what the caller must carry out now, and clears it.
    pub fn ready(&mut self) -> Ready {
        let mut ready = Ready {
            snapshot: self.installed_snapshot.take(),
            entries: mem::take(&mut self.unsynced),
            messages: mem::take(&mut self.outbox),
            ..Ready::default()
        };
        if self.ballot != self.stored_ballot {
            self.stored_ballot = self.ballot;
            ready.ballot = Some(self.ballot);
        }
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else {
                break;
            };
            ready.committed.push(entry.clone());
            self.applied_index += 1;
        }
        ready
    }

    /// Records that the entries returned by `ready` are synced up to an index.
    ///
    /// It has no effect if the entry with that term has been replaced since.
    pub fn mark_synced(&mut self, index: id::Index, term: id::Term) {
        if self.log.term(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
        }
        self.advance_commit();
    }

    /// Sets the snapshot of the applied state and drops most of the entries that it covers.
    ///
    /// `data` is the state after the entry at `index`. Returns `None` if that entry is not known.
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
        // The members that were receiving the previous snapshot start over with this one.
        if let Role::Leader(leadership) = &mut self.role {
            for progress in leadership.progress.values_mut() {
                if progress.snapshot_offset.is_some() {
                    progress.snapshot_offset = Some(0);
                }
            }
        }
        Some(snapshot)
    }
}
