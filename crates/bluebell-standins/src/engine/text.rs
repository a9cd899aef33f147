//! Deterministic answer texts: they depend only on the version, the prompt and whether the version is marked as bad.

use std::hash::{DefaultHasher, Hash, Hasher};

const WORDS: [&str; 16] = [
    "van", "book", "souk", "prism", "loan", "stop", "page", "lens", "tide", "argan", "reed", "bench", "ink", "atlas",
    "heron", "dune",
];

/// Prefix of each word of a bad answer.
const BAD_PREFIX: &str = "bad-";

/// Hashes a text and a position. The result is the same in every process of one build.
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
    prompt_tokens: u64,
    bad: bool,
}

impl Answer {
    /// Creates the answer of a version to a prompt, with this number of tokens; `bad` marks each word as bad.
    #[must_use]
    pub fn new(version: &str, prompt: &str, tokens: u64, bad: bool) -> Self {
        let words = prompt.split_whitespace().count() as u64;
        Self { seed: format!("{version}\n{prompt}"), tokens, prompt_tokens: words, bad }
    }

    /// Number of tokens of the answer.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Number of tokens of the prompt, one for each word.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    /// The text of the token at a position.
    #[must_use]
    pub fn token(&self, at: u64) -> String {
        let word = WORDS[hash(&self.seed, at) as usize % WORDS.len()];
        let prefix = if self.bad { BAD_PREFIX } else { "" };
        format!("{prefix}{word}{at} ")
    }

    /// The answer's text from the token at a position to its end.
    #[must_use]
    pub fn text(&self, from: u64) -> String {
        (from..self.tokens).map(|at| self.token(at)).collect()
    }

    /// The last events of a stream: finish reason with usage, then `[DONE]`.
    #[must_use]
    pub fn final_events(&self) -> String {
        let usage = serde_json::json!({
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {"prompt_tokens": self.prompt_tokens, "completion_tokens": self.tokens},
        });
        format!("data: {usage}\n\ndata: [DONE]\n\n")
    }
}

/// The stream event that carries a token.
#[must_use]
pub fn delta_event(token: &str) -> String {
    let event = serde_json::json!({"choices": [{"index": 0, "delta": {"content": token}}]});
    format!("data: {event}\n\n")
}

/// The last events of a stream that failed: an error, then `[DONE]`.
#[must_use]
pub fn error_events() -> String {
    let error = serde_json::json!({"error": {"message": "out of memory", "type": "server_error", "code": 500}});
    format!("data: {error}\n\ndata: [DONE]\n\n")
}
