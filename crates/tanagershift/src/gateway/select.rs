//! Selects the upstream for a request: the leader's, or one that the gateway selects itself.

use std::sync::Arc;

use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use super::{
    Gateway,
    absence::Absence,
    ask::{Answer, LEADER_SILENCE_LIMIT, ask, give_up_at},
    choose::{Choice, Requirements, choose},
    concurrency::Start,
    exchange::{Job, Resumption, SelectedUpstream},
    forward::{MIN_SERVICE_TIME, Rejection, STARTUP_WAIT, Trace},
    placement::Finding,
    quarantine::Standing,
};
use crate::{admission::Access, clock, id, link::Call};

/// Longest wait for a change in adapter placement before an upstream is selected again.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_millis(200);
/// Longest wait for another leader, which can say whether a stream is recorded. It covers an election.
const LEADER_WAIT: Duration = Duration::from_millis(1500);
/// Shortest time that a caller is told to wait for brittle upstreams that are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time since the last notice for which a request waits for a leader that counts it against its
/// account's quota. It covers the time after which gateways look for the next leader.
const COUNT_WAIT: Duration = Duration::from_millis(3000);
/// Time after which a gateway without a leader looks again for a free place at brittle upstreams.
const PLACE_RECHECK: Duration = Duration::from_millis(20);
/// Why a request is refused whose adapter no replica has while there is no leader.
const ABSENT_REASON: &str = "no replica has the adapter, and there is no leader to have it loaded";
/// Why a request is refused that cannot be counted against its account's quota.
const UNCOUNTED_REASON: &str = "the quota of the account is not known without a leader";
/// Why a stream is refused that may have to run at one of several software versions.
const UNKNOWN_SOFTWARE_REASON: &str =
    "the software version of the stream is not known without a leader";

