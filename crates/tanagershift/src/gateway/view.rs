//! State of the system as one gateway knows it: configuration, upstreams, which adapters are loaded
//! on which replicas, and the load of the replicas.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    concurrency::Shares,
    configuration::Configuration,
    fleet::{list, receiver::KnownList},
    limit::Permits,
    message::{
        Baseline, Counts, Demand, List, ListChanges, Notice, Pause, RateReport, Rejections,
        Residency, ServiceDemand, SparseCounts, StoreReport, Upstream,
    },
    pace::Paces,
    placement::FIRST_VERSION,
};
use crate::{admission::Admission, clock, id};

/// Share of the version bound during which requests may still be sent to the older version after an
/// announcement. A request must begin to run before the bound, and it may first wait in the queue of
/// its replica for up to three latency objectives, after which callers give up. The remaining share
/// covers this wait.
const OLD_VERSION_SHARE: f64 = 0.4;
/// Time for which a failing upstream is avoided at first; doubles with each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum time for which a failing upstream is avoided.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Number of consecutive failures after which an upstream is avoided.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Time for which a residency is ignored after the replica reported the adapter as not loaded. The
/// next tally informs the leader, which then corrects the residency.
const MISSING_TTL: Duration = Duration::from_millis(1500);
/// Age of the list up to which a listed upstream cannot have started again: that takes longer.
pub const RESTART_TIME: Duration = Duration::from_millis(1000);
/// Age above which the load that an answer reported is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);

/// This gateway's own observations of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests that this gateway has open at the upstream.
    pub open: u32,
    /// Those of them that the leader which this gateway watches has not assigned.
    unassigned: u32,
    /// Value of `open` in the last tally that was sent.
    reported_open: u32,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// Time until which requests avoid the upstream.
    ejected_until: Option<Instant>,
    /// Requests running and waiting at the upstream according to its last answer, and the time of
    /// that answer.
    reported_load: Option<(u32, Instant)>,
}

/// An upstream of the list with its load.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// Entry of the upstream list.
    pub upstream: Arc<Upstream>,
    /// Open requests of all gateways according to the leader's last notice.
    total_open: u32,
    /// Requests that this gateway may have open there without a leader, if the upstream is brittle: those
    /// that it had, and its part of the free slots.
    pub share: u32,
    /// This gateway's own observations.
    pub stats: Stats,
}

impl KnownUpstream {
    /// Estimated number of open requests at the upstream, over all gateways. A recent load report
    /// of the upstream can raise it, but not lower it.
    pub fn open_requests(&self, now: Instant) -> u32 {
        let open_elsewhere = self.total_open.saturating_sub(self.stats.reported_open);
        let counted_open = open_elsewhere + self.stats.open;
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < MAX_LOAD_AGE;
        match self.stats.reported_load {
            Some((load, at)) if is_fresh(at) => counted_open.max(load),
            _ => counted_open,
        }
    }

    /// Whether this gateway's share has room for a request.
    pub fn has_share_left(&self) -> bool {
        self.stats.open < self.share
    }

    /// Sets the share of one of `hosts` gateways.
    fn set_share(&mut self, hosts: u32) {
        let free = self.upstream.slots.saturating_sub(self.total_open);
        let part = free.checked_div(hosts).unwrap_or(0);
        self.share = self.stats.reported_open + part;
    }

    /// Whether requests avoid the upstream after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.stats.ejected_until.is_some_and(|until| now < until)
    }
}

/// The newest announced version of an adapter and the time of its announcement.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    at: Instant,
}

