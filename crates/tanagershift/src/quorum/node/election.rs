//! Elections: probing, voting, leading, and giving the leadership up.

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
    quorum::message::{Appended, Ask, Ballot, Body, Campaign, Vote},
};

impl Node {
    pub(super) fn delay_campaign(&mut self, now: Instant) {
        let extra = self.config.election_timeout.as_micros() as u64;
        let extra = Duration::from_micros(self.random.random_range(0..=extra));
        self.campaign_at = now + self.config.election_timeout + extra;
    }

    pub(super) fn campaign(&mut self, probe: bool, handover: bool, now: Instant) {
        self.leader = None;
        let term = self.ballot.term + 1;
        if !probe {
            self.ballot = Ballot {
                term,
                vote: self.id,
            };
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

    pub(super) fn count_votes(&mut self, now: Instant) {
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

    pub(super) fn lead(&mut self, now: Instant) {
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
    pub(super) fn follow(&mut self, leader: Option<id::Member>, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.delay_campaign(now);
        }
        self.leader = leader;
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

    pub(super) fn adopt_term(&mut self, term: id::Term, now: Instant) {
        self.ballot = Ballot { term, vote: 0 };
        self.follow(None, now);
    }

    /// Tells a deposed leader of the newer term.
    pub(super) fn answer_stale(&mut self, from: id::Member, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Install(_)) {
            let answer = Appended {
                ok: false,
                index: 0,
                round: 0,
            };
            self.send(from, Body::Appended(answer));
        }
    }

    pub(super) fn hear(&mut self, leader: id::Member, now: Instant) {
        self.follow(Some(leader), now);
        self.heard = now;
        self.delay_campaign(now);
    }

    pub(super) fn answer_ask(&mut self, from: id::Member, term: id::Term, ask: Ask, now: Instant) {
        let leads = self.holds_lease(now) || now < self.heard + self.config.election_timeout;
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

    pub(super) fn take_vote(&mut self, from: id::Member, term: id::Term, vote: Vote, now: Instant) {
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
}
