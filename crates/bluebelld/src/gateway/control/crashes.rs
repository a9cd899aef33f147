//! Crashed upstreams, the requests that were in flight there, and which requests are blocked because of that.
//!
//! When an upstream crashes, each gateway immediately reports to the others which requests it had in flight there.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    canary::Split,
    ids::InstanceId,
    poison::{CrashReport, CrashedUpstream, Fingerprint, Suspects},
    replica::Row,
    upstreams::UpstreamIncarnation,
};
use bluebell_wire::messages::{AgedCrashReport, ExchangeMessage};
use tokio::task::spawn_local;

use super::{reports, state::Control};
use crate::{gateway::outbox::MAX_REPORTS, records::StoredReport};

/// Source of the reports of this gateway.
const OWN_SOURCE: &str = "own";

impl Control {
    /// Processes what the traffic thread has detected since the last call: crashes, answers to suspected requests, and
    /// blocked requests.
    pub(super) fn process_crashes(&mut self) {
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic();
        let crashes = traffic.in_flight.take_crashed(now);
        let cleared = traffic.in_flight.take_cleared();
        let blocked = traffic.in_flight.take_blocked();
        drop(traffic);
        blocked.iter().for_each(|fingerprint| self.crashes.refresh(now, fingerprint));
        self.clear_answered(&cleared, None);
        let reporter = self.gateway.settings.instance.id.clone();
        let mut reports = Vec::new();
        for crashed in crashes {
            let planned = self.is_replaced(&crashed);
            self.log_crash(&crashed, planned);
            if !planned && !crashed.suspects.is_empty() {
                let CrashedUpstream { incarnation, evidence, suspects } = crashed;
                let report = CrashReport { incarnation, reporter: reporter.clone(), evidence, suspects };
                reports.push(AgedCrashReport { report, age: Duration::ZERO });
            }
        }
        for chunk in reports.chunks(MAX_REPORTS) {
            self.record_crashes(chunk.to_vec(), None);
        }
    }

    /// Records crash reports, and forwards those with new suspects to the other peers.
    pub(super) fn record_crashes(&mut self, reports: Vec<AgedCrashReport>, from: Option<&InstanceId>) {
        let now = self.gateway.now();
        let updates: Vec<AgedCrashReport> =
            reports.into_iter().filter(|aged| self.crashes.record(now, aged.age, &aged.report)).collect();
        if updates.is_empty() {
            return;
        }
        let source = from.map_or(OWN_SOURCE, InstanceId::as_str);
        updates.iter().for_each(|aged| log_report(&aged.report, aged.age, source));
        self.refresh.mark_changed();
        self.members.forward(&ExchangeMessage::Crashes(updates.clone()), from);
        updates.iter().for_each(|aged| self.clear_excused(&aged.report, now));
    }

    // Clears a report of those suspects that this gateway recently saw answered. A request is cleared of all crashes, a
    // prompt part only of this one.
    fn clear_excused(&mut self, report: &CrashReport, now: Duration) {
        let mut traffic = self.gateway.traffic();
        let excused: Vec<Fingerprint> =
            report.suspects.iter().filter(|one| traffic.in_flight.excuse_reported(now, one)).copied().collect();
        drop(traffic);
        let (parts, requests): (Vec<Fingerprint>, Vec<Fingerprint>) =
            excused.into_iter().partition(Fingerprint::is_part);
        self.clear_answered(&requests, None);
        self.clear_crashes(vec![(report.incarnation.clone(), parts)], None);
    }

    /// Clears answered requests of all crashes recorded so far, and tells the other peers about those that had been
    /// suspected.
    pub(super) fn clear_answered(&mut self, answered: &[Fingerprint], from: Option<&InstanceId>) {
        let cleared = self.crashes.clear(answered);
        if !cleared.is_empty() {
            self.refresh.mark_changed();
            self.members.forward(&ExchangeMessage::Answered(cleared), from);
        }
    }

