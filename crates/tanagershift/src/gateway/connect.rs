//! Connects to upstreams, over the host's own links or through another host.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, interval, sleep, timeout, timeout_at};

use super::{
    Gateway,
    connection::{Connection, Error},
    message::{TunnelOutcome, Upstream},
    reach::Change,
    tunnel,
};

/// Time after which an unanswered own connection attempt is joined by one through another host.
const DETOUR_DELAY: Duration = Duration::from_millis(120);
/// Time for which an own attempt goes on after another host found the upstream unreachable as well.
/// Upstreams in the region accept within a few milliseconds.
const OWN_LIMIT: Duration = Duration::from_millis(300);
/// Longest time to find out whether an upstream is gone.
const CHECK_LIMIT: Duration = Duration::from_millis(800);
/// Interval at which a host that is cut off tries to connect to an upstream itself.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for such an attempt.
const PROBE_LIMIT: Duration = Duration::from_millis(400);
/// Interval at which the host's own connections are checked for silence.
const SILENCE_INTERVAL: Duration = Duration::from_millis(100);

impl Gateway {
    /// Takes an idle connection to an upstream, or opens a new one. Where the host's own link is at
    /// fault, the connection leads through another host.
    ///
    /// # Errors
    ///
    /// Neither this host nor another one could connect.
    pub async fn connect(&self, upstream: &Upstream) -> Result<Connection, Error> {
        let now = Instant::now();
        let Upstream {
            service, address, ..
        } = upstream;
        let distrusted_since = self.reach.lock().distrusted_since(service, address, now);
        let idle = match distrusted_since {
            None => self.pool.take_own(address, now),
            Some(since) => {
                let helpers = self.reach.lock().helpers(now);
                self.pool.take_proven(address, since, &helpers, now)
            }
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.open_connection(upstream).await?,
        };
        connection.begin_use(&self.reach, service);
        Ok(connection)
    }

    /// Opens a new connection to an upstream.
    ///
    /// # Errors
    ///
    /// Neither this host nor another one could connect.
    pub async fn open_connection(&self, upstream: &Upstream) -> Result<Connection, Error> {
        let (service, address) = (&upstream.service, &upstream.address);
        let now = Instant::now();
        let distrusted = self.reach.lock().distrusted_since(service, address, now);
        if distrusted.is_some()
            && let Ok(connection) = self.open_detour(upstream).await
        {
            return Ok(connection);
        }
        self.open_either(upstream).await
    }

    /// Connects directly and, if that fails or takes long, through another host.
    async fn open_either(&self, upstream: &Upstream) -> Result<Connection, Error> {
        let address = &upstream.address;
        let began = Instant::now();
        let own = Connection::open(address, self.pool.source);
        tokio::pin!(own);
        match timeout(DETOUR_DELAY, &mut own).await {
            Ok(Ok(connection)) => {
                self.record_connected(upstream);
                return Ok(connection);
            }
            Ok(Err(error)) => {
                return match self.open_detour(upstream).await {
                    Ok(connection) => {
                        self.record_detour(upstream);
                        Ok(connection)
                    }
                    Err(_) => Err(error),
                };
            }
            Err(_) => {}
        }
        let detour = self.open_detour(upstream);
        tokio::pin!(detour);
        tokio::select! {
            connected = &mut own => match connected {
                Ok(connection) => {
                    self.record_connected(upstream);
                    Ok(connection)
                }
                Err(error) => match detour.await {
                    Ok(connection) => {
                        self.record_detour(upstream);
                        Ok(connection)
                    }
                    Err(_) => Err(error),
                },
            },
            opened = &mut detour => match opened {
                Ok(connection) => {
                    self.record_detour(upstream);
                    Ok(connection)
                }
                Err(outcome) => {
                    let connected = match outcome {
                        TunnelOutcome::Unreachable => timeout_at(began + OWN_LIMIT, own).await,
                        TunnelOutcome::Unable
                        | TunnelOutcome::Open
                        | TunnelOutcome::OpenFramed => Ok(own.await),
                    };
                    let connection = connected.map_err(|_| Error::Connect {
                        reason: "timeout, here and at another host".to_owned(),
                    })??;
                    self.record_connected(upstream);
                    Ok(connection)
                }
            },
        }
    }

