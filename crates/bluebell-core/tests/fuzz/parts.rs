//! What the world consists of: steps, messages, nodes, and the settings that operators change.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bluebell_core::{
    billing::{BillRow, Outbox},
    calls::CallRegistry,
    gate::{AdmissionRequest, Gate, GateEffect},
    ids::{AttemptId, InstanceId, Permit, RequestId, Revision},
    intent::{Reservation, Resolution},
    kernel::{Kernel, Service},
    routing::Plan,
    settings::{Follower, SettingsUpdate},
};

use crate::once::Flow;

pub const ENTRIES: usize = 3;
pub const SIDECARS: usize = 3;
pub const NODES: usize = ENTRIES + SIDECARS;
pub const SLOTS: usize = 2;
pub const KEYS: u8 = 2;
pub const VERSIONS: [&str; 3] = ["small@1", "small@2", "large@1"];
pub const STEP: Duration = Duration::from_millis(400);
pub const SETTLE_ROUNDS: usize = 60;

/// A random step.
#[derive(Debug, Clone)]
pub enum Op {
    Commit { kind: u8, version: u8 },
    Poll { node: u8 },
    Gossip { from: u8, to: u8 },
    Deliver { at: u8 },
    Duplicate { at: u8 },
    Drop { at: u8 },
    Restart { node: u8 },
    Freeze { entry: u8 },
    Thaw { entry: u8 },
    Table { fault: u8 },
    Chat { entry: u8, sidecar: u8, version: u8 },
    Call { entry: u8, key: u8 },
    Step { entry: u8, sidecar: u8 },
    Drive { entry: u8, depth: u8 },
    Finish { at: u8 },
    Leave { sidecar: u8 },
    Advance { steps: u8 },
}

/// A message on its way; who began anew since does not get what was meant for its former self.
#[derive(Debug, Clone)]
pub enum Message {
    Seen { to: usize, from: usize, revision: Revision },
    Snapshot { to: usize, snapshot: SettingsUpdate },
    Ask { from: usize, to: usize, life: u64, request: RequestId, ask: AdmissionRequest },
    Go { to: usize, attempt: AttemptId, permit: Permit },
    Effect { to: usize, effect: GateEffect, sidecar: usize, life: u64 },
    Finished { to: usize, row: BillRow, sidecar: usize, life: u64 },
    Inserted { to: usize, life: u64, rows: Vec<BillRow>, stored: bool },
    Settled { to: usize, requests: Vec<RequestId> },
    ResolveAsk { from: usize, to: usize, reservation: Reservation },
    ResolveReply { to: usize, about: AttemptId, word: Resolution },
}

pub struct Node {
    pub kernel: Kernel,
    pub life: u64,
    pub published: Revision,
    pub plan: Option<Arc<Plan>>,
    pub seen_first: Revision,
    pub frozen: bool,
    pub leaving: bool,
    pub flows: Vec<Flow>,
    pub calls: CallRegistry,
    pub tasks: HashMap<AttemptId, Task>,
    pub holders: HashMap<RequestId, usize>,
}

#[derive(Debug, Clone)]
pub struct Task {
    pub request: RequestId,
    pub entry: usize,
    pub ask: AdmissionRequest,
    pub running: bool,
}

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is an id"))
}

pub fn node_id(node: usize) -> InstanceId {
    id(&format!("node-{node}"))
}

pub fn node_number(node: &InstanceId) -> usize {
    node.as_str()["node-".len()..].parse().expect("it is a node's id")
}

pub fn tree(allowed: &[&str]) -> Vec<String> {
    let root = "branch: root\n\
        catalog: { models: { small: { \"1\": { price: 1, quality: 80% }, \"2\": { price: 1, quality: 80% } }, \
        large: { \"1\": { price: 9, quality: 90% } } }, services: { ledger: { idempotent: false } } }\n\
        allow: []\nservices: [ledger]\npriority: normal\nceiling: urgent\nquality: 50%\n\
        targets: { normal: { first_token: 1s, inter_token: 50ms } }\n\
        limits: { in_flight: 10, max_tokens: 100, body: 1KiB, deadline: 5s }\n\
        rollout: { steps: [100%], hold: 1s }\n";
    vec![root.to_owned(), crew(allowed)]
}

pub fn crew(allowed: &[&str]) -> String {
    format!("branch: crew\nparent: root\norganisation: vans\nallow: [{}]\n", allowed.join(", "))
}

pub fn new_node(number: usize, life: u64) -> Node {
    let kernel = Kernel::default()
        .with(Service::Settings(Box::<Follower>::default()))
        .with(Service::Billing(Box::<Outbox>::default()));
    let serves = VERSIONS.iter().map(|text| (*text).to_owned()).chain(["ledger".to_owned()]).collect();
    let gate = || Service::Gate(Box::new(Gate::new(SLOTS, serves)));
    Node {
        kernel: if number < ENTRIES { kernel } else { kernel.with(gate()) },
        life,
        published: Revision::default(),
        plan: None,
        seen_first: Revision::default(),
        frozen: false,
        leaving: false,
        flows: Vec::new(),
        calls: CallRegistry::default(),
        tasks: HashMap::new(),
        holders: HashMap::new(),
    }
}
