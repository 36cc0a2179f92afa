//! Connections of callers, their limits, and the paths.

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
    retry::Budget,
    route::Table,
    service,
};
use crate::{
    emit,
    holder::engine::{self, Http, REQUEST_ID_HEADER},
    host::Host,
    verdict::Verdict,
};

/// Header with the milliseconds that the caller gives the request.
const DEADLINE_HEADER: &str = "x-tanagershift-deadline-ms";
/// Header with the priority of the request.
const PRIORITY_HEADER: &str = "x-tanagershift-priority";
/// Most characters of a caller's request id.
const REQUEST_ID_LIMIT: usize = 128;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a caller that found too many open requests may come back.
const OPEN_RETRY: Duration = Duration::from_secs(1);
/// Most models that are listed.
const MODELS_LIMIT: usize = 10_000;
/// Path below which plain services are called.
const SERVICES: &str = "/services/";

/// The duty of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Host that it runs on.
    pub host: Arc<Host>,
    /// Client of plain services.
    pub http: Http,
    table: Mutex<Table>,
    budget: Mutex<Budget>,
    open: Semaphore,
    attempts: AtomicU64,
}

/// A request after its limits were checked.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id, of the caller or made here.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time that the caller gives it.
    pub limit: Option<Duration>,
    /// Priority that the caller gives it.
    pub priority: Option<i32>,
    /// When it came.
    pub came: Instant,
}

impl Entry {
    /// Makes the duty.
    pub fn new(host: Arc<Host>) -> Self {
        let config = &host.settings.entry;
        Self {
            http: engine::http(),
            table: Mutex::default(),
            budget: Mutex::new(Budget::new(config.retry_percent)),
            open: Semaphore::new(config.open_limit),
            attempts: AtomicU64::new(0),
            host,
        }
    }

    /// Its settings.
    pub fn config(&self) -> &Config {
        &self.host.settings.entry
    }

    /// What it has seen of the upstreams.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its budget of retries.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A name for an attempt that no other attempt of any host has.
    pub fn attempt(&self) -> String {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let host = &self.host;
        format!("{}-{:016x}-{number}", host.settings.host.name, host.session)
    }

    /// Time that a request may take, by the caller's wish, an intent's and the settings.
    pub fn limit(&self, call: &Call, intent_millis: u64) -> Duration {
        let config = self.config();
        let intent = (intent_millis > 0).then(|| Duration::from_millis(intent_millis));
        let wish = call.limit.or(intent).unwrap_or(config.timeout);
        let wish = intent.map_or(wish, |intent| wish.min(intent));
        wish.min(config.timeout_limit)
    }

    /// Serves callers until `stop` says that no more connections are wanted.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().connection(stream, stop.clone()));
                }
                Err(error) => {
                    emit!(ACCEPT_FAILED, "{error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        // A connection without it works, only slower.
        let _ = stream.set_nodelay(true);
        let config = self.config().clone();
        let entry = self.clone();
        let service = service_fn(move |request| {
            let entry = entry.clone();
            async move { Ok::<_, Infallible>(entry.answer(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(config.head_timeout)
            .max_buf_size(config.head_limit.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // The caller is gone, or broke the protocol; either way nothing is left to do.
            _ = connection.as_mut() => return,
            _ = stop.wait_for(|stop| *stop) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<reply::Body> {
        let _open = self.host.metrics.open();
        let id = request_id(&self, request.headers());
        let kind = kind(request.uri().path());
        let mut response = match self.clone().dispatch(id.clone(), request).await {
            Ok(response) => response,
            Err(failure) => {
                self.host.metrics.request(kind, failure.verdict);
                let mut response = failure.response();
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
        let Ok(permit) = self.open.try_acquire() else {
            let text = "too many requests are open on this host";
            return Err(Failure::busy("too_many_requests", text, OPEN_RETRY));
        };
        if !self.host.is_confirmed() {
            let text = "the host has no confirmed configuration yet";
            return Err(Failure::busy("not_ready", text, OPEN_RETRY));
        }
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let call = self.read(id, request).await?;
                completion::answer(self.clone(), call).await
            }
            (Method::GET, "/v1/models") => Ok(self.models()),
            (_, path) if path.starts_with(SERVICES) => {
                let call = self.read(id, request).await?;
                let response = service::answer(&self, call).await;
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

    /// Reads a request's body and the headers that the system knows.
    async fn read(&self, id: String, request: Request<Incoming>) -> Result<Call, Failure> {
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let limit = number(&parts.headers, DEADLINE_HEADER)?.map(Duration::from_millis);
        if limit.is_some_and(|limit| limit.is_zero()) {
            let text = "the deadline has passed";
            return Err(Failure::invalid(
                StatusCode::BAD_REQUEST,
                "invalid_deadline",
                text,
            ));
        }
        let priority = number(&parts.headers, PRIORITY_HEADER)?;
        let config = self.config();
        let body = Limited::new(body, config.body_limit).collect();
        let unread = |status, text: &str| Failure::invalid(status, "body_unread", text);
        let body = match timeout(config.body_timeout, body).await {
            Err(_) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                return Err(unread(status, "the body did not come in time"));
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                let text = format!("the body is longer than {} bytes", config.body_limit);
                return Err(unread(StatusCode::PAYLOAD_TOO_LARGE, &text));
            }
            Ok(Err(_)) => {
                return Err(unread(
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
            limit,
            priority,
            came,
        })
    }

    fn models(&self) -> Response<reply::Body> {
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
        let data: Vec<_> = intents.chain(versions).take(MODELS_LIMIT).collect();
        let list = json!({ "object": "list", "data": data });
        reply::whole(StatusCode::OK, "application/json", list.to_string())
    }

    /// Takes note of a request that ended with an answer.
    ///
    /// A server's error says that it got the request, not that it ran.
    pub fn note_answer(&self, kind: &'static str, response: &mut Response<reply::Body>) {
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

fn kind(path: &str) -> &'static str {
    if path.starts_with(SERVICES) {
        "service"
    } else {
        "completion"
    }
}

fn request_id(entry: &Entry, headers: &HeaderMap) -> String {
    let given = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= REQUEST_ID_LIMIT => id.to_owned(),
        _ => entry.attempt(),
    }
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        let text = format!("{name} is not a number");
        Failure::invalid(StatusCode::BAD_REQUEST, "invalid_header", text)
    })
}
