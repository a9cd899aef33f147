//! Capacity of one upstream: how fast it reads prompts and generates tokens in relation to the usual speed of its service.
//!
//! Addresses deployments whose upstreams differ in speed by a factor of two and run on shared machines whose speed changes
//! abruptly several times a second. Two figures are kept apart: the upstream's own speed, which is learnt from the timings
//! of its responses to this gateway and changes slowly, and the slowdown of its machine, which it reports and which is out
//! of date after some hundred milliseconds. A timing is corrected by the slowdown that was known when it was taken, so
//! that it doesn't matter whether the reported figure includes the lasting difference between machines.
//!
//! Timings are noisy, as responses wait in queues and share batches. All means are therefore taken of logarithms, and a
//! single timing moves a mean by a limited amount.

use std::time::Duration;

use indexmap::IndexMap;

use super::pick::PREFILL_TOKENS_PER_MS;
use crate::units::{Slowdown, Tokens};

/// Half-life of the weight of a reported slowdown. Machines change their speed every few hundred milliseconds.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);
/// Age of a report after which its slowdown is ignored: its weight is below 0.1% then.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_secs(3);
/// Shortest interval between reports that count towards the mean slowdown. Fast machines answer, and thus report, more
/// often than slow ones, which would bias the mean.
const MEAN_SLOWDOWN_INTERVAL: Duration = Duration::from_millis(100);

/// Fewest weighted prompt tokens of a response whose time to the first event counts. With fewer, that time shows the
/// network and the batch rather than the speed.
const MIN_PREFILL: Tokens = Tokens(256);
/// Time to the first event that is not due to prompts: the network and one step of the engine, in milliseconds.
const HEAD_BASE_MS: f64 = 6.0;
/// Shortest time that is taken for processing a prompt, in milliseconds.
const MIN_PREFILL_MS: f64 = 0.5;
/// Fewest events of a response whose time counts.
const MIN_EVENTS: u64 = 2;

/// Largest natural logarithm of an upstream's own speed, for a speed of 5 or a fifth; more is more likely due to faults
/// than to the machine.
const MAX_OWN_SPEED_LOG: f64 = 1.609;
/// Range of the speed at a moment.
const SPEED_RANGE: [f64; 2] = [0.05, 10.0];
/// Range of the usual rate of a service, in tokens per millisecond.
const RATE_RANGE: [f64; 2] = [1.0, 10_000.0];

/// Largest deviation from a mean, as a factor, with which a timing counts.
const MAX_DEVIATION: f64 = 2.0;
/// Weight of the assumption that an upstream is as fast as usual, in timings.
const OWN_SPEED_PRIOR: f64 = 2.0;
/// Number of timings over which an upstream's own speed is averaged.
const OWN_SPEED_SAMPLES: f64 = 40.0;
/// Weight of the starting value of a service's usual speed, in timings.
const USUAL_PRIOR: f64 = 4.0;
/// Number of timings over which a service's usual speed is averaged.
const USUAL_SAMPLES: f64 = 500.0;
/// Weight of the assumption that a machine is as fast as usual on average, in reports.
const SLOWDOWN_PRIOR: f64 = 4.0;
/// Number of reports over which the slowdown of a machine is averaged.
const SLOWDOWN_SAMPLES: f64 = 60.0;

/// Moving average of logarithms, in which a single value counts with a limited deviation.
#[derive(Debug, Clone, Copy)]
struct LogMean {
    mean: f64,
    weight: f64,
}

impl LogMean {
    const fn new(mean: f64, weight: f64) -> Self {
        Self { mean, weight }
    }

    // Values that are not finite are ignored.
    fn record(&mut self, log: f64, max_weight: f64) {
        if log.is_finite() {
            let limit = MAX_DEVIATION.ln();
            self.weight = (self.weight + 1.0).min(max_weight);
            self.mean += (log - self.mean).clamp(-limit, limit) / self.weight;
        }
    }
}

/// Usual speed of a service's upstreams, as learnt from all its responses to this gateway.
#[derive(Debug, Clone)]
pub struct UsualSpeed {
    // Logarithm of the tokens per millisecond.
    rate: LogMean,
    // Logarithm of the seconds per event, by kind of work.
    event_times: IndexMap<String, LogMean>,
}

impl Default for UsualSpeed {
    fn default() -> Self {
        Self { rate: LogMean::new(PREFILL_TOKENS_PER_MS.ln(), USUAL_PRIOR), event_times: IndexMap::new() }
    }
}

