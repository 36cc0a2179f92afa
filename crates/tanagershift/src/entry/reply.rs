//! Answers to callers, in the shape of the published completion API.

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

/// Header that says whether the request may have run.
pub const VERDICT_HEADER: &str = "x-tanagershift-verdict";
/// Header that names the adapter and version, or the upstream, that a request was for.
pub const TARGET_HEADER: &str = "x-tanagershift-target";

/// Why a body that has begun cannot be finished; the connection is cut, so that a part is never
/// taken for the whole.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the answer was cut off"))]
pub struct Cut;

/// Body of an answer.
pub type Body = BoxBody<Bytes, Cut>;

/// A refusal or failure, as the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// HTTP status.
    pub status: StatusCode,
    /// Kind of error, as the published API names kinds.
    pub kind: &'static str,
    /// Short code for programs.
    pub code: &'static str,
    /// Why, for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When another try may help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A refusal for which the caller must change the request.
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

    /// A refusal that another try later may not meet.
    pub fn busy(code: &'static str, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "overloaded_error",
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// A request that may have run and has no answer.
    pub fn unknown(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind: "api_error",
            code: "may_have_run",
            message: message.into(),
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        }
    }

    /// Body in the shape of the published API.
    pub fn json(&self) -> String {
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

    /// The whole answer.
    pub fn response(&self) -> Response<Body> {
        let mut response = whole(self.status, "application/json", self.json());
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(VERDICT_HEADER, verdict);
        if let Some(after) = self.retry_after {
            // The header counts whole seconds; coming back too early would not help.
            let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Makes a body of bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// Makes a whole answer.
pub fn whole(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
