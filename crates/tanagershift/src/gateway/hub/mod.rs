//! The leader's part of the gateway: reads the platform's list of upstreams, places adapters,
//! assigns requests to replicas, and notifies all gateways of changes.
//!
//! * `actions`: sends the orders of the placement.
//! * `concurrency`: bounds the open requests at brittle upstreams.
//! * `configuration_history`: the newest configuration, and patches to it from earlier versions.
//! * `delivery`: sends notices to the gateways.
//! * `gateways`: the gateways that the leader knows.
//! * `helpers`: tells gateways through which hosts they can reach upstreams, and hands over leadership
//!   where this host cannot.
//! * `queue`: queues gateways' requests for a replica and answers them.
//! * `loads`: keeps loads going over changes of the leader.
//! * `limits`: spreads upstreams' limits, and hands out permits.
//! * `notices`: messages to and from gateways.
//! * `quota`: counts requests against the quotas of client accounts.
//! * `reachability`: finds replicas that are gone.
//! * `quarantine`: rules on suspected requests, spreads and replicates the marks.
//! * `software`: lets streams go on at the software version that began them.

mod actions;
mod concurrency;
mod configuration_history;
mod delivery;
#[cfg(test)]
mod delivery_tests;
mod gateways;
mod helpers;
mod limits;
mod loads;
mod notices;
mod quarantine;
mod queue;
mod quota;
mod reachability;
mod software;
#[cfg(test)]
mod software_tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{Semaphore, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use actions::carry_out;
use configuration_history::ConfigurationHistory;
use delivery::Rollout;
use gateways::{GatewayState, Watcher};
use helpers::hand_over_if_cut_off;
use quota::Payment;
use reachability::Checks;

use super::{
    Gateway,
    concurrency::Ceilings,
    dialect::{OrderOutcome, Report},
    fleet::{backlog::Backlog, counts::ToldCounts},
    limit::Limits,
    message::{Ask, Key, List, Mark, Notice, RateReport, Tally, Upstream, Watch},
    placement::{self, Action, Adapter, Placement},
    quarantine::Ledger,
    quota::ledger as quota_ledger,
    scheduler::{self, JobNumber, Pauses, Scheduler},
    settings::Config,
    upstream_list,
};
use crate::{
    admission::Admission,
    clock, id,
    link::Responder,
    voter::{
        driver,
        status::{SharedStatus, VoterStatus},
    },
};

/// Inputs that may wait for the hub; further ones are dropped.
const QUEUE_CAPACITY: usize = 4096;
/// Minimum time between two ticks. A tick acts on all inputs since the previous one, so this bounds
/// the leader's work.
const TICK_INTERVAL: Duration = Duration::from_millis(4);
/// Pause after a tick, as a multiple of the time that the tick took. However many requests wait,
/// the rest of the processor time is left for messages, heartbeats and the log.
const TICK_PAUSE_FACTOR: u32 = 2;
/// Added to the lease duration for which a new leader waits before it sends orders, since the
/// clocks of hosts drift apart.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Time after the election in which replicas report what they have loaded, before gateways are sent
/// all residencies.
const FIRST_SNAPSHOT_DELAY: Duration = Duration::from_millis(1000);
/// Time after an announcement during which the leader still assigns requests to the older version,
/// as a share of the platform's bound. It ends before gateways stop using that version by
/// themselves.
const OLD_VERSION_SHARE: f64 = 0.3;
/// Term of the first leader of a group; no earlier leader can have sent orders.
const FIRST_TERM: id::Term = 1;

/// An event that the hub handles.
#[derive(Debug)]
pub enum Input {
    /// A gateway subscribes to notices.
    Watch(Watch, Responder),
    /// A gateway reports what it has observed.
    Tally(Tally),
    /// A gateway asks for a replica.
    Ask(Ask, Responder),
    /// The platform's list of upstreams was read.
    List(Vec<Upstream>),
    /// An order, identified by term, replica and number, was answered or got no answer in time.
    Ordered(id::Term, id::Upstream, u64, OrderOutcome),
    /// Software versions of streams were replicated, or not in time.
    Recorded(id::Term, software::Recorded),
    /// Whether a replica is gone, as a check found.
    Checked(id::Term, id::Upstream, bool),
    /// A replica sent its report; `None` if there was no valid answer.
    Reported(id::Term, id::Upstream, Option<Report>),
}

/// Passes inputs from the rest of the process to the hub.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
}

