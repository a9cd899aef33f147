//! Limits on what all callers together may hold, derived from the size of the machine.

use crate::gateway::settings::Machine;

/// Descriptors that are left for files and the process itself.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Callers' share of the other descriptors: a request in progress needs a second one, for its upstream.
const DESCRIPTOR_DIVISOR: u64 = 2;
/// Callers' connections may take the memory divided by this.
const CONNECTION_MEMORY_DIVISOR: u64 = 3;
/// Memory of a connection in bytes: its task, and a request head of the default limit in a read and a write buffer.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Request bodies may take the memory divided by this. An upload holds up to twice its size while its buffer grows.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Maximum number of callers' connections on a machine of unknown size.
const DEFAULT_CONNECTIONS: usize = 8192;
/// Maximum total of request bodies in bytes on a machine of unknown size.
const DEFAULT_BODY_BYTES: usize = 64 << 20;

/// Limits on what all callers together may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum total of request bodies, in bytes.
    pub body_bytes: usize,
}

impl CallerLimits {
    /// Limits for a machine of the given size.
    #[must_use]
    pub fn new(machine: Option<Machine>) -> Self {
        let Some(machine) = machine else {
            return Self { connections: DEFAULT_CONNECTIONS, body_bytes: DEFAULT_BODY_BYTES };
        };
        let memory = machine.memory_mb.saturating_mul(1 << 20);
        let by_descriptors = machine.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
        let by_memory = memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        Self {
            connections: by_descriptors.min(by_memory) as usize,
            body_bytes: (memory / BODY_MEMORY_DIVISOR) as usize,
        }
    }
}
