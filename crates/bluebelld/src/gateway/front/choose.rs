//! Selection of an upstream for an attempt, within the limits on attempts and the retry budget.

use std::{collections::HashSet, sync::Arc, time::Duration};

use bluebell_core::{
    ids::{ModelId, ReleaseId, SessionId, UpstreamId},
    placing::Admission,
    upstreams::Upstream,
};

use super::attempts::{AttemptHistory, BlockedCause};
use crate::gateway::{
    job::Job,
    routing_state::RoutingState,
    state::Gateway,
    traffic::{SelectionCriteria, Traffic, WaitCause},
};

/// Options of the next attempt at a request.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions<'a> {
    /// Model chosen by the gateway; none if the caller named one or the route lists no models.
    pub model: Option<&'a ModelId>,
    /// Release of the stream that is being resumed. Upstreams of other releases are used only if there are none of it.
    pub pinned_release: Option<&'a ReleaseId>,
    /// Whether no retry is taken from the budget, because this is the first attempt or an escalation has already taken
    /// one.
    pub skip_budget: bool,
    /// Upstream that must not be chosen, because an attempt there is still in progress.
    pub excluded: Option<&'a UpstreamId>,
}

// Upstreams to which a request may go, preferring those that were not tried yet. A resumed stream stays on its release if
// possible. Upstreams that announced their departure are used only if there are no others.
fn pool(
    gateway: &Gateway,
    routing: &RoutingState,
    traffic: &Traffic,
    job: &Job,
    tried: &[UpstreamId],
    options: &SendOptions<'_>,
) -> Vec<Arc<Upstream>> {
    let now = gateway.now();
    let all = routing.upstreams(&job.service);
    let is_eligible = eligibility(gateway, routing, traffic, job);
    for admission in [Admission::Open, Admission::LastResort] {
        let admitted: Vec<&Arc<Upstream>> = all
            .iter()
            .filter(|upstream| options.excluded != Some(&upstream.id) && traffic.admission(now, upstream) == admission)
            .collect();
        let is_pinned = |upstream: &&Arc<Upstream>| options.pinned_release == Some(&upstream.release);
        let mut pool: Vec<Arc<Upstream>> = admitted.iter().copied().filter(is_pinned).cloned().collect();
        if pool.is_empty() {
            pool = admitted.into_iter().filter(|upstream| is_eligible(upstream)).cloned().collect();
        }
        let untried: Vec<Arc<Upstream>> =
            pool.iter().filter(|upstream| !tried.contains(&upstream.id)).cloned().collect();
        if !untried.is_empty() {
            return untried;
        }
        if !pool.is_empty() {
            return pool;
        }
    }
    Vec::new()
}

// Chooses an upstream for a request.
fn choose(gateway: &Gateway, job: &Job, tried: &[UpstreamId], options: &SendOptions<'_>) -> Option<Arc<Upstream>> {
    let now = gateway.now();
    let routing = gateway.routing.load();
    // The pool's lock is never held together with that of the traffic.
    let reports_speed = gateway.traffic().reports_speed(&job.service);
    let connected = if reports_speed { gateway.pools.idle_addresses(now) } else { HashSet::new() };
    let mut traffic = gateway.traffic();
    let session = job.caller.session.as_ref();
    let pool = pool(gateway, &routing, &traffic, job, tried, options);
    if !traffic.admits_rank(now, &job.service, job.rank, &pool) {
        return None;
    }
    let candidates: Vec<&Upstream> = pool.iter().map(|upstream| upstream.as_ref()).collect();
    let model = options.model.or(job.caller.model.as_ref());
    let weight = job.token_weight(model);
    let suspects = routing.suspects.as_ref();
    let separate_from = suspects.get(&job.fingerprint).map(|_| suspects);
    let criteria = SelectionCriteria {
        model,
        parts: &job.caller.parts,
        prompt: job.caller.prompt,
        weight,
        connected: &connected,
        separate_from,
        passed_over: &job.passed_over,
    };
    let zone = gateway.settings.instance.zone.as_str();
    let chosen = traffic.choose(now, zone, &criteria, &candidates)?.id.clone();
    let chosen = pool.into_iter().find(|upstream| upstream.id == chosen)?;
    traffic.record_rank(now, &job.service, job.rank);
    session.into_iter().for_each(|session| traffic.sessions.set(now, session, &chosen.release));
    Some(chosen)
}

// Whether the traffic split, or a session pinned to a release, allows a request to go to an upstream.
fn eligibility(gateway: &Gateway, routing: &RoutingState, traffic: &Traffic, job: &Job) -> impl Fn(&Upstream) -> bool {
    let session = job.caller.session.as_ref();
    let pin_lifetime = gateway.settings.session_seconds;
    let pinned = session.and_then(|session| traffic.sessions.get(gateway.now(), session, pin_lifetime)).cloned();
    let key = session.map_or(job.caller.request.as_str(), SessionId::as_str).to_owned();
    let split = routing.split(&job.service).clone();
    move |upstream| split.admits(&key, pinned.as_ref(), &upstream.release)
}

