//! Settings of one host, read from an INI file and checked.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use nix::sys::resource::{Resource, getrlimit};

use crate::{
    catalog::check_name,
    entry, gateway, holder, id,
    ini::{self, Section},
    quorum,
    voter::{lease, permit},
};

/// Least memory that a host can be told, in bytes.
const MIN_MEMORY: usize = 32 << 20;
/// Least number of descriptors that a host can be told.
const MIN_DESCRIPTORS: usize = 64;
/// Largest settings file in bytes.
const FILE_LIMIT: u64 = 1 << 20;

/// Everything a host is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who and where the host is.
    pub host: Host,
    /// The group of voters, as every host sees it.
    pub group: Group,
    /// The duty of a voter, if the host has it.
    pub voter: Option<Voter>,
    /// The duty of an entry.
    pub entry: entry::Config,
    /// The duty of a holder.
    pub holder: holder::Config,
    /// Budget of the weight store.
    pub store: permit::Config,
    /// The platform's list.
    pub platform: Platform,
    /// The duty of a gateway, if the host has it.
    pub gateway: Option<gateway::settings::Config>,
}

/// Who and where the host is.
#[derive(Clone, Debug)]
pub struct Host {
    /// Unique name.
    pub name: id::Host,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for other hosts and the operators' tool.
    pub peer: SocketAddr,
    /// Address that is bound for other hosts, where it differs from the one that they use.
    pub listen_peer: Option<SocketAddr>,
    /// Address for metrics and health.
    pub admin: SocketAddr,
    /// File with the secret shared by hosts and operators; a public host without one is refused.
    pub token_file: Option<PathBuf>,
    /// Longest time of a graceful shutdown.
    pub drain: Duration,
    /// Time for the balancer to see that the host is not ready.
    pub balancer: Duration,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
}

/// The group of voters, as every host sees it.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Peer addresses of the hosts that vote, where a host looks for the leader.
    pub voters: Vec<String>,
    /// Times of the leases on replicas.
    pub lease: lease::Config,
    /// Times of the voters.
    pub times: quorum::Config,
    /// Hosts where the search for the group starts, when the voters are not named. Only their IP
    /// numbers count; the port is that of this host's peer address.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Voters that may be lost at once.
    pub tolerance: usize,
}

/// The duty of a voter.
#[derive(Clone, Debug)]
pub struct Voter {
    /// Data folder.
    pub data: PathBuf,
    /// Entries after which a snapshot is written.
    pub snapshot_every: u64,
}

/// The platform's list.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the list.
    pub list: String,
    /// Time between two readings.
    pub interval: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// File, line, section and key of what is wrong.
    pub fn read(path: &Path) -> Result<Self, ini::Error> {
        let name = path.display().to_string();
        let fail = |reason: String| ini::Error {
            file: name.clone(),
            line: 0,
            place: String::new(),
            reason,
        };
        let length = fs::metadata(path)
            .map_err(|error| fail(error.to_string()))?
            .len();
        if length > FILE_LIMIT {
            return Err(fail(format!("larger than {FILE_LIMIT} bytes")));
        }
        let text = fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
        Self::parse(&name, &text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// File, line, section and key of what is wrong.
    pub fn parse(file: &str, text: &str) -> Result<Self, ini::Error> {
        let mut sections = ini::parse(file, text)?;
        let mut section = |name: &str| {
            let at = sections.iter().position(|section| section.name == name);
            at.map(|at| sections.remove(at))
        };
        let or_empty = |found: Option<Section>, name| found.unwrap_or(Section::new(file, name, 1));
        let host = Host::parse(or_empty(section("host"), "host"))?;
        let group = Group::parse(or_empty(section("group"), "group"))?;
        let voter = section("voter").map(Voter::parse).transpose()?;
        let entry = entry::Config::parse(or_empty(section("entry"), "entry"))?;
        let holder = holder::Config::parse(or_empty(section("holder"), "holder"))?;
        let store = parse_store(or_empty(section("store"), "store"))?;
        let platform = Platform::parse(or_empty(section("platform"), "platform"))?;
        let gateway = section("gateway");
        let gateway = gateway.map(gateway::settings::Config::parse).transpose()?;
        if let Some(unknown) = sections.first() {
            let line = Some(unknown.line);
            return Err(unknown.error("section", line, "unknown section"));
        }
        Ok(Self {
            host,
            group,
            voter,
            entry,
            holder,
            store,
            platform,
            gateway,
        })
    }

    /// The secret shared by hosts and operators; empty when none is set.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is empty.
    pub fn token(&self) -> Result<String, ini::Error> {
        match &self.host.token_file {
            Some(path) => read_token(path),
            None => Ok(String::new()),
        }
    }
}

/// Reads a secret from a file.
///
/// # Errors
///
/// The file cannot be read, or is empty.
pub fn read_token(path: &Path) -> Result<String, ini::Error> {
    let fail = |reason: String| ini::Error {
        file: path.display().to_string(),
        line: 0,
        place: String::new(),
        reason,
    };
    let text = fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let token = text.trim();
    if token.is_empty() {
        return Err(fail("holds no token".to_owned()));
    }
    Ok(token.to_owned())
}

/// Takes a key that must be there, through a parser.
fn require<T>(
    section: &mut Section,
    key: &str,
    parser: impl Fn(&str) -> Result<T, String>,
) -> Result<T, ini::Error> {
    let (text, line) = section.require(key)?;
    parser(&text).map_err(|reason| section.error(key, Some(line), reason))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP number with a port"))
}

fn name(text: &str) -> Result<String, String> {
    check_name(text)?;
    Ok(text.to_owned())
}

fn addresses(text: &str) -> Result<Vec<String>, String> {
    let parse = |part: &str| address(part.trim()).map(|address| address.to_string());
    text.split(',').map(parse).collect()
}

fn socket_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',').map(|part| address(part.trim())).collect()
}

