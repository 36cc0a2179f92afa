//! The holder duty of a host. Only the holder of a replica, which has its lease, sends adapter
//! orders and requests to the engine.
//!
//! * `replica`: state machine of one replica, without input or output.
//! * `engine`: client of an engine's HTTP interfaces.
//! * `answer`: checks that an answer belongs to its request.
//! * `exchange`: one request on the engine.
//! * `driver`: tasks that run the state machines.

pub mod answer;
pub mod driver;
pub mod engine;
pub mod exchange;
pub mod replica;
#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::ini::{self, Section};

/// Settings of the holder duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Whether replicas may be assigned to this host.
    pub enabled: bool,
    /// Whether engines refuse orders that carry a fencing token lower than the highest seen.
    pub fencing: bool,
    /// Number of adapters that an engine can have loaded at once.
    pub slots: usize,
    /// Number of requests that an engine runs at once.
    pub batch: usize,
    /// Maximum number of queued requests per replica.
    pub queue: usize,
    /// Maximum number of concurrent loads per replica.
    pub loads: usize,
    /// Limit on the time of one load.
    pub load_timeout: Duration,
    /// Number of refused loads of a version, without a successful one in between, after which
    /// requests for it are refused for a while.
    pub load_tries: u32,
    /// Time for which requests for a version that does not load are refused.
    pub load_penalty: Duration,
    /// Limit on the time of one request, including its wait.
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
    /// A key is unknown or its value is invalid; the error names the file, line and key.
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
