//! What hosts and the leader tell each other when both are many: changes where the receiver has the state
//! before them, whole state at a bounded rate where it has not.
//!
//! * `message`: the parts of notices and tallies that hold changes.
//! * `list`: differences between upstream lists.
//! * `counts`: open requests as the gateways were told.
//! * `backlog`: changed residencies that wait to be sent.
//! * `receiver`: what a gateway is sent next, and how fast.

pub mod backlog;
pub mod counts;
pub mod list;
pub mod message;
pub mod receiver;
#[cfg(test)]
mod tests;
