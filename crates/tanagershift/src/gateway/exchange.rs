//! Sends a request to one upstream and checks the head of the response.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    http::response,
};
use tokio::time::{Instant, timeout_at};

use super::{
    Gateway,
    account::Caller,
    configuration::Route,
    connection::{Connection, Error},
    dialect::{AddedHeaders, RequestHead, ResponseHead},
    identity::current_caller,
    message::Upstream,
    progress::Progress,
    quarantine::Standing,
};
use crate::{admission::Origin, id, link::Call, verdict::Verdict, voter::command::Key};

/// Time without the head of a response after which its replica is checked. Callers leave somewhat
/// later, and a replica that has lost power closes no connection.
const HEAD_SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Connections to try at one upstream, since idle ones may turn out to be closed.
const MAX_CONNECTION_ATTEMPTS: usize = 3;

/// Why an attempt is given up whose answer cannot arrive.
pub const KEPT_DEAD_REASON: &str = "this host is cut off from the upstreams";

/// A caller's request, read completely and matched to a route.
#[derive(Debug)]
pub struct Job {
    /// Parsed head of the request.
    pub head: RequestHead,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Who sent it, as far as the configuration tells callers apart.
    pub caller: Caller,
    /// Rank among all requests; zero is the most urgent.
    pub rank: u8,
    /// Service that was drawn from the route's targets.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Digest by which the request is known when it comes again.
    pub digest: id::RequestDigest,
    /// Everything about the request that may crash replicas.
    pub keys: Vec<Key>,
    /// When the head of the request arrived.
    pub received_at: Instant,
    /// When the complete response is due.
    pub deadline: Instant,
}

impl Job {
    /// Name of the caller's account; empty without one.
    pub fn account_name(&self) -> String {
        let account = self.caller.account();
        account.map_or_else(String::new, |account| account.name.to_string())
    }

    /// What the request uses of its account's quota, in the quota's units; zero without a quota.
    pub fn cost(&self) -> u64 {
        let account = self.caller.account();
        let quota = account.and_then(|account| account.quota);
        quota.map_or(0, |quota| quota.unit.cost(self.head.tokens))
    }
}

/// What the rest of an answer must continue.
#[derive(Clone, Debug, Default)]
pub struct Resumption {
    /// Id of the event after which the stream continues.
    pub after: Option<u64>,
    /// Software version that wrote the events so far; `None` before the first.
    pub software: Option<id::Software>,
}

/// An upstream's response whose head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head of the response.
    pub head: response::Parts,
    /// The same head, parsed.
    pub parsed_head: ResponseHead,
    /// Body, which may still be arriving.
    pub body: Incoming,
    /// Connection that carries the response; it is free once the whole body has arrived.
    pub connection: Connection,
    /// Keeps the request counted as open at its upstream.
    pub guard: UpstreamRequestGuard,
    /// How far the response has come.
    pub progress: Progress,
}

impl UpstreamResponse {
    /// Whether the body has neither a length nor chunks, so that the end of the connection is its
    /// end (RFC 9112, section 6.3).
    pub fn ends_with_connection(&self) -> bool {
        // A response without a body, as one to HEAD.
        if self.body.is_end_stream() {
            return false;
        }
        let headers = &self.head.headers;
        match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            Some(codings) => !ends_with_chunked(codings),
            None => !headers.contains_key(CONTENT_LENGTH),
        }
    }

    /// Returns the connection to the pool, unless the upstream closes it. The whole body must have
    /// been read.
    pub fn finish(self, gateway: &Gateway) {
        let name = &self.guard.upstream().name;
        if gateway.view().admission.is_leaving(name, Instant::now()) {
            return;
        }
        if self.head.status.is_success() {
            let (service, time) = (&self.guard.upstream.service, self.guard.sent_at.elapsed());
            gateway.view().shares.record_run(service, time);
        }
        let connection_header = self.head.headers.get(hyper::header::CONNECTION);
        if connection_header.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let idle_limit = self.parsed_head.keep_alive;
        gateway
            .pool
            .put(self.connection, idle_limit, Instant::now());
    }
}

