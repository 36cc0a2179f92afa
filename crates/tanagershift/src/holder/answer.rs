//! Checks that an engine's answer is the one that was asked for, whole, and names the caller's model.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

use crate::completion::{self, with_model};

/// Largest event of a streamed answer in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Data of the event that ends a streamed answer.
const DONE: &[u8] = b"[DONE]";

/// Why an answer may not go to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Error {
    /// Another model answered.
    #[snafu(display("model {found} answered in place of {expected}"))]
    Model {
        /// Name that was asked for.
        expected: String,
        /// Name that answered.
        found: String,
    },
    /// Parts of two answers are mixed.
    #[snafu(display("completion {found} is mixed into {expected}"))]
    Mixed {
        /// Id of the first part.
        expected: String,
        /// Id of this part.
        found: String,
    },
    /// The bytes are not an answer.
    #[snafu(display("not an answer: {reason}"))]
    Invalid {
        /// What is wrong.
        reason: String,
    },
    /// The answer ended before its end was said.
    #[snafu(display("the answer was cut off"))]
    Cut,
}

/// What an answer must match.
#[derive(Clone, Debug)]
pub struct Check {
    /// Name of the adapter on the engine.
    name: String,
    /// Model that the caller used.
    model: String,
    /// Id of the completion, once known.
    id: Option<String>,
}

impl Check {
    /// Makes a check for one request.
    pub fn new(name: String, model: String) -> Self {
        Self {
            name,
            model,
            id: None,
        }
    }

    /// Checks a whole answer, or the data of one event, and names the caller's model in it.
    ///
    /// # Errors
    ///
    /// It is not the answer that was asked for.
    pub fn pass(&mut self, json: &[u8]) -> Result<Bytes, Error> {
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

/// Splits a streamed answer into events and checks each.
#[derive(Debug)]
pub struct Stream {
    check: Check,
    buffer: BytesMut,
    done: bool,
}

impl Stream {
    /// Starts a stream.
    pub fn new(check: Check) -> Self {
        Self {
            check,
            buffer: BytesMut::new(),
            done: false,
        }
    }

    /// Takes a part of the body; returns the events that are whole and checked.
    ///
    /// # Errors
    ///
    /// An event is not of the answer that was asked for.
    pub fn take(&mut self, part: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(part);
        let mut events = BytesMut::new();
        while let Some((end, gap)) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end).freeze();
            self.buffer.advance(gap);
            self.pass_event(&event, &mut events)?;
        }
        if self.buffer.len() > EVENT_LIMIT {
            return Err(Error::Invalid {
                reason: "an event is too long".to_owned(),
            });
        }
        Ok(events.freeze())
    }

    fn pass_event(&mut self, event: &[u8], events: &mut BytesMut) -> Result<(), Error> {
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
                events.extend_from_slice(&self.check.pass(data)?);
            }
            events.extend_from_slice(b"\n\n");
        }
        Ok(())
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// The end was not said, so the answer is not whole.
    pub fn end(&self) -> Result<(), Error> {
        if self.done {
            return Ok(());
        }
        Err(Error::Cut)
    }
}

/// Where the first whole event ends, and how many bytes separate it from the next.
fn event_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let plain = buffer.windows(2).position(|window| window == b"\n\n");
    let carriage = buffer.windows(4).position(|window| window == b"\r\n\r\n");
    match (plain, carriage) {
        (Some(plain), Some(carriage)) if carriage < plain => Some((carriage, 4)),
        (Some(plain), _) => Some((plain, 2)),
        (None, Some(carriage)) => Some((carriage, 4)),
        (None, None) => None,
    }
}
