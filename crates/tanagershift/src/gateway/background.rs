//! Background tasks of a gateway: watching the leader, sending tallies to it, reading the upstream
//! list while there is no leader, and closing idle connections.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message;
use tokio::time::{Instant, sleep, timeout};

use super::{
    Gateway, compression,
    message::{List, Mark, Notice, ReachReport, SparseCounts, Tally, Watch},
    quarantine::Standing,
    settings::Config,
    upstream_list,
};
use crate::{clock, link::Call, wire::Body};

/// Maximum time to find the leader and receive the first notice of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum wait for one host during the search for the leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before the next search for the leader.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Number of notice intervals without a notice after which the watch counts as lost.
const MAX_MISSED_INTERVALS: u32 = 5;
/// Minimum time without a notice before the watch counts as lost.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// Time between two tallies until a leader has set one.
pub const DEFAULT_TALLY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two tallies, also when a request that waits for an adapter triggers one.
const MIN_TALLY_INTERVAL: Duration = Duration::from_millis(4);
/// Tallies that may be triggered within one interval. With many hosts the interval is long, so that the
/// leader's work stays bounded.
const TALLIES_PER_INTERVAL: u32 = 25;
/// Time without a notice after which the gateway reads the upstream list itself.
const LIST_STALE_AFTER: Duration = Duration::from_millis(1500);
/// Time after the start during which the gateway waits for a leader before it reads the upstream
/// list itself. It covers the first election of a new group and the first notice. Without it, all
/// hosts of a new system would read the list at the same time, and every call of the list has a
/// cost.
const FIRST_LEADER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two sweeps of the pool for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// State that the background tasks of one gateway share.
#[derive(Clone, Debug)]
pub struct BackgroundTasks {
    /// Gateway that the tasks work for.
    pub gateway: Arc<Gateway>,
    /// Settings of the gateway.
    pub config: Config,
    /// Peer address of this host, as announced to the leader.
    pub address: String,
}

impl BackgroundTasks {
    /// Creates the shared state. `address` is the peer address of this host.
    pub fn new(gateway: Arc<Gateway>, config: Config, address: String) -> Self {
        Self {
            gateway,
            config,
            address,
        }
    }

    /// Watches the leader and applies its notices, until the process ends. Searches again whenever
    /// the watch is lost.
    pub async fn watch_leader(self) {
        loop {
            let version = self.version();
            let (list, store, rates) = {
                let view = self.gateway.view();
                (view.known_list(), view.store, view.rates.clone())
            };
            let watch = Body::Watch(Watch {
                host: self.gateway.host.clone(),
                session: self.gateway.session,
                version,
                address: self.address.clone(),
                zone: self.gateway.zone.clone(),
                store,
                rates,
                takes_changes: true,
                list: list.number,
                list_digest: list.digest,
            });
            let opened = self
                .gateway
                .leader
                .open(watch, WATCH_TIMEOUT, ATTEMPT_TIMEOUT)
                .await;
            if let Some((call, Body::Notice(first))) = opened
                && let Ok(first) = Notice::decode(first)
            {
                log::info!("event=leader.found term={}", first.term);
                self.gateway.view().begin_watch(Instant::now());
                self.gateway.quarantine().replace(&first.marks);
                self.gateway.tally_wanted.notify_one();
                let accusations = self.gateway.quarantine().accusations(Instant::now());
                if !accusations.is_empty() {
                    self.gateway.send_accusations(accusations).await;
                }
                let reason = match self.apply(first) {
                    Ok(()) => self.apply_notices(call).await,
                    Err(reason) => reason,
                };
                log::info!("event=leader.lost reason={reason:?}");
            }
            sleep(SEARCH_PAUSE).await;
        }
    }

    /// Version of the configuration in force; zero for none.
    fn version(&self) -> u64 {
        let view = self.gateway.view();
        let configuration = view.configuration.as_ref();
        configuration.map_or(0, |configuration| configuration.version)
    }

