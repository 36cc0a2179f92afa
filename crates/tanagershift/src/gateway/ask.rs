//! Asks the leader to assign a replica to a request.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use tokio::time::{Instant, timeout};

use super::{
    Gateway,
    configuration::RouteKind,
    dialect::RequestHead,
    exchange::{Job, Resumption},
    forward::Rejection,
    message::{Ask, Grant, Need, Upstream, split_keys},
};
use crate::{link::Call, wire::Body};

/// Time limit for opening a call to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a waiting request checks that notices from the leader still arrive.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a notice after which gateways decide for themselves.
pub const LEADER_SILENCE_LIMIT: Duration = Duration::from_millis(450);
/// Multiple of the objective after which a request that has not begun is refused. Callers abandon a
/// stream after four objectives without an event. Service that begins before that is still useful
/// to them, so the refusal comes well after the objective.
const GIVE_UP_OBJECTIVES: f64 = 2.8;
/// Share of the time limit of a request without a stream after which it is refused if it has not begun.
const PLAIN_WAIT_SHARE: f64 = 0.8;
/// Share of the objective that is reserved for processing the prompt and delivering the answer.
const OBJECTIVE_MARGIN: f64 = 0.25;

/// Outcome of asking the leader.
#[derive(Debug)]
pub enum Answer {
    /// The leader has selected a replica.
    Granted {
        /// The replica.
        upstream: Arc<Upstream>,
        /// Version of the adapter to use there.
        version: Option<u64>,
        /// Stays open until the request has ended.
        call: Call,
        /// Whether the request may run although it, or a part of its prompt, is suspected.
        is_trial: bool,
    },
    /// The leader lets the request run, and the gateway selects the upstream. The call stays open
    /// until the request has ended.
    Allowed(Call),
    /// The leader refuses the request.
    Refused(Rejection),
    /// No leader can be asked; the gateway decides for itself.
    NoLeader,
    /// The leader was lost after it was asked. It may have recorded the software version at which it
    /// wanted the stream to begin.
    Unanswered,
}

/// Asks the leader to assign a replica to a job; `excluded` names the replicas that must not get it, and
/// `is_counted` says whether it was counted against its account's quota before.
pub async fn ask(
    gateway: &Gateway,
    job: &Job,
    resumption: &Resumption,
    excluded: &[String],
    is_counted: bool,
) -> Answer {
    if !gateway.heard_leader_within(LEADER_SILENCE_LIMIT) {
        return Answer::NoLeader;
    }
    let message = Ask {
        is_counted,
        ..ask_message(gateway, job, resumption, excluded)
    };
    let body = Body::Ask(message);
    let opened = timeout(CONNECT_TIMEOUT, gateway.leader.call(body)).await;
    let Ok(Some(mut call)) = opened else {
        return Answer::NoLeader;
    };
    loop {
        match timeout(CHECK_INTERVAL, call.next()).await {
            Ok(Ok(Some(Body::Grant(grant)))) => return answer_from_grant(gateway, grant, call),
            // The other host no longer leads, or the connection was lost.
            Ok(_) => return Answer::Unanswered,
            Err(_) if !gateway.heard_leader_within(LEADER_SILENCE_LIMIT) => {
                return Answer::Unanswered;
            }
            Err(_) => {}
        }
    }
}

fn answer_from_grant(gateway: &Gateway, grant: Grant, call: Call) -> Answer {
    if grant.is_unassigned {
        return Answer::Allowed(call);
    }
    if grant.replica.is_empty() {
        let after = Duration::from_millis(grant.retry_after_ms);
        if grant.is_over_quota {
            return Answer::Refused(Rejection::over_quota(grant.reason, after));
        }
        let mut rejection = Rejection::retry_later(grant.reason);
        rejection.retry_after = Some(after);
        return Answer::Refused(rejection);
    }
    let upstream = gateway.view().upstream(&grant.replica);
    match upstream {
        Some(upstream) => {
            let version = (grant.version > 0).then_some(grant.version);
            Answer::Granted {
                upstream,
                version,
                call,
                is_trial: grant.is_trial,
            }
        }
        // The upstream list that contains the replica has not arrived yet.
        None => Answer::Unanswered,
    }
}

fn ask_message(gateway: &Gateway, job: &Job, resumption: &Resumption, excluded: &[String]) -> Ask {
    let now = Instant::now();
    let objective = job.received_at + objective(job).mul_f64(1.0 - OBJECTIVE_MARGIN);
    let give_up = give_up_at(job);
    let millis = |time: Instant| time.saturating_duration_since(now).as_millis() as u64;
    let overdue_ms = now.saturating_duration_since(objective).as_millis() as i64;
    let (prompt, output) = job.head.tokens.unwrap_or((0, 0));
    let (digests, tokens) = part_digests(&job.head);
    let (part_ids, digest) = split_keys(&job.keys);
    let (is_bounded, paces) = {
        let mut view = gateway.view();
        let is_bounded = view.shares.is_bounded(&job.service);
        (is_bounded, view.paces.take_reports(now))
    };
    Ask {
        request: job.head.id.clone(),
        service: job.service.clone(),
        model: job.head.model.clone().unwrap_or_default(),
        adapter: job.head.adapter.clone().unwrap_or_default(),
        zone: gateway.zone.clone(),
        prompt_tokens: prompt,
        max_output_tokens: output,
        prefix_digests: digests,
        part_tokens: tokens,
        priority: job.rank.into(),
        objective_ms: millis(objective) as i64 - overdue_ms,
        give_up_ms: millis(give_up),
        tried: excluded.to_vec(),
        host: gateway.host.clone(),
        part_ids,
        digest,
        is_resumable: job.route.resumable,
        continues: job.head.continues_stream(),
        resumes: job.head.resumes.clone().unwrap_or_default(),
        software: resumption.software.clone(),
        account: job.account_name(),
        cost: job.cost(),
        is_counted: false,
        is_bounded,
        need: Some(Need {
            deadline_ms: millis(job.deadline),
            gap_ms: job
                .route
                .max_event_gap
                .map_or(0, |gap| gap.as_millis() as u32),
            output_tokens: job.head.output_tokens(),
        }),
        paces,
    }
}

/// Latency objective of a job. A route without one leaves half of its time to the service.
fn objective(job: &Job) -> Duration {
    match job.route.objective.is_zero() {
        true => job.route.timeout.div_f64(2.0 * GIVE_UP_OBJECTIVES),
        false => job.route.objective,
    }
}

/// When a job that still waits for a place is refused.
pub fn give_up_at(job: &Job) -> Instant {
    match job.route.kind {
        RouteKind::Stream => {
            let give_up = job.received_at + objective(job).mul_f64(GIVE_UP_OBJECTIVES);
            give_up.min(job.deadline)
        }
        // Callers wait for the whole answer, which comes at once.
        RouteKind::Idempotent | RouteKind::Once => {
            let time = job.deadline.saturating_duration_since(job.received_at);
            job.received_at + time.mul_f64(PLAIN_WAIT_SHARE)
        }
    }
}

/// Digest and token count of each part of a prompt. A digest covers the model, the adapter and all
/// parts up to its own.
fn part_digests(head: &RequestHead) -> (Vec<u64>, Vec<u32>) {
    let mut hasher = DefaultHasher::new();
    head.model.hash(&mut hasher);
    head.adapter.hash(&mut hasher);
    let digest = |(id, tokens): &(u64, u32)| {
        id.hash(&mut hasher);
        (hasher.finish(), *tokens)
    };
    head.prompt_parts.iter().map(digest).unzip()
}
