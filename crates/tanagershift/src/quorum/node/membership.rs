//! Membership changes, one member at a time.

use bytes::Bytes;
use tokio::time::Instant;

use super::{Node, Progress, Refusal, Role};
use crate::{
    id,
    quorum::message::{Member, Members},
};

/// Number of entries that a member's log may lag behind the leader's when it becomes a voter.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 16;
/// Number of election timeouts without an answer after which a member counts as silent.
const SILENCE_ELECTION_TIMEOUTS: u32 = 3;

impl Node {
    /// Adds replication state for new members and drops that of removed ones.
    pub(super) fn track_members(&mut self) {
        let next_index = self.log.last_index() + 1;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let known = &self.members.members;
        let newest_round_start = leadership.rounds.back().map(|(_, started_at)| *started_at);
        let tracked_since = newest_round_start.unwrap_or(leadership.elected_at);
        leadership
            .progress
            .retain(|id, _| known.iter().any(|member| member.id == *id));
        for member in known.iter().filter(|member| member.id != self.id) {
            leadership.progress.entry(member.id).or_insert(Progress {
                match_index: 0,
                next_index,
                tracked_since,
                acked_round_start: None,
                acked_round: 0,
                snapshot_offset: None,
            });
        }
    }

    /// Adds a member without a vote; the leader makes it a voter once it has caught up.
    ///
    /// # Errors
    ///
    /// This member cannot accept proposals, another change is not committed yet, or the member is
    /// part of the group already.
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

    /// Removes a member other than the leader.
    ///
    /// # Errors
    ///
    /// This member cannot accept proposals, another change is not committed yet, or the member is
    /// unknown or the leader itself.
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

    /// Appends a new membership to the log; it is in force at once.
    ///
    /// It must differ from the previous one by a single member, so that their majorities overlap.
    pub(super) fn change_members(
        &mut self,
        mut members: Members,
    ) -> Result<(id::Index, id::Term), Refusal> {
        self.check_leader()?;
        if self.members_index > self.commit_index {
            return Err(Refusal::Busy);
        }
        members.members.sort_by_key(|member| member.id);
        let index = self.append_entry(Bytes::new(), Some(members.clone()));
        self.members = members;
        self.members_index = index;
        self.track_members();
        self.replicate_all();
        Ok((index, self.ballot.term))
    }

    /// Makes one membership change if one is due.
    ///
    /// A member that has caught up becomes a voter; otherwise a replaced or surplus member is
    /// removed.
    pub(super) fn adjust_membership(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let min_round_start = now.checked_sub(self.config.election_timeout).unwrap_or(now);
        let caught_up = |member: &&Member| {
            let progress = leadership.progress.get(&member.id);
            !member.voter
                && progress.is_some_and(|progress| {
                    progress.match_index + MAX_PROMOTION_LAG_ENTRIES >= last
                        && progress
                            .acked_round_start
                            .is_some_and(|started_at| started_at >= min_round_start)
                })
        };
        let mut members = self.members.clone();
        if let Some(promoted) = self.members.members.iter().find(caught_up) {
            let id = promoted.id;
            for member in &mut members.members {
                member.voter |= member.id == id;
            }
        } else if let Some(removed) = self
            .replaced_voter(now)
            .or_else(|| self.surplus_member(now))
        {
            members.members.retain(|member| member.id != removed);
        } else {
            return;
        }
        // Changes are refused until the previous one is committed; the next heartbeat tries again.
        let _ = self.change_members(members);
    }

    /// A silent voter whose host has another voter, because its data folder was lost and replaced.
    pub(super) fn replaced_voter(&self, now: Instant) -> Option<id::Member> {
        let voters = || self.members.members.iter().filter(|member| member.voter);
        let shares_host = |member: &&Member| {
            voters().any(|other| other.host == member.host && other.id != member.id)
        };
        let replaced =
            voters().find(|member| shares_host(member) && self.is_silent(member.id, now));
        replaced.map(|member| member.id)
    }

    /// A silent member that the group does not need: one that does not vote, or a voter while at
    /// least `min_voters` voters respond. `None` if `min_voters` is zero.
    fn surplus_member(&self, now: Instant) -> Option<id::Member> {
        if self.config.min_voters == 0 {
            return None;
        }
        let silent = |member: &&Member| self.is_silent(member.id, now);
        let responsive = self.voters().filter(|id| !self.is_silent(*id, now)).count();
        let members = self.members.members.iter();
        let mut dispensable =
            members.filter(|member| !member.voter || responsive >= self.config.min_voters);
        dispensable.find(silent).map(|member| member.id)
    }

    /// Whether another member has not answered this leader for `SILENCE_ELECTION_TIMEOUTS`.
    fn is_silent(&self, member: id::Member, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let silence = self.config.election_timeout * SILENCE_ELECTION_TIMEOUTS;
        let progress = leadership.progress.get(&member);
        let last_contact =
            progress.map(|progress| progress.acked_round_start.unwrap_or(progress.tracked_since));
        last_contact.is_some_and(|contact| now.saturating_duration_since(contact) > silence)
    }
}
