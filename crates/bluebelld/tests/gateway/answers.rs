//! Whole answers, each to its own request; at most one run where one is allowed; refusals that are true.

use std::time::Duration;

use bluebell_standins::site::Fault;

use super::{
    caller::{Ask, Caller},
    site::{Site, TIMEOUT_MS},
};

#[tokio::test]
async fn requests_reach_upstreams_with_what_the_system_sets_and_no_key() {
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
        assert_eq!(request.header(name), "", "{name} was passed on");
    }
    let left: u64 = request.header("deadline-ms").parse().expect("a deadline");
    assert!(left <= TIMEOUT_MS, "more time than the route allows: {left}");
}

#[tokio::test]
async fn what_is_not_declared_is_refused_by_kind() {
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
async fn lost_answer_of_work_that_may_run_once_promises_nothing_and_runs_once() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::LoseAnswer)));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("retry-after"), "");
    assert_eq!(site.runs("r-1").len(), 1);
}

#[tokio::test]
async fn lost_answer_of_work_that_may_be_repeated_is_asked_for_again() {
    let site = Site::start(1).await;
    for round in 0..8 {
        site.ledger[0].next_faults([Fault::LoseAnswer]);
        let answer = site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
        assert_eq!(answer.status, 200, "round {round}");
    }
}

#[tokio::test]
async fn rejected_work_goes_elsewhere_and_is_refused_truly_when_nobody_takes_it() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(Fault::NotRun));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!((answer.status, site.runs("r-1").len()), (200, 1));
    site.ledger[1].set_default_fault(Some(Fault::NotRun));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-2")).await;
    assert_eq!((answer.status, site.runs("r-2").len()), (503, 0));
    let pause: f64 = answer.header("retry-after").parse().expect("a pause");
    assert!(pause > 0.0 && pause <= 8.0 / 3.0, "pause {pause}");
}

#[tokio::test]
async fn answers_of_other_requests_never_reach_a_caller() {
    let site = Site::start(1).await;
    let mut caller = Caller::connect(site.gateways[0].callers).await.expect("a connection");
    for round in 0..40 {
        let fault = if round % 3 == 0 { Fault::SecondAnswer } else { Fault::WrongId };
        site.ledger[round % 2].next_faults([fault]);
        let path = if round % 2 == 0 { "/look" } else { "/book" };
        let ask = Ask::new(&format!("{path}/{round}"), &format!("r-{round}"));
        let answer = caller.ask(&ask).await.expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("POST {path}/{round} done"));
            assert_eq!(answer.header("request-id"), format!("r-{round}"));
        }
        assert!(path == "/look" || site.runs(&ask.id).len() <= 1, "round {round}");
    }
}

#[tokio::test]
async fn answer_cut_in_its_body_is_no_answer() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Cut(0))));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!((answer.status, site.runs("r-1").len()), (502, 1));
}

#[tokio::test]
async fn failures_of_an_upstream_are_passed_on_as_they_are() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Fails(500))));
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.header("response-stamp"), "stand-in.1");
    assert_eq!(site.runs("r-1").len(), 1);
}

#[tokio::test]
async fn silent_upstream_of_work_that_may_run_once_is_answered_at_the_end_of_the_routes_time() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Silent)));
    let begun = std::time::Instant::now();
    let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    let took = begun.elapsed();
    assert_eq!((answer.status, site.runs("r-1").len()), (504, 1));
    let end = Duration::from_millis(TIMEOUT_MS);
    assert!(took >= end && took < end + Duration::from_millis(500), "{took:?}");
}

#[tokio::test]
async fn silent_upstream_of_work_that_may_be_repeated_is_left_for_another() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(Fault::Silent));
    for round in 0..4 {
        let answer = site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
        assert_eq!(answer.status, 200, "round {round}");
    }
}

#[tokio::test]
async fn upstreams_connections_are_kept() {
    let site = Site::start(1).await;
    for round in 0..50 {
        assert_eq!(site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await.status, 200);
    }
    let connections: u64 = site.ledger.iter().map(bluebell_standins::site::SiteUpstream::connections).sum();
    assert!(connections <= 6, "{connections} connections for 50 requests");
}

#[tokio::test]
async fn time_passed_on_is_what_is_left_also_at_the_second_upstream() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(Fault::Silent));
    site.ledger[1].set_default_fault(Some(Fault::Silent));
    let deadline = Duration::from_millis(3000);
    site.gateways[0].ask(&Ask::new("/look/1", "r-1").deadline(deadline)).await;
    let given: Vec<u64> =
        site.runs("r-1").iter().filter_map(|run| run.request.header("deadline-ms").parse().ok()).collect();
    assert!(given.len() >= 2, "{given:?}");
    assert!(given.windows(2).all(|pair| pair[1] < pair[0]) && given[0] <= 3000, "{given:?}");
}
