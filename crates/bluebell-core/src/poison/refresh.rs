//! When the suspects of crashes are determined again. Answers the load of a mass crash: thousands of reports arrive within
//! seconds, and each determination goes through all of them. So it is done once for all reports that have arrived since the
//! last one, and for a tenth of the time as long as it takes less than 55 ms.

use std::time::Duration;

/// Pause before the suspects are determined again, as a multiple of the time that it took.
const PAUSE_FACTOR: u32 = 9;
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Decides when the suspects are determined again.
#[derive(Debug, Default)]
pub struct RefreshSchedule {
    has_changed: bool,
    next_at: Duration,
}

impl RefreshSchedule {
    /// Records that reports have changed.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Whether the suspects are to be determined now.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        self.has_changed && now >= self.next_at
    }

    /// Records that the suspects were determined, from `started` to `now`.
    pub fn finish(&mut self, started: Duration, now: Duration) {
        let took = now.saturating_sub(started);
        *self = Self { has_changed: false, next_at: now + (took * PAUSE_FACTOR).min(MAX_PAUSE) };
    }
}
