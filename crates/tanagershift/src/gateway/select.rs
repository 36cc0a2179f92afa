//! Selects the upstream for a request: the leader's, or one that the gateway selects itself.

use std::sync::Arc;

use tokio::time::{Duration, Instant, timeout_at};

use super::{
    Gateway,
    ask::{Answer, ask},
    choose::{Choice, Requirements, choose},
    exchange::{Job, SelectedUpstream},
    forward::{MIN_SERVICE_TIME, Rejection, STARTUP_WAIT, Trace},
    quarantine::{Standing, shareable_parts},
};
use crate::admission::Access;

/// Longest wait for a change in adapter placement before an upstream is selected again.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_millis(200);

/// Selects an upstream.
///
/// The leader selects one for requests that name a model. Without a leader, and for other requests, the
/// gateway selects one itself, and waits while no replica has the adapter or base model that the
/// request needs.
///
/// # Errors
///
/// No upstream may be sent the request, now or in time.
pub async fn select_upstream(
    gateway: &Arc<Gateway>,
    job: &Job,
    trace: &mut Trace,
) -> Result<SelectedUpstream, Rejection> {
    let began = Instant::now();
    let parts = shareable_parts(&job.head.prompt_parts);
    reject_convicted(gateway, gateway.quarantine().standing(&parts))?;
    if job.head.model.is_some() {
        if let Some(selected) = ask_leader(gateway, job, trace).await? {
            return Ok(selected);
        }
        if let Some(adapter) = &job.head.adapter {
            gateway.view().count_request(adapter);
        }
    }
    let standing = gateway.quarantine().standing_alone(&parts, began);
    if standing != Standing::Clear {
        gateway.metrics.quarantined_requests.inc();
        return Err(Rejection::quarantined(standing));
    }
    gateway.view().count_limited_demand(&job.service);
    let startup_until = job.received_at + STARTUP_WAIT.min((job.deadline - job.received_at) / 2);
    let mut wait_guard: Option<AdapterWaitGuard> = None;
    let mut changes = gateway.placement_changes.subscribe();
    loop {
        changes.mark_unchanged();
        let now = Instant::now();
        let requirements = Requirements {
            service: &job.service,
            model: job.head.model.as_deref(),
            adapter: job.head.adapter.as_deref(),
            tried: &trace.tried,
            zone: &gateway.zone,
        };
        let choice = choose(&gateway.view(), &requirements, now);
        match choice {
            Choice::Send(upstream, version) => {
                if wait_guard.is_some() {
                    trace.replica_wait += now - began;
                    gateway
                        .metrics
                        .replica_wait
                        .observe((now - began).as_secs_f64());
                }
                return Ok(SelectedUpstream {
                    upstream,
                    version,
                    grant: None,
                    is_trial: false,
                });
            }
            Choice::Limited(after) => {
                let mut rejection = Rejection::retry_later("every upstream is at its limit");
                rejection.retry_after = Some(after);
                return Err(rejection);
            }
            Choice::Paused(until) => {
                let mut rejection = Rejection::retry_later("every upstream has asked for a pause");
                rejection.retry_after = Some(until - now);
                return Err(rejection);
            }
            // The host has just started, and the list is on its way.
            Choice::NoUpstream if now < startup_until && !has_list(gateway) => {}
            Choice::NoUpstream => {
                return Err(Rejection::retry_later("no upstream of the service is live"));
            }
            Choice::NoReplica if now + MIN_SERVICE_TIME >= job.deadline => {
                return Err(Rejection::retry_later("the adapter was not loaded in time"));
            }
            Choice::NoReplica => {}
        }
        if wait_guard.is_none()
            && let Some(adapter) = &job.head.adapter
        {
            wait_guard = Some(AdapterWaitGuard::new(gateway.clone(), adapter.clone()));
        }
        let recheck_at = job.deadline.min(now + MAX_PLACEMENT_WAIT);
        // However the wait ends, an upstream is selected again.
        let _ = timeout_at(recheck_at, changes.changed()).await;
    }
}

/// Rejects a request with a prompt part that crashes replicas.
fn reject_convicted(gateway: &Gateway, standing: Standing) -> Result<(), Rejection> {
    if standing != Standing::Convicted {
        return Ok(());
    }
    gateway.metrics.quarantined_requests.inc();
    Err(Rejection::quarantined(standing))
}

fn has_list(gateway: &Gateway) -> bool {
    gateway.view().has_list()
}

/// Asks the leader for a replica, again if the replica leaves or has asked this gateway for a pause,
/// which the leader may not know yet. Returns `None` if the gateway must select one itself.
async fn ask_leader(
    gateway: &Arc<Gateway>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Option<SelectedUpstream>, Rejection> {
    let began = Instant::now();
    let mut excluded = trace.tried.clone();
    loop {
        let paused = gateway
            .view()
            .service_paused_until(&job.service, Instant::now());
        if paused.is_some() {
            return Ok(None);
        }
        match ask(gateway, job, &excluded).await {
            Answer::Granted {
                upstream,
                version,
                call,
                is_trial,
            } => {
                let access = gateway
                    .view()
                    .admission
                    .access(&upstream.name, Instant::now());
                if access != Access::Open {
                    gateway.log_withheld(&job.head.id, &upstream.name, access);
                    excluded.push(upstream.name.clone());
                    continue;
                }
                trace.replica_wait += began.elapsed();
                gateway
                    .metrics
                    .replica_wait
                    .observe(began.elapsed().as_secs_f64());
                return Ok(Some(SelectedUpstream {
                    upstream,
                    version,
                    grant: Some(call),
                    is_trial,
                }));
            }
            Answer::Refused(rejection) => return Err(rejection),
            Answer::NoLeader => return Ok(None),
        }
    }
}

/// Counts a request as waiting for an adapter until dropped.
struct AdapterWaitGuard {
    gateway: Arc<Gateway>,
    adapter: String,
}

impl AdapterWaitGuard {
    fn new(gateway: Arc<Gateway>, adapter: String) -> Self {
        gateway.view().count_waiting(&adapter, true);
        gateway.tally_wanted.notify_one();
        Self { gateway, adapter }
    }
}

impl Drop for AdapterWaitGuard {
    fn drop(&mut self) {
        self.gateway.view().count_waiting(&self.adapter, false);
    }
}
