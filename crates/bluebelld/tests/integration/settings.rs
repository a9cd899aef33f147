//! Accepted settings are in force at all instances within seconds and never revert to an older revision.

use std::time::{Duration, Instant};

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_VAN, ChatRequest, Fleet, FleetBuilder, until};

/// Time within which a change must be in force at all instances.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_at_all_instances_within_the_timeout() {
    let fleet = FleetBuilder::default().entries(4).start().await;
    for round in 0..5 {
        let action = ["drain", "restore"][round % 2];
        let started = Instant::now();
        let (code, text) = fleet.ctl(round % 4, &["--wait", "version", action, "atlas-small@2"]).await;
        assert_eq!(code, 0, "{text}");
        assert!(started.elapsed() < PROPAGATION_TIMEOUT, "{:?}", started.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_instance_is_named_and_catches_up() {
    let fleet = Fleet::start().await;
    fleet.engines[0].sidecar.freeze();
    let (code, text) = fleet.ctl(0, &["--wait", "--timeout", "6", "version", "drain", "atlas-small@2"]).await;
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("sidecar-of-engine-1 in zone tiznit"), "{text}");
    fleet.engines[0].sidecar.thaw();
    until("all instances to have the latest revision in force", || async {
        fleet.propagation_status(1).await["everywhere"] == true
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_gets_the_latest_settings_from_its_peers_while_the_records_table_is_down() {
    let mut fleet = Fleet::start().await;
    let (code, text) = fleet.ctl(0, &["--wait", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    fleet.set_store_mode(StoreMode::RecordsBusy).await;
    fleet.add_entry();
    fleet.publish_instances().await;
    let index = fleet.entries.len() - 1;
    fleet.wait_entry_ready(index).await;
    let refused =
        fleet.caller(index, ATLAS_VAN).chat(&ChatRequest { model: "atlas-small@1", ..ChatRequest::default() }).await;
    assert_eq!((refused.status, refused.ran()), (403, "no"), "{refused:?}");
    let served = fleet.caller(index, ATLAS_VAN).chat(&ChatRequest::default()).await;
    assert_eq!(served.version, "atlas-small@2", "{served:?}");
    fleet.engines[0].sidecar.restart();
    fleet.wait_all_ready().await;
    until("the restarted sidecar to run requests", || async {
        let _ = fleet.caller(index, ATLAS_VAN).chat(&ChatRequest::default()).await;
        !Fleet::runs(&fleet.engines[0]).is_empty()
    })
    .await;
    assert!(
        fleet.engine_runs().iter().all(|run| run["version"] != "atlas-small@1"),
        "the withdrawn version should never run"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_fleet_without_settings_is_not_ready_and_runs_nothing() {
    let fleet = FleetBuilder::default().entries(1).without_settings().start().await;
    until("the entry to respond", || async { fleet.operator(0).get("/healthz").await.0 == 200 }).await;
    assert_eq!(fleet.operator(0).get("/readyz").await.0, 503);
    let response = fleet.caller(0, ATLAS_VAN).chat(&ChatRequest::default()).await;
    assert_eq!((response.status, response.ran()), (503, "no"), "{response:?}");
}
