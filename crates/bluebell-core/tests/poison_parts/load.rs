//! Simulation of a loaded service: four gateways, 18 upstreams with about 25 requests in flight each, and crashes caused
//! by a prompt part or by nothing in the requests.

use std::time::Duration;

use bluebell_core::{
    ids::InstanceId,
    poison::{AttemptOutcome, CrashReport, Crashes, Fingerprint, InFlightTracker, ResponseLoss, Suspects},
    upstreams::UpstreamIncarnation,
};
use indexmap::IndexSet;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{part, request};

/// Number of seeds for each scenario.
const SEEDS: u64 = 3;
const GATEWAYS: usize = 4;
const UPSTREAMS: usize = 18;
const STEP: Duration = Duration::from_millis(10);
/// Mean number of new sound requests in each step; with their mean duration, 25 are in flight at each upstream.
const SOUND_PER_STEP: f64 = 4.5;
/// Number of different second parts.
const SECOND_PARTS: f64 = 700.0;
/// Maximum number of attempts at a request.
const ATTEMPTS: u32 = 3;
/// Time from a crash to the restart.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// Time after the fifth crash in which sends are not counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of sends that the users' requirement allows after that time.
const MAX_LATE_SENDS: usize = 3;

/// What happens in a simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    first_parts: usize,
    /// Position of the poison part; none if there is no such part.
    poison_position: Option<usize>,
    /// Time until which the poison part is answered like any other.
    sound_until: Duration,
    /// Time between two requests with the poison part.
    poison_interval: Duration,
    /// Time between two crashes of several upstreams at once, without a cause in the requests.
    mass_interval: Option<Duration>,
    /// Number of upstreams that crash at once.
    mass_size: usize,
    duration: Duration,
}

const PART_ALONE: Scenario = Scenario {
    first_parts: 40,
    poison_position: Some(1),
    sound_until: Duration::ZERO,
    poison_interval: Duration::from_millis(150),
    mass_interval: None,
    mass_size: 0,
    duration: Duration::from_secs(30),
};

