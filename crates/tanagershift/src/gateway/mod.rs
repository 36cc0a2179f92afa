//! The gateway: routes callers' requests to the replicas of services, on a platform whose protocol is
//! implemented by a [`dialect::Dialect`].
//!
//! A request passes through `server`, `forward` (parsing, route, retries), `select` with `ask` and
//! `choose` (selection of an upstream), `exchange` (one attempt) and `relay` (response body). The
//! other parts:
//!
//! * `configuration`: routes, services and limits in force; `account`: client accounts; `identity`: who a
//!   caller is.
//! * `scheduler`: assigns waiting requests to replicas on the leader; `ask` is the gateway's side.
//! * `fleet`: what hosts and the leader tell each other when there are many.
//! * `view`: what this gateway knows about upstreams and adapters; `background` keeps it up to date.
//! * `hub`: the leader's side: reads the platform's upstream list, places adapters and notifies the
//!   gateways.
//! * `placement`: decides which adapter is loaded on which replica; `orders` carries it out.
//! * `signal`: applies what upstreams' answers say about further requests.
//! * `quarantine`: finds prompt parts that crash replicas, and keeps their requests away.
//! * `concurrency`: bounds the requests that are open at brittle upstreams.
//! * `quota`: how much client accounts use, over all hosts together.
//! * `limit`: request rates that upstreams in need have named.
//! * `overload`: which late requests are refused early; `fair_use`: what client accounts get of too
//!   little room.
//! * `connect`: connects to upstreams, directly or through another host (`tunnel`, `tunnel_stream`);
//!   `reach` decides which,
//!   `helpers` selects the hosts.
//! * `absence`: requests for adapters that no replica has while there is no leader.
//! * `upstream_list`: reads the list page by page.
//! * `answer_end`: whether answers that end with their connections are whole.
//! * `continuation`: what may follow within an answer that broke off.
//! * `budget`: one budget of memory for all that the host holds for others.
//! * `bodies`: reads bodies as far as the budget allows.
//! * `body_buffer`: bodies of requests and responses while they arrive.
//! * `callers`: bounds callers' connections.
//! * `pressure`: logs and counts what is refused for want of memory or connections.
//! * `progress`: times of one attempt.
//! * `control`: serves operators' requests.
//! * `daemon`: starts all parts and shuts them down.

pub mod absence;
pub mod account;
#[cfg(test)]
mod account_tests;
pub mod answer_end;
pub mod ask;
pub mod background;
pub mod bodies;
pub mod body_buffer;
pub mod budget;
pub mod callers;
pub mod choose;
pub mod client;
pub mod compression;
pub mod concurrency;
pub mod configuration;
pub mod connect;
pub mod connection;
pub mod continuation;
pub mod control;
pub mod cost;
#[cfg(test)]
mod cost_tests;
pub mod daemon;
mod detour_message;
pub mod dialect;
pub mod evaluate;
pub mod event_stream;
pub mod exchange;
pub mod fair_use;
#[cfg(test)]
mod fair_use_tests;
pub mod fleet;
pub mod forward;
pub mod helpers;
pub mod hub;
pub mod identity;
pub mod job;
pub mod limit;
#[cfg(test)]
mod limit_tests;
pub mod message;
pub mod metrics;
pub mod orders;
pub mod overload;
pub mod pace;
#[cfg(test)]
mod pace_tests;
pub mod patch;
pub mod placement;
pub mod pressure;
pub mod progress;
pub mod prompt_cache;
#[cfg(test)]
mod prompt_cache_tests;
pub mod prompt_rate;
pub mod quarantine;
pub mod quota;
pub mod reach;
#[cfg(test)]
mod reach_tests;
pub mod relay;
pub mod replica_load;
pub mod retry_budget;
pub mod scheduler;
#[cfg(test)]
mod scheduler_tests;
pub mod select;
pub mod server;
pub mod settings;
pub mod signal;
pub mod spread;
#[cfg(test)]
mod spread_tests;
#[cfg(test)]
mod take_up_tests;
#[cfg(test)]
mod tests;
pub mod tunnel;
pub mod tunnel_stream;
#[cfg(test)]
mod tunnel_tests;
#[cfg(test)]
mod uneven_tests;
pub mod upstream_list;
pub mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep_until},
};

use crate::{clock, follower::Leader, id, verdict::Verdict};
use configuration::Configuration;
use connection::Pool;
use dialect::Dialect;
use exchange::Job;
use forward::{Rejection, Trace};
use metrics::Metrics;
use pressure::Pressure;
use progress::Progress;
use quarantine::Register;
use quota::allowance::Allowance;
use relay::StreamTiming;
use retry_budget::RetryBudget;
use view::View;

/// Number of notice intervals without a notice that [`Gateway::heard_leader_within`] tolerates,
/// even if the limit that it is called with is shorter.
const MAX_MISSED_NOTICES: u32 = 3;

