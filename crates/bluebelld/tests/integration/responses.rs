//! Failover and isolation: every caller receives the complete response to its own request, also when engines, sidecars
//! or connections fail, and a request refused as not run has not run on any engine.

use std::{collections::HashSet, time::Duration};

use bluebell_core::keys::digest;
use bluebell_standins::{
    engine::{self, POISON},
    ledger,
    proxy::{LinkFault, LinkFaults},
};

use crate::{
    end_to_end::expected_text,
    util::{ATLAS_DESK, ATLAS_VAN, ChatRequest, Fleet, FleetBuilder, KOVACS_BENCH, until},
};

/// Memory limit of a sidecar, which has the allotment of one small process next to its runner.
const SIDECAR_MEMORY_LIMIT: u64 = 192 << 20;

const LONG_REQUEST: ChatRequest<'_> =
    ChatRequest { model: "auto", prompt: "tell me all", tokens: 200, stream: true, session: None, key: None };

/// Waits until an engine has started a request; returns the index of that engine.
async fn wait_for_busy_engine(fleet: &Fleet) -> usize {
    until("an engine to start a request", || async { !fleet.engine_runs().is_empty() }).await;
    fleet.engines.iter().position(|engine| !Fleet::runs(engine).is_empty()).expect("an engine has started a request")
}

/// Failure of the process that serves a streamed response.
#[derive(Debug, Clone, Copy)]
enum Failure {
    SidecarKilled,
    EngineKilled,
    SidecarFrozen,
    EngineFrozen,
}

