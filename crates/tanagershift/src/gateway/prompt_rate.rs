//! Rate at which prompts are admitted to each replica of a service, adapted to what callers
//! observe.
//!
//! A replica processes prompts between the decoding steps of its streams. If too many are admitted,
//! streams pause for longer than their objective; if too few, requests wait for longer than theirs.
//! Replicas don't publish how fast they process prompts. The rate is therefore lowered while more
//! streams pause too long than requests are late because of busy replicas, and raised in the
//! opposite case.

use std::time::Duration;

use tokio::time::Instant;

/// Initial rate; half of what a large engine processes.
const INITIAL_TOKENS_PER_MS: f64 = 15.0;
/// Bounds of the rate; they span an order of magnitude around the initial one.
const MIN_TOKENS_PER_MS: f64 = 4.0;
const MAX_TOKENS_PER_MS: f64 = 60.0;
/// Processing time of the prompts that a replica may have outstanding; a third of the usual
/// objective for pauses.
const BURST_TIME: Duration = Duration::from_millis(107);
/// Minimum time between two adaptations of the rate.
const ADAPT_INTERVAL: Duration = Duration::from_millis(500);
/// Ended streams and late requests that must have been counted before the rate changes.
const MIN_SAMPLES: u32 = 20;
/// Share of the counted streams and requests up to which pauses or late requests don't change the
/// rate.
const TOLERATED_SHARE: f64 = 0.03;
/// Factors of one change. The rate falls faster than it rises, since pauses affect requests that
/// are already being served.
const DECREASE_FACTOR: f64 = 0.95;
const INCREASE_FACTOR: f64 = 1.03;

/// Prompt rate of each replica of one service.
#[derive(Clone, Copy, Debug)]
pub struct PromptRate {
    tokens_per_ms: f64,
    ended: u32,
    paused: u32,
    /// Ended streams whose pauses the pace of their replica explains.
    explained: u32,
    late: u32,
    adapted_at: Instant,
    /// Whether it follows observations, this leader's or an earlier one's.
    is_adapted: bool,
}

impl PromptRate {
    /// Starts at the initial rate.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            ended: 0,
            paused: 0,
            explained: 0,
            late: 0,
            adapted_at: now,
            is_adapted: false,
        }
    }

    /// Continues from the rate that an earlier leader has adapted.
    pub fn resumed(tokens_per_ms: f64, now: Instant) -> Self {
        let tokens_per_ms = match tokens_per_ms.is_finite() {
            true => tokens_per_ms.clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS),
            false => INITIAL_TOKENS_PER_MS,
        };
        Self {
            tokens_per_ms,
            is_adapted: true,
            ..Self::new(now)
        }
    }

    /// Whether the rate follows observations.
    pub fn is_adapted(&self) -> bool {
        self.is_adapted
    }

    /// Prompt tokens that a replica is assigned per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Rate of a replica whose work takes `pace` times the usual.
    pub fn at_pace(&self, pace: f64) -> Self {
        Self {
            tokens_per_ms: self.tokens_per_ms / pace,
            ..*self
        }
    }

    /// Prompt tokens that a replica may have outstanding.
    pub fn burst_tokens(&self) -> f64 {
        self.tokens_per_ms * BURST_TIME.as_secs_f64() * 1000.0
    }

    /// Counts streams that have ended, and how many of them paused for longer than their objective.
    pub fn count_streams(&mut self, ended: u32, paused: u32) {
        self.ended += ended;
        self.paused += paused;
    }

    /// Counts ended streams of a replica that was slow, so that its pauses say nothing about the rate.
    pub fn count_explained(&mut self, ended: u32) {
        self.explained += ended;
    }

    /// Counts a request that was late or refused because all replicas that could serve it were
    /// busy.
    pub fn count_late_request(&mut self) {
        self.late += 1;
    }

    /// Adapts the rate if `ADAPT_INTERVAL` has passed since it was last adapted and at least
    /// `MIN_SAMPLES` streams and late requests have been counted.
    pub fn adapt(&mut self, now: Instant) {
        if now < self.adapted_at + ADAPT_INTERVAL || self.ended + self.late < MIN_SAMPLES {
            return;
        }
        let all = f64::from(self.ended + self.explained);
        let tolerated = (all + f64::from(self.late)) * TOLERATED_SHARE;
        // The streams of replicas that were not slow stand for all.
        let paused = f64::from(self.paused) * all / f64::from(self.ended.max(1));
        let late = f64::from(self.late);
        let factor = match paused > late {
            true if paused > tolerated => DECREASE_FACTOR,
            false if late > tolerated => INCREASE_FACTOR,
            _ => 1.0,
        };
        *self = Self::resumed(self.tokens_per_ms * factor, now);
    }
}
