//! Membership of the gateways. Each gateway writes a row with its address when it starts, and connects to every other
//! one. Rows are not renewed: a gateway that stays unreachable for too long is removed and its row is deleted.
//!
//! A gateway that stops deletes its row, and serves callers on open connections until it ends. From then on it has no part
//! in what members share, such as limits and elections, but is sent what the others are, until its connection closes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::{
    dissemination::forward_targets,
    ids::InstanceId,
    replica::{Origin, Row},
    store_version::number,
};
use bluebell_platform::store::{Put, RowKey, Transaction, TransactionOutcome};
use bluebell_wire::messages::{ExchangeMessage, GatewayAddress};
use indexmap::IndexMap;
use tokio::task::spawn_local;

use super::{event::EventSender, links};
use crate::gateway::{outbox::Outbox, state::Gateway};

/// Prefix of the keys of member rows.
pub const KEY_PREFIX: &str = "member/";
/// Time without a connection after which a gateway is removed: several times as long as a restart takes.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(500);

struct Member {
    address: SocketAddr,
    // Version of its row in the store, once that was read.
    row: Option<u64>,
    connected: bool,
    // Whether its row was deleted.
    leaving: bool,
    // When the connection was last opened or lost, or when the gateway became known.
    since: Duration,
    outbox: Outbox,
}

/// The other gateways.
pub struct Members {
    gateway: Arc<Gateway>,
    events: EventSender,
    known: IndexMap<InstanceId, Member>,
}

impl Members {
    pub(super) fn new(gateway: Arc<Gateway>, events: EventSender) -> Self {
        Self { gateway, events, known: IndexMap::new() }
    }

    pub(super) fn start(&self) {
        spawn_local(write_own_row(Arc::clone(&self.gateway), true));
        let own = self.gateway.settings.listen.announced();
        for seed in self.gateway.settings.seeds.iter().filter(|seed| **seed != own) {
            links::announce(&self.gateway, *seed);
        }
    }

    pub(super) fn leave(&self) {
        spawn_local(write_own_row(Arc::clone(&self.gateway), false));
    }

    /// Applies a changed member row.
    pub(super) fn apply_row(&mut self, name: &str, row: &Row, now: Duration) {
        let Ok(id) = name.parse::<InstanceId>() else {
            log::warn!(row = number(row.version); "member row has the key {name:?}, which is not an instance id");
            return;
        };
        let is_own = id == self.gateway.settings.instance.id;
        match row.value.as_deref().map(parse_address) {
            None if is_own && !self.gateway.is_leaving() => {
                log::warn!("own member row was deleted; writing it again");
                self.start();
            }
            None => self.mark_leaving(&id, row.version),
            Some(_) if is_own => {}
            Some(Some(address)) => self.put(id, address, Some(row.version), now),
            Some(None) => {
                log::warn!(peer = id.as_str(), row = number(row.version); "member row does not hold a valid address");
            }
        }
    }

    /// Writes this gateway's row again, if it is the one with the given name.
    pub(super) fn rewrite_row(&self, name: &str) {
        if name == self.gateway.settings.instance.id.as_str() && !self.gateway.is_leaving() {
            spawn_local(write_own_row(Arc::clone(&self.gateway), true));
        }
    }

    /// Adds a peer that announced its id and address on a connection.
    pub(super) fn hello(&mut self, peer: GatewayAddress, now: Duration) {
        if peer.instance != self.gateway.settings.instance.id {
            self.put(peer.instance, peer.address, None, now);
        }
    }

    fn mark_leaving(&mut self, id: &InstanceId, version: u64) {
        let Some(member) = self.known.get_mut(id) else { return };
        log::info!(peer = id.as_str(), row = number(version), connected = member.connected; "peer is leaving");
        (member.leaving, member.row) = (true, None);
        if !member.connected {
            self.known.shift_remove(id);
        }
    }

    fn put(&mut self, id: InstanceId, address: SocketAddr, row: Option<u64>, now: Duration) {
        if let Some(member) = self.known.get_mut(&id).filter(|member| member.address == address) {
            member.row = row.or(member.row);
            member.leaving = false;
            return;
        }
        log::info!(peer = id.as_str(), address = address.to_string().as_str(); "peer discovered");
        let (outbox, queue) = Outbox::new(Arc::clone(&self.gateway.clock));
        links::maintain(&self.gateway, &self.events, id.clone(), address, queue);
        self.known.insert(id, Member { address, row, connected: false, leaving: false, since: now, outbox });
    }

    /// Records that the connection to a peer was opened or lost. Returns whether that changed anything. A peer that was
    /// leaving is gone with its connection.
    pub(super) fn set_connected(&mut self, peer: &InstanceId, connected: bool, now: Duration) -> bool {
        let Some(member) = self.known.get_mut(peer).filter(|member| member.connected != connected) else {
            return false;
        };
        if member.leaving && !connected {
            self.known.shift_remove(peer);
            log::info!(peer = peer.as_str(); "peer has left");
            return false;
        }
        member.connected = connected;
        member.since = now;
        true
    }

