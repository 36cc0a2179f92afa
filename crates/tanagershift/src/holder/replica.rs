//! Decisions of a holder for one replica: queue, loads, unloads and pins.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::Config;
use crate::{decaying_counts::DecayingCounts, id};

/// First pause after a load that failed.
const LOAD_RETRY: Duration = Duration::from_millis(200);
/// Time after which a request counts half when an adapter to unload is chosen.
const HEAT_HALF_LIFE: Duration = Duration::from_secs(300);
/// Weight of the newest observation in a mean time.
const MEAN_WEIGHT: u32 = 8;
/// Shortest time after which a refused caller is told to come back.
const RETRY_MIN: Duration = Duration::from_millis(250);

/// Number of a request at this replica.
pub type Ticket = u64;

/// An adapter and its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Adapter.
    pub adapter: String,
    /// Version.
    pub version: u64,
}

/// A request as the decisions see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its number.
    pub ticket: Ticket,
    /// What it must run on.
    pub target: Target,
    /// When it must have ended.
    pub deadline: Instant,
    /// Higher goes first.
    pub priority: i32,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to the engine, on an adapter's name.
    Dispatch {
        /// Request.
        ticket: Ticket,
        /// Name of the loaded adapter.
        name: String,
        /// Time that the request waited for its adapter.
        stalled: Duration,
    },
    /// Order the engine to unload one adapter, if named, then to load another.
    Load {
        /// What is loaded.
        target: Target,
        /// Name that it gets.
        name: String,
        /// Name that is unloaded first.
        evict: Option<String>,
        /// Permit of the store that is used.
        permit: u64,
    },
    /// Ask for a permit of the store.
    AskPermit {
        /// How long the oldest request has waited.
        waited: Duration,
        /// Requests that wait.
        waiting: u64,
    },
    /// Give a permit back unused.
    ReleasePermit {
        /// Its number.
        permit: u64,
    },
    /// Tell the entry that a request did not run.
    Refuse {
        /// Request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When another try may help.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too many requests wait.
    Full,
    /// It cannot be answered before its deadline.
    Late,
    /// The adapter's version does not load.
    Unloadable,
    /// This host gives the replica back.
    Moving,
    /// This host's lease on the replica has ended.
    LeaseEnded,
}

impl Reason {
    /// Words for people.
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

/// How a load failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFailure {
    /// The engine answered that it cannot load the version.
    Refused,
    /// The engine could not be asked, or did not answer.
    Unreachable,
}

/// A place for an adapter on the engine.
#[derive(Clone, Debug)]
struct Slot {
    name: String,
    loaded: bool,
    /// Requests running on it; it is not unloaded while there are any.
    pins: usize,
    used: Instant,
    /// Until when an earlier holder's requests may run on it.
    keep: Instant,
    /// When it was loaded.
    ready: Instant,
}

/// An adapter that an earlier holder loaded and may still be using.
#[derive(Clone, Debug)]
struct Found {
    name: String,
    /// When no request of the earlier holder can run on it any more.
    until: Instant,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: Request,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Running {
    target: Target,
    since: Instant,
}

/// A target that requests wait for and that nobody loads.
#[derive(Debug)]
struct Wanted {
    target: Target,
    /// Highest priority of its requests.
    priority: i32,
    /// When the first of them came.
    oldest: Instant,
    /// How many they are.
    waiting: u64,
    /// Time that they have waited together.
    total: Duration,
}

/// Loads of one version that failed in a row.
#[derive(Clone, Debug)]
struct Failure {
    tries: u32,
    until: Instant,
}

/// One replica as its holder sees it.
#[derive(Debug)]
pub struct Replica {
    config: Config,
    epoch: id::Epoch,
    lease: Instant,
    releasing: bool,
    random: SmallRng,
    slots: BTreeMap<Target, Slot>,
    found: Vec<Found>,
    waiting: VecDeque<Waiting>,
    running: BTreeMap<Ticket, Running>,
    failures: BTreeMap<Target, Failure>,
    heat: DecayingCounts<Target>,
    asked: usize,
    orders: usize,
    /// Loads ordered under this epoch; makes each name unique.
    loads: u64,
    mean_run: Duration,
    mean_load: Duration,
}

impl Replica {
    /// Takes a replica over under a new epoch.
    pub fn new(config: Config, epoch: id::Epoch, lease: Instant, seed: u64) -> Self {
        Self {
            config,
            epoch,
            lease,
            releasing: false,
            random: SmallRng::seed_from_u64(seed),
            slots: BTreeMap::new(),
            found: Vec::new(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
            heat: DecayingCounts::new(HEAT_HALF_LIFE),
            asked: 0,
            orders: 0,
            loads: 0,
            mean_run: Duration::from_secs(1),
            mean_load: Duration::from_millis(500),
        }
    }

    /// Epoch under which the replica is held.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Renews the lease; it never gets shorter.
    pub fn renew(&mut self, until: Instant) {
        self.lease = self.lease.max(until);
    }

    /// Whether orders and requests may go to the engine.
    pub fn holds_lease(&self, now: Instant) -> bool {
        now < self.lease
    }

    /// When the lease ends.
    pub fn lease(&self) -> Instant {
        self.lease
    }

    /// Requests running and waiting.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adapters loaded and usable.
    pub fn loaded_adapters(&self) -> usize {
        self.slots.values().filter(|slot| slot.loaded).count()
    }

    /// Share of the batch that is filled.
    pub fn fill(&self) -> f64 {
        self.running.len() as f64 / self.config.batch as f64
    }

    /// Whether nothing runs, waits or is ordered.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty() && self.orders == 0
    }

