//! Streamed answers: callers get only whole events. A stream that breaks is resumed at another upstream or broken off
//! towards the caller, and is never ended as if it were complete.

use std::time::Duration;

use bluebell_standins::site::Fault;
use serde_json::json;

use super::{
    caller::{Ask, Caller},
    site::{EVENT_COUNT, Site},
    until,
};

/// A request for a resumable stream from any model.
fn stream_request(id: &str) -> Ask {
    Ask::new("/talk/1", id).header("model", "*").header("token-count", "100,50").header("prompt-prefix", "aa:60,bb:40")
}

/// Ids of the events of a complete answer.
fn all_events() -> Vec<u64> {
    (1..=EVENT_COUNT).collect()
}

#[tokio::test]
async fn truncated_stream_is_resumed_at_another_upstream_with_the_same_model() {
    for fault in [Fault::Cut(3), Fault::CutUnframed(3), Fault::Cut(0), Fault::CutUnframed(0)] {
        let site = Site::start(1).await;
        site.chat[0].set_default_fault(Some(fault.clone()));
        for round in 0..4 {
            let id = format!("r-{round}");
            let answer = site.gateways[0].ask(&stream_request(&id)).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{fault:?}");
            assert_eq!(answer.events(), all_events(), "{fault:?}");
            let runs = site.runs(&id);
            let resumed = runs.iter().find(|run| run.request.header("last-event-id") == "3");
            assert!(runs.len() == 1 || resumed.is_some() || matches!(fault, Fault::Cut(0) | Fault::CutUnframed(0)));
            let models: Vec<_> = runs.iter().map(|run| run.request.header("model")).collect();
            assert!(models.iter().all(|model| *model == models[0]), "{models:?}");
        }
    }
}

#[tokio::test]
async fn event_received_with_an_out_of_sequence_one_is_delivered_before_the_stream_is_resumed() {
    let site = Site::start(1).await;
    site.chat[0].set_default_fault(Some(Fault::OutOfSequence(2)));
    for round in 0..6 {
        let answer = site.gateways[0].ask(&stream_request(&format!("r-{round}"))).await;
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()), "round {round}");
    }
}

#[tokio::test]
async fn truncated_stream_that_cannot_be_resumed_is_broken_off_after_a_whole_event() {
    let site = Site::start(1).await;
    for fault in [Fault::Cut(3), Fault::CutUnframed(3)] {
        site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(fault.clone())));
        let ask = Ask::new("/once/1", "r-1").header("model", "*").header("token-count", "10,50");
        let mut caller =
            Caller::connect(site.gateways[0].caller_address).await.expect("the connection should be accepted");
        let answer = caller.ask(&ask).await.expect("the answer should start");
        assert!(!answer.complete, "{fault:?}: the answer was framed as complete");
        assert_eq!(answer.events(), [1, 2, 3], "{fault:?}");
        assert!(answer.body.ends_with("\n\n"), "the answer ends within an event");
    }
    assert_eq!(site.runs("r-1").len(), 2, "each of the two requests should run once");
}

#[tokio::test]
async fn resumable_stream_is_broken_off_when_its_attempts_are_used_up() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Cut(0))));
    let mut caller = Caller::connect(site.gateways[0].caller_address).await.expect("the connection should be accepted");
    let answer = caller.ask(&stream_request("r-1")).await;
    assert!(answer.is_none_or(|answer| !answer.complete));
    assert_eq!(site.runs("r-1").len(), 3);
}

#[tokio::test]
async fn answer_with_low_confidence_is_replaced_by_one_of_the_largest_model() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|upstream| upstream.next_faults([Fault::Confidence(10)]));
    let answer = site.gateways[0].ask(&stream_request("r-1")).await;
    assert_eq!((answer.status, answer.events()), (200, all_events()));
    assert!(answer.body.contains("large"), "{}", answer.body);
    let runs = site.runs("r-1");
    let models: Vec<_> = runs.iter().map(|run| run.request.header("model").to_owned()).collect();
    assert_eq!(models, ["small", "large"]);
    until("the first run to be cancelled", || async { site.runs("r-1")[0].unfinished }).await;
}

#[tokio::test]
async fn answer_with_low_confidence_is_delivered_when_no_larger_model_answers() {
    let site = Site::start(1).await;
    let only_small = Some(Fault::OnlyModel("small".to_owned()));
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(only_small.clone()));
    let answer = site.gateways[0].ask(&stream_request("r-1")).await;
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    assert!(answer.body.contains("small"), "{}", answer.body);
    assert_eq!(site.runs("r-1").len(), 1);
}

#[tokio::test]
async fn model_that_the_caller_names_is_kept() {
    let site = Site::start(1).await;
    let ask = Ask::new("/talk/1", "r-1").header("model", "middle").header("token-count", "10,5");
    assert_eq!(site.gateways[0].ask(&ask).await.events(), all_events());
    assert_eq!(site.runs("r-1")[0].request.header("model"), "middle");
}