    /// Clears requests of single crashes after which they were answered, and tells the other peers about those that had
    /// been suspected.
    pub(super) fn clear_crashes(
        &mut self,
        answered: Vec<(UpstreamIncarnation, Vec<Fingerprint>)>,
        from: Option<&InstanceId>,
    ) {
        let updates: Vec<(UpstreamIncarnation, Vec<Fingerprint>)> = answered
            .into_iter()
            .map(|(incarnation, requests)| {
                let cleared = self.crashes.clear_at(&incarnation, &requests);
                (incarnation, cleared)
            })
            .filter(|(_, cleared)| !cleared.is_empty())
            .collect();
        if !updates.is_empty() {
            self.refresh.mark_changed();
            self.members.forward(&ExchangeMessage::Cleared(updates), from);
        }
    }

    /// Retracts a crash of an upstream whose registry entry has appeared again: it did not crash after all.
    pub(super) fn retract(&mut self, incarnation: &UpstreamIncarnation) {
        if self.crashes.retract(incarnation) {
            log::info!(
                upstream = incarnation.upstream.as_str(), born = incarnation.started_at_ms;
                "upstream is back without a restart; its crash report is retracted"
            );
            self.refresh.mark_changed();
        }
    }

    /// Sends all crash reports, and the requests cleared of each crash, to a peer that may lack them.
    pub(super) fn send_crashes(&self, peer: &InstanceId) {
        let now = self.gateway.now();
        let with_age = |(report, age): (CrashReport, Duration)| AgedCrashReport { report, age };
        let all: Vec<AgedCrashReport> = self.crashes.reports(now).map(with_age).collect();
        for chunk in all.chunks(MAX_REPORTS) {
            self.members.send(peer, &ExchangeMessage::Crashes(chunk.to_vec()));
        }
        let answered =
            self.crashes.answered().map(|(incarnation, all)| (incarnation.clone(), all.iter().copied().collect()));
        let answered: Vec<(UpstreamIncarnation, Vec<Fingerprint>)> = answered.collect();
        for chunk in answered.chunks(MAX_REPORTS) {
            self.members.send(peer, &ExchangeMessage::Cleared(chunk.to_vec()));
        }
    }

    // Whether a completed roll-out has replaced the upstream's release. Such an upstream is stopped on purpose, even
    // with requests in flight.
    fn is_replaced(&self, crashed: &CrashedUpstream) -> bool {
        let Some(upstream) = self.upstreams.get(&crashed.incarnation.upstream) else { return false };
        let routing = self.gateway.routing.load();
        matches!(routing.split(&upstream.service), Split::Only(to) if *to != upstream.release)
    }

    fn log_crash(&self, crashed: &CrashedUpstream, planned: bool) {
        let upstream = self.upstreams.get(&crashed.incarnation.upstream);
        let service = upstream.map_or("", |upstream| upstream.service.as_str());
        self.gateway.metrics.record_upstream_end(service, planned);
        log::warn!(
            upstream = crashed.incarnation.upstream.as_str(), born = crashed.incarnation.started_at_ms,
            service = service, release = upstream.map_or("", |upstream| upstream.release.as_str()),
            sign = crashed.evidence.to_string().as_str(), planned = planned, under_way = crashed.suspects.len();
            "upstream ended"
        );
    }

    /// Determines again which requests are suspects if that is due, and publishes the result.
    pub(super) fn refresh_suspects(&mut self) {
        let started = self.gateway.now();
        if !self.refresh.is_due(started) {
            return;
        }
        let suspects = Arc::new(self.crashes.find_suspects());
        let before = std::mem::replace(&mut self.suspects, Arc::clone(&suspects));
        log_blocking_changes(&before, &suspects);
        let part_count = suspects.poison().filter(|(fingerprint, _)| fingerprint.is_part()).count();
        self.gateway.metrics.set_poison(suspects.poison().count() - part_count, part_count);
        self.publish();
        self.refresh.finish(started, self.gateway.now());
    }

