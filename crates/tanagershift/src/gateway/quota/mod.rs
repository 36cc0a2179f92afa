//! Quotas: how much each client account uses, over all hosts together.
//!
//! Time itself is shared out. Each second of a host is worth a part of every account's rate, and all parts
//! together are at most one. While a host hears a leader, it gives its time to that leader, whose buckets
//! it fills; else, after a delay and for a limited time, the host spends its part itself. So no second is
//! spent twice, whichever hosts and leaders hear each other.
//!
//! * `supply`: the time that hosts have given to a leader, and the parts that they have.
//! * `ledger`: a leader's bucket for each account.
//! * `allowance`: what a host may spend without a leader, and the time that it gives.

pub mod allowance;
pub mod ledger;
pub mod supply;
#[cfg(test)]
mod tests;

use std::time::Duration;

use prost::Message;

use crate::id;

/// Time since a host last gave time for which it may spend its part alone.
const ALONE_TIME: Duration = Duration::from_secs(15);
/// Longest time that a host holds for the next leader, which gets it at once.
const HELD_TIME: Duration = Duration::from_millis(1500);
/// Added to [`ALONE_TIME`] by leaders, for tallies that were lost and for clocks that drift apart.
const ALONE_MARGIN: Duration = Duration::from_secs(5);
/// Intervals of notices, and of tallies, after which a host without notices spends its part alone.
const ALONE_AFTER_INTERVALS: u32 = 5;
/// Shortest such time.
const ALONE_AFTER: Duration = Duration::from_millis(1500);
/// Intervals without a tally after which a leader counts a host as silent. Shorter than the time after
/// which the host spends alone.
const SILENT_AFTER_INTERVALS: u32 = 4;
/// Shortest such time.
const SILENT_AFTER: Duration = Duration::from_millis(1200);

/// Time that a host has given to a leader, as it reports it.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
pub struct Gift {
    /// Term of the leader that gets the time.
    #[prost(uint64, tag = "1")]
    pub term: id::Term,
    /// Milliseconds of its time that the host's process has given to all leaders.
    #[prost(uint64, tag = "2")]
    pub given_ms: u64,
    /// Those of them that it had given when it first heard this leader.
    #[prost(uint64, tag = "3")]
    pub earlier_ms: u64,
    /// Part of every quota that the host spends alone when it hears no leader.
    #[prost(double, tag = "4")]
    pub part: f64,
}

/// Time without a notice after which a host spends its part alone.
fn alone_after(interval: Duration) -> Duration {
    ALONE_AFTER.max(interval * ALONE_AFTER_INTERVALS)
}

/// Time without a tally after which a leader counts a host as silent.
fn silent_after(interval: Duration) -> Duration {
    SILENT_AFTER.max(interval * SILENT_AFTER_INTERVALS)
}
