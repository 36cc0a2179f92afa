//! The leader's part: reads the platform's list, places adapters, and tells every gateway what
//! changed.
//!
//! * `edition`: configurations as gateways are told them.
//! * `queue`: requests that ask for a replica.
//! * `notices`: what gateways tell and are told.

mod edition;
mod notices;
mod queue;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use edition::Edition;

use super::{
    Gateway,
    dialect::{Order, Ordered, Report},
    message::{Ask, Counts, List, Notice, Residency, Tally, Upstream, Watch},
    orders,
    placement::{self, Action, Adapter, Placement},
    schedule::{self, Number, Schedule},
    settings::Config,
    upstream_list,
};
use crate::{
    id,
    link::Responder,
    voter::standing::{Board, Standing},
};

/// Inputs that wait for the hub.
const QUEUE: usize = 4096;
/// Shortest time between two times at which inputs are acted on; it bounds the leader's work.
const TURN_INTERVAL: Duration = Duration::from_millis(4);
/// Pause after a turn, as a multiple of the time that it took: messages, heartbeats and the log need the
/// rest of the processor, however many requests wait.
const TURN_PAUSE: u32 = 2;
/// Allowance for clocks that run apart when an earlier leader's last order is waited out.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Time after an announcement in which the leader still sends requests to the older version, as a share
/// of the platform's bound; before gateways stop by themselves.
const VERSION_SHARE: f64 = 0.3;
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
    changes: Vec<Residency>,
    next_notice: Instant,
    next_summary: Instant,
    /// The newest configuration; gateways that fall behind are told only the newest.
    edition: watch::Sender<Option<Arc<Edition>>>,
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
            && document.version > leading.version()
        {
            if let Some(configuration) = self.gateway.read_document(document) {
                leading.placement.configure(&configuration, Instant::now());
                let services = configuration.services.values();
                let memory = services.filter_map(|service| {
                    Some((service.name.clone(), service.engine.as_ref()?.kv_tokens))
                });
                leading.memory = memory.collect();
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
        let reader = tokio::spawn(upstream_list::poll(
            self.gateway.clone(),
            self.config.clone(),
            self.inputs.clone(),
        ));
        self.leading = Some(Leading {
            term,
            orders_from,
            placement: Placement::new(placement::Config {
                version_grace: self.config.version_bound.mul_f64(VERSION_SHARE),
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
            edition: watch::Sender::new(None),
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
                leading.watch(watch, responder, now);
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
        leading.untreated = false;
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
        let ended = Instant::now();
        let pause = (ended - now) * TURN_PAUSE;
        leading.next_turn = (now + TURN_INTERVAL).max(ended + pause);
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
