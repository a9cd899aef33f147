//! What must always hold, told from logs that the system under test can't touch.

use std::collections::{HashMap, HashSet};

use bluebell_core::{
    ids::{AttemptId, RequestId, Revision, VersionId},
    settings::{Record, State, state::VersionStatus},
};

/// A chat whose whole answer reached its entry.
#[derive(Debug, Clone)]
pub struct Answered {
    pub request: RequestId,
    pub entry: usize,
    pub entry_life: u64,
    pub sidecar: usize,
    pub sidecar_life: u64,
}

/// What happened, told from outside.
#[derive(Default)]
pub struct Oracle {
    truth: Vec<State>,
    calls: HashMap<String, u32>,
    started: HashSet<AttemptId>,
    refused: HashSet<AttemptId>,
    pub answered: Vec<Answered>,
}

impl Oracle {
    pub fn new() -> Self {
        Self { truth: vec![State::default()], ..Self::default() }
    }

    /// Takes note of an accepted change.
    pub fn accept(&mut self, record: &Record) {
        let mut next = self.truth.last().expect("there is a first state").clone();
        next.apply(record).expect("an accepted change applies");
        self.truth.push(next);
    }

    pub fn latest(&self) -> &State {
        self.truth.last().expect("there is a first state")
    }

    /// A state was put in force somewhere, where another was before.
    pub fn published(&self, state: &State, before: Revision) {
        assert!(state.revision > before, "settings went back from {before} to {}", state.revision);
        assert_eq!(Some(state), self.truth.get(state.revision.0 as usize), "a state that never was");
    }

    /// A runner was given an attempt on a version by a sidecar with these settings.
    pub fn started(&mut self, attempt: &AttemptId, version: &VersionId, at: Revision, leaving: bool) {
        let state = &self.truth[at.0 as usize];
        let withdrawn = state.standings.get(version) == Some(&VersionStatus::Withdrawn);
        assert!(!withdrawn, "{attempt} ran on {version}, withdrawn at {at}");
        let allowed =
            state.branches.values().any(|row| row.text.contains("crew") && row.text.contains(version.as_str()));
        assert!(allowed, "{attempt} ran on {version}, not allowed at {at}");
        assert!(!leaving, "{attempt} began at a sidecar that was leaving");
        self.begun(attempt);
    }

    /// A service was given a call, whose place may have been reserved before its sidecar began to leave.
    pub fn called(&mut self, attempt: &AttemptId, key: &str) {
        let count = self.calls.entry(key.to_owned()).or_default();
        *count += 1;
        assert!(*count <= 1, "{key} ran {count} times");
        self.begun(attempt);
    }

    fn begun(&mut self, attempt: &AttemptId) {
        assert!(self.started.insert(attempt.clone()), "{attempt} was started twice");
        assert!(!self.refused.contains(attempt), "{attempt} was refused as not run, and ran later");
    }

    /// An entry was told that an attempt did not run.
    pub fn refused(&mut self, attempt: &AttemptId) {
        assert!(!self.started.contains(attempt), "{attempt} ran, and was refused as not run later");
        self.refused.insert(attempt.clone());
    }
}
