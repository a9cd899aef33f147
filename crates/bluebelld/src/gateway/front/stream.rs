//! Requests answered with an event stream: which model answers, and whether a larger one should answer instead.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    cascade::{self, AnswerHead, EnginePrice},
    ids::ModelId,
    placing::PREFILL_TOKENS_PER_MS,
};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::watch;

use super::{
    attempts::{AttemptHistory, InFlight},
    body::Response,
    choose::{SendOptions, prefill_backlog},
    relay::Relay,
    reply::{final_refusal, forward_response, outcome},
    start::{StartError, StartResult, StreamStart},
    takeover::{Replacement, UnreadAnswer, replace},
};
use crate::gateway::{attempt::UpstreamResponse, job::Job, state::Gateway};

/// Answers a request with an event stream.
pub async fn answer(gateway: &Arc<Gateway>, job: Job, mut in_flight: InFlight) -> Response {
    let mut history = AttemptHistory::default();
    match start(gateway, &job, &mut history).await {
        Ok(response) => {
            let (status, headers) = (response.status, response.headers.clone());
            let relay = Relay::new(Arc::clone(gateway), job, response, history, in_flight);
            let frames = stream::unfold(relay, |mut relay| async move {
                let data = relay.next_data().await?;
                Some((data.map(Frame::data), relay))
            });
            forward_response(status, &headers, StreamBody::new(frames).boxed_unsync())
        }
        Err(error) => {
            let response = match error {
                StartError::Answered(response) => *response,
                StartError::GivenUp => final_refusal(gateway, &job, &history),
            };
            in_flight.end(outcome(&response));
            response
        }
    }
}

// Starts the answer of the first model, and of a larger one if that should answer instead.
async fn start(gateway: &Arc<Gateway>, job: &Job, history: &mut AttemptHistory) -> StartResult {
    let model = first_model(gateway, job);
    record_work(gateway, job, model.as_ref());
    let options = SendOptions { model: model.as_ref(), pinned_release: None, skip_budget: true, excluded: None };
    let stream = StreamStart { gateway, job, last_event: job.caller.last_event };
    let response = stream.run(options, history, None).await?;
    let Some(larger) = larger_model(gateway, job, &response, history) else { return Ok(response) };
    log::info!(
        request = job.caller.request.as_str(),
        confidence = response.decoded.confidence.unwrap_or_default(),
        price = room(gateway, job).1.value(),
        model = larger.as_str();
        "escalated to a larger model"
    );
    gateway.metrics.record_escalation();
    record_work(gateway, job, Some(&larger));
    history.maybe_ran += 1;
    let options = SendOptions { model: Some(&larger), ..options };
    let (sender, in_flight_since) = watch::channel(None);
    let mut kept = Some(UnreadAnswer(response));
    let starting = stream.run(options, history, Some(&sender));
    let error = match replace(gateway, &mut kept, starting, in_flight_since).await {
        Replacement::Cancelled(never) => match never {},
        Replacement::Ended(Ok(response), _) => return Ok(response),
        Replacement::Ended(Err(error), _) => error,
    };
    let UnreadAnswer(response) = kept.ok_or(error)?;
    // An attempt that answers is counted when its answer ends.
    history.maybe_ran -= 1;
    log::info!(
        request = job.caller.request.as_str(), upstream = response.upstream.id.as_str();
        "no larger model answers, the smaller one's answer is used: {}", history.reason
    );
    Ok(response)
}

// Model that answers first; none if the caller named one or the route lists no models.
fn first_model(gateway: &Gateway, job: &Job) -> Option<ModelId> {
    if job.caller.model.is_some() {
        return None;
    }
    let (has_room, price) = room(gateway, job);
    let has_room = has_room && price.allows_largest_first();
    let gateways = gateway.routing.load().gateways;
    let may_escalate =
        gateway.traffic().retry_window(&job.service).may_escalate(gateway.now(), &gateway.retry_limit, gateways);
    job.route.models.get(cascade::first_model(job.route.models.len(), may_escalate, has_room)).cloned()
}

// Whether the largest model can run without delaying other requests, and the price of engine time. Where the speed of the
// upstreams is known, only the price decides.
fn room(gateway: &Gateway, job: &Job) -> (bool, EnginePrice) {
    let backlog = prefill_backlog(gateway, job);
    if gateway.traffic().reports_speed(&job.service) {
        let factor = gateway.traffic().price_factor(gateway.now(), &job.service, job.organisation.as_ref());
        return (true, EnginePrice::of_backlog(backlog).scaled(factor));
    }
    let weight = job.token_weight(job.route.models.last());
    let prompt_time = Duration::from_secs_f64(job.caller.prompt.0 as f64 * weight / PREFILL_TOKENS_PER_MS / 1000.0);
    (cascade::has_room(job.rank, backlog, prompt_time, job.route.target), EnginePrice::FREE)
}

// Counts the engine time of a run towards the share of the request's organisation.
fn record_work(gateway: &Gateway, job: &Job, model: Option<&ModelId>) {
    if let Some(organisation) = &job.organisation {
        gateway.traffic().record_work(gateway.now(), &job.service, organisation, job.engine_work(model));
    }
}

// Larger model that should answer instead, if any; takes the escalation from the retry budget.
fn larger_model(
    gateway: &Gateway,
    job: &Job,
    response: &UpstreamResponse,
    history: &AttemptHistory,
) -> Option<ModelId> {
    let current = response.model.as_ref()?;
    let (has_room, price) = room(gateway, job);
    let head = AnswerHead {
        model: job.route.models.iter().position(|model| model == current)?,
        model_count: job.route.models.len(),
        confidence: response.decoded.confidence,
        time_left: job.time_left(gateway),
        time_limit: job.deadline - job.arrived,
        attempts_left: job.route.attempts.saturating_sub(history.maybe_ran + 1),
        rank: job.rank,
        has_room,
        price,
    };
    let larger = cascade::escalate(&head)?;
    let gateways = gateway.routing.load().gateways;
    let allowed = gateway.traffic().retry_window(&job.service).escalate(gateway.now(), &gateway.retry_limit, gateways);
    allowed.then(|| job.route.models.get(larger).cloned()).flatten()
}
