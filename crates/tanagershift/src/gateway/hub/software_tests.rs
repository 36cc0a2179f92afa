//! Tests of the software versions of streams, and of the load pattern that they answer: a release under
//! which streams break off, leaders change and all hosts are killed.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use super::software::{Refusal, State};
use crate::{
    gateway::message::{Ask, Grant},
    id,
    testing::{cases, for_seeds},
    voter::{
        command::{Command, Order},
        software::{Software, Streams},
        state,
    },
};

const SERVICE: &str = "llm";
const MARGIN: Duration = Duration::from_secs(10);

/// A request that continues the stream of another one, or of itself for an empty name.
fn take_up(resumes: &str) -> Ask {
    Ask {
        request: format!("{resumes}-again"),
        service: SERVICE.to_owned(),
        is_resumable: true,
        continues: true,
        resumes: resumes.to_owned(),
        ..Ask::default()
    }
}

/// A leader and the log of its group.
struct Group {
    log: state::State,
    leader: State,
    term: id::Term,
    now: Instant,
    listed: Vec<id::Software>,
}

impl Group {
    fn new(listed: &[&str]) -> Self {
        let mut group = Self {
            log: state::State::default(),
            leader: State::new(1, &Streams::default(), MARGIN),
            term: 1,
            now: Instant::now(),
            listed: Vec::new(),
        };
        group.list(listed);
        group.commit();
        group
    }

    fn list(&mut self, listed: &[&str]) {
        self.listed = listed.iter().map(|one| (*one).to_owned()).collect();
        self.apply_list();
    }

    fn apply_list(&mut self) {
        let replicas = self.listed.iter().map(|one| (SERVICE, one.as_str()));
        self.leader.set_listed(replicas, self.now);
    }

    /// Another leader takes over, which knows what is in the log.
    fn change_leader(&mut self) {
        self.log = state::State::decode(self.log.encode()).unwrap();
        self.term += 1;
        self.leader = State::new(self.term, self.log.streams(), MARGIN);
        self.apply_list();
    }

    /// Replicates what is due; returns the numbers of the requests that are granted.
    fn commit(&mut self) -> Vec<u64> {
        let Some(recorded) = self.leader.take_due(self.now) else {
            return Vec::new();
        };
        assert!(self.propose(&recorded.software));
        let granted = recorded.grants.iter().map(|(number, _)| *number).collect();
        self.leader.apply(&recorded, true, 1);
        granted
    }

    /// Proposes a record to the leader; returns whether it is accepted.
    fn propose(&mut self, software: &Software) -> bool {
        let order = Order::Software(software.clone());
        let is_accepted = order.is_valid_in(self.term);
        if is_accepted {
            let mut command = Command::of(order);
            command.at = 1;
            self.log.apply(&command);
        }
        is_accepted
    }

    /// Begins a stream; true if it must be recorded before.
    fn begin(&mut self, request: &str, software: &str) -> bool {
        let grant = self
            .leader
            .hold(1, SERVICE, request, software, Grant::default());
        grant.is_none()
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.apply_list();
        self.commit();
    }
}

/// What happens to a group.
enum Step {
    /// A stream begins at a version.
    Begin(&'static str, &'static str),
    /// The list changes.
    List(&'static [&'static str]),
    /// Another leader takes over.
    ChangeLeader,
    /// Seconds pass.
    Pass(u64),
}

use Step::{Begin, ChangeLeader, List, Pass};

fn check_take_up(steps: &[Step], resumes: &str, expected: Result<&str, Refusal>) {
    let mut group = Group::new(&["v1", "v1", "v1"]);
    for step in steps {
        match step {
            Begin(request, software) => {
                group.begin(request, software);
                group.commit();
            }
            List(listed) => group.list(listed),
            ChangeLeader => group.change_leader(),
            Pass(seconds) => group.pass(Duration::from_secs(*seconds)),
        }
    }
    let required = group.leader.required(&take_up(resumes));
    let expected = expected.map(|one| Some(one.to_owned()));
    assert_eq!(required, expected);
}

