//! Messages between a gateway and the leader of the group.
//!
//! Replicas are named by their position in the newest list that the leader has sent; a message that
//! refers to another list is dropped.

use prost::Message;

use super::patch::Patch;
pub use crate::voter::command::{Announcement, Document};

/// Asks the leader for everything that a gateway must know, as it changes.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Watch {
    /// Host that asks.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Number drawn when its process started.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Version of the configuration in force there; zero for none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Peer address of the host.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// What changed since the last notice; parts that are absent stay as they were.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Notice {
    /// Term of the leader that sends it.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Newest accepted configuration.
    #[prost(message, optional, tag = "2")]
    pub document: Option<Document>,
    /// Newly announced versions of adapters; with `is_snapshot`, all of them.
    #[prost(message, repeated, tag = "3")]
    pub announced: Vec<Announcement>,
    /// The list of upstreams.
    #[prost(message, optional, tag = "4")]
    pub list: Option<List>,
    /// Adapters on replicas.
    #[prost(message, repeated, tag = "5")]
    pub residencies: Vec<Residency>,
    /// Open requests of all gateways by replica.
    #[prost(message, optional, tag = "6")]
    pub open: Option<Counts>,
    /// Peer addresses of the voters; empty when unchanged.
    #[prost(string, repeated, tag = "7")]
    pub voters: Vec<String>,
    /// Hosts that the leader has heard from lately, each with a gateway.
    #[prost(uint32, tag = "8")]
    pub hosts: u32,
    /// Whether this is the first notice, which replaces all that was known of places.
    #[prost(bool, tag = "9")]
    pub is_snapshot: bool,
    /// Milliseconds between two tallies that the leader wants.
    #[prost(uint32, tag = "10")]
    pub interval_ms: u32,
    /// What makes the newest accepted configuration of one that the gateway has.
    #[prost(message, optional, tag = "11")]
    pub patch: Option<Patch>,
}

/// The platform's list of upstreams as the leader read it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct List {
    /// Number of the list; grows with each change.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its entries.
    #[prost(message, repeated, tag = "2")]
    pub upstreams: Vec<Upstream>,
}

/// One upstream.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Upstream {
    /// Name of this incarnation, never used for another.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Identity that the upstream gives itself; it may keep it over a restart.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Service that it belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address as IP number and port.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Base models that it holds, as the list says.
    #[prost(message, repeated, tag = "8")]
    pub models: Vec<Model>,
    /// Wall clock in milliseconds since 1970 at which this incarnation started; zero if unknown.
    #[prost(uint64, tag = "9")]
    pub started_at_ms: u64,
}

/// A base model on a replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Model {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Adapters of it that are loaded.
    #[prost(message, repeated, tag = "2")]
    pub adapters: Vec<Announcement>,
    /// Version of the base weights.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// An adapter on a replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Residency {
    /// Replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Adapter, as MODEL/NAME.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Version loaded; zero when requests must not be sent there any more.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A number for each replica of a list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Counts {
    /// Number of the list.
    #[prost(uint64, tag = "1")]
    pub list: u64,
    /// Numbers in the order of the list.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// What a gateway has seen since its last tally.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Tally {
    /// Host that tells.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Number drawn when its process started.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Requests that it has open at each replica.
    #[prost(message, optional, tag = "3")]
    pub open: Option<Counts>,
    /// Adapters that were asked for.
    #[prost(message, repeated, tag = "4")]
    pub demand: Vec<Demand>,
    /// Places that a replica says it does not have.
    #[prost(message, repeated, tag = "5")]
    pub missing: Vec<Residency>,
    /// Streams that have ended.
    #[prost(message, repeated, tag = "6")]
    pub streams: Vec<Streams>,
}

/// Streams of one service that have ended.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Streams {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// How many came to their end.
    #[prost(uint32, tag = "2")]
    pub ended: u32,
    /// How many of them paused for longer than their objective.
    #[prost(uint32, tag = "3")]
    pub paused: u32,
}

/// Requests for one adapter.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Demand {
    /// Adapter, as MODEL/NAME.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Requests since the last tally.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Requests that wait because no replica has it.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
}

/// Asks the leader for a replica; the stream stays open until the request has ended.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Ask {
    /// Id of the request, for the log.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Base model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Adapter as MODEL/NAME; empty for the base model.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// Availability zone of the gateway.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Prompt tokens.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Most output tokens.
    #[prost(uint32, tag = "7")]
    pub max_output_tokens: u32,
    /// Digests of the prompt's parts, each with all before it.
    #[prost(fixed64, repeated, tag = "8")]
    pub prefix_digests: Vec<u64>,
    /// Tokens of each part.
    #[prost(uint32, repeated, tag = "9")]
    pub part_tokens: Vec<u32>,
    /// Rank; zero is the most urgent.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Milliseconds until the first event is due.
    #[prost(int64, tag = "11")]
    pub objective_ms: i64,
    /// Milliseconds after which the request is refused if it still waits.
    #[prost(uint64, tag = "12")]
    pub give_up_ms: u64,
    /// Replicas that it was sent to already.
    #[prost(string, repeated, tag = "13")]
    pub tried: Vec<String>,
}

/// Answer to a request for a replica.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Grant {
    /// Replica; empty when the request is refused.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Version of the adapter there; zero for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds after which a refused request may come back.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Why it is refused.
    #[prost(string, tag = "4")]
    pub reason: String,
}
