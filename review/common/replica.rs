//! Servers that stand in for replicas and for the platform's list.

use std::{
    collections::BTreeMap,
    ffi::{c_int, c_void},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::fd::{AsRawFd, RawFd},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::http::{parse_headers, read_head, read_more};

/// A request as a server read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Number of the host whose address it came from.
    pub host: u8,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("tanagershift-request-id")
    }
}

/// Answers one request on its connection; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// A listening server.
pub struct Server {
    address: SocketAddr,
    handler: Handler,
    listener: Mutex<Option<Arc<TcpListener>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Hosts whose packets do not arrive.
    cut: Arc<Mutex<Vec<u8>>>,
}

impl Server {
    /// Starts to listen.
    pub fn start(address: SocketAddr, handler: Handler) -> Arc<Self> {
        let server = Arc::new(Self {
            address,
            handler,
            listener: Mutex::new(None),
            streams: Arc::default(),
            cut: Arc::default(),
        });
        server.listen();
        server
    }

    /// Listens again after [`Server::crash`].
    pub fn listen(self: &Arc<Self>) {
        let listener = Arc::new(TcpListener::bind(self.address).expect("a free address"));
        filter(listener.as_raw_fd(), &self.cut.lock().unwrap());
        *self.listener.lock().unwrap() = Some(listener.clone());
        let server = self.clone();
        let ended = Arc::new(AtomicBool::new(false));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { break };
                let current = server.listener.lock().unwrap().clone();
                if current.is_none_or(|current| !Arc::ptr_eq(&current, &listener)) {
                    break;
                }
                filter(stream.as_raw_fd(), &server.cut.lock().unwrap());
                if let Ok(copy) = stream.try_clone() {
                    server.streams.lock().unwrap().push(copy);
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
            ended.store(true, Ordering::Relaxed);
        });
    }

    /// Ends as a killed process does: its connections are reset, and nothing listens any more.
    pub fn crash(&self) {
        let listener = self.listener.lock().unwrap().take();
        if let Some(listener) = listener {
            // Wakes the thread that accepts.
            unsafe { shutdown(listener.as_raw_fd(), 2) };
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            reset(&stream);
        }
    }

    /// Drops all packets from some hosts, on new and on kept connections; none heals the cut.
    pub fn cut(&self, hosts: &[u8]) {
        *self.cut.lock().unwrap() = hosts.to_vec();
        if let Some(listener) = &*self.listener.lock().unwrap() {
            filter(listener.as_raw_fd(), hosts);
        }
        for stream in self.streams.lock().unwrap().iter() {
            filter(stream.as_raw_fd(), hosts);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let host = match stream.peer_addr().map(|peer| peer.ip()) {
            Ok(IpAddr::V4(ip)) => ip.octets()[3],
            _ => 0,
        };
        let mut kept = Vec::new();
        while let Ok(lines) = read_head(&mut stream, &mut kept) {
            let mut first = lines[0].split(' ');
            let (method, path) = (first.next().unwrap_or(""), first.next().unwrap_or(""));
            let headers: BTreeMap<String, String> =
                parse_headers(&lines[1..]).into_iter().collect();
            let length = headers.get("content-length").and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            while kept.len() < length {
                if read_more(&mut stream, &mut kept).is_err() {
                    return;
                }
            }
            let body = String::from_utf8_lossy(&kept[..length]).into_owned();
            kept.drain(..length);
            let request = Request {
                method: method.to_owned(),
                path: path.to_owned(),
                headers,
                body,
                host,
            };
            if !(self.handler)(&request, &mut stream) {
                break;
            }
        }
        // The registered copy would keep the connection open.
        stream.shutdown(std::net::Shutdown::Both).ok();
    }
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = head(status, headers);
    text.truncate(text.len() - 2);
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).is_ok()
}

/// A head without a length, up to the empty line.
pub fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text
}

/// Whether the peer of a connection has left.
pub fn has_left(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok();
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

#[repr(C)]
struct Instruction {
    code: u16,
    if_true: u8,
    if_false: u8,
    value: u32,
}

#[repr(C)]
struct Program {
    length: u16,
    instructions: *const Instruction,
}

#[repr(C)]
struct Linger {
    on: c_int,
    seconds: c_int,
}

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32) -> c_int;
    fn shutdown(fd: c_int, how: c_int) -> c_int;
}

const SOL_SOCKET: c_int = 1;
const SO_LINGER: c_int = 13;
const SO_ATTACH_FILTER: c_int = 26;
/// Offset from which a filter reads the network header.
const NETWORK_HEADER: u32 = -0x10_0000_i32 as u32;
/// Offset of the source address in an IPv4 header.
const SOURCE: u32 = 12;

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let value = (&raw const linger).cast();
    let size = size_of::<Linger>() as u32;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, value, size) };
    // The thread that serves the connection holds another copy; `connect` to an unspecified address
    // resets it for both.
    unsafe extern "C" {
        fn connect(fd: c_int, address: *const c_void, length: u32) -> c_int;
    }
    let unspecified = [0_u16; 8];
    unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr().cast(), 16) };
}

/// Makes a socket of this process drop the packets from some hosts, as a cut link would.
fn filter(fd: RawFd, hosts: &[u8]) {
    let instruction = |code, if_true, if_false, value| Instruction {
        code,
        if_true,
        if_false,
        value,
    };
    let mut program = vec![instruction(0x20, 0, 0, NETWORK_HEADER + SOURCE)];
    for host in hosts {
        let source = u32::from(Ipv4Addr::new(127, 0, 0, *host));
        program.push(instruction(0x15, 0, 1, source));
        program.push(instruction(0x06, 0, 0, 0));
    }
    program.push(instruction(0x06, 0, 0, u32::MAX));
    let program = Program {
        length: program.len() as u16,
        instructions: program.leak().as_ptr(),
    };
    let value = (&raw const program).cast();
    let size = size_of::<Program>() as u32;
    if unsafe { setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, value, size) } != 0 {
        eprintln!("the case could not run: a socket takes no filter");
        std::process::exit(2);
    }
}

/// Waits for a time, or until the peer has left; returns whether it is still there.
pub fn wait(stream: &TcpStream, time: Duration) -> bool {
    let step = Duration::from_millis(10);
    let mut left = time;
    while !left.is_zero() {
        thread::sleep(step.min(left));
        left = left.saturating_sub(step);
        if has_left(stream) {
            return false;
        }
    }
    true
}
