//! Raft messages, and the log entries, ballots and snapshots that are stored.

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
    /// Whether it votes and counts towards a quorum; other members only receive the log.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// All members of the group, as a log entry or a snapshot stores them.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Members {
    /// All members, sorted by identity.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// One entry of the log.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Entry {
    /// Position in the log, starting at one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Command; empty in the first entry of a leader and in membership changes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// New membership, in force as soon as the entry is in the log.
    #[prost(message, optional, tag = "4")]
    pub members: Option<Members>,
}

/// Term and vote, which a member must store before it answers a vote request.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Ballot {
    /// Highest term that the member has adopted.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Member that it voted for in that term; zero for none.
    #[prost(uint64, tag = "2")]
    pub voted_for: u64,
}

/// The applied state after all entries up to an index.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Snapshot {
    /// Index of the last entry that the state covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership at that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// The encoded state, or one chunk of it while it is sent to another member.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// A message from one member to another.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Envelope {
    /// Number of the group; the receiver drops messages of other groups.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// Identity of the sender.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Identity of the receiver; another identity at the same address drops the message.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Term of the sender; in pre-vote requests and granted pre-votes, the proposed term.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Message; `None` if its kind is unknown to the receiver.
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
    /// Entries to append; a heartbeat has none.
    #[prost(message, tag = "5")]
    AppendEntries(AppendEntries),
    /// Answer to `AppendEntries`.
    #[prost(message, tag = "6")]
    AppendResponse(AppendResponse),
    /// Request of a candidate for a vote or pre-vote.
    #[prost(message, tag = "7")]
    VoteRequest(VoteRequest),
    /// Answer to `VoteRequest`.
    #[prost(message, tag = "8")]
    VoteResponse(VoteResponse),
    /// Chunk of a snapshot.
    #[prost(message, tag = "9")]
    InstallSnapshot(InstallSnapshot),
    /// Answer to `InstallSnapshot`.
    #[prost(message, tag = "10")]
    InstallResponse(InstallResponse),
    /// Transfer of the leadership to the receiver.
    #[prost(message, tag = "11")]
    Campaign(Campaign),
}

/// Entries to append after an entry that the receiver is expected to have.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AppendEntries {
    /// Index of the entry before the first of `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Entries to append; empty in a heartbeat.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Index of the last entry that the leader knows to be committed.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// Newest heartbeat round of the leader; an answer to it extends the leader's lease.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// Answer to `AppendEntries`.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct AppendResponse {
    /// Whether the entries are in the receiver's log and synced.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Index of the last entry that matches the leader's log; if refused, the `prev_index` to try
    /// next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Heartbeat round of the message that is answered.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Request of a candidate for a vote or pre-vote.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, for which the receiver keeps its term and records no vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the last entry in the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Whether the previous leader transferred its leadership to this candidate.
    #[prost(bool, tag = "4")]
    pub handover: bool,
    /// Whether the candidate takes part in a cold start. As a pre-vote, this asks whether the
    /// receiver does too; as a vote, it says that all voters do.
    #[prost(bool, tag = "5")]
    pub cold: bool,
}

/// Answer to `VoteRequest`.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct VoteResponse {
    /// Whether this answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the candidate received the vote.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Whether this member takes part in a cold start.
    #[prost(bool, tag = "3")]
    pub cold: bool,
}

/// Chunk of a snapshot.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct InstallSnapshot {
    /// The snapshot with only one chunk of its state.
    #[prost(message, required, tag = "1")]
    pub chunk: Snapshot,
    /// Offset of the chunk in the state, in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether this chunk is the last.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// Newest heartbeat round of the leader.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Answer to `InstallSnapshot`.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct InstallResponse {
    /// Index of the snapshot that is answered.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Bytes received so far, without gaps.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the snapshot is installed and synced.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// Heartbeat round of the message that is answered.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Transfer of leadership: the receiver starts an election at once (`TimeoutNow` in Raft).
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Campaign {}
