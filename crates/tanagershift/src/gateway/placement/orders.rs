//! Orders to replicas: choice of the next order, and handling of outcomes and reports.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    Action, Adapter, Config, FIRST_VERSION, PendingOrder, Placement, Replica, Slot, State,
    is_model, store::Load,
};
use crate::gateway::{
    dialect::{Operation, OrderOutcome, Report},
    message::Residency,
};

/// Time after which a load of a base model is polled for the first time.
const MODEL_FIRST_CHECK: Duration = Duration::from_millis(500);
/// Fraction of the estimated load time, as a divisor, by which the estimate falls when a load has
/// ended by its first poll.
const LOAD_TIME_DECREASE_DIVISOR: u32 = 32;
/// Lower bound of the estimated load time, in check intervals.
const MIN_LOAD_TIME_CHECKS: u32 = 2;
/// Fraction of the check interval, as a divisor, by which the estimated load time rises when a load
/// is still in progress at its first poll.
const LOAD_TIME_INCREASE_DIVISOR: u32 = 4;

impl Placement {
    /// Next action for one replica, if one is due. Increments `store_loads` for a load from the
    /// store.
    pub(super) fn next_action(
        &mut self,
        name: &str,
        may_order: bool,
        store_loads: &mut usize,
        now: Instant,
    ) -> Option<Action> {
        let config = &self.config;
        let replica = self.replicas.get_mut(name)?;
        if replica.upstream.draining || replica.pending.is_some() || replica.report_pending {
            return None;
        }
        if replica.is_paused(now) {
            return None;
        }
        let Some(expect) = replica.accepted_orders else {
            if now < replica.report_at {
                return None;
            }
            replica.report_pending = true;
            return Some(Action::Report {
                replica: name.to_owned(),
            });
        };
        if !may_order {
            return None;
        }
        let store_available = *store_loads < self.store.limit(now);
        let (operation, adapter) = next_order(replica, config, store_available, now)?;
        let slot = replica.slots.get(&adapter)?;
        let planned = slot.state == State::Planned;
        if planned && is_model(&adapter) {
            let service = replica.upstream.service.clone();
            if !self.acquire_model_load(&service, now) {
                return None;
            }
        } else if planned && !slot.recently_held {
            *store_loads += 1;
        }
        let replica = self.replicas.get_mut(name)?;
        let slot = replica.slots.get(&adapter)?;
        let explicit_version = operation == Operation::Load && slot.version > FIRST_VERSION;
        let version = explicit_version.then_some(slot.version);
        let number = self.next_order_number;
        self.next_order_number += 1;
        replica.pending = Some(PendingOrder {
            number,
            operation,
            adapter: adapter.clone(),
            expect,
            sent_at: now,
        });
        Some(Action::Order {
            replica: name.to_owned(),
            number,
            operation,
            adapter,
            version,
            expect,
        })
    }

