//! The weight store: how many concurrent loads it bears.
//!
//! Up to a number of concurrent loads, its knee, the store delivers each in the same time. Beyond,
//! all take longer in proportion and its throughput stays the same, so that further ones only delay
//! those that callers wait for. By Little's law the knee is the mean concurrency times the shortest
//! load time, divided by the load time at that concurrency.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Ratio of a load's duration to the shortest one up to which the store counts as fast.
const FAST_RATIO: f64 = 1.12;
/// The same ratio above which the store counts as congested.
const CONGESTED_RATIO: f64 = 1.2;
/// Ratio to the shortest duration that a congested load had certainly reached.
const CERTAIN_RATIO: f64 = 1.1;
/// Growth of the limit with each fast load until the first congested one, so that it doubles in one
/// load time.
const INITIAL_GROWTH: f64 = 1.0;
/// Growth of the limit with each fast load after that.
const GROWTH: f64 = 0.25;
/// Weight of one congested load's estimate of the knee.
const ESTIMATE_WEIGHT: f64 = 0.15;
/// Largest step of the limit towards an estimate, as a share of the limit.
const MAX_DECREASE: f64 = 0.05;
/// Share of the limit that counts as reached: the notice that a load has ended comes late.
const REACHED_SHARE: f64 = 0.85;
/// Time after which the end of a load is usually noticed, given that it is polled.
const NOTICE_TIME: Duration = Duration::from_millis(20);
/// Share of the limit up to which the store is certain not to be congested.
const CALM_SHARE: f64 = 0.6;
/// Time over which the concurrency is averaged for that.
const CALM_TIME: Duration = Duration::from_millis(500);
/// Share of the limit to which a probe of the shortest load time lowers the concurrency.
const PROBE_SHARE: f64 = 0.5;
/// Upper bound of the duration of a probe in load times. It ends with the first load at lower
/// concurrency.
const PROBE_LOAD_TIMES: f64 = 3.0;
/// Ratio of throughputs from which on the store was certainly not congested at the lower one.
const RISE_RATIO: f64 = 1.3;
/// Time at the limit until the first probe; doubles with each probe that finds nothing new.
const FIRST_PROBE: Duration = Duration::from_secs(1);
/// Upper bound of that time.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(16);
/// Time for which an observed shortest duration counts at least, and at most twice that.
const SHORTEST_WINDOW: Duration = Duration::from_secs(20);
/// Time for which past concurrency is kept.
const HISTORY: Duration = Duration::from_secs(5);

/// What a leader has found out about the store, for the next leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Limit on concurrent loads.
    pub limit: f64,
    /// Shortest observed duration of a load; `None` if none was observed.
    pub shortest: Option<Duration>,
}

/// One load from the store that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// When it was ordered.
    pub started_at: Instant,
    /// Its age when the replica last reported it as in progress; zero if never.
    pub min_duration: Duration,
    /// Its age when its end was noticed.
    pub max_duration: Duration,
}

/// Estimate of the store's knee.
#[derive(Debug)]
pub struct Store {
    limit: f64,
    floor: f64,
    /// Shortest durations of the previous and of the current window.
    shortest: [Option<Duration>; 2],
    window_started_at: Option<Instant>,
    /// Concurrency at which the shortest duration was observed.
    shortest_concurrency: f64,
    /// Changes of the concurrency: the time, the new concurrency, and its integral in load seconds
    /// until then.
    history: VecDeque<(Instant, usize, f64)>,
    /// When the store has last been certain not to be congested.
    calm_at: Option<Instant>,
    /// Whether a load has been congested.
    was_congested: bool,
    probe_interval: Duration,
    /// Start and latest end of the probe.
    probe: Option<(Instant, Instant)>,
}

impl Store {
    /// Creates an estimate that begins with a limit and never falls below `floor`.
    pub fn new(limit: usize, floor: usize) -> Self {
        Self {
            limit: limit as f64,
            floor: floor as f64,
            shortest: [None; 2],
            window_started_at: None,
            shortest_concurrency: 0.0,
            history: VecDeque::new(),
            calm_at: None,
            was_congested: false,
            probe_interval: FIRST_PROBE,
            probe: None,
        }
    }

    /// Continues from what an earlier leader found.
    pub fn resume(&mut self, finding: Finding) {
        self.limit = finding.limit.max(self.floor);
        self.shortest[1] = finding.shortest;
        self.probe_interval = MAX_PROBE_INTERVAL;
    }

    /// Raises the limit to that of a fleet of replicas, for which the store is sized, before any
    /// load was observed.
    pub fn raise(&mut self, limit: f64) {
        if self.shortest().is_none() {
            self.limit = self.limit.max(limit);
        }
    }

    /// What was found out so far.
    pub fn finding(&self) -> Finding {
        Finding {
            limit: self.limit,
            shortest: self.shortest(),
        }
    }

    /// Number of loads that may be in progress now.
    pub fn limit(&self, now: Instant) -> usize {
        let share = match self.is_probing(now) {
            true => PROBE_SHARE,
            false => 1.0,
        };
        (self.limit * share).max(self.floor) as usize
    }

    /// Shortest recently observed duration of a load.
    pub fn shortest(&self) -> Option<Duration> {
        self.shortest.iter().flatten().min().copied()
    }

