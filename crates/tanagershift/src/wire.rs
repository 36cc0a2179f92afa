//! Messages between the system's own processes, and their frames.
//!
//! A connection opens with a [`Hello`] each way. Then each [`Frame`] belongs to a stream, which the
//! opener of the connection numbers; a number is used once within a connection.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use prost::{Message, Oneof};
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{catalog, gateway::message, quorum::message as quorum, voter::command};

/// Version of the protocol; a peer with another one is refused.
pub const VERSION: u32 = 1;
/// Largest frame in bytes.
pub const FRAME_LIMIT: usize = 8 << 20;

/// First message each way on a connection.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Hello {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Secret shared by the hosts and their operators.
    #[prost(string, tag = "2")]
    pub token: String,
    /// Host name of the sender; empty for a tool.
    #[prost(string, tag = "3")]
    pub host: String,
}

/// One message on one stream.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Frame {
    /// Stream within the connection.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Whether the sender sends nothing more on this stream.
    #[prost(bool, tag = "2")]
    pub last: bool,
    /// What is said.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, \
                26, 27, 28, 29, 30, 31, 32, 33"
    )]
    pub body: Option<Body>,
}

/// Every kind of message.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Body {
    /// Opens the connection.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// A message of the replicated log.
    #[prost(message, tag = "4")]
    Quorum(quorum::Envelope),
    /// Asks the leader to commit a command.
    #[prost(message, tag = "5")]
    Propose(command::Command),
    /// Outcome of a command.
    #[prost(message, tag = "6")]
    Outcome(command::Outcome),
    /// Asks for the configuration and assignments from a revision on.
    #[prost(message, tag = "7")]
    Follow(Follow),
    /// Part of the configuration or the routes.
    #[prost(message, tag = "8")]
    Update(Update),
    /// Renews every lease of a host.
    #[prost(message, tag = "9")]
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat.
    #[prost(message, tag = "10")]
    Lease(Lease),
    /// Asks for a permit of the weight store.
    #[prost(message, tag = "11")]
    Permit(Permit),
    /// Answer to a permit request.
    #[prost(message, tag = "12")]
    Permitted(Permitted),
    /// A request for a holder to run.
    #[prost(message, tag = "13")]
    Serve(Serve),
    /// Start of an answer.
    #[prost(message, tag = "14")]
    Head(Head),
    /// Part of an answer's body.
    #[prost(bytes = "bytes", tag = "15")]
    Chunk(Bytes),
    /// End of a whole answer.
    #[prost(message, tag = "16")]
    End(End),
    /// End of a request without a whole answer.
    #[prost(message, tag = "17")]
    Failed(Failed),
    /// The opener wants nothing more on this stream.
    #[prost(message, tag = "18")]
    Cancel(Cancel),
    /// The receiver does not lead; says who may.
    #[prost(message, tag = "19")]
    Redirect(Redirect),
    /// A question of the operators' tool.
    #[prost(message, tag = "20")]
    Query(Query),
    /// Answer to a question, as JSON.
    #[prost(bytes = "bytes", tag = "21")]
    Report(Bytes),
    /// First membership of a new group.
    #[prost(message, tag = "22")]
    Format(Format),
    /// The request could not be carried out.
    #[prost(message, tag = "23")]
    Error(Failure),
    /// The permit with the number of this message is no longer used.
    #[prost(uint64, tag = "24")]
    Release(u64),
    /// A data folder asks the leader to be made a member of the group.
    #[prost(message, tag = "25")]
    Join(quorum::Member),
    /// Asks the leader for everything that a gateway must know, as it changes.
    #[prost(message, tag = "26")]
    Watch(message::Watch),
    /// What changed.
    /// An encoded [`message::Notice`], so that one copy can be sent to every gateway.
    #[prost(bytes = "bytes", tag = "27")]
    Notice(Bytes),
    /// What a gateway has seen: demand, open requests, adapters that it lacks.
    #[prost(message, tag = "28")]
    Tally(message::Tally),
    /// A gateway asks the leader for a replica.
    #[prost(message, tag = "29")]
    Ask(message::Ask),
    /// Answer to a request for a replica.
    #[prost(message, tag = "30")]
    Grant(message::Grant),
    /// Asks the peer to show that it hears, and the answer to it.
    #[prost(message, tag = "31")]
    Probe(Probe),
    /// Asks for a connection to an upstream. It is the only request on its connection.
    #[prost(message, tag = "32")]
    Tunnel(message::Tunnel),
    /// Answer to the request for a connection.
    #[prost(enumeration = "message::TunnelOutcome", tag = "33")]
    TunnelOutcome(i32),
}

