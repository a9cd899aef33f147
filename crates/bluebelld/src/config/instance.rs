//! Who the process is.

use bluebell_core::{
    ids::{InstanceId, ZoneId},
    members::Role,
};
use serde::Deserialize;

/// Who the process is.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its id, unique among all instances.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it does.
    pub role: Role,
}