struct SimulatedRequest {
    causes: Vec<Fingerprint>,
    is_poison: bool,
    gateway: usize,
    upstream: usize,
    incarnation: UpstreamIncarnation,
    attempts: u32,
    ends_at: Duration,
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    now: Duration,
    trackers: Vec<InFlightTracker>,
    /// Crashes as known to all gateways.
    crashes: Crashes,
    suspects: Suspects,
    is_outdated: bool,
    /// Number of starts of each upstream, and the time until which it is down.
    upstreams: Vec<(u64, Duration)>,
    running: Vec<SimulatedRequest>,
    requests: usize,
    poison_sends: Vec<Duration>,
    poison_crashes: Vec<Duration>,
    sound: Vec<(Duration, bool)>,
    blocked: IndexSet<Fingerprint>,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(100),
            trackers: (0..GATEWAYS).map(|_| InFlightTracker::default()).collect(),
            crashes: Crashes::default(),
            suspects: Suspects::default(),
            is_outdated: false,
            upstreams: vec![(1, Duration::ZERO); UPSTREAMS],
            running: Vec::new(),
            requests: 0,
            poison_sends: Vec::new(),
            poison_crashes: Vec::new(),
            sound: Vec::new(),
            blocked: IndexSet::new(),
        }
    }

    fn incarnation(&self, upstream: usize) -> UpstreamIncarnation {
        let id = format!("u-{upstream}").parse().expect("an id");
        UpstreamIncarnation { upstream: id, started_at_ms: self.upstreams[upstream].0 }
    }

    fn run(&mut self) {
        let start = self.now;
        let (mut next_poison, mut next_mass) = (start + Duration::from_secs(5), start + Duration::from_secs(5));
        while self.now < start + self.scenario.duration {
            self.now += STEP;
            let count = SOUND_PER_STEP as usize + usize::from(self.random.random_bool(SOUND_PER_STEP.fract()));
            (0..count).for_each(|_| self.arrive(false));
            if self.scenario.poison_position.is_some() && self.now >= next_poison {
                next_poison += self.scenario.poison_interval;
                self.arrive(true);
            }
            if let Some(interval) = self.scenario.mass_interval.filter(|_| self.now >= next_mass) {
                next_mass += interval;
                for _ in 0..self.scenario.mass_size {
                    let upstream = self.random.random_range(0..UPSTREAMS);
                    self.crash(upstream);
                }
            }
            self.finish_requests(start);
            self.update();
        }
    }

    fn arrive(&mut self, is_poison: bool) {
        self.requests += 1;
        // Some parts are much more frequent than others.
        let second = (self.random.random_range(0.0..1.0_f64).powi(3) * SECOND_PARTS) as usize;
        let first = self.random.random_range(0..self.scenario.first_parts);
        let mut parts = [part(&format!("first-{first}")), part(&format!("second-{second}"))];
        if let Some(position) = self.scenario.poison_position.filter(|_| is_poison) {
            parts[position] = part("bad");
            parts[1 - position] = if position == 0 { parts[1] } else { part("first-0") };
        }
        let causes = [&[request(&format!("r-{}", self.requests))][..], &parts].concat();
        let gateway = self.random.random_range(0..GATEWAYS);
        self.send(causes, is_poison, gateway, 0);
    }

    // Sends a request, unless it is blocked or no upstream is up.
    fn send(&mut self, causes: Vec<Fingerprint>, is_poison: bool, gateway: usize, attempts: u32) {
        let worst = self.suspects.worst(causes.iter());
        let is_blocked = worst.is_some_and(|(_, found)| found.is_poison);
        let up: Vec<usize> = (0..UPSTREAMS).filter(|index| self.upstreams[*index].1 <= self.now).collect();
        if !is_poison && attempts == 0 {
            self.sound.push((self.now, !is_blocked));
        }
        if is_blocked || up.is_empty() {
            return;
        }
        if is_poison {
            self.poison_sends.push(self.now);
        }
        let upstream = up[self.random.random_range(0..up.len())];
        let incarnation = self.incarnation(upstream);
        causes.iter().for_each(|one| self.trackers[gateway].start(&incarnation, *one));
        let duration = Duration::from_millis(self.random.random_range(100..1900));
        let ends_at = self.now + duration;
        self.running.push(SimulatedRequest { causes, is_poison, gateway, upstream, incarnation, attempts, ends_at });
    }

    fn finish_requests(&mut self, start: Duration) {
        let now = self.now;
        while let Some(index) = self.running.iter().position(|request| request.ends_at <= now) {
            let request = self.running.swap_remove(index);
            if request.is_poison && now >= start + self.scenario.sound_until {
                self.poison_crashes.push(now);
                let upstream = request.upstream;
                self.running.push(request);
                self.crash(upstream);
                continue;
            }
            for one in &request.causes {
                let tracker = &mut self.trackers[request.gateway];
                tracker.finish(now, &request.incarnation, *one, AttemptOutcome::Answered);
            }
            let suspected: Vec<Fingerprint> =
                request.causes.iter().filter(|one| self.suspects.get(one).is_some()).copied().collect();
            self.is_outdated |= !suspected.is_empty() && !self.crashes.clear(&suspected).is_empty();
        }
    }

    // Crashes an upstream. Each gateway reports it, and all requests in flight there are sent again.
    fn crash(&mut self, upstream: usize) {
        let incarnation = self.incarnation(upstream);
        let now = self.now;
        self.upstreams[upstream] = (self.upstreams[upstream].0 + 1, now + RESTART_DELAY);
        let (lost, running) =
            std::mem::take(&mut self.running).into_iter().partition(|request| request.incarnation == incarnation);
        self.running = running;
        let lost: Vec<SimulatedRequest> = lost;
        for request in &lost {
            let tracker = &mut self.trackers[request.gateway];
            for one in &request.causes {
                tracker.finish(now, &incarnation, *one, AttemptOutcome::Unanswered);
            }
            tracker.record_loss(now, &incarnation, ResponseLoss::Broken);
        }
        for index in 0..GATEWAYS {
            let tracker = &mut self.trackers[index];
            tracker.connection_refused(now, &incarnation);
            for crashed in tracker.take_crashed(now) {
                let reporter: InstanceId = format!("g-{index}").parse().expect("an id");
                let (incarnation, evidence, suspects) = (crashed.incarnation, crashed.evidence, crashed.suspects);
                self.deliver(&CrashReport { incarnation, reporter, evidence, suspects });
            }
        }
        self.is_outdated = true;
        self.update();
        for request in lost.into_iter().filter(|request| request.attempts + 1 < ATTEMPTS) {
            self.send(request.causes, request.is_poison, request.gateway, request.attempts + 1);
        }
    }

    fn deliver(&mut self, report: &CrashReport) {
        self.crashes.record(self.now, Duration::ZERO, report);
        let mut excused = IndexSet::new();
        for tracker in &mut self.trackers {
            excused.extend(report.suspects.iter().filter(|one| tracker.excuse_reported(self.now, one)).copied());
        }
        let (parts, requests): (Vec<Fingerprint>, Vec<Fingerprint>) =
            excused.into_iter().partition(Fingerprint::is_part);
        self.crashes.clear(&requests);
        self.crashes.clear_at(&report.incarnation, &parts);
    }

    fn update(&mut self) {
        if std::mem::take(&mut self.is_outdated) {
            self.suspects = self.crashes.find_suspects();
            self.blocked.extend(self.suspects.poison().map(|(one, _)| *one).filter(Fingerprint::is_part));
        }
    }

    fn check_requirements(&self, seed: u64) {
        let counted = self.poison_crashes.get(4).or(self.poison_crashes.last());
        let counted = *counted.unwrap_or_else(|| panic!("seed {seed}: no crash"));
        let late = self.poison_sends.iter().filter(|at| **at > counted + CONTACT_TIME).count();
        let late_sound: Vec<bool> =
            self.sound.iter().filter(|(at, _)| *at > counted + CONTACT_TIME * 2).map(|(_, sent)| *sent).collect();
        let sent = late_sound.iter().filter(|sent| **sent).count();
        let summary = format!(
            "seed {seed}: {late} late sends of {}, {} crashes, {sent} of {} late sound requests sent, {} parts were \
             blocked for a time",
            self.poison_sends.len(),
            self.poison_crashes.len(),
            late_sound.len(),
            self.blocked.len()
        );
        eprintln!("{summary}");
        assert!(late <= MAX_LATE_SENDS, "{summary}");
        assert!(sent * 2 >= late_sound.len(), "{summary}");
    }
}

