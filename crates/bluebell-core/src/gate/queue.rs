//! Scheduling of queued attempts: by priority, with a guaranteed minimum share for each lower priority. Within a
//! priority, virtual-time fair queueing shares the slots between organisations: the virtual time of an organisation
//! advances by the cost of each attempt that it starts, and the lowest virtual time is served next.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::AdmissionRequest;
use crate::{
    ids::{AttemptId, OrgId},
    units::Priority,
};

/// Minimum share of the started cost that each priority gets while it has queued attempts, highest priority first.
pub const MIN_SHARES: [f64; Priority::ALL.len()] = [0.0, 0.10, 0.05];
/// Weight of the newest sample in the moving average of the service time.
const EWMA_WEIGHT: f64 = 0.1;
/// Decay constant, in tokens of started cost, of the shares that are compared with the minimum shares.
const SHARE_WINDOW_TOKENS: f64 = 20_000.0;
/// Mean service time assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct QueuedAttempt {
    attempt: AttemptId,
    cost: u64,
}

#[derive(Debug, Default)]
struct OrgQueue {
    queued: VecDeque<QueuedAttempt>,
    virtual_time: f64,
}

#[derive(Debug, Default)]
struct PriorityQueue {
    orgs: IndexMap<OrgId, OrgQueue>,
    virtual_time: f64,
    started_cost: f64,
    length: usize,
}

/// An attempt taken from the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scheduled {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Whether it was taken ahead of a higher priority, because its own was below the minimum share.
    pub by_min_share: bool,
}

/// Queue of attempts that wait for a slot.
#[derive(Debug)]
pub struct Queue {
    priorities: [PriorityQueue; Priority::ALL.len()],
    mean_service_secs: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self { priorities: Default::default(), mean_service_secs: INITIAL_SERVICE_TIME.as_secs_f64() }
    }
}

impl Queue {
    /// Number of queued attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lengths().iter().sum()
    }

    /// Whether no attempt is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of queued attempts for each priority, highest first.
    #[must_use]
    pub fn lengths(&self) -> [usize; Priority::ALL.len()] {
        std::array::from_fn(|index| self.priorities[index].length)
    }

    /// Queues an attempt. The virtual time of an organisation that had nothing queued is raised to that of the attempt
    /// served last, so that idle time earns no credit.
    pub fn push(&mut self, request: &AdmissionRequest) {
        let queue = &mut self.priorities[request.priority.index()];
        let last_served = queue.virtual_time;
        let org_queue = queue.orgs.entry(request.org.clone()).or_default();
        if org_queue.queued.is_empty() {
            org_queue.virtual_time = org_queue.virtual_time.max(last_served);
        }
        org_queue.queued.push_back(QueuedAttempt { attempt: request.attempt.clone(), cost: request.cost.max(1) });
        queue.length += 1;
    }

    /// Takes the next attempt to start.
    pub fn pop(&mut self) -> Option<Scheduled> {
        let (index, by_min_share) = self.next_priority()?;
        let next = self.priorities[index].pop()?;
        let cost = next.cost as f64;
        let retained = (1.0 - cost / SHARE_WINDOW_TOKENS).max(0.0);
        for queue in &mut self.priorities {
            queue.started_cost *= retained;
        }
        self.priorities[index].started_cost += cost;
        Some(Scheduled { attempt: next.attempt, by_min_share })
    }

    fn next_priority(&self) -> Option<(usize, bool)> {
        let total: f64 = self.priorities.iter().map(|queue| queue.started_cost).sum();
        let has_queued = |index: &usize| self.priorities[*index].length > 0;
        let below_share =
            |index: &usize| total > 0.0 && self.priorities[*index].started_cost < MIN_SHARES[*index] * total;
        let candidates = || (0..self.priorities.len()).filter(has_queued);
        let first = candidates().next()?;
        let owed = candidates().find(below_share).filter(|index| *index != first);
        Some((owed.unwrap_or(first), owed.is_some()))
    }

    /// Removes an attempt that no longer waits for a slot.
    pub fn remove(&mut self, attempt: &AttemptId) {
        for queue in &mut self.priorities {
            if queue.remove(attempt) {
                return;
            }
        }
    }

    /// Adds a sample of how long an attempt held its slot to the mean service time.
    pub fn record_service(&mut self, time: Duration) {
        self.mean_service_secs += EWMA_WEIGHT * (time.as_secs_f64() - self.mean_service_secs);
    }

    /// Estimates how long a new attempt of this organisation and priority would wait for one of `slots` slots. It takes
    /// the shorter of two estimates: service in priority order, and service by the minimum share alone.
    #[must_use]
    pub fn expected_wait(&self, org: &OrgId, priority: Priority, slots: usize) -> Duration {
        let index = priority.index();
        let higher: usize = self.priorities[..index].iter().map(|queue| queue.length).sum();
        let ahead = higher + self.priorities[index].ahead_of(org);
        let lower: usize = self.priorities[index + 1..].iter().map(|queue| queue.length).sum();
        let lower_shares: f64 = if lower > 0 { MIN_SHARES[index + 1..].iter().sum() } else { 0.0 };
        let own_share = if index > 0 && higher > 0 { MIN_SHARES[index].max(0.01) } else { 1.0 };
        let priority_order = (ahead + 1) as f64 / (1.0 - lower_shares);
        let minimum_share = (self.priorities[index].ahead_of(org) + 1) as f64 / own_share;
        Duration::from_secs_f64(priority_order.min(minimum_share) * self.mean_service_secs / slots.max(1) as f64)
    }
}

impl PriorityQueue {
    // Number of queued attempts expected to start before a new one of the organisation. The estimate assumes round-robin
    // between organisations, so an organisation with few queued attempts has a short wait.
    fn ahead_of(&self, org: &OrgId) -> usize {
        let has_queued = |org_queue: &&OrgQueue| !org_queue.queued.is_empty();
        let own = self.orgs.get(org).map_or(0, |org_queue| org_queue.queued.len());
        let others = self.orgs.iter().filter(|(id, org_queue)| *id != org && has_queued(org_queue)).count();
        self.length.min((own + 1) * (others + 1) - 1)
    }

    fn pop(&mut self) -> Option<QueuedAttempt> {
        let active = self.orgs.iter_mut().filter(|(_, org_queue)| !org_queue.queued.is_empty());
        let (_, org_queue) = active.min_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time))?;
        let next = org_queue.queued.pop_front()?;
        self.virtual_time = org_queue.virtual_time;
        org_queue.virtual_time += next.cost as f64;
        self.length -= 1;
        if self.length == 0 {
            self.orgs.clear();
            self.virtual_time = 0.0;
        }
        Some(next)
    }

    fn remove(&mut self, attempt: &AttemptId) -> bool {
        for org_queue in self.orgs.values_mut() {
            if let Some(index) = org_queue.queued.iter().position(|queued| queued.attempt == *attempt) {
                org_queue.queued.remove(index);
                self.length -= 1;
                return true;
            }
        }
        false
    }
}
