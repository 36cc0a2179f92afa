//! The gateways that the leader knows.

use tokio::{sync::mpsc, time::Instant};

use crate::{
    gateway::message::{Counts, Helper, Notice, ReachReport},
    id,
};

/// A gateway that is subscribed to notices.
#[derive(Debug)]
pub(super) struct Watcher {
    pub(super) host: id::Host,
    /// Whether the gateway must still be sent all residencies.
    pub(super) needs_snapshot: bool,
    /// Hosts through which the gateway was told that it can reach upstreams.
    pub(super) helpers: Vec<Helper>,
    pub(super) queue: mpsc::Sender<Notice>,
}

/// State that a gateway last reported.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) session: u64,
    pub(super) open: Counts,
    /// Those of them that this leader has not assigned; `None` if the gateway does not tell.
    pub(super) unassigned: Option<Counts>,
    pub(super) updated_at: Instant,
    /// Peer address; empty until the gateway subscribes.
    pub(super) address: String,
    /// Availability zone.
    pub(super) zone: id::Zone,
    /// Whether the gateway can help others.
    pub(super) reach: ReachReport,
}
