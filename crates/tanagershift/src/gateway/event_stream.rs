//! Whole events of a stream (`text/event-stream`), cut from bytes that arrive in any pieces.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; a longer one is passed on in pieces.
const EVENT_LIMIT: usize = 256 << 10;

/// Cuts a stream into whole events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes and returns all events that are whole.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && ends_event(&bytes) {
            self.note(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let end = match end_of_events(&self.partial) {
            Some(end) => end,
            None if self.partial.len() > EVENT_LIMIT => self.partial.len(),
            None => return Bytes::new(),
        };
        let whole = self.partial.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    /// Bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn note(&mut self, events: &[u8]) {
        let ids = events.split(|byte| *byte == b'\n').rev();
        let id = ids.filter_map(|line| line.strip_prefix(b"id:")).next();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last = id.or(self.last);
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Offset behind the last whole event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|window| window == b"\n\n");
    let carriage = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    let plain = plain.map(|at| at + 2);
    plain.max(carriage.map(|at| at + 4))
}
