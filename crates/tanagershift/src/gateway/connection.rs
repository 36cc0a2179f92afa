//! HTTP connections to upstreams, and the pool that keeps them open between requests.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    time::{Instant, timeout},
};

use super::{
    reach::{self, DetourGuard, UseGuard},
    tunnel::Opened,
};
use crate::{clock, holder::engine::error_chain, verdict::Verdict};

/// Longest time to connect. A replica in the region answers within a few milliseconds; a lost SYN is
/// sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which sent bytes may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Idle time before the first TCP keepalive probe, and time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time for which a connection may be reused if the upstream states no idle limit.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(1000);
/// Time before the end of the upstream's idle limit from which a connection is no longer reused. A
/// connection stays reusable for at least a quarter of the limit.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Addresses with idle connections. Connections to further ones are closed after their request, since each
/// takes tens of kilobytes.
const MAX_IDLE_ADDRESSES: usize = 512;
/// Most bytes of a response that are read ahead of a caller who reads slowly. Heads are smaller.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Body of a request to an upstream.
pub type Body = Full<Bytes>;

/// Why a request got no response.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect: {reason}"))]
    Connect {
        /// Why it could not be made.
        reason: String,
    },
    /// The upstream leaves or has asked for a pause; nothing was sent.
    #[snafu(display("the upstream takes no requests now"))]
    Withheld,
    /// The request, or a part of its prompt, may crash replicas; nothing was sent.
    #[snafu(display("{}", super::quarantine::SUSPECTED_REASON))]
    Quarantined,
    /// The upstream may have started again since it was listed, perhaps with other software; nothing
    /// was sent.
    #[snafu(display("the upstream may not be the listed run"))]
    Unconfirmed,
    /// The key of the caller's account was taken away.
    #[snafu(display("the caller's key was taken away"))]
    Unauthorized,
    /// The connection was closed before the request was written.
    #[snafu(display("connection was closed before the request was sent"))]
    Unsent,
    /// The connection failed after the request was written.
    #[snafu(display("connection failed: {reason}"))]
    Broken {
        /// How it failed.
        reason: String,
    },
}

impl Error {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. }
            | Self::Withheld
            | Self::Quarantined
            | Self::Unconfirmed
            | Self::Unauthorized
            | Self::Unsent => Verdict::NotRun,
            Self::Broken { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Sets the options that every TCP connection of the system needs: `TCP_NODELAY`, and the timeouts that
/// bound how long a silent peer goes unnoticed.
///
/// # Errors
///
/// The operating system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}

/// Time limit to connect to a replica that may be gone. One that is alive accepts within a few
/// milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects to an address, from a source address if one is given.
///
/// # Errors
///
/// The address cannot be connected to.
pub async fn connect_tcp(address: &str, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Whether nothing accepts connections at an address.
pub async fn is_gone(address: &str, source: Option<IpAddr>) -> bool {
    let connect = connect_tcp(address, source);
    !matches!(timeout(CHECK_TIMEOUT, connect).await, Ok(Ok(_)))
}

/// An open connection; it carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: String,
    sender: SendRequest<Body>,
    /// Whether the connection has carried a request before.
    used: bool,
    opened_at: Instant,
    /// Counts the connection as used; `None` while it is idle, or if it leads through another host.
    usage: Option<UseGuard>,
    /// Counts the connection at the host that it leads through; `None` for an own one.
    detour: Option<DetourGuard>,
    /// Whether an end in order is known to be the upstream's.
    names_end: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The upstream cannot be reached.
    pub async fn open(address: &str, source: Option<IpAddr>) -> Result<Self, Error> {
        let fail = |reason: String| Error::Connect { reason };
        let connect = timeout(CONNECT_TIMEOUT, connect_tcp(address, source)).await;
        let stream = connect
            .map_err(|_| fail("timeout".to_owned()))?
            .map_err(|error| fail(error.to_string()))?;
        set_socket_options(&stream).map_err(|error| fail(error.to_string()))?;
        Self::start(address, stream).await
    }

    /// Makes a connection of a stream that leads to an upstream.
    ///
    /// # Errors
    ///
    /// The connection has ended already.
    async fn start<S>(address: &str, stream: S) -> Result<Self, Error>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| Error::Connect {
            reason: error.to_string(),
        })?;
        // If a request is in flight, `send` returns the error of the connection; otherwise the
        // error can be ignored.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Self {
            address: address.to_owned(),
            sender,
            used: false,
            opened_at: clock::now(),
            usage: None,
            detour: None,
            names_end: true,
        })
    }

    /// Makes a connection of a stream that leads to an upstream through another host.
    ///
    /// # Errors
    ///
    /// The connection has ended already.
    pub async fn through(
        address: &str,
        opened: Opened,
        detour: DetourGuard,
    ) -> Result<Self, Error> {
        let connection = Self::start(address, opened.stream).await?;
        Ok(Self {
            detour: Some(detour),
            names_end: opened.names_end,
            ..connection
        })
    }

    /// Whether an end in order is known to be the upstream's. It is not if the connection leads through a
    /// host that cannot tell its own end from that.
    pub fn names_end(&self) -> bool {
        self.names_end
    }

    /// Whether the connection leads through another host.
    pub fn is_detour(&self) -> bool {
        self.detour.is_some()
    }

    /// Counts an own connection as used until it is returned to the pool or dropped.
    pub fn begin_use(&mut self, reach: &reach::Shared, service: &str) {
        if !self.is_detour() {
            self.usage = Some(reach.begin_use(service, &self.address, Instant::now()));
        }
    }

    /// Records that bytes arrived.
    pub fn record_heard(&self, now: Instant) {
        if let Some(usage) = &self.usage {
            usage.record_heard(now);
        }
    }

    /// Whether the connection has carried a request before, in which case the upstream may be closing
    /// it.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// When the connection was opened, by [`clock::now`]. The upstream has not started again since.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The connection failed before the head arrived.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, Error> {
        self.used = true;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                // hyper returns the request only if no byte of it was written.
                Some(_) => Err(Error::Unsent),
                None => Err(Error::Broken {
                    reason: error_chain(&error.into_error()),
                }),
            },
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Instant,
    reusable_until: Instant,
}

