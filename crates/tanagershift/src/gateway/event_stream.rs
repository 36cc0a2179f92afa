//! Splits a stream of server-sent events (`text/event-stream`) into complete events, however its bytes
//! are chunked.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Longest event that is held back until it is complete; longer bytes are no event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why events are not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Error {
    /// The first event does not follow the one after which the stream must go on.
    #[snafu(display("the events do not follow event {after}"))]
    NotContinued {
        /// Id of the event after which the stream must go on.
        after: u64,
    },
}

/// Splits a stream into complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Id that the next event's must exceed; `None` once it has.
    must_follow: Option<u64>,
}

impl EventSplitter {
    /// Makes a splitter for a stream that goes on after an event.
    pub fn continuing(after: Option<u64>) -> Self {
        Self {
            must_follow: after,
            ..Self::default()
        }
    }

    /// Requires that the next event follows the last one.
    pub fn require_continuation(&mut self) {
        self.must_follow = self.last_id.or(self.must_follow);
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes of the stream and returns all events that are now complete.
    ///
    /// # Errors
    ///
    /// The stream must go on after an event, and these events do not.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, Error> {
        if self.partial.is_empty() && ends_event(&bytes) {
            self.record_events(&bytes)?;
            return Ok(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let Some(end) = end_of_events(&self.partial) else {
            return Ok(Bytes::new());
        };
        let complete = self.partial.split_to(end).freeze();
        self.record_events(&complete)?;
        Ok(complete)
    }

    /// Whether all bytes belong to complete events.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whether the bytes after the last complete event are too many to be one.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Takes the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn record_events(&mut self, events: &[u8]) -> Result<(), Error> {
        if let Some(after) = self.must_follow {
            match first_id(events) {
                First::Id(id) if id > after => self.must_follow = None,
                First::NoEvent => {}
                First::Id(_) | First::NoId => return NotContinuedSnafu { after }.fail(),
            }
        }
        let ids = events.split(|byte| *byte == b'\n').rev();
        let id = ids.filter_map(parse_id).next().flatten();
        self.last_id = id.or(self.last_id);
        Ok(())
    }
}

/// How the first event with data begins.
enum First {
    Id(u64),
    NoId,
    /// There are only comments.
    NoEvent,
}

/// Id of the first event that has data. Comments and other fields alone are no event.
fn first_id(events: &[u8]) -> First {
    let (mut id, mut has_data) = (None, false);
    for line in events.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() && has_data {
            break;
        }
        id = parse_id(line).or(id);
        has_data |= line.starts_with(b"data");
    }
    match (has_data, id.flatten()) {
        (true, Some(id)) => First::Id(id),
        (true, None) => First::NoId,
        (false, _) => First::NoEvent,
    }
}

/// Value of a line with an id; the inner `None` if it is no number.
fn parse_id(line: &[u8]) -> Option<Option<u64>> {
    let id = line.strip_prefix(b"id:")?;
    Some(
        std::str::from_utf8(id)
            .ok()
            .and_then(|id| id.trim().parse().ok()),
    )
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Offset of the first byte after the last complete event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|window| window == b"\n\n");
    let crlf = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    let lf = lf.map(|at| at + 2);
    lf.max(crlf.map(|at| at + 4))
}
