//! Engines and store in virtual time, around the real decisions.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    str::FromStr,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tanagershift::{
    entry::route::{LoadTracker, SpreadParams},
    holder::{
        self,
        replica::{Action, Replica, Request, Target, Ticket},
    },
    platform::{Kind, Standing, Upstream},
    voter::permit::{self, Permits},
};
use tokio::time::Instant;

use crate::{
    bound,
    report::Report,
    workload::{Arrival, BATCH, DEADLINE, LOAD, STEP, Workload},
};

/// Time between two ticks of every replica.
const TICK: Duration = Duration::from_millis(100);
/// Replicas that may be too busy before a request is refused, as an entry does it.
const BUSY_LIMIT: usize = 3;
/// Entry hosts.
const ENTRIES: usize = 11;
/// Base model of every replica.
const BASE: &str = "base";

/// Keeps every adapter at its one home.
const HOME_ONLY: SpreadParams = SpreadParams {
    batch: u32::MAX / 8,
    entries: 1,
};

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// As an entry does it.
    Ours,
    /// Any replica.
    Random,
    /// The replica with the fewest requests.
    LeastLoaded,
    /// The adapter's home, however busy.
    Rendezvous,
}

impl Routing {
    /// Every way.
    pub const ALL: &[Self] = &[
        Self::Ours,
        Self::Random,
        Self::LeastLoaded,
        Self::Rendezvous,
    ];

    /// Name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::LeastLoaded => "least-loaded",
            Self::Rendezvous => "rendezvous",
        }
    }
}

impl FromStr for Routing {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|routing| routing.name() == text);
        found
            .copied()
            .ok_or_else(|| format!("`{text}` is no way to choose replicas"))
    }
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finished(usize, Ticket),
    Loaded(usize, String, u64, u64),
    Permits,
    Tick,
    Restart(usize),
}

/// A request that has come and not ended.
#[derive(Clone, Copy, Debug)]
struct Open {
    arrival: Arrival,
    entry: usize,
    replica: usize,
    running: bool,
}

/// Everything.
pub struct World {
    workload: Workload,
    routing: Routing,
    arrivals: Vec<Arrival>,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    replicas: Vec<Replica>,
    /// Adapters on each engine by name, to tell which loads still count after a restart.
    boots: Vec<u64>,
    listed: Vec<Upstream>,
    /// What each entry host has seen; each gets its share of the requests.
    tables: Vec<LoadTracker>,
    permits: Permits<usize>,
    /// When permits are looked at next.
    grant_at: Duration,
    loading: usize,
    open: BTreeMap<Ticket, Open>,
    random: SmallRng,
    report: Report,
    tenths: Vec<(f64, u64)>,
    measured: Duration,
}

impl World {
    /// Makes a world of a workload.
    pub fn new(workload: &Workload, routing: Routing) -> Self {
        let arrivals = workload.arrivals();
        let bound = bound::clairvoyant(workload, &arrivals);
        let start = Instant::now();
        let count = workload.deployment.replicas();
        let config = holder::Config {
            slots: workload.slots,
            batch: BATCH,
            loads: workload.loads,
            ..holder::Config::default()
        };
        let lease = start + Duration::from_secs(workload.seconds * 2 + 3600);
        let replica = |number: usize| Replica::new(config.clone(), 1, lease, number as u64);
        let upstream = |number: usize| Upstream {
            name: format!("engine-{number:02}"),
            kind: Kind::Engine,
            serves: BASE.to_owned(),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            address: "127.0.0.1:1".to_owned(),
            state: Standing::Live,
        };
        let store = permit::Config {
            rate: workload.deployment.store_rate(),
            in_flight: workload.deployment.store_in_flight(),
            ..permit::Config::default()
        };
        Self {
            start,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            number: 0,
            replicas: (0..count).map(replica).collect(),
            boots: vec![0; count],
            listed: (0..count).map(upstream).collect(),
            tables: (0..ENTRIES).map(|_| LoadTracker::default()).collect(),
            permits: Permits::new(store, 0, start),
            grant_at: Duration::ZERO,
            loading: 0,
            open: BTreeMap::new(),
            random: SmallRng::seed_from_u64(workload.seed ^ 0xabcd),
            report: Report::new(bound),
            tenths: vec![(0.0, 0); 10],
            measured: Duration::ZERO,
            arrivals,
            workload: workload.clone(),
            routing,
        }
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Runs to the end of the arrivals and of all that they began.
    pub fn run(mut self) -> Report {
        if !self.arrivals.is_empty() {
            self.schedule(self.arrivals[0].at, Event::Arrive(0));
        }
        self.schedule(TICK, Event::Tick);
        if let Some(every) = self.workload.restart_every {
            self.schedule(Duration::from_secs(every), Event::Restart(0));
        }
        let end = Duration::from_secs(self.workload.seconds);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.measure(at.min(end));
            self.now = at;
            if at > end + DEADLINE * 3 {
                break;
            }
            self.handle(event);
        }
        let mean = |(sum, count): &(f64, u64)| (sum * 1000.0 / (*count).max(1) as f64).round();
        self.report.tenths = self.tenths.iter().map(mean).collect();
        self.report
    }

