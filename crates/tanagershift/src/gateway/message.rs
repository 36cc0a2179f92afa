//! Messages between a gateway and the leader of the group.
//!
//! Per-replica counts are indexed by position in the newest upstream list that the leader has sent.
//! Counts for a list with another number are ignored.

use bytes::Bytes;
use prost::Message;

pub use super::concurrency::message::{BrittleReport, Rejections};
pub use super::detour_message::{Helper, ReachReport, Tunnel, TunnelOutcome};
pub use super::fleet::message::{ListChanges, SparseCounts};
use super::patch::Patch;
pub use super::placement::message::StoreReport;
pub use super::quota::Gift;
pub use crate::voter::{
    command::{Announcement, Document, Key, Mark},
    software::Baseline,
};

/// Subscribes a gateway to the leader's state. The leader answers with a stream of [`Notice`]s.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Watch {
    /// Host that subscribes.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Random number drawn when the host's process started; tells a restarted process from its
    /// predecessor.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Version of the configuration in force on the host; zero for none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Peer address of the host.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone of the host.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// What the last leader has told the host about the weight store.
    #[prost(message, optional, tag = "23")]
    pub store: Option<StoreReport>,
    /// What the last leader has told the host about the rates of prompts.
    #[prost(message, repeated, tag = "24")]
    pub rates: Vec<RateReport>,
    /// Whether the host applies changes to lists and counts; hosts of older versions do not say so.
    #[prost(bool, tag = "6")]
    pub takes_changes: bool,
    /// Number of the upstream list that the host has; zero for none.
    #[prost(uint64, tag = "7")]
    pub list: u64,
    /// Digest of that list.
    #[prost(fixed64, tag = "8")]
    pub list_digest: u64,
}

/// Changes since the previous notice. Absent fields are unchanged.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Notice {
    /// Term of the leader that sends the notice.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Newest accepted configuration, with its whole text.
    #[prost(message, optional, tag = "2")]
    pub document: Option<Document>,
    /// Adapter versions announced since the previous notice; the first notice of a watch carries
    /// all of them.
    #[prost(message, repeated, tag = "3")]
    pub announced: Vec<Announcement>,
    /// New upstream list.
    #[prost(message, optional, tag = "4")]
    pub list: Option<List>,
    /// Adapters that were loaded on or unloaded from replicas.
    #[prost(message, repeated, tag = "5")]
    pub residencies: Vec<Residency>,
    /// Open requests of all gateways at each replica.
    #[prost(message, optional, tag = "6")]
    pub open: Option<Counts>,
    /// Peer addresses of the voters; empty when unchanged.
    #[prost(string, repeated, tag = "7")]
    pub voters: Vec<String>,
    /// Number of gateway hosts that the leader has heard from recently; zero if not given.
    #[prost(uint32, tag = "8")]
    pub hosts: u32,
    /// Whether `residencies` is complete, so that the receiver discards the ones it knew before.
    #[prost(bool, tag = "9")]
    pub is_snapshot: bool,
    /// Time in milliseconds that the leader wants between two tallies; zero if not given.
    #[prost(uint32, tag = "10")]
    pub interval_ms: u32,
    /// Patch from a configuration that the gateway has to the newest accepted one.
    #[prost(message, optional, tag = "11")]
    pub patch: Option<Patch>,
    /// Upstreams that have announced that they leave; the first notice of a watch carries all of
    /// them that are listed.
    #[prost(string, repeated, tag = "12")]
    pub leaving: Vec<String>,
    /// Prompt parts and requests that are suspected or convicted of crashing replicas, or no longer; the first
    /// notice of a watch carries all that are.
    #[prost(message, repeated, tag = "13")]
    pub marks: Vec<Mark>,
    /// Limits that upstreams have named, changed or ended; the first notice of a watch carries all
    /// that are in force.
    #[prost(message, repeated, tag = "14")]
    pub limits: Vec<LimitReport>,
    /// Permits for the receiving gateway.
    #[prost(message, repeated, tag = "15")]
    pub permits: Vec<Permit>,
    /// Software version of each service at which a gateway without a leader may begin streams; empty
    /// when unchanged.
    #[prost(message, repeated, tag = "16")]
    pub baselines: Vec<Baseline>,
    /// Hosts through which the receiving gateway can connect to upstreams that it does not reach; empty
    /// when unchanged.
    #[prost(message, repeated, tag = "17")]
    pub helpers: Vec<Helper>,
    /// Upstreams that say that they are brittle, or no more; the first notice of a watch carries all that
    /// are.
    #[prost(message, repeated, tag = "18")]
    pub brittle: Vec<BrittleReport>,
    /// Paces of upstreams that gateways select themselves, where they have changed.
    #[prost(message, repeated, tag = "21")]
    pub paces: Vec<PaceReport>,
    /// What the leader has found out about the weight store; absent if unknown.
    #[prost(message, optional, tag = "23")]
    pub store: Option<StoreReport>,
    /// Rates of prompts that the leader has adapted; empty when unchanged.
    #[prost(message, repeated, tag = "24")]
    pub rates: Vec<RateReport>,
    /// More fields, as a compressed notice.
    #[prost(bytes = "bytes", tag = "25")]
    pub packed: Bytes,
    /// Changes to the upstream list that the receiver has.
    #[prost(message, optional, tag = "26")]
    pub list_changes: Option<ListChanges>,
    /// Open requests of all gateways at replicas where they have changed.
    #[prost(message, optional, tag = "27")]
    pub open_changes: Option<SparseCounts>,
    /// Number of the leader's newest upstream list; zero for none, and from leaders of older versions.
    #[prost(uint64, tag = "28")]
    pub list_number: u64,
    /// Whether the notice carries the whole state but lists, residencies and configuration, as the first
    /// notice of a watch does. The leader takes sparse tallies then.
    #[prost(bool, tag = "29")]
    pub is_whole: bool,
    /// Part of every account's quota that the receiving gateway may use without a leader; zero when
    /// unchanged.
    #[prost(double, tag = "19")]
    pub quota_part: f64,
}

