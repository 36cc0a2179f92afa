//! Decides whether the response of another replica continues a stream that broke off.
//!
//! Within one answer a second response is either a continuation or a failure. That is decided from its
//! whole head before its first byte is passed on, and from the id of its first event
//! ([`super::event_stream`]).

use hyper::{
    HeaderMap, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderName},
    http::response,
};

/// Headers that a continuation must have in common with the first response.
const COMMON_HEADERS: [HeaderName; 2] = [CONTENT_TYPE, CONTENT_ENCODING];

/// What the head of the first response has told the caller about the stream.
#[derive(Clone, Debug)]
pub struct Promise {
    status: StatusCode,
    headers: HeaderMap,
}

impl Promise {
    /// Takes what matters from the head of the first response.
    pub fn new(head: &response::Parts) -> Self {
        let mut headers = HeaderMap::new();
        for name in COMMON_HEADERS {
            for value in head.headers.get_all(&name) {
                headers.append(name.clone(), value.clone());
            }
        }
        Self {
            status: head.status,
            headers,
        }
    }

    /// Checks the head of a response that is to continue the stream. That it answers the request, and is
    /// signed, has been checked already, as for each response.
    ///
    /// # Errors
    ///
    /// The response is no continuation; the error says why.
    pub fn check(&self, head: &response::Parts) -> Result<(), &'static str> {
        if head.status != self.status {
            return Err("the continuation has another status");
        }
        let has_same = |name: &HeaderName| {
            let (first, second) = (self.headers.get_all(name), head.headers.get_all(name));
            first.iter().eq(second.iter())
        };
        if !COMMON_HEADERS.iter().all(has_same) {
            return Err("the continuation has another content type or encoding");
        }
        Ok(())
    }
}
