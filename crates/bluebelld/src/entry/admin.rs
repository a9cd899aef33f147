//! Admin API: lets operators read and change settings and inspect the fleet.

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

use super::{auth, request_error::RequestError, state::Entry};
use crate::records::{CommitError, Proposal};

/// Body of an admin API error.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Serialize)]
struct ErrorFields {
    code: &'static str,
    message: String,
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}

fn error_response(status: StatusCode, code: &'static str, message: String) -> Response {
    json_response(status, &ErrorBody { error: ErrorFields { code, message } })
}

/// Calls `handler` with the operator's name if the request carries a valid operator key.
fn with_operator(entry: &Entry, request: &Request, handler: impl FnOnce(String) -> Response) -> Response {
    auth::authenticate_operator(entry, request).map_or_else(|error: RequestError| error.response(), handler)
}

/// Returns the settings in force at this entry.
#[handler]
pub fn settings(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    with_operator(&entry, request, |_| json_response(StatusCode::OK, &entry.shared.published.load().state))
}

/// Returns, for each settings key of a branch, the branch from which its value is inherited.
#[handler]
pub fn explain(entry: Data<&Arc<Entry>>, request: &Request, Path(branch): Path<String>) -> Response {
    with_operator(&entry, request, |_| {
        let state = Arc::clone(&entry.shared.published.load().state);
        let found = state.tree().ok().zip(branch.parse::<BranchId>().ok());
        let explained = found.and_then(|(tree, id)| tree.get(&id).map(|branch| tree::explain(&tree, branch)));
        match explained {
            Some(Ok(origins)) => json_response(StatusCode::OK, &origins),
            Some(Err(error)) => error_response(StatusCode::UNPROCESSABLE_ENTITY, "invalid", error.to_string()),
            None => error_response(StatusCode::NOT_FOUND, "no_branch", format!("there is no branch {branch}")),
        }
    })
}

/// Query parameters of the history: returns changes after this revision.
#[derive(Debug, Deserialize)]
struct HistoryQuery {
    #[serde(default)]
    after: u64,
}

/// Returns the accepted changes after a revision.
#[handler]
pub async fn history(entry: Data<&Arc<Entry>>, request: &Request, Query(query): Query<HistoryQuery>) -> Response {
    if let Err(error) = auth::authenticate_operator(&entry, request) {
        return error.response();
    }
    match entry.shared.records.records(Revision(query.after)).await {
        Ok(records) => json_response(StatusCode::OK, &records),
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, "platform_down", error.to_string()),
    }
}

/// Body of a request to change settings. `change` is an id that makes repeats of the request safe.
// Keep the identifier: serde puts it into type errors in the HTTP answer ("expected struct Change"), and
// `#[serde(rename)]` does not alter that text.
#[derive(Debug, Deserialize)]
struct Change {
    change: ChangeId,
    action: Action,
}

/// Response to a committed change, with the revision that it created.
#[derive(Debug, Serialize)]
struct ChangeResponse {
    revision: Revision,
}

/// Commits a change of settings.
#[handler]
pub async fn change(entry: Data<&Arc<Entry>>, request: &Request, Json(change): Json<Change>) -> Response {
    let author = match auth::authenticate_operator(&entry, request) {
        Ok(author) => author,
        Err(error) => return error.response(),
    };
    let proposal = Proposal { change: change.change, author, action: change.action };
    let known = Arc::clone(&entry.shared.published.load().state);
    match entry.shared.records.commit(&known, &proposal, None).await {
        Ok(revision) => {
            log::info!(revision = revision.0, change = proposal.change.as_str(); "change committed");
            json_response(StatusCode::OK, &ChangeResponse { revision })
        }
        Err(error) => commit_error_response(&error),
    }
}

fn commit_error_response(error: &CommitError) -> Response {
    let message = error.to_string();
    match error {
        CommitError::Settings { source: SettingsError::Conflict { .. } } => {
            error_response(StatusCode::CONFLICT, "conflict", message)
        }
        CommitError::Settings { .. } => error_response(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message),
        CommitError::Record { source } if source.is_unknown() => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "outcome_unknown", message)
        }
        _ => error_response(StatusCode::SERVICE_UNAVAILABLE, "platform_down", message),
    }
}

/// An instance with its status as seen by this entry.
#[derive(Debug, Serialize)]
struct MemberStatus {
    #[serde(flatten)]
    listed: Listed,
    leaving: bool,
    connected: bool,
}

/// Lists all instances with their status as seen by this entry.
#[handler]
pub fn members(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    with_operator(&entry, request, |_| {
        let members = entry.shared.members.load();
        let now = entry.shared.clock.now();
        let member = |listed: &Listed| MemberStatus {
            listed: listed.clone(),
            leaving: members.is_leaving(&listed.instance),
            connected: entry.shared.links.get(&listed.instance).is_some_and(|link| link.is_available(now)),
        };
        json_response(StatusCode::OK, &members.all().map(member).collect::<Vec<_>>())
    })
}

/// Status of this entry.
#[derive(Debug, Serialize)]
struct Status {
    instance: String,
    revision: Revision,
    ready: bool,
    in_flight: u64,
    unbilled: usize,
}

/// Returns the status of this entry.
#[handler]
pub async fn entry_status(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    if let Err(error) = auth::authenticate_operator(&entry, request) {
        return error.response();
    }
    let unbilled = entry.control.query(|kernel| kernel.billing().map_or(0, |outbox| outbox.len())).await;
    let status = Status {
        instance: entry.shared.config.instance.id.to_string(),
        revision: entry.shared.published.load().state.revision,
        ready: entry.shared.is_ready(),
        in_flight: *entry.active_work.borrow(),
        unbilled: unbilled.unwrap_or_default(),
    };
    json_response(StatusCode::OK, &status)
}