#[tokio::test]
async fn gateway_soon_notices_that_the_caller_has_disconnected() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Silent)));
    let mut caller = Caller::connect(site.gateways[0].caller_address).await.expect("the connection should be accepted");
    let ask = stream_request("r-1");
    let waiting = tokio::time::timeout(Duration::from_millis(300), caller.ask(&ask)).await;
    assert!(waiting.is_err());
    drop(caller);
    let noticed = || async { site.gateways[0].process.log().contains("caller left before") };
    let elapsed = until("the gateway to notice the disconnect", noticed).await;
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
}

#[tokio::test]
async fn stream_from_a_silent_engine_is_resumed_at_another() {
    let site = Site::start(1).await;
    site.chat[0].set_default_fault(Some(Fault::Silent));
    for round in 0..2 {
        let answer = site.gateways[0].ask(&stream_request(&format!("r-{round}"))).await;
        assert_eq!(answer.events(), all_events(), "round {round}");
    }
}

#[tokio::test]
async fn escalations_and_resumptions_together_stay_within_the_routes_attempts() {
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

/// Time for which engines send nothing: longer than gateways wait for a stream that can be resumed elsewhere.
const STALL: Duration = Duration::from_millis(3200);
/// Timeout of the routes in tests with stalls.
const LONG_TIMEOUT_MS: u64 = 9000;

/// Starts a site with one gateway and routes whose timeout leaves room for stalls.
async fn start_site_with_long_timeouts() -> Site {
    let site = Site::start(1).await;
    site.put_declarations(2, |config| {
        for route in config["routes"].as_array_mut().expect("the routes should be a list") {
            route["timeoutMs"] = json!(LONG_TIMEOUT_MS);
        }
    });
    let has_version = || async { site.gateways[0].process.log().contains("\"version\":2") };
    until("the longer timeouts to be in force", has_version).await;
    site
}

// A gateway that gives such a stream up loses the answer for the caller: nothing else can go on with it.
#[tokio::test]
async fn stalled_stream_that_cannot_be_resumed_is_awaited() {
    let site = start_site_with_long_timeouts().await;
    let stall = Fault::Stall { after: 3, time: STALL };
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(stall.clone())));
    let once = Ask::new("/once/1", "r-once").header("model", "*").header("token-count", "10,50");
    // Both engines cut off one attempt, so that the third one is the last that the route allows.
    let last_attempt = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.chat.iter().for_each(|upstream| upstream.next_faults([Fault::Cut(1)]));
        site.gateways[0].ask(&stream_request("r-last")).await
    };
    let (once, last) = tokio::join!(site.gateways[0].ask(&once), last_attempt);
    for answer in [once, last] {
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    }
    assert_eq!((site.runs("r-once").len(), site.runs("r-last").len()), (1, 3));
}

#[tokio::test]
async fn stalled_stream_is_resumed_while_attempts_are_left() {
    let site = start_site_with_long_timeouts().await;
    let stall = Fault::Stall { after: 3, time: Duration::from_secs(30) };
    site.chat[0].set_default_fault(Some(stall));
    for round in 0..2 {
        let answer = site.gateways[0].ask(&stream_request(&format!("r-{round}"))).await;
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    }
}

// An engine sends nothing while it processes a long prompt. Another attempt would process it again.
#[tokio::test]
async fn engine_that_processes_a_long_prompt_is_not_given_up() {
    let site = start_site_with_long_timeouts().await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(STALL))));
    let ask = Ask::new("/talk/1", "r-long").header("model", "middle").header("token-count", "150000,50");
    let answer = site.gateways[0].ask(&ask).await;
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    assert_eq!(site.runs("r-long").len(), 1, "the prompt was processed again");
}

// Requests that pile up at a silent engine must not extend each other's timeouts.
#[tokio::test]
async fn long_prompts_at_a_silent_engine_are_soon_sent_to_another() {
    let site = Site::start(1).await;
    site.chat[0].set_default_fault(Some(Fault::Silent));
    let asks = (0..12).map(|number| {
        let ask = Ask::new("/talk/1", &format!("r-{number}")).header("model", "middle");
        let gateway = &site.gateways[0];
        async move { gateway.ask(&ask.header("token-count", "30000,50")).await }
    });
    for answer in futures_util::future::join_all(asks).await {
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    }
}

/// Number of requests that use up the retry budget of a gateway that has just started, if all their attempts fail.
const BUDGET_EXHAUSTING_REQUESTS: usize = 40;
/// Maximum time for which two engines may run the same stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Sends requests whose answers are all lost, until the gateway has no retry left for engines.
async fn exhaust_retry_budget(site: &Site) {
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::LoseAnswer)));
    let asks = (0..BUDGET_EXHAUSTING_REQUESTS).map(|number| {
        let ask = stream_request(&format!("lost-{number}")).body(&format!("lost {number}"));
        async move { site.gateways[0].ask(&ask).await }
    });
    futures_util::future::join_all(asks).await;
    let sends: usize = (0..BUDGET_EXHAUSTING_REQUESTS).map(|number| site.runs(&format!("lost-{number}")).len()).sum();
    assert!(sends < 3 * BUDGET_EXHAUSTING_REQUESTS, "retries were left");
}

