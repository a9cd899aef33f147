//! Sessions: which version a request of a session gets.

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
    fault::{Fault, MalformedSnafu, PlanSnafu, PlatformSnafu, SessionEndedSnafu, SessionSnafu},
    state::Entry,
};
use crate::records::RecordError;

/// Header with the session, in requests and answers.
pub const SESSION_HEADER: &str = "x-session-id";

/// Version for a request, and the token under which its session goes on.
pub struct Placed {
    /// Versions to try, best first; one alone inside a session.
    pub versions: Vec<VersionId>,
    /// Token to hand out.
    pub token: String,
}

/// Finds the version of a request.
///
/// # Errors
/// When no allowed version is in use, the session's version was withdrawn, or the session can't be looked up.
pub async fn place(entry: &Entry, caller: &Caller, request: &Request, wanted: &Wanted) -> Result<Placed, Fault> {
    let keys = entry.shared.identity.keys();
    let nonce: u64 = rand::rng().random();
    let version = match request.header(SESSION_HEADER) {
        Some(text) if text.starts_with(session::TOKEN_PREFIX) => {
            let read = session::read_token(keys, &caller.org, text);
            read.map_err(|error| SessionSnafu { reason: error.to_string() }.build())?
        }
        Some(text) => pinned(entry, caller, text, wanted).await?,
        None => {
            let quality = entry.shared.quality.load();
            let versions = caller.plan.candidates(&caller.policy, wanted, &quality, &format!("{nonce:x}"));
            let versions = versions.context(PlanSnafu)?;
            let token = session::make_token(keys, &caller.org, &versions[0], nonce);
            return Ok(Placed { versions, token });
        }
    };
    check_open(caller, &version)?;
    let token = session::make_token(keys, &caller.org, &version, nonce);
    Ok(Placed { versions: vec![version], token })
}

// The caller's own id is pinned in the store: only there do all entries agree, so without it the request is refused.
async fn pinned(entry: &Entry, caller: &Caller, text: &str, wanted: &Wanted) -> Result<VersionId, Fault> {
    let session: SessionId = text.parse().ok().context(MalformedSnafu { reason: "x-session-id is not an id" })?;
    let down = |error: RecordError| PlatformSnafu { reason: error.to_string() }.build();
    if let Some(version) = entry.shared.records.session(&caller.org, session.as_str()).await.map_err(down)? {
        return Ok(version);
    }
    let quality = entry.shared.quality.load_full();
    let versions = caller.plan.candidates(&caller.policy, wanted, &quality, session.as_str()).context(PlanSnafu)?;
    let pinned = entry.shared.records.pin_session(&caller.org, session.as_str(), &versions[0]).await;
    pinned.map_err(down)
}

fn check_open(caller: &Caller, version: &VersionId) -> Result<(), Fault> {
    match caller.plan.check_version(&caller.policy.branch, &caller.org, version) {
        Err(PlanError::Withdrawn { version }) => SessionEndedSnafu { version }.fail(),
        other => other.context(PlanSnafu),
    }
}