/// State of the system as one gateway knows it.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force; `None` until the first one has been received.
    pub configuration: Option<Arc<Configuration>>,
    /// Number of gateway hosts that the leader has heard from recently.
    pub hosts: u32,
    /// Upstreams that leave or have asked this host for a pause.
    pub admission: Admission,
    /// Limits that upstreams have named, and permits to send to them.
    pub limits: Permits,
    /// Brittle upstreams, and this gateway's turns at them.
    pub shares: Shares,
    /// Paces of upstreams of uneven services.
    pub paces: Paces,
    /// What the last leader has told about the weight store.
    pub store: Option<StoreReport>,
    /// Rates of prompts that the last leader has told.
    pub rates: Vec<RateReport>,
    /// Whether a leader has sent all residencies since this process started.
    has_snapshot: bool,
    /// Number of the watch of a leader; requests that were assigned in an earlier one are unknown to the
    /// leader.
    watch: u64,
    /// Requests for services that have an upstream with a limit, since the previous tally.
    limited_demand: BTreeMap<String, u32>,
    /// Software version at which streams of each service may begin without a leader.
    baselines: BTreeMap<String, id::Software>,
    /// Upstreams that accepted no connection since the previous tally.
    unreachable: BTreeSet<id::Upstream>,
    list_number: u64,
    /// Whether the leader that is watched names the number of its list, and takes sparse tallies.
    is_leader_sparse: bool,
    /// When the list was last known to be current, by [`clock::now`], which counts suspension; `None`
    /// before the first.
    list_confirmed_at: Option<Instant>,
    /// Upstream names in the order of the list.
    list_order: Vec<id::Upstream>,
    upstreams: BTreeMap<id::Upstream, KnownUpstream>,
    /// Loaded versions, by adapter and then by replica.
    residencies: HashMap<String, BTreeMap<id::Upstream, u64>>,
    /// Time until which a residency is ignored, by replica and adapter.
    missing_until: HashMap<(id::Upstream, String), Instant>,
    announced: HashMap<String, Announced>,
    demand: BTreeMap<String, Demand>,
    /// Residencies of adapters that replicas reported as not loaded since the previous tally.
    unreported_missing: Vec<Residency>,
    version_bound: Duration,
}

impl View {
    /// Creates an empty view. `version_bound` is the time after an announcement from which on no
    /// request may begin to run on an older version.
    pub fn new(version_bound: Duration) -> Self {
        Self {
            version_bound,
            ..Self::default()
        }
    }

    /// Applies a notice of the leader, except for its configuration.
    pub fn apply(&mut self, notice: &Notice, now: Instant) {
        if let Some(list) = &notice.list {
            self.apply_list(list, clock::corrected(now), now);
        }
        if let Some(changes) = &notice.list_changes {
            self.apply_list_changes(changes, now);
        }
        self.is_leader_sparse |= notice.is_whole;
        // The leader sends each change at once, and the whole list as soon as it can.
        let is_newest = notice.list_number == self.list_number;
        if self.has_list() && (is_newest || !self.is_leader_sparse) {
            self.list_confirmed_at = Some(clock::corrected(now));
        }
        if notice.is_snapshot {
            self.residencies.clear();
            self.has_snapshot = true;
        }
        self.store = notice.store.or(self.store);
        if !notice.rates.is_empty() {
            self.rates.clone_from(&notice.rates);
        }
        for announcement in &notice.announced {
            self.apply_announcement(&announcement.adapter, announcement.version, now);
        }
        for residency in &notice.residencies {
            self.apply_residency(residency);
        }
        for limit in &notice.limits {
            self.limits.set(&limit.upstream, limit.per_second);
        }
        for permit in &notice.permits {
            self.limits.add(permit, now);
        }
        for brittle in &notice.brittle {
            self.shares
                .set(&brittle.upstream, &brittle.service, brittle.allowance);
        }
        for baseline in &notice.baselines {
            let Baseline { service, software } = baseline.clone();
            self.baselines.insert(service, software);
        }
        if notice.hosts > 0 {
            self.hosts = notice.hosts;
        }
        if let Some(open) = &notice.open {
            self.apply_open(open);
        }
        for report in &notice.paces {
            if let Some(known) = self.upstreams.get(&report.upstream) {
                self.paces.apply(&known.upstream.service, report, now);
            }
        }
        if let Some(open) = &notice.open_changes {
            self.apply_open_changes(open);
        }
    }

    /// Whether no replica has an adapter, as far as a leader has told.
    pub fn is_absent(&self, adapter: &str) -> bool {
        let held = |replicas: &BTreeMap<id::Upstream, u64>| !replicas.is_empty();
        self.has_snapshot && !self.residencies.get(adapter).is_some_and(held)
    }

