//! Decides when a roll-out of a model version moves to its next step. Steps are recorded in the sequence of changes, so
//! any instance can continue a roll-out.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::ModelId,
    quality::Quality,
    settings::{Action, SettingsError, State},
    units::Percent,
};

/// State of a roll-out when this instance first saw its current step.
#[derive(Debug, Clone, Copy)]
struct StepStart {
    step: usize,
    since: Duration,
    ratings: u64,
}

/// Tracks the current steps at the instance that drives the roll-outs.
#[derive(Debug, Default)]
pub struct Driver {
    steps: IndexMap<ModelId, StepStart>,
}

impl Driver {
    /// The next step that is due, if any. A step is due once the current one has lasted for its hold time and enough
    /// answers of the new version have been rated during it.
    ///
    /// # Errors
    /// If the plan of a roll-out's branch can't be read from the settings in force.
    pub fn due_step(
        &mut self,
        now: Duration,
        state: &State,
        quality: &Quality,
    ) -> Result<Option<Action>, SettingsError> {
        self.steps.retain(|model, _| state.rollouts.contains_key(model));
        for (model, rollout) in &state.rollouts {
            let ratings = quality.ratings(&rollout.to);
            let current = self.track(model, StepStart { step: rollout.step, since: now, ratings });
            if rollout.paused || rollout.share >= Percent::FULL {
                continue;
            }
            let plan = state.rollout_plan(&rollout.branch)?;
            let step = rollout.step + 1;
            let has_ratings = ratings.saturating_sub(current.ratings) >= plan.rated;
            if now < current.since + plan.hold || !has_ratings || step >= plan.steps.len() {
                continue;
            }
            return Ok(Some(Action::Step { model: model.clone(), step, share: plan.steps[step] }));
        }
        Ok(None)
    }

    fn track(&mut self, model: &ModelId, latest: StepStart) -> StepStart {
        let known = self.steps.entry(model.clone()).or_insert(latest);
        if known.step != latest.step {
            *known = latest;
        }
        *known
    }
}
