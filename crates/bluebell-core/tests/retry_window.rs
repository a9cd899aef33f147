//! The sum of all gateways' retries stays within the retry budget in any window, however requests are distributed.

use std::time::Duration;

use bluebell_core::retry::{RetryLimit, RetryWindow};
use rand::{Rng, SeedableRng, rngs::StdRng};

const LIMIT: RetryLimit = RetryLimit { ratio: 0.9, slack: 56.0, window: Duration::from_secs(10) };

// Simulates gateways that retry whenever the budget permits and restart with probability `restarts` per request.
// Returns the largest number of retries beyond the limit in any window; a value of at most zero means that the limit
// holds.
fn worst_excess(gateways: usize, restarts: f64, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut windows: Vec<RetryWindow> = (0..gateways).map(|_| RetryWindow::default()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = Duration::ZERO;
    for _ in 0..6000 {
        let idle = random.random_bool(0.002);
        now += Duration::from_millis(if idle { 4000 } else { random.random_range(0..10) });
        let gateway = random.random_range(0..gateways);
        if random.random_bool(restarts) {
            windows[gateway] = RetryWindow::started(now);
        }
        let window = &mut windows[gateway];
        window.request(now);
        requests.push(now);
        while random.random_bool(0.7) && window.retry(now, &LIMIT, gateways) {
            retries.push(now);
        }
    }
    let count = |all: &[Duration], from: Duration, to: Duration| {
        all.iter().filter(|at| **at > from && **at <= to).count() as f64
    };
    retries
        .iter()
        .map(|end| {
            let from = end.saturating_sub(LIMIT.window);
            let earlier = from.saturating_sub(LIMIT.window);
            let counted = count(&requests, from, *end).max(count(&requests, earlier, from));
            count(&retries, from, *end) - LIMIT.ratio * counted - LIMIT.slack
        })
        .fold(f64::MIN, f64::max)
}

#[test]
fn no_window_exceeds_the_limit() {
    for seed in 0..6 {
        for gateways in [1, 4, 9] {
            assert!(worst_excess(gateways, 0.0, seed) <= 0.0, "seed {seed}, {gateways} gateways");
        }
    }
}

#[test]
fn no_window_exceeds_the_limit_when_gateways_restart() {
    for seed in 0..2 {
        for gateways in [1, 4] {
            assert!(worst_excess(gateways, 0.01, seed) <= 0.0, "seed {seed}, {gateways} gateways");
        }
    }
}

#[test]
fn escalations_leave_retries_for_failures() {
    let mut window = RetryWindow::default();
    let now = Duration::from_secs(1);
    (0..40).for_each(|_| window.request(now));
    while window.escalate(now, &LIMIT, 4) {}
    assert!(!window.may_escalate(now, &LIMIT, 4));
    assert!(window.retry(now, &LIMIT, 4));
}

#[test]
fn budget_recovers_after_the_window() {
    let mut window = RetryWindow::default();
    let now = LIMIT.window;
    assert!(window.left(now, &LIMIT, 1) > 40.0);
    while window.retry(now, &LIMIT, 1) {}
    assert!(window.retry(now + LIMIT.window + Duration::from_millis(1), &LIMIT, 1));
}
