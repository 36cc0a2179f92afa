//! Which connections to upstreams work: this host's own, or those through another host.
//!
//! A host whose own connections fail cannot tell by itself whether the upstreams are gone or its links
//! are. An upstream that another host reaches is alive, so the own link is at fault. Connections to it
//! then go through other hosts, and once several links are at fault, so do all new connections.
//!
//! The links to the upstreams of each service are judged apart, since a cut may concern one service only.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::message::Helper;

/// Time for which a failed link is not used for new connections.
const LINK_TTL: Duration = Duration::from_millis(2000);
/// Failed links, with nothing heard over any other meanwhile, from which on the host counts as cut off.
const MIN_FAILED_LINKS: usize = 2;
/// Time without a byte over any of the host's own connections in use after which a link is checked.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// Longest time between two checks during one silence.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a host that did not help is asked last.
const HELPER_TTL: Duration = Duration::from_millis(1000);

/// A change of the host's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The host is cut off from the upstreams.
    CutOff {
        /// Number of links that failed.
        links: usize,
        /// Time since anything was heard over another link.
        silence: Duration,
    },
    /// The host reaches an upstream again.
    Restored {
        /// How long it was cut off.
        after: Duration,
    },
}

/// A host that may help, as this host knows it.
#[derive(Clone, Debug)]
struct KnownHelper {
    helper: Helper,
    /// Open connections through it.
    open: u32,
    failed_until: Option<Instant>,
}

/// What is known about connections to the upstreams of one service.
#[derive(Debug)]
struct Links {
    /// When each link failed first and last, by address of the upstream.
    failed: BTreeMap<String, (Instant, Instant)>,
    /// Links that failed since anything was heard over another one.
    failed_in_silence: BTreeSet<String>,
    cut_off_since: Option<Instant>,
    /// When anything was last heard over an own connection, or when the first of those in use was taken
    /// into use.
    heard_at: Instant,
    /// Own connections in use, by address of the upstream.
    in_use: BTreeMap<String, u32>,
    next_check: Instant,
    check_interval: Duration,
}

impl Links {
    fn new(now: Instant) -> Self {
        Self {
            failed: BTreeMap::new(),
            failed_in_silence: BTreeSet::new(),
            cut_off_since: None,
            heard_at: now,
            in_use: BTreeMap::new(),
            next_check: now,
            check_interval: SILENCE_LIMIT,
        }
    }

    fn distrusted_since(&self, address: &str, now: Instant) -> Option<Instant> {
        let failed = self.failed.get(address);
        let failed = failed.filter(|(_, last)| now < *last + LINK_TTL);
        let failed_since = failed.map(|(first, _)| *first);
        match (failed_since, self.cut_off_since) {
            (Some(link), Some(all)) => Some(link.min(all)),
            (link, all) => link.or(all),
        }
    }

    fn record_connected(&mut self, address: &str, now: Instant) -> Option<Change> {
        self.failed.remove(address);
        self.record_heard(now);
        let since = self.cut_off_since.take()?;
        Some(Change::Restored { after: now - since })
    }

    fn record_heard(&mut self, now: Instant) {
        self.heard_at = now;
        self.check_interval = SILENCE_LIMIT;
        self.failed_in_silence.clear();
    }

    fn record_detour(&mut self, address: &str, now: Instant) -> Option<Change> {
        self.failed.retain(|_, (_, last)| now < *last + LINK_TTL);
        let link = self.failed.entry(address.to_owned());
        link.or_insert((now, now)).1 = now;
        self.failed_in_silence.insert(address.to_owned());
        let links = self.failed_in_silence.len();
        if links < MIN_FAILED_LINKS || self.cut_off_since.is_some() {
            return None;
        }
        self.cut_off_since = Some(now);
        let silence = now - self.heard_at;
        Some(Change::CutOff { links, silence })
    }

    fn begin_use(&mut self, address: &str, now: Instant) {
        if self.in_use.is_empty() {
            self.heard_at = now;
        }
        *self.in_use.entry(address.to_owned()).or_default() += 1;
    }

    fn end_use(&mut self, address: &str) {
        if let Some(count) = self.in_use.get_mut(address) {
            *count -= 1;
            if *count == 0 {
                self.in_use.remove(address);
            }
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        !self.in_use.is_empty() && now >= self.heard_at + SILENCE_LIMIT
    }

    fn are_kept_dead(&self, now: Instant) -> bool {
        self.cut_off_since.is_some() && self.is_silent(now)
    }

    fn due_checks(&mut self, now: Instant) -> Vec<String> {
        if self.cut_off_since.is_some() || now < self.next_check || !self.is_silent(now) {
            return Vec::new();
        }
        self.next_check = now + self.check_interval;
        self.check_interval = (self.check_interval * 2).min(MAX_CHECK_INTERVAL);
        self.in_use.keys().take(MIN_FAILED_LINKS).cloned().collect()
    }
}

/// What is known about connections to upstreams.
#[derive(Debug, Default)]
pub struct Reach {
    services: BTreeMap<String, Links>,
    helpers: Vec<KnownHelper>,
}

impl Reach {
    fn links(&mut self, service: &str, now: Instant) -> &mut Links {
        let links = self.services.entry(service.to_owned());
        links.or_insert_with(|| Links::new(now))
    }

    /// Whether the host is cut off from the upstreams of any service.
    pub fn is_cut_off(&self) -> bool {
        let mut services = self.services.values();
        services.any(|links| links.cut_off_since.is_some())
    }

