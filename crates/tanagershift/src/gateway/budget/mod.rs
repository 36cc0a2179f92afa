//! One budget of memory for all that a host holds for others.
//!
//! * `ledger`: decides who gets memory, and which bodies are given up for others.
//! * `lease`: takes memory from the ledger, and gives it back when it is dropped.

pub mod lease;
pub mod ledger;
#[cfg(test)]
mod tests;

pub use lease::{Lease, Shared};
pub use ledger::{Holder, Ledger, Refusal};

/// Memory of a host whose settings do not name it, in bytes.
pub const DEFAULT_MEMORY: usize = 128 << 20;
/// One part of a host's memory in this many holds what it keeps for others. Freed memory that the
/// allocator cannot use again may take as much; the rest is for the host's own state.
const SHARE: usize = 4;

/// Bytes that a host of some memory may hold for others.
pub fn share_of(memory: usize) -> usize {
    memory / SHARE
}
