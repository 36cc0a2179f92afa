//! What all duties of one host share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::watch, time::Instant};

use crate::{
    catalog::Catalog,
    follower::Leader,
    holder::driver::Holder,
    id,
    link::Pool,
    metrics::Metrics,
    platform::List,
    settings::Settings,
    wire::{Route, Update},
};

/// Age of the last answer of a leader at which a host that starts may not serve yet.
const CONFIRMATION_AGE: Duration = Duration::from_secs(5);

/// Holders by replica.
pub type Routes = Arc<BTreeMap<id::Upstream, Route>>;

/// What is known of the accepted revision.
#[derive(Clone, Copy, Debug, Default)]
struct Accepted {
    revision: id::Revision,
    /// When the question was sent that a leader answered with it.
    asked: Option<Instant>,
}

/// A configuration that comes in several parts.
#[derive(Debug, Default)]
struct Incoming {
    catalog: Option<Catalog>,
}

/// One host of the system.
#[derive(Debug)]
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// Number drawn when the process started.
    pub session: u64,
    /// Connections to other hosts.
    pub pool: Pool,
    /// Client of the group.
    pub leader: Leader,
    /// The platform's list.
    pub list: watch::Receiver<List>,
    /// The duty of a holder.
    pub holder: Holder,
    /// Figures for the operators.
    pub metrics: Metrics,
    catalog: RwLock<Catalog>,
    incoming: Mutex<Incoming>,
    accepted: watch::Sender<Accepted>,
    routes: watch::Sender<(u64, Routes)>,
    draining: watch::Sender<bool>,
    confirmed: AtomicBool,
    /// Updates taken since the start.
    updates: AtomicU64,
}

impl Host {
    /// Makes a host that knows nothing yet.
    pub fn new(
        settings: Settings,
        session: u64,
        pool: Pool,
        list: watch::Receiver<List>,
        metrics: Metrics,
    ) -> Self {
        let leader = Leader::new(pool.clone(), settings.group.voters.clone());
        let holder = Holder::new(
            settings.holder.clone(),
            settings.host.name.clone(),
            leader.clone(),
            metrics.clone(),
            settings.store.leaderless_rate(),
            session,
        );
        Self {
            settings,
            session,
            pool,
            leader,
            list,
            holder,
            metrics,
            catalog: RwLock::default(),
            incoming: Mutex::default(),
            accepted: watch::Sender::new(Accepted::default()),
            routes: watch::Sender::new((0, Routes::default())),
            draining: watch::Sender::new(false),
            confirmed: AtomicBool::new(false),
            updates: AtomicU64::new(0),
        }
    }

    /// The configuration in force here.
    pub fn catalog(&self) -> RwLockReadGuard<'_, Catalog> {
        self.catalog.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Revision in force here.
    pub fn revision(&self) -> id::Revision {
        self.catalog().revision()
    }

    /// Revision that a leader last named as accepted.
    pub fn accepted(&self) -> id::Revision {
        self.accepted.borrow().revision
    }

    /// Takes note of the accepted revision that a leader named, and when it was asked.
    pub fn note_accepted(&self, revision: id::Revision, asked: Instant) {
        self.accepted.send_modify(|accepted| {
            accepted.revision = accepted.revision.max(revision);
            accepted.asked = Some(asked);
        });
    }

    /// Takes an update of configuration or routes; nothing ever goes back to a lower revision.
    pub fn apply(&self, mut update: Update) {
        // What does not decode is as good as lost, and asked for again.
        let Ok(items) = update.take_items() else {
            return;
        };
        self.updates.fetch_add(1, Ordering::Relaxed);
        if let Some(routes) = update.routes {
            self.note_assigned(&routes.routes);
            let by_replica = routes
                .routes
                .into_iter()
                .map(|route| (route.replica.clone(), route))
                .collect();
            self.routes.send_if_modified(|(index, known)| {
                let newer = routes.index >= *index;
                if newer {
                    (*index, *known) = (routes.index, Arc::new(by_replica));
                }
                newer
            });
        }
        let mut incoming = self.incoming.lock().unwrap_or_else(PoisonError::into_inner);
        if update.reset {
            incoming.catalog = Some(Catalog::default());
        }
        if let Some(catalog) = &mut incoming.catalog {
            catalog.restore(&items, 0);
            if update.complete {
                catalog.restore(&[], update.revision);
                let whole = incoming.catalog.take().unwrap_or_default();
                self.replace(whole);
            }
            return;
        }
        let mut catalog = self.catalog.write().unwrap_or_else(PoisonError::into_inner);
        if update.revision == catalog.revision() + 1 {
            catalog.restore(&items, update.revision);
        }
    }

    /// Asks for the lease on a replica that was just assigned to this host.
    fn note_assigned(&self, routes: &[Route]) {
        let own = &self.settings.host.name;
        let mine = |route: &&Route| route.host == *own;
        let is_new = |route: &Route| !self.holder.holds(&route.replica, route.epoch);
        if routes.iter().filter(mine).any(is_new) {
            self.holder.heartbeat_trigger().notify_one();
        }
    }

    fn replace(&self, whole: Catalog) {
        let mut catalog = self.catalog.write().unwrap_or_else(PoisonError::into_inner);
        if whole.revision() >= catalog.revision() {
            *catalog = whole;
        }
    }

    /// Updates taken since the start, to tell whether any still come.
    pub fn updates(&self) -> u64 {
        self.updates.load(Ordering::Relaxed)
    }

    /// Holders by replica.
    pub fn routes(&self) -> Routes {
        self.routes.borrow().1.clone()
    }

    /// Tells when the holders change.
    pub fn watch_routes(&self) -> watch::Receiver<(u64, Routes)> {
        self.routes.subscribe()
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_confirmed()
    }

    /// Whether the configuration is one that a current leader has confirmed since the start.
    ///
    /// A host that was confirmed once goes on with what it has when no leader can be reached.
    pub fn is_confirmed(&self) -> bool {
        if self.confirmed.load(Ordering::Relaxed) {
            return true;
        }
        let accepted = *self.accepted.borrow();
        let fresh = |asked: Instant| asked.elapsed() < CONFIRMATION_AGE;
        let confirmed = accepted.asked.is_some_and(fresh) && self.revision() >= accepted.revision;
        if confirmed {
            self.confirmed.store(true, Ordering::Relaxed);
        }
        confirmed
    }

    /// Whether the host is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Starts the shutdown.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }
}
