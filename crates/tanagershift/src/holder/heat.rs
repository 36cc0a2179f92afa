//! How often each adapter is asked for, with old requests counting less.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::replica::Target;

/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Targets that are remembered.
const TARGETS: usize = 4096;

/// Decayed number of requests of one target.
#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    at: Instant,
}

impl Count {
    fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * (-age.div_duration_f64(HALF_LIFE)).exp2()
    }
}

/// Decayed numbers of requests by target.
#[derive(Debug, Default)]
pub struct Heat {
    counts: BTreeMap<Target, Count>,
}

impl Heat {
    /// Counts a request.
    pub fn add(&mut self, target: &Target, now: Instant) {
        let value = self.value(target, now) + 1.0;
        let count = Count { value, at: now };
        self.counts.insert(target.clone(), count);
        if self.counts.len() > TARGETS {
            self.forget_coldest_half(now);
        }
    }

    /// Decayed number of requests of a target.
    pub fn value(&self, target: &Target, now: Instant) -> f64 {
        self.counts
            .get(target)
            .map_or(0.0, |count| count.value(now))
    }

    fn forget_coldest_half(&mut self, now: Instant) {
        let mut values: Vec<f64> = self.counts.values().map(|count| count.value(now)).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        self.counts.retain(|_, count| count.value(now) > median);
    }
}
