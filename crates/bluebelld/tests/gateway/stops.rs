//! Planned stops and reloads: no request that was accepted is lost.

use std::time::Duration;

use bluebell_standins::site::Fault;

use super::{
    caller::{Ask, Caller},
    site::{EVENT_COUNT, Site},
    until,
};

#[tokio::test]
async fn stop_finishes_requests_in_flight_and_fails_the_readiness_check() {
    let mut site = Site::start(1).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_secs(1)))));
    let address = site.gateways[0].caller_address;
    let stream = tokio::spawn(async move {
        let ask = Ask::new("/talk/1", "r-1").header("model", "small").header("token-count", "10,5");
        Caller::connect(address).await.expect("the connection should be accepted").ask(&ask).await
    });
    until("the stream to run", || async { !site.runs("r-1").is_empty() }).await;
    site.gateways[0].process.terminate();
    until("the gateway to be out of rotation", || async { !site.gateways[0].is_ready().await }).await;
    let answer = site.gateways[0].ask(&Ask::new("/look/1", "r-2")).await;
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    let answer = stream.await.expect("the caller should not panic").expect("the request should be answered");
    assert!(answer.complete);
    assert_eq!(answer.events(), (1..=EVENT_COUNT).collect::<Vec<_>>());
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
    assert!(site.store.keys("bluebell").is_empty(), "the gateway's member row was not deleted");
}

#[tokio::test]
async fn stream_that_would_outlast_the_drain_time_is_refused_as_not_run() {
    let mut site = Site::start(1).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_secs(1)))));
    // The gateway stops as soon as nothing is in flight; a call without an answer keeps it running until the drain time
    // is over.
    site.put_declarations(2, |config| config["routes"][2]["timeoutMs"] = serde_json::json!(9000));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let address = site.gateways[0].caller_address;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Silent)));
    let call_in_flight = tokio::spawn(async move {
        Caller::connect(address)
            .await
            .expect("the connection should be accepted")
            .ask(&Ask::new("/book/1", "r-0"))
            .await
    });
    until("the call to run", || async { !site.runs("r-0").is_empty() }).await;
    site.gateways[0].process.terminate();
    let stream_request = |id: &str| Ask::new("/talk/1", id).header("model", "small").header("token-count", "10,5");
    let mut statuses = Vec::new();
    for round in 0..40 {
        let Ok(mut caller) = Caller::connect(address).await else { break };
        let Some(answer) = caller.ask(&stream_request(&format!("t-{round}"))).await else { break };
        if answer.status == 503 {
            assert!(site.runs(&format!("t-{round}")).is_empty(), "round {round} was refused but ran");
            assert!(!answer.header("retry-after").is_empty());
        }
        assert!(answer.complete, "round {round} was truncated");
        statuses.push(answer.status);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
    drop(call_in_flight.await);
}

#[tokio::test]
async fn streams_of_four_seconds_are_complete_or_refused_at_any_time_during_a_drain() {
    let mut site = Site::start(1).await;
    let event_interval =
        Duration::from_millis(3900) / u32::try_from(EVENT_COUNT).expect("the number of events should fit");
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Paced(event_interval))));
    site.put_declarations(2, |config| config["routes"][0]["timeoutMs"] = serde_json::json!(9000));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let address = site.gateways[0].caller_address;
    site.gateways[0].process.terminate();
    let streams = (0..24u64).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(150 * number)).await;
        let ask = Ask::new("/talk/1", &format!("t-{number}")).header("model", "small").header("token-count", "10,5");
        let Ok(mut caller) = Caller::connect(address).await else { return None };
        caller.ask(&ask).await.map(|answer| (number, answer.status, answer.complete))
    });
    let answers: Vec<_> = futures_util::future::join_all(streams).await.into_iter().flatten().collect();
    assert!(answers.iter().any(|(_, status, _)| *status == 200), "{answers:?}");
    let truncated: Vec<_> = answers.iter().filter(|(_, status, complete)| *status == 200 && !complete).collect();
    assert!(truncated.is_empty(), "started and truncated: {truncated:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
}

#[tokio::test]
async fn no_request_is_accepted_and_then_dropped_at_the_end_of_a_drain() {
    let mut site = Site::start(1).await;
    let address = site.gateways[0].caller_address;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_millis(30)))));
    site.gateways[0].process.terminate();
    let callers = (0..4).map(|caller| async move {
        let mut unanswered = Vec::new();
        for number in 0..400 {
            let id = format!("c-{caller}-{number}");
            let Ok(mut connection) = Caller::connect(address).await else { break };
            if connection.ask(&Ask::new("/book/1", &id)).await.is_none() {
                unanswered.push(id);
            }
            tokio::time::sleep(Duration::from_millis(7 * (1 + caller))).await;
        }
        unanswered
    });
    let unanswered = futures_util::future::join_all(callers).await.concat();
    let run_but_unanswered: Vec<_> = unanswered.iter().filter(|id| !site.runs(id).is_empty()).collect();
    assert!(run_but_unanswered.is_empty(), "accepted, run and not answered: {run_but_unanswered:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
}

#[tokio::test]
async fn gateway_serves_requests_after_a_reload() {
    let site = Site::start(1).await;
    site.gateways[0].process.reload();
    until("the reload to be logged", || async { site.gateways[0].process.log().contains("reload ordered") }).await;
    assert_eq!(site.gateways[0].ask(&Ask::new("/look/1", "r-1")).await.status, 200);
}

#[tokio::test]
async fn call_that_may_not_be_repeated_is_answered_or_refused_as_not_run_until_the_end_of_a_drain() {
    let mut site = Site::start(1).await;
    let address = site.gateways[0].caller_address;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_millis(1500)))));
    site.gateways[0].process.terminate();
    let calls = (0..60u64).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(100 * number)).await;
        let ask = Ask::new("/book/1", &format!("b-{number}")).deadline(Duration::from_millis(2000));
        let Ok(mut caller) = Caller::connect(address).await else { return None };
        Some((number, caller.ask(&ask).await.map(|answer| answer.status)))
    });
    let answers: Vec<_> = futures_util::future::join_all(calls).await.into_iter().flatten().collect();
    let runs = |number: &u64| site.runs(&format!("b-{number}")).len();
    for (number, status) in &answers {
        match status {
            Some(200) => assert_eq!(runs(number), 1),
            // Accepting it was a mistake if it has run.
            Some(503) | None => assert_eq!(runs(number), 0, "call {number} was refused or cut, but ran"),
            other => panic!("call {number}, {} ms after the signal: {other:?}", 100 * number),
        }
    }
    assert!(answers.iter().any(|(_, status)| *status == Some(200)), "{answers:?}");
    assert!(answers.iter().any(|(_, status)| *status == Some(503)), "{answers:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
}
