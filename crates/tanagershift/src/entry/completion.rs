//! Serves requests for an adapter: resolves the model, finds a replica and forwards the response.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout, timeout_at},
};

use super::{
    reply::{self, BodyAborted, Failure, TARGET_HEADER},
    retry::may_repeat,
    route::SpreadParams,
    server::{Call, Entry},
};
use crate::{
    catalog::hex,
    completion,
    link::{self, Call as HolderStream},
    operator::split_target,
    verdict::Verdict,
    wire::{Body, Cause, Failed, Head, Serve},
};

/// First delay before the replicas are tried again when no holder could be reached.
const SEARCH_DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay, after doubling, before the replicas are tried again.
const SEARCH_DELAY_MAX: Duration = Duration::from_millis(400);
/// Number of overloaded replicas after which a request is rejected.
const BUSY_REPLICAS_MAX: usize = 3;
/// Chunks of a streamed response that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 64;
/// Minimum `Retry-After` of a rejected request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// The adapter version and limits of a request, resolved once on arrival.
#[derive(Clone, Debug)]
struct Target {
    base: String,
    serve: Serve,
    timeout: Duration,
}

/// Counts a request as open for its adapter until dropped.
struct OpenAdapterRequest {
    entry: Arc<Entry>,
    adapter: String,
}

impl OpenAdapterRequest {
    fn start(entry: Arc<Entry>, adapter: &str) -> Self {
        entry.load_tracker().adapter_request_started(adapter);
        Self {
            entry,
            adapter: adapter.to_owned(),
        }
    }
}

impl Drop for OpenAdapterRequest {
    fn drop(&mut self) {
        self.entry
            .load_tracker()
            .adapter_request_ended(&self.adapter);
    }
}

/// Why one attempt at a replica got no response.
#[derive(Debug)]
struct AttemptError {
    verdict: Verdict,
    reason: String,
    retry_after: Duration,
    cause: Cause,
}

/// A response whose head has arrived.
struct StartedResponse {
    head: Head,
    stream: HolderStream,
}

/// Handles a request for an adapter.
///
/// # Errors
///
/// The request is invalid, or no replica responded in time.
pub async fn handle(entry: Arc<Entry>, call: Call) -> Result<Response<reply::Body>, Failure> {
    let target = resolve_target(&entry, &call)?;
    let deadline = call.received_at + target.timeout;
    let open_request = OpenAdapterRequest::start(entry.clone(), &target.serve.adapter);
    entry.retry_budget().deposit();
    let started = match timeout_at(deadline, find_replica(&entry, &call, &target, deadline)).await {
        Ok(started) => started?,
        Err(_) => {
            return Err(Failure::may_have_run(
                "the deadline passed before an answer began",
            ));
        }
    };
    entry.host.metrics.first_byte(call.received_at.elapsed());
    let status = response_status(&started.head);
    let content_type = started.head.content_type.clone();
    let streamed = content_type.starts_with("text/event-stream");
    let mut response = if streamed {
        // `stream_response` records the verdict, which is only known at the end of the stream.
        Response::new(stream_response(
            entry.clone(),
            started,
            deadline,
            open_request,
        ))
    } else {
        let body = timeout_at(deadline, collect_body(started)).await;
        let body = body.unwrap_or_else(|_| Err("the deadline passed".to_owned()));
        let mut response = Response::new(reply::full_body(body.map_err(Failure::may_have_run)?));
        entry.record_response("completion", &mut response);
        response
    };
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(&content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    let name = format!("{}@{}", target.serve.adapter, target.serve.version);
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(TARGET_HEADER, value);
    }
    Ok(response)
}

