//! How a host finds the leader, follows the configuration, and renews its leases.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use snafu::Snafu;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    emit,
    host::Host,
    id,
    link::{self, Call, Pool},
    wire::{Body, Follow, Heartbeat, Lease, Redirect, Update},
};

/// Pause after every known voter was asked in vain.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a candidate is asked alone before the next one is asked as well.
const STAGGER: Duration = Duration::from_millis(150);
/// Longest wait for one voter's answer in a search.
const ATTEMPT: Duration = Duration::from_millis(700);
/// Time for which a revision may be accepted and not here before the host looks elsewhere.
const LAG_LIMIT: Duration = Duration::from_millis(500);

/// Why the leader did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Error {
    /// No leader answered in time.
    #[snafu(display("no leader answered in time"))]
    NoLeader,
}

/// Finds the leader among the voters, and asks it.
#[derive(Clone, Debug)]
pub struct Leader {
    pool: Pool,
    /// Where the search starts.
    seeds: Arc<Mutex<Vec<String>>>,
    /// Voters as last told.
    voters: Arc<Mutex<Vec<String>>>,
    /// Leader as another host last named it.
    hint: Arc<Mutex<Option<String>>>,
    current: watch::Sender<Option<String>>,
}

impl Leader {
    /// Makes a client of the group.
    pub fn new(pool: Pool, seeds: Vec<String>) -> Self {
        Self {
            pool,
            seeds: Arc::new(Mutex::new(seeds)),
            voters: Arc::default(),
            hint: Arc::default(),
            current: watch::Sender::new(None),
        }
    }

    /// Connections that it uses.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Address of the leader as last known.
    pub fn current(&self) -> watch::Receiver<Option<String>> {
        self.current.subscribe()
    }

    /// Asks the leader until it answers; what is asked must be idempotent.
    ///
    /// # Errors
    ///
    /// No leader answered in time; it may have got the question all the same.
    pub async fn ask(&self, body: Body, limit: Duration, attempt: Duration) -> Result<Body, Error> {
        let search = async {
            loop {
                if let Some((_, answer)) = self.open_any(&body, attempt).await {
                    return answer;
                }
                sleep(SEARCH_PAUSE).await;
            }
        };
        timeout(limit, search).await.map_err(|_| Error::NoLeader)
    }

    /// Opens a stream at the leader, and waits for its first message; `None` when none came in
    /// time.
    pub async fn open(
        &self,
        body: Body,
        limit: Duration,
        attempt: Duration,
    ) -> Option<(Call, Body)> {
        timeout(limit, self.open_any(&body, attempt)).await.ok()?
    }

    /// Asks every candidate until one answers: the next one when the one before has failed, or has
    /// not answered for a little while.
    async fn open_any(&self, body: &Body, attempt: Duration) -> Option<(Call, Body)> {
        let mut candidates = self.candidates().into_iter();
        let asked_hosts = Mutex::default();
        let mut asked = FuturesUnordered::new();
        loop {
            match candidates.next() {
                Some(address) => asked.push(self.open_at(address, body, attempt, &asked_hosts)),
                None if asked.is_empty() => return None,
                None => {}
            }
            if let Ok(Some(Some(opened))) = timeout(STAGGER, asked.next()).await {
                return Some(opened);
            }
        }
    }

    /// The leader as last known, then every voter, then the seeds.
    fn candidates(&self) -> Vec<String> {
        let mut candidates: Vec<String> = self.current.borrow().iter().cloned().collect();
        let hint = self.hint.lock().unwrap_or_else(PoisonError::into_inner);
        candidates.extend(
            hint.iter()
                .filter(|hint| !candidates.contains(hint))
                .cloned()
                .collect::<Vec<_>>(),
        );
        let voters = self.voters.lock().unwrap_or_else(PoisonError::into_inner);
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        for voter in voters.iter().chain(seeds.iter()) {
            if !candidates.contains(voter) {
                candidates.push(voter.clone());
            }
        }
        candidates
    }

    /// Replaces the hosts where the search starts; says whether they changed.
    pub fn reseed(&self, seeds: Vec<String>) -> bool {
        let mut known = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = *known != seeds;
        *known = seeds;
        changed
    }

