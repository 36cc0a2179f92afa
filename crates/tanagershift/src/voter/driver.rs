//! Input and output of a voter: disk, peers, and the hosts that follow.

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
    command::{Assign, Command, Effect, MemberChange, Order, Outcome},
    feed::{catch_up, feed, pack, routes},
    join::{identity_report, wait_for_group},
    lease::{self, Leases},
    permit::{self, Permits},
    report,
    standing::{Board, Standing},
    state::State,
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

/// Inputs that wait for the voter.
const QUEUE: usize = 8192;
/// Inputs that are handled with one sync.
const BATCH: usize = 512;
/// Messages that wait for one peer.
const PEER_QUEUE: usize = 1024;
/// Updates that wait for one host that follows.
const FOLLOWER_QUEUE: usize = 256;
/// Bytes by which the log file grows before a snapshot is written.
const LOG_GROWTH: u64 = 16 << 20;
/// Term of the first leader of a group.
const FIRST_TERM: id::Term = 1;
/// Question for the accepted routing configuration, confirmed by a majority.
pub const DOCUMENT: &str = "document";
/// Pause before files that failed are opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Time between two decisions on assignments.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(100);

/// What a voter is made of.
#[derive(Clone, Debug)]
pub struct Config {
    /// Host that it runs on.
    pub host: id::Host,
    /// Peer address of the host.
    pub address: String,
    /// Data folder.
    pub data: PathBuf,
    /// Times of the group.
    pub times: quorum::Config,
    /// Times of the leases on replicas.
    pub lease: lease::Config,
    /// Budget of the weight store.
    pub store: permit::Config,
    /// Entries after which a snapshot is written.
    pub snapshot_every: u64,
    /// Seed of the election times and the identity.
    pub seed: u64,
    /// Whether the voter opens its files again after they failed, rather than end.
    pub reopen: bool,
}

/// Why a voter ended.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// Its files failed.
    #[snafu(display("{source}"), context(false))]
    Disk {
        /// The failure.
        source: disk::Error,
    },
    /// Its state cannot be read.
    #[snafu(display("the snapshot does not decode: {source}"), context(false))]
    State {
        /// The decoder's error.
        source: prost::DecodeError,
    },
}

/// Something that happens to a voter.
#[derive(Debug)]
pub(super) enum Input {
    /// A message of a peer or a host.
    Frame(Box<Body>, Responder),
    /// Give the leadership away; answered when done.
    HandOver(oneshot::Sender<()>),
}

/// How the rest of the process reaches its voter.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    board: Board,
}

impl Handle {
    /// What the voter tells of itself.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Hands a message to the voter; one that finds no room is as good as lost.
    pub fn take(&self, body: Body, responder: Responder) {
        // A responder that is dropped tells its opener to ask again.
        let _ = self
            .inputs
            .try_send(Input::Frame(Box::new(body), responder));
    }

    /// Gives the leadership away if this voter has it.
    pub async fn hand_over(&self) {
        let (done, wait) = oneshot::channel();
        if self.inputs.send(Input::HandOver(done)).await.is_ok() {
            // A voter that stopped has no leadership left.
            let _ = wait.await;
        }
    }
}

/// A refusal for the opener of a stream.
pub(super) fn failure(reason: impl Into<String>) -> Body {
    Body::Error(Failure {
        reason: reason.into(),
    })
}

/// A host that follows the log.
#[derive(Debug)]
struct Follower {
    queue: mpsc::Sender<Update>,
}

/// What a leader keeps for itself.
#[derive(Debug)]
struct Leading {
    leases: Leases,
    permits: Permits<Responder>,
    followers: Vec<Follower>,
    routes: Routes,
    /// The whole configuration at a revision, for hosts that start anew.
    packed: Option<(id::Revision, Vec<Bytes>)>,
    assign_at: Instant,
    /// Whether an assignment is in the log and not yet applied.
    assigning: bool,
}

