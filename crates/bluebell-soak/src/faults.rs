//! Injection of a plan's faults, with a log of when each one was active and what it affected.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bluebell_standins::{
    process::Process,
    proxy::LinkFaults,
    site::{Fault, StoreMode, server_entry},
};
use futures_util::future::join_all;
use serde_json::json;
use tokio::{sync::watch, time::sleep};

use crate::{
    callers::ApiKeys,
    fleet::{Fleet, NEW_RELEASE, UPSTREAM_DOWNTIME, Upstream},
    plan::{FaultKind, Link, Plan, ROLLOUT_TIME, ScheduledFault, Service, UpstreamIndex},
};

/// Time within which a gateway has to end after it was asked to stop; after that it is killed.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a draining upstream may still get requests.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which the old registry entry of a crashed upstream may still be in effect. A crash excuses lost requests for
/// the upstream's downtime and this time.
pub const STALE_ENTRY_TIME: Duration = Duration::from_millis(2600);
/// Time between two updates of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which the store is away before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(1000);
/// Time after that within which operators and upstreams write theirs again.
const REWRITE_TIME: Duration = Duration::from_millis(1500);
/// Interval at which a stopping process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScope {
    /// A gateway or the link from its callers.
    Gateway(usize),
    /// A gateway's connection to the store, or its peers' connections to it.
    GatewayControl(usize),
    /// All gateways.
    AllGateways,
    /// The store's connections to all gateways.
    Store,
    /// An upstream or the link to it.
    Upstream(UpstreamIndex),
}

/// A fault that was injected.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// When it started.
    pub from: Instant,
    /// When it was over.
    pub to: Instant,
    /// What it affected.
    pub scope: FaultScope,
    /// Whether it was a planned operation, which does not excuse lost requests.
    pub planned: bool,
}

/// A replacement of an API key.
#[derive(Debug, Clone)]
pub struct KeyChange {
    /// The key that was removed.
    pub removed: String,
    /// The key that was added.
    pub added: String,
    /// When the store accepted it.
    pub stored_at: Instant,
}

/// An upstream that was set to draining.
#[derive(Debug, Clone)]
pub struct DrainRecord {
    /// Its id at that time.
    pub id: String,
    /// Its service and number.
    pub upstream: UpstreamIndex,
    /// When the store accepted its draining entry.
    pub stored_at: Instant,
}

/// What an upstream said of itself in all its answers for some time.
#[derive(Debug, Clone)]
pub struct Announcement {
    /// The upstream.
    pub upstream: UpstreamIndex,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
    /// What it said.
    pub kind: AnnouncementKind,
}

/// Kind of an [`Announcement`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnnouncementKind {
    /// It takes this number of requests per second from all gateways together.
    Limit(f64),
    /// It is leaving.
    Leaving,
    /// Each gateway is to send nothing for this time after an answer.
    Pause(Duration),
}

/// A roll-out that was started.
#[derive(Debug, Clone, Copy)]
pub struct RolloutRecord {
    /// When the store accepted it.
    pub stored_at: Instant,
    /// Whether all answers of the new release are errors.
    pub bad: bool,
}

/// Log of all faults and operations of a run.
#[derive(Debug, Default)]
pub struct InjectionLog {
    /// Faults, in the order in which they ended.
    pub faults: Vec<FaultRecord>,
    /// Replacements of API keys.
    pub key_changes: Vec<KeyChange>,
    /// Upstreams that were drained.
    pub drains: Vec<DrainRecord>,
    /// What upstreams said of themselves.
    pub announcements: Vec<Announcement>,
    /// The roll-out, if there was one.
    pub rollout: Option<RolloutRecord>,
    /// Gateways that ended by themselves or did not stop in time, with a description.
    pub stop_failures: Vec<(Instant, String)>,
}

struct OperatorState {
    // Version of the last declarations.
    version: u64,
    // Number in the name of the last API key.
    last_key: u64,
}

/// Injects the faults of a plan.
#[derive(Clone)]
pub struct FaultInjector {
    fleet: Arc<Fleet>,
    log: Arc<Mutex<InjectionLog>>,
    operator: Arc<Mutex<OperatorState>>,
    keys: Arc<watch::Sender<ApiKeys>>,
}