    /// Applies a changed row that holds a crash report.
    pub(super) fn apply_report_row(&mut self, row: &Row, source: &str) {
        if row.value.is_none() {
            // A report is deleted once its requests were answered, or once it has expired.
            let deleted = self.reports.remove(row).map(|deleted| deleted.report);
            self.clear_crashes(deleted.into_iter().map(|report| (report.incarnation, report.suspects)).collect(), None);
            return;
        }
        let Some(stored) = self.reports.insert(row) else { return };
        if self.crashes.reconcile(&stored.report) {
            self.refresh.mark_changed();
        }
        let now = self.gateway.now();
        let age = self.store_clock(now).map_or(Duration::ZERO, |clock| clock.saturating_sub(stored.needed));
        // Not forwarded to peers as a crash report, as they get the row itself.
        if self.crashes.record(now, age, &stored.report) {
            log_report(&stored.report, age, source);
            self.refresh.mark_changed();
            self.clear_excused(&stored.report, now);
        }
    }

    /// Removes expired reports, and writes changes of reports to the store. Each gateway writes its own reports; the
    /// one with the lowest id also writes those of gateways that are gone.
    pub(super) fn sync_reports(&mut self, now: Duration) {
        if self.crashes.expire(now) {
            self.refresh.mark_changed();
        }
        let Some(clock) = self.store_clock(now).filter(|_| self.can_write(now)) else { return };
        let stored =
            |(report, age): (CrashReport, Duration)| StoredReport { report, needed: clock.saturating_sub(age) };
        let own_id = &self.gateway.settings.instance.id;
        let has_lowest_id = self.members.has_lowest_id(|_| true);
        let is_gone = |reporter: &InstanceId| !self.members.is_known(reporter);
        let is_maintained = |reporter: &InstanceId| reporter == own_id || has_lowest_id && is_gone(reporter);
        let kept = self.crashes.reports_of(now, is_maintained).map(stored);
        if let Some(transaction) = self.reports.next_transaction(now, kept, |report| is_maintained(&report.reporter)) {
            spawn_local(reports::write(Arc::clone(&self.gateway), self.events.clone(), transaction));
        }
    }
}

// Logs a report. Those of other gateways are in the reporters' logs: a mass crash brings thousands of them, behind which
// the lines of decisions would be dropped.
fn log_report(report: &CrashReport, age: Duration, source: &str) {
    let level = if source == OWN_SOURCE { log::Level::Info } else { log::Level::Debug };
    if !log::log_enabled!(level) {
        return;
    }
    let suspects: Vec<String> = report.suspects.iter().map(ToString::to_string).collect();
    log::log!(
        level,
        upstream = report.incarnation.upstream.as_str(), born = report.incarnation.started_at_ms,
        reporter = report.reporter.as_str(), sign = report.evidence.to_string().as_str(), source = source,
        age_ms = age.as_millis() as u64, fingerprints = suspects.join(" ").as_str();
        "requests were under way at an upstream that ended"
    );
}

fn log_blocking_changes(before: &Suspects, now: &Suspects) {
    for (fingerprint, crashes) in now.poison().filter(|(fingerprint, _)| !before.is_poison(fingerprint)) {
        let text = fingerprint.to_string();
        let message = if fingerprint.is_part() {
            "prompt part is blocked: upstreams crash under requests with it"
        } else {
            "request is held back: upstreams end under it"
        };
        log::warn!(fingerprint = text.as_str(), crashes = crashes; "{message}");
    }
    for (fingerprint, crashes) in before.poison().filter(|(fingerprint, _)| !now.is_poison(fingerprint)) {
        let text = fingerprint.to_string();
        let message = if fingerprint.is_part() {
            "prompt part is not blocked any more"
        } else {
            "request is not held back any more"
        };
        log::info!(fingerprint = text.as_str(), crashes = crashes; "{message}");
    }
}
