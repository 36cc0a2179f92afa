//! Requests for an adapter: from the caller's model to a holder, and the answer back.

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
    reply::{self, Cut, Failure, TARGET_HEADER},
    retry::may_repeat,
    route::SpreadParams,
    server::{Call, Entry},
};
use crate::{
    catalog::hex,
    completion,
    link::{self, Call as Stream},
    operator::split_target,
    verdict::Verdict,
    wire::{Body, Cause, Failed, Head, Serve},
};

/// Pause before the replicas are tried once more while their holders change.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const SEARCH_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Replicas that may be too busy before a request is refused.
const BUSY_LIMIT: usize = 3;
/// Parts of an answer that wait for a slow caller.
const PARTS: usize = 64;
/// Shortest time after which a refused caller is told to come back.
const RETRY_MIN: Duration = Duration::from_millis(500);

/// What a request must run on, fixed when it came.
#[derive(Clone, Debug)]
struct Target {
    base: String,
    serve: Serve,
    limit: Duration,
}

/// A request that is open for an adapter; it ends when this is dropped.
struct Using {
    entry: Arc<Entry>,
    adapter: String,
}

impl Using {
    fn begin(entry: Arc<Entry>, adapter: &str) -> Self {
        entry.table().adapter_request_started(adapter);
        Self {
            entry,
            adapter: adapter.to_owned(),
        }
    }
}

impl Drop for Using {
    fn drop(&mut self) {
        self.entry.table().adapter_request_ended(&self.adapter);
    }
}

/// How one attempt ended without an answer.
#[derive(Debug)]
struct Attempt {
    verdict: Verdict,
    reason: String,
    retry_after: Duration,
    cause: Cause,
}

/// An answer that has begun.
struct Begun {
    head: Head,
    stream: Stream,
}

