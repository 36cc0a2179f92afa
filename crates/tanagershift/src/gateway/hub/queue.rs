//! Handles gateways' requests for a replica.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{LeaderState, Payment, ReplicaRequest, TICK_INTERVAL, software};
use crate::{
    gateway::{
        message::{Ask, Demand, Grant, Upstream},
        placement, quarantine,
        scheduler::{Candidate, Decision, Job, JobNumber, PromptPart},
    },
    id,
    link::Responder,
    wire::Body,
};

/// Time between two checks for requests that have ended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which jobs may wait at busy replicas before their adapter is loaded on one more
/// replica.
const SATURATION_LIMIT: Duration = Duration::from_millis(400);
/// Minimum delay before a refused request should be retried.
const RETRY_AFTER: Duration = Duration::from_millis(1000);

impl LeaderState {
    /// Queues a request for a replica; refuses it if its adapter cannot be loaded before the caller
    /// gives up.
    pub(super) fn queue_request(
        &mut self,
        ask: Ask,
        payment: Option<Payment>,
        responder: Responder,
        now: Instant,
    ) {
        if ask.model.is_empty() {
            return self.add_request(ask, None, payment, responder, now);
        }
        self.record_paces(&ask.paces, now);
        let wanted = if ask.adapter.is_empty() {
            &ask.model
        } else {
            &ask.adapter
        };
        let demand = Demand {
            adapter: wanted.clone(),
            requests: 1,
            waiting: 0,
        };
        self.placement.record_demand(&[demand], now);
        let required = match self.required_software(&ask, now) {
            Ok(required) => required,
            Err(refusal) => {
                self.give_back(payment, now);
                self.software.count_refusal();
                return refuse_take_up(&ask, refusal, responder);
            }
        };
        let patience = Duration::from_millis(ask.give_up_ms);
        let wait = self.placement.load_wait(wanted, self.orders_from, now);
        if let Some(wait) = wait.filter(|wait| *wait > patience) {
            self.give_back(payment, now);
            self.refuse_late_load(&ask, wait, responder);
            return;
        }
        self.add_request(ask, required, payment, responder, now);
    }

    /// Queues a request that must run at a software version, if one is given.
    fn add_request(
        &mut self,
        ask: Ask,
        required: Option<id::Software>,
        payment: Option<Payment>,
        responder: Responder,
        now: Instant,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        let request = ReplicaRequest {
            id: ask.request.clone(),
            responder,
            received_at: now,
            payment,
        };
        self.requests.insert(number, request);
        self.scheduler.add(job_from_ask(number, ask, required, now));
    }

    /// Software version at which a request must run, if it continues a stream.
    fn required_software(
        &self,
        ask: &Ask,
        now: Instant,
    ) -> Result<Option<id::Software>, software::Refusal> {
        let required = self.software.required(ask)?;
        let placement = &self.placement;
        let serves = |one: &String| placement.serves_at(&ask.service, &ask.model, one, now);
        if required.as_ref().is_none_or(serves) {
            return Ok(required);
        }
        Err(software::Refusal::Gone)
    }

    /// Refuses a request whose adapter would be loaded only after its caller has given up. The
    /// caller may retry once fewer loads wait.
    fn refuse_late_load(&self, ask: &Ask, wait: Duration, responder: Responder) {
        log::info!(
            "event=schedule.hopeless request={} load_wait_ms={} give_up_ms={} waiting={}",
            ask.request,
            wait.as_millis(),
            ask.give_up_ms,
            self.requests.len()
        );
        responder.finish_now(Body::Grant(Grant {
            retry_after_ms: wait.max(RETRY_AFTER).as_millis() as u64,
            reason: "its adapter cannot be loaded in time".to_owned(),
            ..Grant::default()
        }));
    }

