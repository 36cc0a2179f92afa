//! One request at one upstream.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, http::response};
use tokio::time::{Instant, timeout_at};

use super::{
    Gateway,
    configuration::Route,
    connection::{Connection, Error},
    dialect::{Call as Head, Reply, Terms},
    message::Upstream,
};
use crate::{link::Call, verdict::Verdict};

/// Connections that are tried at one upstream when idle ones turn out to be closed.
const CONNECTIONS: usize = 3;

/// A request of a caller, whole and checked.
#[derive(Debug)]
pub struct Job {
    /// What its head says.
    pub call: Head,
    /// Route that it takes.
    pub route: Arc<Route>,
    /// Service that it was given to.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it came.
    pub came: Instant,
    /// When the final answer is due.
    pub until: Instant,
}

/// An answer that has begun, and what it came on.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub head: response::Parts,
    /// What the head says.
    pub reply: Reply,
    /// Body.
    pub body: Incoming,
    /// Connection; it is free when the body has come whole.
    pub connection: Connection,
    /// Keeps the request counted at its upstream.
    pub open: Open,
}

impl Answer {
    /// Keeps the connection for another request, now that the body has come whole.
    pub fn finish(self, gateway: &Gateway) {
        let closes = self.head.headers.get(hyper::header::CONNECTION);
        if closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let keep = self.reply.keep_alive;
        gateway.pool.put(self.connection, keep, Instant::now());
    }
}

/// How an attempt ended without a usable answer.
#[derive(Debug)]
pub struct Failed {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the upstream got it, also if it refused.
    pub arrived: bool,
    /// Why.
    pub reason: String,
}

/// Counts a request at its upstream until it is dropped.
#[derive(Debug)]
pub struct Open {
    gateway: Arc<Gateway>,
    upstream: Arc<Upstream>,
    /// Stream to the leader that gave the replica; its end tells that the request has ended.
    _grant: Option<Call>,
}

impl Open {
    fn new(gateway: Arc<Gateway>, found: Found) -> Self {
        gateway.view().count_opened(&found.upstream.name);
        Self {
            gateway,
            upstream: found.upstream,
            _grant: found.grant,
        }
    }

    /// Upstream that has the request.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.gateway.view().count_closed(&self.upstream.name);
    }
}

/// An upstream that was found for a job.
#[derive(Debug)]
pub struct Found {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Version of the job's adapter there.
    pub version: Option<u64>,
    /// Stream to the leader, where the leader chose.
    pub grant: Option<Call>,
}

/// Sends a job to an upstream and waits for the head of the answer.
///
/// # Errors
///
/// There is no answer that may be passed on; says whether the job may have run.
pub async fn exchange(
    gateway: &Arc<Gateway>,
    job: &Job,
    found: Found,
    resume_after: Option<u64>,
) -> Result<Answer, Failed> {
    let version = found.version;
    let upstream = &found.upstream.clone();
    let open = Open::new(gateway.clone(), found);
    let sent = send(gateway, job, upstream, version, resume_after);
    let outcome = timeout_at(job.until, sent).await;
    let now = Instant::now();
    let (connection, response) = match outcome {
        Err(_) => {
            let reason = "no answer in time".to_owned();
            return Err(Failed::after_sending(reason));
        }
        Ok(Err(error)) => {
            let mut view = gateway.view();
            match error {
                Error::Connect { .. } => view.record_unreachable(&upstream.name, now),
                Error::Unsent | Error::Broken { .. } => view.record_failure(&upstream.name, now),
            }
            return Err(Failed {
                verdict: error.verdict(),
                arrived: error.verdict() != Verdict::NotRun,
                reason: error.to_string(),
            });
        }
        Ok(Ok(answered)) => answered,
    };
    let (head, body) = response.into_parts();
    let reply = gateway.dialect.reply(&head);
    let answer = Answer {
        head,
        reply,
        body,
        connection,
        open,
    };
    check(gateway, job, answer, now)
}

async fn send(
    gateway: &Gateway,
    job: &Job,
    upstream: &Upstream,
    version: Option<u64>,
    resume_after: Option<u64>,
) -> Result<(Connection, Response<Incoming>), Error> {
    let mut last = Error::Unsent;
    for _ in 0..CONNECTIONS {
        let mut connection = gateway.pool.connect(&upstream.address).await?;
        let request = request(gateway, job, upstream, version, resume_after)?;
        match connection.send(request).await {
            Ok(response) => return Ok((connection, response)),
            Err(Error::Unsent) => last = Error::Unsent,
            Err(error) => return Err(error),
        }
    }
    Err(last)
}

fn request(
    gateway: &Gateway,
    job: &Job,
    upstream: &Upstream,
    version: Option<u64>,
    resume_after: Option<u64>,
) -> Result<Request<super::connection::Body>, Error> {
    let terms = Terms {
        left: job.until.saturating_duration_since(Instant::now()),
        instance: upstream.instance.clone(),
        priority: job.call.model.is_some().then_some(job.route.priority),
        version,
        resume_after: resume_after.or(job.call.resume_after),
    };
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(&job.path)
        .body(job.body.clone().into())
        .map_err(|error| Error::Connect {
            reason: error.to_string(),
        })?;
    *request.headers_mut() = gateway.dialect.headers(&job.headers, &terms);
    Ok(request)
}

/// Checks that an answer is the upstream's own to this job, and that the job ran.
fn check(gateway: &Gateway, job: &Job, answer: Answer, now: Instant) -> Result<Answer, Failed> {
    let name = &answer.open.upstream().name;
    let status = answer.head.status;
    let mut view = gateway.view();
    if let Some((running, waiting, _)) = answer.reply.load {
        view.record_load(name, running, waiting, now);
    }
    let mine = answer.reply.id.as_deref() == Some(job.call.id.as_str());
    if answer.reply.id.is_some() && !mine {
        view.record_failure(name, now);
        let reason = "the answer belongs to another request".to_owned();
        return Err(Failed::after_sending(reason));
    }
    if answer.reply.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        if status == StatusCode::MISDIRECTED_REQUEST {
            let other = answer.reply.instance.as_deref();
            let moved = other.is_some_and(|other| other != answer.open.upstream().instance);
            match (&job.call.adapter, moved) {
                (Some(adapter), false) => view.record_missing(name, adapter, now),
                _ => view.record_unreachable(name, now),
            }
        }
        drop(view);
        let reason = format!("refused with {status}");
        recycle(gateway, answer);
        return Err(Failed {
            verdict: Verdict::NotRun,
            arrived: true,
            reason,
        });
    }
    if status.is_success() && !(answer.reply.signed && mine) {
        view.record_failure(name, now);
        let reason = "the answer has no signature".to_owned();
        return Err(Failed::after_sending(reason));
    }
    if status.is_server_error() {
        view.record_failure(name, now);
    } else {
        view.record_success(name);
    }
    drop(view);
    Ok(answer)
}

/// Keeps the connection of a refusal whose body is empty.
fn recycle(gateway: &Gateway, answer: Answer) {
    use hyper::body::Body as _;
    if answer.body.is_end_stream() {
        answer.finish(gateway);
    }
}

impl Failed {
    /// A failure after which nobody knows whether the job ran.
    pub fn after_sending(reason: String) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            arrived: true,
            reason,
        }
    }
}

/// Time that is left of a deadline.
pub fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
