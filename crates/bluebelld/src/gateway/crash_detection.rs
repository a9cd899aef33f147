//! Handles lost answers: records them in the upstream's health, and detects whether the upstream has crashed.

use std::sync::Arc;

use bluebell_core::{placing::HealthEvent, poison::ResponseLoss, upstreams::Upstream};

use super::{
    pool::{self, PoolError},
    state::Gateway,
};

/// Records that an upstream lost an answer. After a broken connection, probes whether the upstream still accepts
/// connections.
pub fn record_lost_answer(gateway: &Arc<Gateway>, upstream: &Arc<Upstream>, loss: ResponseLoss) {
    gateway.traffic().record_health(gateway.now(), &upstream.id, HealthEvent::Lost);
    record_unread_answer(gateway, upstream, loss);
}

/// Records likewise, but not in the upstream's health: its caller did not read the answer, and an upstream may cut off
/// such an answer.
pub fn record_unread_answer(gateway: &Arc<Gateway>, upstream: &Arc<Upstream>, loss: ResponseLoss) {
    let should_probe = gateway.traffic().in_flight.record_loss(gateway.now(), &upstream.incarnation(), loss);
    if should_probe {
        tokio::spawn(probe(Arc::clone(gateway), Arc::clone(upstream)));
    } else {
        gateway.crash_check.notify_one();
    }
}

/// Records that an upstream's address refused a connection: nothing listens there.
pub fn record_refused(gateway: &Gateway, upstream: &Upstream) {
    gateway.traffic().in_flight.connection_refused(gateway.now(), &upstream.incarnation());
    gateway.crash_check.notify_one();
}

async fn probe(gateway: Arc<Gateway>, upstream: Arc<Upstream>) {
    let connection = pool::connect(upstream.address).await;
    let now = gateway.now();
    match connection {
        Ok(connection) => {
            gateway.pools.put(connection, now, None);
            gateway.traffic().in_flight.connection_accepted(now, &upstream.incarnation());
        }
        Err(error) if error.is_refused() => record_refused(&gateway, &upstream),
        // Inconclusive: whether the upstream has crashed is then decided by its registry entry.
        Err(PoolError::Connect { .. } | PoolError::Timeout { .. } | PoolError::Handshake { .. }) => {}
    }
}
