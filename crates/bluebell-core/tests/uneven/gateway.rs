//! A gateway that sees its own requests, the responses to them, and now and then what the other gateways have sent.

use std::time::Duration;

use bluebell_core::{
    placing::{Candidate, Capacity, Load, PartCache, Report, RequestProfile, UsualSpeed, pick},
    units::Tokens,
};
use indexmap::IndexMap;
use rand::rngs::StdRng;

use crate::engine::Task;

/// Time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_millis(3500);
const MEMORY: Tokens = Tokens(439_036);

#[derive(Default)]
struct Upstream {
    load: Load,
    parts: PartCache,
    capacity: Capacity,
    // Ends of the idle connections.
    idle: Vec<Duration>,
}

struct Sent {
    upstream: usize,
    prefill: Tokens,
    queued: Tokens,
    at: Duration,
    first: Duration,
    kind: &'static str,
    tokens: f64,
}

/// A gateway.
pub struct Gateway {
    knows_speed: bool,
    upstreams: Vec<Upstream>,
    usual: UsualSpeed,
    sent: IndexMap<usize, Sent>,
    pub sends: f64,
    pub connects: f64,
    /// Times to the first event, in milliseconds.
    pub waits: Vec<f64>,
}

impl Gateway {
    pub fn new(upstreams: usize, knows_speed: bool) -> Self {
        Self {
            knows_speed,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            usual: UsualSpeed::default(),
            sent: IndexMap::new(),
            sends: 0.0,
            connects: 0.0,
            waits: Vec::new(),
        }
    }

    /// Chooses an upstream for a request and sends it.
    pub fn send(&mut self, now: Duration, task: &Task, kind: &'static str, random: &mut StdRng) -> usize {
        let knows_speed = self.knows_speed;
        let shared: f64 = task.shared.iter().map(|part| part.tokens.0 as f64).sum();
        let profile = RequestProfile {
            key: task.shared.last().map(|part| format!("{}/{}", task.model, part.id)),
            prompt: shared + task.own,
            shared,
            weight: task.weight,
            rate: knows_speed.then(|| self.usual.rate()),
        };
        let candidate = |(at, upstream): (usize, &Upstream)| {
            let load = upstream.load.estimate(now);
            Candidate {
                name: format!("engine-{at}"),
                requests: load.requests,
                slots: 64.0,
                pending_prefill: load.pending_prefill,
                cached: upstream.parts.cached(&task.model, &task.shared).0 as f64,
                failure_rate: 0.0,
                other_zone: false,
                cold: false,
                speed: if knows_speed { upstream.capacity.speed(now) } else { 1.0 },
                has_connection: knows_speed && upstream.idle.iter().any(|end| *end > now),
                average: if knows_speed { load.average } else { 0.0 },
            }
        };
        let candidates: Vec<Candidate> = self.upstreams.iter().enumerate().map(candidate).collect();
        let at = pick(&profile, &candidates, random).expect("a choice");
        let upstream = &mut self.upstreams[at];
        upstream.idle.retain(|end| *end > now);
        self.sends += 1.0;
        self.connects += f64::from(u8::from(upstream.idle.pop().is_none()));
        let prefill = Tokens(((shared - candidates[at].cached + task.own) * task.weight) as u64);
        let queued = Tokens(upstream.load.pending_prefill(now) as u64);
        upstream.load.start_request(prefill);
        upstream.parts.insert(now, &task.model, &task.shared, MEMORY);
        let sent = Sent { upstream: at, prefill, queued, at: now, first: now, kind, tokens: task.tokens };
        self.sent.insert(task.id, sent);
        at
    }

    /// Receives the first event of an answer.
    pub fn receive_first(&mut self, now: Duration, id: usize, report: Report) {
        let sent = self.sent.get_mut(&id).expect("sent");
        let upstream = &mut self.upstreams[sent.upstream];
        sent.first = now;
        upstream.load.finish_prefill(sent.prefill);
        upstream.load.apply_report(now, report);
        report.slowdown.into_iter().for_each(|slowdown| upstream.capacity.record_report(now, slowdown));
        upstream.capacity.record_head(now, &mut self.usual, sent.prefill, sent.queued, now - sent.at);
        self.waits.push((now - sent.at).as_secs_f64() * 1000.0);
    }

    /// Receives the end of an answer.
    pub fn receive_last(&mut self, now: Duration, id: usize) {
        let sent = self.sent.swap_remove(&id).expect("sent");
        let upstream = &mut self.upstreams[sent.upstream];
        upstream.load.finish_request();
        upstream.idle.push(now + IDLE_TIME);
        upstream.capacity.record_events(&mut self.usual, sent.kind, sent.tokens as u64, now - sent.first);
    }

    /// Load that this gateway has at an upstream.
    pub fn load(&self, at: usize) -> (u32, u64) {
        let load = &self.upstreams[at].load;
        (load.own_requests(), load.own_pending_prefill().0)
    }

    /// Learns the load of the others.
    pub fn apply_peers(&mut self, now: Duration, at: usize, (requests, prefill): (u32, u64)) {
        let (own, own_prefill) = self.load(at);
        let load = &mut self.upstreams[at].load;
        load.apply_peer_load(now, requests - own, Tokens(prefill - own_prefill));
    }

    /// Mean speed that was learnt of an upstream.
    pub fn mean_speed(&self, at: usize) -> f64 {
        self.upstreams[at].capacity.mean_speed()
    }
}
