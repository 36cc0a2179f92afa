//! Calls of plain services, and claims of those that may not be repeated.

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
    catalog::{check_name, hex},
    follower,
    holder::engine::{self, REQUEST_ID_HEADER},
    verdict::Verdict,
    voter::command::{Answer, Claim, Claimed, Command, Effect, Order, Outcome, Settle, Standing},
    wire::Body,
};

/// Header with the key of a call that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";
/// Header that says that an answer was recorded earlier.
const REPLAYED_HEADER: &str = "x-tanagershift-replayed";
/// Most characters of a key.
const KEY_LIMIT: usize = 255;
/// Largest answer of a plain service in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// Largest answer that is recorded, in bytes.
const RECORD_LIMIT: usize = 64 << 10;
/// Longest time to claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait for one voter's answer to a claim, which may be asked again by its owner.
const CLAIM_ATTEMPT: Duration = Duration::from_millis(700);
/// Longest time to record an answer, in the background.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before another attempt's claim is looked at once more.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Pause before the upstreams are tried once more.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a caller who finds no upstream may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Statuses of an upstream that is out of order or too busy.
const REFUSALS: [StatusCode; 3] = [
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Where a call goes.
#[derive(Clone, Debug)]
struct Target {
    service: String,
    /// Path and query at the service.
    path: String,
    limit: Duration,
}

/// How one attempt ended without an answer.
#[derive(Debug)]
struct Broken {
    verdict: Verdict,
    reason: String,
}

/// An answer of a plain service.
#[derive(Clone, Debug)]
struct Answered {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    upstream: String,
}

/// Answers a call of a plain service.
///
/// # Errors
///
/// What the caller is told instead.
pub async fn answer(entry: &Entry, call: Call) -> Result<Response<reply::Body>, Failure> {
    let target = resolve(entry, &call)?;
    entry.budget().earn();
    let deadline = call.came + target.limit;
    let safe = matches!(call.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let key = key(&call.headers)?;
    let mut response = match key {
        Some(key) if !safe => claimed(entry, &call, &target, key, deadline).await?,
        _ => {
            let outcome = send(entry, &call, &target, safe, deadline).await;
            respond(outcome.map_err(|broken| failure(&broken))?)
        }
    };
    entry.note_answer("service", &mut response);
    Ok(response)
}

fn failure(broken: &Broken) -> Failure {
    match broken.verdict {
        Verdict::NotRun => Failure::busy("not_run", &broken.reason, RETRY_AFTER),
        Verdict::Ran | Verdict::MayHaveRun => Failure::unknown(&broken.reason),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().trim();
    if key.is_empty() || key.len() > KEY_LIMIT || values.next().is_some() {
        let text = "Idempotency-Key must be one text of 1 to 255 characters";
        return Err(Failure::invalid(
            StatusCode::BAD_REQUEST,
            "invalid_key",
            text,
        ));
    }
    Ok(Some(key))
}

/// Finds the service that the path names through an intent.
fn resolve(entry: &Entry, call: &Call) -> Result<Target, Failure> {
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
        limit: entry.limit(call, intent.timeout),
    })
}

/// Sends a call until it is answered or may not be sent again.
async fn send(
    entry: &Entry,
    call: &Call,
    target: &Target,
    idempotent: bool,
    deadline: Instant,
) -> Result<Answered, Broken> {
    let patience = deadline.min(call.came + entry.config().patience);
    let mut first = true;
    let mut broken = Broken {
        verdict: Verdict::NotRun,
        reason: "no upstream of the service is live".to_owned(),
    };
    let mut refused = None;
    loop {
        for (name, address) in candidates(entry, target) {
            if !first && !entry.budget().spend() {
                return refused.ok_or(broken);
            }
            if !first {
                entry.host.metrics.retry();
            }
            first = false;
            match attempt(entry, call, target, &name, &address, deadline).await {
                // Another upstream may do better, if the call may be sent again.
                Ok(answered) if idempotent && REFUSALS.contains(&answered.status) => {
                    refused = Some(answered);
                }
                Ok(answered) => return Ok(answered),
                Err(attempt) => {
                    // What may have run once stays so, whatever a later attempt proves of itself.
                    let worst = broken.verdict == Verdict::MayHaveRun;
                    let repeat = may_repeat(attempt.verdict, idempotent, false);
                    broken = attempt;
                    if worst {
                        broken.verdict = Verdict::MayHaveRun;
                    }
                    if !repeat {
                        return Err(broken);
                    }
                }
            }
        }
        if let Some(answered) = refused {
            return Ok(answered);
        }
        if Instant::now() + SEARCH_PAUSE >= patience {
            return Err(broken);
        }
        sleep(SEARCH_PAUSE).await;
    }
}

fn candidates(entry: &Entry, target: &Target) -> Vec<(String, String)> {
    let list = entry.host.list.borrow().clone();
    let zone = &entry.host.settings.host.zone;
    let table = entry.table();
    let ranked = table.services(&list, &target.service, zone, Instant::now());
    let address =
        |upstream: &crate::platform::Upstream| (upstream.name.clone(), upstream.address.clone());
    ranked.into_iter().map(address).collect()
}

async fn attempt(
    entry: &Entry,
    call: &Call,
    target: &Target,
    name: &str,
    address: &str,
    deadline: Instant,
) -> Result<Answered, Broken> {
    entry.table().begin(name);
    let outcome = match timeout_at(deadline, exchange(entry, call, target, address)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Broken {
            verdict: Verdict::MayHaveRun,
            reason: "the deadline passed".to_owned(),
        }),
    };
    let mut table = entry.table();
    let now = Instant::now();
    match outcome {
        Ok(mut answered) => {
            table.end(name, Some(0), now);
            answered.upstream = name.to_owned();
            Ok(answered)
        }
        Err(broken) => {
            table.end(name, None, now);
            table.fail(name, now);
            Err(broken)
        }
    }
}

