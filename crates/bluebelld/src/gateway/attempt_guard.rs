//! Bookkeeping of one attempt at an upstream: the load that it adds there, and its outcome.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::ModelId,
    placing::RampSignal,
    poison::{AttemptOutcome, Fingerprint},
    units::Tokens,
    upstreams::{Upstream, UpstreamIncarnation},
};

use super::{job::Job, state::Gateway, traffic::ChosenSpeed};

/// Time after which a request that ends without the head of an answer shows that the upstream is silent.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// Counts an attempt in its upstream's load until dropped, and then records its outcome.
pub struct AttemptGuard {
    gateway: Arc<Gateway>,
    upstream: Arc<Upstream>,
    incarnation: UpstreamIncarnation,
    // The request, and the parts of its prompt.
    causes: Vec<Fingerprint>,
    // None until the request is sent.
    outcome: Option<AttemptOutcome>,
    // When the request was sent, until the head of the answer has arrived.
    waits_since: Option<Duration>,
    // Window of the upstream's ramp-up when it was chosen.
    window: Option<u32>,
    prefill: Tokens,
    // The part of `prefill` that still counts in the upstream's load.
    pending_prefill: Tokens,
    // Prompt tokens that were pending at the upstream before this attempt.
    queued: Tokens,
    speed: Option<ChosenSpeed>,
}

impl AttemptGuard {
    /// Adds an attempt to the load of an upstream. `model` is the model chosen by the gateway; without it, the model
    /// that the caller named applies.
    pub fn start(gateway: &Arc<Gateway>, job: &Job, upstream: &Arc<Upstream>, model: Option<&ModelId>) -> Self {
        let now = gateway.now();
        let mut traffic = gateway.traffic();
        traffic.upstream(upstream);
        let speed = traffic.speed(now, upstream);
        let state = traffic.upstream(upstream);
        let model = model.or(job.caller.model.as_ref());
        let cached = model.map_or(Tokens::default(), |model| state.parts.cached(model, &job.caller.parts));
        let tokens = job.caller.prompt.0.saturating_sub(cached.0) as f64;
        let prefill = Tokens((tokens * job.token_weight(model)) as u64);
        let queued = Tokens(state.load.pending_prefill(now) as u64);
        let window = state.ramp.window();
        state.ramp.record_send(now);
        state.load.start_request(prefill);
        if state.health.record_send(now) {
            log::info!(
                request = job.caller.request.as_str(), upstream = upstream.id.as_str();
                "upstream is tried again after its pause"
            );
        }
        if let Some(model) = model {
            state.parts.insert(now, model, &job.caller.parts, job.engine_memory());
        }
        Self {
            gateway: Arc::clone(gateway),
            upstream: Arc::clone(upstream),
            incarnation: upstream.incarnation(),
            causes: job.causes().copied().collect(),
            outcome: None,
            waits_since: None,
            window,
            prefill,
            pending_prefill: prefill,
            queued,
            speed,
        }
    }

    /// Records that the request is being sent. Until another outcome is set, the attempt counts as unanswered.
    pub fn mark_sent(&mut self) {
        if self.outcome.is_none() {
            let mut traffic = self.gateway.traffic();
            self.causes.iter().for_each(|cause| traffic.in_flight.start(&self.incarnation, *cause));
        }
        self.outcome = Some(AttemptOutcome::Unanswered);
        self.waits_since = Some(self.gateway.now());
    }

    /// Sets an outcome other than unanswered.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
    }

    /// Records that the head of the answer arrived.
    pub fn mark_head(&mut self) {
        self.waits_since = None;
    }

    /// Window of the upstream's ramp-up when it was chosen, in requests; none if it is not in ramp-up.
    #[must_use]
    pub fn window(&self) -> Option<u32> {
        self.window
    }

    /// Prompt tokens that the upstream had to process, weighted by model; tokens in its prompt cache don't count.
    #[must_use]
    pub fn prefill(&self) -> Tokens {
        self.prefill
    }

    /// Prompt tokens that were pending at the upstream when it was chosen, weighted by model.
    #[must_use]
    pub fn queued(&self) -> Tokens {
        self.queued
    }

    /// Speed of the upstream when it was chosen; none if its service doesn't report speeds.
    #[must_use]
    pub fn speed(&self) -> Option<ChosenSpeed> {
        self.speed
    }

    /// Records that the upstream has processed the prompt.
    pub fn finish_prefill(&mut self) {
        let pending = std::mem::take(&mut self.pending_prefill);
        if pending.0 > 0
            && let Some(state) = self.gateway.traffic().existing_upstream(&self.upstream.id)
        {
            state.load.finish_prefill(pending);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        let mut traffic = self.gateway.traffic();
        if let Some(state) = traffic.existing_upstream(&self.upstream.id) {
            state.load.finish_request();
            state.health.clear_trial();
        }
        let Some(outcome) = self.outcome else { return };
        let now = self.gateway.now();
        if let Some(sent_at) = self.waits_since.filter(|sent_at| now >= *sent_at + SILENT_AFTER) {
            traffic.record_ramp(now, &self.upstream, sent_at, RampSignal::Silent);
        }
        for cause in &self.causes {
            traffic.in_flight.finish(now, &self.incarnation, *cause, outcome);
        }
        let routing = self.gateway.routing.load();
        let is_cleared = |cause: &&Fingerprint| {
            let is_answered =
                outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Rejected && !cause.is_part();
            is_answered && routing.suspects.get(cause).is_some()
        };
        // An answer clears the request of the crashes that it was suspected of; the control thread tells the peers.
        for cause in self.causes.iter().filter(is_cleared) {
            traffic.in_flight.clear(*cause);
            self.gateway.crash_check.notify_one();
        }
    }
}
