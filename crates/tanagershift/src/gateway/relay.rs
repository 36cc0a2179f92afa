//! The body of an answer on its way to the caller.

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
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    Gateway,
    event_stream::Splitter,
    exchange::{Answer, Job},
    forward::{self, Trace},
};
use crate::verdict::Verdict;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// Bytes that are all there.
    Whole(Full<Bytes>),
    /// Events as they arrive.
    Stream(Box<Stream>),
}

impl Body {
    /// A body of bytes that are all there.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }

    /// A body of events.
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
            Self::Whole(whole) => {
                let frame = ready!(Pin::new(whole).poll_frame(context));
                // A body that is all there cannot fail.
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// When events were passed on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time from the request to the first event.
    pub first: Option<Duration>,
    /// Longest pause between two events.
    pub longest_pause: Duration,
    last: Option<Instant>,
}

type Resumed = Pin<Box<dyn Future<Output = (Trace, Option<Answer>)> + Send>>;

/// Where the events come from.
enum Source {
    Answer(Box<Answer>),
    /// The stream broke and another replica is asked to go on.
    Resuming(Resumed),
    Ended,
}

/// A stream of events that is passed on as it arrives.
pub struct Stream {
    gateway: Arc<Gateway>,
    job: Arc<Job>,
    source: Source,
    splitter: Splitter,
    trace: Trace,
    deadline: Pin<Box<Sleep>>,
    progress: Progress,
    outcome: &'static str,
    /// What must be dropped with the stream.
    kept: Option<Box<dyn Send>>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Stream")
            .field("job", &self.job)
            .finish_non_exhaustive()
    }
}

impl Stream {
    /// Makes a stream of an answer that has begun.
    pub fn new(gateway: Arc<Gateway>, job: Job, answer: Answer, trace: &mut Trace) -> Self {
        Self {
            gateway,
            deadline: Box::pin(sleep_until(job.until)),
            job: Arc::new(job),
            source: Source::Answer(Box::new(answer)),
            splitter: Splitter::default(),
            trace: std::mem::take(trace),
            progress: Progress::default(),
            outcome: "caller_left",
            kept: None,
        }
    }

    /// Keeps something until the stream ends.
    pub fn keep(&mut self, kept: Box<dyn Send>) {
        self.kept = Some(kept);
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.fail("deadline"))));
        }
        loop {
            match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(resumed) => {
                    let (trace, answer) = ready!(resumed.as_mut().poll(context));
                    self.trace = trace;
                    match answer {
                        Some(answer) => self.source = Source::Answer(Box::new(answer)),
                        None => return Poll::Ready(Some(Err(self.fail("broken")))),
                    }
                }
                Source::Answer(answer) => {
                    let frame = ready!(Pin::new(&mut answer.body).poll_frame(context));
                    if let Some(step) = self.take(frame) {
                        return Poll::Ready(step);
                    }
                }
            }
        }
    }

    /// Takes what came of the answer; `None` when there is nothing to pass on yet.
    fn take(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        match frame {
            Some(Ok(frame)) => {
                // Trailers say nothing that the caller needs.
                let data = frame.into_data().ok()?;
                let events = self.splitter.push(data);
                if events.is_empty() {
                    return None;
                }
                self.note_event();
                Some(Some(Ok(Frame::data(events))))
            }
            Some(Err(error)) => self.broken(&error.to_string()),
            None => self.ended(),
        }
    }

    fn note_event(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.progress.last.replace(now) {
            let pause = now.duration_since(last);
            self.progress.longest_pause = self.progress.longest_pause.max(pause);
            return;
        }
        let time = now.duration_since(self.job.came);
        self.progress.first = Some(time);
        self.gateway.metrics.first_event.observe(time.as_secs_f64());
    }

    fn ended(&mut self) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        let rest = self.splitter.rest();
        if !rest.is_empty() {
            return self.broken("the stream ended within an event");
        }
        if let Source::Answer(answer) = std::mem::replace(&mut self.source, Source::Ended) {
            answer.finish(&self.gateway);
        }
        self.outcome = "complete";
        Some(None)
    }

    /// Goes on at another replica, or tells the caller that the stream is not complete.
    fn broken(&mut self, reason: &str) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        self.trace.last_failure = reason.to_owned();
        // What came of an event that is not whole comes again.
        let _ = self.splitter.rest();
        if let Source::Answer(answer) = &self.source {
            let name = answer.open.upstream().name.clone();
            self.gateway.view().record_failure(&name, Instant::now());
        }
        let allowed = self.job.route.resumable
            && forward::may_send_again(&self.gateway, &self.job, &self.trace);
        if !allowed {
            return Some(Some(Err(self.fail("broken"))));
        }
        let gateway = self.gateway.clone();
        let job = self.job.clone();
        let after = self.splitter.last();
        let mut trace = std::mem::take(&mut self.trace);
        self.source = Source::Resuming(Box::pin(async move {
            let answer = forward::attempt(&gateway, &job, &mut trace, after).await;
            let answer = answer.ok().filter(|answer| answer.head.status.is_success());
            (trace, answer)
        }));
        None
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
            let objective = self.job.route.max_event_gap;
            let paused = objective.is_some_and(|most| self.progress.longest_pause > most);
            self.gateway.count_stream(&self.job.service, paused);
        }
        let verdict = match self.outcome {
            "complete" => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        };
        self.gateway.log_end(
            &self.job,
            self.outcome,
            verdict,
            &self.trace,
            &self.progress,
        );
    }
}
