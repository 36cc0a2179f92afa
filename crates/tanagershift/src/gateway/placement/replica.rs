//! State of one replica in the placement: its adapter slots and its pending order.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::gateway::{
    dialect::{Operation, Report},
    message::Upstream,
};

/// Name of an adapter as MODEL/NAME, or of a base model as MODEL.
pub type Adapter = String;

/// Version recorded for every base model.
const MODEL_VERSION: u64 = 1;

/// Whether a name is the name of a base model.
pub fn is_model(name: &str) -> bool {
    !name.contains('/')
}

/// Base model of an adapter; for the name of a base model, that name itself.
pub fn model_of(adapter: &str) -> &str {
    adapter.split('/').next().unwrap_or(adapter)
}

/// Number of recently unloaded adapters that a replica is assumed to still have in its own memory,
/// so that loading them again is fast.
const MAX_RECENTLY_UNLOADED: usize = 64;

/// State of one adapter or base model on a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The load is planned but not yet ordered.
    Planned,
    /// The replica has accepted the load. The order is repeated to poll whether the load has ended.
    Loading {
        /// When the order is repeated.
        check_at: Instant,
        /// Age of the load when the replica last reported it as in progress; zero before that.
        min_duration: Duration,
    },
    /// Loaded; requests may be sent.
    Ready,
    /// No new requests are sent. The unload is ordered once all gateways know of it.
    Retiring {
        /// When the unload is ordered.
        unload_at: Instant,
    },
    /// The replica has accepted the unload, which waits for running requests to end. The order is
    /// repeated to poll whether it has ended.
    Unloading {
        /// When the order is repeated.
        check_at: Instant,
    },
}

/// A taken adapter slot of a replica, or a base model on the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Version that is or will be loaded; zero while unknown.
    pub version: u64,
    /// State of the load or unload.
    pub state: State,
    /// When the state was entered.
    pub since: Instant,
    /// Whether the replica unloaded the adapter recently, so that its load is fast and doesn't use
    /// the store.
    pub recently_held: bool,
    /// When the load that the replica has accepted was ordered; `None` if that is not known.
    pub started_at: Option<Instant>,
    /// Number of accepted orders that an order for a planned load expected, if the order was not
    /// answered. The replica may still carry it out as long as it has accepted no other.
    pub unanswered: Option<u64>,
}

/// An order that the replica has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// Number of the order, which identifies its outcome.
    pub number: u64,
    /// Whether to load or to unload.
    pub operation: Operation,
    /// Adapter or base model to load or unload.
    pub adapter: Adapter,
    /// Number of accepted orders that the order expects.
    pub expect: u64,
    /// When the order was sent.
    pub sent_at: Instant,
}

/// Placement state of one replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Entry of the replica on the platform's list.
    pub upstream: Upstream,
    /// Number of adapter slots, which depends on the base models that are loaded.
    pub capacity: usize,
    /// Number of orders that the replica has accepted; `None` until it has reported.
    pub accepted_orders: Option<u64>,
    /// Earliest time of the next request for a report; used only while `accepted_orders` is `None`.
    pub report_at: Instant,
    /// End of the pause that the replica has asked this leader's host for; it gets no orders and no
    /// requests for reports before.
    pub orders_from: Option<Instant>,
    /// Until when the replica is taken for gone, after it accepted no connection.
    pub gone_until: Option<Instant>,
    /// Whether a report has been requested and has not arrived.
    pub report_pending: bool,
    /// Adapters and base models that are planned, loaded or being loaded or unloaded.
    pub slots: BTreeMap<Adapter, Slot>,
    /// The order that the replica has not answered yet. There is at most one at a time.
    pub pending: Option<PendingOrder>,
    /// Orders in a row that were not answered.
    pub unanswered_orders: u32,
    /// Requests that all gateways together have open at the replica.
    pub open_requests: u32,
    /// How long work takes there, compared with the usual.
    pub pace: f64,
    /// Running requests by adapter. Counts only requests that were scheduled by this leader.
    pub running_requests: BTreeMap<Adapter, u32>,
    /// Recently unloaded adapters, the latest at the back.
    recently_unloaded: VecDeque<Adapter>,
    /// The same adapters, for lookups.
    unloaded: HashSet<Adapter>,
}

impl Replica {
    /// Creates a replica with the base models and adapters that its entry on the platform's list
    /// names. Orders are sent only after its first report.
    pub fn new(upstream: Upstream, now: Instant) -> Self {
        let slot = |version| Slot {
            version,
            state: State::Ready,
            since: now,
            recently_held: false,
            started_at: None,
            unanswered: None,
        };
        let models = upstream.models.iter();
        let models = models.map(|model| (model.name.clone(), slot(MODEL_VERSION)));
        let adapters = upstream.models.iter().flat_map(|model| &model.adapters);
        let adapters = adapters.map(|one| (one.adapter.clone(), slot(one.version)));
        let slots = models.chain(adapters).collect();
        Self {
            upstream,
            capacity: 0,
            accepted_orders: None,
            report_at: now,
            orders_from: None,
            gone_until: None,
            report_pending: false,
            slots,
            pending: None,
            unanswered_orders: 0,
            open_requests: 0,
            pace: 1.0,
            running_requests: BTreeMap::new(),
            recently_unloaded: VecDeque::new(),
            unloaded: HashSet::new(),
        }
    }

