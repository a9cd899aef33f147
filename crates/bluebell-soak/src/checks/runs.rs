//! What upstreams ran.

use std::time::{Duration, Instant};

use bluebell_standins::site::Run;
use indexmap::IndexMap;

use super::{CONTACT, Rule, View, earlier};
use crate::{
    callers::{DEADLINE, End, POISON_ROUTES, Seen, poison_body},
    fleet::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW},
    plan::{ROLLOUT_TIME, Server, Service},
    troubles::{DRAIN_TIME, Reach},
};

/// Ends after which a request is held back.
const POISON_ENDS: usize = 3;
/// Sends of such a request that may still come later than the time of contact.
const POISON_LATE: usize = 3;
/// Time that may be handed on beyond what is left.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Time after which nothing is sent for a caller that has left.
const GONE: Duration = Duration::from_millis(500);
/// Requests of callers that have left that may be sent later.
const GONE_ALLOWED: usize = 3;
/// Requests of sessions that may change their release too soon.
const MOVES_ALLOWED: usize = 3;
/// Time within which requests of a session follow each other.
const SESSION: Duration = Duration::from_secs(5);
/// Least requests on which the share of late deadlines is judged.
const DEADLINES_JUDGED: usize = 20;

pub(super) fn check(view: &mut View<'_>) {
    let mut late = 0;
    let mut timed = 0;
    for (at, run) in &view.evidence.runs {
        let id = run.request.header("request-id");
        if id == "warm-up" {
            continue;
        }
        let Some(seen) = view.by_id.get(id).copied() else {
            view.find(Rule::Unchanged, run.began, id, "no caller sent it, or its caller found no end".to_owned());
            continue;
        };
        check_run(view, *at, run, seen);
        if view.in_touch(seen.gateway, run.began) {
            timed += 1;
            late += usize::from(is_late(run, seen));
        }
    }
    if late > DEADLINES_JUDGED && 5 * late > timed {
        let at = view.evidence.calm.1;
        view.find(Rule::Deadlines, at, "-", format!("{late} of {timed} sends with more time than was left"));
    }
    check_once(view);
    check_gone(view);
    check_sessions(view);
    check_drains(view);
    check_poison(view);
    for service in [Service::Chat, Service::Ledger] {
        check_budget(view, service);
    }
}

fn check_run(view: &mut View<'_>, at: Server, run: &Run, seen: &Seen) {
    let mut find = |rule, text: String| view.find(rule, run.began, &seen.id, text);
    let request = &run.request;
    let is_same =
        request.method == "POST" && request.target == seen.route.path() && request.body == seen.body.as_bytes();
    if !is_same {
        find(Rule::Unchanged, format!("{} {} with {} bytes", request.method, request.target, request.body.len()));
    }
    if request.header("tenant") != "org-1" || !request.header("authorization").is_empty() {
        find(Rule::Unchanged, format!("organisation {:?}, or a key passed on", request.header("tenant")));
    }
    if at.service() != seen.route.service() {
        find(Rule::AllowedVersion, format!("run by {}", at.service().name()));
    }
}

fn is_late(run: &Run, seen: &Seen) -> bool {
    let left = DEADLINE.saturating_sub(run.began.saturating_duration_since(seen.sent));
    let handed = run.request.header("deadline-ms").parse().map(Duration::from_millis);
    handed.map_or(true, |handed| handed > left + DEADLINE_SLACK)
}

fn check_once(view: &mut View<'_>) {
    let twice: Vec<(&Seen, usize)> = view
        .evidence
        .seen
        .iter()
        .filter(|seen| !seen.route.is_repeatable())
        .map(|seen| (seen, view.runs_of(&seen.id).len()))
        .filter(|(_, count)| *count > 1)
        .collect();
    for (seen, count) in twice {
        view.find(Rule::AtMostOnce, seen.ended, &seen.id, format!("{count} runs"));
    }
}

fn check_gone(view: &mut View<'_>) {
    let mut late = Vec::new();
    for seen in view.evidence.seen.iter().filter(|seen| matches!(seen.end, End::Left)) {
        let bound = seen.ended + GONE;
        let is_late = |run: &Run| run.began > bound && view.in_touch(seen.gateway, run.began);
        late.extend(view.runs_of(&seen.id).iter().filter(|(_, run)| is_late(run)).map(|(_, run)| (run.began, seen)));
    }
    if late.len() > GONE_ALLOWED {
        let ids: Vec<&str> = late.iter().map(|(_, seen)| seen.id.as_str()).collect();
        view.find(Rule::Gone, late[0].0, ids[0], format!("{} sends after their callers had left: {ids:?}", ids.len()));
    }
}

