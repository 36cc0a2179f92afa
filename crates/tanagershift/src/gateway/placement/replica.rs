//! One replica as the placement sees it: its places for adapters and the orders under way.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::gateway::{
    dialect::{Operation, Report},
    message::Upstream,
};

/// Adapter as MODEL/NAME, or a base model as MODEL.
pub type Adapter = String;

/// Version under which a base model is listed.
const MODEL_VERSION: u64 = 1;

/// Whether a name is that of a base model.
pub fn is_model(name: &str) -> bool {
    !name.contains('/')
}

/// Base model of an adapter.
pub fn model_of(adapter: &str) -> &str {
    adapter.split('/').next().unwrap_or(adapter)
}

/// Adapters that a replica is taken to load fast because it held them recently.
const RECENT: usize = 64;

/// What happens in one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The load is decided and not yet ordered.
    Planned,
    /// The load was accepted; it is asked again when it should have ended.
    Loading {
        /// When it is asked again.
        check: Instant,
        /// Time after which it had not ended, as the replica last said.
        at_least: Duration,
    },
    /// Requests may be sent.
    Ready,
    /// No new requests are sent; it is unloaded when all gateways know.
    Retiring {
        /// When the unload is ordered.
        unload: Instant,
    },
    /// The unload was accepted and waits for running requests; it is asked again.
    Unloading {
        /// When it is asked again.
        check: Instant,
    },
}

/// One adapter on a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Version; zero while it is unknown which one is loaded.
    pub version: u64,
    /// What happens there.
    pub state: State,
    /// When the state began.
    pub since: Instant,
    /// Whether the load is fast because the replica held the adapter recently.
    pub recent: bool,
}

/// An order that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// Its number.
    pub number: u64,
    /// What it does.
    pub operation: Operation,
    /// Adapter.
    pub adapter: Adapter,
    /// When it was sent.
    pub sent: Instant,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Entry of the list.
    pub upstream: Upstream,
    /// Adapters that fit.
    pub capacity: usize,
    /// Orders that it has accepted; unknown until it has reported.
    pub accepted: Option<u64>,
    /// When it is asked for a report.
    pub report_at: Instant,
    /// Whether a report is under way.
    pub reporting: bool,
    /// Adapters that are there, come or go.
    pub slots: BTreeMap<Adapter, Slot>,
    /// The order under way.
    pub pending: Option<Pending>,
    /// Requests that all gateways have open there.
    pub open: u32,
    /// Requests that run on each adapter, as far as they were scheduled here.
    pub uses: BTreeMap<Adapter, u32>,
    /// Adapters that were unloaded here, newest last.
    recent: VecDeque<Adapter>,
}

