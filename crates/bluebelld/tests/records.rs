//! Tests of the local copy of the crash reports in the store.

use std::time::Duration;

use bluebell_core::{
    poison::{CrashEvidence, CrashReport, Fingerprint},
    replica::{Origin, Row},
    upstreams::UpstreamIncarnation,
};
use bluebell_platform::store::Snapshot;
use bluebelld::records::{ReportRows, StoredReport};

fn row(key: &str, body: &[u8]) -> Row {
    let report = CrashReport {
        incarnation: UpstreamIncarnation { upstream: "chat-1".parse().expect("an id"), started_at_ms: 1 },
        reporter: "entry-1".parse().expect("an id"),
        evidence: CrashEvidence::Refused,
        suspects: vec![Fingerprint::of("POST /", None, body)],
    };
    let value = serde_json::to_vec(&StoredReport { report, needed: Duration::from_secs(1) }).expect("JSON");
    Row { origin: Origin::Fleet, key: key.to_owned(), value: Some(value), version: 3 }
}

#[test]
fn reports_deleted_while_the_feed_was_lost_are_missing_from_the_next_snapshot() {
    let mut rows = ReportRows::default();
    for at in [row("crash/a", b"a"), row("crash/b", b"b")] {
        assert!(rows.insert(&at).is_some());
    }
    let all = Snapshot { rows: vec![row("crash/b", b"b")], version: 9, clock: Duration::from_secs(2) };
    let gone = Row { origin: Origin::Fleet, key: "crash/a".to_owned(), value: None, version: 9 };
    assert_eq!(rows.missing_from(&all), vec![gone]);
}
