//! Loads of adapters over changes of the leader: what was found out about the weight store, and the
//! time without orders.

use std::time::Duration;

use tokio::time::Instant;

use super::LeaderState;
use crate::{
    emit,
    gateway::{message::StoreReport, metrics::Metrics, placement::Finding},
};

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
