//! Rules on requests that may crash replicas, spreads the marks to all gateways and replicates them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{LeaderState, ReplicaRequest};
use crate::{
    gateway::{
        Gateway,
        message::{Ask, Grant, Key, Mark, Notice, Tally},
        quarantine::{self, Ruling},
    },
    link::Responder,
    voter::command::{Command, Order, Quarantine},
    wire::Body,
};

/// Minimum time between two proposals of marks.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the answer to a proposal, including the search for the leader.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

impl LeaderState {
    /// Records what a gateway has seen of prompt parts and requests.
    pub(super) fn record_evidence(&mut self, tally: &Tally, now: Instant) {
        for accusation in &tally.accusations {
            self.ledger.accuse(accusation, now);
        }
        for sound in &tally.sound {
            self.ledger.clear(sound, now);
        }
    }

    /// Applies replicated marks: a mark that is gone, but that this leader has not removed itself, was
    /// lifted by an operator.
    pub(super) fn apply_replicated_marks(&mut self, marks: &Arc<BTreeMap<Key, Mark>>) {
        if self.replicated_marks == *marks {
            return;
        }
        self.marks_differ = true;
        let before = std::mem::replace(&mut self.replicated_marks, marks.clone());
        for key in before.keys().filter(|key| !marks.contains_key(key)) {
            if !self.removed_marks.remove(key) {
                self.ledger.lift(*key);
            }
        }
    }

    /// Rules on a suspected request that its gateway selects an upstream for.
    pub(super) fn rule_on_unassigned(&mut self, ask: &Ask, responder: Responder, now: Instant) {
        let keys = ask.keys();
        let ruling = self.ledger.ruling(&keys, now);
        log::info!(
            "event=quarantine.rule request={} ruling={ruling:?}",
            ask.request
        );
        let refusal = |reason: &str, after: Duration| Grant {
            retry_after_ms: after.as_millis() as u64,
            reason: reason.to_owned(),
            ..Grant::default()
        };
        let leave = Grant {
            is_trial: true,
            is_unassigned: true,
            ..Grant::default()
        };
        match ruling {
            Ruling::Free => responder.finish_now(Body::Grant(leave)),
            Ruling::Trial => {
                let number = self.next_number;
                self.next_number += 1;
                if responder.send_now(Body::Grant(leave)).is_err() {
                    return;
                }
                self.ledger.begin_trial(&keys, number, "");
                let request = ReplicaRequest {
                    id: ask.request.clone(),
                    responder,
                    received_at: now,
                    payment: None,
                };
                self.requests.insert(number, request);
            }
            Ruling::Wait => {
                let after = self.ledger.wait(&keys, now);
                let grant = refusal(quarantine::SUSPECTED_REASON, after);
                responder.finish_now(Body::Grant(grant));
            }
            Ruling::Barred => {
                let after = quarantine::CONVICTED_RETRY_AFTER;
                let grant = refusal(quarantine::CONVICTED_REASON, after);
                responder.finish_now(Body::Grant(grant));
            }
        }
    }

    /// Sends changed marks to all gateways at once, and proposes those that are not replicated.
    pub(super) fn spread_marks(&mut self, gateway: &Arc<Gateway>, now: Instant) {
        let changes = self.ledger.take_changes();
        if !changes.is_empty() {
            self.marks_differ = true;
            self.broadcast(&Notice {
                marks: changes,
                ..Notice::default()
            });
        }
        // One proposal at a time, so that an older one is not applied after a newer one.
        let proposal = self.marks_proposal.as_ref();
        let is_pending = proposal.is_some_and(|proposal| !proposal.is_finished());
        if !self.marks_differ || now < self.next_marks_proposal || is_pending {
            return;
        }
        self.next_marks_proposal = now + PROPOSAL_INTERVAL;
        let marks = self.ledger.unreplicated(&self.replicated_marks);
        if marks.is_empty() {
            self.marks_differ = false;
            return;
        }
        let removed = marks.iter().filter(|mark| mark.crashes == 0);
        self.removed_marks = removed.map(Mark::key).collect();
        let command = Command::of(Order::Quarantine(Quarantine { marks }));
        let leader = gateway.leader.clone();
        self.marks_proposal = Some(tokio::spawn(async move {
            let proposal = Body::Propose(command);
            // Marks that are still not replicated are proposed again.
            let _ = leader
                .ask(proposal, PROPOSAL_TIMEOUT, PROPOSAL_TIMEOUT)
                .await;
        }));
    }
}
