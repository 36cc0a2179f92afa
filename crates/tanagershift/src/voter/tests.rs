//! Tests of the replicated state, the leases and the permits.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    command::{
        Answer, Assign, Claim, Claimed, Command, Effect, Key, Lift, Mark, Move, Order, Outcome,
        Published, Quarantine, Settle, Standing,
    },
    lease::{self, Leases},
    permit::{self, Permits},
    state::State,
};
use crate::{
    catalog::{AdapterItem, ChangeSet, Intent, Item, Kind, VersionItem},
    id,
    platform::{self, Upstream},
    testing::{cases, for_seeds},
    wire::{Grant, Heartbeat, Lease},
};

fn item(kind: Kind) -> Item {
    Item::of(kind, false)
}

fn adapter(name: &str) -> Item {
    item(Kind::Adapter(AdapterItem {
        name: name.to_owned(),
        base: "base".to_owned(),
        audience: "audience".to_owned(),
    }))
}

fn version(adapter: &str, number: u64, weights: &str) -> Item {
    item(Kind::Version(VersionItem {
        adapter: adapter.to_owned(),
        number,
        weights: weights.to_owned(),
    }))
}

fn intent(name: &str, adapter: &str, version: u64) -> Item {
    item(Kind::Intent(Intent {
        name: name.to_owned(),
        adapter: adapter.to_owned(),
        version,
        ..Intent::default()
    }))
}

fn removed(item: Item) -> Item {
    Item {
        removed: true,
        ..item
    }
}

fn apply(state: &mut State, at: u64, order: Order) -> Effect {
    let command = Command {
        at,
        order: Some(order),
    };
    if let Some(Outcome { effect }) = state.known_outcome(&command) {
        return effect.unwrap();
    }
    state.apply(&command).effect.unwrap()
}

fn publish(state: &mut State, id: &str, base: id::Revision, items: Vec<Item>) -> Published {
    let change = ChangeSet {
        id: id.to_owned(),
        operator: "ana".to_owned(),
        base,
        items,
    };
    match apply(state, 0, Order::Publish(change)) {
        Effect::Published(published) => published,
        other => panic!("{other:?}"),
    }
}

fn first_items() -> Vec<Item> {
    vec![version("a", 1, "w/1"), adapter("a"), intent("plan", "a", 1)]
}

fn state_with_first_change() -> State {
    let mut state = State::default();
    let answer = publish(&mut state, "one", 0, first_items());
    assert_eq!(
        (answer.revision, answer.changed),
        (1, true),
        "{}",
        answer.refusal
    );
    state
}

#[test]
fn a_change_resent_under_its_id_gets_the_same_answer() {
    let mut state = state_with_first_change();
    let again = publish(&mut state, "one", 0, first_items());
    assert_eq!((again.revision, again.changed), (1, true));
    assert_eq!(
        state.audit().count(),
        1,
        "it is one change in the audit trail"
    );
}

#[test]
fn a_change_resent_after_a_snapshot_gets_the_same_answer() {
    let state = state_with_first_change();
    let mut restored = State::decode(state.encode()).unwrap();
    let again = publish(&mut restored, "one", 0, first_items());
    assert_eq!((again.revision, again.changed), (1, true));
}

#[test]
fn a_change_that_is_in_the_log_twice_is_applied_once() {
    let mut state = state_with_first_change();
    let change = ChangeSet {
        id: "late".to_owned(),
        items: vec![intent("plan", "a", 1), version("a", 2, "w/2")],
        ..ChangeSet::default()
    };
    let command = Command::of(Order::Publish(change));
    let first = state.apply(&command);
    publish(&mut state, "between", 0, vec![intent("plan", "a", 2)]);
    assert_eq!(state.apply(&command), first);
    assert_eq!(state.catalog().intent("plan").unwrap().version, 2);
}

#[test]
fn a_refused_change_resent_is_refused_with_the_same_reason() {
    let mut state = state_with_first_change();
    let items = || vec![version("missing", 1, "w")];
    let refused = publish(&mut state, "two", 0, items());
    assert_ne!(refused.refusal, "");
    assert_eq!(publish(&mut state, "two", 0, items()), refused);
}

#[test]
fn a_change_set_without_changes_creates_no_revision() {
    let mut state = state_with_first_change();
    let answer = publish(&mut state, "two", 0, first_items());
    assert_eq!((answer.revision, answer.changed), (1, false));
}

