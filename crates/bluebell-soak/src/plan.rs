//! Plans of runs. A seed determines the fleet, the load, and the kind and time of each fault.

use std::time::Duration;

use bluebell_standins::{
    proxy::{LinkFault, LinkFaults},
    site::{Endless, Fault, StoreMode},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

/// Maximum number of gateways in a run of normal size.
const MAX_GATEWAYS: usize = 5;
/// Maximum number of gateways in a large run.
const MAX_GATEWAYS_LARGE: usize = 120;
/// Maximum number of upstreams per service, without the one of the new release.
const MAX_UPSTREAMS: usize = 5;
/// Mean time between the starts of two faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(6000);
/// Time for which an upstream names a rate limit: several windows in which its requests are counted.
const LIMIT_TIME: Duration = Duration::from_secs(12);
/// Changes the seed of the kinds of faults that were added later.
const LATER_KINDS: u64 = 0x6c69_6d69;
/// Time within which a roll-out has to be completed.
pub const ROLLOUT_TIME: Duration = Duration::from_secs(8);

/// Size of a run's fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetSize {
    /// A few processes.
    Normal,
    /// As many processes as one machine can run.
    Large,
}

/// A network link that goes through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// From callers to a gateway.
    Callers(usize),
    /// From other gateways to a gateway.
    Peers(usize),
    /// From a gateway to the store.
    Store(usize),
    /// From gateways to an upstream.
    Upstream(UpstreamIndex),
}

/// An upstream of the fleet, by its service and its number within the service. Unlike the upstream's id, it stays the
/// same when the upstream restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamIndex {
    /// An engine of the chat service.
    Chat(usize),
    /// An upstream of the ledger service.
    Ledger(usize),
}

/// A service of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// Streamed answers of model engines.
    Chat,
    /// Calls that are answered in one piece.
    Ledger,
}

impl Service {
    /// Its name in the declarations.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Chat => "chat",
            Self::Ledger => "ledger",
        }
    }
}

impl UpstreamIndex {
    /// The service to which it belongs.
    #[must_use]
    pub fn service(self) -> Service {
        match self {
            Self::Chat(_) => Service::Chat,
            Self::Ledger(_) => Service::Ledger,
        }
    }
}

/// A fault, or a planned operation, that is carried out during a run.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// A proxy injects network faults on a link.
    Link(Link, LinkFaults),
    /// A gateway is suspended and resumed.
    FreezeGateway(usize),
    /// A gateway is killed and restarted.
    KillGateway(usize),
    /// All gateways are killed at once and restarted.
    KillAllGateways,
    /// A gateway is asked to stop, and restarted.
    StopGateway(usize),
    /// A gateway is asked to reload its settings.
    ReloadGateway(usize),
    /// The store treats the calls of one gateway, or of all, in another way.
    StoreMode(Option<usize>, StoreMode),
    /// The store discards its change history.
    CompactStore,
    /// An API key is replaced by another.
    RotateKey,
    /// The declarations are updated many times in a row.
    ConfigBurst(u32),
    /// An upstream answers with a fault.
    Upstream(UpstreamIndex, Fault),
    /// All upstreams of a service answer with a fault.
    Service(Service, Fault),
    /// An upstream crashes with all its running requests, and restarts.
    CrashUpstream(UpstreamIndex),
    /// An upstream drains, stops and is replaced by another.
    DrainUpstream(UpstreamIndex),
    /// An upstream's address is registered for the other service, under another id.
    ReuseAddress(UpstreamIndex),
    /// The store goes away and comes back from a copy that is as old as the fault lasts.
    RestoreStore,
    /// An upstream names a rate limit, in requests per second.
    LimitUpstream(UpstreamIndex, f64),
    /// An upstream announces its departure in its answers only, stops and is replaced by another.
    LeaveUpstream(UpstreamIndex),
    /// A roll-out of a new release is started.
    Rollout {
        /// Whether all answers of the new release are errors.
        bad: bool,
    },
}

/// A fault and when it is injected.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// Time of its start, since the start of the run.
    pub at: Duration,
    /// How long it lasts, unless it is instantaneous or its kind has a fixed duration.
    pub duration: Duration,
    /// What is injected.
    pub kind: FaultKind,
}

