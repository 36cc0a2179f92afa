//! Parts of notices and tallies that hold what has changed.

use prost::Message;

use crate::gateway::message::{Counts, Upstream};

/// Counts at some of the upstreams of a list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct SparseCounts {
    /// Number of the upstream list that the positions refer to.
    #[prost(uint64, tag = "1")]
    pub list: u64,
    /// Positions in that list in ascending order, each as its distance from the one before, or from the
    /// start.
    #[prost(uint32, repeated, tag = "2")]
    pub steps: Vec<u32>,
    /// Count at each of the positions.
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
    /// Whether the counts at all other positions are zero; otherwise they are unchanged.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
}

impl SparseCounts {
    /// Creates counts from positions in ascending order.
    pub fn new(list: u64, counts: impl IntoIterator<Item = (usize, u32)>) -> Self {
        let mut sparse = Self {
            list,
            ..Self::default()
        };
        let mut last = 0;
        for (position, count) in counts {
            sparse.steps.push((position - last) as u32);
            sparse.counts.push(count);
            last = position;
        }
        sparse
    }

    /// Counts with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (usize, u32)> {
        let positions = self.steps.iter().scan(0_usize, |position, step| {
            *position = position.checked_add(*step as usize)?;
            Some(*position)
        });
        positions.zip(self.counts.iter().copied())
    }
}

impl From<&Counts> for SparseCounts {
    fn from(counts: &Counts) -> Self {
        let positions = counts.counts.iter().copied().enumerate();
        Self {
            is_whole: true,
            ..Self::new(counts.list, positions.filter(|(_, count)| *count > 0))
        }
    }
}

/// Changes from one upstream list to another.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ListChanges {
    /// Number of the list that they apply to.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Number of the list that they lead to.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Upstreams that are new or differ.
    #[prost(message, repeated, tag = "3")]
    pub changed: Vec<Upstream>,
    /// Names of the upstreams that are no longer listed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}
