//! Integration tests that run entries, sidecars, stand-in runners and the store as processes on loopback addresses.

mod util;

mod at_most_once;
mod billing;
mod callers;
mod copied_answers;
mod end_to_end;
mod leaving;
mod operators;
mod responses;
mod rollouts;
mod sessions;
mod settings;
mod withdrawal;
