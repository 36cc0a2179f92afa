//! Handles a caller's request: finds its route, selects an upstream, sends the request, retries it
//! where that is allowed, and relays the response.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
    http::request,
};
use tokio::time::{Duration, Instant, timeout_at};

use super::{
    Gateway,
    bodies::{read_body, read_upstream_body},
    callers::{self, Phase},
    configuration::{Configuration, Limits, Route, RouteKind},
    exchange::{FailedAttempt, Job, Resumption, UpstreamResponse, exchange},
    identity::{check_caller, identify},
    quarantine::{
        CONVICTED_REASON, CONVICTED_RETRY_AFTER, SUSPECTED_REASON, Standing, request_digest,
        request_keys,
    },
    relay::{Body, Stream, StreamTiming},
    select::{await_current_list, select_upstream},
};
use crate::{entry::retry::may_repeat, verdict::Verdict};

/// `Retry-After` of a rejection when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a rejection for a suspicion to crash replicas, without a leader that could let the
/// request run alone.
const SUSPECTED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum time that a stream needs. With less time left, a stream request is not retried and a request
/// stops waiting for its adapter.
pub const MIN_SERVICE_TIME: Duration = Duration::from_millis(300);
/// Time without a notice from the leader after which the configuration may lack a newly added route.
/// It is well under the time within which the platform wants an accepted configuration in force.
pub const ROUTES_STALE_AFTER: Duration = Duration::from_millis(1000);
/// Longest time for which a request waits for a host that has just started to learn the configuration
/// and the upstreams.
pub const STARTUP_WAIT: Duration = Duration::from_millis(900);
/// Time after the start of a host from which requests do not wait for its first configuration.
const STARTUP_TIME: Duration = Duration::from_secs(5);

/// Why the gateway answers a request itself instead of relaying an upstream's response.
#[derive(Debug)]
pub struct Rejection {
    /// Status of the response to the caller.
    pub status: StatusCode,
    /// Reason for the log.
    pub reason: String,
    /// Value of the `Retry-After` header; `None` leaves the header out.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed, since the request may not have been read to its end.
    pub closes_connection: bool,
}

impl Rejection {
    pub(super) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after: None,
            closes_connection: false,
        }
    }

    /// Rejects a request that did not run and may be sent again later.
    pub fn retry_later(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.into(),
            retry_after: Some(DEFAULT_RETRY_AFTER),
            closes_connection: false,
        }
    }

    /// Rejects a request that did not run since its account has used its quota.
    pub fn over_quota(reason: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::TOO_MANY_REQUESTS, reason)
        }
    }

    /// Rejects a request that does not run since it, or a part of its prompt, may crash replicas.
    pub fn quarantined(standing: Standing) -> Self {
        let (reason, after) = match standing {
            Standing::Convicted => (CONVICTED_REASON, CONVICTED_RETRY_AFTER),
            Standing::Clear | Standing::Suspected => (SUSPECTED_REASON, SUSPECTED_RETRY_AFTER),
        };
        Self {
            retry_after: Some(after),
            ..Self::retry_later(reason)
        }
    }

    /// Rejects a request that is not answered when the host stops. It may have run if it was sent to an
    /// upstream.
    pub fn host_stops(trace: &Trace) -> Self {
        let reason = "the host stops";
        match trace.tried.is_empty() {
            true => Self::retry_later(reason),
            false => Self::new(StatusCode::BAD_GATEWAY, reason),
        }
    }

    /// Response to the caller, with an empty body.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::full(Bytes::new()));
        *response.status_mut() = self.status;
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        if let Some(after) = self.retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// What happened to a request so far, for its log line and for the decision whether to send it
/// again.
#[derive(Debug, Default)]
pub struct Trace {
    /// Attempts that reached an upstream.
    pub arrivals: u32,
    /// Names of the upstreams that were tried, in order.
    pub tried: Vec<String>,
    /// Time until the leader assigned a replica or, without a leader, until a replica had the
    /// adapter; summed over all attempts.
    pub replica_wait: Duration,
    /// Why the last failed attempt failed; empty if none failed.
    pub last_failure: String,
    /// Whether a leader may have recorded a software version at which the stream begins.
    pub may_be_recorded: bool,
    /// Whether an attempt may have run. If so, a later refusal does not prove that the request did not
    /// run.
    pub may_have_run: bool,
    /// Whether the request was counted against its account's quota.
    pub is_counted: bool,
}

