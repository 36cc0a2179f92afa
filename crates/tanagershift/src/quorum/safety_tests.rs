//! Safety rules of the replicated log, each tested in a minimal scenario.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    Config, Node, Refusal,
    log::Log,
    message::{
        AppendEntries, AppendResponse, Ballot, Body, Entry, Envelope, Member, Members, Snapshot,
        VoteRequest, VoteResponse,
    },
};
use crate::{id, testing::cases};

fn members() -> Members {
    let member = |id| Member {
        id,
        host: format!("h{id}"),
        address: String::new(),
        voter: true,
    };
    Members {
        members: (1..=3).map(member).collect(),
    }
}

fn entry(index: id::Index, term: id::Term) -> Entry {
    Entry {
        index,
        term,
        data: Bytes::from_static(b"x"),
        members: None,
    }
}

fn node(entries: Vec<Entry>, term: id::Term, now: Instant) -> Node {
    let snapshot = Snapshot {
        members: members(),
        ..Snapshot::default()
    };
    let log = Log::new(snapshot, (0, 0), entries);
    Node::new(
        1,
        9,
        Config::default(),
        Ballot { term, voted_for: 0 },
        log,
        1,
        now,
    )
}

fn message(from: id::Member, term: id::Term, body: Body) -> Envelope {
    Envelope {
        group: 9,
        from,
        to: 1,
        term,
        body: Some(body),
        address: String::new(),
    }
}

fn vote_request(pre_vote: bool) -> Body {
    Body::VoteRequest(VoteRequest {
        pre_vote,
        last_index: 9,
        last_term: 9,
        handover: false,
        cold: false,
    })
}

fn heartbeat() -> Body {
    Body::AppendEntries(AppendEntries {
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        leader_commit: 0,
        round: 1,
    })
}

/// Number of votes and pre-votes that a member grants in its pending messages.
fn granted(node: &mut Node) -> usize {
    let messages = node.ready().messages;
    let is_granted = |envelope: &&Envelope| {
        matches!(
            envelope.body,
            Some(Body::VoteResponse(VoteResponse { granted: true, .. }))
        )
    };
    messages.iter().filter(is_granted).count()
}

/// Sends a vote request to a member and checks how many votes it grants.
///
/// The request arrives `percent` of the election timeout after the member started. With `heard`,
/// the member received a heartbeat when it started.
fn check_vote(heard: bool, pre_vote: bool, percent: u32, expected: usize) {
    let now = Instant::now();
    let mut node = node(Vec::new(), 1, now);
    if heard {
        node.receive(message(2, 1, heartbeat()), now);
        node.ready();
    }
    let later = now + Config::default().election_timeout * percent / 100;
    node.receive(message(3, 2, vote_request(pre_vote)), later);
    assert_eq!(granted(&mut node), expected);
    if expected == 0 {
        assert_eq!(
            node.term(),
            1,
            "a refused candidate does not raise the term"
        );
    }
}

cases! {
    check_vote {
        no_vote_while_a_leader_was_heard: (true, false, 90, 0);
        no_pre_vote_while_a_leader_was_heard: (true, true, 90, 0);
        a_vote_when_the_leader_is_silent: (true, false, 101, 1);
        a_pre_vote_when_the_leader_is_silent: (true, true, 101, 1);
        no_vote_right_after_a_restart: (false, false, 90, 0);
        no_probing_vote_right_after_a_restart: (false, true, 90, 0);
    }
}

/// A voter that said that it had restarted may have become the leader since. Its own vote shows that
/// it has not, so a cold start needs the votes of all.
#[test]
fn a_cold_start_needs_the_votes_of_all_voters() {
    let now = Instant::now();
    let mut node = node(Vec::new(), 1, now);
    node.begin_cold_start(true, now);
    let term = node.term() + 1;
    for member in [2, 3] {
        let cold = Body::VoteResponse(VoteResponse {
            pre_vote: true,
            granted: true,
            cold: true,
        });
        node.receive(message(member, term, cold), now);
    }
    assert_eq!(node.term(), term, "it requests votes");
    let vote = Body::VoteResponse(VoteResponse {
        pre_vote: false,
        granted: true,
        cold: false,
    });
    node.receive(message(2, term, vote.clone()), now);
    assert!(!node.leads());
    node.receive(message(3, term, vote), now);
    assert!(node.leads());
}

