//! The world of the gateways, with the checks of what must hold.

use std::time::Duration;

use bluebell_core::{
    canary::{Schedule, Stage, StageRow, next_stage},
    poison::{AttemptOutcome, CrashReport, Fingerprint, ResponseLoss},
    replica::{Origin, Row},
    retry::RetryLimit,
    upstreams::Life,
};

use indexmap::{IndexMap, IndexSet};

use crate::{
    gateway::{CONFIG, Gateway, News, ORDER, ORIGINS, STAGE, entry},
    store::Store,
};

pub const GATEWAYS: usize = 3;
pub const UPSTREAMS: usize = 5;
/// Upstreams that run the release that orders bring in.
pub const FRESH: std::ops::Range<usize> = 4..5;
const BODIES: u8 = 12;
/// Bodies of requests that end upstreams.
pub const POISON: u8 = 1;
pub const LIMIT: RetryLimit = RetryLimit { ratio: 0.5, slack: 16.0, window: Duration::from_secs(10) };
const EXPOSURE: f64 = 0.9;
const STEP: Duration = Duration::from_millis(40);
const MAX_STEPS: u8 = 40;

#[derive(Debug, Clone)]
pub enum Op {
    Read { gateway: u8 },
    Tell { from: u8, to: u8 },
    Deliver { at: u8 },
    Duplicate { at: u8 },
    Drop { at: u8 },
    Request { gateway: u8, body: u8 },
    Finish { at: u8 },
    Look { gateway: u8 },
    End { upstream: u8 },
    Start { upstream: u8 },
    Drain { upstream: u8 },
    Lapse { upstream: u8 },
    Declare,
    Order { bad: bool },
    Drive { gateway: u8 },
    Restart { gateway: u8 },
    Freeze { gateway: u8 },
    TurnAway { gateway: u8 },
    Compact,
    Advance { steps: u8 },
}

pub struct Server {
    pub born: u64,
    pub up: bool,
    pub leaving: bool,
}

#[derive(Clone)]
pub struct Run {
    gateway: usize,
    at: usize,
    life: Life,
    body: u8,
    // Sends of the request before this one.
    before: u32,
}

pub struct World {
    pub now: Duration,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub servers: Vec<Server>,
    pub runs: Vec<Run>,
    pub net: Vec<(usize, usize, News)>,
    pub bad: bool,
    pub requests: Vec<Duration>,
    pub retries: Vec<Duration>,
    pub starts: Vec<Duration>,
    pub declared: u64,
    pub keys: u64,
    /// Ends of upstreams at which a request was under way.
    pub ends: IndexMap<u8, u32>,
    /// Requests answered at a gateway that knew of all these ends, with that gateway and the ends since.
    pub cleared: IndexMap<u8, (usize, u32)>,
}

pub fn fingerprint(body: u8) -> Fingerprint {
    Fingerprint::of("/talk", None, &[body])
}

fn release(at: usize) -> &'static str {
    if FRESH.contains(&at) { "v2" } else { "v1" }
}

pub fn name(at: usize) -> String {
    format!("chat-{at}")
}

impl World {
    pub fn new() -> Self {
        let now = Duration::from_secs(100);
        let servers = (0..UPSTREAMS).map(|_| Server { born: 1, up: true, leaving: false }).collect();
        let gateways = (0..GATEWAYS).map(|number| Gateway::new(number, Duration::ZERO)).collect();
        let mut world = Self {
            now,
            store: Store::default(),
            gateways,
            servers,
            runs: Vec::new(),
            net: Vec::new(),
            bad: false,
            requests: Vec::new(),
            retries: Vec::new(),
            starts: Vec::new(),
            declared: 0,
            keys: 0,
            ends: IndexMap::new(),
            cleared: IndexMap::new(),
        };
        for at in 0..FRESH.start {
            world.list(at);
        }
        world.declare();
        for gateway in 0..GATEWAYS {
            world.read(gateway);
        }
        world
    }

