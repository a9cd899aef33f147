//! Roll-outs: their orders, their stages as they stand in the store, and the judgement of their releases.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    canary::{self, Analysis, Gathered, Order, SETTLE_TIME, Schedule, Split, Stage, StageRow, Verdict},
    ids::{InstanceId, ServiceId},
    replica::{Origin, Row},
};
use bluebell_platform::{
    operator,
    store::{Committed, Put, RowKey, Transaction},
};
use bluebell_wire::messages::ReleaseTally;
use indexmap::IndexMap;
use tokio::task::spawn_local;

use super::{Control, Event, Events};
use crate::gateway::state::Gateway;

/// Start of the keys of stages.
pub const PREFIX: &str = "stage/";
/// Time for a written stage to come back before it is written again.
const WRITE_TIME: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Rollout {
    order: Order,
    analysis: Analysis,
    gathered: Gathered,
    verdict: Verdict,
    seen: Duration,
    written: Option<(Duration, u64)>,
}

/// All roll-outs that were ordered.
#[derive(Debug, Default)]
pub struct Rollouts {
    ordered: IndexMap<String, Rollout>,
    stages: IndexMap<String, (StageRow, u64)>,
}

fn stage_key(service: &ServiceId) -> String {
    format!("{PREFIX}{service}")
}

impl Rollouts {
    pub(super) fn put_order(&mut self, key: &str, order: Order, now: Duration) {
        let verdict = Verdict { rejected: false, answers: 0 };
        let rollout = Rollout {
            order,
            analysis: Analysis::default(),
            gathered: Gathered::default(),
            verdict,
            seen: now,
            written: None,
        };
        self.ordered.insert(key.to_owned(), rollout);
    }

    pub(super) fn drop_order(&mut self, key: &str) {
        self.ordered.shift_remove(key);
    }

    pub(super) fn learn_stage(&mut self, row: &Row, source: &str) {
        let parsed = row.value.as_deref().map(serde_json::from_slice::<StageRow>);
        match parsed {
            None => drop(self.stages.shift_remove(&row.key)),
            Some(Ok(stage)) => {
                log::info!(
                    key = row.key.as_str(), to = stage.to.as_str(), holder = stage.holder.as_str(),
                    row = row.version, source = source;
                    "roll-out stands at {:?}", stage.stage
                );
                self.stages.insert(row.key.clone(), (stage, row.version));
            }
            Some(Err(error)) => log::error!(key = row.key.as_str(), row = row.version; "stage not understood: {error}"),
        }
    }

    fn stage(&self, order: &Order) -> Option<&(StageRow, u64)> {
        self.stages.get(&stage_key(&order.service))
    }

    fn stage_of(&self, order: &Order) -> Option<&StageRow> {
        self.stage(order).map(|(row, _)| row).filter(|row| row.order == order.version)
    }

    /// Whether any roll-out is under way.
    pub(super) fn is_running(&self) -> bool {
        self.ordered.values().any(|one| !self.stage_of(&one.order).is_some_and(|row| row.stage.is_final()))
    }

    /// Orders whose releases were found to be bad.
    pub(super) fn rejected(&self) -> Vec<u64> {
        self.ordered.values().filter(|one| one.verdict.rejected).map(|one| one.order.version).collect()
    }

    /// A peer found releases to be bad; tells whether that is news.
    pub(super) fn reject(&mut self, peer: &InstanceId, orders: &[u64]) -> bool {
        let mut news = false;
        for one in self.ordered.values_mut().filter(|one| orders.contains(&one.order.version)) {
            if !std::mem::replace(&mut one.verdict.rejected, true) {
                let (service, to) = (one.order.service.as_str(), one.order.to.as_str());
                log::warn!(service = service, to = to, peer = peer.as_str(); "a peer found the release to be bad");
                news = true;
            }
        }
        news
    }

    /// Releases that get requests, by service.
    pub(super) fn splits(&self, schedule: &Schedule) -> IndexMap<ServiceId, Split> {
        let split = |one: &Rollout| {
            let stage = self.stage_of(&one.order).map(|row| row.stage);
            (one.order.service.clone(), Split::of(&one.order, stage, one.verdict.rejected, schedule))
        };
        self.ordered.values().map(split).collect()
    }
}

