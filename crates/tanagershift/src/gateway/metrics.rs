//! Metrics of one gateway, in the OpenMetrics text format.

use std::sync::{Arc, Mutex, PoisonError, atomic::AtomicU64};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use super::placement::Summary;
use crate::{link::traffic, metrics::SECONDS};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct FullLabels {
    selected_by: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct HolderLabels {
    holder: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OrderLabels {
    operation: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct LoadLabels {
    state: &'static str,
}

/// All metrics of one gateway. Clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    requests: Family<RequestLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    full_upstreams: Family<FullLabels, Counter>,
    loads: Family<LoadLabels, Gauge>,
    /// Limit on concurrent loads from the weight store, on the leader's host.
    load_limit: Gauge,
    /// Requests that wait for an adapter that no replica has, on the leader's host.
    load_waiting: Gauge,
    /// Adapters that these requests wait for.
    awaited_adapters: Gauge,
    /// Seconds in which no leader could send orders, counted by the next one.
    pub order_silence: Counter<f64, AtomicU64>,
    memory_refusals: Family<CauseLabels, Counter>,
    closed_callers: Family<CauseLabels, Counter>,
    held_memory: Family<HolderLabels, Gauge>,
    /// Retries that were taken from the retry budget.
    pub retries: Counter,
    /// Seconds that a request waited until the leader assigned it a replica or, without a leader,
    /// until a replica had its adapter.
    pub replica_wait: Histogram,
    /// Seconds from a request to the first event of its stream.
    pub first_event: Histogram,
    /// Answers whose figure of the upstream's pace is malformed.
    pub malformed_paces: Counter,
    /// Upstreams that announced that they leave.
    pub departures: Counter,
    /// Pauses that upstreams asked for.
    pub pauses: Counter,
    /// Requests that were not sent to a selected upstream because it leaves or has asked for a
    /// pause.
    pub withheld: Counter,
    /// Checks of replicas that gateways could not reach.
    pub replica_checks: Counter,
    /// Limits that upstreams named, changed or ended.
    pub limits: Counter,
    /// Replicas that crashed on a request of this gateway.
    pub crash_reports: Counter,
    /// Requests rejected since they, or a part of their prompts, crash replicas.
    pub quarantined_requests: Counter,
    /// Prompt parts that are suspected to crash replicas.
    pub suspected_parts: Gauge,
    /// Prompt parts that crash replicas.
    pub convicted_parts: Gauge,
    /// Requests that are suspected to crash replicas.
    pub suspected_requests: Gauge,
    /// Requests that crash replicas.
    pub convicted_requests: Gauge,
    /// Streams whose software version is recorded, on the leader's host.
    pub recorded_streams: Gauge,
    /// Streams that callers could not take up since no replica of their software version serves or the
    /// version is not known, on the leader's host.
    pub refused_take_ups: Counter,
    /// Streams that were not sent to an upstream which may have started again since it was listed.
    pub unconfirmed_runs: Counter,
    /// Checks whether an upstream still runs after it ended an answer with its connection.
    pub end_checks: Counter,
    /// Answers of upstreams that were gone then; they count as broken off.
    pub broken_ends: Counter,
    /// Callers' connections that are open.
    pub caller_connections: Gauge,
    /// Connections to upstreams that lead through another host.
    pub detours: Counter,
    /// Connections to upstreams that were passed on for other hosts.
    pub carried_tunnels: Counter,
    /// Connections that are currently passed on for other hosts.
    pub open_tunnels: Gauge,
    /// Times that the host was found cut off from the upstreams.
    pub cut_offs: Counter,
    /// One while the host is cut off from the upstreams.
    pub cut_off: Gauge,
    /// Calls of the platform's upstream list, one for each page.
    pub list_reads: Counter,
    /// Notices that wait for gateways, on the leader's host.
    pub waiting_notices: Gauge,
    /// Gateways that missed notices since they take them too slowly, on the leader's host.
    pub gateways_behind: Gauge,
    /// Requests of callers that are currently open.
    pub open: Gauge,
    /// Version of the configuration in force; zero for none.
    pub version: Gauge,
    /// Log lines that have been dropped since the start because the output was too slow.
    pub dropped_lines: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            orders: Family::default(),
            full_upstreams: Family::default(),
            loads: Family::default(),
            load_limit: Gauge::default(),
            load_waiting: Gauge::default(),
            awaited_adapters: Gauge::default(),
            order_silence: Counter::default(),
            memory_refusals: Family::default(),
            closed_callers: Family::default(),
            held_memory: Family::default(),
            retries: Counter::default(),
            replica_wait: Histogram::new(SECONDS),
            first_event: Histogram::new(SECONDS),
            departures: Counter::default(),
            pauses: Counter::default(),
            withheld: Counter::default(),
            replica_checks: Counter::default(),
            limits: Counter::default(),
            crash_reports: Counter::default(),
            quarantined_requests: Counter::default(),
            suspected_parts: Gauge::default(),
            convicted_parts: Gauge::default(),
            suspected_requests: Gauge::default(),
            convicted_requests: Gauge::default(),
            recorded_streams: Gauge::default(),
            refused_take_ups: Counter::default(),
            unconfirmed_runs: Counter::default(),
            malformed_paces: Counter::default(),
            caller_connections: Gauge::default(),
            end_checks: Counter::default(),
            broken_ends: Counter::default(),
            detours: Counter::default(),
            carried_tunnels: Counter::default(),
            open_tunnels: Gauge::default(),
            cut_offs: Counter::default(),
            cut_off: Gauge::default(),
            list_reads: Counter::default(),
            waiting_notices: Gauge::default(),
            gateways_behind: Gauge::default(),
            open: Gauge::default(),
            version: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        let mut registry = Registry::with_prefix("tanagershift_gateway");
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
        registry.register("requests", "Requests by route and outcome", requests);
        registry.register(
            "orders",
            "Orders to replicas by outcome",
            self.orders.clone(),
        );
        registry.register(
            "full_upstreams",
            "Requests that a full upstream rejected, by who had selected it",
            self.full_upstreams.clone(),
        );
        let help = "Loads from the weight store by state";
        registry.register("loads", help, self.loads.clone());
        let help = "Limit on concurrent loads from the weight store";
        registry.register("load_limit", help, self.load_limit.clone());
        let help = "Requests that wait for an adapter that no replica has";
        registry.register("load_waiting", help, self.load_waiting.clone());
        let help = "Adapters that requests wait for and no replica has";
        registry.register("awaited_adapters", help, self.awaited_adapters.clone());
        let help = "Time in which no leader could send orders";
        let silence = self.order_silence.clone();
        registry.register_with_unit("order_silence", help, Unit::Seconds, silence);
        let help = "Requests refused for want of memory, by cause";
        let refusals = self.memory_refusals.clone();
        registry.register("memory_refusals", help, refusals);
        let help = "Connections of callers closed for others, by what happened on them";
        registry.register("closed_callers", help, self.closed_callers.clone());
        let help = "Memory that is held for others";
        let held = self.held_memory.clone();
        registry.register_with_unit("held_memory", help, Unit::Bytes, held);
        registry.register("repeats", "Attempts after the first", self.retries.clone());
        let help = "Time that a request waited for its adapter";
        registry.register_with_unit("load_stall", help, Unit::Seconds, self.replica_wait.clone());
        let help = "Time from a request to the first event of its stream";
        let first = self.first_event.clone();
        registry.register_with_unit("first_event", help, Unit::Seconds, first);
        let help = "Upstreams that announced that they leave";
        registry.register("departures", help, self.departures.clone());
        let help = "Pauses that upstreams asked for";
        registry.register("pauses", help, self.pauses.clone());
        let help = "Requests not sent to an upstream that leaves or has asked for a pause";
        registry.register("withheld", help, self.withheld.clone());
        let help = "Checks of replicas that gateways could not reach";
        registry.register("replica_checks", help, self.replica_checks.clone());
        let help = "Limits that upstreams named, changed or ended";
        registry.register("limits", help, self.limits.clone());
        let help = "Replicas that crashed on a request of this gateway";
        registry.register("crash_reports", help, self.crash_reports.clone());
        let help = "Requests rejected since they or a part of their prompts crash replicas";
        let quarantined = self.quarantined_requests.clone();
        registry.register("quarantined_requests", help, quarantined);
        let help = "Prompt parts suspected to crash replicas";
        registry.register("suspected_parts", help, self.suspected_parts.clone());
        let help = "Prompt parts that crash replicas";
        registry.register("convicted_parts", help, self.convicted_parts.clone());
        let help = "Requests suspected to crash replicas";
        let suspected = self.suspected_requests.clone();
        registry.register("suspected_requests", help, suspected);
        let help = "Requests that crash replicas";
        let convicted = self.convicted_requests.clone();
        registry.register("convicted_requests", help, convicted);
        let help = "Streams whose software version is recorded";
        registry.register("recorded_streams", help, self.recorded_streams.clone());
        let help = "Streams that could not be taken up at their software version";
        let refused = self.refused_take_ups.clone();
        registry.register("refused_take_ups", help, refused);
        let help = "Streams withheld from upstreams that may have started again unlisted";
        let unconfirmed = self.unconfirmed_runs.clone();
        registry.register("unconfirmed_runs", help, unconfirmed);
        let help = "Answers with a malformed figure of the upstream's pace";
        registry.register("malformed_paces", help, self.malformed_paces.clone());
        let help = "Checks of upstreams that ended an answer with its connection";
        registry.register("end_checks", help, self.end_checks.clone());
        let help = "Checks that found such an upstream gone";
        registry.register("broken_ends", help, self.broken_ends.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, self.caller_connections.clone());
        let help = "Connections to upstreams through another host";
        registry.register("detours", help, self.detours.clone());
        let help = "Connections passed on for other hosts";
        registry.register("carried_tunnels", help, self.carried_tunnels.clone());
        let help = "Connections that are passed on for other hosts now";
        registry.register("open_tunnels", help, self.open_tunnels.clone());
        let help = "Times that the host was found cut off from the upstreams";
        registry.register("cut_offs", help, self.cut_offs.clone());
        let help = "Whether the host is cut off from the upstreams";
        registry.register("cut_off", help, self.cut_off.clone());
        let help = "Readings of the platform's list";
        registry.register("list_reads", help, self.list_reads.clone());
        let help = "Notices that wait for gateways, on the leader's host";
        registry.register("waiting_notices", help, self.waiting_notices.clone());
        let help = "Gateways that missed notices, on the leader's host";
        registry.register("gateways_behind", help, self.gateways_behind.clone());
        let help = "Bytes sent to other hosts by message type";
        registry.register_with_unit("sent", help, Unit::Bytes, traffic::sent());
        registry.register("open_requests", "Open requests", self.open.clone());
        let help = "Version of the configuration in force";
        registry.register("configuration_version", help, self.version.clone());
        let help = "Log lines dropped because the output was too slow";
        registry.register("dropped_log_lines", help, self.dropped_lines.clone());
    }

    /// Counts a request that has ended. `route` is `-` for a request that the gateway itself
    /// answered or whose caller left before an answer began.
    pub fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an order to a replica.
    pub fn count_order(&self, operation: &'static str, outcome: &'static str) {
        let labels = OrderLabels { operation, outcome };
        self.orders.get_or_create(&labels).inc();
    }

    /// Sets the metrics of loads.
    pub fn set_loads(&self, summary: &Summary) {
        for (state, count) in summary.permits.by_state() {
            let gauge = self.loads.get_or_create(&LoadLabels { state });
            gauge.set(count as i64);
        }
        self.load_limit.set(summary.limit as i64);
        self.load_waiting.set(summary.waiting.into());
        self.awaited_adapters.set(summary.wanted as i64);
    }

    /// Counts a request that a full upstream rejected.
    pub fn count_full_upstream(&self, selected_by: &'static str) {
        let labels = FullLabels { selected_by };
        self.full_upstreams.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused for want of memory.
    pub fn count_memory_refusal(&self, cause: &'static str) {
        self.memory_refusals
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a caller's connection that was closed for others.
    pub fn count_closed_caller(&self, cause: &'static str) {
        self.closed_callers
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Sets the memory that is held for something.
    pub fn set_held_memory(&self, holder: &'static str, bytes: usize) {
        let labels = HolderLabels { holder };
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held_memory.get_or_create(&labels).set(bytes);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
