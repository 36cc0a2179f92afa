//! Input and output of a holder: one task for each replica held.

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
    emit,
    follower::Leader,
    id,
    link::Responder,
    metrics::Metrics,
    platform::{Kind, List},
    verdict::Verdict,
    wire::{Body, Cause, Failed, Grant, Permit, Serve},
};

/// Time between two looks at a replica with something to do.
const TICK: Duration = Duration::from_millis(50);
/// Time between two looks at a replica with nothing to do.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Time between two tries to reach an engine at a takeover.
const ENGINE_RETRY: Duration = Duration::from_millis(200);
/// Time between two readings of the load of an engine that was taken over.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Events that wait for one replica's task.
const QUEUE: usize = 4096;

/// Name that no adapter has.
const NO_ADAPTER: &str = "none";
/// Answers to a load order that speak against the adapter's version itself.
const LOAD_REFUSED: [StatusCode; 3] = [
    StatusCode::NOT_FOUND,
    StatusCode::UNPROCESSABLE_ENTITY,
    StatusCode::INTERNAL_SERVER_ERROR,
];

/// What happens to one replica.
#[derive(Debug)]
enum Event {
    Serve(Box<Serve>, Responder),
    Renew(Instant),
    Release,
    Found(Vec<String>),
    Report(Vec<String>),
    Loaded(Target, Result<Duration, LoadFailure>),
    Listed(Vec<String>),
    Finished(Ticket, bool),
    Permit(Option<u64>),
}

/// A replica that this host holds or held.
#[derive(Debug)]
struct Held {
    epoch: id::Epoch,
    events: mpsc::Sender<Event>,
    /// Set when the replica was given back with nothing running.
    returned: Arc<AtomicU32>,
}

/// The duty of a holder.
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
    holders: AtomicU32,
    share: Mutex<Share>,
    /// Asks for a heartbeat at once.
    heartbeat_trigger: Arc<Notify>,
    held: Mutex<BTreeMap<id::Upstream, Held>>,
}

/// This host's fixed share of the store's rate, for times without a leader.
#[derive(Debug)]
struct Share {
    interval: Duration,
    next: Instant,
}