#[test]
fn two_operators_race_under_one_version_number() {
    let mut state = state_with_first_change();
    let won = publish(&mut state, "ana-2", 1, vec![version("a", 2, "ana/2")]);
    let lost = publish(&mut state, "bo-2", 1, vec![version("a", 2, "bo/2")]);
    assert_eq!(won.revision, 2);
    insta::assert_snapshot!(lost.refusal, @": version 2 of a has digest e461ba73dd2b9cd1a9167fc6b7a14d43, but revision 2 accepted it with digest 390bf0cee9747f304adabaa6e3c15d42");
}

#[test]
fn a_later_change_of_the_same_intent_names_the_revision_that_came_first() {
    let mut state = state_with_first_change();
    publish(
        &mut state,
        "two",
        1,
        vec![version("a", 2, "w/2"), intent("plan", "a", 2)],
    );
    let lost = publish(&mut state, "three", 1, vec![intent("plan", "a", 1)]);
    assert_eq!(lost.revision, 0);
    insta::assert_snapshot!(lost.refusal, @": intent plan was changed by revision 2, after base revision 1");
}

fn check_refused(items: Vec<Item>, reason: &str) {
    let mut state = state_with_first_change();
    let before = state.catalog().clone();
    let answer = publish(&mut state, "two", 0, items);
    assert!(answer.refusal.contains(reason), "{}", answer.refusal);
    assert_eq!(*state.catalog(), before, "nothing changed");
}

cases! {
    check_refused {
        empty_set_is_refused: (vec![], "empty");
        version_without_adapter_is_refused: (vec![version("b", 1, "w")], "adapter b does not exist");
        intent_for_a_missing_version_is_refused: (vec![intent("x", "a", 9)], "version a@9 does not exist");
        item_described_twice_is_refused: (vec![adapter("b"), adapter("b")], "described twice");
        version_in_use_cannot_be_removed: (vec![removed(version("a", 1, "w/1"))], "used by intent plan");
        adapter_in_use_cannot_be_removed: (vec![removed(adapter("a"))], "used by intent plan");
        path_in_a_name_is_refused: (vec![adapter("../a")], "not a usable name");
        one_bad_item_refuses_all: (vec![adapter("b"), version("c", 1, "w")], "adapter c");
        a_version_number_is_not_free_after_its_intent_is_removed: (vec![
            removed(intent("plan", "a", 1)), version("a", 1, "other")
        ], "digest");
    }
}

#[test]
fn a_host_that_follows_step_by_step_has_the_same_catalog() {
    for_seeds(100, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut state = State::default();
        let mut followed = crate::catalog::Catalog::default();
        for step in 0..60 {
            let name = format!("a{}", random.random_range(0..6));
            let number = random.random_range(1..4);
            let mut items = vec![adapter(&name)];
            match random.random_range(0..4) {
                0 => items.push(version(&name, number, &format!("w/{number}"))),
                1 => items = vec![removed(adapter(&name))],
                2 => items = vec![removed(version(&name, number, "x"))],
                _ => items.push(intent("plan", &name, number)),
            }
            let before = state.catalog().revision();
            publish(&mut state, &format!("{step}"), 0, items);
            for (revision, items) in state.changes_since(before).unwrap() {
                followed.restore(items, *revision);
            }
            assert_eq!(
                items_of(&followed),
                items_of(state.catalog()),
                "step {step}"
            );
        }
        let restored = State::decode(state.encode()).unwrap();
        assert_eq!(items_of(restored.catalog()), items_of(state.catalog()));
        assert_eq!(
            restored.encode(),
            state.encode(),
            "a snapshot of a snapshot is the same"
        );
    });
}

fn items_of(catalog: &crate::catalog::Catalog) -> Vec<Item> {
    catalog.items().map(|(item, _)| item).collect()
}

#[test]
fn decoding_random_bytes_does_not_panic() {
    use rand::RngCore;
    for_seeds(2000, |seed| {
        let mut bytes = vec![0; (seed % 200) as usize];
        SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        // Some bytes decode by chance; none may cause a panic.
        let _ = State::decode(Bytes::from(bytes));
    });
}

fn claim(owner: &str, digest: &str) -> Order {
    claim_of("booking/lesson-1", owner, digest)
}

