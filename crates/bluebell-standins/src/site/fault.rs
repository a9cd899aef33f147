//! How an upstream deviates from its usual answers: faults injected into single requests, and what it announces in all
//! answers.

use std::time::Duration;

use super::{endless::Endless, raw::RawAnswer, refusals::CopyTime};

/// A fault, or another deviation from the usual answer, that is injected into one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Rejects the request with 503 and `not-executed`.
    NotRun,
    /// Rejects the request likewise, and writes the same refusal once more.
    NotRunTwice(CopyTime),
    /// Rejects the request likewise and writes the same refusal once more, both without the request's id.
    NotRunTwiceWithoutId(CopyTime),
    /// Answers with 503 and asks for a pause; doesn't run the request.
    Pause {
        /// Whether it says `not-executed`.
        not_run: bool,
        /// Values of the `retry-after` headers.
        retry_after: Vec<String>,
    },
    /// Runs the request, then resets the connection without an answer.
    LoseAnswer,
    /// Closes the connection in the middle of an event, after this many complete ones; a plain service closes it in
    /// the middle of its body.
    Cut(u64),
    /// Streams a body that is delimited only by the end of the connection, and closes it in the middle of an event,
    /// after this many complete ones.
    CutUnframed(u64),
    /// After this many events, sends the next one together with an event whose id is out of sequence, and closes the
    /// connection.
    OutOfSequence(u64),
    /// Answers with a wrong request id.
    WrongId,
    /// Sends a second, unrequested answer after the complete one on the same connection.
    SecondAnswer,
    /// Runs the request and answers with this error status.
    Fails(u16),
    /// Runs the request and never answers.
    Silent,
    /// Delays the answer by this time.
    Slow(Duration),
    /// Sets the time between two events of the answer.
    Paced(Duration),
    /// Sends nothing for a while after this many events, then the rest of the answer.
    Stall {
        /// Number of events before the stall.
        after: u64,
        /// Its duration.
        time: Duration,
    },
    /// Sets the model's confidence, in per cent.
    Confidence(u8),
    /// Is not confident in the answers of this model, and rejects requests for others with 503 and `not-executed`.
    OnlyModel(String),
    /// Sends an unbounded answer until the caller closes the connection.
    Endless(Endless),
    /// Crashes the upstream after this many events; all its running requests are lost.
    Crash(u64),
    /// Sends these bytes as the answer.
    Raw(RawAnswer),
}

/// What an upstream says of itself in all its answers.
#[derive(Debug, Clone, Default)]
pub struct Announcement {
    pub(super) leaving: bool,
    pub(super) limit: Option<String>,
    pub(super) load: Option<String>,
}

impl Announcement {
    /// Its headers.
    #[must_use]
    pub fn headers(&self) -> Vec<(&str, &str)> {
        let leaving = self.leaving.then_some(("server-leaving", "1"));
        let limit = self.limit.as_deref().map(|limit| ("server-limit", limit));
        let load = self.load.as_deref().map(|load| ("server-load", load));
        leaving.into_iter().chain(limit).chain(load).collect()
    }
}
