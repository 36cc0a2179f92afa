//! Expected times of a request at a replica, and what they cost its caller.

use std::{collections::BTreeMap, fmt, time::Duration};

use super::pace::Estimate;

/// Cost of a replica in another availability zone, in milliseconds of waiting.
const CROSS_ZONE_COST_MS: f64 = 15.0;
/// Cost of a full replica compared to an empty one, in milliseconds of waiting.
const FULL_REPLICA_COST_MS: f64 = 60.0;
/// Cost of a pause at its objective, in milliseconds of waiting: the streams that run beside a prompt
/// share it.
const PAUSE_COST_MS: f64 = 300.0;
/// Share of the objective for pauses up to which a prompt costs the streams beside it nothing.
const FREE_PAUSE_SHARE: f64 = 0.5;
/// Cost of a millisecond of output: it takes up a place, though its caller may be content.
const OUTPUT_COST: f64 = 0.06;
/// Cost of a millisecond after the objective, in milliseconds before it.
const LATE_COST: f64 = 2.0;
/// Least share of a millisecond's cost for a request that can wait.
const MIN_URGENCY: f64 = 0.3;
/// Weight of one observation in the lengths of outputs.
const LENGTH_WEIGHT: f64 = 0.02;
/// Share of the expected time that must fit into the time left: estimates of lengths are often off.
const FITTING_SHARE: f64 = 0.8;

/// What a request still has time for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Milliseconds until the objective for its first event; negative if that has passed.
    pub objective_ms: f64,
    /// Milliseconds until the caller leaves; `None` if unknown.
    pub deadline_ms: Option<f64>,
    /// Objective for pauses in milliseconds; `None` without one.
    pub gap_ms: Option<f64>,
    /// Expected events of its output.
    pub events: f64,
}

/// What a replica offers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Milliseconds until it has read the prompts before, at the usual pace.
    pub wait_ms: f64,
    /// Milliseconds in which it reads what it does not keep of the prompt, at the usual pace.
    pub read_ms: f64,
    /// Milliseconds between two events in its batch, at the usual pace.
    pub event_ms: f64,
    /// Share of its slots in use.
    pub fill: f64,
    /// Its pace.
    pub pace: Estimate,
    /// Whether it is in the zone of the request's host.
    pub is_near: bool,
}

/// Parts of the cost, in milliseconds of waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Time to the first event, by how much it matters.
    pub first: f64,
    /// The time that the output takes up a place.
    pub output: f64,
    /// Pauses of the streams beside the prompt, and of its own.
    pub pauses: f64,
    /// Load and distance.
    pub place: f64,
}

impl Cost {
    /// Sum of the parts.
    pub fn total(&self) -> f64 {
        self.first + self.output + self.pauses + self.place
    }
}

/// Writes the parts as `key=value`.
impl fmt::Display for Cost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "cost_ms={:.0} first_cost_ms={:.0} output_cost_ms={:.0} pause_cost_ms={:.0} \
             place_cost_ms={:.0}",
            self.total(),
            self.first,
            self.output,
            self.pauses,
            self.place,
        )
    }
}

/// Lengths of the outputs of each service: events for each token that was expected.
#[derive(Debug, Default)]
pub struct Lengths {
    events_per_token: BTreeMap<String, f64>,
}

impl Lengths {
    /// Records the events of ended streams and the tokens that were expected of them.
    pub fn record(&mut self, service: &str, events: u32, tokens: u64) {
        if events == 0 || tokens == 0 {
            return;
        }
        let shown = f64::from(events) / tokens as f64;
        let known = self.events_per_token.entry(service.to_owned());
        let known = known.or_insert(shown);
        *known += (shown - *known) * LENGTH_WEIGHT;
    }

    /// Expected events of an output; zero while none has been seen.
    pub fn events(&self, service: &str, tokens: u32) -> f64 {
        let known = self.events_per_token.get(service);
        known.map_or(0.0, |known| known * f64::from(tokens))
    }
}

impl Offer {
    /// Milliseconds until the first event.
    pub fn first_ms(&self) -> f64 {
        (self.wait_ms + self.read_ms + self.event_ms) * self.pace.now
    }

    /// Milliseconds of the output after the first event.
    pub fn output_ms(&self, events: f64) -> f64 {
        let usual = (events * self.event_ms).max(0.0);
        usual * self.pace.over(Duration::from_secs_f64(usual / 1000.0))
    }

    /// Whether the replica can finish the request before its caller leaves.
    pub fn fits(&self, need: &Need) -> bool {
        let total = self.first_ms() + self.output_ms(need.events);
        need.deadline_ms
            .is_none_or(|left| total * FITTING_SHARE <= left)
    }

    /// What it costs where all replicas are alike: the time until the prompt is read, load and
    /// distance.
    pub fn even_cost(&self) -> Cost {
        let zone = if self.is_near {
            0.0
        } else {
            CROSS_ZONE_COST_MS
        };
        Cost {
            first: self.wait_ms + self.read_ms,
            place: self.fill * FULL_REPLICA_COST_MS + zone,
            ..Cost::default()
        }
    }

    /// What it costs to run the request there.
    pub fn cost(&self, need: &Need) -> Cost {
        let first = self.first_ms();
        let urgency = match need.objective_ms > 0.0 {
            true => (2.0 * first / need.objective_ms).clamp(MIN_URGENCY, 1.0),
            false => 1.0,
        };
        let late = (first - need.objective_ms.max(0.0)).max(0.0);
        let late = if need.objective_ms > 0.0 { late } else { 0.0 };
        let pauses = need.gap_ms.map_or(0.0, |aim| {
            // What comes later stops its own events in the same way.
            let gap = (self.read_ms + self.event_ms) * self.pace.cautious();
            (gap / aim.max(1.0) - FREE_PAUSE_SHARE).clamp(0.0, 2.0) * PAUSE_COST_MS
        });
        let zone = if self.is_near {
            0.0
        } else {
            CROSS_ZONE_COST_MS
        };
        Cost {
            first: first * urgency + late * (LATE_COST - 1.0),
            output: self.output_ms(need.events) * OUTPUT_COST,
            pauses,
            place: self.fill * self.pace.lasting * FULL_REPLICA_COST_MS + zone,
        }
    }
}
