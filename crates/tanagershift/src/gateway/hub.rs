//! The leader's part: reads the platform's list, places adapters, and tells every gateway what
//! changed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use super::{
    Gateway, cloud,
    dialect::{Order, Ordered, Report},
    feed::{Announcement, Counts, Document, List, Notice, Place, Tally, Upstream, Watch},
    orders,
    placement::{self, Action, Adapter, Placement},
    settings::Config,
};
use crate::{
    id,
    link::Responder,
    voter::standing::{Board, Standing},
    wire::{Body, Redirect},
};

/// Inputs that wait for the hub.
const QUEUE: usize = 4096;
/// Notices that wait for one gateway; one that lags further starts anew.
const WATCHER_QUEUE: usize = 128;
/// Time between two notices to a gateway of a small system.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Gateways up to which notices keep that interval; with more, it grows in proportion, so that the
/// leader's messages a second stay bounded.
const NOTICE_GATEWAYS: u32 = 16;
/// Time after which a gateway that tells nothing is no longer counted.
const GATEWAY_LIFE: Duration = Duration::from_secs(3);
/// Allowance for clocks that run apart when an earlier leader's last order is waited out.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Term of the first leader of a group; nobody can have given orders before it.
const FIRST_TERM: id::Term = 1;

/// Something that happens to the hub.
#[derive(Debug)]
pub enum Input {
    /// A gateway wants to be told what changes.
    Watch(Watch, Responder),
    /// A gateway tells what it has seen.
    Tally(Tally),
    /// The list was read.
    List(Vec<Upstream>),
    /// An order was answered, or was not.
    Ordered(id::Term, id::Upstream, u64, Ordered),
    /// A replica reported, or did not.
    Reported(id::Term, id::Upstream, Option<Report>),
}

/// How the rest of the process reaches the hub.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
}

impl Handle {
    /// Hands an input to the hub; one that finds no room is as good as lost.
    pub fn take(&self, input: Input) {
        if self.inputs.try_send(input).is_err() {
            log::warn!("event=hub.full limit={QUEUE}");
        }
    }
}

/// A gateway that is told what changes.
#[derive(Debug)]
struct Watcher {
    host: id::Host,
    queue: mpsc::Sender<Notice>,
}

/// What a gateway last told of its open requests.
#[derive(Debug)]
struct Told {
    session: u64,
    open: Counts,
    at: Instant,
}

/// What a leader keeps.
#[derive(Debug)]
struct Leading {
    term: id::Term,
    /// When orders may begin: every earlier leader's lease and silence have passed.
    orders_from: Instant,
    placement: Placement,
    watchers: Vec<Watcher>,
    list: List,
    told: BTreeMap<id::Host, Told>,
    /// Gateways that wait for an adapter.
    wanting: BTreeMap<Adapter, BTreeSet<id::Host>>,
    /// Changes of places that not every gateway was told yet.
    changes: Vec<Place>,
    next_notice: Instant,
    version: u64,
    announced: Arc<BTreeMap<String, u64>>,
    voters: Vec<String>,
    reader: JoinHandle<()>,
}

