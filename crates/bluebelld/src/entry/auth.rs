//! Authentication of callers and operators, and the priority of a request.

use std::sync::Arc;

use bluebell_core::{ids::OrgId, keys::digest, routing::Plan, settings::Policy, units::Priority};
use poem::Request;
use snafu::OptionExt;

use super::{
    request_error::{MalformedSnafu, NotReadySnafu, RequestError, UnauthorisedSnafu},
    state::Entry,
};

/// Header with the priority that the caller requests.
const PRIORITY_HEADER: &str = "x-priority";

/// An authenticated caller.
pub struct Caller {
    /// Organisation that the API key belongs to.
    pub org: OrgId,
    /// Policy that applies to the organisation.
    pub policy: Arc<Policy>,
    /// Routing plan of the settings revision under which the caller was authenticated; used for the whole request.
    pub plan: Arc<Plan>,
}

fn bearer_token(request: &Request) -> Option<&str> {
    request.header("authorization")?.strip_prefix("Bearer ")
}

/// Authenticates a caller by its API key.
///
/// # Errors
/// If the key is missing or unknown, or the entry has no settings yet.
pub fn authenticate_caller(entry: &Entry, request: &Request) -> Result<Caller, RequestError> {
    let published = entry.shared.published.load();
    if published.state.revision.0 == 0 {
        return NotReadySnafu { reason: "no settings yet" }.fail();
    }
    let key = bearer_token(request).context(UnauthorisedSnafu)?;
    let policy = published.plan.caller(&digest(key)).context(UnauthorisedSnafu)?;
    let org = policy.org.clone().context(UnauthorisedSnafu)?;
    Ok(Caller { org, policy: Arc::clone(policy), plan: Arc::clone(&published.plan) })
}

/// Authenticates an operator by its key and returns the operator's name.
///
/// # Errors
/// If the key is missing or unknown.
pub fn authenticate_operator(entry: &Entry, request: &Request) -> Result<String, RequestError> {
    let digest = digest(bearer_token(request).context(UnauthorisedSnafu)?);
    let operators = &entry.shared.config.operators;
    let found = operators.iter().find(|(_, key)| key.eq_ignore_ascii_case(&digest));
    found.map(|(name, _)| name.clone()).context(UnauthorisedSnafu)
}

/// Priority of a request: the one in its header, capped at the ceiling of the caller's branch, or the branch's default.
///
/// # Errors
/// If the header names an unknown priority.
pub fn priority(request: &Request, policy: &Policy) -> Result<Priority, RequestError> {
    let Some(text) = request.header(PRIORITY_HEADER) else {
        return Ok(policy.priority);
    };
    let requested: Priority =
        text.parse().ok().context(MalformedSnafu { reason: "x-priority: urgent, normal or batch" })?;
    Ok(requested.max(policy.ceiling))
}