    /// Applies notices until the watch is lost; returns the reason.
    async fn apply_notices(&self, mut call: Call) -> String {
        loop {
            let silence =
                (*self.gateway.notice_interval.borrow() * MAX_MISSED_INTERVALS).max(MIN_SILENCE);
            match timeout(silence, call.next()).await {
                Ok(Ok(Some(Body::Notice(notice)))) => {
                    let notice = Notice::decode(notice).map_err(|error| error.to_string());
                    if let Err(reason) = notice.and_then(|notice| self.apply(notice)) {
                        return reason;
                    }
                }
                Ok(Ok(_)) => return "the host no longer leads".to_owned(),
                Ok(Err(_)) => return "connection failed".to_owned(),
                Err(_) => return "silent".to_owned(),
            }
        }
    }

    /// Applies a notice.
    ///
    /// # Errors
    ///
    /// If a configuration cannot be decompressed or changes do not apply. The gateway must then open a new
    /// watch.
    fn apply(&self, mut notice: Notice) -> Result<(), String> {
        let now = Instant::now();
        let packed = std::mem::take(&mut notice.packed);
        if !packed.is_empty() {
            let fields = compression::decompress(&packed).map_err(|error| error.to_string())?;
            notice.merge(fields).map_err(|error| error.to_string())?;
        }
        if self.gateway.view().lacks_list(&notice) {
            return Err("the changes start from another list".to_owned());
        }
        if notice.is_whole {
            self.gateway.quarantine().replace(&notice.marks);
        }
        self.gateway.last_notice_at.send_replace(Some(now));
        if notice.term > 0 {
            let now = clock::corrected(now);
            let mut allowance = self.gateway.allowance();
            allowance.record_notice(notice.term, notice.quota_part, now);
        }
        if notice.interval_ms > 0 {
            let interval = Duration::from_millis(notice.interval_ms.into());
            self.gateway.notice_interval.send_replace(interval);
        }
        if !notice.voters.is_empty() {
            self.gateway.leader.learn(notice.voters.clone());
        }
        let list_changed = notice.list.is_some() || notice.list_changes.is_some();
        let residencies_changed =
            notice.is_snapshot || !notice.residencies.is_empty() || list_changed;
        self.gateway.view().apply(&notice, now);
        self.gateway.apply_departures(&notice.leaving);
        if !notice.helpers.is_empty() {
            self.gateway.reach.lock().set_helpers(&notice.helpers);
        }
        self.apply_marks(&notice.marks);
        if residencies_changed {
            self.gateway
                .placement_changes
                .send_modify(|number| *number += 1);
        }
        if let Some(document) = &notice.document {
            let text = compression::decompress(&document.text);
            let text = text.map_err(|error| error.to_string())?;
            self.configure(document.version, text);
        }
        if let Some(patch) = &notice.patch {
            let current = self.gateway.configuration_text().clone();
            let current = current.filter(|(version, _)| *version == patch.from);
            let (_, old) = current.ok_or("the patch starts from another configuration")?;
            self.configure(patch.version, patch.apply(&old)?);
        }
        Ok(())
    }

    fn apply_marks(&self, marks: &[Mark]) {
        if marks.is_empty() {
            return;
        }
        let metrics = &self.gateway.metrics;
        let gauges = [
            (&metrics.suspected_parts, Standing::Suspected, false),
            (&metrics.convicted_parts, Standing::Convicted, false),
            (&metrics.suspected_requests, Standing::Suspected, true),
            (&metrics.convicted_requests, Standing::Convicted, true),
        ];
        let mut quarantine = self.gateway.quarantine();
        quarantine.apply(marks);
        for (gauge, standing, is_request) in gauges {
            gauge.set(quarantine.count(standing, is_request) as i64);
        }
        if quarantine.has_unreported() {
            self.gateway.tally_wanted.notify_one();
        }
    }

    /// Puts a configuration in force if its version is above the current one and its text can be
    /// read. The version in force never goes back.
    fn configure(&self, version: u64, text: Bytes) {
        if version <= self.version() {
            return;
        }
        let Some(configuration) = self.gateway.parse_configuration(version, &text) else {
            return;
        };
        log::info!(
            "event=configuration.in_force version={} routes={}",
            configuration.version,
            configuration.route_count()
        );
        self.gateway.metrics.version.set(version as i64);
        *self.gateway.configuration_text() = Some((version, text));
        self.gateway.view().configuration = Some(Arc::new(configuration));
        self.gateway.configured.send_replace(true);
    }