impl Drop for Leading {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// The hub of one voter; it acts only while the voter leads.
struct Hub {
    gateway: Arc<Gateway>,
    board: Board,
    config: Config,
    inputs: mpsc::Sender<Input>,
    leading: Option<Leading>,
}

/// Starts the hub of a voter.
pub fn start(gateway: Arc<Gateway>, board: Board, config: Config) -> Handle {
    let (inputs, queue) = mpsc::channel(QUEUE);
    let hub = Hub {
        gateway,
        board,
        config,
        inputs: inputs.clone(),
        leading: None,
    };
    tokio::spawn(hub.run(queue));
    Handle { inputs }
}

impl Hub {
    async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        let mut standings = self.board.watch();
        loop {
            let wake = self.wake();
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => {
                        self.take(input);
                        while let Ok(input) = queue.try_recv() {
                            self.take(input);
                        }
                    }
                    None => return,
                },
                changed = standings.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let standing = standings.borrow_and_update().clone();
                    self.stand(&standing);
                }
                () = sleep_until(wake) => {}
            }
            self.turn();
        }
    }

    fn wake(&self) -> Instant {
        let idle = Instant::now() + Duration::from_secs(1);
        let Some(leading) = &self.leading else {
            return idle;
        };
        let mut wake = leading.next_notice;
        if let Some(due) = leading.placement.next_due() {
            wake = wake.min(due.max(leading.orders_from));
        }
        wake
    }

    /// Takes a change of what the group has decided, or of who leads it.
    fn stand(&mut self, standing: &Standing) {
        let term = self.leading.as_ref().map(|leading| leading.term);
        if standing.leads != term {
            self.leading = None;
            if let Some(term) = standing.leads {
                self.lead(term);
            }
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        if let Some(document) = &standing.document
            && document.version > leading.version
        {
            leading.version = document.version;
            match self.gateway.dialect.configuration(&document.text) {
                Ok(configuration) => leading.placement.configure(&configuration),
                Err(error) => log::error!(
                    "event=configuration.unreadable version={} reason={error}",
                    document.version
                ),
            }
            leading.tell_document(document);
        }
        if leading.announced != standing.announced {
            leading.announce(&standing.announced);
        }
        let voters: Vec<String> = standing
            .members
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.address.clone())
            .collect();
        if leading.voters != voters {
            leading.voters.clone_from(&voters);
            leading.broadcast(&Notice {
                voters,
                ..Notice::default()
            });
        }
    }

    fn lead(&mut self, term: id::Term) {
        let now = Instant::now();
        let wait = self.config.lease + LEASE_MARGIN;
        let orders_from = if term == FIRST_TERM { now } else { now + wait };
        log::info!(
            "event=hub.lead term={term} orders_in_ms={}",
            (orders_from - now).as_millis()
        );
        let reader = tokio::spawn(cloud::keep_reading(
            self.gateway.clone(),
            self.config.clone(),
            self.inputs.clone(),
        ));
        self.leading = Some(Leading {
            term,
            orders_from,
            placement: Placement::new(placement::Config {
                version_grace: self.config.version_bound.mul_f64(0.6),
                ..placement::Config::default()
            }),
            watchers: Vec::new(),
            list: List::default(),
            told: BTreeMap::new(),
            wanting: BTreeMap::new(),
            changes: Vec::new(),
            next_notice: now,
            version: 0,
            announced: Arc::default(),
            voters: Vec::new(),
            reader,
        });
    }

    fn take(&mut self, input: Input) {
        let now = Instant::now();
        let Some(leading) = &mut self.leading else {
            // A responder that is dropped tells its opener to ask elsewhere.
            return;
        };
        match input {
            Input::Watch(watch, responder) => {
                let standing = self.board.standing();
                leading.watch(watch, responder, standing.document.as_ref(), now);
            }
            Input::Tally(tally) => leading.tally(tally, now),
            Input::List(upstreams) => leading.take_list(upstreams, now),
            Input::Ordered(term, replica, number, outcome) if term == leading.term => {
                leading.placement.ordered(&replica, number, outcome, now);
            }
            Input::Reported(term, replica, report) if term == leading.term => {
                leading.placement.reported(&replica, report.as_ref(), now);
            }
            Input::Ordered(..) | Input::Reported(..) => {}
        }
    }

    /// Lets time pass: orders, and notices to the gateways.
    fn turn(&mut self) {
        let now = Instant::now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now >= leading.orders_from && self.board.holds_lease() {
            for action in leading.placement.tick(now) {
                carry_out(&self.gateway, &self.board, &self.inputs, leading, action);
            }
        }
        let changes = leading.placement.take_changes();
        leading.tell_wanting(&changes);
        leading.changes.extend(changes);
        if now >= leading.next_notice {
            leading.tell_all(now);
        }
    }
}

fn carry_out(
    gateway: &Arc<Gateway>,
    board: &Board,
    inputs: &mpsc::Sender<Input>,
    leading: &Leading,
    action: Action,
) {
    let term = leading.term;
    let inputs = inputs.clone();
    let gateway = gateway.clone();
    let find = |name: &str| {
        let replica = leading.placement.replicas().get(name);
        replica.map(|replica| replica.upstream.clone())
    };
    match action {
        Action::Report { replica } => {
            let Some(upstream) = find(&replica) else {
                return;
            };
            tokio::spawn(async move {
                let report = orders::report(gateway, upstream.address).await;
                // The hub ends only with the process.
                let _ = inputs.send(Input::Reported(term, replica, report)).await;
            });
        }
        Action::Order {
            replica,
            number,
            operation,
            adapter,
            version,
            expect,
        } => {
            let Some(upstream) = find(&replica) else {
                return;
            };
            let order = Order {
                operation,
                adapter,
                version,
                expect,
                holder: gateway.host.clone(),
                epoch: term,
                instance: upstream.instance.clone(),
            };
            let board = board.clone();
            tokio::spawn(async move {
                let outcome = orders::send(gateway, board, upstream.address, order).await;
                // The hub ends only with the process.
                let _ = inputs
                    .send(Input::Ordered(term, replica, number, outcome))
                    .await;
            });
        }
    }
}