/// The platform's list of upstreams.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct List {
    /// Number of the list; grows with every change.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Upstreams, sorted by name.
    #[prost(message, repeated, tag = "2")]
    pub upstreams: Vec<Upstream>,
}

/// An entry of the upstream list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Upstream {
    /// Unique name of one run of the upstream; a restarted upstream gets a new name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Identity that the upstream reports; may be the same after a restart.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Service that the upstream belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address as IP number and port.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Number of requests that it runs concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether the upstream is about to leave and takes no new requests.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Base models on the upstream, according to the list.
    #[prost(message, repeated, tag = "8")]
    pub models: Vec<Model>,
    /// Start time in milliseconds since the Unix epoch; zero if unknown.
    #[prost(uint64, tag = "9")]
    pub started_at_ms: u64,
    /// Version of its software; empty if the list states none.
    #[prost(string, tag = "10")]
    pub software: String,
}

/// A base model on a replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Model {
    /// Name of the base model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Adapters of the model that are loaded, with their versions.
    #[prost(message, repeated, tag = "2")]
    pub adapters: Vec<Announcement>,
    /// Version of the base weights.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// An adapter version that is loaded on a replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Residency {
    /// Name of the replica in the upstream list.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Adapter, as MODEL/NAME.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Loaded version; zero if requests for the adapter must no longer be sent to the replica.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// One number for each upstream of a list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Counts {
    /// Number of the upstream list that `counts` refers to.
    #[prost(uint64, tag = "1")]
    pub list: u64,
    /// Numbers in the order of that list.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// Periodic report of a gateway to the leader.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Tally {
    /// Host of the gateway.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Random number drawn when the host's process started.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Requests that the gateway has open at each replica.
    #[prost(message, optional, tag = "3")]
    pub open: Option<Counts>,
    /// Requests by adapter since the previous tally.
    #[prost(message, repeated, tag = "4")]
    pub demand: Vec<Demand>,
    /// Adapters that the leader believes to be loaded on a replica, but that the replica has
    /// reported as not loaded.
    #[prost(message, repeated, tag = "5")]
    pub missing: Vec<Residency>,
    /// Streams that were relayed to their end since the previous tally.
    #[prost(message, repeated, tag = "6")]
    pub streams: Vec<Streams>,
    /// Upstreams that have announced to this gateway that they leave, as long as the leader has not
    /// told it the same.
    #[prost(string, repeated, tag = "7")]
    pub leaving: Vec<String>,
    /// Upstreams that have asked this gateway for a pause which has not ended.
    #[prost(message, repeated, tag = "8")]
    pub pauses: Vec<Pause>,
    /// Replicas that crashed when they had just begun to answer a request of this gateway.
    #[prost(message, repeated, tag = "9")]
    pub accusations: Vec<Accusation>,
    /// Marked prompt parts and requests that had a sound answer.
    #[prost(message, repeated, tag = "10")]
    pub sound: Vec<SoundKey>,
    /// Limits that answers to this gateway have named, changed or ended.
    #[prost(message, repeated, tag = "11")]
    pub limits: Vec<LimitReport>,
    /// Requests for services that have an upstream with a limit, since the previous tally.
    #[prost(message, repeated, tag = "12")]
    pub limited_demand: Vec<ServiceDemand>,
    /// Upstreams that accepted no connection since the previous tally.
    #[prost(string, repeated, tag = "13")]
    pub unreachable: Vec<String>,
    /// Whether the gateway can help others; absent when the tally does not say.
    #[prost(message, optional, tag = "14")]
    pub reach: Option<ReachReport>,
    /// What answers to this gateway said first or last of brittle upstreams.
    #[prost(message, repeated, tag = "15")]
    pub brittle: Vec<BrittleReport>,
    /// Requests that upstreams of brittle services have rejected for want of room, since the previous
    /// tally.
    #[prost(message, repeated, tag = "16")]
    pub rejections: Vec<Rejections>,
    /// Those of the requests in `open` that the receiving leader has not assigned; absent if an older
    /// host reports.
    #[prost(message, optional, tag = "17")]
    pub unassigned: Option<Counts>,
    /// Paces that upstreams have stated to this gateway, where they have changed.
    #[prost(message, repeated, tag = "20")]
    pub paces: Vec<PaceReport>,
    /// `open` without its zeros, in its place.
    #[prost(message, optional, tag = "24")]
    pub open_sparse: Option<SparseCounts>,
    /// `unassigned` without its zeros, in its place.
    #[prost(message, optional, tag = "25")]
    pub unassigned_sparse: Option<SparseCounts>,
    /// Time that the gateway gives to the leader for accounts' quotas; absent if no account has one.
    #[prost(message, optional, tag = "18")]
    pub gift: Option<Gift>,
}

