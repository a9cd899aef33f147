//! Upstreams that ended, what was under way there, and which requests are held back for it.
//!
//! A gateway tells the others at once what it had under way at an upstream that ended.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    canary::Split,
    ids::InstanceId,
    poison::{CrashReport, CrashedUpstream, Fingerprint, Suspects},
    replica::Row,
    upstreams::Life,
};
use bluebell_wire::messages::{AgedCrashReport, ExchangeMessage};
use tokio::task::spawn_local;

use super::{reports, state::Control};
use crate::records::StoredReport;

/// Reports told in one message.
const BATCH: usize = 32;

impl Control {
    /// Takes what the traffic found out since the last look: upstreams that ended, requests that were answered.
    pub(super) fn take_ended(&mut self) {
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic();
        let ended = traffic.flights.take_crashed(now);
        let cleared = traffic.flights.take_cleared();
        let held = traffic.flights.take_blocked();
        drop(traffic);
        held.iter().for_each(|one| self.crashes.refresh(now, one));
        self.clear(&cleared, None);
        for one in ended {
            let planned = self.is_replaced(&one);
            self.log_end(&one, planned);
            if !planned && !one.suspects.is_empty() {
                let reporter = self.gateway.settings.instance.id.clone();
                let CrashedUpstream { life, evidence, suspects } = one;
                let report = CrashReport { life, reporter, evidence, suspects };
                self.take_crashes(vec![AgedCrashReport { report, age: Duration::ZERO }], None);
            }
        }
    }

    /// Takes reports, and passes news on to the other peers.
    pub(super) fn take_crashes(&mut self, reports: Vec<AgedCrashReport>, from: Option<&InstanceId>) {
        let now = self.gateway.now();
        let news: Vec<AgedCrashReport> =
            reports.into_iter().filter(|one| self.crashes.record(now, one.age, &one.report)).collect();
        if news.is_empty() {
            return;
        }
        let source = from.map_or("own", InstanceId::as_str);
        news.iter().for_each(|one| log_report(&one.report, one.age, source));
        let suspects: Vec<Fingerprint> = news.iter().flat_map(|one| one.report.suspects.clone()).collect();
        let answered = self.answered_lately(&suspects, now);
        self.judge();
        self.members.broadcast(&ExchangeMessage::Crashes(news), from);
        self.clear(&answered, None);
    }

    // Requests that this gateway has seen answered.
    fn answered_lately(&self, suspects: &[Fingerprint], now: Duration) -> Vec<Fingerprint> {
        let traffic = self.gateway.traffic();
        suspects.iter().filter(|one| traffic.flights.was_answered(now, one)).copied().collect()
    }

    /// Requests were answered, so no end before is put down to them.
    pub(super) fn clear(&mut self, answered: &[Fingerprint], from: Option<&InstanceId>) {
        if !answered.is_empty() && self.crashes.clear(answered) {
            self.judge();
            self.members.broadcast(&ExchangeMessage::Answered(answered.to_vec()), from);
        }
    }

    /// Requests were answered after the ends of some upstreams.
    pub(super) fn clear_ends(&mut self, answered: Vec<(Life, Vec<Fingerprint>)>, from: Option<&InstanceId>) {
        let news: Vec<(Life, Vec<Fingerprint>)> =
            answered.into_iter().filter(|(life, requests)| self.crashes.clear_at(life, requests)).collect();
        if !news.is_empty() {
            self.judge();
            self.members.broadcast(&ExchangeMessage::Cleared(news), from);
        }
    }

    /// An upstream's entry came.
    pub(super) fn retract(&mut self, life: &Life) {
        if self.crashes.retract(life) {
            log::info!(
                upstream = life.upstream.as_str(), born = life.born;
                "upstream is back without a new start; its end is taken back"
            );
            self.judge();
        }
    }

    /// All reports, for a peer that may lack them.
    pub(super) fn tell_crashes(&self, peer: &InstanceId) {
        let now = self.gateway.now();
        let told = |(report, seen): (CrashReport, Duration)| AgedCrashReport { report, age: now.saturating_sub(seen) };
        let all: Vec<AgedCrashReport> = self.crashes.reports().map(told).collect();
        for some in all.chunks(BATCH) {
            self.members.send(peer, &ExchangeMessage::Crashes(some.to_vec()));
        }
        let answered = self.crashes.answered().map(|(life, all)| (life.clone(), all.iter().copied().collect()));
        let answered: Vec<(Life, Vec<Fingerprint>)> = answered.collect();
        for some in answered.chunks(BATCH) {
            self.members.send(peer, &ExchangeMessage::Cleared(some.to_vec()));
        }
    }

