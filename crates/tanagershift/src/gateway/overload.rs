//! Overloads of services: which late jobs are refused before their time is up.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::job::Job;

/// Part of the time that a job waits for which late jobs are kept in a lasting overload, so that upstreams
/// run on when fewer arrive.
const KEPT_SHARE: f64 = 0.25;

/// Longest time that a refused caller is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A time in which jobs of a service wait too long.
#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Instant,
    /// Jobs that were assigned since then.
    assigned: u32,
    /// Whether it has lasted for longer than a job waits, so that it is no burst: jobs that arrive take the
    /// places, and most late ones are hopeless.
    is_lasting: bool,
}

/// Services at which jobs are late.
#[derive(Debug, Default)]
pub struct Overloads {
    by_service: BTreeMap<String, Overload>,
}

impl Overloads {
    /// Counts a job that is assigned.
    pub fn count_assigned(&mut self, service: &str) {
        if let Some(overload) = self.by_service.get_mut(service) {
            overload.assigned += 1;
        }
    }

    /// Time after which a job would find a place, if the job is late and will find none in time with this
    /// many before it. Callers use a refusal that comes early to come back.
    pub fn hopeless(&self, job: &Job, before: u32, now: Instant) -> Option<Duration> {
        let overload = self.by_service.get(&job.service);
        let overload = overload.filter(|overload| overload.is_lasting)?;
        let per_second = f64::from(overload.assigned) / (now - overload.since).as_secs_f64();
        let kept_time = (job.refuse_at - job.received_at).mul_f64(KEPT_SHARE);
        let kept = per_second * kept_time.as_secs_f64();
        let is_hopeless = now > job.objective && f64::from(before) > kept;
        let wait = Duration::try_from_secs_f64(f64::from(before) / per_second);
        is_hopeless.then(|| wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }

    /// Applies which services have waiting jobs, each with one that is late, if any is. A lasting
    /// overload ends when no job waits.
    pub fn update<'a>(
        &mut self,
        waiting: impl Iterator<Item = (&'a str, Option<&'a Job>)>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.by_service);
        for (service, late) in waiting {
            let known = before.remove(service);
            let overload = match (known, late) {
                (known, Some(late)) => {
                    let mut overload = known.unwrap_or(Overload {
                        since: now,
                        assigned: 0,
                        is_lasting: false,
                    });
                    let patience = late.refuse_at - late.received_at;
                    overload.is_lasting |= now - overload.since >= patience;
                    overload
                }
                (Some(known), None) if known.is_lasting => known,
                (_, None) => continue,
            };
            self.by_service.insert(service.to_owned(), overload);
        }
    }
}