    /// Takes note of the leader that another host names.
    pub fn hint(&self, address: String) {
        *self.hint.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// Who leads, as far as this host knows; empty when it does not.
    pub fn known(&self) -> String {
        let hint = || {
            let hint = self.hint.lock().unwrap_or_else(PoisonError::into_inner);
            hint.clone()
        };
        let current = self.current.borrow().clone();
        current.or_else(hint).unwrap_or_default()
    }

    /// Names a leader to every seed, so that hosts that know nobody find it there.
    pub async fn tell_seeds(&self, address: &str) {
        let seeds = self
            .seeds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let tell = |seed: String| async move {
            let redirect = Body::Redirect(Redirect {
                address: address.to_owned(),
            });
            // A seed that cannot be reached is told the next time.
            if let Ok(Ok(link)) = timeout(ATTEMPT, self.pool.link(&seed)).await {
                let _ = link.tell(redirect);
            }
        };
        let told: FuturesUnordered<_> = seeds.into_iter().map(tell).collect();
        told.collect::<()>().await;
    }

    /// Takes note of who votes now.
    pub fn learn(&self, voters: Vec<String>) {
        *self.voters.lock().unwrap_or_else(PoisonError::into_inner) = voters;
    }

    /// Asks one voter, and the leader that it names. A host that this search has asked already is not
    /// asked again: a leader that is slow because many ask would only get slower.
    async fn open_at(
        &self,
        mut address: String,
        body: &Body,
        limit: Duration,
        asked_hosts: &Mutex<BTreeSet<String>>,
    ) -> Option<(Call, Body)> {
        for _ in 0..2 {
            let known = !asked_hosts
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(address.clone());
            if known {
                return None;
            }
            let opened = async {
                let mut call = self.pool.call(&address, body.clone()).await?;
                let first = call.next().await?;
                Ok::<_, link::Error>((call, first))
            };
            match timeout(limit, opened).await {
                Ok(Ok((_, Some(Body::Redirect(redirect))))) if !redirect.address.is_empty() => {
                    address = redirect.address;
                }
                Ok(Ok((_, Some(Body::Redirect(_)) | None)) | Err(_)) | Err(_) => return None,
                Ok(Ok((call, Some(answer)))) => {
                    self.note(address);
                    return Some((call, answer));
                }
            }
        }
        None
    }

    fn note(&self, address: String) {
        self.current.send_if_modified(|current| {
            let changed = current.as_ref() != Some(&address);
            *current = Some(address);
            changed
        });
    }

    /// Opens a stream at the leader as last known.
    pub async fn call(&self, body: Body) -> Option<Call> {
        let address = self.current.borrow().clone()?;
        self.pool.call(&address, body).await.ok()
    }

    /// Sends the leader as last known a message that has no answer.
    pub async fn tell(&self, body: Body) {
        let Some(address) = self.current.borrow().clone() else {
            return;
        };
        if let Ok(link) = self.pool.link(&address).await {
            // What is told this way ends by itself when it is lost.
            let _ = link.tell(body);
        }
    }

    /// Starts to follow the leader from a revision.
    async fn follow(&self, host: &str, revision: id::Revision) -> Option<Call> {
        let follow = Follow {
            host: host.to_owned(),
            revision,
        };
        self.call(Body::Follow(follow)).await
    }
}

/// Renews the host's leases and reports on it, until the process ends.
pub async fn beat(host: Arc<Host>) {
    let lease = host.settings.group.lease.length;
    let interval = lease / 5;
    let news = host.holder.heartbeat_trigger();
    loop {
        let sent = Instant::now();
        let heartbeat = Body::Heartbeat(heartbeat(&host));
        let answer = host
            .leader
            .ask(heartbeat, lease, ATTEMPT.min(lease / 2))
            .await;
        if let Ok(Body::Lease(lease)) = answer {
            take_lease(&host, &lease, sent);
        }
        // News go at once; without any, the next heartbeat comes in its time.
        let _ = timeout(interval.saturating_sub(sent.elapsed()), news.notified()).await;
    }
}

fn heartbeat(host: &Host) -> Heartbeat {
    Heartbeat {
        host: host.settings.host.name.clone(),
        zone: host.settings.host.zone.clone(),
        address: host.settings.host.peer.to_string(),
        session: host.session,
        revision: host.revision(),
        draining: host.is_draining(),
        holds: host.settings.holder.enabled,
        returned: host.holder.returned(),
    }
}

fn take_lease(host: &Host, lease: &Lease, sent: Instant) {
    if lease.millis == 0 {
        return;
    }
    let drift = host.settings.group.lease.drift_percent;
    let length = Duration::from_millis(lease.millis) * (100 - drift) / 100;
    host.note_accepted(lease.revision, sent);
    let share = host.settings.store.leaderless_rate();
    host.holder.set_holders(lease.holders, share);
    let list = host.list.borrow().clone();
    host.holder.renew(&lease.grants, sent + length, &list);
}

/// Follows the configuration and the routes, until the process ends.
pub async fn follow(host: Arc<Host>) {
    let name = host.settings.host.name.clone();
    let mut current = host.leader.current();
    loop {
        current.mark_unchanged();
        let call = host.leader.follow(&name, host.revision()).await;
        if let Some(mut call) = call {
            tokio::select! {
                () = take_updates(&host, &mut call) => {}
                // Another leader answered a heartbeat.
                _ = current.changed() => {}
                () = lag(&host) => {}
            }
        }
        sleep(SEARCH_PAUSE).await;
    }
}

async fn take_updates(host: &Host, call: &mut Call) {
    loop {
        match call.next().await {
            Ok(Some(Body::Update(update))) => take_update(host, update),
            Ok(_) | Err(link::Error::Connect { .. } | link::Error::Lost | link::Error::Slow) => {
                return;
            }
        }
    }
}

fn take_update(host: &Host, update: Update) {
    let before = host.revision();
    host.apply(update);
    let after = host.revision();
    if after > before {
        emit!(IN_FORCE, "revision {after}");
    }
}

/// Ends when a revision has been accepted for a while, has not come here, and nothing else comes.
async fn lag(host: &Host) {
    let mut lagging_since: Option<Instant> = None;
    let mut seen = host.updates();
    loop {
        sleep(LAG_LIMIT / 4).await;
        let updates = host.updates();
        if host.accepted() <= host.revision() || updates > seen {
            lagging_since = None;
            seen = updates;
            continue;
        }
        let since = *lagging_since.get_or_insert_with(Instant::now);
        if since.elapsed() > LAG_LIMIT {
            return;
        }
    }
}
