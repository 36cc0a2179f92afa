//! Requests for an adapter that no replica has, on a gateway without a leader.
//!
//! Nobody loads the adapter until there is a leader that may send orders. A request whose caller
//! leaves before that is rejected at once and told when to come back.

use std::time::Duration;

use tokio::time::Instant;

/// Added to the silence of the platform, since the clocks of hosts drift apart.
const SILENCE_MARGIN: Duration = Duration::from_millis(200);
/// Shortest time that a caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Time that a load takes if no leader has told it.
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(300);
/// Share of the time without a leader for which it is expected to last on, once a leader that begins
/// could send orders at once.
const FURTHER_SHARE: f64 = 0.5;

/// What a gateway knows about loads while it has no leader.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// When the last notice of a leader arrived.
    pub last_notice_at: Instant,
    /// Time after an earlier leader's last order before which another one sends none.
    pub order_silence: Duration,
    /// Time that a load takes; `None` if no leader has told it.
    pub load_time: Option<Duration>,
}

impl Absence {
    /// Estimated time until an adapter that no replica has can be loaded.
    pub fn load_wait(&self, now: Instant) -> Duration {
        let absent = now.saturating_duration_since(self.last_notice_at);
        let silence = (self.order_silence + SILENCE_MARGIN).saturating_sub(absent);
        let until_orders = match silence.is_zero() {
            true => absent.mul_f64(FURTHER_SHARE),
            false => silence,
        };
        until_orders + self.load_time.unwrap_or(DEFAULT_LOAD_TIME)
    }

    /// Time after which a rejected caller should come back; `None` if the request may wait, since its
    /// caller stays until `give_up_at`.
    pub fn retry_after(&self, give_up_at: Instant, now: Instant) -> Option<Duration> {
        let wait = self.load_wait(now);
        (now + wait > give_up_at).then_some(wait.max(MIN_RETRY_AFTER))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::cases;

    /// Time to come back in milliseconds for a request that arrives a time after the last notice, with
    /// so much patience; `None` if it waits.
    fn retry_after_ms(absent_ms: u64, patience_ms: u64) -> Option<u128> {
        let start = Instant::now();
        let now = start + Duration::from_millis(absent_ms);
        let absence = Absence {
            last_notice_at: start,
            order_silence: Duration::from_secs(3),
            load_time: Some(Duration::from_millis(288)),
        };
        let give_up_at = now + Duration::from_millis(patience_ms);
        let retry_after = absence.retry_after(give_up_at, now);
        retry_after.map(|after| after.as_millis())
    }

    fn check(absent_ms: u64, patience_ms: u64, expected: Option<u128>) {
        assert_eq!(retry_after_ms(absent_ms, patience_ms), expected);
    }

    // All voters lose power while adapters come and go: callers who would leave before the next leader's
    // first load are told when it comes, and only those wait whom it reaches.
    cases! {
        check {
            a_caller_who_leaves_before_orders_come_again_is_told_when: (500, 1680, Some(2700 + 288));
            a_caller_who_stays_until_then_waits: (2500, 1680, None);
            a_patient_caller_waits: (500, 8000, None);
            a_leader_that_stays_away_is_expected_later_and_later: (6000, 1680, Some(3000 + 288));
            nobody_is_told_to_come_back_at_once: (3100, 300, Some(1000));
        }
    }
}
