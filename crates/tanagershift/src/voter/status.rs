//! Status of a voter that the rest of its process reads: membership, leadership, the accepted
//! routing configuration and the announced versions.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::Instant};

use super::{
    command::{Document, Key, Mark},
    software::Streams,
};
use crate::{clock, id, quorum::message::Member};

/// Membership, leadership, accepted routing configuration and announced versions of the group, as
/// far as the voter knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterStatus {
    /// Id of the group; zero while the data folder belongs to none.
    pub group: u64,
    /// Identity of the data folder; zero while it cannot be used.
    pub member: id::Member,
    /// Term in which this voter leads and has applied every entry that earlier leaders committed;
    /// `None` while it does not.
    pub leading_term: Option<id::Term>,
    /// All members of the group, voters or not.
    pub members: Vec<Member>,
    /// Peer address of the leader; empty when none is known.
    pub leader: String,
    /// The accepted routing configuration; `None` before the first.
    pub document: Option<Document>,
    /// Highest announced version of each adapter.
    pub announced: Arc<BTreeMap<String, u64>>,
    /// Prompt parts that are suspected or convicted of crashing replicas.
    pub marks: Arc<BTreeMap<Key, Mark>>,
    /// Software versions of streams when this voter began to lead; empty while it does not.
    pub streams: Arc<Streams>,
    /// Host that sends the orders to replicas; empty before the first.
    pub holder: id::Host,
    /// Host that sent them before this voter led; `None` while it does not lead.
    pub previous_holder: Option<id::Host>,
    /// Time that had passed since the last order of an earlier leader when this one was elected, at
    /// the least.
    pub order_age: Duration,
}

impl VoterStatus {
    /// Whether this member is a voter, as far as it knows.
    pub fn is_voter(&self) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.id == self.member && member.voter)
    }
}

/// Times that change with every heartbeat, kept apart so that they do not wake subscribers.
#[derive(Clone, Copy, Debug, Default)]
struct LeadershipTimes {
    /// End of the leader's lease; `None` if this voter cannot act as the leader.
    lease_until: Option<Instant>,
    /// Time until which this voter may send orders to replicas.
    orders_until: Option<Instant>,
    /// When this voter last heard from a leader; the start of its run if it never has.
    last_heard: Option<Instant>,
}

/// Status that a voter publishes to the rest of its process.
#[derive(Clone, Debug)]
pub struct SharedStatus {
    status: watch::Sender<VoterStatus>,
    times: Arc<Mutex<LeadershipTimes>>,
}

impl Default for SharedStatus {
    fn default() -> Self {
        Self {
            status: watch::Sender::new(VoterStatus::default()),
            times: Arc::default(),
        }
    }
}

impl SharedStatus {
    /// Publishes a status if it differs from the last one.
    pub(super) fn publish(&self, status: VoterStatus) {
        self.status.send_if_modified(|known| {
            let changed = *known != status;
            if changed {
                *known = status;
            }
            changed
        });
    }

    /// Sets the end of this voter's lease as the leader, the time until which it may send orders, and
    /// when it last heard from a leader.
    pub(super) fn set_leadership_times(
        &self,
        lease_until: Option<Instant>,
        orders_until: Option<Instant>,
        last_heard: Instant,
    ) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.lease_until = lease_until;
        times.orders_until = orders_until;
        times.last_heard = Some(last_heard);
    }

    /// Subscribes to changes of the status.
    pub fn watch(&self) -> watch::Receiver<VoterStatus> {
        self.status.subscribe()
    }

    /// The last published status.
    pub fn current(&self) -> VoterStatus {
        self.status.borrow().clone()
    }

    /// Whether this voter holds the leader's lease, so that no other may act as the leader now.
    pub fn holds_lease(&self) -> bool {
        let times = *self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.lease_until.is_some_and(|until| clock::now() < until)
    }

    /// Whether this voter may send orders to replicas now.
    pub fn may_order(&self) -> bool {
        let times = *self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.orders_until.is_some_and(|until| clock::now() < until)
    }

    /// When this voter last heard from a leader; `None` until it first runs in a group.
    pub fn last_heard(&self) -> Option<Instant> {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.last_heard
    }
}
