//! The duty of a gateway: routes callers' requests to the replicas of services, on a platform whose
//! protocol a [`dialect::Dialect`] speaks.
//!
//! The path of a request is `server` → `forward` (classify, route) → `choose` → `exchange` →
//! `relay`. Beside it:
//!
//! * `configuration`: routes, services and limits in force.
//! * `schedule`: which waiting request goes to which replica; `ask` is the gateway's side of it.
//! * `view`: what this gateway knows of upstreams and adapters; `background` keeps it up to date.
//! * `hub`: the leader's part: reads the list, places adapters, tells the gateways.
//! * `placement`: which adapter is loaded where; `orders` carries it out.
//! * `upstream_list`: readings of the platform's list.
//! * `control`: what operators ask.
//! * `daemon`: everything started together.

pub mod ask;
pub mod background;
pub mod budget;
pub mod choose;
pub mod client;
pub mod configuration;
pub mod connection;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod document;
pub mod event_stream;
pub mod exchange;
pub mod forward;
pub mod hub;
pub mod message;
pub mod metrics;
pub mod orders;
pub mod pace;
pub mod patch;
pub mod placement;
pub mod relay;
pub mod schedule;
#[cfg(test)]
mod schedule_tests;
pub mod server;
pub mod settings;
#[cfg(test)]
mod tests;
pub mod upstream_list;
pub mod view;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{follower::Leader, id, verdict::Verdict};
use budget::Budget;
use configuration::Configuration;
use connection::Pool;
use dialect::Dialect;
use exchange::Job;
use forward::{Rejection, Trace};
use metrics::Metrics;
use relay::Progress;
use view::View;

/// Notices that may fail to come before the leader counts as lost.
const MISSED_NOTICES: u32 = 3;

/// One gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Host that it runs on.
    pub host: id::Host,
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Number drawn when the process started.
    pub session: u64,
    /// Protocol of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Figures for the operators.
    pub metrics: Metrics,
    /// Client of the group.
    pub leader: Leader,
    /// When the leader last told something.
    pub heard: watch::Sender<Option<Instant>>,
    /// Time between two notices, as the leader named it.
    pub interval: watch::Sender<Duration>,
    /// Tells that places changed.
    pub changed: watch::Sender<u64>,
    /// Tells that a request waits for an adapter.
    pub wanted: Notify,
    /// Whether the host is shutting down.
    pub draining: watch::Sender<bool>,
    view: Mutex<View>,
    budget: Mutex<Budget>,
    text: Mutex<Option<(u64, Bytes)>>,
    streams: Mutex<BTreeMap<String, message::Streams>>,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(
        host: id::Host,
        zone: id::Zone,
        session: u64,
        dialect: Arc<dyn Dialect>,
        leader: Leader,
        budget: budget::Config,
        version_bound: Duration,
    ) -> Self {
        Self {
            host,
            zone,
            session,
            dialect,
            pool: Pool::default(),
            metrics: Metrics::default(),
            leader,
            heard: watch::Sender::new(None),
            interval: watch::Sender::new(background::DEFAULT_TALLY_INTERVAL),
            changed: watch::Sender::new(0),
            wanted: Notify::new(),
            draining: watch::Sender::new(false),
            view: Mutex::new(View::new(version_bound)),
            budget: Mutex::new(Budget::new(budget)),
            text: Mutex::default(),
            streams: Mutex::default(),
        }
    }

    /// What it knows.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its budget of repeats.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the host is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether the leader has told something lately.
    pub fn hears_leader(&self, limit: Duration) -> bool {
        let heard = *self.heard.borrow();
        let limit = limit.max(*self.interval.borrow() * MISSED_NOTICES);
        heard.is_some_and(|heard| heard.elapsed() < limit)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.view().configuration.is_some()
    }

    /// Reads a configuration as the log carries it; one that cannot be read is logged.
    pub fn read_document(&self, document: &message::Document) -> Option<Configuration> {
        match document::unpack(&document.text) {
            Ok(text) => self.read_text(document.version, &text),
            Err(reason) => {
                let version = document.version;
                log::error!("event=configuration.unreadable version={version} reason={reason:?}");
                None
            }
        }
    }

    /// Reads the text of a configuration; one that cannot be read is logged.
    pub fn read_text(&self, version: u64, text: &Bytes) -> Option<Configuration> {
        match self.dialect.configuration(text) {
            Ok(configuration) => Some(configuration),
            Err(reason) => {
                log::error!("event=configuration.unreadable version={version} reason={reason:?}");
                None
            }
        }
    }

    /// Counts a stream of a service that has ended; `paused` says whether it paused for too long.
    pub fn count_stream(&self, service: &str, paused: bool) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = streams.entry(service.to_owned());
        let counts = entry.or_insert_with(|| message::Streams {
            service: service.to_owned(),
            ..message::Streams::default()
        });
        counts.ended += 1;
        counts.paused += u32::from(paused);
    }

    /// Takes the streams out that have ended since the last call.
    pub fn take_streams(&self) -> Vec<message::Streams> {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *streams).into_values().collect()
    }

    /// Text of the configuration in force, with its version.
    pub fn text(&self) -> MutexGuard<'_, Option<(u64, Bytes)>> {
        self.text.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the log line of a job that an upstream answered.
    pub fn log_end(
        &self,
        job: &Job,
        outcome: &str,
        verdict: Verdict,
        trace: &Trace,
        progress: &Progress,
    ) {
        self.metrics.request(&job.route.name, outcome);
        let now = Instant::now();
        log::info!(
            "event=request.end request={} route={} adapter={} outcome={outcome} verdict={verdict} \
             upstreams={} arrivals={} stalled_ms={} first_ms={} pause_ms={} total_ms={} failure={:?}",
            job.call.id,
            job.route.name,
            job.call.adapter.as_deref().unwrap_or("-"),
            trace.tried.join(","),
            trace.arrivals,
            trace.stalled.as_millis(),
            progress.first.map_or(-1, |first| first.as_millis() as i64),
            progress.longest_pause.as_millis(),
            now.duration_since(job.came).as_millis(),
            trace.last_failure,
        );
    }

    /// Writes the log line of a request that got an answer of the system's own.
    pub fn log_rejection(&self, id: &str, rejection: &Rejection, trace: &Trace, took: Duration) {
        self.metrics.request("-", rejection.status.as_str());
        log::info!(
            "event=request.reject request={id} status={} reason={:?} upstreams={} arrivals={} \
             stalled_ms={} total_ms={} retry_after_ms={} failure={:?}",
            rejection.status.as_u16(),
            rejection.reason,
            trace.tried.join(","),
            trace.arrivals,
            trace.stalled.as_millis(),
            took.as_millis(),
            rejection
                .retry_after
                .map_or(0, |after| after.as_millis() as u64),
            trace.last_failure,
        );
    }
}