    /// Number and digest of the upstream list.
    pub fn known_list(&self) -> KnownList {
        let upstreams = self.upstreams.values();
        KnownList {
            number: self.list_number,
            digest: list::digest(upstreams.map(|known| &*known.upstream)),
        }
    }

    /// Whether a notice holds changes to another list than this view has.
    pub fn lacks_list(&self, notice: &Notice) -> bool {
        let changes = notice.list_changes.as_ref();
        changes.is_some_and(|changes| changes.from != self.list_number)
    }

    /// Whether the leader takes sparse tallies.
    pub fn is_leader_sparse(&self) -> bool {
        self.is_leader_sparse
    }

    /// Begins to watch a leader, which knows none of the open requests.
    pub fn begin_watch(&mut self, now: Instant) {
        self.watch += 1;
        self.is_leader_sparse = false;
        for known in self.upstreams.values_mut() {
            known.stats.unassigned = known.stats.open;
        }
        self.limits.report_again(now);
        self.shares.report_again(now);
        self.admission.forget_confirmations();
    }

    fn apply_announcement(&mut self, adapter: &str, version: u64, now: Instant) {
        let known = self.announced.get(adapter);
        if known.is_none_or(|known| known.version < version) {
            let announced = Announced { version, at: now };
            self.announced.insert(adapter.to_owned(), announced);
        }
    }

    /// Replaces the upstream list. Upstreams that are no longer listed are dropped together with
    /// their residencies. `read_at` is when the list was read, by [`clock::now`].
    pub fn apply_list(&mut self, list: &List, read_at: Instant, now: Instant) {
        let mut known = std::mem::take(&mut self.upstreams);
        for upstream in &list.upstreams {
            let entry = known.remove(&upstream.name);
            self.set_upstream(entry, upstream);
        }
        self.end_list_update(list.number, read_at, now);
    }

    /// Applies changes to the list; those to another list than this one are ignored.
    fn apply_list_changes(&mut self, changes: &ListChanges, now: Instant) {
        if changes.from != self.list_number {
            return;
        }
        for name in &changes.removed {
            self.upstreams.remove(name);
        }
        for upstream in &changes.changed {
            let entry = self.upstreams.remove(&upstream.name);
            self.set_upstream(entry, upstream);
        }
        self.end_list_update(changes.number, clock::corrected(now), now);
    }

    /// Lists an upstream; `entry` is what was known of it.
    fn set_upstream(&mut self, entry: Option<KnownUpstream>, upstream: &Upstream) {
        let mut entry = entry.unwrap_or_else(|| KnownUpstream {
            upstream: Arc::new(upstream.clone()),
            total_open: 0,
            share: upstream.slots.checked_div(self.hosts).unwrap_or(0),
            stats: Stats::default(),
        });
        if *entry.upstream != *upstream {
            entry.upstream = Arc::new(upstream.clone());
        }
        self.upstreams.insert(upstream.name.clone(), entry);
    }

    fn end_list_update(&mut self, number: u64, read_at: Instant, now: Instant) {
        self.list_number = number;
        self.list_confirmed_at = Some(read_at);
        // Lists are sorted by name.
        self.list_order = self.upstreams.keys().cloned().collect();
        let listed = &self.upstreams;
        for residencies in self.residencies.values_mut() {
            residencies.retain(|name, _| listed.contains_key(name));
        }
        self.residencies
            .retain(|_, residencies| !residencies.is_empty());
        let names: BTreeSet<&str> = self.list_order.iter().map(String::as_str).collect();
        self.admission.retain_listed(&names, now);
        self.limits.retain_listed(&names);
        self.shares.retain_listed(&names, now);
        self.paces.retain(|name| names.contains(name));
    }

    fn apply_residency(&mut self, residency: &Residency) {
        let residencies = self
            .residencies
            .entry(residency.adapter.clone())
            .or_default();
        if residency.version == 0 {
            residencies.remove(&residency.replica);
        } else {
            residencies.insert(residency.replica.clone(), residency.version);
            self.missing_until
                .remove(&(residency.replica.clone(), residency.adapter.clone()));
        }
    }

