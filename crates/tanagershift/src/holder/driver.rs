//! Input and output of a holder, with one task for each replica that it holds.
//!
//! A task passes events to the [`Replica`] state machine and carries out the returned actions.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use hyper::StatusCode;
use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, sleep},
};

use super::{
    Config,
    engine::{self, Engine, Http},
    exchange::{Pending, exchange},
    replica::{Action, LoadFailure, Reason, Replica, Request, Target, Ticket},
};
use crate::{
    admission::Access,
    emit,
    follower::Leader,
    id,
    link::Responder,
    metrics::Metrics,
    platform::{Kind, List},
    verdict::Verdict,
    wire::{Body, Cause, Failed, Grant, Permit, Serve},
};

/// Tick interval of a replica that has requests or outstanding load orders, or whose engine has
/// not listed its loaded adapters yet.
const TICK: Duration = Duration::from_millis(50);
/// Tick interval of an idle replica.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Delay between attempts to reach an engine after taking it over.
const ENGINE_RETRY: Duration = Duration::from_millis(200);
/// Interval at which the load report of an engine is polled after taking it over.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Limit on the wait for a permit of the leader.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the event queue of one replica's task.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Name that no adapter has; used for an order that only raises the fencing token.
const NO_ADAPTER: &str = "none";
/// Statuses with which an engine answers that the adapter version itself cannot be loaded.
const UNLOADABLE_STATUSES: [StatusCode; 3] = [
    StatusCode::NOT_FOUND,
    StatusCode::UNPROCESSABLE_ENTITY,
    StatusCode::INTERNAL_SERVER_ERROR,
];

/// Event for the task of one replica.
#[derive(Debug)]
enum Event {
    /// A request for the replica.
    Serve(Box<Serve>, Responder),
    /// The lease is valid until this time.
    Renew(Instant),
    /// The leader asks this host to give the replica back.
    Release,
    /// Adapters that the engine had loaded at the takeover.
    Existing(Vec<String>),
    /// Adapters on which requests run, from the engine's load report.
    Report(Vec<String>),
    /// Outcome of a load order; on success, the time that it took.
    LoadFinished(Target, Result<Duration, LoadFailure>),
    /// Adapters that the engine has loaded now.
    Listed(Vec<String>),
    /// A dispatched request ended; the flag is set if the engine did not know the adapter.
    RequestFinished(Ticket, bool),
    /// Answer to a permit request; `None` if no permit was granted.
    Permit(Option<u64>),
}

/// Handle to the task of a replica that the leader assigned to this host.
#[derive(Debug)]
struct HeldReplica {
    epoch: id::Epoch,
    events: mpsc::Sender<Event>,
    /// Nonzero once the replica is released and idle; the next heartbeat then reports its epoch as
    /// returned.
    ///
    /// Shared with the task. Once this handle is dropped, the reference count tells the task that
    /// the replica is no longer assigned to this host.
    returned: Arc<AtomicU32>,
}

/// The holder duty of a host: owns the replicas that the leader leases to it.
#[derive(Clone, Debug)]
pub struct Holder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    config: Config,
    host: id::Host,
    http: Http,
    leader: Leader,
    metrics: Metrics,
    seed: u64,
    /// Number of live hosts that hold replicas.
    holders: AtomicU32,
    fallback_rate: Mutex<FallbackRate>,
    /// Triggers an immediate heartbeat.
    heartbeat_trigger: Arc<Notify>,
    held: Mutex<BTreeMap<id::Upstream, HeldReplica>>,
}

/// Rate at which this host may load from the adapter store while no leader grants permits.
///
/// The hosts that hold replicas have equal shares of the rate that is allowed without a leader.
#[derive(Debug)]
struct FallbackRate {
    /// Time between two loads.
    interval: Duration,
    /// Earliest time of the next load.
    next: Instant,
}