fn at_least(number: usize, least: usize) -> Result<usize, String> {
    match number >= least {
        true => Ok(number),
        false => Err(format!("must be at least {least}")),
    }
}

/// Descriptors that the operating system lets this process open.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).ok();
    let limit = limit.and_then(|(soft, _)| usize::try_from(soft).ok());
    limit.unwrap_or(gateway::callers::DEFAULT_DESCRIPTORS)
}

fn percent(text: &str) -> Result<u32, String> {
    match text.strip_suffix('%').and_then(|text| text.parse().ok()) {
        Some(number) if number < 50 => Ok(number),
        _ => Err(format!("`{text}` is not a percentage below 50%")),
    }
}

impl Host {
    fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut host = Self {
            name: require(&mut section, "name", name)?,
            zone: require(&mut section, "zone", name)?,
            peer: require(&mut section, "peer", address)?,
            listen_peer: None,
            admin: require(&mut section, "admin", address)?,
            token_file: None,
            drain: Duration::from_secs(120),
            balancer: Duration::from_secs(2),
            memory: gateway::budget::DEFAULT_MEMORY,
            descriptors: 0,
        };
        let path = |text: &str| ini::text(text).map(|text| Some(PathBuf::from(text)));
        let bound = |text: &str| address(text).map(Some);
        section.read("listen-peer", &mut host.listen_peer, bound)?;
        section.read("token-file", &mut host.token_file, path)?;
        section.read("drain", &mut host.drain, ini::duration)?;
        section.read("balancer", &mut host.balancer, ini::duration)?;
        section.read("memory", &mut host.memory, |text| {
            let memory = ini::size(text)?;
            at_least(memory, MIN_MEMORY)
        })?;
        let mut descriptors = None;
        section.read("descriptors", &mut descriptors, |text| {
            let descriptors = ini::count(text)?;
            at_least(descriptors, MIN_DESCRIPTORS).map(Some)
        })?;
        host.descriptors = descriptors.unwrap_or_else(descriptor_limit);
        let mut private = false;
        section.read("private-network", &mut private, ini::flag)?;
        if host.token_file.is_none() && !private && !host.peer.ip().is_loopback() {
            let reason = "must be given when peer is not a loopback address";
            return Err(section.error("token-file", None, reason));
        }
        section.finish()?;
        Ok(host)
    }
}

impl Group {
    fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut group = Self::default();
        section.read("voters", &mut group.voters, addresses)?;
        section.read("seeds", &mut group.seeds, socket_addresses)?;
        if group.voters.is_empty() && group.seeds.is_empty() {
            return Err(section.error("voters", None, "is missing"));
        }
        section.read("bootstrap", &mut group.bootstrap, ini::flag)?;
        let count = |text: &str| {
            let number: Result<usize, _> = text.parse();
            number.map_err(|_| format!("`{text}` is not a number"))
        };
        section.read("tolerance", &mut group.tolerance, count)?;
        section.read("lease", &mut group.lease.length, ini::duration)?;
        section.read(
            "heartbeat",
            &mut group.times.heartbeat_interval,
            ini::duration,
        )?;
        section.read("election", &mut group.times.election_timeout, ini::duration)?;
        let mut drift = group.times.drift_percent;
        section.read("drift", &mut drift, percent)?;
        group.times.drift_percent = drift;
        group.lease.drift_percent = drift;
        if group.times.heartbeat_interval * 4 > group.times.election_timeout {
            let reason = "must be at least four times heartbeat";
            return Err(section.error("election", None, reason));
        }
        section.finish()?;
        Ok(group)
    }
}

impl Voter {
    fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut voter = Self {
            data: require(&mut section, "data", ini::text)?.into(),
            snapshot_every: 4096,
        };
        let count = |text: &str| ini::count(text).map(|count| count as u64);
        section.read("snapshot-every", &mut voter.snapshot_every, count)?;
        section.finish()?;
        Ok(voter)
    }
}

impl Platform {
    fn parse(mut section: Section) -> Result<Self, ini::Error> {
        let mut platform = Self {
            list: require(&mut section, "list", address)?.to_string(),
            interval: Duration::from_millis(500),
        };
        section.read("interval", &mut platform.interval, ini::duration)?;
        section.finish()?;
        Ok(platform)
    }
}

fn parse_store(mut section: Section) -> Result<permit::Config, ini::Error> {
    let mut store = permit::Config::default();
    section.read("rate", &mut store.rate, ini::rate)?;
    section.read("in-flight", &mut store.in_flight, ini::count)?;
    section.read("share", &mut store.leaderless_percent, percent)?;
    section.read("permit", &mut store.lifetime, ini::duration)?;
    section.finish()?;
    Ok(store)
}
