//! Signed session tokens that contain the model version, so that session affinity needs no stored state.

use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    ids::{OrgId, VersionId},
    keys::{KeyError, KeyRing},
};

/// Prefix that distinguishes a session token from a session id chosen by the caller.
pub const TOKEN_PREFIX: &str = "bb1.";

/// Why a session token is rejected.
#[derive(Debug, Snafu)]
pub enum SessionError {
    /// The token doesn't have the expected format.
    #[snafu(display("the session token is malformed"))]
    Malformed,
    /// The token was not signed for this organisation with a known key.
    #[snafu(display("the session token is not valid for this organisation: {source}"))]
    Signature {
        /// Cause.
        source: KeyError,
    },
}

/// Creates a signed token that binds a session of an organisation to a model version.
#[must_use]
pub fn make_token(keys: &KeyRing, org: &OrgId, version: &VersionId, nonce: u64) -> String {
    let signature = keys.sign(&signed_text(org, version.as_str(), &format!("{nonce:016x}")));
    format!("{TOKEN_PREFIX}{version}.{nonce:016x}.{signature}")
}

/// Verifies a session token and returns the model version in it.
///
/// # Errors
/// When the token is malformed, or was not signed for this organisation with a known key.
pub fn read_token(keys: &KeyRing, org: &OrgId, token: &str) -> Result<VersionId, SessionError> {
    let body = token.strip_prefix(TOKEN_PREFIX).context(MalformedSnafu)?;
    let (text, signature) = body.rsplit_once('.').context(MalformedSnafu)?;
    let (version, nonce) = text.rsplit_once('.').context(MalformedSnafu)?;
    keys.verify(&signed_text(org, version, nonce), signature).context(SignatureSnafu)?;
    version.parse().ok().context(MalformedSnafu)
}

fn signed_text(org: &OrgId, version: &str, nonce: &str) -> String {
    format!("session {org} {version} {nonce}")
}
