//! A place that a request takes at an upstream: its load there, and how it ended.

use std::sync::Arc;

use bluebell_core::{
    ids::{ModelId, UpstreamId},
    poison::{AttemptOutcome, Fingerprint},
    units::Tokens,
    upstreams::{Life, Upstream},
};

use super::{job::Job, state::Gateway};

/// A place taken at an upstream; given back when dropped.
pub struct Place {
    gateway: Arc<Gateway>,
    id: UpstreamId,
    life: Life,
    fingerprint: Fingerprint,
    // None before the request is on its way.
    landing: Option<AttemptOutcome>,
    reading: Tokens,
    unread: Tokens,
}

impl Place {
    /// Takes a place for a request to be answered by a model.
    pub fn take(gateway: &Arc<Gateway>, job: &Job, upstream: &Upstream, model: Option<&ModelId>) -> Self {
        let now = gateway.now();
        let mut traffic = gateway.traffic();
        let state = traffic.upstream(upstream);
        let model = model.or(job.asked.model.as_ref());
        let cached = model.map_or(Tokens::default(), |model| state.parts.cached(model, &job.asked.parts));
        let tokens = job.asked.prompt.0.saturating_sub(cached.0) as f64;
        let unread = Tokens((tokens * job.weight(model)) as u64);
        state.load.start_request(unread);
        state.health.record_send(now);
        if let Some(model) = model {
            state.parts.insert(now, model, &job.asked.parts, job.memory());
        }
        Self {
            gateway: Arc::clone(gateway),
            id: upstream.id.clone(),
            life: upstream.life(),
            fingerprint: job.fingerprint,
            landing: None,
            reading: unread,
            unread,
        }
    }

    /// The request goes on its way.
    pub fn depart(&mut self) {
        if self.landing.is_none() {
            self.gateway.traffic().flights.start(&self.life, self.fingerprint);
        }
        self.landing = Some(AttemptOutcome::Unanswered);
    }

    /// How the request ended there, where it was not left unanswered.
    pub fn land(&mut self, landing: AttemptOutcome) {
        self.landing = Some(landing);
    }

    /// Tokens that the upstream had to read.
    #[must_use]
    pub fn reading(&self) -> Tokens {
        self.reading
    }

    /// The upstream has read the prompt.
    pub fn read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread.0 > 0
            && let Some(state) = self.gateway.traffic().known(&self.id)
        {
            state.load.finish_prefill(unread);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.read();
        let mut traffic = self.gateway.traffic();
        if let Some(state) = traffic.known(&self.id) {
            state.load.finish_request();
            state.health.clear_trial();
        }
        let Some(landing) = self.landing else { return };
        traffic.flights.finish(self.gateway.now(), &self.life, self.fingerprint, landing);
        let is_suspect = self.gateway.beliefs.load().suspects.get(&self.fingerprint).is_some();
        if landing == AttemptOutcome::Answered && is_suspect {
            traffic.flights.clear(self.fingerprint);
            self.gateway.ended.notify_one();
        }
    }
}
