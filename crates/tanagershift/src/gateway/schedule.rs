//! Which waiting request goes to which replica, and when.
//!
//! The leader decides for all gateways, since only together do their requests show what a replica
//! has to do. A replica reads prompts between the tokens of the requests that run there: too many
//! prompts at once and the pauses in their streams grow past the objective. So prompts are paced by
//! the replica's reading speed, and requests wait here, in order of urgency, rather than there.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

use super::{message::Streams, pace::Pace};
use crate::id;

/// Number of a request at the leader.
pub type Number = u64;

/// Limits of the pacing.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Part of a replica's memory for tokens that is given out.
    pub memory_share: f64,
    /// Part of a replica's slots that is given out.
    pub slot_share: f64,
    /// Time for which a replica is taken to keep a part of a prompt that it has read.
    pub prefix_life: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            memory_share: 0.9,
            slot_share: 0.95,
            prefix_life: Duration::from_secs(15),
        }
    }
}

/// Milliseconds of waiting that another availability zone is worth avoiding.
const ZONE_COST: f64 = 15.0;
/// Milliseconds of waiting that a full replica costs against an empty one.
const FILL_COST: f64 = 60.0;
/// Time after which a job that still waits at busy replicas is late because of them.
const BUSY_TIME: Duration = Duration::from_millis(100);
/// Parts of prompts that are remembered for each replica.
const PARTS: usize = 4096;

/// A part of a prompt, with everything before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the adapter and all parts up to this one.
    pub digest: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// A request that waits for a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub number: Number,
    /// Service.
    pub service: String,
    /// Base model.
    pub model: String,
    /// Adapter as MODEL/NAME.
    pub adapter: Option<String>,
    /// Availability zone of its gateway.
    pub zone: id::Zone,
    /// Prompt tokens.
    pub prompt: u32,
    /// Most output tokens.
    pub output: u32,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// When it came.
    pub came: Instant,
    /// When its first event is due to meet the objective.
    pub objective: Instant,
    /// When it is refused if it still waits.
    pub give_up: Instant,
    /// Replicas that it was sent to already.
    pub tried: Vec<id::Upstream>,
}

/// What jobs need; those of one group can go to the same replicas.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Service.
    pub service: String,
    /// Base model.
    pub model: String,
    /// Adapter as MODEL/NAME.
    pub adapter: Option<String>,
}

/// Waiting jobs of one group.
#[derive(Debug, Default)]
struct Queue {
    /// Oldest first.
    jobs: BTreeSet<Number>,
    /// Since when some replica has had what they need, and yet some have waited.
    busy_since: Option<Instant>,
}

impl Job {
    fn group(&self) -> Group {
        Group {
            service: self.service.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
        }
    }
}

/// A replica that may be given a job now.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name.
    pub name: id::Upstream,
    /// Availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that it has memory for; zero if unknown.
    pub memory: u32,
    /// Open requests there that were not scheduled here.
    pub others: u32,
    /// Version of the job's adapter there.
    pub version: Option<u64>,
}

/// What happens to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to a replica.
    Send {
        /// Job.
        number: Number,
        /// Replica.
        replica: id::Upstream,
        /// Adapter of the job.
        adapter: Option<String>,
        /// Version of its adapter there.
        version: Option<u64>,
        /// Milliseconds until the replica should have read its prompt, and what else counted.
        cost_ms: u64,
        /// Replicas that had what it needs.
        holders: usize,
    },
    /// It cannot be served in time.
    Refuse {
        /// Job.
        number: Number,
        /// Replicas that had what it needs, all of them busy.
        holders: usize,
    },
}

/// What the scheduler has given to one replica.
#[derive(Clone, Debug)]
struct Load {
    /// Prompt tokens that are not read yet, at a time.
    backlog: f64,
    at: Instant,
    /// Tokens of each job that runs there.
    jobs: BTreeMap<Number, u32>,
    /// Parts of prompts that it has read lately.
    parts: HashMap<u64, Instant>,
}

impl Load {
    fn new(now: Instant) -> Self {
        Self {
            backlog: 0.0,
            at: now,
            jobs: BTreeMap::new(),
            parts: HashMap::new(),
        }
    }

    fn backlog(&self, rate: f64, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64() * 1000.0;
        (self.backlog - passed * rate).max(0.0)
    }

    /// Prompt tokens of a job that must be read there.
    fn unread(&self, job: &Job, life: Duration, now: Instant) -> u32 {
        let kept = |part: &&Part| {
            let read = self.parts.get(&part.digest);
            read.is_some_and(|read| now < *read + life)
        };
        let kept: u32 = job
            .parts
            .iter()
            .take_while(kept)
            .map(|part| part.tokens)
            .sum();
        job.prompt.saturating_sub(kept)
    }

