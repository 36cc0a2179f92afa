//! How often requests may be sent to a second upstream, so that all gateways together stay within
//! what the platform allows in any window.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

/// Parts in which a window is counted.
const PARTS: u32 = 20;
/// Part of the allowance that is used, as gateways count requests at slightly different times.
const CAUTION: f64 = 0.8;

/// What the platform allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed on top, over all gateways.
    pub slack: f64,
    /// Length of the window.
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

/// Events of a sliding window.
#[derive(Debug, Default)]
struct Window {
    parts: VecDeque<(Instant, u32)>,
    count: u32,
}

impl Window {
    fn add(&mut self, part: Duration, now: Instant) {
        self.count += 1;
        match self.parts.back_mut() {
            Some((began, count)) if now < *began + part => *count += 1,
            _ => self.parts.push_back((now, 1)),
        }
    }

    fn count(&mut self, window: Duration, now: Instant) -> u32 {
        while let Some((began, count)) = self.parts.front()
            && now >= *began + window
        {
            self.count -= count;
            self.parts.pop_front();
        }
        self.count
    }
}

/// Requests and repeats of one service.
#[derive(Debug, Default)]
struct Service {
    requests: Window,
    repeats: Window,
}

/// The budget of one gateway for all services.
#[derive(Debug)]
pub struct RetryBudget {
    config: Config,
    services: BTreeMap<String, Service>,
}

impl RetryBudget {
    /// Makes a budget with nothing spent.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &str, now: Instant) {
        let part = self.config.window / PARTS;
        self.service(service).requests.add(part, now);
    }

    fn service(&mut self, service: &str) -> &mut Service {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Takes one repeat out if there is one; `hosts` share the allowance.
    pub fn try_spend(&mut self, service: &str, hosts: u32, now: Instant) -> bool {
        let config = self.config.clone();
        let part = config.window / PARTS;
        let service = self.service(service);
        let requests = f64::from(service.requests.count(config.window, now));
        // Repeats are forgotten one part later, so that no window holds too many.
        let repeats = f64::from(service.repeats.count(config.window + part, now));
        let allowed = requests * config.ratio + config.slack / f64::from(hosts.max(1));
        if repeats + 1.0 > allowed * CAUTION {
            return false;
        }
        service.repeats.add(part, now);
        true
    }
}