impl FaultInjector {
    /// Creates an injector; also returns the organisation's API keys as callers are to use them.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>) -> (Self, watch::Receiver<ApiKeys>) {
        let keys = ApiKeys { permanent: "key-1".to_owned(), rotated: "key-2".to_owned(), previous: None };
        let (sender, keys) = watch::channel(keys);
        let operator = Arc::new(Mutex::new(OperatorState { version: 1, last_key: 2 }));
        let now = Instant::now();
        // The start of the run counts as a fault of all gateways, so that they get the usual settling time after it.
        let start = FaultRecord { from: now, to: now, scope: FaultScope::AllGateways, planned: false };
        let log = InjectionLog { faults: vec![start], ..InjectionLog::default() };
        (Self { fleet, log: Arc::new(Mutex::new(log)), operator, keys: Arc::new(sender) }, keys)
    }

    /// Takes the log of what was injected so far.
    #[must_use]
    pub fn take_log(&self) -> InjectionLog {
        std::mem::take(&mut self.log())
    }

    fn log(&self) -> MutexGuard<'_, InjectionLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Injects all faults of a plan at their times, then clears whatever faults are left.
    pub async fn run(&self, plan: &Plan) {
        join_all(plan.faults.iter().map(|fault| async {
            sleep(fault.at.saturating_sub(self.fleet.started_at.elapsed())).await;
            self.inject(fault).await;
        }))
        .await;
        self.clear_faults();
    }

    // When faults on the same target overlap, the end of one may leave the state that the other one set.
    fn clear_faults(&self) {
        for gateway in &self.fleet.gateways {
            for proxy in [&gateway.caller_proxy, &gateway.peer_proxy, &gateway.store_proxy] {
                proxy.set(LinkFaults::default());
            }
            gateway.store_mode.send_replace(StoreMode::Open);
            gateway.if_running(Process::thaw);
        }
        for upstream in self.fleet.all_upstreams() {
            upstream.proxy.iter().for_each(|proxy| proxy.set(LinkFaults::default()));
            // A bad new release stays bad.
            if upstream.index != self.fleet.canary.index {
                upstream.clear_fault();
            }
        }
    }

    async fn inject(&self, fault: &ScheduledFault) {
        let from = Instant::now();
        let duration = fault.duration;
        match &fault.kind {
            FaultKind::Link(link, faults) => {
                self.set_link_faults(*link, *faults);
                sleep(duration).await;
                self.set_link_faults(*link, LinkFaults::default());
                let scope = match link {
                    Link::Callers(gateway) => FaultScope::Gateway(*gateway),
                    Link::Peers(gateway) | Link::Store(gateway) => FaultScope::GatewayControl(*gateway),
                    Link::Upstream(upstream) => FaultScope::Upstream(*upstream),
                };
                self.record(from, scope, false);
            }
            FaultKind::FreezeGateway(gateway) => {
                self.fleet.gateways[*gateway].if_running(Process::freeze);
                sleep(duration).await;
                self.fleet.gateways[*gateway].if_running(Process::thaw);
                self.record(from, FaultScope::Gateway(*gateway), false);
            }
            FaultKind::KillGateway(gateway) => self.kill_gateway(*gateway, duration).await,
            FaultKind::KillAllGateways => {
                let gateways = 0..self.fleet.gateways.len();
                join_all(gateways.map(|gateway| self.kill_gateway(gateway, duration))).await;
            }
            FaultKind::StopGateway(gateway) => self.stop_gateway(*gateway).await,
            FaultKind::ReloadGateway(gateway) => self.fleet.gateways[*gateway].if_running(Process::reload),
            FaultKind::StoreMode(gateway, mode) => {
                self.set_store_mode(*gateway, *mode);
                sleep(duration).await;
                self.set_store_mode(*gateway, StoreMode::Open);
                self.record(from, gateway.map_or(FaultScope::Store, FaultScope::GatewayControl), false);
            }
            FaultKind::CompactStore => self.fleet.store.compact(),
            FaultKind::RotateKey => self.rotate_key(),
            FaultKind::ConfigBurst(count) => {
                for _ in 0..*count {
                    self.republish_declarations();
                    sleep(BURST_INTERVAL).await;
                }
            }
            FaultKind::Upstream(index, fault) => {
                self.inject_upstream_fault(|upstream| upstream.index == *index, fault, duration).await;
            }
            FaultKind::Service(service, fault) => {
                let is_affected = |upstream: &Upstream| upstream.index.service() == *service;
                self.inject_upstream_fault(is_affected, fault, duration).await;
            }
            FaultKind::CrashUpstream(upstream) => self.crash_upstream(*upstream).await,
            FaultKind::DrainUpstream(upstream) => self.drain_upstream(*upstream).await,
            FaultKind::ReuseAddress(upstream) => self.reuse_address(*upstream, duration).await,
            FaultKind::RestoreStore => self.restore_store(duration).await,
            FaultKind::LimitUpstream(upstream, limit) => self.limit_upstream(*upstream, *limit, duration).await,
            FaultKind::LeaveUpstream(upstream) => self.leave_upstream(*upstream).await,
            FaultKind::Rollout { bad } => self.start_rollout(*bad).await,
        }
    }

    fn record(&self, from: Instant, scope: FaultScope, planned: bool) {
        self.log().faults.push(FaultRecord { from, to: Instant::now(), scope, planned });
    }

    fn set_link_faults(&self, link: Link, faults: LinkFaults) {
        let gateways = &self.fleet.gateways;
        match link {
            Link::Callers(gateway) => gateways[gateway].caller_proxy.set(faults),
            Link::Peers(gateway) => gateways[gateway].peer_proxy.set(faults),
            Link::Store(gateway) => gateways[gateway].store_proxy.set(faults),
            Link::Upstream(index) => {
                let proxy = self.fleet.upstream(index).and_then(|upstream| upstream.proxy.as_ref());
                proxy.into_iter().for_each(|proxy| proxy.set(faults));
            }
        }
    }

    // Sets the mode for one gateway, or for all if none is given.
    fn set_store_mode(&self, gateway: Option<usize>, mode: StoreMode) {
        let all = self.fleet.gateways.iter().enumerate();
        all.filter(|(number, _)| gateway.is_none_or(|only| only == *number)).for_each(|(_, gateway)| {
            gateway.store_mode.send_replace(mode);
        });
    }

    async fn inject_upstream_fault(&self, is_affected: impl Fn(&Upstream) -> bool, fault: &Fault, duration: Duration) {
        let from = Instant::now();
        let affected: Vec<&Upstream> = self.fleet.upstreams.iter().filter(|upstream| is_affected(upstream)).collect();
        affected.iter().for_each(|upstream| upstream.server.set_default_fault(Some(fault.clone())));
        sleep(duration).await;
        affected.iter().for_each(|upstream| upstream.clear_fault());
        if let Some(pause) = pause_time(fault) {
            let kind = AnnouncementKind::Pause(pause);
            affected.iter().for_each(|upstream| self.record_announcement(upstream.index, from, kind));
        }
        if may_lose_requests(fault) {
            affected.iter().for_each(|upstream| self.record(from, FaultScope::Upstream(upstream.index), false));
        }
    }

    fn record_announcement(&self, upstream: UpstreamIndex, from: Instant, kind: AnnouncementKind) {
        self.log().announcements.push(Announcement { upstream, from, to: Instant::now(), kind });
    }

    async fn restore_store(&self, age: Duration) {
        let copy = self.fleet.store.copy();
        sleep(age).await;
        let from = Instant::now();
        self.set_store_mode(None, StoreMode::Reset);
        sleep(RESTORE_TIME).await;
        let before = self.fleet.store.copy();
        self.fleet.store.restore(copy.clone());
        self.set_store_mode(None, StoreMode::Open);
        sleep(REWRITE_TIME).await;
        self.fleet.store.write_again(&before, &copy, &["op", "servers"]);
        self.record(from, FaultScope::Store, false);
    }

    async fn limit_upstream(&self, index: UpstreamIndex, limit: f64, duration: Duration) {
        let Some(upstream) = self.fleet.upstream(index) else { return };
        let from = Instant::now();
        upstream.server.set_limit(Some(&limit.to_string()));
        sleep(duration).await;
        upstream.server.set_limit(None);
        self.record_announcement(index, from, AnnouncementKind::Limit(limit));
    }

    async fn leave_upstream(&self, index: UpstreamIndex) {
        let Some(upstream) = self.fleet.upstream(index) else { return };
        let from = Instant::now();
        upstream.server.set_leaving(true);
        sleep(2 * DRAIN_TIME).await;
        self.record_announcement(index, from, AnnouncementKind::Leaving);
        upstream.server.set_leaving(false);
        self.crash_upstream(index).await;
    }

    async fn kill_gateway(&self, number: usize, downtime: Duration) {
        let from = Instant::now();
        let gateway = &self.fleet.gateways[number];
        let start_count = {
            let mut state = gateway.state();
            state.process.kill();
            state.should_run = false;
            state.start_count
        };
        sleep(downtime).await;
        self.restart_gateway(number, start_count);
        self.record(from, FaultScope::Gateway(number), false);
    }

    // Restarts a gateway, unless an overlapping fault has restarted it since `start_count` was read.
    fn restart_gateway(&self, number: usize, start_count: u32) {
        let mut state = self.fleet.gateways[number].state();
        if state.start_count == start_count {
            state.process.restart();
            state.start_count += 1;
            state.should_run = true;
        }
    }

    async fn stop_gateway(&self, number: usize) {
        let from = Instant::now();
        let gateway = &self.fleet.gateways[number];
        let start_count = {
            let mut state = gateway.state();
            if !state.should_run || !state.process.is_running() {
                return;
            }
            state.should_run = false;
            state.process.terminate();
            state.start_count
        };
        while from.elapsed() < STOP_TIMEOUT
            && gateway.state().start_count == start_count
            && gateway.state().process.is_running()
        {
            sleep(POLL_INTERVAL).await;
        }
        self.restart_gateway(number, start_count);
        self.record(from, FaultScope::Gateway(number), true);
    }

    /// Asks all gateways to stop, and logs those that had ended by themselves or do not stop in time.
    pub async fn stop_all_gateways(&self) {
        let start = Instant::now();
        for gateway in &self.fleet.gateways {
            let mut state = gateway.state();
            if state.process.is_running() {
                state.process.terminate();
            } else if state.should_run {
                self.log().stop_failures.push((start, format!("{} ended without being told to", gateway.name)));
            }
            state.should_run = false;
        }
        for gateway in &self.fleet.gateways {
            while start.elapsed() < STOP_TIMEOUT && gateway.state().process.is_running() {
                sleep(POLL_INTERVAL).await;
            }
            if gateway.state().process.is_running() {
                let text = format!("{} still runs {STOP_TIMEOUT:?} after it was asked to stop", gateway.name);
                self.log().stop_failures.push((Instant::now(), text));
            }
        }
    }

    fn rotate_key(&self) {
        let mut operator = self.operator.lock().unwrap_or_else(PoisonError::into_inner);
        operator.version += 1;
        operator.last_key += 1;
        let before = self.keys.borrow().clone();
        let rotated = format!("key-{}", operator.last_key);
        let stored_at = self.fleet.publish_declarations(operator.version, &[before.permanent.clone(), rotated.clone()]);
        self.log().key_changes.push(KeyChange { removed: before.rotated.clone(), added: rotated.clone(), stored_at });
        self.keys.send_replace(ApiKeys { rotated, previous: Some(before.rotated), ..before });
    }

    // Writes the same declarations under a new version.
    fn republish_declarations(&self) {
        let mut operator = self.operator.lock().unwrap_or_else(PoisonError::into_inner);
        operator.version += 1;
        let keys = self.keys.borrow().clone();
        self.fleet.publish_declarations(operator.version, &[keys.permanent, keys.rotated]);
    }

    async fn crash_upstream(&self, index: UpstreamIndex) {
        let from = Instant::now();
        let Some(upstream) = self.fleet.upstream(index) else { return };
        upstream.server.crash(UPSTREAM_DOWNTIME);
        sleep(UPSTREAM_DOWNTIME + STALE_ENTRY_TIME).await;
        self.record(from, FaultScope::Upstream(index), false);
    }

    async fn drain_upstream(&self, index: UpstreamIndex) {
        let Some(upstream) = self.fleet.upstream(index) else { return };
        let id = upstream.server.drain();
        self.log().drains.push(DrainRecord { id, upstream: index, stored_at: Instant::now() });
        sleep(2 * DRAIN_TIME).await;
        self.crash_upstream(index).await;
    }

    // Restarts an upstream and, once it runs again, also registers its address as an upstream of the other service. That
    // entry names an address at which an upstream of another service has started.
    async fn reuse_address(&self, index: UpstreamIndex, duration: Duration) {
        let Some(upstream) = self.fleet.upstream(index) else { return };
        let other = if index.service() == Service::Chat { Service::Ledger } else { Service::Chat };
        let address = upstream.proxy.as_ref().map_or(upstream.server.address, |proxy| proxy.address());
        let key = format!("x-{}", address.port());
        let register = async {
            sleep(UPSTREAM_DOWNTIME).await;
            self.fleet.store.put("servers", &key, &server_entry(address, other.name(), "z1", "v1", "ready"));
            sleep(duration).await;
            self.fleet.store.delete("servers", &key);
        };
        let from = Instant::now();
        tokio::join!(self.crash_upstream(index), register);
        self.record(from, FaultScope::Upstream(index), false);
    }

    async fn start_rollout(&self, bad: bool) {
        let canary = &self.fleet.canary;
        if bad {
            canary.server.set_default_fault(Some(Fault::Fails(500)));
        }
        canary.server.register(&self.fleet.store, &canary.registry_entry(NEW_RELEASE));
        let rollout = json!({ "service": "chat", "to": NEW_RELEASE, "durationS": ROLLOUT_TIME.as_secs() });
        self.fleet.store.put("op", "rollout/chat", &rollout);
        self.log().rollout = Some(RolloutRecord { stored_at: Instant::now(), bad });
        sleep(ROLLOUT_TIME).await;
    }
}

fn pause_time(fault: &Fault) -> Option<Duration> {
    let Fault::Pause { retry_after, .. } = fault else { return None };
    retry_after.first()?.parse().ok().map(Duration::from_secs_f64)
}

// Whether a fault excuses lost requests. It doesn't if the upstream is only slow, rejects requests without running them,
// reports low confidence in its answers, or asks for a pause.
fn may_lose_requests(fault: &Fault) -> bool {
    !matches!(fault, Fault::NotRun | Fault::Pause { .. } | Fault::Slow(_) | Fault::Paced(_) | Fault::Confidence(_))
}
