//! Pace of an upstream that started or recovered. A window limits this gateway's requests in progress there. It addresses
//! fleets of engines of uneven speed: a new engine looks idle, so without a limit all gateways send to it at once, before
//! anybody knows how fast it is.
//!
//! The window grows by one with each answer whose head comes as fast as usual, which doubles it per round. The first sign
//! of overload halves it; from then on it grows by one per round. Only answers to requests sent after the latest decrease
//! can decrease it again, as the earlier ones tell of the old window. The ramp-up ends when the window was not the
//! limit for a while, or has reached the slots of the upstream.

use std::time::Duration;

/// Lower bound of the window, in requests, and its size at the start.
const MIN_WINDOW: f64 = 1.0;
/// Factor by which a slow or failed answer decreases the window.
const DECREASE: f64 = 0.5;
/// Fraction of the window that must be in use for an answer to increase it; a window that isn't used proves nothing.
const MIN_UTILISATION: f64 = 0.5;
/// Time for which the window must not have kept requests away before the ramp-up ends.
const UNBOUND_PERIOD: Duration = Duration::from_secs(2);
/// Time without any sign from the upstream after which requests in progress no longer fill the window; it doubles each
/// time. It exceeds the time after which a silent request is taken over by another upstream.
const MIN_STALL: Duration = Duration::from_secs(3);
/// Upper bound of that time.
const MAX_STALL: Duration = Duration::from_secs(24);

/// Why an upstream is in ramp-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampCause {
    /// It started while traffic ran.
    Start,
    /// It was ejected because of failures.
    Ejection,
    /// It asked for a pause.
    Pause,
}

impl RampCause {
    /// Name for the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Ejection => "ejection",
            Self::Pause => "pause",
        }
    }
}

/// What a request shows about the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampSignal {
    /// The head of its answer came as fast as usual.
    OnPace,
    /// The head came later than usual, but not by enough to blame the window.
    Late,
    /// The head was several times slower than usual.
    Slow,
    /// No head came for long, until the request was given up.
    Silent,
    /// It failed or was refused.
    Failed,
}

/// A request about which something is known.
#[derive(Debug, Clone, Copy)]
pub struct RampSample {
    /// When it was sent.
    pub sent_at: Duration,
    /// What it shows.
    pub signal: RampSignal,
    /// Requests of this gateway in progress at the upstream, this one included.
    pub in_progress: u32,
    /// Requests that the upstream processes concurrently; zero if not known.
    pub slots: u32,
}

/// Change of a ramp-up's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampChange {
    /// A ramp-up begins after a recovery.
    Began(RampCause),
    /// A ramp-up ends.
    Ended(RampEnd),
}

/// What ended a ramp-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The window was not the limit for a while.
    Unbound,
    /// The window reached the slots of the upstream.
    AllSlots,
    /// The upstream was ejected or asked for a pause.
    Interrupted,
}

impl EndReason {
    /// Name for the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unbound => "unbound",
            Self::AllSlots => "all_slots",
            Self::Interrupted => "interrupted",
        }
    }
}

/// A ramp-up that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RampEnd {
    /// Why it had begun.
    pub cause: RampCause,
    /// What ended it.
    pub reason: EndReason,
    /// Its last window, in requests.
    pub window: u32,
    /// How long it took.
    pub took: Duration,
}

/// Window of an upstream in ramp-up.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    cause: RampCause,
    size: f64,
    began_at: Duration,
    decreased_at: Duration,
    // When the window last kept a request away.
    bound_at: Duration,
    // When a request was last sent, or the upstream last gave a sign.
    active_at: Duration,
    stall: Duration,
}

/// Ramp-up of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub enum RampUp {
    /// No limit.
    #[default]
    Inactive,
    /// Ejected or paused: the ramp-up begins at the first success. Until then, trial requests are the limit.
    Armed(RampCause),
    /// The window doubles per round.
    Doubling(Window),
    /// A sign of overload was seen: the window grows by one per round.
    Adjusting(Window),
}

impl RampUp {
    /// Begins a ramp-up with the smallest window.
    pub fn begin(&mut self, now: Duration, cause: RampCause) {
        *self = Self::Doubling(Window {
            cause,
            size: MIN_WINDOW,
            began_at: now,
            decreased_at: now,
            bound_at: now,
            active_at: now,
            stall: MIN_STALL,
        });
    }

    /// Records that the upstream was ejected or asked for a pause. Returns the ramp-up that this interrupts.
    pub fn arm(&mut self, now: Duration, cause: RampCause) -> Option<RampEnd> {
        let interrupted = self.active().map(|window| window.end(now, EndReason::Interrupted));
        *self = Self::Armed(cause);
        interrupted
    }

