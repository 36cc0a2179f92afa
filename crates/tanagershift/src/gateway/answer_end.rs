//! Decides whether the end of an answer that neither a length nor chunks frame is that of the whole
//! answer.
//!
//! Such an answer ends with its connection. The operating system also closes the connections of a process
//! that is killed, in order if nothing is unread. So the end counts only if the same run of the upstream
//! still answers afterwards. Until that is known, callers do not get the end of a stream.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Request, StatusCode,
    header::{HOST, HeaderValue},
};
use tokio::{
    sync,
    time::{Instant, timeout},
};

use super::{
    Gateway, client::MAX_REPORT_BYTES, dialect::AddedHeaders, exchange::UpstreamResponse,
    message::Upstream, view::RESTART_TIME,
};
use crate::{admission::Access, clock};

/// Longest time for an upstream to answer. A sound one may be silent for a second or so.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Why an answer that has ended may not be whole.
const UNNAMED_END_REASON: &str = "the helper cannot tell how the upstream ended the answer";
/// Why an answer that has ended may not be whole.
const UPSTREAM_GONE_REASON: &str = "the upstream is gone after it ended the answer";

/// What makes an upstream say which run it is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Question {
    /// Its report, which names the start of the run.
    Report,
    /// A health check at a path, which only the expected run answers.
    Health(String),
}

/// Upstreams that are being asked, each with the time of the last question that it answered. Answers that
/// end meanwhile wait for the same lock.
#[derive(Debug, Default)]
pub struct Confirmations {
    by_upstream: Mutex<HashMap<String, Arc<sync::Mutex<Option<Instant>>>>>,
}

impl Confirmations {
    fn of(&self, upstream: &str) -> Arc<sync::Mutex<Option<Instant>>> {
        let mut all = self
            .by_upstream
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Those that nobody waits for are forgotten.
        all.retain(|_, asked_at| Arc::strong_count(asked_at) > 1);
        all.entry(upstream.to_owned()).or_default().clone()
    }
}

impl Gateway {
    /// Checks that an answer whose body has just ended has come whole.
    ///
    /// # Errors
    ///
    /// It may have broken off; the error says why.
    pub fn confirm_whole(
        self: &Arc<Self>,
        response: &UpstreamResponse,
    ) -> impl Future<Output = Result<(), &'static str>> + Send + use<> {
        let is_framed = !response.ends_with_connection();
        let names_end = response.connection.names_end();
        let upstream = response.guard.upstream().clone();
        let gateway = self.clone();
        async move {
            if is_framed {
                return Ok(());
            }
            if !names_end {
                return Err(UNNAMED_END_REASON);
            }
            match gateway.still_runs(&upstream, Instant::now()).await {
                true => Ok(()),
                false => Err(UPSTREAM_GONE_REASON),
            }
        }
    }

    /// Whether the same run of an upstream answers after a time. Answers that end together share one
    /// question to the upstream.
    async fn still_runs(&self, upstream: &Upstream, ended_at: Instant) -> bool {
        let confirmed = self.confirmations.of(&upstream.name);
        let mut confirmed = confirmed.lock().await;
        if confirmed.is_some_and(|asked_at| asked_at >= ended_at) {
            return true;
        }
        let asked_at = Instant::now();
        let runs = timeout(ANSWER_LIMIT, self.ask_identity(upstream)).await;
        let runs = runs.unwrap_or_default();
        if runs {
            *confirmed = Some(asked_at);
        }
        self.metrics.end_checks.inc();
        if !runs {
            self.metrics.broken_ends.inc();
        }
        log::info!(
            "event=answer.end_check upstream={} runs={runs} took_ms={}",
            upstream.name,
            asked_at.elapsed().as_millis()
        );
        runs
    }

    /// Asks an upstream which run it is, over a new connection: on a kept one, an earlier answer could come
    /// late.
    async fn ask_identity(&self, upstream: &Upstream) -> bool {
        let began_at = clock::now();
        let Ok(mut connection) = self.open_connection(upstream).await else {
            return false;
        };
        // A later one may lead to another run of the same id.
        if connection.opened_at() >= began_at + RESTART_TIME {
            return false;
        }
        let question = {
            let view = self.view();
            let configuration = view.configuration.as_ref();
            let service = configuration.and_then(|all| all.services.get(&upstream.service));
            service.and_then(|service| match (&service.engine, &service.health_path) {
                (Some(_), _) => Some(Question::Report),
                (None, Some(path)) => Some(Question::Health(path.clone())),
                (None, None) => None,
            })
        };
        let Some(question) = question.filter(|_| self.may_ask(upstream)) else {
            return true;
        };
        let path = match &question {
            Question::Report => self.dialect.report_path(),
            Question::Health(path) => path,
        };
        let request = Request::get(path).body(Bytes::new().into());
        let Ok(mut request) = request else {
            return false;
        };
        let added = AddedHeaders {
            time_left: ANSWER_LIMIT,
            instance: upstream.instance.clone(),
            ..AddedHeaders::default()
        };
        *request.headers_mut() = self.dialect.request_headers(&HeaderMap::new(), &added);
        if let Ok(host) = HeaderValue::from_str(&upstream.address) {
            request.headers_mut().insert(HOST, host);
        }
        let Ok(response) = connection.send(request).await else {
            return false;
        };
        let (head, body) = response.into_parts();
        let parsed_head = self.dialect.parse_response_head(&head);
        let is_other = parsed_head
            .instance
            .is_some_and(|id| id != upstream.instance);
        if head.status == StatusCode::MISDIRECTED_REQUEST || is_other {
            return false;
        }
        if let Question::Health(_) = question {
            // Only the expected run answers otherwise, whatever it says of its health.
            return true;
        }
        let Ok(body) = Limited::new(body, MAX_REPORT_BYTES).collect().await else {
            return false;
        };
        let report = self.dialect.parse_report(&body.to_bytes());
        report.is_ok_and(|report| report.started_at_ms == upstream.started_at_ms)
    }

    /// Whether an upstream may be asked: a question counts against a pause or a limit that it has named.
    /// Otherwise the connection that it accepts must do.
    fn may_ask(&self, upstream: &Upstream) -> bool {
        let now = Instant::now();
        let mut view = self.view();
        let access = view.admission.access(&upstream.name, now);
        !matches!(access, Access::Paused { .. }) && view.limits.take(&upstream.name, now)
    }
}
