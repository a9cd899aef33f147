//! The last hop: a sidecar decides here, with exact knowledge of its runner, whether an attempt may start.
//!
//! An attempt is refused, waits, holds a reserved place, or runs. Only the move to running lets the runner see it.
//! Work that may not be repeated first reserves a place and runs only on the order that carries its permit, so a
//! late or repeated message can't make it run.

mod ended;
mod messages;
pub mod queue;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexMap;
pub use messages::{Ask, GateEffect, GateEvent, Refusal, RefusalReason, Work};

use self::{
    ended::Ended,
    queue::{Queue, Turn},
};
use crate::{
    ids::{AttemptId, Permit, Revision},
    routing::{Plan, PlanError},
    units::Priority,
};

/// Time for which a reserved place waits for its order.
pub const RESERVATION_LIFE: Duration = Duration::from_secs(10);
/// Pause suggested when a sidecar is leaving or has other settings.
pub const ELSEWHERE_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Queued,
    Reserved { permit: Permit, since: Duration },
    Running,
    Stopping,
}

#[derive(Debug)]
struct Held {
    ask: Ask,
    stage: Stage,
    started: Duration,
    by_floor: bool,
}

impl Held {
    fn may_be_stopped(&self) -> bool {
        let batch = self.stage == Stage::Running && self.ask.priority == Priority::Batch;
        let chat = matches!(self.ask.work, Work::Version(_));
        batch && chat && !self.by_floor && !self.ask.resumed && !self.ask.isolated
    }
}

/// Admission at one runner.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    busy: usize,
    serves: Vec<String>,
    plan: Option<(Revision, Arc<Plan>)>,
    leaving: bool,
    down: bool,
    queue: Queue,
    isolated: VecDeque<AttemptId>,
    alone: Option<AttemptId>,
    held: IndexMap<AttemptId, Held>,
    ended: Ended,
    permits: Permit,
}

impl Gate {
    /// A gate before a runner with so many places, serving these versions and services.
    #[must_use]
    pub fn new(slots: usize, serves: Vec<String>) -> Self {
        Self {
            slots,
            busy: 0,
            serves,
            plan: None,
            leaving: false,
            down: false,
            queue: Queue::default(),
            isolated: VecDeque::new(),
            alone: None,
            held: IndexMap::new(),
            ended: Ended::default(),
            permits: Permit::default(),
        }
    }

    /// Share of places in use, queue included.
    #[must_use]
    pub fn load(&self) -> f32 {
        (self.busy + self.queue.len() + self.isolated.len()) as f32 / self.slots.max(1) as f32
    }

    /// Attempts queued, reserved or running.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Whether new work is refused because the sidecar leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Takes an event and gives what has to be done, in order.
    pub fn handle(&mut self, now: Duration, event: GateEvent) -> Vec<GateEffect> {
        let mut effects = Vec::new();
        match event {
            GateEvent::Ask(ask) => self.ask(now, ask, &mut effects),
            GateEvent::Go { attempt, permit } => self.go(now, &attempt, permit, &mut effects),
            GateEvent::Abandon { attempt } => self.abandon(now, &attempt, &mut effects),
            GateEvent::Finish { attempt } => self.finish(now, &attempt),
            GateEvent::Plan { revision, plan } => self.adopt(now, revision, plan, &mut effects),
            GateEvent::RunnerDown => self.runner_down(now, &mut effects),
            GateEvent::RunnerUp => self.down = false,
            GateEvent::Leave => self.leave(now, &mut effects),
            GateEvent::Tick => self.expire(now, &mut effects),
        }
        self.fill(now, &mut effects);
        effects
    }

    fn ask(&mut self, now: Duration, ask: Ask, effects: &mut Vec<GateEffect>) {
        if let Some(refusal) = self.objection(&ask) {
            // A refusal is final for the attempt: the same message, late or twice, must not start it.
            if !self.held.contains_key(&ask.attempt) {
                self.ended.insert(&ask.attempt, now);
            }
            effects.push(GateEffect::Refuse { attempt: ask.attempt, refusal });
            return;
        }
        if ask.isolated {
            self.isolated.push_back(ask.attempt.clone());
        } else {
            self.queue.push(&ask);
        }
        let held = Held { stage: Stage::Queued, started: now, by_floor: false, ask };
        self.held.insert(held.ask.attempt.clone(), held);
    }

