//! Endpoint that lists the model versions available to a caller.

use std::sync::Arc;

use poem::{Request, Response, handler, web::Data};
use serde::Serialize;

use super::{auth, request_error::RequestError, state::Entry};

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Debug, Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
}

/// Lists the model versions that a caller may use at present.
#[handler]
pub fn list(entry: Data<&Arc<Entry>>, request: &Request) -> Response {
    match items(&entry, request) {
        Ok(data) => {
            let body = serde_json::to_vec(&ModelList { object: "list", data }).unwrap_or_default();
            Response::builder().content_type("application/json").body(body)
        }
        Err(error) => error.response(),
    }
}

fn items(entry: &Entry, request: &Request) -> Result<Vec<ModelItem>, RequestError> {
    let caller = auth::authenticate_caller(entry, request)?;
    let policy = &caller.policy;
    let usable = policy.allow.iter().filter(|id| caller.plan.check_version(&policy.branch, &caller.org, id).is_ok());
    Ok(usable.map(|id| ModelItem { id: id.to_string(), object: "model" }).collect())
}