/// Converts the status of a holder's response; an invalid one becomes 502.
fn response_status(head: &Head) -> StatusCode {
    let status = u16::try_from(head.status).ok();
    status
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Resolves the model of a request, an intent or ADAPTER@VERSION, to an adapter version.
fn resolve_target(entry: &Entry, call: &Call) -> Result<Target, Failure> {
    let invalid = |code, text: String| Failure::invalid(StatusCode::BAD_REQUEST, code, text);
    let request = completion::request(&call.body).map_err(|text| invalid("invalid_body", text))?;
    let unknown = || {
        let text = format!("the model `{}` does not exist", request.model);
        Failure::invalid(StatusCode::NOT_FOUND, "model_not_found", text)
    };
    let catalog = entry.host.catalog();
    let intent = catalog.intent(&request.model);
    let (name, number) = match intent {
        Some(intent) if intent.service.is_empty() => (intent.adapter.as_str(), intent.version),
        Some(_) => return Err(unknown()),
        None => split_target(&request.model).map_err(|_| unknown())?,
    };
    let adapter = catalog.adapter(name).ok_or_else(unknown)?;
    let version = adapter.version(number).ok_or_else(unknown)?;
    let timeout = entry.request_timeout(call, intent.map_or(0, |intent| intent.timeout));
    let priority = call.priority.or(intent.map(|intent| intent.priority));
    Ok(Target {
        base: adapter.base.to_string(),
        serve: Serve {
            replica: String::new(),
            request: call.id.clone(),
            adapter: name.to_owned(),
            version: number,
            digest: hex(&version.digest),
            weights: version.weights.to_string(),
            path: call.path.clone(),
            body: call.body.clone(),
            millis: 0,
            priority: priority.unwrap_or(0).clamp(-100, 100),
            audience: adapter.audience.to_string(),
            model: request.model.clone(),
        },
        timeout,
    })
}

/// Tries replicas in order of rank until one starts a response.
async fn find_replica(
    entry: &Entry,
    call: &Call,
    target: &Target,
    deadline: Instant,
) -> Result<StartedResponse, Failure> {
    let search_deadline = call.received_at + entry.config().search_timeout.min(target.timeout);
    let mut worst: Option<AttemptError> = None;
    let mut routes = entry.host.watch_routes();
    let mut delay = SEARCH_DELAY_MIN;
    loop {
        let mut busy = 0;
        for (replica, address) in candidates(entry, target) {
            // A retry is free while the worst error so far is an absent holder, because a host that
            // does not hold the replica did no work.
            let needs_budget = worst
                .as_ref()
                .is_some_and(|error| error.cause != Cause::Absent);
            if needs_budget && !entry.retry_budget().try_withdraw() {
                return Err(search_failure(worst, "too many retries are under way"));
            }
            if worst.is_some() {
                entry.host.metrics.retry();
            }
            let error = match try_replica(entry, target, &replica, &address, deadline).await {
                Ok(started) => return Ok(started),
                Err(error) => error,
            };
            let cause = error.cause;
            worst = more_severe(worst, error);
            busy += usize::from(cause == Cause::Busy);
            if cause == Cause::Unloadable || busy >= BUSY_REPLICAS_MAX {
                return Err(search_failure(worst, ""));
            }
        }
        if busy > 0 || Instant::now() + delay >= search_deadline {
            return Err(search_failure(
                worst,
                "no replica of the base model can be reached",
            ));
        }
        // No holder could be reached, probably because the holders are changing. The next round
        // starts as soon as the routes change, or after the delay.
        let _ = timeout(delay, routes.changed()).await;
        delay = (delay * 2).min(SEARCH_DELAY_MAX);
    }
}

/// Returns the more severe of two errors, or the new one if they are equally severe.
///
/// An error after which the request may have run is more severe than any other. Among the rest, the
/// order of [`Cause`] decides.
fn more_severe(known: Option<AttemptError>, new: AttemptError) -> Option<AttemptError> {
    let rank = |error: &AttemptError| (error.verdict != Verdict::NotRun, error.cause);
    match known {
        Some(known) if rank(&known) > rank(&new) => Some(known),
        _ => Some(new),
    }
}

/// Converts the worst error of a search, which is `None` if no replica was tried; `default_message`
/// is then the reason.
fn search_failure(worst: Option<AttemptError>, default_message: &str) -> Failure {
    let Some(error) = worst else {
        return Failure::unavailable("no_replica", default_message, RETRY_AFTER_MIN);
    };
    if !may_repeat(error.verdict, false, false) {
        return Failure::may_have_run(error.reason);
    }
    let code = match error.cause {
        Cause::Engine | Cause::Absent => "no_replica",
        Cause::Busy => "overloaded",
        Cause::Unloadable => "adapter_unavailable",
    };
    Failure::unavailable(code, error.reason, error.retry_after.max(RETRY_AFTER_MIN))
}

/// Returns the names of the replicas to try, best first, with the peer addresses of their holders.
fn candidates(entry: &Entry, target: &Target) -> Vec<(String, String)> {
    let list = entry.host.list.borrow().clone();
    let routes = entry.host.routes();
    let spread = SpreadParams {
        batch: entry.host.settings.holder.batch as u32,
        entries: entry.host.holder.holders(),
    };
    let mut load_tracker = entry.load_tracker();
    load_tracker.retain_listed(&list);
    let adapter = &target.serve.adapter;
    let ranked = load_tracker.rank_replicas(&list, &target.base, adapter, spread, Instant::now());
    let held = ranked.into_iter().filter_map(|replica| {
        let route = routes.get(&replica.name)?;
        Some((replica.name.clone(), route.address.clone()))
    });
    held.collect()
}

/// Sends a request to the holder of one replica and records the outcome for the ranking.
async fn try_replica(
    entry: &Entry,
    target: &Target,
    replica: &str,
    address: &str,
    deadline: Instant,
) -> Result<StartedResponse, AttemptError> {
    let left = deadline.saturating_duration_since(Instant::now());
    let serve = Serve {
        replica: replica.to_owned(),
        millis: left.as_millis() as u64,
        ..target.serve.clone()
    };
    entry.load_tracker().request_started(replica);
    let outcome = send_to_holder(entry, serve, address).await;
    let now = Instant::now();
    let mut load_tracker = entry.load_tracker();
    match outcome {
        Ok((started, load)) => {
            load_tracker.request_ended(replica, load, now);
            Ok(started)
        }
        Err((error, load)) => {
            load_tracker.request_ended(replica, load, now);
            if load.is_none() || error.cause == Cause::Absent {
                load_tracker.record_failure(replica, now);
            }
            Err(error)
        }
    }
}

/// The started response or the error, each with the load that the replica reported, if any.
type SendOutcome = Result<(StartedResponse, Option<u32>), (AttemptError, Option<u32>)>;

async fn send_to_holder(entry: &Entry, serve: Serve, address: &str) -> SendOutcome {
    let connection_error = |verdict, reason: String| AttemptError {
        verdict,
        reason,
        retry_after: RETRY_AFTER_MIN,
        cause: Cause::Absent,
    };
    let call = entry.host.pool.call(address, Body::Serve(serve)).await;
    let mut stream =
        call.map_err(|error| (connection_error(Verdict::NotRun, error.to_string()), None))?;
    match stream.next().await {
        Ok(Some(Body::Head(head))) => {
            let load = head.load;
            Ok((StartedResponse { head, stream }, Some(load)))
        }
        Ok(Some(Body::Failed(failed))) => {
            let load = failed.load;
            Err((attempt_error(failed), Some(load)))
        }
        Ok(_) => {
            let reason = "the holder did not answer as expected";
            Err((
                connection_error(Verdict::MayHaveRun, reason.to_owned()),
                None,
            ))
        }
        Err(error) => Err((
            connection_error(Verdict::MayHaveRun, error.to_string()),
            None,
        )),
    }
}

fn attempt_error(failed: Failed) -> AttemptError {
    AttemptError {
        verdict: Verdict::from_code(failed.verdict),
        cause: failed.cause(),
        retry_after: Duration::from_millis(failed.retry_after),
        reason: failed.reason,
    }
}

/// Collects the body of a response that is not streamed.
async fn collect_body(mut started: StartedResponse) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        match started.stream.next().await {
            Ok(Some(Body::Chunk(chunk))) => body.extend_from_slice(&chunk),
            Ok(Some(Body::End(_))) => return Ok(body.freeze()),
            Ok(Some(Body::Failed(failed))) => return Err(failed.reason),
            Ok(_) => return Err("the holder did not answer as expected".to_owned()),
            Err(error) => return Err(error.to_string()),
        }
    }
}

