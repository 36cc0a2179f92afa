//! Protocol of a platform: the form of messages to and from callers, replicas, the platform's list and
//! operators.
//!
//! A dialect only translates. It decides nothing, keeps no state, opens no connection and retries
//! nothing.

use std::{fmt, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    http::{request, response},
};

use super::{
    account,
    configuration::{Configuration, ConfigurationError},
    message::{Announcement, Upstream},
};

/// Parsed head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id that the caller gave to this attempt.
    pub id: String,
    /// How long the caller waits; `None` if it does not say.
    pub timeout: Option<Duration>,
    /// Base model, if the request names one.
    pub model: Option<String>,
    /// Adapter as MODEL/NAME, if the request names one.
    pub adapter: Option<String>,
    /// Number of prompt tokens and largest number of output tokens, if stated.
    pub tokens: Option<(u32, u32)>,
    /// Number of output tokens that the caller expects, if it says so.
    pub expected_output: Option<u32>,
    /// Parts of the prompt in order, each with an id and its number of tokens. Equal ids mean equal
    /// parts, also in different requests.
    pub prompt_parts: Vec<(u64, u32)>,
    /// Id of the event after which the stream continues, if the caller resumes one.
    pub resume_after: Option<u64>,
    /// Id of the request whose answer began that stream, if the caller names it.
    pub resumes: Option<String>,
    /// Key of the caller's account, if the caller sends one.
    pub key: Option<account::Key>,
}

impl RequestHead {
    /// Expected number of output tokens: the caller's estimate within its limit; zero if unknown.
    pub fn output_tokens(&self) -> u32 {
        let most = self.tokens.map_or(0, |(_, output)| output);
        match self.expected_output {
            Some(expected) if most > 0 => expected.min(most),
            Some(expected) => expected,
            None => most,
        }
    }

    /// Whether the caller takes up a stream that broke off after an event.
    pub fn continues_stream(&self) -> bool {
        self.resume_after.is_some_and(|after| after > 0)
    }
}

/// What a replica is told about the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// What the caller sent, since the configuration holds no client accounts.
    #[default]
    Forwarded,
    /// Nothing: the caller has no account, and needs none.
    Anonymous,
    /// Name of the caller's account, in place of the credentials.
    Account(account::Name),
}

/// Values of the headers that the system adds to a request for a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddedHeaders {
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Identity that the replica must have; empty if any will do.
    pub instance: String,
    /// Priority; zero is the most urgent.
    pub priority: Option<u8>,
    /// Version that the adapter or base model must have.
    pub version: Option<u64>,
    /// Id of the event after which the stream continues.
    pub resume_after: Option<u64>,
    /// Who the caller is.
    pub identity: Identity,
}

/// Parsed head of a replica's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response answers.
    pub id: Option<String>,
    /// Whether the response carries the replica's signature.
    pub signed: bool,
    /// Whether the replica states that the request did not run.
    pub not_run: bool,
    /// Number of running requests, of waiting requests and of slots on the replica.
    pub load: Option<(u32, u32, u32)>,
    /// How long work takes on the replica, in percent of the usual, if it states that.
    pub pace: Option<Result<u32, Malformed>>,
    /// How long the replica keeps an idle connection open; a whole number of seconds.
    pub keep_alive: Option<Duration>,
    /// Identity of the replica that answers; it may not be the expected one.
    pub instance: Option<String>,
    /// Whether the replica announces that it leaves.
    pub leaving: bool,
    /// Requests a second that the replica takes from all hosts together, if it names a limit.
    pub limit: Option<f64>,
    /// Requests that the replica can reject within a second before it falls over, if it is brittle.
    pub brittle: Option<u32>,
}

/// What an order makes a replica do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load an adapter, or replace it by another version.
    Load,
    /// Unload an adapter.
    Unload,
}

