//! Decides how this gateway reads the store, on its own contact with the store and that of its peers; see
//! [`bluebell_core::dissemination::readers`].

use std::time::Duration;

use bluebell_core::{
    dissemination::{MemberContact, SLOW_CONTACT_LIMIT},
    ids::InstanceId,
};
use bluebell_wire::messages::ReadStatus;

use super::{peer_status::PeerStatus, state::Control};

impl Control {
    pub(super) fn read_status(&self, now: Duration) -> ReadStatus {
        ReadStatus {
            zone: self.gateway.settings.instance.zone.clone(),
            reads: self.reading.reads(),
            answer_age: self.reading.answer_age(now),
            era: self.reading.era(),
        }
    }

    /// Whether a write to the store is worth an attempt. A gateway that reads rarely may not notice for a while that it has
    /// lost the store.
    pub(super) fn can_write(&self, now: Duration) -> bool {
        let has_read = self.reading.answer_age(now).is_some_and(|age| age < SLOW_CONTACT_LIMIT);
        self.is_store_connected(now) || !self.store.lost && !self.reading.reads() && has_read
    }

    /// Decides anew how this gateway reads.
    pub(super) fn decide_reading(&mut self, now: Duration) {
        if !*self.gateway.synced.borrow() {
            self.reading.catch_up(now);
        }
        if self.is_behind_restore() {
            self.reading.follow_restore(now);
        }
        let settings = &self.gateway.settings.instance;
        let own = MemberContact {
            id: &settings.id,
            zone: &settings.zone,
            reads: self.reading.reads(),
            age: self.reading.answer_age(now),
        };
        let peers = self.peer_statuses.iter().filter(|(peer, _)| self.members.is_connected(peer));
        let contact = |(id, status)| contact_of(now, id, status);
        let peers: Vec<MemberContact<'_>> = peers.filter_map(contact).collect();
        if let Some(mode) = self.reading.decide(now, own, &peers, self.members.count()) {
            let live = peers.iter().filter(|peer| peer.is_live_reader()).count();
            log::info!(mode:? = mode, readers = live, gateways = self.members.count(); "reading of the store changes");
            self.gateway.metrics.set_reads(self.reading.reads());
        }
    }

    // Whether a peer has read a store that was restored since this gateway read its snapshots.
    fn is_behind_restore(&self) -> bool {
        let latest =
            self.peer_statuses.values().filter_map(|status| status.reading.as_ref()).map(|read| read.era).max();
        latest > Some(self.reading.era())
    }
}

// A peer's contact, if its version tells of it.
fn contact_of<'a>(now: Duration, id: &'a InstanceId, status: &'a PeerStatus) -> Option<MemberContact<'a>> {
    let read = status.reading.as_ref()?;
    let age = read.answer_age.map(|age| now.saturating_sub(status.received_at).saturating_add(age));
    Some(MemberContact { id, zone: &read.zone, reads: read.reads, age })
}
