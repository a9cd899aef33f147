//! Who sends a request.

use std::sync::Arc;

use bluebell_core::{ids::OrgId, keys::digest, routing::Plan, settings::Policy, units::Priority};
use poem::Request;
use snafu::OptionExt;

use super::{
    fault::{Fault, MalformedSnafu, NotReadySnafu, UnauthorisedSnafu},
    state::Entry,
};

/// Header with the rank of a request.
const PRIORITY_HEADER: &str = "x-priority";

/// A caller whose key was recognised.
pub struct Caller {
    /// Organisation it belongs to.
    pub org: OrgId,
    /// What holds for it.
    pub policy: Arc<Policy>,
    /// Settings under which it was recognised.
    pub plan: Arc<Plan>,
}

fn bearer(request: &Request) -> Option<&str> {
    request.header("authorization")?.strip_prefix("Bearer ")
}

/// Recognises a caller.
///
/// # Errors
/// When the key is missing or unknown, or the entry has no settings yet.
pub fn caller(entry: &Entry, request: &Request) -> Result<Caller, Fault> {
    let published = entry.shared.published.load();
    if published.state.revision.0 == 0 {
        return NotReadySnafu { reason: "no settings yet" }.fail();
    }
    let key = bearer(request).context(UnauthorisedSnafu)?;
    let policy = published.plan.caller(&digest(key)).context(UnauthorisedSnafu)?;
    let org = policy.org.clone().context(UnauthorisedSnafu)?;
    Ok(Caller { org, policy: Arc::clone(policy), plan: Arc::clone(&published.plan) })
}

/// Recognises an operator; gives the name.
///
/// # Errors
/// When the key is missing or unknown.
pub fn operator(entry: &Entry, request: &Request) -> Result<String, Fault> {
    let digest = digest(bearer(request).context(UnauthorisedSnafu)?);
    let operators = &entry.shared.config.operators;
    let found = operators.iter().find(|(_, key)| key.eq_ignore_ascii_case(&digest));
    found.map(|(name, _)| name.clone()).context(UnauthorisedSnafu)
}

/// Rank of a request: the one it names, up to the branch's ceiling, or the branch's own.
///
/// # Errors
/// When the named rank doesn't exist.
pub fn priority(request: &Request, policy: &Policy) -> Result<Priority, Fault> {
    let Some(text) = request.header(PRIORITY_HEADER) else {
        return Ok(policy.priority);
    };
    let named: Priority =
        text.parse().ok().context(MalformedSnafu { reason: "x-priority: urgent, normal or batch" })?;
    Ok(named.max(policy.ceiling))
}
