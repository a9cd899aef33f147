//! One run: the fleet, its callers, the faults, a calm time at the end, and the checks.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::watch, time::sleep};

use crate::{
    callers::{Callers, POISON_ROUTES},
    checks::{Evidence, Finding, check},
    fleet::Fleet,
    plan::{Plan, Server},
    troubles::Troubles,
};

/// Time after the last fault in which all has to be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after that in which it is checked that all is.
const CALM: Duration = Duration::from_secs(3);
/// Lines of logs kept for a finding.
const MAX_LINES: usize = 40;

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The run.
    pub plan: Plan,
    /// Requests sent.
    pub requests: usize,
    /// Requests served.
    pub served: usize,
    /// Broken rules.
    pub findings: Vec<Finding>,
}

/// Plays a run.
///
/// # Errors
/// When its fleet can't be started.
pub async fn play(plan: Plan) -> io::Result<Outcome> {
    let fleet = Arc::new(Fleet::start(&plan).await?);
    let (troubles, keys) = Troubles::new(Arc::clone(&fleet));
    let callers = Callers::new(Arc::clone(&fleet), keys);
    let (stop, stopped) = watch::channel(false);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..plan.callers {
        tasks.spawn(callers.clone().call(plan.seed, number, stopped.clone()));
    }
    let (halt, halted) = watch::channel(false);
    for (number, route) in POISON_ROUTES.into_iter().enumerate().filter(|_| plan.poison) {
        tasks.spawn(callers.clone().persist(plan.seed, number, route, halted.clone()));
    }
    troubles.run(&plan).await;
    halt.send_replace(true);
    sleep(RECOVERY).await;
    let calm = (Instant::now(), Instant::now() + CALM);
    sleep(CALM).await;
    stop.send_replace(true);
    while let Some(ended) = tasks.join_next().await {
        ended.map_err(io::Error::other)?;
    }
    troubles.stop_all().await;
    let runs: Vec<(Server, _)> =
        fleet.all_upstreams().flat_map(|one| one.server.runs().into_iter().map(|run| (one.at, run))).collect();
    let evidence =
        Evidence { plan: &plan, started: fleet.started, seen: callers.take(), runs, done: troubles.take(), calm };
    let mut findings = check(&evidence);
    for finding in &mut findings {
        finding.lines = fleet.log_lines(&format!("\"{}\"", finding.request));
        finding.lines.truncate(MAX_LINES);
    }
    let served = evidence.seen.iter().filter(|one| one.is_served()).count();
    Ok(Outcome { requests: evidence.seen.len(), served, findings, plan })
}
