//! When a roll-out moves on. The steps stand in the sequence of changes, so any instance can go on with them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::{ModelId, Revision},
    settings::{Action, SettingsError, State},
    units::Percent,
};

/// Steps seen by the instance that drives the roll-outs, with the time each was first seen.
#[derive(Debug, Default)]
pub struct Driver {
    seen: IndexMap<ModelId, (usize, Duration)>,
}

impl Driver {
    /// The next step that is due, if any, with the revision it was decided against.
    ///
    /// # Errors
    /// When the settings in force can't be read.
    pub fn due_step(&mut self, now: Duration, state: &State) -> Result<Option<(Action, Revision)>, SettingsError> {
        self.seen.retain(|model, _| state.rollouts.contains_key(model));
        for (model, rollout) in &state.rollouts {
            let since = self.since(now, model, rollout.step);
            if rollout.paused || rollout.share >= Percent::FULL {
                continue;
            }
            let plan = state.plan(&rollout.branch)?;
            let step = rollout.step + 1;
            if now < since + plan.hold || step >= plan.steps.len() {
                continue;
            }
            let action = Action::Step { model: model.clone(), step, share: plan.steps[step] };
            return Ok(Some((action, state.revision)));
        }
        Ok(None)
    }

    fn since(&mut self, now: Duration, model: &ModelId, step: usize) -> Duration {
        let entry = self.seen.entry(model.clone()).or_insert((step, now));
        if entry.0 != step {
            *entry = (step, now);
        }
        entry.1
    }
}
