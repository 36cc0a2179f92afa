//! The search for the leader, on loopback.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    follower::Leader,
    link::{self, Greeting, Pool, Responder},
    wire::{Body, Redirect},
};

fn greeting(host: &str) -> Greeting {
    Greeting {
        host: host.to_owned(),
        token: String::new(),
    }
}

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Pattern: every host starts at once and asks a leader whose link is full. It answers late, and
/// voters name it meanwhile; each search asks it once.
#[tokio::test]
async fn a_slow_leader_is_asked_once_in_a_search() {
    let asked = Arc::new(AtomicU32::new(0));
    let (listener, leader) = listen().await;
    let count = asked.clone();
    let slow = move |_: Body, responder: Responder| {
        count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            sleep(Duration::from_millis(600)).await;
            responder
                .finish(Body::Report(Default::default()))
                .await
                .ok();
        });
    };
    tokio::spawn(link::serve(listener, greeting("leader"), slow, None));
    let mut seeds = vec![leader.clone()];
    for number in 0..3 {
        let (listener, address) = listen().await;
        seeds.push(address);
        let leader = leader.clone();
        let redirect = move |_: Body, responder: Responder| {
            let address = leader.clone();
            tokio::spawn(async move {
                let redirect = Body::Redirect(Redirect { address });
                responder.finish(redirect).await.ok();
            });
        };
        let greeting = greeting(&format!("voter{number}"));
        tokio::spawn(link::serve(listener, greeting, redirect, None));
    }
    let client = Leader::new(Pool::new(greeting("gateway")), seeds);
    let second = Duration::from_secs(1);
    let opened = client
        .open(Body::Report(Default::default()), second * 4, second)
        .await;
    assert!(opened.is_some());
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}

/// A connection that something in between holds open and that carries nothing: bytes are taken and
/// acknowledged, none come back. New connections work.
#[tokio::test]
async fn a_connection_that_went_silent_is_given_up_and_replaced() {
    let (listener, leader) = listen().await;
    let answer = move |_: Body, responder: Responder| {
        tokio::spawn(async move {
            let report = Body::Report(Default::default());
            responder.finish(report).await.ok();
        });
    };
    tokio::spawn(link::serve(listener, greeting("leader"), answer, None));
    let (near, between) = listen().await;
    let silent = Arc::new(AtomicU32::new(0));
    tokio::spawn(carry(near, leader, silent.clone()));
    let client = Leader::new(Pool::new(greeting("gateway")), vec![between]);
    let second = Duration::from_secs(1);
    let ask = || client.open(Body::Report(Default::default()), second, second);
    assert!(ask().await.is_some());
    silent.store(1, Ordering::Relaxed);
    let mut answered = false;
    for _ in 0..4 {
        answered = answered || ask().await.is_some();
    }
    assert!(answered, "no answer within four seconds");
}

/// A peer that thinks for longer than all probes take, on a sound connection.
#[tokio::test]
async fn a_slow_answer_on_a_sound_connection_is_waited_for() {
    let (listener, leader) = listen().await;
    let second = Duration::from_secs(1);
    let answer = move |_: Body, responder: Responder| {
        tokio::spawn(async move {
            sleep(second * 3).await;
            let report = Body::Report(Default::default());
            responder.finish(report).await.ok();
        });
    };
    tokio::spawn(link::serve(listener, greeting("leader"), answer, None));
    let client = Leader::new(Pool::new(greeting("gateway")), vec![leader]);
    let opened = client.open(Body::Report(Default::default()), second * 5, second * 5);
    assert!(opened.await.is_some());
}

/// Carries connections; those up to the number in `silent` lose every byte.
async fn carry(listener: TcpListener, target: String, silent: Arc<AtomicU32>) {
    for number in 1.. {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(&target).await.unwrap();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        for (mut from, mut to) in [(near_read, far_write), (far_read, near_write)] {
            let silent = silent.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 4096];
                while let Ok(read @ 1..) = from.read(&mut buffer).await {
                    if silent.load(Ordering::Relaxed) < number {
                        to.write_all(&buffer[..read]).await.ok();
                    }
                }
            });
        }
    }
}
