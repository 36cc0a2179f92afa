//! Names for the identifiers that pass between the duties.

/// Name of a host of the system, unique and set by its settings.
pub type Host = String;
/// Name of an availability zone.
pub type Zone = String;
/// Name of an upstream as the platform lists it.
pub type Upstream = String;
/// Identity of one voter's data folder, minted when the folder is first used.
pub type Member = u64;
/// Number of an accepted configuration; grows by one with each accepted change set.
pub type Revision = u64;
/// Fencing number of a lease on a replica; never used twice.
pub type Epoch = u64;
/// Term of a leader of the replicated log.
pub type Term = u64;
/// Position in the replicated log, from one.
pub type Index = u64;
/// Id of a part of a prompt; equal ids mean equal parts, also in different requests.
pub type PromptPart = u64;
/// Digest of a request's path, caller and body; equal digests mean that the request came again.
pub type RequestDigest = u64;
/// Version of the software of an upstream, as the platform lists it.
pub type Software = String;
/// Number of a stream within one connection; never used twice within it.
pub type Stream = u64;