fn claim_of(key: &str, owner: &str, digest: &str) -> Order {
    Order::Claim(Claim {
        key: key.to_owned(),
        digest: digest.to_owned(),
        owner: owner.to_owned(),
        millis: 1000,
    })
}

fn settle(owner: &str, answer: Option<&'static str>, not_run: bool) -> Order {
    Order::Settle(Settle {
        key: "booking/lesson-1".to_owned(),
        owner: owner.to_owned(),
        answer: answer.map(|body| Answer {
            status: 200,
            body: Bytes::from_static(body.as_bytes()),
            ..Answer::default()
        }),
        not_run,
    })
}

/// Applies orders at their times, in milliseconds, and compares the state of the last claim.
fn check_claim(orders: Vec<(u64, Order)>, expected: Standing) {
    let mut state = State::default();
    let mut last = None;
    for (at, order) in orders {
        if let Effect::Claimed(claimed) = apply(&mut state, at, order) {
            last = Some(claimed);
        }
        // A restart from a snapshot after any order must not change the result.
        state = State::decode(state.encode()).unwrap();
    }
    let claimed: Claimed = last.unwrap();
    assert_eq!(claimed.standing(), expected);
}

const DAY_MILLIS: u64 = 24 * 3600 * 1000;

cases! {
    check_claim {
        first_claim_wins: (vec![(1, claim("x", "d"))], Standing::Won);
        repeated_claim_of_the_owner_wins: (
            vec![(1, claim("x", "d")), (2, claim("x", "d"))], Standing::Won);
        second_claim_waits: (vec![(1, claim("x", "d")), (2, claim("y", "d"))], Standing::Running);
        second_claim_gets_the_answer: (vec![
            (1, claim("x", "d")), (2, settle("x", Some("paid"), false)), (3, claim("y", "d"))
        ], Standing::Answered);
        other_body_is_refused: (
            vec![(1, claim("x", "d")), (2, claim("y", "e"))], Standing::Mismatch);
        other_body_is_refused_after_the_answer: (vec![
            (1, claim("x", "d")), (2, settle("x", Some("paid"), false)), (3, claim("y", "e"))
        ], Standing::Mismatch);
        lost_answer_may_have_run: (vec![
            (1, claim("x", "d")), (2, settle("x", None, false)), (3, claim("y", "d"))
        ], Standing::MayHaveRun);
        request_that_did_not_run_frees_its_key: (vec![
            (1, claim("x", "d")), (2, settle("x", None, true)), (3, claim("y", "d"))
        ], Standing::Won);
        crashed_owner_may_have_run: (
            vec![(1, claim("x", "d")), (7000, claim("y", "d"))], Standing::MayHaveRun);
        late_answer_of_a_slow_owner_counts: (vec![
            (1, claim("x", "d")), (7000, claim("y", "d")),
            (8000, settle("x", Some("paid"), false)), (8001, claim("z", "d"))
        ], Standing::Answered);
        only_the_owner_can_settle: (vec![
            (1, claim("x", "d")), (2, settle("y", None, true)), (3, claim("z", "d"))
        ], Standing::Running);
        answer_is_kept_for_a_day: (vec![
            (1, claim("x", "d")), (2, settle("x", Some("paid"), false)), (DAY_MILLIS, claim("y", "d"))
        ], Standing::Answered);
        answer_is_forgotten_after_a_day: (vec![
            (1, claim("x", "d")), (2, settle("x", Some("paid"), false)),
            (2 * DAY_MILLIS, claim_of("booking/lesson-2", "x", "d")), (2 * DAY_MILLIS, claim("y", "d"))
        ], Standing::Won);
    }
}

/// A host process in the lease simulation.
struct HostProcess {
    name: String,
    session: u64,
    /// Rate of the host's clock; 1.0 is exact.
    clock_rate: f64,
    /// Leases by replica: epoch, and when they end by the host's own clock.
    held: BTreeMap<id::Upstream, (id::Epoch, Instant)>,
    /// Replicas that the leader has asked the host to release.
    to_release: BTreeSet<id::Upstream>,
    returned: Vec<id::Epoch>,
}

struct LeaseSimulation {
    random: SmallRng,
    start: Instant,
    elapsed: Duration,
    state: State,
    leader: Leases,
    leader_clock_rate: f64,
    holders: Vec<HostProcess>,
    /// Answers in transit: arrival time, host, session, send time of the heartbeat, and the lease.
    answers: VecDeque<(Duration, String, u64, Instant, Lease)>,
    /// Heartbeats in transit: arrival time, send time by the host's clock, and the heartbeat.
    heartbeats: VecDeque<(Duration, Instant, Heartbeat)>,
    upstreams: Vec<Upstream>,
}

