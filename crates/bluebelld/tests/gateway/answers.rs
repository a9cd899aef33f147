//! Calls answered in one piece: each caller gets the complete answer to its own request, non-idempotent calls run at
//! most once, and a call that is refused as not run has not run.

use std::time::Duration;

use bluebell_standins::site::Fault;

use super::{
    caller::{Ask, Caller},
    site::{Site, TIMEOUT_MS},
    until,
};

#[tokio::test]
async fn reserved_headers_and_the_key_of_a_caller_are_not_passed_on() {
    let site = Site::start(1).await;
    let ask = Ask::new("/book/1?q=2", "r-1")
        .header("tenant", "forged")
        .header("hold", "forged")
        .header("kv-from", "10.0.0.1:1/x")
        .header("pin-ms", "999")
        .header("x-other", "kept");
    let answer = site.gateways[0].ask(&ask).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "POST /book/1?q=2 done"));
    assert_eq!(answer.header("response-stamp"), "stand-in.1");
    let runs = site.runs("r-1");
    let request = &runs[0].request;
    assert_eq!((request.header("tenant"), request.header("x-other")), ("org-1", "kept"));
    assert_eq!(request.body, b"ask");
    for name in ["authorization", "hold", "kv-from", "pin-ms"] {
        assert_eq!(request.header(name), "", "header {name} was passed on");
    }
    let remaining: u64 = request.header("deadline-ms").parse().expect("the deadline should be a number");
    assert!(remaining <= TIMEOUT_MS, "deadline of {remaining} ms exceeds the route's timeout");
}

#[tokio::test]
async fn unroutable_unauthorised_malformed_and_oversized_requests_are_refused() {
    let site = Site::start(1).await;
    let gateway = &site.gateways[0];
    assert_eq!(gateway.ask(&Ask::new("/nowhere/1", "r-1")).await.status, 404);
    assert_eq!(gateway.ask(&Ask::new("/look/1", "r-2").key(None)).await.status, 401);
    assert_eq!(gateway.ask(&Ask::new("/look/1", "r-3").key(Some("other"))).await.status, 401);
    assert_eq!(gateway.ask(&Ask::new("/look/1", "")).await.status, 400);
    let mut large = Ask::new("/look/1", "r-4");
    large.body = vec![b'x'; 70_000].into();
    assert_eq!(gateway.ask(&large).await.status, 413);
    assert!(["r-1", "r-2", "r-3", "r-4"].iter().all(|id| site.runs(id).is_empty()));
}

#[tokio::test]
async fn non_idempotent_call_with_a_lost_answer_gets_no_retry_after_and_runs_once() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::LoseAnswer)));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("retry-after"), "");
    assert_eq!(site.runs("r-1").len(), 1);
}

#[tokio::test]
async fn idempotent_call_with_a_lost_answer_is_retried() {
    let site = Site::start(1).await;
    for round in 0..8 {
        site.ledger[0].next_faults([Fault::LoseAnswer]);
        let answer = site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
        assert_eq!(answer.status, 200, "round {round}");
    }
}

#[tokio::test]
async fn rejected_call_is_retried_elsewhere_and_refused_as_not_run_when_all_upstreams_reject_it() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(Fault::NotRun));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!((answer.status, site.runs("r-1").len()), (200, 1));
    site.ledger[1].set_default_fault(Some(Fault::NotRun));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-2")).await;
    assert_eq!((answer.status, site.runs("r-2").len()), (503, 0));
    let retry_after: f64 = answer.header("retry-after").parse().expect("retry-after should be a number");
    assert!(retry_after > 0.0 && retry_after <= 8.0 / 3.0, "retry-after is {retry_after} s");
}

#[tokio::test]
async fn answers_of_other_requests_never_reach_a_caller() {
    let site = Site::start(1).await;
    let mut caller = Caller::connect(site.gateways[0].caller_address).await.expect("the connection should be accepted");
    for round in 0..40 {
        let fault = if round % 3 == 0 { Fault::SecondAnswer } else { Fault::WrongId };
        site.ledger[round % 2].next_faults([fault]);
        let path = if round % 2 == 0 { "/look" } else { "/book" };
        let ask = Ask::new(&format!("{path}/{round}"), &format!("r-{round}"));
        let answer = caller.ask(&ask).await.expect("the request should be answered");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("POST {path}/{round} done"));
            assert_eq!(answer.header("request-id"), format!("r-{round}"));
        }
        assert!(path == "/look" || site.runs(&ask.id).len() <= 1, "round {round}");
    }
}

#[tokio::test]
async fn truncated_answer_to_a_non_idempotent_call_becomes_an_error() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Cut(0))));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!((answer.status, site.runs("r-1").len()), (502, 1));
}

#[tokio::test]
async fn error_answers_of_an_upstream_are_passed_on_unchanged() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Fails(500))));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.header("response-stamp"), "stand-in.1");
    assert_eq!(site.runs("r-1").len(), 1);
}

#[tokio::test]
async fn non_idempotent_call_to_a_silent_upstream_fails_at_the_routes_timeout() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Silent)));
    let started = std::time::Instant::now();
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    let elapsed = started.elapsed();
    assert_eq!((answer.status, site.runs("r-1").len()), (504, 1));
    let timeout = Duration::from_millis(TIMEOUT_MS);
    assert!(elapsed >= timeout && elapsed < timeout + Duration::from_millis(500), "answered after {elapsed:?}");
}

#[tokio::test]
async fn idempotent_call_to_a_silent_upstream_is_retried_at_another() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(Fault::Silent));
    for round in 0..4 {
        let answer = site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
        assert_eq!(answer.status, 200, "round {round}");
    }
}

#[tokio::test]
async fn silent_call_is_awaited_when_no_retry_is_left() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_millis(1500)))));
    let exhaust = async {
        until("the request to run", || async { site.runs("r-silent").len() == 1 }).await;
        site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::LoseAnswer)));
        let asks = (0..40).map(|number| {
            let ask = Ask::new("/look/1", &format!("lost-{number}")).body(&format!("lost {number}"));
            let gateway = &site.gateways[0];
            async move { gateway.ask(&ask).await }
        });
        futures_util::future::join_all(asks).await;
    };
    let request = Ask::new("/look/1", "r-silent");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), exhaust);
    assert_eq!((answer.status, answer.body.as_str()), (200, "POST /look/1 done"));
    assert_eq!(site.runs("r-silent").len(), 1);
}

#[tokio::test]
async fn connections_to_upstreams_are_reused() {
    let site = Site::start(1).await;
    for round in 0..50 {
        assert_eq!(site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await.status, 200);
    }
    let connections: u64 = site.ledger.iter().map(bluebell_standins::site::SiteUpstream::connections).sum();
    assert!(connections <= 6, "{connections} connections for 50 requests");
}

#[tokio::test]
async fn each_attempt_passes_on_only_the_remaining_deadline() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(Fault::Silent));
    site.ledger[1].set_default_fault(Some(Fault::Silent));
    let deadline = Duration::from_millis(3000);
    site.gateways[0].ask(&Ask::new("/look/1", "r-1").deadline(deadline)).await;
    let deadlines: Vec<u64> =
        site.runs("r-1").iter().filter_map(|run| run.request.header("deadline-ms").parse().ok()).collect();
    assert!(deadlines.len() >= 2, "{deadlines:?}");
    assert!(deadlines.windows(2).all(|pair| pair[1] < pair[0]) && deadlines[0] <= 3000, "{deadlines:?}");
}