impl Leading {
    /// Starts to tell a gateway what changes, with all that there is first.
    fn watch(
        &mut self,
        watch: Watch,
        responder: Responder,
        document: Option<&Document>,
        now: Instant,
    ) {
        let (queue, receiver) = mpsc::channel(WATCHER_QUEUE);
        let newer = |document: &&Document| document.version > watch.version;
        let first = Notice {
            term: self.term,
            document: document.filter(newer).cloned(),
            announced: announcements(&self.announced),
            list: (self.list.number > 0).then(|| self.list.clone()),
            places: self.placement.places(),
            open: None,
            voters: self.voters.clone(),
            hosts: self.hosts(),
            whole: self.list.number > 0,
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
        tokio::spawn(feed(first, receiver, responder));
    }

    fn hosts(&self) -> u32 {
        self.told.len() as u32
    }

    fn interval(&self) -> Duration {
        let hosts = self.hosts().max(1);
        NOTICE_INTERVAL * hosts.div_ceil(NOTICE_GATEWAYS)
    }

    fn tally(&mut self, tally: Tally, now: Instant) {
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

    fn take_list(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        if self.list.number > 0 && same_list(&self.list.upstreams, &upstreams) {
            return;
        }
        let first = self.list.number == 0;
        self.placement.list(&upstreams, now);
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
            whole: first,
            places,
            ..Notice::default()
        });
    }

    /// Open requests of all gateways at each replica.
    fn sum_open(&mut self, now: Instant) -> Counts {
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
        }
        Counts {
            list: self.list.number,
            counts,
        }
    }

    /// Tells gateways at once that an adapter has come for which their requests wait.
    fn tell_wanting(&mut self, changes: &[Place]) {
        let mut by_host: BTreeMap<id::Host, Vec<Place>> = BTreeMap::new();
        for place in changes.iter().filter(|place| place.version > 0) {
            for host in self.wanting.remove(&place.adapter).unwrap_or_default() {
                by_host.entry(host).or_default().push(place.clone());
            }
        }
        for (host, places) in by_host {
            let notice = Notice {
                places,
                ..Notice::default()
            };
            let watcher = self.watchers.iter().find(|watcher| watcher.host == host);
            // A gateway that lags too far is dropped with the next notice to all.
            let _ = watcher.map(|watcher| watcher.queue.try_send(self.stamp(notice)));
        }
    }

    fn tell_all(&mut self, now: Instant) {
        let open = self.sum_open(now);
        let places = std::mem::take(&mut self.changes);
        let interval = self.interval();
        self.next_notice = now + interval;
        self.broadcast(&Notice {
            places,
            open: Some(open),
            ..Notice::default()
        });
    }

    fn tell_document(&mut self, document: &Document) {
        self.broadcast(&Notice {
            document: Some(document.clone()),
            ..Notice::default()
        });
    }

    fn announce(&mut self, announced: &Arc<BTreeMap<String, u64>>) {
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

    fn stamp(&self, notice: Notice) -> Notice {
        Notice {
            term: self.term,
            hosts: self.hosts(),
            interval_ms: self.interval().as_millis() as u32,
            ..notice
        }
    }

    /// Sends a notice to every gateway; one that lags too far starts anew.
    fn broadcast(&mut self, notice: &Notice) {
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

/// Sends a gateway what there is, then each notice as it comes.
async fn feed(first: Notice, mut queue: mpsc::Receiver<Notice>, responder: Responder) {
    if responder.send(Body::Notice(first)).await.is_err() {
        return;
    }
    loop {
        let notice = tokio::select! {
            notice = queue.recv() => notice,
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
