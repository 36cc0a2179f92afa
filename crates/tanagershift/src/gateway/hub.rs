//! The leader's part: reads the platform's list, places adapters, and tells every gateway what
//! changed.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
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
    feed::{
        Announcement, Ask, Counts, Demand, Document, Grant, List, Notice, Place, Tally, Upstream,
        Watch,
    },
    orders,
    placement::{self, Action, Adapter, Placement},
    schedule::{self, Candidate, Decision, Job, Number, Part, Schedule},
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
const NOTICE_GATEWAYS: u32 = 32;
/// Time after which a gateway that tells nothing is no longer counted.
const GATEWAY_LIFE: Duration = Duration::from_secs(3);
/// Time between two summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two times at which inputs are acted on; it bounds the leader's work.
const TURN_INTERVAL: Duration = Duration::from_millis(4);
/// Time between two checks for requests that have ended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Wait at busy replicas after which one more gets the adapter.
const PRESS_AFTER: Duration = Duration::from_millis(400);
/// Time after which a refused request may come back.
const RETRY_AFTER: Duration = Duration::from_millis(1000);
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
    /// A gateway asks for a replica.
    Ask(Ask, Responder),
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

/// A request for a replica whose stream is open.
#[derive(Debug)]
struct Asked {
    request: String,
    responder: Responder,
    came: Instant,
}

