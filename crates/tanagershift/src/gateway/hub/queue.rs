//! Requests that ask the leader for a replica.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{Asked, Leading};
use crate::{
    gateway::{
        message::{Ask, Demand, Grant},
        placement,
        schedule::{Candidate, Decision, Job, Number, Part},
    },
    link::Responder,
    wire::Body,
};

/// Time between two checks for requests that have ended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Wait at busy replicas after which one more gets the adapter.
const PRESS_AFTER: Duration = Duration::from_millis(400);
/// Time after which a refused request may come back.
const RETRY_AFTER: Duration = Duration::from_millis(1000);

impl Leading {
    /// Puts a request for a replica in the queue, unless it is known that none can serve it in time.
    pub(super) fn ask(&mut self, ask: Ask, responder: Responder, now: Instant) {
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
        self.placement.demand(&[demand], now);
        let patience = Duration::from_millis(ask.give_up_ms);
        let wait = self.placement.load_wait(wanted, self.orders_from, now);
        if let Some(wait) = wait.filter(|wait| *wait > patience) {
            self.refuse_hopeless(&ask, wait, responder);
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        let asked = Asked {
            request: ask.request.clone(),
            responder,
            came: now,
        };
        self.asked.insert(number, asked);
        self.schedule.add(job(number, ask, now));
    }

    /// Refuses a request whose adapter would come after its caller has given up; it may come back when
    /// the queue has moved on.
    fn refuse_hopeless(&self, ask: &Ask, wait: Duration, responder: Responder) {
        log::info!(
            "event=schedule.hopeless request={} load_wait_ms={} give_up_ms={} waiting={}",
            ask.request,
            wait.as_millis(),
            ask.give_up_ms,
            self.asked.len()
        );
        responder.finish_now(Body::Grant(Grant {
            retry_after_ms: wait.max(RETRY_AFTER).as_millis() as u64,
            reason: "its adapter cannot be loaded in time".to_owned(),
            ..Grant::default()
        }));
    }

    /// Forgets requests that have ended.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let ended = self
            .asked
            .iter()
            .filter(|(_, asked)| asked.responder.is_cancelled());
        let ended: Vec<Number> = ended.map(|(number, _)| *number).collect();
        for number in ended {
            self.end(number);
        }
    }

    pub(super) fn end(&mut self, number: Number) {
        self.asked.remove(&number);
        if let Some(running) = self.schedule.end(number)
            && let Some(adapter) = &running.adapter
        {
            self.placement.count_use(&running.replica, adapter, false);
        }
    }

    /// Gives replicas to requests, and asks the placement for what is missing.
    pub(super) fn decide(&mut self, now: Instant) {
        let (placement, others, memory) = (&self.placement, &self.others, &self.memory);
        let candidate = |replica: &placement::Replica, version: Option<u64>| Candidate {
            name: replica.upstream.name.clone(),
            zone: replica.upstream.zone.clone(),
            slots: replica.upstream.slots,
            memory: memory.get(&replica.upstream.service).copied().unwrap_or(0),
            others: others.get(&replica.upstream.name).copied().unwrap_or(0),
            version,
        };
        let (mut missing, mut tried) = (Vec::new(), Vec::new());
        let decisions = self.schedule.decide(now, |group, oldest, jobs| {
            let mine = |one: &&placement::Replica| one.upstream.service == group.service;
            let Some(adapter) = &group.adapter else {
                let holders = placement.holders(&group.model).filter(mine);
                return holders.map(|one| candidate(one, None)).collect();
            };
            let usable = placement.usable(adapter, now).into_iter();
            let usable = usable.filter(|(one, _)| mine(one));
            let found: Rc<[Candidate]> = usable
                .map(|(one, version)| candidate(one, Some(version)))
                .collect();
            if found.is_empty() {
                missing.push((adapter.clone(), jobs));
            } else if found.iter().all(|one| oldest.tried.contains(&one.name)) {
                tried.push(adapter.clone());
            }
            found
        });
        for (adapter, jobs) in missing {
            self.placement.want(&adapter, jobs as u32, now);
        }
        let pressed = self.schedule.pressed(PRESS_AFTER, now);
        let pressed = pressed.filter_map(|group| group.adapter.clone());
        for adapter in tried.into_iter().chain(pressed) {
            self.placement.press(&adapter, now);
        }
        self.schedule.adapt(now);
        for decision in decisions {
            self.tell_decision(decision, now);
        }
    }

    pub(super) fn tell_decision(&mut self, decision: Decision, now: Instant) {
        match decision {
            Decision::Send {
                number,
                replica,
                adapter,
                version,
                cost_ms,
                holders,
            } => {
                if let Some(adapter) = &adapter {
                    self.placement.count_use(&replica, adapter, true);
                }
                let Some(asked) = self.asked.get(&number) else {
                    return;
                };
                log::info!(
                    "event=schedule.send request={} replica={replica} version={} cost_ms={cost_ms} \
                     holders={holders} running={} waited_ms={} waiting={}",
                    asked.request,
                    version.unwrap_or(0),
                    self.schedule.running(&replica),
                    now.duration_since(asked.came).as_millis(),
                    self.schedule.waiting(),
                );
                let grant = Body::Grant(Grant {
                    replica,
                    version: version.unwrap_or(0),
                    ..Grant::default()
                });
                if asked.responder.send_now(grant).is_err() {
                    self.end(number);
                }
            }
            Decision::Refuse { number, holders } => {
                let Some(asked) = self.asked.remove(&number) else {
                    return;
                };
                log::info!(
                    "event=schedule.refuse request={} waited_ms={} waiting={} holders={holders}",
                    asked.request,
                    now.duration_since(asked.came).as_millis(),
                    self.asked.len()
                );
                asked.responder.finish_now(Body::Grant(Grant {
                    retry_after_ms: RETRY_AFTER.as_millis() as u64,
                    reason: "no replica could begin it in time".to_owned(),
                    ..Grant::default()
                }));
            }
        }
    }
}

/// What the schedule must know of a request.
fn job(number: Number, ask: Ask, now: Instant) -> Job {
    let objective = Duration::from_millis(ask.objective_ms.unsigned_abs());
    let objective = match ask.objective_ms >= 0 {
        true => now + objective,
        false => now.checked_sub(objective).unwrap_or(now),
    };
    let parts = ask.prefix_digests.iter().zip(&ask.part_tokens);
    let part = |(digest, tokens): (&u64, &u32)| Part {
        digest: *digest,
        tokens: *tokens,
    };
    Job {
        number,
        parts: parts.map(part).collect(),
        service: ask.service,
        model: ask.model,
        adapter: (!ask.adapter.is_empty()).then_some(ask.adapter),
        zone: ask.zone,
        prompt: ask.prompt_tokens,
        output: ask.max_output_tokens,
        priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
        came: now,
        objective,
        give_up: now + Duration::from_millis(ask.give_up_ms),
        tried: ask.tried,
    }
}
