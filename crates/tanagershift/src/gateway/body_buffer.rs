//! Bodies of requests and responses that are held while they arrive.
//!
//! All bodies together are bounded by the host's budget, since both sides may send bytes without end. A
//! body grows by segments: a contiguous buffer that doubles needs three times its size while it is
//! copied, and leaves gaps that the allocator cannot reuse for the next one. Received pieces are copied,
//! since a small one may keep a whole read buffer alive.

use bytes::{BufMut, Bytes, BytesMut};

use super::budget::{Lease, Refusal};

/// Largest segment.
const SEGMENT_BYTES: usize = 64 << 10;
/// Smallest segment after the first.
const MIN_SEGMENT_BYTES: usize = 1 << 10;

/// A body that is arriving. It holds its part of the budget until it and all bytes that were made of it
/// are dropped.
#[derive(Debug)]
pub struct Buffer {
    lease: Lease,
    count: usize,
    segments: Vec<BytesMut>,
}

/// A whole body and its part of the budget.
struct Held {
    bytes: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    /// Creates an empty body.
    pub fn new(lease: Lease) -> Self {
        Self {
            lease,
            count: 0,
            segments: Vec::new(),
        }
    }

    /// Bytes that have arrived.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Waits until the body is given up for others.
    pub async fn given_up(&mut self) {
        self.lease.given_up().await;
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// The budget has no room for them.
    pub async fn push(&mut self, mut data: &[u8]) -> Result<(), Refusal> {
        while !data.is_empty() {
            let segment = self.segment(data.len()).await?;
            let room = segment.capacity() - segment.len();
            let (now, rest) = data.split_at(room.min(data.len()));
            segment.put_slice(now);
            self.count += now.len();
            data = rest;
        }
        Ok(())
    }

    /// The last segment, or a new one if that is full; `wanted` bytes follow.
    async fn segment(&mut self, wanted: usize) -> Result<&mut BytesMut, Refusal> {
        let is_full = |segment: &BytesMut| segment.len() == segment.capacity();
        if self.segments.last().is_none_or(is_full) {
            // Most bodies are small and come in one piece.
            let size = match self.segments.is_empty() {
                true => wanted,
                false => wanted.max(self.count).max(MIN_SEGMENT_BYTES),
            };
            let size = size.min(SEGMENT_BYTES);
            self.lease.grow(size).await?;
            self.segments.push(BytesMut::with_capacity(size));
        }
        let last = self.segments.len() - 1;
        Ok(&mut self.segments[last])
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// It was given up before.
    pub fn into_bytes(mut self) -> Result<Bytes, Refusal> {
        self.lease.complete(self.count)?;
        if self.count == 0 {
            return Ok(Bytes::new());
        }
        let mut segments = self.segments.into_iter();
        let bytes = match segments.len() {
            1 => segments.next().unwrap_or_default().freeze(),
            _ => {
                let mut whole = BytesMut::with_capacity(self.count);
                for segment in segments {
                    whole.put(segment);
                }
                whole.freeze()
            }
        };
        Ok(Bytes::from_owner(Held {
            bytes,
            _lease: self.lease,
        }))
    }
}
