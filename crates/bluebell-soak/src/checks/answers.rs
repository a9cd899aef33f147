//! Rules about the answers that callers received.

use std::time::{Duration, Instant};

use bluebell_standins::{caller::Answer, site::TIMEOUT_MS};

use super::{CheckContext, Rule, SETTLING_TIME, earlier};
use crate::{
    callers::{RequestOutcome, RequestRecord},
    faults::FaultScope,
    fleet::EVENTS_PER_ANSWER,
};

/// Statuses that guarantee that a request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Time after the route's timeout within which a request has to get its final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time after a gateway was asked to stop during which the requests sent to it are completed or rejected. Requests sent
/// later may be lost when the process ends.
const STOP_TIME: Duration = Duration::from_secs(3);
/// Time for which a process may have to wait for CPU time on a machine that is busy with a whole soak.
const SCHEDULING_SLACK: Duration = Duration::from_millis(500);

pub(super) fn check(context: &mut CheckContext<'_>) {
    for request in &context.evidence.requests {
        if let RequestOutcome::Answered(answer) = &request.outcome {
            check_answer(context, request, answer);
        }
        check_outcome(context, request);
    }
}

fn check_answer(context: &mut CheckContext<'_>, request: &RequestRecord, answer: &Answer) {
    let mut report = |rule, text: String| context.report(rule, request.ended_at, &request.id, text);
    let is_signed = !answer.header("response-stamp").is_empty();
    if !answer.header("request-id").is_empty() && answer.header("request-id") != request.id {
        report(Rule::WholeAnswers, format!("the answer is that of {}", answer.header("request-id")));
    }
    if answer.status == 200 && !is_signed {
        report(Rule::WholeAnswers, "success without an upstream's signature".to_owned());
    }
    if is_signed && ![200, 500].contains(&answer.status) {
        report(Rule::WholeAnswers, format!("an upstream's signature on status {}", answer.status));
    }
    if answer.status == 200 && request.route.is_stream() {
        let events = answer.events();
        let in_order = events.iter().zip(1..).all(|(event, number)| *event == number);
        if !in_order || answer.complete && events.len() as u64 != EVENTS_PER_ANSWER {
            report(Rule::EventOrder, format!("events {events:?}, complete: {}", answer.complete));
        }
    }
    let expected = format!("POST {} done", request.route.path());
    if answer.status == 200 && !request.route.is_stream() && answer.complete && answer.body != expected {
        report(Rule::WholeAnswers, format!("body {:?}", answer.body));
    }
    if [400, 403, 404, 413, 431].contains(&answer.status) {
        report(Rule::Denied, format!("status {}", answer.status));
    }
    if NOT_RUN_STATUSES.contains(&answer.status)
        && !request.route.is_repeatable()
        && !context.runs_of(&request.id).is_empty()
    {
        let count = context.runs_of(&request.id).len();
        context.report(
            Rule::TrueRefusals,
            request.ended_at,
            &request.id,
            format!("status {} and {count} runs", answer.status),
        );
    }
}

fn check_outcome(context: &mut CheckContext<'_>, request: &RequestRecord) {
    // Poison requests, which have no session, may be lost.
    if request.session.is_empty() || is_gateway_faulty(context, request) {
        return;
    }
    let elapsed = request.ended_at.saturating_duration_since(request.sent_at);
    let limit = Duration::from_millis(TIMEOUT_MS) + ANSWER_GRACE + SCHEDULING_SLACK;
    let status = request.status();
    if elapsed > limit {
        context.report(Rule::Held, request.ended_at, &request.id, format!("status {status:?} after {elapsed:?}"));
    }
    let is_lost = match &request.outcome {
        RequestOutcome::Answered(answer) => !answer.complete,
        RequestOutcome::Closed => !context.runs_of(&request.id).is_empty(),
        RequestOutcome::TimedOut | RequestOutcome::Aborted => false,
    };
    if is_lost && !is_upstream_faulty(context, request) {
        context.report(
            Rule::Lost,
            request.ended_at,
            &request.id,
            format!("status {status:?}, ended without a complete answer after {elapsed:?}"),
        );
    }
}

// Whether a fault of the gateway excuses a late or lost answer. Planned operations and loss of the store are no excuse,
// except for requests that are sent late in a planned stop and end with the process.
fn is_gateway_faulty(context: &CheckContext<'_>, request: &RequestRecord) -> bool {
    let is_late = |stop_started: Instant| request.sent_at > stop_started + STOP_TIME;
    context.any_fault(earlier(request.sent_at, SETTLING_TIME), request.ended_at, |fault| match fault.scope {
        FaultScope::Gateway(affected) if affected == request.gateway => !fault.planned || is_late(fault.from),
        FaultScope::Gateway(_) | FaultScope::GatewayControl(_) | FaultScope::Store | FaultScope::Upstream(_) => false,
        FaultScope::AllGateways => true,
    })
}

// Whether a fault of an upstream that ran the request excuses its loss.
fn is_upstream_faulty(context: &CheckContext<'_>, request: &RequestRecord) -> bool {
    let runs = context.runs_of(&request.id);
    context.any_fault(earlier(request.sent_at, SETTLING_TIME), request.ended_at, |fault| {
        runs.iter().any(|(upstream, _)| fault.scope == FaultScope::Upstream(*upstream))
    })
}
