//! Connections to upstreams, kept open between requests.

use std::{
    collections::HashMap,
    io,
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
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{holder::engine::error_chain, verdict::Verdict};

/// Longest time to connect; a replica in the region answers within a few milliseconds, and a lost
/// opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which sent bytes may stay unacknowledged before the connection is given up.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Idle time after which a probe is sent, and the time between two probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Idle time for which a connection is used again when the upstream names none.
const IDLE_DEFAULT: Duration = Duration::from_millis(1000);
/// Time before the upstream's own idle limit at which a connection is used no more.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Body of a request.
pub type Body = Full<Bytes>;

/// Why an exchange failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect: {reason}"))]
    Connect {
        /// Why.
        reason: String,
    },
    /// The connection was closed before the request was written.
    #[snafu(display("connection was closed before the request was sent"))]
    Unsent,
    /// The connection failed after the request was written.
    #[snafu(display("connection failed: {reason}"))]
    Broken {
        /// Why.
        reason: String,
    },
}

impl Error {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::Unsent => Verdict::NotRun,
            Self::Broken { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Sets what every connection of the system needs: no delay of small writes, and a limit on the
/// time in which a silent peer is noticed.
///
/// # Errors
///
/// The system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}

/// An open connection; it carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: String,
    sender: SendRequest<Body>,
    /// Whether it has carried a request before.
    used: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The upstream cannot be reached.
    pub async fn open(address: &str) -> Result<Self, Error> {
        let fail = |reason: String| Error::Connect { reason };
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connect
            .map_err(|_| fail("timeout".to_owned()))?
            .map_err(|error| fail(error.to_string()))?;
        tune(&stream).map_err(|error| fail(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| fail(error.to_string()))?;
        // Its failure reaches the request on it; without one there is nobody to tell.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Self {
            address: address.to_owned(),
            sender,
            used: false,
        })
    }

    /// Whether it has carried a request before, so that the upstream may be closing it.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The connection failed before the head came.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, Error> {
        self.used = true;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                // The request is handed back only when no byte of it was written.
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
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection to an address, the one used last.
    pub fn take(&self, address: &str, now: Instant) -> Option<Connection> {
        let mut all = self.idle();
        let idle = all.get_mut(address)?;
        while let Some(last) = idle.pop() {
            if now < last.until && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        all.remove(address);
        None
    }

    /// Keeps a connection whose answer has come whole; `keep` is the upstream's idle limit.
    pub fn put(&self, connection: Connection, keep: Option<Duration>, now: Instant) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = match keep {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN).max(limit / 4),
            None => IDLE_DEFAULT,
        };
        let address = connection.address.clone();
        let until = now + keep;
        let mut all = self.idle();
        all.entry(address)
            .or_default()
            .push(Idle { connection, until });
    }

    /// Closes connections that are idle for too long, or whose peer has closed them.
    pub fn sweep(&self, now: Instant) {
        self.idle().retain(|_, idle| {
            idle.retain(|one| now < one.until && !one.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// A connection, idle or new.
    ///
    /// # Errors
    ///
    /// The upstream cannot be reached.
    pub async fn connect(&self, address: &str) -> Result<Connection, Error> {
        match self.take(address, Instant::now()) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }
}