/// Rate at which prompts are admitted to each replica of a service.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RateReport {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens a millisecond.
    #[prost(double, tag = "2")]
    pub tokens_per_ms: f64,
}

/// How long work takes at an upstream, as it has stated.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct PaceReport {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Percentage of the usual time.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
    /// Milliseconds since the answer that stated it.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// How many requests an upstream takes from all hosts together.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LimitReport {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests a second; absent once the upstream no longer names a limit.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// Milliseconds since the answer that named or ended it.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Lets a gateway send one request to an upstream with a limit.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Permit {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
}

/// Request count of one service.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ServiceDemand {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests since the previous tally.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// A replica crashed when it had just begun to answer a request.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Accusation {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Name of the replica.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Service of the replica.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Milliseconds since the crash, at the time of the message.
    #[prost(uint64, tag = "4")]
    pub silent_ms: u64,
    /// Parts of the prompt that other requests may share.
    #[prost(fixed64, repeated, tag = "5")]
    pub parts: Vec<u64>,
    /// Digest of the request; absent if an older host reports it.
    #[prost(fixed64, optional, tag = "6")]
    pub digest: Option<u64>,
}

impl Accusation {
    /// Everything about the request that may have crashed the replica.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        keys(&self.parts, self.digest)
    }
}

/// Keys of a request with these shareable parts.
fn keys(parts: &[u64], digest: Option<u64>) -> impl Iterator<Item = Key> {
    let parts = parts.iter().copied().map(Key::Part);
    parts.chain(digest.map(Key::Request))
}

/// Splits keys into shareable parts and the digest.
pub fn split_keys(keys: &[Key]) -> (Vec<u64>, Option<u64>) {
    let (requests, parts): (Vec<Key>, Vec<Key>) = keys.iter().partition(|key| key.is_request());
    let parts = parts.into_iter().map(Key::value).collect();
    (parts, requests.first().map(|key| key.value()))
}

/// A prompt part or a request that had a sound answer.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct SoundKey {
    /// Id of the part, or digest of the request.
    #[prost(fixed64, tag = "1")]
    pub value: u64,
    /// Service whose replica answered.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Milliseconds since the answer began.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Whether `value` is the digest of a request.
    #[prost(bool, tag = "4")]
    pub is_request: bool,
}

impl SoundKey {
    /// What had the sound answer.
    pub fn key(&self) -> Key {
        Key::new(self.value, self.is_request)
    }
}

/// A pause that an upstream has asked one gateway for.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Pause {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Milliseconds until the pause ends.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
}

/// Counts of the streams of one service that were relayed to their end. Broken streams and those
/// that the caller left are not counted.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Streams {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of streams.
    #[prost(uint32, tag = "2")]
    pub ended: u32,
    /// Number of these streams with a gap between two events above the objective of their route.
    #[prost(uint32, tag = "3")]
    pub gap_exceeded: u32,
    /// Replica that ran the streams, if the service is uneven; empty otherwise.
    #[prost(string, tag = "4")]
    pub upstream: String,
    /// Milliseconds between first and last events, summed over the streams.
    #[prost(uint64, tag = "5")]
    pub span_ms: u64,
    /// Events after the first one, summed over the streams.
    #[prost(uint32, tag = "6")]
    pub events: u32,
    /// Output tokens that were expected, summed over the streams.
    #[prost(uint64, tag = "7")]
    pub output_tokens: u64,
}