/// Asks the leader for configuration from a revision on, and for the routes.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Follow {
    /// Host that follows.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Revision that the host has in force; zero for none.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A step of the configuration or the routes.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Update {
    /// Whether this starts the whole configuration anew.
    #[prost(bool, tag = "1")]
    pub reset: bool,
    /// Whether the revision is complete with this update.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// Revision that the items lead to.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Items created, replaced or removed.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<catalog::Item>,
    /// Routes, when they changed.
    #[prost(message, optional, tag = "5")]
    pub routes: Option<Routes>,
    /// More items, as an encoded `Items`; shared by all hosts that start anew.
    #[prost(bytes = "bytes", tag = "6")]
    pub packed: Bytes,
}

impl Update {
    /// Takes the items out, the packed ones as well.
    ///
    /// # Errors
    ///
    /// The packed items do not decode.
    pub fn take_items(&mut self) -> Result<Vec<catalog::Item>, prost::DecodeError> {
        let packed = Items::decode(std::mem::take(&mut self.packed))?;
        let mut items = std::mem::take(&mut self.items);
        items.extend(packed.items);
        Ok(items)
    }
}

/// A part of the configuration.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Items {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<catalog::Item>,
}

/// Which host holds each replica.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Routes {
    /// Log position that the routes come from; later ones win.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// One route a replica.
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<Route>,
}

/// The holder of one replica.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Route {
    /// Replica held.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Host that holds it.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Peer address of the host.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Epoch of the lease.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

/// Renews all leases of one host and reports on it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Heartbeat {
    /// Host that beats.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Availability zone of the host.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Peer address of the host.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Number drawn when the process started.
    #[prost(uint64, tag = "4")]
    pub session: u64,
    /// Revision in force on the host.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Whether the host takes no new replicas.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Whether the host can hold replicas.
    #[prost(bool, tag = "7")]
    pub holds: bool,
    /// Epochs that the host gives back by name, with nothing running under them.
    #[prost(uint64, repeated, tag = "8")]
    pub returned: Vec<u64>,
}

/// Leases of one host, counted from the moment it sent its heartbeat.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Lease {
    /// Length of the leases in milliseconds.
    #[prost(uint64, tag = "1")]
    pub millis: u64,
    /// Every assignment of the host.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<Grant>,
    /// Revision that is accepted.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Live hosts that hold replicas, for the static share of the store's rate.
    #[prost(uint32, tag = "4")]
    pub holders: u32,
}

/// One assignment of a replica.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Grant {
    /// Replica assigned.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Epoch of the lease.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether the last holder gave the replica back with nothing running.
    #[prost(bool, tag = "3")]
    pub clean: bool,
    /// Whether the host should finish its requests there and give the replica back.
    #[prost(bool, tag = "4")]
    pub release: bool,
}

/// Asks for the right to load one adapter from the store.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Permit {
    /// Host that asks.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Milliseconds that the longest waiting request has waited.
    #[prost(uint64, tag = "2")]
    pub waited: u64,
    /// Requests that wait for the adapter.
    #[prost(uint64, tag = "3")]
    pub waiting: u64,
}

/// Answer to a permit request; sent when the permit is given.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Permitted {
    /// Number of the permit, for its release.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Milliseconds in which the load must begin.
    #[prost(uint64, tag = "2")]
    pub millis: u64,
}

