//! Exponentially decaying request counts by key, from which request rates are estimated.

use std::{borrow::Borrow, collections::BTreeMap, time::Duration};

use tokio::time::Instant;

/// Maximum number of keys. When it is exceeded, every key is dropped whose count is not above the
/// median.
const MAX_KEYS: usize = 4096;

/// Decaying request count of one key.
#[derive(Clone, Copy, Debug)]
struct Count {
    /// Count at the time of the last update.
    value: f64,
    updated_at: Instant,
}

impl Count {
    fn value(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.value * (-age.div_duration_f64(half_life)).exp2()
    }
}

/// Request counts by key that decay exponentially with a common half-life.
#[derive(Debug)]
pub struct DecayingCounts<K> {
    half_life: Duration,
    counts: BTreeMap<K, Count>,
}

impl<K: Ord + Clone> DecayingCounts<K> {
    /// Creates an empty table whose counts halve after each `half_life` without requests.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            counts: BTreeMap::new(),
        }
    }

    /// Adds a number of requests to the count of a key.
    pub fn add(&mut self, key: &K, requests: u32, now: Instant) {
        let value = self.value(key, now) + f64::from(requests);
        let count = Count {
            value,
            updated_at: now,
        };
        self.counts.insert(key.clone(), count);
        if self.counts.len() > MAX_KEYS {
            self.drop_low_counts(now);
        }
    }

    /// Decayed request count of a key; zero for an unknown key.
    pub fn value<Q>(&self, key: &Q, now: Instant) -> f64
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.counts
            .get(key)
            .map_or(0.0, |count| count.value(self.half_life, now))
    }

    /// Estimated requests per second of a key.
    ///
    /// At a steady rate, the count settles at the rate times `half_life / ln 2`, so the estimate
    /// settles at the rate itself.
    pub fn rate<Q>(&self, key: &Q, now: Instant) -> f64
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.value(key, now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    /// Time since the last request of a key; zero for an unknown key.
    pub fn age<Q>(&self, key: &Q, now: Instant) -> Duration
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let count = self.counts.get(key);
        count.map_or(Duration::ZERO, |count| {
            now.saturating_duration_since(count.updated_at)
        })
    }

    /// Estimated requests per second of every key.
    pub fn rates(&self, now: Instant) -> impl Iterator<Item = (&K, f64)> {
        let scale = std::f64::consts::LN_2 / self.half_life.as_secs_f64();
        let rate = move |count: &Count| count.value(self.half_life, now) * scale;
        self.counts
            .iter()
            .map(move |(key, count)| (key, rate(count)))
    }

    fn drop_low_counts(&mut self, now: Instant) {
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
