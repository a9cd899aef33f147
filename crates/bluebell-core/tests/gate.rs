//! Admission under load: priorities, minimum shares, fairness between organisations, preemption of batch attempts,
//! isolated attempts and a runner that is down.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bluebell_core::{
    gate::{AdmissionRequest, Gate, GateEffect, GateEvent, RefusalReason, Work},
    ids::Revision,
    routing::Plan,
    settings::{Action, Branch, Record, State},
    units::Priority,
};

const SETTINGS: &str = include_str!("../../../sample_configs/settings/valid/two_crews.yaml");
const VERSION: &str = "atlas-large@1";
const SERVICE_TIME: Duration = Duration::from_millis(100);

fn plan() -> Arc<Plan> {
    let branches = Branch::file_from_yaml(SETTINGS).expect("the sample is valid");
    let texts = branches.iter().map(|branch| branch.to_yaml().expect("it can be written")).collect();
    let action = Action::Set { texts, base: Revision(0) };
    let change = "sample".parse().expect("an id");
    let record = Record { revision: Revision(1), change, author: "test".to_owned(), action };
    let mut state = State::default();
    state.apply(&record).expect("the sample is valid");
    Arc::new(Plan::new(&state).expect("the sample is valid"))
}

/// Gate with a simulated clock and runner. Each started attempt ends after `SERVICE_TIME`. Attempts are counted by
/// `kind`, the part of their id before the dot.
struct SimulatedGate {
    gate: Gate,
    now: Duration,
    running: Vec<(String, Duration)>,
    started: HashMap<String, usize>,
    stopped: Vec<String>,
    refused: Vec<(String, RefusalReason)>,
    count: usize,
}

impl SimulatedGate {
    fn new(slots: usize) -> Self {
        let mut gate = Gate::new(slots, vec![VERSION.to_owned()]);
        gate.handle(Duration::ZERO, GateEvent::Plan { revision: Revision(1), plan: plan() });
        let (started, stopped, refused) = (HashMap::new(), Vec::new(), Vec::new());
        Self { gate, now: Duration::ZERO, running: Vec::new(), started, stopped, refused, count: 0 }
    }

    fn submit(&mut self, kind: &str, org: &str, priority: Priority, max_wait: Duration) -> String {
        self.submit_with(kind, org, priority, |request| request.max_wait = max_wait)
    }

    fn submit_with(
        &mut self,
        kind: &str,
        org: &str,
        priority: Priority,
        change: impl FnOnce(&mut AdmissionRequest),
    ) -> String {
        self.count += 1;
        let attempt = format!("{kind}.{}", self.count);
        let mut request = AdmissionRequest {
            attempt: attempt.parse().expect("an id"),
            org: org.parse().expect("an id"),
            branch: org.parse().expect("an id"),
            work: Work::Version(VERSION.parse().expect("an id")),
            priority,
            cost: 20,
            max_wait: Duration::from_secs(3600),
            two_step: false,
            resumed: false,
            isolated: false,
        };
        change(&mut request);
        self.handle(GateEvent::Ask(request));
        attempt
    }

    fn handle(&mut self, event: GateEvent) {
        for effect in self.gate.handle(self.now, event) {
            match effect {
                GateEffect::Start { attempt } => {
                    let kind = attempt.as_str().split('.').next().unwrap_or_default().to_owned();
                    *self.started.entry(kind).or_default() += 1;
                    self.running.push((attempt.to_string(), self.now + SERVICE_TIME));
                }
                GateEffect::Stop { attempt } => self.stopped.push(attempt.to_string()),
                GateEffect::Refuse { attempt, refusal } => self.refused.push((attempt.to_string(), refusal.reason)),
                GateEffect::Reserve { .. } => {}
            }
        }
    }

    fn finish(&mut self, attempt: &str) {
        self.running.retain(|(running, _)| running != attempt);
        self.handle(GateEvent::Finish { attempt: attempt.parse().expect("an id") });
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let due: Vec<String> =
            self.running.iter().filter(|(_, end)| *end <= self.now).map(|(attempt, _)| attempt.clone()).collect();
        for attempt in due {
            self.finish(&attempt);
        }
        self.handle(GateEvent::Tick);
    }

    fn started(&self, kind: &str) -> usize {
        self.started.get(kind).copied().unwrap_or_default()
    }

    fn is_running(&self, attempt: &str) -> bool {
        self.running.iter().any(|(running, _)| running == attempt)
    }
}

const LONG_WAIT: Duration = Duration::from_secs(3600);

