//! Spreads the marks of prompt parts that crash replicas to all gateways, and replicates them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::LeaderState;
use crate::{
    gateway::{
        Gateway,
        message::{Mark, Notice, Tally},
    },
    id,
    voter::command::{Command, Order, Quarantine},
    wire::Body,
};

/// Minimum time between two proposals of marks.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the answer to a proposal, including the search for the leader.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

impl LeaderState {
    /// Records what a gateway has seen of prompt parts.
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
    pub(super) fn apply_replicated_marks(&mut self, marks: &Arc<BTreeMap<id::PromptPart, Mark>>) {
        if self.replicated_marks == *marks {
            return;
        }
        self.marks_differ = true;
        let before = std::mem::replace(&mut self.replicated_marks, marks.clone());
        for part in before.keys().filter(|part| !marks.contains_key(part)) {
            if !self.removed_marks.remove(part) {
                self.ledger.lift(*part);
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
        self.removed_marks = removed.map(|mark| mark.part).collect();
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
