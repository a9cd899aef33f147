//! Requests with one answer, which is read whole before the caller gets any of it.

use std::sync::Arc;

use bluebell_core::poison::ResponseLoss;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use super::{
    body::Response,
    choose::{NextSend, next},
    record::record,
    reply::{give_up, pass_whole},
    tries::Tries,
};
use crate::gateway::{
    attempt::{self, Failure, Live, Order, Patience},
    ends,
    job::Job,
    state::Gateway,
    traffic::Took,
};

/// Times of the route's target after which work that may be repeated is sent elsewhere.
const PATIENCE_TARGETS: u32 = 2;

/// Answers a request with one answer.
pub async fn answer(gateway: &Arc<Gateway>, job: Job) -> Response {
    let mut tries = Tries::default();
    let mut failed: Option<(StatusCode, HeaderMap, Bytes)> = None;
    loop {
        let ask = NextSend { model: None, stays: None, is_paid: tries.sends() == 0 };
        let Some(upstream) = next(gateway, &job, &mut tries, &ask) else { break };
        let order = Order { upstream, model: None, last_event: 0, patience: patience(gateway, &job, &tries) };
        match run(gateway, &job, &order, &tries).await {
            Ok((status, headers, body)) if !status.is_server_error() => return pass_whole(status, &headers, body),
            Ok(answer) => {
                tries.ran += 1;
                tries.reason = format!("status {}", answer.0);
                failed = Some(answer);
            }
            Err(failure) => drop(tries.note(failure)),
        }
        log::info!(
            request = job.asked.request.as_str(), fingerprint = job.fingerprint.to_string().as_str(),
            upstream = order.upstream.id.as_str(), ran = tries.ran;
            "attempt failed: {}", tries.reason
        );
    }
    match failed {
        Some((status, headers, body)) => pass_whole(status, &headers, body),
        None => give_up(gateway, &job, &tries),
    }
}

// Work that may run only once waits to the end, since another send could double it.
fn patience(gateway: &Gateway, job: &Job, tries: &Tries) -> Patience {
    if job.route.repeat.may_repeat() && tries.ran + 1 < job.route.attempts {
        return Patience::Fixed((job.route.target * PATIENCE_TARGETS).min(job.left(gateway) / 2));
    }
    Patience::Whole
}

async fn run(
    gateway: &Arc<Gateway>,
    job: &Job,
    order: &Order,
    tries: &Tries,
) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
    let mut live = attempt::send(gateway, job, order).await?;
    let body = match timeout(job.left(gateway), live.whole(&gateway.gathered)).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => return Err(lost(gateway, live, reason, ResponseLoss::Broken)),
        Err(_) => {
            return Err(lost(gateway, live, "the answer was not whole in time".to_owned(), ResponseLoss::TimedOut));
        }
    };
    let took = (gateway.now() - live.sent).as_secs_f64();
    record(gateway, job, &live, Took::Pace(took), tries);
    let answer = (live.status, live.headers.clone(), body);
    live.finish(gateway);
    Ok(answer)
}

fn lost(gateway: &Arc<Gateway>, live: Live, reason: String, loss: ResponseLoss) -> Failure {
    let upstream = Arc::clone(&live.upstream);
    drop(live);
    ends::lose(gateway, &upstream, loss);
    Failure::Unknown { reason, loss }
}
