//! The gate under load: rank, floors, fairness, stopping of batch work, isolation.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bluebell_core::{
    gate::{Ask, Gate, GateEffect, GateEvent, RefusalReason, Work},
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

/// A gate with a clock and a record of what runs.
struct Bench {
    gate: Gate,
    now: Duration,
    running: Vec<(String, Duration)>,
    started: HashMap<String, usize>,
    stopped: Vec<String>,
    refused: Vec<(String, RefusalReason)>,
    count: usize,
}

impl Bench {
    fn new(slots: usize) -> Self {
        let mut gate = Gate::new(slots, vec![VERSION.to_owned()]);
        gate.handle(Duration::ZERO, GateEvent::Plan { revision: Revision(1), plan: plan() });
        let (started, stopped, refused) = (HashMap::new(), Vec::new(), Vec::new());
        Self { gate, now: Duration::ZERO, running: Vec::new(), started, stopped, refused, count: 0 }
    }

    fn ask(&mut self, kind: &str, org: &str, priority: Priority, patience: Duration) -> String {
        self.ask_with(kind, org, priority, |ask| ask.patience = patience)
    }

    fn ask_with(&mut self, kind: &str, org: &str, priority: Priority, change: impl FnOnce(&mut Ask)) -> String {
        self.count += 1;
        let attempt = format!("{kind}.{}", self.count);
        let mut ask = Ask {
            attempt: attempt.parse().expect("an id"),
            org: org.parse().expect("an id"),
            branch: org.parse().expect("an id"),
            work: Work::Version(VERSION.parse().expect("an id")),
            priority,
            cost: 20,
            patience: Duration::from_secs(3600),
            two_step: false,
            resumed: false,
            isolated: false,
        };
        change(&mut ask);
        self.tell(GateEvent::Ask(ask));
        attempt
    }

    fn tell(&mut self, event: GateEvent) {
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
        self.tell(GateEvent::Finish { attempt: attempt.parse().expect("an id") });
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let due: Vec<String> =
            self.running.iter().filter(|(_, end)| *end <= self.now).map(|(attempt, _)| attempt.clone()).collect();
        for attempt in due {
            self.finish(&attempt);
        }
        self.tell(GateEvent::Tick);
    }

    fn started(&self, kind: &str) -> usize {
        self.started.get(kind).copied().unwrap_or_default()
    }

    fn runs(&self, attempt: &str) -> bool {
        self.running.iter().any(|(running, _)| running == attempt)
    }
}

const PATIENT: Duration = Duration::from_secs(3600);

#[test]
fn urgent_work_takes_the_place_of_batch_work() {
    let mut bench = Bench::new(2);
    let first = bench.ask("batch", "maktabat", Priority::Batch, PATIENT);
    bench.advance(Duration::from_millis(1));
    let second = bench.ask("batch", "maktabat", Priority::Batch, PATIENT);
    let urgent = bench.ask("urgent", "kovacs", Priority::Urgent, PATIENT);
    assert_eq!(bench.stopped, [second.as_str()], "the one that has run least is stopped");
    bench.finish(&second);
    assert!(bench.runs(&urgent) && bench.runs(&first));
}

#[test]
fn an_answer_that_goes_on_is_not_stopped_and_not_refused() {
    let mut bench = Bench::new(1);
    let resumed = bench.ask_with("batch", "maktabat", Priority::Batch, |ask| ask.resumed = true);
    for _ in 0..50 {
        bench.ask("urgent", "kovacs", Priority::Urgent, PATIENT);
    }
    assert!(bench.stopped.is_empty() && bench.runs(&resumed));
    bench.ask_with("late", "maktabat", Priority::Batch, |ask| {
        ask.resumed = true;
        ask.patience = Duration::from_millis(1);
    });
    assert!(bench.refused.is_empty(), "{:?}", bench.refused);
}

#[test]
fn lower_ranks_keep_their_floors_under_a_flood_of_urgent_work() {
    let mut bench = Bench::new(4);
    // All places are taken first, so that whatever starts below its rank does so by its floor.
    for _ in 0..4 {
        bench.ask("urgent", "kovacs", Priority::Urgent, PATIENT);
    }
    for _ in 0..2000 {
        bench.ask("urgent", "kovacs", Priority::Urgent, PATIENT);
        bench.ask("normal", "kovacs", Priority::Normal, PATIENT);
        bench.ask("batch", "maktabat", Priority::Batch, PATIENT);
    }
    for _ in 0..250 {
        bench.advance(SERVICE_TIME);
    }
    let all: usize = bench.started.values().sum();
    let share = |kind: &str| bench.started(kind) as f64 / all as f64;
    assert!(share("normal") >= 0.09, "normal work got {}", share("normal"));
    assert!(share("batch") >= 0.045, "batch work got {}", share("batch"));
    assert!(share("urgent") >= 0.8, "urgent work got {}", share("urgent"));
    assert!(bench.stopped.is_empty(), "work that runs by its floor is not stopped");
}

#[test]
fn a_small_caller_is_served_beside_one_that_asks_for_far_too_much() {
    let mut bench = Bench::new(4);
    let patience = Duration::from_millis(1700);
    let mut small = Vec::new();
    for step in 0..500 {
        for _ in 0..8 {
            bench.ask("greedy", "kovacs", Priority::Urgent, patience);
        }
        if step % 10 == 0 {
            small.push(bench.ask("small", "maktabat", Priority::Urgent, patience));
        }
        bench.advance(Duration::from_millis(20));
    }
    for _ in 0..100 {
        bench.advance(SERVICE_TIME);
    }
    assert_eq!(bench.started("small"), small.len(), "all of the small caller's work ran");
    let refused = bench.refused.iter().filter(|(attempt, _)| attempt.starts_with("greedy")).count();
    assert!(refused > 1000, "most of the greedy caller's work is refused at once: {refused}");
}

#[test]
fn an_isolated_attempt_runs_with_nothing_beside_it() {
    let mut bench = Bench::new(4);
    let before = bench.ask("before", "kovacs", Priority::Normal, PATIENT);
    let alone = bench.ask_with("alone", "kovacs", Priority::Normal, |ask| ask.isolated = true);
    let after = bench.ask("after", "kovacs", Priority::Urgent, PATIENT);
    assert!(bench.runs(&before) && !bench.runs(&alone) && !bench.runs(&after));
    bench.finish(&before);
    assert!(bench.runs(&alone) && !bench.runs(&after));
    bench.finish(&alone);
    assert!(bench.runs(&after));
}

#[test]
fn nothing_is_given_to_a_runner_that_is_down() {
    let mut bench = Bench::new(1);
    let running = bench.ask("running", "kovacs", Priority::Normal, PATIENT);
    bench.ask("waiting", "kovacs", Priority::Normal, PATIENT);
    bench.tell(GateEvent::RunnerDown);
    bench.finish(&running);
    bench.ask("late", "kovacs", Priority::Normal, PATIENT);
    let reasons: Vec<RefusalReason> = bench.refused.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(reasons, [RefusalReason::RunnerDown; 2]);
    bench.tell(GateEvent::RunnerUp);
    let back = bench.ask("back", "kovacs", Priority::Normal, PATIENT);
    assert!(bench.runs(&back));
}