/// Handles a caller's request, and returns the response to the caller. `trace` records the
/// attempts, also if the request is rejected.
///
/// # Errors
///
/// The request is rejected: no upstream's response can be relayed.
pub async fn handle_request(
    gateway: &Arc<Gateway>,
    connection: &callers::Guard,
    request: Request<Incoming>,
    trace: &mut Trace,
) -> Result<Response<Body>, Rejection> {
    let received_at = Instant::now();
    let (head, mut body) = request.into_parts();
    let known = gateway.view().configuration.clone();
    let (configuration, read) = match known {
        Some(configuration) => (configuration, None),
        None => {
            // Callers give up on a request that is not read, so it is read before the wait.
            let limit = Limits::default().max_body_bytes;
            let read = read_body(gateway, connection, &mut body, limit).await;
            let read = read.map_err(|rejection| Rejection {
                closes_connection: true,
                ..Rejection::retry_later(rejection.reason)
            })?;
            let wait_until = received_at + startup_wait(gateway, &head);
            (await_configuration(gateway, wait_until).await?, Some(read))
        }
    };
    let is_current = gateway.heard_leader_within(ROUTES_STALE_AFTER);
    let route = find_route(&configuration, &head, is_current)?;
    let caller_head = gateway
        .dialect
        .parse_request_head(&head)
        .map_err(|malformed| Rejection::new(StatusCode::BAD_REQUEST, malformed.0))?;
    let caller = identify(&configuration, &route, caller_head.key, is_current)?;
    let body = match read {
        Some(read) => read,
        None => {
            let limit = configuration.limits.max_body_bytes;
            read_body(gateway, connection, &mut body, limit).await?
        }
    };
    if !connection.begin(Phase::Serving) {
        return Err(Rejection::no_room("the connection is closed for others"));
    }
    let limit = caller_head
        .timeout
        .map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let draw = rand::random_range(0..route.total_weight().max(1));
    let service = route.pick_service(draw).unwrap_or_default().to_owned();
    let identity = caller.identity();
    let digest = request_digest(&head.method, &head.uri, &head.headers, &identity, &body);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let job = Job {
        keys: request_keys(&caller_head, digest),
        head: caller_head,
        rank: configuration.rank(&route, caller.account().map(Arc::as_ref)),
        caller,
        route,
        service,
        method: head.method,
        path: path.to_owned(),
        headers: head.headers,
        body,
        digest,
        received_at,
        deadline: received_at + limit,
    };
    if job.route.kind == RouteKind::Once && !gateway.outlives(job.deadline) {
        return Err(Rejection::retry_later("the host stops before the deadline"));
    }
    gateway.budget().count_request(&job.service, received_at);
    serve(gateway, job, trace).await
}

/// Time for which a request may wait for a host that has just started: it leaves the caller at least
/// as much time for the service.
fn startup_wait(gateway: &Gateway, head: &request::Parts) -> Duration {
    let caller_head = gateway.dialect.parse_request_head(head);
    let patience = caller_head.ok().and_then(|head| head.timeout);
    patience.map_or(STARTUP_WAIT, |patience| STARTUP_WAIT.min(patience / 2))
}

/// Waits for the first configuration, which a host that has just started gets as soon as there is a
/// leader.
///
/// # Errors
///
/// It does not come in time, or has not come for so long that a wait is pointless.
async fn await_configuration(
    gateway: &Gateway,
    until: Instant,
) -> Result<Arc<Configuration>, Rejection> {
    let mut configured = gateway.configured.subscribe();
    if gateway.started_at.elapsed() < STARTUP_TIME {
        // However the wait ends, the configuration is looked up.
        let _ = timeout_at(until, configured.wait_for(|configured| *configured)).await;
    }
    let configuration = gateway.view().configuration.clone();
    configuration.ok_or_else(|| Rejection::retry_later("no configuration yet"))
}

