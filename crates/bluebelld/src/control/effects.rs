//! What the control thread does about each effect.

use std::sync::{Arc, atomic::Ordering};

use bluebell_core::{
    billing::{BillRow, BillingEffect, BillingEvent},
    gate::GateEvent,
    ids::{InstanceId, RequestId, Revision},
    kernel::{Effect, Input},
    members::Role,
    routing::{Plan, Subset},
    settings::{FollowerEffect, FollowerEvent, SettingsUpdate, State, follower::Origin},
};
use bluebell_wire::{
    Route,
    messages::{BillsReply, BillsRequest, FetchRequest},
};
use indexmap::IndexMap;
use tokio::task::spawn_local;

use super::Control;
use crate::{
    peers,
    shared::{ControlHandle, Published, Shared},
};

impl Control {
    pub(super) fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Settings(FollowerEffect::Fetch { origin, after }) => {
                spawn_local(fetch(Arc::clone(&self.shared), self.handle.clone(), origin, after));
            }
            Effect::Settings(FollowerEffect::Publish(_)) => {}
            Effect::Publish { state, plan } => self.publish(state, plan),
            Effect::Members => self.adopt_members(),
            Effect::Billing(BillingEffect::Insert(rows)) => {
                spawn_local(insert(Arc::clone(&self.shared), self.handle.clone(), rows));
            }
            // The gate is not a service of this kernel: traffic threads reach it without a turn.
            Effect::Gate(_) => {}
        }
    }

    fn publish(&self, state: Arc<State>, plan: Arc<Plan>) {
        let revision = state.revision.0;
        log::info!(revision; "settings in force");
        // The gate obeys the settings before anybody is told that they are in force here.
        if let Some(admission) = &self.shared.admission {
            admission.tell(GateEvent::Plan { revision: state.revision, plan: Arc::clone(&plan) });
        }
        self.shared.published.store(Arc::new(Published { state, plan }));
        self.shared.metrics.set_revision(revision);
        self.shared.revision.send_replace(revision);
        // Only settings known to be current are published; peers must not hear of them as not yet current.
        self.shared.current.store(true, Ordering::Relaxed);
        self.shared.tell_news();
    }

    fn adopt_members(&self) {
        let Some(members) = self.kernel.members() else { return };
        let own = &self.shared.config.instance;
        self.shared.members.store(Arc::new(members.clone()));
        if own.role == Role::Entry {
            let subset = Subset::choose(&own.id, &own.zone, &members.listed_sidecars());
            self.shared.subset.store(Arc::new(subset));
        }
        peers::adopt(&self.shared, &self.handle, members);
        let followed = members.followed(&own.id, &own.zone, own.role).len();
        self.handle.input(Input::Settings(FollowerEvent::Peers(followed)));
    }
}

async fn fetch(shared: Arc<Shared>, control: ControlHandle, origin: Origin, after: Revision) {
    let fetched = match &origin {
        Origin::Table => fetch_table(&shared, &control).await,
        Origin::Peer(peer) => fetch_peer(&shared, peer, after).await,
    };
    let event = fetched.map_or(FollowerEvent::Failed, FollowerEvent::Fetched);
    control.input(Input::Settings(event));
}

async fn fetch_table(shared: &Shared, control: &ControlHandle) -> Option<SettingsUpdate> {
    let known = control.query(|kernel| kernel.settings().map(|follower| Arc::clone(follower.state()))).await??;
    if known.revision > Revision::default() {
        let records = shared.records.records(known.revision).await;
        return records
            .map_err(|error| log::warn!("settings can't be fetched: {error}"))
            .ok()
            .map(SettingsUpdate::Records);
    }
    let state = shared.records.latest_state(&known).await;
    let state = state.map_err(|error| log::warn!("settings can't be fetched: {error}")).ok()?;
    Some(SettingsUpdate::Whole(Arc::new(state)))
}

async fn fetch_peer(shared: &Shared, peer: &InstanceId, after: Revision) -> Option<SettingsUpdate> {
    let connection = peers::connection(shared, peer).await?;
    let reply = connection.ask(Route::Fetch, &FetchRequest { after }).await;
    reply.map_err(|error| log::debug!("settings can't be fetched from {peer}: {error}")).ok()
}

async fn insert(shared: Arc<Shared>, control: ControlHandle, rows: Vec<BillRow>) {
    match shared.records.insert_bills(&rows).await {
        Ok(()) => {
            control.input(Input::Billing(BillingEvent::Stored));
            settle(&shared, &rows).await;
        }
        Err(error) => {
            log::warn!(rows = rows.len(); "billing rows not stored yet: {error}");
            control.input(Input::Billing(BillingEvent::Failed));
        }
    }
}

// Sidecars hold the rows of the attempts they ran; one that misses this word stores them once more, without harm.
async fn settle(shared: &Shared, rows: &[BillRow]) {
    let mut by_sidecar: IndexMap<InstanceId, Vec<RequestId>> = IndexMap::new();
    for row in rows {
        if let Some(sidecar) = shared.links.take_holder(&row.request) {
            by_sidecar.entry(sidecar).or_default().push(row.request.clone());
        }
    }
    for (sidecar, requests) in by_sidecar {
        let Some(connection) = shared.links.open_connection(&sidecar) else { continue };
        let told: Result<BillsReply, _> = connection.ask(Route::Bills, &BillsRequest::Settled(requests)).await;
        if let Err(error) = told {
            log::debug!("{sidecar} can't be told of stored rows: {error}");
        }
    }
}
