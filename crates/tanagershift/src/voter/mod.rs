//! The duty of a voter: keeps the replicated log, and leads when elected.
//!
//! * `state`: what the group has decided.
//! * `lease`: which host holds which replica.
//! * `permit`: the weight store's budget.
//! * `report`: answers to the operators' tool.
//! * `driver`: input and output.

pub mod driver;
pub mod lease;
pub mod permit;
pub mod report;
pub mod state;
#[cfg(test)]
mod tests;
