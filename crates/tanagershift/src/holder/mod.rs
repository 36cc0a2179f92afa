//! The duty of a holder: the only one that gives a replica orders and adapter requests.
//!
//! * `replica`: decisions for one replica.
//! * `engine`: the engine's published interfaces.
//! * `answer`: checks that an answer is the one that was asked for.
//! * `exchange`: one request on the engine.
//! * `driver`: input and output.

pub mod answer;
pub mod driver;
pub mod engine;
pub mod exchange;
pub mod replica;
#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::ini::{self, Section};

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Whether the host holds replicas.
    pub enabled: bool,
    /// Whether engines refuse orders that carry an old fencing number.
    pub fencing: bool,
    /// Adapters that an engine has room for.
    pub slots: usize,
    /// Requests that an engine runs at once.
    pub batch: usize,
    /// Requests that wait for one replica at the most.
    pub queue: usize,
    /// Loads that one replica does at once.
    pub loads: usize,
    /// Longest time for one load.
    pub load_timeout: Duration,
    /// Tries of a load before the version is refused for a while.
    pub load_tries: u32,
    /// Time for which a version that does not load is refused.
    pub load_penalty: Duration,
    /// Longest time of one request.
    pub request_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            enabled: true,
            fencing: false,
            slots: 8,
            batch: 16,
            queue: 512,
            loads: 2,
            load_timeout: Duration::from_secs(10),
            load_tries: 3,
            load_penalty: Duration::from_secs(15),
            request_timeout: Duration::from_secs(60),
        }
    }
}

impl Config {
    /// Reads the section `[holder]`.
    ///
    /// # Errors
    ///
    /// File, line and key of what is wrong.
    pub fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut config = Self::default();
        section.read("enabled", &mut config.enabled, ini::flag)?;
        section.read("fencing", &mut config.fencing, ini::flag)?;
        section.read("slots", &mut config.slots, ini::count)?;
        section.read("batch", &mut config.batch, ini::count)?;
        section.read("queue", &mut config.queue, ini::count)?;
        section.read("loads", &mut config.loads, ini::count)?;
        section.read("load-timeout", &mut config.load_timeout, ini::duration)?;
        let tries = |text: &str| ini::count(text).map(|count| count as u32);
        section.read("load-tries", &mut config.load_tries, tries)?;
        section.read("load-penalty", &mut config.load_penalty, ini::duration)?;
        section.read(
            "request-timeout",
            &mut config.request_timeout,
            ini::duration,
        )?;
        section.finish()?;
        Ok(config)
    }
}
