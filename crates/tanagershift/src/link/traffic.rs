//! Counts the bytes that this process sends to other hosts, by message type.

use std::sync::LazyLock;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};

use crate::wire::{Body, Frame};

/// Labels of the bytes of one message type.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Labels {
    message: &'static str,
}

/// Bytes by message type. Clones share their values.
pub type Bytes = Family<Labels, Counter>;

static SENT: LazyLock<Bytes> = LazyLock::new(Bytes::default);

/// Bytes of all frames that this process has encoded for other hosts.
pub fn sent() -> Bytes {
    SENT.clone()
}

/// Message type of a frame.
pub(super) fn kind(frame: &Frame) -> &'static str {
    match &frame.body {
        Some(Body::Quorum(_)) => "quorum",
        Some(Body::Notice(_)) => "notice",
        Some(Body::Tally(_)) => "tally",
        Some(Body::Watch(_)) => "watch",
        Some(Body::Ask(_)) => "ask",
        Some(Body::Grant(_)) => "grant",
        Some(Body::Propose(_) | Body::Outcome(_)) => "command",
        Some(Body::Heartbeat(_) | Body::Lease(_)) => "lease",
        Some(Body::Follow(_) | Body::Update(_)) => "update",
        Some(Body::Serve(_) | Body::Head(_) | Body::Chunk(_) | Body::End(_) | Body::Failed(_)) => {
            "request"
        }
        _ => "other",
    }
}

pub(super) fn count_sent(message: &'static str, bytes: usize) {
    SENT.get_or_create(&Labels { message }).inc_by(bytes as u64);
}