    fn apply_open(&mut self, open: &Counts) {
        if open.list != self.list_number {
            return;
        }
        for (name, total_open) in self.list_order.iter().zip(&open.counts) {
            if let Some(known) = self.upstreams.get_mut(name) {
                known.total_open = *total_open;
                known.set_share(self.hosts);
            }
        }
    }

    fn apply_open_changes(&mut self, open: &SparseCounts) {
        if open.list != self.list_number {
            return;
        }
        if open.is_whole {
            for known in self.upstreams.values_mut() {
                known.total_open = 0;
            }
        }
        for (position, total_open) in open.iter() {
            let name = self.list_order.get(position);
            if let Some(known) = name.and_then(|name| self.upstreams.get_mut(name)) {
                known.total_open = total_open;
            }
        }
        for known in self.upstreams.values_mut() {
            known.set_share(self.hosts);
        }
    }

    /// Whether any upstream list has been received.
    pub fn has_list(&self) -> bool {
        self.list_number > 0
    }

    /// Whether the list was known to be current at a time of [`clock::now`], or later.
    pub fn has_list_since(&self, time: Instant) -> bool {
        self.list_confirmed_at.is_some_and(|at| at >= time)
    }

    /// Whether a connection that was opened at a time of [`clock::now`] leads to the listed run of its
    /// upstream.
    pub fn confirms_run(&self, opened_at: Instant) -> bool {
        let confirmed_at = self.list_confirmed_at;
        confirmed_at.is_some_and(|at| opened_at < at + RESTART_TIME)
    }

    /// Returns the upstream with this name; `None` if it is not listed.
    pub fn upstream(&self, name: &str) -> Option<Arc<Upstream>> {
        let known = self.upstreams.get(name)?;
        Some(known.upstream.clone())
    }

    /// Returns the upstream at an address; `None` if none is listed there.
    pub fn upstream_at(&self, address: &str) -> Option<Arc<Upstream>> {
        let mut upstreams = self.upstreams.values();
        let known = upstreams.find(|known| known.upstream.address == address)?;
        Some(known.upstream.clone())
    }

    /// Returns any of the listed upstreams of a service; `None` if there is none.
    pub fn random_upstream(&self, service: &str) -> Option<Arc<Upstream>> {
        let count = self.upstreams_of(service).count();
        let at = (count > 0).then(|| rand::random_range(0..count))?;
        let known = self.upstreams_of(service).nth(at)?;
        Some(known.upstream.clone())
    }

