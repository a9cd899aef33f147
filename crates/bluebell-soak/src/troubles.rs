//! Doing the harm that a plan asks for, and writing down when it was done to whom.

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
    callers::Keys,
    fleet::{DOWN, Fleet, NEW_RELEASE, Upstream},
    plan::{Kind, Link, Plan, ROLLOUT_TIME, Server, Service, Trouble},
};

/// Time between the order to stop and the end by force.
pub const GRACE: Duration = Duration::from_secs(8);
/// Time for which an upstream that leaves goes on serving.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after an upstream's end in which its entry is still there.
pub const LAPSE: Duration = Duration::from_millis(2600);
/// Time between two declarations of a storm.
const STORM_PAUSE: Duration = Duration::from_millis(30);
/// Time between two looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(50);

/// Whom a fault reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// A gateway, or the link of its callers.
    Gateway(usize),
    /// What a gateway hears of the store and its peers.
    Contact(usize),
    /// All gateways.
    AllGateways,
    /// The store, for all gateways.
    Store,
    /// An upstream or the link to it.
    Upstream(Server),
}

/// A fault as it was done.
#[derive(Debug, Clone)]
pub struct Mark {
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub to: Instant,
    /// Whom it reached.
    pub reach: Reach,
    /// Whether it was planned work, which excuses no lost request.
    pub planned: bool,
}

/// A key that was replaced.
#[derive(Debug, Clone)]
pub struct KeyChange {
    /// The key that went.
    pub removed: String,
    /// The key that came.
    pub added: String,
    /// When the store took it.
    pub taken: Instant,
}

/// An upstream that said that it leaves.
#[derive(Debug, Clone)]
pub struct Drained {
    /// Its id.
    pub id: String,
    /// Which one it is.
    pub at: Server,
    /// When the store took that.
    pub taken: Instant,
}

/// A roll-out that was ordered.
#[derive(Debug, Clone, Copy)]
pub struct Ordered {
    /// When the store took it.
    pub taken: Instant,
    /// Whether the new release is bad.
    pub bad: bool,
}

/// What was done in a run.
#[derive(Debug, Default)]
pub struct Done {
    /// Faults.
    pub marks: Vec<Mark>,
    /// Keys.
    pub keys: Vec<KeyChange>,
    /// Upstreams that left.
    pub drained: Vec<Drained>,
    /// The roll-out.
    pub rollout: Option<Ordered>,
    /// Processes that did not end as they should.
    pub ends: Vec<(Instant, String)>,
}

struct Operator {
    version: u64,
    changes: u64,
}

/// Does a plan's harm.
#[derive(Clone)]
pub struct Troubles {
    fleet: Arc<Fleet>,
    done: Arc<Mutex<Done>>,
    operator: Arc<Mutex<Operator>>,
    keys: Arc<watch::Sender<Keys>>,
}

