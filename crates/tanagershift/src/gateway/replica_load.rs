//! What the scheduler has assigned to one replica.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::{
    job::{Job, JobNumber},
    prompt_cache::PromptCache,
};

/// Memory of a running job, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// What is reserved for it.
    pub reserved: u32,
    /// What it is expected to need besides the shareable parts of its prompt.
    beside_parts: u32,
}

impl Memory {
    fn new(job: &Job) -> Self {
        let parts = job.parts.iter().map(|part| part.tokens);
        let parts = parts.fold(0, u32::saturating_add);
        Self {
            reserved: job.prompt_tokens.saturating_add(job.max_output_tokens),
            beside_parts: job.prompt_tokens.saturating_sub(parts) + job.output_tokens,
        }
    }
}

/// What the scheduler has assigned to one replica.
#[derive(Clone, Debug)]
pub struct ReplicaLoad {
    /// Prompt tokens that were not yet processed at `updated_at`.
    pub backlog: f64,
    /// When the backlog was last computed.
    pub updated_at: Instant,
    /// Requests that the replica runs concurrently.
    pub slots: u32,
    /// Memory of each running job.
    pub jobs: BTreeMap<JobNumber, Memory>,
    /// Parts of prompts that the replica keeps.
    cache: PromptCache,
}

impl ReplicaLoad {
    /// Load of a replica that was assigned nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            backlog: 0.0,
            updated_at: now,
            slots: 0,
            jobs: BTreeMap::new(),
            cache: PromptCache::default(),
        }
    }

    /// Prompt tokens that are not yet processed at a rate.
    pub fn backlog_at(&self, tokens_per_ms: f64, now: Instant) -> f64 {
        let passed_ms = now.saturating_duration_since(self.updated_at).as_secs_f64() * 1000.0;
        (self.backlog - passed_ms * tokens_per_ms).max(0.0)
    }

    /// Share of the replica's slots that run jobs.
    pub fn fill(&self) -> f64 {
        self.jobs.len() as f64 / f64::from(self.slots.max(1))
    }

    /// Tokens of a job's prompt after the longest beginning that the replica keeps.
    pub fn uncached_tokens(&self, job: &Job, capacity: u32, now: Instant) -> u32 {
        let kept = self.cache.kept_tokens(&job.parts, capacity, now);
        job.prompt_tokens.saturating_sub(kept)
    }

    /// Drops what is kept for an adapter that the replica unloads or replaces.
    pub fn forget(&mut self, adapter: &str) {
        self.cache.forget(adapter);
    }

    /// Adds a job that is assigned.
    pub fn add(&mut self, job: &Job, capacity: u32, now: Instant) {
        self.jobs.insert(job.number, Memory::new(job));
        self.cache.touch(job.adapter.as_deref(), &job.parts, now);
        let running = self.jobs.values();
        let running = running.map(|memory| u64::from(memory.beside_parts)).sum();
        self.cache.shrink(capacity, running);
    }
}
