//! Rules about the requests that upstreams ran.

use std::time::{Duration, Instant};

use bluebell_standins::site::Run;
use indexmap::IndexMap;

use super::{CheckContext, Rule, SETTLING_TIME, earlier};
use crate::{
    callers::{DEADLINE, POISON_ROUTES, RequestOutcome, RequestRecord, poison_body},
    faults::{DRAIN_TIME, FaultScope},
    fleet::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW},
    plan::{ROLLOUT_TIME, Service, UpstreamIndex},
};

/// Number of crashes after which a poison request has to be blocked.
const POISON_CRASHES: usize = 3;
/// Number of sends of a poison request that are allowed later than the settling time after that.
const LATE_POISON_ALLOWED: usize = 3;
/// Time by which the deadline passed to an upstream may exceed the remaining time.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Time after a caller's disconnect within which its request may still be sent to an upstream.
const DISCONNECT_GRACE: Duration = Duration::from_millis(500);
/// Number of sends for disconnected callers that are allowed later than that.
const LATE_SENDS_ALLOWED: usize = 3;
/// Number of requests that are allowed to move their session to the new release too early.
const SESSION_MOVES_ALLOWED: usize = 3;
/// Longest time between two requests of a session that still belong together.
const SESSION_TIME: Duration = Duration::from_secs(5);
/// Number of excessive deadlines up to which their share is not checked.
const EXCESSIVE_DEADLINES_ALLOWED: usize = 20;

pub(super) fn check(context: &mut CheckContext<'_>) {
    let mut excessive = 0;
    let mut checked = 0;
    for (upstream, run) in &context.evidence.runs {
        let id = run.request.header("request-id");
        if id == "warm-up" {
            continue;
        }
        let Some(request) = context.requests.get(id).copied() else {
            context.report(
                Rule::Unchanged,
                run.began,
                id,
                "no caller has recorded it: it was never sent, or its caller did not finish".to_owned(),
            );
            continue;
        };
        check_run(context, *upstream, run, request);
        if context.is_settled(request.gateway, run.began) {
            checked += 1;
            excessive += usize::from(has_excessive_deadline(run, request));
        }
    }
    if excessive > EXCESSIVE_DEADLINES_ALLOWED && 5 * excessive > checked {
        let at = context.evidence.recovered_phase.1;
        context.report(
            Rule::Deadlines,
            at,
            "-",
            format!("{excessive} of {checked} runs got a deadline beyond the remaining time"),
        );
    }
    check_once(context);
    check_disconnected(context);
    check_sessions(context);
    check_drains(context);
    check_poison(context);
    for service in [Service::Chat, Service::Ledger] {
        check_budget(context, service);
    }
}

fn check_run(context: &mut CheckContext<'_>, upstream: UpstreamIndex, run: &Run, request: &RequestRecord) {
    let mut report = |rule, text: String| context.report(rule, run.began, &request.id, text);
    let received = &run.request;
    let is_same = received.method == "POST"
        && received.target == request.route.path()
        && received.body == request.body.as_bytes();
    if !is_same {
        report(
            Rule::Unchanged,
            format!("{} {} with a body of {} bytes", received.method, received.target, received.body.len()),
        );
    }
    if received.header("tenant") != "org-1" || !received.header("authorization").is_empty() {
        report(Rule::Unchanged, format!("organisation {:?}, or the API key was passed on", received.header("tenant")));
    }
    if upstream.service() != request.route.service() {
        report(Rule::AllowedVersion, format!("ran on an upstream of {}", upstream.service().name()));
    }
}

// A missing or malformed deadline counts as excessive.
fn has_excessive_deadline(run: &Run, request: &RequestRecord) -> bool {
    let remaining = DEADLINE.saturating_sub(run.began.saturating_duration_since(request.sent_at));
    let passed = run.request.header("deadline-ms").parse().map(Duration::from_millis);
    passed.map_or(true, |passed| passed > remaining + DEADLINE_SLACK)
}

