//! Short HTTP requests to the platform and its replicas: the list, reports and orders.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request,
    header::{CONNECTION, HOST, HeaderValue},
    http::response,
};
use tokio::time::{Instant, timeout};

use super::connection::{Error, Pool};

/// Largest body of a page of the upstream list.
const MAX_PAGE_BYTES: usize = 8 << 20;
/// Largest body of a replica's answer to an order or a request for a report.
pub const MAX_REPORT_BYTES: usize = 1 << 20;

/// A request to the platform or to a replica.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; `Host` is added when the request is sent.
    pub headers: HeaderMap,
    /// Body; empty for none.
    pub body: Bytes,
    /// Largest body of the response.
    pub max_response_bytes: usize,
}

impl ApiRequest {
    /// Makes a `GET` request without headers and body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            max_response_bytes: MAX_PAGE_BYTES,
        }
    }
}

/// Sends a request on a pooled connection and reads the whole response.
///
/// # Errors
///
/// No complete response arrived in time; the error says whether the request may have run.
pub async fn fetch(
    pool: &Pool,
    address: &str,
    api_request: &ApiRequest,
    limit: Duration,
) -> Result<(response::Parts, Bytes), Error> {
    let timed_out = |_| Error::Broken {
        reason: "no answer in time".to_owned(),
    };
    timeout(limit, exchange(pool, address, api_request))
        .await
        .map_err(timed_out)?
}

async fn exchange(
    pool: &Pool,
    address: &str,
    api_request: &ApiRequest,
) -> Result<(response::Parts, Bytes), Error> {
    let broken = |reason: String| Error::Broken { reason };
    loop {
        let mut connection = pool.connect(address).await?;
        let mut request = Request::builder()
            .method(api_request.method.clone())
            .uri(&api_request.path)
            .body(api_request.body.clone().into())
            .map_err(|error| broken(error.to_string()))?;
        *request.headers_mut() = api_request.headers.clone();
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(HOST, host);
        }
        let used = connection.is_used();
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(Error::Unsent) if used => continue,
            Err(error) => return Err(error),
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, api_request.max_response_bytes)
            .collect()
            .await;
        let body = body.map_err(|error| broken(error.to_string()))?.to_bytes();
        let connection_header = head.headers.get(CONNECTION);
        let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
        if !connection_header.is_some_and(closes) {
            pool.put(connection, None, Instant::now());
        }
        return Ok((head, body));
    }
}
