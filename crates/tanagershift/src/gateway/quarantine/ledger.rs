//! The leader's evidence against prompt parts and requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    CLEARING_WINDOW,
    suspect::{Crash, SETTLING_TIME, Suspect, Trial},
};
use crate::{
    emit,
    gateway::{
        message::{Accusation, SoundKey},
        scheduler::JobNumber,
    },
    id,
    voter::command::{Key, Mark},
};

/// Time after a sound answer in which its keys are not convicted.
const PROVEN_TTL: Duration = Duration::from_secs(60);
/// Number of keys that are remembered as sound; the one that was sound longest ago is forgotten.
const MAX_PROVEN: usize = 4096;
/// Number of suspected keys above which those with the least evidence are dropped.
const MAX_SUSPECTS: usize = 4096;
/// Number of suspected keys that are left then.
const SUSPECTS_KEPT: usize = 3072;
/// Time without a further crash after which a suspicion is dropped.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// Time for which the requests that had begun on a crashed replica are remembered.
const CRASH_TTL: Duration = Duration::from_secs(30);

/// Limits of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Crashes with no sound answer in between that convict a part, if they were at different times,
    /// or a request.
    pub conviction_crashes: u32,
    /// Time after a crash in which a request that alone had begun on that replica is not tried again.
    /// By then the replica is usually back, so that a small service does not lose all its replicas.
    pub sole_suspect_pause: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            conviction_crashes: 3,
            sole_suspect_pause: Duration::from_secs(4),
        }
    }
}

/// Whether a request may be assigned to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// None of its keys is suspected.
    Free,
    /// A key is suspected: the request may only run while no other request with that key does.
    Trial,
    /// A key is suspected, and the outcome of a request with it is not known yet, or its last crash
    /// is not over.
    Wait,
    /// A key is convicted.
    Barred,
}

/// Suspected and convicted keys.
#[derive(Debug, Default)]
pub struct Ledger {
    config: Config,
    suspects: BTreeMap<Key, Suspect>,
    /// When each key last had a sound answer. They are suspected again, but not convicted.
    proven: BTreeMap<Key, Instant>,
    /// Suspected keys that have had a trial.
    tried: BTreeSet<Key>,
    /// Crashed replicas: when, and which requests had just begun there, two at the most.
    crashed: BTreeMap<id::Upstream, (Instant, BTreeSet<id::RequestDigest>)>,
    /// Keys whose mark has changed since the last [`Ledger::take_changes`].
    changed: BTreeSet<Key>,
}

