//! Short questions to the platform and its replicas: the list, reports and orders.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{CONNECTION, HOST, HeaderValue},
};
use tokio::time::{Instant, timeout};

use super::connection::{Error, Pool};

/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// A question.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ApiRequest {
    /// A question without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

/// Asks a question on a kept connection and reads the whole answer.
///
/// # Errors
///
/// No whole answer came in time; says whether the question may have arrived.
pub async fn fetch(
    pool: &Pool,
    address: &str,
    question: &ApiRequest,
    limit: Duration,
) -> Result<(StatusCode, Bytes), Error> {
    let late = |_| Error::Broken {
        reason: "no answer in time".to_owned(),
    };
    timeout(limit, exchange(pool, address, question))
        .await
        .map_err(late)?
}

async fn exchange(
    pool: &Pool,
    address: &str,
    question: &ApiRequest,
) -> Result<(StatusCode, Bytes), Error> {
    let broken = |reason: String| Error::Broken { reason };
    loop {
        let mut connection = pool.connect(address).await?;
        let mut request = Request::builder()
            .method(question.method.clone())
            .uri(&question.path)
            .body(question.body.clone().into())
            .map_err(|error| broken(error.to_string()))?;
        *request.headers_mut() = question.headers.clone();
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
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|error| broken(error.to_string()))?.to_bytes();
        let closes = head.headers.get(CONNECTION);
        if closes.is_none_or(|value| value != "close") {
            pool.put(connection, None, Instant::now());
        }
        return Ok((head.status, body));
    }
}
