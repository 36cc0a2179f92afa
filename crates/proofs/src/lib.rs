//! Starts the real programs for a test, and kills, freezes or ends them by id.

pub mod process;
pub mod site;
pub mod transcript;
