//! What the leader hears from gateways and tells them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{Leading, Told, Watcher, edition::Edition};
use crate::{
    gateway::message::{
        Announcement, Counts, Document, List, Notice, Residency, Tally, Upstream, Watch,
    },
    id,
    link::Responder,
    wire::{Body, Redirect},
};

/// Notices that wait for one gateway; one that lags further starts anew.
const WATCHER_QUEUE: usize = 128;
/// Time between two summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two notices to a gateway of a small system.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Gateways up to which notices keep that interval; with more, it grows in proportion, so that the
/// leader's messages a second stay bounded.
const NOTICE_GATEWAYS: u32 = 32;
/// Time after which a gateway that tells nothing is no longer counted.
const GATEWAY_LIFE: Duration = Duration::from_secs(3);

impl Leading {
    /// Starts to tell a gateway what changes, with all that there is first.
    pub(super) fn watch(&mut self, watch: Watch, responder: Responder, now: Instant) {
        let (queue, receiver) = mpsc::channel(WATCHER_QUEUE);
        let first = Notice {
            term: self.term,
            document: None,
            patch: None,
            announced: announcements(&self.announced),
            list: (self.list.number > 0).then(|| self.list.clone()),
            residencies: self.placement.places(),
            open: None,
            voters: self.voters.clone(),
            hosts: self.hosts(),
            is_snapshot: self.list.number > 0,
            interval_ms: self.interval().as_millis() as u32,
        };
        log::info!(
            "event=hub.watch host={} session={:016x}",
            watch.host,
            watch.session
        );
        self.watchers.retain(|known| known.host != watch.host);
        self.watchers.push(Watcher {
            host: watch.host.clone(),
            queue,
        });
        self.told.insert(
            watch.host,
            Told {
                session: watch.session,
                open: Counts::default(),
                at: now,
            },
        );
        let news = News {
            queue: receiver,
            editions: self.edition.subscribe(),
            known: watch.version,
        };
        tokio::spawn(feed(first, news, responder));
    }

    pub(super) fn hosts(&self) -> u32 {
        self.told.len() as u32
    }

    pub(super) fn interval(&self) -> Duration {
        let hosts = self.hosts().max(1);
        NOTICE_INTERVAL * hosts.div_ceil(NOTICE_GATEWAYS)
    }

    pub(super) fn tally(&mut self, tally: Tally, now: Instant) {
        for one in &tally.demand {
            if one.waiting > 0 {
                let hosts = self.wanting.entry(one.adapter.clone()).or_default();
                hosts.insert(tally.host.clone());
            }
        }
        self.placement.demand(&tally.demand, now);
        for place in &tally.missing {
            log::info!(
                "event=place.missing replica={} adapter={} host={}",
                place.replica,
                place.adapter,
                tally.host
            );
            self.placement.missing(&place.replica, &place.adapter, now);
        }
        for streams in &tally.streams {
            self.schedule.count_streams(streams, now);
        }
        let told = self.told.entry(tally.host).or_insert_with(|| Told {
            session: tally.session,
            open: Counts::default(),
            at: now,
        });
        told.at = now;
        told.session = tally.session;
        if let Some(open) = tally.open {
            told.open = open;
        }
    }

    pub(super) fn take_list(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        if self.list.number > 0 && same_list(&self.list.upstreams, &upstreams) {
            return;
        }
        let first = self.list.number == 0;
        self.placement.list(&upstreams, now);
        let listed: BTreeSet<&str> = upstreams.iter().map(|one| one.name.as_str()).collect();
        self.schedule.retain(|name| listed.contains(name));
        self.others.retain(|name, _| listed.contains(name.as_str()));
        self.list = List {
            number: self.list.number.max(self.term << 32) + 1,
            upstreams,
        };
        let places = if first {
            self.placement.places()
        } else {
            Vec::new()
        };
        self.broadcast(&Notice {
            list: Some(self.list.clone()),
            is_snapshot: first,
            residencies: places,
            ..Notice::default()
        });
    }

    /// Open requests of all gateways at each replica.
    pub(super) fn sum_open(&mut self, now: Instant) -> Counts {
        self.told.retain(|_, told| now < told.at + GATEWAY_LIFE);
        let mut counts = vec![0_u32; self.list.upstreams.len()];
        let current = self.told.values().map(|told| &told.open);
        for open in current.filter(|open| open.list == self.list.number) {
            for (sum, count) in counts.iter_mut().zip(&open.counts) {
                *sum += count;
            }
        }
        for (upstream, count) in self.list.upstreams.iter().zip(&counts) {
            self.placement.set_open(&upstream.name, *count);
            let scheduled = self.schedule.running(&upstream.name);
            let others = count.saturating_sub(scheduled);
            self.others.insert(upstream.name.clone(), others);
        }
        Counts {
            list: self.list.number,
            counts,
        }
    }

