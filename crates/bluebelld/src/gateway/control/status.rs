//! Periodic status messages between gateways: their load at each upstream, what upstreams said of themselves (rate limits
//! and departures), and during a roll-out their tallies and the releases of their sessions. Tallies and sessions are sent
//! only when they have changed since the last message. A new connection makes the next message a full one.

use std::time::Duration;

use bluebell_core::ids::InstanceId;
use bluebell_wire::messages::{ExchangeMessage, GatewayStatus, ReleaseTally};

use super::{peer_status::SentStatus, state::Control};

impl Control {
    pub(super) fn handle_status(&mut self, peer: InstanceId, status: GatewayStatus) {
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic();
        traffic.apply_peer_loads(now, peer.clone(), &status.loads);
        traffic.apply_peer_limits(now, &peer, &status.limits);
        traffic.apply_peer_departures(now, &peer, &status.departures);
        for pin in &status.sessions {
            traffic.sessions.learn(now.saturating_sub(pin.age), &pin.session, &pin.release);
        }
        drop(traffic);
        if self.rollouts.reject(&peer, &status.rejected) {
            self.publish();
        }
        let known = self.peer_statuses.entry(peer).or_default();
        known.received_at = now;
        known.has_store = status.connected;
        known.reading = status.reading;
        known.merge_tallies(status.tallies);
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
        };
        let sessions_from = if is_rolling_out { now } else { Duration::ZERO };
        let is_queued = self.members.broadcast(&ExchangeMessage::Status(Box::new(status)));
        self.sent_status = if is_queued { SentStatus { sessions_from, tallies } } else { SentStatus::default() };
    }
}
