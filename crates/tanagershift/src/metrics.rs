//! Figures of one host for its operators.

use std::{
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::{holder::replica::Replica, verdict::Verdict};

/// Bounds of times in seconds.
pub const SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Outcome of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    verdict: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ReplicaLabels {
    replica: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Every figure.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    requests: Family<RequestLabels, Counter>,
    retries: Counter,
    stalls: Histogram,
    stalled: Counter,
    first_byte: Histogram,
    loads: Family<OutcomeLabels, Counter>,
    running: Family<ReplicaLabels, Gauge>,
    waiting: Family<ReplicaLabels, Gauge>,
    loaded: Family<ReplicaLabels, Gauge>,
    fill: Family<ReplicaLabels, Gauge<f64, AtomicU64>>,
    leases: Family<ReplicaLabels, Gauge>,
    revision: Gauge,
    accepted: Gauge,
    open: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tanagershift");
        let metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            retries: Counter::default(),
            stalls: Histogram::new(SECONDS),
            stalled: Counter::default(),
            first_byte: Histogram::new(SECONDS),
            loads: Family::default(),
            running: Family::default(),
            waiting: Family::default(),
            loaded: Family::default(),
            fill: Family::default(),
            leases: Family::default(),
            revision: Gauge::default(),
            accepted: Gauge::default(),
            open: Gauge::default(),
        };
        metrics.register(&mut registry);
        Self {
            registry: Arc::new(Mutex::new(registry)),
            ..metrics
        }
    }
}

impl Metrics {
    fn register(&self, registry: &mut Registry) {
        let requests = self.requests.clone();
        registry.register("requests", "Requests by kind and verdict", requests);
        let retries = self.retries.clone();
        registry.register("retries", "Attempts after the first", retries);
        let text = "Time that a request waited for its adapter";
        registry.register_with_unit("load_stall", text, Unit::Seconds, self.stalls.clone());
        let stalled = self.stalled.clone();
        registry.register(
            "stalled_requests",
            "Requests that waited for a load",
            stalled,
        );
        let text = "Time from a request to the first byte of its answer";
        registry.register_with_unit("first_byte", text, Unit::Seconds, self.first_byte.clone());
        registry.register("loads", "Load orders by outcome", self.loads.clone());
        let running = self.running.clone();
        registry.register("running", "Requests running on a replica", running);
        let waiting = self.waiting.clone();
        registry.register("waiting", "Requests waiting for a replica", waiting);
        let loaded = self.loaded.clone();
        registry.register("loaded_adapters", "Adapters loaded on a replica", loaded);
        let text = "Share of a replica's batch that is filled";
        registry.register("batch_fill", text, self.fill.clone());
        let text = "Whether the lease on a replica runs";
        registry.register("lease", text, self.leases.clone());
        let text = "Revision in force on this host";
        registry.register("revision_in_force", text, self.revision.clone());
        let text = "Revision that a leader last named as accepted";
        registry.register("revision_accepted", text, self.accepted.clone());
        let text = "Requests of callers that are open";
        registry.register("open_requests", text, self.open.clone());
    }

    /// Counts a request that ended.
    pub fn request(&self, kind: &'static str, verdict: Verdict) {
        let verdict = verdict.as_str();
        self.requests
            .get_or_create(&RequestLabels { kind, verdict })
            .inc();
    }

    /// Counts an attempt after the first.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Takes the time that a request waited for its adapter.
    pub fn stalled(&self, stalled: Duration) {
        self.stalls.observe(stalled.as_secs_f64());
        if !stalled.is_zero() {
            self.stalled.inc();
        }
    }

    /// Takes the time to the first byte of an answer.
    pub fn first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Counts a load order.
    pub fn load(&self, ok: bool) {
        let outcome = if ok { "loaded" } else { "failed" };
        self.loads.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Takes the figures of one replica.
    pub fn set_replica(&self, name: &str, replica: &Replica) {
        let labels = ReplicaLabels {
            replica: name.to_owned(),
        };
        let set = |family: &Family<ReplicaLabels, Gauge>, value: usize| {
            family.get_or_create(&labels).set(value as i64);
        };
        set(&self.running, replica.running());
        set(&self.waiting, replica.waiting());
        set(&self.loaded, replica.loaded_adapters());
        let leased = replica.holds_lease(tokio::time::Instant::now());
        set(&self.leases, usize::from(leased));
        self.fill.get_or_create(&labels).set(replica.fill());
    }

    /// Drops the figures of a replica that is no longer held.
    pub fn forget_replica(&self, name: &str) {
        let labels = ReplicaLabels {
            replica: name.to_owned(),
        };
        self.running.remove(&labels);
        self.waiting.remove(&labels);
        self.loaded.remove(&labels);
        self.leases.remove(&labels);
        self.fill.remove(&labels);
    }

    /// Takes the revisions.
    pub fn set_revisions(&self, in_force: u64, accepted: u64) {
        self.revision.set(in_force as i64);
        self.accepted.set(accepted as i64);
    }

    /// Counts a request that began; it ends when the guard is dropped.
    pub fn open(&self) -> Open {
        self.open.inc();
        Open(self.open.clone())
    }

    /// Requests of callers that are open.
    pub fn open_requests(&self) -> i64 {
        self.open.get()
    }

    /// All figures in the text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

/// A request of a caller that is open.
#[derive(Debug)]
pub struct Open(Gauge);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.dec();
    }
}
