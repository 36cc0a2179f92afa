//! One small deployment of the real programs on loopback.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    time::{Duration, Instant},
};

use hyper::Method;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use standins::{
    http::{Client, Reply},
    ports,
};
use tempfile::TempDir;

/// Longest wait for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Operators' files that every site starts with.
const FILES: &[(&str, &str)] = &[
    (
        "plan.ini",
        "[adapter]\nname = plan\nbase = alphorn\naudience = academies\n",
    ),
    (
        "plan-1.ini",
        "[version]\nadapter = plan\nnumber = 1\nweights = plan/1\n",
    ),
    (
        "practice.ini",
        "[intent]\nname = practice\ntarget = plan@1\n",
    ),
    (
        "booking.ini",
        "[intent]\nname = booking\nservice = booking\n",
    ),
];

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Voters, one a zone.
    pub voters: usize,
    /// Entry hosts that hold replicas.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Arguments of each engine.
    pub engine: Vec<String>,
    /// Plain services.
    pub services: usize,
    /// More settings of the voters.
    pub voter: String,
    /// More settings of the entries, in sections.
    pub entry: String,
    /// Settings of the group.
    pub group: String,
    /// Milliseconds by which the platform's list lags.
    pub list_lag_ms: u64,
    /// Engines that are listed and do not run.
    pub paper_engines: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            voters: 3,
            entries: 2,
            engines: 2,
            engine: Vec::new(),
            services: 1,
            voter: String::new(),
            entry: String::new(),
            group: String::new(),
            list_lag_ms: 100,
            paper_engines: 0,
        }
    }
}

/// A running site. Everything that it started ends with it.
pub struct Site {
    folder: TempDir,
    plan: Plan,
    addresses: BTreeMap<String, String>,
    commands: BTreeMap<String, Vec<String>>,
    processes: BTreeMap<String, Child>,
    states: BTreeMap<String, &'static str>,
    /// Client for callers.
    pub client: Client,
}

/// Folder of the programs under test: beside this one, or above a test.
fn programs() -> PathBuf {
    let own = std::env::current_exe().expect("a program has a path");
    let folder = own
        .ancestors()
        .skip(1)
        .find(|folder| folder.join("tanagershiftd").exists());
    let folder = folder.expect("the programs are not built; use ./run-tests");
    folder.to_owned()
}

impl Site {
    /// Starts everything, bootstraps the group and publishes the first files.
    pub async fn start(plan: Plan) -> Self {
        let mut site = Self::prepare(plan);
        let mut names: Vec<String> = site.commands.keys().cloned().collect();
        names.sort_by_key(|name| name.starts_with("voter") || name.starts_with("entry"));
        for name in names {
            site.launch(&name);
        }
        site.until("the group starts", |site| {
            site.ctl(&["bootstrap"]).status.success()
        })
        .await;
        site.write_files(FILES);
        site.until("the first publish", |site| {
            site.ctl(&["publish", "FILES", "--wait", "--id", "first"])
                .status
                .success()
        })
        .await;
        if site.plan.entries > 0 {
            site.until_held().await;
        }
        site
    }