    /// Applies the outcome of an order. Outcomes of any order but the replica's pending one are
    /// ignored.
    pub fn handle_order_outcome(
        &mut self,
        name: &str,
        number: u64,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(pending) = replica.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        match outcome {
            OrderOutcome::Unknown => replica.record_silence(&pending, now),
            OrderOutcome::Fenced => {}
            _ => replica.unanswered_orders = 0,
        }
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Holds => {
                self.apply_outcome(name, &pending, outcome, now)
            }
            OrderOutcome::Conflict => schedule_report(replica, self.config.report_lag, now),
            // After `Unknown`, the replica may still execute the order, so the slot stays taken and
            // the order is repeated. After `Fenced`, the order is repeated too if this leader may
            // still send orders.
            OrderOutcome::Unknown | OrderOutcome::Fenced => {}
            OrderOutcome::Gone => {
                // The replica cannot be reached, or another one has its address now. Loads that
                // were planned for it are planned again elsewhere.
                replica.slots.retain(|_, slot| slot.state != State::Planned);
                schedule_report(replica, self.config.report_lag, now);
            }
            OrderOutcome::Invalid => {
                replica.remove(&pending.adapter);
                self.record_change(residency(name, &pending.adapter, 0));
            }
        }
    }

    /// Applies the outcome of an order that the replica has accepted or completed.
    pub(super) fn apply_outcome(
        &mut self,
        name: &str,
        pending: &PendingOrder,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let check_at = now + self.config.check_interval;
        let Some(slot) = replica.slots.get(&pending.adapter).cloned() else {
            return;
        };
        let first_answer = matches!(slot.state, State::Planned | State::Retiring { .. });
        // An idle adapter is unloaded before the replica answers. The answer is `Holds`, but the
        // order counts as accepted.
        let unloaded = pending.operation == Operation::Unload && outcome == OrderOutcome::Holds;
        if first_answer && (outcome == OrderOutcome::Accepted || unloaded) {
            replica.accepted_orders = replica.accepted_orders.map(|accepted| accepted + 1);
        }
        match (pending.operation, outcome) {
            (Operation::Load, OrderOutcome::Holds) => {
                replica.set_state(&pending.adapter, State::Ready, now);
                self.record_change(residency(name, &pending.adapter, slot.version));
                if !self.load_requests.is_empty() {
                    self.plan_soon();
                }
                if is_model(&pending.adapter) {
                    self.update_capacities();
                } else if let State::Loading { min_duration, .. } = slot.state
                    && !slot.recently_held
                    && let Some(started_at) = slot.started_at
                {
                    let load = Load {
                        started_at,
                        min_duration,
                        max_duration: now.duration_since(started_at),
                    };
                    self.record_load(load, now);
                }
            }
            (Operation::Load, _) if first_answer => {
                let wait = match (is_model(&pending.adapter), slot.recently_held) {
                    (true, _) => MODEL_FIRST_CHECK,
                    // A load from the replica's own memory takes much less time.
                    (false, true) => self.load_time / 10,
                    (false, false) => self.store.first_poll(self.load_time, now),
                };
                let state = State::Loading {
                    check_at: now + wait,
                    min_duration: Duration::ZERO,
                };
                replica.set_state(&pending.adapter, state, now);
                if let Some(slot) = replica.slots.get_mut(&pending.adapter) {
                    // An earlier order that was not answered may have begun the load.
                    let is_first = slot.unanswered.take().is_none();
                    slot.started_at = is_first.then_some(pending.sent_at);
                }
            }
            (Operation::Load, _) => {
                if let Some(slot) = replica.slots.get_mut(&pending.adapter) {
                    // The load has begun by the answer to its order.
                    let min_duration = pending.sent_at.saturating_duration_since(slot.since);
                    slot.state = State::Loading {
                        check_at,
                        min_duration,
                    };
                }
            }
            (Operation::Unload, OrderOutcome::Holds) => {
                replica.remove(&pending.adapter);
                if !self.load_requests.is_empty() {
                    self.plan_soon();
                }
            }
            (Operation::Unload, _) => {
                replica.set_state(&pending.adapter, State::Unloading { check_at }, now);
            }
        }
    }

    /// Adjusts the time of the first poll of a load, so that about half of the loads have ended by
    /// then, and the limit on concurrent loads.
    pub(super) fn record_load(&mut self, load: Load, now: Instant) {
        let is_late = load.max_duration > self.load_time + self.config.check_interval * 2;
        if load.min_duration.is_zero() {
            let floor = self.config.check_interval * MIN_LOAD_TIME_CHECKS;
            let decrease = match is_late {
                // The poll itself came late.
                true => Duration::ZERO,
                false => self.load_time / LOAD_TIME_DECREASE_DIVISOR,
            };
            self.load_time = (self.load_time - decrease).max(floor);
        } else {
            self.load_time += self.config.check_interval / LOAD_TIME_INCREASE_DIVISOR;
        }
        let is_wanted = !self.load_requests.is_empty() || self.last_permits.planned > 0;
        self.store.record(load, is_wanted, now);
    }

    /// Applies a report of a replica. If `report` is `None`, another one is requested after
    /// `Config::report_lag`.
    pub fn handle_report(&mut self, name: &str, report: Option<&Report>, now: Instant) {
        let config = self.config.clone();
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(report) = report else {
            replica.report_pending = false;
            replica.report_at = now + config.report_lag;
            return;
        };
        let before = ready_residencies(name, replica);
        replica.apply_report(report, config.check_interval, now);
        let after = ready_residencies(name, replica);
        let removed = before.iter().filter(|one| !after.contains(one));
        let removed = removed.filter(|one| after.iter().all(|other| other.adapter != one.adapter));
        let mut changes: Vec<Residency> = removed
            .map(|one| residency(name, &one.adapter, 0))
            .collect();
        changes.extend(after.iter().filter(|one| !before.contains(one)).cloned());
        for change in changes {
            self.record_change(change);
        }
    }
}

