//! Runs a voter: handles messages, writes to disk, and sends messages to peers and updates to
//! following hosts.

use std::{
    collections::BTreeMap,
    fs::File,
    path::PathBuf,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use prost::Message;
use snafu::Snafu;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, timeout_at},
};

use super::{
    command::{Assign, Command, Effect, Holder, Key, Mark, MemberChange, Order, Outcome},
    feed::{catch_up, pack, routes, send_updates},
    folder::{identity_report, wait_for_group},
    lease::{self, Leases},
    permit::{self, Permits},
    report,
    software::Streams,
    state::State,
    status::{SharedStatus, VoterStatus},
};
use crate::{
    catalog::Item,
    clock, emit, id,
    link::{Pool, Responder},
    platform::List,
    quorum::{
        self, Node, Ready, Refusal,
        disk::{self, Disk, Identity},
        message::{Envelope, Member, Members},
    },
    wire::{Body, Failure, Follow, Permitted, Redirect, Routes, Update},
};

/// Inputs that may be queued for the voter.
const INPUT_QUEUE_CAPACITY: usize = 8192;
/// Additional queued inputs that share one disk sync with the first.
const INPUTS_PER_SYNC: usize = 512;
/// Messages that may be queued for one peer.
const PEER_QUEUE_CAPACITY: usize = 1024;
/// Updates that may be queued for one following host.
const FOLLOWER_QUEUE_CAPACITY: usize = 256;
/// Growth of the log file after which a snapshot is written.
const LOG_GROWTH_BYTES: u64 = 16 << 20;
/// Term of the first leader of a group.
const FIRST_TERM: id::Term = 1;
/// Kind of the query for the accepted routing configuration. It is answered once a majority has
/// confirmed that this voter still leads.
pub const DOCUMENT_QUERY: &str = "document";
/// Pause before the voter opens its files again after a failure.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Time between decisions of the leader on assignments; a returned replica causes one at once.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a voter.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the host on which the voter runs.
    pub host: id::Host,
    /// Peer address of the host.
    pub address: String,
    /// Path of the data folder.
    pub data: PathBuf,
    /// Timing of the replicated log.
    pub times: quorum::Config,
    /// Timing of the leases on replicas.
    pub lease: lease::Config,
    /// Budget of the weight store.
    pub store: permit::Config,
    /// Number of applied entries after which a snapshot is written.
    pub snapshot_every: u64,
    /// Seed of the random election timeouts. Unless `reopen` is set, it is also the identity of a
    /// new data folder; zero then counts as one.
    pub seed: u64,
    /// Whether the leader's host is the one that sends orders to replicas, so that a new leader
    /// records it.
    pub leader_orders: bool,
    /// Whether the voter opens its files again after a failure instead of stopping.
    pub reopen: bool,
}

/// Failure that ends a run of the voter; with `reopen` another run follows.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The voter's files cannot be read or written.
    #[snafu(display("{source}"), context(false))]
    Disk {
        /// Error of the disk layer.
        source: disk::Error,
    },
    /// The state in the voter's snapshot does not decode.
    #[snafu(display("the snapshot does not decode: {source}"), context(false))]
    State {
        /// The decoder's error.
        source: prost::DecodeError,
    },
}

/// An input of a voter.
#[derive(Debug)]
pub(super) enum Input {
    /// A message from another member, a host or a tool.
    Message(Box<Body>, Responder),
    /// Transfer the leadership to a voter at one of these peer addresses, or to any other voter if there
    /// are none; answered once that has begun.
    TransferLeadership(Vec<String>, oneshot::Sender<()>),
}

/// Handle through which the rest of the process uses its voter.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    status: SharedStatus,
}

impl Handle {
    /// Status that the voter publishes.
    pub fn status(&self) -> &SharedStatus {
        &self.status
    }

    /// Queues a message for the voter; drops it if the queue is full.
    pub fn deliver(&self, body: Body, responder: Responder) {
        // Dropping the responder tells the caller to ask again.
        let _ = self
            .inputs
            .try_send(Input::Message(Box::new(body), responder));
    }

