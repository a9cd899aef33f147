//! Rules about API keys, roll-outs, recovery, and the end of processes.

use std::time::{Duration, Instant};

use super::{CheckContext, Rule, SETTLING_TIME};
use crate::{
    callers::RequestRecord,
    faults::{FaultScope, KeyChange},
    fleet::{EXPOSURE, EXPOSURE_SLACK},
    plan::{ROLLOUT_TIME, Service, UpstreamIndex},
};

/// Time within which declarations have to take effect.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time after a gateway first acts on new declarations for which it may still act on the previous ones.
const SWITCH_TIME: Duration = Duration::from_millis(250);
/// Time after its rejection for which a bad release may still get requests.
const REVERT_TIME: Duration = Duration::from_secs(5);
/// Number of bad answers after which a release has to be rejected.
const REJECT_AFTER: usize = 50;
/// Minimum share of requests that are served after recovery.
const MIN_SERVED_SHARE: f64 = 0.95;

pub(super) fn check(context: &mut CheckContext<'_>) {
    let changes = context.evidence.injected.key_changes.clone();
    for change in &changes {
        check_key(context, change);
    }
    check_rollout(context);
    check_recovery(context);
    let stop_failures = context.evidence.injected.stop_failures.clone();
    for (at, text) in stop_failures {
        context.report(Rule::Stops, at, "-", text);
    }
}

fn check_key(context: &mut CheckContext<'_>, change: &KeyChange) {
    let due = change.stored_at + PROPAGATION_TIME;
    // Gateways that rejected the removed key, and when.
    let mut rejected: Vec<(usize, Instant)> = Vec::new();
    let mut requests: Vec<&RequestRecord> = context.evidence.requests.iter().collect();
    requests.sort_by_key(|request| request.sent_at);
    for request in requests {
        // A gateway that could not reach the store at the due time, or since, need not know of the change.
        let must_know = request.sent_at > due
            && context.is_settled(request.gateway, request.sent_at)
            && context.is_settled(request.gateway, due);
        let ran = !context.runs_of(&request.id).is_empty();
        if request.key == change.removed {
            let was_rejected = rejected
                .iter()
                .any(|(gateway, when)| *gateway == request.gateway && request.sent_at > *when + SWITCH_TIME);
            if ran && must_know {
                context.report(
                    Rule::Configuration,
                    request.sent_at,
                    &request.id,
                    format!("ran with the removed key {}", request.key),
                );
            } else if ran
                && was_rejected
                && !may_have_restarted(context, request.gateway, change.stored_at, request.ended_at)
            {
                context.report(
                    Rule::Configuration,
                    request.sent_at,
                    &request.id,
                    format!("ran with the removed key {} after the gateway had rejected it", request.key),
                );
            }
            if request.status() == Some(401) && request.sent_at > change.stored_at {
                rejected.push((request.gateway, request.ended_at));
            }
        }
        if request.key == change.added
            && request.status() == Some(401)
            && must_know
            && !is_removed(context, &request.key, request.ended_at)
        {
            context.report(
                Rule::Configuration,
                request.sent_at,
                &request.id,
                format!("the added key {} was rejected", request.key),
            );
        }
    }
}

fn is_removed(context: &CheckContext<'_>, key: &str, by: Instant) -> bool {
    context.evidence.injected.key_changes.iter().any(|change| change.removed == key && change.stored_at <= by)
}

// Whether a gateway may have restarted: any fault of it may include a restart.
fn may_have_restarted(context: &CheckContext<'_>, gateway: usize, from: Instant, to: Instant) -> bool {
    context.any_fault(from, to, |fault| fault.scope == FaultScope::Gateway(gateway))
}

fn check_rollout(context: &mut CheckContext<'_>) {
    let canary = UpstreamIndex::Chat(context.evidence.plan.chat_upstreams);
    let mut runs: Vec<_> =
        context.evidence.runs.iter().filter(|(upstream, _)| *upstream == canary).map(|(_, run)| run).collect();
    runs.sort_by_key(|run| run.began);
    let Some(rollout) = context.evidence.injected.rollout else { return };
    if !rollout.bad {
        return;
    }
    let deadline = rollout.stored_at + ROLLOUT_TIME;
    let is_gateway_settled = |context: &CheckContext<'_>, id: &str, at: Instant| {
        context.requests.get(id).is_some_and(|request| context.is_settled(request.gateway, at))
    };
    let exposed = runs.iter().filter(|run| run.began < deadline);
    let exposed =
        exposed.filter(|run| is_gateway_settled(context, run.request.header("request-id"), run.began)).count();
    let chat = context.evidence.requests.iter().filter(|request| request.route.service() == Service::Chat);
    let total = chat.filter(|request| request.sent_at >= rollout.stored_at && request.sent_at < deadline).count();
    let allowed = EXPOSURE * total as f64 + EXPOSURE_SLACK;
    if exposed as f64 > allowed {
        let text = format!("a bad release got {exposed} of {total} requests; {allowed:.0} are allowed");
        context.report(Rule::Exposure, deadline, "-", text);
    }
    let Some(rejected_by) = runs.get(REJECT_AFTER - 1).map(|run| run.began + REVERT_TIME + SETTLING_TIME) else {
        return;
    };
    let late: Vec<_> = runs.iter().filter(|run| run.began > rejected_by).collect();
    let late = late.into_iter().find(|run| is_gateway_settled(context, run.request.header("request-id"), run.began));
    if let Some(run) = late {
        let id = run.request.header("request-id");
        context.report(
            Rule::Exposure,
            run.began,
            id,
            format!("a bad release still got requests after {REJECT_AFTER} bad answers"),
        );
    }
}

fn check_recovery(context: &mut CheckContext<'_>) {
    let (from, to) = context.evidence.recovered_phase;
    let is_counted = |request: &&RequestRecord| {
        request.sent_at >= from && request.sent_at < to && !is_removed(context, &request.key, request.sent_at)
    };
    let sent: Vec<&RequestRecord> = context.evidence.requests.iter().filter(is_counted).collect();
    let unserved: Vec<&&RequestRecord> = sent.iter().filter(|request| !request.is_served()).collect();
    let served_share = 1.0 - unserved.len() as f64 / sent.len().max(1) as f64;
    if sent.is_empty() || served_share < MIN_SERVED_SHARE {
        let ids: Vec<String> =
            unserved.iter().take(8).map(|request| format!("{} {:?}", request.id, request.status())).collect();
        let id = unserved.first().map_or("-", |request| request.id.as_str());
        let text = format!(
            "{:.0}% of {} requests were served after recovery; not served: {ids:?}",
            100.0 * served_share,
            sent.len()
        );
        context.report(Rule::Recovery, from, id, text);
    }
}
