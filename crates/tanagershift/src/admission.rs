//! Whether this host may send requests to an upstream.
//!
//! An upstream announces in its answers that it leaves, or asks this host for a pause with a 503 and
//! `Retry-After`. Both marks are kept by the name of the upstream. Answers and the current time go
//! in, decisions come out; besides, new marks are logged.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};
use tokio::time::Instant;

use crate::{emit, id};

/// Header by which an upstream announces that it leaves.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("server-leaving");
/// Requests that may be sent to an upstream during the pause that it asked for.
const SENDS_PER_PAUSE: u32 = 2;
/// Maximum pause that is kept.
const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Pause after a `Retry-After` that cannot be read.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a mark is kept after the upstream was last listed. Entries of the list may be
/// unreadable for a while.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Why a `Retry-After` is not used as it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not a number of seconds.
    Unreadable,
    /// It is below zero.
    Negative,
    /// It is longer than the maximum pause.
    TooLong,
}

/// A parsed `Retry-After` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// Pause to keep.
    pub pause: Duration,
    /// Why the pause differs from the header; `None` if it does not.
    pub fault: Option<Fault>,
}

impl RetryAfter {
    /// Parses a number of seconds, which may have a fraction. A date or any other text results in a
    /// short pause.
    pub fn parse(text: &str) -> Self {
        let faulty = |pause, fault| Self {
            pause,
            fault: Some(fault),
        };
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds > MAX_PAUSE.as_secs_f64() => faulty(MAX_PAUSE, Fault::TooLong),
            Ok(seconds) if seconds >= 0.0 => Self {
                pause: Duration::from_secs_f64(seconds),
                fault: None,
            },
            Ok(seconds) if seconds < 0.0 => faulty(UNREADABLE_PAUSE, Fault::Negative),
            // Not a number, or a text that does not parse.
            Ok(_) | Err(_) => faulty(UNREADABLE_PAUSE, Fault::Unreadable),
        }
    }
}

/// What an answer of an upstream says about further requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// Whether the upstream leaves.
    pub leaving: bool,
    /// Pause that the upstream asks for.
    pub retry_after: Option<RetryAfter>,
}

impl Signal {
    /// Reads the signal from the head of an answer. `Retry-After` counts only with status 503.
    pub fn from_head(status: StatusCode, headers: &HeaderMap, leaving: bool) -> Self {
        let header = headers.get(RETRY_AFTER);
        let header = header.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        Self {
            leaving,
            retry_after: header.map(|value| RetryAfter::parse(value.to_str().unwrap_or_default())),
        }
    }
}

/// How this host learnt of a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the answer to a request.
    Answer,
    /// From the answer to an order.
    Order,
    /// From a report of the upstream.
    Report,
    /// From the leader.
    Leader,
}

impl Origin {
    /// Name of the origin in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Order => "order",
            Self::Report => "report",
            Self::Leader => "leader",
        }
    }
}

/// Whether an upstream may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Requests may be sent.
    Open,
    /// The upstream asked for a pause.
    Paused {
        /// When it asked for the first time.
        since: Instant,
        /// End of the pause.
        until: Instant,
        /// Requests that may still be sent before it.
        sends_left: u32,
    },
    /// The upstream leaves and gets no new requests.
    Leaving {
        /// When this host learnt it.
        since: Instant,
        /// How this host learnt it.
        origin: Origin,
    },
}

impl Access {
    /// Logs a request that was not sent to the upstream that was selected for it.
    pub fn log_withheld(self, request: &str, upstream: &str, now: Instant) {
        let (reason, since, origin) = match self {
            Self::Open => return,
            Self::Paused { since, .. } => ("pause", since, Origin::Answer),
            Self::Leaving { since, origin } => ("leaving", since, origin),
        };
        emit!(
            SEND_WITHHELD,
            "request={request} upstream={upstream} reason={reason} age_ms={} origin={}",
            now.saturating_duration_since(since).as_millis(),
            origin.as_str()
        );
    }

    /// Time until requests may be sent again, if that is known.
    pub fn time_left(self, now: Instant) -> Option<Duration> {
        match self {
            Self::Paused { until, .. } => Some(until.saturating_duration_since(now)),
            Self::Open | Self::Leaving { .. } => None,
        }
    }

    /// Whether a request may be sent now.
    pub fn is_permitted(self) -> bool {
        match self {
            Self::Open => true,
            Self::Paused { sends_left, .. } => sends_left > 0,
            Self::Leaving { .. } => false,
        }
    }
}

/// Which marks of an upstream are new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// It leaves.
    pub left: bool,
    /// It is paused and was not before.
    pub paused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    since: Instant,
    origin: Origin,
    /// Whether the leader that this host watches is known to have the mark.
    confirmed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Instant,
    until: Instant,
    sends_left: u32,
}

/// Marks of the upstreams that leave or that asked this host for a pause.
#[derive(Debug, Default)]
pub struct Admission {
    departures: BTreeMap<id::Upstream, Departure>,
    pauses: BTreeMap<id::Upstream, Pause>,
    /// Time after which a departure is forgotten; `None` if the name of an upstream changes with
    /// each of its starts, so that the mark ends with the name.
    departure_ttl: Option<Duration>,
}

impl Admission {
    /// Creates marks for upstreams that keep their names when they restart; departures are forgotten
    /// after `ttl`.
    pub fn with_departure_ttl(ttl: Duration) -> Self {
        Self {
            departure_ttl: Some(ttl),
            ..Self::default()
        }
    }