impl Ledger {
    /// Creates a ledger that goes on from the replicated marks.
    pub fn new(config: Config, marks: &BTreeMap<Key, Mark>, now: Instant) -> Self {
        let suspect = |mark: &Mark| Suspect {
            crashes: mark.crashes,
            crashes_by_request: BTreeMap::new(),
            crash_times: 1,
            convicted: mark.convicted,
            last_crash: now,
            last_replica: id::Upstream::new(),
            counted_until: Some(now),
            sole_crashes: 0,
            replicas: BTreeSet::new(),
            services: mark.services.iter().cloned().collect(),
            companions: None,
            trial: None,
        };
        let suspects = marks.iter().map(|(key, mark)| (*key, suspect(mark)));
        Self {
            config,
            suspects: suspects.collect(),
            proven: BTreeMap::new(),
            tried: BTreeSet::new(),
            crashed: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Whether nothing is suspected or convicted.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a replica crashed when it had just begun to answer a request, and the trials that
    /// ran on it.
    pub fn accuse(&mut self, accusation: &Accusation, now: Instant) {
        let silence = Duration::from_millis(accusation.silent_ms);
        let crashed_at = now.checked_sub(silence).unwrap_or(now);
        self.record_replica(accusation, crashed_at);
        let mut keys: BTreeSet<Key> = accusation.keys().collect();
        self.keep_convicted(&mut keys);
        let is_unproven = |key: &&Key| !key.is_request() && !self.is_proven(**key, crashed_at);
        let crash = Crash {
            accusation,
            is_sole: keys.iter().filter(is_unproven).count() == 1,
            at: crashed_at,
        };
        let companions = Arc::new(keys.clone());
        // The request comes first: once it is convicted, its parts are not accused.
        let request = accusation.digest.map(Key::Request);
        if let Some(request) = request.filter(|request| keys.contains(request)) {
            self.record_crash(request, &crash, Some(&companions));
            self.keep_convicted(&mut keys);
            keys.remove(&request);
        }
        for key in keys {
            self.record_crash(key, &crash, Some(&companions));
        }
        let suspects = &self.suspects;
        self.tried.retain(|key| suspects.contains_key(key));
        let on_trial = self.tried.iter().copied().filter(|key| {
            let trial = suspects.get(key).and_then(|suspect| suspect.trial.as_ref());
            trial.is_some_and(|trial| trial.ran_until(&accusation.upstream, crashed_at))
        });
        let on_trial: Vec<Key> = on_trial.collect();
        for key in on_trial {
            let crash = Crash {
                is_sole: false,
                ..crash
            };
            self.record_crash(key, &crash, None);
        }
        self.drop_excess();
    }

    /// Keeps only the convicted keys if there are any: they explain the crash.
    fn keep_convicted(&self, keys: &mut BTreeSet<Key>) {
        if keys.iter().any(|key| self.is_convicted(*key)) {
            keys.retain(|key| self.is_convicted(*key));
        }
    }

    /// Remembers which requests had just begun on a crashed replica.
    fn record_replica(&mut self, accusation: &Accusation, crashed_at: Instant) {
        if !self.crashed.contains_key(&accusation.upstream) {
            self.crashed
                .retain(|_, (at, _)| crashed_at < *at + CRASH_TTL);
        }
        let entry = self.crashed.entry(accusation.upstream.clone());
        let (_, requests) = entry.or_insert_with(|| (crashed_at, BTreeSet::new()));
        if requests.len() < 2 {
            requests.extend(accusation.digest);
        }
    }

    fn is_proven(&self, key: Key, now: Instant) -> bool {
        let proven_at = self.proven.get(&key);
        proven_at.is_some_and(|at| now < *at + PROVEN_TTL)
    }

    fn is_convicted(&self, key: Key) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|suspect| suspect.convicted)
    }

    fn record_crash(
        &mut self,
        key: Key,
        crash: &Crash<'_>,
        companions: Option<&Arc<BTreeSet<Key>>>,
    ) {
        let accusation = crash.accusation;
        let is_proven = self.is_proven(key, crash.at);
        let suspect = self.suspects.entry(key).or_insert_with(|| Suspect {
            crashes: 0,
            crashes_by_request: BTreeMap::new(),
            crash_times: 0,
            convicted: false,
            last_crash: crash.at,
            last_replica: id::Upstream::new(),
            counted_until: None,
            sole_crashes: 0,
            replicas: BTreeSet::new(),
            services: BTreeSet::new(),
            companions: companions.cloned(),
            trial: None,
        });
        if let (Some(known), Some(companions)) = (&mut suspect.companions, companions)
            && !Arc::ptr_eq(known, companions)
        {
            let common = known.intersection(companions);
            *known = Arc::new(common.copied().collect());
        }
        if !suspect.count(key, crash) {
            return;
        }
        self.changed.insert(key);
        let (crashes, replica) = (suspect.crashes, &accusation.upstream);
        let request = &accusation.request;
        if suspect.convicted || is_proven || !suspect.is_guilty(key, &self.config) {
            let text = format!("crashes={crashes} upstream={replica} request={request}");
            match key {
                Key::Part(_) => emit!(PART_SUSPECTED, "part={key} {text}"),
                Key::Request(_) => emit!(REQUEST_SUSPECTED, "key={key} {text}"),
            }
            return;
        }
        suspect.convicted = true;
        let replicas: Vec<&str> = suspect.replicas.iter().map(String::as_str).collect();
        let replicas = replicas.join(",");
        let text = format!("crashes={crashes} upstreams={replicas} request={request}");
        match key {
            Key::Part(_) => emit!(PART_CONVICTED, "part={key} {text}"),
            Key::Request(_) => emit!(REQUEST_CONVICTED, "key={key} {text}"),
        }
        self.drop_companions(key);
    }

