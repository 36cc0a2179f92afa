//! The part of the replicated log that a member keeps in memory.

use std::collections::VecDeque;

use super::message::{Entry, Members, Snapshot};
use crate::id;

/// Limit on the entries that are kept although a snapshot covers them.
///
/// Members that lag only slightly are sent these instead of the whole snapshot.
const MAX_TRAILING_ENTRIES: u64 = 256;
/// Limit on the command bytes of the entries that are kept although a snapshot covers them.
const MAX_TRAILING_BYTES: usize = 1 << 20;

/// The newest snapshot, and the entries after `base`, some of which the snapshot may cover.
#[derive(Clone, Debug)]
pub struct Log {
    /// Index and term of the entry before the first of `entries`.
    base: (id::Index, id::Term),
    entries: VecDeque<Entry>,
    snapshot: Snapshot,
}

impl Log {
    /// Makes a log from a snapshot and the entries after `base`.
    pub fn new(snapshot: Snapshot, base: (id::Index, id::Term), entries: Vec<Entry>) -> Self {
        Self {
            base,
            entries: entries.into(),
            snapshot,
        }
    }

    /// Index and term of the entry before the first one that is kept.
    pub fn base(&self) -> (id::Index, id::Term) {
        self.base
    }

    /// The newest snapshot; at index zero it covers no entry and holds the membership with which
    /// the member was set up.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry; that of the base if no entry is kept.
    pub fn last_index(&self) -> id::Index {
        self.base.0 + self.entries.len() as u64
    }

    /// Term of the last entry; that of the base if no entry is kept.
    pub fn last_term(&self) -> id::Term {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Term of an entry; `None` if it was dropped or does not exist yet.
    pub fn term(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index; `None` if it was dropped or does not exist yet.
    pub fn get(&self, index: id::Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from an index on, limited by the bytes of their commands.
    ///
    /// The first entry is returned even if it is larger than the limit.
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

    /// Adds an entry; an existing entry at its index is removed along with all entries after it.
    pub fn push(&mut self, entry: Entry) {
        let keep = entry.index.saturating_sub(self.base.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.entries.push_back(entry);
    }

    /// Newest membership at or before an index, and the index of its entry or of the snapshot.
    pub fn members(&self, until: id::Index) -> (Members, id::Index) {
        let from_entries = self.entries.iter().rev().find_map(|entry| {
            let members = entry.members.as_ref()?;
            (entry.index <= until && entry.index > self.snapshot.index)
                .then(|| (members.clone(), entry.index))
        });
        from_entries.unwrap_or_else(|| (self.snapshot.members.clone(), self.snapshot.index))
    }

    /// Sets the snapshot and drops most of the entries that it covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let new_base = self.compacted_base(snapshot.index);
        if new_base > self.base.0
            && let Some(term) = self.term(new_base)
        {
            let dropped = new_base - self.base.0;
            self.entries.drain(..usize::try_from(dropped).unwrap_or(0));
            self.base = (new_base, term);
        }
        self.snapshot = snapshot;
    }

    /// Index of the base once the log is compacted with a snapshot at `snapshot_index`.
    fn compacted_base(&self, snapshot_index: id::Index) -> id::Index {
        let mut base = snapshot_index;
        let mut bytes = 0;
        while base > snapshot_index.saturating_sub(MAX_TRAILING_ENTRIES)
            && let Some(entry) = self.get(base)
        {
            bytes += entry.data.len();
            if bytes > MAX_TRAILING_BYTES {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Sets a snapshot received from the leader or read from the disk, which may conflict with the
    /// entries.
    ///
    /// All entries are dropped unless the log holds the last entry that the snapshot covers.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) != Some(snapshot.term) {
            self.entries.clear();
            self.base = (snapshot.index, snapshot.term);
        }
        self.snapshot = snapshot;
    }

    /// All entries that are kept, in order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