const SIMULATION_STEP: Duration = Duration::from_millis(50);

impl LeaseSimulation {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        // Two clock rates from this range differ by 9 percent at most, within `drift_percent`.
        let holders = (0..4).map(|number| HostProcess {
            name: format!("h{number}"),
            session: number + 1,
            clock_rate: random.random_range(0.957..1.043),
            held: BTreeMap::new(),
            to_release: BTreeSet::new(),
            returned: Vec::new(),
        });
        let holders = holders.collect();
        let upstream = |number| Upstream {
            name: format!("r{number}"),
            kind: platform::Kind::Engine,
            serves: "base".to_owned(),
            zone: "a".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            state: platform::Standing::Live,
        };
        Self {
            start,
            elapsed: Duration::ZERO,
            state: State::default(),
            leader: Leases::new(
                lease::Config::default(),
                start + lease::Config::default().leader_expiry(),
            ),
            leader_clock_rate: random.random_range(0.957..1.043),
            holders,
            answers: VecDeque::new(),
            heartbeats: VecDeque::new(),
            upstreams: (0..7).map(upstream).collect(),
            random,
        }
    }

    fn now(&self, clock_rate: f64) -> Instant {
        self.start + self.elapsed.mul_f64(clock_rate)
    }

    fn random_arrival(&mut self) -> Duration {
        let max_millis = if self.random.random_bool(0.05) {
            4000
        } else {
            60
        };
        self.elapsed + Duration::from_millis(self.random.random_range(0..max_millis))
    }

    fn step(&mut self) {
        self.elapsed += SIMULATION_STEP;
        for index in 0..self.holders.len() {
            if self.random.random_bool(0.2) {
                self.send_heartbeat(index);
            }
        }
        self.run_leader();
        self.deliver_answers();
        self.inject_random_event();
        self.check_single_holder();
    }

    fn send_heartbeat(&mut self, index: usize) {
        let sent = self.now(self.holders[index].clock_rate);
        let holder = &self.holders[index];
        let heartbeat = Heartbeat {
            host: holder.name.clone(),
            zone: "a".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            session: holder.session,
            holds: true,
            returned: holder.returned.clone(),
            ..Heartbeat::default()
        };
        let arrives_at = self.random_arrival();
        self.heartbeats.push_back((arrives_at, sent, heartbeat));
    }

    fn run_leader(&mut self) {
        let now = self.now(self.leader_clock_rate);
        let elapsed = self.elapsed;
        let (due, later) = std::mem::take(&mut self.heartbeats)
            .into_iter()
            .partition(|(arrives_at, ..)| *arrives_at <= elapsed);
        self.heartbeats = later;
        for (_, sent, heartbeat) in due {
            if self.random.random_bool(0.1) {
                continue;
            }
            let (host, session) = (heartbeat.host.clone(), heartbeat.session);
            let lease = self.leader.handle_heartbeat(heartbeat, &self.state, now);
            let arrives_at = self.random_arrival();
            self.answers
                .push_back((arrives_at, host, session, sent, lease));
        }
        self.leader.prune(&self.state, now);
        let moves = self.leader.assign(&self.upstreams, &self.state, now);
        if !moves.is_empty() {
            apply(&mut self.state, 0, Order::Assign(Assign { moves }));
        }
    }

    fn deliver_answers(&mut self) {
        let elapsed = self.elapsed;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(arrives_at, ..)| *arrives_at <= elapsed);
        self.answers = later;
        for (_, host, session, sent, lease) in due {
            let holder = self
                .holders
                .iter_mut()
                .find(|holder| holder.name == host)
                .unwrap();
            if holder.session != session || lease.millis == 0 {
                continue;
            }
            let usable_percent = u64::from(100 - lease::Config::default().drift_percent);
            let until = sent + Duration::from_millis(lease.millis * usable_percent / 100);
            holder.accept_grants(&lease.grants, until);
        }
    }

    fn inject_random_event(&mut self) {
        let index = self.random.random_range(0..self.holders.len());
        match self.random.random_range(0..1000) {
            // The process restarts and loses its memory.
            0..6 => {
                let holder = &mut self.holders[index];
                holder.session += 100;
                holder.held.clear();
                holder.to_release.clear();
                holder.returned.clear();
            }
            // Another voter becomes the leader: it has the log, but has received no heartbeats.
            6..10 => {
                self.leader_clock_rate = self.random.random_range(0.957..1.043);
                let now = self.now(self.leader_clock_rate);
                let inherited_until = now + lease::Config::default().leader_expiry();
                self.leader = Leases::new(lease::Config::default(), inherited_until);
            }
            // The order of the upstreams on the list changes.
            10..16 => {
                let number = self.random.random_range(0..self.upstreams.len());
                let upstream = self.upstreams.remove(number);
                self.upstreams.push(upstream);
            }
            // The host has finished its work on the replicas to release, and returns them.
            16..26 => {
                let holder = &mut self.holders[index];
                for replica in holder.to_release.clone() {
                    if let Some((epoch, _)) = holder.held.remove(&replica) {
                        holder.returned.push(epoch);
                    }
                    holder.to_release.remove(&replica);
                }
            }
            _ => {}
        }
    }

    fn check_single_holder(&self) {
        for upstream in &self.upstreams {
            let holds = |holder: &&HostProcess| {
                let lease = holder.held.get(&upstream.name);
                lease.is_some_and(|(_, until)| self.now(holder.clock_rate) < *until)
            };
            let holding: Vec<&str> = self
                .holders
                .iter()
                .filter(holds)
                .map(|holder| &*holder.name)
                .collect();
            assert!(
                holding.len() <= 1,
                "{} is held by {holding:?}",
                upstream.name
            );
        }
    }
}

