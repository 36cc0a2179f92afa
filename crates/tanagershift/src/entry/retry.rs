//! Retry budget and rules for safe retries.

use crate::verdict::Verdict;

/// Capacity of the token bucket: the longest burst of retries.
const BUCKET_CAPACITY: f64 = 50.0;

/// A token bucket that limits retries to a share of the requests.
///
/// Each request adds a fraction of a token, and each retry takes a whole one.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_per_request: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full bucket; `percent` is the number of retries allowed per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            tokens_per_request: f64::from(percent) / 100.0,
            tokens: BUCKET_CAPACITY,
        }
    }

    /// Adds the fraction of a token for a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(BUCKET_CAPACITY);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns whether a request whose attempt ended with `verdict` may be sent again.
///
/// `response_started` is true when the caller already received part of the response.
pub fn may_repeat(verdict: Verdict, idempotent: bool, response_started: bool) -> bool {
    if response_started {
        return false;
    }
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => idempotent,
        Verdict::Ran => false,
    }
}
