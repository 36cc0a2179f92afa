//! The edge to a platform: how callers, replicas, the list and operators are spoken to.
//!
//! A dialect translates and decides nothing. It keeps no state, opens no connection and retries
//! nothing.

use std::{fmt, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    http::{request, response},
};

use super::{
    configuration::{Configuration, ConfigurationError},
    message::{Announcement, Upstream},
};

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Base model, if the request names one.
    pub model: Option<String>,
    /// Adapter as MODEL/NAME, if the request names one.
    pub adapter: Option<String>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt in order: identity and tokens. Requests share parts.
    pub parts: Vec<(u64, u32)>,
    /// Event after which a stream goes on, where the caller resumes it.
    pub resume_after: Option<u64>,
}

/// What the system adds to a request for a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// Time that is left.
    pub left: Duration,
    /// Identity that the replica must have.
    pub instance: String,
    /// Rank; zero is first.
    pub priority: Option<u8>,
    /// Version that the adapter must have.
    pub version: Option<u64>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// What the head of a replica's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the answer carries the replica's signature.
    pub signed: bool,
    /// Whether the replica states that the request did not run.
    pub not_run: bool,
    /// Requests running and waiting there, and its slots.
    pub load: Option<(u32, u32, u32)>,
    /// Whole seconds for which an idle connection is kept.
    pub keep_alive: Option<Duration>,
    /// Identity of a replica that is another than the one expected.
    pub instance: Option<String>,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Loads an adapter, or replaces it by another version.
    Load,
    /// Unloads an adapter.
    Unload,
}

/// An order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What it does.
    pub operation: Operation,
    /// Adapter as MODEL/NAME.
    pub adapter: String,
    /// Version to load; `None` for the newest.
    pub version: Option<u64>,
    /// Orders that the replica must have accepted before.
    pub expect: u64,
    /// Host that orders.
    pub holder: String,
    /// Epoch of the host's lease (fencing token).
    pub epoch: u64,
    /// Identity that the replica must have.
    pub instance: String,
}

/// How a replica answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is under way, or the count of accepted orders differs.
    Conflict,
    /// A newer epoch has been seen.
    Fenced,
    /// Another replica is at the address.
    Gone,
    /// The replica will never accept it.
    Invalid,
    /// No answer; it may be carried out now, later or never.
    Unknown,
}

/// What a replica reports of itself; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Start of this incarnation; zero if it does not say.
    pub born: u64,
    /// Orders accepted.
    pub accepted: u64,
    /// Adapters that are there, with their versions.
    pub adapters: Vec<Announcement>,
    /// Adapters on their way.
    pub coming: Vec<Announcement>,
    /// Base models.
    pub models: Vec<String>,
}

/// A page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Entries that could be read.
    pub upstreams: Vec<Upstream>,
    /// Entries that could not.
    pub unreadable: usize,
    /// Token of the next page.
    pub next: Option<String>,
}

/// What an operator asks of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Accept a configuration.
    Configure,
    /// Read the accepted configuration.
    Read,
    /// Accept a new version of an adapter.
    Announce,
    /// Nothing that the platform defines.
    Unknown,
}

/// A request that is malformed for its platform; it is refused and runs nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// One platform's protocol.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// The head is malformed.
    fn call(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// Id of a request for the log, also when its head is malformed.
    fn request_id(&self, headers: &HeaderMap) -> String;

    /// Headers of a request for a replica.
    fn headers(&self, caller: &HeaderMap, terms: &Terms) -> HeaderMap;

    /// Reads the head of a replica's answer.
    fn reply(&self, head: &response::Parts) -> Reply;

    /// Headers of an answer for the caller; without the signature when it is not the replica's own
    /// status or body.
    fn answer(&self, replica: &HeaderMap) -> HeaderMap;

    /// Whether a path is the address of the readiness probe.
    fn is_probe(&self, method: &Method, path: &str) -> bool;

    /// Path of the list's first or a later page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Reads a page of the list.
    ///
    /// # Errors
    ///
    /// The bytes are no list at all.
    fn list(&self, bytes: &[u8]) -> Result<Page, String>;

    /// Method, path, headers and body of an order.
    fn order(&self, order: &Order) -> (Method, &'static str, HeaderMap, Bytes);

    /// Reads the answer to an order.
    fn ordered(&self, status: StatusCode) -> Ordered;

    /// Path of a replica's report.
    fn report_path(&self) -> &'static str;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// The bytes are no report.
    fn report(&self, bytes: &[u8]) -> Result<Report, String>;

    /// What an operator asks for.
    fn request(&self, method: &Method, path: &str) -> Request;

    /// Reads and checks a configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, ConfigurationError>;

    /// Reads the announcement of an adapter's version.
    ///
    /// # Errors
    ///
    /// The bytes are no announcement.
    fn announcement(&self, bytes: &[u8]) -> Result<Announcement, String>;
}
