//! Roll-outs: their orders, their stages as they stand in the store, and the judgement of their releases.

use std::time::Duration;

use bluebell_core::{
    canary::{AggregatedTallies, Analysis, Order, Schedule, Split, StageRow, Verdict},
    ids::{InstanceId, ServiceId},
    replica::Row,
};
use bluebell_wire::messages::ReleaseTally;
use indexmap::IndexMap;

/// Start of the keys of stages.
pub const PREFIX: &str = "stage/";
/// A roll-out that was ordered.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: Order,
    pub(super) analysis: Analysis,
    pub(super) gathered: AggregatedTallies,
    pub(super) verdict: Verdict,
    pub(super) seen: Duration,
    pub(super) written: Option<(Duration, u64)>,
}

/// All roll-outs that were ordered.
#[derive(Debug, Default)]
pub struct Rollouts {
    pub(super) ordered: IndexMap<String, Rollout>,
    pub(super) stages: IndexMap<String, (StageRow, u64)>,
}

/// Key of the stage of a service's roll-out.
pub(super) fn stage_key(service: &ServiceId) -> String {
    format!("{PREFIX}{service}")
}

impl Rollouts {
    pub(super) fn put_order(&mut self, key: &str, order: Order, now: Duration) {
        let verdict = Verdict { rejected: false, answers: 0 };
        let rollout = Rollout {
            order,
            analysis: Analysis::default(),
            gathered: AggregatedTallies::default(),
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

    pub(super) fn stage(&self, order: &Order) -> Option<&(StageRow, u64)> {
        self.stages.get(&stage_key(&order.service))
    }

    pub(super) fn stage_of(&self, order: &Order) -> Option<&StageRow> {
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

impl Rollout {
    // True when the release is rejected now.
    pub(super) fn weigh(&mut self, all: &[(&InstanceId, &[ReleaseTally])], by_pace: bool) -> bool {
        for (entry, rows) in all {
            for row in rows.iter().filter(|row| row.order == self.order.version) {
                self.gathered.record(entry, &row.work, row.release == self.order.to, &row.tally);
            }
        }
        self.verdict.answers = self.gathered.answers();
        if self.verdict.rejected {
            return false;
        }
        let Some(found) = self.analysis.evaluate(self.gathered.totals(), by_pace) else { return false };
        self.verdict.rejected = true;
        let (old, new) = (&found.old, &found.new);
        log::warn!(
            service = self.order.service.as_str(), to = self.order.to.as_str(), order = self.order.version,
            work = found.work.as_str(), evidence = format!("{:.2}", found.evidence).as_str(),
            answers = new.answers, failures = new.failures, slow = new.slow,
            pace = format!("{:.2}", new.pace.mean()).as_str(), old_answers = old.answers,
            old_failures = old.failures, old_slow = old.slow,
            old_pace = format!("{:.2}", old.pace.mean()).as_str();
            "release is bad and gets no more requests: {:?}", found.finding
        );
        true
    }
}