impl Holder {
    /// Makes a holder of no replicas. `share` is the part of the store's rate, in loads a second,
    /// that all hosts together may use without a leader.
    pub fn new(
        config: Config,
        host: id::Host,
        leader: Leader,
        metrics: Metrics,
        share: f64,
        seed: u64,
    ) -> Self {
        let interval = Duration::from_secs_f64(1.0 / share);
        let shared = Shared {
            config,
            host,
            http: engine::http(),
            leader,
            metrics,
            seed,
            holders: AtomicU32::new(1),
            heartbeat_trigger: Arc::default(),
            share: Mutex::new(Share {
                interval,
                next: Instant::now() + interval,
            }),
            held: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Wakes when something should be told to the leader before the next heartbeat is due.
    pub fn heartbeat_trigger(&self) -> Arc<Notify> {
        self.shared.heartbeat_trigger.clone()
    }

    /// Whether a replica is held under an epoch.
    pub fn holds(&self, replica: &str, epoch: id::Epoch) -> bool {
        let held = self.lock();
        held.get(replica).is_some_and(|held| held.epoch == epoch)
    }

    /// Replicas held.
    pub fn replica_count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<id::Upstream, Held>> {
        let held = &self.shared.held;
        held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Epochs that were given back with nothing running.
    pub fn returned(&self) -> Vec<id::Epoch> {
        let held = self.lock();
        let returned = held
            .values()
            .filter(|held| held.returned.load(Ordering::Acquire) > 0);
        returned.map(|held| held.epoch).collect()
    }

    /// Takes the leases of this host, valid until a time.
    pub fn renew(&self, grants: &[Grant], until: Instant, list: &List) {
        let mut held = self.lock();
        held.retain(|replica, _| grants.iter().any(|grant| grant.replica == *replica));
        for grant in grants {
            let known = held
                .get(&grant.replica)
                .filter(|known| known.epoch == grant.epoch);
            let events = match known {
                Some(known) => known.events.clone(),
                None => {
                    let Some(address) = engine_address(list, &grant.replica) else {
                        continue;
                    };
                    let one = self.take_over(grant, until, address);
                    let events = one.events.clone();
                    held.insert(grant.replica.clone(), one);
                    events
                }
            };
            // A full queue gets the next renewal.
            let _ = events.try_send(Event::Renew(until));
            if grant.release {
                let _ = events.try_send(Event::Release);
            }
        }
    }

    /// Live hosts that hold replicas, as the leader last said.
    pub fn holders(&self) -> u32 {
        self.shared.holders.load(Ordering::Relaxed)
    }

    /// Sets this host's fixed share of the store's rate by the number of holders.
    pub fn set_holders(&self, holders: u32, share: f64) {
        self.shared.holders.store(holders, Ordering::Relaxed);
        let mut mine = self
            .shared
            .share
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        mine.interval = Duration::from_secs_f64(f64::from(holders.max(1)) / share);
    }

    fn take_over(&self, grant: &Grant, until: Instant, address: String) -> Held {
        let (events, queue) = mpsc::channel(QUEUE);
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
            engine: Engine::new(self.shared.http.clone(), address),
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
        Held {
            epoch: grant.epoch,
            events,
            returned,
        }
    }

    /// Takes a request for one of the replicas.
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

fn cause(reason: Reason) -> Cause {
    match reason {
        Reason::Full | Reason::Late => Cause::Busy,
        Reason::Unloadable => Cause::Unloadable,
        Reason::Moving | Reason::LeaseEnded => Cause::Absent,
    }
}

/// The task of one replica.
struct Task {
    name: id::Upstream,
    shared: Arc<Shared>,
    engine: Engine,
    replica: Replica,
    events: mpsc::Sender<Event>,
    requests: BTreeMap<Ticket, Pending>,
    weights: BTreeMap<Target, String>,
    next_ticket: Ticket,
    clean: bool,
    /// Whether it is known what the engine has loaded.
    ready: bool,
    releasing: bool,
    returned: Arc<AtomicU32>,
}

impl Task {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        self.list_found();
        let mut early = Vec::new();
        loop {
            let busy = !self.replica.is_idle() || !self.ready;
            let pause = if busy { TICK } else { IDLE_TICK };
            let event = tokio::select! {
                event = queue.recv() => event,
                () = sleep(pause) => None,
            };
            let now = Instant::now();
            match event {
                // Until the engine has said what it has loaded, requests wait.
                Some(Event::Serve(serve, responder)) if !self.ready => {
                    early.push((serve, responder));
                }
                Some(event) => self.take(event, now),
                None => {
                    self.drop_cancelled();
                    let actions = self.replica.tick(now);
                    self.act(actions);
                }
            }
            if self.ready {
                for (serve, responder) in early.drain(..) {
                    self.take_request(serve, responder, now);
                }
            }
            self.shared.metrics.set_replica(&self.name, &self.replica);
            if self.is_over(now) {
                break;
            }
        }
        for (_, responder) in early {
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

    /// Takes requests out of the queue that their callers gave up.
    fn drop_cancelled(&mut self) {
        let replica = &mut self.replica;
        self.requests.retain(|ticket, pending| {
            !(pending.responder.is_cancelled() && replica.cancel(*ticket))
        });
    }

    /// Whether the replica was given back, or its lease ended with nothing left to do.
    fn is_over(&mut self, now: Instant) -> bool {
        if !self.replica.is_idle() {
            return false;
        }
        if self.releasing && self.replica.holds_lease(now) {
            let known = self.returned.swap(1, Ordering::AcqRel);
            if known == 0 {
                self.shared.heartbeat_trigger.notify_one();
            }
        }
        !self.replica.holds_lease(now) && !self.is_granted()
    }

    /// Whether the leader may still renew the lease: then the same epoch goes on.
    fn is_granted(&self) -> bool {
        Arc::strong_count(&self.returned) > 1
    }

    fn take(&mut self, event: Event, now: Instant) {
        let actions = match event {
            Event::Serve(serve, responder) => {
                self.take_request(serve, responder, now);
                return;
            }
            // A replica that was given back is not taken again under the same epoch.
            Event::Renew(until) => {
                self.replica.renew(until);
                Vec::new()
            }
            Event::Release => {
                self.releasing = true;
                self.replica.release()
            }
            Event::Found(names) => {
                let usable = self.clean || self.shared.config.fencing;
                for name in &names {
                    self.replica
                        .register_existing(name, usable, self.clean, now);
                }
                self.ready = true;
                if !names.is_empty() && !self.clean {
                    self.read_reports();
                }
                Vec::new()
            }
            Event::Report(busy) => {
                self.replica.apply_load_report(&busy, now);
                if self.replica.has_earlier_requests(now) {
                    self.read_reports();
                }
                self.replica.tick(now)
            }
            Event::Listed(names) => {
                if self.replica.reconcile(&names, now) {
                    emit!(ENGINE_RESTARTED, "replica {}", self.name);
                }
                self.replica.tick(now)
            }
            Event::Loaded(target, outcome) => {
                if outcome.is_err() {
                    self.relist();
                }
                self.replica.loaded(&target, outcome, now)
            }
            Event::Finished(ticket, lost) => {
                if lost {
                    self.relist();
                }
                self.replica.finished(ticket, lost, now)
            }
            Event::Permit(permit) => self.replica.permit(permit, now),
        };
        self.act(actions);
    }

    fn take_request(&mut self, serve: Box<Serve>, responder: Responder, now: Instant) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let target = Target {
            adapter: serve.adapter.clone(),
            version: serve.version,
        };
        self.weights.insert(target.clone(), serve.weights.clone());
        let left = Duration::from_millis(serve.millis).min(self.shared.config.request_timeout);
        let request = Request {
            ticket,
            target,
            deadline: now + left,
            priority: serve.priority,
        };
        let pending = Pending {
            serve,
            responder,
            deadline: request.deadline,
        };
        self.requests.insert(ticket, pending);
        let actions = self.replica.submit(request, now);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
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
                Action::AskPermit { waited, waiting } => self.ask_permit(waited, waiting),
                Action::ReleasePermit { permit } => self.release_permit(permit),
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => {
                    if let Some(pending) = self.requests.remove(&ticket) {
                        let load = self.replica.load();
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
            self.finish(ticket, false);
            return;
        };
        // The lease is looked at once more, right before the request goes out.
        if pending.responder.is_cancelled() || Instant::now() >= self.replica.lease() {
            let load = self.replica.load();
            pending
                .responder
                .finish_now(refusal(Reason::LeaseEnded, TICK, load));
            self.finish(ticket, false);
            return;
        }
        self.shared.metrics.stalled(stalled);
        let engine = self.engine.clone();
        let events = self.events.clone();
        let load = self.replica.load() as u32;
        let replica = self.name.clone();
        tokio::spawn(async move {
            let lost = exchange(&engine, &replica, name, pending, stalled, load).await;
            // The replica's task outlives its requests.
            let _ = events.send(Event::Finished(ticket, lost)).await;
        });
    }

    fn finish(&self, ticket: Ticket, lost: bool) {
        let events = self.events.clone();
        tokio::spawn(async move {
            // The replica's task outlives its requests.
            let _ = events.send(Event::Finished(ticket, lost)).await;
        });
    }

    fn load(&mut self, target: Target, name: String, evict: Option<String>, permit: u64) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        let shared = self.shared.clone();
        let epoch = self.replica.epoch();
        let lease = self.replica.lease();
        let weights = self.weights.get(&target).cloned().unwrap_or_default();
        let replica = self.name.clone();
        tokio::spawn(async move {
            let began = Instant::now();
            let limit = shared.config.load_timeout;
            let order = async {
                if let Some(evicted) = evict {
                    if Instant::now() >= lease {
                        return Err(engine::Error::Connect {
                            reason: "the lease has ended".to_owned(),
                        });
                    }
                    engine.unload(&evicted, epoch).await?;
                }
                engine.load(&name, &weights, epoch, limit).await
            };
            let outcome = order.await;
            shared.metrics.load(outcome.is_ok());
            let outcome = outcome.map(|()| began.elapsed()).map_err(|error| {
                emit!(LOAD_FAILED, "replica {replica}, adapter {name}: {error}");
                match error {
                    engine::Error::Status { status, .. } if status == StatusCode::CONFLICT => {
                        emit!(FENCED, "replica {replica}, epoch {epoch}");
                        LoadFailure::Unreachable
                    }
                    engine::Error::Status { status, .. } if LOAD_REFUSED.contains(&status) => {
                        LoadFailure::Refused
                    }
                    _ => LoadFailure::Unreachable,
                }
            });
            shared.leader.tell(Body::Release(permit)).await;
            let _ = events.send(Event::Loaded(target, outcome)).await;
        });
    }

    fn ask_permit(&self, waited: Duration, waiting: u64) {
        let shared = self.shared.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let permit = shared.permit(waited, waiting).await;
            let _ = events.send(Event::Permit(permit)).await;
        });
    }

    fn release_permit(&self, permit: u64) {
        let shared = self.shared.clone();
        tokio::spawn(async move { shared.leader.tell(Body::Release(permit)).await });
    }

    /// Asks the engine, until it answers, what it has loaded.
    fn list_found(&self) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        let epoch = self.replica.epoch();
        let fencing = self.shared.config.fencing;
        tokio::spawn(async move {
            while !events.is_closed() {
                // An order for a name that nobody has raises the engine's fencing number, so that
                // nothing of an earlier holder is obeyed once the copies are taken over.
                if fencing && engine.unload(NO_ADAPTER, epoch).await.is_err() {
                    sleep(ENGINE_RETRY).await;
                    continue;
                }
                if let Ok(names) = engine.adapters().await {
                    let _ = events.send(Event::Found(names)).await;
                    return;
                }
                sleep(ENGINE_RETRY).await;
            }
        });
    }

    fn relist(&self) {
        let engine = self.engine.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Ok(names) = engine.adapters().await {
                let _ = events.send(Event::Listed(names)).await;
            }
        });
    }

    /// Reads which adapters an earlier holder's requests still run on.
    ///
    /// Only a report of a time after the takeover proves anything.
    fn read_reports(&self) {
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
    /// A permit of the leader, or one of the fixed share when there is no leader.
    async fn permit(&self, waited: Duration, waiting: u64) -> Option<u64> {
        let body = Body::Permit(Permit {
            host: self.host.clone(),
            waited: waited.as_millis() as u64,
            waiting,
        });
        match self.leader.ask(body, PERMIT_TIMEOUT, PERMIT_TIMEOUT).await {
            Ok(Body::Permitted(permitted)) => Some(permitted.number),
            Ok(_) => None,
            Err(_) => self.take_share(),
        }
    }

    fn take_share(&self) -> Option<u64> {
        let mut share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if now < share.next {
            return None;
        }
        share.next = now + share.interval;
        Some(0)
    }
}
