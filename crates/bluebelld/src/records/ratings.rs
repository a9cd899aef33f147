//! Ratings of answers. They arrive late, and not every answer is rated.

use bluebell_core::{
    ids::{RequestId, VersionId},
    replica::Origin,
};
use bluebell_platform::store::Changes;
use serde::{Deserialize, Serialize};

use super::table::{NO_WAIT, RecordError, Records, parse};

/// Rating of one answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Request that was answered.
    pub request: RequestId,
    /// Model version that answered.
    pub version: VersionId,
    /// Whether the answer was good.
    pub good: bool,
}

/// Ratings up to a position in the store's change feed.
#[derive(Debug, Clone, Default)]
pub struct Ratings {
    /// Position to read on from.
    pub position: u64,
    /// The ratings.
    pub ratings: Vec<Rating>,
}

impl Records {
    /// Ratings after a position. Where the store no longer holds the changes after that position, ratings that were
    /// deleted or overwritten since are lost.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn ratings(&self, after: u64) -> Result<Ratings, RecordError> {
        let found = match self.store.changes(Origin::Ratings, after, NO_WAIT).await? {
            Changes::Rows(found) => found,
            Changes::Unavailable => {
                let all = self.store.snapshot(Origin::Ratings).await?;
                log::warn!(after, reached = all.version; "the store compacted ratings before they were read");
                all
            }
        };
        let new = found.rows.iter().filter(|row| row.version > after && row.value.is_some());
        let read =
            new.map(|row| parse(row).map_err(|error| log::warn!("rating can't be parsed and is left out: {error}")));
        let ratings = read.filter_map(Result::ok).collect();
        Ok(Ratings { position: found.version.max(after), ratings })
    }
}
