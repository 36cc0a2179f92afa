//! Whether another try of a request may be made.

use crate::verdict::Verdict;

/// Retries that may be made at once after a quiet time.
const RESERVE: f64 = 50.0;

/// A budget of retries that grows with the requests.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    left: f64,
}

impl Budget {
    /// Makes a full budget; `percent` of the requests may be retried.
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            left: RESERVE,
        }
    }

    /// Takes note of a request.
    pub fn earn(&mut self) {
        self.left = (self.left + self.share).min(RESERVE);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Whether a request that ended with a verdict may be sent once more.
///
/// `begun` says that part of the answer has gone to the caller.
pub fn may_repeat(verdict: Verdict, idempotent: bool, begun: bool) -> bool {
    if begun {
        return false;
    }
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => idempotent,
        Verdict::Ran => false,
    }
}
