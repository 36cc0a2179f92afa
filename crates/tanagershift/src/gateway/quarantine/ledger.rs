//! The leader's evidence against prompt parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::CLEARING_WINDOW;
use crate::{
    emit,
    gateway::{
        message::{Accusation, SoundPart},
        scheduler::JobNumber,
    },
    id,
    voter::command::Mark,
};

/// Crashes within this time of each other count as one: replicas that lose power together crash
/// together, whatever they run.
const COMMON_CAUSE_SPAN: Duration = Duration::from_millis(100);
/// Multiple of the configured crashes that convicts a part although other parts of the same requests
/// may be the cause.
const AMBIGUOUS_FACTOR: u32 = 2;
/// Time after a sound answer in which its parts are not convicted.
const PROVEN_TTL: Duration = Duration::from_secs(60);
/// Number of parts that are remembered as sound; the one that was sound longest ago is forgotten.
const MAX_PROVEN: usize = 4096;
/// Number of suspected parts above which those with the least evidence are dropped.
const MAX_SUSPECTS: usize = 4096;
/// Time without a further crash after which a suspicion is dropped.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// Time after the end of a trial in which its outcome is reported; no other trial begins in it. It
/// doubles with each trial that ends without an outcome.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Number of times that [`SETTLING_TIME`] doubles at most.
const MAX_SETTLING_DOUBLINGS: u32 = 5;

/// Limits of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Crashes at different times, with no sound answer in between, that convict a part.
    pub conviction_crashes: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            conviction_crashes: 3,
        }
    }
}

/// Whether a request may be assigned to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// None of its parts is suspected.
    Free,
    /// A part is suspected: the request may only run while no other request with that part does.
    Trial,
    /// A part is suspected, and the outcome of a request with it is not known yet.
    Wait,
    /// A part is convicted.
    Barred,
}

/// Evidence against one part.
#[derive(Clone, Debug)]
struct Suspect {
    crashes: u32,
    convicted: bool,
    last_crash: Instant,
    /// Crashes before this time are counted already, by an earlier leader.
    counted_until: Option<Instant>,
    /// Crashes on requests that had no other part which is not known to be sound.
    sole_crashes: u32,
    /// Runs of replicas that crashed on it.
    replicas: BTreeSet<id::Upstream>,
    /// Services of these replicas that have not answered such a request soundly since.
    services: BTreeSet<String>,
    /// Parts that every accused request with this part had; `None` for a restored suspicion.
    companions: Option<Arc<BTreeSet<id::PromptPart>>>,
    trial: Option<Trial>,
}

/// The last request with a suspected part that was assigned to a replica.
#[derive(Clone, Debug)]
struct Trial {
    number: JobNumber,
    replica: id::Upstream,
    ended_at: Option<Instant>,
    /// Earlier trials in a row that showed nothing.
    unresolved: u32,
}

impl Trial {
    /// Whether the request ran on a replica until about the time at which that crashed.
    fn ran_until(&self, replica: &str, crashed_at: Instant) -> bool {
        let ended_before = self
            .ended_at
            .is_some_and(|ended_at| ended_at + SETTLING_TIME < crashed_at);
        self.replica == replica && !ended_before
    }

    /// Time until which no other trial may begin; `None` while this one runs.
    fn settled_at(&self) -> Option<Instant> {
        let doublings = self.unresolved.min(MAX_SETTLING_DOUBLINGS);
        Some(self.ended_at? + SETTLING_TIME * 2_u32.pow(doublings))
    }
}

/// Suspected and convicted parts.
#[derive(Debug, Default)]
pub struct Ledger {
    config: Config,
    suspects: BTreeMap<id::PromptPart, Suspect>,
    /// When a sound answer last had each part. They are suspected again, but not convicted.
    proven: BTreeMap<id::PromptPart, Instant>,
    /// Parts whose mark has changed since the last [`Ledger::take_changes`].
    changed: BTreeSet<id::PromptPart>,
}

