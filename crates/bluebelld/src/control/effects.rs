//! Execution of the kernel's effects.

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
            Effect::Members => self.update_members(),
            Effect::Billing(BillingEffect::Insert(rows)) => {
                spawn_local(store_bills(Arc::clone(&self.shared), self.handle.clone(), rows));
            }
            // The gate is not registered with this kernel: traffic threads call it directly through `Admission`.
            Effect::Gate(_) => {}
        }
    }

    fn publish(&self, state: Arc<State>, plan: Arc<Plan>) {
        let revision = state.revision.0;
        log::info!(revision; "settings in force");
        // The gate has to apply the settings before this instance reports them as in force.
        if let Some(admission) = &self.shared.admission {
            admission.notify(GateEvent::Plan { revision: state.revision, plan: Arc::clone(&plan) });
        }
        self.shared.published.store(Arc::new(Published { state, plan }));
        self.shared.metrics.set_revision(revision);
        self.shared.revision.send_replace(revision);
        // The kernel publishes only settings known to be current. The flag is set before peers are notified, so that
        // the heartbeat with the new revision doesn't report this instance as still starting.
        self.shared.settings_current.store(true, Ordering::Relaxed);
        self.shared.notify_peers();
    }

    fn update_members(&self) {
        let Some(members) = self.kernel.members() else { return };
        let own = &self.shared.config.instance;
        self.shared.members.store(Arc::new(members.clone()));
        if own.role == Role::Entry {
            let subset = Subset::choose(&own.id, &own.zone, &members.listed_sidecars());
            self.shared.subset.store(Arc::new(subset));
        }
        peers::update_links(&self.shared, &self.handle, members);
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
            .map_err(|error| log::warn!("fetching settings records from the store failed: {error}"))
            .ok()
            .map(SettingsUpdate::Records);
    }
    let state = shared.records.latest_state(&known).await;
    let state = state.map_err(|error| log::warn!("fetching settings from the store failed: {error}")).ok()?;
    Some(SettingsUpdate::Whole(Arc::new(state)))
}

async fn fetch_peer(shared: &Shared, peer: &InstanceId, after: Revision) -> Option<SettingsUpdate> {
    let connection = peers::connection(shared, peer).await?;
    let reply = connection.ask(Route::Fetch, &FetchRequest { after }).await;
    reply.map_err(|error| log::debug!("fetching settings from {peer} failed: {error}")).ok()
}

async fn store_bills(shared: Arc<Shared>, control: ControlHandle, rows: Vec<BillRow>) {
    match shared.records.insert_bills(&rows).await {
        Ok(()) => {
            control.input(Input::Billing(BillingEvent::Stored));
            notify_holders(&shared, &rows).await;
        }
        Err(error) => {
            log::warn!(rows = rows.len(); "storing billing rows failed, will be retried: {error}");
            control.input(Input::Billing(BillingEvent::Failed));
        }
    }
}

// Sidecars hold copies of the billing rows of attempts that they ran, and discard them on this message. A sidecar that
// misses it stores its rows again, which has no effect since rows are only inserted if absent.
async fn notify_holders(shared: &Shared, rows: &[BillRow]) {
    let mut by_sidecar: IndexMap<InstanceId, Vec<RequestId>> = IndexMap::new();
    for row in rows {
        if let Some(sidecar) = shared.links.take_billing_holder(&row.request) {
            by_sidecar.entry(sidecar).or_default().push(row.request.clone());
        }
    }
    for (sidecar, requests) in by_sidecar {
        let Some(connection) = shared.links.open_connection(&sidecar) else { continue };
        let reply: Result<BillsReply, _> = connection.ask(Route::Bills, &BillsRequest::Settled(requests)).await;
        if let Err(error) = reply {
            log::debug!("notifying {sidecar} of stored billing rows failed: {error}");
        }
    }
}
