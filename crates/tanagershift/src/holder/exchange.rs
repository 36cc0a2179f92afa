//! Runs one request on the engine: sends it, then forwards the checked answer, or the verdict on
//! the request if it failed.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use tokio::time::{Instant, timeout_at};

use super::{
    answer::{self, Check, Stream},
    driver::withheld,
    engine::{self, Engine},
};
use crate::{
    admission::Access,
    completion, emit,
    link::{self, Responder},
    verdict::Verdict,
    wire::{Body, Cause, End, Failed, Head, Serve},
};

/// Size limit of an answer that is not streamed.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// Value of `retry_after` when the exchange with the engine failed.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that is not dispatched yet.
#[derive(Debug)]
pub struct Pending {
    /// The request as the entry host sent it.
    pub serve: Box<Serve>,
    /// Sends the answer to the entry host.
    pub responder: Responder,
    /// The request is cancelled at the engine if it still runs at this time.
    pub deadline: Instant,
}

/// Runs one request on the engine and forwards the answer to the entry host.
///
/// `name` is the adapter's name on the engine, `stalled` the time that the request waited for the
/// adapter and `load` the number of requests on the replica. Returns whether the engine did not
/// know the adapter.
pub async fn exchange(
    engine: &Engine,
    replica: &str,
    name: String,
    pending: Pending,
    stalled: Duration,
    load: u32,
) -> bool {
    let Pending {
        serve,
        responder,
        deadline,
    } = pending;
    let cancellable = async {
        tokio::select! {
            outcome = run(engine, &name, &serve, &responder, stalled, load) => outcome,
            // Dropping the other future aborts the exchange, so the engine cancels the request.
            () = responder.cancelled() => Err(Failure::new(Verdict::MayHaveRun, "cancelled")),
        }
    };
    let outcome = match timeout_at(deadline, cancellable).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Failure::new(Verdict::MayHaveRun, "the deadline passed")),
    };
    let body = match outcome {
        Ok(()) => Body::End(End { load }),
        Err(failure) => {
            if let Some(access) = failure.withheld {
                let refusal = withheld(access, load, Instant::now());
                let _ = responder.finish(refusal).await;
                return false;
            }
            if failure.mismatch {
                emit!(
                    MISMATCH,
                    "replica {replica}, request {}: {}",
                    serve.request,
                    failure.reason
                );
            }
            let lost = failure.lost;
            let failed = Body::Failed(Failed {
                verdict: failure.verdict.code(),
                reason: failure.reason,
                retry_after: RETRY_AFTER.as_millis() as u64,
                load,
                cause: Cause::Engine.into(),
            });
            let _ = responder.finish(failed).await;
            return lost;
        }
    };
    let _ = responder.finish(body).await;
    false
}

/// Failure of a request before its answer was complete.
struct Failure {
    verdict: Verdict,
    reason: String,
    /// Whether the engine did not know the adapter.
    lost: bool,
    /// Whether the engine sent the answer of another request, model or completion.
    mismatch: bool,
    /// Why the engine takes no requests now, if nothing was sent for that reason.
    withheld: Option<Access>,
}

impl Failure {
    fn new(verdict: Verdict, reason: impl Into<String>) -> Self {
        Self {
            verdict,
            reason: reason.into(),
            lost: false,
            mismatch: false,
            withheld: None,
        }
    }
}

impl From<engine::Error> for Failure {
    fn from(error: engine::Error) -> Self {
        let withheld = match error {
            engine::Error::Withheld { access } => Some(access),
            _ => None,
        };
        Self {
            withheld,
            ..Self::new(error.verdict(), error.to_string())
        }
    }
}

impl From<answer::Error> for Failure {
    fn from(error: answer::Error) -> Self {
        Self {
            mismatch: matches!(
                error,
                answer::Error::Model { .. } | answer::Error::Mixed { .. }
            ),
            ..Self::new(Verdict::MayHaveRun, error.to_string())
        }
    }
}

async fn run(
    engine: &Engine,
    name: &str,
    serve: &Serve,
    responder: &Responder,
    stalled: Duration,
    load: u32,
) -> Result<(), Failure> {
    let invalid = |reason| Failure::new(Verdict::NotRun, reason);
    let request = completion::request(&serve.body).map_err(invalid)?;
    let body = completion::with_model(&serve.body, &request.span, name);
    let answer = engine
        .complete(&serve.path, &serve.request, body)
        .await
        .map_err(Failure::from)?;
    check_id(&answer, &serve.request)?;
    let status = answer.status();
    if status == StatusCode::NOT_FOUND {
        // An engine answers 404 if it does not know the model; nothing ran.
        return Err(Failure {
            lost: true,
            ..Failure::new(Verdict::NotRun, "the engine does not have the adapter")
        });
    }
    if status.is_server_error() {
        let reason = format!("the engine answered {status}");
        return Err(Failure::new(Verdict::MayHaveRun, reason));
    }
    let content_type = answer
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/json")
        .to_owned();
    let streamed = content_type.starts_with("text/event-stream");
    let check = Check::new(name.to_owned(), serve.model.clone());
    let head = Body::Head(Head {
        status: status.as_u16().into(),
        content_type,
        stalled: stalled.as_millis() as u64,
        load,
    });
    if streamed {
        return forward_stream(answer, Stream::new(check), head, responder).await;
    }
    forward_whole(answer, check, head, responder).await
}

/// Checks that the answer repeats the id `request`; an answer without the header is accepted.
fn check_id(answer: &Response<Incoming>, request: &str) -> Result<(), Failure> {
    let Some(found) = answer.headers().get(engine::REQUEST_ID_HEADER) else {
        return Ok(());
    };
    if found.as_bytes() == request.as_bytes() {
        return Ok(());
    }
    Err(Failure {
        mismatch: true,
        ..Failure::new(Verdict::MayHaveRun, "answer to another request")
    })
}

fn entry_gone(_: link::Error) -> Failure {
    Failure::new(Verdict::MayHaveRun, "the entry host is gone")
}

async fn forward_stream(
    answer: Response<Incoming>,
    mut stream: Stream,
    head: Body,
    responder: &Responder,
) -> Result<(), Failure> {
    let mut body = answer.into_body();
    let mut head = Some(head);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::new(Verdict::MayHaveRun, error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = stream.push(&data)?;
        if events.is_empty() {
            continue;
        }
        // The head is sent with the first checked event, so that a mismatch at the start is still
        // answered as a failure.
        if let Some(head) = head.take() {
            responder.send(head).await.map_err(entry_gone)?;
        }
        responder
            .send(Body::Chunk(events))
            .await
            .map_err(entry_gone)?;
    }
    Ok(stream.finish()?)
}

async fn forward_whole(
    answer: Response<Incoming>,
    mut check: Check,
    head: Body,
    responder: &Responder,
) -> Result<(), Failure> {
    let refused = !answer.status().is_success();
    let body = http_body_util::Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES)
        .collect()
        .await;
    let bytes = body.map_err(|error| Failure::new(Verdict::MayHaveRun, error.to_string()))?;
    let bytes = bytes.to_bytes();
    // An error answer to invalid input does not name a model and is forwarded unchecked.
    let bytes: Bytes = if refused {
        bytes
    } else {
        check.rewrite(&bytes)?
    };
    responder.send(head).await.map_err(entry_gone)?;
    responder.send(Body::Chunk(bytes)).await.map_err(entry_gone)
}
