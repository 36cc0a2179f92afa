//! Starts hosts as the deploy file does, and stands in for the platform, replicas, operators and clients.
//! Only the standard library is used.

#![allow(dead_code)]

pub mod engine;
pub mod http;
pub mod manifest;
pub mod replica;

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Time of the site sheets that the list lags behind.
pub const LIST_LAG: Duration = Duration::from_millis(800);
/// Longest time of a case; the issue allows 120 seconds.
const CASE_LIMIT: Duration = Duration::from_secs(110);
/// Time from the start of the hosts until traffic begins.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Offsets of the ports of a host.
const PEER: u16 = 0;
const ADMIN: u16 = 1;
const FRONT: u16 = 2;
const READY: u16 = 3;
const CONTROL: u16 = 4;
/// Zones of the hosts, in turn.
const ZONES: [&str; 3] = ["andes-a", "andes-b", "andes-c"];

/// What was sent, answered and run, as written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<File>>,
}

impl Record {
    fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            lines: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line with the time since the start in seconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.lines.lock().unwrap();
        writeln!(file, "{at:8.3} {}", text.as_ref()).expect("the record can be written");
    }
}

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one with 2.
fn abandon(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for id in started {
        Command::new("kill").args(["-KILL", &id.to_string()]).status().ok();
    }
    std::process::exit(2)
}

/// One process of the system.
struct Host {
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The hosts and the addresses around them.
pub struct Site {
    pub record: Record,
    pub base: u16,
    hosts: Mutex<Vec<Host>>,
    folder: PathBuf,
    /// Whether the case runs with its disruption.
    pub trouble: bool,
}

/// An address of the site.
pub fn address(ip: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, ip], port))
}

/// First of five ports that are free at every address that a case uses.
fn free_ports() -> u16 {
    let start = 12_000 + (std::process::id() % 1500) as u16 * 10;
    let free = |ip: u8, port: u16| TcpListener::bind(address(ip, port)).is_ok();
    let all_free = |base: u16| {
        let ips = (1..=6).chain(9..=9).chain(20..40);
        ips.into_iter().all(|ip| (0..5).all(|at| free(ip, base + at)))
    };
    (start..32_000)
        .step_by(5)
        .find(|base| all_free(*base))
        .expect("free ports")
}

impl Site {
    /// Prepares a site in a temporary folder; `case` is the folder of the record.
    pub fn prepare(case: &Path) -> Self {
        std::panic::set_hook(Box::new(|panic| abandon(&panic.to_string())));
        thread::spawn(|| {
            thread::sleep(CASE_LIMIT);
            abandon("it takes too long")
        });
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            record: Record::create(&case.join("record.txt")),
            base: free_ports(),
            hosts: Mutex::new(Vec::new()),
            folder,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }

    pub fn list_address(&self) -> SocketAddr {
        address(9, self.base + 4)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        address(host, self.base + FRONT)
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        address(host, self.base + CONTROL)
    }