/// A request for a holder to run on its replica.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Serve {
    /// Replica chosen.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Request id of the caller.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Adapter named.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Version named.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Digest of the version's content.
    #[prost(string, tag = "5")]
    pub digest: String,
    /// Where the weights lie in the store.
    #[prost(string, tag = "6")]
    pub weights: String,
    /// Path of the completion API.
    #[prost(string, tag = "7")]
    pub path: String,
    /// Body as the caller sent it.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    /// Milliseconds left to the deadline.
    #[prost(uint64, tag = "9")]
    pub millis: u64,
    /// Priority; higher goes first.
    #[prost(int32, tag = "10")]
    pub priority: i32,
    /// Audience of the adapter.
    #[prost(string, tag = "11")]
    pub audience: String,
    /// Model name that the caller used, given back in the answer.
    #[prost(string, tag = "12")]
    pub model: String,
}

/// Start of an answer.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Content type of the body.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Milliseconds that the request waited for its adapter.
    #[prost(uint64, tag = "3")]
    pub stalled: u64,
    /// Requests running and waiting on the replica.
    #[prost(uint32, tag = "4")]
    pub load: u32,
}

/// End of a whole answer, with the load of the replica.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct End {
    /// Requests running and waiting on the replica.
    #[prost(uint32, tag = "1")]
    pub load: u32,
}

/// End of a request without a whole answer.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Failed {
    /// Verdict's number.
    #[prost(uint32, tag = "1")]
    pub verdict: u32,
    /// Why, for people.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds after which another try may help.
    #[prost(uint64, tag = "3")]
    pub retry_after: u64,
    /// Requests running and waiting on the replica.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// What stood in the way.
    #[prost(enumeration = "Cause", tag = "5")]
    pub cause: i32,
}

/// What stood in the way of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The exchange with the engine failed.
    Engine = 0,
    /// The host does not hold the replica, or gives it back.
    Absent = 1,
    /// The replica has too much to do.
    Busy = 2,
    /// The adapter's version does not load.
    Unloadable = 3,
}

/// The opener gave up.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Cancel {}

/// Shows that a connection carries frames.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Probe {}

/// Who may lead.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Redirect {
    /// Peer address of the leader; empty when none is known.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// A question of the operators' tool.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Query {
    /// What is asked: `status`, `audit`, `adapters`, `replicas`, `identity`, `catalog`.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Only rows after this number, where rows are numbered.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Most rows wanted; zero for all.
    #[prost(uint64, tag = "3")]
    pub limit: u64,
}

/// First membership of a new group, given to each empty data folder.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Format {
    /// Number of the group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// Identity that the receiver must have.
    #[prost(uint64, tag = "2")]
    pub member: u64,
    /// First members.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<quorum::Member>,
}

/// A request that could not be carried out.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Failure {
    /// Why, for people.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// Why bytes are not a frame.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"), context(false))]
    Io {
        /// The system's error.
        source: io::Error,
    },
    /// The bytes do not decode.
    #[snafu(display("invalid frame: {source}"), context(false))]
    Decode {
        /// The decoder's error.
        source: prost::DecodeError,
    },
}

/// Codec of frames: a four-byte length, then the message.
#[derive(Debug)]
pub struct Codec(LengthDelimitedCodec);

impl Default for Codec {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT)
            .new_codec();
        Self(codec)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.0.decode(buffer)? else {
            return Ok(None);
        };
        Ok(Some(Frame::decode(bytes.freeze())?))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        let length = frame.encoded_len();
        if length > FRAME_LIMIT {
            return Err(io::Error::from(io::ErrorKind::InvalidInput).into());
        }
        buffer.reserve(4 + length);
        buffer.put_u32(length as u32);
        // The buffer grows as needed, so that encoding cannot fail.
        let _ = frame.encode(buffer);
        Ok(())
    }
}