    /// Whether a base model is loaded, so that its adapters can be loaded.
    pub fn holds(&self, model: &str) -> bool {
        let slot = self.slots.get(model);
        slot.is_some_and(|slot| slot.state == State::Ready)
    }

    /// Base models in any state.
    pub fn models(&self) -> impl Iterator<Item = &Adapter> {
        self.slots.keys().filter(|name| is_model(name))
    }

    /// Adapters in any state.
    pub fn adapters(&self) -> impl Iterator<Item = (&Adapter, &Slot)> {
        self.slots.iter().filter(|(name, _)| !is_model(name))
    }

    /// Whether the replica accepts no connections.
    pub fn is_gone(&self, now: Instant) -> bool {
        self.gone_until.is_some_and(|until| now < until)
    }

    /// Whether orders can be sent: the replica has reported and is not draining.
    pub fn is_usable(&self) -> bool {
        !self.upstream.draining && self.accepted_orders.is_some()
    }

    /// Whether the replica has asked this leader's host for a pause that has not ended.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.orders_from.is_some_and(|from| now < from)
    }

    /// Number of free adapter slots. Planned loads count as taken.
    pub fn free_slots(&self) -> usize {
        self.capacity.saturating_sub(self.adapters().count())
    }

    /// Number of adapters that are being loaded.
    pub fn loading_count(&self) -> usize {
        let loading = |slot: &&Slot| matches!(slot.state, State::Loading { .. });
        let slots = self.adapters().map(|(_, slot)| slot);
        slots.filter(loading).count()
    }

    /// Whether the replica unloaded an adapter recently, so that loading it again is fast.
    pub fn held_recently(&self, adapter: &str) -> bool {
        self.unloaded.contains(adapter)
    }

    /// Whether requests run on an adapter. An unload would have to wait for them.
    pub fn is_used(&self, adapter: &str) -> bool {
        self.running_requests.contains_key(adapter)
    }

    /// Updates the number of requests that run on an adapter: one begins or, if `begins` is false,
    /// ends.
    pub fn count_use(&mut self, adapter: &str, begins: bool) {
        let count = self.running_requests.entry(adapter.to_owned()).or_default();
        *count = match begins {
            true => *count + 1,
            false => count.saturating_sub(1),
        };
        if *count == 0 {
            self.running_requests.remove(adapter);
        }
    }

    /// Whether an order or a request for a report may be due.
    pub fn needs_attention(&self, now: Instant) -> bool {
        if self.upstream.draining || self.pending.is_some() || self.report_pending {
            return false;
        }
        if self.is_paused(now) {
            return false;
        }
        if self.accepted_orders.is_none() {
            return true;
        }
        let planned = self.slots.values().any(|slot| slot.state == State::Planned);
        planned || self.next_due().is_some_and(|due| now >= due)
    }

    /// Whether an unload waits for running requests to end.
    pub fn is_unloading(&self) -> bool {
        let waits = |slot: &Slot| matches!(slot.state, State::Unloading { .. });
        self.slots.values().any(waits)
    }

    /// When the next order is due; `None` if none is scheduled. Planned loads don't count, as they
    /// are due at any time.
    pub fn next_due(&self) -> Option<Instant> {
        let unloading = self.is_unloading();
        let due = |(name, slot): (&Adapter, &Slot)| match slot.state {
            State::Unloading { check_at } => Some(check_at),
            State::Loading { check_at, .. } if !unloading => Some(check_at),
            State::Retiring { unload_at } if !unloading && !self.is_used(name) => Some(unload_at),
            State::Loading { .. } | State::Retiring { .. } | State::Planned | State::Ready => None,
        };
        self.slots.iter().filter_map(due).min()
    }

    /// Removes an adapter and returns its slot. Unless its load was only planned, it counts as
    /// recently unloaded from now on.
    pub fn remove(&mut self, adapter: &str) -> Option<Slot> {
        let slot = self.slots.remove(adapter)?;
        if !matches!(slot.state, State::Planned) {
            if !self.unloaded.insert(adapter.to_owned()) {
                self.recently_unloaded.retain(|known| known != adapter);
            }
            self.recently_unloaded.push_back(adapter.to_owned());
            if self.recently_unloaded.len() > MAX_RECENTLY_UNLOADED
                && let Some(oldest) = self.recently_unloaded.pop_front()
            {
                self.unloaded.remove(&oldest);
            }
        }
        Some(slot)
    }

    /// Sets the state of an adapter or base model and the time since which it is in that state.
    /// Ignored if the replica doesn't have it.
    pub fn set_state(&mut self, adapter: &str, state: State, now: Instant) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.state = state;
            slot.since = now;
        }
    }

    /// Replaces the slots by the base models and adapters that a report names. Planned loads stay
    /// planned, and adapters that are being retired stay so. Loads in progress are polled after
    /// `check_interval`.
    pub fn apply_report(&mut self, report: &Report, check_interval: Duration, now: Instant) {
        self.report_pending = false;
        self.accepted_orders = Some(report.accepted);
        self.unanswered_orders = 0;
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
        for one in &report.loading {
            let state = State::Loading {
                check_at: now + check_interval,
                min_duration: Duration::ZERO,
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
    /// Creates a slot that enters its state now.
    pub fn new(version: u64, state: State, now: Instant) -> Self {
        Self {
            version,
            state,
            since: now,
            recently_held: false,
            started_at: None,
            unanswered: None,
        }
    }
}
