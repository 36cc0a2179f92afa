//! The time that hosts give to a leader, and the part of every quota that each host has.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{ALONE_MARGIN, ALONE_TIME, Gift, HELD_TIME, silent_after};
use crate::id;

/// Time after which a host that is new gives time. By then the others have heard that their parts are
/// smaller, or are known to be silent.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// Added to the time between two tallies: then a leader has heard from all hosts that reach it, and knows
/// whether any of them has a part.
const FIRST_TALLIES: Duration = Duration::from_millis(300);
/// Time after which a silent host is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(600);

/// A host that gives time.
#[derive(Clone, Copy, Debug)]
struct Giver {
    session: u64,
    given: Duration,
    /// Part that the host has reported.
    told: f64,
    /// Largest part that the host may spend alone.
    part: f64,
    joined_at: Instant,
    heard_at: Instant,
}

impl Giver {
    /// Until when the host may spend its part alone.
    fn alone_until(&self) -> Instant {
        self.heard_at + ALONE_TIME + ALONE_MARGIN
    }
}

/// Time that a leader has been given.
#[derive(Debug)]
pub struct Supply {
    term: id::Term,
    givers: BTreeMap<id::Host, Giver>,
    /// When this leader began.
    started_at: Instant,
    /// When no host can have a part any more that an earlier leader told it.
    settled_at: Instant,
    seconds: f64,
    /// Up to when the leader counted time by its own clock, while no host had a part.
    counted_to: Option<Instant>,
    /// Smallest part that a host has reported.
    smallest: f64,
}

impl Supply {
    /// Starts without time. The leader of the first term has no predecessor, whose parts could be in use.
    pub fn new(term: id::Term, is_first: bool, now: Instant) -> Self {
        Self {
            term,
            givers: BTreeMap::new(),
            started_at: now,
            settled_at: match is_first {
                true => now,
                false => now + ALONE_TIME + ALONE_MARGIN,
            },
            seconds: 0.0,
            counted_to: None,
            smallest: 1.0,
        }
    }

    /// Time that was given so far, in seconds, each host's weighed by its part.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Records the time that a host has given; `interval` is the time between two tallies.
    pub fn record(
        &mut self,
        host: &id::Host,
        session: u64,
        gift: &Gift,
        interval: Duration,
        now: Instant,
    ) {
        if gift.term != self.term {
            return;
        }
        if gift.part > 0.0 {
            self.smallest = self.smallest.min(gift.part);
        }
        let given = Duration::from_millis(gift.given_ms);
        let known = self.givers.get(host).copied();
        let joined_at = match known {
            // Others have had its part meanwhile.
            Some(known) if now >= known.alone_until() => now,
            Some(known) => known.joined_at,
            // Hosts that the last leader knew have their parts from it.
            None if gift.part > 0.0 => self.started_at,
            None => now,
        };
        let before = match known {
            Some(known) if known.session == session => known.given,
            _ => Duration::from_millis(gift.earlier_ms),
        };
        let giver = Giver {
            session,
            given: given.max(before),
            told: gift.part,
            part: match known {
                Some(known) if known.session == session => known.part.max(gift.part),
                _ => gift.part,
            },
            joined_at,
            heard_at: now,
        };
        self.givers.insert(host.clone(), giver);
        if now < self.settled_at && self.largest(interval, now) <= 0.0 {
            return self.count_time(interval, now);
        }
        let is_joining = joined_at > self.started_at && now < joined_at + JOIN_TIME;
        if is_joining {
            return;
        }
        let time = given.saturating_sub(before).min(HELD_TIME);
        // While a host was silent, others had what it has beyond its part.
        let weight = match known.is_some_and(|known| now >= known.heard_at + silent_after(interval))
        {
            true => giver.part.min(self.weight(gift.part, interval, now)),
            false => self.weight(gift.part, interval, now),
        };
        self.seconds += time.as_secs_f64() * weight;
    }

    /// Counts time by this leader's clock: all hosts have just started, so none can spend alone.
    fn count_time(&mut self, interval: Duration, now: Instant) {
        if !self.has_heard_all(interval, now) {
            return;
        }
        let from = self.counted_to.unwrap_or(self.started_at);
        self.seconds += now.saturating_duration_since(from).as_secs_f64();
        self.counted_to = Some(now);
    }

