//! A leader's bucket for each client account with a quota.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{Gift, supply::Supply};
use crate::{
    gateway::account::{Account, Name, Quota},
    id,
};

/// Longest time that a refused request is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Shortest such time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time between two log lines about the refusals of one account.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// What an account may use.
#[derive(Clone, Debug)]
struct Bucket {
    /// `None` once the configuration sets no limit. The bucket stays, so that a limit which comes back
    /// does not fill it.
    quota: Option<Quota>,
    /// Units in the bucket; negative after a request that is larger than the burst.
    level: f64,
    /// Supply up to which the bucket was filled, in seconds.
    filled_to: f64,
    /// When the last request that was refused finds room.
    promised_until: Instant,
    usage: Use,
    /// Earliest time of the next log line about a refusal.
    next_line: Instant,
}

/// What an account has used, and what it was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// Units that were spent.
    pub spent: f64,
    /// Requests that were refused.
    pub refused: u64,
}

/// A refusal over a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// When there will be room, behind those that were told to return before.
    pub retry_after: Duration,
    /// Units in the bucket.
    pub level: f64,
    /// Quota of the account.
    pub quota: Quota,
    /// What the account has used, and was refused, under this leader.
    pub usage: Use,
    /// Whether it is logged; lines about one account are bounded.
    pub is_logged: bool,
}

/// Buckets of all accounts.
#[derive(Debug)]
pub struct Ledger {
    buckets: BTreeMap<Name, Bucket>,
    supply: Supply,
    /// Whether accounts that are new get a full bucket: they cannot have used any of it.
    fills_new: bool,
    /// Time between two tallies.
    interval: Duration,
}

impl Ledger {
    /// Starts without accounts; the first ones get an empty bucket unless this is the first leader.
    pub fn new(term: id::Term, is_first: bool, now: Instant) -> Self {
        Self {
            buckets: BTreeMap::new(),
            supply: Supply::new(term, is_first, now),
            fills_new: is_first,
            interval: Duration::ZERO,
        }
    }

    /// Whether no account has ever had a quota.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Puts the quotas of a configuration in force. A lower one cuts the bucket at once; a higher one
    /// does not fill it.
    pub fn configure<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>, now: Instant) {
        let quotas = accounts.filter_map(|account| Some((account.name.clone(), account.quota?)));
        let quotas: BTreeMap<Name, Quota> = quotas.collect();
        let names: Vec<Name> = self.buckets.keys().cloned().collect();
        for name in names {
            self.fill(&name, now);
        }
        for (name, bucket) in &mut self.buckets {
            let quota = quotas.get(name).copied();
            let unit = |quota: Option<Quota>| quota.map(|quota| quota.unit);
            if unit(bucket.quota) != unit(quota) {
                bucket.level = 0.0;
            }
            bucket.quota = quota;
            bucket.filled_to = self.supply.seconds();
        }
        for (name, quota) in quotas {
            let level = if self.fills_new { quota.burst } else { 0.0 };
            let new = || Bucket {
                quota: Some(quota),
                level,
                filled_to: self.supply.seconds(),
                promised_until: now,
                usage: Use::default(),
                next_line: now,
            };
            self.buckets.entry(name).or_insert_with(new);
        }
        self.fills_new = true;
        let names: Vec<Name> = self.buckets.keys().cloned().collect();
        for name in names {
            self.fill(&name, now);
        }
    }

    /// Brings a bucket up to date. What hosts have not given yet, and what they may spend alone, is a
    /// part of the burst.
    fn fill(&mut self, account: &str, now: Instant) -> Option<(&mut Bucket, Quota, f64)> {
        let reserved = self.supply.reserved(self.interval, now);
        let pending = self.supply.pending(self.interval, now);
        let bucket = self.buckets.get_mut(account)?;
        let quota = bucket.quota?;
        let supplied = self.supply.seconds() - bucket.filled_to;
        bucket.filled_to = self.supply.seconds();
        let elsewhere = (quota.burst * reserved).max(quota.per_second * pending);
        let burst = (quota.burst - elsewhere).max(0.0);
        bucket.level = (bucket.level + supplied * quota.per_second).min(burst);
        Some((bucket, quota, burst))
    }

    /// Spends what a request costs. A request that is larger than the burst waits for a full bucket, and
    /// what is missing is paid by those after it.
    ///
    /// # Errors
    ///
    /// The account has used its quota. Nothing was spent.
    pub fn try_spend(&mut self, account: &str, cost: u64, now: Instant) -> Result<(), Refusal> {
        let Some((bucket, quota, burst)) = self.fill(account, now) else {
            return Ok(());
        };
        let cost = cost as f64;
        let missing = cost.min(burst) - bucket.level;
        if missing <= 0.0 {
            bucket.level -= cost;
            bucket.usage.spent += cost;
            return Ok(());
        }
        bucket.usage.refused += 1;
        let time = |units: f64| Duration::try_from_secs_f64(units / quota.per_second);
        let time = |units: f64| time(units).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let after_all = bucket.promised_until + time(cost);
        let due = (now + time(missing))
            .max(after_all)
            .min(now + MAX_RETRY_AFTER);
        bucket.promised_until = due;
        let is_logged = now >= bucket.next_line;
        if is_logged {
            bucket.next_line = now + LOG_INTERVAL;
        }
        Err(Refusal {
            retry_after: (due - now).max(MIN_RETRY_AFTER),
            level: bucket.level,
            quota,
            usage: bucket.usage,
            is_logged,
        })
    }

    /// Whether this leader has heard from all hosts that reach it. Before, a bucket may hold more than is
    /// known.
    pub fn has_heard_all(&self, now: Instant) -> bool {
        self.supply.has_heard_all(self.interval, now)
    }

    /// Gives back what a request cost that was not sent.
    pub fn give_back(&mut self, account: &str, cost: u64, now: Instant) {
        if let Some((bucket, _, burst)) = self.fill(account, now) {
            bucket.level = (bucket.level + cost as f64).min(burst);
            bucket.usage.spent -= cost as f64;
        }
    }

    /// Records the time that a host has given; `interval` is the time between two tallies.
    pub fn record_gift(
        &mut self,
        host: &id::Host,
        session: u64,
        gift: &Gift,
        interval: Duration,
        now: Instant,
    ) {
        self.interval = interval;
        self.supply.record(host, session, gift, interval, now);
    }

    /// The part that all hosts are told to spend when they are alone; zero while it is not known.
    pub fn part_to_tell(&mut self, now: Instant) -> f64 {
        self.supply.part_to_tell(self.interval, now)
    }

    /// Each account with its quota, the units in its bucket, and what it has used.
    pub fn accounts(&self) -> impl Iterator<Item = (&Name, Quota, f64, Use)> {
        self.buckets.iter().filter_map(|(name, bucket)| {
            let quota = bucket.quota?;
            Some((name, quota, bucket.level, bucket.usage))
        })
    }
}
