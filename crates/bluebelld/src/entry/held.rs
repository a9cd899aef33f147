//! Requests that end the runners which run them, held back at all entries.
//!
//! A sidecar says when its runner ended under an attempt. The entry keeps that in the store, where the others read it.
//! An attempt after the first end runs alone, so the ends of a request are put down to it without looking at those
//! beside it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bluebell_core::{
    ids::{InstanceId, UpstreamId},
    poison::{CrashEvidence, CrashReport, Crashes, Fingerprint, Suspects},
    replica::Row,
    upstreams::Life,
};
use bluebell_platform::store::{Snapshot, Transaction, TransactionOutcome};
use indexmap::IndexSet;

use crate::{
    records::{FoundReports, Records, ReportRows, StoredReport, committed_rows},
    shared::Shared,
};

/// Time for which the store is asked to wait for a change.
const WAIT: Duration = Duration::from_secs(10);
/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks at what is to be written.
const WRITE_PERIOD: Duration = Duration::from_millis(250);
/// Answered requests whose reports are still to be taken out of the store.
const MAX_ANSWERED: usize = 1024;

#[derive(Default)]
struct State {
    crashes: Crashes,
    rows: ReportRows,
    answered: IndexSet<Fingerprint>,
    clock: Option<(Duration, Duration)>,
}

/// Requests that are held back.
pub struct Held {
    shared: Arc<Shared>,
    state: Mutex<State>,
    suspects: ArcSwap<Suspects>,
}

impl Held {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, state: Mutex::default(), suspects: ArcSwap::default() }
    }

    /// Runners that ended under a request which is held back.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Fingerprint) -> Option<u32> {
        let suspicion = self.suspects.load().get(fingerprint).filter(|one| one.is_poison)?;
        self.lock().crashes.refresh(self.now(), fingerprint);
        Some(suspicion.crashes)
    }

    /// The runner of a sidecar ended under a request.
    pub fn crashed(&self, fingerprint: Fingerprint, sidecar: &InstanceId) {
        let Ok(upstream) = sidecar.as_str().parse::<UpstreamId>() else { return };
        // Sidecars don't number the lives of their runners; each end is one of its own.
        let since_epoch = self.shared.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let life = Life { upstream, born: since_epoch.as_millis() as u64 };
        let reporter = self.shared.config.instance.id.clone();
        let report = CrashReport { life, reporter, evidence: CrashEvidence::Refused, suspects: vec![fingerprint] };
        let mut state = self.lock();
        state.crashes.record(self.now(), Duration::ZERO, &report);
        log::warn!(
            fingerprint = fingerprint.to_string().as_str(), sidecar = sidecar.as_str(), source = "own";
            "a runner ended under the request"
        );
        self.judge(&state);
    }

    /// A request was answered.
    pub fn answered(&self, fingerprint: Fingerprint) {
        if self.suspects.load().get(&fingerprint).is_none() {
            return;
        }
        let mut state = self.lock();
        state.crashes.clear(&[fingerprint]);
        if state.answered.len() == MAX_ANSWERED {
            state.answered.shift_remove_index(0);
        }
        state.answered.insert(fingerprint);
        self.judge(&state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.shared.clock.now()
    }

    fn judge(&self, state: &State) {
        let suspects = Arc::new(state.crashes.find_suspects());
        for (fingerprint, crashes) in suspects.poison().filter(|(one, _)| !self.suspects.load().is_poison(one)) {
            let text = fingerprint.to_string();
            log::warn!(fingerprint = text.as_str(), crashes = crashes; "request is held back: runners end under it");
        }
        self.suspects.store(suspects);
    }

    fn learn(&self, found: &Snapshot) {
        let now = self.now();
        let mut state = self.lock();
        state.clock = Some((found.clock, now));
        for row in &found.rows {
            self.learn_row(&mut state, row, now);
        }
        self.judge(&state);
    }

    fn learn_row(&self, state: &mut State, row: &Row, now: Duration) {
        if row.value.is_none() {
            // Whoever deleted it saw the request answered, or it was too old.
            if let Some(gone) = state.rows.remove(row) {
                state.crashes.clear(&gone.report.suspects);
            }
            return;
        }
        let Some(stored) = state.rows.insert(row) else { return };
        state.crashes.reconcile(&stored.report);
        let age = state.clock.map_or(Duration::ZERO, |(clock, _)| clock.saturating_sub(stored.needed));
        if state.crashes.record(now, age, &stored.report) {
            let fingerprints: Vec<String> = stored.report.suspects.iter().map(ToString::to_string).collect();
            log::info!(
                fingerprints = fingerprints.join(" ").as_str(), reporter = stored.report.reporter.as_str(),
                age_ms = age.as_millis() as u64, source = "store";
                "a runner ended under the request"
            );
        }
    }

    // What to write, so that the store holds what is known here.
    fn due(&self) -> Option<Transaction> {
        let now = self.now();
        let mut state = self.lock();
        if state.crashes.expire(now) {
            self.judge(&state);
        }
        let (clock, at) = state.clock?;
        let clock = clock + now.saturating_sub(at);
        let needed = |seen: Duration| clock.saturating_sub(now.saturating_sub(seen));
        let kept: Vec<StoredReport> =
            state.crashes.reports().map(|(report, seen)| StoredReport { report, needed: needed(seen) }).collect();
        let members = self.shared.members.load();
        let own = &self.shared.config.instance.id;
        let State { rows, answered, .. } = &mut *state;
        rows.next_transaction(now, kept.into_iter(), |report: &CrashReport| {
            let is_answered = report.suspects.iter().any(|one| answered.contains(one));
            report.reporter == *own || is_answered || members.get(&report.reporter).is_none()
        })
    }
}

/// Reads reports of other entries until the process ends.
pub async fn follow(held: Arc<Held>) {
    let mut reached = None;
    loop {
        match held.shared.records.reports(reached, WAIT).await {
            Ok(found) => {
                let found = match found {
                    FoundReports::Changes(found) => found,
                    FoundReports::All(mut found) => {
                        found.rows.extend(held.lock().rows.missing_from(&found));
                        found
                    }
                };
                reached = Some(found.version.max(reached.unwrap_or_default()));
                held.learn(&found);
            }
            Err(error) => {
                log::debug!("reports of ended runners can't be read: {error}");
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Keeps the reports in the store up to what is known here until the process ends.
pub async fn keep(held: Arc<Held>) {
    loop {
        tokio::time::sleep(WRITE_PERIOD).await;
        if let Some(transaction) = held.due() {
            write(&held, &held.shared.records, &transaction).await;
        }
    }
}

async fn write(held: &Held, records: &Records, transaction: &Transaction) {
    match records.write_reports(transaction).await {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            held.learn(&Snapshot { rows: committed_rows(transaction, version), version, clock });
        }
        Ok(TransactionOutcome::Conflict) => log::info!("another entry wrote reports of ended runners; looking again"),
        Err(error) => log::warn!("reports of ended runners not written: {error}"),
    }
}
