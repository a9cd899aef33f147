//! Order of the contents of rows where their versions can't be compared, as the store was restored from an older copy.

use bluebell_core::{
    canary::StageRow,
    replica::{Origin, Recency, Row},
};
use bluebell_platform::{operator, upstream};

use super::rollouts;

/// Reads the recency of a row's content; none for contents that have no order of their own.
pub(super) fn read(row: &Row) -> Option<Recency> {
    let content = row.value.as_deref()?;
    match row.origin {
        Origin::Operator if row.key == operator::DECLARED_KEY => {
            operator::declared_version(content).map(|version| [version, 0, 0])
        }
        Origin::Upstreams => upstream::progress(content),
        Origin::Fleet if row.key.starts_with(rollouts::KEY_PREFIX) => {
            let stage: StageRow = serde_json::from_slice(content).ok()?;
            Some([stage.began.as_millis() as u64, stage.stage as u64, 0])
        }
        _ => None,
    }
}
