//! Permits of the weight store: which loads count towards the limit on concurrent loads.
//!
//! A load counts while it is known to be in progress: from its order until the replica reports its
//! end, or until it must have ended if the replica does not answer. An order without an answer
//! keeps its adapter slot, as the replica may still carry it out, but no permit. A replica carries
//! out an order only if it has accepted as many orders as the order expects, so all unanswered
//! orders together can begin no more than one load on each replica.

use std::time::Duration;

use tokio::time::Instant;

use super::{PendingOrder, Placement, Replica, Slot, State, is_model};
use crate::gateway::dialect::Operation;

/// Multiple of the usual load time after which a load has ended unless the replica says otherwise.
const OVERDUE_LOAD_TIMES: f64 = 1.5;
/// Time after which a planned load whose order was not sent is planned anew, so that it competes
/// with the requests of now.
const PLAN_TTL: Duration = Duration::from_secs(1);
/// Unanswered orders in a row after which a replica is taken for stuck.
const STUCK_ORDERS: u32 = 3;
/// Pause before a further order to a stuck replica.
const STUCK_PAUSE: Duration = Duration::from_millis(200);

/// Loads from the store by what is known of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permits {
    /// The replica has accepted the load.
    pub in_progress: usize,
    /// The load was ordered a moment ago.
    pub ordered: usize,
    /// The load must have ended, which the replica has not answered yet.
    pub overdue: usize,
    /// The order was not answered, and the replica may still carry it out.
    pub unanswered: usize,
    /// Planned where an order can be sent.
    pub planned: usize,
    /// Planned where orders are not answered.
    pub stuck: usize,
}

impl Permits {
    /// Loads that count towards the limit.
    pub fn in_use(&self) -> usize {
        self.in_progress + self.ordered
    }

    /// Every state with its name and count.
    pub fn by_state(&self) -> [(&'static str, usize); 6] {
        [
            ("in_progress", self.in_progress),
            ("ordered", self.ordered),
            ("overdue", self.overdue),
            ("unanswered", self.unanswered),
            ("planned", self.planned),
            ("stuck", self.stuck),
        ]
    }
}

impl Placement {
    /// Counts the loads from the store. Loads from a replica's own memory don't count.
    pub(super) fn permits(&self, now: Instant) -> Permits {
        let usual = self.load_time.mul_f64(OVERDUE_LOAD_TIMES);
        let latest_poll = self.config.check_interval * 2;
        let mut permits = Permits::default();
        for replica in self.replicas.values() {
            for (adapter, slot) in replica.adapters().filter(|(_, slot)| !slot.recently_held) {
                match slot.state {
                    State::Loading { min_duration, .. } => {
                        let until = slot.since + usual.max(min_duration + latest_poll);
                        match now < until {
                            true => permits.in_progress += 1,
                            false => permits.overdue += 1,
                        }
                    }
                    State::Planned if replica.orders_load_of(adapter) => permits.ordered += 1,
                    State::Planned if slot.unanswered.is_some() => permits.unanswered += 1,
                    State::Planned if replica.is_usable() && replica.unanswered_orders == 0 => {
                        permits.planned += 1;
                    }
                    State::Planned => permits.stuck += 1,
                    State::Ready | State::Retiring { .. } | State::Unloading { .. } => {}
                }
            }
        }
        permits
    }

    /// Drops planned loads that were not ordered in time, or whose replica is stuck.
    pub(super) fn drop_stale_plans(&mut self, now: Instant) {
        for replica in self.replicas.values_mut() {
            let is_stuck = replica.is_stuck();
            let accepted = replica.accepted_orders;
            let pending = replica.pending.as_ref().map(|order| order.adapter.clone());
            let may_be_executed = |slot: &Slot| {
                slot.unanswered
                    .is_some_and(|expect| accepted <= Some(expect))
            };
            replica.slots.retain(|adapter, slot| {
                let is_stale = slot.state == State::Planned
                    && !is_model(adapter)
                    && (is_stuck || now > slot.since + PLAN_TTL);
                !is_stale || pending.as_ref() == Some(adapter) || may_be_executed(slot)
            });
        }
    }

    /// What was found out about the store, for the next leader.
    pub fn finding(&self) -> super::Finding {
        self.store.finding()
    }

    /// Continues from what an earlier leader found out about the store.
    pub fn resume(&mut self, finding: super::Finding) {
        self.store.resume(finding);
    }
}

impl Replica {
    /// Whether the load of an adapter was ordered and not answered yet.
    fn orders_load_of(&self, adapter: &str) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|one| one.operation == Operation::Load && one.adapter == adapter)
    }

    /// Whether the latest orders were not answered.
    pub fn is_stuck(&self) -> bool {
        self.unanswered_orders >= STUCK_ORDERS
    }

    /// Adapters that are planned or being loaded.
    pub fn coming_count(&self) -> usize {
        let coming = |slot: &Slot| matches!(slot.state, State::Planned | State::Loading { .. });
        self.adapters().filter(|(_, slot)| coming(slot)).count()
    }

    /// Records that an order was not answered. A replica that answers none gets them at intervals.
    pub(super) fn record_silence(&mut self, order: &PendingOrder, now: Instant) {
        self.unanswered_orders += 1;
        if self.is_stuck() {
            let pause_until = now + STUCK_PAUSE;
            self.orders_from = self.orders_from.max(Some(pause_until));
        }
        if let Some(slot) = self.slots.get_mut(&order.adapter)
            && slot.state == State::Planned
        {
            slot.unanswered = Some(order.expect);
        }
    }
}
