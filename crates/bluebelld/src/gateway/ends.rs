//! Answers that were lost: what they say of the upstream's health, and finding out whether it ended.

use std::sync::Arc;

use bluebell_core::{placing::HealthEvent, poison::ResponseLoss, upstreams::Upstream};

use super::{
    pool::{self, PoolError},
    state::Gateway,
};

/// Notes that an upstream lost an answer; after a broken connection asks whether anybody listens there still.
pub fn lose(gateway: &Arc<Gateway>, upstream: &Arc<Upstream>, loss: ResponseLoss) {
    let now = gateway.now();
    let mut traffic = gateway.traffic();
    traffic.note(now, &upstream.id, HealthEvent::Lost);
    let is_due = traffic.flights.record_loss(now, &upstream.life(), loss);
    drop(traffic);
    if is_due {
        tokio::spawn(probe(Arc::clone(gateway), Arc::clone(upstream)));
    } else {
        gateway.ended.notify_one();
    }
}

/// Nobody listens at an upstream's address.
pub fn refuse(gateway: &Gateway, upstream: &Upstream) {
    gateway.traffic().flights.connection_refused(gateway.now(), &upstream.life());
    gateway.ended.notify_one();
}

async fn probe(gateway: Arc<Gateway>, upstream: Arc<Upstream>) {
    let found = pool::connect(upstream.address).await;
    let now = gateway.now();
    match found {
        Ok(lease) => {
            gateway.pools.put(lease, now, None);
            gateway.traffic().flights.connection_accepted(now, &upstream.life());
        }
        Err(error) if error.is_refused() => refuse(&gateway, &upstream),
        // Silence decides nothing; the upstream's entry will.
        Err(PoolError::Connect { .. } | PoolError::Timeout { .. } | PoolError::Handshake { .. }) => {}
    }
}