    /// Transfers the leadership to another voter if this one leads.
    pub async fn transfer_leadership(&self) {
        self.transfer_leadership_to(Vec::new()).await;
    }

    /// Transfers the leadership to a voter at one of these peer addresses if this one leads, or to any
    /// other voter if there are none.
    pub async fn transfer_leadership_to(&self, addresses: Vec<String>) {
        let (done, wait) = oneshot::channel();
        if self
            .inputs
            .send(Input::TransferLeadership(addresses, done))
            .await
            .is_ok()
        {
            // A voter that has stopped does not lead, so there is nothing to wait for.
            let _ = wait.await;
        }
    }
}

/// An error message for the caller.
pub(super) fn failure(reason: impl Into<String>) -> Body {
    Body::Error(Failure {
        reason: reason.into(),
    })
}

/// A host that receives updates of the catalog and the routes.
#[derive(Debug)]
struct Follower {
    queue: mpsc::Sender<Update>,
}

/// State that only the leader keeps and does not replicate.
#[derive(Debug)]
struct LeaderState {
    leases: Leases,
    permits: Permits<Responder>,
    followers: Vec<Follower>,
    routes: Routes,
    /// The whole catalog at a revision, encoded for hosts that need all of it.
    packed: Option<(id::Revision, Vec<Bytes>)>,
    next_assign_at: Instant,
    /// Host that sent the orders before; `None` until all that earlier leaders committed is applied.
    previous_holder: Option<id::Host>,
    /// Whether an assignment was proposed and has not been applied yet.
    assignment_pending: bool,
}

/// A voter whose data folder belongs to a group.
struct Voter {
    config: Config,
    node: Node,
    disk: Disk,
    state: State,
    applied: id::Index,
    /// Proposals that are not applied yet, by log index: the term, and the responder for the outcome
    /// unless this voter made the proposal itself.
    proposals: BTreeMap<id::Index, (id::Term, Option<Responder>)>,
    peers: BTreeMap<id::Member, (String, mpsc::Sender<Body>)>,
    /// Peer address that each member gave in its last message.
    addresses: BTreeMap<id::Member, String>,
    pool: Pool,
    /// Upstreams on the platform's list.
    upstream_list: watch::Receiver<List>,
    leader_state: Option<LeaderState>,
    snapshot_index: id::Index,
    /// Size of the log file at which a snapshot is written.
    log_limit_bytes: u64,
    status: SharedStatus,
    /// Copy of the announced versions that is shared with the published status.
    announced: Arc<BTreeMap<String, u64>>,
    /// Copy of the marks of prompt parts that is shared with the published status.
    marks: Arc<BTreeMap<Key, Mark>>,
    /// Term in which this voter last began to lead, and the software versions of streams then.
    streams: Option<(id::Term, Arc<Streams>)>,
    /// Members that the last log line on the membership named.
    last_emitted_members: Members,
    /// Reads of the routing configuration, each with the heartbeat round that a majority must answer
    /// first.
    pending_reads: Vec<(u64, Responder)>,
}

/// Starts a voter. The future runs it, and ends only if its files fail and `reopen` is not set.
///
/// # Errors
///
/// The data folder cannot be used.
pub fn start(
    config: Config,
    pool: Pool,
    upstream_list: watch::Receiver<List>,
) -> Result<(Handle, impl Future<Output = Error>), Error> {
    // Without `reopen`, an unusable data folder is reported at the start, where an operator sees it.
    if !config.reopen {
        Disk::lock_folder(&config.data, || config.seed.max(1))?;
    }
    let (inputs, mut queue) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let status = SharedStatus::default();
    let handle = Handle {
        inputs,
        status: status.clone(),
    };
    let run = async move {
        let mut first_run = true;
        loop {
            let cold = std::mem::take(&mut first_run);
            let error = match run(&config, &pool, &upstream_list, &mut queue, &status, cold).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            emit!(STORAGE_FAILED, "{error}");
            status.publish(VoterStatus::default());
            if !config.reopen {
                return error;
            }
            erase_if_damaged(&config, &error);
            drop_inputs_for(REOPEN_PAUSE, &mut queue).await;
        }
    };
    Ok((handle, run))
}

