//! Commands in the replicated log, and their outcomes.

use std::{fmt, num::ParseIntError, str::FromStr};

use bytes::Bytes;
use prost::{Message, Oneof};

use super::software::Software;
use crate::{catalog::ChangeSet, id};

/// A command in the replicated log.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Command {
    /// Leader's wall clock in milliseconds since 1970; never decreases along the log.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// Operation to apply; a command without one changes nothing.
    #[prost(oneof = "Order", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub order: Option<Order>,
}

/// Operation of a command.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Order {
    /// Accepts or refuses a change set.
    #[prost(message, tag = "2")]
    Publish(ChangeSet),
    /// Assigns replicas to holders.
    #[prost(message, tag = "3")]
    Assign(Assign),
    /// Claims the right to send a request that must run at most once.
    #[prost(message, tag = "4")]
    Claim(Claim),
    /// Records the outcome of a claimed request.
    #[prost(message, tag = "5")]
    Settle(Settle),
    /// Takes a host out of service, or back in.
    #[prost(message, tag = "6")]
    Drain(Drain),
    /// Records in the audit trail that the leader adds or removes a member.
    #[prost(message, tag = "7")]
    Member(MemberChange),
    /// Replaces the routing configuration if its version is higher than the accepted one.
    #[prost(message, tag = "8")]
    Configure(Document),
    /// Announces a version of an adapter's weights.
    #[prost(message, tag = "9")]
    Announce(Announcement),
    /// Records which host sends the orders to replicas from now on.
    #[prost(message, tag = "10")]
    Holder(Holder),
    /// Records prompt parts and requests that crash replicas.
    #[prost(message, tag = "11")]
    Quarantine(Quarantine),
    /// Lifts a prompt part or a request out of quarantine.
    #[prost(message, tag = "12")]
    Lift(Lift),
    /// Records the software versions of streams.
    #[prost(message, tag = "13")]
    Software(Software),
}

/// Changed marks of prompt parts and requests.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Quarantine {
    /// One mark a key.
    #[prost(message, repeated, tag = "1")]
    pub marks: Vec<Mark>,
}

/// What may crash replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A part of prompts.
    Part(id::PromptPart),
    /// A whole request.
    Request(id::RequestDigest),
}

/// How operators see and name a request; a part is shown by its id alone.
const REQUEST_PREFIX: &str = "request:";

impl Key {
    /// Creates a key from its form in messages.
    pub fn new(value: u64, is_request: bool) -> Self {
        match is_request {
            true => Self::Request(value),
            false => Self::Part(value),
        }
    }

    /// Whether this is a whole request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Id of the part, or digest of the request.
    pub fn value(self) -> u64 {
        match self {
            Self::Part(value) | Self::Request(value) => value,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(formatter, "{id:x}"),
            Self::Request(digest) => write!(formatter, "{REQUEST_PREFIX}{digest:016x}"),
        }
    }
}

impl FromStr for Key {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let request = text.strip_prefix(REQUEST_PREFIX);
        let value = u64::from_str_radix(request.unwrap_or(text), 16)?;
        Ok(Self::new(value, request.is_some()))
    }
}

/// Evidence that a prompt part or a request crashes replicas.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Mark {
    /// Id of the part, or digest of the request.
    #[prost(fixed64, tag = "1")]
    pub value: u64,
    /// Crashes that count; zero if the key is no longer suspected.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
    /// Whether requests with the key are rejected.
    #[prost(bool, tag = "3")]
    pub convicted: bool,
    /// Services whose replicas crashed.
    #[prost(string, repeated, tag = "4")]
    pub services: Vec<String>,
    /// Whether `value` is the digest of a request.
    #[prost(bool, tag = "5")]
    pub is_request: bool,
}

impl Mark {
    /// Creates the mark of a key that is not suspected.
    pub fn cleared(key: Key) -> Self {
        Self {
            value: key.value(),
            is_request: key.is_request(),
            ..Self::default()
        }
    }

    /// What the mark is about.
    pub fn key(&self) -> Key {
        Key::new(self.value, self.is_request)
    }
}

/// Lifts a prompt part or a request out of quarantine.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Lift {
    /// Id of the part, or digest of the request.
    #[prost(fixed64, tag = "1")]
    pub value: u64,
    /// Operator who lifts it.
    #[prost(string, tag = "2")]
    pub operator: String,
    /// Whether `value` is the digest of a request.
    #[prost(bool, tag = "3")]
    pub is_request: bool,
}

impl Lift {
    /// Creates the command of an operator.
    pub fn new(key: Key, operator: String) -> Self {
        Self {
            value: key.value(),
            is_request: key.is_request(),
            operator,
        }
    }

    /// What is lifted.
    pub fn key(&self) -> Key {
        Key::new(self.value, self.is_request)
    }
}

/// The host that sends the orders to replicas.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Holder {
    /// Name of the host.
    #[prost(string, tag = "1")]
    pub host: String,
}

/// A complete routing configuration as the operator sent it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Document {
    /// Version of the configuration; the highest wins.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Text of the configuration, validated before it was proposed.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
}

/// Announces the version of an adapter's weights that requests must run on.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Announcement {
    /// Name of the adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Version of the weights; the highest wins.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Changes of the holders of replicas.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Assign {
    /// Changes to apply, one per replica.
    #[prost(message, repeated, tag = "1")]
    pub moves: Vec<Move>,
}