    /// Whether this leader has heard from all hosts that reach it.
    pub fn has_heard_all(&self, interval: Duration, now: Instant) -> bool {
        let is_first = self.settled_at == self.started_at;
        is_first || now >= self.started_at + interval + FIRST_TALLIES
    }

    /// Largest part that a heard host has reported.
    fn largest(&self, interval: Duration, now: Instant) -> f64 {
        let told = self.heard(interval, now).map(|giver| giver.told);
        told.fold(0.0, f64::max)
    }

    /// Parts of hosts that are silent, or not known, and may spend them alone.
    pub fn reserved(&self, interval: Duration, now: Instant) -> f64 {
        if now >= self.settled_at {
            return self.silent(interval, now);
        }
        let own = self.inherited(interval, now);
        let heard = self.heard(interval, now).map(|giver| own(giver.told));
        (1.0 - heard.sum::<f64>()).max(0.0)
    }

    /// Parts of known hosts that are silent and may spend them alone.
    fn silent(&self, interval: Duration, now: Instant) -> f64 {
        let silent = self.givers.values().filter(|giver| {
            now >= giver.heard_at + silent_after(interval) && now < giver.alone_until()
        });
        silent.map(|giver| giver.part).sum::<f64>().min(1.0)
    }

    /// Time in seconds that hosts have not given yet, each host's weighed by its part.
    pub fn pending(&self, interval: Duration, now: Instant) -> f64 {
        let (count, age) = self
            .heard(interval, now)
            .fold((0, 0.0), |(count, age), one| {
                let silence = now.saturating_duration_since(one.heard_at);
                (count + 1, age + silence.min(HELD_TIME).as_secs_f64())
            });
        let reserved = self.reserved(interval, now);
        let mean = age / f64::from(count.max(1));
        mean * (1.0 - reserved) + reserved * HELD_TIME.as_secs_f64()
    }

    fn heard(&self, interval: Duration, now: Instant) -> impl Iterator<Item = &Giver> {
        let givers = self.givers.values();
        givers.filter(move |giver| now < giver.heard_at + silent_after(interval))
    }

    /// What a second of a heard host is worth, once all parts are known.
    fn equal_part(&self, interval: Duration, now: Instant) -> f64 {
        let heard = self.heard(interval, now).count().max(1);
        (1.0 - self.silent(interval, now)) / heard as f64
    }

    /// What a second of a host is worth that knows a part.
    fn weight(&self, part: f64, interval: Duration, now: Instant) -> f64 {
        match now < self.settled_at {
            true => self.inherited(interval, now)(part),
            false => self.equal_part(interval, now),
        }
    }

    /// What a second is worth while hosts have the parts that an earlier leader told them.
    fn inherited(&self, interval: Duration, now: Instant) -> impl Fn(f64) -> f64 {
        let largest = self.largest(interval, now);
        let is_fresh = self.has_heard_all(interval, now);
        let equal = self.equal_part(interval, now);
        move |part| {
            // Hosts that have just started know no part, though they have that of their predecessor.
            let own = match (part > 0.0, is_fresh, largest > 0.0) {
                (true, _, _) => part,
                (false, true, true) => largest,
                (false, true, false) => equal,
                (false, false, _) => 0.0,
            };
            own.min(equal)
        }
    }

    /// The part that all hosts are told to spend when they are alone; zero while it is not known.
    pub fn part_to_tell(&mut self, interval: Duration, now: Instant) -> f64 {
        self.givers
            .retain(|_, giver| now < giver.heard_at + FORGET_TIME);
        let is_early = now < self.settled_at || now < self.started_at + JOIN_TIME;
        if is_early || self.givers.is_empty() {
            return 0.0;
        }
        if now >= self.started_at + FORGET_TIME {
            self.smallest = 1.0;
        }
        // Parts don't grow while hosts come and go, since some may not hear of it.
        let part = self.smallest.min(1.0 / self.givers.len() as f64);
        for giver in self.givers.values_mut() {
            if now < giver.heard_at + silent_after(interval) {
                giver.part = part;
            }
        }
        part
    }
}
