//! Relays response bodies to callers, and resumes broken streams on another replica.

use std::{
    fmt,
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::{
    Gateway, callers,
    continuation::Promise,
    event_stream::EventSplitter,
    exchange::{Job, KEPT_DEAD_REASON, Resumption, UpstreamResponse, may_abandon},
    forward::{self, Trace},
    quarantine::SURVIVAL_TIME,
};
use crate::{id, verdict::Verdict};

/// Time without an event after which a replica that has just begun an answer is checked. A replica
/// that has lost power closes no connection, and callers leave before it is noticed otherwise.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// A body that is complete in memory, and the response that it belongs to.
    Full(Full<Bytes>, Option<callers::Response>),
    /// Events that are relayed as they arrive.
    Stream(Box<Stream>),
}

impl Body {
    /// Makes a body of complete bytes.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes), None)
    }

    /// Attaches guards that are dropped together with the body: of the request and of the response.
    pub fn attach(&mut self, request: impl Send + 'static, response: callers::Response) {
        match self {
            Self::Full(_, guard) => *guard = Some(response),
            Self::Stream(stream) => stream.attach_guard(Box::new((request, response))),
        }
    }

    /// Makes a body of relayed events.
    pub fn stream(stream: Stream) -> Self {
        Self::Stream(Box::new(stream))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(full, _) => {
                let frame = ready!(Pin::new(full).poll_frame(context));
                // The error type has no values: a complete body cannot fail.
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full, _) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full, _) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Timing of the events that were relayed to a caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Time from the request to the first event; `None` before it.
    pub first_event: Option<Duration>,
    /// Longest gap between two events.
    pub longest_gap: Duration,
    /// Number of frames with events.
    pub events: u32,
    /// Time between the first event and the last.
    pub span: Duration,
    last_event_at: Option<Instant>,
}

/// Yields the trace, and the response of the replica that continues the stream, if any does.
type ResumeFuture = Pin<Box<dyn Future<Output = (Trace, Option<UpstreamResponse>)> + Send>>;

/// Yields why the answer may have broken off, if it may.
type EndCheck = Pin<Box<dyn Future<Output = Result<(), &'static str>> + Send>>;

/// Where the events come from.
enum Source {
    Response(Box<UpstreamResponse>),
    /// The body has ended, and whether that is the end of the answer is being checked.
    Ending(Box<UpstreamResponse>, EndCheck),
    /// The stream broke, and another replica is asked to continue it.
    Resuming(ResumeFuture),
    Ended,
}

/// A stream of events that is relayed as it arrives.
pub struct Stream {
    gateway: Arc<Gateway>,
    job: Arc<Job>,
    source: Source,
    splitter: EventSplitter,
    /// What the caller was told with the head of the answer.
    promise: Promise,
    /// Software version that wrote the events so far; `None` before the first.
    software: Option<id::Software>,
    trace: Trace,
    deadline: Pin<Box<Sleep>>,
    timing: StreamTiming,
    /// Outcome that is logged when the stream is dropped; `caller_left` until it completes or
    /// fails.
    outcome: &'static str,
    /// Counts the caller's request as open until the stream is dropped.
    guard: Option<Box<dyn Send>>,
    /// When the replica is checked, while its answer has just begun.
    silence: Option<Pin<Box<Sleep>>>,
    /// Whether the answer has shown that its prompt does not crash replicas.
    is_sound: bool,
    /// Ends when the answer cannot arrive, if the stream can go on elsewhere.
    abandoned: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Stream")
            .field("job", &self.job)
            .finish_non_exhaustive()
    }
}

/// Ends when the answer cannot arrive; `None` if the stream could not go on elsewhere.
fn abandoned(
    gateway: &Arc<Gateway>,
    job: &Job,
    response: &UpstreamResponse,
) -> Option<Pin<Box<dyn Future<Output = ()> + Send>>> {
    let (gateway, service) = (gateway.clone(), job.service.clone());
    may_abandon(job, &response.connection)
        .then(|| Box::pin(async move { gateway.kept_dead(&service).await }) as _)
}

fn silence_limit() -> Pin<Box<Sleep>> {
    Box::pin(sleep(SILENCE_LIMIT))
}

impl Stream {
    /// Starts to relay a response whose head has arrived.
    pub fn new(
        gateway: Arc<Gateway>,
        job: Job,
        response: UpstreamResponse,
        trace: &mut Trace,
    ) -> Self {
        let abandoned = abandoned(&gateway, &job, &response);
        let after = job.head.resume_after.filter(|after| *after > 0);
        Self {
            gateway,
            deadline: Box::pin(sleep_until(job.deadline)),
            job: Arc::new(job),
            splitter: EventSplitter::continuing(after),
            promise: Promise::new(&response.head),
            source: Source::Response(Box::new(response)),
            software: None,
            trace: std::mem::take(trace),
            timing: StreamTiming::default(),
            outcome: "caller_left",
            guard: None,
            silence: Some(silence_limit()),
            is_sound: false,
            abandoned,
        }
    }

