//! Bytes of an upstream on their way through a helper, in frames that name their end.
//!
//! A connection ends in order also if the process at its other end is killed. The helper therefore says
//! when the upstream has ended its bytes; any other end of the connection is a failure.

use std::{io, pin::Pin};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt, stream};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, Join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::{
    codec::{Framed, FramedRead, FramedWrite},
    io::StreamReader,
};

use crate::wire::{Body, Codec, End, Frame};

/// Bytes that are read from an upstream at once.
const BUFFER_BYTES: usize = 8192;

/// The opener's end: reads the upstream's bytes, and writes those for it.
pub type Stream = Join<Pin<Box<dyn AsyncRead + Send>>, OwnedWriteHalf>;

/// Which end of a copy has failed.
#[derive(Debug)]
pub enum Side {
    /// The one that bytes are read from.
    Reader,
    /// The one that bytes are written to.
    Writer,
}

/// Makes the opener's end of a connection on which the helper passes bytes on unframed. How the
/// upstream has ended them is not known.
pub fn unframed(connection: TcpStream) -> Stream {
    let (read, write) = connection.into_split();
    tokio::io::join(Box::pin(read), write)
}

/// Makes the opener's end of a connection on which the helper sends frames.
pub fn framed(connection: Framed<TcpStream, Codec>) -> Stream {
    let parts = connection.into_parts();
    let (read, write) = parts.io.into_split();
    let mut frames = FramedRead::new(read, parts.codec);
    *frames.read_buffer_mut() = parts.read_buf;
    let chunks = stream::unfold(frames, next_chunk);
    tokio::io::join(Box::pin(StreamReader::new(Box::pin(chunks))), write)
}

type Frames = FramedRead<OwnedReadHalf, Codec>;

/// Reads the next bytes of the upstream; `None` at the end that the helper names.
async fn next_chunk(mut frames: Frames) -> Option<(io::Result<Bytes>, Frames)> {
    let frame = frames.next().await.and_then(Result::ok);
    match frame.and_then(|frame| frame.body) {
        Some(Body::Chunk(bytes)) => Some((Ok(bytes), frames)),
        Some(Body::End(_)) => None,
        _ => {
            let error = io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the helper did not tell how the upstream ended",
            );
            Some((Err(error), frames))
        }
    }
}

/// Sends the bytes of an upstream in frames, and its end.
///
/// # Errors
///
/// One of the connections failed; the end was not sent.
pub async fn send_framed<R, W>(from: &mut R, to: W) -> Result<(), Side>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut to = FramedWrite::new(to, Codec::default());
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(BUFFER_BYTES);
        let count = from.read_buf(&mut buffer).await;
        let is_end = count.map_err(|_| Side::Reader)? == 0;
        let body = match is_end {
            true => Body::End(End { load: 0 }),
            false => Body::Chunk(buffer.split().freeze()),
        };
        let frame = Frame {
            stream: 0,
            last: is_end,
            body: Some(body),
        };
        to.send(frame).await.map_err(|_| Side::Writer)?;
        if is_end {
            return Ok(());
        }
    }
}