/// Fails the process that serves a long response, then checks that another engine resumes the response where it broke
/// off, that the caller gets the complete text, and that one billing row counts all tokens.
async fn assert_response_survives(failure: Failure) {
    let mut fleet = FleetBuilder::default().micros_per_token(10_000).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let pending = tokio::spawn(async move { caller.chat(&LONG_REQUEST).await });
    let index = wait_for_busy_engine(&fleet).await;
    Fleet::sleep(Duration::from_millis(300)).await;
    match failure {
        Failure::SidecarKilled => fleet.engines[index].sidecar.kill(),
        Failure::EngineKilled => fleet.engines[index].runner.kill(),
        Failure::SidecarFrozen => fleet.engines[index].sidecar.freeze(),
        Failure::EngineFrozen => fleet.engines[index].runner.freeze(),
    }
    let response = pending.await.expect("the caller task should not panic");
    assert!(response.complete, "{failure:?}: {response:?}");
    assert_eq!(response.text, expected_text(&response.version, &LONG_REQUEST), "{failure:?}");
    let runs = fleet.engine_runs();
    assert_eq!(runs.len(), 2, "{failure:?}: the response should resume on one other engine: {runs:?}");
    assert!(
        runs.iter().any(|run| run["from"].as_u64() > Some(0)),
        "the second engine should resume after the tokens already sent: {runs:?}"
    );
    let rows = fleet.wait_for_billing_rows(1).await;
    assert_eq!(rows[0].value["output"], 200, "one billing row should count all tokens");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_survives_the_kill_of_its_sidecar() {
    assert_response_survives(Failure::SidecarKilled).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_survives_the_kill_of_its_engine() {
    assert_response_survives(Failure::EngineKilled).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_survives_a_frozen_sidecar() {
    assert_response_survives(Failure::SidecarFrozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_survives_a_frozen_engine() {
    assert_response_survives(Failure::EngineFrozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_survives_a_connection_that_is_cut_or_one_way() {
    for fault in [LinkFault::Cut, LinkFault::Discard, LinkFault::Freeze, LinkFault::CutAfter(500)] {
        let mut fleet = FleetBuilder::default().entries(1).micros_per_token(10_000).start().await;
        let mut proxies = Vec::new();
        for index in 0..fleet.engines.len() {
            let name = fleet.engines[index].name.clone();
            proxies.push(fleet.proxy(&name).await);
        }
        let caller = fleet.caller(0, ATLAS_VAN);
        let pending = tokio::spawn(async move { caller.chat(&LONG_REQUEST).await });
        let index = wait_for_busy_engine(&fleet).await;
        Fleet::sleep(Duration::from_millis(300)).await;
        proxies[index].set(LinkFaults { up: LinkFault::None, down: fault });
        let response = pending.await.expect("the caller task should not panic");
        assert!(response.complete, "{fault:?}: {response:?}");
        assert_eq!(response.text, expected_text(&response.version, &LONG_REQUEST), "{fault:?}");
        let rows = fleet.wait_for_billing_rows(1).await;
        assert_eq!(rows[0].value["output"], 200, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_another_runner_a_response_ends_with_a_typed_error() {
    let mut fleet = FleetBuilder::default().engines(vec![vec!["atlas-small@1"]]).micros_per_token(10_000).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let pending = tokio::spawn(async move { caller.chat(&LONG_REQUEST).await });
    wait_for_busy_engine(&fleet).await;
    Fleet::sleep(Duration::from_millis(300)).await;
    fleet.engines[0].runner.kill();
    let response = pending.await.expect("the caller task should not panic");
    assert!(!response.complete, "{response:?}");
    assert_eq!((response.code(), response.ran()), ("runner_failed", "yes"), "{response:?}");
    fleet.wait_for_billing_rows(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_did_not_run() {
    let engines = vec![vec!["atlas-small@1"]; 2];
    let fleet = FleetBuilder::default().engines(engines).slots(2).micros_per_token(20_000).start().await;
    let mut tasks = Vec::new();
    for number in 0..200 {
        let caller = fleet.caller(number % 2, ATLAS_VAN);
        tasks.push(tokio::spawn(async move {
            let key = format!("flood-{number}");
            let request = ChatRequest { tokens: 20, key: Some(&key), ..ChatRequest::default() };
            (digest(&format!("maktabat {key}"))[..32].to_owned(), caller.chat(&request).await)
        }));
    }
    let mut refused = HashSet::new();
    let mut served = 0;
    for task in tasks {
        let (request_id, response) = task.await.expect("the caller task should not panic");
        if response.status == 200 {
            assert!(response.complete, "{response:?}");
            served += 1;
            continue;
        }
        assert_eq!(response.ran(), "no", "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
        refused.insert(request_id);
    }
    assert!(served > 0 && !refused.is_empty(), "{served} served, {} refused", refused.len());
    for run in fleet.engine_runs() {
        let attempt = run["attempt"].as_str().unwrap_or_default();
        let request_id = attempt.split('.').next().unwrap_or_default();
        assert!(!refused.contains(request_id), "{attempt} ran although its request was refused as not run");
    }
    fleet.wait_for_billing_rows(served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_fails_after_at_most_two_and_other_requests_complete() {
    let mut fleet = FleetBuilder::default()
        .engines(vec![vec!["atlas-small@1"]; 4])
        .entries(1)
        .micros_per_token(10_000)
        .start()
        .await;
    let mut unrelated = Vec::new();
    for number in 0..12 {
        let caller = fleet.caller(0, KOVACS_BENCH);
        unrelated.push(tokio::spawn(async move {
            let prompt = format!("innocent question {number}");
            let request = ChatRequest { prompt: &prompt, tokens: 100, ..ChatRequest::default() };
            (caller.chat(&request).await, expected_text("atlas-small@1", &request))
        }));
    }
    until("the unrelated requests to run", || async { fleet.engine_runs().len() >= 12 }).await;
    let poison =
        fleet.caller(0, ATLAS_VAN).chat(&ChatRequest { prompt: POISON, tokens: 50, ..ChatRequest::default() }).await;
    assert_eq!(poison.code(), "runner_failed", "{poison:?}");
    let mut crashed = 0;
    for engine in &mut fleet.engines {
        crashed += usize::from(!engine.runner.is_running());
    }
    assert!((1..=2).contains(&crashed), "{crashed} engines crashed");
    for task in unrelated {
        let (response, expected) = task.await.expect("the caller task should not panic");
        assert!(response.complete, "{response:?}");
        assert_eq!(response.text, expected);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn batch_responses_preempted_by_urgent_ones_are_complete() {
    let engines = vec![vec!["atlas-small@1"]];
    let fleet = FleetBuilder::default().engines(engines).slots(4).micros_per_token(5000).start().await;
    let send_all = |key: &'static str, count: usize, tokens: u64| {
        let task = |number: usize| {
            let caller = fleet.caller(number % 2, key);
            tokio::spawn(async move {
                let prompt = format!("{key} asks {number}");
                let request = ChatRequest { prompt: &prompt, tokens, ..ChatRequest::default() };
                (caller.chat(&request).await, expected_text("atlas-small@1", &request))
            })
        };
        (0..count).map(task).collect::<Vec<_>>()
    };
    let batch = send_all(ATLAS_DESK, 8, 150);
    until("batch requests to run", || async { fleet.engine_runs().len() >= 4 }).await;
    Fleet::sleep(Duration::from_millis(200)).await;
    let urgent = send_all(ATLAS_VAN, 8, 20);
    for task in batch.into_iter().chain(urgent) {
        let (response, expected) = task.await.expect("the caller task should not panic");
        assert!(response.complete, "{response:?}");
        assert_eq!(response.text, expected);
    }
    let resumed = fleet.engine_runs().iter().filter(|run| run["from"].as_u64() > Some(0)).count();
    assert!(resumed > 0, "some batch responses should be preempted and resumed");
    fleet.wait_for_billing_rows(16).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unbounded_response_of_a_runner_fails_the_request_and_not_the_sidecar() {
    let fleet = FleetBuilder::default().engines(vec![vec!["atlas-small@1"]; 2]).entries(1).ledgers(2).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let response = caller.chat(&ChatRequest { prompt: engine::ENDLESS, ..ChatRequest::default() }).await;
    assert_eq!(response.code(), "runner_failed", "{response:?}");
    let response = caller.call("ledger", ledger::ENDLESS, Some("endless"), "x").await;
    assert_eq!(response.code(), "outcome_unknown", "{response:?}");
    until("an ordinary request to be answered", || async { caller.chat(&ChatRequest::default()).await.complete }).await;
    for sidecar in fleet.engines.iter().chain(&fleet.ledgers).map(|runner| &runner.sidecar) {
        let peak = sidecar.peak_memory();
        assert!(peak < SIDECAR_MEMORY_LIMIT, "peak memory of {} MiB", peak >> 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_runners_error_in_the_middle_of_its_stream_does_not_complete_the_response() {
    let fleet = FleetBuilder::default().engines(vec![vec!["atlas-small@1"]; 2]).entries(1).start().await;
    let request = ChatRequest { prompt: engine::ERROR_EVENT, tokens: 40, stream: true, ..ChatRequest::default() };
    let response = fleet.caller(0, ATLAS_VAN).chat(&request).await;
    assert!(response.complete, "{response:?}");
    assert_eq!(response.text, expected_text(&response.version, &request));
    assert_eq!(fleet.engine_runs().len(), 2);
}

/// Further crashes that users of the router tolerate when a request that has crashed three runners is sent again.
const MAX_CRASHES_BY_REPEATS: usize = 3;

/// Restarts the engines that have crashed; returns their number.
async fn restart_crashed_engines(fleet: &mut Fleet) -> usize {
    let mut crashed = 0;
    for engine in &mut fleet.engines {
        if !engine.runner.is_running() {
            engine.runner.restart();
            crashed += 1;
        }
    }
    Fleet::sleep(Duration::from_millis(700)).await;
    crashed
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_held_back_at_all_entries_also_after_their_restart() {
    let mut fleet = FleetBuilder::default()
        .engines(vec![vec!["atlas-small@1"]; 4])
        .entries(2)
        .micros_per_token(5_000)
        .start()
        .await;
    let poison = ChatRequest { prompt: POISON, tokens: 50, ..ChatRequest::default() };
    let unrelated = || ChatRequest { prompt: "an innocent question", tokens: 50, ..ChatRequest::default() };
    let mut crashed = 0;
    for round in 0..8 {
        let callers = [0, 1].map(|index| fleet.caller(index, KOVACS_BENCH));
        let pending =
            tokio::spawn(async move { (callers[0].chat(&unrelated()).await, callers[1].chat(&unrelated()).await) });
        fleet.caller(round % 2, ATLAS_VAN).chat(&poison).await;
        let unrelated_responses = pending.await.expect("the caller task should not panic");
        assert!(unrelated_responses.0.complete && unrelated_responses.1.complete, "{unrelated_responses:?}");
        crashed += restart_crashed_engines(&mut fleet).await;
    }
    assert!((3..=3 + MAX_CRASHES_BY_REPEATS).contains(&crashed), "{crashed} engines crashed");
    let stored = || async { fleet.scan_table("bluebell", "").await.iter().any(|row| row.key.starts_with("crash/")) };
    until("the crash reports to be stored", stored).await;
    fleet.entries.iter_mut().for_each(|entry| entry.process.kill());
    fleet.entries.iter_mut().for_each(|entry| entry.process.restart());
    for index in [0, 1] {
        until("the restarted entry to serve requests", || async {
            fleet.caller(index, KOVACS_BENCH).chat(&unrelated()).await.complete
        })
        .await;
        let response = fleet.caller(index, ATLAS_VAN).chat(&poison).await;
        assert_eq!((response.code(), response.ran()), ("held_back", "no"), "{response:?}");
        assert!(response.retry_after > Some(60), "{response:?}");
    }
    assert_eq!(restart_crashed_engines(&mut fleet).await, 0);
}