/// A voter that has heard from a leader, or has voted, takes no part in a cold start any more.
#[test]
fn no_cold_vote_after_a_leader_was_heard_or_a_vote_was_granted() {
    let cold_vote = || {
        let Body::VoteRequest(request) = vote_request(false) else {
            unreachable!("a vote request");
        };
        Body::VoteRequest(VoteRequest {
            cold: true,
            ..request
        })
    };
    let now = Instant::now();
    let restarted = || {
        let mut node = node(Vec::new(), 1, now);
        node.begin_cold_start(false, now);
        node
    };
    let mut first = restarted();
    first.receive(message(3, 2, cold_vote()), now);
    assert_eq!(granted(&mut first), 1);
    first.receive(message(2, 3, cold_vote()), now);
    assert_eq!(granted(&mut first), 0, "it has voted");
    let mut second = restarted();
    second.receive(message(2, 1, heartbeat()), now);
    second.ready();
    second.receive(message(3, 2, cold_vote()), now);
    assert_eq!(granted(&mut second), 0, "it has heard from a leader");
}

/// Makes a member the leader of the next term and returns the time at which it was elected.
fn elect(node: &mut Node, now: Instant) -> Instant {
    let later = now + Config::default().election_timeout * 3;
    node.tick(later);
    for pre_vote in [true, false] {
        let vote = Body::VoteResponse(VoteResponse {
            pre_vote,
            granted: true,
            cold: false,
        });
        let term = node.term() + u64::from(pre_vote);
        node.receive(message(2, term, vote), later);
    }
    assert!(node.leads());
    let ready = node.ready();
    let last = ready.entries.last().unwrap();
    node.mark_synced(last.index, last.term);
    later
}

fn append_response(index: id::Index) -> Body {
    Body::AppendResponse(AppendResponse {
        ok: true,
        index,
        round: 1,
    })
}

#[test]
fn entries_of_an_earlier_term_are_not_committed_by_counting() {
    let now = Instant::now();
    let mut node = node(vec![entry(1, 1)], 2, now);
    let now = elect(&mut node, now);
    node.receive(message(2, node.term(), append_response(1)), now);
    assert_eq!(
        node.commit_index(),
        0,
        "a later leader may still replace entry 1"
    );
    node.receive(message(2, node.term(), append_response(2)), now);
    assert_eq!(
        node.commit_index(),
        2,
        "an entry of the own term commits both"
    );
}

#[test]
fn a_leader_serves_nobody_before_it_has_committed_an_entry_of_its_term() {
    let now = Instant::now();
    let mut node = node(vec![entry(1, 1)], 2, now);
    let now = elect(&mut node, now);
    // A majority has answered, so only the uncommitted entry prevents a lease.
    node.receive(message(2, node.term(), append_response(1)), now);
    assert!(!node.holds_lease(now));
    assert_eq!(
        node.propose(Bytes::from_static(b"y")),
        Err(Refusal::NotReady)
    );
    node.receive(message(2, node.term(), append_response(2)), now);
    assert!(node.holds_lease(now));
    assert!(node.propose(Bytes::from_static(b"y")).is_ok());
}

#[test]
fn membership_changes_one_at_a_time() {
    let now = Instant::now();
    let mut node = node(Vec::new(), 1, now);
    let now = elect(&mut node, now);
    node.receive(message(2, node.term(), append_response(1)), now);
    let member = |id| Member {
        id,
        host: format!("h{id}"),
        address: String::new(),
        voter: false,
    };
    assert!(node.add_member(member(4)).is_ok());
    assert_eq!(node.add_member(member(5)), Err(Refusal::Busy));
    assert_eq!(node.remove_member(2), Err(Refusal::Busy));
}

#[test]
fn a_lease_ends_before_others_may_vote() {
    let now = Instant::now();
    let mut node = node(Vec::new(), 1, now);
    let now = elect(&mut node, now);
    node.receive(message(2, node.term(), append_response(1)), now);
    let config = Config::default();
    let until = node.lease_until().unwrap();
    // The leader has the slowest allowed clock, and the voter the fastest.
    let longest = until
        .duration_since(now)
        .mul_f64(1.0 + f64::from(config.drift_percent) / 200.0);
    let shortest = config
        .election_timeout
        .mul_f64(1.0 - f64::from(config.drift_percent) / 200.0);
    assert!(longest <= shortest, "{longest:?} against {shortest:?}");
}

#[test]
fn messages_for_another_identity_or_group_are_dropped() {
    let now = Instant::now();
    let mut node = node(Vec::new(), 1, now);
    let later = now + Duration::from_secs(9);
    let other_identity = Envelope {
        to: 7,
        ..message(3, 5, vote_request(false))
    };
    let other_group = Envelope {
        group: 8,
        ..message(3, 5, vote_request(false))
    };
    node.receive(other_identity, later);
    node.receive(other_group, later);
    assert_eq!((granted(&mut node), node.term()), (0, 1));
}
