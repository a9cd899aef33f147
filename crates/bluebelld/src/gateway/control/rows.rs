//! Applies changed rows (declarations, upstreams, roll-out orders and stages, members, crash reports), and forwards
//! them to the other gateways.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{InstanceId, ServiceId, UpstreamId, ZoneId},
    ingress::Declared,
    replica::{Origin, Row},
    store_version::number,
    upstreams::{Phase, Upstream},
};
use bluebell_platform::{operator, upstream};
use bluebell_wire::messages::ExchangeMessage;

use super::{members, rollouts, state::Control};
use crate::records::{REPORT_PREFIX, is_report};

impl Control {
    /// Applies changed rows, and forwards them to peers; see [`super::members::Members::forward`].
    pub(super) fn apply_rows(&mut self, rows: Vec<Row>, from: Option<&InstanceId>) {
        if rows.is_empty() {
            return;
        }
        let source = from.map_or("store", InstanceId::as_str).to_owned();
        for row in &rows {
            match row.origin {
                Origin::Operator => self.apply_operator_row(row, &source),
                Origin::Upstreams => self.apply_upstream_row(row, &source),
                Origin::Fleet => self.apply_fleet_row(row, &source),
                // Gateways don't read these origins.
                Origin::Reports | Origin::Records | Origin::Instances | Origin::Ratings => {}
            }
        }
        // Those that a snapshot lacks are deleted here, and have its version.
        self.record_rows(&rows);
        self.publish();
        self.members.forward(&ExchangeMessage::Rows(rows), from);
    }

    /// Gets the rows that peers know and that have not arrived, from the store and from the peer that told of them.
    pub(super) fn fetch_missing(&mut self, now: Duration) {
        // A starting gateway reads all tables, and must know the crash reports of its peers before it has their rows.
        if !*self.gateway.synced.borrow() {
            return;
        }
        for lag in self.lag.take_due(now) {
            let known = self.lag.known(lag.origin);
            log::warn!(
                origin:? = lag.origin, row = number(lag.version), known = number(known), peer = lag.peer.as_str(),
                age_ms = lag.age.as_millis() as u64, mode:? = self.reading.mode();
                "rows that a peer knows have not arrived"
            );
            self.gateway.metrics.record_lag();
            // What follows may fail to arrive in the same way, so this gateway reads the store for a while.
            self.reading.catch_up(now);
            self.reading.refresh(lag.origin);
            self.members.send(&lag.peer, &ExchangeMessage::Fetch(vec![(lag.origin, known)]));
        }
    }

    /// Sends a peer the rows for which it asked.
    pub(super) fn send_later_rows(&self, peer: &InstanceId, after: &[(Origin, u64)]) {
        let is_later = |row: &&Row| {
            after.iter().any(|(origin, version)| row.origin == *origin && row.version > *version) && !is_report(row)
        };
        let rows: Vec<Row> = self.replica.rows().filter(is_later).cloned().collect();
        if !rows.is_empty() {
            self.members.send(peer, &ExchangeMessage::Rows(rows));
        }
    }

    pub(super) fn apply_operator_row(&mut self, row: &Row, source: &str) {
        if let Some(zone) = operator::evacuated_zone(&row.key) {
            match zone {
                Ok(zone) => self.apply_evacuation(&zone, row, source),
                // An upstream can't register such a zone either.
                Err(error) => {
                    log::warn!(row = number(row.version), source = source; "evacuation of no valid zone: {error}");
                }
            }
            return;
        }
        let Some(content) = &row.value else {
            if operator::is_order(&row.key) {
                self.rollouts.remove_order(&row.key);
            }
            return;
        };
        if row.key == operator::DECLARED_KEY {
            match operator::decode_declared(content) {
                Ok(declared) => {
                    let routes = declared.routes().count();
                    log::info!(
                        version = declared.version, row = number(row.version), routes = routes, keys = declared.keys.len(),
                        source = source, waited_ms = self.waited.as_millis() as u64;
                        "declarations in force"
                    );
                    self.gateway.metrics.set_declared(declared.version);
                    self.declared = Some(Arc::new(declared));
                    self.use_declared();
                }
                Err(error) => {
                    log::error!(row = number(row.version), source = source; "keeping the previous declarations: {error}");
                }
            }
        } else if operator::is_order(&row.key) {
            match operator::decode_order(content, row.version) {
                Ok(order) if self.rollouts.renumber(&row.key, &order) => {
                    log::info!(
                        service = order.service.as_str(), to = order.to.as_str(), row = number(row.version), source = source;
                        "roll-out order was written again after the store was restored"
                    );
                    self.gateway.traffic().renumber_order(&order.service, order.version);
                }
                Ok(order) => {
                    log::info!(
                        service = order.service.as_str(), to = order.to.as_str(), row = number(row.version),
                        within_ms = order.within.as_millis() as u64, source = source;
                        "roll-out ordered"
                    );
                    self.gateway.traffic().start_tallies(&order.service, order.version);
                    self.rollouts.put_order(&row.key, order, self.gateway.now());
                }
                Err(error) => {
                    log::error!(row = number(row.version), key = row.key.as_str(); "failed to decode roll-out order: {error}");
                }
            }
        }
    }

