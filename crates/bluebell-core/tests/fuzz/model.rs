//! Data model of the simulation: operations, messages, nodes and the settings that operators change.

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

use crate::pending_call::PendingCall;

pub const ENTRIES: usize = 3;
pub const SIDECARS: usize = 3;
/// Nodes are numbered: entries first, then sidecars.
pub const NODES: usize = ENTRIES + SIDECARS;
pub const SLOTS_PER_SIDECAR: usize = 2;
/// Number of idempotency keys; few, so that calls often share one.
pub const IDEMPOTENCY_KEYS: u8 = 2;
pub const MODEL_VERSIONS: [&str; 3] = ["small@1", "small@2", "large@1"];
/// Unit of [`Op::AdvanceTime`].
pub const TIME_STEP: Duration = Duration::from_millis(400);
/// Rounds of one second that the world gets to converge after all faults ended.
pub const CONVERGENCE_ROUNDS: usize = 60;

/// A random operation. Each number is reduced modulo the number of choices.
#[derive(Debug, Clone)]
pub enum Op {
    /// An operator changes the status of a model version or the versions allowed.
    ChangeSettings {
        kind: u8,
        version: u8,
    },
    /// A node polls the table for the latest settings revision.
    PollTable {
        node: u8,
    },
    /// A node announces its settings revision to another one.
    Gossip {
        from: u8,
        to: u8,
    },
    Deliver {
        index: u8,
    },
    Duplicate {
        index: u8,
    },
    Drop {
        index: u8,
    },
    /// A node restarts with empty memory.
    Restart {
        node: u8,
    },
    Freeze {
        entry: u8,
    },
    Thaw {
        entry: u8,
    },
    SetTableFault {
        fault: u8,
    },
    StartChat {
        entry: u8,
        sidecar: u8,
        version: u8,
    },
    StartCall {
        entry: u8,
        key: u8,
    },
    /// A pending service call takes one step.
    AdvanceCall {
        entry: u8,
        sidecar: u8,
    },
    /// A pending service call takes several steps without other operations between them.
    RunCall {
        entry: u8,
        steps: u8,
    },
    /// A runner completes a running chat or call.
    FinishWork {
        index: u8,
    },
    /// A sidecar begins to leave: it takes no new work.
    Leave {
        sidecar: u8,
    },
    AdvanceTime {
        steps: u8,
    },
}

/// A message in transit, or the result of a table write that is still outstanding. Messages that carry the
/// `incarnation` of their receiver are discarded if the receiver has restarted since.
#[derive(Debug, Clone)]
pub enum Message {
    RevisionSeen {
        to: usize,
        from: usize,
        revision: Revision,
    },
    SettingsUpdate {
        to: usize,
        update: SettingsUpdate,
    },
    /// An entry asks a sidecar to admit an attempt.
    Admit {
        from: usize,
        to: usize,
        incarnation: u64,
        request: RequestId,
        admission: AdmissionRequest,
    },
    /// An entry starts a call for which the sidecar has reserved a slot.
    StartReserved {
        to: usize,
        attempt: AttemptId,
        permit: Permit,
    },
    /// A sidecar reports a decision of its gate; `incarnation` is that of the sidecar.
    GateEffect {
        to: usize,
        effect: GateEffect,
        sidecar: usize,
        incarnation: u64,
    },
    /// The complete answer of a chat reaches its entry; `incarnation` is that of the sidecar.
    ChatFinished {
        to: usize,
        row: BillRow,
        sidecar: usize,
        incarnation: u64,
    },
    /// Result of a node's own write to the table.
    BillsInserted {
        to: usize,
        incarnation: u64,
        rows: Vec<BillRow>,
        stored: bool,
    },
    /// An entry confirms to a sidecar that rows are stored.
    BillsSettled {
        to: usize,
        requests: Vec<RequestId>,
    },
    /// An entry asks a sidecar about an earlier attempt.
    ResolveRequest {
        from: usize,
        to: usize,
        reservation: Reservation,
    },
    ResolveResponse {
        to: usize,
        attempt: AttemptId,
        resolution: Resolution,
    },
}

/// An entry or a sidecar.
pub struct Node {
    pub kernel: Kernel,
    pub incarnation: u64,
    /// Revision of the settings in effect.
    pub published: Revision,
    pub plan: Option<Arc<Plan>>,
    /// Highest revision that was announced to this incarnation before it put any settings into effect.
    pub seen_before_publishing: Revision,
    pub frozen: bool,
    pub leaving: bool,
    /// Service calls in progress at an entry.
    pub pending_calls: Vec<PendingCall>,
    /// Service calls known to a sidecar.
    pub calls: CallRegistry,
    /// Attempts that a sidecar was asked to admit.
    pub tasks: HashMap<AttemptId, Task>,
    /// Sidecar that holds a copy of a row until the entry confirms that it is stored.
    pub bill_holders: HashMap<RequestId, usize>,
}

/// An attempt at a sidecar.
#[derive(Debug, Clone)]
pub struct Task {
    pub request: RequestId,
    pub entry: usize,
    pub admission: AdmissionRequest,
    pub running: bool,
}

pub fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("invalid id: {text}"))
}

pub fn node_id(node: usize) -> InstanceId {
    parse_id(&format!("node-{node}"))
}

pub fn node_index(node: &InstanceId) -> usize {
    node.as_str()["node-".len()..].parse().expect("an instance id ends in the index of its node")
}

/// Settings files of the root branch and of the branch `crew`, which may use the allowed model versions.
pub fn settings_tree(allowed: &[&str]) -> Vec<String> {
    let root = "branch: root\n\
        catalog: { models: { small: { \"1\": { price: 1, quality: 80% }, \"2\": { price: 1, quality: 80% } }, \
        large: { \"1\": { price: 9, quality: 90% } } }, services: { ledger: { idempotent: false } } }\n\
        allow: []\nservices: [ledger]\npriority: normal\nceiling: urgent\nquality: 50%\n\
        targets: { normal: { first_token: 1s, inter_token: 50ms } }\n\
        limits: { in_flight: 10, max_tokens: 100, body: 1KiB, deadline: 5s }\n\
        rollout: { steps: [100%], hold: 1s }\n";
    vec![root.to_owned(), crew_branch(allowed)]
}

pub fn crew_branch(allowed: &[&str]) -> String {
    format!("branch: crew\nparent: root\norganisation: vans\nallow: [{}]\n", allowed.join(", "))
}

pub fn new_node(index: usize, incarnation: u64) -> Node {
    let kernel = Kernel::default()
        .with(Service::Settings(Box::<Follower>::default()))
        .with(Service::Billing(Box::<Outbox>::default()));
    let serves = MODEL_VERSIONS.iter().map(|text| (*text).to_owned()).chain(["ledger".to_owned()]).collect();
    let gate = || Service::Gate(Box::new(Gate::new(SLOTS_PER_SIDECAR, serves)));
    Node {
        kernel: if index < ENTRIES { kernel } else { kernel.with(gate()) },
        incarnation,
        published: Revision::default(),
        plan: None,
        seen_before_publishing: Revision::default(),
        frozen: false,
        leaving: false,
        pending_calls: Vec::new(),
        calls: CallRegistry::default(),
        tasks: HashMap::new(),
        bill_holders: HashMap::new(),
    }
}
