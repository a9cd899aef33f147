//! Every caller receives the whole answer to its own request; a refusal that says "not run" is true.

use std::{collections::HashSet, time::Duration};

use bluebell_core::keys::digest;
use bluebell_standins::{
    engine::{self, POISON},
    ledger,
    proxy::{LinkFault, LinkFaults},
};

use crate::{
    path::expected,
    util::{ATLAS_DESK, ATLAS_VAN, Ask, Fleet, FleetBuilder, KOVACS_BENCH, until},
};

/// Memory of the slot for one small process beside a runner.
const SIDECAR_MEMORY: u64 = 192 << 20;

const LONG: Ask<'_> = Ask { model: "auto", prompt: "tell me all", tokens: 200, stream: true, session: None, key: None };

/// Starts a long answer, and gives the number of the engine that runs it.
async fn engine_at_work(fleet: &Fleet) -> usize {
    until("an engine to start", || async { !fleet.engine_runs().is_empty() }).await;
    fleet.engines.iter().position(|engine| !Fleet::runs(engine).is_empty()).expect("one has started")
}

#[derive(Debug, Clone, Copy)]
enum Victim {
    Sidecar,
    Engine,
    FrozenSidecar,
    FrozenEngine,
}

async fn survives(victim: Victim) {
    let mut fleet = FleetBuilder::default().step(10_000).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let asking = tokio::spawn(async move { caller.ask(&LONG).await });
    let at = engine_at_work(&fleet).await;
    Fleet::pause(Duration::from_millis(300)).await;
    match victim {
        Victim::Sidecar => fleet.engines[at].sidecar.kill(),
        Victim::Engine => fleet.engines[at].runner.kill(),
        Victim::FrozenSidecar => fleet.engines[at].sidecar.freeze(),
        Victim::FrozenEngine => fleet.engines[at].runner.freeze(),
    }
    let answer = asking.await.expect("the caller ends");
    assert!(answer.whole, "{victim:?}: {answer:?}");
    assert_eq!(answer.text, expected(&answer.version, &LONG), "{victim:?}");
    let runs = fleet.engine_runs();
    assert_eq!(runs.len(), 2, "{victim:?}: it went on at another engine: {runs:?}");
    assert!(runs.iter().any(|run| run["from"].as_u64() > Some(0)), "it went on where it broke off: {runs:?}");
    let rows = fleet.wait_bills(1).await;
    assert_eq!(rows[0].value["output"], 200, "all tokens stand in one row");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_the_kill_of_its_sidecar() {
    survives(Victim::Sidecar).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_the_kill_of_its_engine() {
    survives(Victim::Engine).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_a_frozen_sidecar() {
    survives(Victim::FrozenSidecar).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_a_frozen_engine() {
    survives(Victim::FrozenEngine).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_a_connection_that_is_cut_or_one_way() {
    for harm in [LinkFault::Cut, LinkFault::Discard, LinkFault::Freeze, LinkFault::CutAfter(500)] {
        let mut fleet = FleetBuilder::default().entries(1).step(10_000).start().await;
        let mut proxies = Vec::new();
        for at in 0..fleet.engines.len() {
            let name = fleet.engines[at].name.clone();
            proxies.push(fleet.proxy(&name).await);
        }
        let caller = fleet.caller(0, ATLAS_VAN);
        let asking = tokio::spawn(async move { caller.ask(&LONG).await });
        let at = engine_at_work(&fleet).await;
        Fleet::pause(Duration::from_millis(300)).await;
        proxies[at].set(LinkFaults { up: LinkFault::None, down: harm });
        let answer = asking.await.expect("the caller ends");
        assert!(answer.whole, "{harm:?}: {answer:?}");
        assert_eq!(answer.text, expected(&answer.version, &LONG), "{harm:?}");
        let rows = fleet.wait_bills(1).await;
        assert_eq!(rows[0].value["output"], 200, "{harm:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_another_runner_an_answer_ends_with_a_typed_error() {
    let mut fleet = FleetBuilder::default().engines(vec![vec!["atlas-small@1"]]).step(10_000).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let asking = tokio::spawn(async move { caller.ask(&LONG).await });
    engine_at_work(&fleet).await;
    Fleet::pause(Duration::from_millis(300)).await;
    fleet.engines[0].runner.kill();
    let answer = asking.await.expect("the caller ends");
    assert!(!answer.whole, "{answer:?}");
    assert_eq!((answer.code(), answer.ran()), ("runner_failed", "yes"), "{answer:?}");
    fleet.wait_bills(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_did_not_run() {
    let engines = vec![vec!["atlas-small@1"]; 2];
    let fleet = FleetBuilder::default().engines(engines).slots(2).step(20_000).start().await;
    let mut tasks = Vec::new();
    for number in 0..200 {
        let caller = fleet.caller(number % 2, ATLAS_VAN);
        tasks.push(tokio::spawn(async move {
            let key = format!("flood-{number}");
            let ask = Ask { tokens: 20, key: Some(&key), ..Ask::default() };
            (digest(&format!("maktabat {key}"))[..32].to_owned(), caller.ask(&ask).await)
        }));
    }
    let mut refused = HashSet::new();
    let mut served = 0;
    for task in tasks {
        let (request, answer) = task.await.expect("the caller ends");
        if answer.status == 200 {
            assert!(answer.whole, "{answer:?}");
            served += 1;
            continue;
        }
        assert_eq!(answer.ran(), "no", "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        refused.insert(request);
    }
    assert!(served > 0 && !refused.is_empty(), "{served} served, {} refused", refused.len());
    for run in fleet.engine_runs() {
        let attempt = run["attempt"].as_str().unwrap_or_default();
        let request = attempt.split('.').next().unwrap_or_default();
        assert!(!refused.contains(request), "{attempt} was refused as not run, but ran");
    }
    fleet.wait_bills(served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_stops_after_two_and_spares_the_others() {
    let mut fleet =
        FleetBuilder::default().engines(vec![vec!["atlas-small@1"]; 4]).entries(1).step(10_000).start().await;
    let mut innocent = Vec::new();
    for number in 0..12 {
        let caller = fleet.caller(0, KOVACS_BENCH);
        innocent.push(tokio::spawn(async move {
            let prompt = format!("innocent question {number}");
            let ask = Ask { prompt: &prompt, tokens: 100, ..Ask::default() };
            (caller.ask(&ask).await, expected("atlas-small@1", &ask))
        }));
    }
    until("the innocent to run", || async { fleet.engine_runs().len() >= 12 }).await;
    let poison = fleet.caller(0, ATLAS_VAN).ask(&Ask { prompt: POISON, tokens: 50, ..Ask::default() }).await;
    assert_eq!(poison.code(), "runner_failed", "{poison:?}");
    let mut crashed = 0;
    for engine in &mut fleet.engines {
        crashed += usize::from(!engine.runner.is_running());
    }
    assert!((1..=2).contains(&crashed), "{crashed} engines crashed");
    for task in innocent {
        let (answer, expected) = task.await.expect("the caller ends");
        assert!(answer.whole, "{answer:?}");
        assert_eq!(answer.text, expected);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn batch_answers_that_give_way_to_urgent_ones_are_whole() {
    let engines = vec![vec!["atlas-small@1"]];
    let fleet = FleetBuilder::default().engines(engines).slots(4).step(5000).start().await;
    let ask_all = |key: &'static str, count: usize, tokens: u64| {
        let task = |number: usize| {
            let caller = fleet.caller(number % 2, key);
            tokio::spawn(async move {
                let prompt = format!("{key} asks {number}");
                let ask = Ask { prompt: &prompt, tokens, ..Ask::default() };
                (caller.ask(&ask).await, expected("atlas-small@1", &ask))
            })
        };
        (0..count).map(task).collect::<Vec<_>>()
    };
    let batch = ask_all(ATLAS_DESK, 8, 150);
    until("batch work to run", || async { fleet.engine_runs().len() >= 4 }).await;
    Fleet::pause(Duration::from_millis(200)).await;
    let urgent = ask_all(ATLAS_VAN, 8, 20);
    for task in batch.into_iter().chain(urgent) {
        let (answer, expected) = task.await.expect("the caller ends");
        assert!(answer.whole, "{answer:?}");
        assert_eq!(answer.text, expected);
    }
    let resumed = fleet.engine_runs().iter().filter(|run| run["from"].as_u64() > Some(0)).count();
    assert!(resumed > 0, "some batch answers gave way and went on later");
    fleet.wait_bills(16).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_from_runners_fail_the_request_and_not_the_sidecar() {
    let fleet = FleetBuilder::default().engines(vec![vec!["atlas-small@1"]; 2]).entries(1).ledgers(2).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let answer = caller.ask(&Ask { prompt: engine::ENDLESS, ..Ask::default() }).await;
    assert_eq!(answer.code(), "runner_failed", "{answer:?}");
    let answer = caller.call("ledger", ledger::ENDLESS, Some("endless"), "x").await;
    assert_eq!(answer.code(), "outcome_unknown", "{answer:?}");
    until("an ordinary request to be answered", || async { caller.ask(&Ask::default()).await.whole }).await;
    for sidecar in fleet.engines.iter().chain(&fleet.ledgers).map(|runner| &runner.sidecar) {
        let peak = sidecar.peak_memory();
        assert!(peak < SIDECAR_MEMORY, "{} MB at the peak", peak >> 20);
    }
}

/// Repeats of a request that ends runners, beyond the third end, that the users allow.
const ALLOWED_REPEATS: usize = 3;

async fn restart_engines(fleet: &mut Fleet) -> usize {
    let mut ended = 0;
    for engine in &mut fleet.engines {
        if !engine.runner.is_running() {
            engine.runner.restart();
            ended += 1;
        }
    }
    Fleet::pause(Duration::from_millis(700)).await;
    ended
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_of_a_request_that_crashes_engines_stop_at_all_entries_and_later_ones() {
    let mut fleet =
        FleetBuilder::default().engines(vec![vec!["atlas-small@1"]; 4]).entries(2).step(5_000).start().await;
    let poison = Ask { prompt: POISON, tokens: 50, ..Ask::default() };
    let innocent = || Ask { prompt: "an innocent question", tokens: 50, ..Ask::default() };
    let mut ended = 0;
    for round in 0..8 {
        let callers = [0, 1].map(|at| fleet.caller(at, KOVACS_BENCH));
        let asking =
            tokio::spawn(async move { (callers[0].ask(&innocent()).await, callers[1].ask(&innocent()).await) });
        fleet.caller(round % 2, ATLAS_VAN).ask(&poison).await;
        let beside = asking.await.expect("the callers end");
        assert!(beside.0.whole && beside.1.whole, "{beside:?}");
        ended += restart_engines(&mut fleet).await;
    }
    assert!((3..=3 + ALLOWED_REPEATS).contains(&ended), "{ended} engines ended");
    let stored = || async { fleet.scan("bluebell", "").await.iter().any(|row| row.key.starts_with("crash/")) };
    until("the reports to be stored", stored).await;
    fleet.entries.iter_mut().for_each(|entry| entry.process.kill());
    fleet.entries.iter_mut().for_each(|entry| entry.process.restart());
    for at in [0, 1] {
        until("an entry to serve", || async { fleet.caller(at, KOVACS_BENCH).ask(&innocent()).await.whole }).await;
        let answer = fleet.caller(at, ATLAS_VAN).ask(&poison).await;
        assert_eq!((answer.code(), answer.ran()), ("held_back", "no"), "{answer:?}");
        assert!(answer.retry_after > Some(60), "{answer:?}");
    }
    assert_eq!(restart_engines(&mut fleet).await, 0);
}