    /// Drops suspicions that a convicted key explains: all accused requests with the suspected key
    /// had the convicted one too.
    fn drop_companions(&mut self, convicted: Key) {
        let changed = &mut self.changed;
        self.suspects.retain(|key, suspect| {
            let companions = suspect.companions.as_ref();
            let explained = companions.is_some_and(|others| others.contains(&convicted));
            let keep = suspect.convicted || !explained;
            if !keep {
                changed.insert(*key);
            }
            keep
        });
    }

    fn drop_excess(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let excess = self.suspects.len() - SUSPECTS_KEPT;
        let unconvicted = self.suspects.iter().filter(|(_, one)| !one.convicted);
        let rank = |(key, one): (&Key, &Suspect)| (one.crashes, one.last_crash, *key);
        let mut ranked: Vec<_> = unconvicted.map(rank).collect();
        ranked.sort_unstable();
        for (_, _, key) in ranked.into_iter().take(excess) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Key) {
        if self.suspects.remove(&key).is_some() {
            self.changed.insert(key);
        }
    }

    /// Clears a key that had a sound answer: replicas of that service do not crash on it.
    pub fn clear(&mut self, sound: &SoundKey, now: Instant) {
        let key = sound.key();
        let age = Duration::from_millis(sound.age_ms);
        let began_at = now.checked_sub(age).unwrap_or(now);
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        if began_at + CLEARING_WINDOW < suspect.last_crash {
            return;
        }
        suspect.services.remove(&sound.service);
        if suspect.services.is_empty() {
            self.proven.insert(key, now);
            if self.proven.len() > MAX_PROVEN {
                let oldest = self.proven.iter().min_by_key(|(_, at)| **at);
                let oldest = oldest.map(|(key, _)| *key);
                oldest.map(|key| self.proven.remove(&key));
            }
            let text = format!(
                "crashes={} convicted={}",
                suspect.crashes, suspect.convicted
            );
            match key {
                Key::Part(_) => emit!(PART_CLEARED, "part={key} {text}"),
                Key::Request(_) => emit!(REQUEST_CLEARED, "key={key} {text}"),
            }
            self.remove(key);
        }
    }

    /// Drops a key that an operator has lifted.
    pub fn lift(&mut self, key: Key) {
        self.remove(key);
    }