    /// Removes requests whose gateway has closed the stream.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        // A place at a brittle upstream is free again only when the end of its request is found.
        self.next_sweep = match self.ceilings.is_empty() {
            true => now + SWEEP_INTERVAL,
            false => now + TICK_INTERVAL,
        };
        let ended = self
            .requests
            .iter()
            .filter(|(_, request)| request.responder.is_cancelled());
        let ended: Vec<JobNumber> = ended.map(|(number, _)| *number).collect();
        for number in ended {
            self.end_request(number, now);
        }
    }

    pub(super) fn end_request(&mut self, number: JobNumber, now: Instant) {
        let request = self.requests.remove(&number);
        self.ledger.end_trial(number, now);
        let running = self.scheduler.end_job(number);
        if running.is_none() {
            // It was not sent.
            self.give_back(request.and_then(|request| request.payment), now);
        }
        if let Some(running) = running
            && let Some(adapter) = &running.adapter
        {
            self.placement.count_use(&running.replica, adapter, false);
        }
    }

    /// Assigns replicas to requests. Asks the placement to load adapters that no replica has, and
    /// to load on one more replica those whose replicas are saturated or were all tried.
    pub(super) fn decide(&mut self, now: Instant) {
        let (placement, unscheduled, capacity, pauses, ledger) = (
            &self.placement,
            &self.unscheduled_requests,
            &self.token_capacity,
            &self.pauses,
            &self.ledger,
        );
        let (ceilings, list, checks) = (&self.ceilings, &self.list, &self.checks);
        let candidate = |upstream: &Upstream, version: Option<u64>| Candidate {
            name: upstream.name.clone(),
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            ceiling: ceilings.ceiling(upstream, now),
            token_capacity: capacity.get(&upstream.service).copied().unwrap_or(0),
            unscheduled_requests: unscheduled.get(&upstream.name).copied().unwrap_or(0),
            version,
        };
        let (mut missing, mut tried, mut gone) = (Vec::new(), Vec::new(), Vec::new());
        let full = self.limits.full(now);
        let limits = &mut self.limits;
        let decisions =
            self.scheduler
                .decide(pauses, ledger, limits, now, |group, oldest, jobs| {
                    let serves_group = |one: &&placement::Replica| {
                        let software = &one.upstream.software;
                        one.upstream.service == group.service
                            && group
                                .software
                                .as_ref()
                                .is_none_or(|needed| needed == software)
                    };
                    let is_gone = || {
                        let mut holders = placement.holders(&group.model, now);
                        group.software.is_some() && !holders.any(|one| serves_group(&one))
                    };
                    let found: Rc<[Candidate]> = match &group.adapter {
                        None if group.model.is_empty() => {
                            let listed = list.upstreams.iter();
                            let live = listed
                                .filter(|one| one.service == group.service && !one.draining)
                                .filter(|one| !checks.is_gone(&one.name, now));
                            live.map(|one| candidate(one, None)).collect()
                        }
                        None => {
                            let holders = placement.holders(&group.model, now);
                            let holders = holders.filter(serves_group);
                            holders.map(|one| candidate(&one.upstream, None)).collect()
                        }
                        Some(adapter) => {
                            let usable = placement.usable(adapter, now).into_iter();
                            let usable = usable.filter(|(one, _)| serves_group(one));
                            usable
                                .map(|(one, version)| candidate(&one.upstream, Some(version)))
                                .collect()
                        }
                    };
                    if found.is_empty() && is_gone() {
                        gone.push(group.clone());
                        return found;
                    }
                    let Some(adapter) = &group.adapter else {
                        return found;
                    };
                    if found.is_empty() {
                        missing.push((adapter.clone(), group.software.clone(), jobs));
                    } else if found.iter().all(|one| {
                        full.contains(&one.name) || oldest.excludes(&one.name, pauses, now)
                    }) {
                        tried.push((adapter.clone(), group.software.clone()));
                    }
                    found
                });
        for (adapter, software, jobs) in missing {
            match software {
                Some(software) => self.placement.load_at(&adapter, &software, now),
                None => self.placement.request_load(&adapter, jobs as u32, now),
            }
        }
        let saturated = self.scheduler.saturated_groups(SATURATION_LIMIT, now);
        let saturated =
            saturated.filter_map(|group| Some((group.adapter.clone()?, group.software.clone())));
        let mut wanting = Vec::new();
        for (adapter, software) in tried.into_iter().chain(saturated) {
            match software {
                Some(software) => self.placement.load_at(&adapter, &software, now),
                None => wanting.push(adapter),
            }
        }
        self.placement.scale_out(wanting.iter(), now);
        self.scheduler.adapt(now);
        for decision in decisions {
            self.apply_decision(decision, now);
        }
        for group in gone {
            for number in self.scheduler.waiting_in(&group) {
                self.software.count_refusal();
                self.refuse(number, software::Refusal::Gone.reason(), now);
            }
        }
    }

    pub(super) fn apply_decision(&mut self, decision: Decision, now: Instant) {
        match decision {
            Decision::Send {
                number,
                replica,
                adapter,
                version,
                cost,
                pace,
                holders,
                is_trial,
            } => {
                if let Some(adapter) = &adapter {
                    self.placement.count_use(&replica, adapter, true);
                }
                if is_trial && let Some(keys) = self.scheduler.running_keys(number) {
                    self.ledger.begin_trial(keys, number, &replica);
                }
                let Some(request) = self.requests.get(&number) else {
                    return;
                };
                log::info!(
                    "event=schedule.send request={} replica={replica} version={} {cost} {pace} \
                     holders={holders} running={} waited_ms={} waiting={} trial={is_trial}",
                    request.id,
                    version.unwrap_or(0),
                    self.scheduler.running_on(&replica),
                    now.duration_since(request.received_at).as_millis(),
                    self.scheduler.waiting(),
                );
                let grant = Grant {
                    replica,
                    version: version.unwrap_or(0),
                    is_trial,
                    ..Grant::default()
                };
                self.grant(number, grant, now);
            }
            Decision::Bar { number } => {
                let Some(request) = self.requests.remove(&number) else {
                    return;
                };
                log::info!("event=schedule.bar request={}", request.id);
                self.give_back(request.payment, now);
                request.responder.finish_now(Body::Grant(Grant {
                    retry_after_ms: quarantine::CONVICTED_RETRY_AFTER.as_millis() as u64,
                    reason: quarantine::CONVICTED_REASON.to_owned(),
                    ..Grant::default()
                }));
            }
            Decision::Refuse {
                number,
                retry_after,
                holders,
            } => {
                if let Some(request) = self.requests.get(&number) {
                    log::info!(
                        "event=schedule.refuse request={} waited_ms={} waiting={} holders={holders} \
                         retry_after_ms={}",
                        request.id,
                        now.duration_since(request.received_at).as_millis(),
                        self.requests.len() - 1,
                        retry_after.map_or(0, |after| after.as_millis())
                    );
                }
                let after = retry_after.unwrap_or(RETRY_AFTER);
                self.refuse_until(number, "no replica could begin it in time", after, now);
            }
        }
    }

    /// Grants an assigned request its replica, unless its stream must be replicated first.
    fn grant(&mut self, number: JobNumber, grant: Grant, now: Instant) {
        let replica = self.placement.replicas().get(&grant.replica);
        let running = self.scheduler.running(number);
        let request = self.requests.get(&number);
        let grant = match (replica, running, request) {
            (Some(replica), Some(running), Some(request)) if running.is_resumable => {
                let upstream = &replica.upstream;
                let (service, software) = (&upstream.service, &upstream.software);
                self.software
                    .hold(number, service, &request.id, software, grant)
            }
            _ => Some(grant),
        };
        if let Some(grant) = grant {
            self.send_grant(number, grant, now);
        }
    }

    /// Sends a grant to the gateway of a request.
    pub(super) fn send_grant(&mut self, number: JobNumber, grant: Grant, now: Instant) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.responder.send_now(Body::Grant(grant)).is_err() {
            self.end_request(number, now);
        }
    }

    /// Refuses a request that may be retried later.
    pub(super) fn refuse(&mut self, number: JobNumber, reason: &str, now: Instant) {
        self.refuse_until(number, reason, RETRY_AFTER, now);
    }

    /// Refuses a request that may be retried after a time.
    fn refuse_until(&mut self, number: JobNumber, reason: &str, after: Duration, now: Instant) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        request.responder.finish_now(Body::Grant(Grant {
            retry_after_ms: after.as_millis() as u64,
            reason: reason.to_owned(),
            ..Grant::default()
        }));
        self.give_back(request.payment, now);
        self.end_request(number, now);
    }
}