/// A voter whose folder belongs to a group.
struct Voter {
    config: Config,
    node: Node,
    disk: Disk,
    state: State,
    applied: id::Index,
    waiting: BTreeMap<id::Index, (id::Term, Option<Responder>)>,
    peers: BTreeMap<id::Member, (String, mpsc::Sender<Body>)>,
    /// Where each member's last message came from.
    addresses: BTreeMap<id::Member, String>,
    pool: Pool,
    list: watch::Receiver<List>,
    leading: Option<Leading>,
    snapshotted: id::Index,
    /// Bytes of the log file at which a snapshot is written.
    log_limit: u64,
    board: Board,
    announced: Arc<BTreeMap<String, u64>>,
    logged_members: Members,
    /// Readers of the configuration, each with the round that must be confirmed first.
    reading: Vec<(u64, Responder)>,
}

/// Starts a voter; the future ends when its files fail.
///
/// # Errors
///
/// The data folder cannot be used.
pub fn start(
    config: Config,
    pool: Pool,
    list: watch::Receiver<List>,
) -> Result<(Handle, impl Future<Output = Error>), Error> {
    // A folder that cannot be used is told at the start, where a person reads it.
    if !config.reopen {
        Disk::lock_folder(&config.data, || config.seed.max(1))?;
    }
    let (inputs, mut queue) = mpsc::channel(QUEUE);
    let board = Board::default();
    let handle = Handle {
        inputs,
        board: board.clone(),
    };
    let run = async move {
        loop {
            let error = match run(&config, &pool, &list, &mut queue, &board).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            emit!(STORAGE_FAILED, "{error}");
            board.publish(Standing::default());
            if !config.reopen {
                return error;
            }
            recover(&config, &error);
            refuse_for(REOPEN_PAUSE, &mut queue).await;
        }
    };
    Ok((handle, run))
}

