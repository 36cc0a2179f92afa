//! Who gets memory, and which bodies are given up, under the loads that clients can send.

use std::{net::IpAddr, time::Duration};

use tokio::time::Instant;

use super::{
    Holder::{Request, Response},
    Ledger, Refusal, Shared,
    ledger::{Id, Outcome},
};
use crate::testing::for_seeds;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const LIMIT: usize = 32 * MIB;

fn caller(last: u8) -> Option<IpAddr> {
    Some(IpAddr::from([10, 0, 0, last]))
}

/// A ledger at a time that tests advance.
struct Case {
    ledger: Ledger,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        Self {
            ledger: Ledger::new(LIMIT),
            now: Instant::now(),
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// Opens a caller's body that has received some bytes.
    fn body(&mut self, from: u8, bytes: usize) -> Id {
        let id = self.ledger.open(Request, caller(from), self.now);
        assert_eq!(self.ledger.grow(id, bytes, self.now), Outcome::Granted);
        id
    }

    fn grow(&mut self, id: Id, bytes: usize) -> Outcome {
        self.ledger.grow(id, bytes, self.now)
    }
}

/// Load: bodies of legal size that stop just short of their end, then more of them.
#[test]
fn the_oldest_unfinished_body_makes_room() {
    let mut case = Case::new();
    let oldest = case.body(1, 16 * MIB);
    case.pass(1);
    let other = case.body(1, 15 * MIB);
    let new = case.body(1, 1);
    assert_eq!(case.grow(new, 4 * MIB), Outcome::Wait(vec![oldest]));
    // The memory that is being given back is not demanded twice.
    assert_eq!(case.grow(new, 4 * MIB), Outcome::Wait(vec![]));
    case.ledger.close(oldest);
    assert_eq!(case.grow(new, 4 * MIB), Outcome::Granted);
    assert_eq!(case.grow(other, KIB), Outcome::Granted);
}

/// Load: stalled bodies beside one that arrives steadily and began before them.
#[test]
fn stalled_bodies_go_before_those_that_arrive() {
    let mut case = Case::new();
    let steady = case.body(1, 16 * MIB);
    case.pass(1);
    let stalled = case.body(1, 14 * MIB);
    case.pass(600);
    assert_eq!(case.grow(steady, MIB), Outcome::Granted);
    assert_eq!(case.grow(steady, 4 * MIB), Outcome::Wait(vec![stalled]));
}

/// Load: one address with many bodies beside callers with one each.
#[test]
fn the_address_that_holds_most_gives_first() {
    let mut case = Case::new();
    let lone = case.body(1, 9 * MIB);
    case.pass(1);
    let many: Vec<Id> = (0..4).map(|_| case.body(2, 5 * MIB)).collect();
    let new = case.body(3, 2 * MIB);
    assert_eq!(case.grow(new, 2 * MIB), Outcome::Wait(vec![many[0]]));
    case.ledger.close(many[0]);
    assert_eq!(case.grow(lone, MIB), Outcome::Granted);
}

/// Load: large bodies that have arrived whole, beside ordinary ones.
#[test]
fn what_arrived_whole_stays_and_small_bodies_still_find_room() {
    let mut case = Case::new();
    for _ in 0..8 {
        let id = case.body(1, 4 * MIB);
        assert_eq!(case.ledger.complete(id, 4 * MIB), Ok(()));
    }
    let large = case.body(2, 8 * KIB);
    assert_eq!(case.grow(large, MIB), Outcome::Refused(Refusal::GivenUp));
    let small = case.body(2, 8 * KIB);
    assert_eq!(case.ledger.complete(small, 8 * KIB), Ok(()));
}

/// Load: answers and callers' bodies at the same time.
#[test]
fn responses_take_the_memory_of_unfinished_requests_and_not_the_reverse() {
    let mut case = Case::new();
    let response = case.ledger.open(Response, None, case.now);
    assert_eq!(case.grow(response, 24 * MIB), Outcome::Granted);
    let request = case.body(1, 6 * MIB);
    assert_eq!(case.grow(response, 4 * MIB), Outcome::Wait(vec![request]));
    case.ledger.close(request);
    assert_eq!(case.grow(response, 8 * MIB), Outcome::Granted);
    let request = case.ledger.open(Request, caller(1), case.now);
    let outcome = case.grow(request, MIB);
    assert_eq!(outcome, Outcome::Refused(Refusal::Full));
}

/// Load: a body that was given up and still receives.
#[test]
fn a_body_that_was_given_up_gets_nothing_more() {
    let mut case = Case::new();
    let old = case.body(1, 31 * MIB);
    let new = case.body(1, KIB);
    assert_eq!(case.grow(new, 2 * MIB), Outcome::Wait(vec![old]));
    let outcome = case.grow(old, 1);
    assert_eq!(outcome, Outcome::Refused(Refusal::GivenUp));
    assert_eq!(case.ledger.complete(old, 1), Err(Refusal::GivenUp));
}

/// Any order of operations: the sum is that of the entries, and never above the budget and its reserve.
#[test]
fn the_budget_is_kept_and_nothing_leaks() {
    for_seeds(64, |seed| {
        use rand::{Rng, SeedableRng, rngs::StdRng};
        let mut random = StdRng::seed_from_u64(seed);
        let mut case = Case::new();
        let mut open = Vec::new();
        for _ in 0..400 {
            case.pass(random.random_range(0..300));
            let holder = if random.random() { Request } else { Response };
            let from = caller(random.random_range(0..4)).filter(|_| holder == Request);
            open.push(case.ledger.open(holder, from, case.now));
            let id = open[random.random_range(0..open.len())];
            let bytes = random.random_range(0..6 * MIB);
            if let Outcome::Wait(given_up) = case.grow(id, bytes) {
                for id in given_up {
                    open.retain(|known| *known != id);
                    case.ledger.close(id);
                }
            }
            if random.random_ratio(1, 4) && !open.is_empty() {
                let at = random.random_range(0..open.len());
                // It may have been given up, and then stays until it is closed.
                let _ = case.ledger.complete(open[at], bytes);
            }
            if random.random_ratio(1, 3) && !open.is_empty() {
                let at = random.random_range(0..open.len());
                case.ledger.close(open.swap_remove(at));
            }
            assert!(case.ledger.used() <= LIMIT + LIMIT / 8);
            let held = case.ledger.held(Request) + case.ledger.held(Response);
            assert_eq!(case.ledger.used(), held);
        }
        open.into_iter().for_each(|id| case.ledger.close(id));
        assert_eq!(case.ledger.used(), 0);
    });
}

/// Load: a body that grows while an unfinished one holds all memory.
#[tokio::test(start_paused = true)]
async fn a_lease_waits_until_the_one_given_up_is_dropped() {
    let memory = Shared::new(LIMIT);
    let mut old = memory.open(Request, caller(1));
    old.grow(LIMIT).await.unwrap();
    let holder = tokio::spawn(async move { old.given_up().await });
    let mut new = memory.open(Request, caller(2));
    new.grow(4 * MIB).await.unwrap();
    assert!(holder.is_finished());
    assert_eq!(memory.held(Request), 4 * MIB);
    drop(new);
    assert_eq!(memory.held(Request), 0);
}