impl Handle {
    /// Queues an input for the hub. If the queue is full, the input is dropped and a warning is
    /// logged.
    pub fn submit(&self, input: Input) {
        if self.inputs.try_send(input).is_err() {
            log::warn!("event=hub.full limit={QUEUE_CAPACITY}");
        }
    }
}

/// A request for a replica, waiting or assigned, whose response stream is open.
#[derive(Debug)]
struct ReplicaRequest {
    id: String,
    responder: Responder,
    received_at: Instant,
    /// What was spent of an account's quota.
    payment: Option<Payment>,
}

/// State that is kept only while this voter leads.
#[derive(Debug)]
struct LeaderState {
    term: id::Term,
    /// When orders may begin: by then no other host has sent orders for the time that the platform
    /// requires.
    orders_from: Instant,
    /// Whether the group has recorded that this host sends the orders.
    is_holder: bool,
    /// Time without orders.
    silence: loads::Silence,
    placement: Placement,
    scheduler: Scheduler,
    requests: BTreeMap<JobNumber, ReplicaRequest>,
    next_number: JobNumber,
    next_sweep: Instant,
    /// Earliest time of the next tick.
    next_tick: Instant,
    /// Whether an input has arrived since the last tick.
    input_pending: bool,
    /// Outcomes of orders between two ticks.
    order_tick: loads::OrderTick,
    /// KV cache capacity of a replica in tokens, by service.
    token_capacity: BTreeMap<String, u32>,
    /// Open requests at each replica that were not assigned here.
    unscheduled_requests: BTreeMap<id::Upstream, u32>,
    watchers: Vec<Watcher>,
    list: List,
    /// Digest of the list.
    list_digest: u64,
    gateways: BTreeMap<id::Host, GatewayState>,
    /// Upstreams that have announced to any gateway that they leave.
    departures: Admission,
    /// Pauses that replicas have asked gateways for.
    pauses: Pauses,
    /// Checks of replicas that gateways could not reach.
    checks: Checks,
    /// Request rates that upstreams have named.
    limits: Limits,
    /// Bounds on open requests at brittle upstreams.
    ceilings: Ceilings,
    /// Client accounts' quotas.
    quotas: quota_ledger::Ledger,
    /// Software versions of streams.
    software: software::State,
    /// Evidence against prompt parts and requests that crash replicas.
    ledger: Ledger,
    /// Marks as they are replicated.
    replicated_marks: Arc<BTreeMap<Key, Mark>>,
    /// Whether the marks of the ledger may differ from the replicated ones.
    marks_differ: bool,
    /// Keys whose marks the last proposal removes.
    removed_marks: BTreeSet<Key>,
    /// The last proposal of marks.
    marks_proposal: Option<JoinHandle<()>>,
    /// Earliest time at which changed marks are proposed.
    next_marks_proposal: Instant,
    /// Hosts that can help others to reach upstreams.
    helpers: helpers::State,
    /// Gateways with requests that wait for an adapter.
    waiting_gateways: BTreeMap<Adapter, BTreeSet<id::Host>>,
    /// Changes of the placement that were not yet sent to all gateways.
    residency_changes: Backlog,
    /// Upstreams selected by gateways whose paces were not yet sent to all gateways.
    pace_changes: BTreeSet<id::Upstream>,
    /// Rates of prompts as the gateways were told.
    told_rates: Vec<RateReport>,
    next_notice: Instant,
    /// Large messages to one gateway after the other.
    rollout: Rollout,
    /// Open requests at each replica as the gateways were told.
    told: ToldCounts,
    report_permits: Arc<Semaphore>,
    next_summary: Instant,
    /// The newest configuration; a gateway that falls behind skips to it.
    configuration: watch::Sender<Option<Arc<ConfigurationHistory>>>,
    announced: Arc<BTreeMap<String, u64>>,
    voters: Vec<String>,
    list_reader: JoinHandle<()>,
}

