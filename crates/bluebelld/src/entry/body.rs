//! Reading callers' bodies within bounds of size and time.

use std::time::Duration;

use bluebell_core::units::ByteSize;
use bytes::Bytes;
use poem::{Body, error::ReadBodyError};

use super::fault::{Fault, MalformedSnafu, TooLargeSnafu, TooSlowSnafu};

/// Time that a body may take to come.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Reads a body.
///
/// # Errors
/// When it is too large, too slow or broken.
pub async fn read(body: Body, limit: ByteSize) -> Result<Bytes, Fault> {
    let limit = limit.0;
    match tokio::time::timeout(BODY_TIME, body.into_bytes_limit(limit as usize)).await {
        Err(_) => TooSlowSnafu.fail(),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => TooLargeSnafu { limit }.fail(),
        Ok(Err(error)) => MalformedSnafu { reason: error.to_string() }.fail(),
        Ok(Ok(bytes)) => Ok(bytes),
    }
}