/// What a leader keeps.
#[derive(Debug)]
struct Leading {
    term: id::Term,
    /// When orders may begin: every earlier leader's lease and silence have passed.
    orders_from: Instant,
    placement: Placement,
    schedule: Schedule,
    asked: BTreeMap<Number, Asked>,
    next_number: Number,
    next_sweep: Instant,
    /// When inputs are acted on next.
    next_turn: Instant,
    /// Whether an input has come since they were acted on.
    untreated: bool,
    /// Sizes of the engines.
    memory: BTreeMap<String, u32>,
    /// Open requests at replicas that were not scheduled here.
    others: BTreeMap<id::Upstream, u32>,
    watchers: Vec<Watcher>,
    list: List,
    told: BTreeMap<id::Host, Told>,
    /// Gateways that wait for an adapter.
    wanting: BTreeMap<Adapter, BTreeSet<id::Host>>,
    /// Changes of places that not every gateway was told yet.
    changes: Vec<Place>,
    next_notice: Instant,
    next_summary: Instant,
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
        let now = Instant::now();
        let may_order = now >= leading.orders_from && self.board.holds_lease();
        if now < leading.orders_from {
            wake = wake.min(leading.orders_from);
        }
        if let Some(due) = leading.placement.next_due(may_order) {
            wake = wake.min(due);
        }
        if !leading.asked.is_empty() {
            wake = wake.min(leading.next_sweep);
        }
        let due = leading.schedule.next_due(now);
        let wake = due.map_or(wake, |due| wake.min(due));
        let wake = if leading.untreated { now } else { wake };
        wake.max(leading.next_turn)
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
                Ok(configuration) => {
                    leading.placement.configure(&configuration, Instant::now());
                    let services = configuration.services.values();
                    let memory = services.filter_map(|service| {
                        Some((service.name.clone(), service.engine.as_ref()?.memory))
                    });
                    leading.memory = memory.collect();
                }
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
            schedule: Schedule::new(schedule::Config::default()),
            asked: BTreeMap::new(),
            next_number: 1,
            next_sweep: now,
            next_turn: now,
            untreated: false,
            memory: BTreeMap::new(),
            others: BTreeMap::new(),
            watchers: Vec::new(),
            list: List::default(),
            told: BTreeMap::new(),
            wanting: BTreeMap::new(),
            changes: Vec::new(),
            next_notice: now,
            next_summary: now,
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
        leading.untreated = true;
        match input {
            Input::Watch(watch, responder) => {
                let standing = self.board.standing();
                leading.watch(watch, responder, standing.document.as_ref(), now);
            }
            Input::Tally(tally) => leading.tally(tally, now),
            Input::Ask(ask, responder) => leading.ask(ask, responder, now),
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
        if now < leading.next_turn {
            return;
        }
        leading.next_turn = now + TURN_INTERVAL;
        leading.untreated = false;
        leading.placement.refresh();
        leading.sweep(now);
        leading.decide(now);
        let may_order = now >= leading.orders_from && self.board.holds_lease();
        for action in leading.placement.tick(may_order, now) {
            carry_out(&self.gateway, &self.board, &self.inputs, leading, action);
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

    /// Puts a request for a replica in the queue.
    fn ask(&mut self, ask: Ask, responder: Responder, now: Instant) {
        let number = self.next_number;
        self.next_number += 1;
        let adapter = (!ask.adapter.is_empty()).then_some(ask.adapter);
        let demand = Demand {
            adapter: adapter.clone().unwrap_or_else(|| ask.model.clone()),
            came: 1,
            waiting: 0,
        };
        self.placement.demand(&[demand], now);
        let objective = Duration::from_millis(ask.objective_ms.unsigned_abs());
        let objective = match ask.objective_ms >= 0 {
            true => now + objective,
            false => now.checked_sub(objective).unwrap_or(now),
        };
        let parts = ask.digests.iter().zip(&ask.tokens);
        self.schedule.add(Job {
            number,
            service: ask.service,
            model: ask.model,
            adapter,
            zone: ask.zone,
            prompt: ask.prompt,
            output: ask.output,
            parts: parts
                .map(|(digest, tokens)| Part {
                    digest: *digest,
                    tokens: *tokens,
                })
                .collect(),
            priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
            came: now,
            objective,
            give_up: now + Duration::from_millis(ask.give_up_ms),
            tried: ask.tried,
        });
        self.asked.insert(
            number,
            Asked {
                request: ask.request,
                responder,
                came: now,
            },
        );
    }

    /// Forgets requests that have ended.
    fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let ended = self
            .asked
            .iter()
            .filter(|(_, asked)| asked.responder.is_cancelled());
        let ended: Vec<Number> = ended.map(|(number, _)| *number).collect();
        for number in ended {
            self.end(number);
        }
    }

    fn end(&mut self, number: Number) {
        self.asked.remove(&number);
        if let Some(running) = self.schedule.end(number)
            && let Some(adapter) = &running.adapter
        {
            self.placement.count_use(&running.replica, adapter, false);
        }
    }

    /// Gives replicas to requests, and asks the placement for what is missing.
    fn decide(&mut self, now: Instant) {
        let (placement, others, memory) = (&self.placement, &self.others, &self.memory);
        let candidate = |replica: &placement::Replica, version: Option<u64>| Candidate {
            name: replica.upstream.name.clone(),
            zone: replica.upstream.zone.clone(),
            slots: replica.upstream.slots,
            memory: memory.get(&replica.upstream.service).copied().unwrap_or(0),
            others: others.get(&replica.upstream.name).copied().unwrap_or(0),
            version,
        };
        let mut missing = Vec::new();
        let decisions = self.schedule.decide(now, |group, oldest, jobs| {
            let mine = |one: &&placement::Replica| one.upstream.service == group.service;
            let Some(adapter) = &group.adapter else {
                let holders = placement.holders(&group.model).filter(mine);
                return holders.map(|one| candidate(one, None)).collect();
            };
            let usable = placement.usable(adapter, now).into_iter();
            let usable = usable.filter(|(one, _)| mine(&one));
            let found: Rc<[Candidate]> = usable
                .map(|(one, version)| candidate(one, Some(version)))
                .collect();
            let untried = found.iter().any(|one| !oldest.tried.contains(&one.name));
            if !untried || now > oldest.came + PRESS_AFTER {
                missing.push((adapter.clone(), found.is_empty(), jobs));
            }
            found
        });
        for (adapter, absent, jobs) in missing {
            match absent {
                true => self.placement.want(&adapter, jobs as u32, now),
                false => self.placement.press(&adapter, now),
            }
        }
        for decision in decisions {
            self.tell_decision(decision, now);
        }
    }

    fn tell_decision(&mut self, decision: Decision, now: Instant) {
        match decision {
            Decision::Send {
                number,
                replica,
                adapter,
                version,
                cost_ms,
                holders,
            } => {
                if let Some(adapter) = &adapter {
                    self.placement.count_use(&replica, adapter, true);
                }
                let Some(asked) = self.asked.get(&number) else {
                    return;
                };
                log::info!(
                    "event=schedule.send request={} replica={replica} version={} cost_ms={cost_ms} \
                     holders={holders} running={} waited_ms={} waiting={}",
                    asked.request,
                    version.unwrap_or(0),
                    self.schedule.running(&replica),
                    now.duration_since(asked.came).as_millis(),
                    self.schedule.waiting(),
                );
                let grant = Body::Grant(Grant {
                    replica,
                    version: version.unwrap_or(0),
                    ..Grant::default()
                });
                if asked.responder.send_now(grant).is_err() {
                    self.end(number);
                }
            }
            Decision::Refuse { number, holders } => {
                let Some(asked) = self.asked.remove(&number) else {
                    return;
                };
                log::info!(
                    "event=schedule.refuse request={} waited_ms={} waiting={} holders={holders}",
                    asked.request,
                    now.duration_since(asked.came).as_millis(),
                    self.asked.len()
                );
                asked.responder.finish_now(Body::Grant(Grant {
                    retry_after_ms: RETRY_AFTER.as_millis() as u64,
                    reason: "no replica could begin it in time".to_owned(),
                    ..Grant::default()
                }));
            }
        }
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
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            log::info!(
                "event=hub.summary term={} hosts={} waiting={} open={} {:?}",
                self.term,
                self.told.len(),
                self.schedule.waiting(),
                self.asked.len(),
                self.placement.summary()
            );
        }
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
