//! A gateway: the decisions of the core, put together as its control thread does.

use std::time::Duration;

use bluebell_core::{
    canary::{AggregatedTallies, Analysis, Order, Split, StageRow, Tally, Verdict},
    ids::{InstanceId, ServiceId, UpstreamId},
    poison::{CrashReport, Crashes, Fingerprint, InFlightTracker, Suspects},
    replica::{Origin, Replica, Row},
    retry::RetryWindow,
    upstreams::{Life, Phase, Upstream, Upstreams},
};
use indexmap::{IndexMap, IndexSet};

use crate::world::fingerprint;

pub const CONFIG: &str = "config";
pub const ORDER: &str = "rollout/chat";
pub const STAGE: &str = "stage/chat";
pub const ORIGINS: [Origin; 3] = [Origin::Operator, Origin::Upstreams, Origin::Fleet];

pub fn service() -> ServiceId {
    "chat".parse().expect("an id")
}

/// Content of an upstream's row.
pub fn entry(number: usize, born: u64, release: &str, leaving: bool) -> String {
    format!("{number} {born} {release} {leaving}")
}

fn upstream(row: &Row) -> Option<Upstream> {
    let text = String::from_utf8(row.value.clone()?).expect("text");
    let fields: Vec<&str> = text.split(' ').collect();
    Some(Upstream {
        id: row.key.parse().expect("an id"),
        service: service(),
        address: format!("127.0.0.1:{}", 4000 + fields[0].parse::<u16>().expect("a number"))
            .parse()
            .expect("an address"),
        zone: "z1".parse().expect("an id"),
        release: fields[2].parse().expect("an id"),
        slots: 4,
        phase: if fields[3] == "true" { Phase::Leaving } else { Phase::Ready },
        cold: Duration::ZERO,
        born: fields[1].parse().expect("a number"),
    })
}

/// What one gateway tells another.
#[derive(Debug, Clone)]
pub enum News {
    Rows(Vec<Row>, Vec<(Origin, u64)>),
    Crashes(Vec<CrashReport>),
    Answered(Vec<Fingerprint>),
    Cleared(Vec<(Life, Vec<Fingerprint>)>),
    Counts { order: u64, old: Tally, new: Tally },
    Rejected(u64),
}

pub struct Gateway {
    pub id: InstanceId,
    pub frozen: bool,
    pub away: bool,
    pub replica: Replica,
    pub cursors: IndexMap<Origin, u64>,
    pub upstreams: Upstreams,
    pub flights: InFlightTracker,
    pub crashes: Crashes,
    pub suspects: Suspects,
    pub window: RetryWindow,
    pub order: Option<Order>,
    pub stage: Option<(StageRow, u64)>,
    pub counts: (Tally, Tally),
    pub gathered: AggregatedTallies,
    pub analysis: Analysis,
    pub verdict: Verdict,
    /// Latest row heard of each key, for the oracle.
    pub heard: IndexMap<(Origin, String), Row>,
    /// Ends heard of, with the requests under way at each gateway, for the oracle.
    pub ends: IndexMap<Life, IndexSet<Fingerprint>>,
}

impl Gateway {
    pub fn new(number: usize, now: Duration) -> Self {
        Self {
            id: format!("gateway-{number}").parse().expect("an id"),
            frozen: false,
            away: false,
            replica: Replica::default(),
            cursors: IndexMap::new(),
            upstreams: Upstreams::default(),
            flights: InFlightTracker::default(),
            crashes: Crashes::default(),
            suspects: Suspects::default(),
            window: RetryWindow::started(now),
            order: None,
            stage: None,
            counts: (Tally::default(), Tally::default()),
            gathered: AggregatedTallies::default(),
            analysis: Analysis::default(),
            verdict: Verdict { rejected: false, answers: 0 },
            heard: IndexMap::new(),
            ends: IndexMap::new(),
        }
    }

    /// Takes a row, from the store or a peer.
    pub fn learn(&mut self, now: Duration, row: Row) {
        self.hear(std::slice::from_ref(&row));
        if self.replica.apply(row.clone()) {
            self.act(now, &row);
        }
    }

    /// Takes all rows of an origin.
    pub fn learn_all(&mut self, now: Duration, origin: Origin, rows: Vec<Row>, version: u64) {
        self.hear(&rows);
        for row in self.replica.apply_snapshot(origin, rows, version) {
            self.act(now, &row);
        }
    }

