//! State machine of one replica at its holder: request queue, adapter loads and evictions.
//!
//! It does no input or output. The methods that handle events return the [`Action`]s that the
//! driver carries out.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::Config;
use crate::{decaying_counts::DecayingCounts, id};

/// Delay after the first failed load of a version; it grows with each refusal by the engine.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Half-life of the request counts by which the adapter to evict is chosen.
const REQUEST_COUNT_HALF_LIFE: Duration = Duration::from_secs(300);
/// Inverse of the weight of the newest observation in a moving average.
const MEAN_DIVISOR: u32 = 8;
/// Lower bound of the `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Identifies a request within one epoch of a replica.
pub type Ticket = u64;

/// What a request runs on: one version of one adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Name of the adapter in the catalog.
    pub adapter: String,
    /// Version number of the adapter.
    pub version: u64,
}

/// Properties of a request by which it is scheduled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request in later events and actions.
    pub ticket: Ticket,
    /// Adapter version that it must run on.
    pub target: Target,
    /// A request that is still queued at this time is refused.
    pub deadline: Instant,
    /// Requests with a higher value are dispatched first.
    pub priority: i32,
}

/// An effect that the driver carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to the engine, to run on a loaded adapter.
    Dispatch {
        /// Request to send.
        ticket: Ticket,
        /// Name of the adapter on the engine.
        name: String,
        /// Time that the request waited for its adapter to load.
        stalled: Duration,
    },
    /// Order the engine to load an adapter, after unloading another if no slot is free.
    Load {
        /// Adapter version to load.
        target: Target,
        /// Name under which the engine loads it.
        name: String,
        /// Name of the adapter to unload first.
        evict: Option<String>,
        /// Permit that covers the load; the driver releases it afterwards.
        permit: u64,
    },
    /// Ask the leader for a permit to load from the adapter store.
    AskPermit {
        /// Age of the oldest request whose adapter is neither loaded nor loading.
        waited: Duration,
        /// Number of such requests.
        waiting: u64,
    },
    /// Return an unused permit.
    ReleasePermit {
        /// Number of the permit.
        permit: u64,
    },
    /// Answer a request with the verdict that it did not run.
    Refuse {
        /// Request to refuse.
        ticket: Ticket,
        /// Reason that the answer gives.
        reason: Reason,
        /// Delay before a retry is worthwhile.
        retry_after: Duration,
    },
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue of the replica is at its limit.
    Full,
    /// The deadline has passed, or comes before the expected dispatch.
    Late,
    /// The engine has refused to load the adapter version several times in a row.
    Unloadable,
    /// This host is releasing the replica.
    Moving,
    /// This host has no valid lease on the replica.
    LeaseEnded,
}

impl Reason {
    /// Text for the answer that the caller receives.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "the queue is full",
            Self::Late => "it cannot be answered before its deadline",
            Self::Unloadable => "the adapter version does not load",
            Self::Moving => "the replica is moving to another host",
            Self::LeaseEnded => "the host does not hold the replica",
        }
    }
}

/// Outcome of a failed load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFailure {
    /// The engine answered that it cannot load the version; counts against the version.
    Refused,
    /// The engine could not be reached, did not answer, or failed for another reason.
    Unreachable,
}

/// An adapter that this holder loads or took over; it occupies one slot of the engine.
#[derive(Clone, Debug)]
struct Slot {
    /// Name of the adapter on the engine.
    name: String,
    /// Whether requests may run on the adapter; false while it loads and after it was lost.
    loaded: bool,
    /// Requests running on the adapter; it is not unloaded while there are any.
    pins: usize,
    last_used: Instant,
    /// Requests of an earlier holder may run on the adapter until this time.
    in_use_until: Instant,
    /// When the load finished, or when this holder took the adapter over. Has no meaning unless
    /// `loaded` is set.
    loaded_at: Instant,
}

/// An adapter on the engine that this holder must not use, such as one of an earlier holder.
///
/// It occupies a slot until it is evicted.
#[derive(Clone, Debug)]
struct UnmanagedAdapter {
    name: String,
    /// Requests of an earlier holder may run on the adapter until this time.
    in_use_until: Instant,
}

