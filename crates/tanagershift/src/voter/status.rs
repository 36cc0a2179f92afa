//! What a voter tells the rest of its process: whether it leads, and what the group has decided.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{sync::watch, time::Instant};

use super::command::Document;
use crate::{clock, id, quorum::message::Member};

/// What a voter knows of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterStatus {
    /// Number of the group; zero before the data folder belongs to one.
    pub group: u64,
    /// Identity of the data folder.
    pub member: id::Member,
    /// Term in which this voter leads and has applied all that earlier leaders committed.
    pub leading_term: Option<id::Term>,
    /// Every member of the group.
    pub members: Vec<Member>,
    /// Peer address of the leader; empty when none is known.
    pub leader: String,
    /// The accepted routing configuration.
    pub document: Option<Document>,
    /// Announced versions by adapter.
    pub announced: Arc<BTreeMap<String, u64>>,
}

impl VoterStatus {
    /// Whether this voter counts in a quorum, as far as it knows.
    pub fn votes(&self) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.id == self.member && member.voter)
    }
}

/// Times that change with every heartbeat, apart from what wakes a reader.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    lease: Option<Instant>,
    heard: Option<Instant>,
}

/// Where a voter publishes its standing, and the rest of the process reads it.
#[derive(Clone, Debug)]
pub struct SharedStatus {
    standing: watch::Sender<VoterStatus>,
    times: Arc<Mutex<Times>>,
}

impl Default for SharedStatus {
    fn default() -> Self {
        Self {
            standing: watch::Sender::new(VoterStatus::default()),
            times: Arc::default(),
        }
    }
}

impl SharedStatus {
    /// Publishes a standing if it changed.
    pub(super) fn publish(&self, standing: VoterStatus) {
        self.standing.send_if_modified(|known| {
            let changed = *known != standing;
            if changed {
                *known = standing;
            }
            changed
        });
    }

    /// Publishes until when this voter may act as the leader, and when it last heard from one.
    pub(super) fn set_times(&self, lease: Option<Instant>, heard: Instant) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.lease = lease;
        times.heard = Some(heard);
    }

    /// Changes of the standing.
    pub fn watch(&self) -> watch::Receiver<VoterStatus> {
        self.standing.subscribe()
    }

    /// The standing.
    pub fn current(&self) -> VoterStatus {
        self.standing.borrow().clone()
    }

    /// Whether this voter is the only one that may act as the leader now.
    pub fn holds_lease(&self) -> bool {
        let times = *self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.lease.is_some_and(|until| clock::now() < until)
    }

    /// When this voter last heard from a leader.
    pub fn heard(&self) -> Option<Instant> {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.heard
    }
}
