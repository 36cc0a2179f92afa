//! Which beginnings of prompts a replica still keeps in its KV cache.
//!
//! A replica keeps the parts of the prompts that it has read until their memory is needed, and the
//! least recently used parts yield first. What was assigned to it since says which those are.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use tokio::time::{Duration, Instant};

use super::job::PromptPart;

/// Time for which a part is expected to be kept by a replica whose memory is unknown.
const UNKNOWN_LIFETIME: Duration = Duration::from_secs(15);
/// Most parts that are remembered of a replica.
const MAX_PARTS: usize = 8192;

/// A part that a replica has read.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// Hash of the adapter or base model that it was read for.
    adapter: u64,
    tokens: u32,
    /// Number of its last use.
    used: u64,
    used_at: Instant,
}

/// Parts that one replica is expected to keep.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, Kept>,
    /// Digests by the number of their last use, so that the least recently used one comes first.
    order: BTreeMap<u64, u64>,
    next_use: u64,
    /// Tokens of all parts.
    tokens: u64,
}

impl PromptCache {
    /// Tokens of the longest beginning of a prompt that is kept. `capacity` is the replica's memory in
    /// tokens; zero if unknown.
    pub fn kept_tokens(&self, parts: &[PromptPart], capacity: u32, now: Instant) -> u32 {
        let is_kept = |part: &&PromptPart| {
            let kept = self.parts.get(&part.digest);
            kept.is_some_and(|kept| capacity > 0 || now < kept.used_at + UNKNOWN_LIFETIME)
        };
        let kept = parts.iter().take_while(is_kept);
        kept.fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Records a use of all parts of a prompt that is read for an adapter, or for the base model.
    pub fn touch(&mut self, adapter: Option<&str>, parts: &[PromptPart], now: Instant) {
        let adapter = hash(adapter);
        // The last part comes first, since a part is of no use without those before it.
        for part in parts.iter().rev() {
            let used = self.next_use;
            self.next_use += 1;
            let kept = Kept {
                adapter,
                tokens: part.tokens,
                used,
                used_at: now,
            };
            if let Some(before) = self.parts.insert(part.digest, kept) {
                self.order.remove(&before.used);
                self.tokens -= u64::from(before.tokens);
            }
            self.order.insert(used, part.digest);
            self.tokens += u64::from(part.tokens);
        }
        while self.parts.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Drops the least recently used parts for which running requests leave no room. `running` is
    /// their memory in tokens besides the parts.
    pub fn shrink(&mut self, capacity: u32, running: u64) {
        let room = u64::from(capacity).saturating_sub(running);
        while capacity > 0 && self.tokens > room {
            self.evict();
        }
    }

    /// Drops all parts that were read for an adapter, since the replica unloads it or loads another version.
    pub fn forget(&mut self, adapter: &str) {
        let adapter = hash(Some(adapter));
        let dropped = self.parts.extract_if(|_, kept| kept.adapter == adapter);
        for (_, kept) in dropped {
            self.order.remove(&kept.used);
            self.tokens -= u64::from(kept.tokens);
        }
    }

    fn evict(&mut self) {
        if let Some((_, digest)) = self.order.pop_first()
            && let Some(kept) = self.parts.remove(&digest)
        {
            self.tokens -= u64::from(kept.tokens);
        }
    }
}

fn hash(adapter: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    adapter.hash(&mut hasher);
    hasher.finish()
}
