//! Choosing an upstream for an attempt, and paying for a further one.

use std::sync::Arc;

use bluebell_core::{
    ids::{ModelId, ReleaseId, SessionId, UpstreamId},
    upstreams::Upstream,
};

use crate::gateway::{job::Job, state::Gateway, traffic::Demand};

/// An upstream for a request, other than those tried already if there is one. A stream that goes on elsewhere stays
/// on its release.
pub fn choose(
    gateway: &Gateway,
    job: &Job,
    model: Option<&ModelId>,
    tried: &[UpstreamId],
    stays: Option<&ReleaseId>,
) -> Option<Arc<Upstream>> {
    let now = gateway.now();
    let beliefs = gateway.beliefs.load();
    let all = beliefs.upstreams(&job.service);
    let mut traffic = gateway.traffic();
    let life = gateway.settings.session_seconds;
    let session = job.asked.session.as_ref();
    let pinned = session.and_then(|session| traffic.sessions.get(now, session, life));
    let key = session.map_or(job.asked.request.as_str(), SessionId::as_str);
    let split = beliefs.split(&job.service);
    let same = |one: &&Arc<Upstream>| stays == Some(&one.release);
    let admitted = |one: &&Arc<Upstream>| split.admits(key, pinned, &one.release);
    let mut pool: Vec<&Arc<Upstream>> = all.iter().filter(same).collect();
    if pool.is_empty() {
        pool = all.iter().filter(admitted).collect();
    }
    let fresh: Vec<&Arc<Upstream>> = pool.iter().copied().filter(|one| !tried.contains(&one.id)).collect();
    if !fresh.is_empty() {
        pool = fresh;
    }
    let among: Vec<&Upstream> = pool.iter().map(|one| one.as_ref()).collect();
    let model = model.or(job.asked.model.as_ref());
    let weight = job.weight(model);
    let demand = Demand { model, parts: &job.asked.parts, prompt: job.asked.prompt, weight };
    let zone = gateway.settings.instance.zone.as_str();
    let chosen = traffic.choose(now, zone, &demand, &among)?.id.clone();
    let chosen = pool.into_iter().find(|one| one.id == chosen).cloned()?;
    session.into_iter().for_each(|session| traffic.sessions.set(now, session, &chosen.release));
    Some(chosen)
}

/// Whether the shared budget has a retry left; takes it.
pub fn take_retry(gateway: &Gateway, job: &Job) -> bool {
    let entries = gateway.beliefs.load().entries;
    let allowed = gateway.traffic().window(&job.service).retry(gateway.now(), &gateway.limit, entries);
    if allowed {
        gateway.metrics.retry();
    }
    allowed
}
