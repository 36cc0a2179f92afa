//! Makes a host a voter of its group without action by an operator.
//!
//! At the first start of the system one host creates the group. Every other host asks the leader to
//! add it, and asks again if it has lost its disk or was removed from the group.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::{driver::Handle, status::VoterStatus};
use crate::{
    clock, emit,
    follower::Leader,
    link::Pool,
    quorum::message::Member,
    wire::{Body, Format, Query},
};

/// Time between checks of this host's membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between announcements of the leader to the seeds.
const LEADER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one call to one host.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a request to join, including the search for the leader.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Silence of the leader, in election timeouts, after which a voter asks to join again, since the
/// group may have removed it.
const SILENCE_LIMIT_ELECTION_TIMEOUTS: u32 = 2;

/// Settings with which this host creates or joins a group.
#[derive(Clone, Debug)]
pub struct JoinConfig {
    /// Name of this host.
    pub host: String,
    /// Peer address of this host.
    pub address: SocketAddr,
    /// Peer addresses where the search for the group starts; initially equal on all hosts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time and has no group yet.
    pub bootstrap: bool,
    /// Election timeout of the group.
    pub election_timeout: Duration,
}

/// A host's answer to a query for the identity of its data folder.
#[derive(Debug)]
#[derive(Deserialize)]
struct IdentityReport {
    member: String,
    group: String,
}

impl IdentityReport {
    /// State of the data folder; a number that cannot be parsed counts as zero, which means none.
    fn folder_state(&self) -> FolderState {
        let number = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
        match (number(&self.member), number(&self.group)) {
            (0, _) => FolderState::Absent,
            (_, 0) => FolderState::Empty,
            _ => FolderState::InGroup,
        }
    }
}

/// State of a host's data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FolderState {
    /// The host has no data folder.
    Absent,
    /// The data folder belongs to no group yet.
    Empty,
    /// The data folder belongs to a group.
    InGroup,
}

/// Next step of a host that is not a voter or does not hear its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Create a group with this host as its only member.
    CreateGroup,
    /// Ask the leader to add this host to its group.
    JoinGroup,
}

/// Decides whether this host creates the group. Only the first seed with a data folder does.
///
/// `seeds` holds the answers of the seeds in order, `None` where a seed did not answer, and `own` is
/// the position of this host among them. Unless every earlier seed has answered, this host creates
/// no group, so that two seeds never create one each when all of them start for the first time.
pub fn next_step(bootstrap: bool, own: Option<usize>, seeds: &[Option<FolderState>]) -> Step {
    let (true, Some(own)) = (bootstrap, own) else {
        return Step::JoinGroup;
    };
    let earlier = &seeds[..own.min(seeds.len())];
    let has_no_folder = |seed: &Option<FolderState>| *seed == Some(FolderState::Absent);
    let group_exists = seeds.contains(&Some(FolderState::InGroup));
    if earlier.iter().all(has_no_folder) && !group_exists {
        Step::CreateGroup
    } else {
        Step::JoinGroup
    }
}

/// Keeps this host a voter of its group until the process ends.
pub async fn keep_membership(config: JoinConfig, voter: Handle, leader: Leader) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let status = voter.status().current();
        // A member id of zero means that the data folder cannot be used at the moment.
        if status.member == 0 || is_active_voter(&config, &voter, &status) {
            continue;
        }
        let step = match status.group {
            0 => choose_step(&config, leader.pool()).await,
            _ => Step::JoinGroup,
        };
        match step {
            Step::CreateGroup => create_group(&config, leader.pool(), status.member).await,
            Step::JoinGroup => request_join(&config, &leader, status.member).await,
        }
    }
}

/// Sends the leader's address to the seeds until the process ends. A host without a data folder
/// knows only the seeds when it starts, and these may have started at the same moment without
/// knowing the leader either.
pub async fn announce_leader(voter: Handle, leader: Leader) {
    loop {
        sleep(LEADER_ANNOUNCE_INTERVAL).await;
        let address = voter.status().current().leader;
        if !address.is_empty() {
            leader.tell_seeds(&address).await;
        }
    }
}

/// Whether this host is a voter and either leads or has heard from the leader recently.
fn is_active_voter(config: &JoinConfig, voter: &Handle, status: &VoterStatus) -> bool {
    let last_heard = voter.status().last_heard();
    let limit = config.election_timeout * SILENCE_LIMIT_ELECTION_TIMEOUTS;
    let hears_leader =
        last_heard.is_some_and(|last_heard| clock::now().duration_since(last_heard) < limit);
    status.is_voter() && (hears_leader || status.leading_term.is_some())
}

async fn choose_step(config: &JoinConfig, pool: &Pool) -> Step {
    let own = config.seeds.iter().position(|seed| *seed == config.address);
    let mut seeds = Vec::new();
    if config.bootstrap && own.is_some() {
        for seed in &config.seeds {
            seeds.push(query_folder_state(*seed, pool).await);
        }
    }
    next_step(config.bootstrap, own, &seeds)
}

async fn query_folder_state(address: SocketAddr, pool: &Pool) -> Option<FolderState> {
    let query = Body::Query(Query {
        kind: "identity".to_owned(),
        ..Query::default()
    });
    let address = address.to_string();
    let call = async { pool.call(&address, query).await?.answer().await };
    match timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(Body::Report(bytes))) => {
            let report: IdentityReport = serde_json::from_slice(&bytes).ok()?;
            Some(report.folder_state())
        }
        _ => None,
    }
}

/// Identity that a host without a data folder reports, as JSON.
pub fn absent_identity_report(host: &str) -> Bytes {
    let report = serde_json::json!({ "host": host, "member": "0", "group": "0" });
    report.to_string().into()
}

async fn create_group(config: &JoinConfig, pool: &Pool, member: u64) {
    let first = Member {
        id: member,
        host: config.host.clone(),
        address: config.address.to_string(),
        voter: true,
    };
    let format = Format {
        group: rand::random::<u64>() | 1,
        member,
        members: vec![first],
    };
    emit!(FOUNDED, "host {}, group {:016x}", config.host, format.group);
    let address = config.address.to_string();
    let call = async {
        pool.call(&address, Body::Format(format))
            .await?
            .answer()
            .await
    };
    // The answer is not needed: the next check sees the result in the voter's status.
    let _ = timeout(CALL_TIMEOUT, call).await;
}

async fn request_join(config: &JoinConfig, leader: &Leader, member: u64) {
    let member = Member {
        id: member,
        host: config.host.clone(),
        address: config.address.to_string(),
        voter: false,
    };
    // The answer is not needed: the next check sees the result in the voter's status.
    let _ = leader
        .ask(Body::Join(member), JOIN_TIMEOUT, CALL_TIMEOUT)
        .await;
}
