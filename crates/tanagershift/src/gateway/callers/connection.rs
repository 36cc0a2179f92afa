//! Counts a caller's connection, and tells it that it must close.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{DEFAULT_DESCRIPTORS, Phase, Register, most_connections, register::Id};
use crate::gateway::budget::DEFAULT_MEMORY;

#[derive(Debug)]
struct Book {
    register: Register,
    signals: HashMap<Id, oneshot::Sender<Phase>>,
}

#[derive(Debug)]
struct Inner {
    book: Mutex<Book>,
    /// Wakes those who wait for a connection to close.
    closed: Notify,
}

/// The connections of a host. Clones share them.
#[derive(Clone, Debug)]
pub struct Shared(Arc<Inner>);

impl Default for Shared {
    fn default() -> Self {
        Self::new(most_connections(DEFAULT_DESCRIPTORS, DEFAULT_MEMORY))
    }
}

impl Shared {
    /// Makes room for a number of connections.
    pub fn new(limit: usize) -> Self {
        let book = Book {
            register: Register::new(limit),
            signals: HashMap::new(),
        };
        Self(Arc::new(Inner {
            book: Mutex::new(book),
            closed: Notify::new(),
        }))
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.0.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new connection, once others have closed for it. The receiver is told when it must close
    /// itself. `None` if every connection has a request that may run.
    pub async fn open(&self, address: IpAddr) -> Option<(Guard, oneshot::Receiver<Phase>)> {
        loop {
            let closed = self.0.closed.notified();
            tokio::pin!(closed);
            // From here on no close is missed.
            closed.as_mut().enable();
            {
                let mut book = self.book();
                if let Some(id) = book.register.open(address, Instant::now()) {
                    let (signal, must_close) = oneshot::channel();
                    book.signals.insert(id, signal);
                    let shared = self.clone();
                    let guard = Guard {
                        shared,
                        id,
                        address,
                    };
                    return Some((guard, must_close));
                }
                let is_closing = book.register.is_closing_any();
                if !is_closing && !book.give_up_one() {
                    return None;
                }
            }
            closed.await;
        }
    }

    /// Closes a connection, if one may close.
    pub fn give_up_one(&self) -> bool {
        self.book().give_up_one()
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.book().register.count()
    }

    /// Most connections that may be open.
    pub fn limit(&self) -> usize {
        self.book().register.limit()
    }
}

impl Book {
    fn give_up_one(&mut self) -> bool {
        let Some((id, phase)) = self.register.give_up_one() else {
            return false;
        };
        if let Some(signal) = self.signals.remove(&id) {
            // A connection that has closed by itself needs no signal.
            let _ = signal.send(phase);
        }
        true
    }
}

/// Counts a connection until dropped.
#[derive(Debug)]
pub struct Guard {
    shared: Shared,
    id: Id,
    address: IpAddr,
}

impl Guard {
    /// Address of the caller.
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// Records what happens on the connection. Returns false if it must close instead.
    pub fn begin(&self, phase: Phase) -> bool {
        let mut book = self.shared.book();
        book.register.begin(self.id, phase, Instant::now())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut book = self.shared.book();
        book.register.close(self.id);
        book.signals.remove(&self.id);
        drop(book);
        self.shared.0.closed.notify_waiters();
    }
}

/// A response on its way to a caller; the connection is idle once it is dropped.
#[derive(Debug)]
pub struct Response(Arc<Guard>);

impl Response {
    /// Starts a response on a connection.
    pub fn new(connection: Arc<Guard>) -> Self {
        Self(connection)
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        // A connection that must close has been told so.
        let _ = self.0.begin(Phase::Idle);
    }
}
