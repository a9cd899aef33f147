//! Answers that depend only on version and prompt.

use std::hash::{DefaultHasher, Hash, Hasher};

const WORDS: [&str; 16] = [
    "van", "book", "souk", "prism", "loan", "stop", "page", "lens", "tide", "argan", "reed", "bench", "ink", "atlas",
    "heron", "dune",
];

/// Mark in the words of a bad answer.
const BAD_MARK: &str = "bad-";

/// A hash that is the same in every process of one build.
#[must_use]
pub fn hash(text: &str, at: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    at.hash(&mut hasher);
    hasher.finish()
}

/// An answer to a prompt.
#[derive(Debug, Clone)]
pub struct Answer {
    seed: String,
    tokens: u64,
    prompt: u64,
    bad: bool,
}

impl Answer {
    /// The answer of a version to a prompt, of so many tokens.
    #[must_use]
    pub fn new(version: &str, prompt: &str, tokens: u64, bad: bool) -> Self {
        let words = prompt.split_whitespace().count() as u64;
        Self { seed: format!("{version}\n{prompt}"), tokens, prompt: words, bad }
    }

    /// Number of tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Number of tokens of the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt
    }

    /// The token at a position.
    #[must_use]
    pub fn piece(&self, at: u64) -> String {
        let word = WORDS[hash(&self.seed, at) as usize % WORDS.len()];
        let mark = if self.bad { BAD_MARK } else { "" };
        format!("{mark}{word}{at} ")
    }

    /// The text from a position on.
    #[must_use]
    pub fn text(&self, from: u64) -> String {
        (from..self.tokens).map(|at| self.piece(at)).collect()
    }

    /// The last events of a stream.
    #[must_use]
    pub fn usage(&self) -> String {
        let usage = serde_json::json!({
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {"prompt_tokens": self.prompt, "completion_tokens": self.tokens},
        });
        format!("data: {usage}\n\ndata: [DONE]\n\n")
    }
}

/// The event that carries a token.
#[must_use]
pub fn delta_event(piece: &str) -> String {
    let event = serde_json::json!({"choices": [{"index": 0, "delta": {"content": piece}}]});
    format!("data: {event}\n\n")
}