impl Ledger {
    /// Creates a ledger that goes on from the replicated marks.
    pub fn new(config: Config, marks: &BTreeMap<id::PromptPart, Mark>, now: Instant) -> Self {
        let suspect = |mark: &Mark| Suspect {
            crashes: mark.crashes,
            convicted: mark.convicted,
            last_crash: now,
            counted_until: Some(now),
            sole_crashes: 0,
            replicas: BTreeSet::new(),
            services: mark.services.iter().cloned().collect(),
            companions: None,
            trial: None,
        };
        let suspects = marks.iter().map(|(part, mark)| (*part, suspect(mark)));
        Self {
            config,
            suspects: suspects.collect(),
            proven: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Whether no part is suspected or convicted.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a replica crashed when it had just begun to answer a request, and the trials that
    /// ran on it.
    pub fn accuse(&mut self, accusation: &Accusation, now: Instant) {
        let silence = Duration::from_millis(accusation.silent_ms);
        let crashed_at = now.checked_sub(silence).unwrap_or(now);
        let mut parts: BTreeSet<id::PromptPart> = accusation.parts.iter().copied().collect();
        if parts.iter().any(|part| self.is_convicted(*part)) {
            // The convicted part explains the crash.
            parts.retain(|part| self.is_convicted(*part));
        }
        let unproven = parts
            .iter()
            .filter(|part| !self.is_proven(**part, crashed_at));
        let is_sole = unproven.count() == 1;
        let parts = Arc::new(parts);
        for part in parts.iter() {
            self.record_crash(*part, accusation, Some(&parts), is_sole, crashed_at);
        }
        let on_trial = self.suspects.iter().filter(|(_, suspect)| {
            let trial = suspect.trial.as_ref();
            trial.is_some_and(|trial| trial.ran_until(&accusation.upstream, crashed_at))
        });
        let on_trial: Vec<id::PromptPart> = on_trial.map(|(part, _)| *part).collect();
        for part in on_trial {
            self.record_crash(part, accusation, None, false, crashed_at);
        }
        self.drop_excess();
    }

    fn is_proven(&self, part: id::PromptPart, now: Instant) -> bool {
        let proven_at = self.proven.get(&part);
        proven_at.is_some_and(|at| now < *at + PROVEN_TTL)
    }

    fn is_convicted(&self, part: id::PromptPart) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|suspect| suspect.convicted)
    }

    fn record_crash(
        &mut self,
        part: id::PromptPart,
        accusation: &Accusation,
        companions: Option<&Arc<BTreeSet<id::PromptPart>>>,
        is_sole: bool,
        crashed_at: Instant,
    ) {
        let is_proven = self.is_proven(part, crashed_at);
        let suspect = self.suspects.entry(part).or_insert_with(|| Suspect {
            crashes: 0,
            convicted: false,
            last_crash: crashed_at,
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
        let is_counted = suspect
            .counted_until
            .is_some_and(|until| crashed_at < until);
        if is_counted || !suspect.replicas.insert(accusation.upstream.clone()) {
            return;
        }
        suspect.services.insert(accusation.service.clone());
        if let Some(trial) = &mut suspect.trial {
            trial.unresolved = 0;
        }
        let apart = |one: Instant, other: Instant| {
            one.saturating_duration_since(other) > COMMON_CAUSE_SPAN
                || other.saturating_duration_since(one) > COMMON_CAUSE_SPAN
        };
        if suspect.crashes > 0 && !apart(crashed_at, suspect.last_crash) {
            return;
        }
        suspect.crashes += 1;
        suspect.sole_crashes += u32::from(is_sole);
        suspect.last_crash = suspect.last_crash.max(crashed_at);
        self.changed.insert(part);
        let (crashes, replica) = (suspect.crashes, &accusation.upstream);
        let request = &accusation.request;
        let needed = match suspect.sole_crashes {
            0 => self.config.conviction_crashes * AMBIGUOUS_FACTOR,
            _ => self.config.conviction_crashes,
        };
        if suspect.convicted || is_proven || crashes < needed {
            emit!(
                PART_SUSPECTED,
                "part={part:x} crashes={crashes} upstream={replica} request={request}"
            );
            return;
        }
        suspect.convicted = true;
        let replicas: Vec<&str> = suspect.replicas.iter().map(String::as_str).collect();
        let replicas = replicas.join(",");
        emit!(
            PART_CONVICTED,
            "part={part:x} crashes={crashes} upstreams={replicas} request={request}"
        );
        self.drop_companions(part);
    }

    /// Drops suspicions that a convicted part explains: all accused requests with the suspected part
    /// had the convicted one too.
    fn drop_companions(&mut self, convicted: id::PromptPart) {
        let changed = &mut self.changed;
        self.suspects.retain(|part, suspect| {
            let companions = suspect.companions.as_ref();
            let explained = companions.is_some_and(|others| others.contains(&convicted));
            let keep = suspect.convicted || !explained;
            if !keep {
                changed.insert(*part);
            }
            keep
        });
    }

    fn drop_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let unconvicted = self.suspects.iter().filter(|(_, one)| !one.convicted);
        let rank = |(part, one): (&id::PromptPart, &Suspect)| (one.crashes, one.last_crash, *part);
        let mut ranked: Vec<_> = unconvicted.map(rank).collect();
        ranked.sort_unstable();
        for (_, _, part) in ranked.into_iter().take(excess) {
            self.remove(part);
        }
    }

    fn remove(&mut self, part: id::PromptPart) {
        if self.suspects.remove(&part).is_some() {
            self.changed.insert(part);
        }
    }

    /// Clears a part that a sound answer had: replicas of that service do not crash on it.
    pub fn clear(&mut self, sound: &SoundPart, now: Instant) {
        let age = Duration::from_millis(sound.age_ms);
        let began_at = now.checked_sub(age).unwrap_or(now);
        let Some(suspect) = self.suspects.get_mut(&sound.part) else {
            return;
        };
        if began_at + CLEARING_WINDOW < suspect.last_crash {
            return;
        }
        suspect.services.remove(&sound.service);
        if suspect.services.is_empty() {
            self.proven.insert(sound.part, now);
            if self.proven.len() > MAX_PROVEN {
                let oldest = self.proven.iter().min_by_key(|(_, at)| **at);
                let oldest = oldest.map(|(part, _)| *part);
                oldest.map(|part| self.proven.remove(&part));
            }
            emit!(
                PART_CLEARED,
                "part={:x} crashes={} convicted={}",
                sound.part,
                suspect.crashes,
                suspect.convicted
            );
            self.remove(sound.part);
        }
    }

    /// Drops a part that an operator has lifted.
    pub fn lift(&mut self, part: id::PromptPart) {
        self.remove(part);
    }

    /// Drops suspicions that have not been confirmed for long.
    pub fn expire(&mut self, now: Instant) {
        let expired = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.convicted && now >= suspect.last_crash + SUSPICION_TTL);
        let expired: Vec<id::PromptPart> = expired.map(|(part, _)| *part).collect();
        for part in expired {
            self.remove(part);
        }
    }

