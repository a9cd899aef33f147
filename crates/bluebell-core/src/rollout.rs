//! When a roll-out moves on. The steps stand in the sequence of changes, so any instance can go on with them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::ModelId,
    quality::Quality,
    settings::{Action, SettingsError, State},
    units::Percent,
};

/// Where a roll-out stood when its step was first seen.
#[derive(Debug, Clone, Copy)]
struct Seen {
    step: usize,
    since: Duration,
    ratings: u64,
}

/// Steps seen by the instance that drives the roll-outs.
#[derive(Debug, Default)]
pub struct Driver {
    seen: IndexMap<ModelId, Seen>,
}

impl Driver {
    /// The next step that is due, if any: its time is over and enough answers of the new version were rated.
    ///
    /// # Errors
    /// When the settings in force can't be read.
    pub fn due_step(
        &mut self,
        now: Duration,
        state: &State,
        quality: &Quality,
    ) -> Result<Option<Action>, SettingsError> {
        self.seen.retain(|model, _| state.rollouts.contains_key(model));
        for (model, rollout) in &state.rollouts {
            let ratings = quality.ratings(&rollout.to);
            let seen = self.see(model, Seen { step: rollout.step, since: now, ratings });
            if rollout.paused || rollout.share >= Percent::FULL {
                continue;
            }
            let plan = state.rollout_plan(&rollout.branch)?;
            let step = rollout.step + 1;
            let rated = ratings.saturating_sub(seen.ratings) >= plan.rated;
            if now < seen.since + plan.hold || !rated || step >= plan.steps.len() {
                continue;
            }
            return Ok(Some(Action::Step { model: model.clone(), step, share: plan.steps[step] }));
        }
        Ok(None)
    }

    fn see(&mut self, model: &ModelId, seen: Seen) -> Seen {
        let known = self.seen.entry(model.clone()).or_insert(seen);
        if known.step != seen.step {
            *known = seen;
        }
        *known
    }
}