impl Holder {
    /// Makes a holder without replicas.
    ///
    /// `leaderless_rate` is the rate, in loads per second, at which all hosts together may load
    /// from the adapter store while there is no leader. `seed` determines the jitter of load
    /// retries.
    pub fn new(
        config: Config,
        host: id::Host,
        leader: Leader,
        metrics: Metrics,
        leaderless_rate: f64,
        seed: u64,
    ) -> Self {
        let interval = Duration::from_secs_f64(1.0 / leaderless_rate);
        let shared = Shared {
            config,
            host,
            http: engine::http(),
            leader,
            metrics,
            seed,
            holders: AtomicU32::new(1),
            heartbeat_trigger: Arc::default(),
            fallback_rate: Mutex::new(FallbackRate {
                interval,
                next: Instant::now() + interval,
            }),
            held: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Notified when a heartbeat should be sent before the next one is due.
    pub fn heartbeat_trigger(&self) -> Arc<Notify> {
        self.shared.heartbeat_trigger.clone()
    }

    /// Whether this host holds the replica under the given epoch.
    pub fn holds(&self, replica: &str, epoch: id::Epoch) -> bool {
        let held = self.lock();
        held.get(replica).is_some_and(|held| held.epoch == epoch)
    }

    /// Number of replicas that are assigned to this host.
    pub fn replica_count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<id::Upstream, HeldReplica>> {
        let held = &self.shared.held;
        held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Epochs of the replicas that are released and idle, so that the leader can reassign them.
    pub fn returned(&self) -> Vec<id::Epoch> {
        let held = self.lock();
        let returned = held
            .values()
            .filter(|held| held.returned.load(Ordering::Acquire) > 0);
        returned.map(|held| held.epoch).collect()
    }

    /// Applies the leases that the leader granted, valid until the given time.
    ///
    /// Takes over replicas that are new or have a new epoch, and drops those without a grant.
    /// `list` gives the addresses of the engines; a replica that it lacks is skipped until the next
    /// renewal.
    pub fn renew(&self, grants: &[Grant], until: Instant, list: &List) {
        let mut held = self.lock();
        held.retain(|replica, _| grants.iter().any(|grant| grant.replica == *replica));
        for grant in grants {
            let current = held
                .get(&grant.replica)
                .filter(|current| current.epoch == grant.epoch);
            let events = match current {
                Some(current) => current.events.clone(),
                None => {
                    let Some(address) = engine_address(list, &grant.replica) else {
                        continue;
                    };
                    let replica = self.take_over(grant, until, address);
                    let events = replica.events.clone();
                    held.insert(grant.replica.clone(), replica);
                    events
                }
            };
            // If the queue is full, the next renewal extends the lease.
            let _ = events.try_send(Event::Renew(until));
            if grant.release {
                let _ = events.try_send(Event::Release);
            }
        }
    }

    /// Number of live hosts that hold replicas, as of the leader's last answer; 1 before that.
    pub fn holders(&self) -> u32 {
        self.shared.holders.load(Ordering::Relaxed)
    }

    /// Sets the number of live hosts that hold replicas. Each may use an equal part of
    /// `leaderless_rate`, in loads per second, while there is no leader.
    pub fn set_holders(&self, holders: u32, leaderless_rate: f64) {
        self.shared.holders.store(holders, Ordering::Relaxed);
        let mut fallback_rate = self
            .shared
            .fallback_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fallback_rate.interval =
            Duration::from_secs_f64(f64::from(holders.max(1)) / leaderless_rate);
    }

    fn take_over(&self, grant: &Grant, until: Instant, address: String) -> HeldReplica {
        let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let returned = Arc::new(AtomicU32::new(0));
        emit!(
            LEASE_BEGUN,
            "replica {}, epoch {}",
            grant.replica,
            grant.epoch
        );
        let seed = self.shared.seed ^ grant.epoch;
        let replica = Replica::new(self.shared.config.clone(), grant.epoch, until, seed);
        let task = Task {
            name: grant.replica.clone(),
            shared: self.shared.clone(),
            engine: Engine::new(self.shared.http.clone(), grant.replica.clone(), address),
            replica,
            events: events.clone(),
            requests: BTreeMap::new(),
            weights: BTreeMap::new(),
            next_ticket: 1,
            clean: grant.clean,
            ready: false,
            releasing: false,
            returned: returned.clone(),
        };
        tokio::spawn(task.run(queue));
        HeldReplica {
            epoch: grant.epoch,
            events,
            returned,
        }
    }

    /// Queues a request for one of the replicas; the answer goes to `responder`.
    pub fn serve(&self, serve: Serve, responder: Responder) {
        let events = self
            .lock()
            .get(&serve.replica)
            .map(|held| held.events.clone());
        let Some(events) = events else {
            responder.finish_now(refusal(Reason::LeaseEnded, Duration::from_millis(250), 0));
            return;
        };
        if let Err(error) = events.try_send(Event::Serve(Box::new(serve), responder))
            && let Event::Serve(_, responder) = error.into_inner()
        {
            responder.finish_now(refusal(Reason::Full, Duration::from_millis(250), 0));
        }
    }
}

fn engine_address(list: &List, replica: &str) -> Option<String> {
    let engine = list
        .iter()
        .find(|upstream| upstream.name == replica && upstream.kind == Kind::Engine)?;
    Some(engine.address.clone())
}

fn refusal(reason: Reason, retry_after: Duration, load: usize) -> Body {
    Body::Failed(Failed {
        verdict: Verdict::NotRun.code(),
        reason: reason.as_str().to_owned(),
        retry_after: retry_after.as_millis() as u64,
        load: load as u32,
        cause: cause(reason).into(),
    })
}

/// Refusal of a request for an engine that takes none now.
pub(super) fn withheld(access: Access, load: u32, now: Instant) -> Body {
    let (reason, cause) = match access {
        Access::Leaving { .. } => ("the engine leaves", Cause::Absent),
        Access::Open | Access::Paused { .. } => ("the engine has asked for a pause", Cause::Busy),
    };
    Body::Failed(Failed {
        verdict: Verdict::NotRun.code(),
        reason: reason.to_owned(),
        retry_after: access.time_left(now).unwrap_or_default().as_millis() as u64,
        load,
        cause: cause.into(),
    })
}

fn cause(reason: Reason) -> Cause {
    match reason {
        Reason::Full | Reason::Late => Cause::Busy,
        Reason::Unloadable => Cause::Unloadable,
        Reason::Moving | Reason::LeaseEnded => Cause::Absent,
    }
}

/// Task that serves one replica under one epoch.
struct Task {
    name: id::Upstream,
    shared: Arc<Shared>,
    engine: Engine,
    replica: Replica,
    /// Sends the outcomes of spawned work back to this task.
    events: mpsc::Sender<Event>,
    /// Requests that are not dispatched yet.
    requests: BTreeMap<Ticket, Pending>,
    /// Location of each adapter version's weights.
    weights: BTreeMap<Target, String>,
    next_ticket: Ticket,
    /// Whether the previous holder gave the replica back with nothing running.
    clean: bool,
    /// Whether the adapters that the engine has loaded are known.
    ready: bool,
    releasing: bool,
    /// Shared with [`HeldReplica::returned`].
    returned: Arc<AtomicU32>,
}

impl Task {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        self.list_existing();
        let mut deferred = Vec::new();
        loop {
            let busy = !self.replica.is_idle() || !self.ready;
            let pause = if busy { TICK } else { IDLE_TICK };
            let event = tokio::select! {
                event = queue.recv() => event,
                () = sleep(pause) => None,
            };
            let now = Instant::now();
            match event {
                // Requests wait until the engine has listed its loaded adapters.
                Some(Event::Serve(serve, responder)) if !self.ready => {
                    deferred.push((serve, responder));
                }
                Some(event) => self.handle(event, now),
                None => {
                    self.drop_cancelled();
                    let actions = self.replica.tick(now);
                    self.execute(actions);
                }
            }
            if self.ready {
                for (serve, responder) in deferred.drain(..) {
                    self.accept_request(serve, responder, now);
                }
            }
            self.shared.metrics.set_replica(&self.name, &self.replica);
            if self.is_finished(now) {
                break;
            }
        }
        for (_, responder) in deferred {
            responder.finish_now(refusal(Reason::LeaseEnded, TICK, 0));
        }
        self.shared.metrics.forget_replica(&self.name);
        emit!(
            LEASE_ENDED,
            "replica {}, epoch {}",
            self.name,
            self.replica.epoch()
        );
    }

    /// Removes the queued requests that their callers have cancelled.
    fn drop_cancelled(&mut self) {
        let replica = &mut self.replica;
        self.requests.retain(|ticket, pending| {
            !(pending.responder.is_cancelled() && replica.cancel(*ticket))
        });
    }

    /// Whether the task can end: the replica is idle, its lease has ended, and the replica is no
    /// longer assigned to this host, so that the lease cannot be renewed.
    ///
    /// Also reports a released replica to the leader as soon as it is idle.
    fn is_finished(&mut self, now: Instant) -> bool {
        if !self.replica.is_idle() {
            return false;
        }
        if self.releasing && self.replica.holds_lease(now) {
            let previous = self.returned.swap(1, Ordering::AcqRel);
            if previous == 0 {
                self.shared.heartbeat_trigger.notify_one();
            }
        }
        !self.replica.holds_lease(now) && !self.is_granted()
    }

    /// Whether the replica is still assigned to this host, so that the lease may be renewed under
    /// the same epoch.
    fn is_granted(&self) -> bool {
        Arc::strong_count(&self.returned) > 1
    }

    fn handle(&mut self, event: Event, now: Instant) {
        let actions = match event {
            Event::Serve(serve, responder) => {
                self.accept_request(serve, responder, now);
                return;
            }
            // A renewal does not undo a release: a replica that was given back is held again only
            // under a new epoch.
            Event::Renew(until) => {
                self.replica.renew(until);
                Vec::new()
            }
            Event::Release => {
                self.releasing = true;
                self.replica.release()
            }
            Event::Existing(names) => {
                let usable = self.clean || self.shared.config.fencing;
                for name in &names {
                    self.replica
                        .register_existing(name, usable, self.clean, now);
                }
                self.ready = true;
                if !names.is_empty() && !self.clean {
                    self.poll_load_report();
                }
                Vec::new()
            }
            Event::Report(busy) => {
                self.replica.apply_load_report(&busy, now);
                if self.replica.has_earlier_requests(now) {
                    self.poll_load_report();
                }
                self.replica.tick(now)
            }
            Event::Listed(names) => {
                if self.replica.reconcile(&names, now) {
                    emit!(ENGINE_RESTARTED, "replica {}", self.name);
                }
                self.replica.tick(now)
            }
            Event::LoadFinished(target, outcome) => {
                if outcome.is_err() {
                    self.refresh_adapters();
                }
                self.replica.load_finished(&target, outcome, now)
            }
            Event::RequestFinished(ticket, lost) => {
                if lost {
                    self.refresh_adapters();
                }
                self.replica.request_finished(ticket, lost, now)
            }
            Event::Permit(permit) => self.replica.permit_answered(permit, now),
        };
        self.execute(actions);
    }

    fn accept_request(&mut self, serve: Box<Serve>, responder: Responder, now: Instant) {
        let access = self.engine.access(now);
        if !access.is_permitted() {
            access.log_withheld(&serve.request, &self.name, now);
            let load = self.replica.open_requests();
            responder.finish_now(withheld(access, load as u32, now));
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let target = Target {
            adapter: serve.adapter.clone(),
            version: serve.version,
        };
        self.weights.insert(target.clone(), serve.weights.clone());
        let time_left = Duration::from_millis(serve.millis).min(self.shared.config.request_timeout);
        let request = Request {
            ticket,
            target,
            deadline: now + time_left,
            priority: serve.priority,
        };
        let pending = Pending {
            serve,
            responder,
            deadline: request.deadline,
        };
        self.requests.insert(ticket, pending);
        let actions = self.replica.submit(request, now);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    ticket,
                    name,
                    stalled,
                } => self.dispatch(ticket, name, stalled),
                Action::Load {
                    target,
                    name,
                    evict,
                    permit,
                } => self.load(target, name, evict, permit),
                Action::AskPermit { waited, waiting } => self.request_permit(waited, waiting),
                Action::ReleasePermit { permit } => self.release_permit(permit),
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => {
                    if let Some(pending) = self.requests.remove(&ticket) {
                        let load = self.replica.open_requests();
                        pending
                            .responder
                            .finish_now(refusal(reason, retry_after, load));
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, ticket: Ticket, name: String, stalled: Duration) {
        let Some(pending) = self.requests.remove(&ticket) else {
            self.send_request_finished(ticket, false);
            return;
        };
        // The lease may have ended since the decision, so it is checked right before sending. A
        // cancelled request gets the same refusal, but its entry host no longer waits for it.
        if pending.responder.is_cancelled() || Instant::now() >= self.replica.lease_end() {
            let load = self.replica.open_requests();
            pending
                .responder
                .finish_now(refusal(Reason::LeaseEnded, TICK, load));
            self.send_request_finished(ticket, false);
            return;
        }
        self.shared.metrics.stalled(stalled);
        let engine = self.engine.clone();
        let events = self.events.clone();
        let load = self.replica.open_requests() as u32;
        let replica = self.name.clone();
        tokio::spawn(async move {
            let lost = exchange(&engine, &replica, name, pending, stalled, load).await;
            // Fails only if the task has ended, and it does not end before its requests do.
            let _ = events.send(Event::RequestFinished(ticket, lost)).await;
        });
    }

    fn send_request_finished(&self, ticket: Ticket, lost: bool) {
        let events = self.events.clone();
        tokio::spawn(async move {
            // Fails only if the task has ended, and it does not end before its requests do.
            let _ = events.send(Event::RequestFinished(ticket, lost)).await;
        });
    }

    fn load(&mut self, target: Target, name: String, evict: Option<String>, permit: u64) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        let shared = self.shared.clone();
        let epoch = self.replica.epoch();
        let lease_end = self.replica.lease_end();
        let weights = self.weights.get(&target).cloned().unwrap_or_default();
        let replica = self.name.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let limit = shared.config.load_timeout;
            let order = async {
                if let Some(evicted) = evict {
                    if Instant::now() >= lease_end {
                        return Err(engine::Error::Connect {
                            reason: "the order was not sent, because the lease has ended"
                                .to_owned(),
                        });
                    }
                    engine.unload(&evicted, epoch).await?;
                }
                engine.load(&name, &weights, epoch, limit).await
            };
            let outcome = order.await;
            shared.metrics.load(outcome.is_ok());
            let outcome = outcome.map(|()| started.elapsed()).map_err(|error| {
                emit!(LOAD_FAILED, "replica {replica}, adapter {name}: {error}");
                match error {
                    engine::Error::Status { status, .. } if status == StatusCode::CONFLICT => {
                        emit!(FENCED, "replica {replica}, epoch {epoch}");
                        LoadFailure::Unreachable
                    }
                    engine::Error::Status { status, .. }
                        if UNLOADABLE_STATUSES.contains(&status) =>
                    {
                        LoadFailure::Refused
                    }
                    _ => LoadFailure::Unreachable,
                }
            });
            shared.leader.tell(Body::Release(permit)).await;
            let _ = events.send(Event::LoadFinished(target, outcome)).await;
        });
    }

    fn request_permit(&self, waited: Duration, waiting: u64) {
        let shared = self.shared.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let permit = shared.acquire_permit(waited, waiting).await;
            let _ = events.send(Event::Permit(permit)).await;
        });
    }

    fn release_permit(&self, permit: u64) {
        let shared = self.shared.clone();
        tokio::spawn(async move { shared.leader.tell(Body::Release(permit)).await });
    }

    /// Lists the adapters that the engine has loaded, retrying until it answers.
    fn list_existing(&self) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        let epoch = self.replica.epoch();
        let fencing = self.shared.config.fencing;
        tokio::spawn(async move {
            while !events.is_closed() {
                // An order for a nonexistent adapter raises the highest fencing token that the
                // engine has seen. From then on the engine refuses orders of earlier holders, so
                // that their adapters can be taken over.
                if fencing && engine.unload(NO_ADAPTER, epoch).await.is_err() {
                    sleep(ENGINE_RETRY).await;
                    continue;
                }
                if let Ok(names) = engine.adapters().await {
                    let _ = events.send(Event::Existing(names)).await;
                    return;
                }
                sleep(ENGINE_RETRY).await;
            }
        });
    }

    fn refresh_adapters(&self) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Ok(names) = engine.adapters().await {
                let _ = events.send(Event::Listed(names)).await;
            }
        });
    }

    /// Polls the engine's load report for the adapters that requests of an earlier holder run on.
    ///
    /// A report may be outdated, so only one whose data is newer than this call is used.
    fn poll_load_report(&self) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        let since = Instant::now();
        tokio::spawn(async move {
            while !events.is_closed() {
                sleep(REPORT_INTERVAL).await;
                let Ok(report) = engine.load_report().await else {
                    continue;
                };
                if since.elapsed() > Duration::from_millis(report.age_ms) {
                    let _ = events.send(Event::Report(report.running_adapters)).await;
                    return;
                }
            }
        });
    }
}

impl Shared {
    /// Asks the leader for a permit; without a leader, the fallback rate applies.
    async fn acquire_permit(&self, waited: Duration, waiting: u64) -> Option<u64> {
        let body = Body::Permit(Permit {
            host: self.host.clone(),
            waited: waited.as_millis() as u64,
            waiting,
        });
        match self.leader.ask(body, PERMIT_TIMEOUT, PERMIT_TIMEOUT).await {
            Ok(Body::Permitted(permitted)) => Some(permitted.number),
            Ok(_) => None,
            Err(_) => self.fallback_permit(),
        }
    }

    /// Grants a permit under the fallback rate; `None` if the next load is not due yet.
    ///
    /// The permit has the number 0, which the leader never grants.
    fn fallback_permit(&self) -> Option<u64> {
        let mut rate = self
            .fallback_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if now < rate.next {
            return None;
        }
        rate.next = now + rate.interval;
        Some(0)
    }
}
