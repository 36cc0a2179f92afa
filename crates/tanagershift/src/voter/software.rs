//! Which software version of its service began each stream.
//!
//! A stream may only go on at the version that began it. While one version of a service serves, nothing
//! needs to be known of each stream: all belong to the baseline. A stream that begins at another version
//! is recorded before it is sent, so that an unrecorded one is known to belong to the baseline.

use std::collections::{BTreeMap, VecDeque};

use prost::Message;

use crate::id;

/// Number of streams that are recorded; the oldest ones are forgotten.
const MAX_STREAMS: usize = 65_536;

/// Records software versions of services and streams.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Software {
    /// Changed baselines.
    #[prost(message, repeated, tag = "1")]
    pub baselines: Vec<Baseline>,
    /// Streams that are about to begin.
    #[prost(message, repeated, tag = "2")]
    pub streams: Vec<Stream>,
    /// Milliseconds for which streams are kept from now on.
    #[prost(uint64, tag = "3")]
    pub keep_ms: u64,
    /// Term of the leader that records them.
    #[prost(uint64, tag = "4")]
    pub term: u64,
}

/// Version that began all streams of a service that are not recorded.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Baseline {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Software version.
    #[prost(string, tag = "2")]
    pub software: String,
}

/// A stream and the version that begins it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Stream {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id of the request that the stream answers.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Software version.
    #[prost(string, tag = "3")]
    pub software: String,
    /// When it was recorded, in milliseconds since 1970; only in snapshots.
    #[prost(uint64, tag = "4")]
    pub at: u64,
}

/// Service and request id of a stream.
type Name = (String, String);

/// Software versions of streams that can be taken up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Streams {
    baselines: BTreeMap<String, id::Software>,
    recorded: BTreeMap<Name, (u64, id::Software)>,
    /// Times and names of recorded streams, oldest first; a stream that was recorded again has more
    /// than one.
    order: VecDeque<(u64, Name)>,
}

impl Streams {
    /// Version of all unrecorded streams of a service; `None` before any is known.
    pub fn baseline(&self, service: &str) -> Option<&str> {
        self.baselines.get(service).map(String::as_str)
    }

    /// Baselines of all services.
    pub fn baselines(&self) -> impl Iterator<Item = Baseline> {
        let baselines = self.baselines.iter();
        baselines.map(|(service, software)| Baseline {
            service: service.clone(),
            software: software.clone(),
        })
    }

    /// Version that began the stream of a request; `None` if it cannot be known.
    pub fn software_of(&self, service: &str, request: &str) -> Option<&str> {
        let name = (service.to_owned(), request.to_owned());
        let recorded = self.recorded.get(&name);
        let recorded = recorded.map(|(_, software)| software.as_str());
        recorded.or_else(|| self.baseline(service))
    }

    /// Number of recorded streams.
    pub fn recorded(&self) -> usize {
        self.recorded.len()
    }

    /// Applies a record at a time in milliseconds since 1970.
    pub fn apply(&mut self, software: &Software, at: u64) {
        for baseline in &software.baselines {
            let Baseline { service, software } = baseline.clone();
            self.baselines.insert(service, software);
        }
        for stream in &software.streams {
            self.record(stream, at);
        }
        let expired_before = at.saturating_sub(software.keep_ms);
        while let Some((at, _)) = self.order.front()
            && (*at < expired_before || self.order.len() > MAX_STREAMS)
        {
            self.forget_oldest();
        }
    }

    fn record(&mut self, stream: &Stream, at: u64) {
        let name = (stream.service.clone(), stream.request.clone());
        let value = (at, stream.software.clone());
        self.recorded.insert(name.clone(), value);
        self.order.push_back((at, name));
    }

    fn forget_oldest(&mut self) {
        if let Some((at, name)) = self.order.pop_front()
            && self
                .recorded
                .get(&name)
                .is_some_and(|(last, _)| *last == at)
        {
            self.recorded.remove(&name);
        }
    }

    /// The recorded streams for a snapshot, oldest first.
    pub fn streams(&self) -> impl Iterator<Item = Stream> {
        self.order.iter().filter_map(|(at, name)| {
            let (last, software) = self.recorded.get(name)?;
            (last == at).then(|| Stream {
                service: name.0.clone(),
                request: name.1.clone(),
                software: software.clone(),
                at: *at,
            })
        })
    }

    /// Restores the state of a snapshot.
    pub fn restore(baselines: Vec<Baseline>, streams: &[Stream]) -> Self {
        let mut restored = Self::default();
        for Baseline { service, software } in baselines {
            restored.baselines.insert(service, software);
        }
        for stream in streams {
            restored.record(stream, stream.at);
        }
        restored
    }
}
