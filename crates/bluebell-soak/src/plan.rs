//! What a seed decides: the fleet, the load, and the faults with their times.

use std::time::Duration;

use bluebell_standins::{
    proxy::{LinkFault, LinkFaults},
    site::{Endless, Fault, StoreMode},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

/// Gateways of a run of usual size, at most.
const MAX_GATEWAYS: usize = 5;
/// Gateways of a large run, at most.
const MANY_GATEWAYS: usize = 120;
/// Upstreams of a service, at most.
const MAX_UPSTREAMS: usize = 5;
/// Mean time between two faults.
const FAULT_GAP: Duration = Duration::from_millis(700);
/// Longest fault.
const MAX_FAULT: Duration = Duration::from_millis(6000);
/// Time in which a roll-out has to be done.
pub const ROLLOUT_TIME: Duration = Duration::from_secs(8);

/// How many processes a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// A few.
    Usual,
    /// As many as a machine bears.
    Large,
}

/// A link that a proxy stands on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Callers to a gateway.
    Callers(usize),
    /// Other gateways to a gateway.
    Peers(usize),
    /// A gateway to the store.
    Store(usize),
    /// Gateways to an upstream.
    Upstream(Server),
}

/// An upstream of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Server {
    /// An engine of the chat service.
    Chat(usize),
    /// A runner of the ledger.
    Ledger(usize),
}

/// A service of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// Engines.
    Chat,
    /// Plain calls.
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

impl Server {
    /// The service that it runs.
    #[must_use]
    pub fn service(self) -> Service {
        match self {
            Self::Chat(_) => Service::Chat,
            Self::Ledger(_) => Service::Ledger,
        }
    }
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A link does harm.
    Link(Link, LinkFaults),
    /// A gateway is paused.
    Freeze(usize),
    /// A gateway is killed and comes back.
    Kill(usize),
    /// All gateways are killed at once.
    KillAll,
    /// A gateway is told to stop, and started again.
    Stop(usize),
    /// A gateway is told to read its settings again.
    Reload(usize),
    /// The store treats one gateway, or all, in another way.
    Door(Option<usize>, StoreMode),
    /// The store forgets its history.
    Compact,
    /// A caller's key is replaced by another.
    ChangeKey,
    /// The declarations change many times in a row.
    ConfigStorm(u32),
    /// An upstream answers falsely.
    Answers(Server, Fault),
    /// All upstreams of a service answer falsely.
    AllAnswer(Service, Fault),
    /// An upstream ends with all that it runs, and starts again.
    End(Server),
    /// An upstream leaves as planned; another comes in its place.
    Drain(Server),
    /// An upstream's address is listed for the other service, under another id.
    Reuse(Server),
    /// A new release is ordered.
    Rollout {
        /// Whether its answers fail.
        bad: bool,
    },
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    /// Time since the start of the run.
    pub at: Duration,
    /// How long it lasts, where it isn't over at once.
    pub length: Duration,
    /// What goes wrong.
    pub kind: Kind,
}

