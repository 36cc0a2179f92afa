//! Starts hosts of the system as the deploy file does, with stand-ins of the platform's list, replicas,
//! operator and clients on loopback addresses, and checks one rule. Standard library only.
//!
//!     harness CASE FOLDER
//!
//! Writes FOLDER/record.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
//! `TROUBLE=0` in the environment leaves the disruption out.

use std::{
    collections::HashMap,
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    panic::{self, AssertUnwindSafe},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

#[path = "cases.rs"]
mod cases;

/// Bounds of the small installations (`kit/more/system/sites`).
pub const DRAIN: Duration = Duration::from_millis(3000);
pub const CONTACT: Duration = Duration::from_millis(3000);

pub const PORT_FRONT: u16 = 8149;
pub const PORT_READY: u16 = 8141;
pub const PORT_CONTROL: u16 = 8144;
pub const PORT_PEER: u16 = 7380;
pub const PORT_LIST: u16 = 8142;
pub const PORT_REPLICA: u16 = 8080;
pub const HOSTS: u8 = 3;

pub type Fault<T> = Result<T, String>;

/// What is written to record.txt.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.began.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
        self.lines.lock().unwrap().push(line);
    }
}

/// A request as a server has read it.
pub struct Asked {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Asked {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn id(&self) -> &str {
        self.header("tanagershift-request-id")
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Asked>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Asked { method, path, headers, body }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// A server with a thread for each connection. `stop` ends it as the end of its process would.
#[derive(Clone)]
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
}

impl Server {
    pub fn start<F>(address: SocketAddr, converse: F) -> Fault<Self>
    where
        F: Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let server = Self { stopped: Arc::default(), open: Arc::default(), address };
        let (own, converse) = (server.clone(), Arc::new(converse));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if own.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    own.open.lock().unwrap().push(copy);
                }
                let converse = converse.clone();
                thread::spawn(move || converse(stream).ok());
            }
        });
        Ok(server)
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// An answer as a client has read it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads an answer with a length, chunks, or neither.
    pub fn read(&mut self) -> io::Result<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1).and_then(|text| text.trim().parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        let mut body = Vec::new();
        if headers.get("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
            loop {
                let mut line = String::new();
                if self.reader.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let mut chunk = vec![0; size + 2];
                self.reader.read_exact(&mut chunk)?;
                body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = headers.get("content-length") {
            body = vec![0; length.parse().map_err(io::Error::other)?];
            self.reader.read_exact(&mut body)?;
        } else {
            self.reader.read_to_end(&mut body)?;
        }
        Ok(Answer { status, headers, body })
    }
}

pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut client = Client::open(address, limit)?;
    client.send(request)?;
    client.read()
}

/// The whole small site of one run.
pub struct Site {
    pub record: Arc<Record>,
    pub trouble: bool,
    /// First three bytes of every address.
    net: [u8; 3],
    work: PathBuf,
    children: Mutex<HashMap<u8, Child>>,
    next_id: AtomicU64,
    /// The platform's list as it is sent.
    pub list: Arc<Mutex<Vec<u8>>>,
}