    fn objection(&self, ask: &Ask) -> Option<Refusal> {
        if self.held.contains_key(&ask.attempt) || self.ended.contains(&ask.attempt) {
            return Some(Refusal::new(RefusalReason::Repeated, Duration::ZERO));
        }
        if self.leaving {
            return Some(Refusal::new(RefusalReason::Leaving, ELSEWHERE_PAUSE));
        }
        if self.down {
            return Some(Refusal::new(RefusalReason::RunnerDown, ELSEWHERE_PAUSE));
        }
        if let Some(reason) = self.rule_against(ask) {
            return Some(Refusal::new(reason, ELSEWHERE_PAUSE));
        }
        let idle = self.busy < self.slots && self.queue.is_empty();
        if ask.isolated || ask.resumed || idle && self.alone.is_none() && self.isolated.is_empty() {
            return None;
        }
        let wait = self.queue.expected_wait(&ask.org, ask.priority, self.slots);
        (wait > ask.patience).then(|| Refusal::new(RefusalReason::Overloaded, wait))
    }

    fn rule_against(&self, ask: &Ask) -> Option<RefusalReason> {
        let Some((_, plan)) = &self.plan else {
            return Some(RefusalReason::NoSettings);
        };
        if !self.serves.iter().any(|name| name == ask.work.name()) {
            return Some(RefusalReason::NotServed);
        }
        match &ask.work {
            Work::Version(version) => match plan.check_version(&ask.branch, &ask.org, version) {
                Ok(()) => None,
                Err(PlanError::Withdrawn { .. }) => Some(RefusalReason::Withdrawn),
                Err(_) => Some(RefusalReason::NotAllowed),
            },
            Work::Service(service) => {
                let allowed = plan.allows_service(&ask.branch, service.as_str());
                let two_step = ask.two_step || plan.is_idempotent(service.as_str());
                (!allowed || !two_step).then_some(RefusalReason::NotAllowed)
            }
        }
    }

    fn fill(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        while let Some(Turn { attempt, by_floor }) = self.next_attempt() {
            let Some(held) = self.held.get_mut(&attempt) else { continue };
            held.by_floor = by_floor;
            self.busy += 1;
            held.started = now;
            if held.ask.two_step {
                self.permits = self.permits.next();
                held.stage = Stage::Reserved { permit: self.permits, since: now };
                effects.push(GateEffect::Reserve { attempt, permit: self.permits });
            } else {
                held.stage = Stage::Running;
                effects.push(GateEffect::Start { attempt });
            }
        }
        self.make_room(effects);
    }

    // Urgent work does not wait for batch work to end: that is stopped and goes on later from what it has given.
    fn make_room(&mut self, effects: &mut Vec<GateEffect>) {
        let stopping = self.held.values().filter(|held| held.stage == Stage::Stopping).count();
        let waiting = self.queue.lengths()[Priority::Urgent.index()];
        for _ in stopping..waiting {
            let victims = self.held.values_mut().filter(|held| held.may_be_stopped());
            let Some(victim) = victims.max_by_key(|held| held.started) else { return };
            victim.stage = Stage::Stopping;
            effects.push(GateEffect::Stop { attempt: victim.ask.attempt.clone() });
        }
    }

    // While an isolated attempt waits nothing else starts, so that the runner becomes free for it alone.
    fn next_attempt(&mut self) -> Option<Turn> {
        if self.alone.is_some() {
            return None;
        }
        if self.isolated.is_empty() {
            return if self.busy < self.slots { self.queue.pop() } else { None };
        }
        if self.busy > 0 {
            return None;
        }
        self.alone = self.isolated.pop_front();
        self.alone.clone().map(|attempt| Turn { attempt, by_floor: false })
    }

