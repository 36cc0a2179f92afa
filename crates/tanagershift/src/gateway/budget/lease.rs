//! Takes memory from the ledger, and gives it back when it is dropped.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{
    DEFAULT_MEMORY, Holder, Ledger, Refusal,
    ledger::{Id, Outcome},
    share_of,
};

#[derive(Debug)]
struct Book {
    ledger: Ledger,
    /// Tells the entries that are given up.
    signals: HashMap<Id, oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Inner {
    book: Mutex<Book>,
    /// Wakes all who wait for memory.
    released: Notify,
}

/// The budget of a host. Clones share it.
#[derive(Clone, Debug)]
pub struct Shared(Arc<Inner>);

impl Default for Shared {
    fn default() -> Self {
        Self::new(share_of(DEFAULT_MEMORY))
    }
}

impl Shared {
    /// Makes a budget in bytes.
    pub fn new(limit: usize) -> Self {
        let book = Book {
            ledger: Ledger::new(limit),
            signals: HashMap::new(),
        };
        Self(Arc::new(Inner {
            book: Mutex::new(book),
            released: Notify::new(),
        }))
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.0.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a lease that holds nothing yet. With the address of a caller it may be given up until it is
    /// complete.
    pub fn open(&self, holder: Holder, caller: Option<IpAddr>) -> Lease {
        let (signal, given_up) = oneshot::channel();
        let mut book = self.book();
        let id = book.ledger.open(holder, caller, Instant::now());
        book.signals.insert(id, signal);
        drop(book);
        Lease {
            shared: self.clone(),
            id,
            given_up,
        }
    }

    /// Bytes that are held for something.
    pub fn held(&self, holder: Holder) -> usize {
        self.book().ledger.held(holder)
    }

    /// The budget in bytes.
    pub fn limit(&self) -> usize {
        self.book().ledger.limit()
    }
}

/// A part of the budget; dropping it gives the memory back.
#[derive(Debug)]
pub struct Lease {
    shared: Shared,
    id: Id,
    given_up: oneshot::Receiver<()>,
}

impl Lease {
    /// Takes more memory; waits for bodies that are given up for it.
    ///
    /// # Errors
    ///
    /// There is none, or this lease is given up itself.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Refusal> {
        loop {
            let shared = self.shared.clone();
            let released = shared.0.released.notified();
            tokio::pin!(released);
            // From here on no release is missed.
            released.as_mut().enable();
            let outcome = {
                let mut book = shared.book();
                let outcome = book.ledger.grow(self.id, bytes, Instant::now());
                if let Outcome::Wait(victims) = &outcome {
                    for victim in victims {
                        // A body that is being dropped needs no signal.
                        let _ = book.signals.remove(victim).map(|signal| signal.send(()));
                    }
                }
                outcome
            };
            match outcome {
                Outcome::Granted => return Ok(()),
                Outcome::Refused(refusal) => return Err(refusal),
                Outcome::Wait(_) => {}
            }
            tokio::select! {
                () = self.given_up() => return Err(Refusal::GivenUp),
                () = released => {}
            }
        }
    }

    /// Waits until the lease must be dropped; forever if it is complete.
    pub async fn given_up(&mut self) {
        if (&mut self.given_up).await.is_err() {
            std::future::pending().await
        }
    }

    /// Records that everything has arrived, of which some bytes are still held.
    ///
    /// # Errors
    ///
    /// The lease was given up before.
    pub fn complete(&mut self, bytes: usize) -> Result<(), Refusal> {
        let mut book = self.shared.book();
        book.ledger.complete(self.id, bytes)?;
        book.signals.remove(&self.id);
        drop(book);
        self.shared.0.released.notify_waiters();
        Ok(())
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut book = self.shared.book();
        book.ledger.close(self.id);
        book.signals.remove(&self.id);
        drop(book);
        self.shared.0.released.notify_waiters();
    }
}