    /// Whether the host is cut off from the upstreams of a service.
    pub fn is_cut_off_from(&self, service: &str) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.cut_off_since.is_some())
    }

    /// Services from whose upstreams the host is cut off.
    pub fn lost_services(&self) -> Vec<String> {
        let lost = self
            .services
            .iter()
            .filter(|(_, links)| links.cut_off_since.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// How long the host has been cut off from the upstreams of any service; `None` if it is not.
    pub fn cut_off_for(&self, now: Instant) -> Option<Duration> {
        let since = self.services.values().filter_map(|one| one.cut_off_since);
        since.min().map(|since| now - since)
    }

    /// Since when new connections to an upstream go through other hosts; `None` if they do not. Kept
    /// connections over which an answer has come since are known to work.
    pub fn distrusted_since(&self, service: &str, address: &str, now: Instant) -> Option<Instant> {
        let links = self.services.get(service)?;
        links.distrusted_since(address, now)
    }

    /// Records that an own connection was made to an upstream.
    pub fn record_connected(
        &mut self,
        service: &str,
        address: &str,
        now: Instant,
    ) -> Option<Change> {
        self.links(service, now).record_connected(address, now)
    }

    /// Records that bytes of an upstream arrived over an own connection.
    pub fn record_heard(&mut self, service: &str, now: Instant) {
        self.links(service, now).record_heard(now);
    }

    /// Records that an upstream that could not be reached was reached through another host.
    pub fn record_detour(&mut self, service: &str, address: &str, now: Instant) -> Option<Change> {
        self.links(service, now).record_detour(address, now)
    }

    /// Services over whose kept connections nothing can arrive any more: the host is cut off, and none of
    /// those in use has carried a byte for a while. What waits for an answer there waits in vain.
    pub fn dead_services(&self, now: Instant) -> BTreeSet<String> {
        let dead = self
            .services
            .iter()
            .filter(|(_, links)| links.are_kept_dead(now));
        dead.map(|(service, _)| service.clone()).collect()
    }

    /// Upstreams whose links are to be checked now: two of those in use by each service of which all own
    /// connections are silent. Checks become rarer while the silence lasts.
    pub fn due_checks(&mut self, now: Instant) -> Vec<String> {
        let services = self.services.values_mut();
        services.flat_map(|links| links.due_checks(now)).collect()
    }

    /// Replaces the hosts that may help.
    pub fn set_helpers(&mut self, helpers: &[Helper]) {
        let mut known = std::mem::take(&mut self.helpers);
        let entry = |helper: &Helper| {
            let at = known.iter().position(|one| one.helper == *helper);
            at.map(|at| known.swap_remove(at)).unwrap_or(KnownHelper {
                helper: helper.clone(),
                open: 0,
                failed_until: None,
            })
        };
        self.helpers = helpers.iter().map(entry).collect();
    }

    /// Addresses of the hosts to connect through, in the order in which they are tried: those that have
    /// not failed, then those with the fewest connections, then as the leader has ordered them.
    pub fn helpers(&self, now: Instant) -> Vec<String> {
        let mut helpers: Vec<&KnownHelper> = self.helpers.iter().collect();
        let failed = |one: &KnownHelper| one.failed_until.is_some_and(|until| now < until);
        helpers.sort_by_key(|one| (failed(one), one.open));
        let address = |one: &KnownHelper| one.helper.address.clone();
        helpers.into_iter().map(address).collect()
    }

    /// Records that a host did not help.
    pub fn record_helper_failed(&mut self, address: &str, now: Instant) {
        let mut helpers = self.helpers.iter_mut();
        if let Some(known) = helpers.find(|one| one.helper.address == address) {
            known.failed_until = Some(now + HELPER_TTL);
        }
    }

    fn count_helper(&mut self, address: &str, opened: bool) {
        let mut helpers = self.helpers.iter_mut();
        if let Some(known) = helpers.find(|one| one.helper.address == address) {
            known.open = match opened {
                true => known.open + 1,
                false => known.open.saturating_sub(1),
            };
        }
    }
}

/// State that the connections of a gateway share.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Reach>>);

impl Shared {
    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, Reach> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an own connection as used until the guard is dropped.
    pub fn begin_use(&self, service: &str, address: &str, now: Instant) -> UseGuard {
        self.lock().links(service, now).begin_use(address, now);
        UseGuard {
            shared: self.clone(),
            service: service.to_owned(),
            address: address.to_owned(),
        }
    }

    /// Counts a connection through another host until the guard is dropped.
    pub fn begin_detour(&self, helper: &str) -> DetourGuard {
        self.lock().count_helper(helper, true);
        DetourGuard {
            shared: self.clone(),
            helper: helper.to_owned(),
        }
    }
}

/// Counts an own connection as used until dropped.
#[derive(Debug)]
pub struct UseGuard {
    shared: Shared,
    service: String,
    address: String,
}

impl UseGuard {
    /// Records that bytes arrived.
    pub fn record_heard(&self, now: Instant) {
        self.shared.lock().record_heard(&self.service, now);
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        if let Some(links) = self.shared.lock().services.get_mut(&self.service) {
            links.end_use(&self.address);
        }
    }
}

/// Counts a connection through another host until dropped.
#[derive(Debug)]
pub struct DetourGuard {
    shared: Shared,
    helper: String,
}

impl DetourGuard {
    /// Address of the helper.
    pub fn helper(&self) -> &str {
        &self.helper
    }
}

impl Drop for DetourGuard {
    fn drop(&mut self) {
        self.shared.lock().count_helper(&self.helper, false);
    }
}
