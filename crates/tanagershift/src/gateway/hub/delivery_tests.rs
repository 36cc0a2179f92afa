//! Tests of the queues of notices. The load that they answer: a host that stands still or has a slow link
//! while the state changes for hundreds of hosts.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{delivery::WATCHER_QUEUE, gateways::Watcher};
use crate::gateway::{fleet::receiver::Receiver, message::Watch};

fn watcher(takes_changes: bool) -> (Watcher, mpsc::Receiver<Bytes>) {
    let (queue, notices) = mpsc::channel(WATCHER_QUEUE);
    let watch = Watch {
        takes_changes,
        ..Watch::default()
    };
    let watcher = Watcher {
        host: "h1".to_owned(),
        receiver: Receiver::new(&watch),
        is_lost: false,
        helpers: Vec::new(),
        queue,
    };
    (watcher, notices)
}

#[test]
fn a_gateway_that_takes_nothing_falls_behind_and_its_queue_grows_no_further() {
    let (mut watcher, mut notices) = watcher(true);
    for _ in 0..10_000 {
        watcher.send(Bytes::from_static(b"notice"));
    }
    assert!(watcher.receiver.is_behind() && !watcher.is_lost);
    assert_eq!(notices.len(), WATCHER_QUEUE);
    while notices.try_recv().is_ok() {}
    watcher.send(Bytes::from_static(b"not the whole state"));
    assert!(notices.is_empty());
    watcher.receiver.catch_up();
    watcher.send(Bytes::from_static(b"the whole state"));
    assert_eq!(notices.len(), 1);
}

#[test]
fn a_host_of_an_older_version_must_subscribe_again_instead() {
    let (mut watcher, _notices) = watcher(false);
    for _ in 0..=WATCHER_QUEUE {
        watcher.send(Bytes::from_static(b"notice"));
    }
    assert!(watcher.is_lost);
}

#[test]
fn a_gateway_that_is_gone_is_lost() {
    let (mut watcher, notices) = watcher(true);
    drop(notices);
    watcher.send(Bytes::from_static(b"notice"));
    assert!(watcher.is_lost);
}