    /// Stops taking requests, so that the replica can be given back.
    pub fn release(&mut self) -> Vec<Action> {
        self.releasing = true;
        let refuse = |waiting: Waiting| Action::Refuse {
            ticket: waiting.request.ticket,
            reason: Reason::Moving,
            retry_after: RETRY_MIN,
        };
        self.waiting.drain(..).map(refuse).collect()
    }

    /// Takes note of an adapter that the engine had when the replica was taken over.
    ///
    /// `usable` says that no earlier holder can unload it any more: it gave the replica back, or
    /// the engine refuses its orders. `idle` says that nothing runs on it.
    pub fn find(&mut self, name: &str, usable: bool, idle: bool, now: Instant) {
        let busy_until = now + self.config.request_timeout;
        let until = if idle { now } else { busy_until };
        if let Some(target) = parse_name(name)
            && usable
            && !self.slots.contains_key(&target)
        {
            let slot = Slot {
                name: name.to_owned(),
                loaded: true,
                pins: 0,
                used: now,
                keep: until,
                ready: now,
            };
            self.slots.insert(target, slot);
            return;
        }
        self.found.push(Found {
            name: name.to_owned(),
            until,
        });
    }

    /// Takes note that nothing runs on adapters of an earlier holder, except on those named.
    pub fn report(&mut self, busy: &[String], now: Instant) {
        for found in &mut self.found {
            if !busy.contains(&found.name) {
                found.until = found.until.min(now);
            }
        }
        for slot in self.slots.values_mut() {
            if !busy.contains(&slot.name) {
                slot.keep = slot.keep.min(now);
            }
        }
    }

    /// Whether requests of an earlier holder may still be running.
    pub fn is_shared(&self, now: Instant) -> bool {
        let found = self.found.iter().any(|found| now < found.until);
        found || self.slots.values().any(|slot| now < slot.keep)
    }

    /// Compares what the engine has loaded with what it should have, after an order failed or a
    /// request found its adapter missing. Returns whether adapters were lost.
    pub fn reconcile(&mut self, names: &[String], now: Instant) -> bool {
        let before = self.slots.len();
        self.slots.retain(|_, slot| {
            let lost = slot.loaded && !names.contains(&slot.name);
            if lost {
                slot.loaded = false;
            }
            !lost || slot.pins > 0
        });
        self.found.retain(|found| names.contains(&found.name));
        for name in names {
            let slotted = self.slots.values().any(|slot| slot.name == *name);
            let found = self.found.iter().any(|found| found.name == *name);
            if !slotted && !found {
                self.find(name, false, true, now);
            }
        }
        self.slots.len() < before
    }

    /// Takes a request.
    pub fn submit(&mut self, request: Request, now: Instant) -> Vec<Action> {
        if let Some((reason, retry_after)) = self.refusal(&request, now) {
            return vec![Action::Refuse {
                ticket: request.ticket,
                reason,
                retry_after,
            }];
        }
        self.heat.add(&request.target, 1, now);
        let waiting = Waiting {
            request,
            since: now,
        };
        self.waiting.push_back(waiting);
        self.advance(now)
    }

    fn refusal(&self, request: &Request, now: Instant) -> Option<(Reason, Duration)> {
        if !self.holds_lease(now) {
            return Some((Reason::LeaseEnded, RETRY_MIN));
        }
        if self.releasing {
            return Some((Reason::Moving, RETRY_MIN));
        }
        if let Some(failure) = self.failures.get(&request.target)
            && failure.tries >= self.config.load_tries
            && now < failure.until
        {
            return Some((Reason::Unloadable, failure.until - now));
        }
        let wait = self.expected_wait(&request.target);
        if self.waiting.len() >= self.config.queue {
            return Some((Reason::Full, wait.max(RETRY_MIN)));
        }
        if now + wait >= request.deadline {
            return Some((Reason::Late, wait.max(RETRY_MIN)));
        }
        None
    }