    /// Sends a message to one peer. It is dropped if the peer's queue is full: such a connection is expected to time
    /// out, and the next one starts with all rows if this gateway forwards to that peer.
    pub(super) fn send(&self, peer: &InstanceId, message: &ExchangeMessage) {
        if let Some(member) = self.known.get(peer) {
            let _ = member.outbox.send(message.clone());
        }
    }

    /// Sends a message to all connected peers. Returns whether it was queued for each of them.
    pub(super) fn broadcast(&self, message: &ExchangeMessage) -> bool {
        self.broadcast_each(|_| Some(message))
    }

    /// Sends to each connected peer the message chosen for it, if there is one. Returns whether each was queued.
    pub(super) fn broadcast_each<'a>(&self, choose: impl Fn(&InstanceId) -> Option<&'a ExchangeMessage>) -> bool {
        let mut queued = true;
        for (id, member) in self.known.iter().filter(|(_, member)| member.connected) {
            if let Some(message) = choose(id) {
                queued &= member.outbox.send(message.clone());
            }
        }
        queued
    }

    /// Forwards what this gateway has just learned, from the store or from the given peer, to the peers that have to
    /// hear of it from this gateway; see [`forward_targets`].
    pub(super) fn forward(&self, message: &ExchangeMessage, from: Option<&InstanceId>) {
        let targets = forward_targets(&self.gateway.settings.instance.id, self.connected());
        for id in targets.into_iter().filter(|id| Some(*id) != from) {
            self.send(id, message);
        }
    }

    /// Whether a peer to which a connection was opened gets all rows from this gateway. A peer that only announced itself
    /// does: it may know no other gateway.
    pub(super) fn needs_all_rows(&self, peer: &InstanceId) -> bool {
        self.known.get(peer).is_some_and(|member| member.row.is_none())
            || forward_targets(&self.gateway.settings.instance.id, self.connected()).contains(&peer)
    }

    fn connected(&self) -> impl Iterator<Item = &InstanceId> {
        self.known.iter().filter(|(_, member)| member.connected).map(|(id, _)| id)
    }

    /// Number of gateways that share common limits, including this one. Gateways that are unreachable from here count
    /// too, as they may still serve callers elsewhere.
    pub(super) fn count(&self) -> usize {
        1 + self.ids().count()
    }

    /// All other gateways that [`Members::count`] counts.
    pub(super) fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.known.iter().filter(|(_, member)| !member.leaving).map(|(id, _)| id)
    }

    /// Whether this gateway has a lower id than all connected gateways that fulfil the condition.
    pub(super) fn has_lowest_id(&self, condition: impl Fn(&InstanceId) -> bool) -> bool {
        let own = &self.gateway.settings.instance.id;
        !self.ids().any(|id| id < own && self.is_connected(id) && condition(id))
    }

    pub(super) fn is_known(&self, peer: &InstanceId) -> bool {
        self.known.get(peer).is_some_and(|member| !member.leaving)
    }

    pub(super) fn is_connected(&self, peer: &InstanceId) -> bool {
        self.known.get(peer).is_some_and(|member| member.connected && !member.leaving)
    }

    /// Removes gateways that were unreachable for too long, unless this gateway has lost the store itself.
    pub(super) fn remove_unreachable(&mut self, now: Duration, store_connected: bool) {
        if !store_connected {
            return;
        }
        let is_expired = |member: &Member| !member.connected && now >= member.since + REMOVAL_TIMEOUT;
        let removed: Vec<InstanceId> =
            self.known.iter().filter(|(_, member)| is_expired(member)).map(|(id, _)| id.clone()).collect();
        for id in removed {
            let row = self.known.shift_remove(&id).and_then(|member| member.row);
            log::info!(peer = id.as_str(); "peer was unreachable for too long and is taken for gone");
            if let Some(version) = row {
                spawn_local(delete_row(Arc::clone(&self.gateway), id, version));
            }
        }
    }
}

fn parse_address(content: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(content).ok()?.parse().ok()
}

fn row_key(id: &InstanceId) -> RowKey {
    RowKey::unpartitioned(Origin::Fleet, format!("{KEY_PREFIX}{id}"))
}

// Writes this gateway's member row if `joins` is set, and deletes it otherwise. Retries until that succeeds; the row is
// no longer written once the gateway is leaving.
async fn write_own_row(gateway: Arc<Gateway>, joins: bool) {
    let at = row_key(&gateway.settings.instance.id);
    let value = gateway.settings.listen.announced().to_string().into_bytes();
    let transaction = if joins {
        Transaction { puts: vec![Put { at, value }], ..Transaction::default() }
    } else {
        Transaction { deletes: vec![at], ..Transaction::default() }
    };
    while joins != gateway.is_leaving() {
        match gateway.store.transact(&transaction).await {
            Ok(_) => return,
            Err(error) => log::debug!("failed to update own member row: {error}"),
        }
        tokio::time::sleep(WRITE_RETRY_PAUSE).await;
    }
}

async fn delete_row(gateway: Arc<Gateway>, id: InstanceId, version: u64) {
    let at = row_key(&id);
    let transaction =
        Transaction { expected: vec![(at.clone(), version)], deletes: vec![at], ..Transaction::default() };
    match gateway.store.transact(&transaction).await {
        Ok(TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict) => {}
        Err(error) => log::warn!(peer = id.as_str(); "failed to delete member row: {error}"),
    }
}
