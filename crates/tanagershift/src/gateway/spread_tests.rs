//! Tests of how gateways spread the requests of an uneven plain service.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::spread::{Place, draw};
use crate::testing::cases;

/// Usual pace of each upstream; at any moment a share of them is slower still.
const BASE_PACES: [f64; 3] = [0.6, 1.0, 1.6];
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Time for which an upstream stays slow or not, in milliseconds.
const CHANGE_MS: u64 = 600;
/// Requests that an upstream runs and queues.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;
/// Age of what gateways know of each other's requests and of paces, in milliseconds.
const NEWS_MS: u64 = 300;
const WORK_MS: f64 = 60.0;
const AIM_MS: f64 = 300.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// The least busy of what is known, as in even services.
    LeastBusy,
    Drawn,
    /// Where it would end first, with everything known.
    Known,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    in_aim: u32,
    rejected: u32,
}

/// A minute of requests, a millisecond at a time; upstreams share their speed among running requests.
fn play(choice: Choice, hosts: usize, per_second: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut paces = BASE_PACES;
    let (mut told_paces, mut told_open) = (paces, [0_u32; 3]);
    // Of each request: its host, the work left and its start; oldest first.
    let mut open: [Vec<(usize, f64, u64)>; 3] = Default::default();
    for now in 0..60_000_u64 {
        if now % CHANGE_MS == 0 {
            for (pace, base) in paces.iter_mut().zip(BASE_PACES) {
                let is_slow = random.random::<f64>() < SLOW_SHARE;
                *pace = if is_slow { base * SLOW_FACTOR } else { base };
            }
        }
        if now % NEWS_MS == 0 {
            told_paces = paces;
            told_open = [0, 1, 2].map(|at| open[at].len() as u32);
        }
        for (requests, pace) in open.iter_mut().zip(paces) {
            for request in requests.iter_mut().take(SLOTS as usize) {
                request.1 -= 1.0 / pace;
            }
            requests.retain(|(_, left, since)| {
                let took = (now - since) as f64;
                outcome.in_aim += u32::from(*left <= 0.0 && took <= AIM_MS);
                *left > 0.0
            });
        }
        // The rate swings by half within 13 s.
        let swing = 1.0 + 0.55 * (now as f64 / 13_000.0 * std::f64::consts::TAU).sin();
        if random.random::<f64>() >= per_second * swing / 1000.0 {
            continue;
        }
        outcome.asked += 1;
        let host = random.random_range(0..hosts);
        let places = [0, 1, 2].map(|at| Place {
            slots: SLOTS,
            open: match choice {
                Choice::Known => open[at].len() as u32,
                _ => {
                    let own = open[at].iter().filter(|(one, ..)| *one == host);
                    told_open[at].max(own.count() as u32)
                }
            },
            pace: match choice {
                Choice::Known => paces[at],
                _ => told_paces[at],
            },
            is_near: host % 3 == at,
            is_ejected: false,
        });
        let busy = |place: &Place| f64::from(place.open) - f64::from(u8::from(place.is_near)) * 0.3;
        let until = |place: &Place| f64::from(place.open.max(SLOTS - 1) + 1) * place.pace;
        let least = |key: &dyn Fn(&Place) -> f64| {
            (0..3).min_by(|left, right| key(&places[*left]).total_cmp(&key(&places[*right])))
        };
        let at = match choice {
            Choice::LeastBusy => least(&busy),
            Choice::Drawn => draw(&places, random.random()),
            Choice::Known => least(&until),
        };
        let at = at.unwrap();
        if open[at].len() as u32 >= SLOTS + QUEUE {
            outcome.rejected += 1;
        } else {
            let work = WORK_MS * random.random_range(0.5..1.5);
            open[at].push((host, work, now));
        }
    }
    outcome
}

/// Confirmations of 3, 82 and 300 gateways to three upstreams of unlike pace, which changes twice a
/// second, with news of 300 ms ago.
fn check_spread(hosts: usize, per_second: f64) {
    for seed in 1..=3 {
        let drawn = play(Choice::Drawn, hosts, per_second, seed);
        let known = play(Choice::Known, hosts, per_second, seed);
        let least = play(Choice::LeastBusy, hosts, per_second, seed);
        let told = format!("drawn {drawn:?}, known {known:?}, least busy {least:?}");
        let reached = f64::from(drawn.in_aim) / f64::from(drawn.asked);
        let reachable = f64::from(known.in_aim) / f64::from(known.asked);
        assert!(reached >= 0.9 * reachable, "{told}");
        assert!(drawn.in_aim >= least.in_aim, "{told}");
        assert!(
            f64::from(drawn.rejected) < 0.03 * f64::from(drawn.asked),
            "{told}"
        );
    }
}

cases! { check_spread {
    three_gateways_spread_a_calm_day: (3, 110.0);
    many_gateways_spread_a_calm_day: (82, 110.0);
    a_fleet_spreads_a_calm_day: (300, 110.0);
    many_gateways_spread_a_quiet_day_with_waves: (82, 150.0);
}}

#[test]
fn nothing_is_drawn_from_nothing() {
    assert_eq!(draw(&[], 0.5), None);
}

/// A failing upstream is drawn only if there is no other.
#[test]
fn an_ejected_place_is_the_last_resort() {
    let place = |is_ejected| Place {
        slots: 6,
        open: 0,
        pace: 1.0,
        is_near: true,
        is_ejected,
    };
    for random in [0.01, 0.3, 0.9999] {
        assert_eq!(draw(&[place(true), place(false)], random), Some(1));
    }
    assert_eq!(draw(&[place(true)], 1.0), Some(0));
}
