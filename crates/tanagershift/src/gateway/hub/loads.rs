//! Loads of adapters over changes of the leader: what was found out about the weight store, and the
//! time without orders.

use std::time::Duration;

use tokio::time::Instant;

use super::{LeaderState, TICK_INTERVAL};
use crate::{
    emit,
    gateway::{message::StoreReport, metrics::Metrics, placement::Finding},
};

/// Pause after the outcomes of orders were handled, as a multiple of the time that it took.
const ORDER_PAUSE_FACTOR: u32 = 4;

/// Time without an order since an earlier leader's last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// Orders may not be sent. An earlier leader can have sent the last one at this time.
    Since(Instant),
    /// Orders may be sent.
    Over,
}

impl Silence {
    /// Updates the silence, and returns how long it lasted if it has just ended.
    pub(super) fn update(&mut self, may_order: bool, now: Instant) -> Option<Duration> {
        match (*self, may_order) {
            (Self::Since(since), true) => {
                *self = Self::Over;
                Some(now.saturating_duration_since(since))
            }
            (Self::Over, false) => {
                *self = Self::Since(now);
                None
            }
            (Self::Since(_), false) | (Self::Over, true) => None,
        }
    }
}

/// Handling of the outcomes of orders between two ticks. A replica gets its next order only after the
/// outcome of the one before, so loads must not wait for ticks, which take long while many requests wait.
#[derive(Debug)]
pub(super) struct OrderTick {
    is_pending: bool,
    next_at: Instant,
}

impl OrderTick {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            is_pending: false,
            next_at: now,
        }
    }

    /// Records that an order has an outcome.
    pub(super) fn record_outcome(&mut self) {
        self.is_pending = true;
    }

    /// When outcomes must be handled, at the latest with the next tick; `None` if there are none.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.is_pending.then_some(self.next_at)
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_due().is_some_and(|due| now >= due)
    }

    /// Records that outcomes were handled from one time to another. The pause that follows leaves the
    /// processor to messages and ticks.
    pub(super) fn end(&mut self, began: Instant, ended: Instant) {
        self.is_pending = false;
        let pause = ended.saturating_duration_since(began) * ORDER_PAUSE_FACTOR;
        self.next_at = (began + TICK_INTERVAL).max(ended + pause);
    }
}

impl LeaderState {
    /// What was found out about the store, if anything was.
    pub(super) fn store_report(&self) -> Option<StoreReport> {
        let finding = self.placement.finding();
        finding.shortest.map(|_| finding.into())
    }

    /// Continues from what an earlier leader has told a gateway about the store, unless this one
    /// has found out more.
    pub(super) fn resume_store(&mut self, report: Option<StoreReport>) {
        let Some(report) = report else {
            return;
        };
        if self.placement.finding().shortest.is_none() {
            let finding = Finding::from(report);
            emit!(
                STORE_RESUMED,
                "term={} limit={} shortest_ms={}",
                self.term,
                report.limit,
                report.shortest_ms
            );
            self.placement.resume(finding);
        }
    }

    /// Records whether orders may be sent.
    pub(super) fn record_silence(&mut self, may_order: bool, metrics: &Metrics, now: Instant) {
        if let Some(silence) = self.silence.update(may_order, now) {
            metrics.order_silence.inc_by(silence.as_secs_f64());
            emit!(
                ORDERS_RESUMED,
                "term={} silence_ms={} waiting={}",
                self.term,
                silence.as_millis(),
                self.scheduler.waiting()
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A thousand requests wait, so that a tick takes 80 ms and the next one begins 160 ms later.
    /// Outcomes of orders that arrive meanwhile are handled, each after a pause that leaves four fifths
    /// of the time to others.
    #[test]
    fn outcomes_of_orders_do_not_wait_for_a_long_tick() {
        let start = Instant::now();
        let ms = |millis: u64| start + Duration::from_millis(millis);
        let mut order_tick = OrderTick::new(start);
        assert_eq!(order_tick.next_due(), None);
        order_tick.record_outcome();
        assert!(order_tick.is_due(start));
        order_tick.end(ms(0), ms(1));
        assert_eq!(order_tick.next_due(), None);
        order_tick.record_outcome();
        assert_eq!(order_tick.next_due(), Some(ms(5)));
        order_tick.end(ms(5), ms(15));
        order_tick.record_outcome();
        assert!(!order_tick.is_due(ms(54)) && order_tick.is_due(ms(55)));
    }

    /// The silence ends once, with its length since the last order of an earlier leader.
    #[test]
    fn the_time_without_orders_is_counted_once() {
        let start = Instant::now();
        let mut silence = Silence::Since(start);
        let later = start + Duration::from_secs(3);
        assert_eq!(silence.update(false, start), None);
        assert_eq!(silence.update(true, later), Some(Duration::from_secs(3)));
        assert_eq!(silence.update(true, later), None);
    }
}