    fn go(&mut self, now: Duration, attempt: &AttemptId, order: Permit, effects: &mut Vec<GateEffect>) {
        let stage = self.held.get(attempt).map(|held| held.stage.clone());
        match stage {
            Some(Stage::Reserved { permit, .. }) if permit == order => {
                let reason = self.held.get(attempt).and_then(|held| self.rule_against(&held.ask));
                if let Some(reason) = reason {
                    self.refuse_held(now, attempt, reason, effects);
                } else if let Some(held) = self.held.get_mut(attempt) {
                    held.stage = Stage::Running;
                    effects.push(GateEffect::Start { attempt: attempt.clone() });
                }
            }
            Some(Stage::Running | Stage::Stopping) => {}
            _ => {
                // An order for an attempt that has ended tells nothing about whether that ran.
                let ended = self.ended.contains(attempt);
                let reason = if ended { RefusalReason::Repeated } else { RefusalReason::NoReservation };
                let refusal = Refusal::new(reason, ELSEWHERE_PAUSE);
                effects.push(GateEffect::Refuse { attempt: attempt.clone(), refusal });
            }
        }
    }

    fn abandon(&mut self, now: Duration, attempt: &AttemptId, effects: &mut Vec<GateEffect>) {
        let Some(held) = self.held.get(attempt) else { return };
        if matches!(held.stage, Stage::Running | Stage::Stopping) {
            effects.push(GateEffect::Stop { attempt: attempt.clone() });
        }
        self.release(now, attempt);
    }

    fn finish(&mut self, now: Duration, attempt: &AttemptId) {
        if let Some(held) = self.held.get(attempt) {
            self.queue.record_service(now.saturating_sub(held.started));
        }
        self.release(now, attempt);
    }

    fn release(&mut self, now: Duration, attempt: &AttemptId) {
        let Some(held) = self.held.swap_remove(attempt) else { return };
        match held.stage {
            Stage::Queued if held.ask.isolated => self.isolated.retain(|other| other != attempt),
            Stage::Queued => self.queue.remove(attempt),
            Stage::Reserved { .. } | Stage::Running | Stage::Stopping => self.busy -= 1,
        }
        if self.alone.as_ref() == Some(attempt) {
            self.alone = None;
        }
        self.ended.insert(attempt, now);
    }

    fn refuse_held(
        &mut self,
        now: Duration,
        attempt: &AttemptId,
        reason: RefusalReason,
        effects: &mut Vec<GateEffect>,
    ) {
        self.release(now, attempt);
        let refusal = Refusal::new(reason, ELSEWHERE_PAUSE);
        effects.push(GateEffect::Refuse { attempt: attempt.clone(), refusal });
    }

    fn waiting(&self) -> Vec<AttemptId> {
        let waits = |held: &&Held| held.stage == Stage::Queued;
        self.held.values().filter(waits).map(|held| held.ask.attempt.clone()).collect()
    }

    // Attempts that wait were checked against older rules, so they are checked again.
    fn adopt(&mut self, now: Duration, revision: Revision, plan: Arc<Plan>, effects: &mut Vec<GateEffect>) {
        if self.plan.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        self.plan = Some((revision, plan));
        for attempt in self.waiting() {
            let reason = self.held.get(&attempt).and_then(|held| self.rule_against(&held.ask));
            if let Some(reason) = reason {
                self.refuse_held(now, &attempt, reason, effects);
            }
        }
    }

    fn leave(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        self.leaving = true;
        self.refuse_waiting(now, RefusalReason::Leaving, effects);
    }

    // Work given to a runner in the moment of its failure would be taken for a cause of it.
    fn runner_down(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        self.down = true;
        self.refuse_waiting(now, RefusalReason::RunnerDown, effects);
    }

    fn refuse_waiting(&mut self, now: Duration, reason: RefusalReason, effects: &mut Vec<GateEffect>) {
        for attempt in self.waiting() {
            self.refuse_held(now, &attempt, reason, effects);
        }
    }

    fn expire(&mut self, now: Duration, effects: &mut Vec<GateEffect>) {
        let overdue = |held: &&Held| match held.stage {
            Stage::Queued => now > held.started + held.ask.patience,
            Stage::Reserved { since, .. } => now > since + RESERVATION_LIFE,
            Stage::Running | Stage::Stopping => false,
        };
        let expired: Vec<AttemptId> = self.held.values().filter(overdue).map(|held| held.ask.attempt.clone()).collect();
        for attempt in expired {
            self.refuse_held(now, &attempt, RefusalReason::Expired, effects);
        }
    }

    /// Attempts waiting by rank, highest first.
    #[must_use]
    pub fn waiting_by_rank(&self) -> [usize; Priority::ALL.len()] {
        self.queue.lengths()
    }
}
