//! Graceful shutdown: a leaving runner receives no new requests, and planned stops interrupt no response.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bluebell_core::members::Phase;
use tokio::{task::JoinHandle, time::Instant};

use crate::util::{Caller, ChatRequest, Fleet, FleetBuilder, KOVACS_BENCH, Response, until};

/// Time within which a runner that is leaving stops receiving requests.
const LEAVING_PERIOD: Duration = Duration::from_secs(3);

/// Callers that each send one request after another, to whichever entries are ready, until told to stop.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Response>>>,
}

impl BackgroundLoad {
    fn start(fleet: &Fleet, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let entries: Vec<Caller> = (0..fleet.entries.len()).map(|index| fleet.caller(index, KOVACS_BENCH)).collect();
        let task = |number: usize| tokio::spawn(send_until_stopped(entries.clone(), number, Arc::clone(&stop)));
        let tasks = (0..callers).map(task).collect();
        Self { stop, tasks }
    }

    async fn finish(self) -> Vec<Response> {
        self.stop.store(true, Ordering::Relaxed);
        let mut responses = Vec::new();
        for task in self.tasks {
            responses.extend(task.await.expect("the caller task should not panic"));
        }
        responses
    }
}

async fn send_until_stopped(entries: Vec<Caller>, number: usize, stop: Arc<AtomicBool>) -> Vec<Response> {
    let mut responses = Vec::new();
    let mut index = number;
    while !stop.load(Ordering::Relaxed) {
        index += 1;
        let entry = &entries[index % entries.len()];
        if entry.get("/readyz").await.0 != 200 {
            continue;
        }
        responses.push(entry.chat(&ChatRequest { tokens: 20, ..ChatRequest::default() }).await);
    }
    responses
}

fn assert_all_complete(responses: &[Response]) {
    assert!(!responses.is_empty());
    let incomplete = responses.iter().find(|response| !response.complete);
    assert!(incomplete.is_none(), "one of {} responses is incomplete: {incomplete:?}", responses.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_listed_as_leaving_gets_no_requests_after_three_seconds() {
    let mut fleet = FleetBuilder::default().micros_per_token(2000).start().await;
    let load = BackgroundLoad::start(&fleet, 8);
    until("every engine to run requests", || async {
        fleet.engines.iter().all(|engine| !Fleet::runs(engine).is_empty())
    })
    .await;
    let name = fleet.engines[0].name.clone();
    fleet.set_phase(&name, Phase::Leaving).await;
    Fleet::sleep(LEAVING_PERIOD).await;
    let before = Fleet::runs(&fleet.engines[0]).len();
    Fleet::sleep(LEAVING_PERIOD).await;
    assert_eq!(Fleet::runs(&fleet.engines[0]).len(), before);
    assert_all_complete(&load.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_sidecar_accepts_no_requests_and_completes_running_ones() {
    let mut fleet = FleetBuilder::default().micros_per_token(5000).start().await;
    let load = BackgroundLoad::start(&fleet, 12);
    until("every engine to run requests", || async {
        fleet.engines.iter().all(|engine| !Fleet::runs(engine).is_empty())
    })
    .await;
    fleet.engines[0].sidecar.terminate();
    let started = Instant::now();
    assert_eq!(fleet.engines[0].sidecar.ended().await, Some(0));
    assert!(started.elapsed() < LEAVING_PERIOD, "the sidecar ended after {:?}", started.elapsed());
    let before = Fleet::runs(&fleet.engines[0]).len();
    Fleet::sleep(Duration::from_secs(1)).await;
    assert_eq!(Fleet::runs(&fleet.engines[0]).len(), before);
    let responses = load.finish().await;
    assert_all_complete(&responses);
    fleet.wait_for_billing_rows(responses.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_instances_interrupts_no_response() {
    let mut fleet = FleetBuilder::default().micros_per_token(2000).start().await;
    let load = BackgroundLoad::start(&fleet, 6);
    for index in 0..fleet.engines.len() {
        fleet.engines[index].sidecar.terminate();
        assert_eq!(fleet.engines[index].sidecar.ended().await, Some(0), "{}", fleet.engines[index].name);
        fleet.engines[index].sidecar.restart();
        fleet.wait_all_ready().await;
    }
    for index in 0..fleet.entries.len() {
        fleet.entries[index].process.terminate();
        assert_eq!(fleet.entries[index].process.ended().await, Some(0), "{}", fleet.entries[index].name);
        fleet.entries[index].process.restart();
        fleet.wait_entry_ready(index).await;
    }
    let responses = load.finish().await;
    assert_all_complete(&responses);
    fleet.wait_for_billing_rows(responses.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_list_with_a_dead_and_a_missing_instance_fails_no_request() {
    let mut fleet = FleetBuilder::default().entries(1).start().await;
    fleet.engines[0].sidecar.kill();
    fleet.instances.retain(|item| item.instance.as_str() != fleet.engines[1].name);
    fleet.publish_instances().await;
    Fleet::sleep(Duration::from_secs(3)).await;
    for _ in 0..20 {
        let response = fleet.caller(0, KOVACS_BENCH).chat(&ChatRequest::default()).await;
        assert!(response.complete, "{response:?}");
    }
}
