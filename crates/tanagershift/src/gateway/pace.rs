//! Pace of each upstream: how long work takes there, compared with the usual.
//!
//! A pace of 2 means twice the usual time. Upstreams of uneven services state it in their answers, and
//! it changes many times a second, so a figure says less the older it is. What their answers show
//! corrects the figures of upstreams that state a wrong one.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use tokio::time::Instant;

use super::message::PaceReport;
use crate::id;

/// Pace of an upstream of which nothing is known.
const USUAL: f64 = 1.0;
/// Bounds of every pace.
const MIN_PACE: f64 = 0.1;
const MAX_PACE: f64 = 10.0;
/// Age at which a stated figure has lost most of its meaning for work that begins now.
const FIGURE_LIFE: Duration = Duration::from_millis(600);
/// Time over which figures are averaged to the lasting pace.
const LASTING_TIME: Duration = Duration::from_secs(5);
/// Time without news in which an upstream's lasting pace loses most of its meaning, so that it is tried
/// again.
const NEWS_LIFE: Duration = Duration::from_secs(10);
/// Time after the last figure for which a service counts as uneven.
const UNEVEN_TIME: Duration = Duration::from_secs(30);
/// Pace above which pauses in streams are attributed to the pace of their upstream.
const SLOW_PACE: f64 = 1.25;
/// Time for which streams are affected by a slow upstream.
const SLOW_MEMORY: Duration = Duration::from_secs(3);
/// Shown paces within this factor of the stated one confirm it: they vary with the batch.
const CONFIRMING_FACTOR: f64 = 1.6;
/// Weights of one observation that makes an upstream slower or faster than its figures say.
const DISTRUST_WEIGHT: f64 = 0.5;
const TRUST_WEIGHT: f64 = 0.1;
/// Weight of one observation in the usual time of an event.
const USUAL_WEIGHT: f64 = 0.02;
/// Change of a figure, as a share, that is reported at once.
const REPORTED_CHANGE: f64 = 0.1;
/// Time after which an unchanged figure is reported again.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Expected pace of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Pace of work that begins now.
    pub now: f64,
    /// Pace of work that takes long.
    pub lasting: f64,
    /// How little is known, from 0 for a figure of this moment to 1.
    pub uncertainty: f64,
    /// Age of the last figure; `None` if there is none.
    pub age: Option<Duration>,
}

impl Estimate {
    /// Estimate for an upstream that is like all others of its service.
    pub const USUAL: Self = Self {
        now: USUAL,
        lasting: USUAL,
        uncertainty: 1.0,
        age: None,
    };

    /// Pace that is seldom exceeded: an upstream of which little is known may be slow now.
    pub fn cautious(&self) -> f64 {
        self.now.max(self.lasting) * (1.0 + self.uncertainty)
    }

    /// Expected pace over work of a duration that begins now.
    pub fn over(&self, work: Duration) -> f64 {
        let life = FIGURE_LIFE.as_secs_f64();
        let span = work.as_secs_f64().max(0.001);
        let share = life / span * (1.0 - (-span / life).exp());
        self.lasting + (self.now - self.lasting) * share
    }
}

/// Writes the estimate as `key=value`: -1 as the age without a figure.
impl fmt::Display for Estimate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "pace={:.2} lasting_pace={:.2} pace_age_ms={}",
            self.now,
            self.lasting,
            self.age.map_or(-1, |age| age.as_millis() as i64),
        )
    }
}

/// What is known of one upstream.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Last figure and its time.
    stated: Option<(f64, Instant)>,
    /// Average of the figures.
    lasting: f64,
    /// Factor between shown and stated paces.
    correction: f64,
    heard_at: Instant,
    /// When it was last known to be slow.
    slow_at: Option<Instant>,
    /// Last figure that was reported, with its time.
    reported: Option<(f64, Instant)>,
}

