//! What gateways held for true: declarations, releases, and that all is well again.

use std::time::{Duration, Instant};

use super::{CONTACT, Rule, View};
use crate::{
    callers::Seen,
    fleet::{EXPOSURE, EXPOSURE_SLACK},
    plan::{ROLLOUT_TIME, Server, Service},
    troubles::{KeyChange, Reach},
};

/// Time in which declarations are in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after the first sign of a declaration in which a gateway may still act on the one before.
const ROLLBACK: Duration = Duration::from_millis(250);
/// Time after its rejection in which a bad release may still get requests.
const REVERTED: Duration = Duration::from_secs(5);
/// Bad answers after which a release is to be known as bad.
const KNOWN_BAD: usize = 50;
/// Share of the requests that are served in calm times, at least.
const CALM_SHARE: f64 = 0.95;

pub(super) fn check(view: &mut View<'_>) {
    let changes = view.evidence.done.keys.clone();
    for change in &changes {
        check_key(view, change);
    }
    check_rollout(view);
    check_calm(view);
    let ends = view.evidence.done.ends.clone();
    for (at, text) in ends {
        view.find(Rule::Stops, at, "-", text);
    }
}

fn check_key(view: &mut View<'_>, change: &KeyChange) {
    let due = change.taken + IN_FORCE;
    let mut refused: Vec<(usize, Instant)> = Vec::new();
    let mut seen: Vec<&Seen> = view.evidence.seen.iter().collect();
    seen.sort_by_key(|one| one.sent);
    for one in seen {
        // A gateway that reached the store neither then nor since can't know.
        let knows = one.sent > due && view.in_touch(one.gateway, one.sent) && view.in_touch(one.gateway, due);
        let ran = !view.runs_of(&one.id).is_empty();
        if one.key == change.removed {
            let back = refused.iter().any(|(at, when)| *at == one.gateway && one.sent > *when + ROLLBACK);
            if ran && knows {
                view.find(Rule::Configuration, one.sent, &one.id, format!("run with {}, which was removed", one.key));
            } else if ran && back && !has_restarted(view, one.gateway, change.taken, one.ended) {
                view.find(Rule::Configuration, one.sent, &one.id, format!("run with {} after it was refused", one.key));
            }
            if one.status() == Some(401) && one.sent > change.taken {
                refused.push((one.gateway, one.ended));
            }
        }
        if one.key == change.added && one.status() == Some(401) && knows && !is_removed(view, &one.key, one.ended) {
            view.find(Rule::Configuration, one.sent, &one.id, format!("{} is refused, which was added", one.key));
        }
    }
}

fn is_removed(view: &View<'_>, key: &str, by: Instant) -> bool {
    view.evidence.done.keys.iter().any(|change| change.removed == key && change.taken <= by)
}

// Any fault of a gateway may hide a start.
fn has_restarted(view: &View<'_>, gateway: usize, from: Instant, to: Instant) -> bool {
    view.overlaps(from, to, |mark| mark.reach == Reach::Gateway(gateway))
}

fn check_rollout(view: &mut View<'_>) {
    let fresh = Server::Chat(view.evidence.plan.chat);
    let mut runs: Vec<_> = view.evidence.runs.iter().filter(|(at, _)| *at == fresh).map(|(_, run)| run).collect();
    runs.sort_by_key(|run| run.began);
    let Some(order) = view.evidence.done.rollout else { return };
    if !order.bad {
        return;
    }
    let deadline = order.taken + ROLLOUT_TIME;
    let is_touched =
        |view: &View<'_>, id: &str, at: Instant| view.by_id.get(id).is_some_and(|seen| view.in_touch(seen.gateway, at));
    let exposed = runs.iter().filter(|run| run.began < deadline);
    let exposed = exposed.filter(|run| is_touched(view, run.request.header("request-id"), run.began)).count();
    let chat = view.evidence.seen.iter().filter(|one| one.route.service() == Service::Chat);
    let all = chat.filter(|one| one.sent >= order.taken && one.sent < deadline).count();
    let allowed = EXPOSURE * all as f64 + EXPOSURE_SLACK;
    if exposed as f64 > allowed {
        let text = format!("a bad release got {exposed} of {all} requests, {allowed:.0} allowed");
        view.find(Rule::Exposure, deadline, "-", text);
    }
    let Some(known) = runs.get(KNOWN_BAD - 1).map(|run| run.began + REVERTED + CONTACT) else { return };
    let late: Vec<_> = runs.iter().filter(|run| run.began > known).collect();
    let late = late.into_iter().find(|run| is_touched(view, run.request.header("request-id"), run.began));
    if let Some(run) = late {
        let id = run.request.header("request-id");
        view.find(Rule::Exposure, run.began, id, format!("a bad release gets requests after {KNOWN_BAD} bad answers"));
    }
}

fn check_calm(view: &mut View<'_>) {
    let (from, to) = view.evidence.calm;
    let is_counted = |one: &&Seen| one.sent >= from && one.sent < to && !is_removed(view, &one.key, one.sent);
    let sent: Vec<&Seen> = view.evidence.seen.iter().filter(is_counted).collect();
    let lacking: Vec<&&Seen> = sent.iter().filter(|one| !one.is_served()).collect();
    let share = 1.0 - lacking.len() as f64 / sent.len().max(1) as f64;
    if sent.is_empty() || share < CALM_SHARE {
        let ids: Vec<String> = lacking.iter().take(8).map(|one| format!("{} {:?}", one.id, one.status())).collect();
        let id = lacking.first().map_or("-", |one| one.id.as_str());
        let text = format!("{:.0}% of {} requests served after the faults; not: {ids:?}", 100.0 * share, sent.len());
        view.find(Rule::Recovery, from, id, text);
    }
}
