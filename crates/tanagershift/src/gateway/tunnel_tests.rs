//! Tests of connections through helpers: what the opener reads when the upstream, or the helper, ends.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::codec::Framed;

use super::{
    tunnel::pass_on,
    tunnel_stream::{framed, unframed},
};
use crate::wire::Codec;

/// What ends a connection through a helper.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cause {
    UpstreamEnds,
    UpstreamResets,
    HelperDies,
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (opened, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (opened.unwrap(), accepted.unwrap().0)
}

/// What an opener reads until the end, and how it ends: the upstream sends some bytes, and then the
/// connection ends for a cause.
async fn read_through(in_frames: bool, cause: Cause) -> (String, io::Result<()>) {
    let (opener, helper_end) = pair().await;
    let (upstream_end, mut upstream) = pair().await;
    let carried = tokio::spawn(pass_on(helper_end, upstream_end, in_frames));
    let mut stream = match in_frames {
        true => framed(Framed::new(opener, Codec::default())),
        false => unframed(opener),
    };
    stream.write_all(b"ask").await.unwrap();
    let mut asked = [0; 3];
    upstream.read_exact(&mut asked).await.unwrap();
    upstream.write_all(b"answer").await.unwrap();
    let mut answer = [0; 6];
    stream.read_exact(&mut answer).await.unwrap();
    match cause {
        Cause::UpstreamEnds => drop(upstream),
        Cause::UpstreamResets => {
            upstream.set_zero_linger().unwrap();
            drop(upstream);
        }
        // Drops its sockets as the end of a process does.
        Cause::HelperDies => carried.abort(),
    }
    let mut rest = String::new();
    let ended = stream.read_to_string(&mut rest).await;
    (
        String::from_utf8_lossy(&answer).into_owned() + &rest,
        ended.map(drop),
    )
}

/// Defines a test for each case: whether the opener reads frames, what ends the connection, and whether
/// the opener takes that for the upstream's end.
macro_rules! cases {
    ($($name:ident: $in_frames:expr, $cause:ident => $is_end:expr,)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let (answer, ended) = read_through($in_frames, Cause::$cause).await;
                assert_eq!(answer, "answer");
                assert_eq!(ended.is_ok(), $is_end, "{ended:?}");
            }
        )*
    };
}

cases! {
    frames_end_with_the_upstream: true, UpstreamEnds => true,
    frames_do_not_end_with_a_reset: true, UpstreamResets => false,
    frames_do_not_end_with_the_helper: true, HelperDies => false,
    bytes_for_an_older_opener_end_with_the_upstream: false, UpstreamEnds => true,
    bytes_for_an_older_opener_do_not_end_with_a_reset: false, UpstreamResets => false,
    bytes_for_an_older_opener_do_not_end_with_the_helper: false, HelperDies => false,
}
