//! Order in which waiting attempts get a place: by rank, with a floor for each lower rank, and fair between
//! organisations inside a rank by virtual time, where an organisation's clock advances by the cost of its work.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::Ask;
use crate::{
    ids::{AttemptId, OrgId},
    units::Priority,
};

/// Share of the work started that each rank gets at least while it waits, highest rank first.
pub const FLOORS: [f64; Priority::ALL.len()] = [0.0, 0.10, 0.05];
/// Weight of the newest sample in averages.
const SMOOTHING: f64 = 0.1;
/// Work over which the floors are reckoned, in tokens.
const FLOOR_WINDOW: f64 = 20_000.0;
/// Service time assumed before any was seen.
const FIRST_GUESS: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct Waiting {
    attempt: AttemptId,
    cost: u64,
}

#[derive(Debug, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    clock: f64,
}

#[derive(Debug, Default)]
struct Rank {
    lines: IndexMap<OrgId, Line>,
    clock: f64,
    started: f64,
    length: usize,
}

/// An attempt whose turn it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether it goes before a higher rank, by the floor of its own.
    pub by_floor: bool,
}

/// Attempts that wait for a place.
#[derive(Debug)]
pub struct Queue {
    ranks: [Rank; Priority::ALL.len()],
    service: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self { ranks: Default::default(), service: FIRST_GUESS.as_secs_f64() }
    }
}

impl Queue {
    /// Number of attempts waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lengths().iter().sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Attempts waiting by rank, highest first.
    #[must_use]
    pub fn lengths(&self) -> [usize; Priority::ALL.len()] {
        std::array::from_fn(|at| self.ranks[at].length)
    }

    /// Adds an attempt.
    pub fn push(&mut self, ask: &Ask) {
        let rank = &mut self.ranks[ask.priority.index()];
        let floor = rank.clock;
        let line = rank.lines.entry(ask.org.clone()).or_default();
        if line.waiting.is_empty() {
            line.clock = line.clock.max(floor);
        }
        line.waiting.push_back(Waiting { attempt: ask.attempt.clone(), cost: ask.cost.max(1) });
        rank.length += 1;
    }

    /// Takes the attempt whose turn it is.
    pub fn pop(&mut self) -> Option<Turn> {
        let (at, by_floor) = self.next_rank()?;
        let next = self.ranks[at].pop()?;
        let cost = next.cost as f64;
        let keep = (1.0 - cost / FLOOR_WINDOW).max(0.0);
        for rank in &mut self.ranks {
            rank.started *= keep;
        }
        self.ranks[at].started += cost;
        Some(Turn { attempt: next.attempt, by_floor })
    }

    fn next_rank(&self) -> Option<(usize, bool)> {
        let total: f64 = self.ranks.iter().map(|rank| rank.started).sum();
        let waits = |at: &usize| self.ranks[*at].length > 0;
        let starved = |at: &usize| total > 0.0 && self.ranks[*at].started < FLOORS[*at] * total;
        let all = || (0..self.ranks.len()).filter(waits);
        let first = all().next()?;
        let floor = all().find(starved).filter(|at| *at != first);
        Some((floor.unwrap_or(first), floor.is_some()))
    }

    /// Removes an attempt that no longer waits.
    pub fn remove(&mut self, attempt: &AttemptId) {
        for rank in &mut self.ranks {
            if rank.remove(attempt) {
                return;
            }
        }
    }

    /// Takes note of how long an attempt held its place.
    pub fn record_service(&mut self, time: Duration) {
        self.service += SMOOTHING * (time.as_secs_f64() - self.service);
    }

    /// Time that a new attempt of an organisation and rank would wait for one of so many places.
    #[must_use]
    pub fn expected_wait(&self, org: &OrgId, priority: Priority, slots: usize) -> Duration {
        let at = priority.index();
        let higher: usize = self.ranks[..at].iter().map(|rank| rank.length).sum();
        let ahead = higher + self.ranks[at].ahead_of(org);
        let lower: usize = self.ranks[at + 1..].iter().map(|rank| rank.length).sum();
        let floor_share: f64 = if lower > 0 { FLOORS[at + 1..].iter().sum() } else { 0.0 };
        let own_share = if at > 0 && higher > 0 { FLOORS[at].max(0.01) } else { 1.0 };
        let by_order = (ahead + 1) as f64 / (1.0 - floor_share);
        let by_floor = (self.ranks[at].ahead_of(org) + 1) as f64 / own_share;
        Duration::from_secs_f64(by_order.min(by_floor) * self.service / slots.max(1) as f64)
    }
}

impl Rank {
    // Between organisations the turn goes round, so one that has little waiting is soon served.
    fn ahead_of(&self, org: &OrgId) -> usize {
        let waits = |line: &&Line| !line.waiting.is_empty();
        let own = self.lines.get(org).map_or(0, |line| line.waiting.len());
        let others = self.lines.iter().filter(|(id, line)| *id != org && waits(line)).count();
        self.length.min((own + 1) * (others + 1) - 1)
    }

    fn pop(&mut self) -> Option<Waiting> {
        let waits = self.lines.iter_mut().filter(|(_, line)| !line.waiting.is_empty());
        let (_, line) = waits.min_by(|a, b| a.1.clock.total_cmp(&b.1.clock))?;
        let next = line.waiting.pop_front()?;
        self.clock = line.clock;
        line.clock += next.cost as f64;
        self.length -= 1;
        if self.length == 0 {
            self.lines.clear();
            self.clock = 0.0;
        }
        Some(next)
    }

    fn remove(&mut self, attempt: &AttemptId) -> bool {
        for line in self.lines.values_mut() {
            if let Some(at) = line.waiting.iter().position(|waiting| waiting.attempt == *attempt) {
                line.waiting.remove(at);
                self.length -= 1;
                return true;
            }
        }
        false
    }
}
