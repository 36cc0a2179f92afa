//! Fair use of replicas by client accounts while room is short: max-min fairness, weighted by quota.
//!
//! An account that has recently used less of its share than others goes first. What an idle account does not
//! use is lent to the others, and its next requests go before theirs.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::account::{Accounts, Name, Quota};
use crate::decaying_counts::DecayingCounts;

/// Half-life of the use that is held against an account. Within a second of its return, an idle account has
/// its share again.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Levels of use up to the mean of all accounts that have any.
const LEVELS_TO_MEAN: f64 = 4.0;
/// Highest level.
const MAX_LEVEL: f64 = 16.0;

/// How much of its share an account has used; zero is the least.
pub type Level = u8;

/// What accounts have recently used of the replicas, against their weights.
#[derive(Debug)]
pub struct FairUse {
    /// Share of each account, relative to the others; empty without accounts.
    weights: BTreeMap<Name, f64>,
    /// Used tokens.
    used: DecayingCounts<Name>,
}

impl Default for FairUse {
    fn default() -> Self {
        Self {
            weights: BTreeMap::new(),
            used: DecayingCounts::new(HALF_LIFE),
        }
    }
}

impl FairUse {
    /// Applies the accounts of a configuration. One without a quota has the largest share that any has.
    pub fn configure(&mut self, accounts: &Accounts) {
        let rates = accounts.iter().filter_map(|account| account.quota);
        let largest = rates.map(|quota| quota.per_second).fold(0.0, f64::max);
        let largest = if largest > 0.0 { largest } else { 1.0 };
        let weight = |quota: Option<Quota>| {
            let rate = quota.map_or(largest, |quota| quota.per_second);
            (rate / largest).max(f64::EPSILON)
        };
        let weights = accounts
            .iter()
            .map(|account| (account.name.clone(), weight(account.quota)));
        self.weights = weights.collect();
    }

    /// Whether accounts compete.
    pub fn is_active(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Counts tokens that an account's request is about to use.
    pub fn count(&mut self, account: &str, tokens: u32, now: Instant) {
        if let Some((name, _)) = self.weights.get_key_value(account) {
            self.used.add(name, tokens.max(1), now);
        }
    }

    /// Levels of all accounts that have used anything.
    pub fn levels(&self, now: Instant) -> BTreeMap<Name, Level> {
        let names = self.weights.iter();
        let used = names.map(|(name, weight)| (name.clone(), self.used.value(name, now) / weight));
        let used: Vec<(Name, f64)> = used.filter(|(_, used)| *used >= 1.0).collect();
        let sum: f64 = used.iter().map(|(_, used)| used).sum();
        let mean = sum / used.len().max(1) as f64;
        let level = |used: f64| (used / mean * LEVELS_TO_MEAN).min(MAX_LEVEL) as Level;
        used.into_iter()
            .map(|(name, used)| (name, level(used)))
            .collect()
    }
}
