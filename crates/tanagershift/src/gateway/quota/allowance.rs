//! What a host may spend of accounts' quotas without a leader, and the time that it gives to leaders.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{ALONE_TIME, Gift, HELD_TIME, alone_after};
use crate::{
    gateway::account::{Name, Quota},
    id,
};

/// What a host may spend of one account's quota.
#[derive(Clone, Copy, Debug)]
struct Purse {
    level: f64,
    filled_to: Instant,
}

/// Part of every quota that a host has. Times are those of the clock that counts suspension.
#[derive(Debug)]
pub struct Allowance {
    /// Term of the leader that was heard last.
    term: id::Term,
    heard_at: Option<Instant>,
    /// When the last report was made.
    reported_at: Option<Instant>,
    /// Up to when the host's time was given or has passed unused.
    given_to: Instant,
    given: Duration,
    /// Time that was given before the leader was first heard.
    earlier: Duration,
    part: f64,
    purses: BTreeMap<Name, Purse>,
}

impl Allowance {
    /// Starts with nothing to spend.
    pub fn new(now: Instant) -> Self {
        Self {
            term: 0,
            heard_at: None,
            reported_at: None,
            given_to: now,
            given: Duration::ZERO,
            earlier: Duration::ZERO,
            part: 0.0,
            purses: BTreeMap::new(),
        }
    }

    /// Records a notice of a leader; `part` is zero if it tells none.
    pub fn record_notice(&mut self, term: id::Term, part: f64, now: Instant) {
        if term != self.term {
            self.term = term;
            self.earlier = self.given;
        }
        // Time of which some was spent is not given as well.
        let is_over = now >= self.given_to + ALONE_TIME;
        if is_over || !self.purses.is_empty() {
            self.given_to = now;
            self.purses.clear();
        }
        if part > 0.0 {
            self.part = part.min(1.0);
        }
        self.heard_at = Some(now);
    }

    /// Gives the time that has passed to the leader, if it was heard since the last report.
    pub fn report(&mut self, now: Instant) -> Gift {
        let is_heard = self.heard_at > self.reported_at;
        if is_heard && now > self.given_to {
            self.given += (now - self.given_to).min(HELD_TIME);
            self.given_to = now;
        }
        self.reported_at = Some(now);
        Gift {
            term: self.term,
            given_ms: self.given.as_millis() as u64,
            earlier_ms: self.earlier.as_millis() as u64,
            part: self.part,
        }
    }

    /// Spends what a request costs without a leader. If less is left, the request may be sent with the
    /// probability of what is left, and that is spent either way: the small parts of many hosts add up
    /// to their sum. `interval` is the time between two notices.
    pub fn try_spend(
        &mut self,
        account: &Name,
        quota: &Quota,
        cost: u64,
        interval: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let from = self.given_to + alone_after(interval);
        let until = self.given_to + ALONE_TIME;
        if now < from || now >= until || self.part <= 0.0 {
            return false;
        }
        let cost = cost as f64;
        let purse = self.purses.entry(account.clone()).or_insert(Purse {
            level: 0.0,
            filled_to: from,
        });
        let time = now.saturating_duration_since(purse.filled_to);
        let filled = purse.level + time.as_secs_f64() * quota.per_second * self.part;
        purse.level = filled.min(quota.burst.max(cost) * self.part);
        purse.filled_to = now;
        if purse.level >= cost {
            purse.level -= cost;
            return true;
        }
        let chance = std::mem::take(&mut purse.level) / cost;
        rng.random_bool(chance.clamp(0.0, 1.0))
    }
}
