//! The evidence against one prompt part or request.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::Config;
use crate::{
    gateway::{message::Accusation, scheduler::JobNumber},
    id,
    voter::command::Key,
};

/// Crashes within this time of each other may have a common cause: replicas that lose power together
/// crash together, whatever they run.
const COMMON_CAUSE_SPAN: Duration = Duration::from_millis(100);
/// Multiple of the configured crashes that convicts a part although other parts of the same requests
/// may be the cause.
const AMBIGUOUS_FACTOR: u32 = 2;
/// Time after the end of a trial in which its outcome is reported; no other trial begins in it. It
/// doubles with each trial that ends without an outcome.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Number of times that [`SETTLING_TIME`] doubles at most.
const MAX_SETTLING_DOUBLINGS: u32 = 5;
/// Number of different times at which a request must have crashed replicas to be convicted.
const MIN_CRASH_TIMES: u32 = 2;

/// Evidence against one key.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) crashes: u32,
    /// Crashes by request, for a part.
    pub(super) crashes_by_request: BTreeMap<id::RequestDigest, u32>,
    /// Number of different times of the crashes, for a request.
    pub(super) crash_times: u32,
    pub(super) convicted: bool,
    pub(super) last_crash: Instant,
    /// The replica that crashed last; empty for a restored suspicion.
    pub(super) last_replica: id::Upstream,
    /// Crashes before this time are counted already, by an earlier leader.
    pub(super) counted_until: Option<Instant>,
    /// Crashes on requests that had no other part which is not known to be sound.
    pub(super) sole_crashes: u32,
    /// Runs of replicas that crashed on it.
    pub(super) replicas: BTreeSet<id::Upstream>,
    /// Services of these replicas that have not answered such a request soundly since.
    pub(super) services: BTreeSet<String>,
    /// Keys that every accused request with this key had; `None` for a restored suspicion.
    pub(super) companions: Option<Arc<BTreeSet<Key>>>,
    pub(super) trial: Option<Trial>,
}

/// A crash that is held against one key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash<'a> {
    pub(super) accusation: &'a Accusation,
    /// Whether the request had no more than one part that is not known to be sound.
    pub(super) is_sole: bool,
    pub(super) at: Instant,
}

impl Suspect {
    /// Counts a crash; false if it adds nothing to the evidence.
    pub(super) fn count(&mut self, key: Key, crash: &Crash<'_>) -> bool {
        let accusation = crash.accusation;
        let is_known = self.counted_until.is_some_and(|until| crash.at < until);
        if is_known || !self.replicas.insert(accusation.upstream.clone()) {
            return false;
        }
        self.services.insert(accusation.service.clone());
        if let Some(trial) = &mut self.trial {
            trial.unresolved = 0;
        }
        let is_apart = self.crashes == 0
            || crash.at.saturating_duration_since(self.last_crash) > COMMON_CAUSE_SPAN
            || self.last_crash.saturating_duration_since(crash.at) > COMMON_CAUSE_SPAN;
        if !key.is_request() && !is_apart {
            return false;
        }
        self.crashes += 1;
        self.crash_times += u32::from(is_apart);
        self.sole_crashes += u32::from(crash.is_sole);
        if let (Key::Part(_), Some(digest)) = (key, accusation.digest) {
            *self.crashes_by_request.entry(digest).or_default() += 1;
        }
        if crash.at >= self.last_crash {
            self.last_crash = crash.at;
            self.last_replica.clone_from(&accusation.upstream);
        }
        true
    }

    /// Whether the evidence convicts.
    pub(super) fn is_guilty(&self, key: Key, config: &Config) -> bool {
        let needed = config.conviction_crashes;
        match key {
            // Replicas that run one request and crash at the same time may have lost power.
            Key::Request(_) => {
                self.crashes >= needed && self.crash_times >= MIN_CRASH_TIMES.min(needed)
            }
            // The crashes of one request count once: the request itself may be the cause.
            Key::Part(_) => {
                let repeated = self.crashes_by_request.values().max();
                let crashes = self.crashes - repeated.map_or(0, |count| count - 1);
                match self.sole_crashes {
                    0 => crashes >= needed * AMBIGUOUS_FACTOR,
                    _ => crashes >= needed,
                }
            }
        }
    }
}

/// The last request with a suspected key that was sent to a replica.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    pub(super) number: JobNumber,
    /// Empty if the gateway selected it.
    pub(super) replica: id::Upstream,
    pub(super) ended_at: Option<Instant>,
    /// Earlier trials in a row that showed nothing.
    pub(super) unresolved: u32,
}

impl Trial {
    /// Whether the request ran on a replica until about the time at which that crashed.
    pub(super) fn ran_until(&self, replica: &str, crashed_at: Instant) -> bool {
        let ended_before = self
            .ended_at
            .is_some_and(|ended_at| ended_at + SETTLING_TIME < crashed_at);
        self.replica == replica && !ended_before
    }

    /// Time until which no other trial may begin; `None` while this one runs.
    pub(super) fn settled_at(&self) -> Option<Instant> {
        let doublings = self.unresolved.min(MAX_SETTLING_DOUBLINGS);
        Some(self.ended_at? + SETTLING_TIME * 2_u32.pow(doublings))
    }
}
