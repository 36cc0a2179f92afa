//! Changes of membership, one member at a time.

use bytes::Bytes;
use tokio::time::Instant;

use super::{Node, Progress, Refusal, Role};
use crate::{
    id,
    quorum::message::{Member, Members},
};

/// Entries that a member may lack when it is made a voter.
const PROMOTE_LAG: u64 = 16;
/// Election times without an answer after which a member counts as silent.
const SILENT_ELECTIONS: u32 = 3;

impl Node {
    pub(super) fn track_members(&mut self) {
        let next = self.log.last_index() + 1;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let known = &self.members.members;
        let newest_round = leadership.rounds.back().map(|(_, began)| *began);
        let tracked = newest_round.unwrap_or(leadership.began);
        leadership
            .progress
            .retain(|id, _| known.iter().any(|member| member.id == *id));
        for member in known.iter().filter(|member| member.id != self.id) {
            leadership.progress.entry(member.id).or_insert(Progress {
                matched: 0,
                next,
                tracked,
                acked: None,
                round: 0,
                installing: None,
            });
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

    pub(super) fn change_members(
        &mut self,
        mut members: Members,
    ) -> Result<(id::Index, id::Term), Refusal> {
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
    pub(super) fn promote(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let recent = now.checked_sub(self.config.election_timeout).unwrap_or(now);
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
        } else if let Some(gone) = self.replaced(now).or_else(|| self.surplus(now)) {
            members.members.retain(|member| member.id != gone);
        } else {
            return;
        }
        // Refused while another change is under way; the next heartbeat tries again.
        let _ = self.change_members(members);
    }

    /// A silent voter whose host has another voter: its data folder was lost and replaced.
    pub(super) fn replaced(&self, now: Instant) -> Option<id::Member> {
        let voters = || self.members.members.iter().filter(|member| member.voter);
        let has_twin = |member: &&Member| {
            voters().any(|other| other.host == member.host && other.id != member.id)
        };
        let replaced = voters().find(|member| has_twin(member) && self.is_silent(member.id, now));
        replaced.map(|member| member.id)
    }

    /// A silent member that the group can do without: one that does not vote, or a voter beside
    /// enough others that answer.
    fn surplus(&self, now: Instant) -> Option<id::Member> {
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

    /// Whether a member has not answered for several election times.
    fn is_silent(&self, member: id::Member, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let silence = self.config.election_timeout * SILENT_ELECTIONS;
        let progress = leadership.progress.get(&member);
        let heard = progress.map(|progress| progress.acked.unwrap_or(progress.tracked));
        heard.is_some_and(|heard| now.saturating_duration_since(heard) > silence)
    }
}
