//! Estimate of the prompt parts that an upstream still holds in its prefix cache, by model.

use std::time::Duration;

use indexmap::{Equivalent, IndexMap};

use crate::{
    ids::{ModelId, PartId},
    units::Tokens,
};

/// A contiguous part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: Tokens,
}

// Key of an entry, without copies of the ids. The hash of a struct is that of a tuple of its fields.
#[derive(Hash)]
struct PartKey<'a>(&'a ModelId, &'a PartId);

impl Equivalent<(ModelId, PartId)> for PartKey<'_> {
    fn equivalent(&self, (model, part): &(ModelId, PartId)) -> bool {
        self.0 == model && self.1 == part
    }
}

/// Estimated prefix cache of one upstream, ordered from least to most recently used.
#[derive(Debug, Clone, Default)]
pub struct PartCache {
    entries: IndexMap<(ModelId, PartId), (u64, Duration)>,
    tokens: u64,
}

impl PartCache {
    /// Estimated tokens of a prompt that the upstream can take from its cache. Only the leading cached parts count: the
    /// first part that is missing ends the reusable prefix.
    #[must_use]
    pub fn cached(&self, model: &ModelId, parts: &[Part]) -> Tokens {
        let is_cached = |part: &&Part| self.entries.contains_key(&PartKey(model, &part.id));
        Tokens(parts.iter().take_while(is_cached).map(|part| part.tokens.0).sum())
    }

    /// Records that the upstream processes a prompt, and evicts the least recently used parts while the total exceeds
    /// `memory`.
    pub fn insert(&mut self, now: Duration, model: &ModelId, parts: &[Part], memory: Tokens) {
        for part in parts {
            let key = (model.clone(), part.id.clone());
            if let Some((tokens, _)) = self.entries.shift_remove(&key) {
                self.tokens -= tokens;
            }
            self.entries.insert(key, (part.tokens.0, now));
            self.tokens += part.tokens.0;
        }
        while self.tokens > memory.0 {
            let Some((_, (tokens, _))) = self.entries.shift_remove_index(0) else { break };
            self.tokens -= tokens;
        }
    }
}