/// Erases a damaged data folder, so that the voter joins again as a new member. With damaged data it
/// must not vote under its old identity.
fn erase_if_damaged(config: &Config, error: &Error) {
    let Error::Disk {
        source: disk::Error::Damaged { .. },
    } = error
    else {
        return;
    };
    match disk::erase(&config.data) {
        Ok(()) => emit!(ERASED, "{}: joins as a new member", config.data.display()),
        Err(error) => emit!(STORAGE_FAILED, "{error}"),
    }
}

/// Drops every input for a while. Dropping a responder tells the caller to ask again.
async fn drop_inputs_for(pause: Duration, queue: &mut mpsc::Receiver<Input>) {
    let until = Instant::now() + pause;
    while let Ok(input) = timeout_at(until, queue.recv()).await {
        // Every sender is gone, so the process is shutting down.
        if input.is_none() {
            std::future::pending().await
        }
    }
}

/// Marks a run that can only end with an error.
enum Never {}

async fn run(
    config: &Config,
    pool: &Pool,
    upstream_list: &watch::Receiver<List>,
    queue: &mut mpsc::Receiver<Input>,
    status: &SharedStatus,
    cold: bool,
) -> Result<Never, Error> {
    let seed = config.seed;
    let new_identity = || {
        if config.reopen {
            rand::random::<u64>() | 1
        } else {
            seed.max(1)
        }
    };
    let (lock, identity) = Disk::lock_folder(&config.data, new_identity)?;
    let identity = if identity.group == 0 {
        status.publish(VoterStatus {
            member: identity.member,
            ..VoterStatus::default()
        });
        wait_for_group(config, identity, queue).await?
    } else {
        identity
    };
    let mut voter = Voter::open(
        config.clone(),
        lock,
        identity,
        pool.clone(),
        upstream_list.clone(),
        status.clone(),
    )?;
    if cold {
        voter.begin_cold_start();
    }
    loop {
        voter.run_once(queue).await?;
    }
}

impl Voter {
    fn open(
        config: Config,
        lock: File,
        identity: Identity,
        pool: Pool,
        upstream_list: watch::Receiver<List>,
        status: SharedStatus,
    ) -> Result<Self, Error> {
        let (disk, recovered) = Disk::open(&config.data, lock)?;
        let snapshot = recovered.log.snapshot();
        let state = State::decode(snapshot.data.clone())?;
        let applied = snapshot.index;
        let announced = Arc::new(state.announced().clone());
        let marks = Arc::new(state.marks().clone());
        let node = Node::new(
            identity.member,
            identity.group,
            config.times.clone(),
            recovered.ballot,
            recovered.log,
            config.seed,
            clock::now(),
        );
        Ok(Self {
            node,
            disk,
            state,
            applied,
            proposals: BTreeMap::new(),
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            pool,
            upstream_list,
            leader_state: None,
            snapshot_index: applied,
            log_limit_bytes: LOG_GROWTH_BYTES,
            status,
            announced,
            marks,
            streams: None,
            last_emitted_members: Members::default(),
            pending_reads: Vec::new(),
            config,
        })
    }

    /// Takes part in a cold start. The host that sent the last orders is preferred, since it may go
    /// on at once.
    fn begin_cold_start(&mut self) {
        let log = self.node.log();
        let indexes = (self.applied + 1..=log.last_index()).rev();
        let mut holders = indexes.filter_map(|index| {
            let command = Command::decode(log.get(index)?.data.clone()).ok()?;
            match command.order {
                Some(Order::Holder(holder)) => Some(holder.host),
                _ => None,
            }
        });
        let holder = holders.next();
        let holder = holder.as_deref().unwrap_or(self.state.holder());
        let preferred = holder == self.config.host;
        self.node.begin_cold_start(preferred, clock::now());
    }

