//! Connections to upstreams through another host, which passes the bytes on.
//!
//! The opener speaks to the upstream as over a connection of its own, so everything that holds for a
//! request is decided on one host: whether it may be sent, whether it has run, and whether it is sent
//! again. The helper neither reads nor keeps anything. It connects by itself only: it never asks a
//! third host.
//!
//! The helper sends the upstream's bytes in frames (`tunnel_stream`). Hosts of earlier versions open and pass
//! on connections without frames: their end may be that of the helper's process.

use std::{io, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt, stream::FuturesUnordered};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::mpsc,
    time::{Instant, timeout},
};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    connection::{self, connect_tcp},
    message::{Tunnel, TunnelOutcome, Upstream},
    tunnel_stream::{self, Side, Stream, send_framed},
};
use crate::{
    admission::Access,
    link,
    wire::{Body, Codec, Frame},
};

/// Longest time for a helper to connect to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which the next helper is asked as well.
const STAGGER: Duration = Duration::from_millis(150);
/// Longest time for one helper to answer.
const HELPER_TIMEOUT: Duration = Duration::from_millis(600);
/// Helpers that are asked for one connection.
const MAX_HELPERS: usize = 3;
/// Connections that a host passes on at the same time.
const MAX_TUNNELS: i64 = 600;
/// Bytes that are held in each direction of a connection.
const BUFFER_BYTES: usize = 8192;
/// Time for the opener to read the end of an answer before its connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection through a helper.
pub struct Opened {
    /// Leads to the upstream.
    pub stream: Stream,
    /// Whether an end in order is known to be the upstream's. Otherwise it may be the helper's.
    pub names_end: bool,
    /// Address of the helper.
    pub helper: String,
}

/// Connects to an upstream through another host.
///
/// # Errors
///
/// `Unreachable` if a helper could not connect either; another outcome if none could say.
pub async fn open(gateway: &Gateway, upstream: &Upstream) -> Result<Opened, TunnelOutcome> {
    let helpers = gateway.reach.lock().helpers(Instant::now());
    let mut helpers = helpers.into_iter().take(MAX_HELPERS);
    let mut attempts = FuturesUnordered::new();
    let mut worst = TunnelOutcome::Unable;
    loop {
        match helpers.next() {
            Some(helper) => attempts.push(open_through(gateway, upstream, helper)),
            None if attempts.is_empty() => return Err(worst),
            None => {}
        }
        let limit = match helpers.len() {
            0 => HELPER_TIMEOUT,
            _ => STAGGER,
        };
        match timeout(limit, attempts.next()).await {
            Ok(Some(Ok(opened))) => return Ok(opened),
            Ok(Some(Err(TunnelOutcome::Unreachable))) => worst = TunnelOutcome::Unreachable,
            Ok(Some(Err(_)) | None) | Err(_) => {}
        }
    }
}

async fn open_through(
    gateway: &Gateway,
    upstream: &Upstream,
    helper: String,
) -> Result<Opened, TunnelOutcome> {
    let tunnel = Tunnel {
        upstream: upstream.name.clone(),
        address: upstream.address.clone(),
        reads_frames: true,
    };
    let opened = link::open_tunnel(&helper, gateway.leader.pool().greeting(), tunnel);
    let outcome = match timeout(HELPER_TIMEOUT, opened).await {
        Ok(Ok((TunnelOutcome::OpenFramed, connection))) => {
            return Ok(Opened {
                stream: tunnel_stream::framed(connection),
                names_end: true,
                helper,
            });
        }
        // Upstreams send nothing before they have a request.
        Ok(Ok((TunnelOutcome::Open, connection))) if connection.read_buffer().is_empty() => {
            return Ok(Opened {
                stream: tunnel_stream::unframed(connection.into_inner()),
                names_end: false,
                helper,
            });
        }
        Ok(Ok((outcome, _))) => outcome,
        Ok(Err(_)) | Err(_) => TunnelOutcome::Unable,
    };
    // A helper that found the upstream gone has helped.
    if outcome != TunnelOutcome::Unreachable {
        let now = Instant::now();
        gateway.reach.lock().record_helper_failed(&helper, now);
    }
    Err(outcome)
}

/// Serves the tunnels that other hosts ask for, until the process ends.
pub async fn serve(gateway: Arc<Gateway>, mut requests: mpsc::Receiver<(Tunnel, TcpStream)>) {
    while let Some((tunnel, stream)) = requests.recv().await {
        tokio::spawn(carry(gateway.clone(), tunnel, stream));
    }
}

