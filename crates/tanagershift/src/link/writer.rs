//! Writes frames to a connection: urgent ones first, bulk ones as the peer takes them.

use bytes::BytesMut;
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    sync::mpsc,
};
use tokio_util::codec::Encoder;

use super::{Error, traffic};
use crate::wire::{Codec, Frame};

/// Urgent frames that may wait.
const URGENT_QUEUE: usize = 4096;
/// Bulk frames that may wait. Those who send them keep the rest, and can replace it with newer state.
const BULK_QUEUE: usize = 2;
/// Bytes up to which frames are written together, and up to which the buffer is kept for further ones.
const BATCH: usize = 64 << 10;

/// Queues of the frames that wait for one connection.
#[derive(Clone, Debug)]
pub(super) struct Writer {
    urgent: mpsc::Sender<Frame>,
    bulk: mpsc::Sender<Frame>,
}

impl Writer {
    /// Starts to write to a connection, until all clones of the writer are dropped or the connection ends.
    pub(super) fn start<W>(sink: W) -> Self
    where
        W: AsyncWrite + Unpin + Send + 'static,
    {
        let (urgent, urgent_queue) = mpsc::channel(URGENT_QUEUE);
        let (bulk, bulk_queue) = mpsc::channel(BULK_QUEUE);
        tokio::spawn(write(sink, urgent_queue, bulk_queue));
        Self { urgent, bulk }
    }

    /// Queues an urgent frame as soon as there is room.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub(super) async fn send(&self, frame: Frame) -> Result<(), Error> {
        self.urgent.send(frame).await.map_err(|_| Error::Lost)
    }

    /// Queues an urgent frame.
    ///
    /// # Errors
    ///
    /// The connection has ended, or too much waits for it.
    pub(super) fn try_send(&self, frame: Frame) -> Result<(), Error> {
        self.urgent.try_send(frame).map_err(|_| Error::Lost)
    }

    /// Queues a frame that urgent ones may pass, as soon as there is room.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub(super) async fn send_bulk(&self, frame: Frame) -> Result<(), Error> {
        self.bulk.send(frame).await.map_err(|_| Error::Lost)
    }

    /// Waits until the connection has ended.
    pub(super) async fn closed(&self) {
        self.urgent.closed().await;
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.urgent.is_closed()
    }
}

async fn write<W>(mut sink: W, mut urgent: mpsc::Receiver<Frame>, mut bulk: mpsc::Receiver<Frame>)
where
    W: AsyncWrite + Unpin,
{
    let mut codec = Codec::default();
    let mut buffer = BytesMut::new();
    loop {
        let mut next = tokio::select! {
            biased;
            Some(frame) = urgent.recv() => Some(frame),
            Some(frame) = bulk.recv() => Some(frame),
            else => None,
        };
        if next.is_none() {
            break;
        }
        while let Some(frame) = next {
            let kind = traffic::kind(&frame);
            let before = buffer.len();
            if codec.encode(frame, &mut buffer).is_err() {
                return;
            }
            traffic::count_sent(kind, buffer.len() - before);
            next = match buffer.len() < BATCH {
                true => urgent.try_recv().ok(),
                false => None,
            };
        }
        let length = buffer.len();
        if sink.write_all_buf(&mut buffer).await.is_err() {
            return;
        }
        // Hundreds of connections must not each keep the room of their largest frame.
        if length > BATCH {
            buffer = BytesMut::new();
        }
    }
    // Nobody writes any more. A peer that is gone already makes no difference.
    let _ = sink.shutdown().await;
}