impl HostProcess {
    fn accept_grants(&mut self, grants: &[Grant], until: Instant) {
        for grant in grants
            .iter()
            .filter(|grant| !self.returned.contains(&grant.epoch))
        {
            if grant.release {
                self.to_release.insert(grant.replica.clone());
            }
            let held = self
                .held
                .entry(grant.replica.clone())
                .or_insert((grant.epoch, until));
            if held.0 < grant.epoch {
                *held = (grant.epoch, until);
            } else if held.0 == grant.epoch {
                held.1 = held.1.max(until);
            }
        }
    }
}

#[test]
fn leases_of_two_hosts_never_overlap() {
    for_seeds(150, |seed| {
        let mut simulation = LeaseSimulation::new(seed);
        for _ in 0..2000 {
            simulation.step();
        }
        let epochs: BTreeSet<id::Epoch> = simulation
            .state
            .assignments()
            .values()
            .map(|assignment| assignment.epoch)
            .collect();
        assert_eq!(
            epochs.len(),
            simulation.state.assignments().len(),
            "an epoch was used twice"
        );
    });
}

#[test]
fn every_replica_has_a_holder_soon_after_its_host_is_gone() {
    let mut simulation = LeaseSimulation::new(5);
    let now = |simulation: &LeaseSimulation| simulation.now(simulation.leader_clock_rate);
    let heartbeat = |simulation: &mut LeaseSimulation, name: &str| {
        let heartbeat = Heartbeat {
            host: name.to_owned(),
            session: 1,
            holds: true,
            ..Heartbeat::default()
        };
        let at = now(simulation);
        simulation
            .leader
            .handle_heartbeat(heartbeat, &simulation.state, at)
    };
    let step = |simulation: &mut LeaseSimulation, hosts: &[&str]| {
        simulation.elapsed += SIMULATION_STEP;
        for host in hosts {
            heartbeat(simulation, host);
        }
        let at = now(simulation);
        let moves = simulation
            .leader
            .assign(&simulation.upstreams, &simulation.state, at);
        if !moves.is_empty() {
            apply(&mut simulation.state, 0, Order::Assign(Assign { moves }));
        }
    };
    for _ in 0..100 {
        step(&mut simulation, &["x", "y"]);
    }
    let held_by = |simulation: &LeaseSimulation, host: &str| {
        let all = simulation.state.assignments().values();
        all.filter(|assignment| assignment.host == host).count()
    };
    assert_eq!(
        (held_by(&simulation, "x"), held_by(&simulation, "y")),
        (4, 3)
    );
    let gone_at = simulation.elapsed;
    while held_by(&simulation, "y") < 7 {
        step(&mut simulation, &["y"]);
        assert!(
            simulation.elapsed < gone_at + Duration::from_secs(4),
            "the takeover is slow"
        );
    }
}