/// A queued request.
#[derive(Clone, Debug)]
struct Waiting {
    request: Request,
    since: Instant,
}

/// A request that was dispatched to the engine.
#[derive(Clone, Debug)]
struct Running {
    target: Target,
    since: Instant,
}

/// A target that queued requests need and that is neither loaded nor loading.
#[derive(Debug)]
struct MissingTarget {
    target: Target,
    /// Highest priority of its requests.
    priority: i32,
    /// Arrival time of the oldest request.
    oldest: Instant,
    /// Number of requests.
    waiting: u64,
    /// Sum of the times that the requests have waited.
    total_wait: Duration,
}

/// Consecutive failed loads of one version.
#[derive(Clone, Debug)]
struct FailedLoads {
    /// Loads that the engine itself refused.
    refusals: u32,
    /// No load is tried before this time.
    retry_at: Instant,
}

/// State of one replica at its holder.
#[derive(Debug)]
pub struct Replica {
    config: Config,
    epoch: id::Epoch,
    /// When the lease ends.
    lease_end: Instant,
    /// Whether the replica is being given back; new requests are refused.
    releasing: bool,
    random: SmallRng,
    slots: BTreeMap<Target, Slot>,
    unmanaged: Vec<UnmanagedAdapter>,
    waiting: VecDeque<Waiting>,
    running: BTreeMap<Ticket, Running>,
    failures: BTreeMap<Target, FailedLoads>,
    request_counts: DecayingCounts<Target>,
    /// Permit requests without an answer yet.
    pending_permits: usize,
    /// Load orders without an outcome yet.
    pending_loads: usize,
    /// Loads ordered under this epoch; makes the adapter names on the engine unique.
    load_count: u64,
    /// Moving average of the time that a request runs.
    mean_run: Duration,
    /// Moving average of the time that a load takes.
    mean_load: Duration,
}

impl Replica {
    /// Starts with an empty queue and no known adapters.
    ///
    /// `seed` determines the jitter of load retries.
    pub fn new(config: Config, epoch: id::Epoch, lease_end: Instant, seed: u64) -> Self {
        Self {
            config,
            epoch,
            lease_end,
            releasing: false,
            random: SmallRng::seed_from_u64(seed),
            slots: BTreeMap::new(),
            unmanaged: Vec::new(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
            request_counts: DecayingCounts::new(REQUEST_COUNT_HALF_LIFE),
            pending_permits: 0,
            pending_loads: 0,
            load_count: 0,
            mean_run: Duration::from_secs(1),
            mean_load: Duration::from_millis(500),
        }
    }

    /// Epoch of the lease under which this host holds the replica.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Extends the lease; an earlier `until` than the current end has no effect.
    pub fn renew(&mut self, until: Instant) {
        self.lease_end = self.lease_end.max(until);
    }

    /// Whether orders and requests may go to the engine.
    pub fn holds_lease(&self, now: Instant) -> bool {
        now < self.lease_end
    }

    /// When the lease ends.
    pub fn lease_end(&self) -> Instant {
        self.lease_end
    }

    /// Number of requests running and queued.
    pub fn open_requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Number of requests running on the engine.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of adapters that requests can run on.
    pub fn loaded_adapters(&self) -> usize {
        self.slots.values().filter(|slot| slot.loaded).count()
    }

    /// Running requests as a fraction of the batch size.
    pub fn fill(&self) -> f64 {
        self.running.len() as f64 / self.config.batch as f64
    }

    /// Whether no request is running or queued and no load order is outstanding.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && self.pending_loads == 0
    }

    /// Refuses queued and new requests, so that the replica can be given back once it is idle.
    pub fn release(&mut self) -> Vec<Action> {
        self.releasing = true;
        let refuse = |waiting: Waiting| Action::Refuse {
            ticket: waiting.request.ticket,
            reason: Reason::Moving,
            retry_after: MIN_RETRY_AFTER,
        };
        self.waiting.drain(..).map(refuse).collect()
    }

