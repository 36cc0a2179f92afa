//! Prompt parts that crash replicas.
//!
//! Some prompts crash every replica that begins to answer them, whatever else the request holds. Each
//! gateway reports the shareable parts of the requests whose answers a crashed replica had just begun;
//! the leader collects the reports in a [`Ledger`]. A part that is reported is suspected: its requests
//! run one at a time over all hosts, until a sound answer clears it or further crashes convict it.
//! Requests with a convicted part are rejected. Suspicions and convictions are replicated and sent to
//! all gateways, which keep them in a [`Register`] and check it last before a request is written.
//!
//! * `ledger`: the leader's evidence and its rulings.
//! * `register`: a gateway's copy, and what it has seen itself.
//! * `digest`: tells requests that come again from new ones.
//! * `report`: finds out whether a replica has crashed, and reports it.

mod digest;
mod ledger;
mod register;
mod report;
#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::id;

pub use digest::request_digest;
pub use ledger::{Config, Ledger, Ruling};
pub use register::{Register, Standing};

/// Time after its first event from which an answer shows that its prompt is sound.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(750);
/// Time between the first and the last event up to which an answer that broke off had just begun.
const BEGINNING: Duration = Duration::from_millis(500);
/// Sound answers that began this much before a crash still clear their parts of it.
const CLEARING_WINDOW: Duration = Duration::from_secs(2);

/// Ids of the parts of a prompt that other requests may share: all but the last.
pub fn shareable_parts(parts: &[(u64, u32)]) -> Vec<id::PromptPart> {
    let shareable = parts
        .split_last()
        .map_or(&[][..], |(_, shareable)| shareable);
    shareable.iter().map(|(id, _)| *id).collect()
}
