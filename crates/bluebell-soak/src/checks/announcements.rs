//! Rules about what upstreams say of themselves in their answers. Requests of gateways that a fault has affected since
//! shortly before, or that a fault on the way to the upstream may have held up, are not counted.

use std::time::{Duration, Instant};

use super::{CheckContext, Rule, SETTLING_TIME, earlier};
use crate::{
    faults::{Announcement, AnnouncementKind, DRAIN_TIME, FaultScope},
    plan::UpstreamIndex,
};

/// Sliding window in which the requests to an upstream with a rate limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor by which they may exceed the limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Number of requests by which they may exceed it in addition.
const LIMIT_SLACK: f64 = 5.0;
/// Time after an answer that asks for a pause in which requests may still arrive.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may arrive later in the pause.
const PAUSE_ALLOWED: usize = 2;

/// A request that reached an upstream.
#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    request: String,
    gateway: usize,
}

pub(super) fn check(context: &mut CheckContext<'_>) {
    let announcements = context.evidence.injected.announcements.clone();
    for announcement in &announcements {
        let arrivals = counted_arrivals(context, announcement);
        match announcement.kind {
            AnnouncementKind::Limit(limit) => check_limit(context, announcement, limit, &arrivals),
            AnnouncementKind::Leaving => check_leaving(context, announcement, &arrivals),
            AnnouncementKind::Pause(pause) => check_pause(context, announcement, pause, &arrivals),
        }
    }
}

fn counted_arrivals(context: &CheckContext<'_>, announcement: &Announcement) -> Vec<Arrival> {
    let Announcement { upstream, from, to, .. } = announcement;
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (index, at, request) in &context.evidence.arrivals {
        if index != upstream || at < from || at > to {
            continue;
        }
        let Some(gateway) = context.requests.get(request.as_str()).map(|request| request.gateway) else { continue };
        // A gateway that has just started doesn't know the announcement yet.
        let is_calm = !context.any_fault(earlier(*at, SETTLING_TIME), *at, |fault| match fault.scope {
            FaultScope::Gateway(affected) | FaultScope::GatewayControl(affected) => affected == gateway,
            FaultScope::AllGateways => true,
            FaultScope::Upstream(affected) => affected == *upstream,
            FaultScope::Store => false,
        });
        if is_calm {
            arrivals.push(Arrival { at: *at, request: request.clone(), gateway });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

// When the first answer since then was complete, by a run that began after it.
fn first_answer(context: &CheckContext<'_>, upstream: UpstreamIndex, from: Instant) -> Option<Instant> {
    let runs = context.evidence.runs.iter().filter(|(index, run)| *index == upstream && run.began >= from);
    runs.filter_map(|(_, run)| run.ended).min()
}

fn check_limit(context: &mut CheckContext<'_>, announcement: &Announcement, limit: f64, arrivals: &[Arrival]) {
    let Some(named) = first_answer(context, announcement.upstream, announcement.from) else { return };
    let allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    for first in arrivals.iter().filter(|arrival| arrival.at >= named + SETTLING_TIME) {
        let in_window = |arrival: &&Arrival| arrival.at >= first.at && arrival.at < first.at + LIMIT_WINDOW;
        let count = arrivals.iter().filter(in_window).count();
        if count as f64 > allowed {
            let text = format!(
                "{:?} got {count} requests in {LIMIT_WINDOW:?} at a limit of {limit:.1} a second; {allowed:.0} are allowed",
                announcement.upstream
            );
            context.report(Rule::Announcements, first.at, &first.request, text);
            return;
        }
    }
}

fn check_leaving(context: &mut CheckContext<'_>, announcement: &Announcement, arrivals: &[Arrival]) {
    for first in first_by_gateway(arrivals) {
        let Some(run) = context.runs_of(&first.request).iter().find(|(index, _)| *index == announcement.upstream)
        else {
            continue;
        };
        let Some(told) = run.1.ended else { continue };
        let late = |arrival: &&Arrival| arrival.gateway == first.gateway && arrival.at > told + DRAIN_TIME;
        if let Some(late) = arrivals.iter().find(late) {
            let text =
                format!("it reached {:?}, which was leaving, through a gateway that knew", announcement.upstream);
            context.report(Rule::Announcements, late.at, &late.request, text);
        }
    }
}

fn check_pause(context: &mut CheckContext<'_>, announcement: &Announcement, pause: Duration, arrivals: &[Arrival]) {
    for first in arrivals {
        let in_pause = |arrival: &&Arrival| {
            arrival.gateway == first.gateway && arrival.at > first.at + PAUSE_GRACE && arrival.at < first.at + pause
        };
        let count = arrivals.iter().filter(in_pause).count();
        if count > PAUSE_ALLOWED {
            let text =
                format!("{:?} got {count} requests of a gateway in its pause of {pause:?}", announcement.upstream);
            context.report(Rule::Announcements, first.at, &first.request, text);
            return;
        }
    }
}

fn first_by_gateway(arrivals: &[Arrival]) -> Vec<Arrival> {
    let mut first: Vec<Arrival> = Vec::new();
    for arrival in arrivals {
        if first.iter().all(|known| known.gateway != arrival.gateway) {
            first.push(arrival.clone());
        }
    }
    first
}