    /// Registers an adapter that the engine lists and that this holder has no record of, at the
    /// takeover or in [`Self::reconcile`].
    ///
    /// `usable` means that no earlier holder can unload the adapter any more, because that holder
    /// gave the replica back or the engine refuses its orders. `idle` means that no request runs on
    /// the adapter.
    pub fn register_existing(&mut self, name: &str, usable: bool, idle: bool, now: Instant) {
        let latest_end = now + self.config.request_timeout;
        let in_use_until = if idle { now } else { latest_end };
        if let Some(target) = parse_name(name)
            && usable
            && !self.slots.contains_key(&target)
        {
            let slot = Slot {
                name: name.to_owned(),
                loaded: true,
                pins: 0,
                last_used: now,
                in_use_until,
                loaded_at: now,
            };
            self.slots.insert(target, slot);
            return;
        }
        self.unmanaged.push(UnmanagedAdapter {
            name: name.to_owned(),
            in_use_until,
        });
    }

    /// Applies a load report of the engine: earlier holders' requests run only on the adapters in
    /// `busy`.
    pub fn apply_load_report(&mut self, busy: &[String], now: Instant) {
        for adapter in &mut self.unmanaged {
            if !busy.contains(&adapter.name) {
                adapter.in_use_until = adapter.in_use_until.min(now);
            }
        }
        for slot in self.slots.values_mut() {
            if !busy.contains(&slot.name) {
                slot.in_use_until = slot.in_use_until.min(now);
            }
        }
    }

    /// Whether requests of an earlier holder may still be running on the engine.
    pub fn has_earlier_requests(&self, now: Instant) -> bool {
        let unmanaged = self
            .unmanaged
            .iter()
            .any(|adapter| now < adapter.in_use_until);
        unmanaged || self.slots.values().any(|slot| now < slot.in_use_until)
    }

    /// Reconciles the slots with the adapters that the engine lists, after an order failed or the
    /// engine did not know the adapter of a request.
    ///
    /// Returns whether slots were dropped because the engine lost their adapters.
    pub fn reconcile(&mut self, names: &[String], now: Instant) -> bool {
        let before = self.slots.len();
        self.slots.retain(|_, slot| {
            let lost = slot.loaded && !names.contains(&slot.name);
            if lost {
                slot.loaded = false;
            }
            !lost || slot.pins > 0
        });
        self.unmanaged
            .retain(|adapter| names.contains(&adapter.name));
        for name in names {
            let managed = self.slots.values().any(|slot| slot.name == *name);
            let unmanaged = self.unmanaged.iter().any(|adapter| adapter.name == *name);
            if !managed && !unmanaged {
                self.register_existing(name, false, true, now);
            }
        }
        self.slots.len() < before
    }

    /// Queues a request, or refuses it at once.
    pub fn submit(&mut self, request: Request, now: Instant) -> Vec<Action> {
        if let Some((reason, retry_after)) = self.refusal(&request, now) {
            return vec![Action::Refuse {
                ticket: request.ticket,
                reason,
                retry_after,
            }];
        }
        self.request_counts.add(&request.target, 1, now);
        let waiting = Waiting {
            request,
            since: now,
        };
        self.waiting.push_back(waiting);
        self.advance(now)
    }

    /// Reason to refuse a new request and the delay before a retry is worthwhile; `None` if the
    /// request can be queued.
    fn refusal(&self, request: &Request, now: Instant) -> Option<(Reason, Duration)> {
        if !self.holds_lease(now) {
            return Some((Reason::LeaseEnded, MIN_RETRY_AFTER));
        }
        if self.releasing {
            return Some((Reason::Moving, MIN_RETRY_AFTER));
        }
        if let Some(failure) = self.failures.get(&request.target)
            && failure.refusals >= self.config.load_tries
            && now < failure.retry_at
        {
            return Some((Reason::Unloadable, failure.retry_at - now));
        }
        let wait = self.expected_wait(&request.target);
        if self.waiting.len() >= self.config.queue {
            return Some((Reason::Full, wait.max(MIN_RETRY_AFTER)));
        }
        if now + wait >= request.deadline {
            return Some((Reason::Late, wait.max(MIN_RETRY_AFTER)));
        }
        None
    }