    /// Drops suspicions that have not been confirmed for long.
    pub fn expire(&mut self, now: Instant) {
        let expired = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.convicted && now >= suspect.last_crash + SUSPICION_TTL);
        let expired: Vec<Key> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.remove(key);
        }
    }

    /// Whether a request with these keys may be sent to a replica now.
    pub fn ruling(&self, keys: &[Key], now: Instant) -> Ruling {
        if self.suspects.is_empty() {
            return Ruling::Free;
        }
        let mut ruling = Ruling::Free;
        for key in keys {
            let Some(suspect) = self.suspects.get(key) else {
                continue;
            };
            if suspect.convicted {
                return Ruling::Barred;
            }
            let held_until = self.held_until(*key, suspect);
            let is_settled = held_until.is_some_and(|until| now >= until);
            ruling = match (is_settled, ruling) {
                (true, Ruling::Free | Ruling::Trial) => Ruling::Trial,
                _ => Ruling::Wait,
            };
        }
        ruling
    }

    /// Time until which no request with a suspected key may be sent; `None` while one runs.
    fn held_until(&self, key: Key, suspect: &Suspect) -> Option<Instant> {
        let paused_until = match key {
            Key::Request(_) if self.is_sole_suspect(suspect) => {
                suspect.last_crash + self.config.sole_suspect_pause
            }
            _ => suspect.last_crash,
        };
        match &suspect.trial {
            Some(trial) => Some(trial.settled_at()?.max(paused_until)),
            None => Some(paused_until),
        }
    }

    /// Whether no other request had just begun on the replica that crashed last.
    fn is_sole_suspect(&self, suspect: &Suspect) -> bool {
        let crash = self.crashed.get(&suspect.last_replica);
        crash.is_some_and(|(_, requests)| requests.len() <= 1)
    }

    /// Time until a request with these keys may be sent, if no request with them runs now.
    pub fn wait(&self, keys: &[Key], now: Instant) -> Duration {
        let suspects = keys.iter().filter_map(|key| {
            let suspect = self.suspects.get(key)?;
            Some(self.held_until(*key, suspect))
        });
        let waits = suspects
            .map(|until| until.map_or(SETTLING_TIME, |until| until.saturating_duration_since(now)));
        waits.max().unwrap_or_default()
    }

    /// Whether a request with these keys may not be sent until after a time.
    pub fn holds_until(&self, keys: &[Key], time: Instant, now: Instant) -> bool {
        !self.suspects.is_empty() && now + self.wait(keys, now) > time
    }

    /// Suspected keys among those of a request.
    pub fn suspected<'a>(&'a self, keys: &'a [Key]) -> impl Iterator<Item = Key> + 'a {
        let keys = keys.iter().copied();
        keys.filter(|key| self.suspects.contains_key(key))
    }

    /// Records that a request with suspected keys was sent to a replica.
    pub fn begin_trial(&mut self, keys: &[Key], number: JobNumber, replica: &str) {
        for key in keys {
            let Some(suspect) = self.suspects.get_mut(key) else {
                continue;
            };
            let unresolved = suspect
                .trial
                .as_ref()
                .map_or(0, |trial| trial.unresolved + 1);
            self.tried.insert(*key);
            suspect.trial = Some(Trial {
                number,
                replica: replica.to_owned(),
                ended_at: None,
                unresolved,
            });
        }
    }

    /// Records that an assigned request has ended.
    pub fn end_trial(&mut self, number: JobNumber, now: Instant) {
        let trials = self
            .suspects
            .values_mut()
            .filter_map(|one| one.trial.as_mut());
        for trial in trials.filter(|trial| trial.number == number) {
            trial.ended_at.get_or_insert(now);
        }
    }

    /// Mark of one key; one without crashes if it is not suspected.
    fn mark(&self, key: Key) -> Mark {
        let mark = Mark::cleared(key);
        match self.suspects.get(&key) {
            Some(suspect) => Mark {
                crashes: suspect.crashes,
                convicted: suspect.convicted,
                services: suspect.services.iter().cloned().collect(),
                ..mark
            },
            None => mark,
        }
    }

    /// Marks of everything that is suspected or convicted.
    pub fn marks(&self) -> impl Iterator<Item = Mark> {
        self.suspects.keys().map(|key| self.mark(*key))
    }

    /// Marks that have changed since the last call. One without crashes stands for a key that is no
    /// longer suspected.
    pub fn take_changes(&mut self) -> Vec<Mark> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|key| self.mark(key)).collect()
    }

    /// Marks that must be replicated and differ from the replicated ones. Most requests with one crash
    /// are bystanders, so they are left out.
    pub fn unreplicated(&self, replicated: &BTreeMap<Key, Mark>) -> Vec<Mark> {
        let known = |mark: &Mark| replicated.get(&mark.key()) == Some(mark);
        let is_kept = |mark: &Mark| !mark.is_request || mark.crashes > 1;
        let new = self.marks().filter(|mark| is_kept(mark) && !known(mark));
        let gone = replicated
            .keys()
            .filter(|key| !self.suspects.contains_key(key));
        let gone = gone.map(|key| self.mark(*key));
        new.chain(gone).collect()
    }
}
