//! Logs and counts what is refused for want of memory or connections.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    Gateway,
    budget::{Holder, Refusal},
    forward::Rejection,
};
use crate::emit;

/// Shortest time between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// When each kind of shortage was last logged.
#[derive(Debug, Default)]
pub struct Pressure {
    memory: Mutex<Option<Instant>>,
    connections: Mutex<Option<Instant>>,
}

/// Whether a shortage is to be logged again.
fn is_due(last: &Mutex<Option<Instant>>, now: Instant) -> bool {
    let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
    let is_due = last.is_none_or(|at| now >= at + LOG_INTERVAL);
    if is_due {
        *last = Some(now);
    }
    is_due
}

impl Gateway {
    /// Rejects a request whose body finds no memory.
    pub fn refuse_for_memory(&self, refusal: Refusal) -> Rejection {
        self.metrics.count_memory_refusal(refusal.as_str());
        if is_due(&self.pressure.memory, Instant::now()) {
            emit!(
                MEMORY_SHORT,
                "cause={} limit={} request={} response={}",
                refusal.as_str(),
                self.memory.limit(),
                self.memory.held(Holder::Request),
                self.memory.held(Holder::Response),
            );
        }
        Rejection::no_room(refusal.to_string())
    }

    /// Counts a caller's connection that was closed for others, by what happened on it.
    pub fn record_closed_caller(&self, phase: &'static str) {
        self.metrics.count_closed_caller(phase);
        if is_due(&self.pressure.connections, Instant::now()) {
            emit!(
                CONNECTIONS_SHORT,
                "phase={phase} limit={} open={}",
                self.callers.limit(),
                self.callers.count(),
            );
        }
    }

    /// Brings the metrics of the memory that is held up to date.
    pub fn measure_memory(&self) {
        for holder in Holder::ALL {
            let held = self.memory.held(holder);
            self.metrics.set_held_memory(holder.as_str(), held);
        }
    }
}