    /// Estimates how long a new request for a target would wait, from the average run and load
    /// times.
    pub fn expected_wait(&self, target: &Target) -> Duration {
        let batch = self.config.batch as u32;
        let queue_wait = (self.waiting.len() as u32 / batch) * self.mean_run;
        let full = self.running.len() >= self.config.batch;
        let batch_wait = if full {
            self.mean_run / batch
        } else {
            Duration::ZERO
        };
        let loaded = self.slots.get(target).is_some_and(|slot| slot.loaded);
        let load_wait = if loaded {
            Duration::ZERO
        } else {
            self.mean_load
        };
        queue_wait + batch_wait + load_wait
    }

    /// Handles the outcome of a load order; `Ok` carries the time that the load took.
    ///
    /// Only a refusal by the engine counts against the version. When the engine cannot be reached,
    /// the load is merely delayed.
    pub fn load_finished(
        &mut self,
        target: &Target,
        outcome: Result<Duration, LoadFailure>,
        now: Instant,
    ) -> Vec<Action> {
        self.pending_loads = self.pending_loads.saturating_sub(1);
        match outcome {
            Ok(duration) => {
                self.mean_load = moving_average(self.mean_load, duration);
                self.failures.remove(target);
                if let Some(slot) = self.slots.get_mut(target) {
                    slot.loaded = true;
                    slot.last_used = now;
                    slot.loaded_at = now;
                }
            }
            Err(failure) => {
                self.slots.remove(target);
                self.record_failure(target, failure, now);
            }
        }
        let mut actions = self.refuse_unloadable(target, now);
        actions.extend(self.advance(now));
        actions
    }

    fn record_failure(&mut self, target: &Target, failure: LoadFailure, now: Instant) {
        let failed_loads = self.failures.entry(target.clone()).or_insert(FailedLoads {
            refusals: 0,
            retry_at: now,
        });
        failed_loads.refusals += u32::from(failure == LoadFailure::Refused);
        let delay = if failed_loads.refusals >= self.config.load_tries {
            self.config.load_penalty
        } else {
            LOAD_RETRY_DELAY * failed_loads.refusals.max(1)
        };
        let jitter = self.random.random_range(0.75..1.25);
        failed_loads.retry_at = now + delay.mul_f64(jitter);
    }