    /// Time that a new request for a target would wait, by the means seen so far.
    pub fn expected_wait(&self, target: &Target) -> Duration {
        let batch = self.config.batch as u32;
        let ahead = (self.waiting.len() as u32 / batch) * self.mean_run;
        let full = self.running.len() >= self.config.batch;
        let turn = if full {
            self.mean_run / batch
        } else {
            Duration::ZERO
        };
        let ready = self.slots.get(target).is_some_and(|slot| slot.loaded);
        let load = if ready {
            Duration::ZERO
        } else {
            self.mean_load
        };
        ahead + turn + load
    }

    /// Takes note that the engine answered a load order.
    ///
    /// A failure counts against the version when the engine itself refused to load it.
    pub fn loaded(
        &mut self,
        target: &Target,
        outcome: Result<Duration, LoadFailure>,
        now: Instant,
    ) -> Vec<Action> {
        self.orders = self.orders.saturating_sub(1);
        match outcome {
            Ok(took) => {
                self.mean_load = mean(self.mean_load, took);
                self.failures.remove(target);
                if let Some(slot) = self.slots.get_mut(target) {
                    slot.loaded = true;
                    slot.used = now;
                    slot.ready = now;
                }
            }
            Err(failure) => {
                self.slots.remove(target);
                self.fail(target, failure, now);
            }
        }
        let mut actions = self.refuse_unloadable(target, now);
        actions.extend(self.advance(now));
        actions
    }

    fn fail(&mut self, target: &Target, kind: LoadFailure, now: Instant) {
        let failure = self.failures.entry(target.clone()).or_insert(Failure {
            tries: 0,
            until: now,
        });
        failure.tries += u32::from(kind == LoadFailure::Refused);
        let pause = if failure.tries >= self.config.load_tries {
            self.config.load_penalty
        } else {
            LOAD_RETRY * failure.tries.max(1)
        };
        let jitter = self.random.random_range(0.75..1.25);
        failure.until = now + pause.mul_f64(jitter);
    }

