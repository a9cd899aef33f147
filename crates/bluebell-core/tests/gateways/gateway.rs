//! A simulated gateway, which combines the decision modules of the core as the control thread of a real one does.

use std::time::Duration;

use bluebell_core::{
    canary::{AggregatedTallies, Analysis, Order, Split, StageRow, Tally, Verdict},
    ids::{InstanceId, ServiceId, UpstreamId},
    poison::{CrashReport, Crashes, Fingerprint, InFlightTracker, Suspects},
    replica::{Origin, Replica, Row},
    retry::RetryWindow,
    upstreams::{Phase, Upstream, UpstreamIncarnation, Upstreams},
};
use indexmap::{IndexMap, IndexSet};

use crate::world::fingerprint;

pub const CONFIG_KEY: &str = "config";
pub const ORDER_KEY: &str = "rollout/chat";
pub const STAGE_KEY: &str = "stage/chat";
pub const ORIGINS: [Origin; 3] = [Origin::Operator, Origin::Upstreams, Origin::Fleet];

/// The only service of the simulation.
pub fn service() -> ServiceId {
    "chat".parse().expect("a valid id")
}

/// Content of an upstream's registration row.
pub fn registration(number: usize, started_at_ms: u64, release: &str, leaving: bool) -> String {
    format!("{number} {started_at_ms} {release} {leaving}")
}

fn parse_registration(row: &Row) -> Option<Upstream> {
    let text = String::from_utf8(row.value.clone()?).expect("UTF-8 text");
    let fields: Vec<&str> = text.split(' ').collect();
    Some(Upstream {
        id: row.key.parse().expect("a valid id"),
        service: service(),
        address: format!("127.0.0.1:{}", 4000 + fields[0].parse::<u16>().expect("a valid number"))
            .parse()
            .expect("a valid address"),
        zone: "z1".parse().expect("a valid id"),
        release: fields[2].parse().expect("a valid id"),
        slots: 4,
        phase: if fields[3] == "true" { Phase::Leaving } else { Phase::Ready },
        cold: Duration::ZERO,
        started_at_ms: fields[1].parse().expect("a valid number"),
    })
}

/// A message from one gateway to another.
#[derive(Debug, Clone)]
pub enum PeerMessage {
    /// All rows of the sender's replica, with the version of its latest snapshot of each origin.
    Rows(Vec<Row>, Vec<(Origin, u64)>),
    Crashes(Vec<CrashReport>),
    /// Requests that are cleared of all crashes known so far, since they were answered.
    ClearedRequests(Vec<Fingerprint>),
    /// Requests that are cleared of the given crashes.
    ClearedCrashes(Vec<(UpstreamIncarnation, Vec<Fingerprint>)>),
    /// Answers and failures of the old and the new release, as counted by the sender.
    Tallies {
        order: u64,
        old: Tally,
        new: Tally,
    },
    /// The release of the rollout order with this version was found to be faulty.
    ReleaseRejected(u64),
}

/// State of one gateway.
pub struct Gateway {
    pub id: InstanceId,
    pub frozen: bool,
    pub store_unreachable: bool,
    pub replica: Replica,
    /// Version up to which the change feed of each origin was read.
    pub cursors: IndexMap<Origin, u64>,
    pub upstreams: Upstreams,
    pub in_flight: InFlightTracker,
    pub crashes: Crashes,
    pub suspects: Suspects,
    pub retry_window: RetryWindow,
    pub order: Option<Order>,
    /// The rollout stage row, with its version.
    pub stage: Option<(StageRow, u64)>,
    /// Tallies of this gateway for the old and the new release.
    pub own_tallies: (Tally, Tally),
    /// Tallies of all gateways.
    pub tallies: AggregatedTallies,
    pub analysis: Analysis,
    pub verdict: Verdict,
    /// Latest row received for each key, for the oracle.
    pub latest_rows: IndexMap<(Origin, String), Row>,
    /// Reported crashes, with the requests that were in flight according to any report, for the oracle.
    pub known_crashes: IndexMap<UpstreamIncarnation, IndexSet<Fingerprint>>,
}

impl Gateway {
    pub fn new(number: usize, now: Duration) -> Self {
        Self {
            id: format!("gateway-{number}").parse().expect("a valid id"),
            frozen: false,
            store_unreachable: false,
            replica: Replica::default(),
            cursors: IndexMap::new(),
            upstreams: Upstreams::default(),
            in_flight: InFlightTracker::default(),
            crashes: Crashes::default(),
            suspects: Suspects::default(),
            retry_window: RetryWindow::started(now),
            order: None,
            stage: None,
            own_tallies: (Tally::default(), Tally::default()),
            tallies: AggregatedTallies::default(),
            analysis: Analysis::default(),
            verdict: Verdict::default(),
            latest_rows: IndexMap::new(),
            known_crashes: IndexMap::new(),
        }
    }

    /// Applies a single row, from the store's change feed or from this gateway's own write.
    pub fn apply_row(&mut self, now: Duration, row: Row) {
        self.note_latest(std::slice::from_ref(&row));
        if self.replica.apply(row.clone()) {
            self.handle_row(now, &row);
        }
    }

