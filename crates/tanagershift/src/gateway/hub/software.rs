//! Lets streams go on at the software version that began them.
//!
//! A stream that is about to begin at another version than the baseline of its service is replicated
//! before its replica is granted, so that every later leader knows it, also after all hosts were killed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{sync::mpsc, time::Instant};

use super::{Input, LeaderState};
use crate::{
    gateway::{
        Gateway,
        configuration::{Configuration, RouteKind},
        message::{Ask, Grant, Notice},
        scheduler::JobNumber,
    },
    id,
    voter::{
        command::{Command, Order},
        software::{Baseline, Software, Stream, Streams},
    },
    wire::Body,
};

/// Time limit for the answer to a record, including the search for the leader.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Step of the time of day that forgets no stream too early.
const CLOCK_STEP: Duration = Duration::from_secs(60);
/// Longest time for which a stream may be taken up, if no configuration says it.
const DEFAULT_TAKE_UP_TIME: Duration = Duration::from_secs(60);

/// Why a stream is not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Nobody knows which version began it.
    Unknown,
    /// No replica of that version takes requests.
    Gone,
}

impl Refusal {
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::Unknown => "the software version that began the stream is not known",
            Self::Gone => "no replica of the software version that began the stream is live",
        }
    }
}

/// What the leader knows and records of software versions.
#[derive(Debug)]
pub(super) struct State {
    /// Term of the leader.
    term: id::Term,
    streams: Streams,
    /// Longest time for which a stream may be taken up.
    take_up_time: Duration,
    /// Part of it after the longest timeout of a route, since clients and clocks differ.
    margin: Duration,
    /// Requests that were refused to go on with a stream, since the last record of metrics.
    refused: u64,
    /// Since when no replica of the baseline is listed, by service.
    absent_since: BTreeMap<String, Instant>,
    /// Versions of the listed replicas, by service.
    listed: BTreeMap<String, BTreeMap<id::Software, usize>>,
    /// Grants that wait until their streams are replicated.
    held: Vec<(JobNumber, Stream, Grant)>,
    is_recording: bool,
}

/// Records that were proposed, and the grants that wait for them.
#[derive(Debug)]
pub struct Recorded {
    pub(super) software: Software,
    pub(super) grants: Vec<(JobNumber, Grant)>,
    is_committed: bool,
}

impl State {
    pub(super) fn new(term: id::Term, streams: &Streams, margin: Duration) -> Self {
        Self {
            term,
            streams: streams.clone(),
            take_up_time: DEFAULT_TAKE_UP_TIME,
            margin,
            refused: 0,
            absent_since: BTreeMap::new(),
            listed: BTreeMap::new(),
            held: Vec::new(),
            is_recording: false,
        }
    }

    pub(super) fn configure(&mut self, configuration: &Configuration) {
        let routes = configuration.routes();
        let streams = routes.filter(|route| route.kind == RouteKind::Stream);
        let longest = streams.map(|route| route.timeout).max();
        self.take_up_time = longest.unwrap_or(DEFAULT_TAKE_UP_TIME) + self.margin;
    }

