//! Reads bodies of callers' requests and of upstreams' responses, as far as the host has memory for them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body as _, Incoming},
};
use tokio::time::{Instant, timeout};

use super::{
    Gateway,
    body_buffer::Buffer,
    budget::{Holder, Refusal},
    callers,
    exchange::{Job, KEPT_DEAD_REASON, UpstreamResponse, may_abandon},
    forward::Rejection,
};

/// Longest time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` of a rejection for want of memory: bodies that stall have been given up by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest body of an upstream's response that is held in memory.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

impl Rejection {
    /// Rejects a request that was not read to its end.
    fn unread(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            closes_connection: true,
            ..Self::new(status, reason)
        }
    }

    /// Rejects a request whose body, or whose connection, has to make room for others. It did not run.
    pub fn no_room(reason: impl Into<String>) -> Self {
        Self {
            retry_after: Some(MEMORY_RETRY_AFTER),
            ..Self::unread(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// Reads the whole body of a caller's request, as far as the host has memory for it.
///
/// # Errors
///
/// The body is too large, does not arrive whole, or has to make room for others.
pub(super) async fn read_body(
    gateway: &Gateway,
    caller: &callers::Guard,
    body: &mut Incoming,
    limit: usize,
) -> Result<Bytes, Rejection> {
    let too_large = || Rejection::unread(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let lease = gateway.memory.open(Holder::Request, Some(caller.address()));
    let mut buffer = Buffer::new(lease);
    let no_room = |refusal: Refusal| gateway.refuse_for_memory(refusal);
    let read = async {
        loop {
            let frame = tokio::select! {
                biased;
                () = buffer.given_up() => return Err(no_room(Refusal::GivenUp)),
                frame = body.frame() => frame,
            };
            let frame = match frame {
                None => return buffer.into_bytes().map_err(no_room),
                Some(Ok(frame)) => frame,
                Some(Err(_)) => {
                    let reason = "the body did not arrive whole";
                    return Err(Rejection::new(StatusCode::BAD_REQUEST, reason));
                }
            };
            // Trailers are not forwarded.
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if buffer.len() + data.len() > limit {
                return Err(too_large());
            }
            buffer.push(data).await.map_err(no_room)?;
        }
    };
    let read = timeout(BODY_TIMEOUT, read).await;
    read.unwrap_or_else(|_| {
        let reason = "the body did not arrive in time";
        Err(Rejection::unread(StatusCode::REQUEST_TIMEOUT, reason))
    })
}

/// Reads the body of an upstream's response until its end.
pub(super) async fn read_upstream_body(
    gateway: &Gateway,
    job: &Job,
    response: &mut UpstreamResponse,
) -> Result<Bytes, String> {
    let is_abandoned = may_abandon(job, &response.connection);
    let read = async {
        let mut buffer = Buffer::new(gateway.memory.open(Holder::Response, None));
        while let Some(frame) = response.body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            if let Some(data) = frame.data_ref() {
                if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
                    return Err("the answer is too large".to_owned());
                }
                let pushed = buffer.push(data).await;
                pushed.map_err(|_| "the answers in memory are too large")?;
                let now = Instant::now();
                response.progress.record_event(now);
                response.connection.record_heard(now);
            }
        }
        let whole = buffer.into_bytes();
        whole.map_err(|refusal| refusal.to_string())
    };
    tokio::select! {
        body = read => body,
        () = gateway.kept_dead(&job.service), if is_abandoned => Err(KEPT_DEAD_REASON.to_owned()),
    }
}
