//! Choosing an upstream for an attempt, and paying for a further one.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{ModelId, ReleaseId, SessionId, UpstreamId},
    upstreams::Upstream,
};

use super::tries::Tries;
use crate::gateway::{
    beliefs::Beliefs,
    job::Job,
    state::Gateway,
    traffic::{Demand, Traffic},
};

/// What the next send of a request is to be.
#[derive(Debug, Clone, Copy)]
pub struct NextSend<'a> {
    /// Model to answer, where the choice is open.
    pub model: Option<&'a ModelId>,
    /// Release that it stays on.
    pub stays: Option<&'a ReleaseId>,
    /// Whether it is the first, or its retry is taken from the budget already.
    pub is_paid: bool,
}

// An upstream for a request, other than those tried already if there is one. A stream that goes on elsewhere stays
// on its release.
fn choose(
    gateway: &Gateway,
    job: &Job,
    model: Option<&ModelId>,
    tried: &[UpstreamId],
    stays: Option<&ReleaseId>,
) -> Option<Arc<Upstream>> {
    let now = gateway.now();
    let beliefs = gateway.beliefs.load();
    let mut traffic = gateway.traffic();
    let session = job.asked.session.as_ref();
    let same = |one: &&Arc<Upstream>| stays == Some(&one.release);
    let mut pool: Vec<Arc<Upstream>> = beliefs.upstreams(&job.service).iter().filter(same).cloned().collect();
    if pool.is_empty() {
        pool = admitted(gateway, &beliefs, &traffic, job);
    }
    let fresh: Vec<Arc<Upstream>> = pool.iter().filter(|one| !tried.contains(&one.id)).cloned().collect();
    if !fresh.is_empty() {
        pool = fresh;
    }
    let among: Vec<&Upstream> = pool.iter().map(|one| one.as_ref()).collect();
    let model = model.or(job.asked.model.as_ref());
    let weight = job.weight(model);
    let suspects = beliefs.suspects.as_ref();
    let apart = suspects.get(&job.fingerprint).map(|_| suspects);
    let demand = Demand { model, parts: &job.asked.parts, prompt: job.asked.prompt, weight, apart };
    let zone = gateway.settings.instance.zone.as_str();
    let chosen = traffic.choose(now, zone, &demand, &among)?.id.clone();
    let chosen = pool.into_iter().find(|one| one.id == chosen)?;
    session.into_iter().for_each(|session| traffic.sessions.set(now, session, &chosen.release));
    Some(chosen)
}

// Upstreams of the release that the request may go to.
fn admitted(gateway: &Gateway, beliefs: &Beliefs, traffic: &Traffic, job: &Job) -> Vec<Arc<Upstream>> {
    let session = job.asked.session.as_ref();
    let life = gateway.settings.session_seconds;
    let pinned = session.and_then(|session| traffic.sessions.get(gateway.now(), session, life));
    let key = session.map_or(job.asked.request.as_str(), SessionId::as_str);
    let split = beliefs.split(&job.service);
    let admits = |one: &&Arc<Upstream>| split.admits(key, pinned, &one.release);
    beliefs.upstreams(&job.service).iter().filter(admits).cloned().collect()
}

/// The upstream for the next send of a request; none where it is not to be sent, for the reason noted.
pub fn next(gateway: &Gateway, job: &Job, tries: &mut Tries, ask: &NextSend<'_>) -> Option<Arc<Upstream>> {
    if !tries.may_send(job) || job.left(gateway).is_zero() {
        return None;
    }
    let suspicion = gateway.beliefs.load().suspects.get(&job.fingerprint);
    if let Some(crashes) = suspicion.filter(|one| one.is_poison).map(|one| one.crashes) {
        gateway.traffic().flights.record_blocked(job.fingerprint);
        gateway.metrics.held();
        tries.hold(crashes);
        return None;
    }
    if !ask.is_paid && !take_retry(gateway, job) {
        return None;
    }
    let Some(upstream) = choose(gateway, job, ask.model, &tries.upstreams, ask.stays) else {
        tries.reason = "none is known".to_owned();
        return None;
    };
    if let Some(suspicion) = suspicion {
        log::info!(
            request = job.asked.request.as_str(), fingerprint = job.fingerprint.to_string().as_str(),
            upstream = upstream.id.as_str(), crashes = suspicion.crashes;
            "request under which upstreams ended is sent"
        );
    }
    tries.upstreams.push(upstream.id.clone());
    Some(upstream)
}

/// Time that prompts wait to be read, on average, at the upstreams that a request may go to.
pub fn backlog(gateway: &Gateway, job: &Job) -> Duration {
    let beliefs = gateway.beliefs.load();
    let mut traffic = gateway.traffic();
    let pool = admitted(gateway, &beliefs, &traffic, job);
    traffic.backlog(gateway.now(), &pool)
}

// Whether the shared budget has a retry left; takes it.
fn take_retry(gateway: &Gateway, job: &Job) -> bool {
    let entries = gateway.beliefs.load().entries;
    let allowed = gateway.traffic().window(&job.service).retry(gateway.now(), &gateway.limit, entries);
    if allowed {
        gateway.metrics.retry();
    }
    allowed
}
