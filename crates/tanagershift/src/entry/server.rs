//! Serves callers' connections: limits requests, reads them and dispatches them by path.

use std::{
    convert::Infallible,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{Instant, sleep, timeout},
};

use super::{
    Config, completion,
    reply::{self, Failure, VERDICT_HEADER},
    retry::RetryBudget,
    route::LoadTracker,
    service,
};
use crate::{
    emit,
    holder::engine::{self, Http, REQUEST_ID_HEADER},
    host::Host,
    verdict::Verdict,
};

/// Request header with the caller's timeout in milliseconds.
const DEADLINE_HEADER: &str = "x-tanagershift-deadline-ms";
/// Request header with the caller's priority, which overrides the intent's.
const PRIORITY_HEADER: &str = "x-tanagershift-priority";
/// Maximum length of a caller's request id in bytes; a longer one is replaced.
const REQUEST_ID_MAX_LEN: usize = 128;
/// Delay before the next accept after a failed one, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// `Retry-After` for callers that are rejected because too many requests are open, or because the
/// host is not ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of entries in the response to `/v1/models`.
const LISTED_MODELS_MAX: usize = 10_000;
/// Path prefix of calls to plain services.
const SERVICES_PREFIX: &str = "/services/";

/// State of the entry role, shared by all connections.
#[derive(Debug)]
pub struct Entry {
    /// Host on which the entry runs.
    pub host: Arc<Host>,
    /// HTTP client for plain services.
    pub http: Http,
    load_tracker: Mutex<LoadTracker>,
    retry_budget: Mutex<RetryBudget>,
    /// One permit for each request that may be open at once; see [`Config::open_limit`].
    open_requests: Semaphore,
    /// Sequence number of the next generated id.
    next_id: AtomicU64,
}

/// A request whose headers and body were received within the limits.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id from the caller, or a generated one.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Timeout that the caller requests.
    pub timeout: Option<Duration>,
    /// Priority that the caller requests.
    pub priority: Option<i32>,
    /// When the head arrived.
    pub received_at: Instant,
}

