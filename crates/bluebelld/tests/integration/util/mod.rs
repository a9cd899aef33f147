//! Shared parts of the integration tests: a fleet of processes, callers, operators, and polling for conditions.

#![allow(dead_code, reason = "each test uses only some of the helpers")]

mod caller;
mod config;
mod fleet;

use bluebell_standins::process;
pub use bluebell_standins::wait::until;
pub use caller::{ATLAS_DESK, ATLAS_VAN, Caller, ChatRequest, KOVACS_BENCH, KOVACS_COUNTER, Response};
pub use fleet::{Fleet, FleetBuilder, Runner};