/// Refuses to take up a stream that cannot go on at the software version that began it.
fn refuse_take_up(ask: &Ask, refusal: software::Refusal, responder: Responder) {
    log::info!(
        "event=software.refuse request={} resumes={} service={} reason={refusal:?}",
        ask.request,
        ask.resumes,
        ask.service
    );
    responder.finish_now(Body::Grant(Grant {
        retry_after_ms: RETRY_AFTER.as_millis() as u64,
        reason: refusal.reason().to_owned(),
        ..Grant::default()
    }));
}

/// Converts a request for a replica to a job of the scheduler.
fn job_from_ask(number: JobNumber, ask: Ask, software: Option<id::Software>, now: Instant) -> Job {
    let objective = Duration::from_millis(ask.objective_ms.unsigned_abs());
    let objective = match ask.objective_ms >= 0 {
        true => now + objective,
        false => now.checked_sub(objective).unwrap_or(now),
    };
    let keys = ask.keys();
    let parts = ask.prefix_digests.iter().zip(&ask.part_tokens);
    let part = |(digest, tokens): (&u64, &u32)| PromptPart {
        digest: *digest,
        tokens: *tokens,
    };
    let need = ask.need;
    let output = need.as_ref().map_or(0, |need| need.output_tokens);
    let gap_ms = need.as_ref().map_or(0, |need| need.gap_ms);
    Job {
        number,
        output_tokens: match output {
            0 => ask.max_output_tokens,
            tokens => tokens,
        },
        deadline: need.map(|need| now + Duration::from_millis(need.deadline_ms)),
        max_gap: (gap_ms > 0).then(|| Duration::from_millis(gap_ms.into())),
        parts: parts.map(part).collect(),
        service: ask.service,
        model: ask.model,
        adapter: (!ask.adapter.is_empty()).then_some(ask.adapter),
        zone: ask.zone,
        host: ask.host,
        prompt_tokens: ask.prompt_tokens,
        max_output_tokens: ask.max_output_tokens,
        priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
        received_at: now,
        objective,
        refuse_at: now + Duration::from_millis(ask.give_up_ms),
        tried: ask.tried,
        account: ask.account,
        software,
        is_resumable: ask.is_resumable,
        keys,
    }
}
