//! Admission control in the sidecar, the last step before the runner. The sidecar knows the exact state of its runner,
//! so it decides here whether an attempt may start.
//!
//! An attempt is refused, queued, reserved or running. The runner receives it only when it becomes running. Work that
//! must not be repeated first reserves a slot and starts only on a `Go` that carries the permit of the reservation, so
//! a late or duplicated message can't start it.

mod ended;
mod messages;
pub mod queue;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexMap;
pub use messages::{AdmissionRequest, GateEffect, GateEvent, Refusal, RefusalReason, Work};

use self::{
    ended::EndedAttempts,
    queue::{Queue, Scheduled},
};
use crate::{
    ids::{AttemptId, Permit, Revision},
    routing::{Plan, PlanError},
    units::Priority,
};

/// Time after which a reservation that has received no `Go` expires.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Suggested retry delay when another sidecar may accept the attempt at once, such as when this one is leaving or has
/// different settings.
pub const RETRY_ELSEWHERE_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, PartialEq)]
enum AttemptState {
    Queued,
    Reserved { permit: Permit, reserved_at: Duration },
    Running,
    Stopping,
}

#[derive(Debug)]
struct TrackedAttempt {
    request: AdmissionRequest,
    state: AttemptState,
    // When it was queued or, once it has a slot, when it got the slot.
    since: Duration,
    // Started ahead of a higher priority because its own was below its minimum share.
    by_min_share: bool,
}

impl TrackedAttempt {
    // Only model requests are preempted: their partial answers can be continued by a later attempt.
    fn is_preemptible(&self) -> bool {
        let is_batch = self.state == AttemptState::Running && self.request.priority == Priority::Batch;
        let is_model = matches!(self.request.work, Work::Version(_));
        is_batch && is_model && !self.by_min_share && !self.request.resumed && !self.request.isolated
    }
}

/// Admission control for one runner.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    slots_in_use: usize,
    serves: Vec<String>,
    plan: Option<(Revision, Arc<Plan>)>,
    leaving: bool,
    runner_down: bool,
    queue: Queue,
    isolated_queue: VecDeque<AttemptId>,
    active_isolated: Option<AttemptId>,
    attempts: IndexMap<AttemptId, TrackedAttempt>,
    ended: EndedAttempts,
    last_permit: Permit,
}

impl Gate {
    /// Creates the gate of a runner with `slots` slots that serves these versions and services.
    #[must_use]
    pub fn new(slots: usize, serves: Vec<String>) -> Self {
        Self {
            slots,
            slots_in_use: 0,
            serves,
            plan: None,
            leaving: false,
            runner_down: false,
            queue: Queue::default(),
            isolated_queue: VecDeque::new(),
            active_isolated: None,
            attempts: IndexMap::new(),
            ended: EndedAttempts::default(),
            last_permit: Permit::default(),
        }
    }

    /// Attempts that hold a slot or are queued, divided by the number of slots; above 1 when attempts are queued for a
    /// full runner.
    #[must_use]
    pub fn load(&self) -> f32 {
        (self.slots_in_use + self.queue.len() + self.isolated_queue.len()) as f32 / self.slots.max(1) as f32
    }