impl Troubles {
    /// No harm yet; the keys of the organisation as callers use them.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>) -> (Self, watch::Receiver<Keys>) {
        let keys = Keys { steady: "key-1".to_owned(), latest: "key-2".to_owned(), former: None };
        let (sender, keys) = watch::channel(keys);
        let operator = Arc::new(Mutex::new(Operator { version: 1, changes: 2 }));
        let now = Instant::now();
        let start = Mark { from: now, to: now, reach: Reach::AllGateways, planned: false };
        let done = Done { marks: vec![start], ..Done::default() };
        (Self { fleet, done: Arc::new(Mutex::new(done)), operator, keys: Arc::new(sender) }, keys)
    }

    /// Takes what was done.
    #[must_use]
    pub fn take(&self) -> Done {
        std::mem::take(&mut self.done())
    }

    fn done(&self) -> MutexGuard<'_, Done> {
        self.done.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does all that a plan asks for, and undoes it.
    pub async fn run(&self, plan: &Plan) {
        join_all(plan.troubles.iter().map(|trouble| async {
            sleep(trouble.at.saturating_sub(self.fleet.started.elapsed())).await;
            self.make(trouble).await;
        }))
        .await;
        self.undo();
    }

    // Faults that overlap may leave what the other one set.
    fn undo(&self) {
        for gateway in &self.fleet.gateways {
            for link in [&gateway.callers, &gateway.peers, &gateway.store] {
                link.set(LinkFaults::default());
            }
            gateway.door.send_replace(StoreMode::Open);
            gateway.while_running(Process::thaw);
        }
        for one in self.fleet.all_upstreams() {
            one.link.iter().for_each(|link| link.set(LinkFaults::default()));
            if one.at != self.fleet.fresh.at {
                one.mend();
            }
        }
    }

    async fn make(&self, trouble: &Trouble) {
        let from = Instant::now();
        let length = trouble.length;
        match &trouble.kind {
            Kind::Link(link, harms) => {
                self.set_link(*link, *harms);
                sleep(length).await;
                self.set_link(*link, LinkFaults::default());
                let reach = match link {
                    Link::Callers(at) => Reach::Gateway(*at),
                    Link::Peers(at) | Link::Store(at) => Reach::Contact(*at),
                    Link::Upstream(at) => Reach::Upstream(*at),
                };
                self.mark(from, reach, false);
            }
            Kind::Freeze(at) => {
                self.fleet.gateways[*at].while_running(Process::freeze);
                sleep(length).await;
                self.fleet.gateways[*at].while_running(Process::thaw);
                self.mark(from, Reach::Gateway(*at), false);
            }
            Kind::Kill(at) => self.kill(*at, length).await,
            Kind::KillAll => {
                join_all((0..self.fleet.gateways.len()).map(|at| self.kill(at, length))).await;
            }
            Kind::Stop(at) => self.stop(*at).await,
            Kind::Reload(at) => self.fleet.gateways[*at].while_running(Process::reload),
            Kind::Door(at, door) => {
                self.set_door(*at, *door);
                sleep(length).await;
                self.set_door(*at, StoreMode::Open);
                self.mark(from, at.map_or(Reach::Store, Reach::Contact), false);
            }
            Kind::Compact => self.fleet.store.compact(),
            Kind::ChangeKey => self.change_key(),
            Kind::ConfigStorm(count) => {
                for _ in 0..*count {
                    self.declare_again();
                    sleep(STORM_PAUSE).await;
                }
            }
            Kind::Answers(at, fault) => self.spoil(|one| one.at == *at, fault, length).await,
            Kind::AllAnswer(service, fault) => self.spoil(|one| one.at.service() == *service, fault, length).await,
            Kind::End(at) => self.end(*at).await,
            Kind::Drain(at) => self.drain(*at).await,
            Kind::Reuse(at) => self.reuse(*at, length).await,
            Kind::Rollout { bad } => self.order(*bad).await,
        }
    }

    fn mark(&self, from: Instant, reach: Reach, planned: bool) {
        self.done().marks.push(Mark { from, to: Instant::now(), reach, planned });
    }

    fn set_link(&self, link: Link, harms: LinkFaults) {
        let gateways = &self.fleet.gateways;
        match link {
            Link::Callers(at) => gateways[at].callers.set(harms),
            Link::Peers(at) => gateways[at].peers.set(harms),
            Link::Store(at) => gateways[at].store.set(harms),
            Link::Upstream(at) => {
                let link = self.fleet.upstream(at).and_then(|one| one.link.as_ref());
                link.into_iter().for_each(|link| link.set(harms));
            }
        }
    }

    fn set_door(&self, at: Option<usize>, door: StoreMode) {
        let all = self.fleet.gateways.iter().enumerate();
        all.filter(|(number, _)| at.is_none_or(|at| at == *number)).for_each(|(_, one)| {
            one.door.send_replace(door);
        });
    }

    async fn spoil(&self, which: impl Fn(&Upstream) -> bool, fault: &Fault, length: Duration) {
        let from = Instant::now();
        let spoilt: Vec<&Upstream> = self.fleet.upstreams.iter().filter(|one| which(one)).collect();
        spoilt.iter().for_each(|one| one.server.set_default_fault(Some(fault.clone())));
        sleep(length).await;
        spoilt.iter().for_each(|one| one.mend());
        if !is_sound(fault) {
            spoilt.iter().for_each(|one| self.mark(from, Reach::Upstream(one.at), false));
        }
    }

    async fn kill(&self, at: usize, down: Duration) {
        let from = Instant::now();
        let gateway = &self.fleet.gateways[at];
        let starts = {
            let mut life = gateway.life();
            life.process.kill();
            life.wanted = false;
            life.starts
        };
        sleep(down).await;
        self.restart(at, starts);
        self.mark(from, Reach::Gateway(at), false);
    }

    // Another fault may have started it meanwhile.
    fn restart(&self, at: usize, starts: u32) {
        let mut life = self.fleet.gateways[at].life();
        if life.starts == starts {
            life.process.restart();
            life.starts += 1;
            life.wanted = true;
        }
    }

    async fn stop(&self, at: usize) {
        let from = Instant::now();
        let gateway = &self.fleet.gateways[at];
        let starts = {
            let mut life = gateway.life();
            if !life.wanted || !life.process.is_running() {
                return;
            }
            life.wanted = false;
            life.process.terminate();
            life.starts
        };
        while from.elapsed() < GRACE && gateway.life().starts == starts && gateway.life().process.is_running() {
            sleep(LOOK).await;
        }
        self.restart(at, starts);
        self.mark(from, Reach::Gateway(at), true);
    }

    /// Has all gateways stop as planned, and writes down which did not.
    pub async fn stop_all(&self) {
        let begun = Instant::now();
        for gateway in &self.fleet.gateways {
            let mut life = gateway.life();
            if life.process.is_running() {
                life.process.terminate();
            } else if life.wanted {
                self.done().ends.push((begun, format!("{} ended by itself", gateway.name)));
            }
            life.wanted = false;
        }
        for gateway in &self.fleet.gateways {
            while begun.elapsed() < GRACE && gateway.life().process.is_running() {
                sleep(LOOK).await;
            }
            if gateway.life().process.is_running() {
                let text = format!("{} runs {GRACE:?} after the order to stop", gateway.name);
                self.done().ends.push((Instant::now(), text));
            }
        }
    }

    fn change_key(&self) {
        let mut operator = self.operator.lock().unwrap_or_else(PoisonError::into_inner);
        operator.version += 1;
        operator.changes += 1;
        let before = self.keys.borrow().clone();
        let latest = format!("key-{}", operator.changes);
        let taken = self.fleet.declare(operator.version, &[before.steady.clone(), latest.clone()]);
        self.done().keys.push(KeyChange { removed: before.latest.clone(), added: latest.clone(), taken });
        self.keys.send_replace(Keys { latest, former: Some(before.latest), ..before });
    }

    fn declare_again(&self) {
        let mut operator = self.operator.lock().unwrap_or_else(PoisonError::into_inner);
        operator.version += 1;
        let keys = self.keys.borrow().clone();
        self.fleet.declare(operator.version, &[keys.steady, keys.latest]);
    }

    async fn end(&self, at: Server) {
        let from = Instant::now();
        let Some(one) = self.fleet.upstream(at) else { return };
        one.server.crash(DOWN);
        sleep(DOWN + LAPSE).await;
        self.mark(from, Reach::Upstream(at), false);
    }

    async fn drain(&self, at: Server) {
        let Some(one) = self.fleet.upstream(at) else { return };
        let id = one.server.drain();
        self.done().drained.push(Drained { id, at, taken: Instant::now() });
        sleep(2 * DRAIN_TIME).await;
        self.end(at).await;
    }

    // The entry of an upstream of the other service names an address at which this one has started anew.
    async fn reuse(&self, at: Server, length: Duration) {
        let Some(one) = self.fleet.upstream(at) else { return };
        let other = if at.service() == Service::Chat { Service::Ledger } else { Service::Chat };
        let address = one.link.as_ref().map_or(one.server.address, |link| link.address());
        let key = format!("x-{}", address.port());
        let begin = async {
            sleep(DOWN).await;
            self.fleet.store.put("servers", &key, &server_entry(address, other.name(), "z1", "v1", "ready"));
            sleep(length).await;
            self.fleet.store.delete("servers", &key);
        };
        let from = Instant::now();
        tokio::join!(self.end(at), begin);
        self.mark(from, Reach::Upstream(at), false);
    }

    async fn order(&self, bad: bool) {
        let fresh = &self.fleet.fresh;
        if bad {
            fresh.server.set_default_fault(Some(Fault::Fails(500)));
        }
        fresh.server.register(&self.fleet.store, &fresh.entry(NEW_RELEASE));
        let order = json!({ "service": "chat", "to": NEW_RELEASE, "durationS": ROLLOUT_TIME.as_secs() });
        self.fleet.store.put("op", "rollout/chat", &order);
        self.done().rollout = Some(Ordered { taken: Instant::now(), bad });
        sleep(ROLLOUT_TIME).await;
    }
}

// Whether an upstream is slow, refuses or doubts its answers, which excuses nothing.
fn is_sound(fault: &Fault) -> bool {
    matches!(fault, Fault::NotRun | Fault::Slow(_) | Fault::Paced(_) | Fault::Confidence(_))
}
