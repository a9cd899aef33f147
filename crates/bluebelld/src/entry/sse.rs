//! Answers in the form that callers know: chunks of a streamed completion, or one whole completion.

use bluebell_core::ids::{RequestId, VersionId};
use bluebell_wire::messages::Usage;
use bytes::Bytes;
use serde::Serialize;

use super::fault::Fault;

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Text<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Text<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Text<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Names that each chunk of an answer carries.
pub struct Naming {
    /// The request.
    pub request: RequestId,
    /// Version that answers.
    pub version: VersionId,
}

fn usage_body(usage: &Usage) -> UsageBody {
    let total = usage.prompt + usage.output;
    UsageBody { prompt_tokens: usage.prompt.0, completion_tokens: usage.output.0, total_tokens: total.0 }
}

impl Naming {
    fn completion<'a>(&'a self, object: &'a str, choice: Choice<'a>, usage: Option<&Usage>) -> Completion<'a> {
        Completion {
            id: self.request.as_str(),
            object,
            model: self.version.as_str(),
            choices: [choice],
            usage: usage.map(usage_body),
        }
    }

    /// Event with more text.
    pub fn delta(&self, text: &str) -> Bytes {
        let delta = Text { role: None, content: Some(text) };
        let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason: None };
        event(&self.completion("chat.completion.chunk", choice, None))
    }

    /// Events that end a whole answer.
    pub fn done(&self, usage: &Usage) -> Bytes {
        let delta = Text { role: None, content: None };
        let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason: Some(&usage.reason) };
        let mut events = event(&self.completion("chat.completion.chunk", choice, Some(usage))).to_vec();
        events.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(events)
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, usage: &Usage) -> Vec<u8> {
        let message = Text { role: Some("assistant"), content: Some(text) };
        let choice = Choice { index: 0, delta: None, message: Some(message), finish_reason: Some(&usage.reason) };
        serde_json::to_vec(&self.completion("chat.completion", choice, Some(usage))).unwrap_or_default()
    }
}

/// Event that ends an answer which can't be completed.
pub fn fault(fault: &Fault) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", fault.body()))
}

fn event(completion: &Completion<'_>) -> Bytes {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(b"data: ");
    if serde_json::to_writer(&mut out, completion).is_err() {
        unreachable!("text and numbers can always be written as JSON");
    }
    out.extend_from_slice(b"\n\n");
    Bytes::from(out)
}
