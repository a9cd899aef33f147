//! The list of instances, which the deployment maintains and which lags behind the actual state. After the first read
//! only changes are read.

use bluebell_core::{
    ids::InstanceId,
    members::{Listed, MembersEvent},
    replica::{Origin, Row},
};
use bluebell_platform::store::Changes;

use super::table::{NO_WAIT, RecordError, Records, parse};

/// The list, or the changes to it, as of a store version.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Version of the store.
    pub version: u64,
    /// Event for the member table.
    pub event: MembersEvent,
}

impl Records {
    /// Changes to the list after a version. Without a version, or if the store no longer holds the changes after it,
    /// the whole list.
    ///
    /// # Errors
    /// When the list can't be read.
    pub async fn instances(&self, after: Option<u64>) -> Result<Listing, RecordError> {
        if let Some(after) = after
            && let Changes::Rows(found) = self.store.changes(Origin::Instances, after, NO_WAIT).await?
        {
            let removed = found.rows.iter().filter(|row| row.value.is_none()).filter_map(|row| row.key.parse().ok());
            let gone: Vec<InstanceId> = removed.collect();
            let event = MembersEvent::Changes { set: listed(&found.rows), gone };
            return Ok(Listing { version: found.version.max(after), event });
        }
        let found = self.store.snapshot(Origin::Instances).await?;
        Ok(Listing { version: found.version, event: MembersEvent::List(listed(&found.rows)) })
    }
}

fn listed(rows: &[Row]) -> Vec<Listed> {
    let live = rows.iter().filter(|row| row.value.is_some());
    let read =
        live.map(|row| parse(row).map_err(|error| log::warn!("instance can't be parsed and is left out: {error}")));
    read.filter_map(Result::ok).collect()
}