/// State that the tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    /// Host that the gateway runs on.
    pub host: id::Host,
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Random number that identifies this run of the process.
    pub session: u64,
    /// Protocol of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Which connections to upstreams work.
    pub reach: reach::Shared,
    /// Upstreams that are asked whether they still run.
    pub confirmations: answer_end::Confirmations,
    /// Services over whose kept connections nothing can arrive any more.
    pub dead_services: watch::Sender<BTreeSet<String>>,
    /// Metrics for the operators.
    pub metrics: Metrics,
    /// Client for the leader of the voters' group.
    pub leader: Leader,
    /// When the last notice from the leader arrived; `None` before the first.
    pub last_notice_at: watch::Sender<Option<Instant>>,
    /// Time between two notices, and between two tallies, as the leader announced it.
    pub notice_interval: watch::Sender<Duration>,
    /// Number that grows with each change of the upstream list or of adapter placement; it wakes
    /// requests that wait for an adapter.
    pub placement_changes: watch::Sender<u64>,
    /// Triggers a tally ahead of its interval: a request waits for an adapter, or an upstream
    /// leaves or has asked for a pause.
    pub tally_wanted: Notify,
    /// Whether the host is shutting down.
    pub draining: watch::Sender<bool>,
    /// Until when requests may be answered; `None` unless the host is shutting down.
    pub answer_until: watch::Sender<Option<Instant>>,
    /// Whether a configuration is in force.
    pub configured: watch::Sender<bool>,
    /// When the process started.
    pub started_at: Instant,
    /// Time after an earlier leader's last order before which another one sends none.
    pub order_silence: Duration,
    /// Memory that is held for others.
    pub memory: budget::Shared,
    /// Connections of callers.
    pub callers: callers::Shared,
    pressure: Pressure,
    view: Mutex<View>,
    budget: Mutex<RetryBudget>,
    quarantine: Mutex<Register>,
    allowance: Mutex<Allowance>,
    configuration_text: Mutex<Option<(u64, Bytes)>>,
    /// Counts of streams, by service and, if that is uneven, by replica.
    streams: Mutex<BTreeMap<(String, id::Upstream), message::Streams>>,
}

impl Gateway {
    /// Makes a gateway without a configuration and without known upstreams.
    pub fn new(
        host: id::Host,
        zone: id::Zone,
        session: u64,
        dialect: Arc<dyn Dialect>,
        leader: Leader,
        budget: retry_budget::Config,
        version_bound: Duration,
    ) -> Self {
        Self {
            host,
            zone,
            session,
            dialect,
            pool: Pool::default(),
            reach: reach::Shared::default(),
            confirmations: answer_end::Confirmations::default(),
            dead_services: watch::Sender::default(),
            metrics: Metrics::default(),
            leader,
            last_notice_at: watch::Sender::new(None),
            notice_interval: watch::Sender::new(background::DEFAULT_TALLY_INTERVAL),
            placement_changes: watch::Sender::new(0),
            tally_wanted: Notify::new(),
            draining: watch::Sender::new(false),
            answer_until: watch::Sender::new(None),
            configured: watch::Sender::new(false),
            started_at: Instant::now(),
            order_silence: settings::DEFAULT_ORDER_SILENCE,
            memory: budget::Shared::default(),
            callers: callers::Shared::default(),
            pressure: Pressure::default(),
            view: Mutex::new(View::new(version_bound)),
            budget: Mutex::new(RetryBudget::new(budget)),
            quarantine: Mutex::default(),
            allowance: Mutex::new(Allowance::new(clock::now())),
            configuration_text: Mutex::default(),
            streams: Mutex::default(),
        }
    }

    /// Locks the gateway's view of configuration, upstreams and adapters.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what the gateway knows of prompt parts that crash replicas.
    pub fn quarantine(&self) -> MutexGuard<'_, Register> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what the gateway may spend of accounts' quotas without a leader.
    pub fn allowance(&self) -> MutexGuard<'_, Allowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Spends what a request costs out of this host's part of its account's quota. Returns whether the
    /// request may be sent.
    pub fn try_spend_alone(&self, job: &Job) -> bool {
        let Some(account) = job.caller.account() else {
            return true;
        };
        let Some(quota) = &account.quota else {
            return true;
        };
        let (interval, now) = (*self.notice_interval.borrow(), clock::now());
        let mut allowance = self.allowance();
        allowance.try_spend(
            &account.name,
            quota,
            job.cost(),
            interval,
            now,
            &mut rand::rng(),
        )
    }

    /// Whether the configuration in force limits any account.
    pub fn has_quotas(&self) -> bool {
        let configuration = self.view().configuration.clone();
        configuration.is_some_and(|configuration| configuration.has_quotas())
    }

    /// Whether the host is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Waits until the host, which is shutting down, must have answered all requests.
    pub async fn answers_are_due(&self) {
        let mut answer_until = self.answer_until.subscribe();
        let until = match answer_until.wait_for(Option::is_some).await {
            Ok(until) => *until,
            // Fails only while the process ends.
            Err(_) => None,
        };
        match until {
            Some(until) => sleep_until(until).await,
            None => std::future::pending().await,
        }
    }

    /// Whether a request that takes until a deadline can be answered before the host ends.
    pub fn outlives(&self, deadline: Instant) -> bool {
        self.answer_until
            .borrow()
            .is_none_or(|until| deadline <= until)
    }

