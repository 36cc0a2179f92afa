//! Faults that a stand-in shows on demand.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

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
}

/// Faults for the next requests, in order.
#[derive(Debug, Default)]
pub struct Faults(Mutex<VecDeque<Fault>>);

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

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Fault>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