// Sessions that are on the old release stay there for the first half of a roll-out.
fn check_sessions(view: &mut View<'_>) {
    let Some(order) = view.evidence.done.rollout else { return };
    let half = order.taken + ROLLOUT_TIME / 2;
    let fresh = Server::Chat(view.evidence.plan.chat);
    let mut last: IndexMap<&str, (Instant, bool, usize)> = IndexMap::new();
    let in_session = |seen: &&Seen| seen.route.is_stream() && !seen.session.is_empty();
    let mut streams: Vec<&Seen> = view.evidence.seen.iter().filter(in_session).collect();
    streams.sort_by_key(|seen| seen.sent);
    let mut moved = Vec::new();
    for seen in streams {
        let Some((at, run)) = view.runs_of(&seen.id).last() else { continue };
        let is_new = *at == fresh;
        let before = last.insert(&seen.session, (run.began, is_new, seen.gateway));
        let Some((since, false, former)) = before.filter(|(since, ..)| *since + SESSION > run.began) else { continue };
        let from = earlier(since, CONTACT);
        let is_calm = !view.overlaps(from, run.began, |mark| match mark.reach {
            Reach::Gateway(one) | Reach::Contact(one) => one == seen.gateway || one == former,
            Reach::AllGateways | Reach::Store => true,
            Reach::Upstream(_) => false,
        });
        let is_up = |at: usize| !view.overlaps(from, run.began, |mark| mark.reach == Reach::Upstream(Server::Chat(at)));
        let is_calm = is_calm && (0..view.evidence.plan.chat).any(is_up);
        if is_new && run.began < half && is_calm {
            moved.push((run.began, seen));
        }
    }
    if moved.len() > MOVES_ALLOWED {
        let ids: Vec<&str> = moved.iter().map(|(_, seen)| seen.id.as_str()).collect();
        view.find(
            Rule::Sessions,
            moved[0].0,
            ids[0],
            format!("{} requests left their session's release: {ids:?}", ids.len()),
        );
    }
}

fn check_drains(view: &mut View<'_>) {
    for drained in &view.evidence.done.drained {
        let bound = drained.taken + DRAIN_TIME;
        let late: Vec<&Run> = view
            .evidence
            .runs
            .iter()
            .map(|(_, run)| run)
            .filter(|run| run.upstream == drained.id && run.began > bound)
            .collect();
        for run in late {
            let id = run.request.header("request-id");
            let Some(seen) = view.by_id.get(id).copied() else { continue };
            let is_held_up =
                view.overlaps(earlier(run.began, CONTACT), run.began, |mark| mark.reach == Reach::Upstream(drained.at));
            // The core must have been calm when the word came, and the gateway since.
            if view.in_touch(seen.gateway, run.began) && view.in_touch(seen.gateway, bound) && !is_held_up {
                let after = run.began.saturating_duration_since(drained.taken);
                view.find(
                    Rule::Drains,
                    run.began,
                    id,
                    format!("at {} {after:?} after it said that it leaves", drained.id),
                );
            }
        }
    }
}

fn check_poison(view: &mut View<'_>) {
    for caller in 0..POISON_ROUTES.len() {
        let body = poison_body(caller);
        let mut sends: Vec<&Run> =
            view.evidence.runs.iter().map(|(_, run)| run).filter(|run| run.request.body == body.as_bytes()).collect();
        sends.sort_by_key(|run| run.began);
        let Some(third) = sends.get(POISON_ENDS - 1).map(|run| run.began) else { continue };
        let late = sends.iter().filter(|run| {
            let gateway = view.by_id.get(run.request.header("request-id")).map(|seen| seen.gateway);
            run.began > third + CONTACT && gateway.is_some_and(|at| view.in_touch(at, run.began))
        });
        let ids: Vec<&str> = late.map(|run| run.request.header("request-id")).collect();
        if ids.len() > POISON_LATE {
            let (count, last) = (ids.len(), ids[ids.len() - 1]);
            view.find(
                Rule::Poison,
                third,
                last,
                format!("{count} sends later than {CONTACT:?} after the third end: {ids:?}"),
            );
        }
    }
}

fn check_budget(view: &mut View<'_>, service: Service) {
    let mut requests: Vec<Instant> =
        view.evidence.seen.iter().filter(|seen| seen.route.service() == service).map(|seen| seen.sent).collect();
    requests.sort();
    let mut retries: Vec<(Instant, &str)> = Vec::new();
    for seen in view.evidence.seen.iter().filter(|seen| seen.route.service() == service) {
        retries.extend(view.runs_of(&seen.id).iter().skip(1).map(|(_, run)| (run.began, seen.id.as_str())));
    }
    retries.sort();
    let count = |from: Instant, to: Instant| requests.iter().filter(|at| **at >= from && **at < to).count();
    for (number, (end, id)) in retries.iter().enumerate() {
        let begin = earlier(*end, RETRY_WINDOW);
        let repeats = retries[..=number].iter().filter(|(at, _)| *at >= begin).count();
        let windows = [0.0, 0.5, 1.0].map(|back| {
            let shift = RETRY_WINDOW.mul_f64(back);
            count(earlier(begin, shift), earlier(*end, shift))
        });
        let base = windows.into_iter().max().unwrap_or_default();
        let allowed = RETRY_RATIO * base as f64 + RETRY_SLACK;
        if repeats as f64 > allowed {
            let text = format!("{repeats} repeats at {} in {RETRY_WINDOW:?}, {allowed:.0} allowed", service.name());
            view.find(Rule::RetryBudget, *end, id, text);
            return;
        }
    }
}
