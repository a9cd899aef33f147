//! Load of the control thread: how long events wait for it, and what it spends its time on. A gateway with little processor
//! time may receive changes in time and apply them late; this tells the two apart.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::metrics::GatewayMetrics;

/// Wait of an event from which the control thread counts as behind.
const LATE_AFTER: Duration = Duration::from_millis(500);
/// Shortest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What the control thread has done since the last report.
#[derive(Debug, Default)]
pub(super) struct ControlLoad {
    // Time spent and number of events, by kind.
    spent: IndexMap<&'static str, (Duration, u32)>,
    longest_wait: Duration,
    reported_at: Duration,
}

impl ControlLoad {
    /// Records an event that was handled: its kind, the time for which it was queued, and the time that it took.
    pub(super) fn record(&mut self, kind: &'static str, waited: Duration, took: Duration) {
        let (time, count) = self.spent.entry(kind).or_default();
        *time += took;
        *count += 1;
        self.longest_wait = self.longest_wait.max(waited);
    }

    /// Updates the metrics, and logs what the thread is busy with if events have waited for long.
    pub(super) fn report(&mut self, now: Duration, queued: usize, metrics: &GatewayMetrics) {
        if now < self.reported_at + REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        let longest_wait = std::mem::take(&mut self.longest_wait);
        let spent = std::mem::take(&mut self.spent);
        for (kind, (time, _)) in &spent {
            metrics.record_control_time(kind, *time);
        }
        metrics.set_control_wait(longest_wait);
        let busiest = spent.iter().max_by_key(|(_, (time, _))| *time);
        if let Some((kind, (time, count))) = busiest.filter(|_| longest_wait >= LATE_AFTER) {
            let total: Duration = spent.values().map(|(time, _)| *time).sum();
            log::warn!(
                waited_ms = longest_wait.as_millis() as u64, queued = queued, busy_ms = total.as_millis() as u64,
                busiest = *kind, busiest_ms = time.as_millis() as u64, busiest_events = *count;
                "control thread is behind"
            );
        }
    }
}
