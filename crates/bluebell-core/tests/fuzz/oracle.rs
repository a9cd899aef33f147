//! Checks the invariants against a history of events that the code under test has no access to.

use std::collections::{HashMap, HashSet};

use bluebell_core::{
    ids::{AttemptId, RequestId, Revision, VersionId},
    settings::{Record, State, state::VersionStatus},
};

/// A chat whose complete answer reached its entry.
#[derive(Debug, Clone)]
pub struct AnsweredChat {
    pub request: RequestId,
    pub entry: usize,
    pub entry_incarnation: u64,
    pub sidecar: usize,
    pub sidecar_incarnation: u64,
}

/// History of the events observed from outside.
#[derive(Default)]
pub struct Oracle {
    /// Settings state at each revision.
    states: Vec<State>,
    /// Number of runs for each idempotency key.
    runs_by_key: HashMap<String, u32>,
    started: HashSet<AttemptId>,
    refused: HashSet<AttemptId>,
    pub answered_chats: Vec<AnsweredChat>,
}

impl Oracle {
    pub fn new() -> Self {
        Self { states: vec![State::default()], ..Self::default() }
    }

    /// Records a committed change of the settings.
    pub fn record_change(&mut self, record: &Record) {
        let mut next = self.states.last().expect("the initial state exists").clone();
        next.apply(record).expect("a committed change can be applied");
        self.states.push(next);
    }

    pub fn latest(&self) -> &State {
        self.states.last().expect("the initial state exists")
    }

    /// Checks a state that an instance put into effect after the revision `previous`.
    pub fn check_published(&self, state: &State, previous: Revision) {
        assert!(state.revision > previous, "settings regressed from {previous} to {}", state.revision);
        assert_eq!(
            Some(state),
            self.states.get(state.revision.0 as usize),
            "published settings differ from those committed at their revision"
        );
    }

    /// Checks that a sidecar with the settings at `revision` in effect may start a chat on a model version.
    pub fn check_chat_start(&mut self, attempt: &AttemptId, version: &VersionId, revision: Revision, leaving: bool) {
        let state = &self.states[revision.0 as usize];
        let withdrawn = state.standings.get(version) == Some(&VersionStatus::Withdrawn);
        assert!(!withdrawn, "{attempt} ran on {version}, which is withdrawn at {revision}");
        let allowed =
            state.branches.values().any(|row| row.text.contains("crew") && row.text.contains(version.as_str()));
        assert!(allowed, "{attempt} ran on {version}, which is not allowed at {revision}");
        assert!(!leaving, "{attempt} was started by a sidecar that was leaving");
        self.check_first_start(attempt);
    }

    /// Checks that a service call is started at most once per idempotency key. A leaving sidecar may start it, as its
    /// slot may have been reserved before.
    pub fn check_call_start(&mut self, attempt: &AttemptId, key: &str) {
        let count = self.runs_by_key.entry(key.to_owned()).or_default();
        *count += 1;
        assert!(*count <= 1, "{key} ran {count} times");
        self.check_first_start(attempt);
    }

    fn check_first_start(&mut self, attempt: &AttemptId) {
        assert!(self.started.insert(attempt.clone()), "{attempt} was started twice");
        assert!(!self.refused.contains(attempt), "{attempt} was started after it had been refused as not run");
    }

    /// Checks that an attempt of which an entry is told that it did not run was not started.
    pub fn check_refusal(&mut self, attempt: &AttemptId) {
        assert!(!self.started.contains(attempt), "{attempt} was refused as not run after it had been started");
        self.refused.insert(attempt.clone());
    }
}