    /// Records and logs what an answer of an upstream says.
    pub fn observe(
        &mut self,
        upstream: &str,
        signal: Signal,
        origin: Origin,
        now: Instant,
    ) -> Change {
        let left = signal.leaving && self.record_leaving(upstream, origin, now);
        if left {
            let origin = origin.as_str();
            emit!(UPSTREAM_ANNOUNCED, "upstream={upstream} origin={origin}");
        }
        let Some(retry_after) = signal.retry_after else {
            return Change {
                left,
                paused: false,
            };
        };
        let pause_ms = retry_after.pause.as_millis();
        if let Some(fault) = retry_after.fault {
            emit!(
                RETRY_AFTER_INVALID,
                "upstream={upstream} fault={fault:?} pause_ms={pause_ms}"
            );
        }
        let paused = self.record_pause(upstream, retry_after.pause, now);
        if paused {
            let origin = origin.as_str();
            emit!(
                UPSTREAM_PAUSED,
                "upstream={upstream} pause_ms={pause_ms} origin={origin}"
            );
        }
        Change { left, paused }
    }

    /// Records that an upstream leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, upstream: &str, origin: Origin, now: Instant) -> bool {
        if self.is_leaving(upstream, now) {
            return false;
        }
        let departure = Departure {
            since: now,
            origin,
            confirmed: false,
        };
        self.departures.insert(upstream.to_owned(), departure);
        true
    }

    /// Records a pause that an upstream asks for. A pause in progress is only ever extended, and
    /// the requests that were sent in it stay counted. Returns whether the upstream was open before.
    pub fn record_pause(&mut self, upstream: &str, pause: Duration, now: Instant) -> bool {
        if pause.is_zero() {
            return false;
        }
        self.pauses.retain(|_, pause| now < pause.until);
        let until = now + pause;
        match self.pauses.get_mut(upstream) {
            Some(known) => {
                known.until = known.until.max(until);
                false
            }
            None => {
                let pause = Pause {
                    since: now,
                    until,
                    sends_left: SENDS_PER_PAUSE,
                };
                self.pauses.insert(upstream.to_owned(), pause);
                true
            }
        }
    }

    /// Whether requests may be sent to an upstream.
    pub fn access(&self, upstream: &str, now: Instant) -> Access {
        if let Some(departure) = self.departure(upstream, now) {
            return Access::Leaving {
                since: departure.since,
                origin: departure.origin,
            };
        }
        match self.pauses.get(upstream) {
            Some(pause) if now < pause.until => Access::Paused {
                since: pause.since,
                until: pause.until,
                sends_left: pause.sends_left,
            },
            _ => Access::Open,
        }
    }

    /// Whether an upstream has announced that it leaves.
    pub fn is_leaving(&self, upstream: &str, now: Instant) -> bool {
        self.departure(upstream, now).is_some()
    }

    fn departure(&self, upstream: &str, now: Instant) -> Option<&Departure> {
        let ttl = self.departure_ttl;
        let departure = self.departures.get(upstream);
        departure.filter(|departure| ttl.is_none_or(|ttl| now < departure.since + ttl))
    }

    /// Counts a request that is about to be written to an upstream.
    ///
    /// # Errors
    ///
    /// The request must not be sent; the access says why.
    pub fn admit(&mut self, upstream: &str, now: Instant) -> Result<(), Access> {
        let access = self.access(upstream, now);
        if !access.is_permitted() {
            return Err(access);
        }
        if let (Access::Paused { .. }, Some(pause)) = (access, self.pauses.get_mut(upstream)) {
            pause.sends_left -= 1;
        }
        Ok(())
    }

    /// End of the first pause to end among some upstreams; `None` if one of them is open or none is
    /// paused.
    pub fn paused_until<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        for upstream in upstreams {
            match self.access(upstream, now) {
                Access::Open => return None,
                Access::Paused { until, .. } => {
                    first = Some(first.map_or(until, |first| first.min(until)));
                }
                Access::Leaving { .. } => {}
            }
        }
        first
    }

    /// Upstreams that asked for a pause, with the time that is left of it.
    pub fn pauses(&self, now: Instant) -> impl Iterator<Item = (&id::Upstream, Duration)> {
        let pauses = self.pauses.iter();
        pauses
            .filter(move |(_, pause)| now < pause.until)
            .map(move |(name, pause)| (name, pause.until - now))
    }

    /// Departures that the leader is not known to have.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &id::Upstream> {
        let departures = self.departures.iter();
        departures
            .filter(|(_, departure)| !departure.confirmed)
            .map(|(name, _)| name)
    }

    /// Records that the leader has the departure of an upstream.
    pub fn confirm(&mut self, upstream: &str) {
        if let Some(departure) = self.departures.get_mut(upstream) {
            departure.confirmed = true;
        }
    }

    /// Forgets which departures the leader has, since another one is watched from now on.
    pub fn forget_confirmations(&mut self) {
        for departure in self.departures.values_mut() {
            departure.confirmed = false;
        }
    }

    /// Drops marks that have expired or whose upstream has not been listed for a while.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>, now: Instant) {
        let ttl = self.departure_ttl.unwrap_or(UNLISTED_TTL);
        let is_listed = |name: &str| self.departure_ttl.is_none() && listed.contains(name);
        self.departures
            .retain(|name, departure| is_listed(name) || now < departure.since + ttl);
        self.pauses.retain(|_, pause| now < pause.until);
    }
}
