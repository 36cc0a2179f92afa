//! Connections between hosts: many streams of frames over one TCP connection.
//!
//! The opener numbers the streams and never uses a number twice within a connection. Frames for a
//! stream that has ended are dropped and counted.
//!
//! * `writer`: writes frames, urgent ones first.
//! * `traffic`: counts what is sent.

pub mod traffic;
mod writer;
#[cfg(test)]
mod writer_tests;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::{
    SinkExt, StreamExt,
    stream::{self, FuturesUnordered},
};
use snafu::Snafu;
use socket2::SockRef;
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_util::codec::{Framed, FramedParts};
use writer::Writer;

use crate::{
    emit,
    gateway::{
        connection,
        message::{Tunnel, TunnelOutcome},
    },
    id,
    wire::{Body, Cancel, Codec, Frame, Hello, Probe, Redirect, VERSION},
};

/// Time after which an unanswered connection attempt is joined by another one. A host that starts
/// answers the new attempt at once, but the one before only when the system repeats its opening
/// packet, after a second or more.
const CONNECT_STAGGER: Duration = Duration::from_millis(80);
/// Longest time to connect and greet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a frame after which a peer that owes one is probed, and between two probes; a busy
/// leader answers within a tenth of it.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Probes without any frame after which a connection is given up; the time for which sent bytes may
/// stay unacknowledged is as long.
const PROBES: u32 = 3;
/// Sent bytes that the system takes before the peer's side of the connection does. Urgent frames wait
/// behind these.
const UNSENT_LIMIT: u32 = 64 << 10;
/// Bytes that wait for one slow reader before its stream is cut.
const READ_LIMIT: usize = 4 << 20;
/// Open streams after which those that have ended are forgotten.
const PRUNE_MIN: usize = 64;
/// Time after which a connection that failed is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Why nothing more comes on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Error {
    /// Nothing was sent.
    #[snafu(display("cannot reach {address}: {reason}"))]
    Connect {
        /// Peer.
        address: String,
        /// Why.
        reason: String,
    },
    /// The connection was lost; the peer may have the request.
    #[snafu(display("connection lost"))]
    Lost,
    /// The reader was too slow and its stream was cut.
    #[snafu(display("reader too slow"))]
    Slow,
}

/// A connection that carries frames.
pub type Connection = Framed<TcpStream, Codec>;

/// The half of a connection from which frames are read.
type Reader = Framed<OwnedReadHalf, Codec>;

/// Splits a connection; frames that have arrived already are read first.
fn split(connection: Connection) -> (OwnedWriteHalf, Reader) {
    let parts = connection.into_parts();
    // Bulk frames are only delayed more without the option.
    let _ = SockRef::from(&parts.io).set_tcp_notsent_lowat(UNSENT_LIMIT);
    let (read, write) = parts.io.into_split();
    let mut reader = FramedParts::new::<Frame>(read, parts.codec);
    reader.read_buf = parts.read_buf;
    (write, Framed::from_parts(reader))
}

/// Who this process is to its peers.
#[derive(Clone, Debug, Default)]
pub struct Greeting {
    /// Host name; empty for a tool.
    pub host: id::Host,
    /// Secret shared by the hosts and their operators.
    pub token: String,
}

impl Greeting {
    fn hello(&self) -> Frame {
        Frame {
            stream: 0,
            last: false,
            body: Some(Body::Hello(Hello {
                version: VERSION,
                token: self.token.clone(),
                host: self.host.clone(),
            })),
        }
    }

