//! What a clairvoyant could do with the same arrivals.
//!
//! One pool of all engines' slots; the adapter that is used again last is unloaded ("A study of
//! replacement algorithms for a virtual-storage computer", Belady, 1966); loads start at the
//! store's rate. It knows nothing of homes, batches and pins, so no real policy can reach it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::workload::{Arrival, LOAD, Workload};

/// Loads and stalls of the clairvoyant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bound {
    /// Loads.
    pub loads: u64,
    /// Time that all requests together waited for a load.
    pub stalled: Duration,
}

/// Runs the clairvoyant over the arrivals.
pub fn clairvoyant(workload: &Workload, arrivals: &[Arrival]) -> Bound {
    let capacity = workload.slots * workload.deployment.replicas();
    let next = next_uses(arrivals);
    // Resident adapters by their next use, and when each is loaded.
    let mut order: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut resident: BTreeMap<usize, (usize, Duration)> = BTreeMap::new();
    let interval = Duration::from_secs_f64(1.0 / workload.deployment.store_rate());
    let mut permit = Duration::ZERO;
    let mut bound = Bound::default();
    for (number, arrival) in arrivals.iter().enumerate() {
        let ready = if let Some((used, ready)) = resident.remove(&arrival.adapter) {
            order.remove(&(used, arrival.adapter));
            ready
        } else {
            if resident.len() >= capacity
                && let Some((_, farthest)) = order.pop_last()
            {
                resident.remove(&farthest);
            }
            bound.loads += 1;
            permit = permit.max(arrival.at);
            let ready = permit + LOAD;
            permit += interval;
            ready
        };
        bound.stalled += ready.saturating_sub(arrival.at);
        resident.insert(arrival.adapter, (next[number], ready));
        order.insert((next[number], arrival.adapter));
    }
    bound
}

/// For each arrival, the number of the next one for the same adapter.
fn next_uses(arrivals: &[Arrival]) -> Vec<usize> {
    let mut next = vec![usize::MAX; arrivals.len()];
    let mut last: BTreeMap<usize, usize> = BTreeMap::new();
    for (number, arrival) in arrivals.iter().enumerate().rev() {
        if let Some(later) = last.insert(arrival.adapter, number) {
            next[number] = later;
        }
    }
    next
}
