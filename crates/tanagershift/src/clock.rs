//! The steady clock, corrected for the time in which the host was suspended.
//!
//! The runtime's clock stops while a host is suspended. A lease that is measured with it would
//! outlive its term, so leases are measured with this clock. It is the runtime's clock, which tests
//! pause, plus the time of suspension that the system counts apart.

use std::{sync::OnceLock, time::Duration};

use nix::time::{ClockId, clock_gettime};
use tokio::time::{Instant, sleep_until};

/// Time for which the host has been suspended since it was booted.
fn suspended_since_boot() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        // A system without the clock is never suspended.
        _ => Duration::ZERO,
    }
}

/// Time for which the host has been suspended since the process first asked.
fn suspended() -> Duration {
    static AT_START: OnceLock<Duration> = OnceLock::new();
    let now = suspended_since_boot();
    now.saturating_sub(*AT_START.get_or_init(|| now))
}

/// The current time.
pub fn now() -> Instant {
    corrected(Instant::now())
}

/// The time of this clock at a time of the runtime's clock since which the host was not suspended.
pub fn corrected(time: Instant) -> Instant {
    time + suspended()
}

/// Waits until a time of this clock.
pub async fn wait_until(time: Instant) {
    sleep_until(time.checked_sub(suspended()).unwrap_or(time)).await;
}