fn check(scenario: Scenario) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(scenario, seed);
        simulation.run();
        simulation.check_requirements(seed);
    }
}

#[test]
fn crashing_part_is_blocked_under_load_without_the_popular_parts_beside_it() {
    for first_parts in [3, 40] {
        check(Scenario { first_parts, ..PART_ALONE });
    }
}

#[test]
fn crashing_first_part_is_blocked_under_load() {
    check(Scenario { poison_position: Some(0), ..PART_ALONE });
}

#[test]
fn rarely_asked_crashing_part_is_blocked_under_load() {
    let poison_interval = Duration::from_secs(4);
    check(Scenario { poison_interval, duration: Duration::from_secs(40), ..PART_ALONE });
}

#[test]
fn part_that_starts_to_crash_upstreams_is_blocked_under_load() {
    check(Scenario { sound_until: Duration::from_secs(12), ..PART_ALONE });
}

#[test]
fn crashing_part_is_blocked_although_other_upstreams_crash_at_once() {
    let mass_interval = Some(Duration::from_millis(2500));
    check(Scenario { mass_interval, mass_size: 4, ..PART_ALONE });
}

#[test]
fn crashes_of_many_upstreams_at_once_block_no_part_for_long() {
    for (seed, mass_size) in (0..SEEDS).zip([14, 9, 3].into_iter().cycle()) {
        let mass_interval = Some(Duration::from_secs(4));
        let mut simulation =
            Simulation::new(Scenario { poison_position: None, mass_interval, mass_size, ..PART_ALONE }, seed);
        simulation.run();
        let refused = simulation.sound.iter().filter(|(_, sent)| !sent).count();
        let blocked = simulation.suspects.poison().filter(|(one, _)| one.is_part()).count();
        let summary = format!(
            "seed {seed}, {mass_size} at once: {refused} of {} requests refused, {} parts were blocked for a time, \
             {blocked} at the end",
            simulation.sound.len(),
            simulation.blocked.len()
        );
        eprintln!("{summary}");
        assert!(refused * 1000 < simulation.sound.len(), "{summary}");
    }
}
