//! One request on the engine: sent, its answer checked and handed on, its verdict told.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use tokio::time::{Instant, timeout_at};

use super::{
    answer::{self, Check, Stream},
    engine::{self, Engine},
};
use crate::{
    completion, emit,
    link::{self, Responder},
    verdict::Verdict,
    wire::{Body, Cause, End, Failed, Head, Serve},
};

/// Largest answer that is not streamed, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;
/// Time after which a request whose exchange failed may be tried again.
const RETRY: Duration = Duration::from_millis(50);

/// A request that waits for its dispatch.
#[derive(Debug)]
pub struct Pending {
    /// What is asked.
    pub serve: Box<Serve>,
    /// Where the answer goes.
    pub responder: Responder,
    /// When it must have ended.
    pub deadline: Instant,
}

/// Runs one request on the engine and hands its answer on. Returns whether the engine did not
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
    let run = async {
        tokio::select! {
            outcome = run(engine, &name, &serve, &responder, stalled, load) => outcome,
            // Dropping the exchange cancels it at the engine.
            () = responder.cancelled() => Err(Ending::failed(Verdict::MayHaveRun, "cancelled")),
        }
    };
    let outcome = match timeout_at(deadline, run).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Ending::failed(Verdict::MayHaveRun, "the deadline passed")),
    };
    let body = match outcome {
        Ok(()) => Body::End(End { load }),
        Err(ending) => {
            if ending.mismatch {
                emit!(
                    MISMATCH,
                    "replica {replica}, request {}: {}",
                    serve.request,
                    ending.reason
                );
            }
            let lost = ending.lost;
            let failed = Body::Failed(Failed {
                verdict: ending.verdict.code(),
                reason: ending.reason,
                retry_after: RETRY.as_millis() as u64,
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

/// How a request ended without a whole answer.
struct Ending {
    verdict: Verdict,
    reason: String,
    lost: bool,
    mismatch: bool,
}

impl Ending {
    fn failed(verdict: Verdict, reason: impl Into<String>) -> Self {
        Self {
            verdict,
            reason: reason.into(),
            lost: false,
            mismatch: false,
        }
    }
}

impl From<answer::Error> for Ending {
    fn from(error: answer::Error) -> Self {
        Self {
            mismatch: matches!(
                error,
                answer::Error::Model { .. } | answer::Error::Mixed { .. }
            ),
            ..Self::failed(Verdict::MayHaveRun, error.to_string())
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
) -> Result<(), Ending> {
    let invalid = |reason| Ending::failed(Verdict::NotRun, reason);
    let request = completion::request(&serve.body).map_err(invalid)?;
    let body = completion::with_model(&serve.body, &request.span, name);
    let answer = engine
        .complete(&serve.path, &serve.request, body)
        .await
        .map_err(|error| Ending::failed(error.verdict(), error.to_string()))?;
    check_id(&answer, &serve.request)?;
    let status = answer.status();
    if status == StatusCode::NOT_FOUND {
        // The published refusal of an engine that does not know the model; nothing ran.
        return Err(Ending {
            lost: true,
            ..Ending::failed(Verdict::NotRun, "the engine does not have the adapter")
        });
    }
    if status.is_server_error() {
        let reason = format!("the engine answered {status}");
        return Err(Ending::failed(Verdict::MayHaveRun, reason));
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
        return pass_stream(answer, Stream::new(check), head, responder).await;
    }
    pass_whole(answer, check, head, responder).await
}

fn check_id(answer: &Response<Incoming>, request: &str) -> Result<(), Ending> {
    let Some(found) = answer.headers().get(engine::REQUEST_HEADER) else {
        return Ok(());
    };
    if found.as_bytes() == request.as_bytes() {
        return Ok(());
    }
    Err(Ending {
        mismatch: true,
        ..Ending::failed(Verdict::MayHaveRun, "answer to another request")
    })
}

fn gone(_: link::Error) -> Ending {
    Ending::failed(Verdict::MayHaveRun, "the entry host is gone")
}

async fn pass_stream(
    answer: Response<Incoming>,
    mut stream: Stream,
    head: Body,
    responder: &Responder,
) -> Result<(), Ending> {
    let mut body = answer.into_body();
    let mut head = Some(head);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| Ending::failed(Verdict::MayHaveRun, error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = stream.take(&data)?;
        if events.is_empty() {
            continue;
        }
        // The head goes with the first checked event, so that nothing unchecked is promised.
        if let Some(head) = head.take() {
            responder.send(head).await.map_err(gone)?;
        }
        responder.send(Body::Chunk(events)).await.map_err(gone)?;
    }
    Ok(stream.end()?)
}

async fn pass_whole(
    answer: Response<Incoming>,
    mut check: Check,
    head: Body,
    responder: &Responder,
) -> Result<(), Ending> {
    let refused = !answer.status().is_success();
    let body = http_body_util::Limited::new(answer.into_body(), ANSWER_LIMIT)
        .collect()
        .await;
    let bytes = body.map_err(|error| Ending::failed(Verdict::MayHaveRun, error.to_string()))?;
    let bytes = bytes.to_bytes();
    // A refusal of the caller's input names no model.
    let bytes: Bytes = if refused { bytes } else { check.pass(&bytes)? };
    responder.send(head).await.map_err(gone)?;
    responder.send(Body::Chunk(bytes)).await.map_err(gone)
}
