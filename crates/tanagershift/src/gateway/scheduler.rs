//! Assigns waiting requests to replicas.
//!
//! The leader decides for all gateways, since only their requests together show the load of a
//! replica. A replica processes prompts between the decoding steps of its running requests: too
//! many prompts at once stretch the pauses in their streams past the objective. Prompts are
//! therefore admitted at the rate at which a replica processes them, and requests wait here,
//! ordered by urgency, rather than at the replica.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

pub use super::job::{
    Candidate, Decision, Job, JobGroup, JobNumber, Pauses, PromptPart, RunningJob,
};
use super::{
    account::Accounts,
    cost::Lengths,
    fair_use::FairUse,
    limit::Limits,
    message::{RateReport, Streams},
    overload::Overloads,
    pace::Paces,
    prompt_rate::PromptRate,
    quarantine::{Ledger, Ruling},
    replica_load::ReplicaLoad,
};
use crate::{id, voter::command::Key};

/// Limits on what a replica is assigned.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Share of a replica's KV cache capacity that is reserved for jobs.
    pub capacity_share: f64,
    /// Share of a replica's slots that is filled.
    pub slot_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            capacity_share: 0.9,
            slot_share: 0.95,
        }
    }
}

/// Minimum time for which a group must have waited although replicas have what it needs, before a
/// late job of the group is attributed to busy replicas.
const MIN_BUSY_TIME: Duration = Duration::from_millis(100);
/// Time after its assignment in which a job may not have begun to run.
const MAX_BEGIN_TIME: Duration = Duration::from_secs(3);

/// Waiting jobs of one group.
#[derive(Debug, Default)]
struct Queue {
    /// Ordered by number, so that the oldest job comes first.
    jobs: BTreeSet<JobNumber>,
    /// Since when jobs have waited although at least one replica has what they need; `None` while
    /// no replica has it.
    busy_since: Option<Instant>,
}

/// Waiting requests, and what each replica has been assigned.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) config: Config,
    waiting: BTreeMap<JobNumber, Job>,
    /// Numbers of the waiting jobs, by what they need.
    groups: BTreeMap<JobGroup, Queue>,
    pub(super) loads: BTreeMap<id::Upstream, ReplicaLoad>,
    /// Rate at which prompts are admitted to each replica of a service, by service.
    prompt_rates: BTreeMap<String, PromptRate>,
    running: BTreeMap<JobNumber, RunningJob>,
    overloads: Overloads,
    /// Paces of the replicas of uneven services.
    pub paces: Paces,
    fair_use: FairUse,
    /// Lengths of the outputs of uneven services.
    pub(super) lengths: Lengths,
}

