//! Periodic status messages between gateways: their load at each upstream, what upstreams said of themselves (rate limits
//! and departures), and during a roll-out their tallies and the releases of their sessions. Tallies and sessions are sent
//! only when they have changed since the last message. A new connection makes the next message a full one.
//!
//! In large fleets a gateway tells its load to a bounded number of others, and sends the rest of its status to all when it
//! changes, and less often otherwise; see docs/design/load-exchange.md.

use std::{collections::HashSet, time::Duration};

use bluebell_core::{
    dissemination::{MIN_FLEET, load_targets, load_weights, status_ticks},
    ids::InstanceId,
};
use bluebell_wire::messages::{ExchangeMessage, GatewayStatus, ReleaseTally};

use super::{
    peer_status::{SentStatus, Urgent},
    state::Control,
};

impl Control {
    pub(super) fn handle_status(&mut self, peer: InstanceId, status: GatewayStatus) {
        let now = self.gateway.now();
        // Peers go on while a status waits for this thread, so what it tells counts as of its receipt.
        let received_at = now.saturating_sub(self.waited);
        let weight = self.load_weight(&status);
        let mut traffic = self.gateway.traffic();
        traffic.apply_peer_loads(now, peer.clone(), weight, &status.loads);
        traffic.apply_peer_limits(now, &peer, &status.limits);
        traffic.apply_peer_departures(now, &peer, &status.departures);
        for pin in &status.sessions {
            traffic.sessions.learn(now.saturating_sub(pin.age), &pin.session, &pin.release);
        }
        drop(traffic);
        if self.rollouts.reject(&peer, &status.rejected) {
            self.publish();
        }
        let known = self.peer_statuses.entry(peer.clone()).or_default();
        known.received_at = received_at;
        known.has_store = status.connected;
        known.reading = status.reading;
        known.tells_loads = !status.omits_loads;
        known.merge_tallies(status.tallies);
        for (origin, version) in status.latest {
            self.lag.record_peer(now, &peer, origin, version);
        }
        if status.connected {
            self.publish_contact(now);
        }
    }

    pub(super) fn broadcast_status(&mut self, now: Duration) {
        let is_rolling_out = self.rollouts.any_running();
        let traffic = self.gateway.traffic();
        let (tallies, sessions) = if is_rolling_out {
            let sessions = traffic.session_releases(now, self.gateway.schedule.canary, self.sent_status.sessions_from);
            (traffic.tallies(), sessions)
        } else {
            (Vec::new(), Vec::new())
        };
        let loads = traffic.loads(&self.suspects);
        let (limits, departures) = (traffic.limits(now), traffic.departures(now));
        drop(traffic);
        let is_changed = |row: &&ReleaseTally| !self.sent_status.tallies.contains(row);
        let status = GatewayStatus {
            connected: self.is_store_connected(now),
            loads,
            tallies: tallies.iter().filter(is_changed).cloned().collect(),
            sessions,
            rejected: self.rollouts.rejected_orders(),
            limits,
            departures,
            reading: Some(self.read_status(now)),
            omits_loads: false,
            latest: self.lag.latest().collect(),
        };
        let sessions_from = if is_rolling_out { now } else { Duration::ZERO };
        let urgent = Urgent::of(&status);
        let is_queued = self.send_status(status, &urgent);
        self.sent_status =
            if is_queued { SentStatus { sessions_from, tallies, urgent } } else { SentStatus::default() };
    }

    // Sends the status to the peers that this gateway tells its load, and to the others without the load, if they must
    // hear of something at once, this gateway is a reader, or their turn has come. Returns whether it was queued for each of
    // them.
    fn send_status(&self, status: GatewayStatus, urgent: &Urgent) -> bool {
        if self.members.count() < MIN_FLEET {
            return self.members.broadcast(&ExchangeMessage::Status(Box::new(status)));
        }
        let has_news = *urgent != self.sent_status.urgent || !status.tallies.is_empty() || !status.sessions.is_empty();
        // A reader whose word is late is taken for lost.
        let is_reader = self.reading.reads();
        let is_due = has_news || is_reader || self.ticks.is_multiple_of(status_ticks(self.members.count()));
        let targets = self.load_targets();
        let suspected = status.loads.iter().filter(|load| load.suspects > 0).cloned().collect();
        let small = GatewayStatus { loads: suspected, omits_loads: true, ..status.clone() };
        let (full, small) = (ExchangeMessage::Status(Box::new(status)), ExchangeMessage::Status(Box::new(small)));
        self.members.broadcast_each(|peer| if targets.contains(peer) { Some(&full) } else { is_due.then_some(&small) })
    }

    // Peers that this gateway tells its load: those chosen, and those whose zone is not known.
    fn load_targets(&self) -> HashSet<InstanceId> {
        let settings = &self.gateway.settings.instance;
        let connected = || self.members.ids().filter(|peer| self.members.is_connected(peer));
        let zone = |peer: &InstanceId| Some(&self.peer_statuses.get(peer)?.reading.as_ref()?.zone);
        let chosen =
            load_targets((&settings.id, &settings.zone), connected().filter_map(|peer| Some((peer, zone(peer)?))));
        chosen.into_iter().chain(connected().filter(|peer| zone(peer).is_none())).cloned().collect()
    }

    /// Brings the weights of the loads that peers report up to date.
    pub(super) fn update_load_weights(&mut self) {
        let peers = self.peer_statuses.iter().filter(|(peer, _)| self.members.is_connected(peer));
        let zones = peers.filter_map(|(_, status)| Some((&status.reading.as_ref()?.zone, status.tells_loads)));
        self.load_weights = load_weights(zones);
    }

    // Number of gateways for which a peer's load stands.
    fn load_weight(&self, status: &GatewayStatus) -> f64 {
        if status.omits_loads {
            return 0.0;
        }
        let zone = status.reading.as_ref().map(|reading| &reading.zone).filter(|_| self.members.count() >= MIN_FLEET);
        zone.and_then(|zone| self.load_weights.get(zone)).copied().unwrap_or(1.0)
    }
}