    fn accepts(&self, frame: Option<Frame>) -> Result<Hello, &'static str> {
        match frame.and_then(|frame| frame.body) {
            Some(Body::Hello(hello)) if hello.version != VERSION => Err("other protocol version"),
            Some(Body::Hello(hello)) if hello.token != self.token => Err("wrong token"),
            Some(Body::Hello(hello)) => Ok(hello),
            _ => Err("no greeting"),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Frames received for one stream.
#[derive(Debug)]
struct Inbox {
    sender: mpsc::UnboundedSender<Result<(Body, bool), Error>>,
    queued: Arc<AtomicUsize>,
}

/// The opener's end of one connection.
#[derive(Debug)]
struct Shared {
    next: AtomicU64,
    /// `None` once the connection has ended.
    inboxes: Mutex<Option<HashMap<id::Stream, Inbox>>>,
    writer: Writer,
    dropped: AtomicU64,
    /// Whether something was sent since the last frame came.
    unheard: AtomicBool,
}

/// A connection to one peer that this process opened.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

/// Connects with several attempts side by side; the first that succeeds counts. An attempt that is
/// refused ends them all.
async fn connect_staggered(address: &str) -> Result<TcpStream, String> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        if let Ok(Some(connected)) = timeout(CONNECT_STAGGER, attempts.next()).await {
            return connected.map_err(|error| error.to_string());
        }
    }
}

impl Link {
    /// Connects and greets.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached, or refuses.
    pub async fn open(address: &str, greeting: &Greeting) -> Result<Self, Error> {
        let fail = |reason: String| Error::Connect {
            address: address.to_owned(),
            reason,
        };
        let connect = async {
            let stream = connect_staggered(address).await?;
            // Small frames must not wait for one another, and a silent peer must be noticed.
            connection::set_socket_options(&stream).map_err(|error| error.to_string())?;
            let mut connection = Framed::new(stream, Codec::default());
            connection
                .send(greeting.hello())
                .await
                .map_err(|error| error.to_string())?;
            let answer = connection.next().await.and_then(Result::ok);
            greeting.accepts(answer)?;
            Ok::<_, String>(connection)
        };
        let connection = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| fail("timeout".to_owned()))?
            .map_err(fail)?;
        let (sink, stream) = split(connection);
        let writer = Writer::start(sink);
        let shared = Arc::new(Shared {
            next: AtomicU64::new(1),
            inboxes: Mutex::new(Some(HashMap::new())),
            writer,
            dropped: AtomicU64::new(0),
            unheard: AtomicBool::new(false),
        });
        tokio::spawn(read(stream, shared.clone()));
        Ok(Self { shared })
    }

    /// Whether the connection still takes frames.
    pub fn is_open(&self) -> bool {
        lock(&self.shared.inboxes).is_some()
    }

    /// Frames that came for streams that had ended.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Opens a stream with its first message.
    ///
    /// # Errors
    ///
    /// `Lost` when the connection had ended already; then nothing was sent.
    pub async fn call(&self, body: Body) -> Result<Call, Error> {
        let stream = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let inbox = Inbox {
            sender,
            queued: queued.clone(),
        };
        match lock(&self.shared.inboxes).as_mut() {
            Some(inboxes) => inboxes.insert(stream, inbox),
            None => return Err(Error::Lost),
        };
        let call = Call {
            stream,
            shared: self.shared.clone(),
            receiver,
            queued,
            ended: false,
        };
        let frame = Frame {
            stream,
            last: false,
            body: Some(body),
        };
        self.shared.unheard.store(true, Ordering::Relaxed);
        self.shared.writer.send(frame).await?;
        Ok(call)
    }

    /// Sends a message that has no answer.
    ///
    /// # Errors
    ///
    /// The connection has ended, or too much waits for it.
    pub fn tell(&self, body: Body) -> Result<(), Error> {
        let frame = Frame {
            stream: 0,
            last: true,
            body: Some(body),
        };
        self.shared.unheard.store(true, Ordering::Relaxed);
        self.shared.writer.try_send(frame)
    }
}

/// Connects to a peer and asks it to pass the connection on to an upstream. Returns what it answered, and
/// the connection.
///
/// # Errors
///
/// The peer cannot be reached, or refuses.
pub async fn open_tunnel(
    address: &str,
    greeting: &Greeting,
    tunnel: Tunnel,
) -> Result<(TunnelOutcome, Connection), String> {
    let stream = connect_staggered(address).await?;
    connection::set_socket_options(&stream).map_err(|error| error.to_string())?;
    let mut connection = Framed::new(stream, Codec::default());
    let request = Frame {
        stream: 1,
        last: true,
        body: Some(Body::Tunnel(tunnel)),
    };
    let sent = async {
        connection.feed(greeting.hello()).await?;
        connection.send(request).await
    };
    sent.await.map_err(|error| error.to_string())?;
    greeting.accepts(connection.next().await.and_then(Result::ok))?;
    let answer = connection.next().await.and_then(Result::ok);
    let outcome = match answer.and_then(|frame| frame.body) {
        Some(Body::TunnelOutcome(outcome)) => TunnelOutcome::try_from(outcome).ok(),
        _ => None,
    };
    let outcome = outcome.ok_or("the peer does not pass connections on")?;
    Ok((outcome, connection))
}