/// Answers a request for an adapter.
///
/// # Errors
///
/// What the caller is told instead.
pub async fn answer(entry: Arc<Entry>, call: Call) -> Result<Response<reply::Body>, Failure> {
    let target = resolve(&entry, &call)?;
    let deadline = call.came + target.limit;
    let using = Using::begin(entry.clone(), &target.serve.adapter);
    entry.budget().earn();
    let begun = match timeout_at(deadline, search(&entry, &call, &target, deadline)).await {
        Ok(begun) => begun?,
        Err(_) => {
            return Err(Failure::unknown(
                "the deadline passed before an answer began",
            ));
        }
    };
    entry.host.metrics.first_byte(call.came.elapsed());
    let status = status(&begun.head);
    let content_type = begun.head.content_type.clone();
    let streamed = content_type.starts_with("text/event-stream");
    let mut response = if streamed {
        // Whether it ran to its end is only known at the end.
        Response::new(pass(entry.clone(), begun, deadline, using))
    } else {
        let body = timeout_at(deadline, collect(begun)).await;
        let body = body.unwrap_or_else(|_| Err("the deadline passed".to_owned()));
        let mut response = Response::new(reply::full(body.map_err(Failure::unknown)?));
        entry.note_answer("completion", &mut response);
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

fn status(head: &Head) -> StatusCode {
    let status = u16::try_from(head.status).ok();
    status
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Finds the adapter and version that the caller's model names.
fn resolve(entry: &Entry, call: &Call) -> Result<Target, Failure> {
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
    let limit = entry.limit(call, intent.map_or(0, |intent| intent.timeout));
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
        limit,
    })
}

/// Tries replicas until one begins an answer.
async fn search(
    entry: &Entry,
    call: &Call,
    target: &Target,
    deadline: Instant,
) -> Result<Begun, Failure> {
    let patience = call.came + entry.config().patience.min(target.limit);
    let mut worst: Option<Attempt> = None;
    let mut routes = entry.host.watch_routes();
    let mut pause = SEARCH_PAUSE;
    loop {
        let mut busy = 0;
        for (replica, address) in candidates(entry, target) {
            // A host that does not hold the replica did no work, so asking it costs no budget.
            let costs = worst
                .as_ref()
                .is_some_and(|last| last.cause != Cause::Absent);
            if costs && !entry.budget().spend() {
                return Err(failure(worst, "too many retries are under way"));
            }
            if worst.is_some() {
                entry.host.metrics.retry();
            }
            let attempt = match attempt(entry, target, &replica, &address, deadline).await {
                Ok(begun) => return Ok(begun),
                Err(attempt) => attempt,
            };
            let cause = attempt.cause;
            worst = worse(worst, attempt);
            busy += usize::from(cause == Cause::Busy);
            if cause == Cause::Unloadable || busy >= BUSY_LIMIT {
                return Err(failure(worst, ""));
            }
        }
        if busy > 0 || Instant::now() + pause >= patience {
            return Err(failure(
                worst,
                "no replica of the base model can be reached",
            ));
        }
        // No holder was there: they are changing, which takes a moment. When the pause ends
        // without a change of the routes, the next look follows all the same.
        let _ = timeout(pause, routes.changed()).await;
        pause = (pause * 2).min(SEARCH_PAUSE_MAX);
    }
}

/// Of two attempts, the one that the caller must be told of.
fn worse(known: Option<Attempt>, new: Attempt) -> Option<Attempt> {
    let rank = |attempt: &Attempt| (attempt.verdict != Verdict::NotRun, attempt.cause);
    match known {
        Some(known) if rank(&known) > rank(&new) => Some(known),
        _ => Some(new),
    }
}

fn failure(worst: Option<Attempt>, otherwise: &str) -> Failure {
    let Some(attempt) = worst else {
        return Failure::busy("no_replica", otherwise, RETRY_MIN);
    };
    if !may_repeat(attempt.verdict, false, false) {
        return Failure::unknown(attempt.reason);
    }
    let code = match attempt.cause {
        Cause::Engine | Cause::Absent => "no_replica",
        Cause::Busy => "overloaded",
        Cause::Unloadable => "adapter_unavailable",
    };
    Failure::busy(code, attempt.reason, attempt.retry_after.max(RETRY_MIN))
}

/// Replicas to try, with the peer addresses of their holders.
fn candidates(entry: &Entry, target: &Target) -> Vec<(String, String)> {
    let list = entry.host.list.borrow().clone();
    let routes = entry.host.routes();
    let spread = SpreadParams {
        batch: entry.host.settings.holder.batch as u32,
        entries: entry.host.holder.holders(),
    };
    let mut table = entry.table();
    table.prune(&list);
    let adapter = &target.serve.adapter;
    let ranked = table.rank_replicas(&list, &target.base, adapter, spread, Instant::now());
    let held = ranked.into_iter().filter_map(|replica| {
        let route = routes.get(&replica.name)?;
        Some((replica.name.clone(), route.address.clone()))
    });
    held.collect()
}

async fn attempt(
    entry: &Entry,
    target: &Target,
    replica: &str,
    address: &str,
    deadline: Instant,
) -> Result<Begun, Attempt> {
    let left = deadline.saturating_duration_since(Instant::now());
    let serve = Serve {
        replica: replica.to_owned(),
        millis: left.as_millis() as u64,
        ..target.serve.clone()
    };
    entry.table().request_started(replica);
    let outcome = send(entry, serve, address).await;
    let now = Instant::now();
    let mut table = entry.table();
    match outcome {
        Ok((begun, load)) => {
            table.request_ended(replica, load, now);
            Ok(begun)
        }
        Err((attempt, load)) => {
            table.request_ended(replica, load, now);
            if load.is_none() || attempt.cause == Cause::Absent {
                table.fail(replica, now);
            }
            Err(attempt)
        }
    }
}

type Sent = Result<(Begun, Option<u32>), (Attempt, Option<u32>)>;

async fn send(entry: &Entry, serve: Serve, address: &str) -> Sent {
    let broken = |verdict, reason: String| Attempt {
        verdict,
        reason,
        retry_after: RETRY_MIN,
        cause: Cause::Absent,
    };
    let call = entry.host.pool.call(address, Body::Serve(serve)).await;
    let mut stream = call.map_err(|error| (broken(Verdict::NotRun, error.to_string()), None))?;
    match stream.next().await {
        Ok(Some(Body::Head(head))) => {
            let load = head.load;
            Ok((Begun { head, stream }, Some(load)))
        }
        Ok(Some(Body::Failed(failed))) => {
            let load = failed.load;
            Err((refused(failed), Some(load)))
        }
        Ok(_) => {
            let reason = "the holder did not answer as expected";
            Err((broken(Verdict::MayHaveRun, reason.to_owned()), None))
        }
        Err(error) => Err((broken(Verdict::MayHaveRun, error.to_string()), None)),
    }
}

fn refused(failed: Failed) -> Attempt {
    Attempt {
        verdict: Verdict::from_code(failed.verdict),
        cause: failed.cause(),
        retry_after: Duration::from_millis(failed.retry_after),
        reason: failed.reason,
    }
}

/// Collects an answer that is not streamed.
async fn collect(mut begun: Begun) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        match begun.stream.next().await {
            Ok(Some(Body::Chunk(part))) => body.extend_from_slice(&part),
            Ok(Some(Body::End(_))) => return Ok(body.freeze()),
            Ok(Some(Body::Failed(failed))) => return Err(failed.reason),
            Ok(_) => return Err("the holder did not answer as expected".to_owned()),
            Err(error) => return Err(error.to_string()),
        }
    }
}

/// Hands a streamed answer on; the caller's going away cancels it.
fn pass(entry: Arc<Entry>, begun: Begun, deadline: Instant, using: Using) -> reply::Body {
    let (sender, receiver) = mpsc::channel(PARTS);
    let open = entry.host.metrics.open();
    tokio::spawn(async move {
        let _guards = (open, using);
        let count = |verdict| entry.host.metrics.request("completion", verdict);
        let pump = pump(begun, &sender);
        let outcome = tokio::select! {
            outcome = timeout_at(deadline, pump) => outcome,
            // Dropping the stream tells the holder.
            () = sender.closed() => return count(Verdict::MayHaveRun),
        };
        let failure = match outcome {
            Ok(Ok(())) => return count(Verdict::Ran),
            Ok(Err(reason)) => Failure::unknown(reason),
            Err(_) => Failure::unknown("the deadline passed"),
        };
        count(failure.verdict);
        // The error comes as an event of the stream, and then the connection is cut, so that no
        // client takes the part for the whole.
        let event = format!("data: {}\n\n", failure.json());
        let _ = sender.send(Ok(Frame::data(event.into()))).await;
        let _ = sender.send(Err(Cut)).await;
    });
    let parts = stream::unfold(receiver, |mut receiver| async {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    BodyExt::boxed(StreamBody::new(parts))
}

type Part = Result<Frame<Bytes>, Cut>;

async fn pump(mut begun: Begun, sender: &mpsc::Sender<Part>) -> Result<(), String> {
    loop {
        match begun.stream.next().await {
            Ok(Some(Body::Chunk(part))) => {
                if sender.send(Ok(Frame::data(part))).await.is_err() {
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
