//! The path of a caller's request: classify, route, choose, attempt, relay.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{HOST, HeaderValue, RETRY_AFTER},
    http::request,
};
use tokio::time::{Duration, Instant, timeout, timeout_at};

use super::{
    Gateway,
    ask::{Answer, ask},
    choose::{Choice, Need, choose},
    configuration::{Configuration, Route, RouteKind},
    exchange::{self, Failed, Found, Job, exchange},
    relay::{Body, Progress, Stream},
};
use crate::{entry::retry::may_repeat, verdict::Verdict};

/// Time after which a caller may come back when nothing is known that would serve it sooner.
const RETRY_SOON: Duration = Duration::from_millis(500);
/// Time that a stream needs at least; a job that has less left is not sent any more.
const SERVE_MIN: Duration = Duration::from_millis(300);
/// Time without a notice after which a route that is not known may have been added; well under the
/// time in which the platform wants an accepted configuration in force.
const ROUTES_STALE: Duration = Duration::from_millis(1000);
/// Longest wait for a change of places before the choice is made again.
const PLACES_WAIT: Duration = Duration::from_millis(200);
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a caller gets no answer of an upstream.
#[derive(Debug)]
pub struct Rejection {
    /// Status.
    pub status: StatusCode,
    /// Word for the log.
    pub reason: String,
    /// Time after which the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// The job did not run and may come back.
    pub fn later(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.into(),
            retry_after: Some(RETRY_SOON),
        }
    }

    /// The response that tells the caller.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::whole(Bytes::new()));
        *response.status_mut() = self.status;
        if let Some(after) = self.retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// What happened to a job, for its log line.
#[derive(Debug, Default)]
pub struct Trace {
    /// Attempts that reached an upstream.
    pub arrivals: u32,
    /// Upstreams that were tried.
    pub tried: Vec<String>,
    /// Time spent waiting for an adapter.
    pub stalled: Duration,
    /// Reason of the last failed attempt.
    pub last_failure: String,
    /// Whether an attempt may have run, so that no later refusal proves that the job did not.
    pub may_have_run: bool,
}

/// Answers a caller's request.
///
/// # Errors
///
/// What the caller is told instead of an upstream's answer.
pub async fn answer(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    trace: &mut Trace,
) -> Result<Response<Body>, Rejection> {
    let came = Instant::now();
    let configuration = gateway.view().configuration.clone();
    let Some(configuration) = configuration else {
        return Err(Rejection::later("no configuration yet"));
    };
    let (head, body) = request.into_parts();
    let current = gateway.hears_leader(ROUTES_STALE);
    let route = find_route(&configuration, &head, current)?;
    let call = gateway
        .dialect
        .call(&head)
        .map_err(|malformed| Rejection::new(StatusCode::BAD_REQUEST, malformed.0))?;
    let body = read_body(body, configuration.limits.max_body_bytes).await?;
    let limit = call
        .patience
        .map_or(route.timeout, |patience| patience.min(route.timeout));
    let draw = rand::random_range(0..route.total_weight().max(1));
    let service = route.pick_service(draw).unwrap_or_default().to_owned();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let job = Job {
        call,
        route,
        service,
        method: head.method,
        path: path.to_owned(),
        headers: head.headers,
        body,
        came,
        until: came + limit,
    };
    gateway.budget().request(&job.service, came);
    serve(gateway, job, trace).await
}