async fn exchange(
    entry: &Entry,
    call: &Call,
    target: &Target,
    address: &str,
) -> Result<Answered, Broken> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", target.path))
        .body(Full::from(call.body.clone()))
        .map_err(|error| Broken {
            verdict: Verdict::NotRun,
            reason: error.to_string(),
        })?;
    copy_headers(&call.headers, request.headers_mut());
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        request.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    let answer = entry.http.request(request).await.map_err(|error| {
        let error = engine::classify(&error);
        Broken {
            verdict: error.verdict(),
            reason: error.to_string(),
        }
    })?;
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT).collect().await;
    let body = body.map_err(|error| Broken {
        verdict: Verdict::MayHaveRun,
        reason: format!("the answer was cut off: {error}"),
    })?;
    Ok(Answered {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
        upstream: String::new(),
    })
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let skipped = |name: &HeaderName| {
        *name == HOST || name == "content-length" || HOP_HEADERS.contains(&name.as_str())
    };
    for (name, value) in from.iter().filter(|(name, _)| !skipped(name)) {
        to.append(name.clone(), value.clone());
    }
}

fn respond(answered: Answered) -> Response<reply::Body> {
    let mut response = Response::new(reply::full(answered.body));
    *response.status_mut() = answered.status;
    copy_headers(&answered.headers, response.headers_mut());
    if let Ok(upstream) = HeaderValue::from_str(&answered.upstream) {
        response.headers_mut().insert(TARGET_HEADER, upstream);
    }
    response
}

