//! Forwards calls to plain services, and claims calls with an idempotency key, which may run only
//! once.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep, timeout_at};

use super::{
    reply::{self, Failure, TARGET_HEADER},
    retry::may_repeat,
    server::{Call, Entry},
};
use crate::{
    admission::{LEAVING_HEADER, Origin, Signal},
    catalog::{check_name, hex},
    follower,
    gateway::connection::is_gone,
    holder::engine::{self, REQUEST_ID_HEADER},
    verdict::Verdict,
    voter::command::{Answer, Claim, Claimed, Command, Effect, Order, Outcome, Settle, Standing},
    wire::Body,
};

/// Request header with the idempotency key of a call.
const KEY_HEADER: &str = "idempotency-key";
/// Response header that marks a recorded response of an earlier call.
const REPLAYED_HEADER: &str = "x-tanagershift-replayed";
/// Maximum length of an idempotency key in bytes.
const KEY_MAX_LEN: usize = 255;
/// Upstreams that may end while they run a call; it is not sent to another one then, since it may be
/// what ends them.
const MAX_ENDED_UPSTREAMS: u32 = 2;
/// Maximum size of a response body of a plain service in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;
/// Maximum size of a recorded response body in bytes; a longer body is not kept.
const RECORDED_BODY_MAX_BYTES: usize = 64 << 10;
/// Time limit for claiming a key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for one attempt at proposing a command to the leader.
///
/// The limit can be short because the owner of a claim may safely claim it again.
const PROPOSE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for recording the result of a call, which continues in the background.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval for polling a key that another call has claimed.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before all upstreams of a service are tried again.
const SEARCH_DELAY: Duration = Duration::from_millis(100);
/// `Retry-After` for callers whose call did not run or whose key is in use.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Statuses of a failing or overloaded upstream, after which an idempotent call is retried.
const RETRYABLE_STATUSES: [StatusCode; 3] = [
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Service, path and timeout to which a call resolves.
#[derive(Clone, Debug)]
struct Target {
    service: String,
    /// Path and query at the service.
    path: String,
    timeout: Duration,
}

/// Why one attempt at an upstream got no response.
#[derive(Debug)]
struct AttemptError {
    verdict: Verdict,
    reason: String,
    /// When another call may succeed.
    retry_after: Duration,
}

impl AttemptError {
    fn new(verdict: Verdict, reason: impl Into<String>) -> Self {
        Self {
            verdict,
            reason: reason.into(),
            retry_after: RETRY_AFTER,
        }
    }
}

/// A complete response of a plain service.
#[derive(Clone, Debug)]
struct UpstreamResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Name of the upstream that responded.
    upstream: String,
}

