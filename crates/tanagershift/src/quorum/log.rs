//! The part of the log that a member keeps in memory.

use std::collections::VecDeque;

use super::message::{Entry, Members, Snapshot};
use crate::id;

/// Entries behind a snapshot that are kept for members that lag a little.
const TRAILING: u64 = 256;
/// Bytes of those entries.
const TRAILING_BYTES: usize = 1 << 20;

/// Entries after a base, and the newest snapshot.
#[derive(Clone, Debug)]
pub struct Log {
    base: (id::Index, id::Term),
    entries: VecDeque<Entry>,
    snapshot: Snapshot,
}

impl Log {
    /// Makes a log from what was recovered.
    pub fn new(snapshot: Snapshot, base: (id::Index, id::Term), entries: Vec<Entry>) -> Self {
        Self {
            base,
            entries: entries.into(),
            snapshot,
        }
    }

    /// Index and term before the first entry that is kept.
    pub fn base(&self) -> (id::Index, id::Term) {
        self.base
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> id::Index {
        self.base.0 + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> id::Term {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Term of an entry, if it is still known.
    pub fn term(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry, if it is kept.
    pub fn get(&self, index: id::Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from one index on, up to a size in bytes, at least one.
    pub fn slice(&self, from: id::Index, limit: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut found = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.data.len();
            if size > limit && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
            index += 1;
        }
        found
    }

    /// Adds an entry; one that stands at its place already is cut off with all behind it.
    pub fn push(&mut self, entry: Entry) {
        let keep = entry.index.saturating_sub(self.base.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.entries.push_back(entry);
    }

    /// Newest membership at or before an index, and the entry that states it.
    pub fn members(&self, until: id::Index) -> (Members, id::Index) {
        let stated = self.entries.iter().rev().find_map(|entry| {
            let members = entry.members.as_ref()?;
            (entry.index <= until && entry.index > self.snapshot.index)
                .then(|| (members.clone(), entry.index))
        });
        stated.unwrap_or_else(|| (self.snapshot.members.clone(), self.snapshot.index))
    }

    /// Takes a snapshot of applied entries and forgets most of them.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let keep_after = self.keep_after(snapshot.index);
        if keep_after > self.base.0
            && let Some(term) = self.term(keep_after)
        {
            let drop = keep_after - self.base.0;
            self.entries.drain(..usize::try_from(drop).unwrap_or(0));
            self.base = (keep_after, term);
        }
        self.snapshot = snapshot;
    }

    /// Index after which entries are kept beside a snapshot.
    fn keep_after(&self, index: id::Index) -> id::Index {
        let mut after = index;
        let mut bytes = 0;
        while after > index.saturating_sub(TRAILING)
            && let Some(entry) = self.get(after)
        {
            bytes += entry.data.len();
            if bytes > TRAILING_BYTES {
                break;
            }
            after -= 1;
        }
        after
    }

    /// Takes a leader's snapshot; entries that do not continue it are dropped.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) != Some(snapshot.term) {
            self.entries.clear();
            self.base = (snapshot.index, snapshot.term);
        }
        self.snapshot = snapshot;
    }

    /// Every entry that is kept.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
