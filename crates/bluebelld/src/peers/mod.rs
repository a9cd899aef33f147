//! Peer routes that entries and sidecars have in common: heartbeats, distribution of settings, and billing rows.

mod connect;
mod heartbeats;

use std::sync::Arc;

use bluebell_core::{billing::BillingEvent, ids::Revision, kernel::Input};
use bluebell_wire::{
    Incoming, Route, WireError,
    messages::{BillsReply, BillsRequest, ConfirmedReply, ConfirmedRequest, FetchReply, FetchRequest},
};
pub use connect::{connection, update_links};
use heartbeats::{HeartbeatContext, HeartbeatTiming, exchange_heartbeats};

use crate::shared::{ControlHandle, Shared};

/// Serves a stream on one of the common routes.
///
/// # Errors
/// When the connection fails, the peer sends an invalid message, or the route is not a common one.
pub async fn serve(shared: &Arc<Shared>, control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    match incoming.route {
        Route::Follow | Route::Watch => serve_follow(shared, control, incoming).await,
        Route::Fetch => serve_fetch(control, incoming).await,
        Route::Bills => serve_bills(shared, control, incoming).await,
        Route::Confirmed => serve_confirmed(shared, incoming).await,
        Route::Run | Route::Resolve | Route::Exchange => {
            Err(WireError::UnknownRoute { path: incoming.route.to_string() })
        }
    }
}

async fn serve_follow(shared: &Arc<Shared>, control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    let peer = incoming.from.clone();
    let timing = HeartbeatTiming::of(incoming.route, &shared.config.timing);
    let (reader, writer) = incoming.accept()?;
    let context = HeartbeatContext { shared, control, peer: &peer, timing };
    let result = exchange_heartbeats(&context, reader, writer, |heartbeat| {
        shared.followers.confirm(peer.clone(), heartbeat.revision);
    })
    .await;
    shared.followers.remove(&peer);
    result
}

async fn serve_fetch(control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<FetchRequest, FetchReply>()?;
    let after = reader.expect().await?.after;
    let update = control.query(move |kernel| kernel.settings().map(|follower| follower.update_since(after))).await;
    match update.flatten() {
        Some(update) => writer.finish(&update).await,
        None => Err(WireError::Closed),
    }
}

async fn serve_bills(shared: &Shared, control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<BillsRequest, BillsReply>()?;
    let reply = match reader.expect().await? {
        BillsRequest::HandOver(_) if shared.is_shutting_down() => BillsReply::Declined,
        BillsRequest::HandOver(rows) => {
            for row in rows {
                control.input(Input::Billing(BillingEvent::Add(row)));
            }
            BillsReply::Accepted
        }
        BillsRequest::Settled(requests) => {
            control.input(Input::Billing(BillingEvent::Settled(requests)));
            BillsReply::Accepted
        }
    };
    writer.finish(&reply).await
}

async fn serve_confirmed(shared: &Shared, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<ConfirmedRequest, ConfirmedReply>()?;
    reader.expect().await?;
    let own = Revision(*shared.revision.borrow());
    writer.finish(&ConfirmedReply { own, followers: shared.followers.confirmations() }).await
}
