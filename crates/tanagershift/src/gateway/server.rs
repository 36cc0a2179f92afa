//! HTTP servers for callers, for the load balancer's readiness probe and for the operators' metrics.

use std::{convert::Infallible, net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
    time::{Instant, sleep, timeout},
};

use super::{
    Gateway,
    callers::{self, Phase},
    connection,
    forward::{self, Rejection, Trace},
    relay::Body,
};
use crate::emit;

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time for the end of a response to be written on a connection that is closed for others.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8192;
/// Buffer space for the request line, in addition to the headers.
const REQUEST_LINE_BYTES: usize = 4096;

/// Accepts and serves callers' connections until `stop` becomes true.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                let admitted = tokio::select! {
                    admitted = admit(&gateway, caller.ip()) => admitted,
                    _ = stop.wait_for(|stop| *stop) => return,
                };
                // A connection that is not admitted is closed here.
                if let Some(connection) = admitted {
                    tokio::spawn(serve_caller(
                        gateway.clone(),
                        stream,
                        connection,
                        stop.clone(),
                    ));
                }
            }
            Err(error) => {
                emit!(ACCEPT_FAILED, "{error}");
                // The cause may be that no descriptor is left.
                gateway.callers.give_up_one();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a caller's connection as open until dropped.
struct ConnectionGuard(Arc<Gateway>);

impl ConnectionGuard {
    fn new(gateway: Arc<Gateway>) -> Self {
        gateway.metrics.caller_connections.inc();
        Self(gateway)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.metrics.caller_connections.dec();
    }
}

/// A counted connection, and what tells it that it must close.
type Admitted = (callers::Guard, oneshot::Receiver<Phase>);

/// Counts a new connection, for which others may have to close.
async fn admit(gateway: &Gateway, caller: IpAddr) -> Option<Admitted> {
    let admitted = gateway.callers.open(caller).await;
    if admitted.is_none() {
        gateway.record_closed_caller("refused");
    }
    admitted
}

async fn serve_caller(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    (connection, must_close): Admitted,
    mut stop: watch::Receiver<bool>,
) {
    let caller = Arc::new(connection);
    let _guard = ConnectionGuard::new(gateway.clone());
    // A connection without the options works, only slower.
    let _ = connection::set_socket_options(&stream);
    let limits = {
        let view = gateway.view();
        let configuration = view.configuration.as_ref();
        configuration.map_or_else(Default::default, |configuration| {
            configuration.limits.clone()
        })
    };
    let stream = callers::stream::Stream::new(stream, limits.idle_timeout);
    let handler = gateway.clone();
    let service = service_fn(move |request| {
        let (gateway, caller) = (handler.clone(), caller.clone());
        async move { Ok::<_, Infallible>(handle_request(gateway, caller, request).await) }
    });
    // hyper measures the wait for a request and the arrival of its head with one timer, so the
    // longer of both limits applies.
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.max(limits.idle_timeout))
        .max_buf_size((limits.max_head_bytes + REQUEST_LINE_BYTES).max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let closed_for_others = tokio::select! {
        biased;
        Ok(phase) = must_close => Some(phase),
        // The caller disconnected or violated the protocol; there is nothing left to do.
        _ = served.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => None,
    };
    if let Some(phase) = closed_for_others {
        gateway.record_closed_caller(phase.as_str());
        if phase == Phase::Idle {
            // The end of the last response may still wait to be written.
            served.as_mut().graceful_shutdown();
            let _ = timeout(CLOSE_TIMEOUT, served).await;
        }
        return;
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Counts a caller's request as open until dropped.
struct OpenRequestGuard(Arc<Gateway>);

impl OpenRequestGuard {
    fn new(gateway: Arc<Gateway>) -> Self {
        gateway.metrics.open.inc();
        Self(gateway)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Logs on drop that the caller disconnected before it was answered: hyper then drops the future that
/// handles the request.
struct DisconnectLogger {
    gateway: Arc<Gateway>,
    id: String,
    began: Instant,
    answered: bool,
}

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        if !self.answered {
            let waited = self.began.elapsed();
            self.gateway.metrics.count_request("-", "caller_left");
            log::info!(
                "event=request.left request={} waited_ms={}",
                self.id,
                waited.as_millis()
            );
        }
    }
}

async fn handle_request(
    gateway: Arc<Gateway>,
    caller: Arc<callers::Guard>,
    request: Request<Incoming>,
) -> Response<Body> {
    let guard = OpenRequestGuard::new(gateway.clone());
    let began = Instant::now();
    // The end of a request with both a content length and a transfer encoding is ambiguous. The
    // connection is closed after each request with a transfer encoding, so that bytes after the
    // body are not taken for another request.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let id = gateway.dialect.request_id(request.headers());
    let mut disconnect_logger = DisconnectLogger {
        gateway: gateway.clone(),
        id: id.clone(),
        began,
        answered: false,
    };
    let mut trace = Trace::default();
    // If the connection must close, the request is refused before it runs.
    caller.begin(Phase::Receiving);
    let handled = tokio::select! {
        result = forward::handle_request(&gateway, &caller, request, &mut trace) => Some(result),
        () = gateway.answers_are_due() => None,
    };
    let result = handled.unwrap_or_else(|| Err(Rejection::host_stops(&trace)));
    disconnect_logger.answered = true;
    let (mut response, is_unread) = match result {
        Ok(response) => (response, false),
        Err(rejection) => {
            gateway.log_rejection(&id, &rejection, &trace, began.elapsed());
            (rejection.response(), rejection.closes_connection)
        }
    };
    let is_unread = is_unread || may_leave_body_unread(response.status());
    if chunked || gateway.is_draining() || is_unread {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let answering = callers::Response::new(caller);
    response.body_mut().attach(guard, answering);
    response
}

/// Whether a response with this status may be sent before the whole request was read.
fn may_leave_body_unread(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::NOT_FOUND
            | StatusCode::UNAUTHORIZED
    )
}

/// Serves the balancer's readiness probe until the process ends.
pub async fn serve_probe(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_probe_connection(gateway.clone(), stream));
            }
            Err(error) => {
                emit!(ACCEPT_FAILED, "{error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_probe_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    // A connection without the options works, only slower.
    let _ = connection::set_socket_options(&stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(readiness(&gateway, &request)) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // The balancer disconnected; there is nothing left to do.
    let _ = served.await;
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    let is_probe = gateway
        .dialect
        .is_probe(request.method(), request.uri().path());
    let status = match (is_probe, gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Serves metrics and a liveness check for operators until the process ends.
pub async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    use warp::Filter;
    let metrics = warp::path!("metrics").map(move || {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        gateway.measure_memory();
        warp::reply::with_header(gateway.metrics.render(), "content-type", content_type)
    });
    let live = warp::path!("healthz").map(|| String::from("ok\n"));
    warp::serve(warp::get().and(metrics.or(live)).boxed())
        .incoming(listener)
        .run()
        .await;
}
