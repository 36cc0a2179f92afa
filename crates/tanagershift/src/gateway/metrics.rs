//! Figures of one gateway for its operators.

use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::metrics::SECONDS;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OrderLabels {
    operation: &'static str,
    outcome: &'static str,
}

/// Every figure.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    requests: Family<RequestLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    /// Attempts after the first.
    pub repeats: Counter,
    /// Seconds that requests waited for an adapter.
    pub stalls: Histogram,
    /// Seconds from a request to the first event of its stream.
    pub first_event: Histogram,
    /// Readings of the platform's list.
    pub list_reads: Counter,
    /// Requests of callers that are open.
    pub open: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Log lines that were dropped because the output was too slow.
    pub dropped_lines: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let figures = Self {
            registry: Arc::default(),
            requests: Family::default(),
            orders: Family::default(),
            repeats: Counter::default(),
            stalls: Histogram::new(SECONDS),
            first_event: Histogram::new(SECONDS),
            list_reads: Counter::default(),
            open: Gauge::default(),
            version: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        let mut registry = Registry::with_prefix("tanagershift_gateway");
        figures.register(&mut registry);
        Self {
            registry: Arc::new(Mutex::new(registry)),
            ..figures
        }
    }
}

impl Metrics {
    fn register(&self, registry: &mut Registry) {
        let requests = self.requests.clone();
        registry.register("requests", "Requests by route and outcome", requests);
        registry.register(
            "orders",
            "Orders to replicas by outcome",
            self.orders.clone(),
        );
        registry.register("repeats", "Attempts after the first", self.repeats.clone());
        let text = "Time that a request waited for its adapter";
        registry.register_with_unit("load_stall", text, Unit::Seconds, self.stalls.clone());
        let text = "Time from a request to the first event of its stream";
        let first = self.first_event.clone();
        registry.register_with_unit("first_event", text, Unit::Seconds, first);
        let text = "Readings of the platform's list";
        registry.register("list_reads", text, self.list_reads.clone());
        registry.register("open_requests", "Open requests", self.open.clone());
        let text = "Version of the configuration in force";
        registry.register("configuration_version", text, self.version.clone());
        let text = "Log lines dropped because the output was too slow";
        registry.register("dropped_log_lines", text, self.dropped_lines.clone());
    }

    /// Counts a request that ended.
    pub fn request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an order.
    pub fn order(&self, operation: &'static str, outcome: &'static str) {
        let labels = OrderLabels { operation, outcome };
        self.orders.get_or_create(&labels).inc();
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