/// Idle connections, by address of the upstream.
#[derive(Debug, Default)]
pub struct Pool {
    /// Address that connections to upstreams are made from; `None` lets the system choose.
    pub source: Option<IpAddr>,
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection to an address of those that suit.
    fn take(
        &self,
        address: &str,
        now: Instant,
        suits: impl Fn(&Idle) -> bool,
    ) -> Option<Connection> {
        let mut all = self.idle();
        let idle = all.get_mut(address)?;
        idle.retain(|one| now < one.reusable_until && one.connection.sender.is_ready());
        let at = idle.iter().rposition(suits)?;
        Some(idle.remove(at).connection)
    }

    /// Takes an idle connection of this host's own.
    pub fn take_own(&self, address: &str, now: Instant) -> Option<Connection> {
        self.take(address, now, |idle| !idle.connection.is_detour())
    }

    /// Takes an idle connection that works although new ones of this host's own have failed since a
    /// time: one that has carried an answer since, or one through a host of `helpers`. Those that shut
    /// down are not among them.
    pub fn take_proven(
        &self,
        address: &str,
        since: Instant,
        helpers: &[String],
        now: Instant,
    ) -> Option<Connection> {
        self.take(address, now, |idle| match &idle.connection.detour {
            Some(detour) => helpers.iter().any(|helper| helper == detour.helper()),
            None => idle.idle_since >= since,
        })
    }

    /// Returns a connection to the pool after its response was read completely.
    ///
    /// `idle_limit` is how long the upstream keeps an idle connection open, if it states that.
    pub fn put(&self, mut connection: Connection, idle_limit: Option<Duration>, now: Instant) {
        if connection.sender.is_closed() {
            return;
        }
        let reusable_for = match idle_limit {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN).max(limit / 4),
            None => DEFAULT_IDLE_TIME,
        };
        connection.usage = None;
        let address = connection.address.clone();
        let reusable_until = now + reusable_for;
        let mut all = self.idle();
        if all.len() >= MAX_IDLE_ADDRESSES && !all.contains_key(&address) {
            return;
        }
        all.entry(address).or_default().push(Idle {
            connection,
            idle_since: now,
            reusable_until,
        });
    }

    /// Closes all idle connections to an address.
    pub fn close(&self, address: &str) {
        self.idle().remove(address);
    }

    /// Closes connections that have been idle for too long or that the peer has closed.
    pub fn sweep(&self, now: Instant) {
        self.idle().retain(|_, idle| {
            idle.retain(|entry| now < entry.reusable_until && !entry.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Takes an idle connection of this host's own, or opens a new one.
    ///
    /// # Errors
    ///
    /// The upstream cannot be reached.
    pub async fn connect(&self, address: &str) -> Result<Connection, Error> {
        match self.take_own(address, Instant::now()) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, self.source).await,
        }
    }
}