/// Sends a call that may not be repeated, once at most over all entry hosts.
async fn claimed(
    entry: &Entry,
    call: &Call,
    target: &Target,
    key: &str,
    deadline: Instant,
) -> Result<Response<reply::Body>, Failure> {
    let left = deadline.saturating_duration_since(Instant::now());
    let claim = Claim {
        key: format!("{}/{key}", target.service),
        digest: digest(call, target),
        owner: entry.attempt(),
        millis: left.as_millis() as u64,
    };
    loop {
        let claimed = ask_claim(entry, &claim, deadline).await?;
        match claimed.standing() {
            Standing::Won => return send_claimed(entry, call, target, claim, deadline).await,
            Standing::Answered => return replay(claimed.answer.unwrap_or_default()),
            Standing::MayHaveRun => {
                let text = "an earlier request with this key may have run; its answer is lost";
                return Err(Failure::unknown(text));
            }
            Standing::Mismatch => {
                let text = "the key was used with another request";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                return Err(Failure::invalid(status, "key_mismatch", text));
            }
            Standing::Running if Instant::now() + CLAIM_PAUSE >= deadline => {
                let mut failure = Failure::unknown("another request with this key is running");
                failure.status = StatusCode::CONFLICT;
                failure.retry_after = Some(RETRY_AFTER);
                return Err(failure);
            }
            Standing::Running => sleep(CLAIM_PAUSE).await,
        }
    }
}

fn digest(call: &Call, target: &Target) -> String {
    let mut hash = Sha256::new();
    for part in [call.method.as_str(), &target.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hex(&hash.finalize())
}

async fn ask_claim(entry: &Entry, claim: &Claim, deadline: Instant) -> Result<Claimed, Failure> {
    let command = Command::of(Order::Claim(claim.clone()));
    let limit = deadline
        .saturating_duration_since(Instant::now())
        .min(CLAIM_TIMEOUT);
    let answer = entry
        .host
        .leader
        .ask(Body::Propose(command), limit, CLAIM_ATTEMPT)
        .await;
    match answer {
        Ok(Body::Outcome(Outcome {
            effect: Some(Effect::Claimed(claimed)),
        })) => Ok(claimed),
        // The claim may be in the log, but the call was not sent, and never will be for it.
        Ok(_) | Err(follower::Error::NoLeader) => {
            release(entry, claim);
            let text = "the call could not be claimed and was not sent";
            Err(Failure::busy("no_leader", text, RETRY_AFTER))
        }
    }
}

/// Frees the key of a call that was not sent, as soon as there is a leader.
fn release(entry: &Entry, claim: &Claim) {
    let settle = Settle {
        key: claim.key.clone(),
        owner: claim.owner.clone(),
        answer: None,
        not_run: true,
    };
    let command = Body::Propose(Command::of(Order::Settle(settle)));
    let leader = entry.host.leader.clone();
    tokio::spawn(async move { leader.ask(command, SETTLE_TIMEOUT, CLAIM_ATTEMPT).await });
}

/// Sends a call whose claim this attempt has won, and records how it ended.
async fn send_claimed(
    entry: &Entry,
    call: &Call,
    target: &Target,
    claim: Claim,
    deadline: Instant,
) -> Result<Response<reply::Body>, Failure> {
    let outcome = send(entry, call, target, false, deadline).await;
    let settle = Settle {
        key: claim.key,
        owner: claim.owner,
        answer: outcome.as_ref().ok().map(record),
        not_run: matches!(&outcome, Err(broken) if broken.verdict == Verdict::NotRun),
    };
    let command = Body::Propose(Command::of(Order::Settle(settle)));
    let leader = entry.host.leader.clone();
    let recording =
        tokio::spawn(async move { leader.ask(command, SETTLE_TIMEOUT, CLAIM_ATTEMPT).await });
    // The caller has the answer only when it is recorded, unless that takes too long.
    let _ = timeout_at(deadline, recording).await;
    match outcome {
        Ok(answered) => Ok(respond(answered)),
        Err(broken) => Err(failure(&broken)),
    }
}

fn record(answered: &Answered) -> Answer {
    let cut = answered.body.len() > RECORD_LIMIT;
    let content_type = answered.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Answer {
        status: answered.status.as_u16().into(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: if cut {
            Bytes::new()
        } else {
            answered.body.clone()
        },
        too_long: cut,
    }
}

fn replay(answer: Answer) -> Result<Response<reply::Body>, Failure> {
    if answer.too_long {
        let mut failure = Failure::unknown("the request ran; its answer was too long to keep");
        failure.verdict = Verdict::Ran;
        return Err(failure);
    }
    let status = u16::try_from(answer.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = reply::whole(status, &answer.content_type, answer.body);
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    Ok(response)
}