/// One stream that this process opened. Dropping it cancels it at the peer.
#[derive(Debug)]
pub struct Call {
    stream: id::Stream,
    shared: Arc<Shared>,
    receiver: mpsc::UnboundedReceiver<Result<(Body, bool), Error>>,
    queued: Arc<AtomicUsize>,
    ended: bool,
}

impl Call {
    /// Next message; `None` after the last.
    ///
    /// # Errors
    ///
    /// The connection was lost before the last message came.
    pub async fn next(&mut self) -> Result<Option<Body>, Error> {
        if self.ended {
            return Ok(None);
        }
        match self.receiver.recv().await {
            Some(Ok((body, last))) => {
                self.queued.fetch_sub(weight(&body), Ordering::Relaxed);
                self.ended = last;
                Ok(Some(body))
            }
            Some(Err(error)) => Err(error),
            None => Err(Error::Lost),
        }
    }

    /// The single answer to a question.
    ///
    /// # Errors
    ///
    /// The connection was lost before it came.
    pub async fn answer(mut self) -> Result<Body, Error> {
        self.next().await?.ok_or(Error::Lost)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some(inboxes) = lock(&self.shared.inboxes).as_mut() {
            inboxes.remove(&self.stream);
        }
        if self.ended {
            return;
        }
        let frame = Frame {
            stream: self.stream,
            last: true,
            body: Some(Body::Cancel(Cancel {})),
        };
        // A connection that takes no frame has ended, or soon will.
        let _ = self.shared.writer.try_send(frame);
    }
}

fn weight(body: &Body) -> usize {
    match body {
        Body::Chunk(bytes) | Body::Notice(bytes) => bytes.len(),
        _ => 1,
    }
}

async fn read(mut stream: Reader, shared: Arc<Shared>) {
    let mut probes = 0;
    loop {
        // A connection that cannot be written is of no use.
        let frame = tokio::select! {
            frame = timeout(PROBE_INTERVAL, stream.next()) => frame,
            () = shared.writer.closed() => Ok(None),
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                probes = 0;
                shared.unheard.store(false, Ordering::Relaxed);
                deliver(&shared, frame);
            }
            Ok(Some(Err(error))) => {
                emit!(FRAME_INVALID, "{error}");
                break;
            }
            Ok(None) => break,
            Err(_) if !shared.expects() => probes = 0,
            Err(_) if probes == PROBES => {
                emit!(LINK_SILENT, "no answer to {PROBES} probes");
                break;
            }
            Err(_) => {
                probes += 1;
                // A writer that is full is as silent as the peer.
                let _ = shared.writer.try_send(probe());
            }
        }
    }
    let inboxes = lock(&shared.inboxes).take();
    for (_, inbox) in inboxes.into_iter().flatten() {
        let _ = inbox.sender.send(Err(Error::Lost));
    }
}

impl Shared {
    /// Whether the peer owes a frame.
    fn expects(&self) -> bool {
        let open = lock(&self.inboxes).as_ref().map_or(0, HashMap::len);
        open > 0 || self.unheard.load(Ordering::Relaxed)
    }
}

fn probe() -> Frame {
    Frame {
        stream: 0,
        last: true,
        body: Some(Body::Probe(Probe {})),
    }
}