/// Selects an upstream.
///
/// The leader selects one for requests that name a model, and for all requests to brittle upstreams.
/// Without a leader, and for other requests, the gateway selects one itself, and waits while no replica has
/// the adapter or base model that the request needs, or its share of the places is taken.
///
/// # Errors
///
/// No upstream may be sent the request, now or in time.
pub async fn select_upstream(
    gateway: &Arc<Gateway>,
    job: &Job,
    resumption: &Resumption,
    trace: &mut Trace,
) -> Result<SelectedUpstream, Rejection> {
    let began = Instant::now();
    reject_convicted(gateway, gateway.quarantine().standing(&job.keys))?;
    let is_bounded = gateway.view().shares.is_bounded(&job.service);
    if job.head.model.is_some() || is_bounded {
        if let Some(selected) = ask_leaders(gateway, job, resumption, trace).await? {
            return Ok(selected);
        }
        if let Some(adapter) = &job.head.adapter {
            gateway.view().count_request(adapter);
        }
    }
    let software = required_software(gateway, job, resumption)?;
    let mut leave = ask_leave(gateway, job, trace, began).await?;
    let is_trial = leave.is_some();
    pay(gateway, job, trace).await?;
    gateway.view().count_limited_demand(&job.service);
    let startup_until = job.received_at + STARTUP_WAIT.min((job.deadline - job.received_at) / 2);
    let mut wait_guard: Option<AdapterWaitGuard> = None;
    let mut changes = gateway.placement_changes.subscribe();
    loop {
        changes.mark_unchanged();
        let now = Instant::now();
        let turn = gateway.view().take_turn(&job.service, now);
        let requirements = Requirements {
            service: &job.service,
            model: job.head.model.as_deref(),
            adapter: job.head.adapter.as_deref(),
            software: software.as_deref(),
            tried: &trace.tried,
            zone: &gateway.zone,
            has_turn: turn == Some(Start::Now),
        };
        let choice = match turn {
            Some(Start::At(_)) => Choice::Full,
            Some(Start::Now) | None => choose(&gateway.view(), &requirements, now),
        };
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
                    grant: leave.take(),
                    is_assigned: false,
                    is_trial,
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
            Choice::Full => {
                let next_at = match turn {
                    Some(Start::At(next_at)) => next_at,
                    Some(Start::Now) | None => now + PLACE_RECHECK,
                };
                if next_at >= give_up_at(job) {
                    let mut rejection = Rejection::retry_later("every upstream is full");
                    rejection.retry_after = Some((next_at - now).max(FULL_RETRY_AFTER));
                    return Err(rejection);
                }
                sleep_until(next_at).await;
                // A leader that has begun meanwhile assigns the places.
                if leave.is_none()
                    && let Some(selected) = ask_leaders(gateway, job, resumption, trace).await?
                {
                    return Ok(selected);
                }
                continue;
            }
            // The host has just started, and the list is on its way.
            Choice::NoUpstream if now < startup_until && !has_list(gateway) => {}
            Choice::NoUpstream => {
                return Err(Rejection::retry_later("no upstream of the service is live"));
            }
            Choice::NoReplica if now + MIN_SERVICE_TIME >= job.deadline => {
                return Err(Rejection::retry_later("the adapter was not loaded in time"));
            }
            Choice::NoReplica => reject_absent(gateway, job, now)?,
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

/// Asks the leader for a replica, and the next one if it is lost while only a leader can know whether the
/// stream is recorded. Returns `None` if the gateway must select a replica itself.
async fn ask_leaders(
    gateway: &Arc<Gateway>,
    job: &Job,
    resumption: &Resumption,
    trace: &mut Trace,
) -> Result<Option<SelectedUpstream>, Rejection> {
    let mut lost_at = None;
    let mut notices = gateway.last_notice_at.subscribe();
    loop {
        notices.mark_unchanged();
        let is_answered = match ask_leader(gateway, job, resumption, trace).await? {
            Asked::Assigned(selected) => return Ok(Some(*selected)),
            Asked::Unassigned { is_answered } => is_answered,
        };
        if must_pay(job, trace) && gateway.try_spend_alone(job) {
            trace.is_counted = true;
        }
        let needs_leader = || needs_leader(gateway, job, resumption, trace);
        let lost_at = *lost_at.get_or_insert_with(Instant::now);
        let until = match (needs_leader(), waits_for_leader(gateway, job, trace)) {
            (true, _) => job.deadline.min(lost_at + LEADER_WAIT),
            (false, Some(until)) if !is_answered => until,
            (false, _) => return Ok(None),
        };
        // However the wait ends, the leader is asked again if there is time.
        let _ = timeout_at(until, notices.changed()).await;
        if Instant::now() >= until {
            return match needs_leader() {
                true => Err(Rejection::retry_later(UNKNOWN_SOFTWARE_REASON)),
                false => Ok(None),
            };
        }
    }
}

/// Until when a request waits for the next leader, if one was lost a moment ago: to brittle upstreams, since
/// others may have requests there that this host does not know of, and until it is counted against its
/// account's quota.
fn waits_for_leader(gateway: &Gateway, job: &Job, trace: &Trace) -> Option<Instant> {
    let wait = match gateway.view().shares.is_bounded(&job.service) {
        _ if must_pay(job, trace) => COUNT_WAIT,
        true => LEADER_WAIT,
        false => return None,
    };
    let lost_at = (*gateway.last_notice_at.borrow())?;
    let until = (lost_at + wait).min(give_up_at(job));
    (Instant::now() < until).then_some(until)
}

/// Whether only a leader can know the software version of a stream: one may have recorded it, or it may
/// have begun at a replica that this host has not heard of.
fn needs_leader(gateway: &Gateway, job: &Job, resumption: &Resumption, trace: &Trace) -> bool {
    if !job.route.resumable || resumption.software.is_some() {
        return false;
    }
    let view = gateway.view();
    let may_be_recorded = trace.may_be_recorded && view.has_other_software(&job.service);
    // If the host was suspended meanwhile, this is later than the arrival of the request.
    let arrived_at = clock::now() - job.received_at.elapsed();
    let may_be_unknown = job.head.continues_stream() && !view.has_list_since(arrived_at);
    may_be_recorded || may_be_unknown
}

/// Waits until the list is current, from a leader or by a reading of this gateway. Returns whether it is.
pub async fn await_current_list(gateway: &Gateway, job: &Job) -> bool {
    let until = job.deadline.min(Instant::now() + LEADER_WAIT);
    let mut notices = gateway.last_notice_at.subscribe();
    let mut changes = gateway.placement_changes.subscribe();
    while !gateway.view().confirms_run(clock::now()) {
        let heard = async {
            // Fail only while the process ends.
            tokio::select! {
                _ = notices.changed() => {}
                _ = changes.changed() => {}
            }
        };
        if timeout_at(until, heard).await.is_err() {
            return false;
        }
    }
    true
}

/// Software version that this gateway must select by itself for a stream; `None` if any will do.
///
/// # Errors
///
/// The version that began the stream is not known without a leader, or none may begin one.
fn required_software(
    gateway: &Gateway,
    job: &Job,
    resumption: &Resumption,
) -> Result<Option<id::Software>, Rejection> {
    if resumption.software.is_some() || !job.route.resumable {
        return Ok(resumption.software.clone());
    }
    let view = gateway.view();
    let software = match job.head.continues_stream() {
        true => view.take_up_software(&job.service),
        false => view.begin_software(&job.service),
    };
    match software {
        // Without a list the request waits for it, or is refused for that.
        None if view.has_list() => Err(Rejection::retry_later(UNKNOWN_SOFTWARE_REASON)),
        software => Ok(software),
    }
}

/// Whether a request must still be counted against its account's quota.
fn must_pay(job: &Job, trace: &Trace) -> bool {
    !trace.is_counted && job.cost() > 0
}

/// Counts a request that this gateway selects an upstream for against its account's quota: at the leader or,
/// without one, out of this host's part.
///
/// # Errors
///
/// The quota is used, or no leader can count the request and this host's part does not suffice.
async fn pay(gateway: &Arc<Gateway>, job: &Job, trace: &mut Trace) -> Result<(), Rejection> {
    if !must_pay(job, trace) {
        return Ok(());
    }
    // Leaders count requests that they assign, and could not be asked for one.
    let is_plain = job.head.model.is_none() && !gateway.view().shares.is_bounded(&job.service);
    let mut notices = gateway.last_notice_at.subscribe();
    loop {
        notices.mark_unchanged();
        if is_plain {
            match ask(gateway, job, &Resumption::default(), &[], false).await {
                Answer::Refused(rejection) => return Err(rejection),
                Answer::Allowed(_) | Answer::Granted { .. } => trace.is_counted = true,
                Answer::NoLeader | Answer::Unanswered => {}
            }
        }
        if !trace.is_counted && gateway.try_spend_alone(job) {
            trace.is_counted = true;
        }
        if trace.is_counted {
            return Ok(());
        }
        let until = waits_for_leader(gateway, job, trace).filter(|_| is_plain);
        let Some(until) = until else {
            return Err(Rejection::retry_later(UNCOUNTED_REASON));
        };
        // However the wait ends, the request is counted if it can be.
        let _ = timeout_at(until, notices.changed()).await;
    }
}

/// Asks the leader whether a suspected request may run on an upstream that this gateway selects.
/// Returns `None` if the request is not suspected, or else the call that stays open while it runs.
///
/// # Errors
///
/// The leader rejects the request, or there is no leader that could let it run alone.
async fn ask_leave(
    gateway: &Arc<Gateway>,
    job: &Job,
    trace: &mut Trace,
    now: Instant,
) -> Result<Option<Call>, Rejection> {
    let standing = gateway.quarantine().standing_alone(&job.keys, now);
    let rejection = match (standing, &job.head.model) {
        (Standing::Clear, _) => return Ok(None),
        (Standing::Suspected, None) => {
            let resumption = Resumption::default();
            match ask(gateway, job, &resumption, &[], trace.is_counted).await {
                Answer::Allowed(call) => {
                    trace.is_counted = true;
                    return Ok(Some(call));
                }
                Answer::Refused(rejection) => rejection,
                Answer::Granted { .. } | Answer::NoLeader | Answer::Unanswered => {
                    Rejection::quarantined(standing)
                }
            }
        }
        // The leader assigns requests that name a model, and could not be asked.
        (Standing::Suspected, Some(_)) | (Standing::Convicted, _) => {
            Rejection::quarantined(standing)
        }
    };
    gateway.metrics.quarantined_requests.inc();
    Err(rejection)
}

/// Rejects a request that crashes replicas, or has a prompt part which does.
fn reject_convicted(gateway: &Gateway, standing: Standing) -> Result<(), Rejection> {
    if standing != Standing::Convicted {
        return Ok(());
    }
    gateway.metrics.quarantined_requests.inc();
    Err(Rejection::quarantined(standing))
}

/// Rejects a request if no replica has its adapter, there is no leader that could have it loaded, and its
/// caller is expected to leave before there is.
fn reject_absent(gateway: &Gateway, job: &Job, now: Instant) -> Result<(), Rejection> {
    let Some(adapter) = &job.head.adapter else {
        return Ok(());
    };
    let last_notice_at = *gateway.last_notice_at.borrow();
    let Some(last_notice_at) = last_notice_at else {
        return Ok(());
    };
    if gateway.heard_leader_within(LEADER_SILENCE_LIMIT) || !gateway.view().is_absent(adapter) {
        return Ok(());
    }
    let load_time = gateway
        .view()
        .store
        .and_then(|one| Finding::from(one).shortest);
    let absence = Absence {
        last_notice_at,
        order_silence: gateway.order_silence,
        load_time,
    };
    match absence.retry_after(give_up_at(job), now) {
        None => Ok(()),
        Some(after) => {
            let mut rejection = Rejection::retry_later(ABSENT_REASON);
            rejection.retry_after = Some(after);
            Err(rejection)
        }
    }
}

fn has_list(gateway: &Gateway) -> bool {
    gateway.view().has_list()
}

/// Outcome of asking one leader.
#[derive(Debug)]
enum Asked {
    /// The leader has selected an upstream.
    Assigned(Box<SelectedUpstream>),
    /// The gateway must select one itself.
    Unassigned {
        /// Whether that needs no other leader: there is one, but it leaves the selection to gateways.
        is_answered: bool,
    },
}

/// Asks the leader for a replica, again if the replica leaves or has asked this gateway for a pause,
/// which the leader may not know yet.
async fn ask_leader(
    gateway: &Arc<Gateway>,
    job: &Job,
    resumption: &Resumption,
    trace: &mut Trace,
) -> Result<Asked, Rejection> {
    let began = Instant::now();
    let mut excluded = trace.tried.clone();
    if job.head.model.is_none() {
        excluded.extend(gateway.view().ejected(&job.service, began));
    }
    loop {
        let paused = gateway
            .view()
            .service_paused_until(&job.service, Instant::now());
        if paused.is_some() {
            return Ok(Asked::Unassigned { is_answered: true });
        }
        match ask(gateway, job, resumption, &excluded, trace.is_counted).await {
            Answer::Granted {
                upstream,
                version,
                call,
                is_trial,
            } => {
                trace.is_counted = true;
                let access = gateway
                    .view()
                    .admission
                    .access(&upstream.name, Instant::now());
                if access != Access::Open {
                    gateway.log_withheld(&job.head.id, &upstream.name, access);
                    excluded.push(upstream.name.clone());
                    continue;
                }
                trace.may_be_recorded = true;
                trace.replica_wait += began.elapsed();
                gateway
                    .metrics
                    .replica_wait
                    .observe(began.elapsed().as_secs_f64());
                return Ok(Asked::Assigned(Box::new(SelectedUpstream {
                    upstream,
                    version,
                    grant: Some(call),
                    is_assigned: true,
                    is_trial,
                })));
            }
            Answer::Refused(rejection) => return Err(rejection),
            Answer::Unanswered => {
                trace.may_be_recorded = true;
                return Ok(Asked::Unassigned { is_answered: false });
            }
            Answer::NoLeader => return Ok(Asked::Unassigned { is_answered: false }),
            // A leader of an older version does not assign requests of plain services.
            Answer::Allowed(_) => {
                trace.is_counted = true;
                return Ok(Asked::Unassigned { is_answered: true });
            }
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
