//! Splits a stream of server-sent events (`text/event-stream`) into complete events, however its bytes
//! are chunked.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is complete; longer bytes are no event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes of the stream and returns all events that are now complete.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && ends_event(&bytes) {
            self.record_last_id(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let Some(end) = end_of_events(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.record_last_id(&complete);
        complete
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

    fn record_last_id(&mut self, events: &[u8]) {
        let ids = events.split(|byte| *byte == b'\n').rev();
        let id = ids.filter_map(|line| line.strip_prefix(b"id:")).next();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last_id = id.or(self.last_id);
    }
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
