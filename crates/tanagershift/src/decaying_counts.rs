//! How often each key is asked for, with old requests counting less.

use std::{borrow::Borrow, collections::BTreeMap, time::Duration};

use tokio::time::Instant;

/// Keys that are remembered.
const KEYS: usize = 4096;

/// Decayed number of requests of one key.
#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    at: Instant,
}

impl Count {
    fn value(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * (-age.div_duration_f64(half_life)).exp2()
    }
}

/// Decayed numbers of requests by key.
#[derive(Debug)]
pub struct DecayingCounts<K> {
    half_life: Duration,
    counts: BTreeMap<K, Count>,
}

impl<K: Ord + Clone> DecayingCounts<K> {
    /// Makes an empty table whose counts halve in a given time.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            counts: BTreeMap::new(),
        }
    }

    /// Counts requests of a key.
    pub fn add(&mut self, key: &K, requests: u32, now: Instant) {
        let value = self.value(key, now) + f64::from(requests);
        let count = Count { value, at: now };
        self.counts.insert(key.clone(), count);
        if self.counts.len() > KEYS {
            self.forget_coldest_half(now);
        }
    }

    /// Decayed number of requests of a key.
    pub fn value<Q>(&self, key: &Q, now: Instant) -> f64
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.counts
            .get(key)
            .map_or(0.0, |count| count.value(self.half_life, now))
    }

    /// Requests a second of a key, if it has been asked for steadily.
    pub fn rate<Q>(&self, key: &Q, now: Instant) -> f64
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.value(key, now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    /// Requests a second of all keys.
    pub fn rates(&self, now: Instant) -> impl Iterator<Item = (&K, f64)> {
        let scale = std::f64::consts::LN_2 / self.half_life.as_secs_f64();
        let rate = move |count: &Count| count.value(self.half_life, now) * scale;
        self.counts
            .iter()
            .map(move |(key, count)| (key, rate(count)))
    }

    fn forget_coldest_half(&mut self, now: Instant) {
        let mut values: Vec<f64> = self
            .counts
            .values()
            .map(|count| count.value(self.half_life, now))
            .collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        let half_life = self.half_life;
        self.counts
            .retain(|_, count| count.value(half_life, now) > median);
    }
}
