//! Tests of which beginnings of prompts a replica is expected to keep.

use std::time::Duration;

use tokio::time::Instant;

use super::{job::PromptPart, prompt_cache::PromptCache};

fn prompt(digests: &[u64]) -> Vec<PromptPart> {
    let part = |digest: &u64| PromptPart {
        digest: *digest,
        tokens: 100,
    };
    digests.iter().map(part).collect()
}

/// A busy minute: shared beginnings that are used again stay, and the ends of old prompts yield.
#[test]
fn the_least_recently_used_parts_yield() {
    let (now, mut cache) = (Instant::now(), PromptCache::default());
    for own in 0..1000 {
        cache.touch(Some("m/a"), &prompt(&[1, 2, 100 + own]), now);
        cache.shrink(1000, 500);
    }
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2, 5000]), 1000, now), 200);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2, 1099]), 1000, now), 300);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2, 100]), 1000, now), 200);
}

/// A quiet replica keeps a prompt for as long as nothing needs the memory, also for minutes.
#[test]
fn parts_are_kept_while_there_is_memory() {
    let (now, mut cache) = (Instant::now(), PromptCache::default());
    cache.touch(Some("m/a"), &prompt(&[1, 2]), now);
    cache.shrink(1000, 700);
    let later = now + Duration::from_secs(600);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2]), 1000, later), 200);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2]), 0, later), 0, "unknown");
    // Many long requests run: the last part yields first.
    cache.shrink(1000, 850);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2]), 1000, later), 100);
    cache.shrink(1000, 5000);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2]), 1000, later), 0);
}

/// A part is of no use without those before it.
#[test]
fn only_whole_beginnings_count() {
    let (now, mut cache) = (Instant::now(), PromptCache::default());
    cache.touch(Some("m/a"), &prompt(&[1, 2, 3]), now);
    assert_eq!(cache.kept_tokens(&prompt(&[9, 2, 3]), 1000, now), 0);
    assert_eq!(cache.kept_tokens(&prompt(&[1, 9, 3]), 1000, now), 100);
}

/// Many prompts that nobody asks for again: what is remembered stays bounded.
#[test]
fn an_unknown_memory_is_bounded() {
    let (now, mut cache) = (Instant::now(), PromptCache::default());
    for digest in 0..20_000 {
        cache.touch(Some("m/a"), &prompt(&[digest]), now);
        cache.shrink(0, 100);
    }
    assert_eq!(cache.kept_tokens(&prompt(&[0]), 0, now), 0);
    assert_eq!(cache.kept_tokens(&prompt(&[19_999]), 0, now), 100);
}

/// Demand moves on: an adapter is unloaded, and what was kept for it is gone when it comes back.
#[test]
fn an_unloaded_adapter_takes_its_prompts_along() {
    let (now, mut cache) = (Instant::now(), PromptCache::default());
    cache.touch(Some("m/a"), &prompt(&[1, 2]), now);
    cache.touch(Some("m/b"), &prompt(&[11, 12]), now);
    cache.forget("m/a");
    assert_eq!(cache.kept_tokens(&prompt(&[1, 2]), 1000, now), 0);
    assert_eq!(cache.kept_tokens(&prompt(&[11, 12]), 1000, now), 200);
    cache.shrink(100, 0);
    assert_eq!(cache.kept_tokens(&prompt(&[11, 12]), 1000, now), 100);
}