    /// Records the number of loads in progress. Begins a probe if the limit has been used for long,
    /// as the shortest load time shows only at lower concurrency.
    pub fn observe(&mut self, in_progress: usize, now: Instant) {
        self.rotate_window(now);
        let area = self.area(now);
        if self
            .history
            .back()
            .is_none_or(|(_, count, _)| *count != in_progress)
        {
            self.history.push_back((now, in_progress, area));
        }
        while let Some((at, ..)) = self.history.get(1)
            && now > *at + HISTORY
        {
            self.history.pop_front();
        }
        // Loads that end together leave the store idle for a moment only.
        let since = now.checked_sub(CALM_TIME).unwrap_or(now);
        let calm = in_progress as f64 <= self.limit * CALM_SHARE
            && self.mean_concurrency(since, now) <= self.limit * CALM_SHARE;
        if calm && !self.is_probing(now) || self.calm_at.is_none() {
            self.calm_at = Some(now);
        }
        let due = self.calm_at.map(|calm_at| calm_at + self.probe_interval);
        if due.is_some_and(|due| now >= due)
            && let Some(shortest) = self.shortest()
            && self.limit > self.floor
        {
            self.calm_at = Some(now);
            self.probe = Some((now, now + shortest.mul_f64(PROBE_LOAD_TIMES)));
            self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
        }
    }

    /// Adapts the limit to a load that has ended. `is_wanted` says whether more loads are waiting.
    pub fn record(&mut self, load: Load, is_wanted: bool, now: Instant) {
        let Load {
            started_at,
            min_duration,
            max_duration,
        } = load;
        let concurrency = self.mean_concurrency(started_at, now);
        // Others may have come from the replica's own memory.
        if !min_duration.is_zero() && self.shortest[1].is_none_or(|known| max_duration < known) {
            self.shortest[1] = Some(max_duration);
            self.shortest_concurrency = concurrency;
        }
        let Some(shortest) = self.shortest() else {
            return;
        };
        let is_probe = |(begun_at, _): (Instant, Instant)| started_at >= begun_at;
        if self.is_probing(now)
            && self.probe.is_some_and(is_probe)
            && !min_duration.is_zero()
            && concurrency <= self.limit * CALM_SHARE
        {
            self.probe = None;
            self.calm_at = Some(now);
        }
        // The end of a load may be noticed late.
        let estimated = max_duration.min(min_duration + NOTICE_TIME);
        let congested = estimated > shortest.mul_f64(CONGESTED_RATIO)
            && min_duration > shortest.mul_f64(CERTAIN_RATIO);
        if congested {
            self.was_congested = true;
            let knee = concurrency * shortest.div_duration_f64(estimated);
            if knee < self.limit {
                let step = (self.limit - knee) * ESTIMATE_WEIGHT;
                let step = step.min(self.limit * MAX_DECREASE);
                self.limit = (self.limit - step).max(self.floor);
            }
        } else if max_duration <= shortest.mul_f64(FAST_RATIO) {
            let time_ratio = max_duration.div_duration_f64(shortest);
            if concurrency >= self.shortest_concurrency * time_ratio * RISE_RATIO {
                self.calm_at = Some(now);
                self.probe_interval = MAX_PROBE_INTERVAL;
            }
            if concurrency >= self.limit * REACHED_SHARE && is_wanted {
                self.limit += match self.was_congested {
                    true => GROWTH,
                    false => INITIAL_GROWTH,
                };
            }
        }
    }

    /// Time after which a load is polled for the first time, given the usual one. A probe shows shorter
    /// load times than usual.
    pub fn first_poll(&self, usual: Duration, now: Instant) -> Duration {
        match self.shortest() {
            Some(shortest) if self.is_probing(now) => usual.min(shortest / 2),
            // A later one would not show that the store is congested.
            Some(shortest) => usual.min(shortest.mul_f64(CONGESTED_RATIO)),
            None => usual,
        }
    }

    fn is_probing(&self, now: Instant) -> bool {
        self.probe.is_some_and(|(_, until)| now < until)
    }

    fn rotate_window(&mut self, now: Instant) {
        let started_at = *self.window_started_at.get_or_insert(now);
        if now >= started_at + SHORTEST_WINDOW && self.shortest[1].is_some() {
            self.shortest = [self.shortest[1], None];
            self.window_started_at = Some(now);
        }
    }

    /// Integral of the concurrency until now, in load seconds.
    fn area(&self, now: Instant) -> f64 {
        let area = |(at, count, area): &(Instant, usize, f64)| {
            area + *count as f64 * now.saturating_duration_since(*at).as_secs_f64()
        };
        self.history.back().map_or(0.0, area)
    }

    /// Mean number of loads in progress from a time until now.
    fn mean_concurrency(&self, from: Instant, now: Instant) -> f64 {
        let next = self.history.partition_point(|(at, ..)| *at <= from);
        let (Some((first, ..)), Some(last)) = (self.history.front(), self.history.back()) else {
            return 0.0;
        };
        let (from, area) = match next
            .checked_sub(1)
            .and_then(|known| self.history.get(known))
        {
            Some((at, count, area)) => (from, area + *count as f64 * (from - *at).as_secs_f64()),
            None => (*first, 0.0_f64.max(self.history[0].2)),
        };
        let time = now.saturating_duration_since(from).as_secs_f64();
        match time > 0.0 {
            true => (self.area(now) - area) / time,
            false => last.1 as f64,
        }
    }
}