fn check_once(context: &mut CheckContext<'_>) {
    let repeated: Vec<(&RequestRecord, usize)> = context
        .evidence
        .requests
        .iter()
        .filter(|request| !request.route.is_repeatable())
        .map(|request| (request, context.runs_of(&request.id).len()))
        .filter(|(_, count)| *count > 1)
        .collect();
    for (request, count) in repeated {
        context.report(Rule::AtMostOnce, request.ended_at, &request.id, format!("{count} runs"));
    }
}

fn check_disconnected(context: &mut CheckContext<'_>) {
    let mut late = Vec::new();
    for request in context.evidence.requests.iter().filter(|request| matches!(request.outcome, RequestOutcome::Aborted))
    {
        let bound = request.ended_at + DISCONNECT_GRACE;
        let is_late = |run: &Run| run.began > bound && context.is_settled(request.gateway, run.began);
        late.extend(
            context.runs_of(&request.id).iter().filter(|(_, run)| is_late(run)).map(|(_, run)| (run.began, request)),
        );
    }
    if late.len() > LATE_SENDS_ALLOWED {
        let ids: Vec<&str> = late.iter().map(|(_, request)| request.id.as_str()).collect();
        context.report(
            Rule::Gone,
            late[0].0,
            ids[0],
            format!("{} sends after their callers had disconnected: {ids:?}", ids.len()),
        );
    }
}

// For the first half of a roll-out, sessions on the old release have to stay there, unless a fault affects one of their
// gateways or every upstream of the old release.
fn check_sessions(context: &mut CheckContext<'_>) {
    let Some(rollout) = context.evidence.injected.rollout else { return };
    let first_half_end = rollout.stored_at + ROLLOUT_TIME / 2;
    let canary = UpstreamIndex::Chat(context.evidence.plan.chat_upstreams);
    // The last run of each session: its start, whether it was on the new release, and its gateway.
    let mut last: IndexMap<&str, (Instant, bool, usize)> = IndexMap::new();
    let in_session = |request: &&RequestRecord| request.route.is_stream() && !request.session.is_empty();
    let mut streams: Vec<&RequestRecord> = context.evidence.requests.iter().filter(in_session).collect();
    streams.sort_by_key(|request| request.sent_at);
    let mut moved = Vec::new();
    for request in streams {
        let Some((upstream, run)) = context.runs_of(&request.id).last() else { continue };
        let is_new = *upstream == canary;
        let previous = last.insert(&request.session, (run.began, is_new, request.gateway));
        let Some((since, false, previous_gateway)) = previous.filter(|(since, ..)| *since + SESSION_TIME > run.began)
        else {
            continue;
        };
        let from = earlier(since, SETTLING_TIME);
        let is_settled = !context.any_fault(from, run.began, |fault| match fault.scope {
            FaultScope::Gateway(gateway) | FaultScope::GatewayControl(gateway) => {
                gateway == request.gateway || gateway == previous_gateway
            }
            FaultScope::AllGateways | FaultScope::Store => true,
            FaultScope::Upstream(_) => false,
        });
        let is_up = |number: usize| {
            !context
                .any_fault(from, run.began, |fault| fault.scope == FaultScope::Upstream(UpstreamIndex::Chat(number)))
        };
        let is_settled = is_settled && (0..context.evidence.plan.chat_upstreams).any(is_up);
        if is_new && run.began < first_half_end && is_settled {
            moved.push((run.began, request));
        }
    }
    if moved.len() > SESSION_MOVES_ALLOWED {
        let ids: Vec<&str> = moved.iter().map(|(_, request)| request.id.as_str()).collect();
        context.report(
            Rule::Sessions,
            moved[0].0,
            ids[0],
            format!("{} requests moved their session to the new release too early: {ids:?}", ids.len()),
        );
    }
}

