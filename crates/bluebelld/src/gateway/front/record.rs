//! What an attempt tells of its release, and its line in the log.

use bluebell_core::{
    ids::{ModelId, SessionId},
    placing::HealthEvent,
};

use super::tries::Tries;
use crate::gateway::{
    attempt::Live,
    job::Job,
    state::Gateway,
    traffic::{Counted, Took},
};

/// Counts how long the head of an answer took, for its release: a slow release shows by it long before its answers
/// are whole, and by answers that are dropped for a larger model's.
pub fn record_head(gateway: &Gateway, job: &Job, live: &Live) {
    let kind = format!("{}/head", job.kind(live.model.as_ref()));
    let pace = Took::Pace(live.pace(gateway.now(), 0));
    let release = &live.upstream.release;
    gateway.count(&Counted { service: &job.service, release, kind: &kind, failed: false, pace });
}

/// Counts an answer for its release, and logs it.
pub fn record(gateway: &Gateway, job: &Job, live: &Live, pace: Took, tries: &Tries) {
    let failed = live.status.is_server_error();
    let model = live.model.as_ref().map_or("", ModelId::as_str);
    let kind = job.kind(live.model.as_ref());
    let now = gateway.now();
    let pace = if failed { Took::Unknown } else { pace };
    let counted = Counted { service: &job.service, release: &live.upstream.release, kind: &kind, failed, pace };
    gateway.count(&counted);
    let mut traffic = gateway.traffic();
    if let Some(session) = &job.asked.session {
        traffic.sessions.set(now, session, &live.upstream.release);
    }
    if !failed {
        traffic.note(now, &live.upstream.id, HealthEvent::Good);
    }
    drop(traffic);
    log::info!(
        request = job.asked.request.as_str(),
        fingerprint = job.fingerprint.to_string().as_str(),
        route = job.route.id.as_str(),
        session = job.asked.session.as_ref().map_or("", SessionId::as_str),
        upstream = live.upstream.id.as_str(),
        release = live.upstream.release.as_str(),
        model = model,
        confidence = live.proof.confidence.map_or(-1, i16::from),
        sends = tries.sends() + 1,
        took_ms = (now - job.arrived).as_millis() as u64,
        status = live.status.as_u16();
        "answered"
    );
}
