//! The routing configuration in force: routes by host and path prefix, services, callers' limits.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use snafu::Snafu;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    Once,
    /// Its answer is a stream of events; it may run once at most unless it may be resumed.
    Stream,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that gets the share.
    pub service: String,
    /// Its weight against the others'.
    pub weight: u64,
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers name, in lower case and without a port.
    pub host: String,
    /// Path prefix, with a slash at either end.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for a final answer.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub targets: Vec<Target>,
    /// Replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a stream may go on at another replica.
    pub resumable: bool,
    /// Longest pause between two events of a stream that is still on time.
    pub max_event_gap: Option<Duration>,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a request, by a number drawn below the sum of the weights.
    pub fn pick_service(&self, mut draw: u64) -> Option<&str> {
        for target in &self.targets {
            if draw < target.weight {
                return Some(&target.service);
            }
            draw -= target.weight;
        }
        None
    }

    /// Sum of the weights.
    pub fn total_weight(&self) -> u64 {
        self.targets.iter().map(|target| target.weight).sum()
    }
}

/// A base model that replicas of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Size of its weights in megabytes.
    pub weights_mb: f64,
    /// Size of one of its adapters in megabytes.
    pub adapter_mb: f64,
}

/// What the replicas of a service have room for.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of running requests and kept prompts that a replica has memory for.
    pub kv_tokens: u32,
    /// Places for adapters.
    pub adapter_slots: usize,
    /// Memory for weights and adapters in megabytes.
    pub weight_memory_mb: f64,
    /// Models of the service.
    pub models: Vec<Model>,
    /// Loads of base models a second that the weight store allows to all replicas; zero if unknown.
    pub loads_per_second: f64,
}

impl Engine {
    /// Adapters that fit on a replica beside the base models that it holds.
    pub fn adapter_capacity(&self, held: impl Fn(&str) -> bool) -> usize {
        let held = || self.models.iter().filter(|model| held(&model.name));
        let weights: f64 = held().map(|model| model.weights_mb).sum();
        let largest = held().map(|model| model.adapter_mb).fold(0.0, f64::max);
        if largest <= 0.0 {
            return self.adapter_slots;
        }
        let fit = ((self.weight_memory_mb - weights) / largest).max(0.0);
        self.adapter_slots.min(fit as usize)
    }
}

/// A service behind the system.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one replica accepts from all hosts.
    pub connections: usize,
    /// Sizes of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// What callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ConfigurationError {
    /// The text cannot be read.
    #[snafu(display("cannot be read: {reason}"))]
    Unreadable {
        /// Why.
        reason: String,
    },
    /// A route leads to a service that is not defined.
    #[snafu(display("route {route} leads to unknown service {service}"))]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("routes {first} and {second} have the same host and prefix"))]
    Ambiguous {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// The weights of a route add up to zero.
    #[snafu(display("the weights of route {route} add up to zero"))]
    Weightless {
        /// Route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[snafu(display("the timeout of route {route} is zero"))]
    NoTimeout {
        /// Route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("the prefix of route {route} must begin and end with a slash"))]
    Prefix {
        /// Route.
        route: String,
    },
}

/// A whole routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; the highest wins.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Callers' limits.
    pub limits: Limits,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Checks routes and services and makes a configuration of them.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, ConfigurationError> {
        let services: BTreeMap<String, Service> = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        for route in &routes {
            check(route, &services)?;
        }
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let known = by_host.entry(route.host.clone()).or_default();
            known.push(Arc::new(route));
        }
        for known in by_host.values_mut() {
            check_unique(known)?;
            known.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version,
            services,
            limits,
            routes: by_host,
        })
    }

    /// The route of a request: the longest prefix of the host that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn check(route: &Route, services: &BTreeMap<String, Service>) -> Result<(), ConfigurationError> {
    let name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return PrefixSnafu { route: name() }.fail();
    }
    if route.timeout.is_zero() {
        return NoTimeoutSnafu { route: name() }.fail();
    }
    let unknown = |target: &&Target| !services.contains_key(&target.service);
    if let Some(target) = route.targets.iter().find(unknown) {
        return UnknownServiceSnafu {
            route: name(),
            service: target.service.clone(),
        }
        .fail();
    }
    if route.total_weight() == 0 {
        return WeightlessSnafu { route: name() }.fail();
    }
    Ok(())
}

fn check_unique(routes: &[Arc<Route>]) -> Result<(), ConfigurationError> {
    let mut prefixes: HashSet<&str> = HashSet::new();
    for route in routes {
        if !prefixes.insert(&route.prefix) {
            let first = routes.iter().find(|known| known.prefix == route.prefix);
            return AmbiguousSnafu {
                first: first.map_or(String::new(), |first| first.name.clone()),
                second: route.name.clone(),
            }
            .fail();
        }
    }
    Ok(())
}

/// A host as callers name it, without the port.
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