    /// Settings of a host: the template of the deploy file with the values of a small deployment. Each
    /// host also connects to replicas from its own address, so that stand-ins can tell hosts apart.
    fn settings(&self, host: u8) -> String {
        let at = |offset: u16| address(host, self.base + offset).to_string();
        let seeds: Vec<String> = (1..=3).map(|seed| self.control(seed).to_string()).collect();
        let data = self.folder.join(format!("data{host}"));
        let has_disk = host <= 3;
        let zone = ZONES[usize::from(host - 1) % ZONES.len()];
        let mut text = fs::read_to_string("deploy/host.ini").expect("the template");
        let sections = [("bootstrap", true), ("dataDir", has_disk)];
        for (name, value) in sections {
            text = render_section(&text, name, value);
        }
        let values = [
            ("node", format!("front-{zone}-{host}")),
            ("zone", zone.to_owned()),
            ("ip", format!("127.0.0.{host}")),
            ("internalPorts.0", (self.base + PEER).to_string()),
            ("internalPorts.1", (self.base + ADMIN).to_string()),
            ("seeds", seeds.join(",")),
            ("dataDir", data.display().to_string()),
            ("faultTolerance.machines", "1".to_owned()),
            ("listen.front", at(FRONT)),
            ("listen.ready", at(READY)),
            ("listen.control", at(CONTROL)),
            ("cloud.address", self.list_address().to_string()),
            ("cloud.ratePerS", "47.0".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.version_ms", "5000".to_owned()),
            ("bounds.leaseMs", "3000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "64".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "an unknown placeholder in the template");
        format!("{text}upstream-source = 127.0.0.{host}\n")
    }

    /// Starts hosts 1 to `count`; the first three have disks.
    pub fn start_hosts(&self, count: u8) {
        for host in 1..=count {
            let config = self.folder.join(format!("host{host}.ini"));
            fs::write(&config, self.settings(host)).expect("settings");
            let log = self.folder.join(format!("host{host}.log"));
            self.lock().push(Host {
                config,
                log,
                child: None,
            });
            self.start_host(host);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Host>> {
        self.hosts.lock().unwrap()
    }

    /// Starts a host with the command of the deploy file.
    pub fn start_host(&self, host: u8) {
        let mut hosts = self.lock();
        let entry = &mut hosts[usize::from(host) - 1];
        let open = File::options().create(true).append(true).open(&entry.log);
        let log = open.expect("a log file");
        let child = Command::new("target/release/tanagershiftd")
            .arg("--config")
            .arg(&entry.config)
            .env("TANAGERSHIFT_NODE_FILE", &entry.config)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                entry.child = Some(child);
            }
            Err(error) => self.cannot_run(&format!("a host does not start: {error}")),
        }
        self.record.line(format!("host {host} started"));
    }

    /// Kills a host with SIGKILL.
    pub fn kill_host(&self, host: u8) {
        let child = self.lock()[usize::from(host) - 1].child.take();
        if let Some(mut child) = child {
            self.record.line(format!("host {host} killed"));
            end(&mut child);
        }
    }

    /// Sends a host SIGTERM.
    pub fn terminate_host(&self, host: u8) {
        let hosts = self.lock();
        if let Some(child) = &hosts[usize::from(host) - 1].child {
            self.record.line(format!("host {host} gets SIGTERM"));
            let id = child.id().to_string();
            Command::new("kill").args(["-TERM", &id]).status().ok();
        }
    }

    /// Text of a host's log so far.
    pub fn log(&self, host: u8) -> String {
        let path = self.lock()[usize::from(host) - 1].log.clone();
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Puts a configuration in force, and waits until every host is ready.
    pub fn configure(&self, hosts: u8, text: &str) {
        let until = Instant::now() + START_LIMIT;
        let mut host = 0;
        loop {
            host = host % 3 + 1;
            let headers = [("content-type", "application/json")];
            let limit = Duration::from_secs(2);
            let put = http::call(self.control(host), "PUT", "/v1/config", &headers, text, limit);
            if put.status == Some(200) {
                self.record.line("the configuration is acknowledged");
                break;
            }
            if Instant::now() > until {
                self.cannot_run(&format!("the configuration is not accepted: {put:?}"));
            }
            thread::sleep(Duration::from_millis(200));
        }
        for host in 1..=hosts {
            let ready = address(host, self.base + READY);
            let limit = Duration::from_secs(1);
            while http::call(ready, "GET", "/v1/ready", &[], "", limit).status != Some(200) {
                if Instant::now() > until {
                    self.cannot_run(&format!("host {host} is not ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("every host is ready");
    }

    /// Ends with 2: the case could not run.
    pub fn cannot_run(&self, reason: &str) -> ! {
        self.record.line(format!("the case could not run: {reason}"));
        eprintln!("the case could not run: {reason}");
        self.stop();
        std::process::exit(2)
    }

    /// Ends with 1 if the rule was broken, 0 if it held.
    pub fn verdict(&self, broken: bool, text: &str) -> ExitCode {
        let outcome = if broken { "BROKEN" } else { "HELD" };
        self.record.line(format!("{outcome}: {text}"));
        println!("{outcome}: {text}");
        self.stop();
        ExitCode::from(u8::from(broken))
    }

    /// Ends all processes that were started, and removes the temporary folder.
    fn stop(&self) {
        let mut hosts = match self.hosts.try_lock() {
            Ok(hosts) => hosts,
            Err(_) => return,
        };
        for host in hosts.iter_mut() {
            if let Some(mut child) = host.child.take() {
                end(&mut child);
            }
        }
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Kills a process and waits for its end.
fn end(child: &mut Child) {
    child.kill().ok();
    child.wait().ok();
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

/// Keeps or removes the sections of the template that depend on a value.
fn render_section(text: &str, name: &str, value: bool) -> String {
    let mut text = text.to_owned();
    for (mark, keep) in [('#', value), ('^', !value)] {
        let (open, close) = (format!("{{{{{mark}{name}}}}}"), format!("{{{{/{name}}}}}"));
        while let Some(start) = text.find(&open) {
            let end = start + text[start..].find(&close).expect("a closed section");
            let inner = text[start + open.len()..end].to_owned();
            let inner = if keep { inner.as_str() } else { "" };
            text = format!("{}{inner}{}", &text[..start], &text[end + close.len()..]);
        }
    }
    text
}
