//! Session tokens that carry their version, so that keeping a session on its version needs no store.

use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    ids::{OrgId, VersionId},
    keys::{KeyError, KeyRing},
};

/// Prefix that tells a token made here from an id that the caller chose.
pub const TOKEN_PREFIX: &str = "bb1.";

/// A session token that can't be accepted.
#[derive(Debug, Snafu)]
pub enum SessionError {
    /// The token is not of the expected form.
    #[snafu(display("the session token is malformed"))]
    Malformed,
    /// The token was not made by this system for this organisation.
    #[snafu(display("the session token is not valid for this organisation: {source}"))]
    Signature {
        /// What the key ring said.
        source: KeyError,
    },
}

/// Makes the token of a session of an organisation on a version.
#[must_use]
pub fn make_token(keys: &KeyRing, org: &OrgId, version: &VersionId, nonce: u64) -> String {
    let signature = keys.sign(&signed_text(org, version.as_str(), &format!("{nonce:016x}")));
    format!("{TOKEN_PREFIX}{version}.{nonce:016x}.{signature}")
}

/// Reads the version from a session token.
///
/// # Errors
/// When the token is malformed, or was not made here for this organisation.
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
