//! Section `instance`: identity of the process.

use bluebell_core::{
    ids::{InstanceId, ZoneId},
    members::Role,
};
use serde::Deserialize;

/// Identity of the process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Instance id, unique among all instances.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Role of the instance.
    pub role: Role,
}
