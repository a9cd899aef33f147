//! What callers got.

use std::time::{Duration, Instant};

use bluebell_standins::{caller::Answer, site::TIMEOUT_MS};

use super::{CONTACT, Rule, View, earlier};
use crate::{
    callers::{End, Seen},
    fleet::EVENTS,
    troubles::Reach,
};

/// Statuses that promise that a request did not run.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// Time after a route's own within which a request has its final answer.
const HELD: Duration = Duration::from_millis(500);
/// Time after the order to stop up to which what is sent is finished, or refused.
const STOP_TIME: Duration = Duration::from_secs(3);
/// Time in which a machine that is busy with a whole soak may let a process wait.
const SLACK: Duration = Duration::from_millis(500);

pub(super) fn check(view: &mut View<'_>) {
    for seen in &view.evidence.seen {
        if let End::Answered(answer) = &seen.end {
            check_answer(view, seen, answer);
        }
        check_end(view, seen);
    }
}

fn check_answer(view: &mut View<'_>, seen: &Seen, answer: &Answer) {
    let mut find = |rule, text: String| view.find(rule, seen.ended, &seen.id, text);
    let is_signed = !answer.header("response-stamp").is_empty();
    if !answer.header("request-id").is_empty() && answer.header("request-id") != seen.id {
        find(Rule::WholeAnswers, format!("the answer is that of {}", answer.header("request-id")));
    }
    if answer.status == 200 && !is_signed {
        find(Rule::WholeAnswers, "success without an upstream's signature".to_owned());
    }
    if is_signed && ![200, 500].contains(&answer.status) {
        find(Rule::WholeAnswers, format!("an upstream's signature on status {}", answer.status));
    }
    if answer.status == 200 && seen.route.is_stream() {
        let events = answer.events();
        let in_order = events.iter().zip(1..).all(|(event, number)| *event == number);
        if !in_order || answer.complete && events.len() as u64 != EVENTS {
            find(Rule::EventOrder, format!("events {events:?}, whole: {}", answer.complete));
        }
    }
    let expected = format!("POST {} done", seen.route.path());
    if answer.status == 200 && !seen.route.is_stream() && answer.complete && answer.body != expected {
        find(Rule::WholeAnswers, format!("body {:?}", answer.body));
    }
    if [400, 403, 404, 413, 431].contains(&answer.status) {
        find(Rule::Denied, format!("status {}", answer.status));
    }
    if REFUSALS.contains(&answer.status) && !seen.route.is_repeatable() && !view.runs_of(&seen.id).is_empty() {
        let count = view.runs_of(&seen.id).len();
        view.find(Rule::TrueRefusals, seen.ended, &seen.id, format!("status {} and {count} runs", answer.status));
    }
}

fn check_end(view: &mut View<'_>, seen: &Seen) {
    // A request that ends upstreams is not missed.
    if seen.session.is_empty() || is_gateway_troubled(view, seen) {
        return;
    }
    let time = seen.ended.saturating_duration_since(seen.sent);
    let limit = Duration::from_millis(TIMEOUT_MS) + HELD + SLACK;
    let status = seen.status();
    if time > limit {
        view.find(Rule::Held, seen.ended, &seen.id, format!("status {status:?} after {time:?}"));
    }
    let is_lost = match &seen.end {
        End::Answered(answer) => !answer.complete,
        End::Closed => !view.runs_of(&seen.id).is_empty(),
        End::Nothing | End::Left => false,
    };
    if is_lost && !is_upstream_troubled(view, seen) {
        view.find(Rule::Lost, seen.ended, &seen.id, format!("status {status:?}, broken off after {time:?}"));
    }
}

// Planned work and the loss of the store excuse nothing, but for what is sent late in a stop and ends with the process.
fn is_gateway_troubled(view: &View<'_>, seen: &Seen) -> bool {
    let late = |begun: Instant| seen.sent > begun + STOP_TIME;
    view.overlaps(earlier(seen.sent, CONTACT), seen.ended, |mark| match mark.reach {
        Reach::Gateway(at) if at == seen.gateway => !mark.planned || late(mark.from),
        Reach::Gateway(_) | Reach::Contact(_) | Reach::Store | Reach::Upstream(_) => false,
        Reach::AllGateways => true,
    })
}

fn is_upstream_troubled(view: &View<'_>, seen: &Seen) -> bool {
    let runs = view.runs_of(&seen.id);
    view.overlaps(earlier(seen.sent, CONTACT), seen.ended, |mark| {
        runs.iter().any(|(ran, _)| mark.reach == Reach::Upstream(*ran))
    })
}
