//! Judging versions by their ratings: the holder of the lease reads the ratings of all answers, stops a version that
//! has turned bad, and leaves its estimates in the object store, where all entries read them.

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

/// Key of the estimates in the object store.
const ESTIMATES_KEY: &str = "quality-latest";
/// Time between two writes of the estimates.
const SAVE_PERIOD: Duration = Duration::from_secs(5);
/// Time between two reads of the estimates at each entry.
const READ_PERIOD: Duration = Duration::from_secs(10);
/// Author of its changes in the history.
const AUTHOR: &str = "judge";

/// Estimates with the position up to which ratings are in them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Estimates {
    position: u64,
    quality: Quality,
}

/// Judge of versions.
#[derive(Default)]
pub struct Judge {
    estimates: Option<Estimates>,
    unknown: Quality,
    saved: Option<Instant>,
    withdrawn: Vec<VersionId>,
}

impl Judge {
    /// What is known of versions.
    pub fn quality(&self) -> &Quality {
        self.estimates.as_ref().map_or(&self.unknown, |estimates| &estimates.quality)
    }

    /// Forgets everything, since the lease is not held any more.
    pub fn rest(&mut self) {
        self.estimates = None;
    }

    /// Reads new ratings and stops what has turned bad.
    pub async fn work(&mut self, entry: &Entry, state: &State, lease: &HeldLease) {
        let records = &entry.shared.records;
        if self.estimates.is_none() {
            match records.object(ESTIMATES_KEY).await {
                Ok(saved) => self.estimates = Some(saved.unwrap_or_default()),
                Err(error) => log::debug!("estimates can't be read: {error}"),
            }
        }
        let Some(estimates) = self.estimates.as_mut() else { return };
        forget_restored(estimates, &mut self.withdrawn, state);
        let new = match records.ratings(estimates.position).await {
            Ok(new) => new,
            Err(error) => {
                log::debug!("ratings can't be read: {error}");
                return;
            }
        };
        estimates.position = new.position;
        for version in take(estimates, entry, &new.ratings) {
            stop(entry, state, lease, &version).await;
        }
        if self.saved.is_none_or(|saved| saved.elapsed() >= SAVE_PERIOD) {
            self.saved = Some(Instant::now());
            if let Err(error) = records.put_object(ESTIMATES_KEY, estimates).await {
                log::debug!("estimates are not saved: {error}");
            }
        }
    }
}

// A version that an operator put back into use is judged anew.
fn forget_restored(estimates: &mut Estimates, withdrawn: &mut Vec<VersionId>, state: &State) {
    let now = |id: &VersionId| state.standings.get(id) == Some(&VersionStatus::Withdrawn);
    for restored in withdrawn.iter().filter(|id| !now(id)) {
        estimates.quality.forget(restored);
    }
    *withdrawn = state.standings.keys().filter(|id| now(id)).cloned().collect();
}

// Gives the versions that are to be stopped.
fn take(estimates: &mut Estimates, entry: &Entry, ratings: &[Rating]) -> Vec<VersionId> {
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

async fn stop(entry: &Entry, state: &State, lease: &HeldLease, version: &VersionId) {
    log::warn!(version = version.as_str(); "a version has turned bad");
    let Ok(model) = version.model().parse::<ModelId>() else { return };
    let under_way = state.rollouts.get(&model);
    let moving = under_way.is_some_and(|rollout| rollout.to == *version && rollout.share < Percent::FULL);
    if moving {
        commit(entry, state, lease, "abort", version, Action::Abort { model }).await;
    }
    commit(entry, state, lease, "withdraw", version, Action::Withdraw { version: version.clone() }).await;
}

async fn commit(entry: &Entry, state: &State, lease: &HeldLease, what: &str, version: &VersionId, action: Action) {
    let Ok(change) = format!("judge-{what}-{version}-{}", state.revision).parse::<ChangeId>() else { return };
    let proposal = Proposal { change, author: AUTHOR.to_owned(), action };
    match entry.shared.records.commit(state, &proposal, Some(lease)).await {
        Ok(revision) => log::warn!(revision = revision.0, version = version.as_str(); "a bad version was stopped"),
        Err(error) => log::error!(version = version.as_str(); "a bad version could not be stopped: {error}"),
    }
}

/// Reads the estimates again and again, for the routing of this entry.
pub async fn follow(entry: Arc<Entry>) {
    loop {
        match entry.shared.records.object::<Estimates>(ESTIMATES_KEY).await {
            Ok(Some(estimates)) => entry.shared.quality.store(Arc::new(estimates.quality)),
            Ok(None) => {}
            Err(error) => log::debug!("estimates can't be read: {error}"),
        }
        tokio::time::sleep(READ_PERIOD).await;
    }
}
