//! Records answers in the statistics of their release, and logs them.

use std::sync::atomic::Ordering;

use bluebell_core::{
    ids::{ModelId, SessionId},
    placing::HealthEvent,
};

use bluebell_platform::headers::LimitStatement;

use crate::gateway::{
    attempt::UpstreamResponse,
    job::Job,
    state::Gateway,
    traffic::{AnswerPace, CountedAnswer},
};

/// Records the time to the head of an answer for its release. It reveals a slow release long before its answers are
/// complete, and also covers answers that are discarded in favour of a larger model's.
pub fn record_head(gateway: &Gateway, job: &Job, response: &UpstreamResponse) {
    let kind = format!("{}/head", job.work_kind(response.model.as_ref()));
    let pace = AnswerPace::Ratio(response.pace(gateway.now(), 0));
    let release = &response.upstream.release;
    gateway.count_answer(&CountedAnswer { service: &job.service, release, kind: &kind, failed: false, pace });
}

/// Records an answer for its release, its session and its upstream's health, and logs it.
pub fn record_answer(gateway: &Gateway, job: &Job, response: &UpstreamResponse, pace: AnswerPace, sends: u32) {
    let failed = response.status.is_server_error();
    let model = response.model.as_ref().map_or("", ModelId::as_str);
    let kind = job.work_kind(response.model.as_ref());
    let limit = match response.decoded.limit {
        LimitStatement::None => String::new(),
        LimitStatement::Unreadable => "unreadable".to_owned(),
        LimitStatement::Limit(rate) => rate.to_string(),
    };
    let now = gateway.now();
    let speed = response.guard.speed();
    let report_age = speed.and_then(|speed| speed.report_age);
    if let Some(speed) = speed {
        gateway.metrics.record_speed(job.service.as_str(), speed.speed);
    }
    let pace = if failed { AnswerPace::Unknown } else { pace };
    let counted =
        CountedAnswer { service: &job.service, release: &response.upstream.release, kind: &kind, failed, pace };
    gateway.count_answer(&counted);
    let mut traffic = gateway.traffic();
    if let Some(session) = &job.caller.session {
        traffic.sessions.set(now, session, &response.upstream.release);
    }
    if !failed {
        traffic.record_health(now, &response.upstream.id, HealthEvent::Good);
    }
    drop(traffic);
    log::info!(
        request = job.caller.request.as_str(),
        fingerprint = job.fingerprint.to_string().as_str(),
        parts = job.parts_text().as_str(),
        route = job.route.id.as_str(),
        session = job.caller.session.as_ref().map_or("", SessionId::as_str),
        upstream = response.upstream.id.as_str(),
        release = response.upstream.release.as_str(),
        model = model,
        confidence = response.decoded.confidence.map_or(-1, i16::from),
        limit = limit.as_str(),
        speed = speed.map_or(-1.0, |speed| speed.speed),
        report_age_ms = report_age.map_or(-1, |age| age.as_millis() as i64),
        window = response.guard.window().map_or(-1, i64::from),
        passed_over = job.passed_over.load(Ordering::Relaxed),
        sends = sends + 1,
        took_ms = (now - job.arrived).as_millis() as u64,
        status = response.status.as_u16();
        "answered"
    );
}