#[test]
fn a_move_without_a_host_removes_the_assignment() {
    let mut state = State::default();
    let move_to = |host: &str| Move {
        replica: "r".to_owned(),
        host: host.to_owned(),
        ..Move::default()
    };
    apply(
        &mut state,
        0,
        Order::Assign(Assign {
            moves: vec![move_to("x")],
        }),
    );
    apply(
        &mut state,
        0,
        Order::Assign(Assign {
            moves: vec![move_to("")],
        }),
    );
    assert!(state.assignments().is_empty());
}

/// Successive leaders must together stay within the store's rate and its limit on loads in flight.
#[test]
fn permits_never_exceed_the_budget() {
    for_seeds(200, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let config = permit::Config::default();
        let start = Instant::now();
        let mut permits = Permits::new(config.clone(), 0, start);
        let mut open: BTreeMap<u64, Duration> = BTreeMap::new();
        let mut grant_times: Vec<Duration> = Vec::new();
        for step in 0..4000u64 {
            let elapsed = Duration::from_millis(step * 20);
            let now = start + elapsed;
            open.retain(|_, granted_at| elapsed - *granted_at < config.lifetime);
            if random.random_bool(0.3) {
                let waited = Duration::from_millis(random.random_range(0..3000));
                permits.enqueue(waited, random.random_range(1..9), (), now);
            }
            for (number, ()) in permits.grant(now, |()| false) {
                assert!(
                    open.insert(number, elapsed).is_none(),
                    "a permit number was used twice"
                );
                grant_times.push(elapsed);
            }
            assert!(open.len() <= config.in_flight, "{} in flight", open.len());
            if random.random_bool(0.1)
                && let Some(number) = open.keys().next().copied()
            {
                permits.release(number);
                open.remove(&number);
            }
            if random.random_bool(0.002) {
                permits = Permits::new(config.clone(), (step + 1) << 32, now + config.lifetime);
            }
        }
        for window in grant_times.windows(6) {
            let span = window[5] - window[0];
            // Six permits span five intervals at 90 percent of the rate.
            assert!(
                span >= Duration::from_millis(1100),
                "six permits within {span:?}"
            );
        }
        assert!(grant_times.len() > 50, "{} permits", grant_times.len());
    });
}

#[test]
fn the_highest_product_of_wait_and_requests_is_granted_first() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut permits = Permits::new(permit::Config::default(), 0, now - Duration::from_secs(30));
    let secs = Duration::from_secs;
    permits.enqueue(secs(2), 1, "two seconds of one", now);
    permits.enqueue(secs(1), 3, "one second of three", now);
    let granted = permits.grant(now, |_| false);
    assert_eq!(granted[0].1, "one second of three");
}

/// Guards against: a conviction is lost with a snapshot, or lifted by nobody.
#[test]
fn marks_of_prompt_parts_outlast_snapshots_until_they_are_lifted() {
    let mark = |part, crashes, convicted| Mark {
        crashes,
        convicted,
        services: vec!["llm".to_owned()],
        ..Mark::cleared(Key::Part(part))
    };
    let record = |marks| Command::of(Order::Quarantine(Quarantine { marks }));
    let lift = |part| {
        let key = Key::Part(part);
        Command::of(Order::Lift(Lift::new(key, "ana".to_owned())))
    };
    let mut state = State::default();
    state.apply(&record(vec![
        mark(7, 1, false),
        mark(8, 3, true),
        mark(9, 1, false),
    ]));
    state.apply(&record(vec![mark(7, 0, false)]));
    let mut state = State::decode(state.encode()).unwrap();
    let keys: Vec<Key> = state.marks().keys().copied().collect();
    assert_eq!(keys, [Key::Part(8), Key::Part(9)]);
    assert!(state.marks()[&Key::Part(8)].convicted);
    let outcome = |text: &str| Outcome::of(Effect::Done(text.to_owned()));
    assert_eq!(state.apply(&lift(8)), outcome(""));
    assert_eq!(
        state.apply(&lift(8)),
        outcome("prompt part 8 is not in quarantine")
    );
    let outcomes: Vec<&str> = state.audit().map(|audit| audit.outcome.as_str()).collect();
    assert_eq!(outcomes, ["quarantined", "lifted"]);
}
