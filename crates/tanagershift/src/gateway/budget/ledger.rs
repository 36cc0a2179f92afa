//! Decides who gets memory of a budget, and which bodies are given up for others.
//!
//! Bodies that have not arrived whole can be given up: nothing has run yet. They are, as long as there is
//! no room: those of the caller's address that holds most, the stalled ones before the others, the oldest
//! first. What has arrived whole stays. Small bodies find room where large ones do not.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

use snafu::Snafu;
use tokio::time::Instant;

/// Largest small body in bytes.
const SMALL: usize = 64 << 10;
/// Small bodies may take one part of the budget in this many beyond it.
const RESERVE_SHARE: usize = 8;
/// Time without new bytes after which a body counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Number of an entry.
pub type Id = u64;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// Body of a caller's request, until the request has ended.
    Request,
    /// Body of an upstream's response, until the caller has taken it.
    Response,
}

impl Holder {
    /// Every holder.
    pub const ALL: [Self; 2] = [Self::Request, Self::Response];

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

/// Why memory was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Refusal {
    /// The host holds too much that has arrived whole.
    #[snafu(display("no memory is left"))]
    Full,
    /// The body was given up for others.
    #[snafu(display("given up for want of memory"))]
    GivenUp,
}

impl Refusal {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::GivenUp => "given_up",
        }
    }
}

/// Answer to a demand for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The memory is taken.
    Granted,
    /// The demand is to be repeated once memory was given back. The entries were told to do so.
    Wait(Vec<Id>),
    /// There is no memory.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// May be given up.
    Arriving,
    /// Stays until it is closed.
    Whole,
    /// Has been told to give its memory back.
    GivenUp,
}

#[derive(Clone, Debug)]
struct Entry {
    holder: Holder,
    /// Address of the caller; `None` for what cannot be given up.
    caller: Option<IpAddr>,
    state: State,
    bytes: usize,
    opened_at: Instant,
    grown_at: Instant,
}

/// Who holds how much of a budget.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    used: usize,
    next: Id,
    entries: BTreeMap<Id, Entry>,
}

impl Ledger {
    /// Makes an empty ledger for a budget in bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            next: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Opens an entry that holds nothing yet. With the address of a caller it may be given up until it is
    /// complete.
    pub fn open(&mut self, holder: Holder, caller: Option<IpAddr>, now: Instant) -> Id {
        let id = self.next;
        self.next += 1;
        let state = match caller {
            Some(_) => State::Arriving,
            None => State::Whole,
        };
        let entry = Entry {
            holder,
            caller,
            state,
            bytes: 0,
            opened_at: now,
            grown_at: now,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Demands more bytes for an entry.
    pub fn grow(&mut self, id: Id, bytes: usize, now: Instant) -> Outcome {
        let Some(entry) = self.entries.get(&id) else {
            return Outcome::Refused(Refusal::Full);
        };
        if entry.state == State::GivenUp {
            return Outcome::Refused(Refusal::GivenUp);
        }
        let limit = match entry.bytes + bytes <= SMALL {
            true => self.limit + self.limit / RESERVE_SHARE,
            false => self.limit,
        };
        if entry.bytes + bytes > limit {
            return Outcome::Refused(Refusal::Full);
        }
        let mut given_up = Vec::new();
        let mut short = (self.used + bytes).saturating_sub(limit);
        if short == 0 {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.bytes += bytes;
                entry.grown_at = now;
                self.used += bytes;
            }
            return Outcome::Granted;
        }
        short = short.saturating_sub(self.released_soon());
        while short > 0 {
            let Some(victim) = self.victim(now) else {
                return Outcome::Refused(Refusal::Full);
            };
            if victim == id {
                return Outcome::Refused(Refusal::GivenUp);
            }
            if let Some(entry) = self.entries.get_mut(&victim) {
                entry.state = State::GivenUp;
                short = short.saturating_sub(entry.bytes);
            }
            given_up.push(victim);
        }
        Outcome::Wait(given_up)
    }

    /// Bytes of entries that have been told to give them back.
    fn released_soon(&self) -> usize {
        let given_up = self.entries.values();
        let given_up = given_up.filter(|entry| entry.state == State::GivenUp);
        given_up.map(|entry| entry.bytes).sum()
    }

    /// The entry that is given up next.
    fn victim(&self, now: Instant) -> Option<Id> {
        let mut held: HashMap<Option<IpAddr>, usize> = HashMap::new();
        for entry in self.entries.values() {
            *held.entry(entry.caller).or_default() += entry.bytes;
        }
        let arriving = self.entries.iter();
        let arriving =
            arriving.filter(|(_, entry)| entry.state == State::Arriving && entry.bytes > 0);
        let first = arriving.min_by_key(|(_, entry)| {
            let by_caller = held.get(&entry.caller).copied().unwrap_or_default();
            let flows = now.duration_since(entry.grown_at) < STALL_TIME;
            (std::cmp::Reverse(by_caller), flows, entry.opened_at)
        });
        first.map(|(id, _)| *id)
    }

    /// Records that an entry has arrived whole, and how many bytes of it are still held.
    ///
    /// # Errors
    ///
    /// It was given up before.
    pub fn complete(&mut self, id: Id, bytes: usize) -> Result<(), Refusal> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Ok(());
        };
        if entry.state == State::GivenUp {
            return Err(Refusal::GivenUp);
        }
        entry.state = State::Whole;
        let bytes = bytes.min(entry.bytes);
        self.used -= entry.bytes - bytes;
        entry.bytes = bytes;
        Ok(())
    }

    /// Closes an entry, which gives all of its memory back.
    pub fn close(&mut self, id: Id) {
        if let Some(entry) = self.entries.remove(&id) {
            self.used -= entry.bytes;
        }
    }

    /// Bytes that are held for something.
    pub fn held(&self, holder: Holder) -> usize {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| entry.holder == holder);
        entries.map(|entry| entry.bytes).sum()
    }

    /// Bytes that are held in all.
    pub fn used(&self) -> usize {
        self.used
    }

    /// The budget in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