    fn note_parts(&mut self, job: &Job, life: Duration, now: Instant) {
        if self.parts.len() > PARTS {
            self.parts.retain(|_, read| now < *read + life);
        }
        for part in &job.parts {
            self.parts.insert(part.digest, now);
        }
    }
}

/// Requests that wait, and what was given to each replica.
#[derive(Debug)]
pub struct Schedule {
    config: Config,
    waiting: BTreeMap<Number, Job>,
    /// Waiting jobs by what they need.
    groups: BTreeMap<Group, Queue>,
    loads: BTreeMap<id::Upstream, Load>,
    /// How fast the replicas of each service are given prompts.
    paces: BTreeMap<String, Pace>,
    running: BTreeMap<Number, Running>,
}

/// A job that was given to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Replica.
    pub replica: id::Upstream,
    /// Adapter.
    pub adapter: Option<String>,
}

impl Schedule {
    /// Starts with nothing waiting.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            waiting: BTreeMap::new(),
            groups: BTreeMap::new(),
            loads: BTreeMap::new(),
            paces: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Takes streams of a service that have ended.
    pub fn count_streams(&mut self, streams: &Streams, now: Instant) {
        let pace = self.pace(&streams.service, now);
        pace.streams(streams.ended, streams.paused);
    }

    fn pace(&mut self, service: &str, now: Instant) -> &mut Pace {
        let entry = self.paces.entry(service.to_owned());
        entry.or_insert_with(|| Pace::new(now))
    }

    /// Lets the paces follow what was seen.
    pub fn adapt(&mut self, now: Instant) {
        for pace in self.paces.values_mut() {
            pace.adapt(now);
        }
    }

    /// Prompt tokens a millisecond that each service's replicas are given, for the log.
    pub fn rates(&self) -> Vec<f64> {
        self.paces.values().map(Pace::rate).collect()
    }

    /// Adds a job.
    pub fn add(&mut self, job: Job) {
        let queue = self.groups.entry(job.group()).or_default();
        queue.jobs.insert(job.number);
        self.waiting.insert(job.number, job);
    }

    /// Takes a job out of those that wait.
    fn remove(&mut self, number: Number) -> Option<Job> {
        let job = self.waiting.remove(&number)?;
        let group = job.group();
        if let Some(queue) = self.groups.get_mut(&group) {
            queue.jobs.remove(&number);
            if queue.jobs.is_empty() {
                self.groups.remove(&group);
            }
        }
        Some(job)
    }

    /// Forgets a job that has ended or whose caller has left; returns where it ran.
    pub fn end(&mut self, number: Number) -> Option<Running> {
        self.remove(number);
        let running = self.running.remove(&number)?;
        if let Some(load) = self.loads.get_mut(&running.replica) {
            load.jobs.remove(&number);
        }
        Some(running)
    }

    /// Jobs that were given to a replica and have not ended.
    pub fn running(&self, replica: &str) -> u32 {
        let load = self.loads.get(replica);
        load.map_or(0, |load| load.jobs.len() as u32)
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets replicas that are gone.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.loads.retain(|name, _| listed(name));
    }

