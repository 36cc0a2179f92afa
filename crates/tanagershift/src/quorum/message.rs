//! Messages and records of the replicated log.

use bytes::Bytes;
use prost::{Message, Oneof};

/// One member of the group.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Member {
    /// Identity of its data folder.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Host that it runs on.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Peer address of the host.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether it counts in a quorum; others only follow.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// Every member of the group, as one log entry states them.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Members {
    /// Members in order of their identities.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// One entry of the log.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Entry {
    /// Position, from one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that made it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Command; empty for a leader's first entry and for membership.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// New membership, in force as soon as the entry is in the log.
    #[prost(message, optional, tag = "4")]
    pub members: Option<Members>,
}

/// What a member must remember of elections.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Ballot {
    /// Highest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Member voted for in that term; zero for none.
    #[prost(uint64, tag = "2")]
    pub vote: u64,
}

/// The applied state up to an index.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Snapshot {
    /// Last entry that the state covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership at that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// The state.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// A message from one member to another.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Envelope {
    /// Number of the group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// Sender.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Receiver; another identity at the same address drops the message.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Term of the sender.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
    /// Peer address of the sender, for a receiver that does not know the membership yet.
    #[prost(string, tag = "12")]
    pub address: String,
}

/// Kinds of messages between members.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Body {
    /// Entries, or a heartbeat without any.
    #[prost(message, tag = "5")]
    Append(Append),
    /// Answer to entries.
    #[prost(message, tag = "6")]
    Appended(Appended),
    /// A candidate asks for a vote.
    #[prost(message, tag = "7")]
    Ask(Ask),
    /// Answer to a candidate.
    #[prost(message, tag = "8")]
    Vote(Vote),
    /// Part of a snapshot.
    #[prost(message, tag = "9")]
    Install(Install),
    /// Answer to a part of a snapshot.
    #[prost(message, tag = "10")]
    Installed(Installed),
    /// The leader gives its leadership to the receiver.
    #[prost(message, tag = "11")]
    Campaign(Campaign),
}

/// Entries after a known one.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Append {
    /// Index of the entry before the first.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Entries to add.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Last entry that the leader knows to be committed.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Heartbeat round of the leader, for its lease.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// Answer to entries.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Appended {
    /// Whether the entries are in the log and synced.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Last entry that matches the leader's; when refused, where to try next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Round that is answered.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A candidate's question.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Ask {
    /// Whether this only probes and promises nothing.
    #[prost(bool, tag = "1")]
    pub probe: bool,
    /// Last entry of the candidate.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Whether the old leader gave its leadership up for this candidate.
    #[prost(bool, tag = "4")]
    pub handover: bool,
}

/// Answer to a candidate.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Vote {
    /// Whether this answers a probe.
    #[prost(bool, tag = "1")]
    pub probe: bool,
    /// Whether the candidate has the vote.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Part of a snapshot.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Install {
    /// The snapshot with a part of its state.
    #[prost(message, required, tag = "1")]
    pub part: Snapshot,
    /// Offset of the part in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether this part is the last.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// Heartbeat round of the leader.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Answer to a part of a snapshot.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Installed {
    /// Snapshot that is answered.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Bytes received in order.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the snapshot is installed and synced.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// Round that is answered.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// The leader gives its leadership up for the receiver.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Campaign {}
