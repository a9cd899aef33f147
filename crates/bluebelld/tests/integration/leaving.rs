//! A runner that is leaving receives no new work; every planned stop is graceful.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bluebell_core::members::Phase;
use tokio::{task::JoinHandle, time::Instant};

use crate::util::{Answer, Ask, Caller, Fleet, FleetBuilder, KOVACS_BENCH, until};

/// Time after which a leaving runner gets nothing.
const LEAVING_TIME: Duration = Duration::from_secs(3);

/// Callers that ask without a pause, at whichever entry is ready, until told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Answer>>>,
}

impl Load {
    fn start(fleet: &Fleet, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let entries: Vec<Caller> = (0..fleet.entries.len()).map(|at| fleet.caller(at, KOVACS_BENCH)).collect();
        let task = |number: usize| tokio::spawn(ask_on(entries.clone(), number, Arc::clone(&stop)));
        let tasks = (0..callers).map(task).collect();
        Self { stop, tasks }
    }

    async fn finish(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        for task in self.tasks {
            answers.extend(task.await.expect("a caller ends"));
        }
        answers
    }
}

async fn ask_on(entries: Vec<Caller>, number: usize, stop: Arc<AtomicBool>) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut at = number;
    while !stop.load(Ordering::Relaxed) {
        at += 1;
        let entry = &entries[at % entries.len()];
        if entry.get("/readyz").await.0 != 200 {
            continue;
        }
        answers.push(entry.ask(&Ask { tokens: 20, ..Ask::default() }).await);
    }
    answers
}

fn assert_whole(answers: &[Answer]) {
    assert!(!answers.is_empty());
    let bad = answers.iter().find(|answer| !answer.whole);
    assert!(bad.is_none(), "one of {} was cut: {bad:?}", answers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_listed_as_leaving_gets_nothing_after_three_seconds() {
    let mut fleet = FleetBuilder::default().step(2000).start().await;
    let load = Load::start(&fleet, 8);
    until("every engine to work", || async { fleet.engines.iter().all(|engine| !Fleet::runs(engine).is_empty()) })
        .await;
    let name = fleet.engines[0].name.clone();
    fleet.set_phase(&name, Phase::Leaving).await;
    Fleet::pause(LEAVING_TIME).await;
    let before = Fleet::runs(&fleet.engines[0]).len();
    Fleet::pause(LEAVING_TIME).await;
    assert_eq!(Fleet::runs(&fleet.engines[0]).len(), before);
    assert_whole(&load.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_told_to_stop_takes_nothing_new_and_finishes_what_it_has() {
    let mut fleet = FleetBuilder::default().step(5000).start().await;
    let load = Load::start(&fleet, 12);
    until("every engine to work", || async { fleet.engines.iter().all(|engine| !Fleet::runs(engine).is_empty()) })
        .await;
    fleet.engines[0].sidecar.terminate();
    let begun = Instant::now();
    assert_eq!(fleet.engines[0].sidecar.ended().await, Some(0));
    assert!(begun.elapsed() < LEAVING_TIME, "it ended after {:?}", begun.elapsed());
    let before = Fleet::runs(&fleet.engines[0]).len();
    Fleet::pause(Duration::from_secs(1)).await;
    assert_eq!(Fleet::runs(&fleet.engines[0]).len(), before);
    let answers = load.finish().await;
    assert_whole(&answers);
    fleet.wait_bills(answers.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_instances_replaced_one_after_another_cut_nothing() {
    let mut fleet = FleetBuilder::default().step(2000).start().await;
    let load = Load::start(&fleet, 6);
    for at in 0..fleet.engines.len() {
        fleet.engines[at].sidecar.terminate();
        assert_eq!(fleet.engines[at].sidecar.ended().await, Some(0), "{}", fleet.engines[at].name);
        fleet.engines[at].sidecar.restart();
        fleet.wait_ready().await;
    }
    for at in 0..fleet.entries.len() {
        fleet.entries[at].process.terminate();
        assert_eq!(fleet.entries[at].process.ended().await, Some(0), "{}", fleet.entries[at].name);
        fleet.entries[at].process.restart();
        fleet.wait_entry(at).await;
    }
    let answers = load.finish().await;
    assert_whole(&answers);
    fleet.wait_bills(answers.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_instances_in_the_list_and_live_ones_missing_from_it_do_no_harm() {
    let mut fleet = FleetBuilder::default().entries(1).start().await;
    fleet.engines[0].sidecar.kill();
    fleet.listed.retain(|item| item.instance.as_str() != fleet.engines[1].name);
    fleet.list().await;
    Fleet::pause(Duration::from_secs(3)).await;
    for _ in 0..20 {
        let answer = fleet.caller(0, KOVACS_BENCH).ask(&Ask::default()).await;
        assert!(answer.whole, "{answer:?}");
    }
}
