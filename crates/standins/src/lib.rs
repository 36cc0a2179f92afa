//! Stand-ins of the systems around tanagershift, and its load tool.
//!
//! They share no code with what they test: they meet it by the published protocols only.

pub mod engine;
pub mod faults;
pub mod http;
pub mod list;
pub mod load;
pub mod ports;
pub mod samples;
pub mod service;
pub mod session;
pub mod store;
