//! Differences between upstream lists.

use std::cmp::Ordering;

use prost::Message;

use super::message::ListChanges;
use crate::gateway::message::{List, Upstream};

impl ListChanges {
    /// Changes that lead from one list to another. Both are sorted by name.
    pub fn between(old: &List, new: &List) -> Self {
        let mut changes = Self {
            from: old.number,
            number: new.number,
            ..Self::default()
        };
        let mut known = old.upstreams.iter().peekable();
        for upstream in &new.upstreams {
            while let Some(gone) = known.next_if(|one| one.name < upstream.name) {
                changes.removed.push(gone.name.clone());
            }
            let same = known.next_if(|one| one.name.cmp(&upstream.name) == Ordering::Equal);
            if same != Some(upstream) {
                changes.changed.push(upstream.clone());
            }
        }
        changes.removed.extend(known.map(|gone| gone.name.clone()));
        changes
    }
}

/// Digest of a list without its number and without the models on its upstreams, which gateways learn from
/// residencies; zero for an empty list.
pub fn digest<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> u64 {
    let (mut checksum, mut length) = (0, 0);
    let mut text = Vec::new();
    for upstream in upstreams {
        let entry = Upstream {
            models: Vec::new(),
            ..upstream.clone()
        };
        text.clear();
        // Encoding into a vector cannot fail.
        let _ = entry.encode_length_delimited(&mut text);
        checksum = crc32c::crc32c_append(checksum, &text);
        length += text.len() as u64;
    }
    length << 32 | u64::from(checksum)
}