/// A complete run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed from which all else follows.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines of the chat service, without the one of the new release.
    pub chat_upstreams: usize,
    /// Number of upstreams of the ledger service.
    pub ledger_upstreams: usize,
    /// Time between two events of a streamed answer.
    pub event_interval: Duration,
    /// Time that an upstream of the ledger service takes for a request.
    pub service_time: Duration,
    /// Number of callers, each of which sends one request at a time.
    pub callers: usize,
    /// Whether additional callers send poison requests, which crash each upstream that runs them.
    pub poison: bool,
    /// Number of events of a poison request's answer that are sent before the crash.
    pub poison_events: u64,
    /// Duration of the fault phase.
    pub fault_phase: Duration,
    /// The faults, ordered by start time.
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// Draws the plan of a seed.
    #[must_use]
    pub fn new(seed: u64, size: FleetSize, fault_phase: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let gateways = match size {
            FleetSize::Normal => random.random_range(2..=MAX_GATEWAYS),
            FleetSize::Large => random.random_range(MAX_GATEWAYS_LARGE / 2..=MAX_GATEWAYS_LARGE),
        };
        let mut plan = Self {
            seed,
            gateways,
            chat_upstreams: random.random_range(2..=MAX_UPSTREAMS),
            ledger_upstreams: random.random_range(2..=MAX_UPSTREAMS),
            event_interval: Duration::from_millis(random.random_range(10..100)),
            service_time: Duration::from_millis(random.random_range(0..150)),
            callers: random.random_range(12..=36),
            poison: random.random_bool(0.4),
            poison_events: random.random_range(0..4),
            fault_phase,
            faults: Vec::new(),
        };
        let mut at = Duration::from_millis(500);
        let rollout_at = random.random_bool(0.4).then(|| at + fault_phase.mul_f64(random.random_range(0.1..0.5)));
        if let Some(at) = rollout_at {
            let kind = FaultKind::Rollout { bad: random.random_bool(0.5) };
            plan.faults.push(ScheduledFault { at, duration: ROLLOUT_TIME, kind });
        }
        while at < fault_phase {
            let kind = plan.draw_fault(&mut random);
            let duration = random.random_range(Duration::from_millis(200)..MAX_FAULT_DURATION);
            let duration = duration.min(fault_phase.saturating_sub(at));
            plan.faults.push(ScheduledFault { at, duration, kind });
            // Exponentially distributed intervals: faults start as a Poisson process.
            at += MEAN_FAULT_INTERVAL.mul_f64(-random.random_range(f64::EPSILON..1.0).ln());
        }
        plan.add_later_kinds(seed);
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    fn draw_fault(&self, random: &mut StdRng) -> FaultKind {
        let gateway = random.random_range(0..self.gateways);
        let upstream = self.draw_upstream(random);
        match random.random_range(0..100) {
            0..24 => FaultKind::Link(self.draw_link(random), draw_link_faults(random)),
            24..28 => {
                let service = if random.random_bool(0.5) { Service::Chat } else { Service::Ledger };
                let faults = [Fault::Fails(500), Fault::LoseAnswer, Fault::Cut(2)];
                FaultKind::Service(service, faults.choose(random).cloned().unwrap_or(Fault::LoseAnswer))
            }
            28..34 => FaultKind::FreezeGateway(gateway),
            34..42 => FaultKind::KillGateway(gateway),
            42..43 => FaultKind::KillAllGateways,
            43..51 => FaultKind::StopGateway(gateway),
            51..53 => FaultKind::ReloadGateway(gateway),
            53..65 => FaultKind::StoreMode(random.random_bool(0.6).then_some(gateway), draw_store_mode(random)),
            65..67 => FaultKind::CompactStore,
            67..73 => FaultKind::RotateKey,
            73..75 => FaultKind::ConfigBurst(random.random_range(3..12)),
            75..87 => FaultKind::Upstream(upstream, draw_upstream_fault(random)),
            87..93 => FaultKind::CrashUpstream(upstream),
            93..98 => FaultKind::DrainUpstream(upstream),
            _ => FaultKind::ReuseAddress(upstream),
        }
    }

    // Kinds that were added later are drawn apart, so that a seed keeps its other faults.
    fn add_later_kinds(&mut self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed ^ LATER_KINDS);
        for _ in 0..random.random_range(0..=4) {
            let upstream = self.draw_upstream(&mut random);
            let kind = match random.random_range(0..5) {
                0 => FaultKind::RestoreStore,
                1 => FaultKind::LeaveUpstream(upstream),
                2 => {
                    let retry_after = vec![format!("{:.1}", random.random_range(0.5..2.5))];
                    FaultKind::Upstream(upstream, Fault::Pause { not_run: random.random_bool(0.5), retry_after })
                }
                _ => FaultKind::LimitUpstream(upstream, random.random_range(0.5..8.0)),
            };
            let duration = match kind {
                FaultKind::LimitUpstream(..) => LIMIT_TIME,
                _ => random.random_range(Duration::from_millis(500)..MAX_FAULT_DURATION),
            };
            let at = self.fault_phase.mul_f64(random.random_range(0.0..0.9));
            // The end of one limit would end the other one, too.
            let is_limited = |fault: &ScheduledFault| matches!(fault.kind, FaultKind::LimitUpstream(limited, _) if limited == upstream);
            if matches!(kind, FaultKind::LimitUpstream(..)) && self.faults.iter().any(is_limited) {
                continue;
            }
            self.faults.push(ScheduledFault { at, duration, kind });
        }
    }

    fn draw_upstream(&self, random: &mut StdRng) -> UpstreamIndex {
        if random.random_bool(0.5) {
            UpstreamIndex::Chat(random.random_range(0..self.chat_upstreams))
        } else {
            UpstreamIndex::Ledger(random.random_range(0..self.ledger_upstreams))
        }
    }

    fn draw_link(&self, random: &mut StdRng) -> Link {
        let gateway = random.random_range(0..self.gateways);
        // With poison requests, upstreams have no proxy: it accepts connections for a crashed upstream as well, and would
        // hide the crash.
        match random.random_range(0..if self.poison { 3 } else { 4 }) {
            0 => Link::Callers(gateway),
            1 => Link::Peers(gateway),
            2 => Link::Store(gateway),
            _ => Link::Upstream(self.draw_upstream(random)),
        }
    }
}