#[tokio::test]
async fn silent_attempt_that_resumes_a_stream_is_awaited_when_no_retry_is_left() {
    let site = start_site_with_long_timeouts().await;
    site.put_declarations(3, |config| {
        for route in config["routes"].as_array_mut().expect("the routes should be a list") {
            route["timeoutMs"] = json!(LONG_TIMEOUT_MS);
            route["maxAttempts"] = json!(4);
        }
    });
    until("more attempts to be in force", || async { site.gateways[0].process.log().contains("\"version\":3") }).await;
    // Both engines cut off one attempt; the third one is silent before its head.
    for engine in &site.chat {
        engine.next_faults([Fault::Cut(2)]);
        engine.set_default_fault(Some(Fault::Slow(STALL)));
    }
    let exhaust = async {
        until("the stream to be resumed", || async { site.runs("r-silent").len() == 3 }).await;
        exhaust_retry_budget(&site).await;
    };
    let request = stream_request("r-silent");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), exhaust);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}

#[tokio::test]
async fn silent_engine_is_awaited_before_its_head_when_no_retry_is_left() {
    let site = start_site_with_long_timeouts().await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(STALL))));
    let exhaust = async {
        until("the request to run", || async { site.runs("r-silent").len() == 1 }).await;
        exhaust_retry_budget(&site).await;
    };
    let request = stream_request("r-silent");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), exhaust);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    assert_eq!(site.runs("r-silent").len(), 1);
}

#[tokio::test]
async fn silent_stream_goes_on_when_no_other_engine_takes_it_over() {
    for failure in [Fault::NotRun, Fault::Fails(500), Fault::LoseAnswer] {
        let site = start_site_with_long_timeouts().await;
        site.chat[0].set_default_fault(Some(Fault::Stall { after: 3, time: STALL }));
        site.chat[1].set_default_fault(Some(failure.clone()));
        let answer = site.gateways[0].ask(&stream_request("r-silent")).await;
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()), "{failure:?}");
        assert!(site.runs("r-silent").len() <= 3, "{failure:?}");
    }
}

#[tokio::test]
async fn silent_stream_and_its_replacement_run_together_only_briefly() {
    let site = start_site_with_long_timeouts().await;
    let stall = Fault::Stall { after: 3, time: Duration::from_secs(30) };
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(stall.clone())));
    let request = stream_request("r-silent");
    let slow_replacement = async {
        until("the stream to start", || async { site.runs("r-silent").len() == 1 }).await;
        let slow = Some(Fault::Slow(Duration::from_secs(1)));
        site.chat.iter().for_each(|upstream| upstream.set_default_fault(slow.clone()));
    };
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), slow_replacement);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    let runs = site.runs("r-silent");
    assert_eq!(runs.len(), 2);
    let ended = runs[0].ended.expect("the silent run should be closed");
    assert!(ended < runs[1].began + MAX_OVERLAP, "{:?}", ended.saturating_duration_since(runs[1].began));
}

#[tokio::test]
async fn stream_that_goes_on_while_its_replacement_starts_is_not_doubled() {
    let site = start_site_with_long_timeouts().await;
    let stall = Fault::Stall { after: 3, time: Duration::from_millis(2600) };
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(stall.clone())));
    let request = stream_request("r-silent");
    let slow_replacement = async {
        until("the stream to start", || async { site.runs("r-silent").len() == 1 }).await;
        let slow = Some(Fault::Slow(Duration::from_millis(300)));
        site.chat.iter().for_each(|upstream| upstream.set_default_fault(slow.clone()));
    };
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), slow_replacement);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}

#[tokio::test]
async fn streams_of_engines_that_fall_silent_beside_configurations_are_complete() {
    let site = start_site_with_long_timeouts().await;
    let silences = [500, 1000, 1500, 2000].map(Duration::from_millis);
    for (number, engine) in site.chat.iter().enumerate() {
        let stalls = silences.iter().cycle().take(24).enumerate();
        engine.next_faults(stalls.map(|(at, time)| Fault::Stall { after: (at + number) as u64 % 4, time: *time }));
    }
    let asks = (0..48).map(|number| {
        let site = &site;
        async move {
            tokio::time::sleep(Duration::from_millis(number * 80)).await;
            let path = if number % 3 == 0 { "/once/1" } else { "/talk/1" };
            let ask = Ask::new(path, &format!("r-{number}")).body(&format!("{number}"));
            site.gateways[0].ask(&ask.header("model", "*").header("token-count", "100,50")).await
        }
    });
    let change_routes = async {
        for version in 3..23 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            site.put_declarations(version, |config| {
                for route in config["routes"].as_array_mut().expect("the routes should be a list") {
                    route["timeoutMs"] = json!(LONG_TIMEOUT_MS + version);
                    route["priority"] = json!(version % 3);
                }
            });
        }
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(asks), change_routes);
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()), "r-{number}");
    }
}
