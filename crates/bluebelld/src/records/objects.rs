//! JSON objects in the store, for data that is too large for a row and may be lost.

use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use super::table::{JsonSnafu, RecordError, Records};

impl Records {
    /// Reads an object.
    ///
    /// # Errors
    /// When the store can't be read, or the object can't be parsed.
    pub async fn object<T: DeserializeOwned>(&self, id: &str) -> Result<Option<T>, RecordError> {
        let Some(content) = self.store.object(id).await? else { return Ok(None) };
        serde_json::from_slice(&content).map(Some).context(JsonSnafu { key: id })
    }

    /// Replaces an object.
    ///
    /// # Errors
    /// When the write failed, or its outcome is unknown.
    pub async fn put_object<T: Serialize>(&self, id: &str, value: &T) -> Result<(), RecordError> {
        let content = serde_json::to_vec(value).context(JsonSnafu { key: id })?;
        Ok(self.store.put_object(id, content).await?)
    }
}