fn draw_link_faults(random: &mut StdRng) -> LinkFaults {
    let delay = Duration::from_millis(random.random_range(20..600));
    let faults = [
        LinkFault::Delay(delay),
        LinkFault::Delay(delay),
        LinkFault::Freeze,
        LinkFault::Cut,
        LinkFault::Discard,
        LinkFault::CutAfter(random.random_range(1..4000)),
        LinkFault::HalfClose,
    ];
    let fault = faults.choose(random).copied().unwrap_or_default();
    match random.random_range(0..4) {
        0 => LinkFaults { up: fault, down: LinkFault::None },
        1 => LinkFaults { up: LinkFault::None, down: fault },
        _ => LinkFaults::both(fault),
    }
}

fn draw_store_mode(random: &mut StdRng) -> StoreMode {
    let modes = [
        StoreMode::Busy,
        StoreMode::Reset,
        StoreMode::Silent,
        StoreMode::Lossy,
        StoreMode::Slow(random.random_range(50..1500)),
    ];
    modes.choose(random).copied().unwrap_or_default()
}

fn draw_upstream_fault(random: &mut StdRng) -> Fault {
    let parts = [Endless::Head, Endless::Headers, Endless::Interim, Endless::Body, Endless::Chunks, Endless::Lines];
    let faults = [
        Fault::NotRun,
        Fault::LoseAnswer,
        Fault::Cut(random.random_range(0..8)),
        Fault::CutUnframed(random.random_range(0..8)),
        Fault::OutOfSequence(random.random_range(0..8)),
        Fault::WrongId,
        Fault::SecondAnswer,
        Fault::Fails(500),
        Fault::Silent,
        Fault::Slow(Duration::from_millis(random.random_range(100..2000))),
        Fault::Paced(Duration::from_millis(random.random_range(20..400))),
        Fault::Confidence(random.random_range(0..100)),
        Fault::Endless(parts.choose(random).copied().unwrap_or(Endless::Body)),
    ];
    faults.choose(random).cloned().unwrap_or(Fault::LoseAnswer)
}
