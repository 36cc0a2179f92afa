//! The routing configuration: routes by host and path prefix, services, and limits on what callers
//! may send.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use snafu::Snafu;

use super::account::{self, Accounts, Ranks};

/// Kind of a route's requests; decides whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Once,
    /// The answer is a stream of events. A request may run at most once unless the route is
    /// resumable.
    Stream,
}

/// Service that gets a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u64,
}

/// Route of the requests for one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs and metrics.
    pub name: String,
    /// Host in the callers' requests, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Latency objective: time to the first event of a stream, or to the whole answer.
    pub objective: Duration,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Services that share the requests, by weight.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request may reach. Attempts that fail before the
    /// request is sent do not count.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed at another replica.
    pub resumable: bool,
    /// Objective for the gap between two events of a stream; `None` for no objective.
    pub max_event_gap: Option<Duration>,
    /// Whether callers need no key although the configuration has client accounts.
    pub allows_anonymous: bool,
}

impl Route {
    /// Whether a request that may already have run may be sent again.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks the service for a request. `draw` is a random number below [`Self::total_weight`].
    pub fn pick_service(&self, mut draw: u64) -> Option<&str> {
        for target in &self.targets {
            if draw < target.weight {
                return Some(&target.service);
            }
            draw -= target.weight;
        }
        None
    }

    /// Sum of the weights of all targets.
    pub fn total_weight(&self) -> u64 {
        self.targets.iter().map(|target| target.weight).sum()
    }
}

/// A base model that replicas of a service may have loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Size of the model's weights in megabytes.
    pub weights_mb: f64,
    /// Size of one of its adapters in megabytes.
    pub adapter_mb: f64,
}

/// Capacity of each replica of a service with a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached prompts.
    pub kv_tokens: u32,
    /// Maximum number of loaded adapters.
    pub adapter_slots: usize,
    /// Memory for base model weights and adapters in megabytes.
    pub weight_memory_mb: f64,
    /// Base models of the service.
    pub models: Vec<Model>,
    /// Loads of base models per second that the weight store allows over all replicas; zero if
    /// unknown.
    pub loads_per_second: f64,
}

impl Engine {
    /// Number of adapters that fit on a replica beside its loaded base models. `is_loaded` tells
    /// whether the replica has a base model loaded.
    pub fn adapter_capacity(&self, is_loaded: impl Fn(&str) -> bool) -> usize {
        let loaded_models = || self.models.iter().filter(|model| is_loaded(&model.name));
        let loaded_weights_mb: f64 = loaded_models().map(|model| model.weights_mb).sum();
        let largest_adapter_mb = loaded_models()
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        if largest_adapter_mb <= 0.0 {
            return self.adapter_slots;
        }
        let fit = ((self.weight_memory_mb - loaded_weights_mb) / largest_adapter_mb).max(0.0);
        self.adapter_slots.min(fit as usize)
    }
}

/// A service whose upstreams answer requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one replica accepts from all hosts together.
    pub connections: usize,
    /// Capacity of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Path of its upstreams' health check, if they have one.
    pub health_path: Option<String>,
}

/// Limits on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for a request head to arrive. The server has one timer for this and for
    /// `idle_timeout`, and applies the longer of the two.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
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

/// Reason why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ConfigurationError {
    /// The text cannot be parsed.
    #[snafu(display("cannot be read: {reason}"))]
    Unreadable {
        /// Error of the parser.
        reason: String,
    },
    /// A route has a target service that is not defined.
    #[snafu(display("route {route} leads to unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("routes {first} and {second} have the same host and prefix"))]
    Ambiguous {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// The weights of a route add up to zero.
    #[snafu(display("the weights of route {route} add up to zero"))]
    Weightless {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[snafu(display("the timeout of route {route} is zero"))]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("the prefix of route {route} must begin and end with a slash"))]
    Prefix {
        /// Name of the route.
        route: String,
    },
    /// A client account is not valid.
    #[snafu(display("{source}"), context(false))]
    Account {
        /// What is wrong with it.
        source: account::Error,
    },
}

/// A complete, validated routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; a configuration replaces one with a lower version.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Client accounts.
    pub accounts: Accounts,
    ranks: Ranks,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Validates routes and services and creates a configuration from them.
    ///
    /// # Errors
    ///
    /// The first problem that is found.
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
            check_route(route, &services)?;
        }
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in by_host.values_mut() {
            check_unique_prefixes(host_routes)?;
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version,
            services,
            limits,
            accounts: Accounts::default(),
            ranks: Ranks::default(),
            routes: by_host,
        })
    }

    /// Adds client accounts.
    ///
    /// # Errors
    ///
    /// The accounts are not valid.
    pub fn with_accounts(
        self,
        accounts: Vec<account::Account>,
    ) -> Result<Self, ConfigurationError> {
        let accounts = Accounts::new(accounts)?;
        let priorities = self.routes().map(|route| route.priority);
        let ranks = Ranks::new(priorities, &accounts);
        Ok(Self {
            accounts,
            ranks,
            ..self
        })
    }

    /// Whether any account has a quota.
    pub fn has_quotas(&self) -> bool {
        self.accounts.iter().any(|account| account.quota.is_some())
    }

    /// Rank of a request among all others; zero is the most urgent. The account's priority goes before
    /// the route's.
    pub fn rank(&self, route: &Route, account: Option<&account::Account>) -> u8 {
        match self.accounts.is_empty() {
            true => route.priority,
            false => self.ranks.of(route.priority, account),
        }
    }

    /// Returns the route of a request: of the host's routes, the one with the longest matching
    /// prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn check_route(
    route: &Route,
    services: &BTreeMap<String, Service>,
) -> Result<(), ConfigurationError> {
    let name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return PrefixSnafu { route: name() }.fail();
    }
    if route.timeout.is_zero() {
        return NoTimeoutSnafu { route: name() }.fail();
    }
    let is_unknown = |target: &&Target| !services.contains_key(&target.service);
    if let Some(target) = route.targets.iter().find(is_unknown) {
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

fn check_unique_prefixes(routes: &[Arc<Route>]) -> Result<(), ConfigurationError> {
    let mut prefixes: HashSet<&str> = HashSet::new();
    for route in routes {
        if !prefixes.insert(&route.prefix) {
            let first = routes.iter().find(|other| other.prefix == route.prefix);
            return AmbiguousSnafu {
                first: first.map_or(String::new(), |first| first.name.clone()),
                second: route.name.clone(),
            }
            .fail();
        }
    }
    Ok(())
}

/// Returns a host name without its port, if it has one.
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
