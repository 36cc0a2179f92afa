//! Overloads of plain services: which late jobs are refused before their time is up.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::job::Job;

/// Part of the time that a job waits for which late jobs are kept in a lasting overload, so that upstreams
/// run on when fewer arrive.
const KEPT_SHARE: f64 = 0.25;

/// A time in which jobs of a plain service wait too long.
#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Instant,
    /// Jobs that were assigned since then.
    assigned: u32,
    /// Whether it has lasted for longer than a job waits, so that it is no burst: jobs that arrive take the
    /// places, and most late ones are hopeless.
    is_lasting: bool,
}

/// Plain services at which jobs are late.
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

    /// Whether a job of a plain service is late and will find no place, with this many before it. Callers use
    /// a refusal that comes early to come back.
    pub fn is_hopeless(&self, job: &Job, before: u32, now: Instant) -> bool {
        let overload = self.by_service.get(&job.service);
        let Some(overload) = overload.filter(|overload| overload.is_lasting) else {
            return false;
        };
        let per_second = f64::from(overload.assigned) / (now - overload.since).as_secs_f64();
        let kept_time = (job.refuse_at - job.received_at).mul_f64(KEPT_SHARE);
        let kept = per_second * kept_time.as_secs_f64();
        job.model.is_empty() && now > job.objective && f64::from(before) > kept
    }

    /// Applies which plain services have waiting jobs, each with one that is late, if any is. A lasting
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
