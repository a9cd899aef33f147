//! Deterministic dispatcher that routes typed inputs to the registered services and collects the effects that the
//! caller has to perform.
//!
//! The kernel is single-threaded. One turn handles one input, delivers the messages that services send each other until
//! none is left, and returns the effects in order. The same inputs at the same times always give the same effects.

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

/// Key of a service in the [`Kernel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceName {
    /// Replica of the settings.
    Settings,
    /// Membership: the known instances.
    Members,
    /// Outbox of billing rows.
    Billing,
    /// Admission control of the runner.
    Gate,
}

/// A message to one service, or to all of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// Event for the settings.
    Settings(FollowerEvent),
    /// Event for the membership.
    Members(MembersEvent),
    /// Event for the billing outbox.
    Billing(BillingEvent),
    /// Event for admission control.
    Gate(GateEvent),
    /// Timer tick, delivered to all services.
    Tick,
}

impl Input {
    // `None` for an input that goes to all services.
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

/// An action that the caller of the kernel has to perform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Fetch settings.
    Settings(FollowerEffect),
    /// Publish the settings that are now in force, with the routing plan derived from them.
    Publish {
        /// The settings.
        state: Arc<State>,
        /// Routing plan derived from `state`.
        plan: Arc<Plan>,
    },
    /// The list of members changed.
    Members,
    /// Write billing rows.
    Billing(BillingEffect),
    /// Carry out an admission decision on an attempt.
    Gate(GateEffect),
}

/// Why an input could not be handled.
#[derive(Debug, Snafu)]
pub enum KernelError {
    /// The input is for a service that is not registered.
    #[snafu(display("no service {name:?} is registered"))]
    NoService {
        /// Name of the missing service.
        name: ServiceName,
    },
    /// The settings are invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Cause.
        source: SettingsError,
    },
}

/// Messages and effects that services emit during a turn.
#[derive(Debug, Default)]
pub struct TurnOutput {
    inputs: VecDeque<Input>,
    effects: Vec<Effect>,
}

/// A state machine that the kernel runs.
pub enum Service {
    /// Replica of the settings.
    Settings(Box<Follower>),
    /// Membership: the known instances.
    Members(Box<Members>),
    /// Outbox of billing rows.
    Billing(Box<Outbox>),
    /// Admission control of the runner.
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

    fn handle(&mut self, now: Duration, input: Input, out: &mut TurnOutput) -> Result<(), KernelError> {
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

fn publish(effect: FollowerEffect, out: &mut TurnOutput) -> Result<(), KernelError> {
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

/// The registered services, and the dispatch of inputs to them.
#[derive(Default)]
pub struct Kernel {
    services: IndexMap<ServiceName, Service>,
}

impl Kernel {
    /// Registers a service; replaces one of the same kind.
    #[must_use]
    pub fn with(mut self, service: Service) -> Self {
        self.services.insert(service.name(), service);
        self
    }

    /// Handles one input and appends the resulting effects in order.
    ///
    /// # Errors
    /// When the input's service is not registered, or new settings are invalid. Effects emitted before the error are
    /// still appended.
    pub fn turn(&mut self, now: Duration, input: Input, effects: &mut Vec<Effect>) -> Result<(), KernelError> {
        let mut out = TurnOutput::default();
        let mut result = self.deliver(now, input, &mut out);
        while let Some(next) = out.inputs.pop_front() {
            // Not every role runs every service; messages to a service that is not registered are dropped.
            if next.receiver().is_some_and(|name| self.services.contains_key(&name)) {
                result = result.and(self.deliver(now, next, &mut out));
            }
        }
        effects.append(&mut out.effects);
        result
    }

    fn deliver(&mut self, now: Duration, input: Input, out: &mut TurnOutput) -> Result<(), KernelError> {
        let Some(name) = input.receiver() else {
            let tick = |service: &mut Service| service.handle(now, Input::Tick, out);
            return self.services.values_mut().try_for_each(tick);
        };
        let service = self.services.get_mut(&name);
        service.map_or(NoServiceSnafu { name }.fail(), |service| service.handle(now, input, out))
    }

    /// The settings service, if this role runs it.
    #[must_use]
    pub fn settings(&self) -> Option<&Follower> {
        match self.services.get(&ServiceName::Settings) {
            Some(Service::Settings(follower)) => Some(follower),
            _ => None,
        }
    }

    /// The membership service, if this role runs it.
    #[must_use]
    pub fn members(&self) -> Option<&Members> {
        match self.services.get(&ServiceName::Members) {
            Some(Service::Members(members)) => Some(members),
            _ => None,
        }
    }

    /// The billing outbox, if this role runs it.
    #[must_use]
    pub fn billing(&self) -> Option<&Outbox> {
        match self.services.get(&ServiceName::Billing) {
            Some(Service::Billing(outbox)) => Some(outbox),
            _ => None,
        }
    }

    /// Admission control, if this role runs it.
    #[must_use]
    pub fn gate(&self) -> Option<&Gate> {
        match self.services.get(&ServiceName::Gate) {
            Some(Service::Gate(gate)) => Some(gate),
            _ => None,
        }
    }
}