fn check_drains(context: &mut CheckContext<'_>) {
    for drain in &context.evidence.injected.drains {
        let bound = drain.stored_at + DRAIN_TIME;
        let late: Vec<&Run> = context
            .evidence
            .runs
            .iter()
            .map(|(_, run)| run)
            .filter(|run| run.upstream == drain.id && run.began > bound)
            .collect();
        for run in late {
            let id = run.request.header("request-id");
            let Some(request) = context.requests.get(id).copied() else { continue };
            let is_upstream_faulty = context.any_fault(earlier(run.began, SETTLING_TIME), run.began, |fault| {
                fault.scope == FaultScope::Upstream(drain.upstream)
            });
            // The store and the gateway must have been free of faults when the drain was announced, which the settling
            // time before `bound` covers, and before the request was sent; otherwise the gateway may not know of it.
            if context.is_settled(request.gateway, run.began)
                && context.is_settled(request.gateway, bound)
                && !is_upstream_faulty
            {
                let after = run.began.saturating_duration_since(drain.stored_at);
                context.report(
                    Rule::Drains,
                    run.began,
                    id,
                    format!("sent to {} {after:?} after it began to drain", drain.id),
                );
            }
        }
    }
}

fn check_poison(context: &mut CheckContext<'_>) {
    for caller in 0..POISON_ROUTES.len() {
        let body = poison_body(caller);
        let mut sends: Vec<&Run> = context
            .evidence
            .runs
            .iter()
            .map(|(_, run)| run)
            .filter(|run| run.request.body == body.as_bytes())
            .collect();
        sends.sort_by_key(|run| run.began);
        let Some(last_crash) = sends.get(POISON_CRASHES - 1).map(|run| run.began) else { continue };
        let late = sends.iter().filter(|run| {
            let gateway = context.requests.get(run.request.header("request-id")).map(|request| request.gateway);
            run.began > last_crash + SETTLING_TIME
                && gateway.is_some_and(|gateway| context.is_settled(gateway, run.began))
        });
        let ids: Vec<&str> = late.map(|run| run.request.header("request-id")).collect();
        if ids.len() > LATE_POISON_ALLOWED {
            let (count, last) = (ids.len(), ids[ids.len() - 1]);
            context.report(
                Rule::Poison,
                last_crash,
                last,
                format!("{count} sends later than {SETTLING_TIME:?} after the third crash: {ids:?}"),
            );
        }
    }
}

fn check_budget(context: &mut CheckContext<'_>, service: Service) {
    let mut requests: Vec<Instant> = context
        .evidence
        .requests
        .iter()
        .filter(|request| request.route.service() == service)
        .map(|request| request.sent_at)
        .collect();
    requests.sort();
    let mut retries: Vec<(Instant, &str)> = Vec::new();
    for request in context.evidence.requests.iter().filter(|request| request.route.service() == service) {
        retries.extend(context.runs_of(&request.id).iter().skip(1).map(|(_, run)| (run.began, request.id.as_str())));
    }
    retries.sort();
    let requests_between = |from: Instant, to: Instant| requests.iter().filter(|at| **at >= from && **at < to).count();
    for (number, (end, id)) in retries.iter().enumerate() {
        let start = earlier(*end, RETRY_WINDOW);
        let retried = retries[..=number].iter().filter(|(at, _)| *at >= start).count();
        // The requests of the busiest of three windows count: this one, and those half a window and a window earlier.
        let windows = [0.0, 0.5, 1.0].map(|back| {
            let shift = RETRY_WINDOW.mul_f64(back);
            requests_between(earlier(start, shift), earlier(*end, shift))
        });
        let base = windows.into_iter().max().unwrap_or_default();
        let allowed = RETRY_RATIO * base as f64 + RETRY_SLACK;
        if retried as f64 > allowed {
            let text = format!("{retried} retries at {} in {RETRY_WINDOW:?}; {allowed:.0} are allowed", service.name());
            context.report(Rule::RetryBudget, *end, id, text);
            return;
        }
    }
}