    /// Applies a snapshot of all rows of an origin.
    pub fn apply_snapshot(&mut self, now: Duration, origin: Origin, rows: Vec<Row>, version: u64) {
        self.note_latest(&rows);
        for row in self.replica.apply_snapshot(origin, rows, version) {
            self.handle_row(now, &row);
        }
    }

    /// Merges the rows of a peer.
    pub fn apply_peer_rows(&mut self, now: Duration, rows: Vec<Row>, snapshots: &[(Origin, u64)]) {
        self.note_latest(&rows);
        for row in self.replica.apply_copy(rows, snapshots) {
            self.handle_row(now, &row);
        }
    }

    fn note_latest(&mut self, rows: &[Row]) {
        for row in rows {
            let key = (row.origin, row.key.clone());
            // A snapshot supersedes all rows up to its version.
            if self.replica.snapshots().any(|(origin, version)| origin == row.origin && row.version <= version) {
                continue;
            }
            if self.latest_rows.get(&key).is_none_or(|known| known.version < row.version) {
                self.latest_rows.insert(key, row.clone());
            }
        }
    }

    fn handle_row(&mut self, now: Duration, row: &Row) {
        match (row.origin, row.key.as_str()) {
            (Origin::Upstreams, key) => match parse_registration(row) {
                Some(upstream) => {
                    if !self.upstreams.is_superseded(row.version, &upstream) {
                        let addresses = |id: &UpstreamId| self.upstreams.get(id).map(|one| one.address);
                        self.in_flight.registration_updated(now, &upstream, addresses);
                        if self.crashes.retract(&upstream.incarnation()) {
                            self.update_suspects();
                        }
                    }
                    self.upstreams.put(now, row.version, upstream);
                }
                None => {
                    let id: UpstreamId = key.parse().expect("a valid id");
                    if let Some(known) = self.upstreams.get(&id) {
                        self.in_flight.registration_removed(now, &known.incarnation());
                    }
                    self.upstreams.remove(now, &id);
                }
            },
            (Origin::Operator, ORDER_KEY) => {
                let within = Duration::from_secs(20);
                let to = "v2".parse().expect("a valid id");
                self.order = Some(Order { service: service(), to, within, version: row.version });
                (self.tallies, self.analysis) = (AggregatedTallies::default(), Analysis::default());
                self.own_tallies = (Tally::default(), Tally::default());
                self.verdict = Verdict::default();
            }
            (Origin::Fleet, STAGE_KEY) => {
                let content = row.value.as_ref().expect("a stage is never deleted");
                let stage: StageRow = serde_json::from_slice(content).expect("a valid stage row");
                self.stage = Some((stage, row.version));
            }
            _ => {}
        }
    }

    /// The stage of the current rollout order.
    pub fn stage(&self) -> Option<&StageRow> {
        let order = self.order.as_ref()?;
        self.stage.as_ref().map(|(row, _)| row).filter(|row| row.order == order.version)
    }

    pub fn split(&self, schedule: &bluebell_core::canary::Schedule) -> Split {
        let Some(order) = &self.order else { return Split::Any };
        Split::of(order, self.stage().map(|row| row.stage), self.verdict.rejected, schedule)
    }

    /// Number of reported crashes at which a request was in flight.
    pub fn known_crashes_under(&self, body: u8) -> u32 {
        let request = fingerprint(body);
        self.known_crashes.values().filter(|suspects| suspects.contains(&request)).count() as u32
    }

    /// Records a report of a crashed upstream. Returns whether it named suspects that were not known yet.
    pub fn record_crash(&mut self, now: Duration, report: &CrashReport) -> bool {
        self.known_crashes.entry(report.incarnation.clone()).or_default().extend(&report.suspects);
        let has_new_suspects = self.crashes.record(now, Duration::ZERO, report);
        let answered: Vec<Fingerprint> =
            report.suspects.iter().filter(|one| self.in_flight.was_answered(now, one)).copied().collect();
        self.crashes.clear(&answered);
        self.update_suspects();
        has_new_suspects
    }

    /// Clears answered requests of all crashes known so far. Returns whether any of them had been suspected.
    pub fn clear_requests(&mut self, answered: &[Fingerprint]) -> bool {
        let was_suspected = !self.crashes.clear(answered).is_empty();
        self.update_suspects();
        was_suspected
    }

    /// Clears answered requests of the given crashes only.
    pub fn clear_crashes(&mut self, answered: &[(UpstreamIncarnation, Vec<Fingerprint>)]) {
        for (incarnation, requests) in answered {
            self.crashes.clear_at(incarnation, requests);
        }
        self.update_suspects();
    }

    pub fn update_suspects(&mut self) {
        self.suspects = self.crashes.find_suspects();
    }

    /// Records the tallies of a gateway and evaluates the release.
    pub fn record_tallies(&mut self, from: &InstanceId, old: &Tally, new: &Tally) {
        self.tallies.record(from, "talk", false, old);
        self.tallies.record(from, "talk", true, new);
        self.verdict.answers = self.tallies.answers();
        if self.analysis.evaluate(self.tallies.totals(), true).is_some() {
            self.verdict.rejected = true;
        }
    }
}
