//! A micro-kernel: services registered under a name, typed messages between them, and the effects that are left for
//! the outside.
//!
//! The kernel runs on one thread. A turn takes one input, passes on what services send each other until nothing is
//! left, and gives the effects in order; the same inputs at the same times always give the same effects.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    billing::{BillingEffect, BillingEvent, Outbox},
    gate::{Gate, GateEffect, GateEvent},
    members::{Members, MembersEvent},
    routing::Plan,
    settings::{Follower, FollowerEffect, FollowerEvent, SettingsError, State},
};

/// Name under which a service is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceName {
    /// Follows the settings.
    Settings,
    /// Knows the instances.
    Members,
    /// Holds billing rows.
    Billing,
    /// Admits attempts to the runner.
    Gate,
}

/// A message to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// For the settings.
    Settings(FollowerEvent),
    /// For the members.
    Members(MembersEvent),
    /// For the billing.
    Billing(BillingEvent),
    /// For the gate.
    Gate(GateEvent),
    /// For all: time has passed.
    Tick,
}

impl Input {
    fn receiver(&self) -> Option<ServiceName> {
        match self {
            Self::Settings(_) => Some(ServiceName::Settings),
            Self::Members(_) => Some(ServiceName::Members),
            Self::Billing(_) => Some(ServiceName::Billing),
            Self::Gate(_) => Some(ServiceName::Gate),
            Self::Tick => None,
        }
    }
}

/// What the outside has to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Fetch settings.
    Settings(FollowerEffect),
    /// Another state is in force: publish it with its plan.
    Publish {
        /// The state.
        state: Arc<State>,
        /// What it allows.
        plan: Arc<Plan>,
    },
    /// The members changed.
    Members,
    /// Write billing rows.
    Billing(BillingEffect),
    /// Act on an attempt.
    Gate(GateEffect),
}

/// A message that a service can't act on.
#[derive(Debug, Snafu)]
pub enum KernelError {
    /// No service has the name.
    #[snafu(display("no service {name:?} is registered"))]
    NoService {
        /// The name.
        name: ServiceName,
    },
    /// The settings can't be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Why.
        source: SettingsError,
    },
}

/// What a service sends during a turn.
#[derive(Debug, Default)]
pub struct Outbound {
    inputs: VecDeque<Input>,
    effects: Vec<Effect>,
}

/// A service of the kernel.
pub enum Service {
    /// Follows the settings.
    Settings(Box<Follower>),
    /// Knows the instances.
    Members(Box<Members>),
    /// Holds billing rows.
    Billing(Box<Outbox>),
    /// Admits attempts to the runner.
    Gate(Box<Gate>),
}

impl Service {
    fn name(&self) -> ServiceName {
        match self {
            Self::Settings(_) => ServiceName::Settings,
            Self::Members(_) => ServiceName::Members,
            Self::Billing(_) => ServiceName::Billing,
            Self::Gate(_) => ServiceName::Gate,
        }
    }

    fn handle(&mut self, now: Duration, input: Input, out: &mut Outbound) -> Result<(), KernelError> {
        match (self, input) {
            (Self::Settings(follower), Input::Settings(event)) => {
                let effects = follower.handle(now, event)?;
                effects.into_iter().try_for_each(|effect| publish(effect, out))
            }
            (Self::Members(members), Input::Members(event)) => {
                if members.handle(now, event) {
                    out.effects.push(Effect::Members);
                }
                Ok(())
            }
            (Self::Billing(outbox), Input::Billing(event)) => {
                out.effects.extend(outbox.handle(now, event).map(Effect::Billing));
                Ok(())
            }
            (Self::Billing(outbox), Input::Tick) => {
                out.effects.extend(outbox.tick(now).map(Effect::Billing));
                Ok(())
            }
            (Self::Gate(gate), Input::Gate(event)) => {
                out.effects.extend(gate.handle(now, event).into_iter().map(Effect::Gate));
                Ok(())
            }
            (Self::Gate(gate), Input::Tick) => {
                out.effects.extend(gate.handle(now, GateEvent::Tick).into_iter().map(Effect::Gate));
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

fn publish(effect: FollowerEffect, out: &mut Outbound) -> Result<(), KernelError> {
    let FollowerEffect::Publish(state) = effect else {
        out.effects.push(Effect::Settings(effect));
        return Ok(());
    };
    let plan = Arc::new(Plan::new(&state)?);
    let revision = state.revision;
    out.inputs.push_back(Input::Gate(GateEvent::Plan { revision, plan: Arc::clone(&plan) }));
    out.effects.push(Effect::Publish { state, plan });
    Ok(())
}

/// Services by name.
#[derive(Default)]
pub struct Kernel {
    services: IndexMap<ServiceName, Service>,
}

impl Kernel {
    /// Registers a service under its name.
    #[must_use]
    pub fn with(mut self, service: Service) -> Self {
        self.services.insert(service.name(), service);
        self
    }

    /// Runs one turn; effects of the turn are appended in order.
    ///
    /// # Errors
    /// When a service has no use for its message; the effects before that stand.
    pub fn turn(&mut self, now: Duration, input: Input, effects: &mut Vec<Effect>) -> Result<(), KernelError> {
        let mut out = Outbound::default();
        let mut result = self.deliver(now, input, &mut out);
        while let Some(next) = out.inputs.pop_front() {
            // A service that this role doesn't run has no need of the news.
            if next.receiver().is_some_and(|name| self.services.contains_key(&name)) {
                result = result.and(self.deliver(now, next, &mut out));
            }
        }
        effects.append(&mut out.effects);
        result
    }

    fn deliver(&mut self, now: Duration, input: Input, out: &mut Outbound) -> Result<(), KernelError> {
        let Some(name) = input.receiver() else {
            let tick = |service: &mut Service| service.handle(now, Input::Tick, out);
            return self.services.values_mut().try_for_each(tick);
        };
        let service = self.services.get_mut(&name);
        service.map_or(NoServiceSnafu { name }.fail(), |service| service.handle(now, input, out))
    }

    /// The settings, if this role follows them.
    #[must_use]
    pub fn settings(&self) -> Option<&Follower> {
        match self.services.get(&ServiceName::Settings) {
            Some(Service::Settings(follower)) => Some(follower),
            _ => None,
        }
    }

    /// The members, if this role knows them.
    #[must_use]
    pub fn members(&self) -> Option<&Members> {
        match self.services.get(&ServiceName::Members) {
            Some(Service::Members(members)) => Some(members),
            _ => None,
        }
    }

    /// The billing rows, if this role holds some.
    #[must_use]
    pub fn billing(&self) -> Option<&Outbox> {
        match self.services.get(&ServiceName::Billing) {
            Some(Service::Billing(outbox)) => Some(outbox),
            _ => None,
        }
    }

    /// The gate, if this role has one.
    #[must_use]
    pub fn gate(&self) -> Option<&Gate> {
        match self.services.get(&ServiceName::Gate) {
            Some(Service::Gate(gate)) => Some(gate),
            _ => None,
        }
    }
}
