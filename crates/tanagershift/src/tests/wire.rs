//! Frames: what is written is read, and bad bytes are an error within bounded memory.

use bytes::{Bytes, BytesMut};
use rand::{Rng, RngCore, SeedableRng, rngs::SmallRng};
use tokio_util::codec::{Decoder, Encoder};

use crate::{
    testing::for_seeds,
    wire::{Body, Codec, FRAME_LIMIT, Frame},
};

fn frame(size: usize) -> Frame {
    Frame {
        stream: 7,
        last: true,
        body: Some(Body::Chunk(Bytes::from(vec![1; size]))),
    }
}

fn encoded(frame: Frame) -> BytesMut {
    let mut bytes = BytesMut::new();
    Codec::default().encode(frame, &mut bytes).unwrap();
    bytes
}

#[test]
fn frames_are_read_as_written_however_they_are_split() {
    let whole = encoded(frame(300));
    for split in 0..whole.len() {
        let mut codec = Codec::default();
        let mut buffer = BytesMut::from(&whole[..split]);
        assert!(
            codec.decode(&mut buffer).unwrap().is_none(),
            "split at {split}"
        );
        buffer.extend_from_slice(&whole[split..]);
        assert_eq!(codec.decode(&mut buffer).unwrap(), Some(frame(300)));
    }
}

#[test]
fn a_frame_above_the_limit_is_refused_by_its_length_alone() {
    let mut bytes = BytesMut::from(&(FRAME_LIMIT as u32 + 1).to_be_bytes()[..]);
    Codec::default().decode(&mut bytes).unwrap_err();
    let mut bytes = BytesMut::new();
    let large = frame(FRAME_LIMIT + 1);
    Codec::default().encode(large, &mut bytes).unwrap_err();
}

#[test]
fn bad_bytes_are_an_error_and_no_panic() {
    for_seeds(3000, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut bytes = if random.random_bool(0.5) {
            encoded(frame(40))
        } else {
            let mut payload = vec![0; random.random_range(0..60)];
            random.fill_bytes(&mut payload);
            let mut bytes = BytesMut::from(&(payload.len() as u32).to_be_bytes()[..]);
            bytes.extend_from_slice(&payload);
            bytes
        };
        if !bytes.is_empty() {
            let at = random.random_range(0..bytes.len());
            bytes[at] = random.random();
        }
        // Some bytes are a frame by chance; none may panic or ask for more than the limit.
        let _ = Codec::default().decode(&mut bytes);
        assert!(bytes.capacity() <= FRAME_LIMIT + 4096);
    });
}