async fn carry(gateway: Arc<Gateway>, tunnel: Tunnel, stream: TcpStream) {
    let connected = connect(&gateway, &tunnel).await;
    let outcome = match &connected {
        Ok(_) if tunnel.reads_frames => TunnelOutcome::OpenFramed,
        Ok(_) => TunnelOutcome::Open,
        Err(outcome) => *outcome,
    };
    let mut framed = Framed::new(stream, Codec::default());
    let answer = Frame {
        stream: 0,
        last: true,
        body: Some(Body::TunnelOutcome(outcome.into())),
    };
    let answered = framed.send(answer).await;
    if let (Ok(upstream), Ok(())) = (connected, answered) {
        gateway.metrics.carried_tunnels.inc();
        gateway.metrics.open_tunnels.inc();
        pass_on(framed.into_inner(), upstream, tunnel.reads_frames).await;
        gateway.metrics.open_tunnels.dec();
    }
}

/// Connects to an upstream for another host.
async fn connect(gateway: &Gateway, tunnel: &Tunnel) -> Result<TcpStream, TunnelOutcome> {
    let Tunnel {
        upstream, address, ..
    } = tunnel;
    let is_full = gateway.metrics.open_tunnels.get() >= MAX_TUNNELS;
    if is_full || gateway.is_draining() {
        return Err(TunnelOutcome::Unable);
    }
    let access = gateway.view().admission.access(upstream, Instant::now());
    // Other hosts get no connection to anything but upstreams.
    let listed = gateway.view().upstream(upstream);
    let listed = listed.filter(|one| one.address == *address && access == Access::Open);
    let listed = listed.ok_or(TunnelOutcome::Unable)?;
    if gateway.reach.lock().is_cut_off_from(&listed.service) {
        return Err(TunnelOutcome::Unable);
    }
    let connected = connect_tcp(address, gateway.pool.source);
    let connected = timeout(CONNECT_TIMEOUT, connected).await;
    let stream = connected
        .ok()
        .and_then(Result::ok)
        .ok_or(TunnelOutcome::Unreachable)?;
    gateway.record_connected(&listed);
    connection::set_socket_options(&stream).map_err(|_| TunnelOutcome::Unable)?;
    Ok(stream)
}

/// Passes bytes on in both directions. The end of the upstream's bytes ends the opener's connection in
/// the same way, in order or by a reset; the end of the opener's closes the upstream's.
pub(super) async fn pass_on(mut opener: TcpStream, mut upstream: TcpStream, in_frames: bool) {
    if !in_frames {
        // The opener would take the end of this process for that of the upstream. If it fails, only such
        // an end is affected.
        let _ = opener.set_zero_linger();
    }
    // Unlike owned halves, borrowed ones do not shut a connection down in order when they are dropped.
    let (mut from_opener, mut to_opener) = opener.split();
    let (mut from_upstream, mut to_upstream) = upstream.split();
    let ended = {
        let there = copy(&mut from_opener, &mut to_upstream);
        let back = async {
            match in_frames {
                true => send_framed(&mut from_upstream, &mut to_opener).await,
                false => copy(&mut from_upstream, &mut to_opener).await,
            }
        };
        tokio::pin!(there, back);
        tokio::select! {
            result = &mut there => match result {
                // The opener has left.
                Ok(()) | Err(Side::Reader) => return,
                // The upstream takes nothing more, but its answer may still come.
                Err(Side::Writer) => back.await,
            },
            result = &mut back => result,
        }
    };
    if ended.is_ok() {
        // If it fails, the opener takes an end for a reset.
        let _ = SockRef::from(&opener).set_linger(None);
        close_in_order(opener).await;
    }
}

/// Closes a connection such that its peer reads everything that was sent on it.
async fn close_in_order(mut stream: TcpStream) {
    // Unread bytes at the time of the close would reset the connection, and the end of the answer
    // would be lost.
    let mut rest = [0; 64];
    let read_rest = async {
        let shut = stream.shutdown().await;
        while shut.is_ok() && matches!(stream.read(&mut rest).await, Ok(1..)) {}
    };
    // However it ends, the connection is closed.
    let _ = timeout(CLOSE_TIMEOUT, read_rest).await;
}

/// Copies bytes until their end.
async fn copy(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) -> Result<(), Side> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let read: io::Result<usize> = from.read(&mut buffer).await;
        let count = read.map_err(|_| Side::Reader)?;
        if count == 0 {
            return Ok(());
        }
        let written = to.write_all(&buffer[..count]).await;
        written.map_err(|_| Side::Writer)?;
    }
}
