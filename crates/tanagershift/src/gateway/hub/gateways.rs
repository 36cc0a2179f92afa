//! The gateways that the leader knows.

use bytes::Bytes;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    gateway::{
        fleet::receiver::Receiver,
        message::{Helper, ReachReport, SparseCounts},
    },
    id,
};

/// A gateway that is subscribed to notices.
#[derive(Debug)]
pub(super) struct Watcher {
    pub(super) host: id::Host,
    /// What the gateway has been sent.
    pub(super) receiver: Receiver,
    /// Whether the gateway is gone, or must subscribe again.
    pub(super) is_lost: bool,
    /// Hosts through which the gateway was told that it can reach upstreams.
    pub(super) helpers: Vec<Helper>,
    pub(super) queue: mpsc::Sender<Bytes>,
}

/// State that a gateway last reported.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) session: u64,
    pub(super) open: SparseCounts,
    /// Those of them that this leader has not assigned; `None` if the gateway does not tell.
    pub(super) unassigned: Option<SparseCounts>,
    pub(super) updated_at: Instant,
    /// Peer address; empty until the gateway subscribes.
    pub(super) address: String,
    /// Availability zone.
    pub(super) zone: id::Zone,
    /// Whether the gateway can help others.
    pub(super) reach: ReachReport,
}