#[test]
fn urgent_work_takes_the_place_of_batch_work() {
    let mut gate = SimulatedGate::new(2);
    let first = gate.submit("batch", "maktabat", Priority::Batch, LONG_WAIT);
    gate.advance(Duration::from_millis(1));
    let second = gate.submit("batch", "maktabat", Priority::Batch, LONG_WAIT);
    let urgent = gate.submit("urgent", "kovacs", Priority::Urgent, LONG_WAIT);
    assert_eq!(gate.stopped, [second.as_str()], "the batch attempt that started last is stopped");
    gate.finish(&second);
    assert!(gate.is_running(&urgent) && gate.is_running(&first));
}

#[test]
fn a_resumed_attempt_is_neither_stopped_nor_refused() {
    let mut gate = SimulatedGate::new(1);
    let resumed = gate.submit_with("batch", "maktabat", Priority::Batch, |request| request.resumed = true);
    for _ in 0..50 {
        gate.submit("urgent", "kovacs", Priority::Urgent, LONG_WAIT);
    }
    assert!(gate.stopped.is_empty() && gate.is_running(&resumed));
    gate.submit_with("late", "maktabat", Priority::Batch, |request| {
        request.resumed = true;
        request.max_wait = Duration::from_millis(1);
    });
    assert!(gate.refused.is_empty(), "{:?}", gate.refused);
}

#[test]
fn lower_priorities_keep_their_minimum_share_under_a_flood_of_urgent_work() {
    let mut gate = SimulatedGate::new(4);
    // Urgent attempts take all slots first, so that normal and batch attempts can start only by their minimum share.
    for _ in 0..4 {
        gate.submit("urgent", "kovacs", Priority::Urgent, LONG_WAIT);
    }
    for _ in 0..2000 {
        gate.submit("urgent", "kovacs", Priority::Urgent, LONG_WAIT);
        gate.submit("normal", "kovacs", Priority::Normal, LONG_WAIT);
        gate.submit("batch", "maktabat", Priority::Batch, LONG_WAIT);
    }
    for _ in 0..250 {
        gate.advance(SERVICE_TIME);
    }
    let all: usize = gate.started.values().sum();
    let share = |kind: &str| gate.started(kind) as f64 / all as f64;
    assert!(share("normal") >= 0.09, "normal work got {}", share("normal"));
    assert!(share("batch") >= 0.045, "batch work got {}", share("batch"));
    assert!(share("urgent") >= 0.8, "urgent work got {}", share("urgent"));
    assert!(gate.stopped.is_empty(), "attempts started by their minimum share are not stopped");
}

#[test]
fn a_small_caller_is_served_beside_one_that_asks_for_far_too_much() {
    let mut gate = SimulatedGate::new(4);
    let max_wait = Duration::from_millis(1700);
    let mut small = Vec::new();
    for step in 0..500 {
        for _ in 0..8 {
            gate.submit("greedy", "kovacs", Priority::Urgent, max_wait);
        }
        if step % 10 == 0 {
            small.push(gate.submit("small", "maktabat", Priority::Urgent, max_wait));
        }
        gate.advance(Duration::from_millis(20));
    }
    for _ in 0..100 {
        gate.advance(SERVICE_TIME);
    }
    assert_eq!(gate.started("small"), small.len(), "all of the small caller's work ran");
    let refused = gate.refused.iter().filter(|(attempt, _)| attempt.starts_with("greedy")).count();
    assert!(refused > 1000, "most of the greedy caller's work is refused at once: {refused}");
}

#[test]
fn an_isolated_attempt_runs_with_nothing_beside_it() {
    let mut gate = SimulatedGate::new(4);
    let before = gate.submit("before", "kovacs", Priority::Normal, LONG_WAIT);
    let alone = gate.submit_with("alone", "kovacs", Priority::Normal, |request| request.isolated = true);
    let after = gate.submit("after", "kovacs", Priority::Urgent, LONG_WAIT);
    assert!(gate.is_running(&before) && !gate.is_running(&alone) && !gate.is_running(&after));
    gate.finish(&before);
    assert!(gate.is_running(&alone) && !gate.is_running(&after));
    gate.finish(&alone);
    assert!(gate.is_running(&after));
}

#[test]
fn nothing_is_given_to_a_runner_that_is_down() {
    let mut gate = SimulatedGate::new(1);
    let running = gate.submit("running", "kovacs", Priority::Normal, LONG_WAIT);
    gate.submit("waiting", "kovacs", Priority::Normal, LONG_WAIT);
    gate.handle(GateEvent::RunnerDown);
    gate.finish(&running);
    gate.submit("late", "kovacs", Priority::Normal, LONG_WAIT);
    let reasons: Vec<RefusalReason> = gate.refused.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(reasons, [RefusalReason::RunnerDown; 2]);
    gate.handle(GateEvent::RunnerUp);
    let back = gate.submit("back", "kovacs", Priority::Normal, LONG_WAIT);
    assert!(gate.is_running(&back));
}
