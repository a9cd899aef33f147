//! When the suspects of crashes are determined again. Each determination goes through all reports, so it is done once for all
//! reports that have arrived since the last one.

use std::time::Duration;

/// Pause before the suspects are determined again, as a multiple of the time that it took. While many reports arrive, it
/// bounds the share of the control thread's time.
const REFRESH_PAUSE_FACTOR: u32 = 9;
/// Longest such pause.
const MAX_REFRESH_PAUSE: Duration = Duration::from_millis(500);

/// When the suspects are to be determined again.
#[derive(Debug, Default)]
pub(super) struct SuspectsState {
    has_changed: bool,
    next_at: Duration,
}

impl SuspectsState {
    /// Records that reports have changed.
    pub(super) fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Whether the suspects are to be determined now.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.has_changed && now >= self.next_at
    }

    /// Records that the suspects were determined, from `started` to `now`.
    pub(super) fn finish(&mut self, started: Duration, now: Duration) {
        let took = now.saturating_sub(started);
        *self = Self { has_changed: false, next_at: now + (took * REFRESH_PAUSE_FACTOR).min(MAX_REFRESH_PAUSE) };
    }
}
