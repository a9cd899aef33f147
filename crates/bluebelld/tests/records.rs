//! Tests of the local copy of the crash reports in the store.

use std::time::Duration;

use bluebell_core::{
    poison::{CrashEvidence, CrashReport, Fingerprint},
    replica::{Origin, Row},
    upstreams::UpstreamIncarnation,
};
use bluebell_platform::store::Snapshot;
use bluebelld::records::{REPORT_PREFIX, ReportRows, StoredReport};

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

// A write that expects another version is in conflict, together with all reports that it writes at the same time.
#[test]
fn report_whose_row_was_overwritten_with_odd_content_is_written_again_over_it() {
    let mut rows = ReportRows::default();
    let sound = row("", b"a");
    let stored: StoredReport = serde_json::from_slice(sound.value.as_deref().unwrap_or_default()).expect("JSON");
    let key = format!("{REPORT_PREFIX}{}", stored.report.key());
    assert!(rows.insert(&Row { key: key.clone(), ..sound }).is_some());
    assert!(
        rows.insert(&Row { origin: Origin::Fleet, key: key.clone(), value: Some(b"{".to_vec()), version: 8 }).is_none()
    );
    let transaction = rows.next_transaction(Duration::from_secs(20), std::iter::once(stored), |_| true);
    let transaction = transaction.expect("the report should be written");
    let expected: Vec<(String, u64)> =
        transaction.expected.into_iter().map(|(at, version)| (at.key, version)).collect();
    assert_eq!((expected, transaction.puts.len()), (vec![(key, 8)], 1));
}
