//! What follows from rows that are news: declarations, upstreams, orders, stages and members; and who hears of them.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{InstanceId, UpstreamId},
    replica::{Origin, Row},
    upstreams::Phase,
};
use bluebell_platform::{operator, upstream};
use bluebell_wire::messages::ExchangeMessage;

use super::{members, rollouts, state::Control};
use crate::records::REPORT_PREFIX;

impl Control {
    /// Takes rows that are news, and passes them on to the other peers.
    pub(super) fn learn(&mut self, rows: Vec<Row>, from: Option<&InstanceId>) {
        if rows.is_empty() {
            return;
        }
        let source = from.map_or("store", InstanceId::as_str).to_owned();
        for row in &rows {
            match row.origin {
                Origin::Operator => self.learn_operator(row, &source),
                Origin::Upstreams => self.learn_upstream(row, &source),
                Origin::Fleet => self.learn_fleet(row, &source),
                // Gateways read none of these.
                Origin::Reports | Origin::Records | Origin::Instances | Origin::Ratings => {}
            }
        }
        self.publish();
        self.members.broadcast(&ExchangeMessage::Rows(rows), from);
    }

    fn learn_operator(&mut self, row: &Row, source: &str) {
        let Some(content) = &row.value else {
            if operator::is_order(&row.key) {
                self.rollouts.drop_order(&row.key);
            }
            return;
        };
        if row.key == operator::DECLARED_KEY {
            match operator::decode_declared(content) {
                Ok(declared) => {
                    let routes = declared.routes().count();
                    log::info!(
                        version = declared.version, row = row.version, routes = routes, keys = declared.keys.len(),
                        source = source;
                        "declarations in force"
                    );
                    self.gateway.metrics.set_declared(declared.version);
                    self.declared = Some(Arc::new(declared));
                }
                Err(error) => log::error!(row = row.version, source = source; "declarations kept as before: {error}"),
            }
        } else if operator::is_order(&row.key) {
            match operator::decode_order(content, row.version) {
                Ok(order) => {
                    log::info!(
                        service = order.service.as_str(), to = order.to.as_str(), row = row.version,
                        within_ms = order.within.as_millis() as u64, source = source;
                        "roll-out ordered"
                    );
                    self.gateway.traffic().begin_order(&order.service, order.version);
                    self.rollouts.put_order(&row.key, order, self.gateway.now());
                }
                Err(error) => log::error!(row = row.version, key = row.key.as_str(); "order not understood: {error}"),
            }
        }
    }

    fn learn_upstream(&mut self, row: &Row, source: &str) {
        let now = self.gateway.now();
        let Ok(id) = row.key.parse::<UpstreamId>() else {
            log::warn!(row = row.version; "entry under {:?} is not an upstream's", row.key);
            return;
        };
        let Some(content) = &row.value else {
            log::info!(upstream = id.as_str(), row = row.version, source = source; "upstream's entry is gone");
            self.unlist(now, &id);
            return;
        };
        match upstream::decode_upstream(id.clone(), content) {
            Ok(upstream) => {
                log::info!(
                    upstream = id.as_str(), service = upstream.service.as_str(), release = upstream.release.as_str(),
                    leaving = upstream.phase == Phase::Leaving, row = row.version, source = source;
                    "upstream's entry"
                );
                let addresses = |id: &UpstreamId| self.upstreams.get(id).map(|one| one.address);
                self.gateway.traffic().flights.entry_updated(now, &upstream, addresses);
                self.retract(&upstream.life());
                self.upstreams.put(now, upstream);
            }
            Err(error) => {
                log::warn!(upstream = id.as_str(), row = row.version; "entry names no upstream: {error}");
                self.unlist(now, &id);
            }
        }
    }

    fn unlist(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(known) = self.upstreams.get(id) {
            self.gateway.traffic().flights.entry_removed(now, &known.life());
        }
        self.upstreams.remove(now, id);
    }

    fn learn_fleet(&mut self, row: &Row, source: &str) {
        let now = self.gateway.now();
        if let Some(name) = row.key.strip_prefix(members::PREFIX) {
            self.members.learn(name, row, now);
        } else if row.key.starts_with(rollouts::PREFIX) {
            self.rollouts.learn_stage(row, source);
        } else if row.key.starts_with(REPORT_PREFIX) {
            self.learn_report(row, source);
        }
    }
}
