//! Faults that a stand-in shows on demand.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use hyper::{Response, header::HeaderValue};
use serde::Deserialize;

/// What goes wrong with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection is cut before the request is read.
    CutBefore,
    /// The connection is cut after the work, before the answer.
    CutAfter,
    /// The connection is cut in the middle of the answer.
    CutDuring,
    /// Status 503, and no work done.
    RefuseBefore,
    /// Status 503 after the work.
    RefuseAfter,
    /// The work is done, and the answer never comes.
    Hang,
    /// The answer names another model.
    WrongModel,
    /// The answer carries another request's id.
    WrongRequest,
    /// The load order is refused.
    LoadFails,
    /// Status 503 with the time of a pause, and no work done.
    Pause,
    /// The process ends when it has begun the work.
    Exit,
    /// This answer and all later ones announce that the upstream leaves.
    Leave,
}

/// Header by which an upstream announces that it leaves.
pub const LEAVING_HEADER: &str = "server-leaving";

/// Faults for the next requests, in order.
#[derive(Debug, Default)]
pub struct Faults {
    next: Mutex<VecDeque<Fault>>,
    leaving: AtomicBool,
}

impl Faults {
    /// Adds faults, given as a JSON list.
    pub fn add(&self, json: &[u8]) -> Result<(), serde_json::Error> {
        let faults: Vec<Fault> = serde_json::from_slice(json)?;
        self.lock().extend(faults);
        Ok(())
    }

    /// The next fault, if it is one of those named.
    pub fn take(&self, among: &[Fault]) -> Option<Fault> {
        let mut faults = self.lock();
        if faults.front().is_some_and(|fault| among.contains(fault)) {
            return faults.pop_front();
        }
        None
    }

    /// Adds the header to an answer if the upstream leaves. `Fault::Leave` takes effect here.
    pub fn announce<Body>(&self, response: &mut Response<Body>) {
        if self.take(&[Fault::Leave]).is_some() {
            self.leaving.store(true, Ordering::Relaxed);
        }
        if self.leaving.load(Ordering::Relaxed) {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(LEAVING_HEADER, value);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Fault>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
