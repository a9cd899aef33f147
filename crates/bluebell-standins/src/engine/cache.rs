//! A prefix cache of limited size with an event log that readers poll. Some events are lost.

use indexmap::IndexSet;
use serde::Serialize;

/// Size of a cached block in characters of the prompt.
const BLOCK_CHARS: usize = 64;
/// Maximum number of unread events; further ones are dropped.
const MAX_UNREAD_EVENTS: usize = 256;
/// Every event whose number is a multiple of this is dropped, so that readers have to handle gaps.
const DROP_INTERVAL: u64 = 16;

/// A block was added to the cache or evicted from it.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap shows that events were lost.
    number: u64,
    /// Hash of the prompt's prefix up to the end of the block.
    block: u64,
    /// Whether the block was added; false if it was evicted.
    stored: bool,
}

/// An LRU cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    // Least recently used first.
    blocks: IndexSet<u64>,
    events: Vec<CacheEvent>,
    last_number: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, blocks: IndexSet::new(), events: Vec::new(), last_number: 0 }
    }

    /// Looks up all blocks of a prompt and caches the missing ones; returns the number of misses.
    pub fn lookup(&mut self, prompt: &str) -> u32 {
        let chars: Vec<char> = prompt.chars().collect();
        let mut misses = 0;
        let mut prefix = String::new();
        for block in chars.chunks(BLOCK_CHARS) {
            prefix.extend(block);
            let hash = super::text::hash(&prefix, 0);
            if self.blocks.shift_remove(&hash) {
                self.blocks.insert(hash);
                continue;
            }
            misses += 1;
            self.insert(hash);
        }
        misses
    }

    /// Takes the events since the last call, without those that were lost.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn insert(&mut self, hash: u64) {
        self.blocks.insert(hash);
        self.record_event(hash, true);
        while self.blocks.len() > self.capacity {
            if let Some(oldest) = self.blocks.shift_remove_index(0) {
                self.record_event(oldest, false);
            }
        }
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.last_number += 1;
        if !self.last_number.is_multiple_of(DROP_INTERVAL) && self.events.len() < MAX_UNREAD_EVENTS {
            self.events.push(CacheEvent { number: self.last_number, block, stored });
        }
    }
}
