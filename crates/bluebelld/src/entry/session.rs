//! Sessions, which bind consecutive requests to one model version.

use bluebell_core::{
    ids::{SessionId, VersionId},
    routing::{PlanError, Wanted},
    session,
};
use poem::Request;
use rand::Rng;
use snafu::{OptionExt, ResultExt};

use super::{
    auth::Caller,
    request_error::{
        InvalidSessionSnafu, MalformedSnafu, PlanSnafu, PlatformUnavailableSnafu, RequestError, SessionEndedSnafu,
    },
    state::Entry,
};
use crate::records::RecordError;

/// Request and response header with the session token or the caller's own session id.
pub const SESSION_HEADER: &str = "x-session-id";

/// Model versions for a request, and the token that continues its session.
pub struct SessionVersions {
    /// Versions to try, best first; just one within a session.
    pub versions: Vec<VersionId>,
    /// Session token to return to the caller.
    pub token: String,
}

/// Determines the model versions for a request, from its session if it has one.
///
/// # Errors
/// If no allowed version is in use, the session's version was withdrawn, or the session can't be looked up.
pub async fn resolve_versions(
    entry: &Entry,
    caller: &Caller,
    request: &Request,
    wanted: &Wanted,
) -> Result<SessionVersions, RequestError> {
    let keys = entry.shared.identity.keys();
    let nonce: u64 = rand::rng().random();
    let version = match request.header(SESSION_HEADER) {
        Some(text) if text.starts_with(session::TOKEN_PREFIX) => {
            let verified = session::read_token(keys, &caller.org, text);
            verified.map_err(|error| InvalidSessionSnafu { reason: error.to_string() }.build())?
        }
        Some(text) => pinned_version(entry, caller, text, wanted).await?,
        None => {
            let quality = entry.shared.quality.load();
            let versions = caller.plan.candidates(&caller.policy, wanted, &quality, &format!("{nonce:x}"));
            let versions = versions.context(PlanSnafu)?;
            let token = session::make_token(keys, &caller.org, &versions[0], nonce);
            return Ok(SessionVersions { versions, token });
        }
    };
    check_usable(caller, &version)?;
    let token = session::make_token(keys, &caller.org, &version, nonce);
    Ok(SessionVersions { versions: vec![version], token })
}

// A session id chosen by the caller is bound to a version in the store, because only the store is consistent across
// entries. The request is therefore refused while the store is down.
async fn pinned_version(
    entry: &Entry,
    caller: &Caller,
    text: &str,
    wanted: &Wanted,
) -> Result<VersionId, RequestError> {
    let session_id: SessionId = text.parse().ok().context(MalformedSnafu { reason: "x-session-id is not an id" })?;
    let unavailable = |error: RecordError| PlatformUnavailableSnafu { reason: error.to_string() }.build();
    if let Some(version) = entry.shared.records.session(&caller.org, session_id.as_str()).await.map_err(unavailable)? {
        return Ok(version);
    }
    let quality = entry.shared.quality.load_full();
    let versions = caller.plan.candidates(&caller.policy, wanted, &quality, session_id.as_str()).context(PlanSnafu)?;
    let pinned = entry.shared.records.pin_session(&caller.org, session_id.as_str(), &versions[0]).await;
    pinned.map_err(unavailable)
}

fn check_usable(caller: &Caller, version: &VersionId) -> Result<(), RequestError> {
    match caller.plan.check_version(&caller.policy.branch, &caller.org, version) {
        Err(PlanError::Withdrawn { version }) => SessionEndedSnafu { version }.fail(),
        other => other.context(PlanSnafu),
    }
}