    /// Takes all rows of a peer.
    pub fn learn_copy(&mut self, now: Duration, rows: Vec<Row>, snapshots: &[(Origin, u64)]) {
        self.hear(&rows);
        for row in self.replica.apply_copy(rows, snapshots) {
            self.act(now, &row);
        }
    }

    fn hear(&mut self, rows: &[Row]) {
        for row in rows {
            let key = (row.origin, row.key.clone());
            // A snapshot is the later word on what lies before it.
            if self.replica.snapshots().any(|(origin, version)| origin == row.origin && row.version <= version) {
                continue;
            }
            if self.heard.get(&key).is_none_or(|known| known.version < row.version) {
                self.heard.insert(key, row.clone());
            }
        }
    }

    fn act(&mut self, now: Duration, row: &Row) {
        match (row.origin, row.key.as_str()) {
            (Origin::Upstreams, key) => match upstream(row) {
                Some(one) => {
                    let addresses = |id: &UpstreamId| self.upstreams.get(id).map(|one| one.address);
                    self.flights.entry_updated(now, &one, addresses);
                    if self.crashes.retract(&one.life()) {
                        self.judge();
                    }
                    self.upstreams.put(now, one);
                }
                None => {
                    let id: UpstreamId = key.parse().expect("an id");
                    if let Some(known) = self.upstreams.get(&id) {
                        self.flights.entry_removed(now, &known.life());
                    }
                    self.upstreams.remove(now, &id);
                }
            },
            (Origin::Operator, ORDER) => {
                let within = Duration::from_secs(20);
                let to = "v2".parse().expect("an id");
                self.order = Some(Order { service: service(), to, within, version: row.version });
                (self.gathered, self.analysis) = (AggregatedTallies::default(), Analysis::default());
                self.counts = (Tally::default(), Tally::default());
                self.verdict = Verdict { rejected: false, answers: 0 };
            }
            (Origin::Fleet, STAGE) => {
                let content = row.value.as_ref().expect("a stage is never deleted");
                let stage: StageRow = serde_json::from_slice(content).expect("a stage");
                self.stage = Some((stage, row.version));
            }
            _ => {}
        }
    }

    pub fn stage(&self) -> Option<&StageRow> {
        let order = self.order.as_ref()?;
        self.stage.as_ref().map(|(row, _)| row).filter(|row| row.order == order.version)
    }

    pub fn split(&self, schedule: &bluebell_core::canary::Schedule) -> Split {
        let Some(order) = &self.order else { return Split::Any };
        Split::of(order, self.stage().map(|row| row.stage), self.verdict.rejected, schedule)
    }

    /// Ends heard of at which a request was under way.
    pub fn ends_under(&self, body: u8) -> u32 {
        let print = fingerprint(body);
        self.ends.values().filter(|under| under.contains(&print)).count() as u32
    }

    /// Takes a report of an ended upstream; tells whether it is news.
    pub fn report(&mut self, now: Duration, report: &CrashReport) -> bool {
        self.ends.entry(report.life.clone()).or_default().extend(&report.suspects);
        let news = self.crashes.record(now, Duration::ZERO, report);
        let answered: Vec<Fingerprint> =
            report.suspects.iter().filter(|one| self.flights.was_answered(now, one)).copied().collect();
        self.crashes.clear(&answered);
        self.judge();
        news
    }

    pub fn clear(&mut self, answered: &[Fingerprint]) -> bool {
        let news = self.crashes.clear(answered);
        self.judge();
        news
    }

    pub fn clear_ends(&mut self, answered: &[(Life, Vec<Fingerprint>)]) {
        for (life, requests) in answered {
            self.crashes.clear_at(life, requests);
        }
        self.judge();
    }

    pub fn judge(&mut self) {
        self.suspects = self.crashes.find_suspects();
    }

    /// Takes counts of a gateway.
    pub fn count(&mut self, from: &InstanceId, old: &Tally, new: &Tally) {
        self.gathered.record(from, "talk", false, old);
        self.gathered.record(from, "talk", true, new);
        self.verdict.answers = self.gathered.answers();
        if self.analysis.evaluate(self.gathered.totals(), true).is_some() {
            self.verdict.rejected = true;
        }
    }
}
