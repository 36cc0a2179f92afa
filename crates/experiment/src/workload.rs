//! Arrivals of a deployment, all from one seed.

use std::{str::FromStr, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// Whose sizes are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Cumbre Alphorn Academies.
    Cumbre,
    /// Glasinzamel Vlaanderen-Wallonië.
    Glasinzamel,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "cumbre" => Ok(Self::Cumbre),
            "glasinzamel" => Ok(Self::Glasinzamel),
            _ => Err(format!("`{text}` is neither cumbre nor glasinzamel")),
        }
    }
}

impl Deployment {
    /// Name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cumbre => "cumbre",
            Self::Glasinzamel => "glasinzamel",
        }
    }

    /// Replicas of the model.
    pub fn replicas(self) -> usize {
        18
    }

    /// Loads a second that the store allows.
    pub fn store_rate(self) -> f64 {
        match self {
            Self::Cumbre => 5.0,
            Self::Glasinzamel => 4.5,
        }
    }

    /// Loads in flight at full speed.
    pub fn store_in_flight(self) -> usize {
        match self {
            Self::Cumbre => 8,
            Self::Glasinzamel => 16,
        }
    }

    /// Requests a second that fill every batch slot.
    pub fn engine_capacity(self) -> f64 {
        let slots = self.replicas() * BATCH;
        slots as f64 / (f64::from(MEAN_TOKENS) * STEP.as_secs_f64())
    }
}

/// Requests that an engine runs at once.
pub const BATCH: usize = 16;
/// Time of one token of each running request.
pub const STEP: Duration = Duration::from_millis(25);
/// Tokens of an answer, on average.
pub const MEAN_TOKENS: u32 = 120;
/// Time of a load at full speed.
pub const LOAD: Duration = Duration::from_millis(250);
/// Time that a caller gives a request.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// One run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Whose sizes are taken.
    pub deployment: Deployment,
    /// Adapters.
    pub adapters: usize,
    /// Requests a second.
    pub rate: f64,
    /// Seconds of virtual time.
    pub seconds: u64,
    /// Exponent of the popularity (Zipf).
    pub skew: f64,
    /// Adapters that fit on an engine.
    pub slots: usize,
    /// Loads that one replica does at once.
    pub loads: usize,
    /// Second at which the popularity is dealt anew.
    pub shift_at: Option<u64>,
    /// Seconds between restarts of one engine after the other.
    pub restart_every: Option<u64>,
    /// Percent of the adapters that trade their popularity within an hour.
    pub waking_percent: u32,
    /// Seed of everything.
    pub seed: u64,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            deployment: Deployment::Cumbre,
            adapters: 3000,
            rate: 12.0,
            seconds: 1800,
            skew: 1.0,
            slots: 8,
            loads: 2,
            shift_at: None,
            restart_every: None,
            waking_percent: 0,
            seed: 1,
        }
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Duration,
    /// Adapter that it names.
    pub adapter: usize,
    /// Time that it runs.
    pub run: Duration,
}

impl Workload {
    /// Every request of the run, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut sum = 0.0;
        let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(self.skew);
        let cumulative: Vec<f64> = (0..self.adapters)
            .map(|rank| {
                sum += weight(rank);
                sum
            })
            .collect();
        let mut by_rank: Vec<usize> = (0..self.adapters).collect();
        by_rank.shuffle(&mut random);
        let mut shift = self.shift_at.map(|second| second as f64);
        let trades = f64::from(self.waking_percent) / 100.0 * self.adapters as f64 / 2.0 / 3600.0;
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while at < self.seconds as f64 {
            let pause = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / self.rate;
            at += pause;
            if shift.is_some_and(|second| at >= second) {
                shift = None;
                by_rank.shuffle(&mut random);
            }
            if trades > 0.0 && random.random_bool((trades * pause).min(1.0)) {
                let (one, other) = (
                    random.random_range(0..self.adapters),
                    random.random_range(0..self.adapters),
                );
                by_rank.swap(one, other);
            }
            let point = random.random_range(0.0..sum);
            let rank = cumulative.partition_point(|sum| *sum < point);
            // An exponential number of tokens, so that short answers are common.
            let tokens = -random.random_range(f64::MIN_POSITIVE..1.0).ln() * f64::from(MEAN_TOKENS);
            let tokens = (tokens.round() as u32).clamp(1, MEAN_TOKENS * 6);
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                adapter: by_rank[rank.min(self.adapters - 1)],
                run: STEP * tokens,
            });
        }
        arrivals
    }
}
