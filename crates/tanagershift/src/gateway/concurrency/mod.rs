//! Bounds the requests that are open at once at the upstreams of a brittle service, over all gateways.
//!
//! Upstreams that say that they are brittle fall over when they have to reject too many requests within a
//! second. The leader counts the open requests and assigns each one, also of plain services
//! ([`Ceilings`]). A gateway without a leader keeps to its share of the places ([`Shares`]).

mod ceiling;
pub mod message;
mod places;
mod share;
#[cfg(test)]
mod tests;

pub use ceiling::Ceilings;
pub use share::{Shares, Start};
