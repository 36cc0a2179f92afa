//! Requests that wait for a replica, as the scheduler sees them, and its decisions.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{cost::Cost, pace::Estimate};
use crate::{id, voter::command::Key};

/// Number that the leader gives to a request for a replica; unique within its term.
pub type JobNumber = u64;

/// A part of a prompt. Its digest covers the earlier parts too, so equal digests mean equal
/// prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest of the model, the adapter and all parts up to and including this one.
    pub digest: u64,
    /// Tokens of this part alone.
    pub tokens: u32,
}

/// A request that waits for a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Number that the leader gave it.
    pub number: JobNumber,
    /// Service whose replicas can run it.
    pub service: String,
    /// Base model that it needs.
    pub model: String,
    /// Adapter that it needs, as MODEL/NAME; `None` for the base model alone.
    pub adapter: Option<String>,
    /// Availability zone of its gateway.
    pub zone: id::Zone,
    /// Host of its gateway.
    pub host: id::Host,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Upper limit of the output in tokens.
    pub max_output_tokens: u32,
    /// Expected length of the output in tokens.
    pub output_tokens: u32,
    /// When the caller leaves; `None` if its host does not say.
    pub deadline: Option<Instant>,
    /// Objective for pauses in its answer, if it has one.
    pub max_gap: Option<Duration>,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Priority class; zero is the most urgent.
    pub priority: u8,
    /// When the leader received it.
    pub received_at: Instant,
    /// When it must be sent to a replica, so that the time left until the latency objective of its
    /// route suffices to process the prompt and deliver the answer.
    pub objective: Instant,
    /// When it is refused if it still waits.
    pub refuse_at: Instant,
    /// Replicas that earlier attempts were sent to; they are not chosen again.
    pub tried: Vec<id::Upstream>,
    /// Client account of its caller; empty without one.
    pub account: String,
    /// Software version that it must run on, since it continues a stream; `None` if any will do.
    pub software: Option<id::Software>,
    /// Whether its answer is a stream that may be taken up when it breaks off.
    pub is_resumable: bool,
    /// Its shareable prompt parts and its digest, which may be suspected to crash replicas.
    pub keys: Vec<Key>,
}

/// A job that was assigned to a replica and has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningJob {
    /// Replica that runs it.
    pub replica: id::Upstream,
    /// Host of its gateway.
    pub host: id::Host,
    /// Adapter that it uses; `None` for the base model alone.
    pub adapter: Option<String>,
    /// Its shareable prompt parts and its digest, which may be suspected to crash replicas.
    pub keys: Vec<Key>,
    /// Whether its answer is a stream that may be taken up when it breaks off.
    pub is_resumable: bool,
    /// When the job was assigned.
    pub assigned_at: Instant,
}

/// What a job needs of a replica. All jobs of a group can run on the same replicas.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobGroup {
    /// Service whose replicas can run the jobs.
    pub service: String,
    /// Base model that the jobs need.
    pub model: String,
    /// Adapter that the jobs need, as MODEL/NAME; `None` for the base model alone.
    pub adapter: Option<String>,
    /// Software version that the jobs need; `None` if any will do.
    pub software: Option<id::Software>,
}

/// Pauses that replicas have asked gateways for, by host of the gateway.
#[derive(Debug, Default)]
pub struct Pauses {
    by_host: BTreeMap<id::Host, BTreeMap<id::Upstream, Instant>>,
}

impl Pauses {
    /// Replaces the pauses of one host, each given with its end.
    pub fn set(&mut self, host: &str, pauses: BTreeMap<id::Upstream, Instant>) {
        if pauses.is_empty() {
            self.by_host.remove(host);
        } else {
            self.by_host.insert(host.to_owned(), pauses);
        }
    }

    /// Whether a replica has asked a host for a pause that has not ended.
    pub fn contains(&self, host: &str, replica: &str, now: Instant) -> bool {
        let pauses = self.by_host.get(host);
        let until = pauses.and_then(|pauses| pauses.get(replica));
        until.is_some_and(|until| now < *until)
    }
}

impl Job {
    /// Whether the job must not be assigned to a replica: it was there already, or the replica has
    /// asked the job's gateway for a pause.
    pub fn excludes(&self, replica: &str, pauses: &Pauses, now: Instant) -> bool {
        let tried = self.tried.iter().any(|tried| tried == replica);
        tried || pauses.contains(&self.host, replica, now)
    }

    /// What the job needs.
    pub fn group(&self) -> JobGroup {
        JobGroup {
            service: self.service.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            software: self.software.clone(),
        }
    }
}

/// A replica that has what a job needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the replica.
    pub name: id::Upstream,
    /// Availability zone of the replica.
    pub zone: id::Zone,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that may be open there at once, if it is brittle.
    pub ceiling: Option<u32>,
    /// Capacity of its KV cache in tokens; zero if unknown.
    pub token_capacity: u32,
    /// Open requests there that were not assigned by this scheduler.
    pub unscheduled_requests: u32,
    /// Loaded version of the job's adapter; `None` for the base model alone.
    pub version: Option<u64>,
}

/// Result of scheduling one waiting job.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The job is sent to a replica.
    Send {
        /// Number of the job.
        number: JobNumber,
        /// Replica that will run the job.
        replica: id::Upstream,
        /// Adapter that the job needs.
        adapter: Option<String>,
        /// Loaded version of the adapter on that replica.
        version: Option<u64>,
        /// What it costs there.
        cost: Cost,
        /// Pace of the replica.
        pace: Estimate,
        /// Number of replicas that had what the job needs.
        holders: usize,
        /// Whether the job, or a part of its prompt, is suspected to crash replicas.
        is_trial: bool,
    },
    /// The job, or a part of its prompt, crashes replicas.
    Bar {
        /// Number of the job.
        number: JobNumber,
    },
    /// The job cannot be served in time.
    Refuse {
        /// Number of the job.
        number: JobNumber,
        /// When it would be served, as far as that is known.
        retry_after: Option<Duration>,
        /// Number of replicas that had what the job needs; all of them were busy or had been tried
        /// before.
        holders: usize,
    },
}
