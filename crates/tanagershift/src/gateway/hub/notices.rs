//! Notices from the leader to the gateways, and the tallies that it receives from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use prost::Message;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{GatewayState, LeaderState, Watcher, configuration_history::ConfigurationHistory};
use crate::{
    admission::Origin,
    gateway::message::{
        self, Announcement, Counts, Document, List, Notice, PaceReport, ReachReport, Residency,
        Tally, Upstream, Watch,
    },
    id,
    link::Responder,
    wire::{Body, Redirect},
};

/// Notices that may wait for one gateway. A gateway that lags further is dropped and must subscribe
/// again.
const WATCHER_QUEUE_CAPACITY: usize = 128;
/// Time between two summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two notices to a gateway in a small system.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of gateways up to which `NOTICE_INTERVAL` applies. With more, the interval grows in
/// proportion, so that the leader's message rate stays bounded.
const SMALL_SYSTEM_GATEWAYS: u32 = 32;
/// Rate at which gateways are sent all residencies, over all gateways.
const SNAPSHOT_BYTES_PER_SECOND: f64 = 2e6;
/// Time for which that rate may be used in advance.
const SNAPSHOT_BURST: Duration = Duration::from_millis(50);
/// Time without a tally after which a gateway is no longer counted.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(3);

impl LeaderState {
    /// Subscribes a gateway to notices. The first notice carries all current state except the
    /// configuration and the residencies, which follow.
    pub(super) fn add_watcher(&mut self, watch: Watch, responder: Responder, now: Instant) {
        let (queue, receiver) = mpsc::channel(WATCHER_QUEUE_CAPACITY);
        let first = Notice {
            term: self.term,
            document: None,
            patch: None,
            announced: announcements(&self.announced),
            list: (self.list.number > 0).then(|| self.list.clone()),
            residencies: Vec::new(),
            open: None,
            voters: self.voters.clone(),
            hosts: self.gateway_count(),
            is_snapshot: false,
            interval_ms: self.notice_interval().as_millis() as u32,
            leaving: self.departing(now),
            marks: self.ledger.marks().collect(),
            limits: self.limits.reports(),
            permits: Vec::new(),
            baselines: self.baselines(),
            helpers: Vec::new(),
            brittle: self.ceilings.reports(),
            paces: Vec::new(),
        };
        log::info!(
            "event=hub.watch host={} session={:016x}",
            watch.host,
            watch.session
        );
        self.watchers.retain(|known| known.host != watch.host);
        self.watchers.push(Watcher {
            host: watch.host.clone(),
            needs_snapshot: self.list.number > 0,
            helpers: Vec::new(),
            queue,
        });
        self.gateways.insert(
            watch.host,
            GatewayState {
                session: watch.session,
                open: Counts::default(),
                updated_at: now,
                address: watch.address,
                zone: watch.zone,
                reach: ReachReport::default(),
                unassigned: None,
            },
        );
        self.helpers.differ = true;
        let notices = NoticeStream {
            queue: receiver,
            configurations: self.configuration.subscribe(),
            known_version: watch.version,
        };
        tokio::spawn(send_notices(first, notices, responder));
    }

    pub(super) fn gateway_count(&self) -> u32 {
        self.gateways.len() as u32
    }

    pub(super) fn notice_interval(&self) -> Duration {
        let gateways = self.gateway_count().max(1);
        NOTICE_INTERVAL * gateways.div_ceil(SMALL_SYSTEM_GATEWAYS)
    }

    /// Records what a gateway reports; `own_host` is the host of this leader.
    pub(super) fn record_tally(&mut self, tally: Tally, own_host: &str, now: Instant) {
        self.record_departures(&tally.leaving, now);
        self.record_pauses(&tally, own_host, now);
        self.record_evidence(&tally, now);
        self.record_limits(&tally, now);
        self.record_brittle(&tally, now);
        self.record_paces(&tally.paces, now);
        let crashed = tally.accusations.iter().map(|one| &one.upstream);
        for replica in tally.unreachable.iter().chain(crashed) {
            self.checks.request(replica, now);
        }
        for demand in &tally.demand {
            if demand.waiting > 0 {
                let hosts = self
                    .waiting_gateways
                    .entry(demand.adapter.clone())
                    .or_default();
                hosts.insert(tally.host.clone());
            }
        }
        self.placement.record_demand(&tally.demand, now);
        for residency in &tally.missing {
            log::info!(
                "event=place.missing replica={} adapter={} host={}",
                residency.replica,
                residency.adapter,
                tally.host
            );
            self.placement
                .mark_missing(&residency.replica, &residency.adapter, now);
        }
        for streams in &tally.streams {
            self.scheduler.count_streams(streams, now);
        }
        let told = tally.open.as_ref();
        if told.is_some_and(|open| open.list == self.list.number) {
            self.ceilings.record_heard(&tally.host);
        }
        if let Some(reach) = &tally.reach {
            self.record_reach(&tally.host, reach);
        }
        let gateway = self
            .gateways
            .entry(tally.host)
            .or_insert_with(|| GatewayState {
                session: tally.session,
                open: Counts::default(),
                updated_at: now,
                address: String::new(),
                zone: id::Zone::default(),
                reach: ReachReport::default(),
                unassigned: None,
            });
        gateway.updated_at = now;
        gateway.session = tally.session;
        if let Some(open) = tally.open {
            gateway.open = open;
        }
        gateway.unassigned = tally.unassigned;
        if !self.ceilings.is_empty() {
            self.unscheduled_requests = self.count_unscheduled();
        }
    }