/// An order to a replica to load or unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What the replica must do.
    pub operation: Operation,
    /// Adapter as MODEL/NAME.
    pub adapter: String,
    /// Version to load; `None` for the newest.
    pub version: Option<u64>,
    /// Number of orders that the replica must have accepted before; it refuses this one otherwise.
    pub expect: u64,
    /// Host that gives the order.
    pub holder: String,
    /// Epoch of the host's lease (fencing token).
    pub epoch: u64,
    /// Identity that the replica must have.
    pub instance: String,
}

/// How a replica answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// The replica is already in the state that the order asks for.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The replica has seen a newer epoch, or the lease has ended.
    Fenced,
    /// Another replica is at the address, or no connection can be made to it.
    Gone,
    /// The replica will never accept the order.
    Invalid,
    /// No clear answer: the order may be carried out now, later or never.
    Unknown,
}

/// What a replica reports about itself; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Start time in milliseconds since the Unix epoch; zero if the replica does not state it.
    pub started_at_ms: u64,
    /// Number of orders accepted since the start.
    pub accepted: u64,
    /// Adapters that are loaded, with their versions.
    pub adapters: Vec<Announcement>,
    /// Adapters that are being loaded, with their versions.
    pub loading: Vec<Announcement>,
    /// Base models on the replica.
    pub models: Vec<String>,
}

/// A page of the platform's list of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Entries that could be read.
    pub upstreams: Vec<Upstream>,
    /// Number of entries that could not be read.
    pub unreadable: usize,
    /// Token of the next page; `None` on the last page.
    pub next: Option<String>,
}

/// What an operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Accept a configuration.
    Configure,
    /// Read the accepted configuration.
    Read,
    /// Accept a new version of an adapter.
    Announce,
    /// A call that the platform does not define.
    Unknown,
}

/// What is malformed in a caller's request. The request is refused and does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Protocol of one platform.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The head is malformed.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead, Malformed>;

    /// Id of a request for the log, even if its head is malformed.
    fn request_id(&self, headers: &HeaderMap) -> String;

    /// Headers of a request for a replica: the caller's, and those that the system adds.
    fn request_headers(&self, caller: &HeaderMap, added: &AddedHeaders) -> HeaderMap;

    /// Parses the head of a replica's response.
    fn parse_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Headers of the response to the caller, made from those of the replica's response. They may
    /// include the replica's signature, so they must only be sent with the replica's own status and
    /// body.
    fn response_headers(&self, replica: &HeaderMap) -> HeaderMap;

    /// Whether a method and path are those of the balancer's readiness probe.
    fn is_probe(&self, method: &Method, path: &str) -> bool;

    /// Path of a page of the list; `page` is its token, or `None` for the first page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Parses a page of the list.
    ///
    /// # Errors
    ///
    /// The bytes are not a page of a list. Unreadable entries are counted instead.
    fn parse_list_page(&self, bytes: &[u8]) -> Result<Page, String>;

    /// Method, path, headers and body of the request that carries an order.
    fn encode_order(&self, order: &Order) -> (Method, &'static str, HeaderMap, Bytes);

    /// Outcome of an order, from the status of the replica's response.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// Path under which a replica serves its report.
    fn report_path(&self) -> &'static str;

    /// Parses a replica's report.
    ///
    /// # Errors
    ///
    /// The bytes are not a report.
    fn parse_report(&self, bytes: &[u8]) -> Result<Report, String>;

    /// What an operator requests with a method and path.
    fn operator_request(&self, method: &Method, path: &str) -> OperatorRequest;

    /// Parses and validates a routing configuration.
    ///
    /// # Errors
    ///
    /// The configuration cannot be parsed or is not valid.
    fn parse_configuration(&self, bytes: &[u8]) -> Result<Configuration, ConfigurationError>;

    /// Parses the announcement of an adapter's version.
    ///
    /// # Errors
    ///
    /// The bytes are not an announcement.
    fn parse_announcement(&self, bytes: &[u8]) -> Result<Announcement, String>;
}
