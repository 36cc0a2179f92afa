//! Responses to callers, in the format of the published completion API.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::json;
use snafu::Snafu;

use crate::verdict::Verdict;

/// Response header with the verdict: whether the request ran, did not run, or may have run.
pub const VERDICT_HEADER: &str = "x-tanagershift-verdict";
/// Response header with the adapter and version, or the upstream, to which the request went.
pub const TARGET_HEADER: &str = "x-tanagershift-target";

/// Error that aborts a response body that was partly sent.
///
/// It closes the connection, so that the caller does not take a truncated body for a complete one.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the answer was cut off"))]
pub struct BodyAborted;

/// Body of a response, either complete or streamed.
pub type Body = BoxBody<Bytes, BodyAborted>;

/// A rejected or failed request, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Error type of the published API, such as `invalid_request_error`.
    pub kind: &'static str,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Human-readable reason.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay after which the caller may retry; `None` when a retry would not help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure that the caller can only avoid by changing the request.
    pub fn invalid(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind: "invalid_request_error",
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Creates a failure of a request that did not run and may succeed after `retry_after`.
    pub fn unavailable(
        code: &'static str,
        message: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "overloaded_error",
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a failure of a request that may have run but whose response is lost.
    pub fn may_have_run(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind: "api_error",
            code: "may_have_run",
            message: message.into(),
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        }
    }

    /// Returns the error body in the format of the published API.
    pub fn to_json(&self) -> String {
        json!({
            "error": {
                "message": self.message,
                "type": self.kind,
                "code": self.code,
                "param": null,
                "verdict": self.verdict.as_str(),
            }
        })
        .to_string()
    }

    /// Returns the complete response, with the verdict and retry headers.
    pub fn to_response(&self) -> Response<Body> {
        let mut response = full_response(self.status, "application/json", self.to_json());
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(VERDICT_HEADER, verdict);
        if let Some(after) = self.retry_after {
            // The header has whole seconds. They are rounded up because an early retry would fail.
            let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Creates a complete body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// Creates a complete response.
pub fn full_response(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
