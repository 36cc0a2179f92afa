//! The cases.

use std::sync::Arc;

use crate::{Fault, Site, Verdict};

#[path = "engine.rs"]
pub mod engine;
#[path = "foreign.rs"]
mod foreign;
#[path = "late_end.rs"]
mod late_end;
#[path = "limit_zero.rs"]
mod limit_zero;
#[path = "lost_model.rs"]
mod lost_model;
#[path = "replica.rs"]
pub mod replica;
#[path = "starved.rs"]
mod starved;
#[path = "unreadable_entry.rs"]
mod unreadable_entry;

pub fn run(name: &str, site: &Arc<Site>) -> Fault<Verdict> {
    match name {
        "unreadable-entry" => unreadable_entry::run(site),
        "foreign" => foreign::run(site),
        "limit-zero" => limit_zero::run(site, "Server-Limit: 0\r\n"),
        "brittle-zero" => limit_zero::run(site, "Server-Brittle: 0\r\n"),
        "late-end" => late_end::run(site),
        "lost-model" => lost_model::run(site),
        "starved" => starved::run(site),
        _ => Err(format!("no case {name}")),
    }
}
