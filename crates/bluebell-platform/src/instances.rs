//! The list of instances, which lags behind reality.

use bluebell_core::members::Listed;

use crate::{Platform, PlatformError};

impl Platform {
    /// Instances that the platform lists now.
    ///
    /// # Errors
    /// When the list can't be read.
    pub async fn instances(&self) -> Result<Vec<Listed>, PlatformError> {
        let url = format!("{}/instances", self.endpoint.instances);
        Ok(self.get("instances", url).await?.unwrap_or_default())
    }
}