    // A release that a completed roll-out replaced is stopped with what it still runs.
    fn is_replaced(&self, ended: &CrashedUpstream) -> bool {
        let Some(upstream) = self.upstreams.get(&ended.life.upstream) else { return false };
        let beliefs = self.gateway.beliefs.load();
        matches!(beliefs.split(&upstream.service), Split::Only(to) if *to != upstream.release)
    }

    fn log_end(&self, ended: &CrashedUpstream, planned: bool) {
        let upstream = self.upstreams.get(&ended.life.upstream);
        let service = upstream.map_or("", |upstream| upstream.service.as_str());
        self.gateway.metrics.upstream_ended(service, planned);
        log::warn!(
            upstream = ended.life.upstream.as_str(), born = ended.life.born, service = service,
            release = upstream.map_or("", |upstream| upstream.release.as_str()),
            sign = ended.evidence.to_string().as_str(), planned = planned, under_way = ended.suspects.len();
            "upstream ended"
        );
    }

    fn judge(&mut self) {
        let suspects = Arc::new(self.crashes.find_suspects());
        let before = std::mem::replace(&mut self.suspects, Arc::clone(&suspects));
        log_verdicts(&before, &suspects);
        self.gateway.metrics.set_poison(suspects.poison().count());
        self.publish();
    }

    /// A row of a report is news.
    pub(super) fn learn_report(&mut self, row: &Row, source: &str) {
        if row.value.is_none() {
            // Whoever deleted it saw its requests answered, or it was too old.
            let gone = self.reports.remove(row).map(|gone| gone.report);
            self.clear_ends(gone.into_iter().map(|gone| (gone.life, gone.suspects)).collect(), None);
            return;
        }
        let Some(found) = self.reports.insert(row) else { return };
        if self.crashes.reconcile(&found.report) {
            self.judge();
        }
        let now = self.gateway.now();
        let age = self.store_clock(now).map_or(Duration::ZERO, |clock| clock.saturating_sub(found.needed));
        // Peers get the row itself.
        if self.crashes.record(now, age, &found.report) {
            log_report(&found.report, age, source);
            let answered = self.answered_lately(&found.report.suspects, now);
            self.judge();
            self.clear(&answered, None);
        }
    }

    /// Brings the reports in the store up to what is known here.
    pub(super) fn keep_reports(&mut self, now: Duration) {
        if self.crashes.expire(now) {
            self.judge();
        }
        let Some(clock) = self.store_clock(now).filter(|_| self.is_connected(now)) else { return };
        let needed = |seen: Duration| clock.saturating_sub(now.saturating_sub(seen));
        let kept = self.crashes.reports().map(|(report, seen)| StoredReport { report, needed: needed(seen) });
        let own = &self.gateway.settings.instance.id;
        let is_first = self.members.is_first(|_| true);
        let is_gone = |reporter: &InstanceId| !self.members.is_known(reporter);
        let looks_after = |report: &CrashReport| report.reporter == *own || is_first && is_gone(&report.reporter);
        if let Some(transaction) = self.reports.next_transaction(now, kept, looks_after) {
            spawn_local(reports::write(Arc::clone(&self.gateway), self.events.clone(), transaction));
        }
    }
}

fn log_report(report: &CrashReport, age: Duration, source: &str) {
    let suspects: Vec<String> = report.suspects.iter().map(ToString::to_string).collect();
    log::info!(
        upstream = report.life.upstream.as_str(), born = report.life.born,
        reporter = report.reporter.as_str(), sign = report.evidence.to_string().as_str(), source = source,
        age_ms = age.as_millis() as u64, fingerprints = suspects.join(" ").as_str();
        "requests were under way at an upstream that ended"
    );
}

fn log_verdicts(before: &Suspects, now: &Suspects) {
    for (fingerprint, crashes) in now.poison().filter(|(one, _)| !before.is_poison(one)) {
        let text = fingerprint.to_string();
        log::warn!(fingerprint = text.as_str(), crashes = crashes; "request is held back: upstreams end under it");
    }
    for (fingerprint, crashes) in before.poison().filter(|(one, _)| !now.is_poison(one)) {
        let text = fingerprint.to_string();
        log::info!(fingerprint = text.as_str(), crashes = crashes; "request is not held back any more");
    }
}
