//! Services whose only upstream is silent to some of their requests.

use std::time::{Duration, Instant};

use bluebell_standins::site::Fault;
use futures_util::future::join_all;
use tokio::time::timeout;

use super::{
    caller::{Answer, Ask},
    site::{Gateway, Site},
};

/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_millis(900);
/// Time after the deadline within which a call must be answered.
const MARGIN: Duration = Duration::from_millis(500);
/// Time limit for calls and checks after the deadlines have passed.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);

/// Starts a site in which `ledger` and `chat` have one upstream each that takes requests.
async fn start_site() -> Site {
    let site = Site::start(1).await;
    site.put_entry(&site.ledger[1], "ledger", "v1", "draining");
    site.put_entry(&site.chat[1], "chat", "v1", "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    site
}

fn stream_request(id: &str) -> Ask {
    Ask::new("/talk/1", id).header("model", "small").header("token-count", "100,50").deadline(DEADLINE)
}

/// Sends a request; none if its answer comes later than half a second after its deadline.
async fn ask_in_time(gateway: &Gateway, ask: Ask) -> Option<Answer> {
    timeout(ask.deadline + MARGIN, gateway.ask(&ask)).await.ok()
}

/// Checks that the gateway answers calls, and says that it is ready.
async fn check_responsive(site: &Site, id: &str) {
    let gateway = &site.gateways[0];
    let began = Instant::now();
    let answer = timeout(RECOVERY_LIMIT, gateway.ask(&Ask::new("/look/1", id))).await.ok();
    assert_eq!(answer.map(|answer| answer.status), Some(200), "no answer after {:?}", began.elapsed());
    assert_eq!(timeout(RECOVERY_LIMIT, gateway.is_ready()).await, Ok(true));
}

// Guards against a gateway that hangs for good once the deadline of a call to a silent upstream passes while no other
// upstream can be chosen.
#[tokio::test]
async fn gateway_goes_on_when_the_only_upstream_of_a_service_is_silent_until_the_deadline() {
    let site = start_site().await;
    let gateway = &site.gateways[0];
    for round in 0..4 {
        site.ledger[0].next_faults([Fault::Silent, Fault::Silent]);
        let calls = (0..5)
            .map(|number| ask_in_time(gateway, Ask::new("/look/1", &format!("r-{round}-{number}")).deadline(DEADLINE)));
        let answers = join_all(calls).await;
        let statuses: Vec<u16> = answers.iter().flatten().map(|answer| answer.status).collect();
        assert_eq!(statuses.len(), 5, "calls without an answer half a second after their deadline: {statuses:?}");
        assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 3, "{statuses:?}");
        check_responsive(&site, &format!("after-{round}")).await;
    }
}

// Guards against the same on the path of streams, before and after their first event.
#[tokio::test]
async fn gateway_goes_on_when_the_only_engine_is_silent_until_the_deadline_of_streams() {
    let site = start_site().await;
    let gateway = &site.gateways[0];
    for (name, fault) in [("head", Fault::Silent), ("events", Fault::Stall { after: 2, time: Duration::from_secs(30) })]
    {
        site.chat[0].next_faults([fault.clone(), fault]);
        let streams = (0..4).map(|number| {
            let ask = stream_request(&format!("{name}-{number}")).deadline(Duration::from_millis(5500));
            ask_in_time(gateway, ask)
        });
        let answers = join_all(streams).await;
        let complete = answers.iter().flatten().filter(|answer| answer.status == 200 && answer.complete).count();
        assert_eq!((answers.iter().flatten().count(), complete), (4, 2), "{name}");
        check_responsive(&site, &format!("after-{name}")).await;
    }
}
