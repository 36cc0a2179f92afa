//! Orders: what a replica needs next, and what its answers mean.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    Action, Adapter, Config, FIRST_VERSION, Pending, Placement, Replica, Slot, State, is_model,
};
use crate::gateway::{
    dialect::{Operation, Ordered, Report},
    message::Residency,
};

/// Load time against the shortest one seen up to which the store counts as not crowded.
const FULL_SPEED: f64 = 1.2;
/// Change of the number of loads at once after one load.
const TRANSIT_STEP: f64 = 0.5;
/// Time after which a load of a base model is asked for the first time.
const MODEL_CHECK: Duration = Duration::from_millis(500);
/// Part by which the expected load time falls when a load had ended at the first check.
const LOAD_TIME_FALL: u32 = 32;
/// Check intervals that a load is given at least before the first check.
const LOAD_TIME_LEAST: u32 = 2;
/// Part of the check interval by which it rises when a load had not.
const LOAD_TIME_RISE: u32 = 4;

impl Placement {
    /// The next step at one replica.
    pub(super) fn act(
        &mut self,
        name: &str,
        may_order: bool,
        transit: &mut usize,
        now: Instant,
    ) -> Option<Action> {
        let config = &self.config;
        let replica = self.replicas.get_mut(name)?;
        if replica.upstream.draining || replica.pending.is_some() || replica.reporting {
            return None;
        }
        let Some(expect) = replica.accepted else {
            if now < replica.report_at {
                return None;
            }
            replica.reporting = true;
            return Some(Action::Report {
                replica: name.to_owned(),
            });
        };
        if !may_order {
            return None;
        }
        let (operation, adapter) =
            next_order(replica, config, *transit < self.transit_limit as usize, now)?;
        let slot = replica.slots.get(&adapter)?;
        let planned = slot.state == State::Planned;
        if planned && is_model(&adapter) {
            let service = replica.upstream.service.clone();
            if !self.take_model_load(&service, now) {
                return None;
            }
        } else if planned && !slot.recent {
            *transit += 1;
        }
        let replica = self.replicas.get_mut(name)?;
        let slot = replica.slots.get(&adapter)?;
        let named = operation == Operation::Load && slot.version > FIRST_VERSION;
        let version = named.then_some(slot.version);
        let number = self.next_order;
        self.next_order += 1;
        replica.pending = Some(Pending {
            number,
            operation,
            adapter: adapter.clone(),
            sent: now,
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

    /// Takes the outcome of an order.
    pub fn ordered(&mut self, name: &str, number: u64, outcome: Ordered, now: Instant) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(pending) = replica.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        match outcome {
            Ordered::Accepted | Ordered::Holds => self.carried_out(name, &pending, outcome, now),
            Ordered::Conflict => ask_again(replica, self.config.report_lag, now),
            // The order may still be carried out, so its place stays taken and it is repeated.
            Ordered::Unknown | Ordered::Fenced => {}
            Ordered::Gone => {
                // What was decided for it is decided again, elsewhere.
                replica.slots.retain(|_, slot| slot.state != State::Planned);
                ask_again(replica, self.config.report_lag, now);
            }
            Ordered::Invalid => {
                replica.remove(&pending.adapter);
                self.change(place(name, &pending.adapter, 0));
            }
        }
    }

    pub(super) fn carried_out(
        &mut self,
        name: &str,
        pending: &Pending,
        outcome: Ordered,
        now: Instant,
    ) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let check = now + self.config.check_interval;
        let Some(slot) = replica.slots.get(&pending.adapter).cloned() else {
            return;
        };
        let first = matches!(slot.state, State::Planned | State::Retiring { .. });
        // An idle adapter is unloaded before the answer, which says that it holds and counts.
        let unloaded = pending.operation == Operation::Unload && outcome == Ordered::Holds;
        if first && (outcome == Ordered::Accepted || unloaded) {
            replica.accepted = replica.accepted.map(|accepted| accepted + 1);
        }
        match (pending.operation, outcome) {
            (Operation::Load, Ordered::Holds) => {
                replica.set(&pending.adapter, State::Ready, now);
                self.change(place(name, &pending.adapter, slot.version));
                if !self.wants.is_empty() {
                    self.plan_soon();
                }
                if is_model(&pending.adapter) {
                    self.size_replicas();
                } else if let State::Loading { at_least, .. } = slot.state
                    && !slot.recent
                {
                    self.note_load_time(at_least, now.duration_since(slot.since));
                }
            }
            (Operation::Load, _) if first => {
                let wait = match (is_model(&pending.adapter), slot.recent) {
                    (true, _) => MODEL_CHECK,
                    (false, true) => self.load_time / 10,
                    (false, false) => self.load_time,
                };
                let state = State::Loading {
                    check: now + wait,
                    at_least: Duration::ZERO,
                };
                replica.set(&pending.adapter, state, now);
            }
            (Operation::Load, _) => {
                if let Some(slot) = replica.slots.get_mut(&pending.adapter) {
                    let at_least = pending.sent.saturating_duration_since(slot.since);
                    slot.state = State::Loading { check, at_least };
                }
            }
            (Operation::Unload, Ordered::Holds) => {
                replica.remove(&pending.adapter);
                if !self.wants.is_empty() {
                    self.plan_soon();
                }
            }
            (Operation::Unload, _) => {
                replica.set(&pending.adapter, State::Unloading { check }, now);
            }
        }
    }

    /// Learns when a load is asked for first, so that about half have ended then, and how many loads
    /// at once the store carries out at full speed.
    ///
    /// The store is slow only if a replica said so after that time: that a load ended is often heard
    /// late, when the leader is busy.
    pub(super) fn note_load_time(&mut self, at_least: Duration, at_most: Duration) {
        if at_least.is_zero() {
            let least = self.config.check_interval * LOAD_TIME_LEAST;
            self.load_time = (self.load_time - self.load_time / LOAD_TIME_FALL).max(least);
        } else {
            // Others may have come from the replica's own memory, which says nothing of the store.
            self.load_time += self.config.check_interval / LOAD_TIME_RISE;
            let best = self.best_load_time.unwrap_or(at_most);
            self.best_load_time = Some(best.min(at_most));
        }
        let least = self.config.store_transit_least as f64;
        let crowded = self.best_load_time.map(|best| best.mul_f64(FULL_SPEED));
        let binding = self.store_transit() + 2 >= self.transit_limit as usize;
        if crowded.is_some_and(|crowded| at_least > crowded) {
            self.transit_limit = (self.transit_limit - TRANSIT_STEP).max(least);
        } else if binding && !self.wants.is_empty() {
            self.transit_limit += TRANSIT_STEP;
        }
    }

    /// Takes a report, or that there was none.
    pub fn reported(&mut self, name: &str, report: Option<&Report>, now: Instant) {
        let config = self.config.clone();
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(report) = report else {
            replica.reporting = false;
            replica.report_at = now + config.report_lag;
            return;
        };
        let before = ready_places(name, replica);
        replica.take_report(report, config.check_interval, now);
        let after = ready_places(name, replica);
        let gone = before.iter().filter(|one| !after.contains(one));
        let gone = gone.filter(|one| after.iter().all(|other| other.adapter != one.adapter));
        let mut changes: Vec<Residency> = gone.map(|one| place(name, &one.adapter, 0)).collect();
        changes.extend(after.iter().filter(|one| !before.contains(one)).cloned());
        for change in changes {
            self.change(change);
        }
    }
}

fn ready_places(name: &str, replica: &Replica) -> Vec<Residency> {
    let ready = replica.slots.iter();
    ready
        .filter(|(_, slot)| slot.state == State::Ready)
        .map(|(adapter, slot)| place(name, adapter, slot.version))
        .collect()
}

pub(super) fn ask_again(replica: &mut Replica, lag: Duration, now: Instant) {
    replica.accepted = None;
    replica.report_at = now + lag;
}

pub(super) fn place(replica: &str, adapter: &str, version: u64) -> Residency {
    Residency {
        replica: replica.to_owned(),
        adapter: adapter.to_owned(),
        version,
    }
}

/// The order that a replica needs next: checks that are due, then loads, then unloads.
///
/// A replica whose unload waits for requests to end refuses all other orders until then. So an adapter
/// in use is not unloaded, and where that happened all the same, the replica is left alone.
fn next_order(
    replica: &Replica,
    config: &Config,
    store_free: bool,
    now: Instant,
) -> Option<(Operation, Adapter)> {
    let due = |slot: &Slot| match slot.state {
        State::Loading { check, .. } if now >= check => Some(Operation::Load),
        State::Unloading { check } if now >= check => Some(Operation::Unload),
        _ => None,
    };
    let unloading = replica.is_unloading();
    let counts = |slot: &Slot| !unloading || matches!(slot.state, State::Unloading { .. });
    let mut slots = replica.slots.iter().filter(|(_, slot)| counts(slot));
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
    if present < replica.capacity && replica.in_transit() < config.replica_transit {
        let may_load = |slot: &Slot| planned(slot) && (slot.recent || store_free);
        let loads = replica.adapters().filter(|(_, slot)| may_load(slot));
        if let Some((adapter, _)) = loads.min_by_key(|(_, slot)| slot.since) {
            return Some((Operation::Load, adapter.clone()));
        }
    }
    let retired = |slot: &Slot| matches!(slot.state, State::Retiring { unload } if now >= unload);
    let mut slots = replica.slots.iter();
    let (adapter, _) = slots.find(|(name, slot)| retired(slot) && !replica.is_used(name))?;
    Some((Operation::Unload, adapter.clone()))
}
