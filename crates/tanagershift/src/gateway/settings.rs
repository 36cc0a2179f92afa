//! Settings of the duty of a gateway.

use std::{net::SocketAddr, time::Duration};

use super::retry_budget;
use crate::ini::{self, Section};

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's readiness probe.
    pub ready: SocketAddr,
    /// Address for operators.
    pub control: SocketAddr,
    /// Address of the platform's list.
    pub list: String,
    /// Calls of the list a second that the platform allows to all hosts together.
    pub list_rate: f64,
    /// Time between two readings of the list by the leader.
    pub list_interval: Duration,
    /// Time after an announcement in which no request may begin on an older version any more.
    pub version_bound: Duration,
    /// Silence that the platform asks for between the orders of two hosts to one replica.
    pub lease: Duration,
    /// What the platform allows of repeats.
    pub budget: retry_budget::Config,
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP number with a port"))
}

fn number(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(number) if number >= 0.0 => Ok(number),
        _ => Err(format!("`{text}` is not a number")),
    }
}

impl Config {
    /// Reads the section `[gateway]`.
    ///
    /// # Errors
    ///
    /// File, line and key of what is wrong.
    pub fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut required = |key: &str| {
            let (text, line) = section.require(key)?;
            address(&text).map_err(|reason| section.error(key, Some(line), reason))
        };
        let mut config = Self {
            callers: required("callers")?,
            ready: required("ready")?,
            control: required("control")?,
            list: required("list")?.to_string(),
            list_rate: 20.0,
            list_interval: Duration::from_millis(500),
            version_bound: Duration::from_secs(5),
            lease: Duration::from_secs(3),
            budget: retry_budget::Config::default(),
        };
        section.read("list-rate", &mut config.list_rate, number)?;
        section.read("list-interval", &mut config.list_interval, ini::duration)?;
        section.read("version-bound", &mut config.version_bound, ini::duration)?;
        section.read("order-silence", &mut config.lease, ini::duration)?;
        section.read("repeat-ratio", &mut config.budget.ratio, number)?;
        section.read("repeat-slack", &mut config.budget.slack, number)?;
        section.read("repeat-window", &mut config.budget.window, ini::duration)?;
        if config.list_rate < 1.0 {
            return Err(section.error("list-rate", None, "must be at least 1"));
        }
        section.finish()?;
        Ok(config)
    }
}
