//! Load patterns at services with few brittle upstreams and many hosts, in virtual time: the real
//! scheduler, ceilings and shares; hosts, upstreams and the network are simulated.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use super::{Ceilings, Shares, Start};
use crate::{
    gateway::{
        limit::Limits,
        message::{BrittleReport, Upstream},
        quarantine::Ledger,
        scheduler::{self, Candidate, Decision, Job, Pauses, Scheduler},
        scheduler_tests::job,
    },
    testing::cases,
};

/// Step of the simulation; the leader decides at most so often.
const STEP: Duration = Duration::from_millis(1);
/// Steps between two decisions of the leader.
const DECIDE_STEPS: u32 = 4;
/// One way between a host and the leader, in steps.
const HOP: u32 = 2;
/// Rejections within a second that an upstream bears.
const ALLOWANCE: u32 = 3;
/// Time for which an upstream that fell over is gone.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time in which requests are sent.
const TIME: Duration = Duration::from_secs(20);
const SERVICE: &str = "desk";

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    hosts: u32,
    upstreams: u32,
    slots: u32,
    /// Requests that an upstream lets wait.
    queue: u32,
    work: Duration,
    /// Requests sent, as a share of what the upstreams can run.
    demand: f64,
    /// Requests that arrive at the same moment.
    burst: u32,
    /// Time without a leader from 5 s on.
    without_leader: Duration,
    /// Whether an upstream is lost at 5 s for another cause.
    loses_one: bool,
}

/// Four upstreams behind 85 hosts, as on the site of the report.
const GROWN: Pattern = Pattern {
    hosts: 85,
    upstreams: 4,
    slots: 6,
    queue: 1,
    work: Duration::from_millis(15),
    demand: 1.4,
    burst: 1,
    without_leader: Duration::ZERO,
    loses_one: false,
};
const LARGE: Pattern = Pattern {
    hosts: 300,
    upstreams: 6,
    ..GROWN
};
const SLOW: Pattern = Pattern {
    work: Duration::from_millis(200),
    ..GROWN
};

/// One upstream as it is.
#[derive(Debug, Default)]
struct Server {
    entry: Upstream,
    /// Ends of the running requests, with their numbers.
    running: BTreeSet<(Instant, u64)>,
    queue: VecDeque<u64>,
    rejections: VecDeque<Instant>,
    down_until: Option<Instant>,
    starts: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    sent: u32,
    served: u32,
    falls: u32,
}

/// What is on its way between hosts, leader and upstreams.
#[derive(Clone, Debug)]
enum Event {
    Ask(u64),
    Grant(u64, String),
    Ended(u64),
    Rejected(String),
}

struct World {
    pattern: Pattern,
    now: Instant,
    began: Instant,
    servers: Vec<Server>,
    scheduler: Scheduler,
    ceilings: Ceilings,
    shares: Vec<Shares>,
    events: BTreeMap<(Instant, u64), Event>,
    /// Host and time limit of each request.
    requests: BTreeMap<u64, (u32, Instant)>,
    next: u64,
    outcome: Outcome,
    random: StdRng,
}

impl World {
    fn new(pattern: Pattern) -> Self {
        let now = Instant::now();
        let mut ceilings = Ceilings::new(0, now - Duration::from_secs(10));
        let mut shares: Vec<Shares> = (0..pattern.hosts).map(|_| Shares::default()).collect();
        let server = |number| Server {
            entry: entry(number, 0, pattern.slots),
            ..Server::default()
        };
        let servers: Vec<Server> = (0..pattern.upstreams).map(server).collect();
        for server in &servers {
            let name = &server.entry.name;
            ceilings.observe(&brittle(name), now);
            for share in &mut shares {
                share.set(name, SERVICE, Some(ALLOWANCE));
            }
        }
        Self {
            pattern,
            now,
            began: now,
            servers,
            scheduler: Scheduler::new(scheduler::Config::default()),
            ceilings,
            shares,
            events: BTreeMap::new(),
            requests: BTreeMap::new(),
            next: 0,
            outcome: Outcome::default(),
            random: StdRng::seed_from_u64(39),
        }
    }

