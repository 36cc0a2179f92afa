//! A small HTTP server and client for the stand-ins.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    client::legacy::{Client as Legacy, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use serde_json::Value;
use snafu::Snafu;
use tokio::{net::TcpListener, time::timeout};

/// Why a stand-in or a tool failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{text}"), visibility(pub))]
pub struct Error {
    /// For people.
    pub text: String,
}

impl Error {
    /// Makes an error of a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self { text: text.into() }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::new(error.to_string())
    }
}

/// The server cuts the connection.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("connection cut on purpose"))]
pub struct Cut;

/// Body of a stand-in's answer.
pub type Body = BoxBody<Bytes, Cut>;

/// Answer of a stand-in; an error cuts the connection without one.
pub type Answer = Result<Response<Body>, Cut>;

/// Makes a whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// Seconds of the pause that a refusal asks for.
const PAUSE_SECONDS: &str = "1.5";

/// A refusal that asks for a pause.
pub fn pause() -> Response<Body> {
    let mut response = json(503, &serde_json::json!({ "error": "pause" }));
    let seconds = HeaderValue::from_static(PAUSE_SECONDS);
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}

/// Makes a JSON answer.
pub fn json(status: u16, value: &Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Serves requests until the process ends.
pub async fn serve<H, F>(address: SocketAddr, handle: H) -> Result<(), Error>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send,
{
    let listener = TcpListener::bind(address).await?;
    println!("listening on {address}");
    loop {
        let (stream, _) = listener.accept().await?;
        // A connection without it works, only slower.
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(handle);
            // A connection that is cut, by either side, is nothing to report.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Reads a whole body.
pub async fn read(request: Request<Incoming>) -> Result<Bytes, Cut> {
    let body = request.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|_| Cut)
}

/// A client.
#[derive(Clone, Debug)]
pub struct Client(Legacy<HttpConnector, Full<Bytes>>);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// A header as text; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(Legacy::builder(TokioExecutor::new()).build(connector))
    }
}

impl Client {
    /// Sends a request; the answer's body follows.
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()));
        let request = request.map_err(|error| Error::new(error.to_string()))?;
        let answer = self.0.request(request).await;
        answer.map_err(|error| Error::new(format!("{url}: {error}")))
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, Error> {
        let whole = async {
            let answer = self.open(method, url, headers, body).await?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await;
            let body = body.map_err(|error| Error::new(format!("{url}: {error}")))?;
            Ok(Reply {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        let limit = Duration::from_secs(90);
        timeout(limit, whole)
            .await
            .map_err(|_| Error::new(format!("{url}: timeout")))?
    }

    /// Reads a JSON document.
    pub async fn get(&self, url: &str) -> Result<Value, Error> {
        Ok(self.send(Method::GET, url, &[], "").await?.json())
    }
}
