//! Simulation of gateways that send requests to upstreams, one of which starts or recovers. The gateways know each other's
//! load with a delay, and nothing of each other's windows. Time passes in steps of one millisecond.

use std::time::Duration;

use bluebell_core::{
    canary::PaceBaseline,
    placing::{Health, HealthEvent, Load, RampCause, RampSample, RampSignal, RampUp},
    units::Tokens,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Upstreams; the first one starts or recovers.
const UPSTREAMS: usize = 8;
/// Requests that an upstream runs concurrently, and those that it runs without slowing them down.
const SLOTS: u32 = 64;
const PARALLEL: f64 = 16.0;
/// Time that a request takes at an upstream of usual speed, and the time after which its head comes.
const WORK_MS: f64 = 100.0;
const HEAD_MS: f64 = 40.0;
/// Time that a request may take to be on time.
const TARGET_MS: u64 = 400;
/// Time that a failure takes, and time after which a silent request is given up.
const FAILURE_MS: u64 = 20;
const SILENCE_MS: u64 = 2000;
/// Load relative to what all upstreams but the first can take.
const UTILISATION: f64 = 0.7;
/// When the first upstream starts; when it breaks, and is well again, if it recovers.
const START_MS: u64 = 2000;
const BREAK_MS: u64 = 1500;
/// Time for which the first upstream is slow or failing after its start.
const DISTURBED_MS: u64 = 4000;
/// End of the time in which answers are counted.
const END_MS: u64 = 10_000;
/// Time between two exchanges of loads.
const EXCHANGE_MS: u64 = 50;
/// Pace of a head relative to the usual one up to which it increases the window, see `PaceBaseline::is_slow`.
const MARGIN: f64 = 2.0;
/// Length of the fixed slow start.
const SLOW_START_MS: u64 = 10_000;
/// Attempts at a request.
const ATTEMPTS: u32 = 3;

/// How requests are kept away from an upstream that started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Not at all.
    None,
    /// By a window that grows with time to the slots.
    Fixed,
    /// By the ramp-up.
    RampUp,
}

/// How the first upstream behaves after its start or recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// At an eighth of the usual speed for some seconds.
    Slow,
    /// At twice the usual speed.
    Fast,
    /// Half of its requests fail for some seconds.
    Failing,
    /// It gives no answers.
    Silent,
}

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    /// Number of gateways.
    pub gateways: usize,
    /// How requests are kept away.
    pub policy: Policy,
    /// How the first upstream behaves.
    pub kind: Kind,
    /// Whether it recovers, instead of starting.
    pub recovers: bool,
}

/// What callers got, and how the first upstream was used, from its start on.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Share of the requests that were answered on time.
    pub on_time: f64,
    /// Share of the capacity of the first upstream that was not used.
    pub idle: f64,
    /// Most requests at the first upstream at a time.
    pub peak: usize,
}

struct Request {
    gateway: usize,
    arrived: u64,
    sent: u64,
    attempts: u32,
    done: f64,
    fails_at: Option<u64>,
    has_head: bool,
}

#[derive(Default)]
struct View {
    load: Load,
    health: Health,
    ramp: RampUp,
    known_since: Option<u64>,
}

struct Fleet {
    play: Play,
    views: Vec<Vec<View>>,
    usual: Vec<PaceBaseline>,
    upstreams: Vec<Vec<Request>>,
    random: StdRng,
}

