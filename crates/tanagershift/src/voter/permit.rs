//! Permits to load from the weight store, granted by the leader.
//!
//! The leader grants most of the store's rate. The rest is split into fixed shares, one per host,
//! for hosts that cannot reach a leader, so that the total never exceeds the rate. A permit that is
//! not released expires.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

/// Budget of the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Loads per second that the store allows.
    pub rate: f64,
    /// Limit on loads in flight.
    pub in_flight: usize,
    /// Percent of the rate that is reserved for hosts that cannot reach a leader.
    pub leaderless_percent: u32,
    /// Time after which a permit that was not released expires.
    pub lifetime: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            rate: 5.0,
            in_flight: 8,
            leaderless_percent: 10,
            lifetime: Duration::from_secs(5),
        }
    }
}

impl Config {
    /// Loads per second that all hosts together may start without a leader.
    pub fn leaderless_rate(&self) -> f64 {
        self.rate * f64::from(self.leaderless_percent) / 100.0
    }
}

/// A queued request for a permit to load one adapter.
#[derive(Debug)]
struct QueuedRequest<T> {
    /// When the first of the requests that wait for the adapter began to wait.
    waiting_since: Instant,
    /// Number of requests that wait for the adapter.
    waiting_requests: u64,
    recipient: T,
}

/// The leader's open permits and queued requests. `T` is the recipient of a permit.
#[derive(Debug)]
pub struct Permits<T> {
    config: Config,
    queue: VecDeque<QueuedRequest<T>>,
    /// Numbers of the open permits, and when they expire.
    open: BTreeMap<u64, Instant>,
    last_number: u64,
    next_grant_at: Instant,
}

impl<T> Permits<T> {
    /// Creates a queue without requests. It grants nothing before `next_grant_at`, when all permits
    /// of an earlier leader have expired. Permit numbers start above `base`, which makes them
    /// unique across leaders.
    pub fn new(config: Config, base: u64, next_grant_at: Instant) -> Self {
        Self {
            config,
            queue: VecDeque::new(),
            open: BTreeMap::new(),
            last_number: base,
            next_grant_at,
        }
    }

    /// Time between two permits.
    fn interval(&self) -> Duration {
        let share = f64::from(100 - self.config.leaderless_percent) / 100.0;
        Duration::from_secs_f64(1.0 / (self.config.rate * share))
    }

    /// Queues a request for a permit to load one adapter. `waiting_requests` is the number of
    /// requests that wait for the adapter, and `waited` how long the first of them has waited.
    pub fn enqueue(&mut self, waited: Duration, waiting_requests: u64, recipient: T, now: Instant) {
        let waiting_since = now.checked_sub(waited).unwrap_or(now);
        self.queue.push_back(QueuedRequest {
            waiting_since,
            waiting_requests,
            recipient,
        });
    }

    /// Releases a permit before it expires.
    pub fn release(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Number of open permits.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Grants as many permits as the budget allows, in descending order of priority: the wait of
    /// the first request for the adapter multiplied by the number of requests that wait for it.
    /// Drops queued requests whose recipient is cancelled.
    pub fn grant(&mut self, now: Instant, is_cancelled: impl Fn(&T) -> bool) -> Vec<(u64, T)> {
        self.open.retain(|_, expires_at| now < *expires_at);
        self.queue
            .retain(|request| !is_cancelled(&request.recipient));
        let mut granted = Vec::new();
        while now >= self.next_grant_at && self.open.len() < self.config.in_flight {
            let priority = |request: &QueuedRequest<T>| {
                let waited = now.duration_since(request.waiting_since);
                waited
                    .as_micros()
                    .saturating_mul(u128::from(request.waiting_requests.max(1)))
            };
            let best =
                (0..self.queue.len()).max_by_key(|position| priority(&self.queue[*position]));
            let Some(request) = best.and_then(|position| self.queue.remove(position)) else {
                break;
            };
            self.last_number += 1;
            self.open
                .insert(self.last_number, now + self.config.lifetime);
            self.next_grant_at = self.next_grant_at.max(now) + self.interval();
            granted.push((self.last_number, request.recipient));
        }
        granted
    }

    /// Earliest time at which `grant` may grant a permit; `None` if no request is queued.
    pub fn next_grant(&self) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let expires_at = self.open.values().min().copied();
        match expires_at {
            Some(expires_at) if self.open.len() >= self.config.in_flight => {
                Some(expires_at.max(self.next_grant_at))
            }
            _ => Some(self.next_grant_at),
        }
    }
}
