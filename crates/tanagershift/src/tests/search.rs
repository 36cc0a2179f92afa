//! The search for the leader, on loopback.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{net::TcpListener, time::sleep};

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
    tokio::spawn(link::serve(listener, greeting("leader"), slow));
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
        tokio::spawn(link::serve(listener, greeting, redirect));
    }
    let client = Leader::new(Pool::new(greeting("gateway")), seeds);
    let second = Duration::from_secs(1);
    let opened = client
        .open(Body::Report(Default::default()), second * 4, second)
        .await;
    assert!(opened.is_some());
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}
