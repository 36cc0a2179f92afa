//! Open requests at each upstream as the leader has told them to the gateways.

use std::collections::HashMap;

use super::message::SparseCounts;
use crate::gateway::message::{Counts, List};

/// Largest encoded size of one changed count.
const BYTES_PER_CHANGE: usize = 4;

/// Counts as the gateways know them, by position in the newest list.
#[derive(Debug, Default)]
pub struct ToldCounts {
    list: u64,
    counts: Vec<u32>,
    /// Position at which the next changes are looked for, if there were too many for one notice.
    next: usize,
}

impl ToldCounts {
    /// Moves the counts to the list that follows `old`.
    pub fn set_list(&mut self, old: &List, new: &List) {
        let names = old.upstreams.iter().map(|one| one.name.as_str());
        let told: HashMap<&str, u32> = names.zip(self.counts.iter().copied()).collect();
        let count = |name: &str| told.get(name).copied().unwrap_or(0);
        let names = new.upstreams.iter().map(|one| one.name.as_str());
        self.counts = names.map(count).collect();
        self.list = new.number;
        self.next = 0;
    }

    /// Counts that are not zero, for a gateway that knows none.
    pub fn all(&self) -> SparseCounts {
        let positions = self.counts.iter().copied().enumerate();
        SparseCounts {
            is_whole: true,
            ..SparseCounts::new(self.list, positions.filter(|(_, count)| *count > 0))
        }
    }

    /// Changed counts that fit into a number of bytes; the others follow in the next calls, one after the
    /// other. Those of `is_first`, by position, go before all others.
    pub fn take_changes(
        &mut self,
        counts: &Counts,
        is_first: impl Fn(usize) -> bool,
        max_bytes: usize,
    ) -> SparseCounts {
        if counts.list != self.list || counts.counts.len() != self.counts.len() {
            return SparseCounts::new(self.list, []);
        }
        let limit = (max_bytes / BYTES_PER_CHANGE).max(1);
        let length = self.counts.len();
        let differs = |position: &usize| self.counts[*position] != counts.counts[*position];
        let mut changed: Vec<usize> = (0..length)
            .filter(|position| is_first(*position))
            .filter(differs)
            .take(limit)
            .collect();
        let from_next = (self.next..length).chain(0..self.next.min(length));
        let others = from_next.filter(|position| !is_first(*position));
        changed.extend(others.filter(differs).take(limit - changed.len()));
        if changed.len() == limit {
            self.next = changed.last().map_or(0, |last| last + 1);
        }
        changed.sort_unstable();
        for position in &changed {
            self.counts[*position] = counts.counts[*position];
        }
        let changed = changed.into_iter();
        SparseCounts::new(self.list, changed.map(|at| (at, counts.counts[at])))
    }
}