    pub fn step(&mut self, op: Op) {
        let gateway = |number: u8| usize::from(number) % GATEWAYS;
        let server = |number: u8| usize::from(number) % UPSTREAMS;
        let message = |at: u8| (!self.net.is_empty()).then(|| usize::from(at) % self.net.len());
        match op {
            Op::Read { gateway: at } => self.read(gateway(at)),
            Op::Tell { from, to } => self.tell(gateway(from), gateway(to)),
            Op::Deliver { at } => {
                if let Some(at) = message(at) {
                    let (from, to, news) = self.net.swap_remove(at);
                    self.deliver(from, to, news);
                }
            }
            Op::Duplicate { at } => {
                let copy = message(at).map(|at| self.net[at].clone());
                self.net.extend(copy);
            }
            Op::Drop { at } => {
                if let Some(at) = message(at) {
                    self.net.swap_remove(at);
                }
            }
            Op::Request { gateway: at, body } => self.request(gateway(at), body % BODIES),
            Op::Finish { at } => self.finish(at),
            Op::Look { gateway: at } => self.look(gateway(at)),
            Op::End { upstream } => self.end(server(upstream)),
            Op::Start { upstream } => self.start(server(upstream)),
            Op::Drain { upstream } => self.drain(server(upstream)),
            Op::Lapse { upstream } => self.lapse(server(upstream)),
            Op::Declare => self.declare(),
            Op::Order { bad } => self.order(bad),
            Op::Drive { gateway: at } => self.drive(gateway(at)),
            Op::Restart { gateway: at } => {
                self.gateways[gateway(at)] = Gateway::new(gateway(at), self.now);
                self.starts.push(self.now);
                self.runs.retain(|run| run.gateway != gateway(at));
                self.cleared.retain(|_, (by, _)| *by != gateway(at));
            }
            Op::Freeze { gateway: at } => self.gateways[gateway(at)].frozen ^= true,
            Op::TurnAway { gateway: at } => self.gateways[gateway(at)].away ^= true,
            Op::Compact => self.store.compact(),
            Op::Advance { steps } => self.now += STEP * u32::from(steps % MAX_STEPS),
        }
    }

    fn list(&mut self, at: usize) {
        let server = &self.servers[at];
        let value = entry(at, server.born, release(at), server.leaving);
        self.store.put(Origin::Upstreams, &name(at), Some(value));
    }

    fn declare(&mut self) {
        self.keys += 1;
        self.declared = self.store.put(Origin::Operator, CONFIG, Some(self.keys.to_string()));
    }

    pub fn read(&mut self, at: usize) {
        if self.gateways[at].frozen || self.gateways[at].away {
            return;
        }
        for origin in ORIGINS {
            let cursor = self.gateways[at].cursors.get(&origin).copied();
            match cursor.and_then(|after| self.store.changes(origin, after)) {
                Some(rows) => rows.into_iter().for_each(|row| self.gateways[at].learn(self.now, row)),
                None => {
                    let (rows, version) = (self.store.snapshot(origin), self.store.version);
                    self.gateways[at].learn_all(self.now, origin, rows, version);
                }
            }
            self.gateways[at].cursors.insert(origin, self.store.version);
        }
        self.check_read(at);
    }

    pub fn tell(&mut self, from: usize, to: usize) {
        let gateway = &self.gateways[from];
        if gateway.frozen || from == to {
            return;
        }
        let rows: Vec<Row> = gateway.replica.rows().cloned().collect();
        let snapshots = gateway.replica.snapshots().collect();
        let reports: Vec<CrashReport> = gateway.crashes.reports().map(|(report, _)| report).collect();
        let answered = gateway.crashes.answered().map(|(life, all)| (life.clone(), all.iter().copied().collect()));
        let answered = News::Cleared(answered.collect());
        let all = [News::Rows(rows, snapshots), News::Crashes(reports), answered];
        self.net.extend(all.map(|news| (from, to, news)));
        if let Some(order) = &gateway.order {
            let (old, new) = gateway.counts;
            self.net.push((from, to, News::Counts { order: order.version, old, new }));
        }
    }

    fn broadcast(&mut self, from: usize, news: &News) {
        self.net.extend((0..GATEWAYS).filter(|to| *to != from).map(|to| (from, to, news.clone())));
    }