impl Control {
    /// Judges the releases that are being rolled out, and moves their stages on if it is this gateway's turn.
    pub(super) fn drive_rollouts(&mut self, now: Duration) {
        if !self.rollouts.is_running() {
            return;
        }
        let name = self.gateway.settings.instance.id.clone();
        let own = self.gateway.traffic().tallies();
        let peers = self.standings.iter().map(|(peer, (_, standing))| (peer, standing.tallies.as_slice()));
        let all: Vec<(&InstanceId, &[ReleaseTally])> = std::iter::once((&name, own.as_slice())).chain(peers).collect();
        let mut rejected = false;
        let stages = &self.rollouts.stages;
        for one in self.rollouts.ordered.values_mut() {
            let stage = stages.get(&stage_key(&one.order.service)).map(|(row, _)| row.stage);
            rejected |= one.weigh(&all, stage < Some(Stage::Full));
        }
        if rejected {
            self.publish();
        }
        if self.is_connected(now) {
            self.step_rollouts(now);
        }
    }

    // A holder that can write goes on; in its place goes the first of those that can.
    fn is_driver(&self, row: Option<&StageRow>) -> bool {
        let able = |peer: &InstanceId| self.standings.get(peer).is_some_and(|(_, standing)| standing.connected);
        match row.map(|row| &row.holder) {
            Some(holder) if *holder == self.gateway.settings.instance.id => true,
            Some(holder) if self.members.is_open(holder) && able(holder) => false,
            _ => self.members.is_first(able),
        }
    }

    fn step_rollouts(&mut self, now: Duration) {
        let Some((known, at)) = self.store.clock else { return };
        let clock = known + (now - at);
        let own = self.gateway.settings.instance.id.clone();
        let mut steps = Vec::new();
        for one in self.rollouts.ordered.values() {
            let row = self.rollouts.stage_of(&one.order);
            let version = self.rollouts.stage(&one.order).map_or(0, |(_, version)| *version);
            if one.written.is_some_and(|(at, before)| now < at + WRITE_TIME && before == version) {
                continue;
            }
            // Whoever sees that a release is bad says so, lest a driver that doesn't see it goes on.
            if !one.verdict.rejected && (self.gateway.is_leaving() || !self.is_driver(row)) {
                continue;
            }
            let next = match row {
                None => (now >= one.seen + SETTLE_TIME).then_some(Stage::Canary),
                Some(row) => canary::next_stage(&one.order, row, clock, &self.gateway.schedule, one.verdict),
            };
            let Some(stage) = next else { continue };
            let began = row.map_or(clock.saturating_sub(now.saturating_sub(one.seen)), |row| row.began);
            let to = one.order.to.clone();
            let row = StageRow { order: one.order.version, to, stage, began, holder: own.clone() };
            steps.push((one.order.service.clone(), row, version));
        }
        for (service, row, version) in steps {
            for one in self.rollouts.ordered.values_mut().filter(|one| one.order.service == service) {
                one.written = Some((now, version));
            }
            spawn_local(write_stage(Arc::clone(&self.gateway), self.events.clone(), service, row, version));
        }
    }
}

impl Rollout {
    // True when the release is rejected now.
    fn weigh(&mut self, all: &[(&InstanceId, &[ReleaseTally])], by_pace: bool) -> bool {
        for (entry, rows) in all {
            for row in rows.iter().filter(|row| row.service == self.order.service) {
                self.gathered.take(entry, &row.work, row.release == self.order.to, &row.tally);
            }
        }
        self.verdict.answers = self.gathered.answers();
        if self.verdict.rejected {
            return false;
        }
        let Some(found) = self.analysis.weigh(self.gathered.totals(), by_pace) else { return false };
        self.verdict.rejected = true;
        log::warn!(
            service = self.order.service.as_str(), to = self.order.to.as_str(), work = found.work.as_str(),
            answers = found.answers, failures = found.failures, failing = found.failing;
            "release is bad and gets no more requests"
        );
        true
    }
}

async fn write_stage(gateway: Arc<Gateway>, events: Events, service: ServiceId, row: StageRow, version: u64) {
    let contents = (serde_json::to_vec(&row), operator::encode_report(&row.to, row.stage));
    let (Ok(content), Ok(report)) = contents else {
        log::error!(service = service.as_str(); "stage can't be written as text");
        return;
    };
    let key = stage_key(&service);
    let at = RowKey::unparted(Origin::Fleet, key.as_str());
    let report_at = RowKey::unparted(Origin::Reports, operator::report_key(&service));
    let transaction = Transaction {
        expected: vec![(at.clone(), version)],
        puts: vec![Put { at, value: content.clone() }, Put { at: report_at, value: report }],
        ..Transaction::default()
    };
    match gateway.store.transact(&transaction).await {
        Ok(Committed::Done { version, clock }) => {
            let rows = vec![Row { origin: Origin::Fleet, key, value: Some(content), version }];
            // The control thread is gone only when the process ends.
            let _ = events.send(Event::Changes { rows, clock });
        }
        Ok(Committed::Conflict) => log::info!(service = service.as_str(); "another gateway moved the roll-out on"),
        Err(error) => log::warn!(service = service.as_str(); "stage {:?} not written: {error}", row.stage),
    }
}
