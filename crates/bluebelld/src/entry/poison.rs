//! Tracks poison requests, which crash the runners that run them, and blocks them at all entries.
//!
//! A sidecar reports when its runner's process exited during an attempt. The entry writes a crash report to the store,
//! where the other entries read it. After the first crash, attempts of the request run isolated. A crash is therefore
//! attributed to the request alone, without regard to others on the same runner.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bluebell_core::{
    ids::{InstanceId, UpstreamId},
    poison::{CrashEvidence, CrashReport, Crashes, Fingerprint, Suspects},
    replica::Row,
    upstreams::UpstreamIncarnation,
};
use bluebell_platform::store::{Snapshot, Transaction, TransactionOutcome};
use indexmap::IndexSet;

use crate::{
    records::{FoundReports, Records, ReportRows, StoredReport, committed_rows},
    shared::Shared,
};

/// Long-poll time of reads from the store.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
const READ_RETRY_PAUSE: Duration = Duration::from_millis(500);
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of answered requests that are remembered until their reports are removed from the store; the oldest
/// are dropped first.
const MAX_ANSWERED_REQUESTS: usize = 1024;

#[derive(Default)]
struct State {
    crashes: Crashes,
    rows: ReportRows,
    // Answered requests whose reports may still be in the store.
    answered: IndexSet<Fingerprint>,
    // Time on the store's clock at its last answer, and the local time at which that arrived.
    store_clock: Option<(Duration, Duration)>,
}

/// Crash records of requests, and the requests blocked because of them.
pub struct PoisonTracker {
    shared: Arc<Shared>,
    state: Mutex<State>,
    suspects: ArcSwap<Suspects>,
}