/// A whole run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// What decided it.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Engines of the chat service.
    pub chat: usize,
    /// Runners of the ledger.
    pub ledger: usize,
    /// Time between two events of an engine.
    pub pace: Duration,
    /// Time that a runner of the ledger takes.
    pub work: Duration,
    /// Callers that send one request after the other.
    pub callers: usize,
    /// Whether some callers send requests that end each upstream which runs them.
    pub poison: bool,
    /// Events that such a request gets before.
    pub poison_events: u64,
    /// Time of the faults.
    pub faults: Duration,
    /// The faults, in order.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// The run of a seed.
    #[must_use]
    pub fn new(seed: u64, size: Size, faults: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let gateways = match size {
            Size::Usual => random.random_range(2..=MAX_GATEWAYS),
            Size::Large => random.random_range(MANY_GATEWAYS / 2..=MANY_GATEWAYS),
        };
        let mut plan = Self {
            seed,
            gateways,
            chat: random.random_range(2..=MAX_UPSTREAMS),
            ledger: random.random_range(2..=MAX_UPSTREAMS),
            pace: Duration::from_millis(random.random_range(10..100)),
            work: Duration::from_millis(random.random_range(0..150)),
            callers: random.random_range(12..=36),
            poison: random.random_bool(0.4),
            poison_events: random.random_range(0..4),
            faults,
            troubles: Vec::new(),
        };
        let mut at = Duration::from_millis(500);
        let order = random.random_bool(0.4).then(|| at + faults.mul_f64(random.random_range(0.1..0.5)));
        if let Some(at) = order {
            let kind = Kind::Rollout { bad: random.random_bool(0.5) };
            plan.troubles.push(Trouble { at, length: ROLLOUT_TIME, kind });
        }
        while at < faults {
            let kind = plan.draw(&mut random);
            let length = random.random_range(Duration::from_millis(200)..MAX_FAULT).min(faults.saturating_sub(at));
            plan.troubles.push(Trouble { at, length, kind });
            at += FAULT_GAP.mul_f64(-random.random_range(f64::EPSILON..1.0).ln());
        }
        plan.troubles.sort_by_key(|trouble| trouble.at);
        plan
    }

    fn draw(&self, random: &mut StdRng) -> Kind {
        let gateway = random.random_range(0..self.gateways);
        let server = self.draw_server(random);
        match random.random_range(0..100) {
            0..24 => Kind::Link(self.draw_link(random), draw_harms(random)),
            24..28 => {
                let service = if random.random_bool(0.5) { Service::Chat } else { Service::Ledger };
                let faults = [Fault::Fails(500), Fault::LoseAnswer, Fault::Cut(2)];
                Kind::AllAnswer(service, faults.choose(random).cloned().unwrap_or(Fault::LoseAnswer))
            }
            28..34 => Kind::Freeze(gateway),
            34..42 => Kind::Kill(gateway),
            42..43 => Kind::KillAll,
            43..51 => Kind::Stop(gateway),
            51..53 => Kind::Reload(gateway),
            53..65 => Kind::Door(random.random_bool(0.6).then_some(gateway), draw_door(random)),
            65..67 => Kind::Compact,
            67..73 => Kind::ChangeKey,
            73..75 => Kind::ConfigStorm(random.random_range(3..12)),
            75..87 => Kind::Answers(server, draw_fault(random)),
            87..93 => Kind::End(server),
            93..98 => Kind::Drain(server),
            _ => Kind::Reuse(server),
        }
    }

    fn draw_server(&self, random: &mut StdRng) -> Server {
        if random.random_bool(0.5) {
            Server::Chat(random.random_range(0..self.chat))
        } else {
            Server::Ledger(random.random_range(0..self.ledger))
        }
    }

    fn draw_link(&self, random: &mut StdRng) -> Link {
        let gateway = random.random_range(0..self.gateways);
        // A proxy takes connections for an upstream that has ended, which hides its end.
        match random.random_range(0..if self.poison { 3 } else { 4 }) {
            0 => Link::Callers(gateway),
            1 => Link::Peers(gateway),
            2 => Link::Store(gateway),
            _ => Link::Upstream(self.draw_server(random)),
        }
    }
}

fn draw_harms(random: &mut StdRng) -> LinkFaults {
    let delay = Duration::from_millis(random.random_range(20..600));
    let harms = [
        LinkFault::Delay(delay),
        LinkFault::Delay(delay),
        LinkFault::Freeze,
        LinkFault::Cut,
        LinkFault::Discard,
        LinkFault::CutAfter(random.random_range(1..4000)),
        LinkFault::HalfClose,
    ];
    let harm = harms.choose(random).copied().unwrap_or_default();
    match random.random_range(0..4) {
        0 => LinkFaults { up: harm, down: LinkFault::None },
        1 => LinkFaults { up: LinkFault::None, down: harm },
        _ => LinkFaults::both(harm),
    }
}

fn draw_door(random: &mut StdRng) -> StoreMode {
    let doors = [
        StoreMode::Busy,
        StoreMode::Reset,
        StoreMode::Silent,
        StoreMode::Lossy,
        StoreMode::Slow(random.random_range(50..1500)),
    ];
    doors.choose(random).copied().unwrap_or_default()
}

fn draw_fault(random: &mut StdRng) -> Fault {
    let part = [Endless::Head, Endless::Headers, Endless::Interim, Endless::Body, Endless::Chunks, Endless::Lines];
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
        Fault::Endless(part.choose(random).copied().unwrap_or(Endless::Body)),
    ];
    faults.choose(random).cloned().unwrap_or(Fault::LoseAnswer)
}
