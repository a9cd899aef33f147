//! Gateways as real processes before a stand-in of the users' platform: what callers and upstreams see under failure.

mod answers;
mod endless;
mod explain;
mod members;
mod poison;
mod rollouts;
mod site;
mod stops;
mod streams;

use bluebell_standins::{caller, process, wait::until};