    fn has_leader(&self) -> bool {
        let passed = self.now - self.began;
        let lost_at = Duration::from_secs(5);
        passed < lost_at || passed >= lost_at + self.pattern.without_leader
    }

    fn send(&mut self, steps: u32, event: Event) {
        self.next += 1;
        self.events
            .insert((self.now + STEP * steps, self.next), event);
    }

    /// A caller's request arrives at a host.
    fn arrive(&mut self) {
        self.next += 1;
        let number = self.next;
        let host = (number.wrapping_mul(7919) % u64::from(self.pattern.hosts)) as u32;
        self.outcome.sent += 1;
        let limit = self.now + Duration::from_millis(1200);
        self.requests.insert(number, (host, limit));
        self.start(number);
    }

    /// The host of a request asks the leader, or takes its turn without one.
    fn start(&mut self, number: u64) {
        if self.has_leader() {
            return self.send(HOP, Event::Ask(number));
        }
        let (host, limit) = self.requests[&number];
        let places = self.pattern.slots * self.pattern.upstreams;
        let draw = self.random.random();
        let share = &mut self.shares[host as usize];
        match share.take_turn(SERVICE, places, self.pattern.hosts, draw, self.now) {
            Start::Now => {
                let at = self.random.random_range(0..self.servers.len());
                let name = self.servers[at].entry.name.clone();
                self.reach(number, &name);
            }
            Start::At(at) if at < limit => {
                let steps = (at - self.now).as_millis() as u32 + 1;
                // The host looks again then, whether there is a leader or not.
                self.send(steps, Event::Grant(number, String::new()));
            }
            Start::At(_) => {
                self.requests.remove(&number);
            }
        }
    }

    /// A request reaches an upstream.
    fn reach(&mut self, number: u64, name: &str) {
        let (now, pattern) = (self.now, self.pattern);
        let found = self.servers.iter_mut().find(|one| one.entry.name == name);
        let Some(server) = found.filter(|one| one.down_until.is_none()) else {
            return self.send(HOP, Event::Ended(number));
        };
        if server.running.len() < pattern.slots as usize {
            server.running.insert((now + pattern.work, number));
            return;
        }
        if server.queue.len() < pattern.queue as usize {
            server.queue.push_back(number);
            return;
        }
        server.rejections.push_back(now);
        server
            .rejections
            .retain(|at| now < *at + Duration::from_secs(1));
        let (host, _) = self.requests[&number];
        self.shares[host as usize].record_rejection(name, SERVICE);
        let falls = server.rejections.len() > ALLOWANCE as usize;
        if falls {
            self.outcome.falls += 1;
            self.lose(name);
        }
        self.send(HOP, Event::Rejected(name.to_owned()));
        self.send(HOP, Event::Ended(number));
    }

    /// An upstream is lost with all that runs there.
    fn lose(&mut self, name: &str) {
        let until = self.now + DOWN_TIME;
        let Some(server) = self.servers.iter_mut().find(|one| one.entry.name == name) else {
            return;
        };
        server.down_until = Some(until);
        let running = std::mem::take(&mut server.running).into_iter();
        let mut lost: Vec<u64> = running.map(|(_, number)| number).collect();
        lost.extend(std::mem::take(&mut server.queue));
        for number in lost {
            self.send(HOP, Event::Ended(number));
        }
    }

