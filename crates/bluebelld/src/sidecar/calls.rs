//! Questions about calls that run only on a second order.

use std::sync::Arc;

use bluebell_core::intent::Resolution;
use bluebell_wire::{
    Incoming, WireError,
    messages::{ResolveReply, ResolveRequest},
};

use super::state::Sidecar;

/// Answers what became of a call.
///
/// # Errors
/// When the connection broke.
pub async fn resolve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    let peer = incoming.from.clone();
    let (mut reader, mut writer) = incoming.accept::<ResolveRequest, ResolveReply>()?;
    let question = reader.expect().await?;
    // An earlier incarnation's calls are not known here, and may have run.
    let known = question.incarnation == sidecar.shared.incarnation;
    let now = sidecar.shared.clock.now();
    let word = if known { sidecar.calls().resolve(&question.attempt, now) } else { Resolution::Unknown };
    let outcome = match &word {
        Resolution::NeverRan => "never ran",
        Resolution::Running => "running",
        Resolution::Done(_) => "done",
        Resolution::Unknown => "unknown",
        Resolution::Reserved => "reserved",
    };
    log::info!(
        attempt = question.attempt.as_str(), peer = peer.as_str(), outcome = outcome, known = known;
        "peer asked what became of a call"
    );
    writer.finish(&word).await
}
