//! Notices from the leader to the gateways, and the tallies that it receives from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{sync::mpsc, time::Instant};

use super::{
    GatewayState, LeaderState, Watcher,
    configuration_history::ConfigurationHistory,
    delivery::{NoticeStream, WATCHER_QUEUE, send_notices},
};
use crate::{
    admission::Origin,
    gateway::{
        fleet::{
            list,
            receiver::{ListUpdate, Receiver},
        },
        message::{
            self, Announcement, Counts, Document, List, ListChanges, Notice, PaceReport,
            ReachReport, Residency, SparseCounts, Tally, Upstream, Watch,
        },
        metrics::Metrics,
    },
    id,
    link::Responder,
};

/// Time between two summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two notices to a gateway in a small system.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of gateways up to which `NOTICE_INTERVAL` applies. With more, the interval grows in
/// proportion, so that the leader's message rate stays bounded.
const SMALL_SYSTEM_GATEWAYS: u32 = 32;
/// Rate of changed counts and residencies over all gateways.
const UPDATE_BYTES_PER_SECOND: f64 = 400e3;
/// Size of changed counts, and of changed residencies, up to which a notice is never cut.
const MIN_UPDATE_BYTES: usize = 256;
/// Time without a tally after which a gateway is no longer counted.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(3);

impl LeaderState {
    /// Everything that a gateway must know but the list, the residencies and the configuration.
    pub(super) fn whole_state(&self, now: Instant) -> Notice {
        Notice {
            announced: announcements(&self.announced),
            voters: self.voters.clone(),
            leaving: self.departing(now),
            marks: self.ledger.marks().collect(),
            limits: self.limits.reports(),
            baselines: self.baselines(),
            brittle: self.ceilings.reports(),
            open_changes: (self.list.number > 0).then(|| self.told.all()),
            store: self.store_report(),
            rates: self.scheduler.rate_reports(),
            is_whole: true,
            ..Notice::default()
        }
    }

    /// Subscribes a gateway to notices. The first notice carries all current state except the
    /// configuration, the residencies and, unless the gateway has it already, the list, which follow.
    pub(super) fn add_watcher(&mut self, watch: Watch, responder: Responder, now: Instant) {
        self.resume_store(watch.store);
        self.scheduler.resume_rates(&watch.rates, now);
        let (queue, receiver) = mpsc::channel(WATCHER_QUEUE);
        log::info!(
            "event=hub.watch host={} session={:016x}",
            watch.host,
            watch.session
        );
        let notices = NoticeStream {
            queue: receiver,
            configurations: self.configuration.subscribe(),
            known_version: watch.version,
        };
        let mut receiver = Receiver::new(&watch);
        let mut first = self.whole_state(now);
        if self.list.number > 0 {
            match receiver.update_list(0, self.known_list()) {
                ListUpdate::Number { from } => first.list_changes = Some(self.list_from(from)),
                ListUpdate::WholeNow => first.list = Some(self.list.clone()),
                ListUpdate::Changes | ListUpdate::WholeLater => {}
            }
        }
        self.watchers.retain(|known| known.host != watch.host);
        self.watchers.push(Watcher {
            host: watch.host.clone(),
            receiver,
            is_lost: false,
            helpers: Vec::new(),
            queue,
        });
        let first = self.encode(first);
        self.gateways.insert(
            watch.host,
            GatewayState {
                session: watch.session,
                open: SparseCounts::default(),
                updated_at: now,
                address: watch.address,
                zone: watch.zone,
                reach: ReachReport::default(),
                unassigned: None,
            },
        );
        self.helpers.differ = true;
        tokio::spawn(send_notices(first, notices, responder));
    }

    /// Changes that lead from the same list under another number.
    fn list_from(&self, from: u64) -> ListChanges {
        ListChanges {
            from,
            number: self.list.number,
            ..ListChanges::default()
        }
    }

    pub(super) fn gateway_count(&self) -> u32 {
        self.gateways.len() as u32
    }

    pub(super) fn notice_interval(&self) -> Duration {
        let gateways = self.gateway_count().max(1);
        NOTICE_INTERVAL * gateways.div_ceil(SMALL_SYSTEM_GATEWAYS)
    }

