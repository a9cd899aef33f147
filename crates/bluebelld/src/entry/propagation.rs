//! Shows how far a settings revision has propagated, by asking every entry which revisions it and its followers have
//! confirmed.

use std::{collections::HashMap, sync::Arc};

use bluebell_core::{
    ids::{InstanceId, Revision},
    members::{Listed, Role},
};
use bluebell_wire::{
    Route,
    messages::{Confirmation, ConfirmedReply, ConfirmedRequest},
};
use futures_util::{StreamExt, stream};
use poem::{
    Request, Response, handler,
    http::StatusCode,
    web::{Data, Query},
};
use serde::{Deserialize, Serialize};

use super::{admin::json_response, auth, state::Entry};
use crate::peers;

/// Maximum number of entries queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Query parameters.
#[derive(Debug, Deserialize)]
struct RevisionQuery {
    revision: u64,
}

/// Propagation status of a settings revision.
#[derive(Debug, Serialize)]
struct Propagation {
    revision: u64,
    everywhere: bool,
    confirmed: usize,
    behind: Vec<UnconfirmedInstance>,
}

/// An instance that has not confirmed the revision.
#[derive(Debug, Serialize)]
struct UnconfirmedInstance {
    instance: InstanceId,
    zone: String,
    confirmed: Option<u64>,
}

/// Returns which instances have not yet confirmed a revision. Instances that are leaving are ignored.
#[handler]
pub async fn show(entry: Data<&Arc<Entry>>, request: &Request, Query(query): Query<RevisionQuery>) -> Response {
    if let Err(error) = auth::authenticate_operator(&entry, request) {
        return error.response();
    }
    let confirmed = confirmations(&entry).await;
    let members = entry.shared.members.load();
    let mut reply = Propagation { revision: query.revision, everywhere: false, confirmed: 0, behind: Vec::new() };
    for listed in members.all().filter(|item| !members.is_leaving(&item.instance)) {
        let known = confirmed.get(&listed.instance).map(|revision| revision.0);
        if known.is_some_and(|revision| revision >= query.revision) {
            reply.confirmed += 1;
            continue;
        }
        let zone = listed.zone.to_string();
        reply.behind.push(UnconfirmedInstance { instance: listed.instance.clone(), zone, confirmed: known });
    }
    reply.everywhere = reply.behind.is_empty();
    json_response(StatusCode::OK, &reply)
}

async fn confirmations(entry: &Arc<Entry>) -> HashMap<InstanceId, Revision> {
    let members = entry.shared.members.load_full();
    let own = &entry.shared.config.instance.id;
    let others: Vec<Listed> = members.all().filter(|item| item.role == Role::Entry).cloned().collect();
    let replies =
        stream::iter(others).map(|listed| query_entry(entry, own, listed)).buffer_unordered(MAX_CONCURRENT_QUERIES);
    let mut confirmed: HashMap<InstanceId, Revision> = HashMap::new();
    for confirmation in replies.collect::<Vec<_>>().await.into_iter().flatten() {
        let known = confirmed.entry(confirmation.instance).or_default();
        *known = confirmation.revision.max(*known);
    }
    confirmed
}

async fn query_entry(entry: &Entry, own: &InstanceId, listed: Listed) -> Vec<Confirmation> {
    let reply = if listed.instance == *own {
        let own = Revision(*entry.shared.revision.borrow());
        Some(ConfirmedReply { own, followers: entry.shared.followers.confirmations() })
    } else {
        let connection = peers::connection(&entry.shared, &listed.instance).await;
        match connection {
            Some(connection) => connection.ask(Route::Confirmed, &ConfirmedRequest {}).await.ok(),
            None => None,
        }
    };
    let Some(reply) = reply else { return Vec::new() };
    let mut confirmations = reply.followers;
    confirmations.push(Confirmation { instance: listed.instance, revision: reply.own });
    confirmations
}