    fn run_servers(&mut self) {
        let (now, pattern) = (self.now, self.pattern);
        let mut ended = Vec::new();
        for (at, server) in self.servers.iter_mut().enumerate() {
            if server.down_until.is_some_and(|until| now >= until) {
                server.down_until = None;
                server.starts += 1;
                server.entry = entry(at as u32, server.starts, pattern.slots);
            }
            while server.running.first().is_some_and(|(end, _)| *end <= now) {
                if let Some((_, number)) = server.running.pop_first() {
                    ended.push(number);
                }
                if let Some(next) = server.queue.pop_front() {
                    server.running.insert((now + pattern.work, next));
                }
            }
        }
        for number in ended {
            self.outcome.served += 1;
            let (host, _) = self.requests[&number];
            self.shares[host as usize].record_run(SERVICE, pattern.work);
            self.send(HOP, Event::Ended(number));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(number) => {
                let (host, limit) = self.requests[&number];
                if !self.has_leader() {
                    return self.start(number);
                }
                self.scheduler.add(plain(number, host, limit, self.now));
            }
            Event::Grant(number, name) if name.is_empty() => self.start(number),
            Event::Grant(number, name) => self.reach(number, &name),
            Event::Ended(number) => {
                self.scheduler.end_job(number);
                self.requests.remove(&number);
            }
            Event::Rejected(name) => {
                let mut entries = self.servers.iter().map(|one| &one.entry);
                if let Some(entry) = entries.find(|one| one.name == name) {
                    self.ceilings.record_rejections(entry, 1, self.now);
                }
            }
        }
    }

    /// The leader assigns what it can.
    fn decide(&mut self) {
        let now = self.now;
        let live = self.servers.iter().filter(|one| one.down_until.is_none());
        let live: Vec<Upstream> = live.map(|one| one.entry.clone()).collect();
        if self.scheduler.services_waiting().contains(SERVICE) {
            self.ceilings.raise(SERVICE, live.iter(), now);
        }
        let ceilings = &self.ceilings;
        let candidate = |one: &Upstream| Candidate {
            name: one.name.clone(),
            zone: one.zone.clone(),
            slots: one.slots,
            ceiling: ceilings.ceiling(one, now),
            token_capacity: 0,
            unscheduled_requests: 0,
            version: None,
        };
        let found: Rc<[Candidate]> = live.iter().map(candidate).collect();
        let decisions = self.scheduler.decide(
            &Pauses::default(),
            &Ledger::default(),
            &mut Limits::default(),
            now,
            |_, _, _| found.clone(),
        );
        for decision in decisions {
            match decision {
                Decision::Send {
                    number, replica, ..
                } => self.send(HOP, Event::Grant(number, replica)),
                Decision::Refuse { number, .. } | Decision::Bar { number } => {
                    self.requests.remove(&number);
                }
            }
        }
    }

    /// Plays the pattern.
    fn play(mut self) -> Outcome {
        let pattern = self.pattern;
        let per_step = pattern.demand * capacity(pattern) * STEP.as_secs_f64();
        let (mut due, mut step, mut had_leader) = (0.0, 0_u32, true);
        while self.now < self.began + TIME {
            self.now += STEP;
            step += 1;
            due += per_step;
            if due >= f64::from(pattern.burst) {
                for _ in 0..due as u32 {
                    self.arrive();
                }
                due = due.fract();
            }
            self.run_servers();
            while let Some(event) = self.events.first_entry() {
                if event.key().0 > self.now {
                    break;
                }
                let event = event.remove();
                self.handle(event);
            }
            if pattern.loses_one && step == 5000 {
                let name = self.servers[0].entry.name.clone();
                self.lose(&name);
            }
            let has_leader = self.has_leader();
            if has_leader && !had_leader {
                self.elect();
            }
            if !has_leader && had_leader {
                self.scheduler = Scheduler::new(scheduler::Config::default());
            }
            had_leader = has_leader;
            if has_leader && step % DECIDE_STEPS == 0 {
                self.decide();
            }
        }
        println!("{pattern:?}: {:?}", self.outcome);
        self.outcome
    }

    /// A leader that knows nothing of the open requests begins.
    fn elect(&mut self) {
        self.ceilings = Ceilings::new(self.pattern.hosts, self.now);
        for server in &self.servers {
            self.ceilings
                .observe(&brittle(&server.entry.name), self.now);
        }
    }
}

