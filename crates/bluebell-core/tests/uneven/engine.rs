//! An engine that alternates chunks of prompts with steps of its streams, on a machine of its own speed.

use std::{collections::VecDeque, time::Duration};

use bluebell_core::{
    ids::{ModelId, PartId},
    placing::{Part, PartCache, Report},
    units::{Slowdown, Tokens},
};

/// Tokens per millisecond of an engine of speed 1.
const PREFILL_PER_MS: f64 = 92.1;
/// Time of a step without prompts, in milliseconds.
const STEP_MS: f64 = 3.03;
/// Most prompt tokens of a step, weighted.
const CHUNK: f64 = 2048.0;
/// Share of a step that a generated token counts in the work, in milliseconds.
const TOKEN_WORK_MS: f64 = 0.4;
/// Memory for prompts, in tokens.
const MEMORY: Tokens = Tokens(439_036);

/// A request, as an engine sees it.
#[derive(Clone)]
pub struct Task {
    pub gateway: usize,
    pub id: usize,
    pub model: ModelId,
    pub shared: Vec<Part>,
    pub own: f64,
    pub weight: f64,
    pub tokens: f64,
}

/// What a gateway receives of a request.
pub enum Event {
    First { gateway: usize, id: usize, report: Report },
    Last { gateway: usize, id: usize },
}

struct Stream {
    gateway: usize,
    id: usize,
    left: f64,
}

/// An engine.
pub struct Engine {
    pub speed: f64,
    pub slowdown: f64,
    /// Work done, in milliseconds of an engine of speed 1.
    pub work: f64,
    pub cached: f64,
    cache: PartCache,
    busy_until: f64,
    prompts: VecDeque<(Task, f64)>,
    streams: Vec<Stream>,
}

impl Engine {
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            slowdown: 1.0,
            work: 0.0,
            cached: 0.0,
            cache: PartCache::default(),
            busy_until: 0.0,
            prompts: VecDeque::new(),
            streams: Vec::new(),
        }
    }

    /// Accepts a request.
    pub fn accept(&mut self, now: Duration, task: Task) {
        let shared: u64 = task.shared.iter().map(|part| part.tokens.0).sum();
        let cached = self.cache.cached(&task.model, &task.shared).0;
        self.cached += cached as f64;
        let mut parts = task.shared.clone();
        let id: PartId = format!("own-{}-{}", task.gateway, task.id).parse().expect("id");
        parts.push(Part { id, tokens: Tokens(task.own as u64) });
        self.cache.insert(now, &task.model, &parts, MEMORY);
        let prefill = ((shared - cached) as f64 + task.own) * task.weight;
        self.work += prefill / PREFILL_PER_MS + TOKEN_WORK_MS * task.tokens;
        self.prompts.push_back((task, prefill));
    }

    fn report(&self) -> Report {
        Report {
            running: (self.prompts.len() + self.streams.len()) as u32,
            waiting: 0,
            slots: 64,
            slowdown: Slowdown::from_percent(100.0 * self.slowdown),
        }
    }

    /// Runs until a time, in milliseconds.
    pub fn run(&mut self, from: f64, to: f64, events: &mut Vec<Event>) {
        self.busy_until = self.busy_until.max(from);
        while self.busy_until < to && (!self.prompts.is_empty() || !self.streams.is_empty()) {
            let mut room = CHUNK;
            let mut started = Vec::new();
            while room > 0.0
                && let Some((_, left)) = self.prompts.front_mut()
            {
                let chunk = left.min(room);
                *left -= chunk;
                room -= chunk;
                if *left > 0.0 {
                    break;
                }
                started.extend(self.prompts.pop_front().map(|(task, _)| task));
            }
            self.busy_until += (STEP_MS + (CHUNK - room) / PREFILL_PER_MS) * self.slowdown / self.speed;
            self.streams.iter_mut().for_each(|stream| stream.left -= 1.0);
            let ended = self.streams.extract_if(.., |stream| stream.left <= 0.0);
            events.extend(ended.map(|stream| Event::Last { gateway: stream.gateway, id: stream.id }));
            for task in started {
                self.streams.push(Stream { gateway: task.gateway, id: task.id, left: task.tokens });
                events.push(Event::First { gateway: task.gateway, id: task.id, report: self.report() });
            }
        }
    }
}
