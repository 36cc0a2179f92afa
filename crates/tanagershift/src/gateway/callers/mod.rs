//! Connections of callers, of which a host keeps a bounded number.
//!
//! * `register`: decides which connection is closed for a new one.
//! * `connection`: counts a connection, and tells it that it must close.
//! * `stream`: fails when the caller takes nothing of its answer for too long.

pub mod connection;
pub mod register;
pub mod stream;
#[cfg(test)]
mod tests;

pub use connection::{Guard, Response, Shared};
pub use register::{Phase, Register};

/// Descriptors of a host whose settings do not name them and whose own limit is not known.
pub const DEFAULT_DESCRIPTORS: usize = 1024;
/// One part of the descriptors in this many is for callers; the rest is for upstreams, hosts and files.
const DESCRIPTOR_SHARE: usize = 2;
/// One part of the memory in this many is for callers' connections.
const MEMORY_SHARE: usize = 4;
/// Memory of one connection: its buffers in both directions, and its task.
const CONNECTION_BYTES: usize = 32 << 10;

/// Connections that a host with some descriptors and memory keeps.
pub fn most_connections(descriptors: usize, memory: usize) -> usize {
    let by_descriptors = descriptors / DESCRIPTOR_SHARE;
    let by_memory = memory / MEMORY_SHARE / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(1)
}