/// Finds the route of a request.
///
/// `is_current` says whether the configuration is known to be the newest. If it is not, a request
/// without a route may be sent again later.
pub(super) fn find_route(
    configuration: &Configuration,
    head: &request::Parts,
    is_current: bool,
) -> Result<Arc<Route>, Rejection> {
    let host_header = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header).unwrap_or_default();
    let route = configuration.route(host, head.uri.path());
    route.cloned().ok_or_else(|| match is_current {
        true => Rejection::new(StatusCode::NOT_FOUND, "no route"),
        false => Rejection::retry_later("no route, and the configuration may be outdated"),
    })
}

async fn serve(
    gateway: &Arc<Gateway>,
    job: Job,
    trace: &mut Trace,
) -> Result<Response<Body>, Rejection> {
    match job.route.kind {
        RouteKind::Stream => {
            let upstream_response =
                send_with_retries(gateway, &job, trace, &Resumption::default()).await?;
            if !upstream_response.head.status.is_success() {
                let response = read_response(gateway, &job, upstream_response).await;
                return finish_request(gateway, &job, trace, response);
            }
            let mut response = response_without_body(gateway, &upstream_response);
            if job.route.resumable {
                // Another replica may write a longer or a shorter rest.
                response.headers_mut().remove(CONTENT_LENGTH);
            }
            *response.body_mut() =
                Body::stream(Stream::new(gateway.clone(), job, upstream_response, trace));
            Ok(response)
        }
        RouteKind::Idempotent | RouteKind::Once => loop {
            let upstream_response =
                send_with_retries(gateway, &job, trace, &Resumption::default()).await?;
            let response = read_response(gateway, &job, upstream_response).await;
            if let Err(failed) = &response {
                trace.last_failure.clone_from(&failed.reason);
                trace.may_have_run = true;
                if job.route.may_repeat() && try_spend_retry(gateway, &job, trace) {
                    continue;
                }
            }
            return finish_request(gateway, &job, trace, response);
        },
    }
}

/// Logs the end of a request whose response is not a stream, and turns a failure into a rejection.
fn finish_request(
    gateway: &Gateway,
    job: &Job,
    trace: &Trace,
    response: Result<Response<Body>, FailedAttempt>,
) -> Result<Response<Body>, Rejection> {
    let response = response.map_err(|failed| rejection(&failed))?;
    let outcome = response.status();
    let timing = StreamTiming::default();
    gateway.log_end(job, outcome.as_str(), Verdict::Ran, trace, &timing);
    Ok(response)
}

/// Reads the whole body of an upstream's response and builds the response to the caller.
async fn read_response(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut upstream_response: UpstreamResponse,
) -> Result<Response<Body>, FailedAttempt> {
    let mut response = response_without_body(gateway, &upstream_response);
    let read_whole = async {
        let body = read_upstream_body(gateway, job, &mut upstream_response).await?;
        gateway.confirm_whole(&upstream_response).await?;
        Ok::<Bytes, String>(body)
    };
    let body = match timeout_at(job.deadline, read_whole).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => {
            let upstream = upstream_response.guard.upstream();
            let progress = upstream_response.progress;
            gateway.log_broken(job, &upstream.name, &progress, &reason);
            gateway.report_crash(job, upstream, progress).await;
            return Err(FailedAttempt::after_sending(reason));
        }
        Err(_) => {
            let upstream = upstream_response.guard.upstream();
            // The report goes on by itself.
            drop(gateway.report_crash(job, upstream, upstream_response.progress));
            return Err(FailedAttempt::after_sending(
                "the answer is late".to_owned(),
            ));
        }
    };
    if upstream_response.head.status.is_success() && !upstream_response.ends_with_connection() {
        let upstream = upstream_response.guard.upstream();
        gateway.report_sound(job, upstream, &upstream_response.progress);
    }
    upstream_response.finish(gateway);
    *response.body_mut() = Body::full(body);
    Ok(response)
}

fn response_without_body(
    gateway: &Gateway,
    upstream_response: &UpstreamResponse,
) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = upstream_response.head.status;
    *response.headers_mut() = gateway
        .dialect
        .response_headers(&upstream_response.head.headers);
    response
}