    /// Records paces that upstreams have stated. Gateways are told those of the upstreams that they select
    /// themselves.
    pub(super) fn record_paces(&mut self, reports: &[PaceReport], now: Instant) {
        for report in reports {
            let upstreams = &self.list.upstreams;
            let at = upstreams.binary_search_by(|one| one.name.cmp(&report.upstream));
            let Some(upstream) = at.ok().and_then(|at| upstreams.get(at)) else {
                continue;
            };
            self.scheduler.paces.apply(&upstream.service, report, now);
            if !self.placement.replicas().contains_key(&report.upstream) {
                self.pace_changes.insert(report.upstream.clone());
            }
        }
    }

    /// Tells the placement the lasting paces of the replicas.
    fn update_paces(&mut self, now: Instant) {
        for upstream in &self.list.upstreams {
            if self.scheduler.paces.is_uneven(&upstream.service, now) {
                let pace = self.scheduler.paces.estimate(&upstream.name, now);
                self.placement.set_pace(&upstream.name, pace.lasting);
            }
        }
    }

    /// Records upstreams that leave, and tells all gateways of those that are new.
    fn record_departures(&mut self, upstreams: &[String], now: Instant) {
        let listed = &self.list.upstreams;
        let is_listed = |name: &&String| listed.iter().any(|one| one.name == **name);
        let departures = &mut self.departures;
        let is_new = |name: &&String| departures.record_leaving(name, Origin::Answer, now);
        let new: Vec<String> = upstreams
            .iter()
            .filter(is_listed)
            .filter(is_new)
            .cloned()
            .collect();
        if new.is_empty() {
            return;
        }
        for name in &new {
            log::info!("event=hub.leaving upstream={name}");
            self.placement.set_leaving(name);
        }
        self.broadcast(&Notice {
            leaving: new,
            ..Notice::default()
        });
    }

    /// Records the pauses that replicas have asked a gateway for. Orders come from this leader's
    /// own host, so they observe the pauses of that host.
    fn record_pauses(&mut self, tally: &Tally, own_host: &str, now: Instant) {
        let pause = |one: &message::Pause| {
            let until = now + Duration::from_millis(one.remaining_ms);
            (one.upstream.clone(), until)
        };
        let pauses: BTreeMap<id::Upstream, Instant> = tally.pauses.iter().map(pause).collect();
        if tally.host == own_host {
            self.placement.set_order_pauses(&pauses, now);
        }
        self.pauses.set(&tally.host, pauses);
    }

    /// Listed upstreams that have announced that they leave.
    fn departing(&self, now: Instant) -> Vec<id::Upstream> {
        let listed = self.list.upstreams.iter().map(|one| &one.name);
        let departing = listed.filter(|name| self.departures.is_leaving(name, now));
        departing.cloned().collect()
    }

    /// Marks the upstreams of a reading of the list that have announced that they leave.
    fn mark_leaving(&mut self, upstreams: &mut [Upstream], now: Instant) {
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        self.departures.retain_listed(&listed, now);
        for upstream in upstreams {
            upstream.draining |= self.departures.is_leaving(&upstream.name, now);
        }
    }