    /// Replaces the versions of the listed replicas, each given with its service.
    pub(super) fn set_listed<'a>(
        &mut self,
        replicas: impl Iterator<Item = (&'a str, &'a str)>,
        now: Instant,
    ) {
        self.listed.clear();
        for (service, software) in replicas {
            let versions = self.listed.entry(service.to_owned()).or_default();
            *versions.entry(software.to_owned()).or_default() += 1;
        }
        let (listed, streams) = (&self.listed, &self.streams);
        let is_listed = |service: &str| {
            let baseline = streams.baseline(service);
            let versions = listed.get(service);
            baseline.is_none_or(|one| versions.is_some_and(|all| all.contains_key(one)))
        };
        self.absent_since.retain(|service, _| !is_listed(service));
        for service in listed.keys().filter(|service| !is_listed(service)) {
            self.absent_since.entry(service.clone()).or_insert(now);
        }
    }

    /// Version at which a request must run, if it continues a stream; `None` if any will do.
    ///
    /// # Errors
    ///
    /// The version that began the stream cannot be known.
    pub(super) fn required(&self, ask: &Ask) -> Result<Option<id::Software>, Refusal> {
        if ask.software.is_some() {
            return Ok(ask.software.clone());
        }
        if !ask.is_resumable || !ask.continues {
            return Ok(None);
        }
        let service = &ask.service;
        let known = match ask.resumes.as_str() {
            "" if self.is_mixed(service) => None,
            "" => self.streams.baseline(service),
            request => self.streams.software_of(service, request),
        };
        known
            .map(|one| Some(one.to_owned()))
            .ok_or(Refusal::Unknown)
    }

    /// Whether streams of a service may have begun at more than one version.
    fn is_mixed(&self, service: &str) -> bool {
        let listed = self.listed.get(service);
        let listed = listed.into_iter().flat_map(BTreeMap::keys);
        let mut versions: BTreeSet<&str> = listed.map(String::as_str).collect();
        versions.extend(self.streams.baseline(service));
        versions.len() > 1
    }

    /// Holds a grant back if its stream must be replicated first; returns it otherwise.
    pub(super) fn hold(
        &mut self,
        number: JobNumber,
        service: &str,
        request: &str,
        software: &str,
        grant: Grant,
    ) -> Option<Grant> {
        if self.streams.software_of(service, request) == Some(software) {
            return Some(grant);
        }
        let stream = Stream {
            service: service.to_owned(),
            request: request.to_owned(),
            software: software.to_owned(),
            at: 0,
        };
        self.held.push((number, stream, grant));
        None
    }

    /// Baselines that must change: of services that have none, or whose baseline has not been listed
    /// for as long as its streams can be taken up.
    fn changed_baselines(&self, now: Instant) -> Vec<Baseline> {
        let is_due = |service: &String| match self.streams.baseline(service) {
            None => true,
            Some(_) => {
                let since = self.absent_since.get(service);
                since.is_some_and(|since| now >= *since + self.take_up_time)
            }
        };
        let due = self.listed.iter().filter(|(service, _)| is_due(service));
        let most = due.filter_map(|(service, versions)| {
            let (software, _) = versions.iter().max_by_key(|(_, count)| **count)?;
            Some(Baseline {
                service: service.clone(),
                software: software.clone(),
            })
        });
        most.collect()
    }

    /// Counts a request that was refused to go on with a stream.
    pub(super) fn count_refusal(&mut self) {
        self.refused += 1;
    }

    /// Whether something waits to be replicated.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.is_recording && (!self.held.is_empty() || !self.changed_baselines(now).is_empty())
    }

    /// Applies a record at a time in milliseconds since 1970, unless it was not committed.
    pub(super) fn apply(&mut self, recorded: &Recorded, is_committed: bool, at: u64) {
        self.is_recording = false;
        if !is_committed {
            return;
        }
        self.streams.apply(&recorded.software, at);
        for Baseline { service, software } in &recorded.software.baselines {
            log::info!("event=software.baseline service={service} software={software}");
            self.absent_since.remove(service);
        }
    }

    /// Takes what must be replicated now; `None` if nothing must, or a record is under way.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<Recorded> {
        if !self.is_due(now) {
            return None;
        }
        self.is_recording = true;
        let baselines = self.changed_baselines(now);
        let (mut streams, mut grants) = (Vec::new(), Vec::new());
        for (number, stream, grant) in self.held.drain(..) {
            streams.push(stream);
            grants.push((number, grant));
        }
        Some(Recorded {
            software: Software {
                baselines,
                streams,
                keep_ms: (self.take_up_time + CLOCK_STEP).as_millis() as u64,
                term: self.term,
            },
            grants,
            is_committed: false,
        })
    }
}

impl LeaderState {
    /// Replicates streams and baselines, one record at a time.
    pub(super) fn record_software(
        &mut self,
        gateway: &Arc<Gateway>,
        inputs: &mpsc::Sender<Input>,
        now: Instant,
    ) {
        let refused = std::mem::take(&mut self.software.refused);
        gateway.metrics.refused_take_ups.inc_by(refused);
        let recorded_streams = self.recorded_streams() as i64;
        gateway.metrics.recorded_streams.set(recorded_streams);
        let Some(mut recorded) = self.software.take_due(now) else {
            return;
        };
        let command = Command::of(Order::Software(recorded.software.clone()));
        let (leader, inputs, term) = (gateway.leader.clone(), inputs.clone(), self.term);
        tokio::spawn(async move {
            let proposal = Body::Propose(command);
            let answer = leader.ask(proposal, RECORD_TIMEOUT, RECORD_TIMEOUT).await;
            recorded.is_committed = matches!(answer, Ok(Body::Outcome(_)));
            // Fails only while the process ends, since the hub runs until then.
            let _ = inputs.send(Input::Recorded(term, recorded)).await;
        });
    }

    /// Grants the replicas of streams that are replicated now, and refuses the others. `leads` says
    /// whether this host certainly still leads.
    pub(super) fn apply_recorded(&mut self, recorded: Recorded, leads: bool, now: Instant) {
        let is_committed = recorded.is_committed && leads;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = since_epoch.unwrap_or_default().as_millis() as u64;
        self.software.apply(&recorded, is_committed, at);
        if is_committed {
            if !recorded.software.baselines.is_empty() {
                let baselines = self.software.streams.baselines().collect();
                self.broadcast(&Notice {
                    baselines,
                    ..Notice::default()
                });
            }
        } else {
            let count = recorded.grants.len();
            log::warn!("event=software.unrecorded streams={count}");
        }
        for (number, grant) in recorded.grants {
            match is_committed {
                true => self.send_grant(number, grant, now),
                false => self.refuse(number, "its software version was not recorded in time", now),
            }
        }
    }

    /// Baselines of all services.
    pub(super) fn baselines(&self) -> Vec<Baseline> {
        self.software.streams.baselines().collect()
    }

    /// Number of streams that are recorded.
    pub(super) fn recorded_streams(&self) -> usize {
        self.software.streams.recorded()
    }
}