/// Forwards a streamed response in a task of its own; the task stops when the caller disconnects.
fn stream_response(
    entry: Arc<Entry>,
    started: StartedResponse,
    deadline: Instant,
    open_request: OpenAdapterRequest,
) -> reply::Body {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let open_gauge = entry.host.metrics.open();
    tokio::spawn(async move {
        let _guards = (open_gauge, open_request);
        let record_verdict = |verdict| entry.host.metrics.request("completion", verdict);
        let forwarding = forward_chunks(started, &sender);
        let outcome = tokio::select! {
            outcome = timeout_at(deadline, forwarding) => outcome,
            // The caller disconnected; dropping the stream cancels the request at the holder.
            () = sender.closed() => return record_verdict(Verdict::MayHaveRun),
        };
        let failure = match outcome {
            Ok(Ok(())) => return record_verdict(Verdict::Ran),
            Ok(Err(reason)) => Failure::may_have_run(reason),
            Err(_) => Failure::may_have_run("the deadline passed"),
        };
        record_verdict(failure.verdict);
        // The error is sent as an event of the stream, and then the connection is closed, so that
        // no client takes the truncated stream for a complete one.
        let event = format!("data: {}\n\n", failure.to_json());
        let _ = sender.send(Ok(Frame::data(event.into()))).await;
        let _ = sender.send(Err(BodyAborted)).await;
    });
    let frames = stream::unfold(receiver, |mut receiver| async {
        let frame = receiver.recv().await?;
        Some((frame, receiver))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

type FrameResult = Result<Frame<Bytes>, BodyAborted>;

/// Forwards the chunks of a response to the caller until the response ends or the caller
/// disconnects.
async fn forward_chunks(
    mut started: StartedResponse,
    sender: &mpsc::Sender<FrameResult>,
) -> Result<(), String> {
    loop {
        match started.stream.next().await {
            Ok(Some(Body::Chunk(chunk))) => {
                if sender.send(Ok(Frame::data(chunk))).await.is_err() {
                    return Ok(());
                }
            }
            Ok(Some(Body::End(_))) => return Ok(()),
            Ok(Some(Body::Failed(failed))) => return Err(failed.reason),
            Ok(_) => return Err("the holder did not answer as expected".to_owned()),
            Err(link::Error::Slow) => return Err("the caller reads too slowly".to_owned()),
            Err(error) => return Err(error.to_string()),
        }
    }
}
