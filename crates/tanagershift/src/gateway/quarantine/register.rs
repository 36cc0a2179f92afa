//! A gateway's copy of the marks, and what it has seen of prompt parts and requests itself.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use super::CLEARING_WINDOW;
use crate::{
    gateway::message::{Accusation, SoundKey},
    voter::command::{Key, Mark},
};

/// Time for which an accusation is kept, to be sent again to a new leader.
const ACCUSATION_TTL: Duration = Duration::from_secs(30);
/// Number of accusations that are kept, the newest.
const MAX_ACCUSATIONS: usize = 256;
/// Time for which a sound key is remembered.
const SOUND_TTL: Duration = Duration::from_secs(10);
/// Time between two removals of expired sound keys.
const SOUND_CLEANUP_INTERVAL: Duration = Duration::from_secs(2);
/// Number of remembered sound keys above which no further ones are remembered.
const MAX_SOUND: usize = 8192;

/// What is held against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// It, or a part of its prompt, may crash replicas; it needs the leader's leave.
    Suspected,
    /// It, or a part of its prompt, crashes replicas.
    Convicted,
}

/// A key that had a sound answer.
#[derive(Clone, Debug)]
struct Sound {
    service: String,
    began_at: Instant,
}

/// What one gateway knows of prompt parts and requests.
#[derive(Debug, Default)]
pub struct Register {
    marks: BTreeMap<Key, Standing>,
    accusations: VecDeque<(Instant, Accusation)>,
    sound: HashMap<Key, Sound>,
    next_cleanup: Option<Instant>,
    /// Marked keys that have proved sound, for the next tally.
    unreported: BTreeMap<Key, Sound>,
}

impl Register {
    /// Replaces all marks by those of a newly found leader.
    pub fn replace(&mut self, marks: &[Mark]) {
        self.marks.clear();
        self.apply(marks);
    }

    /// Applies changed marks of the leader.
    pub fn apply(&mut self, marks: &[Mark]) {
        for mark in marks {
            let standing = match (mark.crashes, mark.convicted) {
                (0, _) => {
                    self.marks.remove(&mark.key());
                    continue;
                }
                (_, true) => Standing::Convicted,
                (_, false) => Standing::Suspected,
            };
            let key = mark.key();
            self.marks.insert(key, standing);
            if let Some(sound) = self.sound.get(&key) {
                self.unreported.insert(key, sound.clone());
            }
        }
    }

    /// Number of requests, or else of prompt parts, that are marked as suspected or convicted.
    pub fn count(&self, standing: Standing, is_request: bool) -> usize {
        let marks = self.marks.iter();
        let counted = marks.filter(|(key, _)| key.is_request() == is_request);
        counted.filter(|(_, known)| **known == standing).count()
    }

    /// What the leader holds against a request with these keys.
    pub fn standing(&self, keys: &[Key]) -> Standing {
        if self.marks.is_empty() {
            return Standing::Clear;
        }
        let marks = keys.iter().filter_map(|key| self.marks.get(key));
        marks.copied().max().unwrap_or(Standing::Clear)
    }

    /// What is held against a request while no leader can be asked: the last known marks, but for
    /// keys that have proved sound here, and the accusations of this gateway.
    pub fn standing_alone(&self, keys: &[Key], now: Instant) -> Standing {
        let standing = |key: &Key| {
            let mark = self.marks.get(key).copied().unwrap_or(Standing::Clear);
            if mark == Standing::Convicted {
                return mark;
            }
            let accusations = self
                .accusations
                .iter()
                .filter(|(_, one)| one.keys().any(|accused| accused == *key));
            let accused_at = accusations.map(|(at, _)| *at).max();
            let sound = self.sound.get(key).filter(|sound| {
                let accused_at = accused_at.unwrap_or(now);
                sound.began_at + CLEARING_WINDOW >= accused_at
            });
            match (sound, accused_at) {
                (Some(_), _) => Standing::Clear,
                (None, Some(at)) if now < at + ACCUSATION_TTL => Standing::Suspected,
                (None, _) => mark,
            }
        };
        keys.iter().map(standing).max().unwrap_or(Standing::Clear)
    }

    /// Keeps an accusation for leaders to come.
    pub fn accuse(&mut self, accusation: Accusation, now: Instant) {
        if self.accusations.len() >= MAX_ACCUSATIONS {
            self.accusations.pop_front();
        }
        self.accusations.push_back((now, accusation));
    }

    /// Accusations that a new leader must be sent, as old as they are now.
    pub fn accusations(&mut self, now: Instant) -> Vec<Accusation> {
        self.accusations
            .retain(|(at, _)| now < *at + ACCUSATION_TTL);
        let aged = |(at, accusation): &(Instant, Accusation)| Accusation {
            silent_ms: accusation.silent_ms + (now - *at).as_millis() as u64,
            ..accusation.clone()
        };
        self.accusations.iter().map(aged).collect()
    }

    /// Records that replicas of a service answer requests with these keys soundly. Returns whether
    /// the leader is to be told, since a key is marked.
    pub fn record_sound(
        &mut self,
        keys: &[Key],
        service: &str,
        began_at: Instant,
        now: Instant,
    ) -> bool {
        if self.next_cleanup.is_none_or(|next| now >= next) {
            self.next_cleanup = Some(now + SOUND_CLEANUP_INTERVAL);
            self.sound
                .retain(|_, sound| now < sound.began_at + SOUND_TTL);
        }
        let mut tell = false;
        for key in keys {
            let sound = Sound {
                service: service.to_owned(),
                began_at,
            };
            if self.marks.contains_key(key) {
                self.unreported.insert(*key, sound.clone());
                tell = true;
            }
            if self.sound.len() < MAX_SOUND || self.sound.contains_key(key) {
                self.sound.insert(*key, sound);
            }
        }
        tell
    }

    /// Whether the next tally has sound keys to report.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes the marked keys that have proved sound since the last call.
    pub fn take_sound(&mut self, now: Instant) -> Vec<SoundKey> {
        let unreported = std::mem::take(&mut self.unreported);
        let report = |(key, sound): (Key, Sound)| SoundKey {
            value: key.value(),
            is_request: key.is_request(),
            service: sound.service,
            age_ms: now.saturating_duration_since(sound.began_at).as_millis() as u64,
        };
        unreported.into_iter().map(report).collect()
    }
}
