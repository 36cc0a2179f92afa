//! The text of a configuration as the log and the notices carry it: compressed, since the leader sends
//! it to every gateway over its one link.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Largest text in bytes.
const TEXT_LIMIT: u64 = 64 << 20;

/// Compresses a text.
///
/// # Errors
///
/// The encoder fails, which writing to memory does not do.
pub fn pack(text: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text)?;
    encoder.finish().map(Bytes::from)
}

/// Restores a text.
///
/// # Errors
///
/// The bytes are not a compressed text, or it is too long.
pub fn unpack(packed: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    DeflateDecoder::new(packed)
        .take(TEXT_LIMIT + 1)
        .read_to_end(&mut text)?;
    if text.len() as u64 > TEXT_LIMIT {
        return Err(io::Error::other("the text is too long"));
    }
    Ok(text.into())
}