    /// Attaches the guard that counts the caller's request as open. It is dropped together with the
    /// stream.
    pub fn attach_guard(&mut self, guard: Box<dyn Send>) {
        self.guard = Some(guard);
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.fail("deadline"))));
        }
        self.check_silence(context);
        loop {
            match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(resume) => {
                    let (trace, response) = ready!(resume.as_mut().poll(context));
                    self.trace = trace;
                    match response {
                        Some(response) => {
                            if let Err(reason) = self.promise.check(&response.head) {
                                self.source = Source::Response(Box::new(response));
                                return Poll::Ready(Some(Err(self.fail_with(reason))));
                            }
                            self.splitter.require_continuation();
                            self.abandoned = abandoned(&self.gateway, &self.job, &response);
                            self.silence = Some(silence_limit());
                            self.source = Source::Response(Box::new(response));
                        }
                        None => return Poll::Ready(Some(Err(self.fail("broken")))),
                    }
                }
                Source::Ending(_, check) => {
                    let whole = ready!(check.as_mut().poll(context));
                    let item = match whole {
                        Ok(()) => self.complete(),
                        Err(reason) => self.resume_or_fail(reason),
                    };
                    if let Some(item) = item {
                        return Poll::Ready(item);
                    }
                }
                Source::Response(response) => {
                    let frame = match Pin::new(&mut response.body).poll_frame(context) {
                        Poll::Ready(frame) => frame,
                        Poll::Pending if self.is_abandoned(context) => {
                            match self.resume_or_fail(KEPT_DEAD_REASON) {
                                Some(item) => return Poll::Ready(item),
                                None => continue,
                            }
                        }
                        Poll::Pending => return Poll::Pending,
                    };
                    if let Some(item) = self.handle_frame(frame) {
                        return Poll::Ready(item);
                    }
                }
            }
        }
    }

    /// Handles the next frame of the upstream's body. The outer `None` means that there is nothing to
    /// relay yet.
    fn handle_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        match frame {
            Some(Ok(frame)) => {
                // Trailers carry nothing that the caller needs.
                let data = frame.into_data().ok()?;
                let events = match self.splitter.push(data) {
                    Ok(events) => events,
                    Err(error) => return Some(Some(Err(self.fail_with(&error.to_string())))),
                };
                if events.is_empty() && self.splitter.is_overlong() {
                    return self.resume_or_fail("the stream holds bytes that are no event");
                }
                if events.is_empty() {
                    return None;
                }
                self.record_event();
                self.complete_at_last_frame();
                Some(Some(Ok(Frame::data(events))))
            }
            Some(Err(error)) => self.resume_or_fail(&error.to_string()),
            None => self.end(),
        }
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        if let Source::Response(response) = &mut self.source {
            response.progress.record_event(now);
            response.connection.record_heard(now);
            let software = &response.guard.upstream().software;
            self.software.get_or_insert_with(|| software.clone());
        }
        self.report_if_survived();
        match &mut self.silence {
            Some(silence) if !self.is_sound => silence.as_mut().reset(now + SILENCE_LIMIT),
            _ => self.silence = None,
        }
        self.timing.events += 1;
        if let Some(last_event_at) = self.timing.last_event_at.replace(now) {
            let gap = now.duration_since(last_event_at);
            self.timing.span += gap;
            self.timing.longest_gap = self.timing.longest_gap.max(gap);
            return;
        }
        let time = now.duration_since(self.job.received_at);
        self.timing.first_event = Some(time);
        self.gateway.metrics.first_event.observe(time.as_secs_f64());
    }

    /// Whether the answer cannot arrive.
    fn is_abandoned(&mut self, context: &mut Context<'_>) -> bool {
        let abandoned = self.abandoned.as_mut();
        abandoned.is_some_and(|abandoned| abandoned.as_mut().poll(context).is_ready())
    }

    /// Checks a replica that has been silent since it began the answer.
    fn check_silence(&mut self, context: &mut Context<'_>) {
        let Source::Response(response) = &self.source else {
            return;
        };
        let is_over = |silence: &mut Pin<Box<Sleep>>| silence.as_mut().poll(context).is_ready();
        if self.silence.as_mut().is_some_and(is_over) {
            self.silence = None;
            let upstream = response.guard.upstream();
            // The report goes on by itself.
            drop(
                self.gateway
                    .report_crash(&self.job, upstream, response.progress),
            );
        }
    }

    /// Reports the prompt as sound once the answer has gone on for long enough.
    fn report_if_survived(&mut self) {
        if let Source::Response(response) = &self.source
            && !self.is_sound
            && response
                .progress
                .span()
                .is_some_and(|span| span >= SURVIVAL_TIME)
        {
            self.is_sound = true;
            let upstream = response.guard.upstream();
            self.gateway
                .report_sound(&self.job, upstream, &response.progress);
        }
    }

    /// Completes the stream with its last frame if the body has a length: callers' connections do not
    /// poll such a body for its end.
    fn complete_at_last_frame(&mut self) {
        let is_last = match &self.source {
            Source::Response(response) => response.body.is_end_stream(),
            Source::Ending(..) | Source::Resuming(_) | Source::Ended => false,
        };
        if is_last && self.splitter.is_empty() {
            self.complete();
        }
    }

    /// Handles the end of the upstream's body.
    fn end(&mut self) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.splitter.is_empty() {
            return self.resume_or_fail("the stream ended within an event");
        }
        match std::mem::replace(&mut self.source, Source::Ended) {
            Source::Response(response) => {
                let check = Box::pin(self.gateway.confirm_whole(&response));
                self.source = Source::Ending(response, check);
                None
            }
            other => {
                self.source = other;
                None
            }
        }
    }

    fn complete(&mut self) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Source::Response(response) | Source::Ending(response, _) =
            std::mem::replace(&mut self.source, Source::Ended)
        {
            // A crash can look like the end of an answer that ends with its connection.
            let has_events = response.progress.span().is_some();
            if !self.is_sound && has_events && !response.ends_with_connection() {
                let upstream = response.guard.upstream();
                self.gateway
                    .report_sound(&self.job, upstream, &response.progress);
            }
            response.finish(&self.gateway);
        }
        self.outcome = "complete";
        Some(None)
    }

    /// Resumes the stream on another replica, or fails the caller's stream so that the caller does not
    /// take it for complete.
    fn resume_or_fail(&mut self, reason: &str) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        self.trace.last_failure = reason.to_owned();
        // The replica that resumes the stream sends the incomplete event again.
        let _ = self.splitter.take_partial();
        let broken = match &self.source {
            Source::Response(response) | Source::Ending(response, _) => {
                let upstream = response.guard.upstream().clone();
                Some((upstream, response.progress))
            }
            Source::Resuming(_) | Source::Ended => None,
        };
        let report = broken.map(|(upstream, progress)| {
            let name = &upstream.name;
            // What breaks at a host that is cut off says nothing about the upstream.
            if !self.gateway.reach.lock().is_cut_off_from(&self.job.service) {
                self.gateway.view().record_failure(name, Instant::now());
            }
            self.gateway.log_broken(&self.job, name, &progress, reason);
            self.gateway.report_crash(&self.job, &upstream, progress)
        });
        // Without ids the next replica would send the same events again.
        let has_position = self.splitter.last_id().is_some() || self.timing.first_event.is_none();
        let allowed = self.job.route.resumable
            && has_position
            && forward::try_spend_retry(&self.gateway, &self.job, &self.trace);
        if !allowed {
            return Some(Some(Err(self.fail("broken"))));
        }
        let gateway = self.gateway.clone();
        let job = self.job.clone();
        let resumption = Resumption {
            after: self.splitter.last_id(),
            software: self.software.clone(),
        };
        let mut trace = std::mem::take(&mut self.trace);
        self.is_sound = false;
        self.source = Source::Resuming(Box::pin(async move {
            if let Some(report) = report {
                report.await;
            }
            let response =
                forward::send_with_retries(&gateway, &job, &mut trace, &resumption).await;
            (trace, response.ok())
        }));
        None
    }

    /// Fails the stream since the replica that began or continues it sends something else.
    fn fail_with(&mut self, reason: &str) -> io::Error {
        self.trace.last_failure = reason.to_owned();
        if let Source::Response(response) = &self.source {
            let name = &response.guard.upstream().name;
            self.gateway.view().record_failure(name, Instant::now());
            self.gateway
                .log_broken(&self.job, name, &response.progress, reason);
        }
        self.fail("broken")
    }

    fn fail(&mut self, outcome: &'static str) -> io::Error {
        self.source = Source::Ended;
        self.outcome = outcome;
        io::Error::other("the stream broke off")
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.outcome == "complete" {
            let max_gap = self.job.route.max_event_gap;
            let gap_exceeded = max_gap.is_some_and(|max| self.timing.longest_gap > max);
            let run = match self.trace.tried.as_slice() {
                [upstream] => {
                    let tokens = self.job.head.output_tokens();
                    Some((upstream.as_str(), tokens, &self.timing))
                }
                _ => None,
            };
            self.gateway
                .count_stream(&self.job.service, gap_exceeded, run);
        }
        let verdict = match self.outcome {
            "complete" => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        };
        self.gateway
            .log_end(&self.job, self.outcome, verdict, &self.trace, &self.timing);
    }
}