    /// Decides what can be decided now, the most urgent jobs first.
    ///
    /// `candidates` names the replicas that have what the jobs of a group need.
    pub fn decide(
        &mut self,
        now: Instant,
        mut candidates: impl FnMut(&Group, &Job, usize) -> Rc<[Candidate]>,
    ) -> Vec<Decision> {
        let fresh = Pace::new(now);
        let mut decisions = Vec::new();
        let mut order = Vec::new();
        let mut given_up = Vec::new();
        for (group, queue) in &mut self.groups {
            let numbers = &queue.jobs;
            let oldest = numbers.first().and_then(|number| self.waiting.get(number));
            let Some(oldest) = oldest else {
                continue;
            };
            let found = candidates(group, oldest, numbers.len());
            queue.busy_since = match found.is_empty() {
                true => None,
                false => queue.busy_since.or(Some(now)),
            };
            let jobs = numbers.iter().filter_map(|number| self.waiting.get(number));
            for job in jobs {
                if !found.is_empty() {
                    let late = now > job.objective;
                    let rank = (late, job.priority, job.objective, job.number);
                    let busy = queue
                        .busy_since
                        .is_some_and(|since| now > since + BUSY_TIME);
                    order.push((rank, found.clone(), late && busy));
                } else if now >= job.give_up {
                    given_up.push(job.number);
                }
            }
        }
        for number in given_up {
            self.remove(number);
            decisions.push(Decision::Refuse { number, holders: 0 });
        }
        order.sort_by_key(|(rank, _, _)| *rank);
        for ((_, _, _, number), found, delayed) in order {
            let Some(job) = self.waiting.get(&number) else {
                continue;
            };
            let pace = *self.paces.get(&job.service).unwrap_or(&fresh);
            let service = delayed.then(|| job.service.clone());
            if let Some((cost, chosen)) = self.choose(job, &found, &pace, now) {
                let adapter = job.adapter.clone();
                if let Some(service) = service {
                    self.pace(&service, now).late();
                }
                self.give(number, &chosen.name, now);
                decisions.push(Decision::Send {
                    number,
                    replica: chosen.name.clone(),
                    adapter,
                    version: chosen.version,
                    cost_ms: cost as u64,
                    holders: found.len(),
                });
            } else if now >= job.give_up {
                if let Some(service) = service {
                    self.pace(&service, now).late();
                }
                self.remove(number);
                let holders = found.len();
                decisions.push(Decision::Refuse { number, holders });
            }
        }
        decisions
    }

    /// Groups whose jobs have waited for longer than a time although replicas have what they need.
    pub fn pressed(&self, after: Duration, now: Instant) -> impl Iterator<Item = &Group> {
        let pressed =
            move |queue: &Queue| queue.busy_since.is_some_and(|since| now > since + after);
        let queues = self.groups.iter().filter(move |(_, queue)| pressed(queue));
        queues.map(|(group, _)| group)
    }

    /// The candidate that would begin the job first, if any may be given it now, and its cost.
    fn choose<'a>(
        &self,
        job: &Job,
        candidates: &'a [Candidate],
        pace: &Pace,
        now: Instant,
    ) -> Option<(f64, &'a Candidate)> {
        let untried = candidates
            .iter()
            .filter(|one| !job.tried.contains(&one.name));
        untried
            .filter_map(|candidate| Some((self.cost(job, candidate, pace, now)?, candidate)))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
    }

    /// Milliseconds until a replica would have read a job's prompt, and what else counts against
    /// it; `None` while it may not be given the job.
    fn cost(&self, job: &Job, candidate: &Candidate, pace: &Pace, now: Instant) -> Option<f64> {
        let fresh = Load::new(now);
        let load = self.loads.get(&candidate.name).unwrap_or(&fresh);
        let open = candidate.others + load.jobs.len() as u32;
        let slots = f64::from(candidate.slots.max(1));
        if f64::from(open + 1) > (slots * self.config.slot_share).max(1.0) {
            return None;
        }
        let used: u32 = load.jobs.values().sum();
        let memory = f64::from(candidate.memory) * self.config.memory_share;
        let wanted = f64::from(used + job.prompt + job.output);
        if candidate.memory > 0 && wanted > memory && !load.jobs.is_empty() {
            return None;
        }
        let unread = f64::from(load.unread(job, self.config.prefix_life, now));
        let backlog = load.backlog(pace.rate(), now);
        if backlog > 0.0 && backlog + unread > pace.burst() {
            return None;
        }
        let zone = if candidate.zone == job.zone {
            0.0
        } else {
            ZONE_COST
        };
        let fill = f64::from(open) / slots * FILL_COST;
        Some((backlog + unread) / pace.rate() + zone + fill)
    }

    fn give(&mut self, number: Number, replica: &str, now: Instant) {
        let Some(job) = self.remove(number) else {
            return;
        };
        let (rate, life) = (self.pace(&job.service, now).rate(), self.config.prefix_life);
        let load = self
            .loads
            .entry(replica.to_owned())
            .or_insert_with(|| Load::new(now));
        let unread = f64::from(load.unread(&job, life, now));
        load.backlog = load.backlog(rate, now) + unread;
        load.at = now;
        load.jobs.insert(number, job.prompt + job.output);
        load.note_parts(&job, life, now);
        let running = Running {
            replica: replica.to_owned(),
            adapter: job.adapter,
        };
        self.running.insert(number, running);
    }

    /// When the backlog of some replica will have shrunk enough to decide again; `None` when
    /// nothing waits.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        (!self.waiting.is_empty()).then(|| now + DECIDE_INTERVAL)
    }
}

/// Time between two decisions while jobs wait.
const DECIDE_INTERVAL: Duration = Duration::from_millis(10);
