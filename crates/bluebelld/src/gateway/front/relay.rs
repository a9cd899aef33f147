//! Forwards the events of a stream to the caller as they arrive. A stream that an upstream cuts off is resumed at another
//! upstream, of the same release if possible, within the same response and after the last complete event. If that fails,
//! the caller's response is cut off as well. A stream whose upstream is silent is kept until another upstream has taken
//! it over.

use std::{io, sync::Arc, time::Duration};

use bluebell_core::{
    events::{Batch, EventError, EventSplitter},
    ids::ModelId,
    poison::ResponseLoss,
    stream_end::{EarlyEnd, EndCheck, EndedAnswer},
    upstreams::Upstream,
};
use bytes::Bytes;
use tokio::{sync::watch, time::timeout};

use super::{
    attempts::{AttemptHistory, InFlight},
    choose::{SendOptions, may_give_up},
    record::record_answer,
    start::{StreamStart, prompt_allowance},
    takeover::{KeptState, Replacement, replace},
};
use crate::{
    gateway::{
        attempt::{BodyChunk, UpstreamResponse},
        crash_detection,
        job::Job,
        response_buffer::BufferCharge,
        state::Gateway,
        traffic::{AnswerPace, FirstEvent},
    },
    metrics::Outcome,
};

/// Time without data from an upstream, on any connection, after which another upstream is asked to take a stream over,
/// if it can be resumed. Before the first event, the time for processing its prompt is added.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Number of events after which the pace of a stream is checked.
const MIN_PACE_EVENTS: u64 = 3;

/// Time for which a caller may leave data unread before a later loss of the answer is no longer held against the upstream,
/// which may have cut it off for that.
const UNREAD_PAUSE: Duration = Duration::from_secs(1);

// What happens next to a stream.
enum StreamEvent {
    Chunk(BodyChunk),
    // The attempt was lost, for this reason.
    Lost(String, ResponseLoss),
}

fn loss_of(state: KeptState) -> ResponseLoss {
    match state {
        KeptState::Failed => ResponseLoss::Broken,
        KeptState::Open | KeptState::Closed => ResponseLoss::TimedOut,
    }
}

/// Forwards the events of a stream to the caller as they arrive, and resumes the stream when an upstream fails.
pub struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    response: Option<UpstreamResponse>,
    splitter: EventSplitter,
    // Memory of the incomplete event in the splitter.
    charge: BufferCharge,
    end_check: EndCheck,
    history: AttemptHistory,
    // Whether the attempt in progress is already counted in the history, because a takeover of it was tried.
    is_counted: bool,
    // Events forwarded to the caller, from all upstreams.
    events: u64,
    // Events of the current upstream's response.
    response_events: u64,
    // When the first events of the current response arrived, and how many.
    first_events: Option<(Duration, u64)>,
    // Whether the current response was already counted as slow.
    counted_slow: bool,
    // When data last arrived on this stream, or its takeover last failed.
    idle_since: Duration,
    // When data was last handed to the caller's connection.
    handed_at: Option<Duration>,
    // Whether the caller left data of the current response unread for a while.
    was_unread: bool,
    upstream: Arc<Upstream>,
    model: Option<ModelId>,
    in_flight: InFlight,
}

impl Relay {
    /// Starts to forward an answer.
    pub fn new(
        gateway: Arc<Gateway>,
        job: Job,
        response: UpstreamResponse,
        history: AttemptHistory,
        in_flight: InFlight,
    ) -> Self {
        let splitter = EventSplitter::after(job.caller.last_event);
        let (upstream, model) = (Arc::clone(&response.upstream), response.model.clone());
        let idle_since = gateway.now();
        let response = Some(response);
        let charge = gateway.buffer_budget.event_charge();
        Self {
            gateway,
            job,
            response,
            splitter,
            charge,
            end_check: EndCheck::default(),
            history,
            is_counted: false,
            events: 0,
            response_events: 0,
            first_events: None,
            counted_slow: false,
            idle_since,
            handed_at: None,
            was_unread: false,
            upstream,
            model,
            in_flight,
        }
    }

