//! The voter role of a host: keeps the replicated log, and leads the group when elected.
//!
//! * `command`: commands in the log, and their outcomes.
//! * `state`: the replicated state machine.
//! * `lease`: leases of hosts on replicas.
//! * `permit`: permits to load from the weight store.
//! * `report`: answers to queries of the operators' tool.
//! * `folder`: assigns a data folder to a group, and formats it.
//! * `feed`: updates for hosts that follow the leader.
//! * `software`: software versions that began streams.
//! * `status`: the voter's status for the rest of its process.
//! * `membership`: creates or joins a group without action by an operator.
//! * `driver`: runs a voter, with its input and output.

pub mod command;
pub mod driver;
pub mod feed;
pub mod folder;
pub mod lease;
pub mod membership;
#[cfg(test)]
mod membership_tests;
pub mod permit;
pub mod report;
pub mod software;
pub mod state;
pub mod status;
#[cfg(test)]
mod tests;
