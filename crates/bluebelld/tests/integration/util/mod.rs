//! What all integration tests share: a fleet of real processes, callers, operators, and waiting on events.

#![allow(dead_code, reason = "each test uses a part of it")]

mod caller;
mod config;
mod fleet;

use bluebell_standins::process;
pub use bluebell_standins::wait::until;
pub use caller::{ATLAS_DESK, ATLAS_VAN, Answer, Ask, Caller, KOVACS_BENCH, KOVACS_COUNTER};
pub use fleet::{Fleet, FleetBuilder};