    /// Records this host as the one that sends orders, once all that earlier leaders committed is
    /// applied.
    fn record_holder(&mut self) -> Result<(), Error> {
        let Some(leader_state) = &mut self.leader_state else {
            return Ok(());
        };
        if !self.config.leader_orders || leader_state.previous_holder.is_some() {
            return Ok(());
        }
        let previous = self.state.holder().to_owned();
        let is_same = previous == self.config.host;
        leader_state.previous_holder = Some(previous);
        if is_same {
            return Ok(());
        }
        let holder = Holder {
            host: self.config.host.clone(),
        };
        let mut command = Command::of(Order::Holder(holder));
        command.at = wall_clock_millis().max(self.state.latest_millis());
        if let Ok((index, term)) = self.node.propose(command.encode_to_vec().into()) {
            self.proposals.insert(index, (term, None));
        }
        self.process_all_ready()
    }

    /// Waits for an input or a timer, handles the queued inputs, and does the resulting work:
    /// leader decisions, disk writes, messages, applied commands and the published status.
    async fn run_once(&mut self, queue: &mut mpsc::Receiver<Input>) -> Result<(), Error> {
        let wake = self.next_wake();
        tokio::select! {
            input = queue.recv() => match input {
                Some(input) => {
                    self.handle_input(input);
                    for _ in 0..INPUTS_PER_SYNC {
                        let Ok(input) = queue.try_recv() else {
                            break;
                        };
                        self.handle_input(input);
                    }
                }
                // Every sender is gone, so the process is shutting down.
                None => std::future::pending().await,
            },
            () = clock::wait_until(wake) => {}
        }
        let now = clock::now();
        self.node.tick(now);
        self.decide_as_leader(now);
        self.process_all_ready()?;
        self.record_holder()?;
        self.answer_confirmed_reads();
        self.publish_status();
        Ok(())
    }

    /// Answers the reads whose heartbeat round a majority has answered.
    fn answer_confirmed_reads(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        if !self.node.leads() {
            // Dropping the responders tells the callers to ask again.
            self.pending_reads.clear();
            return;
        }
        let node = &self.node;
        let confirmed = self
            .pending_reads
            .extract_if(.., |(round, _)| node.is_confirmed(*round));
        let document = self.state.document();
        let text = document.map_or(Bytes::new(), |document| document.text.clone());
        for (_, responder) in confirmed {
            responder.finish_now(Body::Report(text.clone()));
        }
    }

    fn publish_status(&mut self) {
        let lease_until = self.node.lease_until();
        self.status.set_leadership_times(
            lease_until,
            self.node.orders_until(),
            self.node.leader_heard_at(),
        );
        if *self.announced != *self.state.announced() {
            self.announced = Arc::new(self.state.announced().clone());
        }
        if *self.marks != *self.state.marks() {
            self.marks = Arc::new(self.state.marks().clone());
        }
        let may_lead = self.leader_state.is_some() && lease_until.is_some();
        let leader_state = self.leader_state.as_ref().filter(|_| may_lead);
        let previous_holder = leader_state.and_then(|state| state.previous_holder.clone());
        let leading_term = may_lead.then(|| self.node.term());
        // The leader's hub keeps its copy up to date, so the state is copied once a term.
        if self.streams.as_ref().map(|(term, _)| *term) != leading_term {
            let streams = || Arc::new(self.state.streams().clone());
            self.streams = leading_term.map(|term| (term, streams()));
        }
        let streams = self.streams.as_ref();
        let streams = streams.map_or_else(Arc::default, |(_, streams)| streams.clone());
        let leader = self.node.leader();
        self.status.publish(VoterStatus {
            group: self.node.group(),
            member: self.node.id(),
            leading_term,
            members: self.node.members().members.clone(),
            leader: leader.map_or(String::new(), |leader| leader.address.clone()),
            document: self.state.document().cloned(),
            announced: self.announced.clone(),
            marks: self.marks.clone(),
            streams,
            holder: self.state.holder().to_owned(),
            previous_holder,
            order_age: self.node.order_age(),
        });
    }