/// The new holder of a replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Move {
    /// Name of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Name of the new holder; empty if the replica is no longer on the platform's list.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Random number that the host's process chose when it started.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// Whether the previous holder returned the replica with no requests running.
    #[prost(bool, tag = "4")]
    pub clean: bool,
    /// Peer address of the host.
    #[prost(string, tag = "5")]
    pub address: String,
}

/// Claims a request before it is sent, so that it runs at most once.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Claim {
    /// Name of the service and the caller's idempotency key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Digest of the request, which detects reuse of the key for another request.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// Unique id of the attempt that wants to send the request.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// Timeout of the request in milliseconds.
    #[prost(uint64, tag = "4")]
    pub millis: u64,
}

/// Outcome of a claimed request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Settle {
    /// Key of the claim.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Owner of the claim; the claim of another owner is not changed.
    #[prost(string, tag = "2")]
    pub owner: String,
    /// Answer to the request. Without one the request may have run, unless `not_run` is set.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<Answer>,
    /// Whether the request certainly did not run, which frees the key.
    #[prost(bool, tag = "4")]
    pub not_run: bool,
}

/// Recorded answer to a claimed request.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Answer {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Value of the `Content-Type` header.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body; empty if it was too long to keep.
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
    /// Name of the host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Whether the host is taken out of service rather than put back in.
    #[prost(bool, tag = "2")]
    pub on: bool,
    /// Operator who made the change.
    #[prost(string, tag = "3")]
    pub operator: String,
}

/// A change of the group's membership.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct MemberChange {
    /// Identity of the member.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the member's host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Peer address of the host.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether the member is removed rather than added.
    #[prost(bool, tag = "4")]
    pub remove: bool,
    /// Operator who made the change.
    #[prost(string, tag = "5")]
    pub operator: String,
}

/// Outcome of a command.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Outcome {
    /// The outcome itself; which variant depends on the command.
    #[prost(oneof = "Effect", tags = "1, 2, 3")]
    pub effect: Option<Effect>,
}

/// Outcome of a change set, a claim or any other command.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Effect {
    /// Outcome of a change set.
    #[prost(message, tag = "1")]
    Published(Published),
    /// Outcome of a claim.
    #[prost(message, tag = "2")]
    Claimed(Claimed),
    /// Outcome of any other command: empty on success, otherwise the reason of the refusal.
    #[prost(string, tag = "3")]
    Done(String),
}

/// Outcome of a change set.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Published {
    /// Revision that contains the change set; zero if it was refused.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether the change set created a new revision.
    #[prost(bool, tag = "2")]
    pub changed: bool,
    /// Reason of the refusal; empty if the change set was accepted.
    #[prost(string, tag = "3")]
    pub refusal: String,
}

/// Outcome of a claim.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Claimed {
    /// State of the claim, a `Standing`.
    #[prost(enumeration = "Standing", tag = "1")]
    pub standing: i32,
    /// Recorded answer, if the claim is `Answered`.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// The claim's owner may send the request once.
    Won = 0,
    /// Another attempt holds the claim and has not finished.
    Running = 1,
    /// The request ran, and its answer is recorded.
    Answered = 2,
    /// The request may have run, and no answer is recorded.
    MayHaveRun = 3,
    /// The key was used with another request.
    Mismatch = 4,
}

/// A record of the audit trail.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Audit {
    /// Sequence number of the record, starting at one.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Time of the record in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub at: u64,
    /// Operator who made the change; empty for routing configurations and announced versions.
    #[prost(string, tag = "3")]
    pub operator: String,
    /// Change id of a change set; empty for other records.
    #[prost(string, tag = "4")]
    pub change: String,
    /// Revision that contains the change set; zero for none.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Human-readable description of the change.
    #[prost(string, tag = "6")]
    pub what: String,
    /// `accepted`, `unchanged`, `refused`, `announced` or `done`.
    #[prost(string, tag = "7")]
    pub outcome: String,
    /// Reason of the refusal; empty otherwise.
    #[prost(string, tag = "8")]
    pub reason: String,
}

/// The holder of a replica.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Assignment {
    /// Name of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Name of the host that holds the replica.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Random number that the host's process chose when it started.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// Epoch of the lease, which serves as the fencing token of the holder.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Whether the previous holder returned the replica with no requests running.
    #[prost(bool, tag = "5")]
    pub clean: bool,
    /// Peer address of the host.
    #[prost(string, tag = "6")]
    pub address: String,
}

impl Claimed {
    /// Creates an outcome without an answer.
    pub fn of(standing: Standing) -> Self {
        Self {
            standing: standing.into(),
            answer: None,
        }
    }
}

impl Outcome {
    /// Creates an outcome from its effect.
    pub fn of(effect: Effect) -> Self {
        Self {
            effect: Some(effect),
        }
    }
}

impl Order {
    /// Whether the leader of a term may propose the order. What a leader has decided by its own state is
    /// void once another one leads.
    pub fn is_valid_in(&self, term: id::Term) -> bool {
        match self {
            Self::Software(software) => software.term == term,
            _ => true,
        }
    }
}

impl Command {
    /// Creates a command; the leader sets the time when it proposes it.
    pub fn of(order: Order) -> Self {
        Self {
            at: 0,
            order: Some(order),
        }
    }
}