    /// Connects through another host.
    async fn open_detour(&self, upstream: &Upstream) -> Result<Connection, TunnelOutcome> {
        let opened = tunnel::open(self, upstream).await?;
        let detour = self.reach.begin_detour(&opened.helper);
        let connection = Connection::through(&upstream.address, opened, detour).await;
        let connection = connection.map_err(|_| TunnelOutcome::Unable)?;
        self.metrics.detours.inc();
        Ok(connection)
    }

    /// Whether an upstream accepts no connections, neither from this host nor from another one. A host
    /// that is cut off and finds no other host cannot tell, and takes the upstream for alive.
    pub async fn is_gone(&self, upstream: &Upstream) -> bool {
        match timeout(CHECK_LIMIT, self.open_connection(upstream)).await {
            Ok(Ok(connection)) => {
                self.pool.put(connection, None, Instant::now());
                false
            }
            Ok(Err(_)) | Err(_) => !self.reach.lock().is_cut_off_from(&upstream.service),
        }
    }

    /// Records that an own connection was made to an upstream.
    pub fn record_connected(&self, upstream: &Upstream) {
        let (service, address) = (&upstream.service, &upstream.address);
        let now = Instant::now();
        let change = self.reach.lock().record_connected(service, address, now);
        self.apply_change(service, change);
    }

    /// Records that an upstream that could not be reached was reached through another host.
    fn record_detour(&self, upstream: &Upstream) {
        let (service, address) = (&upstream.service, &upstream.address);
        let now = Instant::now();
        let change = self.reach.lock().record_detour(service, address, now);
        self.apply_change(service, change);
    }

    fn apply_change(&self, service: &str, change: Option<Change>) {
        match change {
            None => return,
            Some(Change::CutOff { links, silence }) => {
                self.metrics.cut_offs.inc();
                log::warn!(
                    "event=reach.cut_off service={service} failed_links={links} silence_ms={}",
                    silence.as_millis()
                );
            }
            Some(Change::Restored { after }) => {
                log::info!(
                    "event=reach.restored service={service} after_ms={}",
                    after.as_millis()
                );
            }
        }
        let is_cut_off = self.reach.lock().is_cut_off();
        self.metrics.cut_off.set(is_cut_off.into());
        self.tally_wanted.notify_one();
    }

    /// Waits until the connections that the host has kept to the upstreams of a service are dead.
    pub async fn kept_dead(&self, service: &str) {
        let mut dead = self.dead_services.subscribe();
        // Fails only while the process ends.
        let _ = dead.wait_for(|dead| dead.contains(service)).await;
    }

    /// Checks links while all own connections are silent, until the process ends.
    pub async fn watch_silence(self: Arc<Self>) {
        let mut pace = interval(SILENCE_INTERVAL);
        loop {
            pace.tick().await;
            let now = Instant::now();
            let due = self.reach.lock().due_checks(now);
            for address in due {
                if let Some(upstream) = self.view().upstream_at(&address) {
                    let gateway = self.clone();
                    tokio::spawn(async move { gateway.check_link(&upstream).await });
                }
            }
            let now_dead = self.reach.lock().dead_services(now);
            self.dead_services.send_if_modified(|dead| {
                let changed = *dead != now_dead;
                *dead = now_dead;
                changed
            });
        }
    }

    async fn check_link(&self, upstream: &Upstream) {
        if let Ok(Ok(connection)) = timeout(CHECK_LIMIT, self.open_either(upstream)).await {
            self.pool.put(connection, None, Instant::now());
        }
    }

    /// Tries to connect to upstreams directly while the host is cut off, until the process ends.
    pub async fn probe_links(self: Arc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            for service in self.reach.lock().lost_services() {
                if let Some(upstream) = self.view().random_upstream(&service) {
                    let gateway = self.clone();
                    tokio::spawn(async move { gateway.probe_link(&upstream).await });
                }
            }
        }
    }

    async fn probe_link(&self, upstream: &Upstream) {
        let own = Connection::open(&upstream.address, self.pool.source);
        if let Ok(Ok(connection)) = timeout(PROBE_LIMIT, own).await {
            self.record_connected(upstream);
            self.pool.put(connection, None, Instant::now());
        }
    }
}
