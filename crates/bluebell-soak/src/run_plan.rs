//! Execution of one run: starts the fleet and its callers, injects the faults, waits for recovery, and checks the rules.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::watch, time::sleep};

use crate::{
    callers::{Callers, POISON_ROUTES},
    checks::{Evidence, Finding, check},
    faults::FaultInjector,
    fleet::Fleet,
    plan::{Plan, UpstreamIndex},
};

/// Time after the last fault within which the fleet has to recover.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time after that in which requests are expected to be served.
const RECOVERED_PHASE: Duration = Duration::from_secs(3);
/// Maximum number of log lines kept for a finding.
const MAX_LOG_LINES: usize = 40;

/// Result of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Plan of the run.
    pub plan: Plan,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests answered completely with status 200.
    pub served: usize,
    /// Violations of rules.
    pub findings: Vec<Finding>,
}

/// Executes a plan and checks all rules.
///
/// # Errors
/// If the fleet can't be started or a caller panics.
pub async fn run_plan(plan: Plan) -> io::Result<RunOutcome> {
    let fleet = Arc::new(Fleet::start(&plan).await?);
    let (injector, keys) = FaultInjector::new(Arc::clone(&fleet));
    let callers = Callers::new(Arc::clone(&fleet), keys);
    let (stop_sender, stop) = watch::channel(false);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..plan.callers {
        tasks.spawn(callers.clone().run_caller(plan.seed, number, stop.clone()));
    }
    // Poison requests end with the faults, so that the fleet can recover.
    let (poison_stop_sender, poison_stop) = watch::channel(false);
    for (number, route) in POISON_ROUTES.into_iter().enumerate().filter(|_| plan.poison) {
        tasks.spawn(callers.clone().run_poison_caller(plan.seed, number, route, poison_stop.clone()));
    }
    injector.run(&plan).await;
    poison_stop_sender.send_replace(true);
    sleep(RECOVERY_TIME).await;
    let recovered_phase = (Instant::now(), Instant::now() + RECOVERED_PHASE);
    sleep(RECOVERED_PHASE).await;
    stop_sender.send_replace(true);
    while let Some(result) = tasks.join_next().await {
        result.map_err(io::Error::other)?;
    }
    injector.stop_all_gateways().await;
    let runs: Vec<(UpstreamIndex, _)> = fleet
        .all_upstreams()
        .flat_map(|upstream| upstream.server.runs().into_iter().map(|run| (upstream.index, run)))
        .collect();
    let arrivals = fleet.all_upstreams().flat_map(|upstream| {
        let arrived = upstream.server.arrived_requests().into_iter();
        arrived.map(|(at, request)| (upstream.index, at, request))
    });
    let evidence = Evidence {
        plan: &plan,
        started_at: fleet.started_at,
        requests: callers.take_records(),
        runs,
        arrivals: arrivals.collect(),
        injected: injector.take_log(),
        recovered_phase,
    };
    let mut findings = check(&evidence);
    for finding in &mut findings {
        finding.log_lines = fleet.log_lines(&format!("\"{}\"", finding.request));
        finding.log_lines.truncate(MAX_LOG_LINES);
    }
    let served = evidence.requests.iter().filter(|request| request.is_served()).count();
    Ok(RunOutcome { requests: evidence.requests.len(), served, findings, plan })
}
