//! The simulated world: entries, sidecars, operators, a table and an unreliable network.

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
    model::{
        CONVERGENCE_ROUNDS, ENTRIES, IDEMPOTENCY_KEYS, MODEL_VERSIONS, Message, NODES, Node, Op, SIDECARS, TIME_STEP,
        Task, crew_branch, new_node, node_id, node_index, parse_id, settings_tree,
    },
    oracle::{AnsweredChat, Oracle},
    pending_call::{PendingCall, Stage},
    table::{Fault, Table},
};

/// State of the simulation.
pub struct World {
    now: Duration,
    table: Table,
    oracle: Oracle,
    nodes: Vec<Node>,
    // Messages in transit, delivered in any order.
    network: Vec<Message>,
    // Last number given to a change, chat or call. It also varies priorities and flags without random draws.
    sequence: u64,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            table: Table::new(),
            oracle: Oracle::new(),
            nodes: (0..NODES).map(|index| new_node(index, 1)).collect(),
            network: Vec::new(),
            sequence: 0,
        };
        world.commit(Action::Set { texts: settings_tree(&MODEL_VERSIONS), base: Revision(0) });
        for node in 0..NODES {
            world.poll(node);
        }
        world
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    pub fn step(&mut self, op: Op) {
        match op {
            Op::ChangeSettings { kind, version } => self.change_settings(kind, version),
            Op::PollTable { node } => self.poll(node as usize % NODES),
            Op::Gossip { from, to } => self.gossip(from as usize % NODES, to as usize % NODES),
            Op::Deliver { index } => self.with_message(index, |world, index| {
                let message = world.network.swap_remove(index);
                world.deliver(message);
            }),
            Op::Duplicate { index } => self.with_message(index, |world, index| {
                let message = world.network[index].clone();
                if !matches!(message, Message::BillsInserted { .. }) {
                    world.deliver(message);
                }
            }),
            Op::Drop { index } => self.with_message(index, |world, index| {
                // The result of a node's own write is not a network message and can't be lost.
                if !matches!(world.network[index], Message::BillsInserted { .. }) {
                    world.network.swap_remove(index);
                }
            }),
            Op::Restart { node } => self.restart(node as usize % NODES),
            Op::Freeze { entry } => self.nodes[entry as usize % ENTRIES].frozen = true,
            Op::Thaw { entry } => self.nodes[entry as usize % ENTRIES].frozen = false,
            Op::SetTableFault { fault } => {
                self.table.fault = [Fault::None, Fault::None, Fault::Down, Fault::LoseResponses][fault as usize % 4];
            }
            Op::StartChat { entry, sidecar, version } => {
                self.start_chat(entry as usize % ENTRIES, ENTRIES + sidecar as usize % SIDECARS, version);
            }
            Op::StartCall { entry, key } => self.start_call(entry as usize % ENTRIES, key),
            Op::AdvanceCall { entry, sidecar } => {
                self.advance_call(entry as usize % ENTRIES, ENTRIES + sidecar as usize % SIDECARS, sidecar as usize);
            }
            Op::RunCall { entry, steps } => self.run_call(entry as usize % ENTRIES, steps as usize),
            Op::FinishWork { index } => self.finish_work(index as usize),
            Op::Leave { sidecar } => self.leave(ENTRIES + sidecar as usize % SIDECARS),
            Op::AdvanceTime { steps } => self.advance_time(TIME_STEP * u32::from(steps % 8)),
        }
    }

    fn with_message(&mut self, index: u8, action: impl FnOnce(&mut Self, usize)) {
        if !self.network.is_empty() {
            let index = index as usize % self.network.len();
            action(self, index);
        }
    }

    fn change_settings(&mut self, kind: u8, version: u8) {
        if self.table.fault == Fault::Down {
            return;
        }
        let version: VersionId = parse_id(MODEL_VERSIONS[version as usize % MODEL_VERSIONS.len()]);
        let base = self.oracle.latest().revision;
        self.commit(match kind % 4 {
            0 => Action::Withdraw { version },
            1 => Action::Drain { version },
            2 => Action::Restore { version },
            _ => Action::Set { texts: vec![crew_branch(&[version.as_str()])], base },
        });
    }

    fn commit(&mut self, action: Action) {
        let number = self.next_sequence();
        let revision = Revision(self.table.records.len() as u64).next();
        let record =
            Record { revision, change: parse_id(&format!("change-{number}")), author: "fuzz".to_owned(), action };
        self.oracle.record_change(&record);
        self.table.records.push(record);
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut effects = Vec::new();
        self.nodes[node].kernel.turn(self.now, input, &mut effects).expect("the kernel accepts every input");
        for effect in effects {
            self.perform_effect(node, effect);
        }
    }

    fn perform_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Settings(FollowerEffect::Fetch { origin, after }) => self.fetch(node, &origin, after),
            Effect::Publish { state, plan } => self.publish(node, &state, plan),
            Effect::Billing(BillingEffect::Insert(rows)) => self.insert_bills(node, rows),
            Effect::Gate(effect) => self.perform_gate_effect(node, effect),
            Effect::Settings(FollowerEffect::Publish(_)) | Effect::Members => {}
        }
    }

    fn publish(&mut self, node: usize, state: &Arc<State>, plan: Arc<Plan>) {
        let instance = &mut self.nodes[node];
        self.oracle.check_published(state, instance.published);
        let first = instance.published == Revision::default();
        assert!(
            !first || state.revision >= instance.seen_before_publishing,
            "a restarted instance published settings older than a revision it had seen"
        );
        instance.published = state.revision;
        instance.plan = Some(plan);
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
        self.observe_revision(node, Origin::Table, revision);
    }

    fn observe_revision(&mut self, node: usize, origin: Origin, revision: Revision) {
        let instance = &mut self.nodes[node];
        if instance.published == Revision::default() {
            instance.seen_before_publishing = instance.seen_before_publishing.max(revision);
        }
        self.input(node, Input::Settings(FollowerEvent::Seen { origin, revision }));
    }

    fn fetch(&mut self, node: usize, origin: &Origin, after: Revision) {
        let update = match origin {
            Origin::Table if self.table.fault == Fault::Down => None,
            Origin::Table => Some(SettingsUpdate::Records(self.table.records[after.0 as usize..].to_vec())),
            Origin::Peer(peer) => {
                let follower = self.nodes[node_index(peer)].kernel.settings();
                let send_whole = self.sequence.is_multiple_of(2);
                follower.map(|known| {
                    if send_whole {
                        SettingsUpdate::Whole(Arc::clone(known.state()))
                    } else {
                        known.update_since(after)
                    }
                })
            }
        };
        match update {
            Some(update) => self.network.push(Message::SettingsUpdate { to: node, update }),
            None => self.input(node, Input::Settings(FollowerEvent::Failed)),
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let revision = self.nodes[from].published;
        if from != to && !self.nodes[from].frozen {
            self.network.push(Message::RevisionSeen { to, from, revision });
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = new_node(node, incarnation);
        if node >= ENTRIES {
            return;
        }
        // The connections of the entry break, so sidecars abandon its chats, and its calls that are not running yet.
        for sidecar in ENTRIES..NODES {
            let is_lost =
                |task: &Task| task.entry == node && (!task.running || matches!(task.admission.work, Work::Version(_)));
            let lost: Vec<AttemptId> = self.nodes[sidecar]
                .tasks
                .values()
                .filter(|task| is_lost(task))
                .map(|task| task.admission.attempt.clone())
                .collect();
            for attempt in lost {
                self.abandon(sidecar, &attempt);
            }
        }
    }

    fn abandon(&mut self, sidecar: usize, attempt: &AttemptId) {
        if let Some(task) = self.nodes[sidecar].tasks.remove(attempt) {
            if task.admission.two_step {
                self.nodes[sidecar].calls.cancel(attempt, self.now);
            }
            self.input(sidecar, Input::Gate(GateEvent::Abandon { attempt: attempt.clone() }));
        }
    }

    fn request_admission(&mut self, entry: usize, sidecar: usize, request: &str, attempt: &AttemptId, work: Work) {
        let two_step = matches!(work, Work::Service(_));
        let admission = AdmissionRequest {
            attempt: attempt.clone(),
            org: parse_id("vans"),
            branch: parse_id("crew"),
            work,
            priority: Priority::ALL[self.sequence as usize % 3],
            cost: 10,
            max_wait: Duration::from_secs(5),
            two_step,
            resumed: self.sequence.is_multiple_of(5),
            isolated: self.sequence.is_multiple_of(7),
        };
        let incarnation = self.nodes[sidecar].incarnation;
        self.network.push(Message::Admit {
            from: entry,
            to: sidecar,
            incarnation,
            request: parse_id(request),
            admission,
        });
    }

    fn start_chat(&mut self, entry: usize, sidecar: usize, version: u8) {
        let version: VersionId = parse_id(MODEL_VERSIONS[version as usize % MODEL_VERSIONS.len()]);
        let Some(plan) = self.nodes[entry].plan.clone() else { return };
        if self.nodes[entry].frozen || plan.check_version(&parse_id("crew"), &parse_id("vans"), &version).is_err() {
            return;
        }
        let number = self.next_sequence();
        let attempt = parse_id(&format!("chat-{number}.1"));
        self.request_admission(entry, sidecar, &format!("chat-{number}"), &attempt, Work::Version(version));
    }

    fn start_call(&mut self, entry: usize, key: u8) {
        if self.nodes[entry].frozen || self.nodes[entry].plan.is_none() {
            return;
        }
        let number = self.next_sequence();
        let key = format!("loan-{}", key % IDEMPOTENCY_KEYS);
        let attempt = parse_id(&format!("{key}.{number}"));
        self.nodes[entry].pending_calls.push(PendingCall { key, attempt, stage: Stage::ReadIntent });
    }

    fn advance_call(&mut self, entry: usize, sidecar: usize, index: usize) {
        let node = &mut self.nodes[entry];
        if node.frozen || node.pending_calls.is_empty() {
            return;
        }
        let index = index % node.pending_calls.len();
        node.pending_calls[index].advance(&mut self.table);
        let call = node.pending_calls[index].clone();
        match call.stage {
            Stage::RequestReservation { expected_version } => {
                let attempt: AttemptId = parse_id(&format!("{}.{}", call.key, self.next_sequence()));
                let call = &mut self.nodes[entry].pending_calls[index];
                call.stage = Stage::AwaitReservation { expected_version };
                call.attempt = attempt.clone();
                let key = call.key.clone();
                self.request_admission(entry, sidecar, &key, &attempt, Work::Service(parse_id("ledger")));
            }
            Stage::Start { reservation } => {
                self.nodes[entry].pending_calls[index].stage = Stage::Done;
                let (to, permit) = (node_index(&reservation.sidecar), reservation.permit);
                self.network.push(Message::StartReserved { to, attempt: call.attempt, permit });
            }
            Stage::RequestResolution { reservation, version } => {
                let queried = reservation.attempt.clone();
                self.nodes[entry].pending_calls[index].stage = Stage::AwaitResolution { version, queried };
                let to = node_index(&reservation.sidecar);
                self.network.push(Message::ResolveRequest { from: entry, to, reservation });
            }
            _ => {}
        }
    }

    // Takes several steps of a pending call without other operations between them. After each, the newest message is
    // delivered.
    fn run_call(&mut self, entry: usize, steps: usize) {
        for _ in 0..steps % 12 {
            self.advance_call(entry, ENTRIES + steps % SIDECARS, steps);
            if let Some(message) = self.network.pop() {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::RevisionSeen { to, .. }
            | Message::SettingsUpdate { to, .. }
            | Message::Admit { to, .. }
            | Message::StartReserved { to, .. }
            | Message::GateEffect { to, .. }
            | Message::ChatFinished { to, .. }
            | Message::BillsInserted { to, .. }
            | Message::BillsSettled { to, .. }
            | Message::ResolveRequest { to, .. }
            | Message::ResolveResponse { to, .. } => *to,
        };
        if self.nodes[to].frozen {
            return self.network.push(message);
        }
        match message {
            Message::RevisionSeen { from, revision, .. } => {
                self.observe_revision(to, Origin::Peer(node_id(from)), revision);
            }
            Message::SettingsUpdate { update, .. } => {
                self.input(to, Input::Settings(FollowerEvent::Fetched(update)));
            }
            // The connection to an earlier incarnation is closed.
            Message::Admit { incarnation, .. } if incarnation != self.nodes[to].incarnation => {}
            Message::Admit { from, request, admission, .. } => {
                self.handle_admission_request(to, from, request, admission);
            }
            Message::StartReserved { attempt, permit, .. } => self.handle_start(to, attempt, permit),
            Message::GateEffect { effect, sidecar, incarnation, .. } => {
                self.handle_gate_effect(to, effect, sidecar, incarnation);
            }
            Message::ChatFinished { row, sidecar, incarnation, .. } => {
                self.oracle.answered_chats.push(AnsweredChat {
                    request: row.request.clone(),
                    entry: to,
                    entry_incarnation: self.nodes[to].incarnation,
                    sidecar,
                    sidecar_incarnation: incarnation,
                });
                self.nodes[to].bill_holders.insert(row.request.clone(), sidecar);
                self.input(to, Input::Billing(BillingEvent::Add(row)));
            }
            Message::BillsInserted { incarnation, .. } if incarnation != self.nodes[to].incarnation => {}
            Message::BillsInserted { rows, stored, .. } => self.handle_insert_result(to, rows, stored),
            Message::BillsSettled { requests, .. } => self.input(to, Input::Billing(BillingEvent::Settled(requests))),
            Message::ResolveRequest { from, reservation, .. } => {
                let known = reservation.incarnation == Incarnation(self.nodes[to].incarnation);
                let calls = &mut self.nodes[to].calls;
                let resolution =
                    if known { calls.resolve(&reservation.attempt, self.now) } else { Resolution::Unknown };
                self.network.push(Message::ResolveResponse { to: from, attempt: reservation.attempt, resolution });
            }
            Message::ResolveResponse { attempt, resolution, .. } => {
                for call in &mut self.nodes[to].pending_calls {
                    call.handle_resolution(&attempt, &resolution);
                }
            }
        }
    }

    fn handle_admission_request(
        &mut self,
        sidecar: usize,
        entry: usize,
        request: RequestId,
        admission: AdmissionRequest,
    ) {
        let task = Task { request, entry, admission: admission.clone(), running: false };
        self.nodes[sidecar].tasks.entry(admission.attempt.clone()).or_insert(task);
        self.input(sidecar, Input::Gate(GateEvent::Ask(admission)));
    }

    fn handle_start(&mut self, sidecar: usize, attempt: AttemptId, permit: Permit) {
        if self.nodes[sidecar].calls.start(&attempt) {
            self.input(sidecar, Input::Gate(GateEvent::Go { attempt, permit }));
        } else {
            self.abandon(sidecar, &attempt);
        }
    }

    fn perform_gate_effect(&mut self, sidecar: usize, effect: GateEffect) {
        let now = self.now;
        let node = &mut self.nodes[sidecar];
        // A refusal as a repetition doesn't mean that the attempt has not run.
        let (attempt, not_run) = match &effect {
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
                match &task.admission.work {
                    Work::Version(version) => {
                        self.oracle.check_chat_start(attempt, version, node.published, node.leaving);
                    }
                    Work::Service(_) => self.oracle.check_call_start(attempt, task.request.as_str()),
                }
            }
            GateEffect::Reserve { .. } => node.calls.reserve(attempt, now),
            GateEffect::Refuse { .. } if not_run => {
                self.oracle.check_refusal(attempt);
                if task.admission.two_step {
                    node.calls.mark_not_run(attempt, now);
                }
                node.tasks.remove(attempt);
            }
            _ => {}
        }
        let incarnation = self.nodes[sidecar].incarnation;
        self.network.push(Message::GateEffect { to: entry, effect, sidecar, incarnation });
    }

    fn handle_gate_effect(&mut self, entry: usize, effect: GateEffect, sidecar: usize, incarnation: u64) {
        let GateEffect::Reserve { attempt, permit } = effect else { return };
        let call = self.nodes[entry].pending_calls.iter_mut().find(|call| call.attempt == attempt);
        let Some(call) = call else { return };
        if let Stage::AwaitReservation { expected_version } = call.stage {
            let incarnation = Incarnation(incarnation);
            let reservation = Reservation { attempt, sidecar: node_id(sidecar), incarnation, permit };
            call.stage = Stage::WriteIntent { reservation, expected_version };
        }
    }

    fn finish_work(&mut self, index: usize) {
        let running: Vec<(usize, AttemptId)> = (ENTRIES..NODES)
            .flat_map(|node| {
                self.nodes[node]
                    .tasks
                    .values()
                    .filter(|task| task.running)
                    .map(move |task| (node, task.admission.attempt.clone()))
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let mut running = running;
        running.sort();
        let (sidecar, attempt) = running[index % running.len()].clone();
        let Some(task) = self.nodes[sidecar].tasks.remove(&attempt) else { return };
        match &task.admission.work {
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
            org: task.admission.org.clone(),
            version,
            priority: task.admission.priority,
            prompt: Tokens(1),
            output: Tokens(1),
            cost: Cost(1),
            attempts: 1,
        };
        let incarnation = self.nodes[sidecar].incarnation;
        self.input(sidecar, Input::Billing(BillingEvent::Hold { row: row.clone(), period: HOLD_PERIOD }));
        self.network.push(Message::ChatFinished { to: task.entry, row, sidecar, incarnation });
    }

    fn insert_bills(&mut self, node: usize, rows: Vec<BillRow>) {
        let stored = self.table.insert_bills(&rows).is_ok();
        let incarnation = self.nodes[node].incarnation;
        self.network.push(Message::BillsInserted { to: node, incarnation, rows, stored });
    }

    fn handle_insert_result(&mut self, node: usize, rows: Vec<BillRow>, stored: bool) {
        let event = if stored { BillingEvent::Stored } else { BillingEvent::Failed };
        self.input(node, Input::Billing(event));
        if stored {
            for row in rows {
                if let Some(to) = self.nodes[node].bill_holders.remove(&row.request) {
                    self.network.push(Message::BillsSettled { to, requests: vec![row.request] });
                }
            }
        }
    }

    fn leave(&mut self, sidecar: usize) {
        self.nodes[sidecar].leaving = true;
        self.input(sidecar, Input::Gate(GateEvent::Leave));
    }

    fn advance_time(&mut self, time: Duration) {
        self.now += time;
        for node in 0..NODES {
            if !self.nodes[node].frozen {
                self.input(node, Input::Tick);
            }
        }
    }

    /// Checks the invariants that hold after each operation.
    pub fn check(&self) {
        for node in &self.nodes {
            let state = node.kernel.settings().map_or(Revision::default(), |follower| follower.state().revision);
            assert!(node.published <= state, "the published revision is newer than the follower's");
        }
    }

    /// Ends all faults, delivers all messages in transit and checks that all nodes reach the latest settings.
    pub fn converge(&mut self) {
        self.table.fault = Fault::None;
        for _ in 0..CONVERGENCE_ROUNDS {
            for node in 0..NODES {
                self.nodes[node].frozen = false;
                self.poll(node);
            }
            for message in std::mem::take(&mut self.network) {
                self.deliver(message);
            }
            self.advance_time(Duration::from_secs(1));
        }
        for node in &self.nodes {
            assert_eq!(
                node.published,
                self.oracle.latest().revision,
                "an instance did not reach the latest settings after faults ended"
            );
        }
    }

    /// Checks that each answered chat is billed, unless both its entry and its sidecar, which held the row, restarted.
    pub fn check_billing(&self) {
        for chat in &self.oracle.answered_chats {
            let entry_lost = self.nodes[chat.entry].incarnation != chat.entry_incarnation;
            let sidecar_lost = self.nodes[chat.sidecar].incarnation != chat.sidecar_incarnation;
            let billed = self.table.bills.contains_key(&chat.request);
            assert!(billed || entry_lost && sidecar_lost, "{} was answered but not billed", chat.request);
        }
    }
}
