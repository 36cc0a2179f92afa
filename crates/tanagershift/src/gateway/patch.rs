//! Patches between two versions of a configuration text. Configurations are long and change little;
//! sending only the difference to every gateway saves bandwidth on the leader's network link.

use std::{collections::HashMap, ops::Range};

use bytes::{Bytes, BytesMut};
use prost::Message;

use super::compression;

/// Byte after which a text is split into records, the units that a patch copies or inserts: the
/// closing brace of a JSON object.
const RECORD_END: u8 = b'}';

/// A patch from the text of one version to the text of another.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Patch {
    /// Version that the patch applies to.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version that the patch produces.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Pieces of the new text, in order.
    #[prost(message, repeated, tag = "3")]
    pub pieces: Vec<Piece>,
    /// Concatenated inserted bytes of all pieces, compressed.
    #[prost(bytes = "bytes", tag = "4")]
    pub inserted: Bytes,
    /// CRC-32C of the new text.
    #[prost(uint32, tag = "5")]
    pub checksum: u32,
}

/// A run of inserted bytes followed by a range copied from the old text.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Piece {
    /// Number of bytes to take from [`Patch::inserted`].
    #[prost(uint32, tag = "1")]
    pub insert: u32,
    /// Offset of the range in the old text.
    #[prost(uint32, tag = "2")]
    pub start: u32,
    /// Length of the range in bytes.
    #[prost(uint32, tag = "3")]
    pub length: u32,
}

/// Splits a text after each [`RECORD_END`]; yields the records with their offsets.
fn records(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut offset = 0;
    text.split_inclusive(|byte| *byte == RECORD_END)
        .map(move |record| {
            let start = offset;
            offset += record.len();
            (start, record)
        })
}

impl Patch {
    /// Computes the patch from `old` to `new`. Returns `None` if a text has more than `u32::MAX`
    /// bytes or if compression fails.
    pub fn make(from: u64, old: &[u8], version: u64, new: &[u8]) -> Option<Self> {
        u32::try_from(old.len().max(new.len())).ok()?;
        let offsets: HashMap<&[u8], usize> = records(old)
            .map(|(start, record)| (record, start))
            .collect();
        let mut pieces = Vec::new();
        let (mut inserted, mut insert_len) = (Vec::new(), 0);
        let mut copy: Range<usize> = 0..0;
        for (_, record) in records(new) {
            let continues = old[copy.end..].starts_with(record) && !copy.is_empty();
            let source = match continues {
                true => Some(copy.end),
                false => offsets.get(record).copied(),
            };
            match source {
                Some(start) if start == copy.end && !copy.is_empty() => copy.end += record.len(),
                Some(start) => {
                    pieces.push(piece(insert_len, &copy));
                    insert_len = 0;
                    copy = start..start + record.len();
                }
                None => {
                    if !copy.is_empty() {
                        pieces.push(piece(insert_len, &copy));
                        insert_len = 0;
                        copy = 0..0;
                    }
                    inserted.extend_from_slice(record);
                    insert_len += record.len();
                }
            }
        }
        pieces.push(piece(insert_len, &copy));
        Some(Self {
            from,
            version,
            pieces: pieces
                .into_iter()
                .filter(|piece| *piece != Piece::default())
                .collect(),
            inserted: compression::compress(&inserted).ok()?,
            checksum: crc32c::crc32c(new),
        })
    }

    /// Applies the patch to the old text and returns the new one.
    ///
    /// # Errors
    ///
    /// If `old` is not the text that the patch was made for.
    pub fn apply(&self, old: &[u8]) -> Result<Bytes, String> {
        let inserted =
            compression::decompress(&self.inserted).map_err(|error| error.to_string())?;
        let (mut text, mut rest) = (BytesMut::new(), &inserted[..]);
        for piece in &self.pieces {
            let split = rest.split_at_checked(piece.insert as usize);
            let (taken, remaining) =
                split.ok_or("the patch inserts more bytes than it contains")?;
            rest = remaining;
            text.extend_from_slice(taken);
            let start = piece.start as usize;
            let copied = old.get(start..start + piece.length as usize);
            text.extend_from_slice(copied.ok_or("the patch copies beyond the old text")?);
        }
        match crc32c::crc32c(&text) == self.checksum {
            true => Ok(text.freeze()),
            false => Err("the checksum of the patched text does not match".to_owned()),
        }
    }
}

fn piece(insert_len: usize, copy: &Range<usize>) -> Piece {
    Piece {
        insert: insert_len as u32,
        start: copy.start as u32,
        length: copy.len() as u32,
    }
}
