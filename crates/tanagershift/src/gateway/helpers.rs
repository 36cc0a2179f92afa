//! Selects the hosts through which a host connects to upstreams that it cannot reach itself.

use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

use super::message::Helper;

/// Hosts that each host is given.
const HELPERS: usize = 4;

/// A host that could help.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its peer address.
    pub address: &'a str,
}

/// Selects helpers for a host: by turns of its own availability zone, where bytes are cheap, and of
/// others, since most of a zone may be cut off together. Each host prefers others, so that hosts that are
/// cut off together do not all choose the same one.
pub fn select(host: &str, zone: &str, candidates: &[Candidate<'_>]) -> Vec<Helper> {
    let rank = |candidate: &&Candidate<'_>| {
        let mut hasher = DefaultHasher::new();
        (host, candidate.host).hash(&mut hasher);
        Reverse(hasher.finish())
    };
    let mut ranked: Vec<&Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| candidate.host != host)
        .collect();
    ranked.sort_by_cached_key(rank);
    let (near, far): (Vec<&Candidate<'_>>, Vec<_>) =
        ranked.into_iter().partition(|one| one.zone == zone);
    let (mut near, mut far) = (near.into_iter(), far.into_iter());
    let mut selected = Vec::new();
    while selected.len() < HELPERS {
        let turn = match selected.len() % 2 {
            0 => near.next().or_else(|| far.next()),
            _ => far.next().or_else(|| near.next()),
        };
        let Some(candidate) = turn else {
            break;
        };
        selected.push(Helper {
            host: candidate.host.to_owned(),
            address: candidate.address.to_owned(),
        });
    }
    selected
}
