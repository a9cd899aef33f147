//! Refusals that an upstream writes once more on a kept connection. A caller is told that its request did not run only
//! if no upstream ran it, and such a copy makes no request run twice.

use std::time::Duration;

use bluebell_standins::site::{CopyTime, Fault};

use super::{
    caller::{Answer, Ask},
    site::{PROPAGATION_LIMIT, Site},
};

/// Time after an answer within which an upstream has begun all runs of the request.
const SETTLE_TIME: Duration = Duration::from_millis(60);

const COPY_TIMES: [CopyTime; 5] = [
    CopyTime::BeforeNextAnswer,
    CopyTime::After(Duration::ZERO),
    CopyTime::After(Duration::from_millis(1)),
    CopyTime::After(Duration::from_millis(5)),
    CopyTime::After(Duration::from_millis(50)),
];

/// Starts a site with one upstream per service, so that a refused request is sent to the same upstream again.
async fn start_with_one_upstream_each() -> Site {
    let mut site = Site::start(1).await;
    for upstream in [site.chat.pop(), site.ledger.pop()].into_iter().flatten() {
        site.store.delete("servers", &upstream.id);
        // The upstream stays up until the gateway has learned that it is gone.
        tokio::time::sleep(PROPAGATION_LIMIT).await;
    }
    site
}

/// Sends requests that are refused first; the refusal is written again at each of the copy times, ahead of the second
/// send or of the last one. After each of them, requests that are not refused are sent on the same connection.
async fn ask_beside_copies(site: &Site, path: &str, fault: impl Fn(CopyTime) -> Fault) -> Vec<String> {
    let mut broken = Vec::new();
    // A route allows two more sends than attempts if none of them ran.
    let max_sends = if path == "/book" { 3 } else { 5 };
    for (round, refusals) in [1, max_sends - 1, 1, max_sends - 1].into_iter().enumerate() {
        for time in COPY_TIMES {
            let upstreams = if matches!(path, "/book" | "/look") { &site.ledger } else { &site.chat };
            for upstream in upstreams {
                upstream.next_faults(vec![Fault::NotRun; refusals - 1]);
                upstream.next_faults([fault(time), Fault::Slow(Duration::from_millis(10))]);
            }
            for (step, pause) in [0, 0, 3, 30].into_iter().enumerate() {
                tokio::time::sleep(Duration::from_millis(pause)).await;
                let id = format!("r{path}-{round}-{time:?}-{step}").replace(['/', '(', ')'], "-");
                let ask = Ask::new(&format!("{path}/{round}/{step}"), &id);
                let answer = site.gateways[0].ask(&ask).await;
                tokio::time::sleep(SETTLE_TIME).await;
                broken.extend(broken_rule(site, &ask, &answer, path));
            }
        }
    }
    broken
}

fn broken_rule(site: &Site, ask: &Ask, answer: &Answer, path: &str) -> Option<String> {
    let runs = site.runs(&ask.id).len();
    let is_refused = matches!(answer.status, 408 | 421 | 429 | 503);
    let is_own = answer.status != 200
        || (answer.header("request-id") == ask.id
            && (!path.ends_with("ook") || answer.body == format!("POST {} done", ask.path)));
    let broken = if is_refused && runs > 0 {
        "refused though it ran"
    } else if runs > 1 && matches!(path, "/book" | "/once") {
        "ran twice"
    } else if !is_own {
        "got the answer of another request"
    } else {
        return None;
    };
    Some(format!("{}: {broken}: status {}, {runs} runs", ask.id, answer.status))
}

async fn check(path: &str, fault: impl Fn(CopyTime) -> Fault) {
    let site = start_with_one_upstream_each().await;
    let broken = ask_beside_copies(&site, path, fault).await;
    assert!(broken.is_empty(), "{} faults: {broken:#?}", broken.len());
}

#[tokio::test]
async fn copied_refusal_of_a_non_idempotent_call_does_not_pass_for_the_answer_to_its_resend() {
    check("/book", Fault::NotRunTwice).await;
}

#[tokio::test]
async fn copied_refusal_of_an_idempotent_call_does_not_pass_for_the_answer_to_its_resend() {
    check("/look", Fault::NotRunTwice).await;
}

#[tokio::test]
async fn copied_refusal_of_a_resumable_stream_does_not_pass_for_the_answer_to_its_resend() {
    check("/talk", Fault::NotRunTwice).await;
}

#[tokio::test]
async fn copied_refusal_of_a_stream_that_runs_once_does_not_pass_for_the_answer_to_its_resend() {
    check("/once", Fault::NotRunTwice).await;
}

#[tokio::test]
async fn refusal_without_an_id_does_not_pass_for_the_answer_to_a_non_idempotent_call() {
    check("/book", Fault::NotRunTwiceWithoutId).await;
}

#[tokio::test]
async fn refusal_without_an_id_does_not_pass_for_the_answer_to_an_idempotent_call() {
    check("/look", Fault::NotRunTwiceWithoutId).await;
}

#[tokio::test]
async fn refusal_without_an_id_does_not_pass_for_the_answer_to_a_stream_that_runs_once() {
    check("/once", Fault::NotRunTwiceWithoutId).await;
}

#[tokio::test]
async fn refused_requests_do_not_each_open_a_connection() {
    let site = start_with_one_upstream_each().await;
    let before = site.ledger[0].connections();
    for round in 0..40 {
        // The retry budget covers fewer resends than requests.
        site.ledger[0].next_faults(vec![Fault::NotRun; round % 2]);
        assert_eq!(site.gateways[0].ask(&Ask::new("/book/1", &format!("r-{round}"))).await.status, 200);
    }
    let opened = site.ledger[0].connections() - before;
    assert!(opened <= 6, "{opened} connections for 40 requests, half of them refused first");
}

#[tokio::test]
async fn refusal_of_an_upstream_without_proof_is_not_told_as_not_run() {
    let site = Site::start(1).await;
    for status in [408, 429, 503] {
        let fault = Some(Fault::Fails(status));
        site.ledger.iter().chain(&site.chat).for_each(|upstream| upstream.set_default_fault(fault.clone()));
        for (path, kind) in
            [("/book/1", "call"), ("/look/1", "repeated"), ("/once/1", "stream"), ("/talk/1", "resumed")]
        {
            let id = format!("{kind}-{status}");
            let ask = Ask::new(path, &id).header("model", "small").header("token-count", "10,5");
            let answer = site.gateways[0].ask(&ask).await;
            assert!(!site.runs(&id).is_empty(), "{id} did not run");
            assert_eq!((answer.status, answer.header("response-stamp")), (502, ""), "{id}");
        }
        // The upstreams may have been left out for their failures.
        site.ledger.iter().chain(&site.chat).for_each(|upstream| upstream.set_default_fault(None));
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}