fn time(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Play {
    /// Simulates it with a seed.
    pub fn run(self, seed: u64) -> Outcome {
        let view = || (0..UPSTREAMS).map(|_| View::default()).collect();
        let mut fleet = Fleet {
            play: self,
            views: (0..self.gateways).map(|_| view()).collect(),
            usual: vec![PaceBaseline::default(); self.gateways],
            upstreams: (0..UPSTREAMS).map(|_| Vec::new()).collect(),
            random: StdRng::seed_from_u64(seed),
        };
        fleet.run()
    }

    // Speed of an upstream, relative to the usual one.
    fn speed(self, upstream: usize, now: u64) -> f64 {
        match self.kind {
            _ if upstream > 0 || now < START_MS => 1.0,
            Kind::Slow if now < START_MS + DISTURBED_MS => 0.125,
            Kind::Fast => 2.0,
            Kind::Silent => 0.0,
            Kind::Slow | Kind::Failing => 1.0,
        }
    }

    fn failure_rate(self, upstream: usize, now: u64) -> f64 {
        if upstream > 0 {
            0.0
        } else if self.recovers && (BREAK_MS..START_MS).contains(&now) {
            1.0
        } else if self.kind == Kind::Failing && (START_MS..START_MS + DISTURBED_MS).contains(&now) {
            0.5
        } else {
            0.0
        }
    }
}

impl Fleet {
    fn run(&mut self) -> Outcome {
        let rate = UTILISATION * (UPSTREAMS - 1) as f64 * PARALLEL / WORK_MS;
        let (mut answers, mut on_time, mut unanswered, mut used, mut peak) = (0_u32, 0_u32, 0, 0.0, 0);
        for now in 0..END_MS {
            if now == START_MS && !self.play.recovers {
                self.start_upstream(now);
            }
            if now.is_multiple_of(EXCHANGE_MS) {
                self.exchange(now);
            }
            // Bernoulli arrivals of up to four requests per step.
            for _ in 0..4 {
                if self.random.random_bool(rate / 4.0) {
                    let gateway = self.random.random_range(0..self.play.gateways);
                    unanswered += u32::from(!self.send(now, gateway, now, 0));
                }
            }
            let done = (0..UPSTREAMS).flat_map(|upstream| self.advance(now, upstream)).collect::<Vec<_>>();
            for request in done {
                if request.fails_at.is_some() {
                    let is_sent = request.attempts < ATTEMPTS
                        && self.send(now, request.gateway, request.arrived, request.attempts);
                    unanswered += u32::from(!is_sent);
                } else if request.arrived >= START_MS {
                    answers += 1;
                    on_time += u32::from(now - request.arrived <= TARGET_MS);
                }
            }
            if now >= START_MS {
                used += (self.upstreams[0].len() as f64 / PARALLEL).min(1.0);
                peak = peak.max(self.upstreams[0].len());
            }
        }
        // A request that is still running after its target is late.
        let late = self.upstreams.iter().flatten().filter(|one| one.arrived + TARGET_MS < END_MS).count();
        Outcome {
            on_time: f64::from(on_time) / f64::from(answers + late as u32 + unanswered),
            idle: 1.0 - used / (END_MS - START_MS) as f64,
            peak,
        }
    }

    fn start_upstream(&mut self, now: u64) {
        for views in &mut self.views {
            views[0] = View { known_since: Some(now), ..View::default() };
            if self.play.policy == Policy::RampUp {
                views[0].ramp.begin(time(now), RampCause::Start);
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        for upstream in 0..UPSTREAMS {
            let total: u32 = self.views.iter().map(|views| views[upstream].load.own_requests()).sum();
            for views in &mut self.views {
                let load = &mut views[upstream].load;
                load.apply_peer_load(time(now), total - load.own_requests(), Tokens(0));
            }
        }
    }

    // Sends a request to the least loaded upstream whose window has room, or of all if none has.
    fn send(&mut self, now: u64, gateway: usize, arrived: u64, attempts: u32) -> bool {
        let is_started = |upstream: usize| upstream > 0 || self.play.recovers || now >= START_MS;
        let at = time(now);
        let views = &mut self.views[gateway];
        let known: Vec<usize> = (0..UPSTREAMS).filter(|upstream| is_started(*upstream)).collect();
        let healthy: Vec<usize> =
            known.iter().copied().filter(|upstream| views[*upstream].health.is_available(at)).collect();
        let pool = if healthy.is_empty() { known } else { healthy };
        let mut room = Vec::new();
        for upstream in &pool {
            let view = &mut views[*upstream];
            let own = view.load.own_requests();
            let has_room = match (self.play.policy, view.known_since) {
                (Policy::Fixed, Some(since)) => {
                    let share = f64::from(SLOTS) / self.play.gateways as f64;
                    f64::from(own) < (share * (now - since) as f64 / SLOW_START_MS as f64).max(1.0)
                }
                _ => view.ramp.has_room(at, own),
            };
            if has_room {
                room.push(*upstream);
            } else {
                view.ramp.record_full(at);
            }
        }
        let pool = if room.is_empty() { pool } else { room };
        let random = &mut self.random;
        let costs =
            pool.iter().map(|upstream| (views[*upstream].load.requests(at) + random.random::<f64>(), *upstream));
        let Some((_, chosen)) = costs.min_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
        let view = &mut views[chosen];
        view.ramp.record_send(at);
        view.health.record_send(at);
        view.load.start_request(Tokens(0));
        let fails = self.random.random_bool(self.play.failure_rate(chosen, now));
        let is_silent = self.play.speed(chosen, now) == 0.0;
        let fails_at = if is_silent { Some(now + SILENCE_MS) } else { fails.then_some(now + FAILURE_MS) };
        let request =
            Request { gateway, arrived, sent: now, attempts: attempts + 1, done: 0.0, fails_at, has_head: false };
        self.upstreams[chosen].push(request);
        true
    }

    // Lets a millisecond pass at an upstream. Returns the requests that ended.
    fn advance(&mut self, now: u64, upstream: usize) -> Vec<Request> {
        let running = self.upstreams[upstream].len().min(SLOTS as usize);
        let step = self.play.speed(upstream, now) / (running as f64 / PARALLEL).max(1.0);
        let mut heads = Vec::new();
        for request in self.upstreams[upstream].iter_mut().take(SLOTS as usize) {
            request.done += step;
            if request.done >= HEAD_MS && request.fails_at.is_none() && !request.has_head {
                request.has_head = true;
                heads.push((request.gateway, request.sent));
            }
        }
        for (gateway, sent) in heads {
            self.record_head(now, gateway, upstream, sent);
        }
        let is_over = |request: &mut Request| match request.fails_at {
            Some(at) => now >= at,
            None => request.done >= WORK_MS,
        };
        let ended: Vec<Request> = self.upstreams[upstream].extract_if(.., is_over).collect();
        for request in &ended {
            let view = &mut self.views[request.gateway][upstream];
            if request.fails_at.is_some() {
                let is_silent = now - request.sent >= SILENCE_MS;
                let (event, signal) = if is_silent {
                    (HealthEvent::Lost, RampSignal::Silent)
                } else {
                    (HealthEvent::Failed, RampSignal::Failed)
                };
                let ejected = view.health.record(time(now), event);
                self.record(now, request.gateway, upstream, request.sent, signal);
                if ejected {
                    self.record_ejection(now, request.gateway, upstream);
                }
            } else {
                view.health.record(time(now), HealthEvent::Good);
            }
            let view = &mut self.views[request.gateway][upstream];
            view.load.finish_request();
            view.health.clear_trial();
        }
        ended
    }

    fn record_head(&mut self, now: u64, gateway: usize, upstream: usize, sent: u64) {
        let pace = (now - sent) as f64 / HEAD_MS;
        let usual = &mut self.usual[gateway];
        let signal = match () {
            () if usual.is_slow(pace) => RampSignal::Slow,
            () if usual.is_slow(pace * MARGIN) => RampSignal::Late,
            () => RampSignal::OnPace,
        };
        if !self.views[gateway][upstream].ramp.is_active() {
            usual.record(pace);
        }
        self.record(now, gateway, upstream, sent, signal);
        let view = &mut self.views[gateway][upstream];
        view.health.record(time(now), HealthEvent::Accepted);
    }

    fn record(&mut self, now: u64, gateway: usize, upstream: usize, sent: u64, signal: RampSignal) {
        let view = &mut self.views[gateway][upstream];
        let in_progress = view.load.own_requests();
        view.ramp.record(time(now), &RampSample { sent_at: time(sent), signal, in_progress, slots: SLOTS });
    }

    fn record_ejection(&mut self, now: u64, gateway: usize, upstream: usize) {
        let view = &mut self.views[gateway][upstream];
        match self.play.policy {
            Policy::None => {}
            Policy::Fixed => view.known_since = Some(now),
            Policy::RampUp => _ = view.ramp.arm(time(now), RampCause::Ejection),
        }
    }
}
