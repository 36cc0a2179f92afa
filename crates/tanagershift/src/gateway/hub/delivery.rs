//! Delivers notices to the gateways. A notice is encoded once for all of them. A gateway that takes
//! notices more slowly than they come misses some, and is sent the whole state once its queue is empty.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{LeaderState, Watcher, configuration_history::ConfigurationHistory};
use crate::{
    emit,
    gateway::{
        compression,
        fleet::receiver::{Bulk, KnownList, Pacer},
        message::{Notice, Residency},
    },
    link::Responder,
    wire::{Body, Redirect},
};

/// Notices that may wait for one gateway.
pub(super) const WATCHER_QUEUE: usize = 32;
/// Rate at which gateways are sent whole lists, over all gateways: half of what a link of 100 Mbit/s
/// carries.
const LIST_BYTES_PER_SECOND: f64 = 6e6;
/// Rate at which gateways are sent all residencies, over all gateways. They use them only without a
/// leader.
const RESIDENCY_BYTES_PER_SECOND: f64 = 1e6;
/// Time for which these rates may be used in advance.
const BURST: Duration = Duration::from_millis(50);
/// Time for which all residencies, once encoded, are sent to further gateways.
const SNAPSHOT_AGE: Duration = Duration::from_secs(1);

/// All residencies as encoded at some time, and what has been broadcast since.
#[derive(Debug)]
struct Snapshot {
    encoded_at: Instant,
    /// For gateways that take changes.
    packed: Bytes,
    since: Vec<Residency>,
}

/// What is sent to one gateway after the other.
#[derive(Debug)]
pub(super) struct Rollout {
    list_pacer: Pacer,
    residency_pacer: Pacer,
    /// The newest list as encoded for gateways that have none, with the counts that go with it; `None`
    /// once either has changed.
    pub(super) list: Option<Bytes>,
    snapshot: Option<Snapshot>,
}

impl Rollout {
    /// Creates the state of a leader that sends no residencies before `residencies_from`.
    pub(super) fn new(now: Instant, residencies_from: Instant) -> Self {
        Self {
            list_pacer: Pacer::new(LIST_BYTES_PER_SECOND, BURST, now),
            residency_pacer: Pacer::new(RESIDENCY_BYTES_PER_SECOND, BURST, residencies_from),
            list: None,
            snapshot: None,
        }
    }

    /// Records residencies that are broadcast.
    pub(super) fn record_broadcast(&mut self, residencies: &[Residency]) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.since.extend_from_slice(residencies);
        }
    }
}

impl Watcher {
    /// Queues a notice, unless the gateway is behind.
    pub(super) fn send(&mut self, notice: Bytes) {
        if self.receiver.is_behind() {
            return;
        }
        match self.queue.try_send(notice) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) if self.receiver.takes_changes => {
                emit!(GATEWAY_BEHIND, "host={}", self.host);
                self.receiver.fall_behind();
            }
            Err(_) => self.is_lost = true,
        }
    }

    fn has_room(&self) -> bool {
        self.queue.capacity() > 0
    }

    fn is_drained(&self) -> bool {
        self.queue.capacity() == WATCHER_QUEUE
    }
}

/// A notice with more fields packed into it.
fn packed(notice: Notice, common: Notice) -> Notice {
    match compression::compress(&notice.encode_to_vec()) {
        Ok(packed) => Notice { packed, ..common },
        Err(_) => notice,
    }
}

impl LeaderState {
    pub(super) fn known_list(&self) -> KnownList {
        KnownList {
            number: self.list.number,
            digest: self.list_digest,
        }
    }

    pub(super) fn encode(&self, notice: Notice) -> Bytes {
        self.with_common_fields(notice).encode_to_vec().into()
    }

    /// Sends a notice to every gateway.
    pub(super) fn broadcast(&mut self, notice: &Notice) {
        self.broadcast_forms(notice, || notice.clone());
    }

    /// Sends a notice to every gateway that takes changes, and another one to the others.
    pub(super) fn broadcast_forms(&mut self, notice: &Notice, whole: impl FnOnce() -> Notice) {
        self.watchers.retain(|watcher| !watcher.is_lost);
        let changes = self.encode(notice.clone());
        let has_old = self.watchers.iter().any(|one| !one.receiver.takes_changes);
        let whole = has_old.then(|| self.encode(whole()));
        for watcher in &mut self.watchers {
            match &whole {
                Some(whole) if !watcher.receiver.takes_changes => watcher.send(whole.clone()),
                _ => watcher.send(changes.clone()),
            }
        }
    }

    /// Sends a notice to one gateway.
    pub(super) fn send_to(&mut self, host: &str, notice: Notice) {
        let notice = self.encode(notice);
        let watcher = self.watchers.iter_mut().find(|one| one.host == host);
        if let Some(watcher) = watcher {
            watcher.send(notice);
        }
    }

    /// Sends gateways that were behind the state that they may have missed.
    pub(super) fn catch_up(&mut self, now: Instant) {
        let is_due = |one: &Watcher| one.receiver.is_behind() && one.is_drained();
        if !self.watchers.iter().any(is_due) {
            return;
        }
        let notice = self.encode(self.whole_state(now));
        for watcher in self.watchers.iter_mut().filter(|one| is_due(one)) {
            emit!(GATEWAY_CAUGHT_UP, "host={}", watcher.host);
            watcher.receiver.catch_up();
            watcher.helpers.clear();
            watcher.send(notice.clone());
        }
        self.helpers.differ = true;
    }

