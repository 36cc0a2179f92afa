//! A gateway's copy of the marks, and what it has seen of prompt parts itself.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use super::CLEARING_WINDOW;
use crate::{
    gateway::message::{Accusation, SoundPart},
    id,
    voter::command::Mark,
};

/// Time for which an accusation is kept, to be sent again to a new leader.
const ACCUSATION_TTL: Duration = Duration::from_secs(30);
/// Number of accusations that are kept, the newest.
const MAX_ACCUSATIONS: usize = 256;
/// Time for which a sound part is remembered.
const SOUND_TTL: Duration = Duration::from_secs(10);
/// Number of remembered sound parts above which expired ones are removed.
const SOUND_CLEANUP_THRESHOLD: usize = 1024;
/// Number of remembered sound parts above which no further ones are remembered.
const MAX_SOUND: usize = 8192;

/// What is held against the parts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// A part may crash replicas; the request needs the leader's leave.
    Suspected,
    /// A part crashes replicas.
    Convicted,
}

/// A part that a sound answer had.
#[derive(Clone, Debug)]
struct Sound {
    service: String,
    began_at: Instant,
}

/// What one gateway knows of prompt parts.
#[derive(Debug, Default)]
pub struct Register {
    marks: BTreeMap<id::PromptPart, Standing>,
    accusations: VecDeque<(Instant, Accusation)>,
    sound: HashMap<id::PromptPart, Sound>,
    /// Marked parts that have proved sound, for the next tally.
    unreported: BTreeMap<id::PromptPart, Sound>,
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
                    self.marks.remove(&mark.part);
                    continue;
                }
                (_, true) => Standing::Convicted,
                (_, false) => Standing::Suspected,
            };
            self.marks.insert(mark.part, standing);
            if let Some(sound) = self.sound.get(&mark.part) {
                self.unreported.insert(mark.part, sound.clone());
            }
        }
    }

    /// Number of parts that are marked as suspected or convicted.
    pub fn count(&self, standing: Standing) -> usize {
        self.marks
            .values()
            .filter(|known| **known == standing)
            .count()
    }

    /// What the leader holds against a request with these shareable parts.
    pub fn standing(&self, parts: &[id::PromptPart]) -> Standing {
        if self.marks.is_empty() {
            return Standing::Clear;
        }
        let marks = parts.iter().filter_map(|part| self.marks.get(part));
        marks.copied().max().unwrap_or(Standing::Clear)
    }

    /// What is held against a request while no leader can be asked: the last known marks, but for
    /// parts that have proved sound here, and the accusations of this gateway.
    pub fn standing_alone(&self, parts: &[id::PromptPart], now: Instant) -> Standing {
        let standing = |part: &id::PromptPart| {
            let mark = self.marks.get(part).copied().unwrap_or(Standing::Clear);
            if mark == Standing::Convicted {
                return mark;
            }
            let accusations = self
                .accusations
                .iter()
                .filter(|(_, one)| one.parts.contains(part));
            let accused_at = accusations.map(|(at, _)| *at).max();
            let sound = self.sound.get(part).filter(|sound| {
                let accused_at = accused_at.unwrap_or(now);
                sound.began_at + CLEARING_WINDOW >= accused_at
            });
            match (sound, accused_at) {
                (Some(_), _) => Standing::Clear,
                (None, Some(at)) if now < at + ACCUSATION_TTL => Standing::Suspected,
                (None, _) => mark,
            }
        };
        parts.iter().map(standing).max().unwrap_or(Standing::Clear)
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

    /// Records that replicas of a service answer requests with these parts soundly. Returns whether
    /// the leader is to be told, since a part is marked.
    pub fn record_sound(
        &mut self,
        parts: &[id::PromptPart],
        service: &str,
        began_at: Instant,
        now: Instant,
    ) -> bool {
        if self.sound.len() > SOUND_CLEANUP_THRESHOLD {
            self.sound
                .retain(|_, sound| now < sound.began_at + SOUND_TTL);
        }
        let mut tell = false;
        for part in parts {
            let sound = Sound {
                service: service.to_owned(),
                began_at,
            };
            if self.marks.contains_key(part) {
                self.unreported.insert(*part, sound.clone());
                tell = true;
            }
            if self.sound.len() < MAX_SOUND || self.sound.contains_key(part) {
                self.sound.insert(*part, sound);
            }
        }
        tell
    }

    /// Whether the next tally has sound parts to report.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes the marked parts that have proved sound since the last call.
    pub fn take_sound(&mut self, now: Instant) -> Vec<SoundPart> {
        let unreported = std::mem::take(&mut self.unreported);
        let report = |(part, sound): (id::PromptPart, Sound)| SoundPart {
            part,
            service: sound.service,
            age_ms: now.saturating_duration_since(sound.began_at).as_millis() as u64,
        };
        unreported.into_iter().map(report).collect()
    }
}
