//! A prefix cache of limited size, and its events, which are read late and with gaps.

use indexmap::IndexSet;
use serde::Serialize;

/// Characters of a prompt that share one cached block.
const BLOCK_CHARS: usize = 64;
/// Events kept until somebody reads them.
const KEPT_EVENTS: usize = 256;
/// One event in so many is lost.
const GAP: u64 = 16;

/// A block that came or went.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Position in the sequence of events; a gap shows that some were lost.
    number: u64,
    /// Hash of the prefix.
    block: u64,
    /// Whether it came.
    stored: bool,
}

/// Blocks of prompts, least recently used first.
#[derive(Debug)]
pub struct PrefixCache {
    size: usize,
    blocks: IndexSet<u64>,
    events: Vec<CacheEvent>,
    number: u64,
}

impl PrefixCache {
    /// A cache of so many blocks.
    pub fn new(size: usize) -> Self {
        Self { size, blocks: IndexSet::new(), events: Vec::new(), number: 0 }
    }

    /// Reads a prompt; gives the number of blocks that were not cached.
    pub fn read(&mut self, prompt: &str) -> u32 {
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
            self.store(hash);
        }
        misses
    }

    /// Events since the last call, without those that were lost.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn store(&mut self, hash: u64) {
        self.blocks.insert(hash);
        self.note(hash, true);
        while self.blocks.len() > self.size {
            if let Some(oldest) = self.blocks.shift_remove_index(0) {
                self.note(oldest, false);
            }
        }
    }

    fn note(&mut self, block: u64, stored: bool) {
        self.number += 1;
        if !self.number.is_multiple_of(GAP) && self.events.len() < KEPT_EVENTS {
            self.events.push(CacheEvent { number: self.number, block, stored });
        }
    }
}