    /// Refuses the queued requests for a target whose load penalty is running.
    fn refuse_unloadable(&mut self, target: &Target, now: Instant) -> Vec<Action> {
        let Some(failure) = self.failures.get(target) else {
            return Vec::new();
        };
        if failure.refusals < self.config.load_tries || now >= failure.retry_at {
            return Vec::new();
        }
        let retry_after = failure.retry_at - now;
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let matches = waiting.request.target == *target;
            if matches {
                actions.push(Action::Refuse {
                    ticket: waiting.request.ticket,
                    reason: Reason::Unloadable,
                    retry_after,
                });
            }
            !matches
        });
        actions
    }

    /// Handles the end of a dispatched request; `lost` means that the engine did not know the
    /// adapter.
    pub fn request_finished(&mut self, ticket: Ticket, lost: bool, now: Instant) -> Vec<Action> {
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        if !lost {
            self.mean_run = moving_average(self.mean_run, now.duration_since(running.since));
        }
        if let Some(slot) = self.slots.get_mut(&running.target) {
            slot.pins = slot.pins.saturating_sub(1);
            slot.last_used = now;
            slot.loaded &= !lost;
            if slot.pins == 0 && !slot.loaded {
                self.slots.remove(&running.target);
            }
        }
        self.advance(now)
    }

    /// Removes a request that its caller cancelled. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|waiting| waiting.request.ticket != ticket);
        self.waiting.len() < before
    }

    /// Handles the answer to a permit request; `None` means that no permit was granted.
    pub fn permit_answered(&mut self, permit: Option<u64>, now: Instant) -> Vec<Action> {
        self.pending_permits = self.pending_permits.saturating_sub(1);
        let Some(permit) = permit else {
            return self.advance(now);
        };
        let most_urgent = self.missing_targets(now).into_iter().next();
        let most_urgent = most_urgent.map(|missing| missing.target);
        let room = self.find_room(now);
        let (Some(target), Some(evict), true) = (most_urgent, room, self.holds_lease(now)) else {
            return vec![Action::ReleasePermit { permit }];
        };
        self.load_count += 1;
        let name = adapter_name(&target, self.epoch, self.load_count);
        let slot = Slot {
            name: name.clone(),
            loaded: false,
            pins: 0,
            last_used: now,
            in_use_until: now,
            loaded_at: now,
        };
        if let Some(evicted) = &evict {
            self.slots.retain(|_, slot| slot.name != *evicted);
            self.unmanaged.retain(|adapter| adapter.name != *evicted);
        }
        self.slots.insert(target.clone(), slot);
        self.pending_loads += 1;
        let mut actions = vec![Action::Load {
            target,
            name,
            evict,
            permit,
        }];
        actions.extend(self.advance(now));
        actions
    }

    /// Refuses expired requests and advances the queue; called periodically.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.failures.retain(|_, failure| {
            now < failure.retry_at || failure.refusals < self.config.load_tries
        });
        let mut actions = self.refuse_expired(now);
        actions.extend(self.advance(now));
        actions
    }

    /// Refuses queued requests past their deadline, or all of them when the lease has ended.
    fn refuse_expired(&mut self, now: Instant) -> Vec<Action> {
        let leased = self.holds_lease(now);
        let retry_after = self.mean_load.max(MIN_RETRY_AFTER);
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let reason = match (leased, now >= waiting.request.deadline) {
                (false, _) => Reason::LeaseEnded,
                (true, true) => Reason::Late,
                (true, false) => return true,
            };
            actions.push(Action::Refuse {
                ticket: waiting.request.ticket,
                reason,
                retry_after,
            });
            false
        });
        actions
    }

    /// Dispatches the requests that can run and asks for permits to load missing adapters.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.holds_lease(now) {
            return actions;
        }
        while self.running.len() < self.config.batch {
            let Some(index) = self.next_runnable() else {
                break;
            };
            let Some(waiting) = self.waiting.remove(index) else {
                break;
            };
            actions.extend(self.dispatch(waiting, now));
        }
        self.request_permits(&mut actions, now);
        actions
    }

    /// Index of the next queued request whose adapter is loaded: the oldest of the highest
    /// priority.
    fn next_runnable(&self) -> Option<usize> {
        let ready = |waiting: &Waiting| {
            let slot = self.slots.get(&waiting.request.target);
            slot.is_some_and(|slot| slot.loaded)
        };
        let runnable = (0..self.waiting.len()).filter(|index| ready(&self.waiting[*index]));
        runnable.min_by_key(|index| (-self.waiting[*index].request.priority, *index))
    }

    fn dispatch(&mut self, waiting: Waiting, now: Instant) -> Option<Action> {
        let target = waiting.request.target;
        let slot = self.slots.get_mut(&target)?;
        slot.pins += 1;
        let ticket = waiting.request.ticket;
        let name = slot.name.clone();
        self.running.insert(ticket, Running { target, since: now });
        Some(Action::Dispatch {
            ticket,
            name,
            // Time after the load is spent waiting for room in the batch and does not count.
            stalled: slot.loaded_at.saturating_duration_since(waiting.since),
        })
    }

    /// Targets that queued requests need, that are neither loaded nor loading, and whose load is
    /// not delayed by an earlier failure.
    ///
    /// The most urgent comes first: by priority, then by the total wait of the requests.
    fn missing_targets(&self, now: Instant) -> Vec<MissingTarget> {
        let mut by_target: BTreeMap<&Target, MissingTarget> = BTreeMap::new();
        for waiting in &self.waiting {
            let target = &waiting.request.target;
            if self.slots.contains_key(target) || self.is_backing_off(target, now) {
                continue;
            }
            let missing = by_target.entry(target).or_insert_with(|| MissingTarget {
                target: target.clone(),
                priority: i32::MIN,
                oldest: now,
                waiting: 0,
                total_wait: Duration::ZERO,
            });
            missing.priority = missing.priority.max(waiting.request.priority);
            missing.oldest = missing.oldest.min(waiting.since);
            missing.waiting += 1;
            missing.total_wait += now.duration_since(waiting.since);
        }
        let mut missing: Vec<MissingTarget> = by_target.into_values().collect();
        missing.sort_by_key(|missing| Reverse((missing.priority, missing.total_wait)));
        missing
    }

    /// Whether a load of the target failed and the retry is not due yet.
    fn is_backing_off(&self, target: &Target, now: Instant) -> bool {
        let failure = self.failures.get(target);
        failure.is_some_and(|failure| now < failure.retry_at)
    }

    /// Finds room for one more adapter.
    ///
    /// Returns `Some(None)` when a slot is free, `Some(Some(name))` when that adapter must be
    /// evicted first, and `None` when every adapter is in use or needed by a queued request.
    fn find_room(&self, now: Instant) -> Option<Option<String>> {
        if self.slots.len() + self.unmanaged.len() < self.config.slots {
            return Some(None);
        }
        if let Some(adapter) = self
            .unmanaged
            .iter()
            .find(|adapter| now >= adapter.in_use_until)
        {
            return Some(Some(adapter.name.clone()));
        }
        let needed = |target: &Target| {
            let mut requests = self.waiting.iter();
            requests.any(|waiting| waiting.request.target == *target)
        };
        let idle = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.loaded && slot.pins == 0 && now >= slot.in_use_until)
            .filter(|(target, _)| !needed(target));
        let rank =
            |target: &Target, slot: &Slot| (self.request_counts.value(target, now), slot.last_used);
        let least_requested = idle.min_by(|left, right| {
            let (left, right) = (rank(left.0, left.1), rank(right.0, right.1));
            left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
        })?;
        Some(Some(least_requested.1.name.clone()))
    }

    fn request_permits(&mut self, actions: &mut Vec<Action>, now: Instant) {
        if self.releasing {
            return;
        }
        let missing = self.missing_targets(now);
        let loading = self.slots.values().filter(|slot| !slot.loaded).count();
        let max_permits = self.config.loads.saturating_sub(loading).min(missing.len());
        if self.pending_permits >= max_permits || self.find_room(now).is_none() {
            return;
        }
        // The figures cover all missing targets, because a permit is used for whichever target is
        // the most urgent when it arrives.
        let oldest = missing.iter().map(|missing| missing.oldest).min();
        let waited = oldest.map_or(Duration::ZERO, |since| now.duration_since(since));
        let waiting = missing.iter().map(|missing| missing.waiting).sum();
        while self.pending_permits < max_permits {
            self.pending_permits += 1;
            actions.push(Action::AskPermit { waited, waiting });
        }
    }
}

fn moving_average(old: Duration, new: Duration) -> Duration {
    (old * (MEAN_DIVISOR - 1) + new) / MEAN_DIVISOR
}

/// Name under which an engine loads an adapter version.
///
/// The epoch and the load number make the name unique, so that a delayed order can only affect the
/// copy that it was issued for.
pub fn adapter_name(target: &Target, epoch: id::Epoch, load_number: u64) -> String {
    format!(
        "{}@{}#{epoch}.{load_number}",
        target.adapter, target.version
    )
}

/// Parses the name of an adapter on an engine; `None` if it was not made by [`adapter_name`].
pub fn parse_name(name: &str) -> Option<Target> {
    let (target, load) = name.rsplit_once('#')?;
    let (adapter, version) = target.rsplit_once('@')?;
    let (epoch, number) = load.split_once('.')?;
    epoch.parse::<id::Epoch>().ok()?;
    number.parse::<u64>().ok()?;
    Some(Target {
        adapter: adapter.to_owned(),
        version: version.parse().ok()?,
    })
}
