//! Monitors the quality of model versions by the ratings of their answers. The holder of the roll-out lease reads all
//! ratings, withdraws a version whose quality has dropped, and saves its quality estimates in the object store, from
//! which all entries read them.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{ChangeId, ModelId, VersionId},
    quality::Quality,
    settings::{Action, State, state::VersionStatus},
    units::Percent,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::state::Entry;
use crate::records::{HeldLease, Proposal, Rating};

const ESTIMATES_KEY: &str = "quality-latest";
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Author of the monitor's changes in the settings history.
const AUTHOR: &str = "judge";

/// Quality estimates, with the position in the ratings log up to which they include ratings.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Estimates {
    position: u64,
    quality: Quality,
}

/// Quality monitor of the lease holder.
#[derive(Default)]
pub struct QualityMonitor {
    estimates: Option<Estimates>,
    empty: Quality,
    saved_at: Option<Instant>,
    // Versions that were withdrawn at the last update.
    withdrawn: Vec<VersionId>,
}

impl QualityMonitor {
    /// Current estimates; empty until they have been loaded.
    pub fn quality(&self) -> &Quality {
        self.estimates.as_ref().map_or(&self.empty, |estimates| &estimates.quality)
    }

    /// Discards the estimates, because without the lease another entry updates them.
    pub fn reset(&mut self) {
        self.estimates = None;
    }

    /// Reads new ratings, withdraws versions whose quality has dropped, and saves the estimates periodically.
    pub async fn update(&mut self, entry: &Entry, state: &State, lease: &HeldLease) {
        let records = &entry.shared.records;
        if self.estimates.is_none() {
            match records.object(ESTIMATES_KEY).await {
                Ok(saved) => self.estimates = Some(saved.unwrap_or_default()),
                Err(error) => log::debug!("can't read quality estimates: {error}"),
            }
        }
        let Some(estimates) = self.estimates.as_mut() else { return };
        forget_restored(estimates, &mut self.withdrawn, state);
        let new = match records.ratings(estimates.position).await {
            Ok(new) => new,
            Err(error) => {
                log::debug!("can't read ratings: {error}");
                return;
            }
        };
        estimates.position = new.position;
        for version in add_ratings(estimates, entry, &new.ratings) {
            withdraw(entry, state, lease, &version).await;
        }
        if self.saved_at.is_none_or(|saved| saved.elapsed() >= SAVE_INTERVAL) {
            self.saved_at = Some(Instant::now());
            if let Err(error) = records.put_object(ESTIMATES_KEY, estimates).await {
                log::debug!("can't save quality estimates: {error}");
            }
        }
    }
}

// Discards the estimates of versions that an operator has restored, so that earlier ratings don't count against them.
fn forget_restored(estimates: &mut Estimates, withdrawn: &mut Vec<VersionId>, state: &State) {
    let is_withdrawn = |id: &VersionId| state.standings.get(id) == Some(&VersionStatus::Withdrawn);
    for restored in withdrawn.iter().filter(|id| !is_withdrawn(id)) {
        estimates.quality.forget(restored);
    }
    *withdrawn = state.standings.keys().filter(|id| is_withdrawn(id)).cloned().collect();
}

// Adds new ratings to the estimates. Returns the versions that have to be withdrawn.
fn add_ratings(estimates: &mut Estimates, entry: &Entry, ratings: &[Rating]) -> Vec<VersionId> {
    let plan = Arc::clone(&entry.shared.published.load().plan);
    let mut bad = Vec::new();
    for rating in ratings {
        let Some(declared) = plan.declared_quality(&rating.version) else { continue };
        if estimates.quality.record_rating(&rating.version, declared, rating.good) {
            bad.push(rating.version.clone());
        }
    }
    bad
}

async fn withdraw(entry: &Entry, state: &State, lease: &HeldLease, version: &VersionId) {
    log::warn!(version = version.as_str(); "quality of the version has dropped; withdrawing it");
    let Ok(model) = version.model().parse::<ModelId>() else { return };
    let rollout = state.rollouts.get(&model);
    let is_rolling_out = rollout.is_some_and(|rollout| rollout.to == *version && rollout.share < Percent::FULL);
    if is_rolling_out {
        commit(entry, state, lease, "abort", version, Action::Abort { model }).await;
    }
    commit(entry, state, lease, "withdraw", version, Action::Withdraw { version: version.clone() }).await;
}

async fn commit(entry: &Entry, state: &State, lease: &HeldLease, kind: &str, version: &VersionId, action: Action) {
    let Ok(change) = format!("judge-{kind}-{version}-{}", state.revision).parse::<ChangeId>() else { return };
    let proposal = Proposal { change, author: AUTHOR.to_owned(), action };
    match entry.shared.records.commit(state, &proposal, Some(lease)).await {
        Ok(revision) => {
            log::warn!(revision = revision.0, version = version.as_str(); "committed a change to stop a bad version");
        }
        Err(error) => log::error!(version = version.as_str(); "can't commit a change to stop a bad version: {error}"),
    }
}

/// Reads the saved estimates periodically, for routing at this entry.
pub async fn follow_estimates(entry: Arc<Entry>) {
    loop {
        match entry.shared.records.object::<Estimates>(ESTIMATES_KEY).await {
            Ok(Some(estimates)) => entry.shared.quality.store(Arc::new(estimates.quality)),
            Ok(None) => {}
            Err(error) => log::debug!("can't read quality estimates: {error}"),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
