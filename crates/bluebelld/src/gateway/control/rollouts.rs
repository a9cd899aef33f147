//! Roll-outs: their orders, their stages as stored, and the verdicts on their releases.

use std::time::Duration;

use bluebell_core::{
    canary::{AggregatedTallies, Analysis, Order, Schedule, Split, Stage, StageRow, Verdict},
    ids::{InstanceId, ServiceId},
    replica::Row,
    store_version::{era, number},
    units::Rate,
};
use bluebell_platform::describe_json;
use bluebell_wire::messages::ReleaseTally;
use indexmap::IndexMap;

/// Prefix of the keys of stage rows.
pub const KEY_PREFIX: &str = "stage/";

/// Shortest time over which the rate of a service's answers is measured.
const MIN_RATE_PERIOD: Duration = Duration::from_secs(1);

/// A roll-out ordered by an operator.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: Order,
    pub(super) analysis: Analysis,
    // Tallies of all gateways.
    pub(super) tallies: AggregatedTallies,
    pub(super) verdict: Verdict,
    // When this gateway read the order.
    pub(super) ordered_at: Duration,
    // Time of the last write of the stage row by this gateway, and the row version that it expected.
    pub(super) last_write: Option<(Duration, u64)>,
}

/// A stage row in the store.
#[derive(Debug)]
pub(super) struct StoredStage {
    // The last content that could be read.
    pub(super) row: Option<StageRow>,
    pub(super) version: u64,
    // Whether the row has unreadable content now or was lost by the store, and has to be written again.
    pub(super) is_damaged: bool,
}

/// All ordered roll-outs, and the stage rows in the store.
#[derive(Debug, Default)]
pub struct Rollouts {
    pub(super) by_order_key: IndexMap<String, Rollout>,
    // Stage rows by their keys.
    pub(super) stages: IndexMap<String, StoredStage>,
}

/// Key of the stage row of a service.
pub(super) fn stage_key(service: &ServiceId) -> String {
    format!("{KEY_PREFIX}{service}")
}

impl Rollouts {
    pub(super) fn put_order(&mut self, key: &str, order: Order, now: Duration) {
        let rollout = Rollout {
            order,
            analysis: Analysis::default(),
            tallies: AggregatedTallies::default(),
            verdict: Verdict::default(),
            ordered_at: now,
            last_write: None,
        };
        self.by_order_key.insert(key.to_owned(), rollout);
    }

    /// Replaces the version of a known order that was written again after the store was restored. Returns false if this
    /// is another order.
    pub(super) fn renumber(&mut self, key: &str, order: &Order) -> bool {
        let Some(rollout) = self.by_order_key.get_mut(key) else { return false };
        let known = &rollout.order;
        let is_same = (&known.service, &known.to, known.within) == (&order.service, &order.to, order.within)
            && era(known.version) < era(order.version);
        if is_same {
            rollout.order.version = order.version;
        }
        is_same
    }

    pub(super) fn remove_order(&mut self, key: &str) {
        self.by_order_key.shift_remove(key);
    }

    pub(super) fn apply_stage_row(&mut self, row: &Row, source: &str) {
        let parsed = row.value.as_deref().map(serde_json::from_slice::<StageRow>);
        match parsed {
            None => drop(self.stages.shift_remove(&row.key)),
            Some(Ok(stage)) => {
                log::info!(
                    key = row.key.as_str(), to = stage.to.as_str(), holder = stage.holder.as_str(),
                    row = number(row.version), source = source;
                    "roll-out is at stage {:?}", stage.stage
                );
                let stored = StoredStage { row: Some(stage), version: row.version, is_damaged: false };
                self.stages.insert(row.key.clone(), stored);
            }
            Some(Err(error)) => {
                let reason = describe_json(&error);
                log::error!(key = row.key.as_str(), row = number(row.version); "failed to decode roll-out stage: {reason}");
                let known = self.stages.shift_remove(&row.key).and_then(|stored| stored.row);
                let stored = StoredStage { row: known, version: row.version, is_damaged: true };
                self.stages.insert(row.key.clone(), stored);
            }
        }
    }

    /// Records that the store has lost a stage row, or its last change, and holds it at the given version; zero if it
    /// doesn't.
    pub(super) fn mark_lost(&mut self, key: &str, version: u64) {
        if let Some(stored) = self.stages.get_mut(key) {
            (stored.version, stored.is_damaged) = (version, true);
        }
    }

    /// Stage row of the order's service. The row may belong to an earlier order.
    pub(super) fn stored_stage(&self, order: &Order) -> Option<&StoredStage> {
        self.stages.get(&stage_key(&order.service))
    }

    /// Stage row of this very order. The row may have the version that the order had before the store was restored.
    pub(super) fn current_stage(&self, order: &Order) -> Option<&StageRow> {
        let is_renumbered = |row: &StageRow| row.to == order.to && era(row.order) < era(order.version);
        self.stored_stage(order)?.row.as_ref().filter(|row| row.order == order.version || is_renumbered(row))
    }