    /// Adds up how full the batches were since the last event.
    fn measure(&mut self, until: Duration) {
        let span = until.saturating_sub(self.measured).as_secs_f64();
        self.measured = self.measured.max(until);
        for replica in &self.replicas {
            let running = replica.running() as f64;
            self.report.filled += running * span;
            self.report.room += BATCH as f64 * span;
            if replica.waiting() > 0 {
                self.report.filled_waiting += running * span;
                self.report.room_waiting += BATCH as f64 * span;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::Finished(replica, ticket) => self.finish(replica, ticket),
            Event::Loaded(replica, name, permit, boot) => self.loaded(replica, &name, permit, boot),
            Event::Permits => self.grant(),
            Event::Tick => self.tick(),
            Event::Restart(replica) => self.restart(replica),
        }
    }

    fn arrive(&mut self, number: usize) {
        if let Some(next) = self.arrivals.get(number + 1) {
            self.schedule(next.at, Event::Arrive(number + 1));
        }
        self.report.sent += 1;
        let arrival = self.arrivals[number];
        let target = target(arrival.adapter);
        let ticket = number as Ticket + 1;
        let entry = self.random.random_range(0..ENTRIES);
        for replica in self
            .candidates(entry, &target.adapter)
            .into_iter()
            .take(BUSY_LIMIT)
        {
            let request = Request {
                ticket,
                target: target.clone(),
                deadline: self.start + arrival.at + DEADLINE,
                priority: 0,
            };
            let open = Open {
                arrival,
                entry,
                replica,
                running: false,
            };
            self.open.insert(ticket, open);
            let now = self.at();
            let actions = self.replicas[replica].submit(request, now);
            let refused = actions.iter().any(
                |action| matches!(action, Action::Refuse { ticket: one, .. } if *one == ticket),
            );
            let load = self.replicas[replica].open_requests() as u32;
            let name = self.listed[replica].name.clone();
            self.tables[entry].request_started(&name);
            self.tables[entry].request_ended(&name, Some(load), now);
            if !refused {
                self.tables[entry].adapter_request_started(&target.adapter);
                self.act(replica, actions);
                return;
            }
            self.open.remove(&ticket);
        }
        self.report.refused += 1;
        // The first answer is told at once; what the network adds is not modelled.
        self.report.told.saturating_record(1);
    }

    /// Replicas in the order in which they are asked.
    fn candidates(&mut self, entry: usize, adapter: &str) -> Vec<usize> {
        let count = self.replicas.len();
        match self.routing {
            Routing::Ours => {
                let spread = SpreadParams {
                    batch: BATCH as u32,
                    entries: ENTRIES as u32,
                };
                let now = self.at();
                let ranked =
                    self.tables[entry].rank_replicas(&self.listed, BASE, adapter, spread, now);
                ranked.into_iter().map(number_of).collect()
            }
            Routing::Rendezvous => {
                let now = self.at();
                let ranked =
                    self.tables[entry].rank_replicas(&self.listed, BASE, adapter, HOME_ONLY, now);
                ranked.into_iter().map(number_of).collect()
            }
            Routing::Random => {
                let first = self.random.random_range(0..count);
                (0..count).map(|step| (first + step) % count).collect()
            }
            Routing::LeastLoaded => {
                let mut order: Vec<usize> = (0..count).collect();
                order.sort_by_key(|replica| self.replicas[*replica].open_requests());
                order
            }
        }
    }

    fn act(&mut self, replica: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    ticket, stalled, ..
                } => self.dispatch(replica, ticket, stalled),
                Action::Load { name, permit, .. } => {
                    self.report.loads += 1;
                    self.loading += 1;
                    let full = self.workload.deployment.store_in_flight() as f64;
                    let time = LOAD.mul_f64((self.loading as f64 / full).max(1.0));
                    let boot = self.boots[replica];
                    self.schedule(self.now + time, Event::Loaded(replica, name, permit, boot));
                }
                Action::AskPermit { waited, waiting } => {
                    let now = self.at();
                    self.permits.enqueue(waited, waiting, replica, now);
                    self.grant();
                }
                Action::ReleasePermit { permit } => self.permits.release(permit),
                Action::Refuse { ticket, .. } => {
                    if let Some(open) = self.open.remove(&ticket) {
                        self.tables[open.entry]
                            .adapter_request_ended(&target(open.arrival.adapter).adapter);
                        self.report.late += 1;
                        let waited = self.now.saturating_sub(open.arrival.at);
                        self.report
                            .told
                            .saturating_record(waited.as_micros() as u64);
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, replica: usize, ticket: Ticket, stalled: Duration) {
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        open.running = true;
        let arrival = open.arrival;
        self.report
            .stalls
            .saturating_record(stalled.as_micros() as u64);
        self.report.stalled += stalled;
        let first = self.now + STEP - arrival.at;
        self.report
            .first
            .saturating_record(first.as_micros() as u64);
        let tenth = (arrival.at.as_secs_f64() / self.workload.seconds as f64 * 10.0) as usize;
        let tenth = &mut self.tenths[tenth.min(9)];
        tenth.0 += stalled.as_secs_f64();
        tenth.1 += 1;
        self.schedule(self.now + arrival.run, Event::Finished(replica, ticket));
    }

    fn finish(&mut self, replica: usize, ticket: Ticket) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        self.tables[open.entry].adapter_request_ended(&target(open.arrival.adapter).adapter);
        debug_assert_eq!(open.replica, replica);
        if self.now <= open.arrival.at + DEADLINE {
            self.report.good += 1;
        } else {
            self.report.late += 1;
        }
        let now = self.at();
        let actions = self.replicas[replica].request_finished(ticket, false, now);
        self.act(replica, actions);
    }

    fn loaded(&mut self, replica: usize, name: &str, permit: u64, boot: u64) {
        self.loading -= 1;
        self.permits.release(permit);
        let Some(target) = holder::replica::parse_name(name) else {
            return;
        };
        let outcome = if boot == self.boots[replica] {
            Ok(LOAD)
        } else {
            Err(holder::replica::LoadFailure::Unreachable)
        };
        let now = self.at();
        let actions = self.replicas[replica].load_finished(&target, outcome, now);
        self.act(replica, actions);
        self.grant();
    }

    fn grant(&mut self) {
        let now = self.at();
        for (permit, replica) in self.permits.grant(now, |_| false) {
            let actions = self.replicas[replica].permit_answered(Some(permit), now);
            self.act(replica, actions);
        }
        let Some(next) = self.permits.next_grant() else {
            return;
        };
        let at = next.duration_since(self.start);
        let at = at.max(self.now + Duration::from_millis(1));
        if self.grant_at <= self.now || at < self.grant_at {
            self.grant_at = at;
            self.schedule(at, Event::Permits);
        }
    }

    fn tick(&mut self) {
        let now = self.at();
        for replica in 0..self.replicas.len() {
            let actions = self.replicas[replica].tick(now);
            self.act(replica, actions);
        }
        let end = Duration::from_secs(self.workload.seconds) + DEADLINE * 3;
        if self.now < end {
            self.schedule(self.now + TICK, Event::Tick);
        }
    }

    /// An engine loses its adapters; what ran there is told of a failure.
    fn restart(&mut self, replica: usize) {
        self.boots[replica] += 1;
        let lost: Vec<Ticket> = self
            .open
            .iter()
            .filter(|(_, open)| open.replica == replica && open.running)
            .map(|(ticket, _)| *ticket)
            .collect();
        let now = self.at();
        self.replicas[replica].reconcile(&[], now);
        for ticket in lost {
            self.open.remove(&ticket);
            self.report.late += 1;
            let actions = self.replicas[replica].request_finished(ticket, true, now);
            self.act(replica, actions);
        }
        let every = Duration::from_secs(self.workload.restart_every.unwrap_or(u64::MAX / 2));
        if self.now + every < Duration::from_secs(self.workload.seconds) {
            let next = (replica + 1) % self.replicas.len();
            self.schedule(self.now + every, Event::Restart(next));
        }
    }
}

fn target(adapter: usize) -> Target {
    Target {
        adapter: format!("student-{adapter:06}"),
        version: 1,
    }
}

/// Number of a replica by its name.
fn number_of(upstream: &Upstream) -> usize {
    upstream
        .name
        .trim_start_matches("engine-")
        .parse()
        .unwrap_or(0)
}