/// Request counts of one adapter.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Demand {
    /// Adapter, as MODEL/NAME.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Requests that arrived since the previous tally.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Requests that are waiting because no replica has the adapter loaded.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
}

/// Asks the leader for a replica for one request or, without a model and unless it is bounded, whether a
/// request that is suspected to crash replicas may be sent to one. The gateway keeps the call open until
/// the request has ended.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Ask {
    /// Request id, for the log.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Service of the request's route.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Base model; empty for a plain service.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Adapter as MODEL/NAME; empty for the base model.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// Availability zone of the gateway.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Number of prompt tokens.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    #[prost(uint32, tag = "7")]
    pub max_output_tokens: u32,
    /// Digest of each prompt part; covers the part and everything before it.
    #[prost(fixed64, repeated, tag = "8")]
    pub prefix_digests: Vec<u64>,
    /// Number of tokens of each prompt part.
    #[prost(uint32, repeated, tag = "9")]
    pub part_tokens: Vec<u32>,
    /// Priority of the route; zero is the most urgent.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Milliseconds until the latency objective of the route, less the time reserved for processing
    /// the prompt and delivering the answer; negative once that time has passed.
    #[prost(int64, tag = "11")]
    pub objective_ms: i64,
    /// Milliseconds after which the request is refused if it is still waiting.
    #[prost(uint64, tag = "12")]
    pub give_up_ms: u64,
    /// Replicas that the request has already been sent to.
    #[prost(string, repeated, tag = "13")]
    pub tried: Vec<String>,
    /// Host of the gateway.
    #[prost(string, tag = "14")]
    pub host: String,
    /// Ids of the prompt parts that other requests may share.
    #[prost(fixed64, repeated, tag = "15")]
    pub part_ids: Vec<u64>,
    /// Digest of the request; absent if an older host asks.
    #[prost(fixed64, optional, tag = "16")]
    pub digest: Option<u64>,
    /// Whether the answer is a stream that may be taken up when it breaks off.
    #[prost(bool, tag = "17")]
    pub is_resumable: bool,
    /// Whether the caller takes up a stream that broke off.
    #[prost(bool, tag = "18")]
    pub continues: bool,
    /// Request whose answer began that stream; empty if the caller does not name it.
    #[prost(string, tag = "19")]
    pub resumes: String,
    /// Software version that has begun the answer to this request; absent before its first event.
    #[prost(string, optional, tag = "20")]
    pub software: Option<String>,
    /// Whether the leader must select the upstream although the request names no model, since the
    /// service is brittle.
    #[prost(bool, tag = "21")]
    pub is_bounded: bool,
    /// Client account of the caller; empty without one.
    #[prost(string, tag = "22")]
    pub account: String,
    /// What the request uses of the account's quota, in the quota's units.
    #[prost(uint64, tag = "23")]
    pub cost: u64,
    /// Whether the request was counted against the quota before.
    #[prost(bool, tag = "24")]
    pub is_counted: bool,
    /// What the request needs of its replica; absent if an older host asks.
    #[prost(message, optional, tag = "25")]
    pub need: Option<Need>,
    /// Paces that upstreams have stated to the gateway, where they have changed.
    #[prost(message, repeated, tag = "26")]
    pub paces: Vec<PaceReport>,
}

/// What a request needs of its replica besides its objective.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Need {
    /// Milliseconds until the caller leaves.
    #[prost(uint64, tag = "1")]
    pub deadline_ms: u64,
    /// Objective of the route for pauses in milliseconds; zero for none.
    #[prost(uint32, tag = "2")]
    pub gap_ms: u32,
    /// Output tokens that the caller expects; zero if it does not say.
    #[prost(uint32, tag = "3")]
    pub output_tokens: u32,
}

impl Ask {
    /// Everything about the request that may crash replicas.
    pub fn keys(&self) -> Vec<Key> {
        keys(&self.part_ids, self.digest).collect()
    }
}

/// Answer to an [`Ask`].
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Grant {
    /// Name of the replica; empty when the request is refused or the gateway selects the upstream.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Version of the adapter to use there; zero for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds after which a refused request may be retried.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Reason for the refusal.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// Whether the request may be sent although it, or a part of its prompt, is suspected to crash
    /// replicas.
    #[prost(bool, tag = "5")]
    pub is_trial: bool,
    /// Whether the gateway selects the upstream.
    #[prost(bool, tag = "6")]
    pub is_unassigned: bool,
    /// Whether the request is refused since its account has used its quota.
    #[prost(bool, tag = "7")]
    pub is_over_quota: bool,
}