/// Whether the last of the transfer codings is `chunked`.
fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.to_str().unwrap_or("").rsplit(',').next();
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// An attempt that ended without a usable response.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the upstream received the request, even if it refused it.
    pub arrived: bool,
    /// Whether the upstream was not tried, since the request or a part of its prompt may crash it, or
    /// since it may not be the listed run.
    pub withdrawn: bool,
    /// Whether a current list is needed first.
    pub needs_list: bool,
    /// Why the attempt failed.
    pub reason: String,
}

/// Counts a request as open at its upstream until dropped.
#[derive(Debug)]
pub struct UpstreamRequestGuard {
    gateway: Arc<Gateway>,
    upstream: Arc<Upstream>,
    /// Watch in which the leader has assigned the request; `None` if the gateway selected the upstream.
    assigned_in: Option<u64>,
    sent_at: Instant,
    /// Call to the leader that let the request run. Closing it tells the leader that the request has
    /// ended.
    _grant: Option<Call>,
}

impl UpstreamRequestGuard {
    fn new(gateway: Arc<Gateway>, selected: SelectedUpstream) -> Self {
        let (name, is_assigned) = (&selected.upstream.name, selected.is_assigned);
        let assigned_in = gateway.view().count_opened(name, is_assigned);
        Self {
            gateway,
            upstream: selected.upstream,
            assigned_in,
            sent_at: Instant::now(),
            _grant: selected.grant,
        }
    }

    /// Upstream that the request was sent to.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }
}

impl Drop for UpstreamRequestGuard {
    fn drop(&mut self) {
        let name = &self.upstream.name;
        self.gateway.view().count_closed(name, self.assigned_in);
    }
}

/// An upstream that was selected for a request.
#[derive(Debug)]
pub struct SelectedUpstream {
    /// Its entry in the upstream list.
    pub upstream: Arc<Upstream>,
    /// Version of the adapter or base model that the request must run on; `None` if any will do.
    pub version: Option<u64>,
    /// Call to the leader, if it let the request run.
    pub grant: Option<Call>,
    /// Whether the leader selected the upstream.
    pub is_assigned: bool,
    /// Whether the leader lets the request run although it, or a part of its prompt, is suspected.
    pub is_trial: bool,
}

/// Sends a request to an upstream and waits for the head of the response.
///
/// # Errors
///
/// No response arrived that may be relayed; the error says whether the request may have run.
pub async fn exchange(
    gateway: &Arc<Gateway>,
    job: &Job,
    selected: SelectedUpstream,
    resume_after: Option<u64>,
) -> Result<UpstreamResponse, FailedAttempt> {
    let version = selected.version;
    let clearance = Clearance {
        is_trial: selected.is_trial,
        is_assigned: selected.is_assigned,
    };
    let upstream = &selected.upstream.clone();
    let guard = UpstreamRequestGuard::new(gateway.clone(), selected);
    let mut progress = Progress::new(Instant::now());
    let sent = send(gateway, job, upstream, version, resume_after, clearance);
    let mut sent = pin!(timeout_at(job.deadline, sent));
    let checked_at = progress.last_heard_at() + HEAD_SILENCE_LIMIT;
    let outcome = match timeout_at(checked_at, sent.as_mut()).await {
        Ok(outcome) => outcome,
        Err(_) => {
            // The report goes on by itself.
            drop(gateway.report_crash(job, upstream, progress));
            sent.await
        }
    };
    let now = Instant::now();
    let (connection, response) = match outcome {
        Err(_) => {
            // The report goes on by itself.
            drop(gateway.report_crash(job, upstream, progress));
            let reason = "no answer in time".to_owned();
            return Err(FailedAttempt::after_sending(reason));
        }
        Ok(Err(error)) => {
            record_error(gateway, upstream, &error, now);
            if let Error::Broken { reason } = &error {
                gateway.log_broken(job, &upstream.name, &progress, reason);
                gateway.report_crash(job, upstream, progress).await;
            }
            return Err(FailedAttempt {
                verdict: error.verdict(),
                arrived: error.verdict() != Verdict::NotRun,
                withdrawn: matches!(
                    error,
                    Error::Quarantined | Error::Unconfirmed | Error::Unauthorized
                ),
                needs_list: matches!(error, Error::Unconfirmed),
                reason: error.to_string(),
            });
        }
        Ok(Ok(answered)) => answered,
    };
    progress.record_head(now);
    connection.record_heard(now);
    let (head, body) = response.into_parts();
    let parsed_head = gateway.dialect.parse_response_head(&head);
    gateway.apply_signal(upstream, &head, &parsed_head, Origin::Answer);
    if parsed_head.id.as_deref() == Some(job.head.id.as_str()) {
        gateway.observe_limit(upstream, &parsed_head);
        gateway.observe_brittle(upstream, &parsed_head);
    }
    let response = UpstreamResponse {
        head,
        parsed_head,
        body,
        connection,
        guard,
        progress,
    };
    check_response(gateway, job, response, now)
}