impl Known {
    fn new(now: Instant) -> Self {
        Self {
            stated: None,
            lasting: USUAL,
            correction: 1.0,
            heard_at: now,
            slow_at: None,
            reported: None,
        }
    }

    fn state(&mut self, pace: f64, at: Instant) {
        let since = match self.stated {
            Some((_, before)) if at <= before => return,
            Some((_, before)) => at - before,
            // The first figure may be one of a short time.
            None => LASTING_TIME,
        };
        self.lasting += (pace - self.lasting) * (1.0 - decay(since, LASTING_TIME));
        self.stated = Some((pace, at));
        self.heard_at = self.heard_at.max(at);
    }

    fn estimate(&self, now: Instant) -> Estimate {
        let age = self.stated.map(|(_, at)| now.saturating_duration_since(at));
        let certainty = age.map_or(0.0, |age| decay(age, FIGURE_LIFE));
        let recent = match self.stated {
            Some((pace, _)) => self.lasting + (pace - self.lasting) * certainty,
            None => self.lasting,
        };
        let known = decay(now.saturating_duration_since(self.heard_at), NEWS_LIFE);
        let believed = |pace: f64| {
            let pace = USUAL + (pace * self.correction - USUAL) * known;
            pace.clamp(MIN_PACE, MAX_PACE)
        };
        Estimate {
            now: believed(recent),
            lasting: believed(self.lasting),
            uncertainty: 1.0 - certainty,
            age,
        }
    }

    fn note_slow(&mut self, at: Instant) {
        if self.estimate(at).now > SLOW_PACE {
            self.slow_at = Some(at);
        }
    }

    fn is_unreported(&self, pace: f64, now: Instant) -> bool {
        self.reported.is_none_or(|(before, at)| {
            let changed = (pace - before).abs() > before * REPORTED_CHANGE;
            changed || now >= at + REPORT_INTERVAL
        })
    }
}

/// Share of its meaning that news has kept.
fn decay(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64()).exp()
}

/// Paces of the upstreams of uneven services. Nothing is kept of services whose upstreams state no pace.
#[derive(Debug, Default)]
pub struct Paces {
    known: BTreeMap<id::Upstream, Known>,
    /// When a figure was last heard of each service.
    uneven: BTreeMap<String, Instant>,
    /// Usual milliseconds between two events of a stream at an empty replica, by service.
    event_ms: BTreeMap<String, f64>,
    unreported: BTreeSet<id::Upstream>,
}

impl Paces {
    /// Records the percentage of the usual time that an upstream of a service has stated at a time.
    pub fn record_stated(&mut self, service: &str, upstream: &str, percent: u32, at: Instant) {
        if percent == 0 {
            return;
        }
        let pace = (f64::from(percent) / 100.0).clamp(MIN_PACE, MAX_PACE);
        let heard_at = self.uneven.entry(service.to_owned()).or_insert(at);
        *heard_at = at.max(*heard_at);
        let known = self.known.entry(upstream.to_owned());
        let known = known.or_insert_with(|| Known::new(at));
        known.state(pace, at);
        known.note_slow(at);
        if known.is_unreported(pace, at) {
            self.unreported.insert(upstream.to_owned());
        }
    }

    /// Whether upstreams of a service have lately stated their paces.
    pub fn is_uneven(&self, service: &str, now: Instant) -> bool {
        let heard_at = self.uneven.get(service);
        heard_at.is_some_and(|at| now < *at + UNEVEN_TIME)
    }

