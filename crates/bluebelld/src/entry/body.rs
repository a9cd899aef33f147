//! Reads request bodies with limits on size and time.

use std::time::Duration;

use bluebell_core::units::ByteSize;
use bytes::Bytes;
use poem::{Body, error::ReadBodyError};

use super::request_error::{BodyTooLargeSnafu, BodyTooSlowSnafu, MalformedSnafu, RequestError};

const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
/// If the body is too large, arrives too slowly or can't be read.
pub async fn read(body: Body, limit: ByteSize) -> Result<Bytes, RequestError> {
    let limit = limit.0;
    match tokio::time::timeout(BODY_READ_TIMEOUT, body.into_bytes_limit(limit as usize)).await {
        Err(_) => BodyTooSlowSnafu.fail(),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => BodyTooLargeSnafu { limit }.fail(),
        Ok(Err(error)) => MalformedSnafu { reason: error.to_string() }.fail(),
        Ok(Ok(bytes)) => Ok(bytes),
    }
}
