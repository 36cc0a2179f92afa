//! The duty of an entry: speaks HTTP to callers and finds each request its upstream.
//!
//! * `server`: connections, limits, and the paths.
//! * `completion`: requests for an adapter.
//! * `service`: calls of plain services, and claims of those that may not be repeated.
//! * `route`: which replica or upstream comes first.
//! * `retry`: whether another try may be made.
//! * `reply`: answers in the shape of the published API.

pub mod completion;
pub mod reply;
pub mod retry;
pub mod route;
pub mod server;
pub mod service;
#[cfg(test)]
mod tests;

use std::{net::SocketAddr, time::Duration};

use crate::ini::{self, Section};

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Address for callers.
    pub listen: Option<SocketAddr>,
    /// Largest body of a request in bytes.
    pub body_limit: usize,
    /// Largest head of a request in bytes.
    pub head_limit: usize,
    /// Longest time for the head of a request to come.
    pub head_timeout: Duration,
    /// Longest time for the body of a request to come.
    pub body_timeout: Duration,
    /// Longest time of a request whose caller and intent name none.
    pub timeout: Duration,
    /// Longest time of any request.
    pub timeout_limit: Duration,
    /// Longest search for a replica whose holder is changing.
    pub patience: Duration,
    /// Requests of callers that are open at once.
    pub open_limit: usize,
    /// Percent of attempts that may be retries.
    pub retry_percent: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: None,
            body_limit: 1 << 20,
            head_limit: 32 << 10,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            timeout: Duration::from_secs(30),
            timeout_limit: Duration::from_secs(60),
            patience: Duration::from_secs(8),
            open_limit: 4096,
            retry_percent: 20,
        }
    }
}

impl Config {
    /// Reads the section `[entry]`.
    ///
    /// # Errors
    ///
    /// File, line and key of what is wrong.
    pub fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut config = Self::default();
        let address = |text: &str| {
            text.parse()
                .map(Some)
                .map_err(|_| format!("`{text}` is not an IP number with a port"))
        };
        section.read("listen", &mut config.listen, address)?;
        section.read("body-limit", &mut config.body_limit, ini::size)?;
        section.read("head-limit", &mut config.head_limit, ini::size)?;
        section.read("head-timeout", &mut config.head_timeout, ini::duration)?;
        section.read("body-timeout", &mut config.body_timeout, ini::duration)?;
        section.read("timeout", &mut config.timeout, ini::duration)?;
        section.read("timeout-limit", &mut config.timeout_limit, ini::duration)?;
        section.read("patience", &mut config.patience, ini::duration)?;
        section.read("open-limit", &mut config.open_limit, ini::count)?;
        let percent = |text: &str| match text.strip_suffix('%').map(str::parse) {
            Some(Ok(number)) if number <= 100 => Ok(number),
            _ => Err(format!("`{text}` is not a percentage")),
        };
        section.read("retries", &mut config.retry_percent, percent)?;
        if config.timeout > config.timeout_limit {
            return Err(section.error("timeout", None, "must not be above timeout-limit"));
        }
        section.finish()?;
        Ok(config)
    }
}
