//! What gateways and the leader tell each other of brittle upstreams.

use prost::Message;

/// Whether an upstream says that it is brittle.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct BrittleReport {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Requests that it can reject within a second before it falls over; absent if it is not brittle.
    #[prost(uint32, optional, tag = "3")]
    pub allowance: Option<u32>,
    /// Milliseconds since the answer that said so.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Requests that an upstream has rejected for want of room.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Rejections {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}