    fn prepare(plan: Plan) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let mut names = vec!["store".to_owned(), "list".to_owned()];
        for (kind, count) in [
            ("voter", plan.voters),
            ("entry", plan.entries),
            ("engine", plan.engines),
            ("service", plan.services),
        ] {
            names.extend((1..=count).map(|number| format!("{kind}{number}")));
        }
        let mut keys = Vec::new();
        for name in &names {
            keys.push(name.clone());
            if name.starts_with("voter") || name.starts_with("entry") {
                keys.push(format!("{name} peer"));
                keys.push(format!("{name} admin"));
            }
        }
        let listeners = ports::free(keys.len()).expect("ports are free");
        let address = |listener: &std::net::TcpListener| {
            listener.local_addr().expect("it is bound").to_string()
        };
        let addresses = keys
            .into_iter()
            .zip(listeners.iter().map(address))
            .collect();
        let mut site = Self {
            folder,
            plan,
            addresses,
            commands: BTreeMap::new(),
            processes: BTreeMap::new(),
            states: BTreeMap::new(),
            client: Client::default(),
        };
        drop(listeners);
        fs::write(site.path("token"), "secret of the test\n").expect("the token is written");
        for name in names {
            let command = site.command(&name);
            site.commands.insert(name, command);
        }
        site.write_list();
        site
    }

    /// A path in the site's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// An address of a process.
    pub fn address(&self, name: &str) -> &str {
        &self.addresses[name]
    }

    /// Peer addresses of the voters.
    pub fn voters(&self) -> String {
        let peer = |number| self.address(&format!("voter{number} peer")).to_owned();
        (1..=self.plan.voters)
            .map(peer)
            .collect::<Vec<_>>()
            .join(",")
    }

    fn command(&mut self, name: &str) -> Vec<String> {
        let address = self.address(name).to_owned();
        let own = |program: &str, more: &[&str]| {
            let fixed = [program, "--listen", &address];
            fixed
                .iter()
                .chain(more)
                .map(|text| (*text).to_owned())
                .collect()
        };
        let mut command: Vec<String> = match name {
            "store" => own("store", &["--rate", "40"]),
            "list" => {
                let file = self.path("upstreams.json").display().to_string();
                let lag = self.plan.list_lag_ms.to_string();
                own("list", &["--file", &file, "--lag-ms", &lag])
            }
            name if name.starts_with("engine") => {
                let store = self.address("store").to_owned();
                let mut command: Vec<String> =
                    own("engine", &["--base", "alphorn", "--store", &store]);
                command.extend(self.plan.engine.clone());
                command
            }
            name if name.starts_with("service") => own("service", &["--name", "booking"]),
            host => {
                let path = self.path(&format!("{host}.ini"));
                fs::write(&path, self.settings(host)).expect("settings are written");
                let path = path.display().to_string();
                return vec!["tanagershiftd".to_owned(), "--config".to_owned(), path];
            }
        };
        command.insert(0, "standins".to_owned());
        command
    }

    fn settings(&self, host: &str) -> String {
        let number: usize = host
            .trim_start_matches(char::is_alphabetic)
            .parse()
            .unwrap_or(1);
        let zone = ["a", "b", "c"][(number - 1) % 3];
        let mut text = format!(
            "[host]\nname = {host}\nzone = {zone}\npeer = {}\nadmin = {}\ntoken-file = {}\n\
             balancer = 200ms\ndrain = 20s\n[group]\nvoters = {}\n{}\n[platform]\nlist = {}\n\
             interval = 100ms\n[store]\nrate = 40/s\n",
            self.address(&format!("{host} peer")),
            self.address(&format!("{host} admin")),
            self.path("token").display(),
            self.voters(),
            self.plan.group,
            self.address("list"),
        );
        let more = if host.starts_with("voter") {
            let data = self.path(&format!("{host}.data"));
            let data = data.display();
            format!(
                "[voter]\ndata = {data}\n{}\n[holder]\nenabled = no\n",
                self.plan.voter
            )
        } else {
            format!(
                "[entry]\nlisten = {}\n{}\n",
                self.address(host),
                self.plan.entry
            )
        };
        // Writing to a string cannot fail.
        let _ = write!(text, "{more}");
        text
    }

    /// Writes operators' files into the folder that `publish FILES` reads.
    pub fn write_files(&self, files: &[(&str, &str)]) {
        let folder = self.path("files");
        // An earlier set may be there or not.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder can be made");
        for (name, text) in files {
            fs::write(folder.join(name), text).expect("a file can be written");
        }
    }

    /// Says how the platform lists an upstream: `live`, `leaving` or `gone`.
    pub fn list(&mut self, upstream: &str, state: &'static str) {
        self.states.insert(upstream.to_owned(), state);
        self.write_list();
    }

    fn write_list(&self) {
        let mut upstreams: Vec<Value> = (0..self.plan.paper_engines)
            .map(|number| {
                json!({
                    "name": format!("paper-{number:05}"), "kind": "engine", "serves": "alphorn",
                    "zone": "a", "address": "127.0.0.1:9", "state": "live",
                })
            })
            .collect();
        for (name, address) in &self.addresses {
            let (kind, serves) = match name {
                name if name.starts_with("engine") => ("engine", "alphorn"),
                name if name.starts_with("service") => ("service", "booking"),
                _ => continue,
            };
            let state = self.states.get(name).copied().unwrap_or("live");
            if state == "gone" {
                continue;
            }
            upstreams.push(json!({
                "name": name, "kind": kind, "serves": serves, "zone": "a",
                "address": address, "state": state,
            }));
        }
        let text = json!({ "upstreams": upstreams }).to_string();
        let path = self.path("upstreams.json");
        let new = self.path("upstreams.new");
        fs::write(&new, text).expect("the list is written");
        fs::rename(new, path).expect("the list is put in place");
    }

    /// Starts a process that is down.
    pub fn launch(&mut self, name: &str) {
        let command = &self.commands[name];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))
            .expect("a log can be opened");
        let errors = log.try_clone().expect("a log can be shared");
        let child = Command::new(programs().join(&command[0]))
            .args(&command[1..])
            .env("TOKIO_WORKER_THREADS", "2")
            .env("RUST_BACKTRACE", "0")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("a program can be started");
        self.processes.insert(name.to_owned(), child);
    }

    fn signal(&self, name: &str, signal: Signal) {
        let id = self.processes[name].id();
        let id = Pid::from_raw(i32::try_from(id).expect("an id is small"));
        kill(id, signal).expect("a child can be signalled");
    }

    /// Id of a process that runs.
    pub fn id(&self, name: &str) -> u32 {
        self.processes[name].id()
    }

    /// Ends a process at once.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).expect("it runs");
        child.kill().expect("a child can be killed");
        child.wait().expect("a child can be waited for");
    }

    /// Stops a process in its tracks; its connections stay.
    pub fn freeze(&self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    /// Whether a process has ended.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let child = self.processes.get_mut(name).expect("it was started");
        child
            .try_wait()
            .expect("a child can be waited for")
            .is_some()
    }

    /// Asks a process to shut down.
    pub fn terminate(&self, name: &str) {
        self.signal(name, Signal::SIGTERM);
    }

    /// Waits until a process has ended.
    pub async fn ended(&mut self, name: &str) -> ExitStatus {
        let began = Instant::now();
        loop {
            let child = self.processes.get_mut(name).expect("it was started");
            if let Some(status) = child.try_wait().expect("a child can be waited for") {
                self.processes.remove(name);
                return status;
            }
            assert!(
                began.elapsed() < PATIENCE,
                "{name} does not end\n{}",
                self.log(name)
            );
            tokio::time::sleep(LOOK).await;
        }
    }

    /// What a process has logged.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default()
    }

    /// Runs the operators' tool; `FILES` stands for the folder of operators' files.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let files = self.path("files").display().to_string();
        let arguments = arguments.iter().map(|text| match *text {
            "FILES" => files.as_str(),
            other => other,
        });
        Command::new(programs().join("tanagershiftctl"))
            .args(["--voters", &self.voters(), "--token-file"])
            .arg(self.path("token"))
            .args(arguments)
            .env("USER", "tester")
            .output()
            .expect("the tool can be run")
    }

    /// Runs the operators' tool for a JSON answer; null when it fails.
    pub fn report(&self, arguments: &[&str]) -> Value {
        let output = self.ctl(&[&["--json"], arguments].concat());
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }

    /// Name of the voter that leads.
    pub fn leader(&self) -> Option<String> {
        let status = self.report(&["status"]);
        let members = status["members"].as_array()?.clone();
        let leader = members.iter().find(|member| member["leader"] == true)?;
        Some(leader["host"].as_str()?.to_owned())
    }

    /// Waits until something holds.
    pub async fn until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) -> Duration {
        let began = Instant::now();
        while !holds(self) {
            assert!(
                began.elapsed() < PATIENCE,
                "not in time: {what}\n{}",
                self.logs()
            );
            tokio::time::sleep(LOOK).await;
        }
        began.elapsed()
    }

    /// Waits until a host is ready, as a balancer does.
    pub async fn until_ready(&self, host: &str) {
        let began = Instant::now();
        let not_ready = |reply: Option<Reply>| reply.is_none_or(|reply| reply.status != 200);
        while not_ready(self.admin(host, "/readyz").await) {
            assert!(
                began.elapsed() < PATIENCE,
                "{host} is not ready\n{}",
                self.log(host)
            );
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits until every replica has a holder.
    pub async fn until_held(&mut self) {
        self.until("every replica has a holder", |site| {
            let replicas = site.report(&["replicas"]);
            let replicas = replicas.as_array().cloned().unwrap_or_default();
            replicas.len() == site.plan.engines
                && replicas.iter().all(|replica| replica["holder"].is_string())
        })
        .await;
    }

    fn logs(&self) -> String {
        let mut text = String::new();
        for name in self.commands.keys().filter(|name| !name.starts_with("s")) {
            let log = self.log(name);
            let lines: Vec<&str> = log.lines().collect();
            let last = lines.len().saturating_sub(12);
            // Writing to a string cannot fail.
            let _ = writeln!(text, "--- {name}\n{}", lines[last..].join("\n"));
        }
        text
    }

    /// Sends a request to an entry host.
    pub async fn send(
        &self,
        entry: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        let url = format!("http://{}{path}", self.address(entry));
        self.client
            .send(method, &url, headers, body.to_owned())
            .await
            .ok()
    }

    /// Asks for a completion that is not streamed.
    pub async fn complete(&self, entry: &str, model: &str, prompt: &str) -> Option<Reply> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": 4 }).to_string();
        self.send(entry, Method::POST, "/v1/completions", &[], &body)
            .await
    }

    /// What an upstream has counted.
    pub async fn counts(&self, upstream: &str) -> Value {
        let url = format!("http://{}/counts", self.address(upstream));
        self.client.get(&url).await.unwrap_or(Value::Null)
    }

    /// Makes an upstream show faults for its next requests.
    pub async fn fault(&self, upstream: &str, faults: &[&str]) {
        let url = format!("http://{}/faults", self.address(upstream));
        let body = json!(faults).to_string();
        let reply = self.client.send(Method::POST, &url, &[], body).await;
        assert!(
            reply.is_ok_and(|reply| reply.status == 200),
            "a fault can be set"
        );
    }

    /// Reads a path of a host's admin address.
    pub async fn admin(&self, host: &str, path: &str) -> Option<Reply> {
        let url = format!("http://{}{path}", self.address(&format!("{host} admin")));
        self.client.send(Method::GET, &url, &[], "").await.ok()
    }

    /// Removes a voter's data folder, as a lost disk does.
    pub fn lose_disk(&self, voter: &str) {
        fs::remove_dir_all(self.path(&format!("{voter}.data"))).expect("a folder can be removed");
    }

    /// Folder of the site.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
