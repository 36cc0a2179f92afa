//! What one gateway has been sent, and what it is sent next.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::message::Watch;

/// A list that a gateway has or was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownList {
    /// Number of the list; zero for none.
    pub number: u64,
    /// Digest of the list; zero if unknown.
    pub digest: u64,
}

/// How a gateway is told of a new list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// By the changes from the list before.
    Changes,
    /// By its number alone, since the gateway has the same list under the number `from`.
    Number {
        /// Number under which the gateway has it.
        from: u64,
    },
    /// By the whole list, when there is room for it.
    WholeLater,
    /// By the whole list at once, as hosts of older versions expect.
    WholeNow,
}

/// A large message that a gateway must be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bulk {
    /// The list of upstreams.
    List,
    /// All residencies.
    Residencies,
}

/// State of one gateway that receives notices.
#[derive(Debug)]
pub struct Receiver {
    /// Whether the gateway applies changes; hosts of older versions take whole lists and counts only.
    pub takes_changes: bool,
    known: KnownList,
    needs_residencies: bool,
    is_behind: bool,
}

impl Receiver {
    /// Creates the state of a gateway that subscribes.
    pub fn new(watch: &Watch) -> Self {
        Self {
            takes_changes: watch.takes_changes,
            known: KnownList {
                number: watch.list,
                digest: watch.list_digest,
            },
            needs_residencies: false,
            is_behind: false,
        }
    }

    /// Decides how the gateway is told of the list `new`, which follows the list numbered `before`; zero if
    /// it is the first of a leader, or the first that the gateway hears of.
    pub fn update_list(&mut self, before: u64, new: KnownList) -> ListUpdate {
        self.needs_residencies |= before == 0;
        let known = self.known;
        let update = if !self.takes_changes {
            ListUpdate::WholeNow
        } else if self.is_behind {
            ListUpdate::WholeLater
        } else if before > 0 && known.number == before {
            ListUpdate::Changes
        } else if known.number > 0 && known.digest == new.digest {
            ListUpdate::Number { from: known.number }
        } else {
            ListUpdate::WholeLater
        };
        if update != ListUpdate::WholeLater {
            self.known = new;
        }
        update
    }

    /// Records that a notice could not be queued. Nothing is sent until the queue is empty, then everything
    /// that may have changed.
    pub fn fall_behind(&mut self) {
        self.is_behind = true;
        self.needs_residencies = true;
    }

    /// Whether the gateway has missed notices.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Records that the gateway is sent the whole state but its bulk.
    pub fn catch_up(&mut self) {
        self.is_behind = false;
    }

    /// Whether the gateway has been sent the newest list.
    pub fn has_list(&self, newest: u64) -> bool {
        newest > 0 && self.known.number == newest
    }

    /// The next large message that the gateway must be sent.
    pub fn due(&self, newest: u64) -> Option<Bulk> {
        if self.is_behind || newest == 0 {
            return None;
        }
        if self.takes_changes && !self.has_list(newest) {
            return Some(Bulk::List);
        }
        self.needs_residencies.then_some(Bulk::Residencies)
    }

    /// Records that a large message has been queued; `list` is the newest list.
    pub fn record_sent(&mut self, bulk: Bulk, list: KnownList) {
        match bulk {
            Bulk::List => self.known = list,
            Bulk::Residencies => self.needs_residencies = false,
        }
    }
}

/// Bounds the rate of large messages over all gateways.
#[derive(Debug)]
pub struct Pacer {
    /// Earliest time of the next message.
    pub next: Instant,
    bytes_per_second: f64,
    burst: Duration,
}

impl Pacer {
    /// Creates a pacer that allows the first message at `next`. The rate may be used in advance for a time
    /// of `burst`.
    pub fn new(bytes_per_second: f64, burst: Duration, next: Instant) -> Self {
        Self {
            next,
            bytes_per_second,
            burst,
        }
    }

    /// Whether a message may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Counts a message of a number of bytes.
    pub fn spend(&mut self, bytes: usize, now: Instant) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let earliest = now.checked_sub(self.burst).unwrap_or(now);
        self.next = self.next.max(earliest) + time;
    }
}
