//! The replicated log: elections, replication, membership and the leader's lease.
//!
//! After "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014), with
//! the probing votes, single-member changes and leader leases of Ongaro's dissertation.
//!
//! * `disk`: files that survive a crash.
//! * `log`: entries and snapshot in memory.
//! * `message`: what members send each other.
//! * `node`: the decisions.

pub mod disk;
#[cfg(test)]
mod disk_tests;
#[cfg(test)]
mod guard_tests;
pub mod log;
pub mod message;
pub mod node;
#[cfg(test)]
mod tests;

pub use node::{Config, Node, Ready, Refusal};
