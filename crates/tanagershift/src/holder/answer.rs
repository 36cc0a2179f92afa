//! Checks that an engine's answer is complete and belongs to the request.
//!
//! The adapter's name in the answer is replaced by the caller's model name.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

use crate::completion::{self, with_model};

/// Size limit of the buffered start of an event that is not complete yet.
const EVENT_LIMIT_BYTES: usize = 1 << 20;
/// Data of the last event of a streamed answer.
const DONE: &[u8] = b"[DONE]";

/// Reason for withholding an answer from the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Error {
    /// The answer names another model than the request.
    #[snafu(display("model {found} answered in place of {expected}"))]
    Model {
        /// Adapter name in the request.
        expected: String,
        /// Model name in the answer.
        found: String,
    },
    /// The answer contains parts of another completion.
    #[snafu(display("completion {found} is mixed into {expected}"))]
    Mixed {
        /// Completion id of the first part.
        expected: String,
        /// Completion id of this part.
        found: String,
    },
    /// The answer cannot be parsed.
    #[snafu(display("not an answer: {reason}"))]
    Invalid {
        /// Description of the fault.
        reason: String,
    },
    /// The stream ended without its final event.
    #[snafu(display("the answer was cut off"))]
    Truncated,
}

/// Check of one request's answer against the adapter name and the completion id.
#[derive(Clone, Debug)]
pub struct Check {
    /// Name of the adapter on the engine.
    name: String,
    /// Model name that the caller used.
    model: String,
    /// Id of the completion, taken from the first part of the answer.
    id: Option<String>,
}

impl Check {
    /// Makes a check for a request that ran on adapter `name` of the engine; `model` is the name
    /// that the caller used.
    pub fn new(name: String, model: String) -> Self {
        Self {
            name,
            model,
            id: None,
        }
    }

    /// Checks a whole answer, or the data of one event, and replaces the adapter's name in it by
    /// the caller's model name.
    ///
    /// # Errors
    ///
    /// The data cannot be parsed or does not belong to the request.
    pub fn rewrite(&mut self, json: &[u8]) -> Result<Bytes, Error> {
        let answer = completion::answer(json).map_err(|reason| Error::Invalid { reason })?;
        if answer.model != self.name {
            return Err(Error::Model {
                expected: self.name.clone(),
                found: answer.model,
            });
        }
        let id = self.id.get_or_insert_with(|| answer.id.clone());
        if *id != answer.id {
            return Err(Error::Mixed {
                expected: id.clone(),
                found: answer.id,
            });
        }
        Ok(with_model(json, &answer.span, &self.model))
    }
}

/// Splits a streamed answer into events, and checks and rewrites each.
#[derive(Debug)]
pub struct Stream {
    check: Check,
    /// Start of an event that is not complete yet.
    buffer: BytesMut,
    /// Whether the final event was read.
    done: bool,
}

impl Stream {
    /// Makes an empty stream whose events must pass `check`.
    pub fn new(check: Check) -> Self {
        Self {
            check,
            buffer: BytesMut::new(),
            done: false,
        }
    }

    /// Adds a part of the body and returns the events that it completes, checked and rewritten.
    ///
    /// # Errors
    ///
    /// An event is too long, cannot be parsed, does not belong to the request or follows the final
    /// event.
    pub fn push(&mut self, part: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(part);
        let mut events = BytesMut::new();
        while let Some((end, separator)) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end).freeze();
            self.buffer.advance(separator);
            self.rewrite_event(&event, &mut events)?;
        }
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(Error::Invalid {
                reason: "an event is too long".to_owned(),
            });
        }
        Ok(events.freeze())
    }

    /// Checks and rewrites the `data:` lines of an event, each as an event of its own; other lines
    /// are dropped.
    fn rewrite_event(&mut self, event: &[u8], events: &mut BytesMut) -> Result<(), Error> {
        for line in event.split(|byte| *byte == b'\n') {
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            let data = data.trim_ascii();
            if self.done {
                return Err(Error::Invalid {
                    reason: "data after the end".to_owned(),
                });
            }
            events.extend_from_slice(b"data: ");
            if data == DONE {
                self.done = true;
                events.extend_from_slice(DONE);
            } else {
                events.extend_from_slice(&self.check.rewrite(data)?);
            }
            events.extend_from_slice(b"\n\n");
        }
        Ok(())
    }

    /// Checks that the stream is complete; called at the end of the body.
    ///
    /// # Errors
    ///
    /// The final event is missing.
    pub fn finish(&self) -> Result<(), Error> {
        if self.done {
            return Ok(());
        }
        Err(Error::Truncated)
    }
}

/// Length of the first complete event, and of the separator that follows it, in bytes.
fn event_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let lf = buffer.windows(2).position(|window| window == b"\n\n");
    let crlf = buffer.windows(4).position(|window| window == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some((crlf, 4)),
        (Some(lf), _) => Some((lf, 2)),
        (None, Some(crlf)) => Some((crlf, 4)),
        (None, None) => None,
    }
}
