//! Invariants of the gateways, checked against the history of the simulated world.

use std::time::Duration;

use bluebell_core::{
    canary::{Split, Stage},
    replica::Origin,
    upstreams::{LAPSE_GRACE, UpstreamIncarnation},
};
use indexmap::IndexSet;

use crate::{
    gateway::{CONFIG_KEY, Gateway},
    world::{
        GATEWAYS, NEW_RELEASE_UPSTREAMS, POISON_BODIES, RETRY_LIMIT, UPSTREAMS, World, fingerprint, upstream_name,
    },
};

/// Crashes with a request in flight after which it is never sent again, whatever other requests were in flight as well.
const CERTAIN_POISON_CRASHES: usize = 4;
/// Crashes with a request in flight that are needed before it is blocked.
const BLOCKING_CRASHES: u32 = 3;
/// Gateway starts within a window up to which the retry limit holds.
const MAX_GATEWAY_STARTS: usize = 3;

impl World {
    // A gateway that has just read the store has all of its rows.
    pub fn check_read(&self, index: usize) {
        for row in self.store.rows() {
            let known = self.gateways[index].replica.get(row.origin, &row.key).map(|(value, _)| value);
            assert_eq!(known, row.value.as_deref(), "{} at {}", row.key, self.gateways[index].id);
        }
    }

    // A request must not be sent to a leaving upstream, to a rejected release, or to the new release without a rollout
    // stage. A poison request must not be sent at all after too many crashes.
    pub fn check_send(&self, index: usize, body: u8, to: usize, split: &Split) {
        let gateway = &self.gateways[index];
        let row =
            gateway.latest_rows.get(&(Origin::Upstreams, upstream_name(to))).expect("the registration was received");
        let is_leaving = row.value.as_ref().is_some_and(|value| value.ends_with(b"true"));
        assert!(!is_leaving, "{} sends to {} although it is leaving", gateway.id, upstream_name(to));
        let crashes = gateway.known_crashes_under(body) as usize;
        let is_poison = body < POISON_BODIES;
        assert!(
            !is_poison || crashes < CERTAIN_POISON_CRASHES,
            "{} sends a request that was in flight at {crashes} crashes",
            gateway.id
        );
        if NEW_RELEASE_UPSTREAMS.contains(&to) {
            let is_reverted = gateway.stage().is_some_and(|row| row.stage == Stage::Reverted);
            assert!(!is_reverted && !gateway.verdict.rejected, "{} sends to a rejected release", gateway.id);
            assert!(
                matches!(split, Split::Share { .. } | Split::Only(_)),
                "{} sends to a new release without a rollout stage",
                gateway.id
            );
        }
    }

    // The retries of all gateways within a window stay within the limit for the requests of that window or of the one
    // before, whichever has more.
    pub fn check_budget(&self) {
        let window_start = self.now.saturating_sub(RETRY_LIMIT.window);
        let count_since = |times: &[Duration], from: Duration| times.iter().filter(|time| **time >= from).count();
        if count_since(&self.gateway_start_times, window_start) > MAX_GATEWAY_STARTS {
            return;
        }
        let previous_window_start = window_start.saturating_sub(RETRY_LIMIT.window);
        let requests = count_since(&self.request_times, window_start).max(
            count_since(&self.request_times, previous_window_start) - count_since(&self.request_times, window_start),
        );
        let allowed = RETRY_LIMIT.ratio * requests as f64 + RETRY_LIMIT.slack;
        let retries = count_since(&self.retry_times, window_start);
        assert!(retries as f64 <= allowed, "{retries} retries within the window, but only {allowed} allowed");
    }

    /// Ends all faults, exchanges all messages and checks that the gateways have reached the same state.
    pub fn converge(&mut self) {
        for gateway in &mut self.gateways {
            (gateway.frozen, gateway.store_unreachable) = (false, false);
        }
        for _ in 0..3 {
            // Registrations that lapsed together stay in use for a grace period.
            self.now += LAPSE_GRACE;
            for index in 0..GATEWAYS {
                self.read_store(index);
                self.tick(index);
                (0..GATEWAYS).for_each(|to| self.gossip(index, to));
            }
            for (from, to, message) in std::mem::take(&mut self.network) {
                self.deliver(from, to, message);
            }
        }
        let first = &self.gateways[0];
        let open = |gateway: &Gateway| {
            let open = gateway.upstreams.open(self.now);
            open.values().flatten().map(|upstream| upstream.incarnation()).collect::<IndexSet<_>>()
        };
        let registered: IndexSet<UpstreamIncarnation> =
            (0..UPSTREAMS).filter_map(|index| self.registered_incarnation(index)).collect();
        for gateway in &self.gateways {
            assert_eq!(
                gateway.replica.get(Origin::Operator, CONFIG_KEY).map(|(_, version)| version),
                Some(self.config_version)
            );
            assert!(
                open(gateway).iter().all(|incarnation| registered.contains(incarnation)),
                "{} uses an upstream that is not registered",
                gateway.id
            );
            assert!(
                registered.iter().all(|incarnation| open(gateway).contains(incarnation)),
                "{} doesn't use all registered upstreams",
                gateway.id
            );
            let innocent =
                self.cleared.iter().filter(|(_, (_, crashes))| *crashes < BLOCKING_CRASHES).map(|(body, _)| body);
            let blocked: Vec<&u8> = innocent.filter(|body| gateway.suspects.is_poison(&fingerprint(**body))).collect();
            assert!(blocked.is_empty(), "{} blocks a request that was answered", gateway.id);
            let poison =
                |gateway: &Gateway| gateway.suspects.poison().map(|(request, _)| *request).collect::<IndexSet<_>>();
            assert!(poison(gateway) == poison(first), "{} and {} block different requests", gateway.id, first.id);
        }
    }

    fn registered_incarnation(&self, index: usize) -> Option<UpstreamIncarnation> {
        let upstream = &self.upstreams[index];
        let is_registered =
            self.store.current_version(Origin::Upstreams, &upstream_name(index)) > 0 && !upstream.leaving;
        let row = self.store.rows().find(|row| row.key == upstream_name(index))?;
        let started_at_ms = String::from_utf8(row.value.clone()?).ok()?.split(' ').nth(1)?.parse().ok()?;
        is_registered
            .then(|| UpstreamIncarnation { upstream: upstream_name(index).parse().expect("a valid id"), started_at_ms })
    }
}