    fn apply_evacuation(&mut self, zone: &ZoneId, row: &Row, source: &str) {
        let is_ordered = row.value.is_some();
        if !self.evacuations.set(zone, is_ordered) {
            return;
        }
        let affected = self.upstreams.listed().filter(|upstream| upstream.zone == *zone).count();
        log::info!(
            evacuated = zone.as_str(), row = number(row.version), source = source, upstreams = affected;
            "evacuation of a zone {}", if is_ordered { "ordered" } else { "ended" }
        );
        if !is_ordered {
            self.take_back(self.gateway.now(), zone);
        }
        self.gateway.metrics.set_evacuated(self.evacuations.zones().len());
    }

    fn apply_upstream_row(&mut self, row: &Row, source: &str) {
        let now = self.gateway.now();
        let Ok(id) = row.key.parse::<UpstreamId>() else {
            log::warn!(row = number(row.version); "registry entry has the key {:?}, which is not an upstream id", row.key);
            return;
        };
        let Some(content) = &row.value else {
            log::info!(upstream = id.as_str(), row = number(row.version), source = source; "upstream's registry entry is gone");
            self.undeclared.shift_remove(&id);
            self.remove_upstream(now, &id);
            return;
        };
        match upstream::decode_upstream(id.clone(), content) {
            Ok(upstream) => {
                log::info!(
                    upstream = id.as_str(), service = upstream.service.as_str(), release = upstream.release.as_str(),
                    address = upstream.address.to_string().as_str(), leaving = upstream.phase == Phase::Leaving,
                    row = number(row.version), source = source;
                    "upstream's registry entry was added or changed"
                );
                self.undeclared.shift_remove(&id);
                if self.is_declared(&upstream.service) {
                    self.put_upstream(now, row.version, upstream);
                } else {
                    self.set_aside(now, row.version, upstream);
                }
            }
            Err(error) => {
                log::warn!(upstream = id.as_str(), row = number(row.version); "failed to decode registry entry: {error}");
                self.undeclared.shift_remove(&id);
                self.remove_upstream(now, &id);
            }
        }
    }

    fn is_declared(&self, service: &ServiceId) -> bool {
        let is_target = |declared: &Declared| {
            declared.routes().any(|route| route.targets.iter().any(|target| target.service == *service))
        };
        let declared = self.declared.as_deref();
        declared.is_some_and(|declared| declared.services.contains_key(service) || is_target(declared))
    }

    fn put_upstream(&mut self, now: Duration, version: u64, upstream: Upstream) {
        if self.upstreams.is_superseded(version, &upstream) {
            log::info!(
                upstream = upstream.id.as_str(), address = upstream.address.to_string().as_str(), row = number(version);
                "registry entry is superseded by a later one at its address"
            );
        } else {
            let addresses = |id: &UpstreamId| self.upstreams.get(id).map(|one| one.address);
            self.gateway.traffic().in_flight.registration_updated(now, &upstream, addresses);
            self.retract(&upstream.incarnation());
            self.record_registration(now, &upstream);
            let is_known =
                self.upstreams.get(&upstream.id).is_some_and(|one| one.incarnation() == upstream.incarnation());
            if !is_known && self.gateway.traffic().begin_ramp(now, &upstream) {
                self.gateway.metrics.record_ramp(upstream.service.as_str());
            }
        }
        self.upstreams.put(now, version, upstream);
    }

    // Keeps a registration for a service that is not declared apart from the upstreams in use, one of which may have
    // the same address.
    fn set_aside(&mut self, now: Duration, version: u64, upstream: Upstream) {
        if self.declared.is_some() {
            log::warn!(
                upstream = upstream.id.as_str(), service = upstream.service.as_str(), row = number(version);
                "upstream of a service that is not declared is not used"
            );
        }
        self.remove_upstream(now, &upstream.id);
        self.undeclared.insert(upstream.id.clone(), (version, upstream));
    }

    // Uses the registrations whose services are declared by now.
    fn use_declared(&mut self) {
        let now = self.gateway.now();
        for (id, (version, upstream)) in std::mem::take(&mut self.undeclared) {
            if self.is_declared(&upstream.service) {
                self.put_upstream(now, version, upstream);
            } else {
                self.undeclared.insert(id, (version, upstream));
            }
        }
    }

    fn remove_upstream(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(known) = self.upstreams.get(id) {
            self.gateway.traffic().in_flight.registration_removed(now, &known.incarnation());
        }
        self.upstreams.remove(now, id);
    }

    pub(super) fn apply_fleet_row(&mut self, row: &Row, source: &str) {
        let now = self.gateway.now();
        if let Some(name) = row.key.strip_prefix(members::KEY_PREFIX) {
            self.members.apply_row(name, row, now);
        } else if row.key.starts_with(rollouts::KEY_PREFIX) {
            self.rollouts.apply_stage_row(row, source);
        } else if row.key.starts_with(REPORT_PREFIX) {
            self.apply_report_row(row, source);
        }
    }
}
