//! What the gateway holds for all callers together, and its limits.

use std::sync::Arc;

use super::{body_budget::BodyBudget, connections::Connections, limits::CallerLimits, rejections::Rejections};
use crate::gateway::settings::Machine;

/// What the gateway holds for all callers together.
pub struct Callers {
    /// Open connections.
    pub connections: Arc<Connections>,
    /// Request bodies.
    pub bodies: Arc<BodyBudget>,
    /// Callers that exceeded a limit.
    pub rejections: Rejections,
}

impl Callers {
    /// Creates the state for a machine of the given size.
    #[must_use]
    pub fn new(machine: Option<Machine>) -> Self {
        let limits = CallerLimits::new(machine);
        Self {
            connections: Connections::new(limits.connections),
            bodies: BodyBudget::new(limits.body_bytes),
            rejections: Rejections::default(),
        }
    }
}
