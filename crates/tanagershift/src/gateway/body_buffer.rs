//! Bodies of responses that are held while they arrive.
//!
//! All bodies together are bounded, since upstreams may send bytes without end. A body grows by segments
//! of one size: a contiguous buffer that doubles needs three times its size while it is copied, and
//! leaves gaps that the allocator cannot reuse for the next one.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::{BufMut, Bytes, BytesMut};

/// Largest body.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Most bytes of all bodies together.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Size of a segment.
const SEGMENT_BYTES: usize = 64 << 10;

/// A body that is arriving. Its bytes count towards those of all bodies until it is dropped.
#[derive(Debug)]
pub struct Buffer<'a> {
    total: &'a AtomicUsize,
    count: usize,
    segments: Vec<BytesMut>,
}

impl<'a> Buffer<'a> {
    /// Creates an empty body; `total` counts the bytes of all bodies.
    pub fn new(total: &'a AtomicUsize) -> Self {
        Self {
            total,
            count: 0,
            segments: Vec::new(),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// This body, or all bodies together, would be too large.
    pub fn push(&mut self, mut data: &[u8]) -> Result<(), &'static str> {
        self.count += data.len();
        let total = self.total.fetch_add(data.len(), Relaxed) + data.len();
        if total > MAX_TOTAL_BYTES {
            return Err("the answers in memory are too large");
        }
        if self.count > MAX_BODY_BYTES {
            return Err("the answer is too large");
        }
        while !data.is_empty() {
            let segment = self.segment(data.len());
            let room = segment.capacity() - segment.len();
            let (now, rest) = data.split_at(room.min(data.len()));
            segment.put_slice(now);
            data = rest;
        }
        Ok(())
    }

    /// The last segment, or a new one if that is full; `wanted` bytes follow.
    fn segment(&mut self, wanted: usize) -> &mut BytesMut {
        let is_full = |segment: &BytesMut| segment.len() == segment.capacity();
        if self.segments.last().is_none_or(is_full) {
            // Most bodies are small and come in one piece.
            let size = match self.segments.is_empty() {
                true => wanted.min(SEGMENT_BYTES),
                false => SEGMENT_BYTES,
            };
            self.segments.push(BytesMut::with_capacity(size));
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    /// The whole body.
    pub fn into_bytes(mut self) -> Bytes {
        let segments = std::mem::take(&mut self.segments);
        let mut segments = segments.into_iter();
        if segments.len() <= 1 {
            return segments.next().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.count);
        for segment in segments {
            whole.put(segment);
        }
        whole.freeze()
    }
}

impl Drop for Buffer<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.count, Relaxed);
    }
}
