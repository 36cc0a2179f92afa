//! How far the answer of one upstream to one request has come.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// Times of one attempt, for the log and for the decision whether its answer had just begun.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    sent_at: Instant,
    head_at: Option<Instant>,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
}

impl Progress {
    /// Starts the times of an attempt that is about to be sent.
    pub fn new(now: Instant) -> Self {
        Self {
            sent_at: now,
            head_at: None,
            first_event_at: None,
            last_event_at: None,
        }
    }

    /// Records that the head of the answer has arrived.
    pub fn record_head(&mut self, now: Instant) {
        self.head_at = Some(now);
    }

    /// Records that a part of the body has arrived.
    pub fn record_event(&mut self, now: Instant) {
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
    }

    /// When the answer began: its first event, or else its head or the attempt.
    pub fn began_at(&self) -> Instant {
        let begun = self.first_event_at.or(self.head_at);
        begun.unwrap_or(self.sent_at)
    }

    /// When something of the answer last arrived; when the attempt was sent, if nothing has.
    pub fn last_heard_at(&self) -> Instant {
        let heard = self.last_event_at.or(self.head_at);
        heard.unwrap_or(self.sent_at)
    }

    /// Time between the first and the last part of the body that have arrived; `None` before the
    /// first.
    pub fn span(&self) -> Option<Duration> {
        Some(self.last_event_at? - self.first_event_at?)
    }
}

/// Writes the times as `key=value`, in milliseconds; -1 for what has not happened.
impl fmt::Display for Progress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = |time: Option<Instant>| {
            time.map_or(-1, |time| {
                time.duration_since(self.sent_at).as_millis() as i64
            })
        };
        write!(
            formatter,
            "head_ms={} first_event_ms={} last_event_ms={} total_ms={}",
            since(self.head_at),
            since(self.first_event_at),
            since(self.last_event_at),
            self.sent_at.elapsed().as_millis(),
        )
    }
}