/// The route of a request; `current` says whether the configuration is known to be the newest.
pub(super) fn find_route(
    configuration: &Configuration,
    head: &request::Parts,
    current: bool,
) -> Result<Arc<Route>, Rejection> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let route = configuration.route(host, head.uri.path());
    route.cloned().ok_or_else(|| match current {
        true => Rejection::new(StatusCode::NOT_FOUND, "no route"),
        false => Rejection::later("no route, and the configuration may be outdated"),
    })
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Rejection> {
    let whole = Limited::new(body, limit).collect();
    match timeout(BODY_TIMEOUT, whole).await {
        Err(_) => Err(Rejection::new(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        )),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Rejection::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(_)) => Err(Rejection::new(
            StatusCode::BAD_REQUEST,
            "the body did not arrive whole",
        )),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

async fn serve(
    gateway: &Arc<Gateway>,
    job: Job,
    trace: &mut Trace,
) -> Result<Response<Body>, Rejection> {
    match job.route.kind {
        RouteKind::Stream => {
            let answer = attempt(gateway, &job, trace, None).await?;
            if !answer.head.status.is_success() {
                let response = whole(gateway, &job, answer).await;
                return ended(gateway, &job, trace, response);
            }
            let mut response = respond(gateway, &answer);
            *response.body_mut() = Body::stream(Stream::new(gateway.clone(), job, answer, trace));
            Ok(response)
        }
        RouteKind::Idempotent | RouteKind::Once => loop {
            let answer = attempt(gateway, &job, trace, None).await?;
            let response = whole(gateway, &job, answer).await;
            if let Err(failed) = &response {
                trace.last_failure.clone_from(&failed.reason);
                trace.may_have_run = true;
                if job.route.may_repeat() && may_send_again(gateway, &job, trace) {
                    continue;
                }
            }
            return ended(gateway, &job, trace, response);
        },
    }
}

/// Logs how a job ended whose answer is not a stream.
fn ended(
    gateway: &Gateway,
    job: &Job,
    trace: &Trace,
    response: Result<Response<Body>, Failed>,
) -> Result<Response<Body>, Rejection> {
    let response = response.map_err(|failed| rejection(&failed))?;
    let outcome = response.status();
    let progress = Progress::default();
    gateway.log_end(job, outcome.as_str(), Verdict::Ran, trace, &progress);
    Ok(response)
}

/// Reads an answer to its end and makes the caller's response of it.
async fn whole(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut answer: exchange::Answer,
) -> Result<Response<Body>, Failed> {
    let mut response = respond(gateway, &answer);
    let limit = MAX_WHOLE;
    let read = async {
        let mut bytes = bytes::BytesMut::new();
        while let Some(frame) = answer.body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
            if bytes.len() > limit {
                return Err("the answer is too large".to_owned());
            }
        }
        Ok::<Bytes, String>(bytes.freeze())
    };
    let body = match timeout_at(job.until, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => return Err(Failed::after_sending(reason)),
        Err(_) => return Err(Failed::after_sending("the answer is late".to_owned())),
    };
    answer.finish(gateway);
    *response.body_mut() = Body::whole(body);
    Ok(response)
}

/// Largest answer that is not a stream, in bytes.
const MAX_WHOLE: usize = 32 << 20;

fn respond(gateway: &Gateway, answer: &exchange::Answer) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = gateway.dialect.answer(&answer.head.headers);
    response
}

/// Sends a job until an upstream answers it, or it may not be sent again.
///
/// # Errors
///
/// What the caller is told instead.
pub async fn attempt(
    gateway: &Arc<Gateway>,
    job: &Job,
    trace: &mut Trace,
    resume_after: Option<u64>,
) -> Result<exchange::Answer, Rejection> {
    loop {
        let found = find(gateway, job, trace).await;
        let found = found.map_err(|rejection| honest(rejection, trace))?;
        trace.tried.push(found.upstream.name.clone());
        let outcome = exchange(gateway, job, found, resume_after).await;
        let failed = match outcome {
            Ok(answer) => {
                trace.arrivals += 1;
                let again = answer.head.status.is_server_error() && job.route.may_repeat();
                if !again {
                    return final_answer(job, answer);
                }
                trace.last_failure = format!("upstream answered {}", answer.head.status);
                trace.may_have_run = true;
                if !may_send_again(gateway, job, trace) {
                    return final_answer(job, answer);
                }
                continue;
            }
            Err(failed) => failed,
        };
        trace.arrivals += u32::from(failed.arrived);
        trace.last_failure.clone_from(&failed.reason);
        trace.may_have_run |= failed.verdict != Verdict::NotRun;
        let repeat = may_repeat(failed.verdict, job.route.may_repeat(), false);
        if !repeat || (failed.arrived && !may_send_again(gateway, job, trace)) {
            return Err(honest(rejection(&failed), trace));
        }
        if Instant::now() + SERVE_MIN >= job.until && job.route.kind == RouteKind::Stream {
            return Err(honest(rejection(&failed), trace));
        }
    }
}

