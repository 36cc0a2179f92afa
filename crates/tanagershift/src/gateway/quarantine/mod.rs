//! Prompt parts and requests that crash replicas.
//!
//! Some prompts crash every replica that begins to answer them, whatever else the request holds; some
//! requests do so each time that they come, under whatever id. Each gateway reports the keys of the
//! requests whose answers a crashed replica had just begun: the shareable parts of the prompt and a
//! digest of the request. The leader collects the reports in a [`Ledger`]. A key that is reported is
//! suspected: its requests run one at a time over all hosts, until a sound answer clears it or further
//! crashes convict it. Requests with a convicted key are rejected. Suspicions and convictions are
//! replicated and sent to all gateways, which keep them in a [`Register`] and check it last before a
//! request is written.
//!
//! * `ledger`: the leader's evidence and its rulings.
//! * `suspect`: the evidence against one key.
//! * `register`: a gateway's copy, and what it has seen itself.
//! * `digest`: tells requests that come again from new ones.
//! * `report`: finds out whether a replica has crashed, and reports it.

mod digest;
mod ledger;
mod register;
mod report;
mod suspect;
#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::{gateway::dialect::RequestHead, id, voter::command::Key};

pub use digest::request_digest;
pub use ledger::{Config, Ledger, Ruling};
pub use register::{Register, Standing};

/// Time after its first event from which an answer shows that its prompt is sound.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(750);
/// Time between the first and the last event up to which an answer that broke off had just begun.
const BEGINNING: Duration = Duration::from_millis(500);
/// Sound answers that began this much before a crash still clear their keys of it.
const CLEARING_WINDOW: Duration = Duration::from_secs(2);

/// Why a request is rejected for a convicted key.
pub const CONVICTED_REASON: &str = "the request or a part of its prompt crashes replicas";
/// Why a request is rejected for a suspected key.
pub const SUSPECTED_REASON: &str = "the request or a part of its prompt may crash replicas";
/// `Retry-After` of a rejection for a convicted key. An operator may lift it.
pub const CONVICTED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Everything about a request that may crash replicas: the parts of its prompt that others may share,
/// and the request itself.
pub fn request_keys(head: &RequestHead, digest: id::RequestDigest) -> Vec<Key> {
    let parts = shareable_parts(&head.prompt_parts);
    let parts = parts.into_iter().map(Key::Part);
    parts.chain([Key::Request(digest)]).collect()
}

/// Ids of the parts of a prompt that other requests may share: all but the last.
fn shareable_parts(parts: &[(u64, u32)]) -> Vec<id::PromptPart> {
    let shareable = parts
        .split_last()
        .map_or(&[][..], |(_, shareable)| shareable);
    shareable.iter().map(|(id, _)| *id).collect()
}