    pub fn deliver(&mut self, from: usize, to: usize, news: News) {
        let sender = self.gateways[from].id.clone();
        let gateway = &mut self.gateways[to];
        if gateway.frozen {
            return;
        }
        let known = |gateway: &Gateway| gateway.replica.get(Origin::Operator, CONFIG).map_or(0, |(_, version)| version);
        let before = known(gateway);
        match news {
            News::Rows(rows, snapshots) => gateway.learn_copy(self.now, rows, &snapshots),
            News::Crashes(reports) => {
                for report in reports {
                    gateway.report(self.now, &report);
                }
            }
            News::Answered(answered) => drop(gateway.clear(&answered)),
            News::Cleared(answered) => gateway.clear_ends(&answered),
            News::Counts { order, old, new } if gateway.order.as_ref().is_some_and(|own| own.version == order) => {
                gateway.count(&sender, &old, &new);
            }
            News::Rejected(order) if gateway.order.as_ref().is_some_and(|own| own.version == order) => {
                gateway.verdict.rejected = true;
            }
            News::Counts { .. } | News::Rejected(_) => {}
        }
        assert!(known(gateway) >= before, "declarations went back at {}", gateway.id);
    }

    fn request(&mut self, at: usize, body: u8) {
        if self.gateways[at].frozen {
            return;
        }
        self.gateways[at].window.request(self.now);
        self.requests.push(self.now);
        self.send(at, body, 0, &[]);
    }

    fn send(&mut self, at: usize, body: u8, before: u32, tried: &[usize]) {
        let gateway = &self.gateways[at];
        if gateway.suspects.is_poison(&fingerprint(body)) {
            return;
        }
        let split = gateway.split(&Schedule::for_exposure(EXPOSURE));
        let key = format!("{body} {:?}", self.now);
        let open = gateway.upstreams.open(self.now);
        let pool = open.values().flatten().filter(|one| split.admits(&key, None, &one.release));
        let mut pool = pool.filter(|one| !tried.iter().any(|at| name(*at) == one.id.as_str()));
        let Some(chosen) = pool.next().cloned() else { return };
        let number: usize = chosen.id.as_str().trim_start_matches("chat-").parse().expect("a number");
        self.check_send(at, body, number, &split);
        let server = &self.servers[number];
        let life = chosen.life();
        self.gateways[at].flights.start(&life, fingerprint(body));
        if server.up && server.born == life.born {
            self.runs.push(Run { gateway: at, at: number, life, body, before });
        } else {
            // Nobody listens there, or another life says that it isn't the one meant.
            if !server.up {
                self.gateways[at].flights.connection_refused(self.now, &life);
            }
            self.gateways[at].flights.finish(self.now, &life, fingerprint(body), AttemptOutcome::UpstreamAlive);
        }
    }

    fn finish(&mut self, at: u8) {
        if self.runs.is_empty() {
            return;
        }
        let run = self.runs.swap_remove(usize::from(at) % self.runs.len());
        if run.body < POISON {
            self.runs.push(run.clone());
            return self.end(run.at);
        }
        let gateway = &mut self.gateways[run.gateway];
        let fails = self.bad && FRESH.contains(&run.at);
        let landing = if fails { AttemptOutcome::UpstreamAlive } else { AttemptOutcome::Answered };
        gateway.flights.finish(self.now, &run.life, fingerprint(run.body), landing);
        if !fails && gateway.suspects.get(&fingerprint(run.body)).is_some() {
            gateway.flights.clear(fingerprint(run.body));
            if gateway.ends_under(run.body) == self.ends.get(&run.body).copied().unwrap_or_default() {
                self.cleared.insert(run.body, (run.gateway, 0));
            }
        }
        let tally = if FRESH.contains(&run.at) { &mut gateway.counts.1 } else { &mut gateway.counts.0 };
        tally.answers += 1;
        tally.failures += u64::from(fails);
        let (old, new) = gateway.counts;
        let id = gateway.id.clone();
        gateway.count(&id, &old, &new);
        if fails {
            self.retry(&run);
        }
    }

    // Each send that is lost may be made again, if the shared budget has it.
    fn retry(&mut self, run: &Run) {
        let gateway = &mut self.gateways[run.gateway];
        if run.before == 2 || gateway.frozen || !gateway.window.retry(self.now, &LIMIT, GATEWAYS) {
            return;
        }
        self.retries.push(self.now);
        self.check_budget();
        self.send(run.gateway, run.body, run.before + 1, &[run.at]);
    }

