//! Driving roll-outs: releases are judged by the counts of all gateways, and one gateway writes the next stage.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    canary::{self, SETTLE_TIME, Stage, StageRow},
    ids::{InstanceId, ServiceId},
    replica::{Origin, Row},
};
use bluebell_platform::{
    operator,
    store::{Put, RowKey, Transaction, TransactionOutcome},
};
use bluebell_wire::messages::ReleaseTally;
use tokio::task::spawn_local;

use super::{
    event::{Event, Events},
    rollouts::stage_key,
    state::Control,
};
use crate::gateway::state::Gateway;

/// Time for a written stage to come back before it is written again.
const WRITE_TIME: Duration = Duration::from_millis(1500);

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
        let Some(clock) = self.store_clock(now) else { return };
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

async fn write_stage(gateway: Arc<Gateway>, events: Events, service: ServiceId, row: StageRow, version: u64) {
    let contents = (serde_json::to_vec(&row), operator::encode_report(&row.to, row.stage));
    let (Ok(content), Ok(report)) = contents else {
        log::error!(service = service.as_str(); "stage can't be written as text");
        return;
    };
    let key = stage_key(&service);
    let at = RowKey::unpartitioned(Origin::Fleet, key.as_str());
    let report_at = RowKey::unpartitioned(Origin::Reports, operator::report_key(&service));
    let transaction = Transaction {
        expected: vec![(at.clone(), version)],
        puts: vec![Put { at, value: content.clone() }, Put { at: report_at, value: report }],
        ..Transaction::default()
    };
    match gateway.store.transact(&transaction).await {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            let rows = vec![Row { origin: Origin::Fleet, key, value: Some(content), version }];
            // The control thread is gone only when the process ends.
            let _ = events.send(Event::Changes { rows, clock });
        }
        Ok(TransactionOutcome::Conflict) => {
            log::info!(service = service.as_str(); "another gateway moved the roll-out on");
        }
        Err(error) => log::warn!(service = service.as_str(); "stage {:?} not written: {error}", row.stage),
    }
}