    pub(super) fn update_list(&mut self, mut upstreams: Vec<Upstream>, now: Instant) {
        self.mark_leaving(&mut upstreams, now);
        if self.list.number > 0 && same_list(&self.list.upstreams, &upstreams) {
            return;
        }
        let first = self.list.number == 0;
        self.placement.set_upstreams(&upstreams, now);
        let software = upstreams
            .iter()
            .map(|one| (one.service.as_str(), one.software.as_str()));
        self.software.set_listed(software, now);
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        self.limits.retain_listed(&listed, now);
        self.ceilings.retain_listed(&listed, now);
        self.scheduler.retain_replicas(|name| listed.contains(name));
        self.unscheduled_requests
            .retain(|name, _| listed.contains(name.as_str()));
        // Gateways learn what is loaded from residencies.
        for upstream in &mut upstreams {
            upstream.models.clear();
        }
        let list = List {
            number: self.list.number.max(self.term << 32) + 1,
            upstreams,
        };
        if !self.ceilings.is_empty() {
            self.move_counts(&list);
        }
        self.list = list;
        for watcher in &mut self.watchers {
            watcher.needs_snapshot |= first;
        }
        self.broadcast(&Notice {
            list: Some(self.list.clone()),
            ..Notice::default()
        });
    }

    /// Sends all residencies to the gateways that need them, one after the other at a limited rate.
    /// Gateways use them only without a leader, so they must not delay grants, heartbeats and
    /// configurations on the link of the leader's host.
    pub(super) fn send_snapshots(&mut self, now: Instant) {
        let needing = |watcher: &Watcher| watcher.needs_snapshot;
        if now < self.next_snapshot || !self.watchers.iter().any(needing) {
            return;
        }
        let notice = self.with_common_fields(Notice {
            residencies: self.placement.residencies(),
            is_snapshot: true,
            ..Notice::default()
        });
        let size = notice.encoded_len() as f64;
        let time = Duration::from_secs_f64(size / SNAPSHOT_BYTES_PER_SECOND);
        while now >= self.next_snapshot
            && let Some(watcher) = self.watchers.iter_mut().find(|one| one.needs_snapshot)
        {
            watcher.needs_snapshot = false;
            // A gateway whose queue is full is dropped at the next broadcast.
            let _ = watcher.queue.try_send(notice.clone());
            let earliest = now.checked_sub(SNAPSHOT_BURST).unwrap_or(now);
            self.next_snapshot = self.next_snapshot.max(earliest) + time;
        }
    }

    /// Sums the open requests of all gateways for each replica, and updates the placement with
    /// them.
    pub(super) fn sum_open_requests(&mut self, now: Instant) -> Counts {
        let known = self.gateways.len();
        self.gateways
            .retain(|_, gateway| now < gateway.updated_at + GATEWAY_TIMEOUT);
        self.helpers.differ |= self.gateways.len() < known;
        let mut counts = vec![0_u32; self.list.upstreams.len()];
        let current = self.gateways.values().map(|gateway| &gateway.open);
        for open in current.filter(|open| open.list == self.list.number) {
            for (sum, count) in counts.iter_mut().zip(&open.counts) {
                *sum += count;
            }
        }
        for (upstream, count) in self.list.upstreams.iter().zip(&counts) {
            self.placement.set_open_requests(&upstream.name, *count);
        }
        let counts = Counts {
            list: self.list.number,
            counts,
        };
        self.unscheduled_requests = match self.ceilings.is_empty() {
            true => self.estimate_unscheduled(&counts),
            false => self.count_unscheduled(),
        };
        counts
    }

    /// Notifies gateways at once of newly loaded adapters that their requests wait for.
    pub(super) fn notify_waiting_gateways(&mut self, changes: &[Residency]) {
        let mut by_host: BTreeMap<id::Host, Vec<Residency>> = BTreeMap::new();
        for residency in changes.iter().filter(|residency| residency.version > 0) {
            for host in self
                .waiting_gateways
                .remove(&residency.adapter)
                .unwrap_or_default()
            {
                by_host.entry(host).or_default().push(residency.clone());
            }
        }
        for (host, residencies) in by_host {
            let notice = Notice {
                residencies,
                ..Notice::default()
            };
            let watcher = self.watchers.iter().find(|watcher| watcher.host == host);
            // A gateway whose queue is full is dropped at the next broadcast.
            if let Some(watcher) = watcher {
                let _ = watcher.queue.try_send(self.with_common_fields(notice));
            }
        }
    }