    fn end(&mut self, at: usize) {
        if !self.servers[at].up {
            return;
        }
        self.servers[at].up = false;
        let (lost, kept): (Vec<Run>, Vec<Run>) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.at == at);
        self.runs = kept;
        let bodies: IndexSet<u8> = lost.iter().map(|run| run.body).collect();
        for body in bodies {
            *self.ends.entry(body).or_default() += 1;
            self.cleared.entry(body).and_modify(|(_, ends)| *ends += 1);
        }
        for run in lost {
            let gateway = &mut self.gateways[run.gateway];
            gateway.flights.finish(self.now, &run.life, fingerprint(run.body), AttemptOutcome::Unanswered);
            if !gateway.frozen && gateway.flights.record_loss(self.now, &run.life, ResponseLoss::Broken) {
                gateway.flights.connection_refused(self.now, &run.life);
            }
            self.retry(&run);
        }
    }

    fn start(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if server.up {
            return;
        }
        *server = Server { born: server.born + 1, up: true, leaving: false };
        let is_ordered = self.store.standing(Origin::Operator, ORDER) > 0;
        if !FRESH.contains(&at) || is_ordered {
            self.list(at);
        }
    }

    fn drain(&mut self, at: usize) {
        if self.servers[at].up && self.store.standing(Origin::Upstreams, &name(at)) > 0 {
            self.servers[at].leaving = true;
            self.list(at);
        }
    }

    // The entry of an upstream that is gone or cut off is removed; that of one that lives is back at its next look.
    fn lapse(&mut self, at: usize) {
        if self.store.standing(Origin::Upstreams, &name(at)) > 0 {
            self.store.put(Origin::Upstreams, &name(at), None);
        } else if self.servers[at].up && !FRESH.contains(&at) {
            self.list(at);
        }
    }

    fn order(&mut self, bad: bool) {
        self.bad = bad;
        self.store.put(Origin::Operator, ORDER, Some("v2".to_owned()));
        for at in FRESH {
            if self.servers[at].up {
                self.list(at);
            }
        }
    }

    pub fn look(&mut self, at: usize) {
        if self.gateways[at].frozen {
            return;
        }
        let now = self.now;
        self.gateways[at].upstreams.expire(now);
        let cleared = self.gateways[at].flights.take_cleared();
        if !cleared.is_empty() {
            self.gateways[at].clear(&cleared);
            self.broadcast(at, &News::Answered(cleared));
        }
        for ended in self.gateways[at].flights.take_crashed(now) {
            let reporter = self.gateways[at].id.clone();
            let report = CrashReport { life: ended.life, reporter, evidence: ended.evidence, suspects: ended.suspects };
            if !report.suspects.is_empty() {
                self.gateways[at].report(now, &report);
                self.broadcast(at, &News::Crashes(vec![report]));
            }
        }
        if let Some(order) = self.gateways[at].order.as_ref().filter(|_| self.gateways[at].verdict.rejected) {
            let version = order.version;
            self.broadcast(at, &News::Rejected(version));
        }
    }

    fn drive(&mut self, at: usize) {
        let gateway = &self.gateways[at];
        let Some(order) = gateway.order.clone().filter(|_| !gateway.frozen && !gateway.away) else { return };
        let known = gateway.stage.as_ref().map_or(0, |(_, version)| *version);
        let next = match gateway.stage() {
            None => Some(Stage::Canary),
            Some(row) => next_stage(&order, row, self.now, &Schedule::for_exposure(EXPOSURE), gateway.verdict),
        };
        let Some(stage) = next else { return };
        let began = gateway.stage().map_or(self.now, |row| row.began);
        let row = StageRow { order: order.version, to: order.to, stage, began, holder: gateway.id.clone() };
        let value = serde_json::to_string(&row).expect("JSON");
        let before = self.standing_stage();
        let Some(version) = self.store.put_if(Origin::Fleet, STAGE, known, value.clone()) else { return };
        if let Some(before) = before.filter(|before| before.order >= row.order) {
            assert!(before.order == row.order, "a stage of an older order replaces that of a newer one");
            assert!(!before.stage.is_final() && before.stage < row.stage, "{:?} follows {:?}", row.stage, before.stage);
        }
        let row = Row { origin: Origin::Fleet, key: STAGE.to_owned(), value: Some(value.into_bytes()), version };
        self.gateways[at].learn(self.now, row);
    }

    fn standing_stage(&self) -> Option<StageRow> {
        let row = self.store.rows().find(|row| row.key == STAGE)?;
        serde_json::from_slice(row.value.as_ref()?).ok()
    }
}
