//! Compression of configuration texts in the replicated log and in notices. It saves bandwidth on
//! the leader's network link, over which each text is sent to every gateway.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Maximum size in bytes of a decompressed text.
const MAX_TEXT_BYTES: u64 = 64 << 20;

/// Compresses a text.
///
/// # Errors
///
/// If the encoder fails, which it does not when it writes to memory.
pub fn compress(text: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text)?;
    encoder.finish().map(Bytes::from)
}

/// Decompresses a text.
///
/// # Errors
///
/// If the bytes are not a compressed text, or if the text is longer than [`MAX_TEXT_BYTES`].
pub fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    DeflateDecoder::new(compressed)
        .take(MAX_TEXT_BYTES + 1)
        .read_to_end(&mut text)?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(io::Error::other("the decompressed text is too long"));
    }
    Ok(text.into())
}