    /// Sends tallies to the leader, until the process ends.
    pub async fn send_tallies(self) {
        loop {
            let interval = *self.gateway.notice_interval.borrow();
            let started = Instant::now();
            let _ = timeout(interval, self.gateway.tally_wanted.notified()).await;
            let shortest = MIN_TALLY_INTERVAL.max(interval / TALLIES_PER_INTERVAL);
            sleep(shortest.saturating_sub(started.elapsed())).await;
            let has_quotas = self.gateway.has_quotas();
            let gift = has_quotas.then(|| self.gateway.allowance().report(clock::now()));
            let tally = {
                let mut view = self.gateway.view();
                let (open, unassigned) = (view.report_open(), view.unassigned_open());
                let is_sparse = view.is_leader_sparse();
                Tally {
                    host: self.gateway.host.clone(),
                    session: self.gateway.session,
                    open_sparse: is_sparse.then(|| SparseCounts::from(&open)),
                    unassigned_sparse: is_sparse.then(|| SparseCounts::from(&unassigned)),
                    open: (!is_sparse).then_some(open),
                    unassigned: (!is_sparse).then_some(unassigned),
                    demand: view.take_demand(),
                    missing: view.take_missing(),
                    streams: self.gateway.take_stream_counts(),
                    leaving: view.unconfirmed_departures(),
                    pauses: view.pauses(Instant::now()),
                    accusations: Vec::new(),
                    sound: self.gateway.quarantine().take_sound(Instant::now()),
                    limits: view.limits.take_reports(Instant::now()),
                    limited_demand: view.take_limited_demand(),
                    unreachable: view.take_unreachable(),
                    brittle: view.shares.take_reports(Instant::now()),
                    rejections: view.take_rejections(),
                    paces: view.paces.take_reports(Instant::now()),
                    gift,
                    reach: Some(ReachReport {
                        is_cut_off: self.gateway.reach.lock().is_cut_off(),
                        is_draining: self.gateway.is_draining(),
                    }),
                }
            };
            self.gateway.leader.tell(Body::Tally(tally)).await;
        }
    }

    /// Reads the upstream list from the platform while no leader sends it, until the process ends.
    pub async fn read_list_without_leader(self) {
        let mut number = 0;
        let started = Instant::now();
        loop {
            sleep(self.config.list_interval).await;
            let heard = self.gateway.last_notice_at.borrow().is_some();
            let awaits_first_leader = !heard && started.elapsed() < FIRST_LEADER_TIMEOUT;
            if awaits_first_leader || self.gateway.heard_leader_within(LIST_STALE_AFTER) {
                continue;
            }
            let hosts = self.gateway.view().hosts.max(1);
            let read_at = clock::now();
            match upstream_list::read(&self.gateway, &self.config.list_address).await {
                Ok(upstreams) => {
                    number += 1;
                    log::info!("event=list.own upstreams={}", upstreams.len());
                    let list = List { number, upstreams };
                    let now = Instant::now();
                    self.gateway.view().apply_list(&list, read_at, now);
                    self.gateway
                        .placement_changes
                        .send_modify(|number| *number += 1);
                }
                Err(reason) => log::info!("event=list.own_failed reason={reason:?}"),
            }
            // All hosts share the platform's limit on the rate of list calls.
            let pause = f64::from(hosts) * CALLS_PER_LIST_READ / self.config.list_calls_per_second;
            sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// Closes connections that have been idle for too long, until the process ends.
    pub async fn sweep_idle_connections(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.gateway.pool.sweep(Instant::now());
        }
    }
}

/// Calls of the shared rate limit that are set aside for one reading of the list: two pages, and
/// the same again to leave room for other callers of the list.
const CALLS_PER_LIST_READ: f64 = 4.0;
