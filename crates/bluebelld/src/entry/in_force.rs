//! Where a revision is in force: every entry is asked what it and its followers have confirmed.

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

use super::{admin::json, auth, state::Entry};
use crate::peers;

/// Entries asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// Revision asked about.
#[derive(Debug, Deserialize)]
struct Asked {
    revision: u64,
}

/// Where a revision is in force.
#[derive(Debug, Serialize)]
struct InForce {
    revision: u64,
    everywhere: bool,
    confirmed: usize,
    behind: Vec<Behind>,
}

/// An instance that has not confirmed a revision.
#[derive(Debug, Serialize)]
struct Behind {
    instance: InstanceId,
    zone: String,
    confirmed: Option<u64>,
}

/// Tells where a revision is in force.
#[handler]
pub async fn show(entry: Data<&Arc<Entry>>, request: &Request, Query(asked): Query<Asked>) -> Response {
    if let Err(fault) = auth::operator(&entry, request) {
        return fault.response();
    }
    let confirmed = confirmations(&entry).await;
    let members = entry.shared.members.load();
    let mut reply = InForce { revision: asked.revision, everywhere: false, confirmed: 0, behind: Vec::new() };
    for listed in members.all().filter(|item| !members.is_leaving(&item.instance)) {
        let known = confirmed.get(&listed.instance).map(|revision| revision.0);
        if known.is_some_and(|revision| revision >= asked.revision) {
            reply.confirmed += 1;
            continue;
        }
        let zone = listed.zone.to_string();
        reply.behind.push(Behind { instance: listed.instance.clone(), zone, confirmed: known });
    }
    reply.everywhere = reply.behind.is_empty();
    json(StatusCode::OK, &reply)
}

async fn confirmations(entry: &Arc<Entry>) -> HashMap<InstanceId, Revision> {
    let members = entry.shared.members.load_full();
    let own = &entry.shared.config.instance.id;
    let others: Vec<Listed> = members.all().filter(|item| item.role == Role::Entry).cloned().collect();
    let asked = stream::iter(others).map(|listed| ask(entry, own, listed)).buffer_unordered(ASKED_AT_ONCE);
    let mut confirmed: HashMap<InstanceId, Revision> = HashMap::new();
    for confirmation in asked.collect::<Vec<_>>().await.into_iter().flatten() {
        let known = confirmed.entry(confirmation.instance).or_default();
        *known = confirmation.revision.max(*known);
    }
    confirmed
}

async fn ask(entry: &Entry, own: &InstanceId, listed: Listed) -> Vec<Confirmation> {
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
