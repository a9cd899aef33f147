//! What a gateway does about rows that the store has lost since it was restored from an older copy: it has those that
//! gateways write written again, and waits for the other writers.

use bluebell_core::replica::{Origin, Reverted, Row};
use bluebell_platform::operator;

use super::{members, rollouts, state::Control};
use crate::records::REPORT_PREFIX;

impl Control {
    /// Processes the rows that the replica has found to be reverted.
    pub(super) fn process_reverted(&mut self) {
        let reverted = self.replica.take_reverted();
        if reverted.is_empty() {
            return;
        }
        let lost = reverted.iter().filter(|one| !one.is_renumbered()).count();
        if lost > 0 {
            log::warn!(lost = lost, same = reverted.len() - lost; "the store has lost changes that this gateway knows");
        }
        for one in &reverted {
            match one.known.origin {
                Origin::Operator if operator::is_order(&one.known.key) && one.is_renumbered() => {
                    self.apply_operator_row(&one.known, "store");
                }
                Origin::Fleet => self.process_reverted_fleet_row(one),
                _ => {}
            }
        }
        self.publish();
    }

    fn process_reverted_fleet_row(&mut self, reverted: &Reverted) {
        let Reverted { known, stored } = reverted;
        if reverted.is_renumbered() && !known.key.starts_with(REPORT_PREFIX) {
            self.apply_fleet_row(known, "store");
        } else if let Some(name) = known.key.strip_prefix(members::KEY_PREFIX) {
            if known.value.is_some() {
                self.members.rewrite_row(name);
            }
        } else if known.key.starts_with(rollouts::KEY_PREFIX) {
            self.rollouts.mark_lost(&known.key, stored.as_ref().map_or(0, |row| row.version));
        } else if known.key.starts_with(REPORT_PREFIX) {
            // Reports that are still needed are written again, others are deleted.
            self.reports.replace(stored.as_ref().unwrap_or(&Row { value: None, ..known.clone() }));
        }
    }
}
