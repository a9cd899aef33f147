//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::{Duration, Instant};

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_VAN, Ask, Fleet, FleetBuilder, until};

/// Time in which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_everywhere_in_time() {
    let fleet = FleetBuilder::default().entries(4).start().await;
    for round in 0..5 {
        let action = ["drain", "restore"][round % 2];
        let begun = Instant::now();
        let (code, text) = fleet.ctl(round % 4, &["--wait", "version", action, "atlas-small@2"]).await;
        assert_eq!(code, 0, "{text}");
        assert!(begun.elapsed() < IN_FORCE, "{:?}", begun.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_is_cut_off_is_named_and_catches_up() {
    let fleet = Fleet::start().await;
    fleet.engines[0].sidecar.freeze();
    let (code, text) = fleet.ctl(0, &["--wait", "--timeout", "6", "version", "drain", "atlas-small@2"]).await;
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("sidecar-of-engine-1 in zone tiznit"), "{text}");
    fleet.engines[0].sidecar.thaw();
    until("all to have caught up", || async { fleet.in_force(1).await["everywhere"] == true }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_instance_takes_the_latest_from_its_peers_while_the_table_is_down() {
    let mut fleet = Fleet::start().await;
    let (code, text) = fleet.ctl(0, &["--wait", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    fleet.set_door(StoreMode::RecordsBusy).await;
    fleet.add_entry();
    fleet.list().await;
    let at = fleet.entries.len() - 1;
    fleet.wait_entry(at).await;
    let refused = fleet.caller(at, ATLAS_VAN).ask(&Ask { model: "atlas-small@1", ..Ask::default() }).await;
    assert_eq!((refused.status, refused.ran()), (403, "no"), "{refused:?}");
    let served = fleet.caller(at, ATLAS_VAN).ask(&Ask::default()).await;
    assert_eq!(served.version, "atlas-small@2", "{served:?}");
    fleet.engines[0].sidecar.restart();
    fleet.wait_ready().await;
    until("the restarted sidecar to work", || async {
        let _ = fleet.caller(at, ATLAS_VAN).ask(&Ask::default()).await;
        !Fleet::runs(&fleet.engines[0]).is_empty()
    })
    .await;
    assert!(fleet.engine_runs().iter().all(|run| run["version"] != "atlas-small@1"), "it never ran the withdrawn one");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_fleet_without_settings_is_not_ready_and_runs_nothing() {
    let fleet = FleetBuilder::default().entries(1).without_settings().start().await;
    until("the entry to answer", || async { fleet.operator(0).get("/healthz").await.0 == 200 }).await;
    assert_eq!(fleet.operator(0).get("/readyz").await.0, 503);
    let answer = fleet.caller(0, ATLAS_VAN).ask(&Ask::default()).await;
    assert_eq!((answer.status, answer.ran()), (503, "no"), "{answer:?}");
}
