//! Serving layer for very many LoRA adapters.
//!
//! Every duty's decisions are a plain state machine: typed event and the current time in, typed
//! actions out. A driver beside each does the input and output.

pub mod admin;
pub mod admission;
pub mod catalog;
pub mod clock;
pub mod completion;
pub mod daemon;
pub mod decaying_counts;
pub mod entry;
pub mod event;
pub mod follower;
pub mod gateway;
pub mod holder;
pub mod host;
pub mod id;
pub mod ini;
pub mod link;
pub mod metrics;
pub mod operator;
pub mod platform;
pub mod quorum;
pub mod settings;
#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;
pub mod verdict;
pub mod voter;
pub mod wire;