    fn refuse_unloadable(&mut self, target: &Target, now: Instant) -> Vec<Action> {
        let Some(failure) = self.failures.get(target) else {
            return Vec::new();
        };
        if failure.tries < self.config.load_tries || now >= failure.until {
            return Vec::new();
        }
        let retry_after = failure.until - now;
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let hopeless = waiting.request.target == *target;
            if hopeless {
                actions.push(Action::Refuse {
                    ticket: waiting.request.ticket,
                    reason: Reason::Unloadable,
                    retry_after,
                });
            }
            !hopeless
        });
        actions
    }

    /// Takes note that a request has ended; `lost` says that the engine did not know the adapter.
    pub fn finished(&mut self, ticket: Ticket, lost: bool, now: Instant) -> Vec<Action> {
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        if !lost {
            self.mean_run = mean(self.mean_run, now.duration_since(running.since));
        }
        if let Some(slot) = self.slots.get_mut(&running.target) {
            slot.pins = slot.pins.saturating_sub(1);
            slot.used = now;
            slot.loaded &= !lost;
            if slot.pins == 0 && !slot.loaded {
                self.slots.remove(&running.target);
            }
        }
        self.advance(now)
    }

    /// Takes a request out that its caller gave up while it waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|waiting| waiting.request.ticket != ticket);
        self.waiting.len() < before
    }

    /// Takes a permit, or the news that none came.
    pub fn permit(&mut self, permit: Option<u64>, now: Instant) -> Vec<Action> {
        self.asked = self.asked.saturating_sub(1);
        let Some(permit) = permit else {
            return self.advance(now);
        };
        let wanted = self.wanted(now).into_iter().next();
        let wanted = wanted.map(|wanted| wanted.target);
        let room = self.room(now);
        let (Some(target), Some(evict), true) = (wanted, room, self.holds_lease(now)) else {
            return vec![Action::ReleasePermit { permit }];
        };
        self.loads += 1;
        let name = name_of(&target, self.epoch, self.loads);
        let slot = Slot {
            name: name.clone(),
            loaded: false,
            pins: 0,
            used: now,
            keep: now,
            ready: now,
        };
        if let Some(evicted) = &evict {
            self.slots.retain(|_, slot| slot.name != *evicted);
            self.found.retain(|found| found.name != *evicted);
        }
        self.slots.insert(target.clone(), slot);
        self.orders += 1;
        let mut actions = vec![Action::Load {
            target,
            name,
            evict,
            permit,
        }];
        actions.extend(self.advance(now));
        actions
    }

    /// Lets time pass: late requests end, the queue moves.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.failures
            .retain(|_, failure| now < failure.until || failure.tries < self.config.load_tries);
        let mut actions = self.refuse_late(now);
        actions.extend(self.advance(now));
        actions
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<Action> {
        let leased = self.holds_lease(now);
        let retry_after = self.mean_load.max(RETRY_MIN);
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

    /// Dispatches what can run and asks for what is missing.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.holds_lease(now) {
            return actions;
        }
        while self.running.len() < self.config.batch {
            let Some(at) = self.next_runnable() else {
                break;
            };
            let Some(waiting) = self.waiting.remove(at) else {
                break;
            };
            actions.extend(self.dispatch(waiting, now));
        }
        self.ask_permits(&mut actions, now);
        actions
    }

    /// The waiting request that goes next among those whose adapter is loaded.
    fn next_runnable(&self) -> Option<usize> {
        let ready = |waiting: &Waiting| {
            let slot = self.slots.get(&waiting.request.target);
            slot.is_some_and(|slot| slot.loaded)
        };
        let runnable = (0..self.waiting.len()).filter(|at| ready(&self.waiting[*at]));
        runnable.min_by_key(|at| (-self.waiting[*at].request.priority, *at))
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
            // The time after the load is waiting for a place in the batch.
            stalled: slot.ready.saturating_duration_since(waiting.since),
        })
    }

    /// Targets that requests wait for and that nobody loads, the most urgent first: by priority,
    /// then by the time that their requests have waited together.
    fn wanted(&self, now: Instant) -> Vec<Wanted> {
        let mut by_target: BTreeMap<&Target, Wanted> = BTreeMap::new();
        for waiting in &self.waiting {
            let target = &waiting.request.target;
            if self.slots.contains_key(target) || self.is_paused(target, now) {
                continue;
            }
            let wanted = by_target.entry(target).or_insert_with(|| Wanted {
                target: target.clone(),
                priority: i32::MIN,
                oldest: now,
                waiting: 0,
                total: Duration::ZERO,
            });
            wanted.priority = wanted.priority.max(waiting.request.priority);
            wanted.oldest = wanted.oldest.min(waiting.since);
            wanted.waiting += 1;
            wanted.total += now.duration_since(waiting.since);
        }
        let mut wanted: Vec<Wanted> = by_target.into_values().collect();
        wanted.sort_by_key(|wanted| Reverse((wanted.priority, wanted.total)));
        wanted
    }

    /// Whether loads of a target have failed, and the next try is not due yet.
    fn is_paused(&self, target: &Target, now: Instant) -> bool {
        let failure = self.failures.get(target);
        failure.is_some_and(|failure| now < failure.until)
    }

    /// Room for one more adapter: a free slot, or the name of one to be unloaded.
    fn room(&self, now: Instant) -> Option<Option<String>> {
        if self.slots.len() + self.found.len() < self.config.slots {
            return Some(None);
        }
        if let Some(found) = self.found.iter().find(|found| now >= found.until) {
            return Some(Some(found.name.clone()));
        }
        let needed = |target: &Target| {
            let mut requests = self.waiting.iter();
            requests.any(|waiting| waiting.request.target == *target)
        };
        let idle = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.loaded && slot.pins == 0 && now >= slot.keep)
            .filter(|(target, _)| !needed(target));
        let rank = |target: &Target, slot: &Slot| (self.heat.value(target, now), slot.used);
        let coldest = idle.min_by(|left, right| {
            let (left, right) = (rank(left.0, left.1), rank(right.0, right.1));
            left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
        })?;
        Some(Some(coldest.1.name.clone()))
    }

    fn ask_permits(&mut self, actions: &mut Vec<Action>, now: Instant) {
        if self.releasing {
            return;
        }
        let wanted = self.wanted(now);
        let loading = self.slots.values().filter(|slot| !slot.loaded).count();
        let most = self.config.loads.saturating_sub(loading).min(wanted.len());
        if self.asked >= most || self.room(now).is_none() {
            return;
        }
        // All that is missing counts: a permit goes to whatever is most urgent when it comes.
        let oldest = wanted.iter().map(|wanted| wanted.oldest).min();
        let waited = oldest.map_or(Duration::ZERO, |since| now.duration_since(since));
        let waiting = wanted.iter().map(|wanted| wanted.waiting).sum();
        while self.asked < most {
            self.asked += 1;
            actions.push(Action::AskPermit { waited, waiting });
        }
    }
}

fn mean(old: Duration, new: Duration) -> Duration {
    (old * (MEAN_WEIGHT - 1) + new) / MEAN_WEIGHT
}

/// Name that an engine gives to a target: the epoch and the load that it comes from make it unique,
/// so that an order that arrives late can only mean the copy that it was meant for.
pub fn name_of(target: &Target, epoch: id::Epoch, load: u64) -> String {
    format!("{}@{}#{epoch}.{load}", target.adapter, target.version)
}

/// Target of a name on an engine, if one of the system's holders gave it.
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