    pub(super) fn broadcast_update(&mut self, now: Instant) {
        let open = self.sum_open_requests(now);
        let residencies = std::mem::take(&mut self.residency_changes);
        self.update_paces(now);
        let changed = std::mem::take(&mut self.pace_changes);
        let paces = self.scheduler.paces.reports(changed.iter(), now);
        let interval = self.notice_interval();
        self.next_notice = now + interval;
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            self.ledger.expire(now);
            self.ceilings.expire(now);
            log::info!(
                "event=hub.summary term={} hosts={} waiting={} open={} streams={} paces={:.1?} {:?}",
                self.term,
                self.gateways.len(),
                self.scheduler.waiting(),
                self.requests.len(),
                self.recorded_streams(),
                self.scheduler.rates(),
                self.placement.summary()
            );
        }
        self.broadcast(&Notice {
            residencies,
            open: Some(open),
            paces,
            ..Notice::default()
        });
    }

    pub(super) fn update_configuration(&mut self, document: &Document) {
        let before = self.configuration.borrow().clone();
        let history = ConfigurationHistory::new(document.clone(), before.as_deref());
        if let Some(history) = history {
            self.configuration.send_replace(Some(Arc::new(history)));
        }
    }

    /// Version of the newest configuration; zero for none.
    pub(super) fn configuration_version(&self) -> u64 {
        let history = self.configuration.borrow();
        history.as_ref().map_or(0, |history| history.version())
    }

    pub(super) fn announce(&mut self, announced: &Arc<BTreeMap<String, u64>>) {
        let now = Instant::now();
        let newer = |(adapter, version): &(&String, &u64)| {
            self.announced
                .get(*adapter)
                .is_none_or(|known| known < *version)
        };
        let new_versions: Vec<Announcement> = announced
            .iter()
            .filter(newer)
            .map(|(adapter, version)| Announcement {
                adapter: adapter.clone(),
                version: *version,
            })
            .collect();
        for announcement in &new_versions {
            self.placement
                .announce(&announcement.adapter, announcement.version, now);
        }
        self.announced = announced.clone();
        self.broadcast(&Notice {
            announced: new_versions,
            ..Notice::default()
        });
    }

    pub(super) fn with_common_fields(&self, notice: Notice) -> Notice {
        Notice {
            term: self.term,
            hosts: self.gateway_count(),
            interval_ms: self.notice_interval().as_millis() as u32,
            ..notice
        }
    }

    /// Sends a notice to every gateway, and drops gateways whose queue is full.
    pub(super) fn broadcast(&mut self, notice: &Notice) {
        let notice = self.with_common_fields(notice.clone());
        // All residencies follow in the snapshot.
        let without_residencies = Notice {
            residencies: Vec::new(),
            ..notice.clone()
        };
        self.watchers.retain(|watcher| {
            let notice = match watcher.needs_snapshot {
                true => &without_residencies,
                false => &notice,
            };
            watcher.queue.try_send(notice.clone()).is_ok()
        });
    }
}

/// Whether two readings of the list have the same upstreams, with the same addresses, services, software
/// versions and draining states.
///
/// Loaded adapters are not compared: they change with every order, and the outcomes of orders
/// describe them more accurately.
fn same_list(known: &[Upstream], read: &[Upstream]) -> bool {
    let same = |(left, right): (&Upstream, &Upstream)| {
        left.name == right.name
            && left.draining == right.draining
            && left.address == right.address
            && left.service == right.service
            && left.software == right.software
    };
    known.len() == read.len() && known.iter().zip(read).all(same)
}

fn announcements(announced: &BTreeMap<String, u64>) -> Vec<Announcement> {
    let announcement = |(adapter, version): (&String, &u64)| Announcement {
        adapter: adapter.clone(),
        version: *version,
    };
    announced.iter().map(announcement).collect()
}

/// Source of the notices for one gateway.
struct NoticeStream {
    queue: mpsc::Receiver<Notice>,
    configurations: watch::Receiver<Option<Arc<ConfigurationHistory>>>,
    /// Version of the configuration that the gateway has or was sent.
    known_version: u64,
}

impl NoticeStream {
    /// The next notice; `None` once there will be no more.
    async fn next(&mut self) -> Option<Notice> {
        loop {
            let history = self.configurations.borrow_and_update().clone();
            if let Some(history) = history.filter(|history| history.version() > self.known_version)
            {
                let known = std::mem::replace(&mut self.known_version, history.version());
                return Some(history.notice(known));
            }
            tokio::select! {
                notice = self.queue.recv() => return notice,
                changed = self.configurations.changed() => changed.ok()?,
            }
        }
    }
}

/// Sends a gateway its first notice, then each further one as it comes. The first notice is short:
/// until it arrives, the gateway considers the leader lost.
async fn send_notices(first: Notice, mut notices: NoticeStream, responder: Responder) {
    if responder.send(Body::Notice(first)).await.is_err() {
        return;
    }
    loop {
        let notice = tokio::select! {
            notice = notices.next() => notice,
            () = responder.cancelled() => None,
        };
        let Some(notice) = notice else {
            break;
        };
        if responder.send(Body::Notice(notice)).await.is_err() {
            return;
        }
    }
    // The gateway subscribes again, here or at another leader.
    let _ = responder.finish(Body::Redirect(Redirect::default())).await;
}
