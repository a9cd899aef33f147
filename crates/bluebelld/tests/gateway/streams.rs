//! Streams: whole events, resumed at another upstream or broken towards the caller, never ended as complete too early.

use std::time::Duration;

use bluebell_standins::site::Fault;

use super::{
    caller::{Ask, Caller},
    site::{EVENTS, Site},
    until,
};

fn talk(id: &str) -> Ask {
    Ask::new("/talk/1", id).header("model", "*").header("token-count", "100,50").header("prompt-prefix", "aa:60,bb:40")
}

fn all() -> Vec<u64> {
    (1..=EVENTS).collect()
}

#[tokio::test]
async fn stream_that_an_upstream_cuts_goes_on_at_another() {
    for fault in [Fault::Cut(3), Fault::CutUnframed(3), Fault::Cut(0), Fault::CutUnframed(0)] {
        let site = Site::start(1).await;
        site.chat[0].set_default_fault(Some(fault.clone()));
        for round in 0..4 {
            let id = format!("r-{round}");
            let answer = site.gateways[0].ask(&talk(&id)).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{fault:?}");
            assert_eq!(answer.events(), all(), "{fault:?}");
            let runs = site.runs(&id);
            let resumed = runs.iter().find(|run| run.request.header("last-event-id") == "3");
            assert!(runs.len() == 1 || resumed.is_some() || matches!(fault, Fault::Cut(0) | Fault::CutUnframed(0)));
            let models: Vec<_> = runs.iter().map(|run| run.request.header("model")).collect();
            assert!(models.iter().all(|model| *model == models[0]), "{models:?}");
        }
    }
}

#[tokio::test]
async fn event_that_comes_with_one_astray_reaches_the_caller_before_the_stream_goes_on_elsewhere() {
    let site = Site::start(1).await;
    site.chat[0].set_default_fault(Some(Fault::OutOfSequence(2)));
    for round in 0..6 {
        let answer = site.gateways[0].ask(&talk(&format!("r-{round}"))).await;
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all()), "round {round}");
    }
}

#[tokio::test]
async fn stream_that_cannot_be_resumed_breaks_towards_the_caller() {
    let site = Site::start(1).await;
    for fault in [Fault::Cut(3), Fault::CutUnframed(3)] {
        site.chat.iter().for_each(|one| one.set_default_fault(Some(fault.clone())));
        let ask = Ask::new("/once/1", "r-1").header("model", "*").header("token-count", "10,50");
        let mut caller = Caller::connect(site.gateways[0].callers).await.expect("a connection");
        let answer = caller.ask(&ask).await.expect("the beginning of an answer");
        assert!(!answer.complete, "{fault:?}: framed as complete");
        assert_eq!(answer.events(), [1, 2, 3], "{fault:?}");
        assert!(answer.body.ends_with("\n\n"), "half an event");
    }
    assert_eq!(site.runs("r-1").len(), 2, "one run for each of the two requests");
}

#[tokio::test]
async fn resumable_stream_breaks_when_its_attempts_are_used_up() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Cut(0))));
    let mut caller = Caller::connect(site.gateways[0].callers).await.expect("a connection");
    let answer = caller.ask(&talk("r-1")).await;
    assert!(answer.is_none_or(|answer| !answer.complete));
    assert_eq!(site.runs("r-1").len(), 3);
}

#[tokio::test]
async fn unsure_answer_is_replaced_by_the_largest_models() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|one| one.next_faults([Fault::Confidence(10)]));
    let answer = site.gateways[0].ask(&talk("r-1")).await;
    assert_eq!((answer.status, answer.events()), (200, all()));
    assert!(answer.body.contains("large"), "{}", answer.body);
    let runs = site.runs("r-1");
    let models: Vec<_> = runs.iter().map(|run| run.request.header("model").to_owned()).collect();
    assert_eq!(models, ["small", "large"]);
    until("the first run to be broken off", || async { site.runs("r-1")[0].unfinished }).await;
}

#[tokio::test]
async fn model_that_the_caller_names_is_kept() {
    let site = Site::start(1).await;
    let ask = Ask::new("/talk/1", "r-1").header("model", "middle").header("token-count", "10,5");
    assert_eq!(site.gateways[0].ask(&ask).await.events(), all());
    assert_eq!(site.runs("r-1")[0].request.header("model"), "middle");
}

#[tokio::test]
async fn upstream_stops_work_soon_after_the_caller_has_left() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Silent)));
    let mut caller = Caller::connect(site.gateways[0].callers).await.expect("a connection");
    let ask = talk("r-1");
    let waiting = tokio::time::timeout(Duration::from_millis(300), caller.ask(&ask)).await;
    assert!(waiting.is_err());
    drop(caller);
    let closed = || async { site.gateways[0].process.log().contains("caller left before") };
    let took = until("the gateway to notice", closed).await;
    assert!(took < Duration::from_millis(500), "{took:?}");
}

#[tokio::test]
async fn silent_engine_is_left_for_another() {
    let site = Site::start(1).await;
    site.chat[0].set_default_fault(Some(Fault::Silent));
    for round in 0..2 {
        let answer = site.gateways[0].ask(&talk(&format!("r-{round}"))).await;
        assert_eq!(answer.events(), all(), "round {round}");
    }
}

#[tokio::test]
async fn steps_and_resumes_together_reach_no_more_upstreams_than_the_route_allows() {
    let mut site = Site::start(1).await;
    for number in 3..=6 {
        site.add_engine(&format!("chat-{number}"), "v1").await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let faults = [Fault::Confidence(0), Fault::Cut(2), Fault::LoseAnswer, Fault::Fails(500)];
    for round in 0..24 {
        for (number, engine) in site.chat.iter().enumerate() {
            engine.set_default_fault(Some(faults[(number + round) % faults.len()].clone()));
        }
        let id = format!("r-{round}");
        site.gateways[0].ask(&Ask::new("/talk/1", &id).body(&id)).await;
        let runs = site.runs(&id);
        assert!(runs.len() <= 3, "round {round}: {} runs", runs.len());
    }
}