/// Handles a call to a plain service.
///
/// # Errors
///
/// The call is invalid, its key is in use, or no upstream responded in time.
pub async fn handle(entry: &Entry, call: Call) -> Result<Response<reply::Body>, Failure> {
    let target = resolve_target(entry, &call)?;
    entry.retry_budget().deposit();
    let deadline = call.received_at + target.timeout;
    let safe = matches!(call.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let key = idempotency_key(&call.headers)?;
    let mut response = match key {
        Some(key) if !safe => call_once(entry, &call, &target, key, deadline).await?,
        _ => {
            let outcome = send_with_retries(entry, &call, &target, safe, deadline).await;
            caller_response(outcome.map_err(|error| attempt_failure(&error))?)
        }
    };
    entry.record_response("service", &mut response);
    Ok(response)
}

fn attempt_failure(error: &AttemptError) -> Failure {
    match error.verdict {
        Verdict::NotRun => Failure::unavailable("not_run", &error.reason, error.retry_after),
        Verdict::Ran | Verdict::MayHaveRun => Failure::may_have_run(&error.reason),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().trim();
    if key.is_empty() || key.len() > KEY_MAX_LEN || values.next().is_some() {
        let text = "Idempotency-Key must be one text of 1 to 255 characters";
        return Err(Failure::invalid(
            StatusCode::BAD_REQUEST,
            "invalid_key",
            text,
        ));
    }
    Ok(Some(key))
}

/// Resolves the intent in the path `/services/INTENT/...` to its service.
fn resolve_target(entry: &Entry, call: &Call) -> Result<Target, Failure> {
    let unknown = || {
        let text = "no such service";
        Failure::invalid(StatusCode::NOT_FOUND, "service_not_found", text)
    };
    let rest = call.path.strip_prefix("/services/").ok_or_else(unknown)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    check_name(name).map_err(|_| unknown())?;
    let catalog = entry.host.catalog();
    let intent = catalog.intent(name).ok_or_else(unknown)?;
    if intent.service.is_empty() {
        return Err(unknown());
    }
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    Ok(Target {
        service: intent.service.clone(),
        path,
        timeout: entry.request_timeout(call, intent.timeout),
    })
}

/// Sends a call to upstreams in order of rank until one responds or the call must not be repeated.
async fn send_with_retries(
    entry: &Entry,
    call: &Call,
    target: &Target,
    idempotent: bool,
    deadline: Instant,
) -> Result<UpstreamResponse, AttemptError> {
    let search_deadline = deadline.min(call.received_at + entry.config().search_timeout);
    let mut first = true;
    let mut last_error = AttemptError::new(Verdict::NotRun, "no upstream of the service is live");
    let mut error_response = None;
    let mut ended = 0;
    loop {
        let candidates = candidates(entry, target);
        if candidates.is_empty()
            && let Some(left) = time_paused(entry, target)
        {
            last_error.reason = "every upstream has asked for a pause".to_owned();
            last_error.retry_after = left;
            return Err(last_error);
        }
        for (name, address) in candidates {
            if !first && !entry.retry_budget().try_withdraw() {
                return error_response.ok_or(last_error);
            }
            if !first {
                entry.host.metrics.retry();
            }
            first = false;
            match try_upstream(entry, call, target, &name, &address, deadline).await {
                // Another upstream may succeed, and an idempotent call may be repeated.
                Ok(response) if idempotent && RETRYABLE_STATUSES.contains(&response.status) => {
                    error_response = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(error) => {
                    // Once an attempt may have run, the call may have run, even if a later attempt
                    // did not.
                    let may_have_run = last_error.verdict == Verdict::MayHaveRun;
                    let ran = error.verdict == Verdict::MayHaveRun;
                    let repeat = may_repeat(error.verdict, idempotent, false);
                    last_error = error;
                    if may_have_run {
                        last_error.verdict = Verdict::MayHaveRun;
                    }
                    if !repeat {
                        return Err(last_error);
                    }
                    ended += u32::from(ran && is_gone(&address, None).await);
                    if ended >= MAX_ENDED_UPSTREAMS {
                        return Err(last_error);
                    }
                }
            }
        }
        if let Some(response) = error_response {
            return Ok(response);
        }
        if Instant::now() + SEARCH_DELAY >= search_deadline {
            return Err(last_error);
        }
        sleep(SEARCH_DELAY).await;
    }
}

/// Returns the names and addresses of the upstreams to try, best first.
fn candidates(entry: &Entry, target: &Target) -> Vec<(String, String)> {
    let list = entry.host.list.borrow().clone();
    let zone = &entry.host.settings.host.zone;
    let load_tracker = entry.load_tracker();
    let ranked = load_tracker.rank_upstreams(&list, &target.service, zone, Instant::now());
    let name_and_address =
        |upstream: &crate::platform::Upstream| (upstream.name.clone(), upstream.address.clone());
    ranked.into_iter().map(name_and_address).collect()
}

/// Time until the first pause ends, if every live upstream of the service has asked for one.
fn time_paused(entry: &Entry, target: &Target) -> Option<Duration> {
    let list = entry.host.list.borrow().clone();
    let load_tracker = entry.load_tracker();
    let now = Instant::now();
    let until = load_tracker.paused_until(&list, &target.service, now)?;
    Some(until.saturating_duration_since(now))
}

/// Sends a call to one upstream and records the outcome for the ranking.
async fn try_upstream(
    entry: &Entry,
    call: &Call,
    target: &Target,
    name: &str,
    address: &str,
    deadline: Instant,
) -> Result<UpstreamResponse, AttemptError> {
    {
        let mut load_tracker = entry.load_tracker();
        let now = Instant::now();
        if let Err(access) = load_tracker.admission.admit(name, now) {
            access.log_withheld(&call.id, name, now);
            let reason = "the upstream takes no requests now";
            return Err(AttemptError::new(Verdict::NotRun, reason));
        }
        load_tracker.request_started(name);
    }
    let outcome = match timeout_at(deadline, send_request(entry, call, target, address)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(AttemptError::new(
            Verdict::MayHaveRun,
            "the deadline passed",
        )),
    };
    let mut load_tracker = entry.load_tracker();
    let now = Instant::now();
    match outcome {
        Ok(mut response) => {
            load_tracker.request_ended(name, Some(0), now);
            let leaving = response.headers.contains_key(LEAVING_HEADER);
            let signal = Signal::from_head(response.status, &response.headers, leaving);
            load_tracker
                .admission
                .observe(name, signal, Origin::Answer, now);
            response.upstream = name.to_owned();
            Ok(response)
        }
        Err(error) => {
            load_tracker.request_ended(name, None, now);
            load_tracker.record_failure(name, now);
            Err(error)
        }
    }
}

/// Sends one HTTP request to an upstream and reads the whole response.
async fn send_request(
    entry: &Entry,
    call: &Call,
    target: &Target,
    address: &str,
) -> Result<UpstreamResponse, AttemptError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", target.path))
        .body(Full::from(call.body.clone()))
        .map_err(|error| AttemptError::new(Verdict::NotRun, error.to_string()))?;
    copy_headers(&call.headers, request.headers_mut());
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        request.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    let response = entry.http.request(request).await.map_err(|error| {
        let error = engine::classify(&error);
        AttemptError::new(error.verdict(), error.to_string())
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, RESPONSE_MAX_BYTES).collect().await;
    let body = body.map_err(|error| {
        let reason = format!("the answer was cut off: {error}");
        AttemptError::new(Verdict::MayHaveRun, reason)
    })?;
    Ok(UpstreamResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
        upstream: String::new(),
    })
}

/// Copies end-to-end headers, without those that the HTTP client or server sets itself.
fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let is_skipped = |name: &HeaderName| {
        *name == HOST || name == "content-length" || HOP_BY_HOP_HEADERS.contains(&name.as_str())
    };
    for (name, value) in from.iter().filter(|(name, _)| !is_skipped(name)) {
        to.append(name.clone(), value.clone());
    }
}

fn caller_response(upstream_response: UpstreamResponse) -> Response<reply::Body> {
    let mut response = Response::new(reply::full_body(upstream_response.body));
    *response.status_mut() = upstream_response.status;
    copy_headers(&upstream_response.headers, response.headers_mut());
    if let Ok(upstream) = HeaderValue::from_str(&upstream_response.upstream) {
        response.headers_mut().insert(TARGET_HEADER, upstream);
    }
    response
}

/// Runs a call with an idempotency key at most once over all entry hosts.
///
/// The call is sent only after its key was claimed through the voters. If another call has the key,
/// this one waits for the recorded response and returns it.
async fn call_once(
    entry: &Entry,
    call: &Call,
    target: &Target,
    key: &str,
    deadline: Instant,
) -> Result<Response<reply::Body>, Failure> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let claim = Claim {
        key: format!("{}/{key}", target.service),
        digest: request_digest(call, target),
        owner: entry.unique_id(),
        millis: remaining.as_millis() as u64,
    };
    loop {
        let claimed = propose_claim(entry, &claim, deadline).await?;
        match claimed.standing() {
            Standing::Won => return send_claimed(entry, call, target, claim, deadline).await,
            Standing::Answered => return replay_response(claimed.answer.unwrap_or_default()),
            Standing::MayHaveRun => {
                let text = "an earlier request with this key may have run; its answer is lost";
                return Err(Failure::may_have_run(text));
            }
            Standing::Mismatch => {
                let text = "the key was used with another request";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                return Err(Failure::invalid(status, "key_mismatch", text));
            }
            Standing::Running if Instant::now() + CLAIM_POLL_INTERVAL >= deadline => {
                let mut failure = Failure::may_have_run("another request with this key is running");
                failure.status = StatusCode::CONFLICT;
                failure.retry_after = Some(RETRY_AFTER);
                return Err(failure);
            }
            Standing::Running => sleep(CLAIM_POLL_INTERVAL).await,
        }
    }
}

