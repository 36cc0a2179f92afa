//! Tests of quotas in virtual time, without a network.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use super::{Gift, allowance::Allowance, ledger::Ledger};
use crate::{
    gateway::account::{Account, Quota, Unit},
    testing::for_seeds,
};

/// Time between two tallies of a host, and between two notices.
const INTERVAL: Duration = Duration::from_millis(300);
/// Step of virtual time.
const STEP: Duration = Duration::from_millis(20);

/// Draws that never send a request for which less is left than it costs.
struct Unlucky;

impl rand::RngCore for Unlucky {
    fn next_u32(&mut self) -> u32 {
        u32::MAX
    }

    fn next_u64(&mut self) -> u64 {
        u64::MAX
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill(u8::MAX);
    }
}

fn quota(per_second: f64, burst: f64) -> Quota {
    Quota {
        unit: Unit::Requests,
        per_second,
        burst,
    }
}

fn account(name: &str, quota: Quota) -> Account {
    Account {
        name: name.into(),
        keys: Vec::new(),
        priority: None,
        quota: Some(quota),
    }
}

/// Messages on their way, in order, each with its arrival.
type Wire<M> = VecDeque<(Instant, M)>;

/// A host, and what is on its way from and to it.
struct Host {
    name: String,
    session: u64,
    allowance: Allowance,
    next_tally: Instant,
    next_notice: Instant,
    /// Until when nothing passes from and to it.
    cut_until: Instant,
    /// Until when it does nothing.
    still_until: Instant,
    heard_at: Option<Instant>,
    tallies: Wire<(u64, Gift)>,
    notices: Wire<(u64, f64)>,
}

/// Hosts with one leader or none.
struct World {
    now: Instant,
    hosts: Vec<Host>,
    ledger: Option<Ledger>,
    term: u64,
    accounts: Vec<Account>,
    rng: StdRng,
    /// Units that were spent, by account.
    spent: Vec<Vec<(Instant, f64)>>,
    longest_delay: Duration,
}

impl World {
    fn new(hosts: usize, accounts: Vec<Account>, seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            hosts: Vec::new(),
            ledger: None,
            term: 0,
            spent: vec![Vec::new(); accounts.len()],
            accounts,
            rng: StdRng::seed_from_u64(seed),
            longest_delay: Duration::from_millis(60),
        };
        for _ in 0..hosts {
            world.add_host();
        }
        world.lead();
        world
    }

    fn add_host(&mut self) {
        let name = format!("host-{}", self.hosts.len());
        let phase = INTERVAL.mul_f64(self.rng.random());
        self.hosts.push(Host {
            name,
            session: 1,
            allowance: Allowance::new(self.now),
            next_tally: self.now + phase,
            next_notice: self.now + phase,
            cut_until: self.now,
            still_until: self.now,
            heard_at: None,
            tallies: Wire::new(),
            notices: Wire::new(),
        });
    }

    /// Another leader takes over.
    fn lead(&mut self) {
        self.term += 1;
        let mut ledger = Ledger::new(self.term, self.term == 1, self.now);
        ledger.configure(self.accounts.iter(), self.now);
        self.ledger = Some(ledger);
        for host in &mut self.hosts {
            host.notices.clear();
            host.tallies.clear();
        }
    }

    fn restart(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.session += 1;
        host.allowance = Allowance::new(self.now);
        host.heard_at = None;
        host.tallies.clear();
        host.notices.clear();
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for host in &mut self.hosts {
            if now < host.still_until {
                continue;
            }
            let arrival = now + self.longest_delay.mul_f64(self.rng.random());
            let arrival = |last: Option<Instant>| last.map_or(arrival, |last| arrival.max(last));
            if now >= host.next_tally {
                host.next_tally = now + INTERVAL;
                let gift = host.allowance.report(now);
                let last = host.tallies.back().map(|(at, _)| *at);
                // Some are lost on their way.
                if now >= host.cut_until && self.rng.random_bool(0.98) {
                    host.tallies
                        .push_back((arrival(last), (host.session, gift)));
                }
            }
            let Some(ledger) = &mut self.ledger else {
                continue;
            };
            if now >= host.next_notice {
                host.next_notice = now + INTERVAL;
                let part = ledger.part_to_tell(now);
                let last = host.notices.back().map(|(at, _)| *at);
                host.notices.push_back((arrival(last), (self.term, part)));
            }
            if now < host.cut_until {
                continue;
            }
            while let Some((_, (session, gift))) = host.tallies.pop_front_if(|(at, _)| *at <= now) {
                ledger.record_gift(&host.name, session, &gift, INTERVAL, now);
            }
            while let Some((_, (term, part))) = host.notices.pop_front_if(|(at, _)| *at <= now) {
                host.allowance.record_notice(term, part, now);
                host.heard_at = Some(now);
            }
        }
    }

    /// A request at a host. Returns whether it is sent.
    fn request(&mut self, at: usize, account: usize, cost: u64, rng: &mut impl Rng) -> bool {
        let (now, host) = (self.now, &mut self.hosts[at]);
        let Account { name, quota, .. } = &self.accounts[account];
        if now < host.still_until {
            return false;
        }
        let hears = host
            .heard_at
            .is_some_and(|heard| now < heard + INTERVAL * 3);
        let is_sent = match &mut self.ledger {
            Some(ledger) if hears && now >= host.cut_until => {
                ledger.try_spend(name, cost, now).is_ok()
            }
            _ => host
                .allowance
                .try_spend(name, &quota.unwrap(), cost, INTERVAL, now, rng),
        };
        if is_sent {
            self.spent[account].push((now, cost as f64));
        }
        is_sent
    }

    /// Largest sum in any window, less what the rate gives in it.
    fn most_beyond_rate(&self, account: usize, per_second: f64) -> f64 {
        let (mut excess, mut most, mut last) = (0.0_f64, 0.0_f64, self.now);
        for (at, units) in &self.spent[account] {
            let passed = at.saturating_duration_since(last).as_secs_f64();
            excess = (excess - passed * per_second).max(0.0) + units;
            most = most.max(excess);
            last = *at;
        }
        most
    }

    fn run(&mut self, time: Duration, mut each: impl FnMut(&mut Self)) {
        let until = self.now + time;
        while self.now < until {
            self.step();
            each(self);
        }
    }
}

