//! Commands of the replicated log, and what they lead to.

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::catalog::ChangeSet;

/// One command of the replicated log.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Command {
    /// Leader's wall clock in milliseconds since 1970; never runs backwards in the log.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// What is decided.
    #[prost(oneof = "Order", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub order: Option<Order>,
}

/// Kinds of commands.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Order {
    /// Accepts or refuses a change set.
    #[prost(message, tag = "2")]
    Publish(ChangeSet),
    /// Assigns replicas to holders.
    #[prost(message, tag = "3")]
    Assign(Assign),
    /// Claims a request that may not be repeated.
    #[prost(message, tag = "4")]
    Claim(Claim),
    /// Records how a claimed request ended.
    #[prost(message, tag = "5")]
    Settle(Settle),
    /// Takes a host out of service, or back in.
    #[prost(message, tag = "6")]
    Drain(Drain),
    /// Adds or removes a member; carried out by the leader, recorded here.
    #[prost(message, tag = "7")]
    Member(MemberChange),
    /// Replaces the routing configuration if its version is higher than the accepted one.
    #[prost(message, tag = "8")]
    Configure(Document),
    /// Names a new version of an adapter's weights.
    #[prost(message, tag = "9")]
    Announce(Announcement),
}

/// A whole routing configuration as the operator sent it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Document {
    /// Its version; the highest wins.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The text, which the reader has checked before it was proposed.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
}

/// A version of an adapter's weights that requests must run on.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Announcement {
    /// Adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Version; the highest wins.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// New holders of replicas.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Assign {
    /// One replica each.
    #[prost(message, repeated, tag = "1")]
    pub moves: Vec<Move>,
}

/// The next holder of one replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Move {
    /// Replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Host; empty when the replica is gone.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Session of the host's process.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// Whether the last holder gave the replica back with nothing running.
    #[prost(bool, tag = "4")]
    pub clean: bool,
    /// Peer address of the host.
    #[prost(string, tag = "5")]
    pub address: String,
}

/// Claims a request before it is sent.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Claim {
    /// Service and idempotency key of the caller.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Digest of the request.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// Attempt that would send the request; unique.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// Milliseconds that the request may take.
    #[prost(uint64, tag = "4")]
    pub millis: u64,
}

/// How a claimed request ended.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Settle {
    /// Key of the claim.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Owner of the claim; another's is left alone.
    #[prost(string, tag = "2")]
    pub owner: String,
    /// Answer, when the request ran and it was received.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<Answer>,
    /// Whether it is proved that the request did not run, so that the key is free again.
    #[prost(bool, tag = "4")]
    pub not_run: bool,
}

/// A recorded answer.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Answer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Whether the body was too long to keep.
    #[prost(bool, tag = "4")]
    pub too_long: bool,
}

/// Takes a host out of service, or back in.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Drain {
    /// Host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Whether it is to hold nothing.
    #[prost(bool, tag = "2")]
    pub on: bool,
    /// Who asked.
    #[prost(string, tag = "3")]
    pub operator: String,
}

/// A change of the group's membership.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct MemberChange {
    /// Identity.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Peer address of the host.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether it is removed rather than added.
    #[prost(bool, tag = "4")]
    pub remove: bool,
    /// Who asked.
    #[prost(string, tag = "5")]
    pub operator: String,
}

/// What a command led to.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Outcome {
    /// Kind of outcome.
    #[prost(oneof = "Effect", tags = "1, 2, 3")]
    pub effect: Option<Effect>,
}

/// Kinds of outcomes.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Effect {
    /// Of a publish.
    #[prost(message, tag = "1")]
    Published(Published),
    /// Of a claim.
    #[prost(message, tag = "2")]
    Claimed(Claimed),
    /// Of anything else.
    #[prost(string, tag = "3")]
    Done(String),
}

/// Outcome of a publish.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Published {
    /// Revision in which the set is in force; zero when refused.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether the set made a new revision.
    #[prost(bool, tag = "2")]
    pub changed: bool,
    /// Why it was refused; empty when accepted.
    #[prost(string, tag = "3")]
    pub refusal: String,
}

/// Outcome of a claim.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Claimed {
    /// Standing of the claim.
    #[prost(enumeration = "Standing", tag = "1")]
    pub standing: i32,
    /// Answer, when it is recorded.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
}

/// Standing of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// The owner of this claim may send the request, once.
    Won = 0,
    /// Another attempt has it and has not ended.
    Running = 1,
    /// It ran, and its answer is recorded.
    Answered = 2,
    /// It may have run, and nobody will know.
    MayHaveRun = 3,
    /// The key was used with another request.
    Mismatch = 4,
}

/// One record of the audit trail.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Audit {
    /// Number of the record, from one.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Wall clock in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub at: u64,
    /// Who asked.
    #[prost(string, tag = "3")]
    pub operator: String,
    /// Change id, for a change set.
    #[prost(string, tag = "4")]
    pub change: String,
    /// Revision that it led to; zero for none.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// What changed, for people.
    #[prost(string, tag = "6")]
    pub what: String,
    /// `accepted`, `unchanged`, `refused` or `done`.
    #[prost(string, tag = "7")]
    pub outcome: String,
    /// Why it was refused.
    #[prost(string, tag = "8")]
    pub reason: String,
}

/// Holder of one replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Assignment {
    /// Replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Host that holds it.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Session of the host's process.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// Fencing number of the lease.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Whether the last holder gave the replica back with nothing running.
    #[prost(bool, tag = "5")]
    pub clean: bool,
    /// Peer address of the host.
    #[prost(string, tag = "6")]
    pub address: String,
}

impl Claimed {
    /// Makes an outcome without an answer.
    pub fn of(standing: Standing) -> Self {
        Self {
            standing: standing.into(),
            answer: None,
        }
    }
}

impl Outcome {
    /// Makes an outcome of an effect.
    pub fn of(effect: Effect) -> Self {
        Self {
            effect: Some(effect),
        }
    }
}

impl Command {
    /// Makes a command of an order; the leader dates it.
    pub fn of(order: Order) -> Self {
        Self {
            at: 0,
            order: Some(order),
        }
    }
}
