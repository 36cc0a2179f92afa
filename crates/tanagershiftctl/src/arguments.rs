//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use tanagershift::voter::command::Key;

/// Operators' tool of tanagershift.
#[derive(FromArgs)]
pub struct Arguments {
    /// peer addresses of the voters, separated by commas
    #[argh(option, from_str_fn(addresses))]
    pub voters: Addresses,
    /// file with the secret of hosts and operators
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Peer addresses.
pub struct Addresses(pub Vec<String>);

fn addresses(text: &str) -> Result<Addresses, String> {
    let parse = |part: &str| match part.trim().parse::<std::net::SocketAddr>() {
        Ok(address) => Ok(address.to_string()),
        Err(_) => Err(format!("`{part}` is not an IP number with a port")),
    };
    text.split(',')
        .map(parse)
        .collect::<Result<_, _>>()
        .map(Addresses)
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Start a group.
    Bootstrap(Bootstrap),
    /// Publish a folder.
    Publish(Publish),
    /// Show what a publish would do.
    Diff(Diff),
    /// Show hosts, voters and the revision.
    Status(Status),
    /// Show changes as they happen.
    Watch(Watch),
    /// Show the audit trail.
    Audit(Audit),
    /// Show adapters and intents.
    Adapters(Adapters),
    /// Show replicas and their holders.
    Replicas(Replicas),
    /// Show or lift prompt parts that crash replicas.
    Quarantine(Quarantine),
    /// Change the voters.
    Member(Member),
    /// Take a host out of service, or back in.
    Drain(Drain),
}

/// Start a group of the voters named, whose data folders must be new.
#[derive(FromArgs)]
#[argh(subcommand, name = "bootstrap")]
pub struct Bootstrap {}

/// Publish every description in a folder as one change set.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// folder with the descriptions
    #[argh(positional)]
    pub folder: PathBuf,
    /// change id; the same id gets the same answer (default: made from the content and the base)
    #[argh(option)]
    pub id: Option<String>,
    /// who publishes (default: the environment's USER)
    #[argh(option)]
    pub operator: Option<String>,
    /// revision that the change started from; a later change of the same items refuses it
    #[argh(option, default = "0")]
    pub base: u64,
    /// return once the revision is in force on every live host
    #[argh(switch)]
    pub wait: bool,
    /// seconds to wait for the answer, and again for the hosts
    #[argh(option, default = "30")]
    pub timeout: u64,
}

/// Show what publishing a folder would do, and change nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// folder with the descriptions
    #[argh(positional)]
    pub folder: PathBuf,
}

/// Show hosts, voters and the accepted revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Show changes as they happen.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// number of changes after which to stop (default: never)
    #[argh(option)]
    pub count: Option<u64>,
}

/// Show the audit trail.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// only records after this number
    #[argh(option, default = "0")]
    pub after: u64,
    /// most records
    #[argh(option, default = "50")]
    pub limit: u64,
}

/// Show adapters with their versions, and intents.
#[derive(FromArgs)]
#[argh(subcommand, name = "adapters")]
pub struct Adapters {
    /// adapters to skip
    #[argh(option, default = "0")]
    pub after: u64,
    /// most adapters
    #[argh(option, default = "50")]
    pub limit: u64,
}

/// Show replicas and their holders.
#[derive(FromArgs)]
#[argh(subcommand, name = "replicas")]
pub struct Replicas {}

/// Show prompt parts and requests that are suspected or convicted of crashing replicas, or lift one.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct Quarantine {
    /// key of a part or a request, as it is shown; it is sent to replicas again
    #[argh(option, from_str_fn(quarantine_key))]
    pub lift: Option<Key>,
    /// who lifts it (default: the environment's USER)
    #[argh(option)]
    pub operator: Option<String>,
}

fn quarantine_key(text: &str) -> Result<Key, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not a key of the quarantine"))
}

/// Change the voters.
#[derive(FromArgs)]
#[argh(subcommand, name = "member")]
pub struct Member {
    /// what to do
    #[argh(subcommand)]
    pub action: MemberAction,
}

/// What to do with a voter.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum MemberAction {
    /// Add one.
    Add(MemberAdd),
    /// Remove one.
    Remove(MemberRemove),
}

/// Add the voter at an address; it votes once it has caught up, and takes the place of an earlier
/// identity of the same host.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct MemberAdd {
    /// peer address of the host, whose data folder must be new
    #[argh(positional)]
    pub address: String,
}

/// Remove a voter by its identity.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct MemberRemove {
    /// identity as `status` shows it
    #[argh(positional)]
    pub id: String,
}

/// Take a host out of service: its replicas move to others.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// host
    #[argh(positional)]
    pub host: String,
    /// take it back in
    #[argh(switch)]
    pub undo: bool,
}
