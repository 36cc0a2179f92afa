//! How fast prompts are given to the replicas of a service, learned from what callers see.
//!
//! A replica reads prompts between the tokens of its streams: too many prompts and streams pause for
//! longer than their objective, too few and requests wait for longer than theirs. How fast a replica
//! reads is published nowhere, so the pace falls while more streams pause too long than requests are
//! late for waiting at busy replicas, and rises while it is the other way round.

use std::time::Duration;

use tokio::time::Instant;

/// Prompt tokens a millisecond before anything was seen; half of what a large engine reads.
const START: f64 = 15.0;
/// Bounds of the pace, an order of magnitude around the start.
const LEAST: f64 = 4.0;
const MOST: f64 = 60.0;
/// Time of reading that a replica may have before it at once; a third of the usual objective for
/// pauses.
const BURST: Duration = Duration::from_millis(107);
/// Time between two changes.
const INTERVAL: Duration = Duration::from_millis(500);
/// Streams that must have ended for a change.
const STREAMS: u32 = 20;
/// Part of the streams that may pause or be late without a change.
const TOLERATED: f64 = 0.03;
/// Factors of one change; it falls faster than it rises, since a pause costs what is being served.
const FALL: f64 = 0.95;
const RISE: f64 = 1.03;

/// The pace of one service.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: f64,
    ended: u32,
    paused: u32,
    late: u32,
    changed: Instant,
}

impl Pace {
    /// Starts at the usual pace.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: START,
            ended: 0,
            paused: 0,
            late: 0,
            changed: now,
        }
    }

    /// Prompt tokens that a replica is given in a millisecond.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Prompt tokens that a replica may have to read at once.
    pub fn burst(&self) -> f64 {
        self.rate * BURST.as_secs_f64() * 1000.0
    }

    /// Takes streams that have ended, and how many of them paused for longer than their objective.
    pub fn streams(&mut self, ended: u32, paused: u32) {
        self.ended += ended;
        self.paused += paused;
    }

    /// Takes a request that was late, or refused, since all replicas that could serve it were busy.
    pub fn late(&mut self) {
        self.late += 1;
    }

    /// Changes the pace if enough was seen.
    pub fn adapt(&mut self, now: Instant) {
        if now < self.changed + INTERVAL || self.ended + self.late < STREAMS {
            return;
        }
        let tolerated = f64::from(self.ended + self.late) * TOLERATED;
        let (paused, late) = (f64::from(self.paused), f64::from(self.late));
        let factor = match paused > late {
            true if paused > tolerated => FALL,
            false if late > tolerated => RISE,
            _ => 1.0,
        };
        *self = Self {
            rate: (self.rate * factor).clamp(LEAST, MOST),
            ..Self::new(now)
        };
    }
}
