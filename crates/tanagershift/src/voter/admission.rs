//! How a voter joins its group without an operator: it founds the group at the very first start, or
//! asks the leader to be admitted, also after its disk was lost or the group dropped it.

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

/// Pause between two checks of the own membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two messages that tell the seeds who leads.
const POINT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for one host's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for the leader to admit a member.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Silence of the leader, in election times, after which a voter asks whether it is still one.
const SILENT_ELECTIONS: u32 = 2;

/// Who asks to be a voter.
#[derive(Clone, Debug)]
pub struct JoinConfig {
    /// Host name.
    pub host: String,
    /// Peer address.
    pub address: SocketAddr,
    /// Peer addresses where the search for the group starts, the same on all hosts at first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Election time of the group.
    pub election: Duration,
}

/// What a host says of its data folder.
#[derive(Debug)]
#[derive(Deserialize)]
struct Identity {
    member: String,
    group: String,
}

impl Identity {
    /// Whether the host has a data folder, and whether that belongs to a group.
    fn kind(&self) -> Folder {
        let number = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
        match (number(&self.member), number(&self.group)) {
            (0, _) => Folder::Absent,
            (_, 0) => Folder::Empty,
            _ => Folder::InGroup,
        }
    }
}

/// State of a host's data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    /// The host has none.
    Absent,
    /// It belongs to no group yet.
    Empty,
    /// It belongs to a group.
    InGroup,
}

/// What a voter without a group does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Found the group.
    Found,
    /// Ask a leader to be admitted.
    Join,
}

/// Decides who founds the group: the first seed that has a data folder, and nobody else.
///
/// `seeds` are the answers of the seeds in order, `None` where a seed did not answer, and `own` is
/// the position of this host among them. Without an answer of every earlier seed nobody founds a
/// group, so that there are never two.
pub fn next_step(bootstrap: bool, own: Option<usize>, seeds: &[Option<Folder>]) -> Step {
    let (true, Some(own)) = (bootstrap, own) else {
        return Step::Join;
    };
    let earlier = &seeds[..own.min(seeds.len())];
    let known = |seed: &Option<Folder>| *seed == Some(Folder::Absent);
    let grouped = seeds.contains(&Some(Folder::InGroup));
    if earlier.iter().all(known) && !grouped {
        Step::Found
    } else {
        Step::Join
    }
}

/// Keeps this host a voter of its group until the process ends.
pub async fn keep_membership(candidate: JoinConfig, voter: Handle, leader: Leader) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let standing = voter.status().current();
        // The data folder cannot be used at the moment.
        if standing.member == 0 || is_settled(&candidate, &voter, &standing) {
            continue;
        }
        let step = match standing.group {
            0 => look_around(&candidate, leader.pool()).await,
            _ => Step::Join,
        };
        match step {
            Step::Found => found(&candidate, leader.pool(), standing.member).await,
            Step::Join => join(&candidate, &leader, standing.member).await,
        }
    }
}

/// Tells the seeds who leads until the process ends. A host without a disk that starts knows only
/// its seeds, and these may have started at the same moment and know nothing either.
pub async fn announce_leader(voter: Handle, leader: Leader) {
    loop {
        sleep(POINT_INTERVAL).await;
        let address = voter.status().current().leader;
        if !address.is_empty() {
            leader.tell_seeds(&address).await;
        }
    }
}

/// Whether this host votes in a group whose leader it hears.
fn is_settled(candidate: &JoinConfig, voter: &Handle, standing: &VoterStatus) -> bool {
    let heard = voter.status().heard();
    let limit = candidate.election * SILENT_ELECTIONS;
    let hears = heard.is_some_and(|heard| clock::now().duration_since(heard) < limit);
    standing.votes() && (hears || standing.leading_term.is_some())
}

async fn look_around(candidate: &JoinConfig, pool: &Pool) -> Step {
    let own = candidate
        .seeds
        .iter()
        .position(|seed| *seed == candidate.address);
    let mut seeds = Vec::new();
    if candidate.bootstrap && own.is_some() {
        for seed in &candidate.seeds {
            seeds.push(folder_of(*seed, pool).await);
        }
    }
    next_step(candidate.bootstrap, own, &seeds)
}

async fn folder_of(address: SocketAddr, pool: &Pool) -> Option<Folder> {
    let query = Body::Query(Query {
        kind: "identity".to_owned(),
        ..Query::default()
    });
    let address = address.to_string();
    let ask = async { pool.call(&address, query).await?.answer().await };
    match timeout(ASK_TIMEOUT, ask).await {
        Ok(Ok(Body::Report(report))) => {
            let identity: Identity = serde_json::from_slice(&report).ok()?;
            Some(identity.kind())
        }
        _ => None,
    }
}

/// The answer of a host without a data folder to a question for its identity.
pub fn absent_identity_report(host: &str) -> Bytes {
    let report = serde_json::json!({ "host": host, "member": "0", "group": "0" });
    report.to_string().into()
}

async fn found(candidate: &JoinConfig, pool: &Pool, member: u64) {
    let first = Member {
        id: member,
        host: candidate.host.clone(),
        address: candidate.address.to_string(),
        voter: true,
    };
    let format = Format {
        group: rand::random::<u64>() | 1,
        member,
        members: vec![first],
    };
    emit!(
        FOUNDED,
        "host {}, group {:016x}",
        candidate.host,
        format.group
    );
    let address = candidate.address.to_string();
    let ask = async {
        pool.call(&address, Body::Format(format))
            .await?
            .answer()
            .await
    };
    // Whether it was done shows in the standing, which is checked again.
    let _ = timeout(ASK_TIMEOUT, ask).await;
}

async fn join(candidate: &JoinConfig, leader: &Leader, member: u64) {
    let member = Member {
        id: member,
        host: candidate.host.clone(),
        address: candidate.address.to_string(),
        voter: false,
    };
    // Whether it was done shows in the standing, which is checked again.
    let _ = leader
        .ask(Body::Join(member), JOIN_TIMEOUT, ASK_TIMEOUT)
        .await;
}
