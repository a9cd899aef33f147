//! Who uses the room under the rate limits of a service if all its upstreams have one. Answers an overload in which urgent
//! requests are refused: less urgent ones leave them the last room, but keep a small part of it.

use std::time::Duration;

/// Time after the refusal of an urgent request during which less urgent ones leave room.
const MEMORY: Duration = Duration::from_secs(5);
/// Room for requests from which on less urgent ones are sent.
const MIN_ROOM: usize = 2;
/// More urgent requests that are sent at most between two less urgent ones.
const MAX_PASSED: u32 = 9;

/// The order among the requests to one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct UrgencyOrder {
    // Rank of the most urgent request that was refused lately, and when.
    refused: Option<(u8, Duration)>,
    // Requests of that rank sent since the last less urgent one.
    passed: u32,
}

impl UrgencyOrder {
    /// Records that a request of a rank, of which zero is the most urgent, was refused for lack of room.
    pub fn record_refused(&mut self, now: Duration, rank: u8) {
        let most_urgent = self.most_urgent(now).map_or(rank, |known| known.min(rank));
        if most_urgent == rank {
            self.refused = Some((rank, now));
        }
    }

    /// Whether a request of a rank may be sent, if there is room for this many.
    #[must_use]
    pub fn admits(&self, now: Duration, rank: u8, room: usize) -> bool {
        let is_urgent = self.most_urgent(now).is_none_or(|urgent| rank <= urgent);
        is_urgent || room >= MIN_ROOM || self.passed >= MAX_PASSED
    }

    /// Records that a request of a rank is sent.
    pub fn record_sent(&mut self, now: Duration, rank: u8) {
        let is_urgent = self.most_urgent(now).is_some_and(|urgent| rank <= urgent);
        self.passed = if is_urgent { self.passed.saturating_add(1) } else { 0 };
    }

    fn most_urgent(&self, now: Duration) -> Option<u8> {
        self.refused.filter(|(_, at)| now < *at + MEMORY).map(|(rank, _)| rank)
    }
}
