//! A planned stop loses nothing.

use std::time::Duration;

use bluebell_standins::site::Fault;

use super::{
    caller::{Ask, Caller},
    site::{EVENTS, Site},
    until,
};

#[tokio::test]
async fn work_in_flight_is_finished_and_new_connections_go_elsewhere() {
    let mut site = Site::start(1).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Slow(Duration::from_secs(1)))));
    let address = site.gateways[0].callers;
    let stream = tokio::spawn(async move {
        let ask = Ask::new("/talk/1", "r-1").header("model", "small").header("token-count", "10,5");
        Caller::connect(address).await.expect("a connection").ask(&ask).await
    });
    until("the stream to run", || async { !site.runs("r-1").is_empty() }).await;
    site.gateways[0].process.terminate();
    until("the gateway to be out of rotation", || async { !site.gateways[0].is_ready().await }).await;
    let answer = site.gateways[0].ask(&Ask::new("/look/1", "r-2")).await;
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    let answer = stream.await.expect("a caller").expect("an answer");
    assert!(answer.complete);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
    assert!(site.store.keys("bluebell").is_empty(), "the member's row is left");
}

#[tokio::test]
async fn stream_that_would_be_cut_by_the_end_is_refused_as_not_run() {
    let mut site = Site::start(1).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Slow(Duration::from_secs(1)))));
    // Something in flight keeps the process until its end.
    site.put_config(2, |config| config["routes"][2]["timeoutMs"] = serde_json::json!(9000));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let address = site.gateways[0].callers;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Silent)));
    let keeps = tokio::spawn(async move {
        Caller::connect(address).await.expect("a connection").ask(&Ask::new("/book/1", "r-0")).await
    });
    until("the call to run", || async { !site.runs("r-0").is_empty() }).await;
    site.gateways[0].process.terminate();
    let talk = |id: &str| Ask::new("/talk/1", id).header("model", "small").header("token-count", "10,5");
    let mut statuses = Vec::new();
    for round in 0..40 {
        let Ok(mut caller) = Caller::connect(address).await else { break };
        let Some(answer) = caller.ask(&talk(&format!("t-{round}"))).await else { break };
        if answer.status == 503 {
            assert!(site.runs(&format!("t-{round}")).is_empty(), "it ran");
            assert!(!answer.header("retry-after").is_empty());
        }
        assert!(answer.complete, "round {round} was cut");
        statuses.push(answer.status);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
    drop(keeps.await);
}

#[tokio::test]
async fn streams_of_four_seconds_are_whole_or_refused_whenever_they_are_asked_for() {
    let mut site = Site::start(1).await;
    let pace = Duration::from_millis(3900) / u32::try_from(EVENTS).expect("a few events");
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Paced(pace))));
    site.put_config(2, |config| config["routes"][0]["timeoutMs"] = serde_json::json!(9000));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let address = site.gateways[0].callers;
    site.gateways[0].process.terminate();
    let streams = (0..24u64).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(150 * number)).await;
        let ask = Ask::new("/talk/1", &format!("t-{number}")).header("model", "small").header("token-count", "10,5");
        let Ok(mut caller) = Caller::connect(address).await else { return None };
        caller.ask(&ask).await.map(|answer| (number, answer.status, answer.complete))
    });
    let answers: Vec<_> = futures_util::future::join_all(streams).await.into_iter().flatten().collect();
    assert!(answers.iter().any(|(_, status, _)| *status == 200), "{answers:?}");
    let cut: Vec<_> = answers.iter().filter(|(_, status, whole)| *status == 200 && !whole).collect();
    assert!(cut.is_empty(), "begun and cut: {cut:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
}

#[tokio::test]
async fn no_request_is_taken_and_then_cut_by_the_end() {
    let mut site = Site::start(1).await;
    let address = site.gateways[0].callers;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Slow(Duration::from_millis(30)))));
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
    let cut: Vec<_> = unanswered.iter().filter(|id| !site.runs(id).is_empty()).collect();
    assert!(cut.is_empty(), "taken, run and not answered: {cut:?}");
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
}

#[tokio::test]
async fn reload_changes_nothing_and_loses_nothing() {
    let site = Site::start(1).await;
    site.gateways[0].process.reload();
    until("the reload to be logged", || async { site.gateways[0].process.log().contains("reload ordered") }).await;
    assert_eq!(site.gateways[0].ask(&Ask::new("/look/1", "r-1")).await.status, 200);
}
