//! Entries, sidecars, operators, a table and a network that does what it likes.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    billing::{BillRow, BillingEffect, BillingEvent, HOLD_PERIOD},
    gate::{AdmissionRequest, GateEffect, GateEvent, RefusalReason, Work},
    ids::{AttemptId, Incarnation, Permit, RequestId, Revision, VersionId},
    intent::{Reservation, Resolution, StoredReply},
    kernel::{Effect, Input},
    routing::Plan,
    settings::{Action, FollowerEffect, FollowerEvent, Record, SettingsUpdate, State, follower::Origin},
    units::{Cost, Priority, Tokens},
};

use crate::{
    once::{Flow, Stage},
    oracle::{Answered, Oracle},
    parts::{
        ENTRIES, KEYS, Message, NODES, Node, Op, SETTLE_ROUNDS, SIDECARS, STEP, Task, VERSIONS, crew, id, new_node,
        node_id, node_number, tree,
    },
    table::{Fault, Table},
};

/// The whole world.
pub struct World {
    now: Duration,
    table: Table,
    oracle: Oracle,
    nodes: Vec<Node>,
    net: Vec<Message>,
    count: u64,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            table: Table::new(),
            oracle: Oracle::new(),
            nodes: (0..NODES).map(|number| new_node(number, 1)).collect(),
            net: Vec::new(),
            count: 0,
        };
        world.commit(Action::Set { texts: tree(&VERSIONS), base: Revision(0) });
        for node in 0..NODES {
            world.poll(node);
        }
        world
    }

    fn next_count(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    pub fn step(&mut self, op: Op) {
        match op {
            Op::Commit { kind, version } => self.operate(kind, version),
            Op::Poll { node } => self.poll(node as usize % NODES),
            Op::Gossip { from, to } => self.gossip(from as usize % NODES, to as usize % NODES),
            Op::Deliver { at } => self.with_message(at, |world, at| {
                let message = world.net.swap_remove(at);
                world.deliver(message);
            }),
            Op::Duplicate { at } => self.with_message(at, |world, at| {
                let message = world.net[at].clone();
                if !matches!(message, Message::Inserted { .. }) {
                    world.deliver(message);
                }
            }),
            Op::Drop { at } => self.with_message(at, |world, at| {
                // What a process does by itself is not on the network.
                if !matches!(world.net[at], Message::Inserted { .. }) {
                    world.net.swap_remove(at);
                }
            }),
            Op::Restart { node } => self.restart(node as usize % NODES),
            Op::Freeze { entry } => self.nodes[entry as usize % ENTRIES].frozen = true,
            Op::Thaw { entry } => self.nodes[entry as usize % ENTRIES].frozen = false,
            Op::Table { fault } => {
                self.table.fault = [Fault::None, Fault::None, Fault::Down, Fault::Lose][fault as usize % 4];
            }
            Op::Chat { entry, sidecar, version } => {
                self.chat(entry as usize % ENTRIES, ENTRIES + sidecar as usize % SIDECARS, version);
            }
            Op::Call { entry, key } => self.call(entry as usize % ENTRIES, key),
            Op::Step { entry, sidecar } => {
                self.step_flow(entry as usize % ENTRIES, ENTRIES + sidecar as usize % SIDECARS, sidecar as usize);
            }
            Op::Drive { entry, depth } => self.drive(entry as usize % ENTRIES, depth as usize),
            Op::Finish { at } => self.finish(at as usize),
            Op::Leave { sidecar } => self.leave(ENTRIES + sidecar as usize % SIDECARS),
            Op::Advance { steps } => self.advance(STEP * u32::from(steps % 8)),
        }
    }

    fn with_message(&mut self, at: u8, work: impl FnOnce(&mut Self, usize)) {
        if !self.net.is_empty() {
            let at = at as usize % self.net.len();
            work(self, at);
        }
    }

    fn operate(&mut self, kind: u8, version: u8) {
        if self.table.fault == Fault::Down {
            return;
        }
        let version: VersionId = id(VERSIONS[version as usize % VERSIONS.len()]);
        let base = self.oracle.latest().revision;
        self.commit(match kind % 4 {
            0 => Action::Withdraw { version },
            1 => Action::Drain { version },
            2 => Action::Restore { version },
            _ => Action::Set { texts: vec![crew(&[version.as_str()])], base },
        });
    }

    fn commit(&mut self, action: Action) {
        let number = self.next_count();
        let revision = Revision(self.table.records.len() as u64).next();
        let record = Record { revision, change: id(&format!("change-{number}")), author: "fuzz".to_owned(), action };
        self.oracle.accept(&record);
        self.table.records.push(record);
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut effects = Vec::new();
        self.nodes[node].kernel.turn(self.now, input, &mut effects).expect("the kernel takes its inputs");
        for effect in effects {
            self.perform(node, effect);
        }
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Settings(FollowerEffect::Fetch { origin, after }) => self.fetch(node, &origin, after),
            Effect::Publish { state, plan } => self.publish(node, &state, plan),
            Effect::Billing(BillingEffect::Insert(rows)) => self.insert(node, rows),
            Effect::Gate(effect) => self.gate_effect(node, effect),
            Effect::Settings(FollowerEffect::Publish(_)) | Effect::Members => {}
        }
    }

    fn publish(&mut self, node: usize, state: &Arc<State>, plan: Arc<Plan>) {
        let known = &mut self.nodes[node];
        self.oracle.published(state, known.published);
        let first = known.published == Revision::default();
        assert!(!first || state.revision >= known.seen_first, "a fresh instance served settings older than it knew of");
        known.published = state.revision;
        known.plan = Some(plan);
    }

    fn poll(&mut self, node: usize) {
        if self.nodes[node].frozen {
            return;
        }
        if self.table.fault == Fault::Down {
            self.input(node, Input::Settings(FollowerEvent::Peers(2)));
            return self.input(node, Input::Settings(FollowerEvent::TableDown));
        }
        let revision = Revision(self.table.records.len() as u64);
        self.seen(node, Origin::Table, revision);
    }

    fn seen(&mut self, node: usize, origin: Origin, revision: Revision) {
        let known = &mut self.nodes[node];
        if known.published == Revision::default() {
            known.seen_first = known.seen_first.max(revision);
        }
        self.input(node, Input::Settings(FollowerEvent::Seen { origin, revision }));
    }

    fn fetch(&mut self, node: usize, origin: &Origin, after: Revision) {
        let snapshot = match origin {
            Origin::Table if self.table.fault == Fault::Down => None,
            Origin::Table => Some(SettingsUpdate::Records(self.table.records[after.0 as usize..].to_vec())),
            Origin::Peer(peer) => {
                let follower = self.nodes[node_number(peer)].kernel.settings();
                let whole = self.count.is_multiple_of(2);
                follower.map(|known| {
                    if whole { SettingsUpdate::Whole(Arc::clone(known.state())) } else { known.update_since(after) }
                })
            }
        };
        match snapshot {
            Some(snapshot) => self.net.push(Message::Snapshot { to: node, snapshot }),
            None => self.input(node, Input::Settings(FollowerEvent::Failed)),
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let revision = self.nodes[from].published;
        if from != to && !self.nodes[from].frozen {
            self.net.push(Message::Seen { to, from, revision });
        }
    }

    fn restart(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        self.nodes[node] = new_node(node, life);
        if node >= ENTRIES {
            return;
        }
        // Its connections break: sidecars see that nobody listens to chats and to calls that don't run yet.
        for sidecar in ENTRIES..NODES {
            let lost = |task: &Task| task.entry == node && (!task.running || matches!(task.ask.work, Work::Version(_)));
            let lost: Vec<AttemptId> = self.nodes[sidecar]
                .tasks
                .values()
                .filter(|task| lost(task))
                .map(|task| task.ask.attempt.clone())
                .collect();
            for attempt in lost {
                self.abandon(sidecar, &attempt);
            }
        }
    }

    fn abandon(&mut self, sidecar: usize, attempt: &AttemptId) {
        if let Some(task) = self.nodes[sidecar].tasks.remove(attempt) {
            if task.ask.two_step {
                self.nodes[sidecar].calls.cancel(attempt, self.now);
            }
            self.input(sidecar, Input::Gate(GateEvent::Abandon { attempt: attempt.clone() }));
        }
    }

    fn ask(&mut self, entry: usize, sidecar: usize, request: &str, attempt: &AttemptId, work: Work) {
        let two_step = matches!(work, Work::Service(_));
        let ask = AdmissionRequest {
            attempt: attempt.clone(),
            org: id("vans"),
            branch: id("crew"),
            work,
            priority: Priority::ALL[self.count as usize % 3],
            cost: 10,
            max_wait: Duration::from_secs(5),
            two_step,
            resumed: self.count.is_multiple_of(5),
            isolated: self.count.is_multiple_of(7),
        };
        let life = self.nodes[sidecar].life;
        self.net.push(Message::Ask { from: entry, to: sidecar, life, request: id(request), ask });
    }

    fn chat(&mut self, entry: usize, sidecar: usize, version: u8) {
        let version: VersionId = id(VERSIONS[version as usize % VERSIONS.len()]);
        let Some(plan) = self.nodes[entry].plan.clone() else { return };
        if self.nodes[entry].frozen || plan.check_version(&id("crew"), &id("vans"), &version).is_err() {
            return;
        }
        let number = self.next_count();
        let attempt = id(&format!("chat-{number}.1"));
        self.ask(entry, sidecar, &format!("chat-{number}"), &attempt, Work::Version(version));
    }

    fn call(&mut self, entry: usize, key: u8) {
        if self.nodes[entry].frozen || self.nodes[entry].plan.is_none() {
            return;
        }
        let number = self.next_count();
        let key = format!("loan-{}", key % KEYS);
        let attempt = id(&format!("{key}.{number}"));
        self.nodes[entry].flows.push(Flow { key, attempt, stage: Stage::Read });
    }

    fn step_flow(&mut self, entry: usize, sidecar: usize, pick: usize) {
        let node = &mut self.nodes[entry];
        if node.frozen || node.flows.is_empty() {
            return;
        }
        let at = pick % node.flows.len();
        node.flows[at].step(&mut self.table);
        let flow = node.flows[at].clone();
        match flow.stage {
            Stage::Place { before } => {
                let attempt: AttemptId = id(&format!("{}.{}", flow.key, self.next_count()));
                let flow = &mut self.nodes[entry].flows[at];
                flow.stage = Stage::Placing { before };
                flow.attempt = attempt.clone();
                let key = flow.key.clone();
                self.ask(entry, sidecar, &key, &attempt, Work::Service(id("ledger")));
            }
            Stage::Go { reservation } => {
                self.nodes[entry].flows[at].stage = Stage::Over;
                let (to, permit) = (node_number(&reservation.sidecar), reservation.permit);
                self.net.push(Message::Go { to, attempt: flow.attempt, permit });
            }
            Stage::Resolve { reservation, version } => {
                let about = reservation.attempt.clone();
                self.nodes[entry].flows[at].stage = Stage::Resolving { version, about };
                let to = node_number(&reservation.sidecar);
                self.net.push(Message::ResolveAsk { from: entry, to, reservation });
            }
            _ => {}
        }
    }

    // Takes several steps of one call without other events between them.
    fn drive(&mut self, entry: usize, depth: usize) {
        for _ in 0..depth % 12 {
            self.step_flow(entry, ENTRIES + depth % SIDECARS, depth);
            if let Some(message) = self.net.pop() {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Seen { to, .. }
            | Message::Snapshot { to, .. }
            | Message::Ask { to, .. }
            | Message::Go { to, .. }
            | Message::Effect { to, .. }
            | Message::Finished { to, .. }
            | Message::Inserted { to, .. }
            | Message::Settled { to, .. }
            | Message::ResolveAsk { to, .. }
            | Message::ResolveReply { to, .. } => *to,
        };
        if self.nodes[to].frozen {
            return self.net.push(message);
        }
        match message {
            Message::Seen { from, revision, .. } => self.seen(to, Origin::Peer(node_id(from)), revision),
            Message::Snapshot { snapshot, .. } => {
                self.input(to, Input::Settings(FollowerEvent::Fetched(snapshot)));
            }
            // A connection doesn't outlive the process at its end.
            Message::Ask { life, .. } if life != self.nodes[to].life => {}
            Message::Ask { from, request, ask, .. } => self.take_ask(to, from, request, ask),
            Message::Go { attempt, permit, .. } => self.take_go(to, attempt, permit),
            Message::Effect { effect, sidecar, life, .. } => self.take_effect(to, effect, sidecar, life),
            Message::Finished { row, sidecar, life, .. } => {
                self.oracle.answered.push(Answered {
                    request: row.request.clone(),
                    entry: to,
                    entry_life: self.nodes[to].life,
                    sidecar,
                    sidecar_life: life,
                });
                self.nodes[to].holders.insert(row.request.clone(), sidecar);
                self.input(to, Input::Billing(BillingEvent::Add(row)));
            }
            Message::Inserted { life, .. } if life != self.nodes[to].life => {}
            Message::Inserted { rows, stored, .. } => self.inserted(to, rows, stored),
            Message::Settled { requests, .. } => self.input(to, Input::Billing(BillingEvent::Settled(requests))),
            Message::ResolveAsk { from, reservation, .. } => {
                let known = reservation.incarnation == Incarnation(self.nodes[to].life);
                let calls = &mut self.nodes[to].calls;
                let word = if known { calls.resolve(&reservation.attempt, self.now) } else { Resolution::Unknown };
                self.net.push(Message::ResolveReply { to: from, about: reservation.attempt, word });
            }
            Message::ResolveReply { about, word, .. } => {
                for flow in &mut self.nodes[to].flows {
                    flow.resolved(&about, &word);
                }
            }
        }
    }

    fn take_ask(&mut self, sidecar: usize, entry: usize, request: RequestId, ask: AdmissionRequest) {
        let task = Task { request, entry, ask: ask.clone(), running: false };
        self.nodes[sidecar].tasks.entry(ask.attempt.clone()).or_insert(task);
        self.input(sidecar, Input::Gate(GateEvent::Ask(ask)));
    }

    fn take_go(&mut self, sidecar: usize, attempt: AttemptId, permit: Permit) {
        if self.nodes[sidecar].calls.start(&attempt) {
            self.input(sidecar, Input::Gate(GateEvent::Go { attempt, permit }));
        } else {
            self.abandon(sidecar, &attempt);
        }
    }

    fn gate_effect(&mut self, sidecar: usize, effect: GateEffect) {
        let now = self.now;
        let node = &mut self.nodes[sidecar];
        let (attempt, refused) = match &effect {
            GateEffect::Refuse { attempt, refusal } => (attempt, refusal.reason != RefusalReason::Repeated),
            GateEffect::Reserve { attempt, .. } | GateEffect::Start { attempt } | GateEffect::Stop { attempt } => {
                (attempt, false)
            }
        };
        let Some(task) = node.tasks.get_mut(attempt) else { return };
        let entry = task.entry;
        match &effect {
            GateEffect::Start { .. } => {
                task.running = true;
                match &task.ask.work {
                    Work::Version(version) => self.oracle.started(attempt, version, node.published, node.leaving),
                    Work::Service(_) => self.oracle.called(attempt, task.request.as_str()),
                }
            }
            GateEffect::Reserve { .. } => node.calls.reserve(attempt, now),
            GateEffect::Refuse { .. } if refused => {
                self.oracle.refused(attempt);
                if task.ask.two_step {
                    node.calls.mark_not_run(attempt, now);
                }
                node.tasks.remove(attempt);
            }
            _ => {}
        }
        let life = self.nodes[sidecar].life;
        self.net.push(Message::Effect { to: entry, effect, sidecar, life });
    }

    fn take_effect(&mut self, entry: usize, effect: GateEffect, sidecar: usize, life: u64) {
        let GateEffect::Reserve { attempt, permit } = effect else { return };
        let flow = self.nodes[entry].flows.iter_mut().find(|flow| flow.attempt == attempt);
        let Some(flow) = flow else { return };
        if let Stage::Placing { before } = flow.stage {
            let incarnation = Incarnation(life);
            let reservation = Reservation { attempt, sidecar: node_id(sidecar), incarnation, permit };
            flow.stage = Stage::Store { reservation, before };
        }
    }

    fn finish(&mut self, pick: usize) {
        let running: Vec<(usize, AttemptId)> = (ENTRIES..NODES)
            .flat_map(|node| {
                self.nodes[node]
                    .tasks
                    .values()
                    .filter(|task| task.running)
                    .map(move |task| (node, task.ask.attempt.clone()))
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let mut running = running;
        running.sort();
        let (sidecar, attempt) = running[pick % running.len()].clone();
        let Some(task) = self.nodes[sidecar].tasks.remove(&attempt) else { return };
        match &task.ask.work {
            Work::Version(version) => self.finish_chat(sidecar, &task, version.clone()),
            Work::Service(_) => {
                let reply = StoredReply { status: 200, content: String::new(), body: Vec::new() };
                self.nodes[sidecar].calls.finish(&attempt, Some(reply), self.now);
            }
        }
        self.input(sidecar, Input::Gate(GateEvent::Finish { attempt }));
    }

    fn finish_chat(&mut self, sidecar: usize, task: &Task, version: VersionId) {
        let row = BillRow {
            request: task.request.clone(),
            org: task.ask.org.clone(),
            version,
            priority: task.ask.priority,
            prompt: Tokens(1),
            output: Tokens(1),
            cost: Cost(1),
            attempts: 1,
        };
        let life = self.nodes[sidecar].life;
        self.input(sidecar, Input::Billing(BillingEvent::Hold { row: row.clone(), period: HOLD_PERIOD }));
        self.net.push(Message::Finished { to: task.entry, row, sidecar, life });
    }

    fn insert(&mut self, node: usize, rows: Vec<BillRow>) {
        let stored = self.table.insert_bills(&rows).is_ok();
        let life = self.nodes[node].life;
        self.net.push(Message::Inserted { to: node, life, rows, stored });
    }

    fn inserted(&mut self, node: usize, rows: Vec<BillRow>, stored: bool) {
        let event = if stored { BillingEvent::Stored } else { BillingEvent::Failed };
        self.input(node, Input::Billing(event));
        if stored {
            for row in rows {
                if let Some(to) = self.nodes[node].holders.remove(&row.request) {
                    self.net.push(Message::Settled { to, requests: vec![row.request] });
                }
            }
        }
    }

    fn leave(&mut self, sidecar: usize) {
        self.nodes[sidecar].leaving = true;
        self.input(sidecar, Input::Gate(GateEvent::Leave));
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for node in 0..NODES {
            if !self.nodes[node].frozen {
                self.input(node, Input::Tick);
            }
        }
    }

    /// Checks what holds between steps.
    pub fn check(&self) {
        for node in &self.nodes {
            let state = node.kernel.settings().map_or(Revision::default(), |follower| follower.state().revision);
            assert!(node.published <= state, "more is in force than is known");
        }
    }

    /// Lets all faults end and all that is on its way arrive.
    pub fn settle(&mut self) {
        self.table.fault = Fault::None;
        for _ in 0..SETTLE_ROUNDS {
            for node in 0..NODES {
                self.nodes[node].frozen = false;
                self.poll(node);
            }
            for message in std::mem::take(&mut self.net) {
                self.deliver(message);
            }
            self.advance(Duration::from_secs(1));
        }
        for node in &self.nodes {
            assert_eq!(node.published, self.oracle.latest().revision, "all are current once faults end");
        }
    }

    /// Checks that each answered chat is billed, unless both who held its row began anew.
    pub fn check_bills(&self) {
        for chat in &self.oracle.answered {
            let entry_lost = self.nodes[chat.entry].life != chat.entry_life;
            let sidecar_lost = self.nodes[chat.sidecar].life != chat.sidecar_life;
            let billed = self.table.bills.contains_key(&chat.request);
            assert!(billed || entry_lost && sidecar_lost, "{} was answered and not billed", chat.request);
        }
    }
}