fn ready_residencies(name: &str, replica: &Replica) -> Vec<Residency> {
    let ready = replica.slots.iter();
    ready
        .filter(|(_, slot)| slot.state == State::Ready)
        .map(|(adapter, slot)| residency(name, adapter, slot.version))
        .collect()
}

/// Requests a new report from a replica after `lag`. No orders are sent to it until the report
/// arrives.
pub(super) fn schedule_report(replica: &mut Replica, lag: Duration, now: Instant) {
    replica.accepted_orders = None;
    replica.report_at = now + lag;
}

pub(super) fn residency(replica: &str, adapter: &str, version: u64) -> Residency {
    Residency {
        replica: replica.to_owned(),
        adapter: adapter.to_owned(),
        version,
    }
}

/// Next order for a replica: polls that are due come first, then loads, then unloads.
///
/// A replica refuses all other orders while an unload waits for running requests to end. An adapter
/// in use is therefore not unloaded. If an unload waits nevertheless, the replica gets no other
/// orders.
fn next_order(
    replica: &Replica,
    config: &Config,
    store_available: bool,
    now: Instant,
) -> Option<(Operation, Adapter)> {
    let due = |slot: &Slot| match slot.state {
        State::Loading { check_at, .. } if now >= check_at => Some(Operation::Load),
        State::Unloading { check_at } if now >= check_at => Some(Operation::Unload),
        _ => None,
    };
    let unloading = replica.is_unloading();
    let eligible = |slot: &Slot| !unloading || matches!(slot.state, State::Unloading { .. });
    let mut slots = replica.slots.iter().filter(|(_, slot)| eligible(slot));
    if let Some((adapter, operation)) = slots.find_map(|(name, slot)| Some((name, due(slot)?))) {
        return Some((operation, adapter.clone()));
    }
    if unloading {
        return None;
    }
    let planned = |slot: &Slot| slot.state == State::Planned;
    let model = replica
        .models()
        .find(|model| planned(&replica.slots[*model]));
    if let Some(model) = model {
        return Some((Operation::Load, model.clone()));
    }
    let present = replica
        .adapters()
        .filter(|(_, slot)| !planned(slot))
        .count();
    if present < replica.capacity && replica.loading_count() < config.max_loads_per_replica {
        let may_load = |slot: &Slot| planned(slot) && (slot.recently_held || store_available);
        let loads = replica.adapters().filter(|(_, slot)| may_load(slot));
        if let Some((adapter, _)) = loads.min_by_key(|(_, slot)| slot.since) {
            return Some((Operation::Load, adapter.clone()));
        }
    }
    let retired =
        |slot: &Slot| matches!(slot.state, State::Retiring { unload_at } if now >= unload_at);
    let mut slots = replica.slots.iter();
    let (adapter, _) = slots.find(|(name, slot)| retired(slot) && !replica.is_used(name))?;
    Some((Operation::Unload, adapter.clone()))
}
