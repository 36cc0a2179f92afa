//! How a gateway keeps up: it is told by the leader what changes, and tells what it has seen.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout};

use super::{
    Gateway, document,
    message::{List, Notice, Tally, Watch},
    settings::Config,
    upstream_list,
};
use crate::{link::Call, wire::Body};

/// Longest wait for a leader to begin to tell.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait for one host in the search for the leader.
const ATTEMPT: Duration = Duration::from_millis(1500);
/// Pause after no leader was found.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Intervals without a notice after which the connection to the leader counts as lost.
const SILENT_INTERVALS: u32 = 5;
/// Shortest time without a notice after which the connection to the leader counts as lost.
const SILENT_MIN: Duration = Duration::from_millis(900);
/// Time between two tallies before a leader has named one.
pub const DEFAULT_TALLY_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two tallies when requests wait for adapters.
const TALLY_MIN: Duration = Duration::from_millis(4);
/// Time without a notice after which the gateway reads the list itself.
const LIST_STALE: Duration = Duration::from_millis(1500);
/// Time after the start in which a leader is waited for before the gateway reads the list itself:
/// the first election of a new group and the first notice. All hosts start at once, and each reading
/// is priced.
const FIRST_LEADER: Duration = Duration::from_secs(4);
/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// What the loops of one gateway share.
#[derive(Clone, Debug)]
pub struct BackgroundTasks {
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// Settings.
    pub config: Config,
    /// Peer address of this host.
    pub address: String,
}

impl BackgroundTasks {
    /// Makes the loops' shared part.
    pub fn new(gateway: Arc<Gateway>, config: Config, address: String) -> Self {
        Self {
            gateway,
            config,
            address,
        }
    }

    /// Takes notices of whichever host leads, until the process ends.
    pub async fn watch(self) {
        loop {
            let version = self.version();
            let watch = Body::Watch(Watch {
                host: self.gateway.host.clone(),
                session: self.gateway.session,
                version,
                address: self.address.clone(),
            });
            let opened = self
                .gateway
                .leader
                .open(watch, WATCH_TIMEOUT, ATTEMPT)
                .await;
            if let Some((call, Body::Notice(first))) = opened {
                log::info!("event=leader.found term={}", first.term);
                let reason = match self.take(first) {
                    Ok(()) => self.take_notices(call).await,
                    Err(reason) => reason,
                };
                log::info!("event=leader.lost reason={reason:?}");
            }
            sleep(SEARCH_PAUSE).await;
        }
    }

    fn version(&self) -> u64 {
        let view = self.gateway.view();
        let configuration = view.configuration.as_ref();
        configuration.map_or(0, |configuration| configuration.version)
    }

    async fn take_notices(&self, mut call: Call) -> String {
        loop {
            let silence = (*self.gateway.interval.borrow() * SILENT_INTERVALS).max(SILENT_MIN);
            match timeout(silence, call.next()).await {
                Ok(Ok(Some(Body::Notice(notice)))) => {
                    if let Err(reason) = self.take(notice) {
                        return reason;
                    }
                }
                Ok(Ok(_)) => return "it no longer leads".to_owned(),
                Ok(Err(_)) => return "connection failed".to_owned(),
                Err(_) => return "silent".to_owned(),
            }
        }
    }

    /// Takes a notice.
    ///
    /// # Errors
    ///
    /// A patch does not fit; the gateway must start anew.
    fn take(&self, notice: Notice) -> Result<(), String> {
        let now = Instant::now();
        self.gateway.heard.send_replace(Some(now));
        if notice.interval_ms > 0 {
            let interval = Duration::from_millis(notice.interval_ms.into());
            self.gateway.interval.send_replace(interval);
        }
        if !notice.voters.is_empty() {
            self.gateway.leader.learn(notice.voters.clone());
        }
        let places = notice.is_snapshot || !notice.residencies.is_empty() || notice.list.is_some();
        self.gateway.view().apply(&notice, now);
        if places {
            self.gateway.changed.send_modify(|number| *number += 1);
        }
        if let Some(document) = &notice.document {
            let text = document::unpack(&document.text);
            let text = text.map_err(|error| error.to_string())?;
            self.configure(document.version, text);
        }
        if let Some(patch) = &notice.patch {
            let known = self.gateway.text().clone();
            let known = known.filter(|(version, _)| *version == patch.from);
            let (_, old) = known.ok_or("a patch starts from another configuration")?;
            self.configure(patch.version, patch.apply(&old)?);
        }
        Ok(())
    }

    /// Puts a configuration in force; an older one than the present never comes back.
    fn configure(&self, version: u64, text: Bytes) {
        if version <= self.version() {
            return;
        }
        let Some(configuration) = self.gateway.read_text(version, &text) else {
            return;
        };
        log::info!(
            "event=configuration.in_force version={} routes={}",
            configuration.version,
            configuration.count()
        );
        self.gateway.metrics.version.set(version as i64);
        *self.gateway.text() = Some((version, text));
        self.gateway.view().configuration = Some(Arc::new(configuration));
    }

    /// Tells the leader what was seen, until the process ends.
    pub async fn tally(self) {
        loop {
            let interval = *self.gateway.interval.borrow();
            let began = Instant::now();
            // Requests that wait for an adapter are told at once.
            let _ = timeout(interval, self.gateway.wanted.notified()).await;
            sleep(TALLY_MIN.saturating_sub(began.elapsed())).await;
            let tally = {
                let mut view = self.gateway.view();
                Tally {
                    host: self.gateway.host.clone(),
                    session: self.gateway.session,
                    open: Some(view.report_open()),
                    demand: view.take_demand(),
                    missing: view.take_missing(),
                    streams: self.gateway.take_streams(),
                }
            };
            self.gateway.leader.tell(Body::Tally(tally)).await;
        }
    }

    /// Reads the list itself while the leader does not tell it, until the process ends.
    pub async fn fall_back(self) {
        let mut number = 0;
        let started = Instant::now();
        loop {
            sleep(self.config.list_interval).await;
            let heard = self.gateway.heard.borrow().is_some();
            let waits = !heard && started.elapsed() < FIRST_LEADER;
            if waits || self.gateway.hears_leader(LIST_STALE) {
                continue;
            }
            let hosts = self.gateway.view().hosts.max(1);
            match upstream_list::read(&self.gateway, &self.config.list).await {
                Ok(upstreams) => {
                    number += 1;
                    log::info!("event=list.own upstreams={}", upstreams.len());
                    let list = List { number, upstreams };
                    self.gateway.view().apply_list(&list);
                    self.gateway.changed.send_modify(|number| *number += 1);
                }
                Err(reason) => log::info!("event=list.own_failed reason={reason:?}"),
            }
            // All hosts share the platform's limit on calls.
            let pause = f64::from(hosts) * OWN_READ_CALLS / self.config.list_rate;
            sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// Closes connections that were idle for too long, until the process ends.
    pub async fn sweep(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.gateway.pool.sweep(Instant::now());
        }
    }
}

/// Calls that one own reading of the list may take of the shared limit: two pages, and as much room
/// for others.
const OWN_READ_CALLS: f64 = 4.0;
