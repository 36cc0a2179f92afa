//! Connections of callers and of the balancer's readiness probe.

use std::{convert::Infallible, sync::Arc, time::Duration};

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
    sync::watch,
    time::{Instant, sleep},
};

use super::{
    Gateway, connection,
    forward::{self, Trace},
    relay::Body,
};
use crate::emit;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer that the HTTP library takes for a head, in bytes.
const HEAD_MIN: usize = 8192;
/// Allowance for the request line beside the headers, in bytes.
const LINE_LIMIT: usize = 4096;

/// Serves callers until `stop` says that no more connections are wanted.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connection(gateway.clone(), stream, stop.clone()));
            }
            Err(error) => {
                emit!(ACCEPT_FAILED, "{error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(gateway: Arc<Gateway>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    // A connection without the options works, only slower.
    let _ = connection::tune(&stream);
    let limits = {
        let view = gateway.view();
        let configuration = view.configuration.as_ref();
        configuration.map_or_else(Default::default, |known| known.limits.clone())
    };
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(answer(gateway, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.max(limits.idle_timeout))
        .max_buf_size((limits.max_head_bytes + LINE_LIMIT).max(HEAD_MIN))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        // The caller is gone, or broke the protocol; either way nothing is left to do.
        _ = served.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Counts an open request until it is dropped.
struct Open(Arc<Gateway>);

impl Open {
    fn new(gateway: Arc<Gateway>) -> Self {
        gateway.metrics.open.inc();
        Self(gateway)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Logs a caller who leaves before there is an answer: then the work on the request is dropped.
struct Pending {
    gateway: Arc<Gateway>,
    id: String,
    began: Instant,
    answered: bool,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.answered {
            let waited = self.began.elapsed();
            self.gateway.metrics.request("-", "caller_left");
            log::info!(
                "event=request.left request={} waited_ms={}",
                self.id,
                waited.as_millis()
            );
        }
    }
}

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let open = Open::new(gateway.clone());
    let began = Instant::now();
    // Where a length and an encoding name different ends of the body, what follows the body must
    // not be taken for a request.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let id = gateway.dialect.request_id(request.headers());
    let mut pending = Pending {
        gateway: gateway.clone(),
        id: id.clone(),
        began,
        answered: false,
    };
    let mut trace = Trace::default();
    let outcome = forward::answer(&gateway, request, &mut trace).await;
    pending.answered = true;
    let mut response = match outcome {
        Ok(response) => response,
        Err(rejection) => {
            gateway.log_rejection(&id, &rejection, &trace, began.elapsed());
            rejection.response()
        }
    };
    if chunked || gateway.is_draining() || unread(response.status()) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Body::Stream(stream) = response.body_mut() {
        stream.keep(Box::new(open));
    }
    response
}

/// Whether an answer was given before the whole request was read.
fn unread(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT | StatusCode::NOT_FOUND
    )
}

/// Answers the balancer's readiness probe until the process ends.
pub async fn serve_probe(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(probe(gateway.clone(), stream));
            }
            Err(error) => {
                emit!(ACCEPT_FAILED, "{error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn probe(gateway: Arc<Gateway>, stream: TcpStream) {
    // A connection without the options works, only slower.
    let _ = connection::tune(&stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(readiness(&gateway, &request)) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // The balancer is gone; nothing is left to do.
    let _ = served.await;
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    let probe = gateway
        .dialect
        .is_probe(request.method(), request.uri().path());
    let status = match (probe, gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Serves the figures for operators until the process ends.
pub async fn serve_figures(gateway: Arc<Gateway>, listener: TcpListener) {
    use warp::Filter;
    let figures = warp::path!("metrics").map(move || {
        let format = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        warp::reply::with_header(gateway.metrics.render(), "content-type", format)
    });
    let live = warp::path!("healthz").map(|| String::from("ok\n"));
    warp::serve(warp::get().and(figures.or(live)).boxed())
        .incoming(listener)
        .run()
        .await;
}