    /// Whether a notice from the leader arrived within `limit`, or within the last
    /// `MAX_MISSED_NOTICES` notice intervals if those take longer.
    pub fn heard_leader_within(&self, limit: Duration) -> bool {
        let last_notice_at = *self.last_notice_at.borrow();
        let limit = limit.max(*self.notice_interval.borrow() * MAX_MISSED_NOTICES);
        last_notice_at.is_some_and(|at| at.elapsed() < limit)
    }

    /// Whether the balancer should send callers to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.view().configuration.is_some()
    }

    /// Decompresses and parses a configuration from the replicated log. On failure, logs the reason
    /// and returns `None`.
    pub fn read_document(&self, document: &message::Document) -> Option<Configuration> {
        match compression::decompress(&document.text) {
            Ok(text) => self.parse_configuration(document.version, &text),
            Err(reason) => {
                let version = document.version;
                log::error!("event=configuration.unreadable version={version} reason={reason:?}");
                None
            }
        }
    }

    /// Parses the text of a configuration. On failure, logs the reason and returns `None`.
    pub fn parse_configuration(&self, version: u64, text: &Bytes) -> Option<Configuration> {
        match self.dialect.parse_configuration(text) {
            Ok(configuration) => Some(configuration),
            Err(reason) => {
                log::error!("event=configuration.unreadable version={version} reason={reason:?}");
                None
            }
        }
    }

    /// Counts a stream of a service that was relayed to its end. `gap_exceeded` says whether a gap
    /// between two of its events was longer than the objective of its route.
    /// `run` is the replica that ran all of it, with the output tokens that were expected and its
    /// timing.
    pub fn count_stream(
        &self,
        service: &str,
        gap_exceeded: bool,
        run: Option<(&str, u32, &StreamTiming)>,
    ) {
        let is_uneven = self.view().paces.is_uneven(service, Instant::now());
        let run = run.filter(|_| is_uneven);
        let upstream = run.map_or("", |(upstream, ..)| upstream);
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = streams.entry((service.to_owned(), upstream.to_owned()));
        let counts = entry.or_insert_with(|| message::Streams {
            service: service.to_owned(),
            upstream: upstream.to_owned(),
            ..message::Streams::default()
        });
        if let Some((_, tokens, timing)) = run {
            counts.output_tokens += u64::from(tokens);
            counts.span_ms += timing.span.as_millis() as u64;
            counts.events += timing.events.saturating_sub(1);
        }
        counts.ended += 1;
        counts.gap_exceeded += u32::from(gap_exceeded);
    }

    /// Takes the counts of streams since the last call.
    pub fn take_stream_counts(&self) -> Vec<message::Streams> {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *streams).into_values().collect()
    }

    /// Locks the text of the configuration in force, with its version.
    pub fn configuration_text(&self) -> MutexGuard<'_, Option<(u64, Bytes)>> {
        self.configuration_text
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs and counts the end of a request that an upstream answered.
    pub fn log_end(
        &self,
        job: &Job,
        outcome: &str,
        verdict: Verdict,
        trace: &Trace,
        timing: &StreamTiming,
    ) {
        self.metrics.count_request(&job.route.name, outcome);
        let now = Instant::now();
        log::info!(
            "event=request.end request={} route={} adapter={} outcome={outcome} verdict={verdict} \
             upstreams={} arrivals={} stalled_ms={} first_ms={} pause_ms={} total_ms={} failure={:?}",
            job.head.id,
            job.route.name,
            job.head.adapter.as_deref().unwrap_or("-"),
            trace.tried.join(","),
            trace.arrivals,
            trace.replica_wait.as_millis(),
            timing
                .first_event
                .map_or(-1, |time| time.as_millis() as i64),
            timing.longest_gap.as_millis(),
            now.duration_since(job.received_at).as_millis(),
            trace.last_failure,
        );
    }

    /// Logs an attempt whose answer broke off, at the time at which it did. The request may go on
    /// elsewhere.
    pub fn log_broken(&self, job: &Job, upstream: &str, progress: &Progress, reason: &str) {
        let parts = job.head.prompt_parts.iter();
        let parts: Vec<String> = parts.map(|(id, _)| format!("{id:x}")).collect();
        log::info!(
            "event=answer.broken request={} digest={:016x} upstream={upstream} parts={} {progress} \
             reason={reason:?}",
            job.head.id,
            job.digest,
            parts.join(","),
        );
    }

    /// Logs and counts a request that the gateway rejected itself.
    pub fn log_rejection(&self, id: &str, rejection: &Rejection, trace: &Trace, took: Duration) {
        self.metrics.count_request("-", rejection.status.as_str());
        log::info!(
            "event=request.reject request={id} status={} reason={:?} upstreams={} arrivals={} \
             stalled_ms={} total_ms={} retry_after_ms={} failure={:?}",
            rejection.status.as_u16(),
            rejection.reason,
            trace.tried.join(","),
            trace.arrivals,
            trace.replica_wait.as_millis(),
            took.as_millis(),
            rejection
                .retry_after
                .map_or(0, |after| after.as_millis() as u64),
            trace.last_failure,
        );
    }
}