    /// Whether a window limits the requests in progress.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active().is_some()
    }

    /// Window in requests, if there is one.
    #[must_use]
    pub fn window(&self) -> Option<u32> {
        self.active().map(Window::requests)
    }

    /// Whether the window has room for another request, given those in progress. Requests at an upstream that gives no
    /// sign for long don't fill the window.
    #[must_use]
    pub fn has_room(&self, now: Duration, in_progress: u32) -> bool {
        self.active().is_none_or(|window| in_progress < window.requests() || window.is_stalled(now))
    }

    /// Records that the window kept a request away.
    pub fn record_full(&mut self, now: Duration) {
        if let Some(window) = self.active_mut() {
            window.bound_at = now;
        }
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Duration) {
        if let Some(window) = self.active_mut() {
            if window.is_stalled(now) {
                window.stall = (window.stall * 2).min(MAX_STALL);
            }
            window.active_at = now;
        }
    }

    /// Records what a request shows.
    pub fn record(&mut self, now: Duration, sample: &RampSample) -> Option<RampChange> {
        let is_success = matches!(sample.signal, RampSignal::OnPace | RampSignal::Late | RampSignal::Slow);
        match *self {
            Self::Inactive => None,
            Self::Armed(cause) if is_success => {
                self.begin(now, cause);
                Some(RampChange::Began(cause))
            }
            Self::Armed(_) => None,
            Self::Doubling(window) | Self::Adjusting(window) if sample.sent_at < window.began_at => None,
            Self::Doubling(window) => self.advance(now, window, sample, 1.0),
            Self::Adjusting(window) => self.advance(now, window, sample, 1.0 / window.size),
        }
    }

    fn advance(&mut self, now: Duration, mut window: Window, sample: &RampSample, step: f64) -> Option<RampChange> {
        if sample.signal != RampSignal::Silent {
            window.record_sign(now);
        }
        let mut has_decreased = matches!(self, Self::Adjusting(_));
        match sample.signal {
            RampSignal::OnPace | RampSignal::Late => {
                if sample.signal == RampSignal::OnPace {
                    window.increase(sample, step);
                }
                if let Some(reason) = window.end_reason(now, sample.slots) {
                    *self = Self::Inactive;
                    return Some(RampChange::Ended(window.end(now, reason)));
                }
            }
            RampSignal::Slow | RampSignal::Silent | RampSignal::Failed => has_decreased |= window.decrease(now, sample),
        }
        *self = if has_decreased { Self::Adjusting(window) } else { Self::Doubling(window) };
        None
    }

    fn active(&self) -> Option<&Window> {
        match self {
            Self::Inactive | Self::Armed(_) => None,
            Self::Doubling(window) | Self::Adjusting(window) => Some(window),
        }
    }

    fn active_mut(&mut self) -> Option<&mut Window> {
        match self {
            Self::Inactive | Self::Armed(_) => None,
            Self::Doubling(window) | Self::Adjusting(window) => Some(window),
        }
    }
}

impl Window {
    fn requests(&self) -> u32 {
        self.size as u32
    }

    fn is_stalled(&self, now: Duration) -> bool {
        now >= self.active_at + self.stall
    }

    fn record_sign(&mut self, now: Duration) {
        self.active_at = now;
        self.stall = MIN_STALL;
    }

    fn increase(&mut self, sample: &RampSample, step: f64) {
        if f64::from(sample.in_progress) >= MIN_UTILISATION * self.size {
            self.size += step;
        }
    }

    // Returns whether the window became smaller. At its minimum, it is not what makes the upstream slow.
    fn decrease(&mut self, now: Duration, sample: &RampSample) -> bool {
        self.bound_at = now;
        if sample.sent_at < self.decreased_at || self.size <= MIN_WINDOW {
            return false;
        }
        self.size = (self.size * DECREASE).max(MIN_WINDOW);
        self.decreased_at = now;
        true
    }

    fn end_reason(&self, now: Duration, slots: u32) -> Option<EndReason> {
        if slots > 0 && self.size >= f64::from(slots) {
            Some(EndReason::AllSlots)
        } else {
            (now >= self.bound_at + UNBOUND_PERIOD).then_some(EndReason::Unbound)
        }
    }

    fn end(&self, now: Duration, reason: EndReason) -> RampEnd {
        RampEnd { cause: self.cause, reason, window: self.requests(), took: now.saturating_sub(self.began_at) }
    }
}
