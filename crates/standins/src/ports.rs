//! Free ports for a local trial.

use std::{
    collections::BTreeSet,
    net::TcpListener,
    sync::{Mutex, PoisonError},
};

use argh::FromArgs;
use rand::Rng;

use crate::http::Error;

/// Ports from which free ones are taken: below those that systems give to outgoing connections.
const RANGE: std::ops::Range<u16> = 12_000..30_000;

/// Ports that this process gave out; their owners may be down for a while and come back.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Print free ports of the loopback address.
#[derive(FromArgs)]
#[argh(subcommand, name = "ports")]
pub struct Config {
    /// how many
    #[argh(positional)]
    count: usize,
}

/// Prints the ports, one a line.
pub fn run(config: &Config) -> Result<(), Error> {
    for listener in free(config.count)? {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}

/// Listeners on free ports; the ports are free again when these are dropped.
///
/// # Errors
///
/// Too few ports are free.
pub fn free(count: usize) -> Result<Vec<TcpListener>, Error> {
    let mut random = rand::rng();
    let mut found = Vec::new();
    let mut tries = 0;
    while found.len() < count {
        tries += 1;
        if tries > count * 100 {
            return Err(Error::new("too few free ports"));
        }
        let port = random.random_range(RANGE);
        let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
        if !given.insert(port) {
            continue;
        }
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            found.push(listener);
        }
    }
    Ok(found)
}