    /// Whether a request with these shareable parts may be assigned to a replica now.
    pub fn ruling(&self, parts: &[id::PromptPart], now: Instant) -> Ruling {
        if self.suspects.is_empty() {
            return Ruling::Free;
        }
        let mut ruling = Ruling::Free;
        for suspect in parts.iter().filter_map(|part| self.suspects.get(part)) {
            if suspect.convicted {
                return Ruling::Barred;
            }
            let trial = suspect.trial.as_ref();
            let settled = trial.is_none_or(|trial| {
                trial
                    .settled_at()
                    .is_some_and(|settled_at| now >= settled_at)
            });
            ruling = match (settled, ruling) {
                (true, Ruling::Free | Ruling::Trial) => Ruling::Trial,
                _ => Ruling::Wait,
            };
        }
        ruling
    }

    /// Suspected parts among those of a request.
    pub fn suspected<'a>(
        &'a self,
        parts: &'a [id::PromptPart],
    ) -> impl Iterator<Item = id::PromptPart> + 'a {
        let parts = parts.iter().copied();
        parts.filter(|part| self.suspects.contains_key(part))
    }

    /// Records that a request with suspected parts was assigned to a replica.
    pub fn begin_trial(&mut self, parts: &[id::PromptPart], number: JobNumber, replica: &str) {
        for part in parts {
            let Some(suspect) = self.suspects.get_mut(part) else {
                continue;
            };
            let unresolved = suspect
                .trial
                .as_ref()
                .map_or(0, |trial| trial.unresolved + 1);
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

    /// Mark of one part; one without crashes if it is not suspected.
    fn mark(&self, part: id::PromptPart) -> Mark {
        let suspect = self.suspects.get(&part);
        suspect.map_or_else(
            || Mark {
                part,
                ..Mark::default()
            },
            |suspect| Mark {
                part,
                crashes: suspect.crashes,
                convicted: suspect.convicted,
                services: suspect.services.iter().cloned().collect(),
            },
        )
    }

    /// Marks of all suspected and convicted parts.
    pub fn marks(&self) -> impl Iterator<Item = Mark> {
        self.suspects.keys().map(|part| self.mark(*part))
    }

    /// Marks that have changed since the last call. One without crashes stands for a part that is no
    /// longer suspected.
    pub fn take_changes(&mut self) -> Vec<Mark> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|part| self.mark(part)).collect()
    }

    /// Marks that differ from the replicated ones.
    pub fn unreplicated(&self, replicated: &BTreeMap<id::PromptPart, Mark>) -> Vec<Mark> {
        let known = |mark: &Mark| replicated.get(&mark.part) == Some(mark);
        let new = self.marks().filter(|mark| !known(mark));
        let gone = replicated
            .keys()
            .filter(|part| !self.suspects.contains_key(part));
        let gone = gone.map(|part| self.mark(*part));
        new.chain(gone).collect()
    }
}