/// Sends a request until an upstream answers it or it may not be sent again.
///
/// # Errors
///
/// No upstream answered, and the request may not be sent again.
pub async fn send_with_retries(
    gateway: &Arc<Gateway>,
    job: &Job,
    trace: &mut Trace,
    resumption: &Resumption,
) -> Result<UpstreamResponse, Rejection> {
    loop {
        // What runs goes on, also at another replica.
        if resumption.after.is_none() {
            check_caller(gateway, job).map_err(|rejection| if_not_run(rejection, trace))?;
        }
        let selected = select_upstream(gateway, job, resumption, trace).await;
        let selected = selected.map_err(|rejection| if_not_run(rejection, trace))?;
        trace.tried.push(selected.upstream.name.clone());
        let outcome = exchange(gateway, job, selected, resumption.after).await;
        let failed = match outcome {
            Ok(upstream_response) => {
                trace.arrivals += 1;
                let retry =
                    upstream_response.head.status.is_server_error() && job.route.may_repeat();
                if !retry {
                    return final_response(job, upstream_response);
                }
                trace.last_failure = format!("upstream answered {}", upstream_response.head.status);
                trace.may_have_run = true;
                if !try_spend_retry(gateway, job, trace) {
                    return final_response(job, upstream_response);
                }
                continue;
            }
            Err(failed) => failed,
        };
        if failed.withdrawn {
            trace.tried.pop();
        }
        if failed.needs_list && !await_current_list(gateway, job).await {
            return Err(if_not_run(rejection(&failed), trace));
        }
        trace.arrivals += u32::from(failed.arrived);
        trace.last_failure.clone_from(&failed.reason);
        trace.may_have_run |= failed.verdict != Verdict::NotRun;
        let repeat = may_repeat(failed.verdict, job.route.may_repeat(), false);
        if !repeat || (failed.arrived && !try_spend_retry(gateway, job, trace)) {
            return Err(if_not_run(rejection(&failed), trace));
        }
        if Instant::now() + MIN_SERVICE_TIME >= job.deadline && job.route.kind == RouteKind::Stream
        {
            return Err(if_not_run(rejection(&failed), trace));
        }
    }
}

/// Returns the last response for relaying. If the request ran and must not be repeated, a status that
/// tells the caller that it did not run is replaced by a 502.
fn final_response(
    job: &Job,
    upstream_response: UpstreamResponse,
) -> Result<UpstreamResponse, Rejection> {
    let implies_not_run = matches!(
        upstream_response.head.status.as_u16(),
        408 | 421 | 429 | 503
    );
    if implies_not_run && !job.route.may_repeat() {
        let reason = format!(
            "upstream answered {} after it ran",
            upstream_response.head.status
        );
        return Err(Rejection::new(StatusCode::BAD_GATEWAY, reason));
    }
    Ok(upstream_response)
}

fn rejection(failed: &FailedAttempt) -> Rejection {
    match failed.verdict {
        Verdict::NotRun => Rejection::retry_later(failed.reason.clone()),
        Verdict::Ran | Verdict::MayHaveRun => {
            Rejection::new(StatusCode::BAD_GATEWAY, failed.reason.clone())
        }
    }
}

/// Turns a rejection which tells the caller that the request did not run into a 502 if an earlier attempt may
/// have run.
fn if_not_run(rejection: Rejection, trace: &Trace) -> Rejection {
    let implies_not_run = matches!(
        rejection.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::UNAUTHORIZED
    );
    if trace.may_have_run && implies_not_run {
        return Rejection::new(StatusCode::BAD_GATEWAY, rejection.reason);
    }
    rejection
}

/// Spends one retry of the budget and returns true if a request may be sent once more: neither the
/// route's maximum number of attempts nor the deadline is reached, and the budget allows a retry.
pub fn try_spend_retry(gateway: &Gateway, job: &Job, trace: &Trace) -> bool {
    if trace.arrivals >= job.route.max_attempts.max(1) {
        return false;
    }
    let now = Instant::now();
    if now >= job.deadline {
        return false;
    }
    let hosts = gateway.view().hosts;
    let allowed = gateway.budget().try_spend(&job.service, hosts, now);
    if allowed {
        gateway.metrics.retries.inc();
    }
    allowed
}
