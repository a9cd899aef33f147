//! Decides whether the end of an upstream's answer is also the end of its event stream.
//!
//! An answer with events that ends between two of them is complete: nothing else tells. An answer without any event may
//! also come from an upstream that failed just after its head. It is trusted if it is the first one and its end is
//! framed, as it is then the whole answer. When a stream is resumed after an event, all may have been delivered already;
//! a second answer without an event then confirms the first one.

use snafu::Snafu;

/// Reason why an answer does not end its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum EarlyEnd {
    /// The stream has no event at all, or its end is not framed.
    #[snafu(display("the answer ended without an event"))]
    NoEvent,
    /// A resumed stream ended without an event, which no other answer has confirmed yet.
    #[snafu(display("the resumed answer ended without an event, as no other one has yet"))]
    Unconfirmed,
}

/// An answer that ended between two events.
#[derive(Debug, Clone, Copy)]
pub struct EndedAnswer {
    /// Number of its events.
    pub events: u64,
    /// Id of the last event that the caller has received; zero if none.
    pub last: u64,
    /// Whether a length or chunks show that the answer is complete, rather than only the end of the connection.
    pub is_framed: bool,
}

/// Checks the ends of all answers to one request.
#[derive(Debug, Clone, Default)]
pub struct EndCheck {
    is_resumed: bool,
    // Whether a resumed answer has already ended without an event.
    is_empty_seen: bool,
}

impl EndCheck {
    /// Records that the stream broke off; the answers that follow resume it.
    pub fn record_break(&mut self) {
        self.is_resumed = true;
    }

    /// Checks an answer that ended between two events.
    ///
    /// # Errors
    /// If the stream may go on.
    pub fn check(&mut self, answer: EndedAnswer) -> Result<(), EarlyEnd> {
        if answer.events > 0 {
            return Ok(());
        }
        if !self.is_resumed {
            let may_be_whole = answer.is_framed || answer.last > 0;
            return if may_be_whole { Ok(()) } else { NoEventSnafu.fail() };
        }
        if answer.last == 0 || !answer.is_framed {
            return NoEventSnafu.fail();
        }
        if std::mem::replace(&mut self.is_empty_seen, true) { Ok(()) } else { UnconfirmedSnafu.fail() }
    }
}
