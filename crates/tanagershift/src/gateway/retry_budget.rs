//! Limits how often requests are retried on another upstream, so that all gateways together stay
//! within the platform's limit in every window.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

/// Number of buckets that the events of a window are counted in.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Share of the allowance that is used; the rest covers gateways that count requests at slightly
/// different times.
const USABLE_SHARE: f64 = 0.8;

/// Retry limits of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Additional retries allowed in the window, shared by all gateways.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Counts events in a sliding window.
#[derive(Debug, Default)]
struct SlidingWindow {
    buckets: VecDeque<(Instant, u32)>,
    count: u32,
}

impl SlidingWindow {
    fn add(&mut self, bucket: Duration, now: Instant) {
        self.count += 1;
        match self.buckets.back_mut() {
            Some((start, count)) if now < *start + bucket => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    fn count(&mut self, window: Duration, now: Instant) -> u32 {
        while let Some((start, count)) = self.buckets.front()
            && now >= *start + window
        {
            self.count -= count;
            self.buckets.pop_front();
        }
        self.count
    }
}

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct ServiceCounts {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

/// Retry budget of one gateway, for all services.
#[derive(Debug)]
pub struct RetryBudget {
    config: Config,
    services: BTreeMap<String, ServiceCounts>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &str, now: Instant) {
        let bucket = self.config.window / BUCKETS_PER_WINDOW;
        self.service(service).requests.add(bucket, now);
    }

    fn service(&mut self, service: &str) -> &mut ServiceCounts {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Spends one retry and returns true if the budget allows it; `hosts` gateways share the
    /// additional retries equally.
    pub fn try_spend(&mut self, service: &str, hosts: u32, now: Instant) -> bool {
        let config = self.config.clone();
        let bucket = config.window / BUCKETS_PER_WINDOW;
        let service = self.service(service);
        let requests = f64::from(service.requests.count(config.window, now));
        // A bucket expires by the age of its first event, but its last one may be younger by the
        // length of a bucket. Retries therefore stay counted for that much longer, so that no
        // window contains more than the budget allows.
        let retries = f64::from(service.retries.count(config.window + bucket, now));
        let allowed = requests * config.ratio + config.slack / f64::from(hosts.max(1));
        if retries + 1.0 > allowed * USABLE_SHARE {
            return false;
        }
        service.retries.add(bucket, now);
        true
    }
}
