//! Counts of replicas, adapter slots and loads by state, for the log and the metrics.

use tokio::time::Instant;

use super::{Permits, Placement, State};

/// Number of requests waiting for one adapter that counts as a crowd, in the log and the metrics.
const CROWD: u32 = 5;

/// Counts of replicas and adapter slots by state, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Replicas on the platform's list.
    pub replicas: usize,
    /// Replicas that orders can be sent to: they have reported and are not draining.
    pub usable: usize,
    /// Free adapter slots; planned loads count as taken.
    pub free: usize,
    /// Loads that are planned but not yet ordered.
    pub planned: usize,
    /// Loads in progress.
    pub loading: usize,
    /// Loaded adapters with running requests.
    pub used: usize,
    /// Loaded adapters without running requests.
    pub idle: usize,
    /// Adapters that get no new requests and are about to be unloaded.
    pub retiring: usize,
    /// Unloads that wait for running requests to end.
    pub unloading: usize,
    /// Adapters with a load request.
    pub wanted: usize,
    /// Requests that wait for these adapters.
    pub waiting: u32,
    /// Adapters that at least [`CROWD`] requests wait for.
    pub crowded: usize,
    /// Loads from the store by what is known of them.
    pub permits: Permits,
    /// Current limit on concurrent loads from the store.
    pub limit: usize,
    /// Time after which a load from the store is polled for the first time, in milliseconds.
    pub load_ms: u128,
    /// Shortest recent time of a load from the store, in milliseconds; zero if there was none.
    pub shortest_ms: u128,
}

impl Placement {
    /// Counts the adapter slots of all replicas by state.
    pub fn summary(&self, now: Instant) -> Summary {
        let coming = self.replica_counts(now);
        let wanted = self.load_requests.iter();
        let wanted = wanted.filter(|(adapter, _)| !coming.contains_key(*adapter));
        let waiting: Vec<u32> = wanted.map(|(_, request)| request.waiting).collect();
        let mut summary = Summary {
            wanted: waiting.len(),
            waiting: waiting.iter().sum(),
            crowded: waiting.iter().filter(|one| **one >= CROWD).count(),
            limit: self.store.limit(now),
            permits: self.permits(now),
            shortest_ms: self.store.shortest().map_or(0, |time| time.as_millis()),
            load_ms: self.load_time.as_millis(),
            ..Summary::default()
        };
        for replica in self.replicas.values() {
            summary.replicas += 1;
            summary.usable += usize::from(replica.is_usable());
            summary.free += replica.free_slots();
            for (adapter, slot) in replica.adapters() {
                match slot.state {
                    State::Planned => summary.planned += 1,
                    State::Loading { .. } => summary.loading += 1,
                    State::Ready if replica.is_used(adapter) => summary.used += 1,
                    State::Ready => summary.idle += 1,
                    State::Retiring { .. } => summary.retiring += 1,
                    State::Unloading { .. } => summary.unloading += 1,
                }
            }
        }
        summary
    }
}