fn deliver(shared: &Shared, frame: Frame) {
    let Some(body) = frame.body else {
        return;
    };
    if matches!(body, Body::Probe(_)) {
        return;
    }
    let mut inboxes = lock(&shared.inboxes);
    let Some(inboxes) = inboxes.as_mut() else {
        return;
    };
    let Some(inbox) = inboxes.get(&frame.stream) else {
        shared.dropped.fetch_add(1, Ordering::Relaxed);
        emit!(FRAME_DROPPED, "stream {} has ended", frame.stream);
        return;
    };
    let size = weight(&body);
    let queued = inbox.queued.fetch_add(size, Ordering::Relaxed) + size;
    if queued > READ_LIMIT {
        let _ = inbox.sender.send(Err(Error::Slow));
        inboxes.remove(&frame.stream);
        return;
    }
    let _ = inbox.sender.send(Ok((body, frame.last)));
    if frame.last {
        inboxes.remove(&frame.stream);
    }
}

/// Connections to peers by address, opened when needed and again when lost.
#[derive(Clone, Debug)]
pub struct Pool {
    greeting: Arc<Greeting>,
    links: Arc<Mutex<BTreeMap<String, Slot>>>,
}

type Slot = Arc<tokio::sync::Mutex<Option<Link>>>;

impl Pool {
    /// Makes an empty pool.
    pub fn new(greeting: Greeting) -> Self {
        Self {
            greeting: Arc::new(greeting),
            links: Arc::default(),
        }
    }

    /// Who this process is to its peers.
    pub fn greeting(&self) -> &Greeting {
        &self.greeting
    }

    /// A connection to a peer.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached, or refuses.
    pub async fn link(&self, address: &str) -> Result<Link, Error> {
        let slot = lock(&self.links)
            .entry(address.to_owned())
            .or_default()
            .clone();
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| link.is_open()) {
            return Ok(link.clone());
        }
        let link = Link::open(address, &self.greeting).await?;
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Opens a stream to a peer with its first message.
    ///
    /// # Errors
    ///
    /// `Connect` when nothing was sent.
    pub async fn call(&self, address: &str, body: Body) -> Result<Call, Error> {
        let link = self.link(address).await?;
        link.call(body).await.map_err(|_| Error::Connect {
            address: address.to_owned(),
            reason: "connection closed".to_owned(),
        })
    }

    /// Keeps sending messages of a queue that have no answer; those that cannot go are dropped.
    pub async fn tell_all(self, address: String, mut queue: mpsc::Receiver<Body>) {
        while let Some(body) = queue.recv().await {
            let Ok(link) = self.link(&address).await else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                while queue.try_recv().is_ok() {}
                continue;
            };
            let _ = link.tell(body);
        }
    }
}

/// The receiver's end of one stream. Dropping it unfinished tells the opener to ask again.
#[derive(Debug)]
pub struct Responder {
    stream: id::Stream,
    finished: bool,
    writer: Writer,
    cancelled: watch::Receiver<bool>,
    host: id::Host,
}

impl Responder {
    /// Sends a message that is not the last.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn send(&self, body: Body) -> Result<(), Error> {
        self.write(body, false).await
    }

    /// Sends a message that is not the last and that all others on the connection may pass, as soon as the
    /// peer takes it.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn send_bulk(&self, body: Body) -> Result<(), Error> {
        let frame = Frame {
            stream: self.stream,
            last: false,
            body: Some(body),
        };
        self.writer.send_bulk(frame).await
    }

    /// Sends the last message.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn finish(mut self, body: Body) -> Result<(), Error> {
        self.finished = true;
        self.write(body, true).await
    }

    /// Sends a message that is not the last, unless too much waits for the connection.
    ///
    /// # Errors
    ///
    /// The connection has ended, or too much waits for it.
    pub fn send_now(&self, body: Body) -> Result<(), Error> {
        let frame = Frame {
            stream: self.stream,
            last: false,
            body: Some(body),
        };
        self.writer.try_send(frame)
    }

    /// Sends the last message unless too much waits for the connection.
    pub fn finish_now(mut self, body: Body) {
        self.finish_with(body);
    }

    fn finish_with(&mut self, body: Body) {
        self.finished = true;
        if self.stream == 0 {
            return;
        }
        let frame = Frame {
            stream: self.stream,
            last: true,
            body: Some(body),
        };
        let _ = self.writer.try_send(frame);
    }

    async fn write(&self, body: Body, last: bool) -> Result<(), Error> {
        let frame = Frame {
            stream: self.stream,
            last,
            body: Some(body),
        };
        self.writer.send(frame).await
    }

    /// Host name of the opener; empty for a tool.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Whether the opener has given up or is gone.
    pub fn is_cancelled(&self) -> bool {
        let reader_ended = self.cancelled.has_changed().is_err();
        reader_ended || *self.cancelled.borrow() || self.writer.is_closed()
    }

    /// Waits until the opener has given up or is gone.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        tokio::select! {
            // An error means that the reader of the connection has ended.
            _ = cancelled.wait_for(|cancelled| *cancelled) => {}
            () = self.writer.closed() => {}
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if !self.finished {
            self.finish_with(Body::Redirect(Redirect::default()));
        }
    }
}