fn eligible_upstreams(gateway: &Gateway, routing: &RoutingState, traffic: &Traffic, job: &Job) -> Vec<Arc<Upstream>> {
    let is_eligible = eligibility(gateway, routing, traffic, job);
    routing.upstreams(&job.service).iter().filter(|upstream| is_eligible(upstream)).cloned().collect()
}

// Records why no upstream takes a request.
fn record_unavailable(gateway: &Gateway, job: &Job, history: &mut AttemptHistory, options: &SendOptions<'_>) {
    let routing = gateway.routing.load();
    let now = gateway.now();
    let mut traffic = gateway.traffic();
    let mut pool = eligible_upstreams(gateway, &routing, &traffic, job);
    pool.retain(|upstream| options.excluded != Some(&upstream.id));
    history.wait = traffic.first_wait(now, &pool);
    let is_left_to_others = !traffic.admits_rank(now, &job.service, job.rank, &pool);
    let limited = history.wait.as_ref().filter(|wait| wait.cause != WaitCause::Pause);
    if limited.is_some() {
        traffic.record_limited(now, &job.service, job.rank);
    }
    let first = limited.map(|wait| wait.left).or(is_left_to_others.then_some(Duration::ZERO));
    history.return_in = first.map(|first| traffic.schedule_return(now, &job.service, first, &pool));
    let reason = match (&history.wait, pool.is_empty()) {
        _ if is_left_to_others => "the room under their rate limits is left to more urgent requests",
        (Some(wait), _) if wait.cause == WaitCause::RateLimit => "all are at their rate limits or asked for a pause",
        (Some(wait), _) if wait.cause == WaitCause::Cold => "all are cold and at their limits, or asked for a pause",
        (Some(_), _) => "all asked for a pause",
        (None, false) if traffic.has_limited(now, &pool) => "their rate limits are left to other gateways",
        (None, false) => "all are leaving",
        (None, true) if routing.left_out.contains_key(&job.service) => "all that might are in evacuated zones",
        (None, true) => "none is known",
    };
    history.reason = reason.to_owned();
}

/// Chooses the upstream for the next attempt at a request, and takes a retry from the budget if needed. None if the
/// request must not be sent; the reason is recorded in the history, unless it is the limit on attempts, the deadline or
/// the retry budget.
pub fn next_upstream(
    gateway: &Gateway,
    job: &Job,
    history: &mut AttemptHistory,
    options: &SendOptions<'_>,
) -> Option<Arc<Upstream>> {
    (history.wait, history.return_in) = (None, None);
    if !history.may_send(job) || job.time_left(gateway).is_zero() {
        return None;
    }
    let suspicion = gateway.routing.load().suspects.worst(job.causes());
    if let Some((fingerprint, found)) = suspicion.filter(|(_, found)| found.is_poison) {
        gateway.traffic().in_flight.record_blocked(fingerprint);
        gateway.metrics.record_blocked();
        history.block(BlockedCause { fingerprint, crashes: found.crashes });
        return None;
    }
    if !options.skip_budget && !job.may_be_retried(gateway) {
        return None;
    }
    let Some(upstream) = choose(gateway, job, &history.upstreams, options) else {
        record_unavailable(gateway, job, history, options);
        return None;
    };
    if !options.skip_budget && !take_retry(gateway, job) {
        return None;
    }
    if let Some((cause, found)) = suspicion {
        log::info!(
            request = job.caller.request.as_str(), fingerprint = job.fingerprint.to_string().as_str(),
            cause = cause.to_string().as_str(), upstream = upstream.id.as_str(), crashes = found.crashes;
            "request under which upstreams ended is sent"
        );
    }
    history.upstreams.push(upstream.id.clone());
    Some(upstream)
}

/// Average time that prompts wait to be processed at the upstreams that a request may go to.
pub fn prefill_backlog(gateway: &Gateway, job: &Job) -> Duration {
    let routing = gateway.routing.load();
    let mut traffic = gateway.traffic();
    let pool = eligible_upstreams(gateway, &routing, &traffic, job);
    traffic.mean_prefill_time(gateway.now(), &pool)
}

/// Whether another attempt may follow if the one in progress is given up.
pub fn may_give_up(gateway: &Gateway, job: &Job, history: &AttemptHistory) -> bool {
    history.may_send_after_loss(job) && job.may_be_retried(gateway)
}

// Takes a retry from the budget shared by all gateways. Returns whether there was one.
fn take_retry(gateway: &Gateway, job: &Job) -> bool {
    let gateways = gateway.routing.load().gateways;
    let allowed = gateway.traffic().retry_window(&job.service).retry(gateway.now(), &gateway.retry_limit, gateways);
    if allowed {
        gateway.metrics.record_retry();
    }
    allowed
}
