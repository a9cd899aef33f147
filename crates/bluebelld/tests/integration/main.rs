//! Integration tests with real processes on loopback.

mod util;

mod answers;
mod billing;
mod callers;
mod leaving;
mod once;
mod operators;
mod path;
mod rollouts;
mod sessions;
mod settings;
mod withdrawal;