impl Site {
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.net;
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(a, b, c, number), port))
    }

    pub fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:04x}{number:012x}", std::process::id() & 0xffff)
    }

    /// Serves the platform's list.
    pub fn serve_list(&self) -> Fault<Server> {
        let list = self.list.clone();
        Server::start(self.address(100, PORT_LIST), move |stream| {
            let mut writer = stream.try_clone()?;
            let mut reader = BufReader::new(stream);
            while read_request(&mut reader)?.is_some() {
                let bytes = list.lock().unwrap().clone();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    bytes.len()
                );
                writer.write_all(&[head.as_bytes(), &bytes].concat())?;
            }
            Ok(())
        })
    }

    pub fn set_list(&self, entries: &[Vec<u8>]) {
        let mut text = b"{\"instances\":[".to_vec();
        text.extend(entries.join(&b","[..]));
        text.extend(b"],\"next\":null}");
        *self.list.lock().unwrap() = text;
    }

    /// Writes the settings of a host from the template of the deploy file.
    fn settings(&self, number: u8, bootstrap: bool) -> Fault<PathBuf> {
        let template = fs::read_to_string("deploy/host.ini").map_err(|error| error.to_string())?;
        let seeds: Vec<String> =
            (1..=HOSTS).map(|one| self.address(one, PORT_CONTROL).to_string()).collect();
        let data = self.work.join(format!("data-{number}"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let ip = self.address(number, 0).ip().to_string();
        let values: HashMap<&str, String> = HashMap::from([
            ("node", format!("front-{number}")),
            ("zone", format!("zone-{number}")),
            ("ip", ip),
            ("internalPorts.0", PORT_PEER.to_string()),
            ("internalPorts.1", (PORT_PEER + 1).to_string()),
            ("bounds.graceS", "8".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("seeds", seeds.join(",")),
            ("bootstrap", if bootstrap { "true" } else { "" }.to_owned()),
            ("faultTolerance.machines", "1".to_owned()),
            ("dataDir", data.display().to_string()),
            ("cloud.address", self.address(100, PORT_LIST).to_string()),
            ("cloud.ratePerS", "47.0".to_owned()),
            ("listen.front", self.address(number, PORT_FRONT).to_string()),
            ("listen.ready", self.address(number, PORT_READY).to_string()),
            ("listen.control", self.address(number, PORT_CONTROL).to_string()),
            ("bounds.version_ms", "5000".to_owned()),
            ("bounds.leaseMs", "3000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "64".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
        ]);
        let file = self.work.join(format!("node-{number}.ini"));
        fs::write(&file, render(&template, &values)?).map_err(|error| error.to_string())?;
        Ok(file)
    }

    /// Starts a host as the deploy file does.
    pub fn start_host(&self, number: u8, bootstrap: bool) -> Fault<()> {
        let file = self.settings(number, bootstrap)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.work.join(format!("host-{number}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new("target/release/tanagershiftd")
            .arg("--config")
            .arg(&file)
            .env("TANAGERSHIFT_NODE_FILE", &file)
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|error| format!("target/release/tanagershiftd: {error}"))?;
        self.record.add(format!("host {number} starts as process {}", child.id()));
        self.children.lock().unwrap().insert(number, child);
        Ok(())
    }

    /// Sends a signal to a host.
    pub fn signal(&self, number: u8, name: &str) -> Fault<()> {
        let id = self.children.lock().unwrap().get(&number).map(Child::id);
        let id = id.ok_or("the host does not run")?;
        let status = Command::new("kill").args([format!("-{name}"), id.to_string()]).status();
        self.record.add(format!("host {number} gets SIG{name}"));
        status.map(drop).map_err(|error| error.to_string())
    }

    /// Waits for the end of a host that was sent a signal.
    pub fn wait_host(&self, number: u8) {
        if let Some(mut child) = self.children.lock().unwrap().remove(&number) {
            let _ = child.wait();
        }
    }

    /// Hosts whose processes have ended by themselves.
    pub fn ended_hosts(&self) -> Vec<u8> {
        let mut children = self.children.lock().unwrap();
        let ended = |(number, child): (&u8, &mut Child)| {
            matches!(child.try_wait(), Ok(Some(_))).then_some(*number)
        };
        children.iter_mut().filter_map(ended).collect()
    }

    pub fn host_log(&self, number: u8) -> String {
        let file = self.work.join(format!("host-{number}.log"));
        fs::read(file).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).unwrap_or_default()
    }

    /// Gives the system a manifest, as an operator does.
    pub fn put_manifest(&self, text: &str, limit: Duration) -> Fault<()> {
        let until = Instant::now() + limit;
        let request = format!(
            "PUT /v1/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{text}",
            text.len()
        );
        let mut number = 0;
        while Instant::now() < until {
            number = number % HOSTS + 1;
            let address = self.address(number, PORT_CONTROL);
            match call(address, request.as_bytes(), Duration::from_secs(1)) {
                Ok(answer) if answer.status == 200 => {
                    self.record.add(format!("manifest acknowledged by host {number}"));
                    return Ok(());
                }
                Ok(answer) if (400..500).contains(&answer.status) => {
                    return Err(format!("the manifest is refused with {}", answer.status));
                }
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        Err("the manifest was not acknowledged".to_owned())
    }

    /// Waits until every host says that it is ready.
    pub fn await_ready(&self, limit: Duration) -> Fault<()> {
        let until = Instant::now() + limit;
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        while Instant::now() < until {
            let is_ready = |number| {
                let address = self.address(number, PORT_READY);
                let answer = call(address, request, Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status == 200)
            };
            if (1..=HOSTS).all(is_ready) {
                self.record.add("all hosts are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the hosts did not become ready".to_owned())
    }
}

impl Site {
    /// Ends all hosts and removes their files.
    fn end(&self) {
        for (_, mut child) in self.children.lock().unwrap().drain() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.work);
        } else {
            eprintln!("kept {}", self.work.display());
        }
    }
}

/// Fills in the template of the deploy file: values, and sections that are there or not.
fn render(template: &str, values: &HashMap<&str, String>) -> Fault<String> {
    let mut out = String::new();
    let mut rest = template;
    // Whether each open section is written.
    let mut written: Vec<bool> = Vec::new();
    while let Some(start) = rest.find("{{") {
        if written.iter().all(|one| *one) {
            out.push_str(&rest[..start]);
        }
        let end = rest[start..].find("}}").ok_or("a placeholder does not end")? + start;
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        let value = |name: &str| values.get(name).map_or("", String::as_str);
        match name.chars().next() {
            Some('#') => written.push(!value(&name[1..]).is_empty()),
            Some('^') => written.push(value(&name[1..]).is_empty()),
            Some('/') => drop(written.pop()),
            _ if !values.contains_key(name) => return Err(format!("unknown placeholder {name}")),
            _ if written.iter().all(|one| *one) => out.push_str(value(name)),
            _ => {}
        }
    }
    out.push_str(rest);
    Ok(out)
}

/// Outcome of a case that ran.
pub enum Verdict {
    Held,
    Broken(String),
}

fn free_net() -> Fault<[u8; 3]> {
    let seed = std::process::id() as u64 ^ (Instant::now().elapsed().as_nanos() as u64);
    for step in 0..200u64 {
        let number = seed.wrapping_mul(2654435761).wrapping_add(step * 7919);
        let net = [127, 16 + (number % 200) as u8, 1 + ((number >> 8) % 250) as u8];
        let wanted = [
            (1, PORT_FRONT),
            (1, PORT_READY),
            (1, PORT_CONTROL),
            (1, PORT_PEER),
            (1, PORT_PEER + 1),
            (100, PORT_LIST),
            (10, PORT_REPLICA),
        ];
        let is_free = |(number, port): &(u8, u16)| {
            let ip = Ipv4Addr::new(net[0], net[1], net[2], *number);
            TcpListener::bind((ip, *port)).is_ok()
        };
        if wanted.iter().all(is_free) {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".to_owned())
}

fn run(name: &str, folder: &Path) -> Fault<Verdict> {
    let file = fs::File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
    let record = Arc::new(Record {
        began: Instant::now(),
        lines: Mutex::default(),
        file: Mutex::new(file),
    });
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    record.add(format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let work = env::temp_dir().join(format!("tanagershift-review-{}", std::process::id()));
    fs::create_dir_all(&work).map_err(|error| error.to_string())?;
    let site = Arc::new(Site {
        record: record.clone(),
        trouble,
        net: free_net()?,
        work,
        children: Mutex::default(),
        next_id: AtomicU64::new(1),
        list: Arc::default(),
    });
    let verdict = panic::catch_unwind(AssertUnwindSafe(|| cases::run(name, &site)));
    site.end();
    let verdict = verdict.unwrap_or_else(|_| Err("the stand-ins failed".to_owned()));
    match &verdict {
        Ok(Verdict::Held) => record.add("RESULT: the rule held"),
        Ok(Verdict::Broken(what)) => record.add(format!("RESULT: the rule was broken: {what}")),
        Err(reason) => record.add(format!("RESULT: the case could not run: {reason}")),
    }
    verdict
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(&name, Path::new(&folder)) {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            println!("broken: {what}");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