cases! { check_take_up {
    a_stream_of_the_baseline_is_not_recorded_and_known: (
        &[Begin("a", "v1"), List(&["v1", "v2"])], "a", Ok("v1")
    );
    a_stream_of_another_version_is_recorded: (
        &[List(&["v1", "v2"]), Begin("a", "v2")], "a", Ok("v2")
    );
    a_new_leader_knows_recorded_streams: (
        &[List(&["v1", "v2"]), Begin("a", "v2"), ChangeLeader], "a", Ok("v2")
    );
    a_stream_that_begins_anew_belongs_to_the_last_version: (
        &[List(&["v1", "v2"]), Begin("a", "v2"), Begin("a", "v1"), ChangeLeader], "a", Ok("v1")
    );
    a_stream_that_was_taken_up_is_known_by_both_names: (
        &[List(&["v1", "v2"]), Begin("a", "v2"), Begin("a-again", "v2")], "a-again", Ok("v2")
    );
    a_stream_of_a_version_that_has_just_left_is_still_known: (
        &[Begin("a", "v1"), List(&["v2"]), Pass(59)], "a", Ok("v1")
    );
    the_baseline_changes_once_its_streams_have_ended: (
        &[List(&["v2"]), Pass(0), Pass(60), Begin("a", "v2"), ChangeLeader], "a", Ok("v2")
    );
    the_baseline_stays_if_its_version_comes_back: (
        &[Begin("a", "v1"), List(&["v2"]), Pass(50), List(&["v1", "v2"]), Pass(50)], "a", Ok("v1")
    );
    an_unnamed_stream_is_not_known_while_two_versions_are_listed: (
        &[List(&["v1", "v2"])], "", Err(Refusal::Unknown)
    );
    an_unnamed_stream_is_not_known_after_the_baseline_has_left: (
        &[List(&["v2"])], "", Err(Refusal::Unknown)
    );
    an_unnamed_stream_of_the_only_version_is_known: (&[], "", Ok("v1"));
    a_stream_that_was_never_seen_belongs_to_the_baseline: (
        &[List(&["v1", "v2"])], "never", Ok("v1")
    );
}}

/// Guards against: a stream of another service with the same id decides.
#[test]
fn streams_of_another_service_are_not_looked_up() {
    let mut group = Group::new(&["v1"]);
    group.list(&["v1", "v2"]);
    group.begin("a", "v2");
    group.commit();
    let ask = Ask {
        service: "other".to_owned(),
        ..take_up("a")
    };
    assert_eq!(group.leader.required(&ask), Err(Refusal::Unknown));
}

/// Guards against: a stream begins before it is recorded, or one that could not be recorded begins.
#[test]
fn a_stream_of_another_version_waits_until_it_is_recorded() {
    let mut group = Group::new(&["v1"]);
    group.list(&["v1", "v2"]);
    assert!(!group.begin("a", "v1"), "the baseline needs no record");
    assert!(group.begin("b", "v2"));
    assert_eq!(group.commit(), [1]);
    assert!(!group.begin("b", "v2"), "it is recorded already");
    assert!(group.begin("b", "v1"));
    let recorded = group.leader.take_due(group.now).unwrap();
    assert!(group.leader.take_due(group.now).is_none(), "one at a time");
    group.leader.apply(&recorded, false, 1);
    let required = group.leader.required(&take_up("b"));
    assert_eq!(required, Ok(Some("v2".to_owned())), "nothing was committed");
}

/// Guards against: the record of a lost leader reaches the next one, which has begun the stream at
/// another version meanwhile (ORDER).
#[test]
fn a_record_of_a_lost_leader_is_not_accepted_by_the_next_one() {
    let mut group = Group::new(&["v1"]);
    group.list(&["v1", "v2"]);
    assert!(group.begin("a", "v2"));
    let late = group.leader.take_due(group.now).unwrap();
    group.change_leader();
    assert!(!group.begin("a", "v1"), "the baseline needs no record");
    assert!(!group.propose(&late.software));
    group.change_leader();
    let required = group.leader.required(&take_up("a"));
    assert_eq!(required, Ok(Some("v1".to_owned())));
}

/// A release in which streams begin at three versions, break off and are taken up, while leaders change
/// with records under way: no stream goes on at another version.
#[test]
fn no_stream_goes_on_at_another_version_under_a_release() {
    for_seeds(40, |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let mut group = Group::new(&["v1"]);
        // Streams that have passed an event, with the version that wrote it and the time.
        let mut begun: BTreeMap<String, (String, Instant)> = BTreeMap::new();
        for number in 0..2000_u32 {
            match number {
                200 => group.list(&["v1", "v1", "v2"]),
                600 => group.list(&["v1", "v2", "v3"]),
                1000 => group.list(&["v2", "v3"]),
                1600 => group.list(&["v3"]),
                _ => {}
            }
            let listed = group.listed.clone();
            let software = listed[random.random_range(0..listed.len())].clone();
            let request = format!("r{number}");
            let is_held = group.begin(&request, &software);
            let is_lost = random.random_bool(0.02);
            if is_lost {
                // The leader is killed before it has recorded anything.
                group.change_leader();
            } else {
                group.commit();
            }
            if !is_held || !is_lost {
                begun.insert(request, (software, group.now));
            }
            group.pass(Duration::from_millis(200));
            let now = group.now;
            begun.retain(|_, (_, at)| now < *at + Duration::from_secs(30));
            let named = begun.iter().nth(random.random_range(0..begun.len().max(1)));
            if let Some((request, (software, _))) = named {
                let required = group.leader.required(&take_up(request));
                assert_eq!(
                    required,
                    Ok(Some(software.clone())),
                    "{request} at {number}"
                );
            }
        }
    });
}