    /// Returns all upstreams of a service.
    pub fn upstreams_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownUpstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |known| known.upstream.service == service)
    }

    /// Software version at which a stream of a service may begin without a leader: streams that are
    /// not recorded belong to the baseline. Once that has left, any listed version will do, as a
    /// stream that is taken up is refused then. `None` if it cannot be known.
    pub fn begin_software(&self, service: &str) -> Option<id::Software> {
        let software = |known: &KnownUpstream| known.upstream.software.clone();
        let listed: BTreeSet<id::Software> = self.upstreams_of(service).map(software).collect();
        let baseline = self.baselines.get(service);
        match baseline.filter(|one| listed.contains(*one)) {
            Some(baseline) => Some(baseline.clone()),
            None if listed.len() == 1 => listed.into_iter().next(),
            None => None,
        }
    }

    /// Software version at which a stream goes on that a caller takes up without a leader; `None` if
    /// it cannot be known.
    pub fn take_up_software(&self, service: &str) -> Option<id::Software> {
        let baseline = self.baselines.get(service)?;
        (!self.has_other_software(service)).then(|| baseline.clone())
    }

    /// Whether an upstream of a service is listed at another software version than the baseline, so
    /// that streams may be recorded.
    pub fn has_other_software(&self, service: &str) -> bool {
        let baseline = self.baselines.get(service);
        let mut listed = self.upstreams_of(service);
        listed.any(|known| Some(&known.upstream.software) != baseline)
    }

    /// Returns the version of an adapter that a replica has loaded; `None` if it has none, or if
    /// requests for the adapter must not be sent to the replica now.
    pub fn usable_version(&self, adapter: &str, replica: &str, now: Instant) -> Option<u64> {
        let version = *self.residencies.get(adapter)?.get(replica)?;
        let missing_until = self
            .missing_until
            .get(&(replica.to_owned(), adapter.to_owned()));
        if missing_until.is_some_and(|until| now < *until) {
            return None;
        }
        let newest = self.announced.get(adapter);
        match newest {
            Some(newest) if version < newest.version => {
                let grace = self.version_bound.mul_f64(OLD_VERSION_SHARE);
                (now < newest.at + grace).then_some(version)
            }
            _ => Some(version),
        }
    }

    /// Returns the newest announced version of an adapter; [`FIRST_VERSION`] if none was announced.
    pub fn newest_version(&self, adapter: &str) -> u64 {
        let announced = self.announced.get(adapter);
        announced.map_or(FIRST_VERSION, |announced| announced.version)
    }

    /// Counts a request for an adapter towards its demand.
    pub fn count_request(&mut self, adapter: &str) {
        self.demand_of(adapter).requests += 1;
    }

    /// Counts a request that begins to wait for an adapter, or that ends its wait if `begins` is
    /// false.
    pub fn count_waiting(&mut self, adapter: &str, begins: bool) {
        let demand = self.demand_of(adapter);
        demand.waiting = match begins {
            true => demand.waiting + 1,
            false => demand.waiting.saturating_sub(1),
        };
    }

    fn demand_of(&mut self, adapter: &str) -> &mut Demand {
        let demand = self.demand.entry(adapter.to_owned());
        demand.or_insert_with(|| Demand {
            adapter: adapter.to_owned(),
            ..Demand::default()
        })
    }

    /// Returns the demand since the previous tally and resets it. Requests that are still waiting
    /// stay counted for the next tally.
    pub fn take_demand(&mut self) -> Vec<Demand> {
        let demand: Vec<Demand> = self.demand.values().cloned().collect();
        self.demand.retain(|_, counts| counts.waiting > 0);
        for counts in self.demand.values_mut() {
            counts.requests = 0;
        }
        demand
    }

    /// Returns the residencies of adapters that replicas reported as not loaded since the previous
    /// tally, and clears them.
    pub fn take_missing(&mut self) -> Vec<Residency> {
        std::mem::take(&mut self.unreported_missing)
    }

    /// Records that a replica reported an adapter as not loaded.
    pub fn record_missing(&mut self, replica: &str, adapter: &str, now: Instant) {
        self.missing_until.retain(|_, until| now < *until);
        let key = (replica.to_owned(), adapter.to_owned());
        if self.missing_until.insert(key, now + MISSING_TTL).is_none() {
            self.unreported_missing.push(Residency {
                replica: replica.to_owned(),
                adapter: adapter.to_owned(),
                version: 0,
            });
        }
    }

    /// Listed upstreams that have announced to this gateway that they leave, as long as the leader
    /// has not told it the same.
    pub fn unconfirmed_departures(&self) -> Vec<id::Upstream> {
        let departures = self.admission.unconfirmed();
        let listed = departures.filter(|name| self.upstreams.contains_key(*name));
        listed.cloned().collect()
    }

    /// Pauses that upstreams have asked this gateway for.
    pub fn pauses(&self, now: Instant) -> Vec<Pause> {
        let pause = |(name, left): (&id::Upstream, Duration)| Pause {
            upstream: name.clone(),
            remaining_ms: left.as_millis() as u64,
        };
        self.admission.pauses(now).map(pause).collect()
    }

    /// End of the first pause to end, if every upstream of a service that does not leave has asked
    /// this gateway for one.
    pub fn service_paused_until(&self, service: &str, now: Instant) -> Option<Instant> {
        let live = self.upstreams_of(service);
        let live = live.filter(|known| !known.upstream.draining);
        let names = live.map(|known| known.upstream.name.as_str());
        self.admission.paused_until(names, now)
    }

    /// Returns this gateway's open requests at each upstream for a tally, and remembers them as
    /// reported.
    pub fn report_open(&mut self) -> Counts {
        let mut counts = Vec::with_capacity(self.list_order.len());
        for name in &self.list_order {
            let known = self.upstreams.get_mut(name);
            counts.push(known.map_or(0, |known| {
                known.stats.reported_open = known.stats.open;
                known.stats.open
            }));
        }
        Counts {
            list: self.list_number,
            counts,
        }
    }

    /// Returns those of this gateway's open requests at each upstream that the leader has not assigned, for
    /// a tally.
    pub fn unassigned_open(&self) -> Counts {
        let unassigned = |name| {
            let known = self.upstreams.get(name);
            known.map_or(0, |known: &KnownUpstream| known.stats.unassigned)
        };
        Counts {
            list: self.list_number,
            counts: self.list_order.iter().map(unassigned).collect(),
        }
    }

    /// Takes the requests that upstreams of brittle services have rejected since the previous tally.
    pub fn take_rejections(&mut self) -> Vec<Rejections> {
        let rejections = self.shares.take_rejections().into_iter();
        rejections
            .map(|(upstream, count)| Rejections { upstream, count })
            .collect()
    }

    /// Counts a request for a service towards its demand for upstreams with a limit.
    pub fn count_limited_demand(&mut self, service: &str) {
        if self.limits.is_empty() {
            return;
        }
        let requests = self.limited_demand.entry(service.to_owned()).or_default();
        *requests += 1;
    }

    /// Takes the demand for upstreams with a limit since the previous tally.
    pub fn take_limited_demand(&mut self) -> Vec<ServiceDemand> {
        let demand = std::mem::take(&mut self.limited_demand);
        let demand = demand.into_iter();
        demand
            .map(|(service, requests)| ServiceDemand { service, requests })
            .collect()
    }

    /// Takes the upstreams that accepted no connection since the previous tally.
    pub fn take_unreachable(&mut self) -> Vec<id::Upstream> {
        std::mem::take(&mut self.unreachable).into_iter().collect()
    }

    /// Requests open at an upstream: those of this gateway, and the estimate over all gateways.
    pub fn open_requests(&self, upstream: &str, now: Instant) -> (u32, u32) {
        let known = self.upstreams.get(upstream);
        known.map_or((0, 0), |known| (known.stats.open, known.open_requests(now)))
    }

    /// Counts a request that is being sent to an upstream. Returns the watch in which the leader has
    /// assigned it; `None` if it has not.
    pub fn count_opened(&mut self, upstream: &str, is_assigned: bool) -> Option<u64> {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.open += 1;
            known.stats.unassigned += u32::from(!is_assigned);
        }
        is_assigned.then_some(self.watch)
    }

    /// Counts a request that has ended at an upstream; `assigned_in` is the watch in which the leader has
    /// assigned it.
    pub fn count_closed(&mut self, upstream: &str, assigned_in: Option<u64>) {
        let is_assigned = assigned_in == Some(self.watch);
        if let Some(known) = self.upstreams.get_mut(upstream) {
            let stats = &mut known.stats;
            stats.open = stats.open.saturating_sub(1);
            if !is_assigned {
                stats.unassigned = stats.unassigned.saturating_sub(1);
            }
        }
    }

    /// Records the load that an answer of an upstream reported.
    pub fn record_load(&mut self, upstream: &str, running: u32, waiting: u32, now: Instant) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.reported_load = Some((running + waiting, now));
        }
    }

    /// Records an answer without a server error. Requests no longer avoid the upstream.
    pub fn record_success(&mut self, upstream: &str) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.consecutive_failures = 0;
            known.stats.ejected_until = None;
        }
    }

    /// Records a failure. Several consecutive failures make requests avoid the upstream.
    pub fn record_failure(&mut self, upstream: &str, now: Instant) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            let stats = &mut known.stats;
            stats.consecutive_failures += 1;
            if let Some(excess) = stats.consecutive_failures.checked_sub(EJECT_AFTER_FAILURES) {
                let ejection = MIN_EJECTION * 2_u32.saturating_pow(excess.min(4));
                stats.ejected_until = Some(now + ejection.min(MAX_EJECTION));
            }
        }
    }

    /// Records that an upstream cannot be reached, which makes requests avoid it at once.
    pub fn record_unreachable(&mut self, upstream: &str, now: Instant) {
        self.unreachable.insert(upstream.to_owned());
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.stats.consecutive_failures = known
                .stats
                .consecutive_failures
                .max(EJECT_AFTER_FAILURES - 1);
        }
        self.record_failure(upstream, now);
    }
}
