//! What the replicas that could run a waiting job cost it.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    cost::{Cost, Need, Offer},
    job::{Candidate, Job},
    pace::Estimate,
    prompt_rate::PromptRate,
    replica_load::ReplicaLoad,
    scheduler::Scheduler,
};

/// Share of the expected time of a job at the fastest replica that must be left: its output may be
/// shorter than expected.
const HOPELESS_SHARE: f64 = 0.5;

impl Scheduler {
    /// The candidate that costs least, with its cost; `None` if none can take the job now.
    pub(super) fn cheapest_candidate<'a>(
        &self,
        job: &Job,
        candidates: impl Iterator<Item = &'a Candidate>,
        prompt_rate: &PromptRate,
        now: Instant,
    ) -> Option<((Cost, Estimate), &'a Candidate)> {
        candidates
            .filter_map(|candidate| Some((self.cost(job, candidate, prompt_rate, now)?, candidate)))
            .min_by(|((left, _), _), ((right, _), _)| left.total().total_cmp(&right.total()))
    }

    /// The candidate with the fewest open requests, with its cost; `None` if none can take the job
    /// now.
    pub(super) fn calmest_candidate<'a>(
        &self,
        job: &Job,
        candidates: impl Iterator<Item = &'a Candidate>,
        prompt_rate: &PromptRate,
        now: Instant,
    ) -> Option<((Cost, Estimate), &'a Candidate)> {
        candidates
            .filter_map(|candidate| Some((self.cost(job, candidate, prompt_rate, now)?, candidate)))
            .min_by_key(|(_, candidate)| {
                candidate.unscheduled_requests + self.running_on(&candidate.name)
            })
    }

    /// What it costs to run a job at a replica, and the replica's pace; `None` while it cannot take
    /// the job.
    fn cost(
        &self,
        job: &Job,
        candidate: &Candidate,
        prompt_rate: &PromptRate,
        now: Instant,
    ) -> Option<(Cost, Estimate)> {
        let idle = ReplicaLoad::new(now);
        let load = self.loads.get(&candidate.name).unwrap_or(&idle);
        let open = candidate.unscheduled_requests + load.jobs.len() as u32;
        let slots = f64::from(candidate.slots.max(1));
        let usual = (slots * self.config.slot_share).max(1.0);
        let most = match candidate.ceiling {
            // A plain service has no prompts that run slower beside others.
            Some(ceiling) if job.model.is_empty() => f64::from(ceiling),
            Some(ceiling) => f64::from(ceiling).min(usual),
            None => usual,
        };
        if f64::from(open + 1) > most {
            return None;
        }
        let used = load.jobs.values().map(|memory| memory.reserved);
        let used = used.fold(0, u32::saturating_add);
        let capacity = f64::from(candidate.token_capacity) * self.config.capacity_share;
        let needed = f64::from(used + job.prompt_tokens + job.max_output_tokens);
        if candidate.token_capacity > 0 && needed > capacity && !load.jobs.is_empty() {
            return None;
        }
        let pace = self.pace(job, &candidate.name, now);
        let rate = prompt_rate.at_pace(pace.now);
        let uncached = f64::from(load.uncached_tokens(job, candidate.token_capacity, now));
        let backlog = load.backlog_at(rate.tokens_per_ms(), now);
        if backlog > 0.0 && backlog + uncached > rate.burst_tokens() {
            return None;
        }
        let fill = f64::from(open) / slots;
        let offer = Offer {
            wait_ms: backlog / prompt_rate.tokens_per_ms(),
            read_ms: uncached / prompt_rate.tokens_per_ms(),
            event_ms: self.paces.event_ms(&job.service, fill).unwrap_or(0.0),
            fill,
            pace,
            is_near: candidate.zone == job.zone,
        };
        if !self.paces.is_uneven(&job.service, now) {
            return Some((offer.even_cost(), pace));
        }
        let need = self.need(job, now);
        offer.fits(&need).then(|| (offer.cost(&need), pace))
    }

    /// What a job has time for.
    fn need(&self, job: &Job, now: Instant) -> Need {
        let ms = |time: Duration| time.as_secs_f64() * 1000.0;
        let left = |until: Instant| ms(until.saturating_duration_since(now));
        Need {
            objective_ms: left(job.objective),
            deadline_ms: job.deadline.map(left),
            gap_ms: job.max_gap.map(ms),
            events: self.lengths.events(&job.service, job.output_tokens),
        }
    }

    /// Whether not even an empty replica of the fastest pace can finish a job before its caller leaves.
    pub(super) fn is_out_of_reach(&self, job: &Job, now: Instant) -> bool {
        if job.deadline.is_none() || !self.paces.is_uneven(&job.service, now) {
            return false;
        }
        let fastest = self.paces.fastest(now);
        let offer = Offer {
            wait_ms: 0.0,
            read_ms: 0.0,
            event_ms: self.paces.event_ms(&job.service, 0.0).unwrap_or(0.0),
            fill: 0.0,
            pace: Estimate {
                now: fastest,
                lasting: fastest,
                ..Estimate::USUAL
            },
            is_near: true,
        };
        let need = self.need(job, now);
        let needed = offer.first_ms() + offer.output_ms(need.events);
        need.deadline_ms
            .is_some_and(|left| needed * HOPELESS_SHARE > left)
    }

    /// Expected pace of a replica.
    pub(super) fn pace(&self, job: &Job, replica: &str, now: Instant) -> Estimate {
        match self.paces.is_uneven(&job.service, now) {
            true => self.paces.estimate(replica, now),
            false => Estimate::USUAL,
        }
    }
}
