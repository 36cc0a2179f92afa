//! Settings of a gateway.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use super::{quarantine, retry_budget};
use crate::ini::{self, Section};

/// Time after the last order of a host before which another host sends none, unless the settings say
/// otherwise.
pub const DEFAULT_ORDER_SILENCE: Duration = Duration::from_secs(3);

/// Settings of a gateway, from the section `[gateway]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address for the balancer's readiness probe.
    pub ready_address: SocketAddr,
    /// Address of the operator API.
    pub control_address: SocketAddr,
    /// Address of the platform's upstream list.
    pub list_address: String,
    /// Calls of the upstream list per second that the platform allows to all hosts together.
    pub list_calls_per_second: f64,
    /// Time between two readings of the list, by the leader or by a gateway without one.
    pub list_interval: Duration,
    /// Time after an announcement from which on no request may begin to run on an older version.
    pub version_bound: Duration,
    /// Time that must pass between the orders of two different hosts to one replica, as the
    /// platform requires. A leader waits this long before its first order, except in the first
    /// term of the group.
    pub lease: Duration,
    /// Budget of retries that the platform allows.
    pub budget: retry_budget::Config,
    /// Limits on requests that crash replicas.
    pub quarantine: quarantine::Config,
    /// Time for which a stream can be taken up after the longest timeout of a route.
    pub take_up_margin: Duration,
    /// Address that connections to upstreams are made from, on a host with several; `None` lets the
    /// system choose.
    pub upstream_source: Option<IpAddr>,
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP number with a port"))
}

fn parse_number(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(number) if number >= 0.0 => Ok(number),
        _ => Err(format!("`{text}` is not a number of at least 0")),
    }
}

impl Config {
    /// Parses the section `[gateway]`.
    ///
    /// # Errors
    ///
    /// If a key is missing, unknown or invalid. The error names file, line and key.
    pub fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut required_address = |key: &str| {
            let (text, line) = section.require(key)?;
            parse_address(&text).map_err(|reason| section.error(key, Some(line), reason))
        };
        let mut config = Self {
            caller_address: required_address("callers")?,
            ready_address: required_address("ready")?,
            control_address: required_address("control")?,
            list_address: required_address("list")?.to_string(),
            list_calls_per_second: 20.0,
            list_interval: Duration::from_millis(500),
            version_bound: Duration::from_secs(5),
            lease: DEFAULT_ORDER_SILENCE,
            budget: retry_budget::Config::default(),
            quarantine: quarantine::Config::default(),
            take_up_margin: Duration::from_secs(10),
            upstream_source: None,
        };
        section.read("list-rate", &mut config.list_calls_per_second, parse_number)?;
        section.read("list-interval", &mut config.list_interval, ini::duration)?;
        section.read("version-bound", &mut config.version_bound, ini::duration)?;
        section.read("order-silence", &mut config.lease, ini::duration)?;
        section.read("repeat-ratio", &mut config.budget.ratio, parse_number)?;
        section.read("repeat-slack", &mut config.budget.slack, parse_number)?;
        section.read("repeat-window", &mut config.budget.window, ini::duration)?;
        let crashes = &mut config.quarantine.conviction_crashes;
        section.read("quarantine-crashes", crashes, |text| match text.parse() {
            Ok(crashes) if crashes > 0 => Ok(crashes),
            _ => Err(format!("`{text}` is not a number of at least 1")),
        })?;
        let pause = &mut config.quarantine.sole_suspect_pause;
        section.read("quarantine-pause", pause, ini::duration)?;
        section.read("take-up-margin", &mut config.take_up_margin, ini::duration)?;
        section.read("upstream-source", &mut config.upstream_source, |text| {
            let address = text.parse().map(Some);
            address.map_err(|_| format!("`{text}` is not an IP number"))
        })?;
        if config.list_calls_per_second < 1.0 {
            return Err(section.error("list-rate", None, "must be at least 1"));
        }
        section.finish()?;
        Ok(config)
    }
}
