//! The entry role: accepts HTTP requests of callers and forwards each to an upstream.
//!
//! * `server`: connections, request limits and dispatch by path.
//! * `completion`: requests for an adapter.
//! * `service`: calls to plain services, and claims for calls that may run only once.
//! * `route`: ranking of replicas and upstreams by load and failures.
//! * `retry`: retry budget and rules for safe retries.
//! * `reply`: responses in the format of the published API.

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

/// Settings of the entry role, from the section `[entry]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Address on which callers are served; without it, the host serves no callers.
    pub listen: Option<SocketAddr>,
    /// Maximum size of a request body in bytes.
    pub body_limit: usize,
    /// Maximum size of a request head in bytes.
    pub head_limit: usize,
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Timeout of a request for which neither the caller nor the intent sets one.
    pub timeout: Duration,
    /// Upper limit for the timeout of any request.
    pub timeout_limit: Duration,
    /// How long an entry keeps looking for a reachable replica or upstream, for example while the
    /// holder of a replica changes.
    pub search_timeout: Duration,
    /// Maximum number of callers' requests that are open at once.
    ///
    /// A request stops counting when its response is returned; for a streamed response, that is
    /// before the body is sent.
    pub open_limit: usize,
    /// Retries that are allowed, as a percentage of the requests.
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
            search_timeout: Duration::from_secs(8),
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
    /// A key is unknown or has an unusable value; the error names the file, line and key.
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
        section.read("patience", &mut config.search_timeout, ini::duration)?;
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