/// An answer of the upstream, unless its status would promise that the job did not run.
fn final_answer(job: &Job, answer: exchange::Answer) -> Result<exchange::Answer, Rejection> {
    let promises = matches!(answer.head.status.as_u16(), 408 | 421 | 429 | 503);
    if promises && !job.route.may_repeat() {
        let reason = format!("upstream answered {} after it ran", answer.head.status);
        return Err(Rejection::new(StatusCode::BAD_GATEWAY, reason));
    }
    Ok(answer)
}

fn rejection(failed: &Failed) -> Rejection {
    match failed.verdict {
        Verdict::NotRun => Rejection::later(failed.reason.clone()),
        Verdict::Ran | Verdict::MayHaveRun => {
            Rejection::new(StatusCode::BAD_GATEWAY, failed.reason.clone())
        }
    }
}

/// A rejection that promises nothing if an earlier attempt may have run.
fn honest(rejection: Rejection, trace: &Trace) -> Rejection {
    if trace.may_have_run && rejection.status == StatusCode::SERVICE_UNAVAILABLE {
        return Rejection::new(StatusCode::BAD_GATEWAY, rejection.reason);
    }
    rejection
}

/// Whether attempts and budget allow that one more upstream gets the job.
pub fn may_send_again(gateway: &Gateway, job: &Job, trace: &Trace) -> bool {
    if trace.arrivals >= job.route.max_attempts.max(1) {
        return false;
    }
    let now = Instant::now();
    if now >= job.until {
        return false;
    }
    let hosts = gateway.view().hosts;
    let allowed = gateway.budget().spend(&job.service, hosts, now);
    if allowed {
        gateway.metrics.repeats.inc();
    }
    allowed
}

/// Finds an upstream, waiting for the adapter where no replica has it.
async fn find(gateway: &Arc<Gateway>, job: &Job, trace: &mut Trace) -> Result<Found, Rejection> {
    let began = Instant::now();
    if job.call.model.is_some() {
        match ask(gateway, job, &trace.tried).await {
            Answer::Granted(upstream, version, grant) => {
                trace.stalled += began.elapsed();
                gateway
                    .metrics
                    .stalls
                    .observe(began.elapsed().as_secs_f64());
                return Ok(Found {
                    upstream,
                    version,
                    grant: Some(grant),
                });
            }
            Answer::Refused(rejection) => return Err(rejection),
            Answer::NoLeader => {}
        }
        if let Some(adapter) = &job.call.adapter {
            gateway.view().count_request(adapter);
        }
    }
    let mut waiting: Option<Waiting> = None;
    let mut changed = gateway.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let now = Instant::now();
        let need = Need {
            service: &job.service,
            model: job.call.model.as_deref(),
            adapter: job.call.adapter.as_deref(),
            tried: &trace.tried,
            zone: &gateway.zone,
        };
        let choice = choose(&gateway.view(), &need, now);
        match choice {
            Choice::Send(upstream, version) => {
                if waiting.is_some() {
                    trace.stalled += now - began;
                    gateway.metrics.stalls.observe((now - began).as_secs_f64());
                }
                return Ok(Found {
                    upstream,
                    version,
                    grant: None,
                });
            }
            Choice::Nobody => return Err(Rejection::later("no upstream of the service is live")),
            Choice::Absent if now + SERVE_MIN >= job.until => {
                return Err(Rejection::later("the adapter was not loaded in time"));
            }
            Choice::Absent => {}
        }
        if waiting.is_none()
            && let Some(adapter) = &job.call.adapter
        {
            waiting = Some(Waiting::new(gateway.clone(), adapter.clone()));
        }
        let deadline = job.until.min(now + PLACES_WAIT);
        // An end of the wait only leads to another look.
        let _ = timeout_at(deadline, changed.changed()).await;
    }
}

/// Counts a job that waits for an adapter until it is dropped.
struct Waiting {
    gateway: Arc<Gateway>,
    adapter: String,
}

impl Waiting {
    fn new(gateway: Arc<Gateway>, adapter: String) -> Self {
        gateway.view().count_waiting(&adapter, true);
        gateway.wanted.notify_one();
        Self { gateway, adapter }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.gateway.view().count_waiting(&self.adapter, false);
    }
}