    fn next_wake(&self) -> Instant {
        let mut wake = self.node.next_tick();
        if let Some(leader_state) = &self.leader_state {
            wake = wake.min(leader_state.next_assign_at);
            wake = leader_state
                .permits
                .next_grant()
                .map_or(wake, |next| wake.min(next));
        }
        wake
    }

    fn handle_input(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Message(body, responder) => match *body {
                Body::Quorum(envelope) => {
                    let address = envelope.address.clone();
                    self.addresses.insert(envelope.from, address);
                    self.node.receive(envelope, now);
                }
                body => self.handle_message(body, responder, now),
            },
            Input::TransferLeadership(addresses, done) => {
                let known = &self.addresses;
                let suits = |member: id::Member| {
                    let address = known.get(&member);
                    addresses.is_empty() || address.is_some_and(|one| addresses.contains(one))
                };
                if self.node.transfer_leadership(suits, now) {
                    self.stop_leading();
                }
                let _ = done.send(());
            }
        }
    }

    fn handle_message(&mut self, body: Body, responder: Responder, now: Instant) {
        if let Body::Query(query) = &body
            && query.kind == "identity"
        {
            let identity = Identity {
                member: self.node.id(),
                group: self.node.group(),
            };
            responder.finish_now(Body::Report(identity_report(&self.config.host, identity)));
            return;
        }
        // Only a leader that holds its lease answers the messages below: while the lease runs, no
        // other voter can lead.
        if self.leader_state.is_none() || !self.node.holds_lease(now) {
            let leader = self
                .node
                .leader()
                .filter(|member| member.id != self.node.id());
            let address = leader.map_or(String::new(), |member| member.address.clone());
            responder.finish_now(Body::Redirect(Redirect { address }));
            return;
        }
        match body {
            Body::Propose(command) => self.propose(command, responder),
            Body::Follow(follow) => self.follow(follow, responder),
            Body::Heartbeat(heartbeat) => {
                let Some(leader_state) = &mut self.leader_state else {
                    return;
                };
                if !heartbeat.returned.is_empty() {
                    leader_state.next_assign_at = now;
                }
                let lease = leader_state
                    .leases
                    .handle_heartbeat(heartbeat, &self.state, now);
                responder.finish_now(Body::Lease(lease));
            }
            Body::Permit(permit) => {
                if let Some(leader_state) = &mut self.leader_state {
                    let waited = Duration::from_millis(permit.waited);
                    leader_state
                        .permits
                        .enqueue(waited, permit.waiting, responder, now);
                }
            }
            Body::Release(number) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.permits.release(number);
                }
            }
            Body::Query(query) if query.kind == DOCUMENT_QUERY => {
                match self.node.begin_confirmation(now) {
                    Ok(round) => self.pending_reads.push((round, responder)),
                    Err(refusal) => responder.finish_now(failure(describe_refusal(&refusal))),
                }
            }
            Body::Join(member) => self.add_joining_member(member, responder),
            Body::Query(query) => {
                let Some(leader_state) = &self.leader_state else {
                    return;
                };
                let view = report::View {
                    node: &self.node,
                    state: &self.state,
                    leases: &leader_state.leases,
                    upstreams: &self.upstream_list.borrow(),
                    permits: (leader_state.permits.open(), leader_state.permits.waiting()),
                    now,
                };
                let answer = report::answer(&view, &query);
                responder.finish_now(answer.map_or(failure("unknown question"), Body::Report));
            }
            Body::Format(_) => responder.finish_now(failure("the folder belongs to a group")),
            _ => responder.finish_now(failure("not for a voter")),
        }
    }

    fn propose(&mut self, mut command: Command, responder: Responder) {
        if self
            .node
            .members()
            .members
            .iter()
            .filter(|member| member.voter)
            .count()
            < self.config.times.min_voters
        {
            // Nothing is accepted until the group has enough voters to survive the losses that it
            // must tolerate.
            responder.finish_now(Body::Redirect(Redirect::default()));
            return;
        }
        let term = self.node.term();
        let order = command.order.as_ref();
        if order.is_some_and(|order| !order.is_valid_in(term)) {
            responder.finish_now(failure("another leader has proposed it"));
            return;
        }
        command.at = wall_clock_millis().max(self.state.latest_millis());
        if let Some(outcome) = self.state.known_outcome(&command) {
            responder.finish_now(Body::Outcome(outcome));
            return;
        }
        if let Some(Order::Member(change)) = &command.order {
            let change = change.clone();
            if let Err(refusal) = self.change_member(&change) {
                responder.finish_now(failure(describe_refusal(&refusal)));
                return;
            }
        }
        match self.node.propose(command.encode_to_vec().into()) {
            Ok((index, term)) => {
                self.proposals.insert(index, (term, Some(responder)));
            }
            Err(refusal) => responder.finish_now(failure(describe_refusal(&refusal))),
        }
    }

    /// Adds a member that asked to join; it becomes a voter once it has caught up.
    fn add_joining_member(&mut self, member: Member, responder: Responder) {
        let members = &self.node.members().members;
        let known = members.iter().any(|known| known.id == member.id);
        let added = match known {
            true => Ok(()),
            false => self.node.add_member(member).map(|_| ()),
        };
        responder.finish_now(match added {
            Ok(()) => Body::Report(Bytes::new()),
            Err(refusal) => failure(describe_refusal(&refusal)),
        });
    }

    fn change_member(&mut self, change: &MemberChange) -> Result<(), Refusal> {
        if change.remove {
            self.node.remove_member(change.id)?;
        } else {
            self.node.add_member(Member {
                id: change.id,
                host: change.host.clone(),
                address: change.address.clone(),
                voter: false,
            })?;
        }
        Ok(())
    }

    /// Adds a follower, which receives the updates since its revision and then every new one.
    fn follow(&mut self, follow: Follow, responder: Responder) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let newest = self.state.catalog().revision();
        let needs_everything = self.state.changes_since(follow.revision).is_none();
        if needs_everything
            && leader_state
                .packed
                .as_ref()
                .is_none_or(|(packed, _)| *packed != newest)
        {
            leader_state.packed = Some((newest, pack(&self.state)));
        }
        let packed = leader_state.packed.as_ref();
        let packed = packed.map_or(&[][..], |(_, packed)| packed);
        let mut updates = catch_up(&self.state, follow.revision, packed);
        if let Some(last) = updates.last_mut() {
            last.routes = Some(leader_state.routes.clone());
        }
        let (queue, receiver) = mpsc::channel(FOLLOWER_QUEUE_CAPACITY);
        tokio::spawn(send_updates(updates, receiver, responder));
        leader_state.followers.push(Follower { queue });
    }

    /// Grants permits and proposes assignments while this voter holds the leader's lease.
    fn decide_as_leader(&mut self, now: Instant) {
        if !self.node.holds_lease(now) {
            if self.leader_state.is_some() && !self.node.leads() {
                self.stop_leading();
            }
            return;
        }
        let upstreams = self.upstream_list.borrow().clone();
        let leader_state = self.leader_state.get_or_insert_with(|| {
            emit!(
                LEADER,
                "member {:016x}, term {}",
                self.node.id(),
                self.node.term()
            );
            // In the first term there was no earlier leader whose leases and permits could still run.
            let is_first_term = self.node.term() == FIRST_TERM;
            let lease = self.config.lease.clone();
            let store = self.config.store.clone();
            let inherited_until = if is_first_term {
                now
            } else {
                now + lease.leader_expiry()
            };
            let first_grant_at = if is_first_term {
                now
            } else {
                now + store.lifetime
            };
            LeaderState {
                leases: Leases::new(lease, inherited_until),
                permits: Permits::new(store, self.node.term() << 32, first_grant_at),
                followers: Vec::new(),
                packed: None,
                routes: routes(&self.state, self.node.term() << 32),
                next_assign_at: now,
                previous_holder: None,
                assignment_pending: false,
            }
        });
        for (number, responder) in leader_state.permits.grant(now, Responder::is_cancelled) {
            let millis = self.config.store.lifetime.as_millis() as u64;
            responder.finish_now(Body::Permitted(Permitted { number, millis }));
        }
        if now < leader_state.next_assign_at || leader_state.assignment_pending {
            return;
        }
        leader_state.next_assign_at = now + ASSIGN_INTERVAL;
        leader_state.leases.prune(&self.state, now);
        let moves = leader_state.leases.assign(&upstreams, &self.state, now);
        if moves.is_empty() {
            return;
        }
        let mut command = Command::of(Order::Assign(Assign { moves }));
        command.at = wall_clock_millis().max(self.state.latest_millis());
        if let Ok((index, term)) = self.node.propose(command.encode_to_vec().into()) {
            leader_state.assignment_pending = true;
            self.proposals.insert(index, (term, None));
        }
    }

    fn stop_leading(&mut self) {
        if self.leader_state.take().is_some() {
            emit!(
                LEADER_LOST,
                "member {:016x}, term {}",
                self.node.id(),
                self.node.term()
            );
        }
        // The next leader may still commit these proposals. Dropping the responders tells the
        // callers to ask again.
        self.proposals.clear();
    }

    /// Stores entries, sends messages and applies commands until the node has no more work.
    fn process_all_ready(&mut self) -> Result<(), Error> {
        loop {
            let ready = self.node.ready();
            if ready.is_empty() {
                return Ok(());
            }
            tokio::task::block_in_place(|| self.process_ready(ready))?;
        }
    }

    fn process_ready(&mut self, ready: Ready) -> Result<(), Error> {
        let must_sync = ready.must_sync();
        if let Some(snapshot) = ready.snapshot {
            self.state = State::decode(snapshot.data.clone())?;
            self.applied = snapshot.index;
            self.snapshot_index = snapshot.index;
            self.disk.compact(self.node.ballot(), self.node.log())?;
            emit!(SNAPSHOT_INSTALLED, "index {}", snapshot.index);
        } else if must_sync {
            let last = ready.entries.last().map(|entry| (entry.index, entry.term));
            self.disk.append(ready.ballot, ready.entries)?;
            if let Some((index, term)) = last {
                self.node.mark_synced(index, term);
            }
        }
        for envelope in ready.messages {
            self.send(envelope);
        }
        for entry in ready.committed {
            self.applied = entry.index;
            if entry.members.is_some() && *self.node.members() != self.last_emitted_members {
                self.last_emitted_members = self.node.members().clone();
                emit!(MEMBERS, "{}", describe_members(&self.last_emitted_members));
            }
            if !entry.data.is_empty() {
                self.apply(entry.index, entry.term, entry.data);
            }
        }
        let entry_limit_reached = self.applied >= self.snapshot_index + self.config.snapshot_every;
        if entry_limit_reached || self.disk.log_len() >= self.log_limit_bytes {
            self.snapshot()?;
        }
        Ok(())
    }

    fn apply(&mut self, index: id::Index, term: id::Term, data: Bytes) {
        // The log holds only commands that this program encoded, so this is not expected to fail.
        let Ok(command) = Command::decode(data) else {
            return;
        };
        let before = self.state.catalog().revision();
        let outcome = self.state.apply(&command);
        self.emit_publish_outcome(&command, &outcome);
        let revision = self.state.catalog().revision();
        match &command.order {
            Some(Order::Publish(change)) if revision > before => {
                let items = change.items.clone();
                self.push_update(items, revision);
            }
            Some(Order::Assign(assign)) => {
                for replica_move in &assign.moves {
                    emit!(
                        ASSIGNED,
                        "replica {} to host {}",
                        replica_move.replica,
                        replica_move.host
                    );
                }
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.assignment_pending = false;
                }
                self.push_routes();
            }
            _ => {}
        }
        if let Some((proposed, responder)) = self.proposals.remove(&index)
            && let Some(responder) = responder
            && proposed == term
        {
            responder.finish_now(Body::Outcome(outcome));
        }
    }

    /// Writes a log line for an accepted or refused change set if this voter leads.
    fn emit_publish_outcome(&self, command: &Command, outcome: &Outcome) {
        let (Some(Order::Publish(change)), Some(Effect::Published(published))) =
            (&command.order, &outcome.effect)
        else {
            return;
        };
        if self.leader_state.is_none() {
            return;
        }
        if published.refusal.is_empty() {
            emit!(
                ACCEPTED,
                "change {} in revision {}",
                change.id,
                published.revision
            );
        } else {
            emit!(REFUSED, "change {}: {}", change.id, published.refusal);
        }
    }

    fn push_update(&mut self, items: Vec<Item>, revision: id::Revision) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let update = Update {
            reset: false,
            complete: true,
            revision,
            items,
            ..Update::default()
        };
        leader_state.broadcast(&update);
    }

    fn push_routes(&mut self) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.routes = routes(&self.state, leader_state.routes.index + 1);
        let update = Update {
            revision: self.state.catalog().revision(),
            complete: true,
            routes: Some(leader_state.routes.clone()),
            ..Update::default()
        };
        leader_state.broadcast(&update);
    }

    fn send(&mut self, mut envelope: Envelope) {
        let to = envelope.to;
        let Some(address) = self.address_of(to) else {
            return;
        };
        let known = self.peers.get(&to);
        if known.is_none_or(|(known, _)| *known != address) {
            let (sender, queue) = mpsc::channel(PEER_QUEUE_CAPACITY);
            tokio::spawn(self.pool.clone().tell_all(address.clone(), queue));
            self.peers.insert(to, (address, sender));
        }
        if let Some((_, sender)) = self.peers.get(&to) {
            envelope.address.clone_from(&self.config.address);
            // A message dropped because the queue is full is sent again by the log protocol.
            let _ = sender.try_send(Body::Quorum(envelope));
        }
    }

    /// Peer address of a member. A voter that has just joined does not know the membership yet, and
    /// uses the address that the member gave in its last message.
    fn address_of(&self, id: id::Member) -> Option<String> {
        let members = &self.node.members().members;
        let member = members.iter().find(|member| member.id == id);
        let configured = member.map(|member| member.address.clone());
        configured.or_else(|| self.addresses.get(&id).cloned())
    }

    fn snapshot(&mut self) -> Result<(), Error> {
        if self
            .node
            .compact(self.applied, self.state.encode())
            .is_some()
        {
            self.disk.compact(self.node.ballot(), self.node.log())?;
            self.snapshot_index = self.applied;
            self.log_limit_bytes = self.disk.log_len() + LOG_GROWTH_BYTES;
            emit!(SNAPSHOT, "index {}", self.applied);
        }
        Ok(())
    }
}

impl LeaderState {
    /// Queues an update for every follower. A follower whose queue is full is dropped, and then
    /// follows again from its revision.
    fn broadcast(&mut self, update: &Update) {
        self.followers
            .retain(|follower| follower.queue.try_send(update.clone()).is_ok());
    }
}

fn describe_refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::NotLeader => "not the leader".to_owned(),
        Refusal::NotReady => "the leader is not ready".to_owned(),
        Refusal::Busy => "another change of membership is under way".to_owned(),
        Refusal::Invalid(reason) => (*reason).to_owned(),
    }
}

fn describe_members(members: &Members) -> String {
    let name = |member: &Member| {
        let role = if member.voter { "voter" } else { "follower" };
        format!("{:016x} {} {role}", member.id, member.host)
    };
    members
        .members
        .iter()
        .map(name)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Wall clock in milliseconds since 1970, from which audit records and claims get their times.
fn wall_clock_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
