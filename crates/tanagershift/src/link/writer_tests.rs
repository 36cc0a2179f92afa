//! Tests of the order in which frames are written. The load that they answer: whole lists to hundreds of
//! hosts while their requests wait for grants.

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::duplex;
use tokio_util::codec::Framed;

use super::writer::Writer;
use crate::wire::{Body, Codec, Frame};

fn frame(stream: u64, body: Body) -> Frame {
    Frame {
        stream,
        last: false,
        body: Some(body),
    }
}

fn bulk(stream: u64) -> Frame {
    frame(stream, Body::Notice(Bytes::from(vec![1; 100_000])))
}

fn urgent(stream: u64) -> Frame {
    frame(stream, Body::Chunk(Bytes::from_static(b"grant")))
}

#[tokio::test]
async fn urgent_frames_pass_bulk_ones_that_wait() {
    let (near, far) = duplex(1000);
    let writer = Writer::start(near);
    writer.send_bulk(bulk(1)).await.unwrap();
    // The first is being written when the others are queued.
    tokio::task::yield_now().await;
    writer.send_bulk(bulk(2)).await.unwrap();
    writer.send_bulk(bulk(3)).await.unwrap();
    writer.send(urgent(4)).await.unwrap();
    writer.try_send(urgent(5)).unwrap();
    drop(writer);
    let frames = Framed::new(far, Codec::default());
    let streams = frames.map(|frame| frame.unwrap().stream);
    assert_eq!(streams.collect::<Vec<_>>().await, [1, 4, 5, 2, 3]);
}

#[tokio::test]
async fn bulk_frames_for_a_peer_that_reads_nothing_wait_at_their_sender() {
    let (near, far) = duplex(1000);
    let writer = Writer::start(near);
    for stream in 1..=3 {
        writer.send_bulk(bulk(stream)).await.unwrap();
        tokio::task::yield_now().await;
    }
    let wait = std::time::Duration::from_millis(50);
    let queued = tokio::time::timeout(wait, writer.send_bulk(bulk(4))).await;
    assert!(queued.is_err());
    writer.try_send(urgent(5)).unwrap();
    drop(far);
    writer.closed().await;
    assert!(writer.is_closed());
}
