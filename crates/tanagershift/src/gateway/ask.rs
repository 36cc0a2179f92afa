//! How a gateway asks the leader for a replica.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use tokio::time::{Instant, timeout};

use super::{
    Gateway,
    dialect::Call as Head,
    exchange::Job,
    forward::Rejection,
    message::{Ask, Grant, Upstream},
};
use crate::{link::Call, wire::Body};

/// Longest wait for a leader's connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Time between two checks that the leader still tells what changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a notice after which gateways decide for themselves.
const LEADER_SILENT: Duration = Duration::from_millis(450);
/// Objectives after which a request that has not begun is refused. Callers give a stream up after four
/// without an event; late service is still worth something to them, so a refusal comes shortly before.
const GIVE_UP_OBJECTIVES: f64 = 2.8;
/// Part of an objective that reading the prompt and the way to the caller take.
const OBJECTIVE_MARGIN: f64 = 0.25;

/// What the leader says.
#[derive(Debug)]
pub enum Answer {
    /// The request goes to this replica, on this version; the stream is kept until it has ended.
    Granted(Arc<Upstream>, Option<u64>, Call),
    /// The request is refused.
    Refused(Rejection),
    /// There is no leader to ask; the gateway decides for itself.
    NoLeader,
}

/// Asks the leader for a replica for a job.
pub async fn ask(gateway: &Gateway, job: &Job, tried: &[String]) -> Answer {
    if !gateway.hears_leader(LEADER_SILENT) {
        return Answer::NoLeader;
    }
    let body = Body::Ask(message(gateway, job, tried));
    let opened = timeout(CONNECT_LIMIT, gateway.leader.call(body)).await;
    let Ok(Some(mut call)) = opened else {
        return Answer::NoLeader;
    };
    loop {
        match timeout(CHECK_INTERVAL, call.next()).await {
            Ok(Ok(Some(Body::Grant(grant)))) => return granted(gateway, grant, call),
            // It no longer leads, or the connection was lost.
            Ok(_) => return Answer::NoLeader,
            Err(_) if !gateway.hears_leader(LEADER_SILENT) => return Answer::NoLeader,
            Err(_) => {}
        }
    }
}

fn granted(gateway: &Gateway, grant: Grant, call: Call) -> Answer {
    if grant.replica.is_empty() {
        let mut rejection = Rejection::later(grant.reason);
        rejection.retry_after = Some(Duration::from_millis(grant.retry_after_ms));
        return Answer::Refused(rejection);
    }
    let upstream = gateway.view().upstream(&grant.replica);
    match upstream {
        Some(upstream) => {
            let version = (grant.version > 0).then_some(grant.version);
            Answer::Granted(upstream, version, call)
        }
        // The list that names it has not come yet.
        None => Answer::NoLeader,
    }
}

fn message(gateway: &Gateway, job: &Job, tried: &[String]) -> Ask {
    let now = Instant::now();
    let objective = job.came + job.route.objective.mul_f64(1.0 - OBJECTIVE_MARGIN);
    let give_up = job.route.objective.mul_f64(GIVE_UP_OBJECTIVES);
    let give_up = (job.came + give_up).min(job.until);
    let millis = |time: Instant| time.saturating_duration_since(now).as_millis() as u64;
    let late = now.saturating_duration_since(objective).as_millis() as i64;
    let (prompt, output) = job.call.tokens.unwrap_or((0, 0));
    let (digests, tokens) = digests(&job.call);
    Ask {
        request: job.call.id.clone(),
        service: job.service.clone(),
        model: job.call.model.clone().unwrap_or_default(),
        adapter: job.call.adapter.clone().unwrap_or_default(),
        zone: gateway.zone.clone(),
        prompt_tokens: prompt,
        max_output_tokens: output,
        prefix_digests: digests,
        part_tokens: tokens,
        priority: job.route.priority.into(),
        objective_ms: millis(objective) as i64 - late,
        give_up_ms: millis(give_up),
        tried: tried.to_vec(),
    }
}

/// Digests of a prompt's parts, each with the model, the adapter and all parts before it.
fn digests(head: &Head) -> (Vec<u64>, Vec<u32>) {
    let mut hasher = DefaultHasher::new();
    head.model.hash(&mut hasher);
    head.adapter.hash(&mut hasher);
    let digest = |(id, tokens): &(u64, u32)| {
        id.hash(&mut hasher);
        (hasher.finish(), *tokens)
    };
    head.parts.iter().map(digest).unzip()
}