/// Returns the digest by which a repeated call is compared with the call that claimed its key.
fn request_digest(call: &Call, target: &Target) -> String {
    let mut hash = Sha256::new();
    for part in [call.method.as_str(), &target.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hex(&hash.finalize())
}

/// Proposes a claim to the leader and returns the state of the key after it.
async fn propose_claim(
    entry: &Entry,
    claim: &Claim,
    deadline: Instant,
) -> Result<Claimed, Failure> {
    let command = Command::of(Order::Claim(claim.clone()));
    let limit = deadline
        .saturating_duration_since(Instant::now())
        .min(CLAIM_TIMEOUT);
    let answer = entry
        .host
        .leader
        .ask(Body::Propose(command), limit, PROPOSE_ATTEMPT_TIMEOUT)
        .await;
    match answer {
        Ok(Body::Outcome(Outcome {
            effect: Some(Effect::Claimed(claimed)),
        })) => Ok(claimed),
        // The claim may still be committed, but the call was not sent and will not be sent under
        // it, so the key can be released.
        Ok(_) | Err(follower::Error::NoLeader) => {
            release_claim(entry, claim);
            let text = "the call could not be claimed and was not sent";
            Err(Failure::unavailable("no_leader", text, RETRY_AFTER))
        }
    }
}

/// Releases the key of a call that was not sent, in the background, as soon as a leader is found.
fn release_claim(entry: &Entry, claim: &Claim) {
    let settle = Settle {
        key: claim.key.clone(),
        owner: claim.owner.clone(),
        answer: None,
        not_run: true,
    };
    let command = Body::Propose(Command::of(Order::Settle(settle)));
    let leader = entry.host.leader.clone();
    tokio::spawn(async move {
        leader
            .ask(command, SETTLE_TIMEOUT, PROPOSE_ATTEMPT_TIMEOUT)
            .await
    });
}

/// Sends a call that holds the claim on its key, and records the result with the voters.
async fn send_claimed(
    entry: &Entry,
    call: &Call,
    target: &Target,
    claim: Claim,
    deadline: Instant,
) -> Result<Response<reply::Body>, Failure> {
    let outcome = send_with_retries(entry, call, target, false, deadline).await;
    let settle = Settle {
        key: claim.key,
        owner: claim.owner,
        answer: outcome.as_ref().ok().map(recorded_answer),
        not_run: matches!(&outcome, Err(error) if error.verdict == Verdict::NotRun),
    };
    let command = Body::Propose(Command::of(Order::Settle(settle)));
    let leader = entry.host.leader.clone();
    let recording = tokio::spawn(async move {
        leader
            .ask(command, SETTLE_TIMEOUT, PROPOSE_ATTEMPT_TIMEOUT)
            .await
    });
    // The caller gets the response after it was recorded, or at the deadline.
    let _ = timeout_at(deadline, recording).await;
    match outcome {
        Ok(response) => Ok(caller_response(response)),
        Err(error) => Err(attempt_failure(&error)),
    }
}

/// Converts a response to its recorded form, without the body if that is too large.
fn recorded_answer(response: &UpstreamResponse) -> Answer {
    let too_long = response.body.len() > RECORDED_BODY_MAX_BYTES;
    let content_type = response.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Answer {
        status: response.status.as_u16().into(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: if too_long {
            Bytes::new()
        } else {
            response.body.clone()
        },
        too_long,
    }
}

/// Returns the recorded response of an earlier call with the same key.
fn replay_response(answer: Answer) -> Result<Response<reply::Body>, Failure> {
    if answer.too_long {
        let mut failure = Failure::may_have_run("the request ran; its answer was too long to keep");
        failure.verdict = Verdict::Ran;
        return Err(failure);
    }
    let status = u16::try_from(answer.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = reply::full_response(status, &answer.content_type, answer.body);
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    Ok(response)
}
