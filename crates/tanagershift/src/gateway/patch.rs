//! What turns one text into the next: configurations are long and change little, and the leader sends
//! each to every gateway over its one link.

use std::{collections::HashMap, ops::Range};

use bytes::{Bytes, BytesMut};
use prost::Message;

use super::document;

/// Byte after which a text is cut into records; it ends the objects of JSON.
const RECORD_END: u8 = b'}';

/// What turns the text of one version into that of another.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Patch {
    /// Version that it starts from.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version that it leads to.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Pieces in order.
    #[prost(message, repeated, tag = "3")]
    pub pieces: Vec<Piece>,
    /// All inserted bytes one after the other, compressed.
    #[prost(bytes = "bytes", tag = "4")]
    pub inserted: Bytes,
    /// CRC-32C of the new text.
    #[prost(uint32, tag = "5")]
    pub checksum: u32,
}

/// Some inserted bytes, then a range of the old text.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Piece {
    /// Bytes to take from the inserted ones.
    #[prost(uint32, tag = "1")]
    pub insert: u32,
    /// Where the range begins.
    #[prost(uint32, tag = "2")]
    pub start: u32,
    /// Bytes of the range.
    #[prost(uint32, tag = "3")]
    pub length: u32,
}

fn records(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut at = 0;
    text.split_inclusive(|byte| *byte == RECORD_END)
        .map(move |record| {
            let start = at;
            at += record.len();
            (start, record)
        })
}

impl Patch {
    /// Finds what the texts have in common; `None` if a text is too long, or compression fails.
    pub fn make(from: u64, old: &[u8], version: u64, new: &[u8]) -> Option<Self> {
        u32::try_from(old.len().max(new.len())).ok()?;
        let places: HashMap<&[u8], usize> = records(old)
            .map(|(start, record)| (record, start))
            .collect();
        let mut pieces = Vec::new();
        let (mut inserted, mut insert) = (Vec::new(), 0);
        let mut copy: Range<usize> = 0..0;
        for (_, record) in records(new) {
            let follows = old[copy.end..].starts_with(record) && !copy.is_empty();
            let found = match follows {
                true => Some(copy.end),
                false => places.get(record).copied(),
            };
            match found {
                Some(start) if start == copy.end && !copy.is_empty() => copy.end += record.len(),
                Some(start) => {
                    pieces.push(piece(insert, &copy));
                    insert = 0;
                    copy = start..start + record.len();
                }
                None => {
                    if !copy.is_empty() {
                        pieces.push(piece(insert, &copy));
                        insert = 0;
                        copy = 0..0;
                    }
                    inserted.extend_from_slice(record);
                    insert += record.len();
                }
            }
        }
        pieces.push(piece(insert, &copy));
        Some(Self {
            from,
            version,
            pieces: pieces
                .into_iter()
                .filter(|one| *one != Piece::default())
                .collect(),
            inserted: document::pack(&inserted).ok()?,
            checksum: crc32c::crc32c(new),
        })
    }

    /// Makes the new text.
    ///
    /// # Errors
    ///
    /// The old text is not the one that the patch was made for.
    pub fn apply(&self, old: &[u8]) -> Result<Bytes, String> {
        let inserted = document::unpack(&self.inserted).map_err(|error| error.to_string())?;
        let (mut text, mut rest) = (BytesMut::new(), &inserted[..]);
        for piece in &self.pieces {
            let insert = rest.split_at_checked(piece.insert as usize);
            let (taken, left) = insert.ok_or("the patch inserts more than it carries")?;
            rest = left;
            text.extend_from_slice(taken);
            let start = piece.start as usize;
            let copied = old.get(start..start + piece.length as usize);
            text.extend_from_slice(copied.ok_or("the patch does not fit the text")?);
        }
        match crc32c::crc32c(&text) == self.checksum {
            true => Ok(text.freeze()),
            false => Err("the patched text has another checksum".to_owned()),
        }
    }
}

fn piece(insert: usize, copy: &Range<usize>) -> Piece {
    Piece {
        insert: insert as u32,
        start: copy.start as u32,
        length: copy.len() as u32,
    }
}
