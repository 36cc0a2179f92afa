//! Elections: pre-votes, votes, and the transfer of leadership.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use rand::Rng;
use tokio::time::Instant;

use super::{Leadership, Node, Role};
use crate::{
    id,
    quorum::message::{AppendResponse, Ballot, Body, Campaign, VoteRequest, VoteResponse},
};

/// Why a member requests votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Election {
    /// To learn whether it would be elected. A pre-vote does not raise the term, so a member that was
    /// cut off cannot depose a leader that the others still hear.
    PreVote,
    /// A majority has granted it pre-votes.
    Vote,
    /// The previous leader transferred its leadership to it, so voters may vote although they heard
    /// from that leader recently.
    Handover,
    /// All voters have restarted. All of them must grant their votes, whoever led before included.
    ColdStart,
}

impl Node {
    /// Sets the next election to a random time between one and two election timeouts from now.
    ///
    /// The random part makes it unlikely that several members start at once and split the vote.
    pub(super) fn delay_campaign(&mut self, now: Instant) {
        let max_jitter = self.config.election_timeout.as_micros() as u64;
        let jitter = Duration::from_micros(self.random.random_range(0..=max_jitter));
        self.campaign_at = now + self.config.election_timeout + jitter;
    }

    /// Requests the votes of all other voters.
    pub(super) fn campaign(&mut self, election: Election, now: Instant) {
        let pre_vote = election == Election::PreVote;
        self.leader = None;
        self.order_age = match election {
            Election::PreVote | Election::Vote => self.config.order_age_at_election(),
            // An earlier leader may have sent orders until just now.
            Election::Handover | Election::ColdStart => Duration::ZERO,
        };
        let term = self.ballot.term + 1;
        if !pre_vote {
            self.ballot = Ballot {
                term,
                voted_for: self.id,
            };
        }
        let votes = BTreeSet::from([self.id]);
        self.role = Role::Candidate {
            pre_vote,
            unanimous: election == Election::ColdStart,
            votes,
        };
        let request = VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handover: election == Election::Handover,
            cold: election == Election::ColdStart,
        };
        let others: Vec<_> = self.voters().filter(|member| *member != self.id).collect();
        for member in others {
            self.send_with_term(member, term, Body::VoteRequest(request));
        }
        self.count_votes(now);
    }

    /// Proceeds from pre-votes to votes, or from votes to leadership, once enough are granted.
    pub(super) fn count_votes(&mut self, now: Instant) {
        let Role::Candidate {
            pre_vote,
            unanimous,
            votes,
        } = &self.role
        else {
            return;
        };
        let has_voted = |member| votes.contains(&member);
        let enough = match unanimous {
            true => self.voters().all(has_voted),
            false => self.is_majority(has_voted),
        };
        if !enough {
            return;
        }
        if *pre_vote {
            self.campaign(Election::Vote, now);
        } else {
            self.become_leader(now);
        }
    }

    /// Becomes the leader and appends an empty entry of the new term.
    ///
    /// Entries of earlier terms can only be committed along with an entry of the leader's own term.
    pub(super) fn become_leader(&mut self, now: Instant) {
        self.cold_start = None;
        let first_index = self.log.last_index() + 1;
        self.role = Role::Leader(Box::new(Leadership {
            progress: BTreeMap::new(),
            newest_round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: now,
            elected_at: now,
            first_index,
        }));
        self.leader = Some(self.id);
        self.track_members();
        self.append_entry(Bytes::new(), None);
        self.heartbeat(now);
    }

    /// Becomes a follower of a leader, or of none while the leader of the term is unknown.
    pub(super) fn become_follower(&mut self, leader: Option<id::Member>, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.delay_campaign(now);
        }
        self.leader = leader;
    }

    /// Starts the transfer of the leadership to the voter with the most complete log of those that suit.
    ///
    /// Used for a graceful shutdown, and where the leader's host can do only a part of its work. This member becomes a follower at once, so its lease ends
    /// before that of the next leader begins. Returns whether it was the leader and found another
    /// voter.
    pub fn transfer_leadership(
        &mut self,
        suits: impl Fn(id::Member) -> bool,
        now: Instant,
    ) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let best = self
            .voters()
            .filter(|member| suits(*member))
            .filter_map(|member| Some((leadership.progress.get(&member)?.match_index, member)))
            .max();
        let Some((_, member)) = best else {
            return false;
        };
        self.replicate(member, false);
        self.send(member, Body::Campaign(Campaign {}));
        self.become_follower(None, now);
        true
    }

    /// Moves to a newer term, in which this member has not voted yet.
    pub(super) fn adopt_term(&mut self, term: id::Term, now: Instant) {
        self.ballot = Ballot { term, voted_for: 0 };
        self.become_follower(None, now);
    }

    /// Answers a leader of an earlier term, which learns the newer term from the envelope.
    pub(super) fn reject_stale_sender(&mut self, from: id::Member, body: &Body) {
        if matches!(body, Body::AppendEntries(_) | Body::InstallSnapshot(_)) {
            let answer = AppendResponse {
                ok: false,
                index: 0,
                round: 0,
            };
            self.send(from, Body::AppendResponse(answer));
        }
    }

    /// Follows the leader of the term and restarts the election timeout.
    pub(super) fn record_leader_contact(&mut self, leader: id::Member, now: Instant) {
        self.become_follower(Some(leader), now);
        self.cold_start = None;
        self.leader_heard_at = now;
        self.delay_campaign(now);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: id::Member,
        term: id::Term,
        request: VoteRequest,
        now: Instant,
    ) {
        // The request is ignored while a leader may hold its lease, unless that leader transferred
        // its leadership, or no leader can be left.
        let lease_may_run =
            self.holds_lease(now) || now < self.leader_heard_at + self.config.election_timeout;
        let cold = request.cold && self.cold_start.is_some();
        if lease_may_run && !request.handover && !cold {
            return;
        }
        if term < self.ballot.term {
            let response = VoteResponse {
                pre_vote: request.pre_vote,
                granted: false,
                cold,
            };
            self.send(from, Body::VoteResponse(response));
            return;
        }
        let own_last = (self.log.last_term(), self.log.last_index());
        let is_up_to_date = (request.last_term, request.last_index) >= own_last;
        if request.pre_vote {
            let granted = is_up_to_date && term > self.ballot.term;
            let response_term = if granted { term } else { self.ballot.term };
            let response = VoteResponse {
                pre_vote: true,
                granted,
                cold,
            };
            self.send_with_term(from, response_term, Body::VoteResponse(response));
            return;
        }
        if term > self.ballot.term {
            self.adopt_term(term, now);
        }
        let may_vote = self.ballot.voted_for == 0 || self.ballot.voted_for == from;
        let granted = may_vote && is_up_to_date && matches!(self.role, Role::Follower);
        if granted {
            self.ballot.voted_for = from;
            self.cold_start = None;
            self.delay_campaign(now);
        }
        let response = VoteResponse {
            pre_vote: false,
            granted,
            cold: false,
        };
        self.send(from, Body::VoteResponse(response));
    }

    pub(super) fn handle_vote_response(
        &mut self,
        from: id::Member,
        term: id::Term,
        response: VoteResponse,
        now: Instant,
    ) {
        let requested_term = self.ballot.term + u64::from(response.pre_vote);
        if response.cold && response.pre_vote {
            let granted = response.granted && term == requested_term;
            self.record_cold_response(from, granted, now);
        }
        let Role::Candidate {
            pre_vote, votes, ..
        } = &mut self.role
        else {
            return;
        };
        if response.granted && *pre_vote == response.pre_vote && term == requested_term {
            votes.insert(from);
            self.count_votes(now);
        } else if response.pre_vote && !response.granted && term > self.ballot.term {
            self.adopt_term(term, now);
        }
    }
}