    /// Tells gateways at once that an adapter has come for which their requests wait.
    pub(super) fn tell_wanting(&mut self, changes: &[Residency]) {
        let mut by_host: BTreeMap<id::Host, Vec<Residency>> = BTreeMap::new();
        for place in changes.iter().filter(|place| place.version > 0) {
            for host in self.wanting.remove(&place.adapter).unwrap_or_default() {
                by_host.entry(host).or_default().push(place.clone());
            }
        }
        for (host, places) in by_host {
            let notice = Notice {
                residencies: places,
                ..Notice::default()
            };
            let watcher = self.watchers.iter().find(|watcher| watcher.host == host);
            // A gateway that lags too far is dropped with the next notice to all.
            if let Some(watcher) = watcher {
                let _ = watcher.queue.try_send(self.stamp(notice));
            }
        }
    }

    pub(super) fn tell_all(&mut self, now: Instant) {
        let open = self.sum_open(now);
        let places = std::mem::take(&mut self.changes);
        let interval = self.interval();
        self.next_notice = now + interval;
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            log::info!(
                "event=hub.summary term={} hosts={} waiting={} open={} paces={:.1?} {:?}",
                self.term,
                self.told.len(),
                self.schedule.waiting(),
                self.asked.len(),
                self.schedule.rates(),
                self.placement.summary()
            );
        }
        self.broadcast(&Notice {
            residencies: places,
            open: Some(open),
            ..Notice::default()
        });
    }

    pub(super) fn tell_document(&mut self, document: &Document) {
        let before = self.edition.borrow().clone();
        let edition = Edition::new(document.clone(), before.as_deref());
        if let Some(edition) = edition {
            self.edition.send_replace(Some(Arc::new(edition)));
        }
    }

    /// Version of the newest configuration; zero for none.
    pub(super) fn version(&self) -> u64 {
        let edition = self.edition.borrow();
        edition.as_ref().map_or(0, |edition| edition.version())
    }

    pub(super) fn announce(&mut self, announced: &Arc<BTreeMap<String, u64>>) {
        let now = Instant::now();
        let newer = |(adapter, version): &(&String, &u64)| {
            self.announced
                .get(*adapter)
                .is_none_or(|known| known < *version)
        };
        let news: Vec<Announcement> = announced
            .iter()
            .filter(newer)
            .map(|(adapter, version)| Announcement {
                adapter: adapter.clone(),
                version: *version,
            })
            .collect();
        for one in &news {
            self.placement.announce(&one.adapter, one.version, now);
        }
        self.announced = announced.clone();
        self.broadcast(&Notice {
            announced: news,
            ..Notice::default()
        });
    }

    pub(super) fn stamp(&self, notice: Notice) -> Notice {
        Notice {
            term: self.term,
            hosts: self.hosts(),
            interval_ms: self.interval().as_millis() as u32,
            ..notice
        }
    }

    /// Sends a notice to every gateway; one that lags too far starts anew.
    pub(super) fn broadcast(&mut self, notice: &Notice) {
        let notice = self.stamp(notice.clone());
        self.watchers
            .retain(|watcher| watcher.queue.try_send(notice.clone()).is_ok());
    }
}

/// Whether two readings of the list say the same of who may be used.
///
/// Adapters on replicas change with every order and are known better from the orders themselves.
fn same_list(known: &[Upstream], read: &[Upstream]) -> bool {
    let same = |(left, right): (&Upstream, &Upstream)| {
        left.name == right.name
            && left.draining == right.draining
            && left.address == right.address
            && left.service == right.service
    };
    known.len() == read.len() && known.iter().zip(read).all(same)
}

fn announcements(announced: &BTreeMap<String, u64>) -> Vec<Announcement> {
    let one = |(adapter, version): (&String, &u64)| Announcement {
        adapter: adapter.clone(),
        version: *version,
    };
    announced.iter().map(one).collect()
}

/// What one gateway is told.
struct News {
    queue: mpsc::Receiver<Notice>,
    editions: watch::Receiver<Option<Arc<Edition>>>,
    /// Version of the configuration that it has, or has been sent.
    known: u64,
}

impl News {
    /// The next notice; `None` when there will be none.
    async fn next(&mut self) -> Option<Notice> {
        loop {
            let edition = self.editions.borrow_and_update().clone();
            if let Some(edition) = edition.filter(|edition| edition.version() > self.known) {
                let known = std::mem::replace(&mut self.known, edition.version());
                return Some(edition.notice(known));
            }
            tokio::select! {
                notice = self.queue.recv() => return notice,
                changed = self.editions.changed() => changed.ok()?,
            }
        }
    }
}

/// Sends a gateway what there is, then each notice as it comes. The first notice is short, since the
/// gateway takes the leader for lost while it waits for it.
async fn feed(first: Notice, mut news: News, responder: Responder) {
    if responder.send(Body::Notice(first)).await.is_err() {
        return;
    }
    loop {
        let notice = tokio::select! {
            notice = news.next() => notice,
            () = responder.cancelled() => None,
        };
        let Some(notice) = notice else {
            break;
        };
        if responder.send(Body::Notice(notice)).await.is_err() {
            return;
        }
    }
    // The gateway asks again, here or at another leader.
    let _ = responder.finish(Body::Redirect(Redirect::default())).await;
}