    /// Whether the stage row of an order has to be written again: it has unreadable content, was lost by the store, or
    /// has an earlier version of the order.
    pub(super) fn is_damaged(&self, order: &Order) -> bool {
        let is_renumbered = self.current_stage(order).is_some_and(|row| row.order != order.version);
        is_renumbered || self.stored_stage(order).is_some_and(|stored| stored.is_damaged)
    }

    /// Whether any roll-out is in progress, or has to be written to the store again.
    pub(super) fn any_running(&self) -> bool {
        let is_final = |order: &Order| self.current_stage(order).is_some_and(|row| row.stage.is_final());
        let is_finished = |order: &Order| is_final(order) && !self.is_damaged(order);
        self.by_order_key.values().any(|rollout| !is_finished(&rollout.order))
    }

    /// Orders whose releases were rejected.
    pub(super) fn rejected_orders(&self) -> Vec<u64> {
        let rejected = self.by_order_key.values().filter(|rollout| rollout.verdict.rejected);
        rejected.map(|rollout| rollout.order.version).collect()
    }

    /// Rejects the releases that a peer has rejected. Returns whether any of them was not rejected before.
    pub(super) fn reject(&mut self, peer: &InstanceId, orders: &[u64]) -> bool {
        let mut changed = false;
        for rollout in self.by_order_key.values_mut().filter(|one| orders.contains(&one.order.version)) {
            if !std::mem::replace(&mut rollout.verdict.rejected, true) {
                let (service, to) = (rollout.order.service.as_str(), rollout.order.to.as_str());
                log::warn!(service = service, to = to, peer = peer.as_str(); "a peer found the release to be bad");
                changed = true;
            }
        }
        changed
    }

    /// How requests are split among the releases of each service.
    pub(super) fn splits(&self, schedule: &Schedule) -> IndexMap<ServiceId, Split> {
        let split = |rollout: &Rollout| {
            let stage = self.current_stage(&rollout.order).map(|row| row.stage);
            let rejected = rollout.verdict.rejected;
            (rollout.order.service.clone(), Split::of(&rollout.order, stage, rejected, schedule))
        };
        self.by_order_key.values().map(split).collect()
    }
}

impl Rollout {
    /// Evaluates the release on the tallies of all gateways; `by_pace` is explained at [`Analysis::evaluate`]. Returns
    /// whether this call rejects it.
    pub(super) fn evaluate(&mut self, now: Duration, all: &[(&InstanceId, &[ReleaseTally])], by_pace: bool) -> bool {
        for (gateway, rows) in all {
            for row in rows.iter().filter(|row| row.order == self.order.version) {
                self.tallies.record(gateway, &row.work, row.release == self.order.to, &row.tally);
            }
        }
        self.verdict.answers = self.tallies.answers();
        let elapsed = now.saturating_sub(self.ordered_at).max(MIN_RATE_PERIOD).as_secs_f64();
        self.verdict.rate = Rate::per_second(self.tallies.all_answers() as f64 / elapsed);
        if self.verdict.rejected {
            return false;
        }
        let rejection = self.analysis.evaluate(self.tallies.totals(), by_pace);
        self.verdict.is_suspect = self.analysis.is_suspect();
        let Some(rejection) = rejection else { return false };
        self.verdict.rejected = true;
        let (old, new) = (&rejection.old, &rejection.new);
        log::warn!(
            service = self.order.service.as_str(), to = self.order.to.as_str(), order = self.order.version,
            work = rejection.work.as_str(), evidence = format!("{:.2}", rejection.evidence).as_str(),
            answers = new.answers, failures = new.failures, slow = new.slow,
            pace = format!("{:.2}", new.pace.mean()).as_str(), old_answers = old.answers,
            old_failures = old.failures, old_slow = old.slow,
            old_pace = format!("{:.2}", old.pace.mean()).as_str();
            "release is bad and gets no more requests: {:?}", rejection.finding
        );
        true
    }

    /// Logs what a change to another stage is based on.
    pub(super) fn log_advance(&self, stage: Stage) {
        let totals = self.tallies.totals().values();
        let failures = totals.fold((0, 0), |sum, (old, new)| (sum.0 + old.failures, sum.1 + new.failures));
        log::info!(
            service = self.order.service.as_str(), to = self.order.to.as_str(), order = number(self.order.version),
            rejected = self.verdict.rejected, suspicion = format!("{:.2}", self.analysis.suspicion()).as_str(),
            answers = self.verdict.answers, failures = failures.1,
            old_answers = self.tallies.all_answers() - self.verdict.answers, old_failures = failures.0,
            rate = format!("{:.1}", self.verdict.rate.value()).as_str();
            "roll-out goes to stage {stage:?}"
        );
    }
}