impl UsualSpeed {
    /// Weighted prompt tokens that an upstream of usual speed processes per millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate.mean.exp().clamp(RATE_RANGE[0], RATE_RANGE[1])
    }
}

/// Speed of one upstream.
#[derive(Debug, Clone)]
pub struct Capacity {
    // Logarithm of its speed relative to the usual one while its machine is not slowed down.
    own: LogMean,
    // Logarithm of the slowdown of its machine.
    mean_slowdown: LogMean,
    // Logarithm of the latest slowdown, and when it was reported.
    slowdown: Option<(f64, Duration)>,
    counted_at: Option<Duration>,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            own: LogMean::new(0.0, OWN_SPEED_PRIOR),
            mean_slowdown: LogMean::new(0.0, SLOWDOWN_PRIOR),
            slowdown: None,
            counted_at: None,
        }
    }
}

impl Capacity {
    /// Records the slowdown that the upstream's machine reports.
    pub fn record_report(&mut self, now: Duration, slowdown: Slowdown) {
        let log = slowdown.factor().ln();
        if !log.is_finite() {
            return;
        }
        self.slowdown = Some((log, now));
        if self.counted_at.is_none_or(|at| now >= at + MEAN_SLOWDOWN_INTERVAL) {
            self.mean_slowdown.record(log, SLOWDOWN_SAMPLES);
            self.counted_at = Some(now);
        }
    }

    /// Records the time from sending a request to the first event of its answer, which processing its own uncached prompt
    /// and those queued before it took. All tokens are weighted by model.
    pub fn record_head(
        &mut self,
        now: Duration,
        usual: &mut UsualSpeed,
        prefill: Tokens,
        queued: Tokens,
        took: Duration,
    ) {
        if prefill < MIN_PREFILL {
            return;
        }
        let tokens = prefill.0.saturating_add(queued.0) as f64;
        let millis = (took.as_secs_f64() * 1000.0 - HEAD_BASE_MS).max(MIN_PREFILL_MS);
        let rate = (tokens / millis).clamp(RATE_RANGE[0], RATE_RANGE[1]).ln() + self.slowdown_log(now);
        self.own.record(rate - usual.rate.mean, OWN_SPEED_SAMPLES);
        usual.rate.record(rate, USUAL_SAMPLES);
    }

    /// Records the time from the first to the last event of an answer. `count` is the number of events after the first.
    pub fn record_events(&mut self, usual: &mut UsualSpeed, kind: &str, count: u64, took: Duration) {
        if count < MIN_EVENTS || took.is_zero() {
            return;
        }
        // An answer takes longer than a reported slowdown is valid.
        let time = (took.as_secs_f64() / count as f64).ln() - self.mean_slowdown.mean;
        let usual = match usual.event_times.get_mut(kind) {
            Some(usual) => usual,
            None => usual.event_times.entry(kind.to_owned()).or_insert(LogMean::new(time, 0.0)),
        };
        self.own.record(usual.mean - time, OWN_SPEED_SAMPLES);
        usual.record(time, USUAL_SAMPLES);
    }

    /// Speed at this moment, relative to the usual speed of the service.
    #[must_use]
    pub fn speed(&self, now: Duration) -> f64 {
        (self.own_speed_log() - self.slowdown_log(now)).exp().clamp(SPEED_RANGE[0], SPEED_RANGE[1])
    }

    /// Mean speed over a longer time, relative to the usual speed of the service.
    #[must_use]
    pub fn mean_speed(&self) -> f64 {
        (self.own_speed_log() - self.mean_slowdown.mean).exp().clamp(SPEED_RANGE[0], SPEED_RANGE[1])
    }

    /// Time since the upstream's machine last reported its slowdown.
    #[must_use]
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.slowdown.map(|(_, at)| now.saturating_sub(at))
    }

    fn own_speed_log(&self) -> f64 {
        self.own.mean.clamp(-MAX_OWN_SPEED_LOG, MAX_OWN_SPEED_LOG)
    }

    // Logarithm of the slowdown expected at this moment: the reported one gives way to the mean as it ages.
    fn slowdown_log(&self, now: Duration) -> f64 {
        let mean = self.mean_slowdown.mean;
        let Some((log, at)) = self.slowdown else { return mean };
        let age = now.saturating_sub(at);
        if age >= MAX_SLOWDOWN_AGE {
            return mean;
        }
        let weight = (-age.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64()).exp2();
        mean + weight * (log - mean)
    }
}
