//! Questions about calls that run only on a second order.

use std::sync::Arc;

use bluebell_core::intent::Resolution;
use bluebell_wire::{
    Incoming, WireError,
    messages::{ResolveAsk, ResolveReply},
};

use super::state::Sidecar;

/// Answers what became of a call.
///
/// # Errors
/// When the connection broke.
pub async fn resolve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<ResolveAsk, ResolveReply>()?;
    let question = reader.expect().await?;
    // An earlier incarnation's calls are not known here, and may have run.
    let known = question.incarnation == sidecar.shared.incarnation;
    let word = if known { sidecar.calls().resolve(&question.attempt) } else { Resolution::Unknown };
    writer.finish(&word).await
}