    /// Number of attempts queued, reserved or running.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Whether new attempts are refused because the sidecar is leaving the fleet.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Duration, event: GateEvent) -> Vec<GateEffect> {
        let mut effects = Vec::new();
        match event {
            GateEvent::Ask(request) => self.admit(now, request, &mut effects),
            GateEvent::Go { attempt, permit } => self.start_reserved(now, &attempt, permit, &mut effects),
            GateEvent::Abandon { attempt } => self.abandon(now, &attempt, &mut effects),
            GateEvent::Finish { attempt } => self.finish(now, &attempt),
            GateEvent::Plan { revision, plan } => self.update_plan(now, revision, plan, &mut effects),
            GateEvent::RunnerDown => self.handle_runner_down(now, &mut effects),
            GateEvent::RunnerUp => self.runner_down = false,
            GateEvent::Leave => self.handle_leave(now, &mut effects),
            GateEvent::Tick => self.expire(now, &mut effects),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    fn admit(&mut self, now: Duration, request: AdmissionRequest, effects: &mut Vec<GateEffect>) {
        if let Some(refusal) = self.refusal_for(&request) {
            // A refusal is final for the attempt id: a late or duplicated copy of the request must not start it. An id
            // that is still tracked is recorded when its own attempt ends.
            if !self.attempts.contains_key(&request.attempt) {
                self.ended.insert(&request.attempt, now);
            }
            effects.push(GateEffect::Refuse { attempt: request.attempt, refusal });
            return;
        }
        if request.isolated {
            self.isolated_queue.push_back(request.attempt.clone());
        } else {
            self.queue.push(&request);
        }
        let tracked = TrackedAttempt { state: AttemptState::Queued, since: now, by_min_share: false, request };
        self.attempts.insert(tracked.request.attempt.clone(), tracked);
    }

    fn refusal_for(&self, request: &AdmissionRequest) -> Option<Refusal> {
        if self.attempts.contains_key(&request.attempt) || self.ended.contains(&request.attempt) {
            return Some(Refusal::new(RefusalReason::Repeated, Duration::ZERO));
        }
        if self.leaving {
            return Some(Refusal::new(RefusalReason::Leaving, RETRY_ELSEWHERE_DELAY));
        }
        if self.runner_down {
            return Some(Refusal::new(RefusalReason::RunnerDown, RETRY_ELSEWHERE_DELAY));
        }
        if let Some(reason) = self.policy_violation(request) {
            return Some(Refusal::new(reason, RETRY_ELSEWHERE_DELAY));
        }
        let idle = self.slots_in_use < self.slots && self.queue.is_empty();
        if request.isolated
            || request.resumed
            || idle && self.active_isolated.is_none() && self.isolated_queue.is_empty()
        {
            return None;
        }
        let wait = self.queue.expected_wait(&request.org, request.priority, self.slots);
        (wait > request.max_wait).then(|| Refusal::new(RefusalReason::Overloaded, wait))
    }

    fn policy_violation(&self, request: &AdmissionRequest) -> Option<RefusalReason> {
        let Some((_, plan)) = &self.plan else {
            return Some(RefusalReason::NoSettings);
        };
        if !self.serves.iter().any(|name| name == request.work.name()) {
            return Some(RefusalReason::NotServed);
        }
        match &request.work {
            Work::Version(version) => match plan.check_version(&request.branch, &request.org, version) {
                Ok(()) => None,
                Err(PlanError::Withdrawn { .. }) => Some(RefusalReason::Withdrawn),
                Err(_) => Some(RefusalReason::NotAllowed),
            },
            Work::Service(service) => {
                let allowed = plan.allows_service(&request.branch, service.as_str());
                let repeat_safe = request.two_step || plan.is_idempotent(service.as_str());
                (!allowed || !repeat_safe).then_some(RefusalReason::NotAllowed)
            }
        }
    }

    fn dispatch(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        while let Some(Scheduled { attempt, by_min_share }) = self.next_attempt() {
            let Some(tracked) = self.attempts.get_mut(&attempt) else { continue };
            tracked.by_min_share = by_min_share;
            self.slots_in_use += 1;
            tracked.since = now;
            if tracked.request.two_step {
                self.last_permit = self.last_permit.next();
                tracked.state = AttemptState::Reserved { permit: self.last_permit, reserved_at: now };
                effects.push(GateEffect::Reserve { attempt, permit: self.last_permit });
            } else {
                tracked.state = AttemptState::Running;
                effects.push(GateEffect::Start { attempt });
            }
        }
        self.preempt_batch(effects);
    }

    // Urgent attempts do not wait for batch attempts to end: for each one queued, the batch attempt that started last is
    // stopped. The stopped attempt is later resumed from the output it has produced.
    fn preempt_batch(&mut self, effects: &mut Vec<GateEffect>) {
        let stopping = self.attempts.values().filter(|tracked| tracked.state == AttemptState::Stopping).count();
        let queued = self.queue.lengths()[Priority::Urgent.index()];
        for _ in stopping..queued {
            let candidates = self.attempts.values_mut().filter(|tracked| tracked.is_preemptible());
            let Some(victim) = candidates.max_by_key(|tracked| tracked.since) else { return };
            victim.state = AttemptState::Stopping;
            effects.push(GateEffect::Stop { attempt: victim.request.attempt.clone() });
        }
    }

    // While an isolated attempt is queued, no other attempt starts, so that the runner drains and runs it alone.
    fn next_attempt(&mut self) -> Option<Scheduled> {
        if self.active_isolated.is_some() {
            return None;
        }
        if self.isolated_queue.is_empty() {
            return if self.slots_in_use < self.slots { self.queue.pop() } else { None };
        }
        if self.slots_in_use > 0 {
            return None;
        }
        self.active_isolated = self.isolated_queue.pop_front();
        self.active_isolated.clone().map(|attempt| Scheduled { attempt, by_min_share: false })
    }

    fn start_reserved(&mut self, now: Duration, attempt: &AttemptId, presented: Permit, effects: &mut Vec<GateEffect>) {
        let state = self.attempts.get(attempt).map(|tracked| tracked.state.clone());
        match state {
            Some(AttemptState::Reserved { permit, .. }) if permit == presented => {
                let reason = self.attempts.get(attempt).and_then(|tracked| self.policy_violation(&tracked.request));
                if let Some(reason) = reason {
                    self.refuse_tracked(now, attempt, reason, effects);
                } else if let Some(tracked) = self.attempts.get_mut(attempt) {
                    tracked.state = AttemptState::Running;
                    effects.push(GateEffect::Start { attempt: attempt.clone() });
                }
            }
            Some(AttemptState::Running | AttemptState::Stopping) => {}
            _ => {
                // For an attempt that has ended, `Repeated` leaves open whether it ran.
                let ended = self.ended.contains(attempt);
                let reason = if ended { RefusalReason::Repeated } else { RefusalReason::NoReservation };
                let refusal = Refusal::new(reason, RETRY_ELSEWHERE_DELAY);
                effects.push(GateEffect::Refuse { attempt: attempt.clone(), refusal });
            }
        }
    }

    fn abandon(&mut self, now: Duration, attempt: &AttemptId, effects: &mut Vec<GateEffect>) {
        let Some(tracked) = self.attempts.get(attempt) else { return };
        if matches!(tracked.state, AttemptState::Running | AttemptState::Stopping) {
            effects.push(GateEffect::Stop { attempt: attempt.clone() });
        }
        self.release(now, attempt);
    }

    fn finish(&mut self, now: Duration, attempt: &AttemptId) {
        if let Some(tracked) = self.attempts.get(attempt) {
            self.queue.record_service(now.saturating_sub(tracked.since));
        }
        self.release(now, attempt);
    }

    fn release(&mut self, now: Duration, attempt: &AttemptId) {
        let Some(tracked) = self.attempts.swap_remove(attempt) else { return };
        match tracked.state {
            AttemptState::Queued if tracked.request.isolated => self.isolated_queue.retain(|other| other != attempt),
            AttemptState::Queued => self.queue.remove(attempt),
            AttemptState::Reserved { .. } | AttemptState::Running | AttemptState::Stopping => self.slots_in_use -= 1,
        }
        if self.active_isolated.as_ref() == Some(attempt) {
            self.active_isolated = None;
        }
        self.ended.insert(attempt, now);
    }

    fn refuse_tracked(
        &mut self,
        now: Duration,
        attempt: &AttemptId,
        reason: RefusalReason,
        effects: &mut Vec<GateEffect>,
    ) {
        self.release(now, attempt);
        let refusal = Refusal::new(reason, RETRY_ELSEWHERE_DELAY);
        effects.push(GateEffect::Refuse { attempt: attempt.clone(), refusal });
    }

    fn queued_ids(&self) -> Vec<AttemptId> {
        let is_queued = |tracked: &&TrackedAttempt| tracked.state == AttemptState::Queued;
        self.attempts.values().filter(is_queued).map(|tracked| tracked.request.attempt.clone()).collect()
    }

    // Queued attempts were checked against the previous plan, so they are checked again. Reserved ones are checked when
    // their `Go` arrives.
    fn update_plan(&mut self, now: Duration, revision: Revision, plan: Arc<Plan>, effects: &mut Vec<GateEffect>) {
        if self.plan.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        self.plan = Some((revision, plan));
        for attempt in self.queued_ids() {
            let reason = self.attempts.get(&attempt).and_then(|tracked| self.policy_violation(&tracked.request));
            if let Some(reason) = reason {
                self.refuse_tracked(now, &attempt, reason, effects);
            }
        }
    }

    fn handle_leave(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        self.leaving = true;
        self.refuse_queued(now, RefusalReason::Leaving, effects);
    }

    // An attempt handed to the runner while it fails would be suspected of having caused the failure.
    fn handle_runner_down(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        self.runner_down = true;
        self.refuse_queued(now, RefusalReason::RunnerDown, effects);
    }

    fn refuse_queued(&mut self, now: Duration, reason: RefusalReason, effects: &mut Vec<GateEffect>) {
        for attempt in self.queued_ids() {
            self.refuse_tracked(now, &attempt, reason, effects);
        }
    }

    fn expire(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        let overdue = |tracked: &&TrackedAttempt| match tracked.state {
            AttemptState::Queued => now > tracked.since + tracked.request.max_wait,
            AttemptState::Reserved { reserved_at, .. } => now > reserved_at + RESERVATION_TIMEOUT,
            AttemptState::Running | AttemptState::Stopping => false,
        };
        let expired: Vec<AttemptId> =
            self.attempts.values().filter(overdue).map(|tracked| tracked.request.attempt.clone()).collect();
        for attempt in expired {
            self.refuse_tracked(now, &attempt, RefusalReason::Expired, effects);
        }
    }

    /// Number of queued attempts for each priority, highest first. Isolated attempts are queued apart and not counted.
    #[must_use]
    pub fn queued_by_priority(&self) -> [usize; Priority::ALL.len()] {
        self.queue.lengths()
    }
}