fn brittle(upstream: &str) -> BrittleReport {
    BrittleReport {
        upstream: upstream.to_owned(),
        service: SERVICE.to_owned(),
        allowance: Some(ALLOWANCE),
        age_ms: 0,
    }
}

fn entry(number: u32, starts: u32, slots: u32) -> Upstream {
    Upstream {
        name: format!("d-{number}@{starts}"),
        service: SERVICE.to_owned(),
        zone: "a".to_owned(),
        slots,
        ..Upstream::default()
    }
}

fn plain(number: u64, host: u32, limit: Instant, now: Instant) -> Job {
    Job {
        service: SERVICE.to_owned(),
        model: String::new(),
        adapter: None,
        host: format!("host{host}"),
        prompt_tokens: 0,
        max_output_tokens: 0,
        objective: now + Duration::from_millis(75),
        refuse_at: limit,
        ..job(number, now)
    }
}

/// Requests a second that the upstreams of a pattern can run.
fn capacity(pattern: Pattern) -> f64 {
    f64::from(pattern.upstreams * pattern.slots) / pattern.work.as_secs_f64()
}

/// Falls that the rule allows.
fn allowed_falls(pattern: Pattern) -> u32 {
    2 + pattern.upstreams / 10
}

/// Share of what the upstreams can run that is served at least; `lost` is the time for which the capacity
/// of all of them is missing.
fn check(pattern: Pattern, lost: Duration) {
    let outcome = World::new(pattern).play();
    assert!(outcome.falls <= allowed_falls(pattern), "{outcome:?}");
    let could_run = capacity(pattern) * (TIME - lost).as_secs_f64() * pattern.demand.min(1.0);
    let share = f64::from(outcome.served) / could_run;
    assert!(share >= 0.9, "{share:.3} of what could run: {outcome:?}");
}

/// Time without a leader.
const ELECTION: Duration = Duration::from_secs(6);
/// Time for which capacity may be missing then: also until the next leader knows all open requests.
const WITHOUT_LEADER: Duration = Duration::from_secs(8);

cases! { check {
    // More requests than the upstreams can run.
    an_overload_behind_85_hosts_brings_no_brittle_upstream_down: (GROWN, Duration::ZERO);
    an_overload_behind_300_hosts_brings_no_brittle_upstream_down: (LARGE, Duration::ZERO);
    an_overload_of_slow_requests_brings_no_brittle_upstream_down: (SLOW, Duration::ZERO);
    slow_requests_of_300_hosts_bring_no_brittle_upstream_down:
        (Pattern { hosts: 300, ..SLOW }, Duration::ZERO);
    brittle_upstreams_that_let_nothing_wait_stand: (Pattern { queue: 0, ..SLOW }, Duration::ZERO);
    // Many requests in one moment.
    bursts_bring_no_brittle_upstream_down:
        (Pattern { burst: 100, demand: 0.9, ..SLOW }, Duration::ZERO);
    bursts_behind_300_hosts_bring_no_brittle_upstream_down:
        (Pattern { burst: 300, demand: 0.9, hosts: 300, ..GROWN }, Duration::ZERO);
    // An upstream is lost for another cause: its load must take no other one.
    the_loss_of_an_upstream_takes_no_other_one:
        (Pattern { loses_one: true, ..GROWN }, DOWN_TIME / GROWN.upstreams);
    the_loss_of_a_slow_upstream_takes_no_other_one:
        (Pattern { loses_one: true, ..SLOW }, DOWN_TIME / SLOW.upstreams);
    // Hosts that know nothing of each other's requests send few.
    no_leader_of_85_hosts_brings_no_brittle_upstream_down:
        (Pattern { without_leader: ELECTION, ..GROWN }, WITHOUT_LEADER);
    no_leader_of_300_hosts_brings_no_brittle_upstream_down:
        (Pattern { without_leader: ELECTION, ..LARGE }, WITHOUT_LEADER);
    no_leader_and_slow_requests_bring_no_brittle_upstream_down:
        (Pattern { without_leader: ELECTION, ..SLOW }, WITHOUT_LEADER);
}}