impl PoisonTracker {
    /// Creates a tracker without any records.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, state: Mutex::default(), suspects: ArcSwap::default() }
    }

    /// Returns how many runners crashed while running a request if it is blocked, else `None`. A blocked request that
    /// arrives again stays blocked for longer.
    #[must_use]
    pub fn blocking_crashes(&self, fingerprint: &Fingerprint) -> Option<u32> {
        let suspicion = self.suspects.load().get(fingerprint).filter(|suspicion| suspicion.is_poison)?;
        self.lock().crashes.refresh(self.now(), fingerprint);
        Some(suspicion.crashes)
    }

    /// Records that a sidecar's runner crashed while running a request.
    pub fn record_crash(&self, fingerprint: Fingerprint, sidecar: &InstanceId) {
        let Ok(upstream) = sidecar.as_str().parse::<UpstreamId>() else { return };
        // Sidecars don't report start times of their runners, so the time of the crash serves instead. Every crash thus
        // counts as a different one.
        let since_epoch = self.shared.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = UpstreamIncarnation { upstream, started_at_ms: since_epoch.as_millis() as u64 };
        let reporter = self.shared.config.instance.id.clone();
        let report =
            CrashReport { incarnation, reporter, evidence: CrashEvidence::Refused, suspects: vec![fingerprint] };
        let mut state = self.lock();
        state.crashes.record(self.now(), Duration::ZERO, &report);
        log::warn!(
            fingerprint = fingerprint.to_string().as_str(), sidecar = sidecar.as_str(), source = "own";
            "runner crashed while running the request"
        );
        self.update_suspects(&state);
    }

    /// Records that a request was answered, which clears it of suspicion.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        if self.suspects.load().get(&fingerprint).is_none() {
            return;
        }
        let mut state = self.lock();
        state.crashes.clear(&[fingerprint]);
        if state.answered.len() == MAX_ANSWERED_REQUESTS {
            state.answered.shift_remove_index(0);
        }
        state.answered.insert(fingerprint);
        self.update_suspects(&state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.shared.clock.now()
    }

    fn update_suspects(&self, state: &State) {
        let suspects = Arc::new(state.crashes.find_suspects());
        let newly_blocked = suspects.poison().filter(|(fingerprint, _)| !self.suspects.load().is_poison(fingerprint));
        for (fingerprint, crashes) in newly_blocked {
            let text = fingerprint.to_string();
            log::warn!(
                fingerprint = text.as_str(), crashes = crashes;
                "request is held back: runners crash while running it"
            );
        }
        self.suspects.store(suspects);
    }

    fn apply_snapshot(&self, snapshot: &Snapshot) {
        let now = self.now();
        let mut state = self.lock();
        state.store_clock = Some((snapshot.clock, now));
        for row in &snapshot.rows {
            self.apply_row(&mut state, row, now);
        }
        self.update_suspects(&state);
    }

    fn apply_row(&self, state: &mut State, row: &Row, now: Duration) {
        if row.value.is_none() {
            // A report is deleted when its request was answered or it has expired.
            if let Some(deleted) = state.rows.remove(row) {
                state.crashes.clear(&deleted.report.suspects);
            }
            return;
        }
        let Some(stored) = state.rows.insert(row) else { return };
        state.crashes.reconcile(&stored.report);
        let age = state.store_clock.map_or(Duration::ZERO, |(clock, _)| clock.saturating_sub(stored.needed));
        if state.crashes.record(now, age, &stored.report) {
            let fingerprints: Vec<String> = stored.report.suspects.iter().map(ToString::to_string).collect();
            log::info!(
                fingerprints = fingerprints.join(" ").as_str(), reporter = stored.report.reporter.as_str(),
                age_ms = age.as_millis() as u64, source = "store";
                "runner crashed while running the request"
            );
        }
    }

    // The transaction that brings the stored reports up to date with the local ones, or `None` if nothing has to be
    // written. An entry writes its own reports, those of instances that are gone, and those of answered requests.
    fn next_transaction(&self) -> Option<Transaction> {
        let now = self.now();
        let mut state = self.lock();
        if state.crashes.expire(now) {
            self.update_suspects(&state);
        }
        let (store_clock, read_at) = state.store_clock?;
        let store_now = store_clock + now.saturating_sub(read_at);
        let stored =
            |(report, age): (CrashReport, Duration)| StoredReport { report, needed: store_now.saturating_sub(age) };
        let reports: Vec<StoredReport> = state.crashes.reports(now).map(stored).collect();
        let members = self.shared.members.load();
        let own = &self.shared.config.instance.id;
        let State { rows, answered, .. } = &mut *state;
        rows.next_transaction(now, reports.into_iter(), |report: &CrashReport| {
            let is_answered = report.suspects.iter().any(|fingerprint| answered.contains(fingerprint));
            report.reporter == *own || is_answered || members.get(&report.reporter).is_none()
        })
    }
}

/// Reads crash reports of other entries from the store, until the process ends.
pub async fn follow_reports(tracker: Arc<PoisonTracker>) {
    let mut version = None;
    loop {
        match tracker.shared.records.reports(version, LONG_POLL_TIMEOUT).await {
            Ok(snapshot) => {
                let snapshot = match snapshot {
                    FoundReports::Changes(snapshot) => snapshot,
                    FoundReports::All(mut snapshot) => {
                        snapshot.rows.extend(tracker.lock().rows.missing_from(&snapshot));
                        snapshot
                    }
                };
                version = Some(snapshot.version.max(version.unwrap_or_default()));
                tracker.apply_snapshot(&snapshot);
            }
            Err(error) => {
                log::debug!("can't read crash reports: {error}");
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes changed crash reports to the store, until the process ends.
pub async fn write_reports(tracker: Arc<PoisonTracker>) {
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        if let Some(transaction) = tracker.next_transaction() {
            write(&tracker, &tracker.shared.records, &transaction).await;
        }
    }
}

async fn write(tracker: &PoisonTracker, records: &Records, transaction: &Transaction) {
    match records.write_reports(transaction).await {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            tracker.apply_snapshot(&Snapshot { rows: committed_rows(transaction, version), version, clock });
        }
        Ok(TransactionOutcome::Conflict) => {
            log::info!("crash reports not written because another entry changed them; retrying");
        }
        Err(error) => log::warn!("can't write crash reports: {error}"),
    }
}