/// Hosts stop, start, freeze and are cut off, messages are lost and late, leaders change.
#[test]
fn no_window_sees_more_than_rate_and_burst() {
    for_seeds(100, |seed| {
        let (per_second, burst) = (200.0, 300.0);
        let accounts = vec![account("hot", quota(per_second, burst))];
        let mut world = World::new(12, accounts, seed);
        let mut chaos = StdRng::seed_from_u64(!seed);
        let mut leads_at = None;
        world.run(Duration::from_secs(5), |_| {});
        world.run(Duration::from_secs(90), |world| {
            let (now, at) = (world.now, chaos.random_range(0..world.hosts.len()));
            let time = Duration::from_millis(chaos.random_range(0..25_000));
            match chaos.random_range(0..400) {
                0 | 1 => world.hosts[at].cut_until = now + time,
                2 => {
                    let half = world.hosts.len() / 2;
                    for host in &mut world.hosts[..half] {
                        host.cut_until = now + time;
                    }
                }
                3 => world.hosts[at].still_until = now + time,
                4 => world.restart(at),
                5 if leads_at.is_none() => {
                    world.ledger = None;
                    leads_at = Some(now + time / 4);
                }
                6 if world.hosts.len() < 16 => world.add_host(),
                _ => {}
            }
            if leads_at.is_some_and(|at| now >= at) {
                leads_at = None;
                world.lead();
            }
            for _ in 0..16 {
                let at = chaos.random_range(0..world.hosts.len());
                world.request(at, 0, 1, &mut Unlucky);
            }
        });
        let most = world.most_beyond_rate(0, per_second);
        // Hosts that are cut off for the first time just after another has joined have too large a part.
        let joined = per_second * 0.5;
        assert!(most <= burst + joined, "{most} beyond the rate");
    });
}

/// A lower quota binds at once, and a higher one gives no burst.
#[test]
fn changed_quota_binds_at_once() {
    let now = Instant::now();
    let mut ledger = Ledger::new(1, true, now);
    ledger.configure([account("one", quota(10.0, 100.0))].iter(), now);
    ledger.configure([account("one", quota(10.0, 20.0))].iter(), now);
    ledger.configure([account("one", quota(10.0, 500.0))].iter(), now);
    assert!(ledger.try_spend("one", 20, now).is_ok());
    assert!(ledger.try_spend("one", 1, now).is_err());
    // An account that goes and comes back.
    ledger.configure([].iter(), now);
    assert!(ledger.try_spend("one", 1000, now).is_ok());
    ledger.configure([account("one", quota(10.0, 500.0))].iter(), now);
    assert!(ledger.try_spend("one", 1, now).is_err());
}

