//! Which connection is closed for a new one, under the loads that clients can bring.

use std::{io::ErrorKind, net::IpAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{Instant, sleep},
};

use super::{
    Phase::{Idle, New, Receiving, Serving},
    Register, most_connections,
    register::Id,
    stream::Stream,
};
use crate::testing::cases;

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// Opens connections in order, one a millisecond: their addresses and phases.
fn register(connections: &[(u8, super::Phase)]) -> (Register, Vec<Id>) {
    let mut register = Register::new(connections.len());
    let mut now = Instant::now();
    let mut ids = Vec::new();
    for (from, phase) in connections {
        now += Duration::from_millis(1);
        let id = register.open(address(*from), now).unwrap();
        if *phase != New {
            assert!(register.begin(id, *phase, now));
        }
        ids.push(id);
    }
    assert_eq!(register.open(address(9), now), None);
    (register, ids)
}

fn check_closed(connections: &[(u8, super::Phase)], expected: Option<usize>) {
    let (mut register, ids) = register(connections);
    let closed = register.give_up_one();
    let at = closed.and_then(|(id, _)| ids.iter().position(|known| *known == id));
    assert_eq!(at, expected);
    if let Some((id, _)) = closed {
        assert!(!register.begin(id, Serving, Instant::now()));
        register.close(id);
        assert!(register.open(address(9), Instant::now()).is_some());
    }
}

cases! { check_closed {
    idle_crowd_loses_its_oldest: (&[(1, New), (1, New), (1, New)], Some(0));
    unfinished_heads_go_before_a_crowd_of_bodies: (&[(1, Receiving), (1, New)], Some(1));
    crowd_of_bodies_loses_its_oldest: (&[(1, Serving), (1, Receiving), (1, Receiving)], Some(1));
    address_with_most_connections_loses_first: (&[(1, Idle), (2, Idle), (2, New)], Some(1));
    requests_that_may_run_are_never_closed: (&[(1, Serving), (1, Serving)], None);
}}

fn check_most(descriptors: usize, memory_mib: usize, expected: usize) {
    assert_eq!(most_connections(descriptors, memory_mib << 20), expected);
}

/// Load: a caller that reads slowly, and then nothing more.
#[tokio::test(start_paused = true)]
async fn a_caller_that_takes_nothing_fails_its_own_answer() {
    let (stream, mut caller) = tokio::io::duplex(1024);
    let mut stream = Stream::new(stream, Duration::from_secs(15));
    let slow = async {
        let mut bytes = [0; 1024];
        for _ in 0..4 {
            sleep(Duration::from_secs(10)).await;
            caller.read_exact(&mut bytes).await.unwrap();
        }
        sleep(Duration::from_secs(60)).await;
    };
    let started = Instant::now();
    let written = tokio::select! {
        written = stream.write_all(&[0; 64 << 10]) => written,
        () = slow => panic!("the write waits"),
    };
    assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
    assert_eq!(started.elapsed(), Duration::from_secs(55));
}

cases! { check_most {
    smallest_machine_keeps_hundreds: (4100, 120, 960);
    usual_machine_is_bound_by_descriptors: (4100, 260, 2050);
    few_descriptors_bind: (256, 260, 128);
}}