    /// Next complete events for the caller; an error cuts the caller's response off.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, io::Error>> {
        let now = self.gateway.now();
        if self.handed_at.is_some_and(|at| now.saturating_sub(at) >= UNREAD_PAUSE) {
            // The upstream was not silent, its data was not asked for.
            self.idle_since = now;
            self.was_unread = true;
        }
        loop {
            if let Some(error) = self.splitter.fault()
                && let Err(error) = self.resume(error.to_string(), ResponseLoss::Broken).await
            {
                return Some(Err(error));
            }
            self.response.as_ref()?;
            let (reason, loss) = match self.next_event().await {
                StreamEvent::Chunk(BodyChunk::Data(data)) => match self.accept_data(&data) {
                    Ok(batch) if batch.bytes.is_empty() => match self.charge.set(self.splitter.buffered()) {
                        Ok(()) => continue,
                        Err(error) => (error.to_string(), ResponseLoss::Broken),
                    },
                    Ok(batch) => {
                        // Beyond the total, the next chunk without a complete event breaks the stream off.
                        let _ = self.charge.set(self.splitter.buffered());
                        self.handed_at = Some(self.idle_since);
                        return Some(Ok(batch.bytes.into()));
                    }
                    Err(error) => (error.to_string(), ResponseLoss::Broken),
                },
                StreamEvent::Chunk(BodyChunk::End) if self.splitter.is_whole() => match self.check_end() {
                    Ok(()) => {
                        self.finish();
                        return None;
                    }
                    Err(error) => (error.to_string(), ResponseLoss::Broken),
                },
                StreamEvent::Chunk(BodyChunk::End) => {
                    ("the stream ended inside an event".to_owned(), ResponseLoss::Broken)
                }
                StreamEvent::Chunk(BodyChunk::Broken(reason)) => (reason, ResponseLoss::Broken),
                StreamEvent::Lost(reason, loss) => (reason, loss),
            };
            if let Err(error) = self.resume(reason, loss).await {
                return Some(Err(error));
            }
        }
    }

    // Waits for the next chunk, from another upstream if the current one is silent and the other one takes the stream
    // over.
    async fn next_event(&mut self) -> StreamEvent {
        loop {
            let now = self.gateway.now();
            let left = self.job.deadline.saturating_sub(now);
            if left.is_zero() {
                return StreamEvent::Lost("the time is over".to_owned(), ResponseLoss::TimedOut);
            }
            let wait = self.idle_wait(now);
            if wait.is_zero() {
                if let Some(event) = self.replace_silent().await {
                    return event;
                }
            } else if let Some(response) = self.response.as_mut()
                && let Ok(chunk) = timeout(wait.min(left), response.next_chunk()).await
            {
                return StreamEvent::Chunk(chunk);
            }
        }
    }

    // Time to wait for data before another upstream is asked to take the stream over. A stream that can't be resumed is
    // awaited until the deadline, however long its upstream is silent; the retry budget may allow a takeover later.
    fn idle_wait(&self, now: Duration) -> Duration {
        let may_follow = if self.is_counted {
            self.history.may_send(&self.job) && self.job.may_be_retried(&self.gateway)
        } else {
            may_give_up(&self.gateway, &self.job, &self.history)
        };
        if !may_follow {
            return STREAM_IDLE_TIMEOUT;
        }
        let is_unread = self.response_events == 0;
        let allowance = if is_unread {
            prompt_allowance(&self.gateway, &self.job, self.model.as_ref(), &self.upstream)
        } else {
            Duration::ZERO
        };
        let timeout = STREAM_IDLE_TIMEOUT + allowance;
        self.gateway.traffic().remaining_wait(now, &self.upstream.id, self.idle_since, timeout)
    }

    // Asks other upstreams to take the stream over. Returns a chunk if the silent upstream goes on first, which cancels
    // the takeover; after a takeover, or if the silent upstream is awaited further, there is no event yet.
    async fn replace_silent(&mut self) -> Option<StreamEvent> {
        self.count_attempt();
        let silent = Arc::clone(&self.upstream);
        let options = SendOptions {
            model: self.model.as_ref(),
            pinned_release: Some(&silent.release),
            skip_budget: false,
            excluded: Some(&silent.id),
        };
        let last = self.splitter.last();
        let (sender, in_flight_since) = watch::channel(None);
        let stream = StreamStart { gateway: &self.gateway, job: &self.job, last_event: last };
        let starting = stream.run(options, &mut self.history, Some(&sender));
        match replace(&self.gateway, &mut self.response, starting, in_flight_since).await {
            Replacement::Cancelled(chunk) => {
                self.history.count_cancelled(&sender);
                log::info!(
                    request = self.job.caller.request.as_str(), upstream = silent.id.as_str(), event = last;
                    "silent stream goes on at its upstream; its takeover is cancelled"
                );
                Some(StreamEvent::Chunk(chunk))
            }
            Replacement::Ended(Ok(response), state) => {
                self.response = None;
                crash_detection::record_lost_answer(&self.gateway, &silent, loss_of(state));
                self.reset_splitter();
                log::info!(
                    request = self.job.caller.request.as_str(),
                    fingerprint = self.job.fingerprint.to_string().as_str(),
                    upstream = silent.id.as_str(), event = last, ran = self.history.maybe_ran;
                    "silent stream is taken over by upstream {}", response.upstream.id
                );
                self.continue_with(response);
                None
            }
            Replacement::Ended(Err(_), KeptState::Open) => {
                self.idle_since = self.gateway.now();
                log::info!(
                    request = self.job.caller.request.as_str(), upstream = silent.id.as_str(), event = last,
                    ran = self.history.maybe_ran;
                    "no other upstream took the silent stream over: {}", self.history.reason
                );
                None
            }
            Replacement::Ended(Err(_), state) => Some(StreamEvent::Lost(self.history.reason.clone(), loss_of(state))),
        }
    }

    fn accept_data(&mut self, data: &[u8]) -> Result<Batch, EventError> {
        let now = self.gateway.now();
        self.idle_since = now;
        self.gateway.traffic().record_activity(now, &self.upstream.id);
        let batch = self.splitter.push(data)?;
        if self.events == 0 && batch.count > 0 {
            let took = now - self.job.arrived;
            self.gateway.metrics.record_first_event(self.job.organisation.as_ref(), &self.job.route.id, took);
        }
        self.events += batch.count;
        self.response_events += batch.count;
        self.record_first_events(now, batch.count);
        self.check_pace();
        if let Some(response) = self.response.as_mut().filter(|_| batch.count > 0) {
            response.guard.finish_prefill();
            self.in_flight.record_progress(&response.upstream.id, self.events);
        }
        Ok(batch)
    }

    fn record_first_events(&mut self, now: Duration, count: u64) {
        let Some(response) = self.response.as_ref().filter(|_| count > 0 && self.first_events.is_none()) else {
            return;
        };
        self.first_events = Some((now, count));
        let took = now.saturating_sub(response.sent_at);
        let event = FirstEvent { prefill: response.guard.prefill(), queued: response.guard.queued(), took };
        self.gateway.traffic().record_first_event(now, &response.upstream, event);
    }

    // A stream that is several times slower than usual is counted while it is still running, because the caller may
    // disconnect before its end.
    fn check_pace(&mut self) {
        let Some(response) =
            self.response.as_ref().filter(|_| !self.counted_slow && self.response_events >= MIN_PACE_EVENTS)
        else {
            return;
        };
        let kind = self.job.work_kind(response.model.as_ref());
        let is_slow = self.gateway.traffic().is_slow(
            &self.job.service,
            &kind,
            response.pace(self.gateway.now(), self.response_events),
        );
        if is_slow {
            self.job.record_overdue(&self.gateway, response.model.as_ref(), &response.upstream.release);
            self.counted_slow = true;
        }
    }

    fn finish(&mut self) {
        self.in_flight.end(Outcome::Served);
        let Some(response) = self.response.take() else { return };
        let pace = if self.counted_slow {
            AnswerPace::Unknown
        } else {
            AnswerPace::Ratio(response.pace(self.gateway.now(), self.response_events))
        };
        if let Some((first_at, count)) = self.first_events {
            let kind = self.job.work_kind(response.model.as_ref());
            let took = self.idle_since.saturating_sub(first_at);
            let count = self.response_events.saturating_sub(count);
            self.gateway.traffic().record_events(&response.upstream, &kind, count, took);
        }
        record_answer(&self.gateway, &self.job, &response, pace, self.history.sends());
        response.finish(&self.gateway);
    }

    // Resumes the stream at another upstream, after closing the connection to the failed one.
    async fn resume(&mut self, reason: String, loss: ResponseLoss) -> Result<(), io::Error> {
        self.response = None;
        if self.was_unread {
            crash_detection::record_unread_answer(&self.gateway, &self.upstream, loss);
        } else {
            crash_detection::record_lost_answer(&self.gateway, &self.upstream, loss);
        }
        self.reset_splitter();
        self.count_attempt();
        self.history.reason = reason;
        log::info!(
            request = self.job.caller.request.as_str(),
            fingerprint = self.job.fingerprint.to_string().as_str(),
            parts = self.job.parts_text().as_str(),
            upstream = self.upstream.id.as_str(),
            event = self.splitter.last(),
            ran = self.history.maybe_ran;
            "stream broke off: {}", self.history.reason
        );
        let last = self.splitter.last();
        let options = SendOptions {
            model: self.model.as_ref(),
            pinned_release: Some(&self.upstream.release),
            skip_budget: false,
            excluded: None,
        };
        let stream = StreamStart { gateway: &self.gateway, job: &self.job, last_event: last };
        if let Ok(response) = stream.run(options, &mut self.history, None).await {
            self.continue_with(response);
            return Ok(());
        }
        self.in_flight.end(Outcome::Failed);
        log::info!(
            request = self.job.caller.request.as_str(),
            fingerprint = self.job.fingerprint.to_string().as_str(),
            route = self.job.route.id.as_str(), event = last, sends = self.history.sends(),
            ran = self.history.maybe_ran, attempts = self.job.route.attempts,
            may_retry = self.job.may_be_retried(&self.gateway),
            left_ms = self.job.time_left(&self.gateway).as_millis() as u64;
            "stream is cut off towards the caller: {}", self.history.reason
        );
        Err(io::Error::new(io::ErrorKind::UnexpectedEof, self.history.reason.clone()))
    }

    // Checks that an answer that ended between two events completes the stream.
    fn check_end(&mut self) -> Result<(), EarlyEnd> {
        let is_framed = self.response.as_ref().is_some_and(UpstreamResponse::is_framed);
        self.end_check.check(EndedAnswer { events: self.response_events, last: self.splitter.last(), is_framed })
    }

    // Discards an incomplete event.
    fn reset_splitter(&mut self) {
        self.splitter.reset();
        // Never fails for less than before.
        let _ = self.charge.set(0);
    }

    fn continue_with(&mut self, response: UpstreamResponse) {
        self.end_check.record_break();
        self.upstream = Arc::clone(&response.upstream);
        self.idle_since = self.gateway.now();
        (self.response_events, self.counted_slow, self.is_counted) = (0, false, false);
        self.was_unread = false;
        self.first_events = None;
        self.response = Some(response);
    }

    // Counts the attempt in progress as one that ran.
    fn count_attempt(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            self.history.maybe_ran += 1;
        }
    }
}
