//! Permits to load from the weight store, as the leader of the group gives them.
//!
//! The leader gives out most of the store's rate. The rest is split among the hosts in fixed
//! shares, for the time in which they cannot reach a leader, so that both together never exceed
//! the rate. A permit that is not released ends by itself.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

/// Budget of the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Loads a second that the store allows.
    pub rate: f64,
    /// Loads in flight at the most.
    pub in_flight: usize,
    /// Percent of the rate that is kept for the fixed shares.
    pub leaderless_percent: u32,
    /// Longest life of a permit.
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
    /// Loads a second that all hosts together may use without a leader.
    pub fn leaderless_rate(&self) -> f64 {
        self.rate * f64::from(self.leaderless_percent) / 100.0
    }
}

/// A request for a permit that waits.
#[derive(Debug)]
struct Waiting<T> {
    since: Instant,
    waiting: u64,
    answer: T,
}

/// The leader's book of permits. `T` is where an answer goes.
#[derive(Debug)]
pub struct Permits<T> {
    config: Config,
    queue: VecDeque<Waiting<T>>,
    open: BTreeMap<u64, Instant>,
    number: u64,
    next: Instant,
}

impl<T> Permits<T> {
    /// Starts a book whose first permit is given at `next`, when those of an earlier leader have
    /// ended. `base` makes numbers unique over all leaders.
    pub fn new(config: Config, base: u64, next: Instant) -> Self {
        Self {
            config,
            queue: VecDeque::new(),
            open: BTreeMap::new(),
            number: base,
            next,
        }
    }

    /// Time between two permits.
    fn interval(&self) -> Duration {
        let share = f64::from(100 - self.config.leaderless_percent) / 100.0;
        Duration::from_secs_f64(1.0 / (self.config.rate * share))
    }

    /// Puts a request in the queue; `waited` is how long its oldest request has waited.
    pub fn enqueue(&mut self, waited: Duration, waiting: u64, answer: T, now: Instant) {
        let since = now.checked_sub(waited).unwrap_or(now);
        self.queue.push_back(Waiting {
            since,
            waiting,
            answer,
        });
    }

    /// Ends a permit early.
    pub fn release(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Permits that are open.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Gives out what the budget allows, to those first whose requests wait longest in total.
    pub fn grant(&mut self, now: Instant, gone: impl Fn(&T) -> bool) -> Vec<(u64, T)> {
        self.open.retain(|_, until| now < *until);
        self.queue.retain(|waiting| !gone(&waiting.answer));
        let mut granted = Vec::new();
        while now >= self.next && self.open.len() < self.config.in_flight {
            let weight = |waiting: &Waiting<T>| {
                let waited = now.duration_since(waiting.since);
                waited
                    .as_micros()
                    .saturating_mul(u128::from(waiting.waiting.max(1)))
            };
            let best = (0..self.queue.len()).max_by_key(|at| weight(&self.queue[*at]));
            let Some(waiting) = best.and_then(|at| self.queue.remove(at)) else {
                break;
            };
            self.number += 1;
            self.open.insert(self.number, now + self.config.lifetime);
            self.next = self.next.max(now) + self.interval();
            granted.push((self.number, waiting.answer));
        }
        granted
    }

    /// When `grant` may have something to give.
    pub fn next_grant(&self) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let ended = self.open.values().min().copied();
        match ended {
            Some(ended) if self.open.len() >= self.config.in_flight => Some(ended.max(self.next)),
            _ => Some(self.next),
        }
    }
}
