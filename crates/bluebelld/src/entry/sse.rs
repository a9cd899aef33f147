//! Formats answers as OpenAI-compatible chat completions, either as server-sent events or as a single JSON body.

use bluebell_core::ids::{RequestId, VersionId};
use bluebell_wire::messages::Usage;
use bytes::Bytes;
use serde::Serialize;

use super::request_error::RequestError;

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
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
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

/// Formats the chunks of an answer, each of which carries the request id and model version.
pub struct CompletionFormatter {
    /// Id of the request.
    pub request_id: RequestId,
    /// Model version that answers.
    pub version: VersionId,
}

fn usage_body(usage: &Usage) -> UsageBody {
    let total = usage.prompt + usage.output;
    UsageBody { prompt_tokens: usage.prompt.0, completion_tokens: usage.output.0, total_tokens: total.0 }
}

impl CompletionFormatter {
    fn completion<'a>(&'a self, object: &'a str, choice: Choice<'a>, usage: Option<&Usage>) -> Completion<'a> {
        Completion {
            id: self.request_id.as_str(),
            object,
            model: self.version.as_str(),
            choices: [choice],
            usage: usage.map(usage_body),
        }
    }

    /// Event with the next part of the text.
    pub fn delta_event(&self, text: &str) -> Bytes {
        let delta = Message { role: None, content: Some(text) };
        let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason: None };
        serialize_event(&self.completion("chat.completion.chunk", choice, None))
    }

    /// Final events of a complete answer: finish reason and usage, then `[DONE]`.
    pub fn final_events(&self, usage: &Usage) -> Bytes {
        let delta = Message { role: None, content: None };
        let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason: Some(&usage.reason) };
        let mut events = serialize_event(&self.completion("chat.completion.chunk", choice, Some(usage))).to_vec();
        events.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(events)
    }

    /// JSON body of a non-streaming response.
    pub fn full_response(&self, text: &str, usage: &Usage) -> Vec<u8> {
        let message = Message { role: Some("assistant"), content: Some(text) };
        let choice = Choice { index: 0, delta: None, message: Some(message), finish_reason: Some(&usage.reason) };
        serde_json::to_vec(&self.completion("chat.completion", choice, Some(usage))).unwrap_or_default()
    }
}

/// Event that ends an answer that can't be completed.
pub fn error_event(error: &RequestError) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", error.body()))
}

fn serialize_event(completion: &Completion<'_>) -> Bytes {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(b"data: ");
    if serde_json::to_writer(&mut out, completion).is_err() {
        unreachable!("strings and numbers can always be serialised as JSON");
    }
    out.extend_from_slice(b"\n\n");
    Bytes::from(out)
}