impl Drop for LeaderState {
    fn drop(&mut self) {
        self.list_reader.abort();
        self.report_permits.close();
    }
}

impl LeaderState {
    fn may_order(&self, voter_status: &SharedStatus, now: Instant) -> bool {
        self.is_holder && now >= self.orders_from && voter_status.may_order()
    }
}

/// The hub of one voter; it acts only while the voter leads.
struct Hub {
    gateway: Arc<Gateway>,
    voter: driver::Handle,
    voter_status: SharedStatus,
    config: Config,
    inputs: mpsc::Sender<Input>,
    leader_state: Option<LeaderState>,
    /// Times that this voter has begun to lead, within one term or not.
    times_led: u64,
}

/// Spawns the hub of a voter.
pub fn start(
    gateway: Arc<Gateway>,
    voter: driver::Handle,
    voter_status: SharedStatus,
    config: Config,
) -> Handle {
    let (inputs, queue) = mpsc::channel(QUEUE_CAPACITY);
    let hub = Hub {
        gateway,
        voter,
        voter_status,
        config,
        inputs: inputs.clone(),
        leader_state: None,
        times_led: 0,
    };
    tokio::spawn(hub.run(queue));
    Handle { inputs }
}

impl Hub {
    async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        let mut status_changes = self.voter_status.watch();
        loop {
            let wake = self.next_wakeup();
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => {
                        self.handle_input(input);
                        while let Ok(input) = queue.try_recv() {
                            self.handle_input(input);
                        }
                    }
                    None => return,
                },
                changed = status_changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let status = status_changes.borrow_and_update().clone();
                    self.apply_status(&status);
                }
                () = sleep_until(wake) => {}
            }
            self.tick();
        }
    }

    fn next_wakeup(&self) -> Instant {
        let idle = Instant::now() + Duration::from_secs(1);
        let Some(state) = &self.leader_state else {
            return idle;
        };
        let mut wake = state.next_notice;
        if let Some(due) = state.checks.next_due() {
            wake = wake.min(due);
        }
        if !state.limits.is_empty() {
            wake = wake.min(Instant::now() + limits::PERMIT_INTERVAL);
        }
        if state.software.is_due(Instant::now()) {
            wake = wake.min(Instant::now());
        }
        if let Some(due) = state.helpers.next_due() {
            wake = wake.min(due);
        }
        if state.marks_differ {
            wake = wake.min(state.next_marks_proposal);
        }
        if let Some(due) = state.next_bulk() {
            wake = wake.min(due);
        }
        let now = Instant::now();
        let may_order = state.may_order(&self.voter_status, now);
        if now < state.orders_from {
            wake = wake.min(state.orders_from);
        }
        if let Some(due) = state.placement.next_due(may_order) {
            wake = wake.min(due);
        }
        if !state.requests.is_empty() {
            wake = wake.min(state.next_sweep);
        }
        let due = state.scheduler.next_due(now);
        let wake = due.map_or(wake, |due| wake.min(due));
        let wake = if state.input_pending { now } else { wake };
        let wake = wake.max(state.next_tick);
        state
            .order_tick
            .next_due()
            .map_or(wake, |due| wake.min(due))
    }

    /// Applies a change of the group's committed state or of its leader.
    fn apply_status(&mut self, status: &VoterStatus) {
        let term = self.leader_state.as_ref().map(|state| state.term);
        if status.leading_term != term {
            self.leader_state = None;
            if let Some(term) = status.leading_term {
                self.start_leading(term, status);
            }
        }
        let Some(state) = &mut self.leader_state else {
            return;
        };
        state.is_holder = status.holder == self.gateway.host;
        if let Some(document) = &status.document
            && document.version > state.configuration_version()
        {
            if let Some(configuration) = self.gateway.read_document(document) {
                state.placement.configure(&configuration, Instant::now());
                state.software.configure(&configuration);
                state.scheduler.configure(&configuration.accounts);
                state.configure_quotas(&configuration, Instant::now());
                let services = configuration.services.values();
                let token_capacity = services.filter_map(|service| {
                    Some((service.name.clone(), service.engine.as_ref()?.kv_tokens))
                });
                state.token_capacity = token_capacity.collect();
            }
            state.update_configuration(document);
        }
        if state.announced != status.announced {
            state.announce(&status.announced);
        }
        state.apply_replicated_marks(&status.marks);
        let voters: Vec<String> = status
            .members
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.address.clone())
            .collect();
        if state.voters != voters {
            state.voters.clone_from(&voters);
            state.broadcast(&Notice {
                voters,
                ..Notice::default()
            });
        }
    }

    fn start_leading(&mut self, term: id::Term, status: &VoterStatus) {
        let now = Instant::now();
        self.times_led += 1;
        let wait = (self.config.lease + LEASE_MARGIN).saturating_sub(status.order_age);
        let continues = status.previous_holder.as_ref() == Some(&self.gateway.host);
        let orders_from = match term == FIRST_TERM || continues {
            true => now,
            false => now + wait,
        };
        log::info!(
            "event=hub.lead term={term} orders_in_ms={}",
            (orders_from - now).as_millis()
        );
        let list_reader = tokio::spawn(upstream_list::poll(
            self.gateway.clone(),
            self.config.clone(),
            self.inputs.clone(),
        ));
        let store = self.gateway.view().store;
        let mut state = LeaderState {
            term,
            orders_from,
            is_holder: status.holder == self.gateway.host,
            silence: loads::Silence::Since(now.checked_sub(status.order_age).unwrap_or(now)),
            placement: Placement::new(placement::Config {
                version_grace: self.config.version_bound.mul_f64(OLD_VERSION_SHARE),
                ..placement::Config::default()
            }),
            scheduler: Scheduler::new(scheduler::Config::default()),
            requests: BTreeMap::new(),
            // What was asked under an earlier number must find no request of now.
            next_number: self.times_led << 32,
            next_sweep: now,
            next_tick: now,
            input_pending: false,
            order_tick: loads::OrderTick::new(now),
            token_capacity: BTreeMap::new(),
            unscheduled_requests: BTreeMap::new(),
            watchers: Vec::new(),
            list: List::default(),
            list_digest: 0,
            gateways: BTreeMap::new(),
            departures: Admission::default(),
            pauses: Pauses::default(),
            checks: Checks::default(),
            limits: Limits::default(),
            ceilings: Ceilings::new(self.gateway.view().hosts, now),
            quotas: quota_ledger::Ledger::new(term, term == FIRST_TERM, clock::corrected(now)),
            software: software::State::new(term, &status.streams, self.config.take_up_margin),
            ledger: Ledger::new(self.config.quarantine.clone(), &status.marks, now),
            replicated_marks: status.marks.clone(),
            marks_differ: false,
            removed_marks: BTreeSet::new(),
            marks_proposal: None,
            next_marks_proposal: now,
            helpers: helpers::State::new(now),
            waiting_gateways: BTreeMap::new(),
            residency_changes: Backlog::default(),
            pace_changes: BTreeSet::new(),
            told_rates: Vec::new(),
            next_notice: now,
            rollout: Rollout::new(now, now + FIRST_SNAPSHOT_DELAY),
            told: ToldCounts::default(),
            report_permits: actions::report_permits(),
            next_summary: now,
            configuration: watch::Sender::new(None),
            announced: Arc::default(),
            voters: Vec::new(),
            list_reader,
        };
        state.resume_store(store);
        self.leader_state = Some(state);
    }

    fn handle_input(&mut self, input: Input) {
        let now = Instant::now();
        let Some(state) = &mut self.leader_state else {
            // Dropping the responder sends the gateway a redirect, since this host does not lead.
            return;
        };
        state.input_pending = true;
        match input {
            Input::Watch(watch, responder) => {
                state.add_watcher(watch, responder, now);
            }
            Input::Tally(tally) => state.record_tally(tally, &self.gateway.host, now),
            Input::Ask(ask, responder) => {
                // Without the lease, another leader may count requests.
                let leads = self.voter_status.may_order();
                state.admit(ask, leads, responder, now);
            }
            Input::List(upstreams) => state.update_list(upstreams, now),
            Input::Ordered(term, replica, number, outcome) if term == state.term => {
                state.order_tick.record_outcome();
                state
                    .placement
                    .handle_order_outcome(&replica, number, outcome, now);
            }
            Input::Reported(term, replica, report) if term == state.term => {
                state
                    .placement
                    .handle_report(&replica, report.as_ref(), now);
            }
            Input::Checked(term, replica, gone) if term == state.term => {
                state.apply_check(&replica, gone, now);
            }
            Input::Recorded(term, recorded) if term == state.term => {
                // Without the lease, the record may stand in the log of a later leader.
                let leads = self.voter_status.may_order();
                state.apply_recorded(recorded, leads, now);
            }
            Input::Ordered(..) | Input::Reported(..) | Input::Checked(..) | Input::Recorded(..) => {
            }
        }
    }

    /// Carries out the placement's actions, and tells gateways at once what their requests wait for.
    fn send_orders(&mut self, now: Instant) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let began = Instant::now();
        let may_order = state.may_order(&self.voter_status, now);
        state.record_silence(may_order, &self.gateway.metrics, now);
        for action in state.placement.tick(may_order, now) {
            if let Action::Order { replica, .. } = &action {
                state.limits.spend(replica, now);
            }
            carry_out(
                &self.gateway,
                &self.voter_status,
                &self.inputs,
                state,
                action,
            );
        }
        let changes = state.placement.take_changes();
        state.notify_waiting_gateways(&changes);
        for change in changes {
            // What was kept for an adapter is of use to the version that read it only.
            state
                .scheduler
                .forget_adapter(&change.replica, &change.adapter);
            state.residency_changes.add(change);
        }
        state.order_tick.end(began, Instant::now());
    }

    /// Assigns requests, carries out the placement's actions and notifies gateways.
    fn tick(&mut self) {
        let now = Instant::now();
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if now < state.next_tick {
            if state.order_tick.is_due(now) {
                self.send_orders(now);
            }
            return;
        }
        state.input_pending = false;
        state.sweep(now);
        state.spread_marks(&self.gateway, now);
        state.spread_limits(now);
        state.spread_brittle(now);
        state.spread_helpers(now);
        hand_over_if_cut_off(&self.gateway, &self.voter, state, now);
        state.start_checks(&self.gateway, &self.inputs, now);
        state.decide(now);
        state.record_software(&self.gateway, &self.inputs, now);
        self.send_orders(now);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if now >= state.next_notice {
            state.broadcast_update(&self.gateway.metrics, now);
            state.catch_up(now);
            let (waiting, behind) = state.backlog();
            self.gateway.metrics.waiting_notices.set(waiting as i64);
            self.gateway.metrics.gateways_behind.set(behind as i64);
        }
        state.send_bulk(now);
        let ended = Instant::now();
        let pause = (ended - now) * TICK_PAUSE_FACTOR;
        state.next_tick = (now + TICK_INTERVAL).max(ended + pause);
    }
}
