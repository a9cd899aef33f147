//! Parts of prompts that an upstream has read for a model and probably still keeps.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::{ModelId, PartId},
    units::Tokens,
};

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Its id.
    pub id: PartId,
    /// Its size.
    pub tokens: Tokens,
}

/// Parts kept by one upstream, oldest first.
#[derive(Debug, Clone, Default)]
pub struct PartCache {
    kept: IndexMap<(ModelId, PartId), (u64, Duration)>,
    tokens: u64,
}

impl PartCache {
    /// Tokens of a prompt that the upstream doesn't have to read, as far as known.
    #[must_use]
    pub fn cached(&self, model: &ModelId, parts: &[Part]) -> Tokens {
        let known = |part: &&Part| self.kept.contains_key(&(model.clone(), part.id.clone()));
        Tokens(parts.iter().take_while(known).map(|part| part.tokens.0).sum())
    }

    /// The upstream reads a prompt; the oldest parts yield beyond its memory.
    pub fn read(&mut self, now: Duration, model: &ModelId, parts: &[Part], memory: Tokens) {
        for part in parts {
            let key = (model.clone(), part.id.clone());
            if let Some((tokens, _)) = self.kept.shift_remove(&key) {
                self.tokens -= tokens;
            }
            self.kept.insert(key, (part.tokens.0, now));
            self.tokens += part.tokens.0;
        }
        while self.tokens > memory.0 {
            let Some((_, (tokens, _))) = self.kept.shift_remove_index(0) else { break };
            self.tokens -= tokens;
        }
    }
}
