//! A silent attempt is kept until its takeover can no longer fail at once, and never for longer than two upstreams may
//! run one request.

use std::time::Duration;

use bluebell_core::retry::{MAX_OVERLAP, Takeover};

/// Time for which the users allow two upstreams to run one request.
const OVERLAP_ALLOWED: Duration = Duration::from_millis(400);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn silent_attempt_is_kept_while_no_other_upstream_has_the_request() {
    let mut takeover = Takeover::default();
    assert_eq!(takeover.close_at(), None);
    takeover.record_sent(millis(100));
    takeover.record_failure();
    assert_eq!(takeover.close_at(), None);
}

#[test]
fn silent_attempt_is_closed_before_both_have_run_for_too_long() {
    let mut takeover = Takeover::default();
    takeover.record_sent(millis(100));
    takeover.record_sent(millis(300));
    assert_eq!(takeover.close_at(), Some(millis(100) + MAX_OVERLAP));
    assert!(MAX_OVERLAP < OVERLAP_ALLOWED);
    takeover.record_failure();
    takeover.record_sent(millis(900));
    assert_eq!(takeover.close_at(), Some(millis(900) + MAX_OVERLAP));
}