/// Takes over connections that peers want passed on to an upstream.
pub type TunnelQueue = mpsc::Sender<(Tunnel, TcpStream)>;

/// Accepts connections and hands each opened stream to `handle`, and each connection that is to be passed
/// on to `tunnels`.
pub async fn serve<H>(
    listener: TcpListener,
    greeting: Greeting,
    handle: H,
    tunnels: Option<TunnelQueue>,
) where
    H: Fn(Body, Responder) + Clone + Send + Sync + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let greeting = greeting.clone();
                let (handle, tunnels) = (handle.clone(), tunnels.clone());
                tokio::spawn(async move { accept(stream, greeting, handle, tunnels).await });
            }
            Err(error) => {
                emit!(ACCEPT_FAILED, "{error}");
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

async fn accept<H>(stream: TcpStream, greeting: Greeting, handle: H, tunnels: Option<TunnelQueue>)
where
    H: Fn(Body, Responder),
{
    // A connection without the options works, only slower.
    let _ = connection::set_socket_options(&stream);
    let mut connection = Framed::new(stream, Codec::default());
    let first = timeout(CONNECT_TIMEOUT, connection.next()).await;
    let hello = match greeting.accepts(first.ok().flatten().and_then(Result::ok)) {
        Ok(hello) => hello,
        Err(reason) => {
            emit!(PEER_REFUSED, "{reason}");
            return;
        }
    };
    if connection.send(greeting.hello()).await.is_err() {
        return;
    }
    let Some(mut first) = connection.next().await else {
        return;
    };
    if let Ok(frame) = &mut first
        && let Some(Body::Tunnel(tunnel)) = &mut frame.body
    {
        // An upstream gets nothing before the opener has heard that the connection stands.
        if let Some(tunnels) = tunnels {
            let tunnel = std::mem::take(tunnel);
            // A queue that is full refuses by the end of the connection.
            let _ = tunnels.try_send((tunnel, connection.into_inner()));
        }
        return;
    }
    let (sink, stream) = split(connection);
    let mut stream = stream::iter([first]).chain(stream);
    let writer = Writer::start(sink);
    let mut open: HashMap<id::Stream, watch::Sender<bool>> = HashMap::new();
    let mut prune_at = PRUNE_MIN;
    while let Some(frame) = stream.next().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                emit!(FRAME_INVALID, "from {}: {error}", hello.host);
                return;
            }
        };
        match frame.body {
            Some(Body::Probe(_)) => {
                // A writer that is full shows the peer by its frames that this host hears.
                let _ = writer.try_send(probe());
            }
            Some(Body::Cancel(_)) => {
                if let Some(cancel) = open.remove(&frame.stream) {
                    cancel.send_replace(true);
                }
            }
            Some(body) => {
                let (cancel, cancelled) = watch::channel(false);
                if open.len() >= prune_at {
                    open.retain(|_, cancel| !cancel.is_closed());
                    prune_at = PRUNE_MIN + 2 * open.len();
                }
                if frame.stream > 0 {
                    open.insert(frame.stream, cancel);
                }
                let responder = Responder {
                    stream: frame.stream,
                    finished: false,
                    writer: writer.clone(),
                    cancelled,
                    host: hello.host.clone(),
                };
                handle(body, responder);
            }
            None => {}
        }
    }
}