impl Entry {
    /// Creates the entry state of a host from its settings.
    pub fn new(host: Arc<Host>) -> Self {
        let config = &host.settings.entry;
        Self {
            http: engine::http(),
            load_tracker: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(config.retry_percent)),
            open_requests: Semaphore::new(config.open_limit),
            next_id: AtomicU64::new(0),
            host,
        }
    }

    /// Returns the settings of the entry role.
    pub fn config(&self) -> &Config {
        &self.host.settings.entry
    }

    /// Locks the observed load and failures of the upstreams.
    pub fn load_tracker(&self) -> MutexGuard<'_, LoadTracker> {
        self.load_tracker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an id that is unique over all hosts and their restarts.
    pub fn unique_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let host = &self.host;
        format!("{}-{:016x}-{number}", host.settings.host.name, host.session)
    }

    /// Returns the timeout of a request: the caller's, else the intent's, else the configured
    /// default, but never more than the intent's or the configured limit.
    ///
    /// `intent_millis` is zero when there is no intent or it sets no timeout.
    pub fn request_timeout(&self, call: &Call, intent_millis: u64) -> Duration {
        let config = self.config();
        let intent = (intent_millis > 0).then(|| Duration::from_millis(intent_millis));
        let requested = call.timeout.or(intent).unwrap_or(config.timeout);
        let requested = intent.map_or(requested, |intent| requested.min(intent));
        requested.min(config.timeout_limit)
    }

    /// Accepts callers' connections until `stop` becomes true.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve_connection(stream, stop.clone()));
                }
                Err(error) => {
                    emit!(ACCEPT_FAILED, "{error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        // The option only reduces latency, so a failure to set it is ignored.
        let _ = stream.set_nodelay(true);
        let config = self.config().clone();
        let entry = self.clone();
        let service = service_fn(move |request| {
            let entry = entry.clone();
            async move { Ok::<_, Infallible>(entry.handle_request(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(config.head_timeout)
            .max_buf_size(config.head_limit.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // The caller closed the connection or violated the protocol; there is nothing to shut
            // down.
            _ = connection.as_mut() => return,
            _ = stop.wait_for(|stop| *stop) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn handle_request(self: Arc<Self>, request: Request<Incoming>) -> Response<reply::Body> {
        let _open_gauge = self.host.metrics.open();
        let id = request_id(&self, request.headers());
        let kind = request_kind(request.uri().path());
        let mut response = match self.clone().dispatch(id.clone(), request).await {
            Ok(response) => response,
            Err(failure) => {
                self.host.metrics.request(kind, failure.verdict);
                let mut response = failure.to_response();
                if failure.code == "body_unread" {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response
            }
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }

    async fn dispatch(
        self: Arc<Self>,
        id: String,
        request: Request<Incoming>,
    ) -> Result<Response<reply::Body>, Failure> {
        let Ok(permit) = self.open_requests.try_acquire() else {
            let text = "too many requests are open on this host";
            return Err(Failure::unavailable("too_many_requests", text, RETRY_AFTER));
        };
        if !self.host.is_confirmed() {
            let text = "the host has no confirmed configuration yet";
            return Err(Failure::unavailable("not_ready", text, RETRY_AFTER));
        }
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let call = self.read_request(id, request).await?;
                completion::handle(self.clone(), call).await
            }
            (Method::GET, "/v1/models") => Ok(self.list_models()),
            (_, path) if path.starts_with(SERVICES_PREFIX) => {
                let call = self.read_request(id, request).await?;
                let response = service::handle(&self, call).await;
                drop(permit);
                response
            }
            (_, "/v1/completions" | "/v1/chat/completions" | "/v1/models") => {
                let status = StatusCode::METHOD_NOT_ALLOWED;
                Err(Failure::invalid(
                    status,
                    "method_not_allowed",
                    "another method is needed",
                ))
            }
            _ => {
                let text = format!("no such path: {path}");
                Err(Failure::invalid(StatusCode::NOT_FOUND, "not_found", text))
            }
        }
    }

    /// Reads the body of a request and parses the headers that the system uses.
    async fn read_request(&self, id: String, request: Request<Incoming>) -> Result<Call, Failure> {
        let received_at = Instant::now();
        let (parts, body) = request.into_parts();
        let caller_timeout =
            parse_number(&parts.headers, DEADLINE_HEADER)?.map(Duration::from_millis);
        if caller_timeout.is_some_and(|timeout| timeout.is_zero()) {
            let text = "the deadline has passed";
            return Err(Failure::invalid(
                StatusCode::BAD_REQUEST,
                "invalid_deadline",
                text,
            ));
        }
        let priority = parse_number(&parts.headers, PRIORITY_HEADER)?;
        let config = self.config();
        let body = Limited::new(body, config.body_limit).collect();
        let unread_body = |status, text: &str| Failure::invalid(status, "body_unread", text);
        let body = match timeout(config.body_timeout, body).await {
            Err(_) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                return Err(unread_body(status, "the body did not come in time"));
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                let text = format!("the body is longer than {} bytes", config.body_limit);
                return Err(unread_body(StatusCode::PAYLOAD_TOO_LARGE, &text));
            }
            Ok(Err(_)) => {
                return Err(unread_body(
                    StatusCode::BAD_REQUEST,
                    "the body did not come whole",
                ));
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(Call {
            id,
            method: parts.method,
            path: path.to_owned(),
            headers: parts.headers,
            body,
            timeout: caller_timeout,
            priority,
            received_at,
        })
    }

    /// Lists the names that callers may request as a model: intents of adapters, and adapter versions
    /// as ADAPTER@VERSION.
    fn list_models(&self) -> Response<reply::Body> {
        let catalog = self.host.catalog();
        let model = |id: String, owner: &str| json!({ "id": id, "object": "model", "created": 0, "owned_by": owner });
        let intents = catalog
            .intents()
            .filter(|intent| intent.service.is_empty())
            .map(|intent| model(intent.name.clone(), "intent"));
        let versions = catalog.adapters().flat_map(|(name, adapter)| {
            let live = adapter.versions.iter().filter(|version| !version.removed);
            live.map(move |version| model(format!("{name}@{}", version.number), &adapter.audience))
        });
        let data: Vec<_> = intents.chain(versions).take(LISTED_MODELS_MAX).collect();
        let list = json!({ "object": "list", "data": data });
        reply::full_response(StatusCode::OK, "application/json", list.to_string())
    }

    /// Records a request that ended with a response, and adds the verdict header to the response.
    ///
    /// A 5xx status proves that the upstream received the request, but not that the request ran.
    pub fn record_response(&self, kind: &'static str, response: &mut Response<reply::Body>) {
        let verdict = if response.status().is_server_error() {
            Verdict::MayHaveRun
        } else {
            Verdict::Ran
        };
        self.host.metrics.request(kind, verdict);
        let verdict = HeaderValue::from_static(verdict.as_str());
        response.headers_mut().insert(VERDICT_HEADER, verdict);
    }
}

fn request_kind(path: &str) -> &'static str {
    if path.starts_with(SERVICES_PREFIX) {
        "service"
    } else {
        "completion"
    }
}

fn request_id(entry: &Entry, headers: &HeaderMap) -> String {
    let caller_id = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    match caller_id {
        Some(id) if !id.is_empty() && id.len() <= REQUEST_ID_MAX_LEN => id.to_owned(),
        _ => entry.unique_id(),
    }
}

fn parse_number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        let text = format!("{name} is not a number");
        Failure::invalid(StatusCode::BAD_REQUEST, "invalid_header", text)
    })
}