impl Scheduler {
    /// Creates a scheduler without jobs.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            waiting: BTreeMap::new(),
            groups: BTreeMap::new(),
            loads: BTreeMap::new(),
            prompt_rates: BTreeMap::new(),
            running: BTreeMap::new(),
            overloads: Overloads::default(),
            paces: Paces::default(),
            fair_use: FairUse::default(),
            lengths: Lengths::default(),
        }
    }

    /// Applies the client accounts of a configuration.
    pub fn configure(&mut self, accounts: &Accounts) {
        self.fair_use.configure(accounts);
    }

    /// Counts streams of a service that have ended.
    pub fn count_streams(&mut self, streams: &Streams, now: Instant) {
        let (service, replica) = (&streams.service, &streams.upstream);
        if streams.events > 0 && !replica.is_empty() {
            let event_ms = streams.span_ms as f64 / f64::from(streams.events);
            let load = self.loads.get(replica);
            let fill = load.map_or(0.0, ReplicaLoad::fill);
            self.paces
                .record_shown(service, replica, event_ms, fill, now);
            self.lengths
                .record(service, streams.events, streams.output_tokens);
        }
        let was_slow = self.paces.was_slow(replica, now);
        let prompt_rate = self.prompt_rate(service, now);
        match was_slow {
            true => prompt_rate.count_explained(streams.ended),
            false => prompt_rate.count_streams(streams.ended, streams.gap_exceeded),
        }
    }

    fn prompt_rate(&mut self, service: &str, now: Instant) -> &mut PromptRate {
        let entry = self.prompt_rates.entry(service.to_owned());
        entry.or_insert_with(|| PromptRate::new(now))
    }

    /// Adapts the prompt rate of each service to the streams and late requests that were counted.
    pub fn adapt(&mut self, now: Instant) {
        for prompt_rate in self.prompt_rates.values_mut() {
            prompt_rate.adapt(now);
        }
    }

    /// Rates that were adapted to observations.
    pub fn rate_reports(&self) -> Vec<RateReport> {
        let adapted = self
            .prompt_rates
            .iter()
            .filter(|(_, rate)| rate.is_adapted());
        let report = |(service, rate): (&String, &PromptRate)| RateReport {
            service: service.clone(),
            tokens_per_ms: rate.tokens_per_ms(),
        };
        adapted.map(report).collect()
    }

    /// Continues from the rates that an earlier leader has adapted, where this one has adapted none.
    pub fn resume_rates(&mut self, reports: &[RateReport], now: Instant) {
        for report in reports {
            let rate = self.prompt_rate(&report.service, now);
            if !rate.is_adapted() {
                *rate = PromptRate::resumed(report.tokens_per_ms, now);
            }
        }
    }

    /// Prompt rate of each service in tokens per millisecond, for the log.
    pub fn rates(&self) -> Vec<f64> {
        self.prompt_rates
            .values()
            .map(PromptRate::tokens_per_ms)
            .collect()
    }

    /// Adds a waiting job.
    pub fn add(&mut self, job: Job) {
        let queue = self.groups.entry(job.group()).or_default();
        queue.jobs.insert(job.number);
        self.waiting.insert(job.number, job);
    }

    /// Removes a waiting job.
    fn remove(&mut self, number: JobNumber) -> Option<Job> {
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

    /// Removes a job that has ended or whose caller has disconnected; returns where it ran, if it
    /// had been assigned.
    pub fn end_job(&mut self, number: JobNumber) -> Option<RunningJob> {
        self.remove(number);
        let running = self.running.remove(&number)?;
        if let Some(load) = self.loads.get_mut(&running.replica) {
            load.jobs.remove(&number);
        }
        Some(running)
    }

    /// An assigned job; `None` if it has ended.
    pub fn running(&self, number: JobNumber) -> Option<&RunningJob> {
        self.running.get(&number)
    }

    /// Keys of an assigned job; `None` if it has ended.
    pub fn running_keys(&self, number: JobNumber) -> Option<&[Key]> {
        let running = self.running.get(&number)?;
        Some(&running.keys)
    }

    /// Number of jobs that were assigned to a replica and have not ended.
    pub fn running_on(&self, replica: &str) -> u32 {
        let load = self.loads.get(replica);
        load.map_or(0, |load| load.jobs.len() as u32)
    }

    /// Number of jobs of a host's gateway that were assigned to a replica and have not ended.
    pub fn running_of(&self, host: &str, replica: &str) -> u32 {
        let Some(load) = self.loads.get(replica) else {
            return 0;
        };
        let jobs = load.jobs.keys();
        let running = jobs.filter_map(|number| self.running.get(number));
        running.filter(|job| job.host == host).count() as u32
    }

    /// Services with waiting jobs that replicas could run.
    pub fn services_waiting(&self) -> BTreeSet<String> {
        let busy = self.groups.iter();
        let busy = busy.filter(|(_, queue)| queue.busy_since.is_some());
        busy.map(|(group, _)| group.service.clone()).collect()
    }

    /// Waiting jobs of a group.
    pub fn waiting_in(&self, group: &JobGroup) -> Vec<JobNumber> {
        let queue = self.groups.get(group);
        queue.map_or_else(Vec::new, |queue| queue.jobs.iter().copied().collect())
    }

    /// Number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records that a replica unloads or replaces an adapter, and with it what it kept of prompts.
    pub fn forget_adapter(&mut self, replica: &str, adapter: &str) {
        if let Some(load) = self.loads.get_mut(replica) {
            load.forget(adapter);
        }
    }

    /// Drops the loads of all replicas that are no longer listed.
    pub fn retain_replicas(&mut self, listed: impl Fn(&str) -> bool) {
        self.loads.retain(|name, _| listed(name));
        self.paces.retain(listed);
    }

    /// Assigns or refuses all jobs for which this is possible now, the most urgent ones first.
    ///
    /// `candidates` is called once for each group, with its oldest job and the number of its jobs,
    /// and returns the replicas that have what they need.
    pub fn decide(
        &mut self,
        pauses: &Pauses,
        ledger: &Ledger,
        limits: &mut Limits,
        now: Instant,
        mut candidates: impl FnMut(&JobGroup, &Job, usize) -> Rc<[Candidate]>,
    ) -> Vec<Decision> {
        let initial_rate = PromptRate::new(now);
        let mut decisions = self.bar(ledger, now);
        let mut ranked = Vec::new();
        let mut expired = Vec::new();
        let levels = self.fair_use.levels(now);
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
                    // Only some replicas can go on with a stream, and new ones may begin anywhere.
                    let is_new = job.software.is_none();
                    let level = levels.get(job.account.as_str()).copied().unwrap_or(0);
                    let (objective, number) = (job.objective, job.number);
                    let rank = (late, job.priority, is_new, level, objective, number);
                    let busy = queue
                        .busy_since
                        .is_some_and(|since| now > since + MIN_BUSY_TIME);
                    ranked.push((rank, found.clone(), late && busy));
                } else if now >= job.refuse_at {
                    expired.push(job.number);
                }
            }
        }
        for number in expired {
            self.remove(number);
            decisions.push(Decision::Refuse {
                number,
                retry_after: None,
                holders: 0,
            });
        }
        ranked.sort_by_key(|(rank, _, _)| *rank);
        // A request with fewer suspected keys shows more, so it is tried first.
        let suspected = |number: &JobNumber| {
            let job = self.waiting.get(number);
            job.map_or(0, |job| ledger.suspected(&job.keys).count())
        };
        if !ledger.is_empty() {
            ranked.sort_by_cached_key(|((.., number), _, _)| suspected(number));
        }
        let mut passed_over: BTreeMap<String, u32> = BTreeMap::new();
        for ((.., number), found, late_and_busy) in ranked {
            let Some(job) = self.waiting.get(&number) else {
                continue;
            };
            let prompt_rate = *self.prompt_rates.get(&job.service).unwrap_or(&initial_rate);
            let late_service = late_and_busy.then(|| job.service.clone());
            let free = found
                .iter()
                .filter(|one| !job.excludes(&one.name, pauses, now))
                .filter(|one| limits.has_room(&one.name, now));
            let ruling = ledger.ruling(&job.keys, now);
            let candidate = match ruling {
                Ruling::Free => self.cheapest_candidate(job, free, &prompt_rate, now),
                Ruling::Trial if !self.is_in_flight(ledger, job, now) => {
                    self.calmest_candidate(job, free, &prompt_rate, now)
                }
                Ruling::Trial | Ruling::Wait | Ruling::Barred => None,
            };
            if let Some(((cost, pace), chosen)) = candidate {
                let adapter = job.adapter.clone();
                self.overloads.count_assigned(&job.service);
                if let Some(service) = late_service {
                    self.prompt_rate(&service, now).count_late_request();
                }
                limits.spend(&chosen.name, now);
                self.assign(number, chosen, now);
                decisions.push(Decision::Send {
                    number,
                    replica: chosen.name.clone(),
                    adapter,
                    version: chosen.version,
                    cost,
                    pace,
                    holders: found.len(),
                    is_trial: ruling == Ruling::Trial,
                });
                continue;
            }
            let before = *passed_over.get(&job.service).unwrap_or(&0);
            let hopeless = self.overloads.hopeless(job, before, now);
            if now >= job.refuse_at
                || hopeless.is_some()
                || self.is_out_of_reach(job, now)
                || ledger.holds_until(&job.keys, job.refuse_at, now)
            {
                if let Some(service) = late_service {
                    self.prompt_rate(&service, now).count_late_request();
                }
                self.remove(number);
                let holders = found.len();
                decisions.push(Decision::Refuse {
                    number,
                    retry_after: hopeless,
                    holders,
                });
            } else {
                *passed_over.entry(job.service.clone()).or_default() += 1;
            }
        }
        self.update_overloads(now);
        decisions
    }

    /// Whether late jobs of a service with models are refused early: client accounts compete for it, or its
    /// replicas differ in pace.
    fn refuses_early(&self, service: &str, now: Instant) -> bool {
        self.fair_use.is_active() || self.paces.is_uneven(service, now)
    }

    /// Records at which services jobs are late.
    fn update_overloads(&mut self, now: Instant) {
        let covered = self.groups.iter();
        let covered = covered.filter(|(group, queue)| {
            let is_busy = queue.busy_since.is_some();
            group.model.is_empty() || is_busy && self.refuses_early(&group.service, now)
        });
        let mut late: BTreeMap<&str, Option<&Job>> = BTreeMap::new();
        for (group, queue) in covered {
            let mut jobs = queue.jobs.iter().filter_map(|one| self.waiting.get(one));
            let found = jobs.find(|job| now > job.objective);
            let known = late.entry(group.service.as_str()).or_default();
            *known = known.or(found);
        }
        self.overloads.update(late.into_iter(), now);
    }

    /// Removes the waiting jobs that crash replicas, or that have a prompt part which does.
    fn bar(&mut self, ledger: &Ledger, now: Instant) -> Vec<Decision> {
        if ledger.is_empty() {
            return Vec::new();
        }
        let barred = self.waiting.values();
        let barred = barred.filter(|job| ledger.ruling(&job.keys, now) == Ruling::Barred);
        let barred: Vec<JobNumber> = barred.map(|job| job.number).collect();
        for number in &barred {
            self.remove(*number);
        }
        let bar = |number| Decision::Bar { number };
        barred.into_iter().map(bar).collect()
    }

    /// Whether an assigned job shares a suspected key with a waiting one, and may not have
    /// begun yet.
    fn is_in_flight(&self, ledger: &Ledger, job: &Job, now: Instant) -> bool {
        let mut running = self.running.values();
        running.any(|running| {
            let shared = |key: Key| running.keys.contains(&key);
            now < running.assigned_at + MAX_BEGIN_TIME && ledger.suspected(&job.keys).any(shared)
        })
    }

    /// Groups whose jobs have waited longer than `limit` although replicas have what they need.
    pub fn saturated_groups(
        &self,
        limit: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &JobGroup> {
        let is_saturated =
            move |queue: &Queue| queue.busy_since.is_some_and(|since| now > since + limit);
        let queues = self
            .groups
            .iter()
            .filter(move |(_, queue)| is_saturated(queue));
        queues.map(|(group, _)| group)
    }

    fn assign(&mut self, number: JobNumber, candidate: &Candidate, now: Instant) {
        let replica = candidate.name.as_str();
        let Some(job) = self.remove(number) else {
            return;
        };
        let capacity = candidate.token_capacity;
        let pace = self.pace(&job, replica, now);
        let prompt_rate = self.prompt_rate(&job.service, now);
        let tokens_per_ms = prompt_rate.at_pace(pace.now).tokens_per_ms();
        let load = self
            .loads
            .entry(replica.to_owned())
            .or_insert_with(|| ReplicaLoad::new(now));
        let uncached = f64::from(load.uncached_tokens(&job, capacity, now));
        let tokens = job.prompt_tokens + job.max_output_tokens;
        self.fair_use.count(&job.account, tokens, now);
        load.backlog = load.backlog_at(tokens_per_ms, now) + uncached;
        load.updated_at = now;
        load.slots = candidate.slots;
        load.add(&job, capacity, now);
        let running = RunningJob {
            replica: replica.to_owned(),
            host: job.host,
            adapter: job.adapter,
            keys: job.keys,
            is_resumable: job.is_resumable,
            assigned_at: now,
        };
        self.running.insert(number, running);
    }

    /// When to decide again, after backlogs have had time to shrink; `None` while nothing waits.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        (!self.waiting.is_empty()).then(|| now + DECIDE_INTERVAL)
    }
}

/// Time between two decisions while jobs wait.
const DECIDE_INTERVAL: Duration = Duration::from_millis(10);
