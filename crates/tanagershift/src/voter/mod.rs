//! The duty of a voter: keeps the replicated log, and leads when elected.
//!
//! * `command`: what can be decided.
//! * `state`: what the group has decided.
//! * `lease`: which host holds which replica.
//! * `permit`: the weight store's budget.
//! * `report`: answers to the operators' tool.
//! * `join`: how a data folder comes to belong to a group.
//! * `feed`: what hosts that follow are sent.
//! * `status`: what the rest of the process is told.
//! * `admission`: how a voter joins its group without an operator.
//! * `driver`: input and output.

pub mod admission;
#[cfg(test)]
mod admission_tests;
pub mod command;
pub mod driver;
pub mod feed;
pub mod join;
pub mod lease;
pub mod permit;
pub mod report;
pub mod state;
pub mod status;
#[cfg(test)]
mod tests;
