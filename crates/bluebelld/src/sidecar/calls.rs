//! Queries for the outcome of two-step calls, which run only after a separate `Execute` message.

use std::sync::Arc;

use bluebell_core::intent::Resolution;
use bluebell_wire::{
    Incoming, WireError,
    messages::{ResolveReply, ResolveRequest},
};

use super::state::Sidecar;

/// Serves a [`Resolve`](bluebell_wire::Route::Resolve) stream: returns the outcome of a call.
///
/// # Errors
/// When the connection fails.
pub async fn resolve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    let peer = incoming.from.clone();
    let (mut reader, mut writer) = incoming.accept::<ResolveRequest, ResolveReply>()?;
    let request = reader.expect().await?;
    // The call registry doesn't survive a restart: calls of an earlier incarnation may have run.
    let known = request.incarnation == sidecar.shared.incarnation;
    let now = sidecar.shared.clock.now();
    let resolution = if known { sidecar.calls().resolve(&request.attempt, now) } else { Resolution::Unknown };
    let outcome = match &resolution {
        Resolution::NeverRan => "never ran",
        Resolution::Running => "running",
        Resolution::Done(_) => "done",
        Resolution::Unknown => "unknown",
        Resolution::Reserved => "reserved",
    };
    log::info!(
        attempt = request.attempt.as_str(), peer = peer.as_str(), outcome = outcome, known = known;
        "peer queried the outcome of a call"
    );
    writer.finish(&resolution).await
}