    /// Records the mean time between two events that ended streams have shown at a replica, which runs
    /// this share of its slots.
    pub fn record_shown(
        &mut self,
        service: &str,
        upstream: &str,
        event_ms: f64,
        fill: f64,
        now: Instant,
    ) {
        if !self.is_uneven(service, now) || !event_ms.is_finite() || event_ms <= 0.0 {
            return;
        }
        let known = self.known.entry(upstream.to_owned());
        let known = known.or_insert_with(|| Known::new(now));
        let alone_ms = event_ms / batch_factor(fill);
        let usual = self.event_ms.entry(service.to_owned());
        let usual_ms = usual.or_insert(alone_ms / known.lasting);
        let ratio = alone_ms / (known.lasting * *usual_ms);
        // An upstream that states a wrong figure moves the usual time by little.
        let step = ratio.clamp(1.0 / CONFIRMING_FACTOR, CONFIRMING_FACTOR);
        *usual_ms *= 1.0 + (step - 1.0) * USUAL_WEIGHT;
        let confirms = (1.0 / CONFIRMING_FACTOR..=CONFIRMING_FACTOR).contains(&ratio);
        let target = if confirms { 1.0 } else { ratio };
        let weight = match target > known.correction {
            true => DISTRUST_WEIGHT,
            false => TRUST_WEIGHT,
        };
        known.correction += (target - known.correction) * weight;
        known.correction = known.correction.clamp(MIN_PACE, MAX_PACE);
        known.heard_at = now;
        if alone_ms > *usual_ms * SLOW_PACE {
            known.slow_at = Some(now);
        }
        known.note_slow(now);
    }

    /// Usual milliseconds between two events at a replica that runs this share of its slots; `None` if
    /// no stream of the service has shown it.
    pub fn event_ms(&self, service: &str, fill: f64) -> Option<f64> {
        let alone_ms = self.event_ms.get(service)?;
        Some(alone_ms * batch_factor(fill))
    }

    /// Expected pace of an upstream.
    pub fn estimate(&self, upstream: &str, now: Instant) -> Estimate {
        let known = self.known.get(upstream);
        known.map_or(Estimate::USUAL, |known| known.estimate(now))
    }

    /// Lasting pace of the fastest upstream.
    pub fn fastest(&self, now: Instant) -> f64 {
        let lasting = self.known.values().map(|known| known.estimate(now).lasting);
        lasting.fold(USUAL, f64::min)
    }

    /// Whether streams that end now at an upstream may have paused since it was slow.
    pub fn was_slow(&self, upstream: &str, now: Instant) -> bool {
        let slow_at = self.known.get(upstream).and_then(|known| known.slow_at);
        slow_at.is_some_and(|at| now < at + SLOW_MEMORY)
    }

    /// Takes the figures that have changed since they were last reported.
    pub fn take_reports(&mut self, now: Instant) -> Vec<PaceReport> {
        let names = std::mem::take(&mut self.unreported);
        for name in &names {
            if let Some(known) = self.known.get_mut(name) {
                known.reported = known.stated.map(|(pace, _)| (pace, now));
            }
        }
        self.reports(names.iter(), now)
    }

    /// Last figures of these upstreams.
    pub fn reports<'a>(
        &self,
        names: impl Iterator<Item = &'a id::Upstream>,
        now: Instant,
    ) -> Vec<PaceReport> {
        let report = |upstream: &id::Upstream| {
            let (pace, at) = self.known.get(upstream)?.stated?;
            Some(PaceReport {
                upstream: upstream.clone(),
                percent: (pace * 100.0).round() as u32,
                age_ms: now.saturating_duration_since(at).as_millis() as u32,
            })
        };
        names.filter_map(report).collect()
    }

    /// Records a figure that another host has reported; it is not reported again.
    pub fn apply(&mut self, service: &str, report: &PaceReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        let at = now.checked_sub(age).unwrap_or(now);
        let was_unreported = self.unreported.contains(&report.upstream);
        self.record_stated(service, &report.upstream, report.percent, at);
        if !was_unreported {
            self.unreported.remove(&report.upstream);
        }
    }

    /// Drops the paces of all upstreams that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.known.retain(|name, _| listed(name));
        self.unreported.retain(|name| listed(name));
    }
}

/// How much longer a step takes at a replica that runs this share of its slots than at an empty one.
fn batch_factor(fill: f64) -> f64 {
    1.0 + fill.clamp(0.0, 1.0) / 2.0
}
