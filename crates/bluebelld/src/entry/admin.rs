//! What operators ask for and change.

use std::sync::Arc;

use bluebell_core::{
    ids::{BranchId, ChangeId, Revision},
    members::Listed,
    settings::{Action, SettingsError, tree},
};
use poem::{
    Request, Response, handler,
    http::StatusCode,
    web::{Data, Json, Path, Query},
};
use serde::{Deserialize, Serialize};

use super::{auth, fault::Fault, state::Entry};
use crate::records::{CommitError, Proposal};

/// An answer to an operator that is not what was asked for.
#[derive(Debug, Serialize)]
pub struct Problem {
    error: ProblemFields,
}

#[derive(Debug, Serialize)]
struct ProblemFields {
    code: &'static str,
    message: String,
}

/// Writes an answer for an operator.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}

fn problem(status: StatusCode, code: &'static str, message: String) -> Response {
    json(status, &Problem { error: ProblemFields { code, message } })
}

/// Runs a question of an operator whose key is known.
fn guarded(entry: &Entry, request: &Request, work: impl FnOnce(String) -> Response) -> Response {
    auth::operator(entry, request).map_or_else(|fault: Fault| fault.response(), work)
}

/// The whole state in force at this entry.
#[handler]
pub fn settings(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    guarded(&entry, request, |_| json(StatusCode::OK, &entry.shared.published.load().state))
}

/// For each key of a branch, the branch that its value comes from.
#[handler]
pub fn explain(entry: Data<&Arc<Entry>>, request: &Request, Path(branch): Path<String>) -> Response {
    guarded(&entry, request, |_| {
        let state = Arc::clone(&entry.shared.published.load().state);
        let found = state.tree().ok().zip(branch.parse::<BranchId>().ok());
        let explained = found.and_then(|(tree, id)| tree.get(&id).map(|branch| tree::explain(&tree, branch)));
        match explained {
            Some(Ok(origins)) => json(StatusCode::OK, &origins),
            Some(Err(error)) => problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid", error.to_string()),
            None => problem(StatusCode::NOT_FOUND, "no_branch", format!("there is no branch {branch}")),
        }
    })
}

/// Revision after which history is asked for.
#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

/// Accepted changes after a revision.
#[handler]
pub async fn history(entry: Data<&Arc<Entry>>, request: &Request, Query(query): Query<After>) -> Response {
    if let Err(fault) = auth::operator(&entry, request) {
        return fault.response();
    }
    match entry.shared.records.records(Revision(query.after)).await {
        Ok(records) => json(StatusCode::OK, &records),
        Err(error) => problem(StatusCode::SERVICE_UNAVAILABLE, "platform_down", error.to_string()),
    }
}

/// A change as an operator sends it.
#[derive(Debug, Deserialize)]
struct Change {
    change: ChangeId,
    action: Action,
}

/// Place of a committed change.
#[derive(Debug, Serialize)]
struct Committed {
    revision: Revision,
}

/// Commits a change.
#[handler]
pub async fn change(entry: Data<&Arc<Entry>>, request: &Request, Json(change): Json<Change>) -> Response {
    let author = match auth::operator(&entry, request) {
        Ok(author) => author,
        Err(fault) => return fault.response(),
    };
    let proposal = Proposal { change: change.change, author, action: change.action };
    let known = Arc::clone(&entry.shared.published.load().state);
    match entry.shared.records.commit(&known, &proposal, None).await {
        Ok(revision) => {
            log::info!(revision = revision.0, change = proposal.change.as_str(); "change committed");
            json(StatusCode::OK, &Committed { revision })
        }
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &CommitError) -> Response {
    let message = error.to_string();
    match error {
        CommitError::Settings { source: SettingsError::Conflict { .. } } => {
            problem(StatusCode::CONFLICT, "conflict", message)
        }
        CommitError::Settings { .. } => problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message),
        CommitError::Record { source } if source.is_unknown() => {
            problem(StatusCode::SERVICE_UNAVAILABLE, "outcome_unknown", message)
        }
        _ => problem(StatusCode::SERVICE_UNAVAILABLE, "platform_down", message),
    }
}

/// An instance as this entry sees it.
#[derive(Debug, Serialize)]
struct Member {
    #[serde(flatten)]
    listed: Listed,
    leaving: bool,
    connected: bool,
}

/// Instances as this entry sees them.
#[handler]
pub fn members(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    guarded(&entry, request, |_| {
        let members = entry.shared.members.load();
        let now = entry.shared.clock.now();
        let member = |listed: &Listed| Member {
            listed: listed.clone(),
            leaving: members.is_leaving(&listed.instance),
            connected: entry.shared.links.get(&listed.instance).is_some_and(|link| link.is_available(now)),
        };
        json(StatusCode::OK, &members.all().map(member).collect::<Vec<_>>())
    })
}

/// Standing of this entry.
#[derive(Debug, Serialize)]
struct Status {
    instance: String,
    revision: Revision,
    ready: bool,
    in_flight: u64,
    unbilled: usize,
}

/// Standing of this entry.
#[handler]
pub async fn standing(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    if let Err(fault) = auth::operator(&entry, request) {
        return fault.response();
    }
    let unbilled = entry.control.query(|kernel| kernel.billing().map_or(0, |outbox| outbox.len())).await;
    let status = Status {
        instance: entry.shared.config.instance.id.to_string(),
        revision: entry.shared.published.load().state.revision,
        ready: entry.shared.is_ready(),
        in_flight: *entry.working.borrow(),
        unbilled: unbilled.unwrap_or_default(),
    };
    json(StatusCode::OK, &status)
}
