//! Many upstreams crash at once, and each gateway of a large fleet reports the requests that it had in flight there.

use std::time::{Duration, Instant};

use bluebell_core::{
    poison::{CrashEvidence, CrashReport, Fingerprint},
    upstreams::UpstreamIncarnation,
};
use serde_json::json;

use super::{caller::Ask, site::Site, until};

/// Upstreams that crash.
const CRASHED: usize = 60;
/// Gateways that report each of them.
const REPORTERS: usize = 30;
/// Requests that a gateway had in flight at an upstream.
const REQUESTS: usize = 8;
/// Prompt parts that many of the requests share.
const PARTS: usize = 80;
/// Parts of the requests that a gateway had in flight at an upstream.
const REPORTED_PARTS: usize = 4;
/// Time within which declarations must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(3000);
/// A time on the store's clock that is later than any test.
const LATER_MS: u64 = 1 << 42;

fn report(upstream: usize, reporter: usize) -> CrashReport {
    let request = |number: usize| Fingerprint::of(&format!("/talk/{upstream}/{reporter}/{number}"), None, b"");
    let service = "chat".parse().expect("the id should be valid");
    let part = |number: usize| {
        let shared = (upstream * 7 + reporter * 3 + number * 11) % PARTS;
        Fingerprint::of_part(&service, &format!("{shared:08x}").parse().expect("the id should be valid"))
    };
    CrashReport {
        incarnation: UpstreamIncarnation {
            upstream: format!("crashed-{upstream}").parse().expect("the id should be valid"),
            started_at_ms: 1,
        },
        reporter: format!("peer-{reporter}").parse().expect("the id should be valid"),
        evidence: CrashEvidence::Refused,
        suspects: (0..REQUESTS).map(request).chain((0..REPORTED_PARTS).map(part)).collect(),
    }
}

#[tokio::test]
async fn declarations_are_in_force_in_time_while_reports_of_many_crashes_arrive() {
    let site = Site::start(1).await;
    for (upstream, reporter) in (0..CRASHED).flat_map(|one| (0..REPORTERS).map(move |other| (one, other))) {
        let report = report(upstream, reporter);
        let row = json!({ "report": report, "needed": LATER_MS });
        site.store.put("bluebell", &format!("crash/{}", report.key()), &row);
    }
    site.put_declarations(2, |config| config["tenants"][0]["apiKeys"] = json!(["key-2"]));
    let start = Instant::now();
    until("the old key to be refused", || async {
        site.gateways[0].ask(&Ask::new("/look/1", "old")).await.status == 401
    })
    .await;
    let elapsed = start.elapsed();
    assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?}");
}
