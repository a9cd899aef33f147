//! The rules, checked against the records of callers and upstreams.

mod announcements;
mod answers;
mod control_plane;
mod runs;

use std::{
    fmt,
    time::{Duration, Instant},
};

use bluebell_standins::site::Run;
use indexmap::IndexMap;

use crate::{
    callers::RequestRecord,
    faults::{FaultRecord, FaultScope, InjectionLog, STALE_ENTRY_TIME},
    fleet::{POISON_MARKER, UPSTREAM_DOWNTIME},
    plan::{Plan, UpstreamIndex},
};

/// Time without faults after which a gateway has to keep the bounds.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// A rule. Its name is printed with each finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Callers get the complete answer to their own request, with the upstream's status.
    WholeAnswers,
    /// The events of a stream arrive once each, in order.
    EventOrder,
    /// A request rejected with a status that says it did not run has not run.
    TrueRefusals,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// Upstreams receive requests as the callers sent them.
    Unchanged,
    /// Requests run only on upstreams of their service. Which release they may run on is the subject of [`Self::Sessions`]
    /// and [`Self::Exposure`].
    AllowedVersion,
    /// No requests are sent to an upstream after its drain time.
    Drains,
    /// Upstreams get no more requests than they said they take: those that name a rate limit, are leaving, or ask for a
    /// pause.
    Announcements,
    /// The deadline passed to upstreams does not exceed the remaining time.
    Deadlines,
    /// The retries of all gateways together stay within the retry budget.
    RetryBudget,
    /// Poison requests are blocked after they have crashed a few upstreams.
    Poison,
    /// Changes of API keys take effect in time, and removed keys don't become valid again.
    Configuration,
    /// Valid requests are not rejected as invalid.
    Denied,
    /// No request is lost unless a fault excuses it.
    Lost,
    /// Requests get their final answer in time, and are not held longer.
    Held,
    /// No requests are sent to upstreams for callers that have disconnected.
    Gone,
    /// Sessions stay on their release while a new one is evaluated.
    Sessions,
    /// A bad release gets no more requests than allowed, and none after its roll-out was reverted.
    Exposure,
    /// Requests are served again after the faults.
    Recovery,
    /// Gateways run until they are asked to stop, and then stop in time.
    Stops,
}

/// A violation of a rule.
#[derive(Debug)]
pub struct Finding {
    /// The rule that was violated.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Duration,
    /// Id of the request as written in logs, or `-` if the finding is not about one request.
    pub request: String,
    /// What was observed.
    pub text: String,
    /// The gateways' log lines about the request.
    pub log_lines: Vec<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s, request {}: {}", self.rule, self.at.as_secs_f64(), self.request, self.text)
    }
}

/// All records of a run.
pub struct Evidence<'a> {
    /// Plan of the run.
    pub plan: &'a Plan,
    /// When the run began.
    pub started_at: Instant,
    /// Requests that callers sent.
    pub requests: Vec<RequestRecord>,
    /// Requests that upstreams ran.
    pub runs: Vec<(UpstreamIndex, Run)>,
    /// Requests that reached upstreams, whether or not they ran.
    pub arrivals: Vec<(UpstreamIndex, Instant, String)>,
    /// Faults and operations.
    pub injected: InjectionLog,
    /// Start and end of the phase after recovery, in which requests have to be served.
    pub recovered_phase: (Instant, Instant),
}

/// The evidence, indexed for the checks, and their findings so far.
pub struct CheckContext<'a> {
    evidence: &'a Evidence<'a>,
    requests: IndexMap<&'a str, &'a RequestRecord>,
    runs: IndexMap<&'a str, Vec<(UpstreamIndex, &'a Run)>>,
    // Crashes of upstreams by poison requests, which the injection log does not contain.
    poison_crashes: Vec<FaultRecord>,
    findings: Vec<Finding>,
}

impl<'a> CheckContext<'a> {
    fn new(evidence: &'a Evidence<'a>) -> Self {
        let requests = evidence.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        let mut runs: IndexMap<&str, Vec<(UpstreamIndex, &Run)>> = IndexMap::new();
        for (upstream, run) in &evidence.runs {
            runs.entry(run.request.header("request-id")).or_default().push((*upstream, run));
        }
        runs.values_mut().for_each(|runs| runs.sort_by_key(|(_, run)| run.began));
        let poison_runs = evidence.runs.iter().filter(|(_, run)| run.request.contains(POISON_MARKER));
        let poison_crashes = poison_runs.map(|(upstream, run)| FaultRecord {
            from: run.began,
            to: run.began + UPSTREAM_DOWNTIME + STALE_ENTRY_TIME,
            scope: FaultScope::Upstream(*upstream),
            planned: false,
        });
        Self { evidence, requests, runs, poison_crashes: poison_crashes.collect(), findings: Vec::new() }
    }

    fn report(&mut self, rule: Rule, at: Instant, request: &str, text: String) {
        let at = at.saturating_duration_since(self.evidence.started_at);
        self.findings.push(Finding { rule, at, request: request.to_owned(), text, log_lines: Vec::new() });
    }

    // Runs of a request on all upstreams, ordered by start.
    fn runs_of(&self, id: &str) -> &[(UpstreamIndex, &'a Run)] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    // Whether a fault for which `counts` holds was active between two times.
    fn any_fault(&self, from: Instant, to: Instant, counts: impl Fn(&FaultRecord) -> bool) -> bool {
        let mut faults = self.evidence.injected.faults.iter().chain(&self.poison_crashes);
        faults.any(|fault| counts(fault) && fault.from <= to && fault.to >= from)
    }

    /// Whether no fault affected a gateway or its connections to the store and its peers at a time and during the
    /// settling time before it.
    fn is_settled(&self, gateway: usize, at: Instant) -> bool {
        !self.any_fault(earlier(at, SETTLING_TIME), at, |fault| match fault.scope {
            FaultScope::Gateway(affected) | FaultScope::GatewayControl(affected) => affected == gateway,
            FaultScope::AllGateways | FaultScope::Store => true,
            FaultScope::Upstream(_) => false,
        })
    }
}

fn earlier(at: Instant, by: Duration) -> Instant {
    at.checked_sub(by).unwrap_or(at)
}

/// Checks all rules; returns the violations.
#[must_use]
pub fn check(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut context = CheckContext::new(evidence);
    answers::check(&mut context);
    runs::check(&mut context);
    announcements::check(&mut context);
    control_plane::check(&mut context);
    context.findings
}
