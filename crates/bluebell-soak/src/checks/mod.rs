//! The rules, checked against what callers and upstreams saw.

mod answers;
mod beliefs;
mod runs;

use std::{
    fmt,
    time::{Duration, Instant},
};

use bluebell_standins::site::Run;
use indexmap::IndexMap;

use crate::{
    callers::Seen,
    fleet::{DOWN, POISON},
    plan::{Plan, Server},
    troubles::{Done, LAPSE, Mark, Reach},
};

/// Time without faults after which bounds hold for a gateway.
pub const CONTACT: Duration = Duration::from_secs(3);

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A caller gets the whole answer to its own request, with the upstream's status.
    WholeAnswers,
    /// Events of a stream come once each, in order.
    EventOrder,
    /// A request that is refused as not run never runs.
    TrueRefusals,
    /// A request that may run once does.
    AtMostOnce,
    /// Upstreams run what callers sent, unchanged.
    Unchanged,
    /// Requests run at the service and release that they may.
    AllowedVersion,
    /// Nothing is sent to an upstream that left.
    Drains,
    /// Upstreams are handed no more time than is left.
    Deadlines,
    /// Retries stay within the budget of all gateways.
    RetryBudget,
    /// Repeats of a request that ends upstreams stop.
    Poison,
    /// Keys are in force in time, and never come back.
    Configuration,
    /// Proper requests are not denied.
    Denied,
    /// No request is lost without a fault.
    Lost,
    /// Requests get their final answer in time.
    Held,
    /// Nothing is sent for callers that have left.
    Gone,
    /// Sessions stay on their release while a new one is judged.
    Sessions,
    /// A bad release gets no more requests than allowed, and none once it was reverted.
    Exposure,
    /// All is served again after the faults.
    Recovery,
    /// Processes run until they are told to stop, and then stop in time.
    Stops,
}

/// A broken rule.
#[derive(Debug)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Duration,
    /// The request, as it is named in logs.
    pub request: String,
    /// What was seen.
    pub text: String,
    /// Log lines of the request.
    pub lines: Vec<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s, request {}: {}", self.rule, self.at.as_secs_f64(), self.request, self.text)
    }
}

/// All that was seen of a run.
pub struct Evidence<'a> {
    /// The run.
    pub plan: &'a Plan,
    /// When it began.
    pub started: Instant,
    /// What callers saw.
    pub seen: Vec<Seen>,
    /// What upstreams ran.
    pub runs: Vec<(Server, Run)>,
    /// What was done.
    pub done: Done,
    /// Time in which all has to be served.
    pub calm: (Instant, Instant),
}

/// The evidence in the order in which checks need it.
pub struct View<'a> {
    evidence: &'a Evidence<'a>,
    by_id: IndexMap<&'a str, &'a Seen>,
    runs: IndexMap<&'a str, Vec<(Server, &'a Run)>>,
    // Upstreams ended by the requests that end them.
    ends: Vec<Mark>,
    findings: Vec<Finding>,
}

impl<'a> View<'a> {
    fn new(evidence: &'a Evidence<'a>) -> Self {
        let by_id = evidence.seen.iter().map(|one| (one.id.as_str(), one)).collect();
        let mut runs: IndexMap<&str, Vec<(Server, &Run)>> = IndexMap::new();
        for (at, run) in &evidence.runs {
            runs.entry(run.request.header("request-id")).or_default().push((*at, run));
        }
        runs.values_mut().for_each(|runs| runs.sort_by_key(|(_, run)| run.began));
        let ends = evidence.runs.iter().filter(|(_, run)| run.request.contains(POISON)).map(|(at, run)| Mark {
            from: run.began,
            to: run.began + DOWN + LAPSE,
            reach: Reach::Upstream(*at),
            planned: false,
        });
        Self { evidence, by_id, runs, ends: ends.collect(), findings: Vec::new() }
    }

    fn find(&mut self, rule: Rule, at: Instant, request: &str, text: String) {
        let at = at.saturating_duration_since(self.evidence.started);
        self.findings.push(Finding { rule, at, request: request.to_owned(), text, lines: Vec::new() });
    }

    fn runs_of(&self, id: &str) -> &[(Server, &'a Run)] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    fn overlaps(&self, from: Instant, to: Instant, counts: impl Fn(&Mark) -> bool) -> bool {
        self.evidence.done.marks.iter().chain(&self.ends).any(|mark| counts(mark) && mark.from <= to && mark.to >= from)
    }

    /// Whether a gateway was without faults for the time of contact before a moment, the store as well.
    fn in_touch(&self, gateway: usize, at: Instant) -> bool {
        !self.overlaps(earlier(at, CONTACT), at, |mark| match mark.reach {
            Reach::Gateway(one) | Reach::Contact(one) => one == gateway,
            Reach::AllGateways | Reach::Store => true,
            Reach::Upstream(_) => false,
        })
    }
}

fn earlier(at: Instant, by: Duration) -> Instant {
    at.checked_sub(by).unwrap_or(at)
}

/// Checks all rules.
#[must_use]
pub fn check(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut view = View::new(evidence);
    answers::check(&mut view);
    runs::check(&mut view);
    beliefs::check(&mut view);
    view.findings
}
