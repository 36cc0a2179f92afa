//! Decides which connection of a caller is closed for a new one.
//!
//! Only connections without a request that may run are closed: first those between requests or before
//! the end of a head, then those whose request is arriving; of either those of the address with most
//! connections, the one that has been so for longest.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::IpAddr,
};

use tokio::time::Instant;

/// Number of a connection.
pub type Id = u64;

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No request has come yet.
    New,
    /// A request has ended, and the next one has not begun.
    Idle,
    /// The body of a request is arriving.
    Receiving,
    /// A request may run.
    Serving,
}

impl Phase {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Serving => "serving",
        }
    }
}

#[derive(Clone, Debug)]
struct Connection {
    address: IpAddr,
    phase: Phase,
    since: Instant,
    /// Whether it has been told to close.
    is_closing: bool,
}

/// Open connections of callers.
#[derive(Debug)]
pub struct Register {
    limit: usize,
    next: Id,
    connections: BTreeMap<Id, Connection>,
}

impl Register {
    /// Makes an empty register for a number of connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Opens a connection; `None` if another one must be closed first.
    pub fn open(&mut self, address: IpAddr, now: Instant) -> Option<Id> {
        if self.connections.len() >= self.limit {
            return None;
        }
        let id = self.next;
        self.next += 1;
        let connection = Connection {
            address,
            phase: Phase::New,
            since: now,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Records what happens on a connection. Returns false if it must close instead.
    pub fn begin(&mut self, id: Id, phase: Phase, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        if connection.is_closing {
            return false;
        }
        connection.phase = phase;
        connection.since = now;
        true
    }

    /// Selects a connection that must close, with what happens on it; `None` if none may.
    pub fn give_up_one(&mut self) -> Option<(Id, Phase)> {
        let mut counts: HashMap<IpAddr, usize> = HashMap::new();
        for connection in self.connections.values() {
            *counts.entry(connection.address).or_default() += 1;
        }
        let open = self.connections.iter_mut();
        let may_close = open.filter(|(_, one)| !one.is_closing && one.phase != Phase::Serving);
        let first = may_close.min_by_key(|(_, one)| {
            let count = counts.get(&one.address).copied().unwrap_or_default();
            (one.phase == Phase::Receiving, Reverse(count), one.since)
        });
        let (id, connection) = first?;
        connection.is_closing = true;
        Some((*id, connection.phase))
    }

    /// Whether a connection has been told to close and has not closed yet.
    pub fn is_closing_any(&self) -> bool {
        self.connections.values().any(|one| one.is_closing)
    }

    /// Forgets a connection that has closed.
    pub fn close(&mut self, id: Id) {
        self.connections.remove(&id);
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Most connections that may be open.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
