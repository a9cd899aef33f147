//! The other gateways: each writes one row with its address when it starts, and has a connection to every other one.
//! No row is renewed; a gateway that can't be reached for long is taken for gone, and its row is deleted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::{
    ids::InstanceId,
    replica::{Origin, Row},
};
use bluebell_platform::store::{Put, RowKey, Transaction, TransactionOutcome};
use bluebell_wire::messages::{ExchangeMessage, GatewayAddress};
use indexmap::IndexMap;
use tokio::{sync::mpsc, task::spawn_local};

use super::{event::Events, links};
use crate::gateway::state::Gateway;

/// Start of the keys of members.
pub const PREFIX: &str = "member/";
/// Time without a connection after which a gateway is taken for gone: several times a restart.
const GONE_TIME: Duration = Duration::from_secs(20);
/// Pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Messages that may wait for one peer; beyond these the connection is begun anew, with all rows.
const BACKLOG: usize = 512;

struct Member {
    address: SocketAddr,
    row: Option<u64>,
    open: bool,
    since: Duration,
    news: mpsc::Sender<ExchangeMessage>,
}

/// The other gateways.
pub struct Members {
    gateway: Arc<Gateway>,
    events: Events,
    known: IndexMap<InstanceId, Member>,
}

impl Members {
    pub(super) fn new(gateway: Arc<Gateway>, events: Events) -> Self {
        Self { gateway, events, known: IndexMap::new() }
    }

    pub(super) fn start(&self) {
        spawn_local(write_own(Arc::clone(&self.gateway), true));
        let own = self.gateway.settings.listen.announced();
        for seed in self.gateway.settings.seeds.iter().filter(|seed| **seed != own) {
            links::greet(&self.gateway, *seed);
        }
    }

    pub(super) fn leave(&self) {
        spawn_local(write_own(Arc::clone(&self.gateway), false));
    }

    /// A row of a member is news.
    pub(super) fn learn(&mut self, name: &str, row: &Row, now: Duration) {
        let Ok(id) = name.parse::<InstanceId>() else {
            log::warn!(row = row.version; "member row under {name:?} is not an instance's");
            return;
        };
        let own = id == self.gateway.settings.instance.id;
        match row.value.as_deref().map(parse_address) {
            None if own && !self.gateway.is_leaving() => {
                log::warn!("own member row was deleted; writing it again");
                self.start();
            }
            None => {
                if self.known.shift_remove(&id).is_some() {
                    log::info!(peer = id.as_str(), row = row.version; "peer has left");
                }
            }
            Some(_) if own => {}
            Some(Some(address)) => self.put(id, address, Some(row.version), now),
            Some(None) => log::warn!(peer = id.as_str(), row = row.version; "member row holds no address"),
        }
    }

    /// A peer named itself on a connection.
    pub(super) fn hello(&mut self, found: GatewayAddress, now: Duration) {
        if found.instance != self.gateway.settings.instance.id {
            self.put(found.instance, found.address, None, now);
        }
    }

    fn put(&mut self, id: InstanceId, address: SocketAddr, row: Option<u64>, now: Duration) {
        if let Some(member) = self.known.get_mut(&id).filter(|member| member.address == address) {
            member.row = row.or(member.row);
            return;
        }
        log::info!(peer = id.as_str(), address = address.to_string().as_str(); "peer is known");
        let (news, queue) = mpsc::channel(BACKLOG);
        links::keep(&self.gateway, &self.events, id.clone(), address, queue);
        self.known.insert(id, Member { address, row, open: false, since: now, news });
    }

    /// A connection opened or broke; tells whether that is news.
    pub(super) fn set_link(&mut self, peer: &InstanceId, open: bool, now: Duration) -> bool {
        let Some(member) = self.known.get_mut(peer).filter(|member| member.open != open) else { return false };
        member.open = open;
        member.since = now;
        true
    }

    /// Sends to one peer. A message that finds no room is lost with its connection, which begins anew.
    pub(super) fn send(&self, peer: &InstanceId, news: &ExchangeMessage) {
        if let Some(member) = self.known.get(peer) {
            let _ = member.news.try_send(news.clone());
        }
    }

    /// Sends to all connected peers but one.
    pub(super) fn broadcast(&self, news: &ExchangeMessage, except: Option<&InstanceId>) {
        let others = self.known.iter().filter(|(id, member)| member.open && Some(*id) != except);
        for (id, _) in others {
            self.send(id, news);
        }
    }

    /// Gateways that share what is shared, this one included: one that can't be reached from here may go on elsewhere.
    pub(super) fn count(&self) -> usize {
        1 + self.known.len()
    }

    /// Whether this gateway goes first among those that can be reached.
    pub(super) fn is_first(&self, able: impl Fn(&InstanceId) -> bool) -> bool {
        let own = &self.gateway.settings.instance.id;
        !self.known.iter().any(|(id, member)| member.open && id < own && able(id))
    }

    pub(super) fn is_known(&self, peer: &InstanceId) -> bool {
        self.known.contains_key(peer)
    }

    pub(super) fn is_open(&self, peer: &InstanceId) -> bool {
        self.known.get(peer).is_some_and(|member| member.open)
    }

    /// Removes gateways that could not be reached for long.
    pub(super) fn tick(&mut self, now: Duration, connected: bool) {
        if !connected {
            return;
        }
        let gone = |member: &Member| !member.open && now >= member.since + GONE_TIME;
        let lost: Vec<InstanceId> =
            self.known.iter().filter(|(_, member)| gone(member)).map(|(id, _)| id.clone()).collect();
        for id in lost {
            let row = self.known.shift_remove(&id).and_then(|member| member.row);
            log::info!(peer = id.as_str(); "peer was out of reach for long and is taken for gone");
            if let Some(version) = row {
                spawn_local(delete(Arc::clone(&self.gateway), id, version));
            }
        }
    }
}

fn parse_address(content: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(content).ok()?.parse().ok()
}

fn row_key(id: &InstanceId) -> RowKey {
    RowKey::unpartitioned(Origin::Fleet, format!("{PREFIX}{id}"))
}

async fn write_own(gateway: Arc<Gateway>, joins: bool) {
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
            Err(error) => log::debug!("own member row is not written: {error}"),
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

async fn delete(gateway: Arc<Gateway>, id: InstanceId, version: u64) {
    let at = row_key(&id);
    let transaction =
        Transaction { expected: vec![(at.clone(), version)], deletes: vec![at], ..Transaction::default() };
    match gateway.store.transact(&transaction).await {
        Ok(TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict) => {}
        Err(error) => log::warn!(peer = id.as_str(); "member row is not deleted: {error}"),
    }
}