/// Empties a data folder whose damage keeps its owner from voting under the old identity.
fn recover(config: &Config, error: &Error) {
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

/// Tells everyone who asks that this voter does not lead, for a while.
async fn refuse_for(pause: Duration, queue: &mut mpsc::Receiver<Input>) {
    let until = Instant::now() + pause;
    while let Ok(input) = timeout_at(until, queue.recv()).await {
        // A responder that is dropped tells its opener to ask elsewhere.
        if input.is_none() {
            std::future::pending().await
        }
    }
}

enum Never {}

async fn run(
    config: &Config,
    pool: &Pool,
    list: &watch::Receiver<List>,
    queue: &mut mpsc::Receiver<Input>,
    board: &Board,
) -> Result<Never, Error> {
    let seed = config.seed;
    let mint = || {
        if config.reopen {
            rand::random::<u64>() | 1
        } else {
            seed.max(1)
        }
    };
    let (lock, identity) = Disk::lock_folder(&config.data, mint)?;
    let identity = if identity.group == 0 {
        board.publish(Standing {
            member: identity.member,
            ..Standing::default()
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
        list.clone(),
        board.clone(),
    )?;
    loop {
        voter.turn(queue).await?;
    }
}

impl Voter {
    fn open(
        config: Config,
        lock: File,
        identity: Identity,
        pool: Pool,
        list: watch::Receiver<List>,
        board: Board,
    ) -> Result<Self, Error> {
        let (disk, recovered) = Disk::open(&config.data, lock)?;
        let snapshot = recovered.log.snapshot();
        let state = State::decode(snapshot.data.clone())?;
        let applied = snapshot.index;
        let announced = Arc::new(state.announced().clone());
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
            waiting: BTreeMap::new(),
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            pool,
            list,
            leading: None,
            snapshotted: applied,
            log_limit: LOG_GROWTH,
            board,
            announced,
            logged_members: Members::default(),
            reading: Vec::new(),
            config,
        })
    }

    /// Waits for something to happen, and handles all that has.
    async fn turn(&mut self, queue: &mut mpsc::Receiver<Input>) -> Result<(), Error> {
        let wake = self.next_wake();
        tokio::select! {
            input = queue.recv() => match input {
                Some(input) => {
                    self.take(input);
                    for _ in 0..BATCH {
                        let Ok(input) = queue.try_recv() else {
                            break;
                        };
                        self.take(input);
                    }
                }
                None => std::future::pending().await,
            },
            () = clock::wait_until(wake) => {}
        }
        let now = clock::now();
        self.node.tick(now);
        self.lead(now);
        self.settle()?;
        self.answer_readers();
        self.publish_standing();
        Ok(())
    }

    /// Answers readers whose round a majority has answered.
    fn answer_readers(&mut self) {
        if self.reading.is_empty() {
            return;
        }
        if !self.node.leads() {
            // A responder that is dropped tells its opener to ask elsewhere.
            self.reading.clear();
            return;
        }
        let node = &self.node;
        let confirmed = self
            .reading
            .extract_if(.., |(round, _)| node.is_confirmed(*round));
        let document = self.state.document();
        let text = document.map_or(Bytes::new(), |document| document.text.clone());
        for (_, responder) in confirmed {
            responder.finish_now(Body::Report(text.clone()));
        }
    }

    fn publish_standing(&mut self) {
        let lease = self.node.lease_until();
        self.board.set_times(lease, self.node.leader_heard_at());
        if *self.announced != *self.state.announced() {
            self.announced = Arc::new(self.state.announced().clone());
        }
        let ready = self.leading.is_some() && lease.is_some();
        let leader = self.node.leader();
        self.board.publish(Standing {
            group: self.node.group(),
            member: self.node.id(),
            leads: ready.then(|| self.node.term()),
            members: self.node.members().members.clone(),
            leader: leader.map_or(String::new(), |leader| leader.address.clone()),
            document: self.state.document().cloned(),
            announced: self.announced.clone(),
        });
    }

    fn next_wake(&self) -> Instant {
        let mut wake = self.node.next_tick();
        if let Some(leading) = &self.leading {
            wake = wake.min(leading.assign_at);
            wake = leading.permits.next().map_or(wake, |next| wake.min(next));
        }
        wake
    }

    fn take(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Frame(body, responder) => match *body {
                Body::Quorum(envelope) => {
                    let address = envelope.address.clone();
                    self.addresses.insert(envelope.from, address);
                    self.node.receive(envelope, now);
                }
                body => self.take_frame(body, responder, now),
            },
            Input::HandOver(done) => {
                if self.node.transfer_leadership(now) {
                    self.stop_leading();
                }
                let _ = done.send(());
            }
        }
    }

    fn take_frame(&mut self, body: Body, responder: Responder, now: Instant) {
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
        // Whoever is answered here is answered by the only leader that can be.
        if self.leading.is_none() || !self.node.holds_lease(now) {
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
            Body::Heartbeat(beat) => {
                let Some(leading) = &mut self.leading else {
                    return;
                };
                if !beat.returned.is_empty() {
                    leading.assign_at = now;
                }
                let lease = leading.leases.beat(beat, &self.state, now);
                responder.finish_now(Body::Lease(lease));
            }
            Body::Permit(permit) => {
                if let Some(leading) = &mut self.leading {
                    let waited = Duration::from_millis(permit.waited);
                    leading.permits.ask(waited, permit.waiting, responder, now);
                }
            }
            Body::Release(number) => {
                if let Some(leading) = &mut self.leading {
                    leading.permits.release(number);
                }
            }
            Body::Query(query) if query.kind == DOCUMENT => {
                match self.node.begin_confirmation(now) {
                    Ok(round) => self.reading.push((round, responder)),
                    Err(refusal) => responder.finish_now(failure(describe(&refusal))),
                }
            }
            Body::Join(member) => self.admit(member, responder),
            Body::Query(query) => {
                let Some(leading) = &self.leading else {
                    return;
                };
                let view = report::View {
                    node: &self.node,
                    state: &self.state,
                    leases: &leading.leases,
                    upstreams: &self.list.borrow(),
                    permits: (leading.permits.open(), leading.permits.waiting()),
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
            // The promise to survive losses needs more voters than there are yet.
            responder.finish_now(Body::Redirect(Redirect::default()));
            return;
        }
        command.at = wall_clock_millis().max(self.state.at());
        if let Some(outcome) = self.state.peek(&command) {
            responder.finish_now(Body::Outcome(outcome));
            return;
        }
        if let Some(Order::Member(change)) = &command.order {
            let change = change.clone();
            if let Err(refusal) = self.change_member(&change) {
                responder.finish_now(failure(describe(&refusal)));
                return;
            }
        }
        match self.node.propose(command.encode_to_vec().into()) {
            Ok((index, term)) => {
                self.waiting.insert(index, (term, Some(responder)));
            }
            Err(refusal) => responder.finish_now(failure(describe(&refusal))),
        }
    }

    /// Adds a member that asks for it; it votes once it has caught up.
    fn admit(&mut self, member: Member, responder: Responder) {
        let members = &self.node.members().members;
        let known = members.iter().any(|known| known.id == member.id);
        let added = match known {
            true => Ok(()),
            false => self.node.add_member(member).map(|_| ()),
        };
        responder.finish_now(match added {
            Ok(()) => Body::Report(Bytes::new()),
            Err(refusal) => failure(describe(&refusal)),
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

    /// Starts a follower with what it lacks.
    fn follow(&mut self, follow: Follow, responder: Responder) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let newest = self.state.catalog().revision();
        let whole = self.state.since(follow.revision).is_none();
        if whole
            && leading
                .packed
                .as_ref()
                .is_none_or(|(packed, _)| *packed != newest)
        {
            leading.packed = Some((newest, pack(&self.state)));
        }
        let packed = leading.packed.as_ref();
        let packed = packed.map_or(&[][..], |(_, packed)| packed);
        let mut updates = catch_up(&self.state, follow.revision, packed);
        if let Some(last) = updates.last_mut() {
            last.routes = Some(leading.routes.clone());
        }
        let (queue, receiver) = mpsc::channel(FOLLOWER_QUEUE);
        tokio::spawn(feed(updates, receiver, responder));
        leading.followers.push(Follower { queue });
    }

    /// Makes a leader's own decisions: assignments and permits.
    fn lead(&mut self, now: Instant) {
        if !self.node.holds_lease(now) {
            if self.leading.is_some() && !self.node.leads() {
                self.stop_leading();
            }
            return;
        }
        let upstreams = self.list.borrow().clone();
        let leading = self.leading.get_or_insert_with(|| {
            emit!(
                LEADER,
                "member {:016x}, term {}",
                self.node.id(),
                self.node.term()
            );
            // Nobody can have led before the first term, so there is nothing to wait out.
            let first = self.node.term() == FIRST_TERM;
            let lease = self.config.lease.clone();
            let store = self.config.store.clone();
            let inherited = if first { now } else { now + lease.wait() };
            let grants = if first { now } else { now + store.life };
            Leading {
                leases: Leases::new(lease, inherited),
                permits: Permits::new(store, self.node.term() << 32, grants),
                followers: Vec::new(),
                packed: None,
                routes: routes(&self.state, self.node.term() << 32),
                assign_at: now,
                assigning: false,
            }
        });
        for (number, responder) in leading.permits.grant(now, Responder::is_cancelled) {
            let millis = self.config.store.life.as_millis() as u64;
            responder.finish_now(Body::Permitted(Permitted { number, millis }));
        }
        if now < leading.assign_at || leading.assigning {
            return;
        }
        leading.assign_at = now + ASSIGN_INTERVAL;
        leading.leases.prune(&self.state, now);
        let moves = leading.leases.assign(&upstreams, &self.state, now);
        if moves.is_empty() {
            return;
        }
        let mut command = Command::of(Order::Assign(Assign { moves }));
        command.at = wall_clock_millis().max(self.state.at());
        if let Ok((index, term)) = self.node.propose(command.encode_to_vec().into()) {
            leading.assigning = true;
            self.waiting.insert(index, (term, None));
        }
    }

    fn stop_leading(&mut self) {
        if self.leading.take().is_some() {
            emit!(
                LEADER_LOST,
                "member {:016x}, term {}",
                self.node.id(),
                self.node.term()
            );
        }
        // Whether these are committed is for the next leader to say; dropping a responder tells
        // its opener to ask again.
        self.waiting.clear();
    }

    /// Stores, sends and applies until nothing is left to do.
    fn settle(&mut self) -> Result<(), Error> {
        loop {
            let ready = self.node.ready();
            if ready.is_empty() {
                return Ok(());
            }
            tokio::task::block_in_place(|| self.carry_out(ready))?;
        }
    }

    fn carry_out(&mut self, ready: Ready) -> Result<(), Error> {
        let must_sync = ready.must_sync();
        if let Some(snapshot) = ready.snapshot {
            self.state = State::decode(snapshot.data.clone())?;
            self.applied = snapshot.index;
            self.snapshotted = snapshot.index;
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
            if entry.members.is_some() && *self.node.members() != self.logged_members {
                self.logged_members = self.node.members().clone();
                emit!(MEMBERS, "{}", describe_members(&self.logged_members));
            }
            if !entry.data.is_empty() {
                self.apply(entry.index, entry.term, entry.data);
            }
        }
        let long = self.applied >= self.snapshotted + self.config.snapshot_every;
        if long || self.disk.log_len() >= self.log_limit {
            self.snapshot()?;
        }
        Ok(())
    }

    fn apply(&mut self, index: id::Index, term: id::Term, data: Bytes) {
        // Only commands that this program encoded are in the log.
        let Ok(command) = Command::decode(data) else {
            return;
        };
        let before = self.state.catalog().revision();
        let outcome = self.state.apply(&command);
        self.log_outcome(&command, &outcome);
        let revision = self.state.catalog().revision();
        match &command.order {
            Some(Order::Publish(change)) if revision > before => {
                let items = change.items.clone();
                self.push_update(items, revision);
            }
            Some(Order::Assign(assign)) => {
                for step in &assign.moves {
                    emit!(ASSIGNED, "replica {} to host {}", step.replica, step.host);
                }
                if let Some(leading) = &mut self.leading {
                    leading.assigning = false;
                }
                self.push_routes();
            }
            _ => {}
        }
        if let Some((proposed, responder)) = self.waiting.remove(&index)
            && let Some(responder) = responder
            && proposed == term
        {
            responder.finish_now(Body::Outcome(outcome));
        }
    }

    fn log_outcome(&self, command: &Command, outcome: &Outcome) {
        let (Some(Order::Publish(change)), Some(Effect::Published(published))) =
            (&command.order, &outcome.effect)
        else {
            return;
        };
        if self.leading.is_none() {
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
        let Some(leading) = &mut self.leading else {
            return;
        };
        let update = Update {
            reset: false,
            complete: true,
            revision,
            items,
            ..Update::default()
        };
        leading.push(&update);
    }

    fn push_routes(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.routes = routes(&self.state, leading.routes.index + 1);
        let update = Update {
            revision: self.state.catalog().revision(),
            complete: true,
            routes: Some(leading.routes.clone()),
            ..Update::default()
        };
        leading.push(&update);
    }

    fn send(&mut self, mut envelope: Envelope) {
        let to = envelope.to;
        let Some(address) = self.address_of(to) else {
            return;
        };
        let known = self.peers.get(&to);
        if known.is_none_or(|(known, _)| *known != address) {
            let (sender, queue) = mpsc::channel(PEER_QUEUE);
            tokio::spawn(self.pool.clone().tell_all(address.clone(), queue));
            self.peers.insert(to, (address, sender));
        }
        if let Some((_, sender)) = self.peers.get(&to) {
            envelope.address.clone_from(&self.config.address);
            // The log sends again what is lost.
            let _ = sender.try_send(Body::Quorum(envelope));
        }
    }

    /// Address of a member; one that joins knows only where messages came from.
    fn address_of(&self, id: id::Member) -> Option<String> {
        let members = &self.node.members().members;
        let member = members.iter().find(|member| member.id == id);
        let stated = member.map(|member| member.address.clone());
        stated.or_else(|| self.addresses.get(&id).cloned())
    }

    fn snapshot(&mut self) -> Result<(), Error> {
        if self
            .node
            .compact(self.applied, self.state.encode())
            .is_some()
        {
            self.disk.compact(self.node.ballot(), self.node.log())?;
            self.snapshotted = self.applied;
            self.log_limit = self.disk.log_len() + LOG_GROWTH;
            emit!(SNAPSHOT, "index {}", self.applied);
        }
        Ok(())
    }
}

impl Leading {
    /// Hands an update to every follower; one that lags too far starts anew.
    fn push(&mut self, update: &Update) {
        self.followers
            .retain(|follower| follower.queue.try_send(update.clone()).is_ok());
    }
}

fn describe(refusal: &Refusal) -> String {
    match refusal {
        Refusal::NotLeader => "not the leader".to_owned(),
        Refusal::NotReady => "the leader is not ready".to_owned(),
        Refusal::Busy => "another change of membership is under way".to_owned(),
        Refusal::Invalid(reason) => (*reason).to_owned(),
    }
}

fn describe_members(members: &Members) -> String {
    let name = |member: &Member| {
        let duty = if member.voter { "voter" } else { "follower" };
        format!("{:016x} {} {duty}", member.id, member.host)
    };
    members
        .members
        .iter()
        .map(name)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Wall clock in milliseconds since 1970, for the audit trail and the age of claims.
fn wall_clock_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