    /// Notices that wait for gateways, and gateways that are behind.
    pub(super) fn backlog(&self) -> (usize, usize) {
        let waiting = |one: &Watcher| WATCHER_QUEUE - one.queue.capacity();
        let behind = self.watchers.iter().filter(|one| one.receiver.is_behind());
        (self.watchers.iter().map(waiting).sum(), behind.count())
    }

    /// When the next large message is sent; `None` if none is due.
    pub(super) fn next_bulk(&self) -> Option<Instant> {
        let ready = self.watchers.iter().filter(|one| one.has_room());
        let due = ready.filter_map(|one| one.receiver.due(self.list.number));
        due.min().map(|bulk| match bulk {
            Bulk::List => self.rollout.list_pacer.next,
            Bulk::Residencies => self.rollout.residency_pacer.next,
        })
    }

    /// Sends large messages to the gateways that need them, one after the other at a limited rate, so that
    /// they do not delay grants and heartbeats on the link of the leader's host. What gateways need to
    /// serve goes first.
    pub(super) fn send_bulk(&mut self, now: Instant) {
        let newest = self.known_list();
        for bulk in [Bulk::List, Bulk::Residencies] {
            let is_due =
                |one: &Watcher| one.has_room() && one.receiver.due(newest.number) == Some(bulk);
            while self.pacer(bulk).is_open(now)
                && let Some(at) = self.watchers.iter().position(is_due)
            {
                let takes_changes = self.watchers[at].receiver.takes_changes;
                let notices = match bulk {
                    Bulk::List => vec![self.whole_list()],
                    Bulk::Residencies => self.all_residencies(takes_changes, now),
                };
                let watcher = &mut self.watchers[at];
                let bytes = notices.iter().map(Bytes::len).sum();
                watcher.receiver.record_sent(bulk, newest);
                for notice in notices {
                    watcher.send(notice);
                }
                self.pacer(bulk).spend(bytes, now);
            }
            if self.watchers.iter().any(is_due) {
                return;
            }
        }
    }

    fn pacer(&mut self, bulk: Bulk) -> &mut Pacer {
        match bulk {
            Bulk::List => &mut self.rollout.list_pacer,
            Bulk::Residencies => &mut self.rollout.residency_pacer,
        }
    }

    fn whole_list(&mut self) -> Bytes {
        if let Some(list) = &self.rollout.list {
            return list.clone();
        }
        let list = Notice {
            list: Some(self.list.clone()),
            open_changes: Some(self.told.all()),
            ..Notice::default()
        };
        let common = self.with_common_fields(Notice::default());
        let encoded: Bytes = packed(list, common).encode_to_vec().into();
        self.rollout.list = Some(encoded.clone());
        encoded
    }

    fn all_residencies(&mut self, takes_changes: bool, now: Instant) -> Vec<Bytes> {
        let all = || Notice {
            residencies: self.placement.residencies(),
            is_snapshot: true,
            ..Notice::default()
        };
        if !takes_changes {
            return vec![self.encode(all())];
        }
        let is_fresh = |one: &&Snapshot| now < one.encoded_at + SNAPSHOT_AGE;
        if let Some(snapshot) = self.rollout.snapshot.as_ref().filter(is_fresh) {
            let mut notices = vec![snapshot.packed.clone()];
            if !snapshot.since.is_empty() {
                notices.push(self.encode(Notice {
                    residencies: snapshot.since.clone(),
                    ..Notice::default()
                }));
            }
            return notices;
        }
        let common = self.with_common_fields(Notice::default());
        let encoded: Bytes = packed(all(), common).encode_to_vec().into();
        self.rollout.snapshot = Some(Snapshot {
            encoded_at: now,
            packed: encoded.clone(),
            since: Vec::new(),
        });
        vec![encoded]
    }

    /// Ends what is kept for the rollout of large messages once no gateway needs it.
    pub(super) fn end_rollout(&mut self) {
        let newest = self.list.number;
        let mut due = self.watchers.iter();
        if !due.any(|one| one.receiver.due(newest).is_some()) {
            self.rollout.list = None;
            self.rollout.snapshot = None;
        }
    }
}

/// Source of the notices for one gateway.
pub(super) struct NoticeStream {
    pub(super) queue: mpsc::Receiver<Bytes>,
    pub(super) configurations: watch::Receiver<Option<Arc<ConfigurationHistory>>>,
    /// Version of the configuration that the gateway has or was sent.
    pub(super) known_version: u64,
}

impl NoticeStream {
    /// The next notice; `None` once there will be no more.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let history = self.configurations.borrow_and_update().clone();
            if let Some(history) = history.filter(|history| history.version() > self.known_version)
            {
                let known = std::mem::replace(&mut self.known_version, history.version());
                return Some(history.notice(known));
            }
            tokio::select! {
                notice = self.queue.recv() => return notice,
                changed = self.configurations.changed() => changed.ok()?,
            }
        }
    }
}

/// Sends a gateway its first notice, then each further one as it comes. The first notice is short:
/// until it arrives, the gateway considers the leader lost.
pub(super) async fn send_notices(first: Bytes, mut notices: NoticeStream, responder: Responder) {
    if responder.send(Body::Notice(first)).await.is_err() {
        return;
    }
    loop {
        let notice = tokio::select! {
            notice = notices.next() => notice,
            () = responder.cancelled() => None,
        };
        let Some(notice) = notice else {
            break;
        };
        if responder.send_bulk(Body::Notice(notice)).await.is_err() {
            return;
        }
    }
    // The gateway subscribes again, here or at another leader.
    let _ = responder.finish(Body::Redirect(Redirect::default())).await;
}
