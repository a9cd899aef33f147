//! Advances roll-outs: every gateway evaluates new releases on the tallies of all gateways, and one gateway writes the
//! next stage to the store.

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
    event::{Event, EventSender},
    rollouts::stage_key,
    state::Control,
};
use crate::gateway::state::Gateway;

/// Time for a written stage row to come back from the store before it is written again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

impl Control {
    /// Evaluates the releases being rolled out, and advances the stages for which this gateway is responsible.
    pub(super) fn drive_rollouts(&mut self, now: Duration) {
        if !self.rollouts.any_running() {
            return;
        }
        let own_id = self.gateway.settings.instance.id.clone();
        let own = self.gateway.traffic().tallies();
        let peers = self.peer_statuses.iter().map(|(peer, status)| (peer, status.tallies.as_slice()));
        let all: Vec<(&InstanceId, &[ReleaseTally])> =
            std::iter::once((&own_id, own.as_slice())).chain(peers).collect();
        let mut rejected = false;
        let stages = &self.rollouts.stages;
        for rollout in self.rollouts.by_order_key.values_mut() {
            let stage = stages
                .get(&stage_key(&rollout.order.service))
                .and_then(|stored| stored.row.as_ref())
                .map(|row| row.stage);
            rejected |= rollout.evaluate(now, &all, stage < Some(Stage::Full));
        }
        if rejected {
            self.publish();
        }
        if self.can_write(now) {
            self.advance_rollouts(now);
        }
    }

    // The gateway that wrote the last stage stays responsible as long as it can reach the store. Otherwise the gateway
    // with the lowest id among those that can takes over.
    fn is_driver(&self, row: Option<&StageRow>) -> bool {
        let can_write = |peer: &InstanceId| self.peer_statuses.get(peer).is_some_and(|status| status.has_store);
        match row.map(|row| &row.holder) {
            Some(holder) if *holder == self.gateway.settings.instance.id => true,
            Some(holder) if self.members.is_connected(holder) && can_write(holder) => false,
            _ => self.members.has_lowest_id(can_write),
        }
    }

    fn advance_rollouts(&mut self, now: Duration) {
        let Some(clock) = self.store_clock(now) else { return };
        let own_id = self.gateway.settings.instance.id.clone();
        let mut writes = Vec::new();
        for rollout in self.rollouts.by_order_key.values() {
            let row = self.rollouts.current_stage(&rollout.order);
            let version = self.rollouts.stored_stage(&rollout.order).map_or(0, |stored| stored.version);
            if rollout.last_write.is_some_and(|(at, expected)| now < at + WRITE_TIMEOUT && expected == version) {
                continue;
            }
            // A gateway that rejects a release writes the stage itself, because the driver may not have rejected it.
            if !rollout.verdict.rejected && (self.gateway.is_leaving() || !self.is_driver(row)) {
                continue;
            }
            let next = match row {
                None => (now >= rollout.ordered_at + SETTLE_TIME).then_some(Stage::Canary),
                Some(row) => canary::next_stage(&rollout.order, row, clock, &self.gateway.schedule, rollout.verdict)
                    .or_else(|| self.rollouts.is_damaged(&rollout.order).then_some(row.stage)),
            };
            let Some(stage) = next else { continue };
            rollout.log_advance(stage);
            let began = row.map_or(clock.saturating_sub(now.saturating_sub(rollout.ordered_at)), |row| row.began);
            let to = rollout.order.to.clone();
            let row = StageRow { order: rollout.order.version, to, stage, began, holder: own_id.clone() };
            writes.push((rollout.order.service.clone(), row, version));
        }
        for (service, row, version) in writes {
            for rollout in self.rollouts.by_order_key.values_mut().filter(|one| one.order.service == service) {
                rollout.last_write = Some((now, version));
            }
            spawn_local(write_stage(Arc::clone(&self.gateway), self.events.clone(), service, row, version));
        }
    }
}

async fn write_stage(gateway: Arc<Gateway>, events: EventSender, service: ServiceId, row: StageRow, version: u64) {
    let contents = (serde_json::to_vec(&row), operator::encode_report(&row.to, row.stage));
    let (Ok(content), Ok(report)) = contents else {
        log::error!(service = service.as_str(); "roll-out stage can't be encoded");
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
            // Fails only while the process exits, when the control thread is gone.
            let _ = events.send(Event::Changes { rows, clock });
        }
        Ok(TransactionOutcome::Conflict) => {
            log::info!(service = service.as_str(); "another gateway has already advanced the roll-out");
        }
        Err(error) => {
            log::warn!(service = service.as_str(); "failed to write roll-out stage {:?}: {error}", row.stage);
        }
    }
}
