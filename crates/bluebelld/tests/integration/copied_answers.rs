//! A runner that writes an earlier answer once more on a kept connection: the copy does not pass for the answer to the
//! next request.

use std::time::Duration;

use bluebell_standins::site::{CopyTime, Fault, SiteUpstream, UpstreamKind};

use crate::util::{ATLAS_VAN, FleetBuilder, Runner};

/// Replaces a runner by one that refuses each second request, and writes the refusal again ahead of the next answer.
async fn replace_by_faulty_runner(runner: &mut Runner) -> SiteUpstream {
    runner.runner.kill();
    let address = runner.url.trim_start_matches("http://").to_owned();
    let faulty =
        SiteUpstream::start("faulty", UpstreamKind::Plain, &address).await.expect("the address should be free");
    for _ in 0..5 {
        let time = CopyTime::BeforeNextAnswer;
        faulty.next_faults([Fault::NotRunTwice(time), Fault::Slow(Duration::ZERO)]);
    }
    faulty
}

#[tokio::test(flavor = "multi_thread")]
async fn copied_refusal_does_not_pass_for_the_reply_to_the_next_call() {
    let mut fleet = FleetBuilder::default().start().await;
    let faulty = replace_by_faulty_runner(&mut fleet.ledgers[0]).await;
    let caller = fleet.caller(0, ATLAS_VAN);
    for round in 0..10 {
        let (path, key) = (format!("loans-{round}"), format!("key-{round}"));
        let reply = caller.call("ledger", &path, Some(&key), "book 7 to Amina").await;
        let ran = faulty.runs().iter().any(|run| run.request.header("idempotency-key") == key);
        let expected = if ran { (200, format!("POST /{path} done")) } else { (503, String::new()) };
        assert_eq!((reply.status, reply.text), expected, "round {round}");
    }
    assert_eq!(faulty.runs().len(), 5);
}