    /// Records what a gateway reports; `own_host` is the host of this leader.
    pub(super) fn record_tally(&mut self, mut tally: Tally, own_host: &str, now: Instant) {
        self.record_departures(&tally.leaving, now);
        self.record_pauses(&tally, own_host, now);
        self.record_evidence(&tally, now);
        self.record_limits(&tally, now);
        self.record_brittle(&tally, now);
        self.record_paces(&tally.paces, now);
        self.record_gift(&tally, now);
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
        let sparse = |dense: Option<Counts>| dense.as_ref().map(SparseCounts::from);
        let open = tally.open_sparse.take().or(sparse(tally.open.take()));
        let unassigned = tally.unassigned_sparse.take();
        let unassigned = unassigned.or(sparse(tally.unassigned.take()));
        let told = open.as_ref();
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
                open: SparseCounts::default(),
                updated_at: now,
                address: String::new(),
                zone: id::Zone::default(),
                reach: ReachReport::default(),
                unassigned: None,
            });
        gateway.updated_at = now;
        gateway.session = tally.session;
        if let Some(open) = open {
            gateway.open = open;
        }
        gateway.unassigned = unassigned;
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
        self.told.set_list(&self.list, &list);
        self.list_digest = list::digest(list.upstreams.iter());
        self.rollout.list = None;
        let before = std::mem::replace(&mut self.list, list);
        self.spread_list(&before);
    }

    /// Sends the list to the gateways that were sent the one before, or that take it at once.
    fn spread_list(&mut self, before: &List) {
        let changes = self.encode(Notice {
            list_changes: Some(ListChanges::between(before, &self.list)),
            ..Notice::default()
        });
        let newest = self.known_list();
        for at in 0..self.watchers.len() {
            let update = self.watchers[at]
                .receiver
                .update_list(before.number, newest);
            let notice = match update {
                ListUpdate::Changes => changes.clone(),
                ListUpdate::Number { from } => self.encode(Notice {
                    list_changes: Some(self.list_from(from)),
                    open_changes: Some(self.told.all()),
                    ..Notice::default()
                }),
                ListUpdate::WholeNow => self.encode(Notice {
                    list: Some(self.list.clone()),
                    ..Notice::default()
                }),
                ListUpdate::WholeLater => continue,
            };
            self.watchers[at].send(notice);
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
            for (at, count) in open.iter() {
                if let Some(sum) = counts.get_mut(at) {
                    *sum += count;
                }
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
            self.send_to(&host, notice);
        }
    }

    pub(super) fn broadcast_update(&mut self, metrics: &Metrics, now: Instant) {
        let open = self.sum_open_requests(now);
        self.update_paces(now);
        let interval = self.notice_interval();
        self.next_notice = now + interval;
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            self.ledger.expire(now);
            self.ceilings.expire(now);
            let summary = self.placement.summary(now);
            metrics.set_loads(&summary);
            log::info!(
                "event=hub.summary term={} hosts={} waiting={} open={} streams={} paces={:.1?} {:?}",
                self.term,
                self.gateways.len(),
                self.scheduler.waiting(),
                self.requests.len(),
                self.recorded_streams(),
                self.scheduler.rates(),
                summary
            );
        }
        self.broadcast_changes(&open, interval, now);
        self.end_rollout();
    }

    /// Sends changed counts and residencies to all gateways, as many as the time between two notices allows.
    fn broadcast_changes(&mut self, open: &Counts, interval: Duration, now: Instant) {
        let watchers = self.watchers.len().max(1) as f64;
        let bytes = UPDATE_BYTES_PER_SECOND * interval.as_secs_f64() / watchers;
        let bytes = (bytes / 2.0) as usize;
        let bytes = bytes.max(MIN_UPDATE_BYTES);
        let residencies = self.residency_changes.take(bytes);
        let changed = std::mem::take(&mut self.pace_changes);
        let paces = self.scheduler.paces.reports(changed.iter(), now);
        self.rollout.record_broadcast(&residencies);
        let (upstreams, replicas) = (&self.list.upstreams, self.placement.replicas());
        // Gateways select the upstreams of plain services by themselves.
        let is_plain = |at: usize| !replicas.contains_key(&upstreams[at].name);
        let open_changes = self.told.take_changes(open, is_plain, bytes);
        self.rollout.list = None;
        let rates = self.scheduler.rate_reports();
        let rates_changed = rates != self.told_rates;
        if rates_changed {
            self.told_rates.clone_from(&rates);
        }
        let quota_part = self.quota_part(now);
        let notice = Notice {
            residencies,
            open_changes: Some(open_changes),
            paces,
            rates: if rates_changed { rates } else { Vec::new() },
            store: self.store_report(),
            quota_part,
            ..Notice::default()
        };
        self.broadcast_forms(&notice, || Notice {
            open: Some(open.clone()),
            open_changes: None,
            ..notice.clone()
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
            list_number: self.list.number,
            ..notice
        }
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
