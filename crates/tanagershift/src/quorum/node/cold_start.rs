//! Cold start: the first election after all voters have restarted.
//!
//! A restarted voter grants no vote for an election timeout, since a leader may hold a lease that the
//! voter has extended before. If every voter has restarted, that leader has restarted too, so nobody
//! holds a lease and the group need not wait. Each voter asks all others whether they have restarted
//! and heard from no leader since. Once all have said so, it requests their votes. It needs those of
//! all voters: whoever led before has then given up its lease by its own vote.

use std::{collections::BTreeSet, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{Node, election::Election};
use crate::{
    id,
    quorum::message::{Body, VoteRequest},
};

/// Interval at which the voters that have not answered are asked again.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time for which a voter leaves the election to a preferred one.
const MIN_DEFERENCE: Duration = Duration::from_millis(150);
/// Random part of that time, so that the others do not start at once.
const DEFERENCE_JITTER: Duration = Duration::from_millis(100);

/// What a member knows of a cold start.
#[derive(Clone, Debug)]
pub(super) struct ColdStart {
    /// Whether this member should become the leader, if it can.
    preferred: bool,
    /// Other voters that take part.
    cold: BTreeSet<id::Member>,
    /// Those of them that grant a pre-vote.
    granted: BTreeSet<id::Member>,
    next_step: Instant,
    /// When this member requests votes, once all others take part.
    campaign_at: Option<Instant>,
}

impl Node {
    /// Takes part in a cold start. Must be called only right after the start of the process: its
    /// earlier runs may have led, but this one has not.
    ///
    /// `preferred` gives this member a lead over the others.
    pub fn begin_cold_start(&mut self, preferred: bool, now: Instant) {
        self.cold_start = Some(ColdStart {
            preferred,
            cold: BTreeSet::new(),
            granted: BTreeSet::new(),
            next_step: now,
            campaign_at: None,
        });
    }

    /// When the next step of the cold start is due; a time far ahead if none is.
    pub(super) fn next_cold_start_step(&self) -> Instant {
        let far = self.campaign_at + self.config.election_timeout;
        let cold_start = self.cold_start.as_ref();
        cold_start.map_or(far, |cold_start| cold_start.next_step)
    }

    /// Asks the other voters again, or requests their votes, if that is due.
    pub(super) fn step_cold_start(&mut self, now: Instant) {
        let is_voter = self.is_voter();
        let Some(cold_start) = &mut self.cold_start else {
            return;
        };
        if now < cold_start.next_step {
            return;
        }
        cold_start.next_step = now + PROBE_INTERVAL;
        if !is_voter {
            return;
        }
        let campaign_at = cold_start.campaign_at;
        if campaign_at.is_some_and(|at| now >= at) {
            self.campaign_cold(now);
            return;
        }
        if let Some(at) = campaign_at {
            cold_start.next_step = cold_start.next_step.min(at);
        }
        let request = VoteRequest {
            pre_vote: true,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handover: false,
            cold: true,
        };
        let term = self.ballot.term + 1;
        let others: Vec<_> = self.voters().filter(|member| *member != self.id).collect();
        if others.is_empty() {
            self.campaign_cold(now);
            return;
        }
        for member in others {
            self.send_with_term(member, term, Body::VoteRequest(request));
        }
    }

    /// Records that another voter takes part; `granted` says whether it would vote for this one.
    pub(super) fn record_cold_response(&mut self, from: id::Member, granted: bool, now: Instant) {
        let others: BTreeSet<id::Member> =
            self.voters().filter(|member| *member != self.id).collect();
        let voters = others.len() + 1;
        let jitter = DEFERENCE_JITTER.as_micros() as u64;
        let jitter = Duration::from_micros(self.random.random_range(0..=jitter));
        let Some(cold_start) = &mut self.cold_start else {
            return;
        };
        cold_start.cold.insert(from);
        if granted {
            cold_start.granted.insert(from);
        } else {
            cold_start.granted.remove(&from);
        }
        let all_cold = others.is_subset(&cold_start.cold);
        let votes = 1 + others.intersection(&cold_start.granted).count();
        if !all_cold || votes <= voters / 2 {
            return;
        }
        let deference = match cold_start.preferred {
            true => Duration::ZERO,
            false => MIN_DEFERENCE + jitter,
        };
        let campaign_at = *cold_start.campaign_at.get_or_insert(now + deference);
        cold_start.next_step = cold_start.next_step.min(campaign_at);
        if now >= campaign_at {
            self.campaign_cold(now);
        }
    }

    /// Requests votes. This member votes for itself, so it grants none in the cold start any more.
    fn campaign_cold(&mut self, now: Instant) {
        self.cold_start = None;
        self.delay_campaign(now);
        self.campaign(Election::ColdStart, now);
    }
}
