//! Replicated log with the Raft algorithm.
//!
//! It follows "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014),
//! with the pre-vote, single-server membership changes and leader leases of Ongaro's dissertation.
//!
//! * `disk`: the files of a member.
//! * `log`: entries and snapshot in memory.
//! * `message`: messages between members, and the types that are stored.
//! * `node`: the state machine of a member, without input or output.

pub mod disk;
#[cfg(test)]
mod disk_tests;
pub mod log;
pub mod message;
pub mod node;
#[cfg(test)]
mod safety_tests;
#[cfg(test)]
mod tests;

pub use node::{Config, Node, Ready, Refusal};