impl Replica {
    /// Makes a replica of which only the list's entry is known.
    pub fn new(upstream: Upstream, now: Instant) -> Self {
        let slot = |version| Slot {
            version,
            state: State::Ready,
            since: now,
            recent: false,
        };
        let models = upstream.models.iter();
        let models = models.map(|model| (model.name.clone(), slot(MODEL_VERSION)));
        let adapters = upstream.models.iter().flat_map(|model| &model.adapters);
        let adapters = adapters.map(|one| (one.adapter.clone(), slot(one.version)));
        let slots = models.chain(adapters).collect();
        Self {
            upstream,
            capacity: 0,
            accepted: None,
            report_at: now,
            reporting: false,
            slots,
            pending: None,
            open: 0,
            uses: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Whether it can be given an adapter of a base model.
    pub fn holds(&self, model: &str) -> bool {
        let slot = self.slots.get(model);
        slot.is_some_and(|slot| slot.state == State::Ready)
    }

    /// Base models that it holds or loads.
    pub fn models(&self) -> impl Iterator<Item = &Adapter> {
        self.slots.keys().filter(|name| is_model(name))
    }

    /// Adapters in any state.
    pub fn adapters(&self) -> impl Iterator<Item = (&Adapter, &Slot)> {
        self.slots.iter().filter(|(name, _)| !is_model(name))
    }

    /// Whether orders make sense.
    pub fn is_usable(&self) -> bool {
        !self.upstream.draining && self.accepted.is_some()
    }

    /// Places that are free, counting decided loads as taken.
    pub fn free(&self) -> usize {
        self.capacity.saturating_sub(self.adapters().count())
    }

    /// Adapters on their way.
    pub fn in_transit(&self) -> usize {
        let loading = |slot: &&Slot| matches!(slot.state, State::Loading { .. });
        let slots = self.adapters().map(|(_, slot)| slot);
        slots.filter(loading).count()
    }

    /// Whether it held an adapter recently, so that a load is fast.
    pub fn held_recently(&self, adapter: &str) -> bool {
        self.recent.iter().any(|known| known == adapter)
    }

    /// Whether requests run on an adapter, so that an unload would have to wait for them.
    pub fn is_used(&self, adapter: &str) -> bool {
        self.uses.contains_key(adapter)
    }

    /// Counts a request that begins on an adapter, or ends.
    pub fn count_use(&mut self, adapter: &str, begins: bool) {
        let uses = self.uses.entry(adapter.to_owned()).or_default();
        *uses = match begins {
            true => *uses + 1,
            false => uses.saturating_sub(1),
        };
        if *uses == 0 {
            self.uses.remove(adapter);
        }
    }

    /// Whether an order or a report may be due.
    pub fn needs_attention(&self, now: Instant) -> bool {
        if self.upstream.draining || self.pending.is_some() || self.reporting {
            return false;
        }
        if self.accepted.is_none() {
            return true;
        }
        let planned = self.slots.values().any(|slot| slot.state == State::Planned);
        planned || self.next_due().is_some_and(|due| now >= due)
    }

    /// Whether an unload waits for requests to end.
    pub fn is_unloading(&self) -> bool {
        let waits = |slot: &Slot| matches!(slot.state, State::Unloading { .. });
        self.slots.values().any(waits)
    }

    /// When an order is due next, if that is known.
    pub fn next_due(&self) -> Option<Instant> {
        let unloading = self.is_unloading();
        let due = |(name, slot): (&Adapter, &Slot)| match slot.state {
            State::Unloading { check } => Some(check),
            State::Loading { check, .. } if !unloading => Some(check),
            State::Retiring { unload } if !unloading && !self.is_used(name) => Some(unload),
            State::Loading { .. } | State::Retiring { .. } | State::Planned | State::Ready => None,
        };
        self.slots.iter().filter_map(due).min()
    }

    /// Takes an adapter out.
    pub fn remove(&mut self, adapter: &str) -> Option<Slot> {
        let slot = self.slots.remove(adapter)?;
        if !matches!(slot.state, State::Planned) {
            self.recent.retain(|known| known != adapter);
            self.recent.push_back(adapter.to_owned());
            if self.recent.len() > RECENT {
                self.recent.pop_front();
            }
        }
        Some(slot)
    }

    /// Sets the state of a place.
    pub fn set(&mut self, adapter: &str, state: State, now: Instant) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.state = state;
            slot.since = now;
        }
    }

    /// Takes a report: what it names is there, and what it does not name is not.
    ///
    /// Decided loads stay decided. A place that gateways were told to avoid stays so.
    pub fn take_report(&mut self, report: &Report, check: Duration, now: Instant) {
        self.reporting = false;
        self.accepted = Some(report.accepted);
        let mut slots = BTreeMap::new();
        for model in &report.models {
            let slot = Slot::new(MODEL_VERSION, State::Ready, now);
            slots.insert(model.clone(), slot);
        }
        for one in &report.adapters {
            let known = self.slots.get(&one.adapter);
            let retiring = known.is_some_and(|slot| matches!(slot.state, State::Retiring { .. }));
            let state = match known {
                Some(slot) if retiring => slot.state,
                _ => State::Ready,
            };
            slots.insert(one.adapter.clone(), Slot::new(one.version, state, now));
        }
        for one in &report.coming {
            let state = State::Loading {
                check: now + check,
                at_least: Duration::ZERO,
            };
            slots.insert(one.adapter.clone(), Slot::new(one.version, state, now));
        }
        for (adapter, slot) in &self.slots {
            if slot.state == State::Planned && !slots.contains_key(adapter) {
                slots.insert(adapter.clone(), slot.clone());
            }
        }
        self.slots = slots;
    }
}

impl Slot {
    /// Makes a place whose state begins now.
    pub fn new(version: u64, state: State, now: Instant) -> Self {
        Self {
            version,
            state,
            since: now,
            recent: false,
        }
    }
}