fn record_error(gateway: &Gateway, upstream: &Upstream, error: &Error, now: Instant) {
    let is_cut_off = gateway.reach.lock().is_cut_off_from(&upstream.service);
    let upstream = &upstream.name;
    let mut view = gateway.view();
    match error {
        Error::Connect { .. } => {
            view.record_unreachable(upstream, now);
            gateway.tally_wanted.notify_one();
        }
        // What breaks at a host that is cut off says nothing about the upstream.
        Error::Unsent | Error::Broken { .. } if is_cut_off => {}
        Error::Unsent | Error::Broken { .. } => view.record_failure(upstream, now),
        Error::Withheld | Error::Quarantined | Error::Unconfirmed | Error::Unauthorized => {}
    }
}

/// What the leader has decided about a request.
#[derive(Clone, Copy, Debug)]
struct Clearance {
    /// It may run although it, or a part of its prompt, is suspected.
    is_trial: bool,
    /// It was assigned to its upstream.
    is_assigned: bool,
}

async fn send(
    gateway: &Gateway,
    job: &Job,
    upstream: &Upstream,
    version: Option<u64>,
    resume_after: Option<u64>,
    clearance: Clearance,
) -> Result<(Connection, Response<Incoming>), Error> {
    let mut last_error = Error::Unsent;
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut connection = gateway.connect(upstream).await?;
        // Decided after connecting, which takes time.
        let caller = current_caller(gateway, job, resume_after);
        let caller = caller.map_err(|_| Error::Unauthorized)?;
        let added = AddedHeaders {
            time_left: job.deadline.saturating_duration_since(Instant::now()),
            instance: upstream.instance.clone(),
            priority: job.head.model.is_some().then_some(job.rank),
            version,
            resume_after: resume_after.or(job.head.resume_after),
            identity: caller.identity(),
        };
        let request = build_request(gateway, job, &added)?;
        if let Err(access) = gateway.admit(&upstream.name) {
            gateway.log_withheld(&job.head.id, &upstream.name, access);
            return Err(Error::Withheld);
        }
        let standing = gateway.quarantine().standing(&job.keys);
        if standing == Standing::Convicted || standing == Standing::Suspected && !clearance.is_trial
        {
            return Err(Error::Quarantined);
        }
        // The list says which software runs on an upstream.
        let is_listed_run = gateway.view().confirms_run(connection.opened_at());
        if job.route.resumable && !clearance.is_assigned && !is_listed_run {
            let (request, name) = (&job.head.id, &upstream.name);
            log::info!("event=software.unconfirmed request={request} upstream={name}");
            gateway.metrics.unconfirmed_runs.inc();
            return Err(Error::Unconfirmed);
        }
        // The leader has counted the requests that it assigned.
        let now = Instant::now();
        if !clearance.is_assigned && !gateway.view().limits.take(&upstream.name, now) {
            return Err(Error::Withheld);
        }
        if !clearance.is_assigned && !gateway.view().is_within_share(upstream) {
            return Err(Error::Withheld);
        }
        let is_abandoned = may_abandon(job, &connection);
        let sent = tokio::select! {
            sent = connection.send(request) => sent,
            () = gateway.kept_dead(&upstream.service), if is_abandoned => Err(Error::Broken {
                reason: KEPT_DEAD_REASON.to_owned(),
            }),
        };
        match sent {
            Ok(response) => return Ok((connection, response)),
            Err(Error::Unsent) => last_error = Error::Unsent,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

/// Whether an attempt is given up when the connections that this host has kept are dead: it is, if the
/// request can be sent again through another host.
pub fn may_abandon(job: &Job, connection: &Connection) -> bool {
    !connection.is_detour() && job.route.may_repeat()
}

fn build_request(
    gateway: &Gateway,
    job: &Job,
    added: &AddedHeaders,
) -> Result<Request<super::connection::Body>, Error> {
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(&job.path)
        .body(job.body.clone().into())
        .map_err(|error| Error::Connect {
            reason: error.to_string(),
        })?;
    *request.headers_mut() = gateway.dialect.request_headers(&job.headers, added);
    Ok(request)
}

/// Checks that a response may be relayed, and records the upstream's load and the outcome in the
/// view.
///
/// # Errors
///
/// The response answers another request, says that this one did not run, or is successful but lacks
/// the replica's signature.
fn check_response(
    gateway: &Gateway,
    job: &Job,
    response: UpstreamResponse,
    now: Instant,
) -> Result<UpstreamResponse, FailedAttempt> {
    let name = &response.guard.upstream().name;
    let status = response.head.status;
    let mut view = gateway.view();
    if let Some((running, waiting, _)) = response.parsed_head.load {
        view.record_load(name, running, waiting, now);
    }
    match response.parsed_head.pace {
        Some(Ok(percent)) => {
            let service = &response.guard.upstream().service;
            view.paces.record_stated(service, name, percent, now);
        }
        Some(Err(_)) => drop(gateway.metrics.malformed_paces.inc()),
        None => {}
    }
    let matches_request = response.parsed_head.id.as_deref() == Some(job.head.id.as_str());
    let refuses = response.parsed_head.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    // A refusal without an id may be a copy of an earlier one on the same connection.
    if !matches_request && (refuses || response.parsed_head.id.is_some()) {
        view.record_failure(name, now);
        let reason = "the answer does not belong to the request".to_owned();
        return Err(FailedAttempt::after_sending(reason));
    }
    if refuses {
        if status == StatusCode::MISDIRECTED_REQUEST {
            // The replica lacks the adapter, or another replica now has the address.
            let instance = response.parsed_head.instance.as_deref();
            let is_other_instance =
                instance.is_some_and(|instance| instance != response.guard.upstream().instance);
            match (&job.head.adapter, is_other_instance) {
                (Some(adapter), false) => view.record_missing(name, adapter, now),
                _ => view.record_unreachable(name, now),
            }
        }
        drop(view);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            gateway.record_full_upstream(job, &response);
        }
        let reason = format!("refused with {status}");
        recycle_connection(gateway, response);
        return Err(FailedAttempt {
            verdict: Verdict::NotRun,
            arrived: true,
            withdrawn: false,
            needs_list: false,
            reason,
        });
    }
    if status.is_success() && !(response.parsed_head.signed && matches_request) {
        view.record_failure(name, now);
        let reason = "the answer has no signature".to_owned();
        return Err(FailedAttempt::after_sending(reason));
    }
    if status.is_server_error() {
        view.record_failure(name, now);
    } else {
        view.record_success(name);
    }
    drop(view);
    Ok(response)
}

impl Gateway {
    /// Logs and counts a request that an upstream rejected for want of room, and tells the leader if the
    /// upstream is brittle.
    fn record_full_upstream(&self, job: &Job, response: &UpstreamResponse) {
        let (guard, head) = (&response.guard, &response.parsed_head);
        let selected_by = match guard.assigned_in {
            Some(_) => "leader",
            None => "gateway",
        };
        self.metrics.count_full_upstream(selected_by);
        let name = &guard.upstream.name;
        let (own, believed) = {
            let mut view = self.view();
            view.shares.record_rejection(name, &guard.upstream.service);
            view.open_requests(name, Instant::now())
        };
        if head.brittle.is_some() {
            self.tally_wanted.notify_one();
        }
        let (running, waiting, slots) = head.load.unwrap_or((0, 0, guard.upstream.slots));
        log::info!(
            "event=upstream.full request={} upstream={name} selected_by={selected_by} \
             own_open={own} believed_open={believed} running={running} waiting={waiting} \
             slots={slots} brittle={}",
            job.head.id,
            head.brittle.map_or(-1, i64::from),
        );
    }
}

/// Returns the connection of a refusal to the pool if there is no body to read.
fn recycle_connection(gateway: &Gateway, response: UpstreamResponse) {
    if response.body.is_end_stream() {
        response.finish(gateway);
    }
}

impl FailedAttempt {
    /// Makes a failure after which the request may or may not have run.
    pub fn after_sending(reason: String) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            arrived: true,
            withdrawn: false,
            needs_list: false,
            reason,
        }
    }
}

/// Time left until a deadline; zero once it has passed.
pub fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