/// Uneven accounts on many hosts ask for three times their quota: it is used whole, and no more.
fn uses_the_quota(hosts: usize) {
    let large = |at: usize| if at < 3 { 30.0 } else { 1.0 };
    let accounts: Vec<Account> = (0..16)
        .map(|at| {
            let per_second = 2700.0 * large(at);
            account(
                &format!("account-{at}"),
                quota(per_second, per_second * 2.0),
            )
        })
        .collect();
    let mut world = World::new(hosts, accounts, 7);
    let mut rng = StdRng::seed_from_u64(9);
    world.run(Duration::from_secs(5), |_| {});
    // The first ten seconds use up the bursts.
    let counted_from = world.now + Duration::from_secs(10);
    let time = Duration::from_secs(60);
    world.run(Duration::from_secs(70), |world| {
        for at in 0..16 {
            let cost = 1600;
            let wanted = 3.0 * 2700.0 * large(at) * STEP.as_secs_f64() / cost as f64;
            let count = wanted as usize + usize::from(rng.random_bool(wanted.fract()));
            for _ in 0..count {
                // Half of an account's requests come to one host.
                let host = match rng.random_bool(0.5) {
                    true => at,
                    false => rng.random_range(0..hosts),
                };
                world.request(host, at, cost, &mut Unlucky);
            }
        }
    });
    for at in 0..16 {
        let per_second = 2700.0 * large(at);
        let counted = world.spent[at].iter().filter(|(at, _)| *at > counted_from);
        let spent: f64 = counted.map(|(_, units)| units).sum();
        let used = spent / (per_second * time.as_secs_f64());
        assert!((0.97..=1.03).contains(&used), "account {at} used {used}");
        assert!(world.most_beyond_rate(at, per_second) <= 2.0 * per_second);
    }
}

#[test]
fn fleet_of_85_uses_the_quota() {
    uses_the_quota(85);
}

#[test]
fn fleet_of_300_uses_the_quota() {
    uses_the_quota(300);
}

/// Without a leader, the parts of 300 hosts add up, though each is smaller than a request.
#[test]
fn small_parts_add_up() {
    let accounts = vec![account("one", quota(3000.0, 12_000.0))];
    let mut world = World::new(300, accounts, 3);
    world.run(Duration::from_secs(6), |_| {});
    world.ledger = None;
    let mut rng = StdRng::seed_from_u64(5);
    world.run(Duration::from_secs(14), |world| {
        for _ in 0..3 {
            let at = rng.random_range(0..300);
            world.request(at, 0, 200, &mut rng);
        }
    });
    let spent: f64 = world.spent[0].iter().map(|(_, units)| units).sum();
    let share = spent / (3000.0 * 12.5);
    assert!((0.75..=1.05).contains(&share), "{share}");
}

/// A quota without a burst, or with one under the cost of a request, still gives its rate.
#[test]
fn requests_larger_than_the_burst_get_the_rate() {
    for burst in [0.0, 500.0] {
        let accounts = vec![account("one", quota(2700.0, burst))];
        let mut world = World::new(10, accounts, 1);
        let time = Duration::from_secs(30);
        let mut rng = StdRng::seed_from_u64(2);
        world.run(Duration::from_secs(4), |_| {});
        world.run(time, |world| {
            let at = rng.random_range(0..10);
            world.request(at, 0, 1632, &mut Unlucky);
        });
        let spent: f64 = world.spent[0].iter().map(|(_, units)| units).sum();
        let used = spent / (2700.0 * time.as_secs_f64());
        assert!((0.95..=1.05).contains(&used), "burst {burst}: {used}");
        assert!(world.most_beyond_rate(0, 2700.0) <= 1632.0 + 2700.0 * 0.3);
    }
}

/// After a leader is lost, its successor has the time that no leader was given.
#[test]
fn next_leader_fills_what_the_gap_held() {
    let accounts = vec![account("one", quota(1000.0, 2000.0))];
    let mut world = World::new(20, accounts, 4);
    world.run(Duration::from_secs(5), |_| {});
    world.ledger = None;
    world.run(Duration::from_millis(1500), |_| {});
    world.lead();
    world.run(Duration::from_millis(700), |_| {});
    let now = world.now;
    let ledger = world.ledger.as_mut().unwrap();
    assert!(ledger.try_spend("one", 1200, now).is_ok());
    assert!(ledger.try_spend("one", 1200, now).is_err());
}

/// Those that are told to return come one after the other.
#[test]
fn returns_are_apart() {
    let now = Instant::now();
    let mut ledger = Ledger::new(1, true, now);
    ledger.configure([account("one", quota(10.0, 10.0))].iter(), now);
    assert!(ledger.try_spend("one", 10, now).is_ok());
    let mut after = |_| ledger.try_spend("one", 1, now).unwrap_err().retry_after;
    let told: Vec<Duration> = (0..4).map(&mut after).collect();
    let expected = [100, 200, 300, 400].map(Duration::from_millis);
    assert_eq!(told, expected);
}
